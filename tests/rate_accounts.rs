//! Rules of shares, token buckets and loans, each tested on single accounts.

mod support;

use std::time::Duration;

use hibiscusdoor::{
    peers::proto,
    rate::{Account, Allowance, Charge, LoanReply, LoanRequest, OutgoingLoanRequest, Peer},
};
use prost::Message as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

const TOTAL: Allowance = Allowance { rate_per_s: 100.0, burst: 40.0 };
const START: Duration = Duration::from_secs(100);
/// End of a lease that does not expire during the test.
const NEVER: Duration = Duration::MAX;
const TERM: Duration = Duration::from_secs(2);

fn after_ms(milliseconds: u64) -> Duration {
    START + Duration::from_millis(milliseconds)
}

fn peer(name: &str) -> Peer {
    Peer { instance: name.into(), incarnation: 1 }
}

/// An account with this share and the tokens that accrue in one second.
fn account(share: f64) -> Account {
    let mut account = Account::default();
    let before = START - Duration::from_secs(1);
    account.set_total(TOTAL, before);
    account.set_share(share, before);
    // The first charge sets the lease, which empties the bucket as after an expired lease.
    account.charge(before, NEVER, true);
    account.snapshot(START);
    account
}

fn loan_request(sequence: u64) -> LoanRequest {
    LoanRequest {
        sequence,
        rate_per_s: 10.0,
        burst: 5.0,
        tokens: 5.0,
        term: TERM,
        ..LoanRequest::default()
    }
}

/// Guards against tokens that both the old and the new holder of a share spend.
#[test]
fn share_that_grows_brings_no_tokens() {
    let mut account = account(0.5);
    let before = account.snapshot(START).tokens;
    account.set_share(1.0, START);
    let after = account.snapshot(START);
    assert_eq!(after.tokens, before);
    assert_eq!(after.usable.burst, TOTAL.burst);
}

/// Guards against tokens that are kept after the share they belong to has been lost.
#[test]
fn share_that_shrinks_clips_tokens() {
    let mut account = account(1.0);
    account.set_share(0.25, START);
    assert_eq!(account.snapshot(START).tokens, TOTAL.burst * 0.25);
}

/// Guards against additional tokens after the burst is raised, and excess tokens after it is
/// lowered.
#[test]
fn changed_burst_adds_no_tokens_and_drops_excess() {
    let mut account = account(1.0);
    account.set_total(Allowance { rate_per_s: 100.0, burst: 80.0 }, START);
    assert_eq!(account.snapshot(START).tokens, TOTAL.burst);
    account.set_total(Allowance { rate_per_s: 100.0, burst: 10.0 }, START);
    assert_eq!(account.snapshot(START).tokens, 10.0);
}

/// Guards against a share that its new holder uses while loans of the old holder still include it.
/// The old holder must not adopt the table version before these loans have expired, and the version
/// cannot settle before it is adopted.
#[test]
fn version_is_not_adopted_before_the_loans_of_a_lost_share_have_ended() {
    let (mut old_holder, mut new_holder) = (account(0.5), account(0.5));
    let long = LoanRequest { term: Duration::from_secs(60), ..loan_request(1) };
    old_holder.handle_loan_request(&peer("b"), &long, START, NEVER);
    let mut adopted = false;
    for time_ms in 0..5000 {
        if !adopted && old_holder.prepare_share(0.0, after_ms(time_ms)) {
            adopted = true;
            old_holder.set_share(0.0, after_ms(time_ms));
            new_holder.set_share(1.0, after_ms(time_ms));
        }
        let lent = old_holder.snapshot(after_ms(time_ms)).lent;
        let usable = new_holder.snapshot(after_ms(time_ms)).usable;
        assert!(lent.rate_per_s + usable.rate_per_s <= TOTAL.rate_per_s + 1e-9, "{time_ms} ms");
        assert!(lent.burst + usable.burst <= TOTAL.burst + 1e-9, "{time_ms} ms");
    }
    assert_eq!(new_holder.snapshot(after_ms(5000)).usable, TOTAL);
}

/// Guards against adopting a table version while a loan exceeds the new share, and against renewing
/// that loan in the meantime.
#[test]
fn smaller_share_waits_for_loans_to_end() {
    let mut account = account(0.5);
    let loan = account.handle_loan_request(&peer("b"), &loan_request(1), START, NEVER);
    // A quarter of the burst is lent, and a quarter of the rate with it.
    assert_eq!(loan.rate_per_s, 12.5);
    assert!(!account.prepare_share(0.05, after_ms(10)));
    assert_eq!(account.snapshot(after_ms(10)).usable, Allowance::default());
    let renewal = LoanRequest { sequence: 2, renew: vec![1], term: TERM, ..LoanRequest::default() };
    assert!(
        account.handle_loan_request(&peer("b"), &renewal, after_ms(20), NEVER).renewed.is_empty()
    );
    assert!(account.prepare_share(0.05, after_ms(10) + TERM + Duration::from_millis(100)));
}

