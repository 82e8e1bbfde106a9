//! Refusal of roots at their entry, on a virtual clock, in front of one deep service.

mod support;

use std::{collections::VecDeque, time::Duration};

use hibiscusdoor::mesh::{RootAdmission, RootVerdict, Usage};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

const STEP: Duration = Duration::from_millis(5);
const ENTRIES: usize = 12;
/// Slots of the deep service, and the slot time that one root needs of it over its calls.
const SLOTS: f64 = 80.0;
const HELD_S: f64 = 0.25;
/// Nobody knows of a full service before its first calls have been seen, so what is wasted until then
/// is not counted.
const WARM_UP: Duration = Duration::from_secs(2);
/// Time of one call.
const CALL: Duration = Duration::from_millis(50);
/// Time from a root's start until its first call reaches the service.
const LEAD: Duration = Duration::from_millis(150);
/// Time over which the calls of a root are spread.
const SPREAD: Duration = Duration::from_millis(500);
/// Roots a second that fill the service.
const CAPACITY_PER_S: f64 = SLOTS / HELD_S;

#[derive(Debug, Default)]
struct Seen {
    /// Roots admitted and refused: of the urgent rank, then of the other.
    admitted: [f64; 2],
    refused: [f64; 2],
    /// Slot time that was used, and that of calls which found the queue full.
    done_s: f64,
    wasted_s: f64,
}

/// Runs `demand` (a multiple of the capacity, by time in seconds) against entries that learn the load
/// from replies; a third of the roots are urgent.
fn play(length: Duration, demand: impl Fn(f64) -> f64, seed: u64) -> Seen {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut entries: Vec<RootAdmission> = (0..ENTRIES).map(|_| RootAdmission::default()).collect();
    let mut usage = Usage::default();
    usage.add(&"stock".into(), HELD_S, 5.0);
    let mut seen = Seen::default();
    // Slot time that becomes due in each step to come.
    let lead = (LEAD.as_millis() / STEP.as_millis()) as usize;
    let spread = (SPREAD.as_millis() / STEP.as_millis()) as usize;
    let mut due_s: VecDeque<f64> = vec![0.0; lead + spread].into();
    let mut backlog_s = 0.0;
    let mut now = Duration::ZERO;
    while now < length {
        now += STEP;
        let now_s = now.as_secs_f64();
        let mut roots = demand(now_s) * CAPACITY_PER_S * STEP.as_secs_f64();
        while roots > random.random_range(0.0..1.0) {
            roots -= 1.0;
            let entry = &mut entries[random.random_range(0..ENTRIES)];
            let rank = usize::from(random.random_range(0..3) > 0);
            let urgency = if rank == 0 { 1.0 } else { 0.0 };
            match entry.check(now, &usage, urgency) {
                RootVerdict::Admit => {
                    seen.admitted[rank] += 1.0;
                    for step_s in due_s.iter_mut().skip(lead).take(spread) {
                        *step_s += HELD_S / spread as f64;
                    }
                }
                RootVerdict::Refuse { .. } => seen.refused[rank] += 1.0,
            }
        }
        backlog_s += due_s.pop_front().unwrap_or(0.0);
        due_s.push_back(0.0);
        let possible_s = SLOTS * STEP.as_secs_f64();
        let done_s = backlog_s.min(possible_s);
        backlog_s -= done_s;
        // The queue before the upstream is as long as its limit; what comes beyond is refused.
        let queue_s = SLOTS * CALL.as_secs_f64();
        if now > WARM_UP {
            seen.wasted_s += (backlog_s - queue_s).max(0.0);
            seen.done_s += done_s;
        }
        backlog_s = backlog_s.min(queue_s);
        let load = done_s / possible_s + backlog_s / queue_s;
        // Each entry hears of the load some fifty times a second.
        for entry in &mut entries {
            if random.random_range(0..4) == 0 {
                entry.record_load(now, &"stock".into(), load, now);
            }
        }
    }
    seen
}

/// Guards against a service that is held far below its capacity while demand exceeds it, and against
/// roots that begin although calls of theirs will be refused: what is wasted may be at most a part of
/// what is done.
fn a_full_service_is_held_full(demand: f64, least_used: f64, most_wasted: f64) {
    for seed in 0..3 {
        let length = Duration::from_secs(20);
        let seen = play(length, |_| demand, seed);
        let used = seen.done_s / (SLOTS * (length - WARM_UP).as_secs_f64());
        assert!(used > least_used, "seed {seed}: {used:.2} of the capacity is used: {seen:?}");
        let wasted = seen.wasted_s / seen.done_s;
        assert!(wasted < most_wasted, "seed {seed}: {wasted:.2} is wasted: {seen:?}");
    }
}

crate::cases! { a_full_service_is_held_full:
    at_a_third_more_than_it_can_do(1.33, 0.85, 0.05),
    at_twice_what_it_can_do(2.0, 0.85, 0.1),
    at_four_times_what_it_can_do(4.0, 0.85, 0.2),
}

/// Guards against refusals while the service has room.
#[test]
fn roots_begin_while_there_is_room() {
    let seen = play(Duration::from_secs(20), |_| 0.7, 1);
    let refused: f64 = seen.refused.iter().sum();
    assert!(refused < 0.01 * seen.admitted.iter().sum::<f64>(), "{seen:?}");
}

/// Guards against urgent roots that are refused as often as the others.
#[test]
fn the_urgent_are_refused_last() {
    let seen = play(Duration::from_secs(20), |_| 1.5, 1);
    let part = |rank: usize| seen.refused[rank] / (seen.refused[rank] + seen.admitted[rank]);
    assert!(part(0) < 0.1, "a part of {:.2} of the urgent is refused: {seen:?}", part(0));
    assert!(part(1) > part(0), "{seen:?}");
}

/// Guards against an allowance that stays low after a burst, so that roots are refused although the
/// service has room again.
#[test]
fn a_burst_leaves_nothing_behind() {
    let burst = |now_s: f64| if now_s < 6.0 { 3.0 } else { 0.6 };
    let (during, all) =
        (play(Duration::from_secs(8), burst, 1), play(Duration::from_secs(16), burst, 1));
    let refused_after = all.refused.iter().sum::<f64>() - during.refused.iter().sum::<f64>();
    assert!(refused_after < 20.0, "{refused_after} roots refused with room for them");
}
