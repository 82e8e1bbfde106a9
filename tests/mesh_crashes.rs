//! Quarantine of requests that crash upstreams, by exchanges between nodes and their hub.

mod support;

use std::time::Duration;

use hibiscusdoor::{
    mesh::Crashes,
    once::{CrashId, Fingerprint},
};

const NOW: Duration = Duration::from_secs(100);
const CRASHING: Fingerprint = [7; 32];
const BYSTANDER: Fingerprint = [8; 32];

/// Exchanges crash records and verdicts between the nodes and the hub.
fn exchange(hub: &mut Crashes, nodes: &mut [Crashes]) {
    for node in nodes.iter() {
        hub.merge(NOW, &node.crash_reports(NOW).1);
    }
    for node in nodes {
        node.merge(NOW, &hub.quarantine_verdicts(NOW).1);
    }
}

/// Guards against a request that is retried at one node after another and crashes an upstream each time:
/// after three crashes in the whole fleet it must not run. A request that was running at only one of the
/// crashes is not quarantined.
fn crashes_are_counted_over_the_fleet(crashes: &[(usize, u128)], quarantined: bool) {
    let mut hub = Crashes::default();
    let mut nodes: Vec<Crashes> = (0..5).map(|_| Crashes::default()).collect();
    for (step, (node, crash)) in crashes.iter().enumerate() {
        let crash = CrashId::from_u128(*crash);
        nodes[*node].record_crash(NOW, &CRASHING, crash);
        if step == 0 {
            nodes[*node].record_crash(NOW, &BYSTANDER, crash);
        }
        exchange(&mut hub, &mut nodes);
    }
    for node in &nodes {
        assert_eq!(node.quarantine_remaining(NOW, &CRASHING).is_some(), quarantined);
        assert_eq!(node.quarantine_remaining(NOW, &BYSTANDER), None);
    }
}

crate::cases! { crashes_are_counted_over_the_fleet:
    three_at_three_nodes(&[(0, 1), (1, 2), (2, 3)], true),
    three_at_one_node(&[(0, 1), (0, 2), (0, 3)], true),
    two(&[(0, 1), (1, 2)], false),
    one_that_is_reported_three_times(&[(0, 1), (0, 1), (0, 1)], false),
}

/// Guards against the quarantine of a popular request because it runs at every upstream that crashes for
/// another reason. A request that ended without a crash only long ago does not count as popular.
fn survivors_are_not_blamed(age: Duration, quarantined: bool) {
    let mut node = Crashes::default();
    node.record_survival(NOW, &CRASHING);
    for number in 1..=3 {
        let now = NOW + age + Duration::from_millis(number);
        node.record_crash(now, &CRASHING, CrashId::from_u128(u128::from(number)));
    }
    let now = NOW + age + Duration::from_secs(1);
    assert_eq!(node.quarantine_remaining(now, &CRASHING).is_some(), quarantined);
}

crate::cases! { survivors_are_not_blamed:
    a_moment_after_it_ended_well(Duration::ZERO, false),
    seconds_after_it_ended_well(Duration::from_secs(9), false),
    long_after_it_ended_well(Duration::from_secs(30), true),
}

/// Guards against a hub and its nodes that send each other the same verdict endlessly.
#[test]
fn a_verdict_is_told_once() {
    let mut hub = Crashes::default();
    let mut nodes = [Crashes::default(), Crashes::default()];
    for number in 1..=3 {
        nodes[0].record_crash(NOW, &CRASHING, CrashId::from_u128(number));
    }
    exchange(&mut hub, &mut nodes);
    let changes = |hub: &Crashes, nodes: &[Crashes]| {
        (hub.change_number(), nodes.iter().map(Crashes::change_number).collect::<Vec<_>>())
    };
    let before = changes(&hub, &nodes);
    exchange(&mut hub, &mut nodes);
    assert_eq!(changes(&hub, &nodes), before);
}
