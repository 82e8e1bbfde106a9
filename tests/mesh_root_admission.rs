//! Refusal of root requests at their entry nodes, on a virtual clock, with one service deep in the
//! call graph.

mod support;

use std::{collections::VecDeque, sync::Arc, time::Duration};

use hibiscusdoor::mesh::{RootAdmission, RootVerdict, Usage};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

const STEP: Duration = Duration::from_millis(5);
const ENTRY_NODES: usize = 12;
/// Slots of the deep service.
const SLOTS: f64 = 80.0;
/// Slot time that all calls of one root request need of the service.
const HELD_PER_ROOT_S: f64 = 0.25;
/// Time at the start in which work is not counted: entry nodes cannot know that the service is
/// full before its first calls have ended.
const WARM_UP: Duration = Duration::from_secs(2);
/// Time of one call at the service.
const CALL_TIME: Duration = Duration::from_millis(50);
/// Time from the start of a root request until its first call reaches the service.
const CALL_DELAY: Duration = Duration::from_millis(150);
/// Time over which the calls of a root request are spread.
const CALL_SPREAD: Duration = Duration::from_millis(500);
/// Root requests per second that fill the service.
const CAPACITY_PER_S: f64 = SLOTS / HELD_PER_ROOT_S;

#[derive(Debug, Default)]
struct Counts {
    /// Admitted root requests of the urgent rank and of the other rank.
    admitted: [f64; 2],
    /// Refused root requests of the same ranks.
    refused: [f64; 2],
    /// Slot time that was used.
    done_s: f64,
    /// Slot time of calls that found the queue full.
    wasted_s: f64,
}

/// Simulates entry nodes that receive the load of the service with replies. `demand` is a multiple of
/// the capacity as a function of the time in seconds; a third of the root requests are urgent.
fn simulate(length: Duration, demand: impl Fn(f64) -> f64, seed: u64) -> Counts {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut entry_nodes: Vec<RootAdmission> =
        (0..ENTRY_NODES).map(|_| RootAdmission::default()).collect();
    let mut usage = Usage::default();
    usage.add(&"stock".into(), HELD_PER_ROOT_S, 5.0);
    let mut counts = Counts::default();
    // Slot time that arrives at the service in each of the next steps.
    let delay_steps = (CALL_DELAY.as_millis() / STEP.as_millis()) as usize;
    let spread_steps = (CALL_SPREAD.as_millis() / STEP.as_millis()) as usize;
    let mut arriving_s: VecDeque<f64> = vec![0.0; delay_steps + spread_steps].into();
    let mut backlog_s = 0.0;
    let mut now = Duration::ZERO;
    while now < length {
        now += STEP;
        let now_s = now.as_secs_f64();
        let mut roots = demand(now_s) * CAPACITY_PER_S * STEP.as_secs_f64();
        while roots > random.random_range(0.0..1.0) {
            roots -= 1.0;
            let entry = &mut entry_nodes[random.random_range(0..ENTRY_NODES)];
            let rank = usize::from(random.random_range(0..3) > 0);
            let urgency = if rank == 0 { 1.0 } else { 0.0 };
            match entry.try_admit(now, &usage, urgency) {
                RootVerdict::Admit => {
                    counts.admitted[rank] += 1.0;
                    for step_s in arriving_s.iter_mut().skip(delay_steps).take(spread_steps) {
                        *step_s += HELD_PER_ROOT_S / spread_steps as f64;
                    }
                }
                RootVerdict::Refuse { .. } => counts.refused[rank] += 1.0,
            }
        }
        backlog_s += arriving_s.pop_front().unwrap_or(0.0);
        arriving_s.push_back(0.0);
        let capacity_s = SLOTS * STEP.as_secs_f64();
        let done_s = backlog_s.min(capacity_s);
        backlog_s -= done_s;
        // The queue of the upstream is as long as its concurrency limit; calls beyond it are refused.
        let queue_s = SLOTS * CALL_TIME.as_secs_f64();
        if now > WARM_UP {
            counts.wasted_s += (backlog_s - queue_s).max(0.0);
            counts.done_s += done_s;
        }
        backlog_s = backlog_s.min(queue_s);
        let load = done_s / capacity_s + backlog_s / queue_s;
        // Each entry node receives the load about fifty times per second.
        for entry in &mut entry_nodes {
            if random.random_range(0..4) == 0 {
                entry.record_load(now, &"stock".into(), load, now);
            }
        }
    }
    counts
}

