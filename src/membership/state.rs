//! Membership state machine of one node, without I/O: it receives events and returns actions.
//!
//! It pulls evidence from other nodes, computes the leases, adopts and settles table versions, and
//! plans table updates for joins, changes, leaves and evictions.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use rand::{RngExt as _, SeedableRng as _, seq::SliceRandom as _};
use rand_chacha::ChaCha8Rng;
use uuid::Uuid;

use crate::{
    clock::Timestamp,
    membership::{
        CLOCK_MARGIN, DEAD_AFTER, Evidence, LEASE_TERM, PEERS_PER_PULL, PULL_INTERVAL,
        READERS_PER_ZONE, Row, RowEvidence, Table, View,
        change::{self, RowRequest, RowRequests},
        codec::{self, OwnState},
        evidence::{EvidenceEntry, EvidenceLog, NOT_SERVING, RowId, RowList, RowReport, row_id},
        rendezvous,
    },
    names::{Incarnation, InstanceName, Revision, TableVersion, ZoneName},
    peers::proto::{EvidenceReply, EvidenceRequest},
    store::ObjectVersion,
};

/// Age of the newest evidence above which a row is pulled from only as a probe, or when too few
/// other rows are left; several pull rounds long.
const SUSPECT_AFTER: Duration = Duration::from_millis(2500);
/// Fraction of the pull rounds that also probe a row without evidence for [`SUSPECT_AFTER`].
const PROBE_PROBABILITY: f64 = 0.5;
/// Delay of an update, in which joins that arrive together are gathered into one.
const BATCH_DELAY: Duration = Duration::from_millis(200);
/// Additional delay of an update per rank, so that a lower-ranked row writes only if the rows
/// before it have not.
const RANK_DELAY: Duration = Duration::from_millis(300);
/// Longest delay of an eviction while another row will reach [`DEAD_AFTER`] within the same time.
/// Nodes that died at the same time, but have their newest evidence from different times, are thus
/// evicted in one update.
const EVICTION_GATHER_TIME: Duration = Duration::from_millis(1500);
/// Delay after which a process writes its requested row itself if no other node has; up to half is
/// added at random.
const OWN_REQUEST_DELAY: Duration = Duration::from_millis(1000);
/// Time after which a row request of another process expires unless it is repeated; every pull of
/// that process repeats it.
const ROW_REQUEST_LIFETIME: Duration = Duration::from_secs(2);
/// Remaining time of a lease below which a platform read renews it; up to half is added at random.
const RENEW_BEFORE: Duration = Duration::from_millis(1500);
/// Shortest interval between platform reads that renew a lease; up to half is added at random.
const MIN_READ_INTERVAL: Duration = Duration::from_secs(1);
/// Delay after the first failed platform call, doubled with each further failure; up to half is
/// added at random.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Upper limit of the delay after failed platform calls, before the random part.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);
/// Rendezvous key that selects the rows that watch the platform.
const READER_KEY: &[u8] = b"table readers";

/// Identity and address of the node's own process.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Availability zone.
    pub zone: ZoneName,
    /// Shard that the membership table belongs to.
    pub shard: Arc<str>,
    /// Address at which other nodes reach this one.
    pub peer_address: SocketAddr,
}

