//! Retries: conservation of retry budgets, the limit on a node's retries, and Retry-After.

use std::time::Duration;

use hibiscusdoor::{
    call::{CallContext, Reason},
    config::Importance,
    node::Dispatches,
    retry::{AttemptFailure, HopBudget, ROOT_RETRY_BUDGET, RetryControl, may_retry},
};
use proptest::{prelude::*, test_runner::RngSeed};
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use uuid::Uuid;

mod support;

const SEED: u64 = 20_261_204;
const MAX_DEPTH: u32 = 6;

fn context(retry_budget: u32) -> CallContext {
    CallContext {
        request_id: Uuid::nil(),
        root_id: Uuid::nil(),
        organisation: None,
        class: "class".into(),
        importance: Importance(1),
        service: "service".into(),
        deadline: Duration::from_secs(1),
        depth: 0,
        retry_budget,
        idempotent: true,
        idempotency_key: None,
        request_digest: [0; 32],
    }
}

/// Simulates one hop with attempts, nested calls of the upstream and lost replies. Returns the
/// retries spent at this hop and below it, and the unused part of the budget.
fn simulate_hop(random: &mut ChaCha8Rng, budget: u32, depth: u32) -> (u32, u32) {
    let mut budget = HopBudget::new(budget);
    let mut spent = 0;
    loop {
        let sent_budget = budget.split_for_attempt();
        let dispatches = Dispatches::default();
        let running = dispatches.begin(context(sent_budget));
        let children = if depth < MAX_DEPTH { random.random_range(0..3) } else { 0 };
        // The nested calls run concurrently, so all take their part before one returns any.
        let child_budgets: Vec<u32> = (0..children)
            .map(|_| running.call.take_retries(running.call.retries_left().div_ceil(2)))
            .collect();
        for child_budget in child_budgets {
            let (spent_below, unused) = simulate_hop(random, child_budget, depth + 1);
            spent += spent_below;
            running.call.return_retries(unused);
        }
        let is_lost = random.random_range(0..4) == 0;
        budget.restore_unused(if is_lost { 0 } else { running.call.retries_left() });
        let is_failed = is_lost || random.random_range(0..2) == 0;
        if !is_failed || !budget.spend_retry() {
            return (spent, budget.remaining());
        }
        spent += 1;
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(SEED),
        cases: 500,
        ..ProptestConfig::default()
    })]

    /// Guards against retries that multiply across hops and sibling calls.
    #[test]
    fn budget_is_conserved_over_hops_and_siblings(seed in any::<u64>()) {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let (spent, unused) = simulate_hop(&mut random, ROOT_RETRY_BUDGET, 0);
        prop_assert!(spent + unused <= ROOT_RETRY_BUDGET, "spent {spent}, unused {unused}");
    }

    /// Guards against a node that makes more retries than a tenth of its requests.
    #[test]
    fn retries_stay_below_a_tenth_of_requests(steps in prop::collection::vec(any::<bool>(), 0..2000)) {
        let mut control = RetryControl::new(SEED);
        for is_request in steps {
            if is_request {
                control.record_request();
            } else {
                control.take_retry();
            }
            let (requests, retries) = control.request_and_retry_counts();
            prop_assert!(retries * 10 <= requests);
        }
    }

    /// Guards against refused callers that all retry at the same time.
    #[test]
    fn retry_after_is_spread(seed in any::<u64>()) {
        let mut control = RetryControl::new(seed);
        let delays: Vec<Duration> = (0..100).map(|_| control.retry_after()).collect();
        let (least, most) = (delays.iter().min(), delays.iter().max());
        prop_assert!(most.expect("a delay").as_secs_f64() > 2.0 * least.expect("a delay").as_secs_f64());
    }
}

/// Guards against a reply that increases the retry budget.
#[test]
fn reply_cannot_return_more_than_went_down() {
    let mut budget = HopBudget::new(3);
    let sent_budget = budget.split_for_attempt();
    budget.restore_unused(sent_budget + 10);
    assert_eq!(budget.remaining(), 3);
}

fn check_may_retry(
    failure: AttemptFailure,
    idempotent: bool,
    has_spare_target: bool,
    expected: bool,
) {
    assert_eq!(may_retry(failure, idempotent, has_spare_target), expected);
}

cases! {
    check_may_retry:
    refusal_of_a_leaving_node_is_tried_elsewhere(
        AttemptFailure::NotRun(Reason::Leaving), false, false, true
    ),
    overload_is_final_without_room_elsewhere(
        AttemptFailure::NotRun(Reason::Overload), true, false, false
    ),
    overload_is_tried_where_there_is_room(
        AttemptFailure::NotRun(Reason::Overload), false, true, true
    ),
    refused_key_is_final(AttemptFailure::NotRun(Reason::UnknownKey), true, true, false),
    unknown_outcome_of_idempotent_request_is_tried_again(
        AttemptFailure::Unknown(Reason::PeerFailed), true, false, true
    ),
    unknown_outcome_of_other_request_is_final(
        AttemptFailure::Unknown(Reason::PeerFailed), false, true, false
    ),
    passed_deadline_is_final(AttemptFailure::Unknown(Reason::DeadlinePassed), true, true, false),
}
