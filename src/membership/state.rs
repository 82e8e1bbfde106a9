//! The decisions of one node about the membership table.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use rand::{RngExt as _, SeedableRng as _, seq::SliceRandom as _};
use rand_chacha::ChaCha8Rng;
use uuid::Uuid;

use crate::{
    clock::Timestamp,
    membership::{
        CLOCK_MARGIN, DEAD_AFTER, Evidence, LEASE_TERM, PULL_INTERVAL, PULL_PEERS,
        READERS_PER_ZONE, Row, RowEvidence, Table, View,
        change::{self, Wish, Wishes},
        codec::{self, Held},
        evidence::{Book, Known, List, NOT_SERVING, RowId, Statement, id_of},
        rendezvous,
    },
    names::{Incarnation, InstanceName, Revision, TableVersion, ZoneName},
    peers::proto::{EvidenceReply, EvidenceRequest},
    store::ObjectVersion,
};

/// Silence after which a row is no longer asked first; several rounds of pulls.
const SUSPECT_AFTER: Duration = Duration::from_millis(2500);
/// Share of pull rounds that also probe a row believed dead.
const PROBE_PROBABILITY: f64 = 0.5;
/// Time in which joins that arrive together are gathered into one update.
const BATCH_DELAY: Duration = Duration::from_millis(200);
/// Time for which each live row lets the one before it in rank write an update.
const RANK_DELAY: Duration = Duration::from_millis(300);
/// Time before [`DEAD_AFTER`] from which a silent row delays an eviction, so that rows that died
/// together, but were last heard of at different times, go in one update.
const EVICTION_GATHER: Duration = Duration::from_millis(1500);
/// Longest time that a process waits for others to write its own row.
const OWN_WISH_DELAY: Duration = Duration::from_millis(1000);
/// Time for which a wish is kept without being repeated; it comes with every pull.
const WISH_TERM: Duration = Duration::from_secs(2);
/// A lease that ends sooner than this, and up to half more at random, is renewed by a platform
/// read.
const RENEW_BEFORE: Duration = Duration::from_millis(1500);
/// Spacing of the platform reads that renew a lease; up to half is added at random.
const READ_SPACING: Duration = Duration::from_secs(1);
/// First and longest delay between platform calls that fail; up to half is added at random.
const RETRY_DELAY: Duration = Duration::from_millis(300);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);
/// Rendezvous key of the rows that watch the platform.
const READER_KEY: &[u8] = b"table readers";

/// What a process knows of itself.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Process that runs under the name.
    pub incarnation: Incarnation,
    /// Availability zone.
    pub zone: ZoneName,
    /// Shard of the table.
    pub shard: Arc<str>,
    /// Address for other nodes.
    pub peer_address: SocketAddr,
}

/// Something that happened.
#[derive(Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// What the table should say of this process; none where it leaves.
    OwnRowSet(Option<Row>),
    /// A node answered a pull.
    EvidenceReceived {
        /// Time before the question was sent.
        sent_at: Timestamp,
        /// The answer.
        reply: EvidenceReply,
    },
    /// An [`Action::ReadTable`] was answered.
    TableRead {
        /// Time before the call.
        began: Timestamp,
        /// The table and the version of its object; none where there is no object.
        found: Option<(ObjectVersion, Table)>,
    },
    /// A watch returned a table.
    TableSeen {
        /// Time before the call.
        began: Timestamp,
        /// The table.
        table: Table,
    },
    /// An [`Action::WriteTable`] was confirmed.
    TableWritten {
        /// Time before the call.
        began: Timestamp,
        /// The table that was written.
        table: Table,
    },
    /// An [`Action::WriteTable`] met another version.
    WriteConflict,
    /// An [`Action::WriteTable`] has no answer; it may have taken effect.
    WriteUnconfirmed {
        /// The change id of the update.
        change_id: Uuid,
    },
    /// An [`Action::ReadTable`] failed, or an update was refused.
    TableFailed,
    /// The platform returned the configuration.
    ConfigurationRead {
        /// Time before the call.
        began: Timestamp,
        /// The revision returned.
        revision: Revision,
    },
    /// The configuration actor read the configuration on its own account.
    ConfigurationSeen {
        /// Time before the call.
        began: Timestamp,
        /// The revision returned.
        revision: Revision,
    },
    /// The table of [`Membership::pending_view`] may be adopted.
    AdoptionApproved {
        /// Its version.
        version: TableVersion,
    },
    /// An [`Action::ReadConfiguration`] failed.
    ConfigurationFailed,
}

