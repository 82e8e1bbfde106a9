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

/// How long an outcome is remembered after it is known.
pub const KEY_WINDOW: Duration = Duration::from_secs(600);
/// Largest offset between the wall clocks of a caller and a node.
pub const CLOCK_ALLOWANCE: Duration = Duration::from_secs(2);
/// Memory that a record takes beside its answer; measured by no run, rounded up from the sizes
/// of the types.
const RECORD_BYTES: usize = 256;
/// Answers that one record keeps at most; a larger one is remembered as not kept.
const MAX_KEPT_ANSWER_BYTES: usize = 64 << 10;

/// Bounds of the memory that records take.
#[derive(Debug, Clone, Copy)]
pub struct RecordLimits {
    /// Records.
    pub max_records: usize,
    /// Bytes of records and answers together.
    pub max_bytes: usize,
}

impl Default for RecordLimits {
    fn default() -> Self {
        // A node may spend 128 MB in all; 200 requests a second fill these records in 10 min.
        Self { max_records: 120_000, max_bytes: 48 << 20 }
    }
}

/// What names a non-idempotent request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyedRequest {
    /// Idempotency key, a UUIDv7.
    pub idempotency_key: Uuid,
    /// Organisation that the request runs for.
    pub organisation: Option<OrganisationName>,
    /// Digest of method, path and body.
    pub digest: [u8; 32],
}

/// What the owner knows at the moment of a decision.
#[derive(Debug, Clone, Copy)]
pub struct ClaimContext<'a> {
    /// Time since boot.
    pub now: Timestamp,
    /// Wall clock.
    pub unix_now: UnixTime,
    /// Membership table that the node has adopted.
    pub view: &'a View,
    /// The lease of the node's row is valid.
    pub lease_is_valid: bool,
}

/// How a recorded request ended.
#[derive(Debug, Clone)]
pub enum RecordedOutcome {
    /// The whole answer.
    Answer(Arc<Answer>),
    /// The request ran to its end, but its answer was too large to be kept.
    AnswerNotKept,
    /// The request may have run.
    Unknown(Reason),
}

/// Permission to run a request once; it must come back with the outcome or unused.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "the record stays open until the token comes back"]
pub struct RunToken {
    idempotency_key: Uuid,
    serial: u64,
}

/// Why a key does not run here; the attempt did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimRefusal {
    /// The lease is not valid, or another row owns the key, or nobody does yet.
    NotOwner,
    /// The records are being handed over.
    Leaving,
    /// The key was used with another request or by another organisation.
    OtherRequest,
    /// The key's timestamp lies too far in the future.
    Future,
    /// The memory for records is full.
    Full,
}

/// What the owner does with a request.
#[derive(Debug)]
pub enum Claim {
    /// Nothing is on record: it is recorded now and may run.
    Run(RunToken),
    /// The same request is running.
    InProgress,
    /// The same request ended.
    Recorded(RecordedOutcome),
    /// Nobody can tell whether the request ran before.
    HistoryUnknown,
    /// It does not run.
    Refused(ClaimRefusal),
}

#[derive(Debug)]
enum State {
    Running { serial: u64 },
    Done { outcome: RecordedOutcome, until: Timestamp },
}

#[derive(Debug)]
struct Record {
    organisation: Option<OrganisationName>,
    digest: [u8; 32],
    state: State,
    bytes: usize,
}

/// A record on its way to another row.
#[derive(Debug, Clone)]
pub struct HandedRecord {
    /// What names the request.
    pub request: KeyedRequest,
    /// How it ended.
    pub outcome: RecordedOutcome,
    /// Time for which it is remembered.
    pub remaining: Duration,
}

/// All that one successor gets from a row that leaves.
#[derive(Debug, Clone)]
pub struct Handover {
    /// Row that gets the records.
    pub successor: Row,
    /// Service of the keys.
    pub service: ServiceName,
    /// Last version under which the leaving row ran keys.
    pub table_version: TableVersion,
    /// The leaving row has the records of all keys that are stamped later.
    pub complete_after: UnixTime,
    /// The records.
    pub records: Vec<HandedRecord>,
}

#[derive(Debug)]
struct Received {
    service: ServiceName,
    table_version: TableVersion,
    complete_after: UnixTime,
    at: Timestamp,
}

