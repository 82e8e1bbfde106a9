//! Records of idempotency keys, quarantine of requests that crash upstreams, and tasks that go on
//! after their caller disconnects.

use std::{
    collections::VecDeque,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures::future::join_all;
use parking_lot::Mutex;
use tokio::{sync::RwLock, time::timeout};
use tokio_util::{sync::CancellationToken, task::TaskTracker};
use uuid::Uuid;

use crate::{
    call::{
        Answer, CallContext, NotRun, Outcome, Reason, Undispatched, Unknown, final_status, headers,
    },
    clock::{self, Timestamp},
    membership::{Row, View},
    names::ServiceName,
    node::Shared,
    once::{
        Claim, ClaimContext, ClaimRefusal, CrashId, Fingerprint, HandedOverRecord, Handover,
        KeyRecords, KeyedRequest, Quarantine, QuarantineEntry, QuarantineStatus, RecordLimits,
        RecordedOutcome, RowIdentity, RunToken,
    },
    peers::proto,
};

/// Time that the other rows of a service have to confirm a crash report. The answer to the caller
/// waits for the confirmations.
const CRASH_REPORT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time that a successor has to confirm one message of a handover.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(2);
/// Time that a leaving node waits for running requests before it hands over the records.
const RUNNING_REQUESTS_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval at which the records are brought up to the current view while no request does so.
const OBSERVE_INTERVAL: Duration = Duration::from_millis(100);
const RUNNING_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Bytes of answer bodies after which a handover message is sent; the last answer may exceed it.
const HANDOVER_BATCH_BYTES: usize = 256 << 10;
const HANDOVER_BATCH_RECORDS: usize = 1000;
/// Maximum number of quarantine entries in one evidence reply, which must stay small.
const MAX_QUARANTINE_ENTRIES_SENT: usize = 64;
/// Time for which an abandoned request is assumed to be still running in the upstream.
const ABANDONED_LIFETIME: Duration = Duration::from_secs(10);
const MAX_ABANDONED_REQUESTS: usize = 256;
/// Retry-After for a request that the owner of its idempotency key cannot run now.
const OWNER_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Records of idempotency keys, quarantine of requests that crash upstreams, and tasks that go on
/// after their caller disconnects.
#[derive(Debug)]
pub struct OnceState {
    records: Mutex<KeyRecords>,
    quarantine: Mutex<Quarantine>,
    abandoned: Mutex<VecDeque<AbandonedRequest>>,
    /// Held shared by each running request, and exclusively by a request that is suspected of
    /// crashing upstreams.
    pub run_lock: RwLock<()>,
    /// Tasks that run requests, report crashes or hand over records.
    pub tasks: TaskTracker,
}

/// A request that the upstream may still be running although the node stopped waiting for its
/// answer.
#[derive(Debug)]
struct AbandonedRequest {
    abandoned_at: Timestamp,
    run_id: Uuid,
    fingerprint: Fingerprint,
}

/// Record of a running request with an idempotency key. If it is dropped without
/// [`close`](Self::close), the recorded outcome is unknown.
#[derive(Debug)]
pub struct OpenRecord<'a> {
    state: &'a OnceState,
    token: Option<RunToken>,
    idempotency_key: Uuid,
}

impl OnceState {
    /// Creates the state of a node that has just started and has this row identity.
    pub fn new(identity: RowIdentity) -> Self {
        Self {
            records: Mutex::new(KeyRecords::new(identity, RecordLimits::default())),
            quarantine: Mutex::default(),
            abandoned: Mutex::default(),
            run_lock: RwLock::default(),
            tasks: TaskTracker::new(),
        }
    }

