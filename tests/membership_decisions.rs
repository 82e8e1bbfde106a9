//! Single decisions of one node about its lease and about settlement.

use std::{net::SocketAddr, time::Duration};

use hibiscusdoor::{
    membership::{
        Adoption, CLOCK_MARGIN, Event, Identity, LEASE_TERM, Membership, Row, RowState, Table,
    },
    peers::proto::EvidenceReply,
};

const SECOND: Duration = Duration::from_secs(1);
const STEP: Duration = Duration::from_millis(1);

fn row(number: u16) -> Row {
    Row {
        instance: format!("i{number}").into(),
        incarnation: 1,
        zone: "zone".into(),
        service: Some("drops".into()),
        peer_address: SocketAddr::from(([127, 0, 0, 1], 20_000 + number)),
        weight: 1,
        state: RowState::Active,
    }
}

/// Node `i0`, which has adopted a table of `current` rows after one of `previous` rows.
fn node(previous: u16, current: u16, at: Duration) -> Membership {
    process(1, previous, current, at)
}

/// The same, for a process of `i0` that may be a later one than its row's.
fn process(incarnation: u64, previous: u16, current: u16, at: Duration) -> Membership {
    let identity = Identity {
        instance: "i0".into(),
        incarnation,
        zone: "zone".into(),
        shard: "main".into(),
        peer_address: row(0).peer_address,
    };
    let mut membership = Membership::new(identity, Adoption::Immediate, 1);
    let table = Table {
        version: 2,
        rows: (0..current).map(row).collect(),
        previous_rows: (0..previous).map(row).collect(),
        ..Table::default()
    };
    // A table that came from a peer proves nothing about the platform.
    let reply = EvidenceReply {
        shard: "main".to_owned(),
        instance: "other".to_owned(),
        incarnation: 1,
        table_version: 2,
        table: serde_json::to_vec(&table).expect("a table has a JSON form").into(),
        ..EvidenceReply::default()
    };
    membership.handle(at, Event::EvidenceReceived { sent_at: Duration::ZERO, reply });
    assert_eq!(membership.version(), 2);
    membership
}

/// Row `number` says that it holds a version; the ages of the others are given in 20 ms.
fn answer(number: u16, version: u64, ages: &[u8]) -> EvidenceReply {
    EvidenceReply {
        shard: "main".to_owned(),
        instance: format!("i{number}"),
        incarnation: 1,
        table_version: version,
        ages: ages.to_vec().into(),
        loads: vec![0; ages.len()].into(),
        ..EvidenceReply::default()
    }
}

/// Guards against evidence whose age is counted from its arrival: a process that was paused
/// would take old answers for fresh ones.
#[test]
fn late_answer_gives_no_fresh_lease() {
    let start = 100 * SECOND;
    let mut membership = node(3, 3, start);
    let arrival = start + 10 * SECOND;
    let event = Event::EvidenceReceived { sent_at: start, reply: answer(1, 2, &[]) };
    membership.handle(arrival, event);
    assert_eq!(membership.row_until(), start + LEASE_TERM);
}

/// Guards against relayed evidence that loses the age it had at the relay.
#[test]
fn ages_add_up_over_a_relay() {
    let start = 100 * SECOND;
    let mut membership = node(5, 5, start);
    let ages = [255, 0, 50, 255, 255];
    let event = Event::EvidenceReceived { sent_at: start, reply: answer(1, 2, &ages) };
    membership.handle(start + SECOND, event);
    assert_eq!(membership.row_until(), start - SECOND + LEASE_TERM);
}

/// Guards against a lease that rests on half of the rows.
#[test]
fn half_of_the_rows_gives_no_lease() {
    let start = 100 * SECOND;
    let mut membership = node(4, 4, start);
    membership.handle(start, Event::EvidenceReceived { sent_at: start, reply: answer(1, 2, &[]) });
    assert_eq!(membership.row_until(), Duration::ZERO);
    membership.handle(start, Event::EvidenceReceived { sent_at: start, reply: answer(2, 2, &[]) });
    assert_eq!(membership.row_until(), start + LEASE_TERM);
}

