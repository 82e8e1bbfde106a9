//! Simulation of a fleet on a virtual clock, for the decisions of `hibiscusdoor::once`.
//!
//! It models the membership table by the rules of docs/design.md, section 4: leases that last 4 s
//! after the newest evidence, settlement, and updates only of a settled version. It counts the runs
//! of each idempotency key and checks every outcome that a caller receives.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashMap, HashSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use hibiscusdoor::{
    call::{Answer, Dispatch, Outcome, Reason, Undispatched, Unknown},
    membership::{Row, RowState, Table, View},
    once::{
        CLOCK_ALLOWANCE, Claim, ClaimContext, ClaimRefusal, Handover, KeyRecords, KeyedRequest,
        RecordLimits, RecordedOutcome, RowIdentity, RunToken,
    },
};
use http::{HeaderMap, StatusCode};
use rand::{Rng as _, RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use uuid::Uuid;

const LEASE_TERM: Duration = Duration::from_secs(4);
const CLOCK_MARGIN: Duration = Duration::from_millis(500);
const DEAD_AFTER: Duration = Duration::from_secs(5);
const TICK_INTERVAL: Duration = Duration::from_millis(250);
const WALL_CLOCK_START: Duration = Duration::from_secs(1_800_000_000);
/// Wall clocks differ by at most twice this, 1.8 s, which is within [`CLOCK_ALLOWANCE`].
const MAX_CLOCK_OFFSET_MS: u64 = 900;
const SERVICE: &str = "drops";

/// One attempt of a caller to run a request.
#[derive(Debug, Clone)]
struct Attempt {
    key: usize,
    request: KeyedRequest,
}

#[derive(Debug)]
enum Event {
    Tick,
    RequestArrives { node: usize, attempt: Attempt },
    WriteStarts { node: usize, attempt: Attempt, token: RunToken, undispatched: Undispatched },
    UpstreamAnswers { node: usize, attempt: Attempt, token: RunToken, dispatch: Dispatch },
    Evict { node: usize },
    EndFreeze { node: usize },
    EndCut { node: usize },
    PlatformUp,
    HandOver { node: usize },
}

struct Node {
    identity: RowIdentity,
    records: KeyRecords,
    view: View,
    lease_until: Duration,
    wall_offset: Duration,
    is_alive: bool,
    is_frozen: bool,
    is_cut: bool,
    is_leaving: bool,
    /// Events that arrived while the node was frozen.
    deferred: Vec<Event>,
}

impl Node {
    fn can_act(&self) -> bool {
        self.is_alive && !self.is_frozen
    }

    fn can_reach_others(&self) -> bool {
        self.can_act() && !self.is_cut
    }
}

/// Observations about one idempotency key.
#[derive(Debug, Default)]
pub struct KeyFacts {
    /// Number of times that a request with the key was sent to an upstream.
    pub runs: usize,
    /// Outcomes that callers received, in order.
    pub outcomes: Vec<&'static str>,
}

/// The simulated fleet.
pub struct World {
    now: Duration,
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    events_by_id: HashMap<u64, Event>,
    last_event_id: u64,
    rng: ChaCha8Rng,
    nodes: Vec<Node>,
    tables: Vec<Arc<Table>>,
    committed_at: Duration,
    /// When a majority of the previous rows was first observed to have adopted the newest table.
    majority_at: Option<Duration>,
    is_settled: bool,
    is_platform_up: bool,
    pending_changes: Vec<Change>,
    next_port: u16,
    keys: Vec<Uuid>,
    /// Observations about each key, by its index.
    pub facts: Vec<KeyFacts>,
    /// Descriptions of violated invariants.
    pub violations: Vec<String>,
}

enum Change {
    Add(usize),
    Remove(usize),
}

impl World {
    /// Creates a world without nodes.
    pub fn new(seed: u64) -> Self {
        let mut world = Self {
            now: Duration::from_secs(1000),
            queue: BinaryHeap::new(),
            events_by_id: HashMap::new(),
            last_event_id: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            nodes: Vec::new(),
            tables: vec![Arc::new(Table::default())],
            committed_at: Duration::ZERO,
            majority_at: None,
            is_settled: true,
            is_platform_up: true,
            pending_changes: Vec::new(),
            next_port: 1,
            keys: Vec::new(),
            facts: Vec::new(),
            violations: Vec::new(),
        };
        world.schedule(Duration::ZERO, Event::Tick);
        world
    }

    /// Adds a node and requests its row; a name that was used before means a restart.
    pub fn join(&mut self, name: &str) -> usize {
        let index = self.nodes.len();
        let identity = RowIdentity { instance: name.into(), incarnation: index as u64 + 1 };
        let offset_ms = self.rng.random_range(0..=2 * MAX_CLOCK_OFFSET_MS);
        self.nodes.push(Node {
            records: KeyRecords::new(identity.clone(), RecordLimits::default()),
            identity,
            view: View::default(),
            lease_until: Duration::ZERO,
            wall_offset: Duration::from_millis(offset_ms),
            is_alive: true,
            is_frozen: false,
            is_cut: false,
            is_leaving: false,
            deferred: Vec::new(),
        });
        self.pending_changes.push(Change::Add(index));
        index
    }

    /// Number of nodes that have ever joined.
    pub fn node_count(&self) -> usize {
        self.nodes.len()
    }

    /// Returns the live node of an instance name.
    pub fn find(&self, name: &str) -> Option<usize> {
        self.nodes.iter().rposition(|node| &*node.identity.instance == name && node.is_alive)
    }

    /// Returns the instance name of a node.
    pub fn name(&self, node: usize) -> String {
        self.nodes[node].identity.instance.to_string()
    }

    /// Returns the live nodes.
    pub fn live(&self) -> Vec<usize> {
        (0..self.nodes.len()).filter(|index| self.nodes[*index].is_alive).collect()
    }

    /// Returns the node that owns a key according to the newest table.
    pub fn owner_of(&self, key: usize) -> Option<usize> {
        let view = View { table: self.tables.last().expect("a table").clone(), is_settled: true };
        let row = view.owner(&SERVICE.into(), self.keys[key])?;
        self.nodes.iter().position(|node| node.identity == RowIdentity::from_row(row))
    }

    /// Returns the newest live node that does not own a key.
    pub fn newest_non_owner(&self, key: usize) -> Option<usize> {
        let owner = self.owner_of(key);
        let entries = self.live().into_iter().filter(|node| self.nodes[*node].can_act());
        entries.rev().find(|node| Some(*node) != owner)
    }

    /// Whether the newest table may be updated: it is settled and a majority of its rows is
    /// reachable.
    pub fn has_majority(&self) -> bool {
        let rows = &self.tables.last().expect("a table").rows;
        let live = rows.iter().filter(|row| {
            let identity = RowIdentity::from_row(row);
            self.nodes.iter().any(|node| node.identity == identity && node.can_reach_others())
        });
        self.is_settled && live.count() * 2 > rows.len()
    }

    /// Creates a key with the current time of a caller's wall clock.
    pub fn new_key(&mut self) -> usize {
        let offset = Duration::from_millis(self.rng.random_range(0..=2 * MAX_CLOCK_OFFSET_MS));
        let stamp = self.wall_clock(offset);
        let mut random = [0; 10];
        self.rng.fill_bytes(&mut random);
        let ms = u64::try_from(stamp.as_millis()).expect("a time in range");
        let key = uuid::Builder::from_unix_timestamp_millis(ms, &random).into_uuid();
        self.keys.push(key);
        self.facts.push(KeyFacts::default());
        self.keys.len() - 1
    }

    /// Sends a request with a key to a node; `is_other_request` selects a different request with
    /// the same key.
    pub fn send(&mut self, key: usize, via: usize, is_other_request: bool) {
        if !self.nodes[via].can_act() {
            return;
        }
        let request = KeyedRequest {
            idempotency_key: self.keys[key],
            organisation: Some("bole-bars".into()),
            digest: [u8::from(is_other_request); 32],
        };
        let attempt = Attempt { key, request };
        let entry = &self.nodes[via];
        let owner = entry.view.owner(&SERVICE.into(), self.keys[key]).map(RowIdentity::from_row);
        let owner = owner.and_then(|owner| self.nodes.iter().position(|it| it.identity == owner));
        let Some(owner) = owner else {
            let refused = Undispatched::new(false).refuse(Reason::NoLease, "no owner");
            return self.record_outcome(&attempt, Outcome::NotRun(refused));
        };
        if owner != via && (self.nodes[via].is_cut || self.nodes[owner].is_cut) {
            return self.record_outcome(&attempt, unknown(Reason::PeerFailed));
        }
        let delay = Duration::from_millis(self.rng.random_range(0..20));
        self.schedule(delay, Event::RequestArrives { node: owner, attempt });
    }

    /// Kills a process.
    pub fn kill(&mut self, node: usize) {
        if self.nodes[node].is_alive {
            self.nodes[node].is_alive = false;
            self.nodes[node].deferred.clear();
            self.schedule(DEAD_AFTER, Event::Evict { node });
        }
    }

    /// Starts the orderly shutdown of a node.
    pub fn leave(&mut self, node: usize) {
        if self.nodes[node].can_act() && !self.nodes[node].is_leaving {
            self.nodes[node].is_leaving = true;
            self.nodes[node].records.start_handover();
            self.schedule(Duration::from_secs(2), Event::HandOver { node });
        }
    }

    /// Pauses a process for some time, in which its clock continues to run.
    pub fn freeze(&mut self, node: usize, time: Duration) {
        if self.nodes[node].can_act() {
            self.nodes[node].is_frozen = true;
            self.schedule(time, Event::EndFreeze { node });
            if time > DEAD_AFTER {
                self.schedule(DEAD_AFTER, Event::Evict { node });
            }
        }
    }

    /// Cuts a node off from all others and from the platform for some time.
    pub fn cut(&mut self, node: usize, time: Duration) {
        if !self.nodes[node].is_cut {
            self.nodes[node].is_cut = true;
            self.schedule(time, Event::EndCut { node });
            if time > DEAD_AFTER {
                self.schedule(DEAD_AFTER, Event::Evict { node });
            }
        }
    }

    /// Makes the platform unreachable for some time.
    pub fn platform_down(&mut self, time: Duration) {
        if self.is_platform_up {
            self.is_platform_up = false;
            self.schedule(time, Event::PlatformUp);
        }
    }

    /// Runs the simulation for some time.
    pub fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(Reverse((at, id))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = self.now.max(at);
            if let Some(event) = self.events_by_id.remove(&id) {
                self.handle(event);
            }
        }
        self.now = end;
    }

    /// Waits until all temporary faults have ended and the fleet has become stable.
    pub fn heal(&mut self) {
        self.run_for(Duration::from_secs(90));
    }

    /// Returns the last outcome that a caller of the key received.
    pub fn last_outcome(&self, key: usize) -> &'static str {
        self.facts[key].outcomes.last().copied().unwrap_or("none")
    }

    fn wall_clock(&self, offset: Duration) -> Duration {
        WALL_CLOCK_START + self.now + offset
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.last_event_id += 1;
        self.queue.push(Reverse((self.now + delay, self.last_event_id)));
        self.events_by_id.insert(self.last_event_id, event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick => {
                self.tick();
                self.schedule(TICK_INTERVAL, Event::Tick);
            }
            Event::RequestArrives { node, .. }
            | Event::WriteStarts { node, .. }
            | Event::UpstreamAnswers { node, .. }
            | Event::HandOver { node }
                if self.nodes[node].is_frozen && self.nodes[node].is_alive =>
            {
                self.nodes[node].deferred.push(event);
            }
            Event::RequestArrives { node, attempt } => self.claim_key(node, attempt),
            Event::WriteStarts { node, attempt, token, undispatched } => {
                self.start_run(node, attempt, token, undispatched);
            }
            Event::UpstreamAnswers { node, attempt, token, dispatch } => {
                self.complete_run(node, &attempt, token, dispatch);
            }
            Event::Evict { node } => {
                let unreachable = &self.nodes[node];
                if !unreachable.is_alive || unreachable.is_frozen || unreachable.is_cut {
                    self.pending_changes.push(Change::Remove(node));
                }
            }
            Event::EndFreeze { node } => {
                self.nodes[node].is_frozen = false;
                for event in std::mem::take(&mut self.nodes[node].deferred) {
                    self.handle(event);
                }
            }
            Event::EndCut { node } => self.nodes[node].is_cut = false,
            Event::PlatformUp => self.is_platform_up = true,
            Event::HandOver { node } => self.hand_over(node),
        }
    }

    fn claim_key(&mut self, node: usize, attempt: Attempt) {
        if !self.nodes[node].is_alive {
            return self.record_outcome(&attempt, unknown(Reason::PeerFailed));
        }
        let mut undispatched = Undispatched::new(false);
        let claim = self.with_claim_context(node, |records, claim_context| {
            records.claim(&attempt.request, claim_context)
        });
        let outcome = match claim {
            Claim::Run(token) => {
                undispatched.cover_request();
                let delay = Duration::from_millis(self.rng.random_range(0..200));
                let write = Event::WriteStarts { node, attempt, token, undispatched };
                return self.schedule(delay, write);
            }
            Claim::InProgress => Outcome::NotRun(undispatched.refuse(Reason::InProgress, "")),
            Claim::Recorded(RecordedOutcome::Answer(answer)) => Outcome::Whole((*answer).clone()),
            Claim::Recorded(_) | Claim::HistoryUnknown => unknown(Reason::KeyHistoryUnknown),
            Claim::Refused(refusal) => {
                Outcome::NotRun(undispatched.refuse(refusal_reason(refusal), ""))
            }
        };
        self.record_outcome(&attempt, outcome);
    }

    fn start_run(
        &mut self,
        node: usize,
        attempt: Attempt,
        token: RunToken,
        undispatched: Undispatched,
    ) {
        if !self.nodes[node].is_alive {
            return self.record_outcome(&attempt, unknown(Reason::PeerFailed));
        }
        let key = attempt.request.idempotency_key;
        let checked = self.with_claim_context(node, |records, claim_context| {
            records.check_claim(key, claim_context)
        });
        if let Err(refusal) = checked {
            self.nodes[node].records.release(token);
            let refused = undispatched.refuse(refusal_reason(refusal), "");
            return self.record_outcome(&attempt, Outcome::NotRun(refused));
        }
        let dispatch = Dispatch::begin(undispatched);
        self.facts[attempt.key].runs += 1;
        if self.facts[attempt.key].runs > 1 {
            self.violations.push(format!("at {:?} key {} ran twice", self.now, attempt.key));
        }
        let delay = Duration::from_millis(self.rng.random_range(1..3000));
        self.schedule(delay, Event::UpstreamAnswers { node, attempt, token, dispatch });
    }

    fn complete_run(
        &mut self,
        node: usize,
        attempt: &Attempt,
        token: RunToken,
        dispatch: Dispatch,
    ) {
        if !self.nodes[node].is_alive {
            return self.record_outcome(attempt, dispatch.unknown(Reason::PeerFailed, ""));
        }
        let outcome = match self.rng.random_range(0..8) {
            0 => dispatch.unknown(Reason::UpstreamFailed, "cut"),
            _ => dispatch.answered(Answer {
                status: StatusCode::OK,
                headers: HeaderMap::new(),
                body: Bytes::copy_from_slice(attempt.request.idempotency_key.as_bytes()),
            }),
        };
        let recorded = match &outcome {
            Outcome::Whole(answer) => RecordedOutcome::Answer(Arc::new(answer.clone())),
            _ => RecordedOutcome::Unknown(Reason::UpstreamFailed),
        };
        self.nodes[node].records.finish(token, recorded, self.now);
        self.record_outcome(attempt, outcome);
    }

    /// Records the outcome that the caller receives, and checks that it is correct.
    fn record_outcome(&mut self, attempt: &Attempt, outcome: Outcome) {
        let facts = &mut self.facts[attempt.key];
        let name = match &outcome {
            Outcome::Whole(answer) => {
                if facts.runs == 0
                    || answer.body[..] != attempt.request.idempotency_key.as_bytes()[..]
                {
                    self.violations.push(format!(
                        "key {} received an answer that none of its runs gave",
                        attempt.key
                    ));
                }
                "whole"
            }
            Outcome::NotRun(not_run) => {
                if not_run.covers_request && facts.runs > 0 {
                    let text = format!("key {} ran and was reported as not run", attempt.key);
                    self.violations.push(text);
                }
                match not_run.reason {
                    Reason::InProgress => "in-progress",
                    _ => "not-run",
                }
            }
            Outcome::Unknown(_) => "unknown",
        };
        facts.outcomes.push(name);
    }

    fn with_claim_context<T>(
        &mut self,
        node: usize,
        decide: impl FnOnce(&mut KeyRecords, &ClaimContext<'_>) -> T,
    ) -> T {
        let now = self.now;
        let unix_now = self.wall_clock(self.nodes[node].wall_offset);
        let node = &mut self.nodes[node];
        let claim_context = ClaimContext {
            now,
            unix_now,
            view: &node.view,
            lease_is_valid: now < node.lease_until,
        };
        decide(&mut node.records, &claim_context)
    }

    fn hand_over(&mut self, leaver: usize) {
        if !self.nodes[leaver].is_alive {
            return;
        }
        let handovers = self.nodes[leaver].records.handovers(self.now);
        for handover in handovers {
            let successor = RowIdentity::from_row(&handover.successor);
            let successor = self.nodes.iter().position(|it| it.identity == successor);
            let is_lost = self.rng.random_range(0..10) == 0 || self.nodes[leaver].is_cut;
            if let Some(successor) = successor.filter(|it| self.nodes[*it].can_reach_others())
                && !is_lost
            {
                self.receive_handover(leaver, successor, handover);
            }
        }
        self.pending_changes.push(Change::Remove(leaver));
    }

    fn receive_handover(&mut self, leaver: usize, successor: usize, handover: Handover) {
        let from = self.nodes[leaver].identity.clone();
        let now = self.now;
        let records = &mut self.nodes[successor].records;
        if records.receive_records(handover.records, now) {
            let Handover { service, table_version, complete_after, .. } = handover;
            records.record_complete_handover(from, service, table_version, complete_after, now);
        }
    }

    /// Runs adoption, lease renewal, settlement and table updates.
    fn tick(&mut self) {
        let newest = self.tables.last().expect("a table").clone();
        for index in 0..self.nodes.len() {
            let is_skipped = self.rng.random_range(0..3) == 0;
            let node = &mut self.nodes[index];
            if !node.can_reach_others() || is_skipped {
                continue;
            }
            if node.view.table.version < newest.version {
                node.view = View { table: newest.clone(), is_settled: false };
            }
            if node.view.table.version == newest.version && self.is_settled {
                node.view.is_settled = true;
            }
            let unix_now = WALL_CLOCK_START + self.now + node.wall_offset;
            let view = node.view.clone();
            node.records.observe(&view, self.now, unix_now);
        }
        self.extend_leases(&newest);
        self.update_settlement(&newest);
        if self.is_settled && self.is_platform_up && !self.pending_changes.is_empty() {
            self.update_table(&newest);
        }
    }

    fn extend_leases(&mut self, newest: &Table) {
        for index in 0..self.nodes.len() {
            let node = &self.nodes[index];
            if !node.can_reach_others() {
                continue;
            }
            let version = node.view.table.version;
            let holders = node.view.table.rows.iter().filter(|row| {
                self.nodes.iter().any(|other| {
                    other.identity == RowIdentity::from_row(row)
                        && other.can_reach_others()
                        && other.view.table.version <= version
                })
            });
            let by_majority = holders.count() * 2 > node.view.table.rows.len();
            let by_platform = self.is_platform_up && version == newest.version;
            if by_majority || by_platform {
                self.nodes[index].lease_until = self.now + LEASE_TERM;
            }
        }
    }

    fn update_settlement(&mut self, newest: &Table) {
        if self.is_settled {
            return;
        }
        let previous = &newest.previous_rows;
        let adopted = previous.iter().filter(|row| {
            self.nodes.iter().any(|node| {
                node.identity == RowIdentity::from_row(row)
                    && node.view.table.version >= newest.version
            })
        });
        let adopted = adopted.count();
        if adopted == previous.len() {
            self.is_settled = true;
        } else if adopted * 2 > previous.len() {
            let majority_at = *self.majority_at.get_or_insert(self.now);
            let since = majority_at.max(self.committed_at);
            self.is_settled = self.now >= since + LEASE_TERM + CLOCK_MARGIN;
        }
    }

    fn update_table(&mut self, newest: &Arc<Table>) {
        let mut rows: BTreeMap<Arc<str>, Row> =
            newest.rows.iter().map(|row| (row.instance.clone(), row.clone())).collect();
        for change in std::mem::take(&mut self.pending_changes) {
            match change {
                Change::Add(index) => {
                    self.next_port += 1;
                    let identity = &self.nodes[index].identity;
                    let row = Row {
                        instance: identity.instance.clone(),
                        incarnation: identity.incarnation,
                        zone: "zone-a".into(),
                        service: Some(SERVICE.into()),
                        peer_address: SocketAddr::from(([127, 0, 0, 1], self.next_port)),
                        weight: 1,
                        state: RowState::Active,
                    };
                    rows.insert(row.instance.clone(), row);
                }
                Change::Remove(index) => {
                    let node = &mut self.nodes[index];
                    let identity = node.identity.clone();
                    if rows.get(&identity.instance).map(RowIdentity::from_row)
                        == Some(identity.clone())
                    {
                        rows.remove(&identity.instance);
                    }
                    if node.is_leaving {
                        node.is_alive = false;
                    }
                }
            }
        }
        let next = newest.next_version(rows.into_values().collect());
        if next.rows == newest.rows {
            return;
        }
        self.tables.push(Arc::new(next));
        self.committed_at = self.now;
        self.majority_at = None;
        self.is_settled = false;
    }

    /// Returns the live nodes without a row in the newest table, such as nodes that were evicted
    /// while they were unreachable.
    pub fn evicted(&self) -> Vec<usize> {
        let rows: HashSet<RowIdentity> =
            self.tables.last().expect("a table").rows.iter().map(RowIdentity::from_row).collect();
        self.live().into_iter().filter(|it| !rows.contains(&self.nodes[*it].identity)).collect()
    }
}

fn unknown(reason: Reason) -> Outcome {
    Outcome::Unknown(Unknown { reason, detail: String::new() })
}

fn refusal_reason(refusal: ClaimRefusal) -> Reason {
    match refusal {
        ClaimRefusal::NotOwner => Reason::NoLease,
        ClaimRefusal::Leaving => Reason::Leaving,
        ClaimRefusal::OtherRequest | ClaimRefusal::KeyInFuture => Reason::BadRequest,
        ClaimRefusal::Full => Reason::Overload,
    }
}

/// Returns the time after which a new key has a timestamp after the last settlement, in spite of
/// clock offsets.
pub fn fresh_key_delay() -> Duration {
    CLOCK_ALLOWANCE + Duration::from_millis(2 * MAX_CLOCK_OFFSET_MS)
}
