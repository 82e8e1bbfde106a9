//! Records of idempotency keys at the row that owns them.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use uuid::Uuid;

use crate::{
    call::{Answer, Reason},
    clock::{Timestamp, UnixTime},
    membership::{Row, View},
    names::{OrganisationName, ServiceName, TableVersion},
    once::history::{Epoch, History, RowIdentity},
};

/// How long the record of a request is retained after its outcome is known.
pub const KEY_WINDOW: Duration = Duration::from_secs(600);
/// Largest offset between the wall clocks of a caller and a node.
pub const CLOCK_ALLOWANCE: Duration = Duration::from_secs(2);
/// Memory of a record without its answer, rounded up from the sizes of the types.
const RECORD_BYTES: usize = 256;
/// Largest answer that a record stores; a larger one becomes [`RecordedOutcome::AnswerNotStored`].
const MAX_KEPT_ANSWER_BYTES: usize = 64 << 10;

/// Limits of the memory that records use.
#[derive(Debug, Clone, Copy)]
pub struct RecordLimits {
    /// Largest number of records.
    pub max_records: usize,
    /// Largest size of all records and their answers together.
    pub max_bytes: usize,
}

impl Default for RecordLimits {
    fn default() -> Self {
        // The memory of a node is limited to 128 MB. At 200 keyed requests per second, the records
        // of the key window (10 min) just fit.
        Self { max_records: 120_000, max_bytes: 48 << 20 }
    }
}

/// Identity of a request that must run at most once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyedRequest {
    /// Idempotency key, a UUIDv7.
    pub idempotency_key: Uuid,
    /// Organisation that the request runs for.
    pub organisation: Option<OrganisationName>,
    /// Digest of method, path and body.
    pub digest: [u8; 32],
}

/// Inputs of a decision about a key: clocks, membership view and lease.
#[derive(Debug, Clone, Copy)]
pub struct ClaimContext<'a> {
    /// Monotonic time since boot.
    pub now: Timestamp,
    /// Wall-clock time.
    pub unix_now: UnixTime,
    /// Membership table that the node has adopted.
    pub view: &'a View,
    /// Whether the lease of the node's row is valid.
    pub lease_is_valid: bool,
}

/// Outcome of a recorded request.
#[derive(Debug, Clone)]
pub enum RecordedOutcome {
    /// The complete response of the upstream.
    Answer(Arc<Answer>),
    /// The request was answered completely, but its answer was too large to be stored.
    AnswerNotStored,
    /// The outcome is unknown: the request may have run.
    Unknown(Reason),
}

/// Permission to run a request once. It must be passed to [`KeyRecords::finish`] with the outcome
/// or, if nothing was sent, to [`KeyRecords::release`].
#[derive(Debug, PartialEq, Eq)]
#[must_use = "the record stays open until the token is passed to `finish` or `release`"]
pub struct RunToken {
    idempotency_key: Uuid,
    serial: u64,
}

/// Why this node refuses to run a request; the attempt has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimRefusal {
    /// The lease is not valid, another row owns the key, or the key has no owner yet.
    NotOwner,
    /// The node is leaving and hands over its records.
    Leaving,
    /// The key was used before with a different request or by another organisation.
    OtherRequest,
    /// The key's timestamp is more than [`CLOCK_ALLOWANCE`] in the future.
    KeyInFuture,
    /// The limits of [`RecordLimits`] are reached.
    Full,
}

/// Decision of a key's owner on a request.
#[derive(Debug)]
pub enum Claim {
    /// The key is new: it is recorded now and the request may run.
    Run(RunToken),
    /// The same request is running.
    InProgress,
    /// The same request has ended with this outcome.
    Recorded(RecordedOutcome),
    /// Unknown outcome: the request may have run before, since this node's records do not cover
    /// the key's timestamp.
    HistoryUnknown,
    /// The request must not run here.
    Refused(ClaimRefusal),
}

/// State of a recorded request; `serial` is the one of the [`RunToken`] that may end the run.
#[derive(Debug)]
enum RecordState {
    Running { serial: u64 },
    Done { outcome: RecordedOutcome, expires_at: Timestamp },
}

