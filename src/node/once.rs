//! The node's records of idempotency keys, its quarantine and the tasks that outlive a caller.

use std::{
    collections::VecDeque,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures::future::join_all;
use http::StatusCode;
use parking_lot::Mutex;
use tokio::{sync::RwLock, time::timeout};
use tokio_util::{sync::CancellationToken, task::TaskTracker};
use uuid::Uuid;

use crate::{
    call::{Answer, CallContext, NotRun, Outcome, Reason, Undispatched, Unknown, headers},
    clock::{self, Timestamp},
    membership::{Row, View},
    names::ServiceName,
    node::Shared,
    once::{
        Claim, ClaimContext, ClaimRefusal, CrashId, Fingerprint, HandedRecord, Handover,
        KeyRecords, KeyedRequest, Quarantine, QuarantineEntry, QuarantineStatus, RecordLimits,
        RecordedOutcome, RowIdentity, RunToken,
    },
    peers::proto,
};

/// Time in which the rows of a service confirm a crash before the answer goes out.
const CRASH_REPORT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for one message of a handover.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(2);
/// Time in which running requests end before a leaving node hands over their records.
const RUNNING_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval at which the records follow the view between requests.
const OBSERVE_INTERVAL: Duration = Duration::from_millis(100);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Bytes of answers in one message; a message may hold one answer more.
const HANDOVER_BATCH_BYTES: usize = 256 << 10;
const HANDOVER_BATCH_RECORDS: usize = 1000;
/// Entries in one message; a reply to a pull of evidence must stay small.
const MAX_SENT_ENTRIES: usize = 64;
/// Time for which a request that was given up may still run in the upstream.
const ABANDONED_TIME: Duration = Duration::from_secs(10);
const MAX_ABANDONED: usize = 256;
/// When a caller may send a key again whose owner is changing or leaving.
const OWNER_RETRY_DELAY: Duration = Duration::from_secs(1);

/// The node's records of idempotency keys, its quarantine and the tasks that outlive a caller.
#[derive(Debug)]
pub struct OnceState {
    records: Mutex<KeyRecords>,
    quarantine: Mutex<Quarantine>,
    abandoned: Mutex<VecDeque<Abandoned>>,
    /// Held shared by each running request and exclusively by a suspect.
    pub alone: RwLock<()>,
    /// Dispatches and crash reports.
    pub tasks: TaskTracker,
}

/// A request whose answer the node no longer waits for.
#[derive(Debug)]
struct Abandoned {
    at: Timestamp,
    run_id: Uuid,
    fingerprint: Fingerprint,
}

/// An open record; it ends as unknown where it is dropped after the dispatch began.
#[derive(Debug)]
pub struct OpenRecord<'a> {
    state: &'a OnceState,
    token: Option<RunToken>,
    idempotency_key: Uuid,
}

impl OnceState {
    /// Makes the state of a row that has just started.
    pub fn new(identity: RowIdentity) -> Self {
        Self {
            records: Mutex::new(KeyRecords::new(identity, RecordLimits::default())),
            quarantine: Mutex::default(),
            abandoned: Mutex::default(),
            alone: RwLock::default(),
            tasks: TaskTracker::new(),
        }
    }