/// The records of one row.
#[derive(Debug)]
pub struct KeyRecords {
    limits: RecordLimits,
    history: History,
    records: HashMap<Uuid, Record>,
    // Ended records in the order of their ends.
    ended: VecDeque<(Timestamp, Uuid)>,
    bytes: usize,
    next_serial: u64,
    /// The latest stamp among the records that were forgotten; no key up to it runs again.
    forgotten_until: UnixTime,
    handing_over: bool,
    received: HashMap<RowIdentity, Received>,
}

/// Time that a UUIDv7 was stamped with.
pub fn key_timestamp(idempotency_key: Uuid) -> Option<UnixTime> {
    let (seconds, nanoseconds) = idempotency_key.get_timestamp()?.to_unix();
    Some(Duration::new(seconds, nanoseconds))
}

impl KeyRecords {
    /// Makes the records of a row that has just started.
    pub fn new(identity: RowIdentity, limits: RecordLimits) -> Self {
        Self {
            limits,
            history: History::new(identity),
            records: HashMap::new(),
            ended: VecDeque::new(),
            bytes: 0,
            next_serial: 0,
            forgotten_until: Duration::ZERO,
            handing_over: false,
            received: HashMap::new(),
        }
    }

    /// Takes in the view that the node has adopted, and forgets what is past the window.
    pub fn observe(&mut self, view: &View, now: Timestamp, unix_now: UnixTime) {
        self.history.observe(view, unix_now, KEY_WINDOW + CLOCK_ALLOWANCE * 2);
        if self.handing_over && !self.history.is_member() && view.table.version > 0 {
            // The successors own the keys now; a later membership begins anew.
            self.handing_over = false;
        }
        self.expire(now);
    }

    /// Decides what happens to a request and records it where it may run.
    pub fn claim(&mut self, request: &KeyedRequest, claim_context: &ClaimContext<'_>) -> Claim {
        self.observe(claim_context.view, claim_context.now, claim_context.unix_now);
        if let Some(record) = self.records.get(&request.idempotency_key) {
            if record.digest != request.digest || record.organisation != request.organisation {
                return Claim::Refused(ClaimRefusal::OtherRequest);
            }
            return match &record.state {
                State::Running { .. } => Claim::InProgress,
                State::Done { outcome, .. } => Claim::Recorded(outcome.clone()),
            };
        }
        if let Err(refusal) = self.check(request.idempotency_key, claim_context) {
            return Claim::Refused(refusal);
        }
        let Some(stamped) = key_timestamp(request.idempotency_key) else {
            return Claim::HistoryUnknown;
        };
        if stamped > claim_context.unix_now + CLOCK_ALLOWANCE {
            return Claim::Refused(ClaimRefusal::Future);
        }
        match self.complete_after(request.idempotency_key) {
            Some(after) if stamped > after.max(self.oldest_remembered(claim_context.unix_now)) => {}
            _ => return Claim::HistoryUnknown,
        }
        if self.records.len() >= self.limits.max_records
            || self.bytes + RECORD_BYTES > self.limits.max_bytes
        {
            return Claim::Refused(ClaimRefusal::Full);
        }
        Claim::Run(self.open(request))
    }