/// Something to do.
#[derive(Debug)]
pub enum Action {
    /// Ask a node for its evidence.
    PullEvidence {
        /// Address of the node.
        address: SocketAddr,
        /// The question.
        request: EvidenceRequest,
    },
    /// Read the table at the platform.
    ReadTable,
    /// Write the next table if its object still has the stated version.
    WriteTable {
        /// The next version.
        table: Table,
        /// Version of the object that it replaces.
        if_version: ObjectVersion,
    },
    /// Read the revision of the configuration at the platform.
    ReadConfiguration,
}

/// When a newer table is adopted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Adoption {
    /// As soon as it is known.
    Immediate,
    /// After [`Event::AdoptionApproved`]. A lender's outstanding loans must fit into its smaller
    /// share first, since the others may use the rest as soon as all rows have adopted the
    /// version.
    OnApproval,
}

/// A newer table that waits for consent.
#[derive(Debug)]
struct Offered {
    table: Arc<Table>,
    /// When the latest platform read that returned it began.
    read_began: Option<Timestamp>,
}

/// Spaces calls to the platform and keeps one of a kind running at a time.
#[derive(Debug, Default)]
struct Calls {
    busy: bool,
    next_at: Timestamp,
    failures: u32,
}

impl Calls {
    fn is_ready(&self, now: Timestamp) -> bool {
        !self.busy && now >= self.next_at
    }

    fn succeeded(&mut self) {
        self.busy = false;
        self.failures = 0;
    }

    fn failed(&mut self, now: Timestamp, random: &mut ChaCha8Rng) {
        self.busy = false;
        let delay = RETRY_DELAY.saturating_mul(1 << self.failures.min(4)).min(MAX_RETRY_DELAY);
        self.failures = self.failures.saturating_add(1);
        self.next_at = now + jittered(delay, random);
    }
}

fn jittered(delay: Duration, random: &mut ChaCha8Rng) -> Duration {
    delay.mul_f64(random.random_range(1.0..1.5))
}

/// The decisions of one node about the membership table.
#[derive(Debug)]
pub struct Membership {
    identity: Identity,
    own: RowId,
    random: ChaCha8Rng,
    table: Arc<Table>,
    settled: bool,
    adoption: Adoption,
    offered: Option<Offered>,
    adopted_at: Timestamp,
    /// Since when a majority of the previous version is known to have adopted this one.
    majority_adopted_at: Option<Timestamp>,
    book: Book,
    revision: Revision,
    newest_revision: Revision,
    load: u8,
    row_until: Timestamp,
    keys_until: Timestamp,
    /// Until when evidence alone, without a platform read, supports the lease.
    evidence_until: Timestamp,
    /// Since when evidence alone has supported the lease without a gap.
    evidence_since: Option<Timestamp>,
    own_wish: Option<Wish>,
    wishes: Wishes,
    next_pull_at: Timestamp,
    renew_before: Duration,
    change_due: Option<Timestamp>,
    change_wanted: bool,
    unconfirmed: Option<Uuid>,
    table_calls: Calls,
    configuration_calls: Calls,
}

impl Membership {
    /// Makes the state of a process that has just started.
    pub fn new(identity: Identity, adoption: Adoption, seed: u64) -> Self {
        let own = (identity.instance.clone(), identity.incarnation);
        Self {
            book: Book::new(own.clone()),
            own,
            identity,
            random: ChaCha8Rng::seed_from_u64(seed),
            table: Arc::default(),
            settled: true,
            adoption,
            offered: None,
            adopted_at: Timestamp::ZERO,
            majority_adopted_at: None,
            revision: 0,
            newest_revision: 0,
            load: NOT_SERVING,
            row_until: Timestamp::ZERO,
            keys_until: Timestamp::ZERO,
            evidence_until: Timestamp::ZERO,
            evidence_since: None,
            own_wish: None,
            wishes: Wishes::default(),
            next_pull_at: Timestamp::ZERO,
            renew_before: RENEW_BEFORE,
            change_due: None,
            change_wanted: false,
            unconfirmed: None,
            table_calls: Calls::default(),
            configuration_calls: Calls::default(),
        }
    }