    /// Decides whether a request with an idempotency key runs, and records it if so.
    ///
    /// `None` means that the request has no idempotency key.
    pub fn claim<'a>(
        &'a self,
        shared: &Shared,
        context: &CallContext,
        undispatched: Undispatched,
    ) -> Result<(Undispatched, Option<OpenRecord<'a>>), Box<Outcome>> {
        let Some(key) = context.idempotency_key.filter(|_| !context.idempotent) else {
            return Ok((undispatched, None));
        };
        let request = KeyedRequest {
            idempotency_key: key,
            organisation: context.organisation.clone(),
            digest: context.request_digest,
        };
        let lease = LeaseNow::read(shared);
        let view = shared.view.load();
        let claim = self.records.lock().claim(&request, &lease.claim_context(&view));
        match claim {
            Claim::Run(token) => {
                let mut undispatched = undispatched;
                undispatched.cover_request();
                let record = OpenRecord { state: self, token: Some(token), idempotency_key: key };
                Ok((undispatched, Some(record)))
            }
            Claim::InProgress => {
                let not_run = undispatched
                    .refuse(Reason::InProgress, "a request with this idempotency key is running");
                Err(Box::new(Outcome::NotRun(not_run.retry_after(OWNER_RETRY_DELAY))))
            }
            Claim::Recorded(outcome) => Err(Box::new(recorded(outcome))),
            Claim::HistoryUnknown => Err(Box::new(Outcome::Unknown(Unknown {
                reason: Reason::KeyHistoryUnknown,
                detail: "the key's record is gone or its owner has changed since its timestamp"
                    .to_owned(),
            }))),
            Claim::Refused(refusal) => {
                Err(Box::new(Outcome::NotRun(refuse(undispatched, refusal))))
            }
        }
    }

    /// Checks the lease and the ownership again, immediately before the write to the upstream.
    pub fn check_again(
        &self,
        shared: &Shared,
        record: Option<&OpenRecord<'_>>,
        undispatched: Undispatched,
    ) -> Result<Undispatched, NotRun> {
        let Some(record) = record else {
            return Ok(undispatched);
        };
        let lease = LeaseNow::read(shared);
        let view = shared.view.load();
        let checked =
            self.records.lock().check(record.idempotency_key, &lease.claim_context(&view));
        match checked {
            Ok(()) => Ok(undispatched),
            Err(refusal) => Err(refuse(undispatched, refusal)),
        }
    }

    /// How a request may run.
    pub fn quarantine_status(&self, fingerprint: &Fingerprint) -> QuarantineStatus {
        self.quarantine.lock().status(fingerprint, clock::now())
    }

    /// A suspect ran alone and its upstream did not crash.
    pub fn clear_suspect(&self, fingerprint: &Fingerprint) {
        self.quarantine.lock().clear_suspect(fingerprint);
    }

    /// A request was given up while the upstream was running it.
    pub fn abandoned(&self, run_id: Uuid, fingerprint: Fingerprint) {
        let now = clock::now();
        let mut abandoned = self.abandoned.lock();
        let is_old = |entry: &Abandoned| now.saturating_sub(entry.at) > ABANDONED_TIME;
        while abandoned.len() >= MAX_ABANDONED || abandoned.front().is_some_and(is_old) {
            abandoned.pop_front();
        }
        abandoned.push_back(Abandoned { at: now, run_id, fingerprint });
    }

    /// Takes the requests that a run of the upstream may still have been running.
    fn take_abandoned(&self, run_id: Uuid, now: Timestamp) -> Vec<Fingerprint> {
        let entries = std::mem::take(&mut *self.abandoned.lock());
        let recent = entries.into_iter().filter(|entry| {
            entry.run_id == run_id && now.saturating_sub(entry.at) <= ABANDONED_TIME
        });
        recent.map(|entry| entry.fingerprint).collect()
    }

    /// Notes a crash and tells it to the rows of the service.
    pub async fn report_crash(
        &self,
        shared: &Shared,
        service: &ServiceName,
        fingerprint: Fingerprint,
        crash: CrashId,
    ) {
        let now = clock::now();
        let mut fingerprints = self.take_abandoned(crash, now);
        fingerprints.push(fingerprint);
        let entries = {
            let mut quarantine = self.quarantine.lock();
            for fingerprint in &fingerprints {
                quarantine.record_crash(*fingerprint, crash, now);
            }
            let entries = fingerprints.iter().filter_map(|it| quarantine.entry(it, now));
            entries.map(|entry| entry_to_proto(&entry)).collect()
        };
        let report = proto::CrashReport { entries };
        let view = shared.view.load_full();
        let others = view.table.rows.iter().filter(|row| {
            row.service.as_ref() == Some(service) && row.instance != shared.settings.instance
        });
        let reports = others.map(|row| {
            let mut client = shared.peers.client(row.peer_address);
            let report = report.clone();
            async move {
                match timeout(CRASH_REPORT_TIMEOUT, client.report_crash(report)).await {
                    Ok(Ok(_)) => {}
                    _ => log::warn!("{} did not confirm a crash report", row.instance),
                }
            }
        });
        join_all(reports).await;
    }

    /// What a reply to a pull of evidence carries about requests that crash upstreams.
    pub fn quarantine_entries(&self) -> Vec<proto::QuarantineEntry> {
        let entries = self.quarantine.lock().entries(clock::now(), MAX_SENT_ENTRIES);
        entries.iter().map(entry_to_proto).collect()
    }

    /// Takes in the entries of a crash report or of a reply to a pull of evidence.
    pub fn merge_quarantine(&self, entries: &[proto::QuarantineEntry]) {
        let now = clock::now();
        let mut quarantine = self.quarantine.lock();
        for entry in entries.iter().filter_map(entry_from_proto) {
            quarantine.merge(&entry, now);
        }
    }

    /// Number of records of idempotency keys.
    pub fn record_count(&self) -> usize {
        self.records.lock().len()
    }

    /// Number of fingerprints in quarantine or under suspicion.
    pub fn quarantine_count(&self) -> usize {
        self.quarantine.lock().len()
    }

    /// Follows the view until `stop`, so that settlements are seen soon and records expire.
    pub async fn follow_view(&self, shared: &Shared, stop: CancellationToken) {
        let mut interval = tokio::time::interval(OBSERVE_INTERVAL);
        loop {
            tokio::select! {
                _ = interval.tick() => {}
                () = stop.cancelled() => return,
            }
            let view = shared.view.load();
            let mut records = self.records.lock();
            let handed_over = records.is_handing_over();
            records.observe(&view, clock::now(), clock::unix_now());
            if handed_over && !records.is_handing_over() {
                // An upstream that came back meanwhile may join again.
                shared.announced.notify_one();
            }
        }
    }

    /// The records are with the successors, and the row must give up the service.
    pub fn is_handing_over(&self) -> bool {
        self.records.lock().is_handing_over()
    }

    /// Hands the records to the successors; no new key runs here from now on.
    ///
    /// Requests that do not end in time are handed over as unknown.
    pub async fn hand_over(&self, shared: &Shared) {
        self.records.lock().start_handover();
        let until = Instant::now() + RUNNING_TIMEOUT;
        while self.records.lock().running() > 0 && Instant::now() < until {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        let handovers = self.records.lock().handovers(clock::now());
        let sendings = handovers.into_iter().map(|handover| send_handover(shared, handover));
        join_all(sendings).await;
    }

    /// Takes records that a leaving node hands over.
    pub fn receive_handover(&self, message: proto::HandoverRequest) -> bool {
        let now = clock::now();
        let records: Option<Vec<HandedRecord>> =
            message.records.into_iter().map(record_from_proto).collect();
        let Some(records) = records else {
            return false;
        };
        let mut own = self.records.lock();
        let accepted = own.receive(records, now);
        if accepted && message.complete {
            own.receive_complete(
                RowIdentity { instance: message.instance.into(), incarnation: message.incarnation },
                message.service.into(),
                message.table_version,
                Duration::from_millis(message.complete_after_unix_ms),
                now,
            );
        }
        accepted
    }

    fn finish(&self, token: RunToken, outcome: RecordedOutcome) {
        self.records.lock().finish(token, outcome, clock::now());
    }
}