    /// Checks again, immediately before the first byte goes to the upstream.
    pub fn check(
        &self,
        idempotency_key: Uuid,
        claim_context: &ClaimContext<'_>,
    ) -> Result<(), ClaimRefusal> {
        if self.handing_over {
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

    /// Ends a record with the outcome of the run.
    pub fn finish(&mut self, token: RunToken, outcome: RecordedOutcome, now: Timestamp) {
        let Some(record) = self.records.get_mut(&token.idempotency_key) else { return };
        if !matches!(record.state, State::Running { serial } if serial == token.serial) {
            return;
        }
        let (outcome, bytes) = fit(outcome, self.limits.max_bytes.saturating_sub(self.bytes));
        let until = now + KEY_WINDOW;
        record.state = State::Done { outcome, until };
        record.bytes += bytes;
        self.bytes += bytes;
        self.ended.push_back((until, token.idempotency_key));
    }

    /// Removes a record of which no byte went to the upstream.
    pub fn release(&mut self, token: RunToken) {
        let running = self.records.get(&token.idempotency_key).is_some_and(
            |record| matches!(record.state, State::Running { serial } if serial == token.serial),
        );
        if running {
            self.remove(token.idempotency_key);
        }
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Tells whether there is no record.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Bytes that the records take.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Number of requests that have a record and still run.
    pub fn running(&self) -> usize {
        self.records.len() - self.ended.len()
    }

    /// Takes no new key from now on, since the row leaves.
    ///
    /// This holds until a table without the row as an active member was adopted. A successor
    /// may rely on it as soon as it has the records.
    pub fn start_handover(&mut self) {
        self.handing_over = true;
    }

    /// The row takes no new key until it has given up its membership.
    pub fn is_handing_over(&self) -> bool {
        self.handing_over
    }

    /// The records for each successor. Records that still run are handed over as unknown.
    pub fn handovers(&self, now: Timestamp) -> Vec<Handover> {
        let Some((epoch, table_version)) = self.history.last_membership() else {
            return Vec::new();
        };
        let Some(service) = &epoch.service else { return Vec::new() };
        let identity = self.history.identity();
        let complete_after = self.all_complete_after();
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
                handover.records.push(handed(*key, record, now));
            }
        }
        handovers
    }

    /// Takes records of another row; false where there is no room for all of them.
    pub fn receive(&mut self, records: Vec<HandedRecord>, now: Timestamp) -> bool {
        self.expire(now);
        let mut all = true;
        for handed in records {
            let key = handed.request.idempotency_key;
            if self.records.contains_key(&key) {
                continue;
            }
            let room = self.limits.max_bytes.saturating_sub(self.bytes);
            if self.records.len() >= self.limits.max_records || room < RECORD_BYTES {
                all = false;
                continue;
            }
            let (outcome, answer_bytes) = fit(handed.outcome, room - RECORD_BYTES);
            let until = now + handed.remaining.min(KEY_WINDOW);
            let bytes = RECORD_BYTES + answer_bytes;
            self.bytes += bytes;
            self.records.insert(
                key,
                Record {
                    organisation: handed.request.organisation,
                    digest: handed.request.digest,
                    state: State::Done { outcome, until },
                    bytes,
                },
            );
            let index = self.ended.partition_point(|(other, _)| *other <= until);
            self.ended.insert(index, (until, key));
        }
        all
    }

    /// A leaving row has handed over all its records of keys that this row owns after it.
    pub fn receive_complete(
        &mut self,
        from: RowIdentity,
        service: ServiceName,
        table_version: TableVersion,
        complete_after: UnixTime,
        now: Timestamp,
    ) {
        self.received.retain(|_, received| received.at + KEY_WINDOW * 2 > now);
        let received = Received { service, table_version, complete_after, at: now };
        self.received.insert(from, received);
    }

    fn open(&mut self, request: &KeyedRequest) -> RunToken {
        let serial = self.next_serial;
        self.next_serial += 1;
        self.records.insert(
            request.idempotency_key,
            Record {
                organisation: request.organisation.clone(),
                digest: request.digest,
                state: State::Running { serial },
                bytes: RECORD_BYTES,
            },
        );
        self.bytes += RECORD_BYTES;
        RunToken { idempotency_key: request.idempotency_key, serial }
    }

    fn remove(&mut self, key: Uuid) {
        if let Some(record) = self.records.remove(&key) {
            self.bytes -= record.bytes;
        }
    }

    fn expire(&mut self, now: Timestamp) {
        while self.ended.front().is_some_and(|(until, _)| *until <= now) {
            let Some((_, key)) = self.ended.pop_front() else { return };
            self.remove(key);
            // The wall clock may be set back later; a forgotten key must not look new then.
            self.forgotten_until = self.forgotten_until.max(key_timestamp(key).unwrap_or_default());
        }
    }

    fn oldest_remembered(&self, unix_now: UnixTime) -> UnixTime {
        let window = KEY_WINDOW.saturating_sub(CLOCK_ALLOWANCE * 2);
        self.forgotten_until.max(unix_now.saturating_sub(window))
    }

    /// The row has the records of all runs of a key that was stamped later than this.
    fn complete_after(&self, key: Uuid) -> Option<UnixTime> {
        let identity = self.history.identity();
        let mut since = None;
        for (index, epoch) in self.history.epochs.iter().enumerate().rev() {
            let owner = epoch.owner(key);
            if owner.is_some_and(|row| RowIdentity::from_row(row) == *identity) {
                since = epoch.settled_at.or(since);
                continue;
            }
            let own = since.map(|since| since + CLOCK_ALLOWANCE);
            let inherited = owner.and_then(|row| self.inherited(index, epoch, row, key));
            return own.into_iter().chain(inherited).min();
        }
        since.map(|since| since + CLOCK_ALLOWANCE)
    }

    /// What a previous owner's complete handover covers.
    fn inherited(&self, index: usize, epoch: &Epoch, owner: &Row, key: Uuid) -> Option<UnixTime> {
        let leaver = RowIdentity::from_row(owner);
        let received = self.received.get(&leaver)?;
        let within = (epoch.first_version..=self.history.last_version(index))
            .contains(&received.table_version);
        let successor = epoch.owner_without(&leaver, key)?;
        // The leaver chose the successors among the rows of its version. Where another row
        // joined or left meanwhile, the record may have gone elsewhere.
        let is_successor = RowIdentity::from_row(successor) == *self.history.identity();
        let usable = within && is_successor && epoch.service.as_ref() == Some(&received.service);
        usable.then_some(received.complete_after)
    }

    /// Like [`Self::complete_after`] for all keys that the row owns.
    fn all_complete_after(&self) -> UnixTime {
        let identity = self.history.identity();
        let mut after = self.forgotten_until;
        let mut newer: Option<&Epoch> = None;
        for (index, epoch) in self.history.epochs.iter().enumerate().rev() {
            if let Some(newer) = newer
                && newer.has(identity)
            {
                let settled = newer.settled_at.unwrap_or(Duration::MAX - CLOCK_ALLOWANCE);
                let gone =
                    epoch.members.iter().map(RowIdentity::from_row).filter(|row| !newer.has(row));
                let gone: Vec<RowIdentity> = gone.collect();
                if !epoch.has(identity) {
                    return after.max(settled + CLOCK_ALLOWANCE);
                }
                for row in gone {
                    after =
                        after.max(self.handed_by(&row, index).unwrap_or(settled + CLOCK_ALLOWANCE));
                }
            }
            newer = Some(epoch);
        }
        let oldest = newer.and_then(|epoch| epoch.settled_at);
        after.max(oldest.map_or(Duration::MAX, |at| at + CLOCK_ALLOWANCE))
    }

    /// What the handover of a row that left after an epoch covers, where this row was the only
    /// one that could succeed to its keys.
    fn handed_by(&self, row: &RowIdentity, index: usize) -> Option<UnixTime> {
        let received = self.received.get(row)?;
        let epoch = self.history.epochs.get(index)?;
        let next = self.history.epochs.get(index + 1)?;
        let within = (epoch.first_version..=self.history.last_version(index))
            .contains(&received.table_version);
        // With the leaver gone and nobody else changed, every key that came here came from it.
        let only_change = next.members.len() + 1 == epoch.members.len()
            && next.members.iter().all(|member| epoch.has(&RowIdentity::from_row(member)));
        (within && only_change).then_some(received.complete_after)
    }
}

fn handed(key: Uuid, record: &Record, now: Timestamp) -> HandedRecord {
    let (outcome, remaining) = match &record.state {
        State::Running { .. } => (RecordedOutcome::Unknown(Reason::Leaving), KEY_WINDOW),
        State::Done { outcome, until } => (outcome.clone(), until.saturating_sub(now)),
    };
    HandedRecord {
        request: KeyedRequest {
            idempotency_key: key,
            organisation: record.organisation.clone(),
            digest: record.digest,
        },
        outcome,
        remaining,
    }
}

/// Replaces an answer that does not fit, and returns the bytes that the outcome takes.
fn fit(outcome: RecordedOutcome, room_bytes: usize) -> (RecordedOutcome, usize) {
    let RecordedOutcome::Answer(answer) = &outcome else {
        return (outcome, 0);
    };
    let headers = answer.headers.iter().map(|(name, value)| name.as_str().len() + value.len());
    let bytes = answer.body.len() + headers.sum::<usize>();
    match bytes <= room_bytes.min(MAX_KEPT_ANSWER_BYTES) {
        true => (outcome, bytes),
        false => (RecordedOutcome::AnswerNotKept, 0),
    }
}