#[derive(Debug)]
struct Record {
    organisation: Option<OrganisationName>,
    digest: [u8; 32],
    state: RecordState,
    bytes: usize,
}

/// A record that a leaving node sends to a successor.
#[derive(Debug, Clone)]
pub struct HandedOverRecord {
    /// Identity of the request.
    pub request: KeyedRequest,
    /// Outcome of the request.
    pub outcome: RecordedOutcome,
    /// Time until the record expires.
    pub remaining: Duration,
}

/// All records that a leaving node sends to one successor.
#[derive(Debug, Clone)]
pub struct Handover {
    /// Row that receives the records.
    pub successor: Row,
    /// Service of the keys.
    pub service: ServiceName,
    /// Last table version under which the leaving node owned keys.
    pub table_version: TableVersion,
    /// The leaving node has the records of all its keys with a later timestamp.
    pub complete_after: UnixTime,
    /// The records for this successor.
    pub records: Vec<HandedOverRecord>,
}

/// A complete handover that this node has received from a leaving one.
#[derive(Debug)]
struct ReceivedHandover {
    service: ServiceName,
    table_version: TableVersion,
    complete_after: UnixTime,
    received_at: Timestamp,
}

/// The idempotency-key records of one node.
#[derive(Debug)]
pub struct KeyRecords {
    limits: RecordLimits,
    history: History,
    records: HashMap<Uuid, Record>,
    /// Keys of the ended records in the order of their expiry.
    ended_by_expiry: VecDeque<(Timestamp, Uuid)>,
    bytes: usize,
    next_serial: u64,
    /// Latest timestamp among the keys of expired records; a new key with this or an earlier
    /// timestamp must not run.
    latest_expired_timestamp: UnixTime,
    is_handing_over: bool,
    received_handovers: HashMap<RowIdentity, ReceivedHandover>,
}

/// Returns the timestamp of a UUIDv7; `None` for other UUIDs.
pub fn key_timestamp(idempotency_key: Uuid) -> Option<UnixTime> {
    let (seconds, nanoseconds) = idempotency_key.get_timestamp()?.to_unix();
    Some(Duration::new(seconds, nanoseconds))
}

impl KeyRecords {
    /// Creates the empty records of a process that has just started.
    pub fn new(identity: RowIdentity, limits: RecordLimits) -> Self {
        Self {
            limits,
            history: History::new(identity),
            records: HashMap::new(),
            ended_by_expiry: VecDeque::new(),
            bytes: 0,
            next_serial: 0,
            latest_expired_timestamp: Duration::ZERO,
            is_handing_over: false,
            received_handovers: HashMap::new(),
        }
    }

    /// Applies the view that the node has adopted, and removes expired records.
    pub fn observe(&mut self, view: &View, now: Timestamp, unix_now: UnixTime) {
        self.history.observe(view, unix_now, KEY_WINDOW + CLOCK_ALLOWANCE * 2);
        if self.is_handing_over && !self.history.is_member() && view.table.version > 0 {
            // The successors own the keys now. If the node joins again, it accepts keys again.
            self.is_handing_over = false;
        }
        self.expire(now);
    }

    /// Decides whether a request may run, and records it if so.
    pub fn claim(&mut self, request: &KeyedRequest, claim_context: &ClaimContext<'_>) -> Claim {
        self.observe(claim_context.view, claim_context.now, claim_context.unix_now);
        if let Some(record) = self.records.get(&request.idempotency_key) {
            if record.digest != request.digest || record.organisation != request.organisation {
                return Claim::Refused(ClaimRefusal::OtherRequest);
            }
            return match &record.state {
                RecordState::Running { .. } => Claim::InProgress,
                RecordState::Done { outcome, .. } => Claim::Recorded(outcome.clone()),
            };
        }
        if let Err(refusal) = self.check_claim(request.idempotency_key, claim_context) {
            return Claim::Refused(refusal);
        }
        let Some(stamped_at) = key_timestamp(request.idempotency_key) else {
            return Claim::HistoryUnknown;
        };
        if stamped_at > claim_context.unix_now + CLOCK_ALLOWANCE {
            return Claim::Refused(ClaimRefusal::KeyInFuture);
        }
        match self.records_complete_after(request.idempotency_key) {
            Some(after)
                if stamped_at
                    > after.max(self.oldest_retained_timestamp(claim_context.unix_now)) => {}
            _ => return Claim::HistoryUnknown,
        }
        if self.records.len() >= self.limits.max_records
            || self.bytes + RECORD_BYTES > self.limits.max_bytes
        {
            return Claim::Refused(ClaimRefusal::Full);
        }
        Claim::Run(self.open_record(request))
    }