    /// Decides whether a request with an idempotency key may run, and opens a record for it.
    ///
    /// The record is `None` if the request is idempotent or has no idempotency key.
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
        let lease = LeaseSnapshot::read(shared);
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
            Claim::Recorded(outcome) => Err(Box::new(outcome_from_record(outcome))),
            Claim::HistoryUnknown => Err(Box::new(Outcome::Unknown(Unknown {
                reason: Reason::KeyHistoryUnknown,
                detail: "the key's record is gone or its owner has changed since its timestamp"
                    .to_owned(),
            }))),
            Claim::Refused(refusal) => {
                Err(Box::new(Outcome::NotRun(refuse_claim(undispatched, refusal))))
            }
        }
    }

    /// Repeats the checks of the lease and of the key's owner immediately before the request is
    /// sent to the upstream.
    pub fn recheck_claim(
        &self,
        shared: &Shared,
        record: Option<&OpenRecord<'_>>,
        undispatched: Undispatched,
    ) -> Result<Undispatched, NotRun> {
        let Some(record) = record else {
            return Ok(undispatched);
        };
        let lease = LeaseSnapshot::read(shared);
        let view = shared.view.load();
        let checked =
            self.records.lock().check_claim(record.idempotency_key, &lease.claim_context(&view));
        match checked {
            Ok(()) => Ok(undispatched),
            Err(refusal) => Err(refuse_claim(undispatched, refusal)),
        }
    }

    /// Returns whether a request may run, must run alone or is quarantined.
    pub fn quarantine_status(&self, fingerprint: &Fingerprint) -> QuarantineStatus {
        self.quarantine.lock().status(fingerprint, clock::now())
    }

    /// Removes the suspicion from a request that ran alone without a crash of the upstream.
    pub fn clear_suspect(&self, fingerprint: &Fingerprint) {
        self.quarantine.lock().clear_suspect(fingerprint);
    }

    /// Records a request that was abandoned while the upstream was running it.
    pub fn record_abandoned(&self, run_id: Uuid, fingerprint: Fingerprint) {
        let now = clock::now();
        let mut abandoned = self.abandoned.lock();
        let is_old =
            |entry: &AbandonedRequest| now.saturating_sub(entry.abandoned_at) > ABANDONED_LIFETIME;
        while abandoned.len() >= MAX_ABANDONED_REQUESTS || abandoned.front().is_some_and(is_old) {
            abandoned.pop_front();
        }
        abandoned.push_back(AbandonedRequest { abandoned_at: now, run_id, fingerprint });
    }

    /// Removes all abandoned requests and returns those that the upstream process `run_id` may
    /// still have been running.
    fn take_abandoned(&self, run_id: Uuid, now: Timestamp) -> Vec<Fingerprint> {
        let entries = std::mem::take(&mut *self.abandoned.lock());
        let recent = entries.into_iter().filter(|entry| {
            entry.run_id == run_id && now.saturating_sub(entry.abandoned_at) <= ABANDONED_LIFETIME
        });
        recent.map(|entry| entry.fingerprint).collect()
    }

    /// Records a crash and reports it to the other rows of the service.
    ///
    /// The abandoned requests that the upstream may still have been running are suspected too.
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
        let other_rows = view.table.rows.iter().filter(|row| {
            row.service.as_ref() == Some(service) && row.instance != shared.settings.instance
        });
        let reports = other_rows.map(|row| {
            let mut client = shared.peers.client(row.peer_address);
            let report = report.clone();
            async move {
                match timeout(CRASH_REPORT_TIMEOUT, client.report_crash(report)).await {
                    Ok(Ok(_)) => {}
                    _ => log::warn!(
                        "{} did not confirm a crash report (limit {CRASH_REPORT_TIMEOUT:?}); \
                         answering the caller without its confirmation",
                        row.instance
                    ),
                }
            }
        });
        join_all(reports).await;
    }

    /// Quarantine entries for an evidence reply.
    pub fn quarantine_entries(&self) -> Vec<proto::QuarantineEntry> {
        let entries = self.quarantine.lock().entries(clock::now(), MAX_QUARANTINE_ENTRIES_SENT);
        entries.iter().map(entry_to_proto).collect()
    }

    /// Merges the entries of a crash report or of an evidence reply into the quarantine.
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

    /// Number of fingerprints that are quarantined or suspected.
    pub fn quarantine_count(&self) -> usize {
        self.quarantine.lock().len()
    }

    /// Applies each new view to the records until `stop`, so that a settled table takes effect soon
    /// and records expire also while no request arrives.
    pub async fn follow_view(&self, shared: &Shared, stop: CancellationToken) {
        let mut interval = tokio::time::interval(OBSERVE_INTERVAL);
        loop {
            tokio::select! {
                _ = interval.tick() => {}
                () = stop.cancelled() => return,
            }
            let view = shared.view.load();
            let mut records = self.records.lock();
            let was_handing_over = records.is_handing_over();
            records.observe(&view, clock::now(), clock::unix_now());
            if was_handing_over && !records.is_handing_over() {
                // If the upstream has announced itself in the meantime, its service can join again.
                shared.own_row_changed.notify_one();
            }
        }
    }

    /// Returns whether the records are being handed over, so that the row must leave before it may
    /// own keys again.
    pub fn is_handing_over(&self) -> bool {
        self.records.lock().is_handing_over()
    }

    /// Stops accepting new idempotency keys and hands the records over to the successors.
    ///
    /// Requests that do not end within `RUNNING_REQUESTS_TIMEOUT` are handed over with an unknown
    /// outcome.
    pub async fn hand_over(&self, shared: &Shared) {
        self.records.lock().start_handover();
        let until = Instant::now() + RUNNING_REQUESTS_TIMEOUT;
        while self.records.lock().running_count() > 0 && Instant::now() < until {
            tokio::time::sleep(RUNNING_POLL_INTERVAL).await;
        }
        let handovers = self.records.lock().handovers(clock::now());
        let transfers = handovers.into_iter().map(|handover| send_handover(shared, handover));
        join_all(transfers).await;
    }

    /// Stores records that a leaving node hands over; returns false if a record is invalid or
    /// there is no room for all of them.
    pub fn receive_handover(&self, message: proto::HandoverRequest) -> bool {
        let now = clock::now();
        let records: Option<Vec<HandedOverRecord>> =
            message.records.into_iter().map(record_from_proto).collect();
        let Some(records) = records else {
            return false;
        };
        let mut own_records = self.records.lock();
        let accepted = own_records.receive_records(records, now);
        if accepted && message.complete {
            own_records.record_complete_handover(
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
    /// Closes the record with the outcome of the request.
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
            // The task failed; it is unknown whether it had sent the request to the upstream.
            self.state.finish(token, RecordedOutcome::Unknown(Reason::UpstreamFailed));
        }
    }
}