/// Guards against keeping a service far below its capacity while demand exceeds it, and against
/// admitting root requests that fail because some of their calls are refused: wasted work is limited
/// to a fraction of the completed work.
fn a_full_service_is_held_full(demand: f64, min_used: f64, max_wasted: f64) {
    for seed in 0..3 {
        let length = Duration::from_secs(20);
        let counts = simulate(length, |_| demand, seed);
        let used = counts.done_s / (SLOTS * (length - WARM_UP).as_secs_f64());
        assert!(used > min_used, "seed {seed}: {used:.2} of the capacity is used: {counts:?}");
        let wasted = counts.wasted_s / counts.done_s;
        assert!(wasted < max_wasted, "seed {seed}: {wasted:.2} is wasted: {counts:?}");
    }
}

crate::cases! { a_full_service_is_held_full:
    at_a_third_more_than_it_can_do(1.33, 0.85, 0.05),
    at_twice_what_it_can_do(2.0, 0.85, 0.1),
    at_four_times_what_it_can_do(4.0, 0.85, 0.2),
}

/// Guards against refusals while the service has spare capacity.
#[test]
fn roots_begin_while_there_is_room() {
    let counts = simulate(Duration::from_secs(20), |_| 0.7, 1);
    let refused: f64 = counts.refused.iter().sum();
    assert!(refused < 0.01 * counts.admitted.iter().sum::<f64>(), "{counts:?}");
}

/// Guards against refusing urgent root requests as often as the others.
#[test]
fn the_urgent_are_refused_last() {
    let counts = simulate(Duration::from_secs(20), |_| 1.5, 1);
    let refused_fraction =
        |rank: usize| counts.refused[rank] / (counts.refused[rank] + counts.admitted[rank]);
    assert!(
        refused_fraction(0) < 0.1,
        "a fraction of {:.2} of the urgent requests is refused: {counts:?}",
        refused_fraction(0)
    );
    assert!(refused_fraction(1) > refused_fraction(0), "{counts:?}");
}

/// Guards against an allowance that stays low after a burst, so that root requests are refused although
/// the service has spare capacity again.
#[test]
fn a_burst_leaves_nothing_behind() {
    let burst = |now_s: f64| if now_s < 6.0 { 3.0 } else { 0.6 };
    let (during, all) =
        (simulate(Duration::from_secs(8), burst, 1), simulate(Duration::from_secs(16), burst, 1));
    let refused_after = all.refused.iter().sum::<f64>() - during.refused.iter().sum::<f64>();
    assert!(
        refused_after < 20.0,
        "{refused_after} root requests refused although there is spare capacity"
    );
}

