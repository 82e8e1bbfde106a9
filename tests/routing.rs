//! Selection of targets, and refusal of root requests at the first hop.

use std::{sync::Arc, time::Duration};

use hibiscusdoor::{
    config::Importance,
    names::InstanceName,
    routing::{AttemptResult, Candidate, FirstHopAdmission, Pressure, Targets, Verdict},
};

const SEED: u64 = 7;

fn names(count: usize) -> Vec<InstanceName> {
    (0..count).map(|index| Arc::from(format!("i{index}"))).collect()
}

/// Creates a candidate for each instance. Only the one at index `local` is in this node's zone; an
/// index beyond the end puts all of them in other zones.
fn candidates(names: &[InstanceName], local: usize) -> Vec<Candidate<'_>> {
    let candidate = |(index, instance)| Candidate { instance, is_same_zone: index == local };
    names.iter().enumerate().map(candidate).collect()
}

/// Sends `count` requests one after another, each with the latency, result and reported load that
/// `answer` gives for its target. Returns the number of requests per target.
fn send_requests(
    targets: &mut Targets,
    candidates: &[Candidate<'_>],
    count: usize,
    answer: impl Fn(usize) -> (u64, AttemptResult, u32),
) -> Vec<usize> {
    let mut requests = vec![0; candidates.len()];
    let mut now = Duration::ZERO;
    for _ in 0..count {
        let chosen = targets.choose_target(now, candidates, &[]).expect("a target");
        requests[chosen] += 1;
        targets.attempt_started(now, candidates[chosen].instance);
        let (latency_ms, result, load) = answer(chosen);
        let latency = Duration::from_millis(latency_ms);
        now += Duration::from_millis(5);
        targets.attempt_finished(now, candidates[chosen].instance, result, latency, Some(load));
    }
    requests
}

/// Guards against an upstream whose fast errors make it look like the best target.
#[test]
fn fast_errors_do_not_attract_traffic() {
    let names = names(4);
    let mut targets = Targets::new(SEED);
    let requests = send_requests(&mut targets, &candidates(&names, 9), 2000, |index| match index {
        0 => (1, AttemptResult::Failed, 0),
        _ => (50, AttemptResult::Answered, 32),
    });
    assert!(requests[0] < 100, "{requests:?}");
}

/// Guards against excluding every target when all of them fail for a common reason.
#[test]
fn targets_that_all_fail_are_all_used() {
    let names = names(3);
    let mut targets = Targets::new(SEED);
    let requests =
        send_requests(&mut targets, &candidates(&names, 9), 900, |_| (5, AttemptResult::Failed, 0));
    assert!(requests.iter().all(|count| *count > 100), "{requests:?}");
}

/// Guards against cross-zone traffic that the local zone could serve, and against traffic that
/// stays in the local zone when its target is at full load.
#[test]
fn own_zone_is_preferred_while_it_has_room() {
    for (load, min, max) in [(30, 950, 1000), (127, 0, 700)] {
        let names = names(3);
        let mut targets = Targets::new(SEED);
        let requests = send_requests(&mut targets, &candidates(&names, 1), 1000, |index| {
            (20, AttemptResult::Answered, if index == 1 { load } else { 20 })
        });
        assert!((min..=max).contains(&requests[1]), "load {load}: {requests:?}");
    }
}

/// Guards against herd behaviour: with stale load reports, concurrent requests must still be spread
/// across all targets.
#[test]
fn stale_reports_do_not_draw_a_herd() {
    let names = names(3);
    let candidates = candidates(&names, 9);
    let mut targets = Targets::new(SEED);
    send_requests(&mut targets, &candidates, 300, |index| {
        (20, AttemptResult::Answered, if index == 0 { 10 } else { 60 })
    });
    let now = Duration::from_secs(2);
    let mut requests = vec![0; 3];
    for _ in 0..90 {
        let chosen = targets.choose_target(now, &candidates, &[]).expect("a target");
        targets.attempt_started(now, &names[chosen]);
        requests[chosen] += 1;
    }
    assert!(requests.iter().all(|count| (15..=50).contains(count)), "{requests:?}");
}

/// Guards against entry nodes that ignore reported pressure, or that still refuse after it has
/// ended.
#[test]
fn root_below_the_pressure_of_a_deep_service_is_refused_until_it_is_gone() {
    let mut first_hop = FirstHopAdmission::new(SEED);
    let route: Arc<str> = Arc::from("/drops");
    let pressure = |below| [Pressure { service: "stock".into(), shed_below: Importance(below) }];
    let count_admitted = |first_hop: &mut FirstHopAdmission, now, importance| {
        (0..1000)
            .filter(|_| {
                let verdict = first_hop.check(now, &route, Importance(importance), &None);
                verdict == Verdict::Admit
            })
            .count()
    };
    let mut now = Duration::from_secs(1);
    assert_eq!(count_admitted(&mut first_hop, now, 1), 1000);
    first_hop.record_pressures(now, &Arc::from("/drops"), &pressure(2));
    let probes = count_admitted(&mut first_hop, now, 1);
    assert!((1..=60).contains(&probes), "{probes} probes");
    assert_eq!(count_admitted(&mut first_hop, now, 2), 1000);
    first_hop.record_pressures(now, &Arc::from("/drops"), &pressure(0));
    assert_eq!(count_admitted(&mut first_hop, now, 1), 1000);
    first_hop.record_pressures(now, &Arc::from("/drops"), &pressure(2));
    now += Duration::from_secs(1);
    assert_eq!(count_admitted(&mut first_hop, now, 1), 1000);
}
