//! Returns of refused callers, on a virtual clock.

mod support;

use std::{cmp::Reverse, collections::BinaryHeap, sync::Arc, time::Duration};

use hibiscusdoor::mesh::{ReturnAdvice, ReturnPromises, RootAdmission, RootVerdict, Usage};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

const ENTRY_NODES: usize = 12;
/// Root requests per second that fill the service.
const CAPACITY_PER_S: f64 = 400.0;
const HELD_PER_ROOT_S: f64 = 0.25;
const ANSWER_WITHIN: Duration = Duration::from_millis(1200);
/// Time that callers of a refused request still have.
const REMAINING: Duration = Duration::from_millis(2700);
const LENGTH: Duration = Duration::from_secs(30);
const SETTLED: Duration = Duration::from_secs(5);

#[derive(Debug, Default)]
struct Counts {
    returns: f64,
    returns_admitted: f64,
    admitted: f64,
    told_nothing: f64,
}

/// Simulates callers that return once, when told, to the same or to any entry node.
fn simulate(demand: f64, has_promises: bool, stays: bool, seed: u64) -> Counts {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut entry_nodes: Vec<(RootAdmission, ReturnPromises)> =
        (0..ENTRY_NODES).map(|_| Default::default()).collect();
    let route: Arc<str> = "browse".into();
    let mut usage = Usage::default();
    usage.add(&"stock".into(), HELD_PER_ROOT_S, 5.0);
    let mut events: BinaryHeap<Reverse<(Duration, bool, Duration, usize)>> = BinaryHeap::new();
    let mut now_s = 0.0;
    while now_s < LENGTH.as_secs_f64() {
        now_s += random.random_range(0.0..2.0) / (demand * CAPACITY_PER_S);
        let at = Duration::from_secs_f64(now_s);
        let entry = random.random_range(0..ENTRY_NODES);
        events.push(Reverse((at, false, at + REMAINING, entry)));
    }
    let mut counts = Counts::default();
    let (mut used_s, mut updated_at, mut reported_at) = (0.0, Duration::ZERO, Duration::ZERO);
    while let Some(Reverse((now, is_return, deadline, node))) = events.pop() {
        // The slot time of admitted requests, over half a second.
        let elapsed_s = (now - updated_at).as_secs_f64();
        updated_at = now;
        used_s *= (-elapsed_s / 0.5).exp();
        if now > reported_at + Duration::from_millis(20) {
            reported_at = now;
            let load = used_s / (0.5 * CAPACITY_PER_S * HELD_PER_ROOT_S);
            for (admission, _) in &mut entry_nodes {
                admission.record_load(now, &"stock".into(), load.min(2.0), now);
            }
        }
        let (admission, promises) = &mut entry_nodes[node];
        let is_claimed = has_promises && promises.claim(now, &route, None, deadline);
        let mut is_admitted = admission.try_admit(now, &usage, 0.0) == RootVerdict::Admit;
        if is_claimed && !is_admitted {
            admission.charge(now, &usage);
            is_admitted = true;
        }
        promises.record(now, &route, None, is_admitted);
        let is_counted = now > SETTLED && now < LENGTH;
        if is_counted && is_return {
            counts.returns += 1.0;
            counts.returns_admitted += f64::from(u8::from(is_admitted));
        }
        if is_admitted {
            used_s += HELD_PER_ROOT_S;
            counts.admitted += f64::from(u8::from(is_counted));
            continue;
        }
        if is_return {
            continue;
        }
        let advice = match has_promises {
            true => {
                let earliest = Duration::from_millis(100);
                promises.promise(now, &route, None, earliest, deadline)
            }
            false => ReturnAdvice::Unknown,
        };
        let delay = match advice {
            ReturnAdvice::Unknown => ANSWER_WITHIN.mul_f64(random.random_range(0.25..0.75)),
            ReturnAdvice::After(delay) => delay,
            ReturnAdvice::NoRoom => {
                counts.told_nothing += f64::from(u8::from(is_counted));
                continue;
            }
        };
        // The network delays the return by a few milliseconds.
        let network = Duration::from_millis(random.random_range(1..15));
        let entry = if stays { node } else { random.random_range(0..ENTRY_NODES) };
        events.push(Reverse((now + delay + network, true, deadline, entry)));
    }
    counts
}

/// Guards against callers that are told to return at a time at which they are refused again, and
/// against a service that is used less for it.
fn returns_find_room(demand: f64, stays: bool, least: f64) {
    let before = simulate(demand, false, stays, 1);
    let after = simulate(demand, true, stays, 1);
    println!("{before:?}\n{after:?}");
    let share = |counts: &Counts| counts.returns_admitted / counts.returns;
    assert!(share(&after) > least, "{:.2}, before {:.2}", share(&after), share(&before));
    assert!(share(&before) < 0.5, "{:.2} without promises", share(&before));
    assert!(after.admitted > 0.95 * before.admitted, "{before:?}\n{after:?}");
}

crate::cases! { returns_find_room:
    at_half_more_than_there_is_room_for(1.5, true, 0.9),
    at_twice_what_there_is_room_for(2.0, true, 0.9),
    at_four_times_what_there_is_room_for(4.0, true, 0.9),
    at_any_entry_node(2.0, false, 0.7),
}

/// Guards against a promise beyond the time that is of use to the caller, and against one without any
/// knowledge of what is admitted.
#[test]
fn nothing_is_promised_that_cannot_be_used() {
    let route: Arc<str> = "browse".into();
    let mut promises = ReturnPromises::default();
    let now = Duration::from_secs(1);
    let (earliest, deadline) = (Duration::from_millis(100), now + Duration::from_millis(1500));
    let promise =
        |promises: &mut ReturnPromises| promises.promise(now, &route, None, earliest, deadline);
    assert_eq!(promise(&mut promises), ReturnAdvice::Unknown);
    for _ in 0..60 {
        promises.record(now, &route, None, true);
    }
    let advice: Vec<_> = (0..10).map(|_| promise(&mut promises)).collect();
    // 60 admitted requests in a time constant of 3 s, of which half is promised: ten in a second.
    assert_eq!(advice[0], ReturnAdvice::After(earliest));
    assert_eq!(advice[1], ReturnAdvice::After(earliest * 2));
    assert_eq!(advice[9], ReturnAdvice::NoRoom);
    assert!(!promises.claim(now, &route, None, deadline), "no return is due yet");
    let at = now + earliest;
    let of_new_request = at + Duration::from_millis(1500);
    assert!(!promises.claim(at, &route, None, of_new_request), "a new request is no return");
    assert!(promises.claim(at, &route, None, deadline));
    assert!(!promises.claim(at, &route, None, deadline), "only one return is due");
}
