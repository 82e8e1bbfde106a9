//! The pace that a node learns from how its upstream answers.

use std::{collections::BinaryHeap, time::Duration};

use hibiscusdoor::{admission::LearnedPace, clock::Timestamp};

mod support;

const SLOTS: usize = 100;
const WORK: Duration = Duration::from_millis(100);
const STEP: Duration = Duration::from_millis(5);
const DOWNTIME: Duration = Duration::from_secs(1);

/// How an upstream answers at a time since the start of the replay, in seconds.
#[derive(Clone, Copy)]
struct Behaviour {
    /// Factor on the time of answers.
    slowness: fn(f64) -> f64,
    /// Fraction of the requests that it refuses, whatever its load.
    refuses: f64,
    /// Requests per second from which it refuses the rest.
    capacity_per_s: fn(f64) -> f64,
    /// Requests in a second from which it crashes.
    crashes_at: Option<usize>,
}

const HEALTHY: Behaviour = Behaviour {
    slowness: |_| 1.0,
    refuses: 0.0,
    capacity_per_s: |_| f64::INFINITY,
    crashes_at: None,
};

#[derive(Default)]
struct Replay {
    served: u32,
    refused: u32,
    crashes: u32,
    /// Served requests by seconds.
    by_second: Vec<u32>,
}

/// Runs an upstream for `span_s` seconds with this many requests a second at its node; the pace begins anew
/// at the start if `starts` is set.
fn replay(
    behaviour: Behaviour,
    demand_per_s: f64,
    span_s: u32,
    is_enabled: bool,
    starts: bool,
) -> Replay {
    let mut pace = LearnedPace::default();
    pace.set_enabled(is_enabled);
    pace.set_slots(SLOTS as u32);
    let begin = Timestamp::from_secs(100);
    if starts {
        pace.begin(begin);
    }
    let mut replay = Replay::default();
    let mut running: BinaryHeap<std::cmp::Reverse<(Timestamp, Duration)>> = BinaryHeap::new();
    let mut arrivals: std::collections::VecDeque<Timestamp> = Default::default();
    let (mut waiting, mut room, mut refusing, mut down_until) = (0.0f64, 0.0f64, 0.0, begin);
    let mut now = begin;
    while now < begin + Duration::from_secs(u64::from(span_s)) {
        let since_s = (now - begin).as_secs_f64();
        while running.peek().is_some_and(|it| it.0.0 <= now) {
            let (_, time) = running.pop().expect("it was seen").0;
            pace.record_answer(now, time);
            replay.served += 1;
        }
        waiting = (waiting + demand_per_s * STEP.as_secs_f64()).min(SLOTS as f64);
        let capacity_per_s = (behaviour.capacity_per_s)(since_s);
        room = (room + capacity_per_s * STEP.as_secs_f64()).min(1.0 + capacity_per_s * 0.1);
        while waiting >= 1.0
            && running.len() < SLOTS
            && now >= down_until
            && pace.time_to_token(now).is_zero()
        {
            waiting -= 1.0;
            pace.take(now);
            arrivals.push_back(now);
            while arrivals.front().is_some_and(|at| now >= *at + Duration::from_secs(1)) {
                arrivals.pop_front();
            }
            if behaviour.crashes_at.is_some_and(|crashes_at| arrivals.len() > crashes_at) {
                replay.crashes += 1;
                down_until = now + DOWNTIME;
                running.clear();
                arrivals.clear();
                pace.record_crash(now);
                break;
            }
            refusing += behaviour.refuses;
            if refusing >= 1.0 || room < 1.0 {
                refusing -= if refusing >= 1.0 { 1.0 } else { 0.0 };
                replay.refused += 1;
                pace.record_failure(now);
                continue;
            }
            room -= 1.0;
            let time = WORK.mul_f64((behaviour.slowness)(since_s));
            running.push(std::cmp::Reverse((now + time, time)));
        }
        now += STEP;
        if (now - begin).as_millis().is_multiple_of(1000) {
            replay.by_second.push(replay.served - replay.by_second.iter().sum::<u32>());
        }
    }
    replay
}

