//! Limits of the idempotency-key records, and the counting of crashes.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use hibiscusdoor::{
    call::Answer,
    membership::{Row, RowState, Table, View},
    once::{
        Claim, ClaimContext, ClaimRefusal, KEY_WINDOW, KeyRecords, KeyedRequest, Quarantine,
        QuarantineStatus, RecordLimits, RecordedOutcome, RowIdentity,
    },
};
use http::{HeaderMap, StatusCode};
use uuid::Uuid;

const START: Duration = Duration::from_secs(1_800_000_000);

fn single_row_view() -> View {
    let row = Row {
        instance: "i00".into(),
        incarnation: 1,
        zone: "zone-a".into(),
        service: Some("drops".into()),
        peer_address: SocketAddr::from(([127, 0, 0, 1], 1)),
        weight: 1,
        state: RowState::Active,
    };
    View { table: Arc::new(Table::default().next_version(vec![row])), is_settled: true }
}

fn request(unix: Duration, number: u8) -> KeyedRequest {
    let ms = u64::try_from(unix.as_millis()).expect("a time in range");
    KeyedRequest {
        idempotency_key: uuid::Builder::from_unix_timestamp_millis(ms, &[number; 10]).into_uuid(),
        organisation: Some("bole-bars".into()),
        digest: [number; 32],
    }
}

struct Owner {
    records: KeyRecords,
    view: View,
}

impl Owner {
    fn new(limits: RecordLimits) -> Self {
        let identity = RowIdentity { instance: "i00".into(), incarnation: 1 };
        let view = single_row_view();
        let mut records = KeyRecords::new(identity, limits);
        records.observe(&view, Duration::ZERO, START);
        Self { records, view }
    }

    fn claim(&mut self, request: &KeyedRequest, now: Duration, unix_now: Duration) -> Claim {
        let claim_context = ClaimContext { now, unix_now, view: &self.view, lease_is_valid: true };
        self.records.claim(request, &claim_context)
    }

    fn run_request(&mut self, request: &KeyedRequest, now: Duration, body: &'static [u8]) {
        let Claim::Run(token) = self.claim(request, now, START + now) else {
            panic!("the claim does not permit the request to run");
        };
        let (headers, body) = (HeaderMap::new(), Bytes::from_static(body));
        let answer = Answer { status: StatusCode::OK, headers, body };
        self.records.finish(token, RecordedOutcome::Answer(Arc::new(answer)), now);
    }
}

/// Guards against removing a record before its expiry in favour of a new key.
#[test]
fn full_records_refuse_new_keys_and_keep_old_ones() {
    let mut owner = Owner::new(RecordLimits { max_records: 3, max_bytes: 1 << 20 });
    let now = Duration::from_secs(10);
    let requests: Vec<KeyedRequest> = (0..4).map(|number| request(START + now, number)).collect();
    for request in &requests[..3] {
        owner.run_request(request, now, b"answer");
    }
    let refused = owner.claim(&requests[3], now, START + now);
    assert!(matches!(refused, Claim::Refused(ClaimRefusal::Full)), "{refused:?}");
    for request in &requests[..3] {
        let again = owner.claim(request, now, START + now);
        assert!(matches!(again, Claim::Recorded(RecordedOutcome::Answer(_))), "{again:?}");
    }
    assert_eq!(owner.records.len(), 3);
}

/// Guards against storing an answer that exceeds the memory limit, and against a second run of a
/// key with an answer that was not stored.
#[test]
fn answer_without_room_is_known_to_have_run() {
    let mut owner = Owner::new(RecordLimits { max_records: 10, max_bytes: 600 });
    let now = Duration::from_secs(10);
    let first = request(START + now, 1);
    owner.run_request(&first, now, &[7; 500]);
    assert!(owner.records.bytes() <= 600);
    let again = owner.claim(&first, now, START + now);
    assert!(matches!(again, Claim::Recorded(RecordedOutcome::AnswerNotStored)), "{again:?}");
}

/// Guards against treating a key with an expired record as new after the wall clock was set back.
#[test]
fn forgotten_key_never_runs_again() {
    let mut owner = Owner::new(RecordLimits::default());
    let now = Duration::from_secs(10);
    let first = request(START + now, 1);
    owner.run_request(&first, now, b"answer");
    let later = now + KEY_WINDOW + Duration::from_secs(1);
    for unix_now in [START + later, START + now] {
        let again = owner.claim(&first, later, unix_now);
        assert!(matches!(again, Claim::HistoryUnknown), "{again:?}");
    }
    assert!(owner.records.is_empty());
}

/// Guards against running keys with a timestamp in the future, or from before this node was known
/// to own them.
#[test]
fn stamp_outside_the_allowance_does_not_run() {
    let mut owner = Owner::new(RecordLimits::default());
    let now = Duration::from_secs(10);
    let future = request(START + now + Duration::from_millis(2100), 1);
    let refused = owner.claim(&future, now, START + now);
    assert!(matches!(refused, Claim::Refused(ClaimRefusal::KeyInFuture)), "{refused:?}");
    let early = request(START + Duration::from_secs(2), 2);
    let unknown = owner.claim(&early, now, START + now);
    assert!(matches!(unknown, Claim::HistoryUnknown), "{unknown:?}");
    let late = request(START + Duration::from_millis(2001), 3);
    assert!(matches!(owner.claim(&late, now, START + now), Claim::Run(_)));
}

/// Guards against counting one crash twice, or two crashes as one.
#[test]
fn crash_reports_add_up_by_crash() {
    let (now, fingerprint) = (Duration::from_secs(10), [1; 32]);
    let (first, second) = (Uuid::from_u128(1), Uuid::from_u128(2));
    let mut here = Quarantine::default();
    let mut there = Quarantine::default();
    here.record_crash(fingerprint, first, now);
    here.record_crash(fingerprint, first, now);
    let report = here.entry(&fingerprint, now).expect("an entry");
    there.merge(&report, now);
    there.merge(&report, now);
    assert_eq!(there.status(&fingerprint, now), QuarantineStatus::Suspect);
    there.clear_suspect(&fingerprint);
    there.merge(&report, now);
    assert_eq!(there.status(&fingerprint, now), QuarantineStatus::Clear);
    there.record_crash(fingerprint, second, now);
    here.merge(&there.entry(&fingerprint, now).expect("an entry"), now);
    for quarantine in [&here, &there] {
        assert!(matches!(
            quarantine.status(&fingerprint, now),
            QuarantineStatus::Quarantined { .. }
        ));
    }
    let end = now + Duration::from_secs(300);
    assert_eq!(here.status(&fingerprint, end), QuarantineStatus::Clear);
}
