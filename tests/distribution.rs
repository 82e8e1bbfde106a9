//! Distribution of the configuration: differences, choice of the source to pull from, and when a
//! revision is in force at all nodes.

mod support;

use std::{net::SocketAddr, time::Duration};

use hibiscusdoor::{
    admin::RowRevision,
    config::{
        Change, Decision, Document, Edit, KeyHasher, MAX_RECENT_CHANGES, Puller, ResourceKind,
        Source, evaluate_change,
    },
    control::{Progress, RolloutTracker},
    membership::{CLOCK_MARGIN, LEASE_TERM},
    settings::FleetSecret,
};
use proptest::prelude::*;
use serde_json::{Value, json};
use uuid::Uuid;

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn peer(number: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, number], 7002))
}

fn apply(document: &Document, edit: Edit) -> Option<Document> {
    let hasher = KeyHasher::new(&FleetSecret::new("a secret for tests of the configuration"));
    let stated_revision = document.revision;
    let change = Change { change_id: Uuid::now_v7(), stated_revision, edit };
    match evaluate_change(document, &change, &hasher) {
        Ok(Decision::Write(next)) => Some(*next),
        _ => None,
    }
}

fn service(name: &str) -> Value {
    json!({ "name": name })
}

fn organisation(name: &str, burst: u32) -> Value {
    json!({ "name": name, "rate_per_s": 10.0, "burst": f64::from(burst) })
}

/// Strategy for edits of one resource or of the whole document: kind of edit, resource number,
/// burst.
fn edit() -> impl Strategy<Value = (u8, u8, u32)> {
    (0..5_u8, 0..6_u8, 1..100_u32)
}

fn build_edit(document: &Document, (what, which, burst): (u8, u8, u32)) -> Edit {
    let name = format!("name-{which}");
    match what {
        0 => Edit::Create(ResourceKind::Organisation, organisation(&name, burst)),
        1 => Edit::Change(
            format!("organisations/{name}").parse().expect("an id"),
            organisation(&name, burst),
        ),
        2 => Edit::Withdraw(format!("organisations/{name}").parse().expect("an id")),
        3 => Edit::Create(ResourceKind::Service, service(&name)),
        _ => {
            let mut file = document.clone();
            file.services.truncate(usize::from(which));
            file.organisations.retain(|organisation| organisation.burst < f64::from(burst));
            Edit::Replace(Box::new(file))
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(2026),
        failure_persistence: None,
        ..ProptestConfig::with_cases(60)
    })]

    /// Guards against a node that has a different document than its peer after applying a
    /// difference.
    #[test]
    fn difference_between_any_two_revisions_leads_to_the_same_digest(
        edits in proptest::collection::vec(edit(), 2..40),
    ) {
        let mut revisions = vec![Document::default()];
        for step in edits {
            let current = revisions.last().expect("one");
            let edit = build_edit(current, step);
            revisions.extend(apply(current, edit));
        }
        let newest = revisions.last().expect("one");
        for older in revisions.iter().filter(|document| document.revision > 0) {
            let difference = newest.difference_since(older.revision);
            if older.revision == newest.revision {
                prop_assert!(older.with_difference(difference.expect("an empty one")).is_none());
                continue;
            }
            let sent = serde_json::to_vec(&difference.expect("a difference")).expect("JSON");
            let received = serde_json::from_slice(&sent).expect("JSON");
            let made = older.with_difference(received).expect("it fits");
            prop_assert_eq!(made.digest(), newest.digest());
            prop_assert_eq!(&made, newest);
        }
    }
}

/// Guards against applying a difference to another revision than the one it starts from.
#[test]
fn difference_does_not_fit_another_revision() {
    let first = apply(&Document::default(), Edit::Create(ResourceKind::Service, service("a")));
    let first = first.expect("created");
    let second = apply(&first, Edit::Create(ResourceKind::Service, service("b"))).expect("made");
    let third = apply(&second, Edit::Create(ResourceKind::Service, service("c"))).expect("made");
    let difference = third.difference_since(first.revision).expect("a difference");
    assert!(second.with_difference(difference.clone()).is_none());
    assert!(third.with_difference(difference.clone()).is_none());
    assert_eq!(first.with_difference(difference), Some(third));
}

/// Guards against a difference that omits changes which are no longer kept.
#[test]
fn difference_beyond_the_memory_is_not_offered() {
    let mut document = Document::default();
    for number in 0..=MAX_RECENT_CHANGES {
        let edit = Edit::Create(ResourceKind::Service, service(&format!("s{number}")));
        document = apply(&document, edit).expect("made");
    }
    assert!(document.difference_since(0).is_none());
    assert!(document.difference_since(1).is_some());
    let document = apply(&document, Edit::Create(ResourceKind::Service, service("one-more")));
    assert!(document.expect("made").difference_since(1).is_none());
}