    /// Checks that this node may still run a key; to be repeated immediately before the first byte
    /// is sent to the upstream.
    pub fn check_claim(
        &self,
        idempotency_key: Uuid,
        claim_context: &ClaimContext<'_>,
    ) -> Result<(), ClaimRefusal> {
        if self.is_handing_over {
            return Err(ClaimRefusal::Leaving);
        }
        let identity = self.history.identity();
        let service = self.history.epochs.back().and_then(|epoch| epoch.service.as_ref());
        let owner = service.and_then(|service| claim_context.view.owner(service, idempotency_key));
        match owner {
            Some(row)
                if claim_context.lease_is_valid && RowIdentity::from_row(row) == *identity =>
            {
                Ok(())
            }
            _ => Err(ClaimRefusal::NotOwner),
        }
    }

    /// Stores the outcome of a run in its record.
    pub fn finish(&mut self, token: RunToken, outcome: RecordedOutcome, now: Timestamp) {
        let Some(record) = self.records.get_mut(&token.idempotency_key) else { return };
        if !matches!(record.state, RecordState::Running { serial } if serial == token.serial) {
            return;
        }
        let (outcome, bytes) =
            fit_into_memory(outcome, self.limits.max_bytes.saturating_sub(self.bytes));
        let expires_at = now + KEY_WINDOW;
        record.state = RecordState::Done { outcome, expires_at };
        record.bytes += bytes;
        self.bytes += bytes;
        self.ended_by_expiry.push_back((expires_at, token.idempotency_key));
    }

