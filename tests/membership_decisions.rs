//! Decisions of one node about its leases and about the settlement of table versions.

use std::{net::SocketAddr, time::Duration};

use hibiscusdoor::{
    membership::{
        Adoption, CLOCK_MARGIN, Event, Identity, LEASE_TERM, Membership, Row, RowState, Table,
    },
    peers::proto::{EvidenceReply, EvidenceRequest},
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

/// Creates node `i0` with an adopted table of `current` rows and `previous` previous rows.
fn node_with_table(previous: u16, current: u16, at: Duration) -> Membership {
    process_with_table(1, previous, current, at)
}

/// Like [`node_with_table`], for a process of `i0` that may be later than the one in its row.
fn process_with_table(incarnation: u64, previous: u16, current: u16, at: Duration) -> Membership {
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
    // A table from a peer gives no lease: only a platform read shows that it is the newest.
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

/// Creates the reply of row `number`, which holds `version`; `ages` are in units of 20 ms.
fn reply_from(number: u16, version: u64, ages: &[u8]) -> EvidenceReply {
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

/// Guards against measuring the age of evidence from its arrival: a process that was paused would
/// treat old replies as recent ones.
#[test]
fn late_answer_gives_no_fresh_lease() {
    let start = 100 * SECOND;
    let mut membership = node_with_table(3, 3, start);
    let arrival = start + 10 * SECOND;
    let event = Event::EvidenceReceived { sent_at: start, reply: reply_from(1, 2, &[]) };
    membership.handle(arrival, event);
    assert_eq!(membership.row_until(), start + LEASE_TERM);
}

/// Guards against relayed evidence without the age that it already had at the relaying node.
#[test]
fn ages_add_up_over_a_relay() {
    let start = 100 * SECOND;
    let mut membership = node_with_table(5, 5, start);
    let ages = [255, 0, 50, 255, 255];
    let event = Event::EvidenceReceived { sent_at: start, reply: reply_from(1, 2, &ages) };
    membership.handle(start + SECOND, event);
    assert_eq!(membership.row_until(), start - SECOND + LEASE_TERM);
}

/// Guards against a lease with evidence about only half of the rows.
#[test]
fn half_of_the_rows_gives_no_lease() {
    let start = 100 * SECOND;
    let mut membership = node_with_table(4, 4, start);
    membership
        .handle(start, Event::EvidenceReceived { sent_at: start, reply: reply_from(1, 2, &[]) });
    assert_eq!(membership.row_until(), Duration::ZERO);
    membership
        .handle(start, Event::EvidenceReceived { sent_at: start, reply: reply_from(2, 2, &[]) });
    assert_eq!(membership.row_until(), start + LEASE_TERM);
}

/// Guards against a settlement while a lease under the older version may still be valid, because
/// the wait is shorter than the lease term and the clock margin, or missing.
#[test]
fn majority_settles_after_the_whole_term_and_the_margin() {
    let start = 100 * SECOND;
    let mut membership = node_with_table(3, 2, start);
    let known_at = start + SECOND;
    membership
        .handle(known_at, Event::EvidenceReceived { sent_at: start, reply: reply_from(1, 2, &[]) });
    let settles_at = known_at + LEASE_TERM + CLOCK_MARGIN;
    membership.handle(settles_at - STEP, Event::Tick);
    assert!(!membership.is_settled(), "settled before every older lease has ended");
    membership.handle(settles_at, Event::Tick);
    assert!(membership.is_settled());
}

/// Guards against counting rows that only the new version has towards a settlement: they show
/// nothing about the leases under the older version.
#[test]
fn rows_that_joined_do_not_settle_a_version() {
    let start = 100 * SECOND;
    let mut membership = node_with_table(3, 5, start);
    for joined in [3, 4] {
        let reply = reply_from(joined, 2, &[]);
        membership.handle(start, Event::EvidenceReceived { sent_at: start, reply });
    }
    membership.handle(start + 60 * SECOND, Event::Tick);
    assert!(!membership.is_settled());
}

/// Guards against an unnecessary wait after every row of the older version has adopted the newer
/// one.
#[test]
fn version_settles_at_once_when_all_have_adopted_it() {
    let start = 100 * SECOND;
    let mut membership = node_with_table(3, 3, start);
    for number in [1, 2] {
        assert!(!membership.is_settled());
        let reply = reply_from(number, 2, &[]);
        membership.handle(start, Event::EvidenceReceived { sent_at: start, reply });
    }
    assert!(membership.is_settled());
}

/// Guards against a table that can never be updated again: only the process of the last remaining
/// row knew that the version was settled, and that process was restarted.
#[test]
fn restarted_process_counts_its_older_one_as_replaced() {
    let start = 100 * SECOND;
    let mut membership = process_with_table(2, 1, 1, start);
    membership.handle(start + LEASE_TERM, Event::Tick);
    assert!(!membership.is_settled(), "the older process may be paused with a valid lease");
    membership.handle(start + LEASE_TERM + CLOCK_MARGIN, Event::Tick);
    assert!(membership.is_settled());
}

/// Guards against a lease with evidence from rows that already hold a newer version.
#[test]
fn rows_that_hold_a_newer_version_support_no_lease() {
    let start = 100 * SECOND;
    let mut membership = node_with_table(3, 3, start);
    let mut reply = reply_from(1, 3, &[]);
    reply.table = Default::default();
    membership.handle(start, Event::EvidenceReceived { sent_at: start, reply });
    assert_eq!(membership.row_until(), Duration::ZERO);
}

/// Guards against reporting a version as adopted while this node's outstanding loans still exceed
/// its share under that version.
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
    membership.handle(SECOND, Event::TableObserved { began: SECOND, table });
    assert_eq!(membership.version(), 0);
    assert_eq!(membership.row_until(), Duration::ZERO);
    let version = membership.pending_view().expect("a table that waits for approval").table.version;
    membership.handle(2 * SECOND, Event::AdoptionApproved { version });
    assert_eq!(membership.version(), 1);
    // The lease is measured from the read, not from the approval.
    assert_eq!(membership.row_until(), SECOND + LEASE_TERM);
    assert!(membership.pending_view().is_none());
}

/// Guards against reporting a node as never heard of although its request has arrived: the node was
/// paused before another one had pulled its evidence.
#[test]
fn a_request_shows_that_its_sender_was_heard_of() {
    let start = 100 * SECOND;
    let mut membership = node_with_table(3, 3, start);
    let request = EvidenceRequest {
        shard: "main".to_owned(),
        instance: "i1".to_owned(),
        incarnation: 1,
        table_version: 2,
        revision: 1,
        ..EvidenceRequest::default()
    };
    membership.answer_pull(start + SECOND, &request);
    let evidence = membership.evidence(start + 2 * SECOND);
    assert_eq!(evidence.rows[1].revision, 1);
    assert_eq!(evidence.rows[1].heard_at, Some(start + SECOND));
    // A request may have been in transit for any time, so no lease may rest on it.
    assert_eq!(evidence.rows[1].evidence_at, None);
    assert_eq!(evidence.rows[2].heard_at, None);
}