/// Guards against pulls without a newer revision, and against concurrent pulls.
#[test]
fn node_pulls_once_from_a_holder_and_only_while_it_is_behind() {
    let mut puller = Puller::new(1);
    assert_eq!(puller.next_source(seconds(0.0), 4, 4, &[]), None);
    let source = puller.next_source(seconds(1.0), 4, 5, &[peer(1), peer(2)]);
    assert!(matches!(source, Some(Source::Peer(address)) if [peer(1), peer(2)].contains(&address)));
    assert_eq!(puller.next_source(seconds(1.1), 4, 5, &[peer(1), peer(2)]), None);
    puller.record_success();
    assert_eq!(puller.next_source(seconds(1.2), 5, 5, &[]), None);
}

/// Guards against a node that pulls from a failed peer again and again.
#[test]
fn failed_peer_is_passed_over_for_a_while() {
    let mut puller = Puller::new(1);
    let first = puller.next_source(seconds(0.0), 4, 5, &[peer(1), peer(2)]).expect("a source");
    puller.record_failure(seconds(0.1), first);
    let second = puller.next_source(seconds(0.2), 4, 5, &[peer(1), peer(2)]).expect("a source");
    assert_ne!(first, second);
    puller.record_failure(seconds(0.3), second);
    assert_eq!(puller.next_source(seconds(0.4), 4, 5, &[peer(1), peer(2)]), None);
    assert!(puller.next_source(seconds(2.2), 4, 5, &[peer(1), peer(2)]).is_some());
}

/// Guards against a node that keeps an old revision because no peer has a newer one, and against
/// one that then reads the platform in a tight loop.
#[test]
fn platform_is_read_after_a_delay_and_at_spaced_intervals() {
    let mut puller = Puller::new(7);
    let mut reads = Vec::new();
    for tick in 0..600 {
        let now = seconds(f64::from(tick) / 10.0);
        if let Some(source) = puller.next_source(now, 4, 5, &[]) {
            assert_eq!(source, Source::Platform);
            reads.push(now);
            puller.record_failure(now, source);
        }
    }
    assert!(reads[0] >= seconds(3.0), "{reads:?}");
    assert!(reads.windows(2).all(|pair| pair[1] - pair[0] >= seconds(3.0)), "{reads:?}");
    assert!((9..=20).contains(&reads.len()), "{reads:?}");
}

/// Guards against a node without a configuration that waits for evidence, which it cannot have
/// before it has joined.
#[test]
fn fresh_node_reads_the_platform_at_once_or_asks_a_peer() {
    let mut puller = Puller::new(1);
    assert_eq!(puller.next_source(seconds(0.0), 0, 0, &[]), Some(Source::Platform));
    let mut puller = Puller::new(1);
    assert_eq!(puller.next_source(seconds(0.0), 0, 9, &[peer(3)]), Some(Source::Peer(peer(3))));
}

/// Guards against a node that fetches the same mismatched difference again and again.
#[test]
fn digest_that_does_not_fit_leads_to_the_whole_document() {
    let mut puller = Puller::new(1);
    let source = puller.next_source(seconds(0.0), 4, 5, &[peer(1)]).expect("a source");
    puller.record_mismatch(seconds(0.1), source);
    assert!(puller.needs_full_document());
    let source = puller.next_source(seconds(0.2), 4, 5, &[peer(1)]).expect("the same peer at once");
    puller.record_mismatch(seconds(0.3), source);
    assert_eq!(puller.next_source(seconds(0.4), 4, 5, &[peer(1)]), None);
    let source = puller.next_source(seconds(2.4), 4, 5, &[peer(1)]);
    assert!(source.is_some() && puller.needs_full_document());
    puller.record_success();
    assert!(!puller.needs_full_document());
}

fn rows(revisions: &[u64]) -> Vec<RowRevision> {
    let row = |(index, revision): (usize, &u64)| RowRevision {
        instance: format!("i{index}").into(),
        revision: *revision,
        age_ms: Some(100),
    };
    revisions.iter().enumerate().map(row).collect()
}

/// Guards against a wait for a rollout that ends too early, and against one that a dead node blocks
/// forever.
#[test]
fn revision_is_in_force_when_every_node_has_it_or_no_lease() {
    let mut rollout = RolloutTracker::new(5);
    let missing = |names: &[&str]| {
        let names = names.iter().map(|it| format!("{it} (revision 4, heard of 100 ms ago)"));
        Progress::Missing(names.collect())
    };
    let state = rows(&[5, 4, 4, 5]);
    assert_eq!(rollout.check(seconds(0.0), &state), missing(&["i1", "i2"]));
    assert_eq!(rollout.check(seconds(60.0), &state), missing(&["i1", "i2"]));
    let state = rows(&[5, 6, 4, 5]);
    assert_eq!(rollout.check(seconds(61.0), &state), missing(&["i2"]));
    let end = seconds(61.0) + LEASE_TERM + CLOCK_MARGIN;
    assert_eq!(rollout.check(end - Duration::from_millis(1), &state), missing(&["i2"]));
    let without_lease = vec!["i2".to_owned()];
    assert_eq!(rollout.check(end, &state), Progress::InForce { without_lease });
    let mut rollout = RolloutTracker::new(5);
    let in_force = Progress::InForce { without_lease: Vec::new() };
    assert_eq!(rollout.check(seconds(0.0), &rows(&[5, 5, 9])), in_force);
    assert!(matches!(rollout.check(seconds(0.0), &[]), Progress::Missing(_)));
}