impl OpenRecord<'_> {
    /// Ends the record with the outcome of the request.
    pub fn close(mut self, outcome: &Outcome) {
        let Some(token) = self.token.take() else { return };
        match outcome {
            Outcome::Whole(answer) => {
                let answer = RecordedOutcome::Answer(Arc::new(answer.clone()));
                self.state.finish(token, answer);
            }
            Outcome::NotRun(_) => self.state.records.lock().release(token),
            Outcome::Unknown(unknown) => {
                self.state.finish(token, RecordedOutcome::Unknown(unknown.reason));
            }
        }
    }
}

impl Drop for OpenRecord<'_> {
    fn drop(&mut self) {
        if let Some(token) = self.token.take() {
            // The task failed; whether it had sent the request is not known here.
            self.state.finish(token, RecordedOutcome::Unknown(Reason::UpstreamFailed));
        }
    }
}

/// The row that owns the idempotency key of a request.
pub fn owner(shared: &Shared, service: &ServiceName, key: Uuid) -> Option<Row> {
    shared.view.load().owner(service, key).cloned()
}

/// Refuses a request whose key has no owner at the moment.
pub fn refuse_without_owner(undispatched: Undispatched) -> NotRun {
    undispatched
        .refuse(Reason::NoLease, "the owner of the idempotency key is changing")
        .retry_after(OWNER_RETRY_DELAY)
}

