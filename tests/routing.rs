//! Choice of a target and refusal at the first hop.

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

fn candidates(names: &[InstanceName], local: usize) -> Vec<Candidate<'_>> {
    let candidate = |(index, instance)| Candidate { instance, same_zone: index == local };
    names.iter().enumerate().map(candidate).collect()
}

/// Makes `count` requests one after another, each with the latency and result of its target, and
/// returns how many each target got.
fn drive(
    targets: &mut Targets,
    candidates: &[Candidate<'_>],
    count: usize,
    answer: impl Fn(usize) -> (u64, AttemptResult, u32),
) -> Vec<usize> {
    let mut got = vec![0; candidates.len()];
    let mut now = Duration::ZERO;
    for _ in 0..count {
        let chosen = targets.choose(now, candidates, &[]).expect("a target");
        got[chosen] += 1;
        targets.attempt_started(now, candidates[chosen].instance);
        let (latency_ms, result, load) = answer(chosen);
        let latency = Duration::from_millis(latency_ms);
        now += Duration::from_millis(5);
        targets.attempt_finished(now, candidates[chosen].instance, result, latency, Some(load));
    }
    got
}

/// Guards against an upstream whose fast errors make it look like the best target.
#[test]
fn fast_errors_do_not_attract_traffic() {
    let names = names(4);
    let mut targets = Targets::new(SEED);
    let got = drive(&mut targets, &candidates(&names, 9), 2000, |index| match index {
        0 => (1, AttemptResult::Failed, 0),
        _ => (50, AttemptResult::Answered, 32),
    });
    assert!(got[0] < 100, "{got:?}");
}

/// Guards against ejecting every target when the fault is a common one.
#[test]
fn targets_that_all_fail_are_all_used() {
    let names = names(3);
    let mut targets = Targets::new(SEED);
    let got = drive(&mut targets, &candidates(&names, 9), 900, |_| (5, AttemptResult::Failed, 0));
    assert!(got.iter().all(|count| *count > 100), "{got:?}");
}

/// Guards against traffic between zones that the own zone could serve, and against a zone that
/// keeps its traffic when its target is full.
#[test]
fn own_zone_is_preferred_while_it_has_room() {
    for (load, least, most) in [(30, 950, 1000), (127, 0, 700)] {
        let names = names(3);
        let mut targets = Targets::new(SEED);
        let got = drive(&mut targets, &candidates(&names, 1), 1000, |index| {
            (20, AttemptResult::Answered, if index == 1 { load } else { 20 })
        });
        assert!((least..=most).contains(&got[1]), "load {load}: {got:?}");
    }
}

/// Guards against a herd: with reports that never change, requests that are all in flight at
/// the same time must still spread.
#[test]
fn stale_reports_do_not_draw_a_herd() {
    let names = names(3);
    let candidates = candidates(&names, 9);
    let mut targets = Targets::new(SEED);
    drive(&mut targets, &candidates, 300, |index| {
        (20, AttemptResult::Answered, if index == 0 { 10 } else { 60 })
    });
    let now = Duration::from_secs(2);
    let mut got = vec![0; 3];
    for _ in 0..90 {
        let chosen = targets.choose(now, &candidates, &[]).expect("a target");
        targets.attempt_started(now, &names[chosen]);
        got[chosen] += 1;
    }
    assert!(got.iter().all(|count| (15..=50).contains(count)), "{got:?}");
}

/// Guards against entry nodes that keep refusing when the pressure is gone, or that never learn.
#[test]
fn root_below_the_pressure_of_a_deep_service_is_refused_until_it_is_gone() {
    let mut first_hop = FirstHopAdmission::new(SEED);
    let route: Arc<str> = Arc::from("/drops");
    let pressure = |below| [Pressure { service: "stock".into(), shed_below: Importance(below) }];
    let passed = |first_hop: &mut FirstHopAdmission, now, importance| {
        (0..1000)
            .filter(|_| {
                let verdict = first_hop.check(now, &route, Importance(importance), &None);
                verdict == Verdict::Admit
            })
            .count()
    };
    let mut now = Duration::from_secs(1);
    assert_eq!(passed(&mut first_hop, now, 1), 1000);
    first_hop.record_pressures(now, &Arc::from("/drops"), &pressure(2));
    let probes = passed(&mut first_hop, now, 1);
    assert!((1..=60).contains(&probes), "{probes} probes");
    assert_eq!(passed(&mut first_hop, now, 2), 1000);
    first_hop.record_pressures(now, &Arc::from("/drops"), &pressure(0));
    assert_eq!(passed(&mut first_hop, now, 1), 1000);
    first_hop.record_pressures(now, &Arc::from("/drops"), &pressure(2));
    now += Duration::from_secs(1);
    assert_eq!(passed(&mut first_hop, now, 1), 1000);
}