    /// States the configuration revision in force here and the node's load; called before every
    /// event and answer.
    pub fn set_own_state(&mut self, revision: Revision, load: u8) {
        self.revision = self.revision.max(revision);
        self.newest_revision = self.newest_revision.max(revision);
        self.load = load;
    }

    /// The table that the node has adopted, and whether it is settled.
    pub fn view(&self) -> View {
        View { table: self.table.clone(), settled: self.settled }
    }

    /// Newest configuration revision seen, here or at any row.
    pub fn newest_revision(&self) -> Revision {
        self.newest_revision
    }

    /// Version of the table that the node has adopted.
    pub fn version(&self) -> TableVersion {
        self.table.version
    }

    /// The adopted version is settled.
    pub fn is_settled(&self) -> bool {
        self.settled
    }

    /// End of the row lease.
    pub fn row_until(&self) -> Timestamp {
        self.row_until
    }

    /// End of the key lease.
    pub fn keys_until(&self) -> Timestamp {
        self.keys_until
    }

    /// The process is out of the table and no older version that had its row is in use.
    pub fn has_left(&self) -> bool {
        self.settled && self.wish_is_met() && !self.book.has_own_row()
    }

    /// The table says of this process what it should.
    pub fn wish_is_met(&self) -> bool {
        self.own_wish.as_ref().is_none_or(|wish| wish.is_met(&self.own.0, &self.table))
    }

    /// Decides whether this node is one of the few that watch the platform for their zone.
    pub fn is_reader(&self, now: Timestamp) -> bool {
        let live = self.live_rows(now).filter(|row| row.zone == self.identity.zone);
        let ranked = rendezvous::ranked(live, READER_KEY);
        ranked.iter().take(READERS_PER_ZONE).any(|row| self.is_own(row))
    }

    /// What other parts of the node read of the evidence.
    pub fn evidence(&self, now: Timestamp) -> Evidence {
        let known = self.book.rows(List::Current);
        let rows = self.table.rows.iter().zip(known).map(|(row, known)| {
            let (at, version, revision, load) = match known.is_own {
                true => (Some(now), self.table.version, self.revision, self.load),
                false => (known.at, known.version, known.revision, known.load),
            };
            RowEvidence {
                instance: row.instance.clone(),
                incarnation: row.incarnation,
                peer_address: row.peer_address,
                at,
                table_version: version,
                revision,
                load: (load != NOT_SERVING).then_some(load),
                alive: !self.is_dead(now, known),
            }
        });
        Evidence {
            newest_revision: self.newest_revision,
            is_reader: self.is_reader(now),
            rows: rows.collect(),
        }
    }

    /// Answers another node's pull.
    pub fn answer(
        &mut self,
        now: Timestamp,
        request: &EvidenceRequest,
    ) -> (EvidenceReply, Vec<Action>) {
        self.refresh(now);
        let mut actions = Vec::new();
        if *request.shard == *self.identity.shard {
            self.note_asker(now, request, &mut actions);
        }
        let mut reply = EvidenceReply {
            shard: self.identity.shard.to_string(),
            table_version: self.table.version,
            revision: self.revision,
            instance: self.identity.instance.to_string(),
            incarnation: self.identity.incarnation,
            settled: self.settled,
            ..EvidenceReply::default()
        };
        if request.table_version < self.table.version {
            reply.table = serde_json::to_vec(&*self.table).map(Bytes::from).unwrap_or_default();
        }
        let held = Held { version: self.table.version, revision: self.revision, load: self.load };
        codec::encode_rows(&mut reply, now, held, &self.book);
        self.settle(now);
        (reply, actions)
    }