/// Guards against a node that admits requests with an allowance that it has lent, after its share
/// has shrunk.
#[test]
fn smaller_share_admits_nothing_while_loans_exceed_it() {
    let mut account = account(0.5);
    let loan = account.handle_loan_request(&peer("b"), &loan_request(1), START, NEVER);
    // A quarter of the burst is lent, and a quarter of the rate with it.
    assert_eq!(loan.rate_per_s, 12.5);
    account.set_share(0.05, after_ms(10));
    assert_eq!(account.snapshot(after_ms(10)).usable, Allowance::default());
    let later = account.snapshot(after_ms(100) + TERM);
    assert_eq!(later.usable, Allowance { rate_per_s: 5.0, burst: 2.0 });
}

/// Guards against a loan that expires later at the borrower than at the lender. The reply arrives
/// 150 ms after the request was sent, and the sum of both accounts is checked every millisecond.
#[test]
fn borrower_counts_its_term_from_before_it_asked() {
    let (mut lender, mut borrower) = (account(0.5), account(0.5));
    // The borrower uses up its bucket, so that it requests a loan.
    while borrower.charge(START, NEVER, false) == Charge::Admitted {
        borrower.spend();
    }
    borrower.begin_wait();
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let requests = borrower.plan_loan_requests(&[peer("a")], START, NEVER, 8, &mut random);
    let OutgoingLoanRequest { request, .. } = requests.first().expect("a loan request").clone();
    let loan = lender.handle_loan_request(&peer("b"), &request, after_ms(1), NEVER);
    assert!(!loan.term.is_zero(), "{loan:?}");
    borrower.receive_reply(&peer("a"), request.sequence, &loan, after_ms(150));
    assert!(borrower.snapshot(after_ms(150)).loans_taken == 1);
    for time_ms in 150..10_000 {
        let (a, b) = (lender.snapshot(after_ms(time_ms)), borrower.snapshot(after_ms(time_ms)));
        let rate_per_s = a.usable.rate_per_s + b.usable.rate_per_s;
        let burst = a.usable.burst + b.usable.burst;
        assert!(rate_per_s <= TOTAL.rate_per_s + 1e-9, "rate {rate_per_s} after {time_ms} ms");
        assert!(burst <= TOTAL.burst + 1e-9, "burst {burst} after {time_ms} ms");
    }
    assert_eq!(borrower.snapshot(after_ms(10_000)).loans_taken, 0);
    assert_eq!(lender.snapshot(after_ms(10_000)).loans_given, 0);
}

/// Guards against a duplicated or delayed loan request that is granted a second time.
#[test]
fn repeated_and_reordered_asks_lend_once() {
    let mut account = account(0.5);
    let first = account.handle_loan_request(&peer("b"), &loan_request(2), START, NEVER);
    let tokens = account.snapshot(after_ms(1)).tokens;
    // The same request, resent because no reply arrived, is granted the same loan.
    let repeated = account.handle_loan_request(&peer("b"), &loan_request(2), after_ms(1), NEVER);
    let amounts = |loan: &LoanReply| (loan.rate_per_s, loan.burst, loan.tokens, loan.term);
    assert_eq!(amounts(&repeated), amounts(&first));
    let delayed = account.handle_loan_request(&peer("b"), &loan_request(1), after_ms(1), NEVER);
    assert_eq!(delayed.term, Duration::ZERO);
    let state = account.snapshot(after_ms(1));
    assert_eq!((state.loans_given, state.tokens), (1, tokens));
}

/// Guards against a reply that is applied twice, or after its request was given up.
#[test]
fn answer_is_booked_once() {
    let mut borrower = account(0.5);
    while borrower.charge(START, NEVER, false) == Charge::Admitted {
        borrower.spend();
    }
    // More waiting requests than the tokens that one peer's share could lend.
    for _ in 0..30 {
        borrower.begin_wait();
    }
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let peers = [peer("a"), peer("c")];
    let requests = borrower.plan_loan_requests(&peers, START, NEVER, 8, &mut random);
    assert_eq!(requests.len(), 2);
    let loan =
        LoanReply { rate_per_s: 1.0, burst: 2.0, tokens: 2.0, term: TERM, ..LoanReply::default() };
    for _ in 0..2 {
        borrower.receive_reply(
            &requests[0].lender,
            requests[0].request.sequence,
            &loan,
            after_ms(5),
        );
    }
    // The same request is resent until it is given up.
    for time_ms in 5..20 {
        borrower.mark_unanswered(
            &requests[1].lender,
            requests[1].request.sequence,
            after_ms(time_ms),
        );
        borrower.plan_loan_requests(&peers[..1], after_ms(time_ms), NEVER, 8, &mut random);
    }
    borrower.receive_reply(&requests[1].lender, requests[1].request.sequence, &loan, after_ms(21));
    assert_eq!(borrower.snapshot(after_ms(21)).loans_taken, 1);
}