/// The lease as it was before the view is read; the view is published first, so that an older
/// table is never used under the lease of a newer one.
struct LeaseNow {
    now: Timestamp,
    is_valid: bool,
}

impl LeaseNow {
    fn read(shared: &Shared) -> Self {
        let now = clock::now();
        Self { now, is_valid: shared.lease.row_is_valid(now) }
    }

    fn claim_context<'a>(&self, view: &'a View) -> ClaimContext<'a> {
        let unix_now = clock::unix_now();
        ClaimContext { now: self.now, unix_now, view, lease_is_valid: self.is_valid }
    }
}

fn recorded(outcome: RecordedOutcome) -> Outcome {
    match outcome {
        RecordedOutcome::Answer(answer) => Outcome::Whole(Answer::clone(&answer)),
        RecordedOutcome::AnswerNotKept => Outcome::Unknown(Unknown {
            reason: Reason::KeyHistoryUnknown,
            detail: "the request ran to its end, but its answer was not kept".to_owned(),
        }),
        RecordedOutcome::Unknown(reason) => Outcome::Unknown(Unknown {
            reason,
            detail: "recorded: the outcome of the first attempt is not known".to_owned(),
        }),
    }
}

fn refuse(undispatched: Undispatched, refusal: ClaimRefusal) -> NotRun {
    match refusal {
        ClaimRefusal::NotOwner => undispatched
            .refuse(Reason::NoLease, "this node may not run the idempotency key now")
            .retry_after(OWNER_RETRY_DELAY),
        ClaimRefusal::Leaving => undispatched
            .refuse(Reason::Leaving, "the owner of the idempotency key is leaving")
            .retry_after(OWNER_RETRY_DELAY),
        ClaimRefusal::OtherRequest => undispatched
            .refuse(Reason::BadRequest, "the idempotency key was used with another request"),
        ClaimRefusal::Future => undispatched.refuse(
            Reason::BadRequest,
            "the idempotency key's timestamp lies more than 2 s in the future",
        ),
        ClaimRefusal::Full => undispatched
            .refuse(Reason::Overload, "the memory for records of idempotency keys is full")
            .retry_after(OWNER_RETRY_DELAY),
    }
}

async fn send_handover(shared: &Shared, handover: Handover) {
    let successor = handover.successor.instance.clone();
    let count = handover.records.len();
    match send_batches(shared, handover).await {
        Ok(()) => log::info!("handed {count} records to {successor}"),
        Err(error) => log::warn!("handing {count} records to {successor} failed: {error}"),
    }
}