    /// Takes in an event and returns what is to be done.
    pub fn handle(&mut self, now: Timestamp, event: Event) -> Vec<Action> {
        self.refresh(now);
        let mut actions = Vec::new();
        match event {
            Event::Tick => self.tick(now, &mut actions),
            Event::OwnRowSet(row) => {
                self.own_wish = Some(Wish { incarnation: self.identity.incarnation, row });
                self.next_pull_at = now;
            }
            Event::EvidenceReceived { sent_at, reply } => self.answered(now, sent_at, &reply),
            Event::TableRead { began, found } => {
                self.table_calls.succeeded();
                self.table_calls.next_at = now + jittered(READ_SPACING, &mut self.random);
                self.table_read(now, began, found, &mut actions);
            }
            Event::TableSeen { began, table } => self.table_seen(now, began, table),
            Event::TableWritten { began, table } => {
                self.table_calls.succeeded();
                self.table_seen(now, began, table);
            }
            Event::WriteConflict => {
                self.table_calls.succeeded();
                self.change_due = Some(now + jittered(BATCH_DELAY, &mut self.random));
            }
            Event::WriteUnconfirmed { change_id } => {
                self.table_calls.failed(now, &mut self.random);
                self.unconfirmed = Some(change_id);
            }
            Event::TableFailed => self.table_calls.failed(now, &mut self.random),
            Event::ConfigurationRead { began, revision } => {
                self.configuration_calls.succeeded();
                self.configuration_calls.next_at = now + jittered(READ_SPACING, &mut self.random);
                self.configuration_seen(began, revision);
            }
            Event::ConfigurationSeen { began, revision } => {
                self.configuration_seen(began, revision);
            }
            Event::AdoptionApproved { version } => self.consented(now, version),
            Event::ConfigurationFailed => self.configuration_calls.failed(now, &mut self.random),
        }
        self.settle(now);
        self.refresh(now);
        actions
    }

    fn is_own(&self, row: &Row) -> bool {
        row.instance == self.own.0 && row.incarnation == self.own.1
    }

    fn live_rows(&self, now: Timestamp) -> impl Iterator<Item = &Row> {
        let rows = self.table.rows.iter().zip(self.book.rows(List::Current));
        rows.filter(move |(_, known)| !self.is_dead(now, known)).map(|(row, _)| row)
    }

    /// Computes the lease from the evidence.
    ///
    /// A lease only ever grows, across versions too: a lease that evidence of an older version
    /// supports ends before a version later than the adopted one can settle.
    fn refresh(&mut self, now: Timestamp) {
        if now >= self.evidence_until {
            self.evidence_since = None;
        }
        let version = self.table.version;
        let current = self.book.majority_at(now, |known| known.version <= version);
        if let Some(at) = current {
            self.evidence_until = self.evidence_until.max(at + LEASE_TERM);
            self.row_until = self.row_until.max(at + LEASE_TERM);
        }
        if now < self.evidence_until {
            self.evidence_since.get_or_insert(now);
        }
        let revision = self.revision;
        let current = self.book.majority_at(now, |known| known.revision <= revision);
        if let Some(at) = current {
            self.keys_until = self.keys_until.max(at + LEASE_TERM);
        }
    }

    /// A row is silent when nothing was heard of it for [`DEAD_AFTER`], counted only while a
    /// majority of the rows could be heard.
    fn is_silent(&self, now: Timestamp, known: &Known) -> bool {
        let Some(since) = self.evidence_since else { return false };
        !known.is_own && now.saturating_sub(known.heard().max(since)) > DEAD_AFTER
    }

    fn is_dead(&self, now: Timestamp, known: &Known) -> bool {
        known.is_superseded || self.is_silent(now, known)
    }

    fn is_suspect(now: Timestamp, known: &Known) -> bool {
        known.is_superseded || now.saturating_sub(known.heard()) > SUSPECT_AFTER
    }

    /// A newer table that waits for consent; see [`Adoption::OnApproval`].
    pub fn pending_view(&self) -> Option<View> {
        let offered = self.offered.as_ref()?;
        Some(View { table: offered.table.clone(), settled: false })
    }

    fn adopt(&mut self, now: Timestamp, table: Table) {
        if table.version <= self.table.version {
            return;
        }
        match self.adoption {
            Adoption::Immediate => self.adopt_now(now, table.into()),
            Adoption::OnApproval => self.offer(table),
        }
    }