/// Fractions of the requests that are admitted of each organisation, with its demand as a multiple of
/// the capacity of the service, and the fraction of the capacity that is used.
fn admitted_fractions(demands: &[(f64, f64)], has_names: bool, seed: u64) -> (Vec<f64>, f64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut entry_nodes: Vec<RootAdmission> =
        (0..ENTRY_NODES).map(|_| RootAdmission::default()).collect();
    let names: Vec<Arc<str>> = (0..demands.len()).map(|it| format!("org-{it}").into()).collect();
    let mut usage = Usage::default();
    usage.add(&"stock".into(), HELD_PER_ROOT_S, 5.0);
    let delay_steps = (CALL_DELAY.as_millis() / STEP.as_millis()) as usize;
    let spread_steps = (CALL_SPREAD.as_millis() / STEP.as_millis()) as usize;
    let mut arriving_s: VecDeque<f64> = vec![0.0; delay_steps + spread_steps].into();
    let (mut backlog_s, mut done_total_s) = (0.0, 0.0);
    let mut counts = vec![(0.0, 0.0); demands.len()];
    let (length, settled) = (Duration::from_secs(40), Duration::from_secs(8));
    let mut now = Duration::ZERO;
    while now < length {
        now += STEP;
        for (index, (demand, urgency)) in demands.iter().enumerate() {
            let mut roots = demand * CAPACITY_PER_S * STEP.as_secs_f64();
            while roots > random.random_range(0.0..1.0) {
                roots -= 1.0;
                let entry = &mut entry_nodes[random.random_range(0..ENTRY_NODES)];
                let name = has_names.then_some(&names[index]);
                let verdict = entry.try_admit_for(now, &usage, *urgency, name);
                let is_admitted = verdict == RootVerdict::Admit;
                entry.record_decision(now, &usage, *urgency, name, is_admitted);
                if is_admitted {
                    for step_s in arriving_s.iter_mut().skip(delay_steps).take(spread_steps) {
                        *step_s += HELD_PER_ROOT_S / spread_steps as f64;
                    }
                }
                if now > settled {
                    counts[index].0 += 1.0;
                    counts[index].1 += f64::from(u8::from(is_admitted));
                }
            }
        }
        backlog_s += arriving_s.pop_front().unwrap_or(0.0);
        arriving_s.push_back(0.0);
        let capacity_s = SLOTS * STEP.as_secs_f64();
        let done_s = backlog_s.min(capacity_s);
        if now > settled {
            done_total_s += done_s;
        }
        let queue_s = SLOTS * CALL_TIME.as_secs_f64();
        backlog_s = (backlog_s - done_s).min(queue_s);
        let load = done_s / capacity_s + backlog_s / queue_s;
        for entry in &mut entry_nodes {
            if random.random_range(0..4) == 0 {
                entry.record_load(now, &"stock".into(), load, now);
            }
        }
    }
    let fractions = counts.iter().map(|(requests, admitted)| admitted / requests).collect();
    (fractions, done_total_s / (SLOTS * (length - settled).as_secs_f64()))
}

/// Replays organisations of which some send several times their usual load. Guards against an
/// organisation that loses requests within its share because of another one's, and against a service
/// that is left idle for it.
fn an_organisation_keeps_its_share(demands: &[(f64, f64)], within_share: &[usize]) {
    for seed in 0..2 {
        let (without_shares, _) = admitted_fractions(demands, false, seed);
        let (fractions, used) = admitted_fractions(demands, true, seed);
        println!("{fractions:.2?} admitted, {without_shares:.2?} without shares, {used:.2} used");
        for index in within_share {
            assert!(without_shares[*index] < 0.8, "the load is not as intended");
            assert!(fractions[*index] > 0.92, "seed {seed}, organisation {index}: {fractions:.2?}");
        }
        assert!(used > 0.85, "seed {seed}: {used:.2} of the capacity is used");
    }
}

crate::cases! { an_organisation_keeps_its_share:
    beside_one_at_seven_times_its_load(
        &[(0.9, 0.0), (0.13, 0.0), (0.13, 0.0), (0.13, 0.0), (0.13, 0.0), (0.13, 0.0)],
        &[1, 2, 3, 4, 5],
    ),
    beside_three_at_five_to_eight_times_their_load(
        &[(0.5, 0.5), (0.65, 0.5), (0.8, 0.5), (0.1, 0.5), (0.1, 0.5), (0.1, 0.5)],
        &[3, 4, 5],
    ),
    with_a_small_one(&[(1.5, 1.0), (0.02, 1.0), (0.1, 1.0)], &[1, 2]),
}

/// Guards against shares that go before ranks.
#[test]
fn a_more_urgent_rank_goes_before_shares() {
    let (fractions, _) = admitted_fractions(&[(0.7, 1.0), (0.4, 0.0), (0.4, 0.0)], true, 1);
    assert!(fractions[0] > 0.95, "{fractions:.2?}");
}