/// Input of [`Membership::handle`].
#[derive(Debug)]
pub enum Event {
    /// Runs the periodic work; due every [`TICK_INTERVAL`](crate::membership::TICK_INTERVAL).
    Tick,
    /// Sets the row that the process requests for itself; `None` if it leaves the table.
    OwnRowSet(Option<Row>),
    /// The reply to an [`Action::PullEvidence`] arrived.
    EvidenceReceived {
        /// Time before the request was sent.
        sent_at: Timestamp,
        /// Reply of the other node.
        reply: EvidenceReply,
    },
    /// An [`Action::ReadTable`] succeeded.
    TableRead {
        /// Time before the call.
        began: Timestamp,
        /// The table and the version of its object; `None` if the object does not exist.
        found: Option<(ObjectVersion, Table)>,
    },
    /// A watch at the platform returned a table.
    TableObserved {
        /// Time before the call.
        began: Timestamp,
        /// Table that the watch returned.
        table: Table,
    },
    /// An [`Action::WriteTable`] was confirmed.
    TableWritten {
        /// Time before the call.
        began: Timestamp,
        /// The table that was written.
        table: Table,
    },
    /// An [`Action::WriteTable`] was rejected, since the object has another version.
    WriteConflict,
    /// An [`Action::WriteTable`] has an unknown outcome: the write may have taken effect.
    WriteUnconfirmed {
        /// Change id of the table that was to be written.
        change_id: Uuid,
    },
    /// An [`Action::ReadTable`] failed, or the platform refused an [`Action::WriteTable`].
    TableCallFailed,
    /// An [`Action::ReadConfiguration`] succeeded.
    ConfigurationRead {
        /// Time before the call.
        began: Timestamp,
        /// The revision returned.
        revision: Revision,
    },
    /// The configuration actor read the configuration at the platform.
    ConfigurationObserved {
        /// Time before the call.
        began: Timestamp,
        /// The revision returned.
        revision: Revision,
    },
    /// Approves the adoption of the table of [`Membership::pending_view`].
    AdoptionApproved {
        /// Version of that table; the approval of any other version is ignored.
        version: TableVersion,
    },
    /// An [`Action::ReadConfiguration`] failed.
    ConfigurationFailed,
}

/// I/O that the caller carries out for [`Membership`]; its result is a later [`Event`].
#[derive(Debug)]
pub enum Action {
    /// Request the evidence that another node has.
    PullEvidence {
        /// Address of the node.
        address: SocketAddr,
        /// Request to send.
        request: EvidenceRequest,
    },
    /// Read the table from the platform.
    ReadTable,
    /// Write the next table if its object still has the stated version.
    WriteTable {
        /// Table to write.
        table: Table,
        /// Version of the object that it replaces.
        if_version: ObjectVersion,
    },
    /// Read the configuration from the platform.
    ReadConfiguration,
}

/// When a newer table is adopted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Adoption {
    /// As soon as the node receives it.
    Immediate,
    /// After [`Event::AdoptionApproved`]. If the node's share shrinks, its outstanding loans must
    /// fit into the smaller share first: the other nodes may use the difference as soon as all rows
    /// have adopted the version.
    OnApproval,
}

/// A newer table that waits for approval.
#[derive(Debug)]
struct PendingTable {
    table: Arc<Table>,
    /// Start of the latest platform read that returned this table; `None` if it came from a node.
    read_began: Option<Timestamp>,
}

/// Limits one kind of platform call to one at a time and delays calls after failures.
#[derive(Debug, Default)]
struct CallPacing {
    is_running: bool,
    /// Earliest time of the next call.
    next_at: Timestamp,
    consecutive_failures: u32,
}

impl CallPacing {
    fn is_ready(&self, now: Timestamp) -> bool {
        !self.is_running && now >= self.next_at
    }

    fn record_success(&mut self) {
        self.is_running = false;
        self.consecutive_failures = 0;
    }

    fn record_failure(&mut self, now: Timestamp, random: &mut ChaCha8Rng) {
        self.is_running = false;
        let delay = INITIAL_RETRY_DELAY
            .saturating_mul(1 << self.consecutive_failures.min(4))
            .min(MAX_RETRY_DELAY);
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        self.next_at = now + jittered(delay, random);
    }
}

fn jittered(delay: Duration, random: &mut ChaCha8Rng) -> Duration {
    delay.mul_f64(random.random_range(1.0..1.5))
}

/// Membership state of one node.
#[derive(Debug)]
pub struct Membership {
    identity: Identity,
    own_id: RowId,
    random: ChaCha8Rng,
    table: Arc<Table>,
    is_settled: bool,
    adoption: Adoption,
    pending: Option<PendingTable>,
    adopted_at: Timestamp,
    /// When this node first knew that a majority of the previous version's rows had adopted the
    /// current version or had been replaced.
    majority_adopted_at: Option<Timestamp>,
    evidence_log: EvidenceLog,
    /// Configuration revision in force here.
    revision: Revision,
    newest_revision: Revision,
    /// Load in units of 1/128, or [`NOT_SERVING`].
    load: u8,
    row_until: Timestamp,
    keys_until: Timestamp,
    /// Until when evidence alone, without a platform read, supports the row lease.
    evidence_until: Timestamp,
    /// Since when evidence alone has supported the row lease without a gap.
    evidence_since: Option<Timestamp>,
    own_request: Option<RowRequest>,
    row_requests: RowRequests,
    next_pull_at: Timestamp,
    /// Remaining time of a lease below which it is renewed: [`RENEW_BEFORE`] and its random part.
    renew_before: Duration,
    update_due_at: Option<Timestamp>,
    /// The running table read is to be followed by a write of the planned rows.
    update_after_read: bool,
    /// Change id of a table write with an unknown outcome.
    unconfirmed_change: Option<Uuid>,
    table_calls: CallPacing,
    configuration_calls: CallPacing,
}