    fn offer(&mut self, table: Table) {
        let newest = self.offered.as_ref().map_or(0, |offered| offered.table.version);
        if table.version > newest {
            self.offered = Some(Offered { table: table.into(), read_began: None });
        }
    }

    fn consented(&mut self, now: Timestamp, version: TableVersion) {
        let Some(offered) = self.offered.take_if(|it| it.table.version == version) else { return };
        self.adopt_now(now, offered.table);
        if let Some(began) = offered.read_began {
            self.row_until = self.row_until.max(began + LEASE_TERM);
        }
    }

    fn adopt_now(&mut self, now: Timestamp, table: Arc<Table>) {
        if table.version <= self.table.version {
            return;
        }
        if self.unconfirmed == Some(table.change_id) {
            log::info!("the update to table version {} had taken effect", table.version);
        }
        self.unconfirmed = None;
        self.book.follow(now, &table);
        self.table = table;
        self.settled = false;
        self.adopted_at = now;
        self.majority_adopted_at = None;
        self.change_due = None;
        self.change_wanted = false;
        // The next pulls tell three other rows of the new version at once.
        self.next_pull_at = now;
        self.settle(now);
    }

    /// Declares the adopted version settled once no lease under the previous one can be valid.
    fn settle(&mut self, now: Timestamp) {
        if self.settled {
            return;
        }
        let version = self.table.version;
        let has_adopted = |known: &&Known| known.is_own || known.version >= version;
        let adopted = self.book.rows(List::Previous).filter(has_adopted).count();
        let rows = self.table.previous_rows.len();
        if adopted == rows {
            self.settled = true;
            return;
        }
        // The older process of an instance that runs a newer one may be paused with a lease that
        // is still valid, so it counts only where that lease has time to end.
        let is_replaced = |known: &&Known| known.is_superseded && !has_adopted(known);
        let replaced = self.book.rows(List::Previous).filter(is_replaced).count();
        if adopted + replaced <= rows / 2 {
            return;
        }
        let majority_at = *self.majority_adopted_at.get_or_insert(now);
        let waited = now.saturating_sub(majority_at.max(self.adopted_at));
        self.settled = waited >= LEASE_TERM + CLOCK_MARGIN;
    }

    fn tick(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        self.wishes.expire(now, &self.table);
        if now >= self.next_pull_at {
            self.next_pull_at = now + PULL_INTERVAL.mul_f64(self.random.random_range(0.9..1.1));
            self.pull(now, actions);
        }
        self.plan_change(now, actions);
        let renew_at = now + self.renew_before;
        if self.table_calls.is_ready(now)
            && (self.row_until < renew_at || self.unconfirmed.is_some())
        {
            self.table_calls.busy = true;
            self.renew_before = jittered(RENEW_BEFORE, &mut self.random);
            actions.push(Action::ReadTable);
        }
        if self.configuration_calls.is_ready(now) && self.keys_until < renew_at {
            self.configuration_calls.busy = true;
            actions.push(Action::ReadConfiguration);
        }
    }

    /// Asks random rows, those heard of lately first, and now and then one that is silent.
    fn pull(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        let table = self.table.clone();
        let mut fresh = Vec::new();
        let mut suspect = Vec::new();
        for (index, row) in table.rows.iter().enumerate() {
            if row.instance == self.own.0 {
                continue;
            }
            match Self::is_suspect(now, self.book.current(index)) {
                true => suspect.push(row),
                false => fresh.push(row),
            }
        }
        fresh.shuffle(&mut self.random);
        suspect.shuffle(&mut self.random);
        let probes = usize::from(self.random.random_bool(PROBE_PROBABILITY));
        suspect.truncate(PULL_PEERS.saturating_sub(fresh.len()).max(probes));
        fresh.truncate(PULL_PEERS);
        if !self.wish_is_met() {
            // The row that writes the next version must hear of the wish.
            let ranked = rendezvous::ranked(self.live_rows(now), &self.writer_key());
            let first = ranked.first().and_then(|first| table.row(&first.instance));
            let asked = |row: &&Row| row.instance != self.own.0 && !fresh.contains(row);
            fresh.extend(first.filter(asked));
        }
        for (row, is_suspect) in fresh
            .into_iter()
            .map(|row| (row, false))
            .chain(suspect.into_iter().map(|row| (row, true)))
        {
            let request = self.request(is_suspect);
            actions.push(Action::PullEvidence { address: row.peer_address, request });
        }
    }