/// Guards against a settlement while a lease under the older version may still be valid: one
/// that waits a shorter term than leases last, or that does not wait at all.
#[test]
fn majority_settles_after_the_whole_term_and_the_margin() {
    let start = 100 * SECOND;
    let mut membership = node(3, 2, start);
    let known_at = start + SECOND;
    membership
        .handle(known_at, Event::EvidenceReceived { sent_at: start, reply: answer(1, 2, &[]) });
    let settles_at = known_at + LEASE_TERM + CLOCK_MARGIN;
    membership.handle(settles_at - STEP, Event::Tick);
    assert!(!membership.is_settled(), "settled before every older lease has ended");
    membership.handle(settles_at, Event::Tick);
    assert!(membership.is_settled());
}

/// Guards against a settlement that rests on rows of the new version: they say nothing about the
/// leases under the older one.
#[test]
fn rows_that_joined_do_not_settle_a_version() {
    let start = 100 * SECOND;
    let mut membership = node(3, 5, start);
    for joined in [3, 4] {
        let reply = answer(joined, 2, &[]);
        membership.handle(start, Event::EvidenceReceived { sent_at: start, reply });
    }
    membership.handle(start + 60 * SECOND, Event::Tick);
    assert!(!membership.is_settled());
}

/// Guards against a wait where every row of the older version has adopted the newer one.
#[test]
fn version_settles_at_once_when_all_have_adopted_it() {
    let start = 100 * SECOND;
    let mut membership = node(3, 3, start);
    for number in [1, 2] {
        assert!(!membership.is_settled());
        let reply = answer(number, 2, &[]);
        membership.handle(start, Event::EvidenceReceived { sent_at: start, reply });
    }
    assert!(membership.is_settled());
}

/// Guards against a table that no restarted process can ever change: the last node of a shrunken
/// table was the only one to know that its version is settled.
#[test]
fn restarted_process_counts_its_older_one_as_replaced() {
    let start = 100 * SECOND;
    let mut membership = process(2, 1, 1, start);
    membership.handle(start + LEASE_TERM, Event::Tick);
    assert!(!membership.is_settled(), "the older process may be paused with a valid lease");
    membership.handle(start + LEASE_TERM + CLOCK_MARGIN, Event::Tick);
    assert!(membership.is_settled());
}

/// Guards against a lease under a version that rows are known to have left.
#[test]
fn rows_that_hold_a_newer_version_support_no_lease() {
    let start = 100 * SECOND;
    let mut membership = node(3, 3, start);
    let mut reply = answer(1, 3, &[]);
    reply.table = Default::default();
    membership.handle(start, Event::EvidenceReceived { sent_at: start, reply });
    assert_eq!(membership.row_until(), Duration::ZERO);
}

/// Guards against a version that peers count as adopted while this node still lends more than its
/// share under that version.
#[test]
fn offered_version_is_reported_only_after_consent() {
    let identity = Identity {
        instance: "i0".into(),
        incarnation: 1,
        zone: "zone".into(),
        shard: "main".into(),
        peer_address: row(0).peer_address,
    };
    let mut membership = Membership::new(identity, Adoption::OnApproval, 1);
    let table = Table { version: 1, rows: vec![row(0), row(1)], ..Table::default() };
    membership.handle(SECOND, Event::TableSeen { began: SECOND, table });
    assert_eq!(membership.version(), 0);
    assert_eq!(membership.row_until(), Duration::ZERO);
    let version = membership.pending_view().expect("an offered table").table.version;
    membership.handle(2 * SECOND, Event::AdoptionApproved { version });
    assert_eq!(membership.version(), 1);
    // The lease counts from the read, not from the consent.
    assert_eq!(membership.row_until(), SECOND + LEASE_TERM);
    assert!(membership.pending_view().is_none());
}