impl Membership {
    /// Creates the state of a process that has just started.
    pub fn new(identity: Identity, adoption: Adoption, seed: u64) -> Self {
        let own_id = (identity.instance.clone(), identity.incarnation);
        Self {
            evidence_log: EvidenceLog::new(own_id.clone()),
            own_id,
            identity,
            random: ChaCha8Rng::seed_from_u64(seed),
            table: Arc::default(),
            is_settled: true,
            adoption,
            pending: None,
            adopted_at: Timestamp::ZERO,
            majority_adopted_at: None,
            revision: 0,
            newest_revision: 0,
            load: NOT_SERVING,
            row_until: Timestamp::ZERO,
            keys_until: Timestamp::ZERO,
            evidence_until: Timestamp::ZERO,
            evidence_since: None,
            own_request: None,
            row_requests: RowRequests::default(),
            next_pull_at: Timestamp::ZERO,
            renew_before: RENEW_BEFORE,
            update_due_at: None,
            update_after_read: false,
            unconfirmed_change: None,
            table_calls: CallPacing::default(),
            configuration_calls: CallPacing::default(),
        }
    }

    /// Sets the configuration revision in force here and the node's load. To be called before
    /// [`Self::handle`] and [`Self::answer_pull`].
    pub fn set_own_state(&mut self, revision: Revision, load: u8) {
        self.revision = self.revision.max(revision);
        self.newest_revision = self.newest_revision.max(revision);
        self.load = load;
    }

    /// Returns the adopted table and whether it is settled.
    pub fn view(&self) -> View {
        View { table: self.table.clone(), is_settled: self.is_settled }
    }

    /// Newest configuration revision known, of this node or any other.
    pub fn newest_revision(&self) -> Revision {
        self.newest_revision
    }

    /// Version of the table that the node has adopted.
    pub fn version(&self) -> TableVersion {
        self.table.version
    }

    /// Whether the adopted version is settled.
    pub fn is_settled(&self) -> bool {
        self.is_settled
    }

    /// End of the row lease, which permits using the row's shares and idempotency keys.
    pub fn row_until(&self) -> Timestamp {
        self.row_until
    }

    /// End of the key lease, which permits accepting organisation keys.
    pub fn keys_until(&self) -> Timestamp {
        self.keys_until
    }

    /// Whether the process has no row in the table and no older version with its row is in use.
    pub fn has_left(&self) -> bool {
        self.is_settled && self.own_request_is_met() && !self.evidence_log.has_own_row()
    }

    /// Whether the adopted table agrees with the row that this process requests for itself.
    pub fn own_request_is_met(&self) -> bool {
        self.own_request.as_ref().is_none_or(|it| it.is_met(&self.own_id.0, &self.table))
    }

    /// Whether this node is one of the [`READERS_PER_ZONE`] that watch the platform in its zone.
    pub fn is_reader(&self, now: Timestamp) -> bool {
        let live = self.live_rows(now).filter(|row| row.zone == self.identity.zone);
        let ranked = rendezvous::ranked(live, READER_KEY);
        ranked.iter().take(READERS_PER_ZONE).any(|row| self.is_own(row))
    }

    /// Returns a snapshot of the evidence for the other parts of the node.
    pub fn evidence(&self, now: Timestamp) -> Evidence {
        let entries = self.evidence_log.rows(RowList::Current);
        let rows = self.table.rows.iter().zip(entries).map(|(row, entry)| {
            let (evidence_at, version, revision, load) = match entry.is_own {
                true => (Some(now), self.table.version, self.revision, self.load),
                false => (entry.evidence_at, entry.version, entry.revision, entry.load),
            };
            RowEvidence {
                instance: row.instance.clone(),
                incarnation: row.incarnation,
                peer_address: row.peer_address,
                evidence_at,
                heard_at: if entry.is_own { Some(now) } else { entry.heard_at() },
                table_version: version,
                revision,
                load: (load != NOT_SERVING).then_some(load),
                is_alive: !self.is_dead(now, entry),
            }
        });
        Evidence {
            newest_revision: self.newest_revision,
            is_reader: self.is_reader(now),
            rows: rows.collect(),
        }
    }