/// Guards against an upstream that is left idle because it is slow, or refuses requests, for reasons other
/// than its load: fewer requests would not make it better.
fn serves_nearly_as_much_as_without_a_pace(behaviour: Behaviour) {
    for demand_per_s in [300.0, 1500.0] {
        let without = replay(behaviour, demand_per_s, 60, false, false);
        let with = replay(behaviour, demand_per_s, 60, true, false);
        let part = f64::from(with.served) / f64::from(without.served);
        assert!(part > 0.9, "{part} of {} at {demand_per_s}", without.served);
    }
}

crate::cases! { serves_nearly_as_much_as_without_a_pace:
    healthy(HEALTHY),
    twice_as_slow_for_3_s(Behaviour {
        slowness: |s| if (20.0..23.0).contains(&s) { 2.0 } else { 1.0 },
        ..HEALTHY
    }),
    twice_as_slow_for_30_s(Behaviour {
        slowness: |s| if (20.0..50.0).contains(&s) { 2.0 } else { 1.0 },
        ..HEALTHY
    }),
    twice_as_slow_permanently(Behaviour {
        slowness: |s| if s > 20.0 { 2.0 } else { 1.0 },
        ..HEALTHY
    }),
    that_refuses_55_in_100_with_room(Behaviour { refuses: 0.55, ..HEALTHY }),
    // Its health checks say that it is well.
    that_refuses_everything_but_one_in_20(Behaviour { refuses: 0.95, ..HEALTHY }),
}

/// Guards against upstreams that start at once under full load, and refuse most of it or are left idle: what
/// they take rises to the full capacity in 5 s, at a different speed for each.
#[test]
fn ten_that_start_at_once_get_what_they_take() {
    let rises: [fn(f64) -> f64; 2] =
        [|s| 50.0 + 190.0 * s.min(5.0), |s| if s < 3.0 { 60.0 } else { 1000.0 }];
    for number in 0..10 {
        let behaviour = Behaviour { capacity_per_s: rises[number % 2], ..HEALTHY };
        let demand_per_s = 1000.0 + 100.0 * number as f64;
        let without = replay(behaviour, demand_per_s, 10, false, true);
        let with = replay(behaviour, demand_per_s, 10, true, true);
        let refused_part = f64::from(with.refused) / f64::from(with.served + with.refused);
        let part = f64::from(with.served) / f64::from(without.served);
        let shown = format!("served {:?}, refused {refused_part}, part {part}", with.by_second);
        assert!(refused_part < 0.35 && with.refused * 2 < without.refused.max(1), "{shown}");
        assert!(part > 0.6, "{shown}");
        assert!(with.by_second[9] > 900, "{shown}");
    }
}

/// Guards against an upstream that crashes again and again under a rate that is known by its crashes.
#[test]
fn the_rate_of_crashes_is_learned() {
    let behaviour = Behaviour { crashes_at: Some(60), ..HEALTHY };
    let without = replay(behaviour, 500.0, 120, false, false);
    let with = replay(behaviour, 500.0, 120, true, false);
    let shown = format!("{} crashes, served {}", with.crashes, with.served);
    assert!(without.crashes > 50, "{} crashes without a pace", without.crashes);
    assert!(with.crashes <= 8, "{shown}");
    assert!(with.served > 120 * 20, "{shown}");
}

/// Guards against a pace that limits where it is switched off.
#[test]
fn nothing_is_limited_where_it_is_off() {
    let mut pace = LearnedPace::default();
    pace.set_slots(10);
    let now = Timestamp::from_secs(1);
    pace.begin(now);
    pace.record_crash(now);
    assert_eq!(pace.per_s(now), None);
    assert!(pace.time_to_token(now).is_zero());
}