    /// Removes the record of a request of which nothing was sent to the upstream.
    pub fn release(&mut self, token: RunToken) {
        let is_running = self.records.get(&token.idempotency_key).is_some_and(
            |it| matches!(it.state, RecordState::Running { serial } if serial == token.serial),
        );
        if is_running {
            self.remove_record(token.idempotency_key);
        }
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Memory that the records use, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Number of recorded requests that are still running.
    pub fn running_count(&self) -> usize {
        self.records.len() - self.ended_by_expiry.len()
    }

    /// Refuses new keys from now on, since the node leaves.
    ///
    /// The refusal lasts until the node adopts a table in which its row is not an active member. A
    /// successor relies on it as soon as it has the records.
    pub fn start_handover(&mut self) {
        self.is_handing_over = true;
    }

    /// Whether new keys are refused because the node is leaving; see [`Self::start_handover`].
    pub fn is_handing_over(&self) -> bool {
        self.is_handing_over
    }

    /// Returns the records for each successor. Requests that are still running are handed over with
    /// an unknown outcome.
    pub fn handovers(&self, now: Timestamp) -> Vec<Handover> {
        let Some((epoch, table_version)) = self.history.last_epoch_as_member() else {
            return Vec::new();
        };
        let Some(service) = &epoch.service else { return Vec::new() };
        let identity = self.history.identity();
        let complete_after = self.all_records_complete_after();
        let mut handovers: Vec<Handover> = epoch
            .members
            .iter()
            .filter(|row| RowIdentity::from_row(row) != *identity)
            .map(|row| Handover {
                successor: row.clone(),
                service: service.clone(),
                table_version,
                complete_after,
                records: Vec::new(),
            })
            .collect();
        for (key, record) in &self.records {
            let Some(successor) = epoch.owner_without(identity, *key) else { continue };
            let handover = handovers.iter_mut().find(|it| it.successor == *successor);
            if let Some(handover) = handover {
                handover.records.push(to_handed_over_record(*key, record, now));
            }
        }
        handovers
    }

    /// Stores records of a leaving node. Returns false if the memory did not suffice for all of
    /// them.
    pub fn receive_records(&mut self, records: Vec<HandedOverRecord>, now: Timestamp) -> bool {
        self.expire(now);
        let mut is_complete = true;
        for handed_over in records {
            let key = handed_over.request.idempotency_key;
            if self.records.contains_key(&key) {
                continue;
            }
            let free_bytes = self.limits.max_bytes.saturating_sub(self.bytes);
            if self.records.len() >= self.limits.max_records || free_bytes < RECORD_BYTES {
                is_complete = false;
                continue;
            }
            let (outcome, answer_bytes) =
                fit_into_memory(handed_over.outcome, free_bytes - RECORD_BYTES);
            let expires_at = now + handed_over.remaining.min(KEY_WINDOW);
            let bytes = RECORD_BYTES + answer_bytes;
            self.bytes += bytes;
            self.records.insert(
                key,
                Record {
                    organisation: handed_over.request.organisation,
                    digest: handed_over.request.digest,
                    state: RecordState::Done { outcome, expires_at },
                    bytes,
                },
            );
            let index = self.ended_by_expiry.partition_point(|(other, _)| *other <= expires_at);
            self.ended_by_expiry.insert(index, (expires_at, key));
        }
        is_complete
    }

    /// Notes that a leaving node has handed over all its records of the keys that this node owns
    /// after it.
    pub fn record_complete_handover(
        &mut self,
        from: RowIdentity,
        service: ServiceName,
        table_version: TableVersion,
        complete_after: UnixTime,
        now: Timestamp,
    ) {
        self.received_handovers.retain(|_, received| received.received_at + KEY_WINDOW * 2 > now);
        let received =
            ReceivedHandover { service, table_version, complete_after, received_at: now };
        self.received_handovers.insert(from, received);
    }

    fn open_record(&mut self, request: &KeyedRequest) -> RunToken {
        let serial = self.next_serial;
        self.next_serial += 1;
        self.records.insert(
            request.idempotency_key,
            Record {
                organisation: request.organisation.clone(),
                digest: request.digest,
                state: RecordState::Running { serial },
                bytes: RECORD_BYTES,
            },
        );
        self.bytes += RECORD_BYTES;
        RunToken { idempotency_key: request.idempotency_key, serial }
    }

    fn remove_record(&mut self, key: Uuid) {
        if let Some(record) = self.records.remove(&key) {
            self.bytes -= record.bytes;
        }
    }

    fn expire(&mut self, now: Timestamp) {
        while self.ended_by_expiry.front().is_some_and(|(expires_at, _)| *expires_at <= now) {
            let Some((_, key)) = self.ended_by_expiry.pop_front() else { return };
            self.remove_record(key);
            // If the wall clock is set back later, an expired key must not be treated as new.
            self.latest_expired_timestamp =
                self.latest_expired_timestamp.max(key_timestamp(key).unwrap_or_default());
        }
    }

    /// Returns the timestamp up to which the records of keys may have expired.
    fn oldest_retained_timestamp(&self, unix_now: UnixTime) -> UnixTime {
        let window = KEY_WINDOW.saturating_sub(CLOCK_ALLOWANCE * 2);
        self.latest_expired_timestamp.max(unix_now.saturating_sub(window))
    }

    /// Returns the timestamp after which this node's records of a key are complete: if the key is
    /// stamped later, no run of it is missing here. `None` if runs may be missing in any case.
    fn records_complete_after(&self, key: Uuid) -> Option<UnixTime> {
        let identity = self.history.identity();
        let mut since = None;
        for (index, epoch) in self.history.epochs.iter().enumerate().rev() {
            let owner = epoch.owner(key);
            if owner.is_some_and(|row| RowIdentity::from_row(row) == *identity) {
                since = epoch.settled_at.or(since);
                continue;
            }
            let own = since.map(|since| since + CLOCK_ALLOWANCE);
            let inherited =
                owner.and_then(|row| self.handover_complete_after(index, epoch, row, key));
            return own.into_iter().chain(inherited).min();
        }
        since.map(|since| since + CLOCK_ALLOWANCE)
    }

    /// Returns the timestamp after which a previous owner's complete handover covers a key, or
    /// `None` if the handover does not apply to the key.
    fn handover_complete_after(
        &self,
        index: usize,
        epoch: &Epoch,
        owner: &Row,
        key: Uuid,
    ) -> Option<UnixTime> {
        let leaver = RowIdentity::from_row(owner);
        let received = self.received_handovers.get(&leaver)?;
        let is_in_epoch = (epoch.first_version..=self.history.last_version_of(index))
            .contains(&received.table_version);
        let successor = epoch.owner_without(&leaver, key)?;
        // The leaving node chose the successors among the rows of its version. If another row
        // joined or left since then, the record may have been sent to a different node.
        let is_successor = RowIdentity::from_row(successor) == *self.history.identity();
        let is_usable =
            is_in_epoch && is_successor && epoch.service.as_ref() == Some(&received.service);
        is_usable.then_some(received.complete_after)
    }

    /// Like [`Self::records_complete_after`], for all keys that this node owns.
    fn all_records_complete_after(&self) -> UnixTime {
        let identity = self.history.identity();
        let mut after = self.latest_expired_timestamp;
        let mut newer: Option<&Epoch> = None;
        for (index, epoch) in self.history.epochs.iter().enumerate().rev() {
            if let Some(newer) = newer
                && newer.has_member(identity)
            {
                let settled = newer.settled_at.unwrap_or(Duration::MAX - CLOCK_ALLOWANCE);
                let removed = epoch
                    .members
                    .iter()
                    .map(RowIdentity::from_row)
                    .filter(|row| !newer.has_member(row));
                let removed: Vec<RowIdentity> = removed.collect();
                if !epoch.has_member(identity) {
                    return after.max(settled + CLOCK_ALLOWANCE);
                }
                for row in removed {
                    after = after.max(
                        self.sole_handover_complete_after(&row, index)
                            .unwrap_or(settled + CLOCK_ALLOWANCE),
                    );
                }
            }
            newer = Some(epoch);
        }
        let oldest = newer.and_then(|epoch| epoch.settled_at);
        after.max(oldest.map_or(Duration::MAX, |at| at + CLOCK_ALLOWANCE))
    }

    /// Returns the timestamp after which the handover of a row that left after an epoch is
    /// complete, or `None` if the keys that this node gained may have been owned by other rows as
    /// well.
    fn sole_handover_complete_after(&self, row: &RowIdentity, index: usize) -> Option<UnixTime> {
        let received = self.received_handovers.get(row)?;
        let epoch = self.history.epochs.get(index)?;
        let next = self.history.epochs.get(index + 1)?;
        let is_in_epoch = (epoch.first_version..=self.history.last_version_of(index))
            .contains(&received.table_version);
        // If the leaving row is the only change, every key that this node gained was owned by it.
        let is_only_change = next.members.len() + 1 == epoch.members.len()
            && next.members.iter().all(|member| epoch.has_member(&RowIdentity::from_row(member)));
        (is_in_epoch && is_only_change).then_some(received.complete_after)
    }
}

fn to_handed_over_record(key: Uuid, record: &Record, now: Timestamp) -> HandedOverRecord {
    let (outcome, remaining) = match &record.state {
        RecordState::Running { .. } => (RecordedOutcome::Unknown(Reason::Leaving), KEY_WINDOW),
        RecordState::Done { outcome, expires_at } => {
            (outcome.clone(), expires_at.saturating_sub(now))
        }
    };
    HandedOverRecord {
        request: KeyedRequest {
            idempotency_key: key,
            organisation: record.organisation.clone(),
            digest: record.digest,
        },
        outcome,
        remaining,
    }
}

/// Replaces an answer that exceeds the free memory or [`MAX_KEPT_ANSWER_BYTES`], and returns the
/// size of the stored answer.
fn fit_into_memory(outcome: RecordedOutcome, free_bytes: usize) -> (RecordedOutcome, usize) {
    let RecordedOutcome::Answer(answer) = &outcome else {
        return (outcome, 0);
    };
    let headers = answer.headers.iter().map(|(name, value)| name.as_str().len() + value.len());
    let bytes = answer.body.len() + headers.sum::<usize>();
    match bytes <= free_bytes.min(MAX_KEPT_ANSWER_BYTES) {
        true => (outcome, bytes),
        false => (RecordedOutcome::AnswerNotStored, 0),
    }
}