    /// Merges the state that a requesting node sent with its pull, and returns the reply.
    pub fn answer_pull(
        &mut self,
        now: Timestamp,
        request: &EvidenceRequest,
    ) -> (EvidenceReply, Vec<Action>) {
        self.extend_leases(now);
        let mut actions = Vec::new();
        if *request.shard == *self.identity.shard {
            self.merge_requester(now, request, &mut actions);
        }
        let mut reply = EvidenceReply {
            shard: self.identity.shard.to_string(),
            table_version: self.table.version,
            revision: self.revision,
            instance: self.identity.instance.to_string(),
            incarnation: self.identity.incarnation,
            settled: self.is_settled,
            ..EvidenceReply::default()
        };
        if request.table_version < self.table.version {
            reply.table = serde_json::to_vec(&*self.table).map(Bytes::from).unwrap_or_default();
        }
        let own_state =
            OwnState { version: self.table.version, revision: self.revision, load: self.load };
        codec::encode_rows(&mut reply, now, own_state, &self.evidence_log);
        self.update_settlement(now);
        (reply, actions)
    }

    /// Processes an event and returns the actions to carry out.
    pub fn handle(&mut self, now: Timestamp, event: Event) -> Vec<Action> {
        self.extend_leases(now);
        let mut actions = Vec::new();
        match event {
            Event::Tick => self.tick(now, &mut actions),
            Event::OwnRowSet(row) => {
                self.own_request = Some(RowRequest { incarnation: self.identity.incarnation, row });
                self.next_pull_at = now;
            }
            Event::EvidenceReceived { sent_at, reply } => self.merge_reply(now, sent_at, &reply),
            Event::TableRead { began, found } => {
                self.table_calls.record_success();
                self.table_calls.next_at = now + jittered(MIN_READ_INTERVAL, &mut self.random);
                self.apply_table_read(now, began, found, &mut actions);
            }
            Event::TableObserved { began, table } => self.apply_seen_table(now, began, table),
            Event::TableWritten { began, table } => {
                self.table_calls.record_success();
                self.apply_seen_table(now, began, table);
            }
            Event::WriteConflict => {
                self.table_calls.record_success();
                self.update_due_at = Some(now + jittered(BATCH_DELAY, &mut self.random));
            }
            Event::WriteUnconfirmed { change_id } => {
                self.table_calls.record_failure(now, &mut self.random);
                self.unconfirmed_change = Some(change_id);
            }
            Event::TableCallFailed => self.table_calls.record_failure(now, &mut self.random),
            Event::ConfigurationRead { began, revision } => {
                self.configuration_calls.record_success();
                self.configuration_calls.next_at =
                    now + jittered(MIN_READ_INTERVAL, &mut self.random);
                self.apply_seen_revision(began, revision);
            }
            Event::ConfigurationObserved { began, revision } => {
                self.apply_seen_revision(began, revision);
            }
            Event::AdoptionApproved { version } => self.adopt_approved(now, version),
            Event::ConfigurationFailed => {
                self.configuration_calls.record_failure(now, &mut self.random)
            }
        }
        self.update_settlement(now);
        self.extend_leases(now);
        actions
    }

    fn is_own(&self, row: &Row) -> bool {
        row.instance == self.own_id.0 && row.incarnation == self.own_id.1
    }

    fn live_rows(&self, now: Timestamp) -> impl Iterator<Item = &Row> {
        let rows = self.table.rows.iter().zip(self.evidence_log.rows(RowList::Current));
        rows.filter(move |(_, entry)| !self.is_dead(now, entry)).map(|(row, _)| row)
    }