/// Guards against crediting the tokens of a returned loan twice, or after the loan has ended.
#[test]
fn returned_loan_is_taken_back_once() {
    let mut account = account(0.5);
    let initial_tokens = account.snapshot(START).tokens;
    account.handle_loan_request(&peer("b"), &loan_request(1), START, NEVER);
    assert_eq!(account.snapshot(START).tokens, initial_tokens - 5.0);
    let returned = vec![hibiscusdoor::rate::ReturnedLoan { id: 1, tokens: 3.0 }];
    let return_request = LoanRequest { sequence: 2, returned, ..LoanRequest::default() };
    for _ in 0..2 {
        account.handle_loan_request(&peer("b"), &return_request, START, NEVER);
    }
    let state = account.snapshot(START);
    assert_eq!((state.loans_given, state.tokens), (0, initial_tokens - 2.0));
}

/// Guards against lending what was borrowed from another node.
#[test]
fn borrowed_rate_is_not_lent_on() {
    let mut account = account(0.0);
    assert_eq!(
        account.handle_loan_request(&peer("b"), &loan_request(1), START, NEVER).term,
        Duration::ZERO
    );
    let mut borrower = self::account(0.1);
    while borrower.charge(START, NEVER, false) == Charge::Admitted {
        borrower.spend();
    }
    borrower.begin_wait();
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let requests = borrower.plan_loan_requests(&[peer("a")], START, NEVER, 8, &mut random);
    let loan = LoanReply {
        rate_per_s: 50.0,
        burst: 20.0,
        tokens: 20.0,
        term: TERM,
        ..LoanReply::default()
    };
    borrower.receive_reply(&peer("a"), requests[0].request.sequence, &loan, after_ms(1));
    borrower.end_wait();
    let wanted = LoanRequest { rate_per_s: 100.0, burst: 40.0, tokens: 40.0, ..loan_request(1) };
    // The demand has ended, so the borrower can lend its entire own share.
    let lent = borrower.handle_loan_request(&peer("c"), &wanted, after_ms(1500), NEVER);
    assert!(lent.rate_per_s <= TOTAL.rate_per_s * 0.1 + 1e-9, "{lent:?}");
    assert!(lent.burst <= TOTAL.burst * 0.1 + 1e-9, "{lent:?}");
}

/// Guards against a loan that is valid after the lease of its lender has expired.
#[test]
fn loan_ends_with_the_lease_of_the_lender() {
    let mut account = account(0.5);
    let lease_until = after_ms(800);
    let loan = account.handle_loan_request(&peer("b"), &loan_request(1), START, lease_until);
    assert!(loan.term < Duration::from_millis(800), "{:?}", loan.term);
    assert!(loan.term > Duration::from_millis(700), "{:?}", loan.term);
    let refused =
        account.handle_loan_request(&peer("b"), &loan_request(2), after_ms(790), lease_until);
    assert_eq!(refused.term, Duration::ZERO);
}

/// Guards against a bucket that admits requests after its share may have been assigned to others.
#[test]
fn lapsed_lease_refuses_and_empties_the_bucket() {
    let mut account = account(0.5);
    account.snapshot(START);
    assert_eq!(account.charge(START, after_ms(100), false), Charge::Admitted);
    account.spend();
    assert_eq!(account.charge(after_ms(100), after_ms(100), false), Charge::NoLease);
    assert!(matches!(account.charge(after_ms(200), after_ms(4000), false), Charge::Empty { .. }));
}

/// Guards against a token that is refunded beyond the capacity of a bucket filled in the meantime.
#[test]
fn token_given_back_never_exceeds_the_capacity() {
    let mut account = account(0.5);
    assert_eq!(account.charge(START, NEVER, false), Charge::Admitted);
    let later = after_ms(2000);
    assert_eq!(account.snapshot(later).tokens, TOTAL.burst * 0.5 - 1.0);
    account.refund(later);
    assert_eq!(account.snapshot(later).tokens, TOTAL.burst * 0.5);
}

/// Guards against loan messages that exceed a node's limit of 6 KB/s for control traffic.
#[test]
fn messages_about_loans_are_small() {
    let request = proto::BorrowRequest {
        organisation: "kirkos-grocers".to_owned(),
        instance: "drops-zone-a-03".to_owned(),
        incarnation: 1_760_000_000_000_000,
        table_version: 300,
        tokens: 12.5,
        rate_per_s: 80.0,
        term_ms: 2000,
        sequence: 86_400_000_000,
        burst: 20.0,
        renew: vec![86_400_000_000, 86_400_000_001],
        returned: Vec::new(),
    };
    let reply = proto::BorrowReply {
        tokens: 12.5,
        rate_per_s: 80.0,
        burst: 20.0,
        term_ms: 1990,
        renewed: request.renew.clone(),
        renewed_term_ms: 1990,
        spare_tokens: 1.0,
        spare_rate_per_s: 1.0,
    };
    let (request, reply) = (request.encoded_len(), reply.encoded_len());
    println!("a loan request takes {request} bytes, its reply {reply} bytes");
    assert!(request + reply <= 200);
}