    fn writer_key(&self) -> [u8; 8] {
        self.table.version.to_le_bytes()
    }

    fn request(&self, asked_may_be_new: bool) -> EvidenceRequest {
        let wish = self.own_wish.as_ref().filter(|wish| !wish.is_met(&self.own.0, &self.table));
        let row = wish.and_then(|wish| wish.row.as_ref());
        let with_address = asked_may_be_new || !self.book.has_own_row();
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
            leaving: wish.is_some_and(|wish| wish.row.is_none()),
            peer_address: match with_address {
                true => self.identity.peer_address.to_string(),
                false => String::new(),
            },
        }
    }

    /// Takes in what an asker says of itself: facts that no delay can make untrue.
    fn note_asker(&mut self, now: Timestamp, request: &EvidenceRequest, actions: &mut Vec<Action>) {
        let id: RowId = (request.instance.as_str().into(), request.incarnation);
        if id.0 == self.own.0 {
            return;
        }
        self.newest_revision = self.newest_revision.max(request.revision);
        // A question may have been on its way for long, so it gives no age.
        self.book.note_sender(
            &id,
            Statement {
                at: None,
                version: request.table_version,
                revision: request.revision,
                load: NOT_SERVING,
            },
        );
        let wanted = serde_json::from_slice::<Row>(&request.wanted_row).ok();
        let wanted = wanted.filter(|row| row.instance == id.0 && row.incarnation == id.1);
        if wanted.is_some() || request.leaving {
            let wish = Wish { incarnation: id.1, row: wanted };
            self.wishes.note(id.0.clone(), wish, now + WISH_TERM);
        }
        let row = self.table.row(&id.0).filter(|row| row.incarnation == id.1);
        let address = request.peer_address.parse().ok().or(row.map(|row| row.peer_address));
        if let Some(address) = address.filter(|_| request.table_version > self.table.version) {
            let request = self.request(true);
            actions.push(Action::PullEvidence { address, request });
        }
    }

    fn answered(&mut self, now: Timestamp, sent_at: Timestamp, reply: &EvidenceReply) {
        if *reply.shard != *self.identity.shard || *reply.instance == *self.own.0 {
            return;
        }
        let sender: RowId = (reply.instance.as_str().into(), reply.incarnation);
        if reply.table_version > self.table.version && !reply.table.is_empty() {
            match serde_json::from_slice::<Table>(&reply.table) {
                Ok(table) if table.version == reply.table_version => self.adopt(now, table),
                Ok(table) => log::warn!(
                    "{} sent table version {} as version {}",
                    reply.instance,
                    table.version,
                    reply.table_version
                ),
                Err(error) => log::warn!("{} sent an unreadable table: {error}", reply.instance),
            }
        }
        if reply.settled && reply.table_version == self.table.version {
            self.settled = true;
        }
        self.newest_revision = self.newest_revision.max(reply.revision);
        let index = self.table.rows.iter().position(|row| id_of(row) == sender);
        let load = index.filter(|_| reply.table_version == self.table.version);
        let load = load.and_then(|index| reply.loads.get(index).copied());
        self.book.note_sender(
            &sender,
            Statement {
                at: Some(sent_at),
                version: reply.table_version,
                revision: reply.revision,
                load: load.unwrap_or(NOT_SERVING),
            },
        );
        let (list, rows) = match self.table.version.checked_sub(reply.table_version) {
            Some(0) => (List::Current, self.table.rows.len()),
            Some(1) => (List::Previous, self.table.previous_rows.len()),
            // The rows that the ages belong to are not known here.
            _ => return,
        };
        for (index, statement) in codec::decode_rows(reply, sent_at) {
            if index < rows {
                self.book.note_row(list, index, statement);
            }
        }
        self.newest_revision = self.newest_revision.max(self.book.newest_revision());
    }

    fn table_seen(&mut self, now: Timestamp, began: Timestamp, table: Table) {
        let version = table.version;
        self.adopt(now, table);
        if version == self.table.version {
            self.row_until = self.row_until.max(began + LEASE_TERM);
        }
        if let Some(offered) = self.offered.as_mut().filter(|it| it.table.version == version) {
            offered.read_began = offered.read_began.max(Some(began));
        }
    }

    fn configuration_seen(&mut self, began: Timestamp, revision: Revision) {
        self.newest_revision = self.newest_revision.max(revision);
        if revision <= self.revision {
            self.keys_until = self.keys_until.max(began + LEASE_TERM);
        }
    }

    fn table_read(
        &mut self,
        now: Timestamp,
        began: Timestamp,
        found: Option<(ObjectVersion, Table)>,
        actions: &mut Vec<Action>,
    ) {
        let (if_version, table) = found.unwrap_or_default();
        let read = table.version;
        let known_before = self.table.version;
        let writes = std::mem::take(&mut self.change_wanted);
        self.table_seen(now, began, table);
        // An update that had no answer is either this version or has not taken effect; should it
        // still do so, the next update of this node meets a conflict.
        self.unconfirmed = None;
        if !writes || read != known_before || !self.settled {
            return;
        }
        let Some(rows) = self.planned_rows(now) else { return };
        self.table_calls.busy = true;
        actions.push(Action::WriteTable { table: self.table.next_version(rows), if_version });
    }

    /// The rows that the next version should have, where it is this node's to say so.
    fn planned_rows(&self, now: Timestamp) -> Option<Vec<Row>> {
        let own = self.own_wish.as_ref().map(|wish| (&self.own.0, wish));
        // Without a majority no row may be evicted, and an observer evicts none.
        let may_evict = self.book.has_own_row() && now < self.evidence_until;
        let is_dead = |index| may_evict && self.is_silent(now, self.book.current(index));
        change::plan(&self.table, self.wishes.iter().chain(own), is_dead)
    }

    /// Reads the table in order to write it, once it is this node's turn.
    fn plan_change(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        if !self.settled || self.planned_rows(now).is_none() {
            self.change_due = None;
            return;
        }
        let due = match self.change_due {
            Some(due) => due,
            None => now + self.change_delay(now),
        };
        self.change_due = Some(due);
        if now < due + EVICTION_GATHER && self.gathers_evictions(now) {
            return;
        }
        if now < due || self.table_calls.busy || !self.calls_may_start(now) {
            return;
        }
        self.change_wanted = true;
        self.table_calls.busy = true;
        self.change_due = None;
        actions.push(Action::ReadTable);
    }

    /// A row is dead and another is about to count as dead.
    fn gathers_evictions(&self, now: Timestamp) -> bool {
        let Some(since) = self.evidence_since else { return false };
        let silence = |known: &Known| now.saturating_sub(known.heard().max(since));
        let others = || self.book.rows(List::Current).filter(|known| !known.is_own).map(silence);
        others().any(|silence| silence > DEAD_AFTER)
            && others().any(|it| it > DEAD_AFTER - EVICTION_GATHER && it <= DEAD_AFTER)
    }

    /// Spacing holds for reads that renew a lease; only failures delay a change.
    fn calls_may_start(&self, now: Timestamp) -> bool {
        self.table_calls.failures == 0 || now >= self.table_calls.next_at
    }

    /// The first live row in rendezvous order writes at once, each other waits its rank.
    fn change_delay(&mut self, now: Timestamp) -> Duration {
        let ranked = rendezvous::ranked(self.live_rows(now), &self.writer_key());
        let rank = ranked.iter().position(|row| self.is_own(row));
        let by_rank = rank.map(|rank| {
            BATCH_DELAY + RANK_DELAY.saturating_mul(u32::try_from(rank).unwrap_or(u32::MAX))
        });
        if self.wish_is_met() {
            return by_rank.unwrap_or(Duration::MAX / 4);
        }
        let own = match self.table.rows.is_empty() {
            true => BATCH_DELAY,
            false => OWN_WISH_DELAY,
        };
        let own = jittered(own, &mut self.random);
        by_rank.map_or(own, |by_rank| by_rank.min(own))
    }
}