    /// Extends the row lease and the key lease as far as the evidence supports them.
    ///
    /// A lease is never shortened, not even when a newer version is adopted: a lease that rests on
    /// evidence for an older version ends before any version after the adopted one can settle.
    fn extend_leases(&mut self, now: Timestamp) {
        if now >= self.evidence_until {
            self.evidence_since = None;
        }
        let version = self.table.version;
        let majority_at = self.evidence_log.majority_at(now, |entry| entry.version <= version);
        if let Some(at) = majority_at {
            self.evidence_until = self.evidence_until.max(at + LEASE_TERM);
            self.row_until = self.row_until.max(at + LEASE_TERM);
        }
        if now < self.evidence_until {
            self.evidence_since.get_or_insert(now);
        }
        let revision = self.revision;
        let majority_at = self.evidence_log.majority_at(now, |entry| entry.revision <= revision);
        if let Some(at) = majority_at {
            self.keys_until = self.keys_until.max(at + LEASE_TERM);
        }
    }

    /// Whether a row is silent: there is no evidence about it for [`DEAD_AFTER`], counted only
    /// while evidence about a majority of the rows arrives.
    fn is_silent(&self, now: Timestamp, entry: &EvidenceEntry) -> bool {
        let Some(since) = self.evidence_since else { return false };
        !entry.is_own && now.saturating_sub(entry.last_evidence_at().max(since)) > DEAD_AFTER
    }

    /// Whether a row is considered dead: a later process of its instance is known, or it is silent.
    fn is_dead(&self, now: Timestamp, entry: &EvidenceEntry) -> bool {
        entry.is_superseded || self.is_silent(now, entry)
    }

    /// Whether the evidence about a row is so old that the row may be dead; it is then only probed.
    fn is_suspect(now: Timestamp, entry: &EvidenceEntry) -> bool {
        entry.is_superseded || now.saturating_sub(entry.last_evidence_at()) > SUSPECT_AFTER
    }

    /// Returns the newer table that waits for approval; see [`Adoption::OnApproval`].
    pub fn pending_view(&self) -> Option<View> {
        let pending = self.pending.as_ref()?;
        Some(View { table: pending.table.clone(), is_settled: false })
    }

    /// Adopts a table if it is newer than the adopted one, or holds it for approval.
    fn consider_table(&mut self, now: Timestamp, table: Table) {
        if table.version <= self.table.version {
            return;
        }
        match self.adoption {
            Adoption::Immediate => self.adopt_table(now, table.into()),
            Adoption::OnApproval => self.hold_for_approval(table),
        }
    }

    fn hold_for_approval(&mut self, table: Table) {
        let newest = self.pending.as_ref().map_or(0, |pending| pending.table.version);
        if table.version > newest {
            self.pending = Some(PendingTable { table: table.into(), read_began: None });
        }
    }

    fn adopt_approved(&mut self, now: Timestamp, version: TableVersion) {
        let Some(pending) = self.pending.take_if(|it| it.table.version == version) else { return };
        self.adopt_table(now, pending.table);
        if let Some(began) = pending.read_began {
            self.row_until = self.row_until.max(began + LEASE_TERM);
        }
    }

    fn adopt_table(&mut self, now: Timestamp, table: Arc<Table>) {
        if table.version <= self.table.version {
            return;
        }
        if self.unconfirmed_change == Some(table.change_id) {
            log::info!(
                "the unconfirmed update to table version {} has taken effect",
                table.version
            );
        }
        self.unconfirmed_change = None;
        self.evidence_log.set_table(now, &table);
        self.table = table;
        self.is_settled = false;
        self.adopted_at = now;
        self.majority_adopted_at = None;
        self.update_due_at = None;
        self.update_after_read = false;
        // Pull at once: the request reports the new version to the other rows.
        self.next_pull_at = now;
        self.update_settlement(now);
    }

    /// Marks the adopted version as settled once no lease under the previous version can be valid.
    fn update_settlement(&mut self, now: Timestamp) {
        if self.is_settled {
            return;
        }
        let version = self.table.version;
        let has_adopted = |entry: &&EvidenceEntry| entry.is_own || entry.version >= version;
        let adopted = self.evidence_log.rows(RowList::Previous).filter(has_adopted).count();
        let rows = self.table.previous_rows.len();
        if adopted == rows {
            self.is_settled = true;
            return;
        }
        // A replaced process may be paused and still have a valid lease. It therefore counts
        // towards the majority, after which the lease has time to end, but not towards all rows.
        let is_replaced = |entry: &&EvidenceEntry| entry.is_superseded && !has_adopted(entry);
        let replaced = self.evidence_log.rows(RowList::Previous).filter(is_replaced).count();
        if adopted + replaced <= rows / 2 {
            return;
        }
        let majority_at = *self.majority_adopted_at.get_or_insert(now);
        let waited = now.saturating_sub(majority_at.max(self.adopted_at));
        self.is_settled = waited >= LEASE_TERM + CLOCK_MARGIN;
    }