async fn send_batches(shared: &Shared, handover: Handover) -> anyhow::Result<()> {
    let mut client = shared.peers.client(handover.successor.peer_address);
    let mut message = proto::HandoverRequest {
        service: handover.service.to_string(),
        table_version: handover.table_version,
        instance: shared.settings.instance.to_string(),
        incarnation: shared.incarnation,
        complete_after_unix_ms: ceil_ms(handover.complete_after),
        ..Default::default()
    };
    let mut records = handover.records.into_iter().map(record_to_proto).peekable();
    loop {
        let mut bytes = 0;
        message.records.clear();
        for record in records.by_ref() {
            bytes += record.body.len();
            message.records.push(record);
            if bytes >= HANDOVER_BATCH_BYTES || message.records.len() >= HANDOVER_BATCH_RECORDS {
                break;
            }
        }
        // Each message is confirmed before the next, so the last one closes a complete set.
        message.complete = records.peek().is_none();
        let reply = timeout(HANDOVER_TIMEOUT, client.handover(message.clone())).await??;
        anyhow::ensure!(reply.into_inner().accepted, "the successor has no room");
        if message.complete {
            return Ok(());
        }
    }
}

/// Rounds up, so that the time is never too early.
fn ceil_ms(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).map_or(u64::MAX, |ms| ms.saturating_add(1))
}

fn record_to_proto(record: HandedRecord) -> proto::KeyRecord {
    let mut message = proto::KeyRecord {
        key: Bytes::copy_from_slice(record.request.idempotency_key.as_bytes()),
        organisation: record.request.organisation.as_deref().unwrap_or_default().to_owned(),
        request_digest: Bytes::copy_from_slice(&record.request.digest),
        remaining_ms: ceil_ms(record.remaining),
        ..Default::default()
    };
    match record.outcome {
        RecordedOutcome::Answer(answer) => {
            message.set_outcome(proto::Outcome::Whole);
            message.status = u32::from(answer.status.as_u16());
            message.headers = headers::to_proto(&answer.headers);
            message.body = answer.body.clone();
        }
        RecordedOutcome::AnswerNotKept => message.set_outcome(proto::Outcome::Whole),
        RecordedOutcome::Unknown(reason) => {
            message.set_outcome(proto::Outcome::Unknown);
            message.reason = reason.as_str().to_owned();
        }
    }
    message
}

fn record_from_proto(message: proto::KeyRecord) -> Option<HandedRecord> {
    let outcome = match message.outcome() {
        proto::Outcome::Whole if message.status == 0 => RecordedOutcome::AnswerNotKept,
        proto::Outcome::Whole => RecordedOutcome::Answer(Arc::new(Answer {
            status: StatusCode::from_u16(u16::try_from(message.status).ok()?).ok()?,
            headers: headers::from_proto(&message.headers),
            body: message.body,
        })),
        _ => RecordedOutcome::Unknown(
            Reason::from_name(&message.reason).unwrap_or(Reason::KeyHistoryUnknown),
        ),
    };
    Some(HandedRecord {
        request: KeyedRequest {
            idempotency_key: Uuid::from_slice(&message.key).ok()?,
            organisation: (!message.organisation.is_empty())
                .then(|| Arc::from(message.organisation.as_str())),
            digest: message.request_digest.as_ref().try_into().ok()?,
        },
        outcome,
        remaining: Duration::from_millis(message.remaining_ms),
    })
}

fn entry_to_proto(entry: &QuarantineEntry) -> proto::QuarantineEntry {
    proto::QuarantineEntry {
        fingerprint: entry.fingerprint_bytes(),
        crashes: u32::try_from(entry.crashes.len()).unwrap_or(u32::MAX),
        remaining_ms: clock::millis(entry.remaining),
        crash_ids: entry.crash_ids(),
    }
}

fn entry_from_proto(message: &proto::QuarantineEntry) -> Option<QuarantineEntry> {
    let remaining = Duration::from_millis(message.remaining_ms);
    QuarantineEntry::from_parts(&message.fingerprint, &message.crash_ids, remaining)
}