/// Returns the row that owns the idempotency key of a request, if there is one.
pub fn owner(shared: &Shared, service: &ServiceName, key: Uuid) -> Option<Row> {
    shared.view.load().owner(service, key).cloned()
}

/// Refuses a request with an idempotency key that has no owner at the moment.
pub fn refuse_without_owner(undispatched: Undispatched) -> NotRun {
    undispatched
        .refuse(Reason::NoLease, "the owner of the idempotency key is changing")
        .retry_after(OWNER_RETRY_DELAY)
}

/// State of the row lease, read before the view. Since a new view is published before its lease, an
/// older table is never used under the lease of a newer one.
struct LeaseSnapshot {
    now: Timestamp,
    is_valid: bool,
}

impl LeaseSnapshot {
    fn read(shared: &Shared) -> Self {
        let now = clock::now();
        Self { now, is_valid: shared.lease.row_is_valid(now) }
    }

    fn claim_context<'a>(&self, view: &'a View) -> ClaimContext<'a> {
        let unix_now = clock::unix_now();
        ClaimContext { now: self.now, unix_now, view, lease_is_valid: self.is_valid }
    }
}

fn outcome_from_record(outcome: RecordedOutcome) -> Outcome {
    match outcome {
        RecordedOutcome::Answer(answer) => Outcome::Whole(Answer::clone(&answer)),
        RecordedOutcome::AnswerNotStored => Outcome::Unknown(Unknown {
            reason: Reason::KeyHistoryUnknown,
            detail: "the request ran to its end, but its answer was not kept".to_owned(),
        }),
        RecordedOutcome::Unknown(reason) => Outcome::Unknown(Unknown {
            reason,
            detail: "recorded: the outcome of the first attempt is not known".to_owned(),
        }),
    }
}

fn refuse_claim(undispatched: Undispatched, refusal: ClaimRefusal) -> NotRun {
    match refusal {
        ClaimRefusal::NotOwner => undispatched
            .refuse(Reason::NoLease, "this node may not run the idempotency key now")
            .retry_after(OWNER_RETRY_DELAY),
        ClaimRefusal::Leaving => undispatched
            .refuse(Reason::Leaving, "the owner of the idempotency key is leaving")
            .retry_after(OWNER_RETRY_DELAY),
        ClaimRefusal::OtherRequest => undispatched
            .refuse(Reason::BadRequest, "the idempotency key was used with another request"),
        ClaimRefusal::KeyInFuture => undispatched.refuse(
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
    match send_handover_batches(shared, handover).await {
        Ok(()) => log::info!("handed {count} idempotency records over to {successor}"),
        Err(error) => log::warn!(
            "handing {count} idempotency records over to {successor} failed: {error}; keys \
             without a record there get an unknown outcome"
        ),
    }
}

async fn send_handover_batches(shared: &Shared, handover: Handover) -> anyhow::Result<()> {
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
        // Each message is confirmed before the next is sent, so the last one marks a complete set.
        message.complete = records.peek().is_none();
        let reply = timeout(HANDOVER_TIMEOUT, client.handover(message.clone())).await??;
        anyhow::ensure!(
            reply.into_inner().accepted,
            "the successor did not accept all records: its memory is full or a record is invalid"
        );
        if message.complete {
            return Ok(());
        }
    }
}

/// Converts to milliseconds and rounds up, so that the time is never too early.
fn ceil_ms(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).map_or(u64::MAX, |ms| ms.saturating_add(1))
}

fn record_to_proto(record: HandedOverRecord) -> proto::KeyRecord {
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
        RecordedOutcome::AnswerNotStored => message.set_outcome(proto::Outcome::Whole),
        RecordedOutcome::Unknown(reason) => {
            message.set_outcome(proto::Outcome::Unknown);
            message.reason = reason.as_str().to_owned();
        }
    }
    message
}

fn record_from_proto(message: proto::KeyRecord) -> Option<HandedOverRecord> {
    let outcome = match message.outcome() {
        proto::Outcome::Whole if message.status == 0 => RecordedOutcome::AnswerNotStored,
        proto::Outcome::Whole => RecordedOutcome::Answer(Arc::new(Answer {
            status: final_status(message.status)?,
            headers: headers::from_proto(&message.headers),
            body: message.body,
        })),
        _ => RecordedOutcome::Unknown(
            Reason::from_name(&message.reason).unwrap_or(Reason::KeyHistoryUnknown),
        ),
    };
    Some(HandedOverRecord {
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
        remaining_ms: clock::to_millis(entry.remaining),
        crash_ids: entry.crash_ids(),
    }
}

fn entry_from_proto(message: &proto::QuarantineEntry) -> Option<QuarantineEntry> {
    let remaining = Duration::from_millis(message.remaining_ms);
    QuarantineEntry::from_parts(&message.fingerprint, &message.crash_ids, remaining)
}