    fn tick(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        self.row_requests.expire(now, &self.table);
        if now >= self.next_pull_at {
            self.next_pull_at = now + PULL_INTERVAL.mul_f64(self.random.random_range(0.9..1.1));
            self.pull_evidence(now, actions);
        }
        self.plan_update(now, actions);
        let renew_at = now + self.renew_before;
        if self.table_calls.is_ready(now)
            && (self.row_until < renew_at || self.unconfirmed_change.is_some())
        {
            self.table_calls.is_running = true;
            self.renew_before = jittered(RENEW_BEFORE, &mut self.random);
            actions.push(Action::ReadTable);
        }
        if self.configuration_calls.is_ready(now) && self.keys_until < renew_at {
            self.configuration_calls.is_running = true;
            actions.push(Action::ReadConfiguration);
        }
    }

    /// Pulls evidence from random rows, rows with recent evidence first, and from time to time from
    /// one without.
    fn pull_evidence(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        let table = self.table.clone();
        let mut fresh = Vec::new();
        let mut suspect = Vec::new();
        for (index, row) in table.rows.iter().enumerate() {
            if row.instance == self.own_id.0 {
                continue;
            }
            match Self::is_suspect(now, self.evidence_log.current_row(index)) {
                true => suspect.push(row),
                false => fresh.push(row),
            }
        }
        fresh.shuffle(&mut self.random);
        suspect.shuffle(&mut self.random);
        let probes = usize::from(self.random.random_bool(PROBE_PROBABILITY));
        suspect.truncate(PEERS_PER_PULL.saturating_sub(fresh.len()).max(probes));
        fresh.truncate(PEERS_PER_PULL);
        if !self.own_request_is_met() {
            // The row that ranks first to write the next version must receive the row request.
            let ranked = rendezvous::ranked(self.live_rows(now), &self.writer_key());
            let first = ranked.first().and_then(|first| table.row(&first.instance));
            let is_not_chosen = |row: &&Row| row.instance != self.own_id.0 && !fresh.contains(row);
            fresh.extend(first.filter(is_not_chosen));
        }
        for (row, is_suspect) in fresh
            .into_iter()
            .map(|row| (row, false))
            .chain(suspect.into_iter().map(|row| (row, true)))
        {
            let request = self.evidence_request(is_suspect);
            actions.push(Action::PullEvidence { address: row.peer_address, request });
        }
    }

    /// Rendezvous key that ranks the rows as writers of the next table version.
    fn writer_key(&self) -> [u8; 8] {
        self.table.version.to_le_bytes()
    }

    fn evidence_request(&self, receiver_may_be_new: bool) -> EvidenceRequest {
        let row_request =
            self.own_request.as_ref().filter(|it| !it.is_met(&self.own_id.0, &self.table));
        let row = row_request.and_then(|it| it.row.as_ref());
        let with_address = receiver_may_be_new || !self.evidence_log.has_own_row();
        EvidenceRequest {
            shard: self.identity.shard.to_string(),
            table_version: self.table.version,
            revision: self.revision,
            instance: self.identity.instance.to_string(),
            incarnation: self.identity.incarnation,
            wanted_row: row
                .and_then(|row| serde_json::to_vec(row).ok())
                .map(Bytes::from)
                .unwrap_or_default(),
            leaving: row_request.is_some_and(|it| it.row.is_none()),
            peer_address: match with_address {
                true => self.identity.peer_address.to_string(),
                false => String::new(),
            },
        }
    }

    /// Merges the state that a requesting node reports of itself, which stays true however late the
    /// request arrives.
    fn merge_requester(
        &mut self,
        now: Timestamp,
        request: &EvidenceRequest,
        actions: &mut Vec<Action>,
    ) {
        let id: RowId = (request.instance.as_str().into(), request.incarnation);
        if id.0 == self.own_id.0 {
            return;
        }
        self.newest_revision = self.newest_revision.max(request.revision);
        // The request may have been delayed for any time, so it does not show when the state held.
        self.evidence_log.merge_request(
            now,
            &id,
            RowReport {
                evidence_at: None,
                version: request.table_version,
                revision: request.revision,
                load: NOT_SERVING,
            },
        );
        let wanted = serde_json::from_slice::<Row>(&request.wanted_row).ok();
        let wanted = wanted.filter(|row| row.instance == id.0 && row.incarnation == id.1);
        if wanted.is_some() || request.leaving {
            let row_request = RowRequest { incarnation: id.1, row: wanted };
            self.row_requests.record(id.0.clone(), row_request, now + ROW_REQUEST_LIFETIME);
        }
        let row = self.table.row(&id.0).filter(|row| row.incarnation == id.1);
        let address = request.peer_address.parse().ok().or(row.map(|row| row.peer_address));
        if let Some(address) = address.filter(|_| request.table_version > self.table.version) {
            let request = self.evidence_request(true);
            actions.push(Action::PullEvidence { address, request });
        }
    }

    /// Merges the reply to a pull: its table, its sender's state and the relayed evidence.
    fn merge_reply(&mut self, now: Timestamp, sent_at: Timestamp, reply: &EvidenceReply) {
        if *reply.shard != *self.identity.shard || *reply.instance == *self.own_id.0 {
            return;
        }
        let sender: RowId = (reply.instance.as_str().into(), reply.incarnation);
        if reply.table_version > self.table.version && !reply.table.is_empty() {
            match serde_json::from_slice::<Table>(&reply.table) {
                Ok(table) if table.version == reply.table_version => {
                    self.consider_table(now, table)
                }
                Ok(table) => log::warn!(
                    "ignoring a table from {}: it has version {}, but the reply states version {}",
                    reply.instance,
                    table.version,
                    reply.table_version
                ),
                Err(error) => log::warn!(
                    "ignoring a table from {} that cannot be decoded: {error}",
                    reply.instance
                ),
            }
        }
        if reply.settled && reply.table_version == self.table.version {
            self.is_settled = true;
        }
        self.newest_revision = self.newest_revision.max(reply.revision);
        let index = self.table.rows.iter().position(|row| row_id(row) == sender);
        let load = index.filter(|_| reply.table_version == self.table.version);
        let load = load.and_then(|index| reply.loads.get(index).copied());
        self.evidence_log.merge_sender(
            &sender,
            RowReport {
                evidence_at: Some(sent_at),
                version: reply.table_version,
                revision: reply.revision,
                load: load.unwrap_or(NOT_SERVING),
            },
        );
        let (list, rows) = match self.table.version.checked_sub(reply.table_version) {
            Some(0) => (RowList::Current, self.table.rows.len()),
            Some(1) => (RowList::Previous, self.table.previous_rows.len()),
            // This node does not have the row list that the ages refer to.
            _ => return,
        };
        for (index, report) in codec::decode_rows(reply, sent_at) {
            if index < rows {
                self.evidence_log.merge_row(list, index, report);
            }
        }
        self.newest_revision = self.newest_revision.max(self.evidence_log.newest_revision());
    }

    /// Applies a table that the platform returned, and extends the row lease if it is not newer
    /// than the adopted one.
    fn apply_seen_table(&mut self, now: Timestamp, began: Timestamp, table: Table) {
        let version = table.version;
        self.consider_table(now, table);
        if version == self.table.version {
            self.row_until = self.row_until.max(began + LEASE_TERM);
        }
        if let Some(pending) = self.pending.as_mut().filter(|it| it.table.version == version) {
            pending.read_began = pending.read_began.max(Some(began));
        }
    }

    /// Applies the configuration revision that the platform returned, and extends the key lease if
    /// it is not newer than the one in force here.
    fn apply_seen_revision(&mut self, began: Timestamp, revision: Revision) {
        self.newest_revision = self.newest_revision.max(revision);
        if revision <= self.revision {
            self.keys_until = self.keys_until.max(began + LEASE_TERM);
        }
    }

    /// Applies the result of a table read, and writes the planned update if the read was made for
    /// it.
    fn apply_table_read(
        &mut self,
        now: Timestamp,
        began: Timestamp,
        found: Option<(ObjectVersion, Table)>,
        actions: &mut Vec<Action>,
    ) {
        let (if_version, table) = found.unwrap_or_default();
        let read_version = table.version;
        let version_before = self.table.version;
        let is_update = std::mem::take(&mut self.update_after_read);
        self.apply_seen_table(now, began, table);
        // An update with an unknown outcome either made this version or has not taken effect yet.
        // If it still takes effect later, this node's next update ends in a version conflict.
        self.unconfirmed_change = None;
        if !is_update || read_version != version_before || !self.is_settled {
            return;
        }
        let Some(rows) = self.planned_rows(now) else { return };
        self.table_calls.is_running = true;
        actions.push(Action::WriteTable { table: self.table.next_version(rows), if_version });
    }

    /// Returns the rows that the next version should have, or `None` if the table needs no update
    /// that this node may make.
    fn planned_rows(&self, now: Timestamp) -> Option<Vec<Row>> {
        let own_request = self.own_request.as_ref().map(|it| (&self.own_id.0, it));
        // Evictions need evidence about a majority, and a row of this node in the table.
        let may_evict = self.evidence_log.has_own_row() && now < self.evidence_until;
        let is_dead =
            |index| may_evict && self.is_silent(now, self.evidence_log.current_row(index));
        change::plan_rows(&self.table, self.row_requests.iter().chain(own_request), is_dead)
    }

    /// Starts an update with a table read, once the delay of this node's rank is over.
    fn plan_update(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        if !self.is_settled || self.planned_rows(now).is_none() {
            self.update_due_at = None;
            return;
        }
        let due = match self.update_due_at {
            Some(due) => due,
            None => now + self.update_delay(now),
        };
        self.update_due_at = Some(due);
        if now < due + EVICTION_GATHER_TIME && self.is_gathering_evictions(now) {
            return;
        }
        if now < due || self.table_calls.is_running || !self.table_call_may_start(now) {
            return;
        }
        self.update_after_read = true;
        self.table_calls.is_running = true;
        self.update_due_at = None;
        actions.push(Action::ReadTable);
    }

    /// Whether at least one row is considered dead and another will be within
    /// [`EVICTION_GATHER_TIME`].
    fn is_gathering_evictions(&self, now: Timestamp) -> bool {
        let Some(since) = self.evidence_since else { return false };
        let evidence_age =
            |entry: &EvidenceEntry| now.saturating_sub(entry.last_evidence_at().max(since));
        let other_ages = || {
            self.evidence_log.rows(RowList::Current).filter(|entry| !entry.is_own).map(evidence_age)
        };
        other_ages().any(|age| age > DEAD_AFTER)
            && other_ages().any(|age| age > DEAD_AFTER - EVICTION_GATHER_TIME && age <= DEAD_AFTER)
    }

    /// Whether an update may start a table call. Only failures delay it; the interval between reads
    /// applies to lease renewals.
    fn table_call_may_start(&self, now: Timestamp) -> bool {
        self.table_calls.consecutive_failures == 0 || now >= self.table_calls.next_at
    }

    /// Returns the delay before this node writes an update, which grows with its rank among the
    /// live rows. A process with a pending request for its own row waits at most
    /// [`OWN_REQUEST_DELAY`].
    fn update_delay(&mut self, now: Timestamp) -> Duration {
        let ranked = rendezvous::ranked(self.live_rows(now), &self.writer_key());
        let rank = ranked.iter().position(|row| self.is_own(row));
        let by_rank = rank.map(|rank| {
            BATCH_DELAY + RANK_DELAY.saturating_mul(u32::try_from(rank).unwrap_or(u32::MAX))
        });
        if self.own_request_is_met() {
            // A process without a row leaves the update to the processes in the table.
            return by_rank.unwrap_or(Duration::MAX / 4);
        }
        let own_delay = match self.table.rows.is_empty() {
            true => BATCH_DELAY,
            false => OWN_REQUEST_DELAY,
        };
        let own_delay = jittered(own_delay, &mut self.random);
        by_rank.map_or(own_delay, |by_rank| by_rank.min(own_delay))
    }
}
