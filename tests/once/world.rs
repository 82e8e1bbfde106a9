//! A fleet on a virtual clock that drives the decisions of `hibiscusdoor::once`.
//!
//! The world models the membership table with the rules of docs/design.md, section 4: leases that
//! last 4 s after the last evidence, settlement, and updates only on a settled version. It counts
//! the runs of each idempotency key and checks every outcome that a caller is given.

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

const LEASE_TIME: Duration = Duration::from_secs(4);
const CLOCK_MARGIN: Duration = Duration::from_millis(500);
const DEAD_AFTER: Duration = Duration::from_secs(5);
const TICK: Duration = Duration::from_millis(250);
const WALL_CLOCK_START: Duration = Duration::from_secs(1_800_000_000);
/// Two wall clocks differ by twice this at most, which the clock allowance covers.
const MAX_CLOCK_OFFSET_MS: u64 = 900;
const SERVICE: &str = "drops";

/// A request on its way through the fleet.
#[derive(Debug, Clone)]
struct Attempt {
    key: usize,
    request: KeyedRequest,
}

#[derive(Debug)]
enum Event {
    Tick,
    Arrive { node: usize, attempt: Attempt },
    Write { node: usize, attempt: Attempt, token: RunToken, undispatched: Undispatched },
    Answered { node: usize, attempt: Attempt, token: RunToken, dispatch: Dispatch },
    Evict { node: usize },
    Thaw { node: usize },
    Mend { node: usize },
    PlatformUp,
    HandOver { node: usize },
}

struct Node {
    identity: RowIdentity,
    records: KeyRecords,
    view: View,
    lease_until: Duration,
    wall_offset: Duration,
    alive: bool,
    frozen: bool,
    cut: bool,
    leaving: bool,
    deferred: Vec<Event>,
}

impl Node {
    fn acts(&self) -> bool {
        self.alive && !self.frozen
    }

    fn reaches_others(&self) -> bool {
        self.acts() && !self.cut
    }
}

/// What is known of one idempotency key.
#[derive(Debug, Default)]
pub struct KeyFacts {
    /// How often its bytes reached an upstream.
    pub runs: usize,
    /// Outcomes that callers were given, in order.
    pub outcomes: Vec<&'static str>,
}

/// The fleet.
pub struct World {
    now: Duration,
    events: BinaryHeap<Reverse<(Duration, u64)>>,
    bodies: HashMap<u64, Event>,
    sequence: u64,
    rng: ChaCha8Rng,
    nodes: Vec<Node>,
    tables: Vec<Arc<Table>>,
    committed_at: Duration,
    majority_at: Option<Duration>,
    settled: bool,
    platform_up: bool,
    wanted: Vec<Change>,
    next_port: u16,
    keys: Vec<Uuid>,
    /// Facts of each key.
    pub facts: Vec<KeyFacts>,
    /// Rules that were broken.
    pub violations: Vec<String>,
}

enum Change {
    Add(usize),
    Remove(usize),
}

impl World {
    /// Makes a world without nodes.
    pub fn new(seed: u64) -> Self {
        let mut world = Self {
            now: Duration::from_secs(1000),
            events: BinaryHeap::new(),
            bodies: HashMap::new(),
            sequence: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            nodes: Vec::new(),
            tables: vec![Arc::new(Table::default())],
            committed_at: Duration::ZERO,
            majority_at: None,
            settled: true,
            platform_up: true,
            wanted: Vec::new(),
            next_port: 1,
            keys: Vec::new(),
            facts: Vec::new(),
            violations: Vec::new(),
        };
        world.schedule(Duration::ZERO, Event::Tick);
        world
    }

    /// Adds a node and asks for its row; a name that is in use again is a restart.
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
            alive: true,
            frozen: false,
            cut: false,
            leaving: false,
            deferred: Vec::new(),
        });
        self.wanted.push(Change::Add(index));
        index
    }

    /// Number of nodes that ever were.
    pub fn node_count(&self) -> usize {
        self.nodes.len()
    }

    /// The live node of a name.
    pub fn find(&self, name: &str) -> Option<usize> {
        self.nodes.iter().rposition(|node| &*node.identity.instance == name && node.alive)
    }

    /// Name of a node's instance.
    pub fn name(&self, node: usize) -> String {
        self.nodes[node].identity.instance.to_string()
    }

    /// The live nodes.
    pub fn live(&self) -> Vec<usize> {
        (0..self.nodes.len()).filter(|index| self.nodes[*index].alive).collect()
    }

    /// The node that owns a key in the newest table, or the next one without an owner.
    pub fn owner_of(&self, key: usize) -> Option<usize> {
        let view = View { table: self.tables.last().expect("a table").clone(), settled: true };
        let row = view.owner(&SERVICE.into(), self.keys[key])?;
        self.nodes.iter().position(|node| node.identity == RowIdentity::from_row(row))
    }

    /// The newest live node that does not own a key.
    pub fn entry_beside_owner(&self, key: usize) -> Option<usize> {
        let owner = self.owner_of(key);
        let entries = self.live().into_iter().filter(|node| self.nodes[*node].acts());
        entries.rev().find(|node| Some(*node) != owner)
    }

    /// The newest table is settled and most of its rows live, so that it may change.
    pub fn has_majority(&self) -> bool {
        let rows = &self.tables.last().expect("a table").rows;
        let live = rows.iter().filter(|row| {
            let identity = RowIdentity::from_row(row);
            self.nodes.iter().any(|node| node.identity == identity && node.reaches_others())
        });
        self.settled && live.count() * 2 > rows.len()
    }

    /// Makes a key that a caller stamps now.
    pub fn new_key(&mut self) -> usize {
        let offset = Duration::from_millis(self.rng.random_range(0..=2 * MAX_CLOCK_OFFSET_MS));
        let stamp = self.wall(offset);
        let mut random = [0; 10];
        self.rng.fill_bytes(&mut random);
        let ms = u64::try_from(stamp.as_millis()).expect("a time in range");
        let key = uuid::Builder::from_unix_timestamp_millis(ms, &random).into_uuid();
        self.keys.push(key);
        self.facts.push(KeyFacts::default());
        self.keys.len() - 1
    }

    /// Sends a key through a node; `other` sends another request under the same key.
    pub fn send(&mut self, key: usize, via: usize, other: bool) {
        if !self.nodes[via].acts() {
            return;
        }
        let request = KeyedRequest {
            idempotency_key: self.keys[key],
            organisation: Some("bole-bars".into()),
            digest: [u8::from(other); 32],
        };
        let attempt = Attempt { key, request };
        let entry = &self.nodes[via];
        let owner = entry.view.owner(&SERVICE.into(), self.keys[key]).map(RowIdentity::from_row);
        let owner = owner.and_then(|owner| self.nodes.iter().position(|it| it.identity == owner));
        let Some(owner) = owner else {
            let refused = Undispatched::new(false).refuse(Reason::NoLease, "no owner");
            return self.tell(&attempt, Outcome::NotRun(refused));
        };
        if owner != via && (self.nodes[via].cut || self.nodes[owner].cut) {
            return self.tell(&attempt, unknown(Reason::PeerFailed));
        }
        let delay = Duration::from_millis(self.rng.random_range(0..20));
        self.schedule(delay, Event::Arrive { node: owner, attempt });
    }

    /// Ends a process without notice.
    pub fn kill(&mut self, node: usize) {
        if self.nodes[node].alive {
            self.nodes[node].alive = false;
            self.nodes[node].deferred.clear();
            self.schedule(DEAD_AFTER, Event::Evict { node });
        }
    }

    /// Lets a node leave in an orderly way.
    pub fn leave(&mut self, node: usize) {
        if self.nodes[node].acts() && !self.nodes[node].leaving {
            self.nodes[node].leaving = true;
            self.nodes[node].records.start_handover();
            self.schedule(Duration::from_secs(2), Event::HandOver { node });
        }
    }

    /// Stops a process for some time; its clock goes on.
    pub fn freeze(&mut self, node: usize, time: Duration) {
        if self.nodes[node].acts() {
            self.nodes[node].frozen = true;
            self.schedule(time, Event::Thaw { node });
            if time > DEAD_AFTER {
                self.schedule(DEAD_AFTER, Event::Evict { node });
            }
        }
    }

    /// Separates a node from all others and from the platform for some time.
    pub fn cut(&mut self, node: usize, time: Duration) {
        if !self.nodes[node].cut {
            self.nodes[node].cut = true;
            self.schedule(time, Event::Mend { node });
            if time > DEAD_AFTER {
                self.schedule(DEAD_AFTER, Event::Evict { node });
            }
        }
    }

    /// Makes the platform unreachable for some time.
    pub fn platform_down(&mut self, time: Duration) {
        if self.platform_up {
            self.platform_up = false;
            self.schedule(time, Event::PlatformUp);
        }
    }

    /// Lets time pass.
    pub fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(Reverse((at, id))) = self.events.peek().copied() {
            if at > end {
                break;
            }
            self.events.pop();
            self.now = self.now.max(at);
            if let Some(event) = self.bodies.remove(&id) {
                self.handle(event);
            }
        }
        self.now = end;
    }

    /// Ends all faults that end by themselves, and waits until the fleet is quiet.
    pub fn heal(&mut self) {
        self.run_for(Duration::from_secs(90));
    }

    /// The last outcome that a caller of the key was given.
    pub fn last_outcome(&self, key: usize) -> &'static str {
        self.facts[key].outcomes.last().copied().unwrap_or("none")
    }

    fn wall(&self, offset: Duration) -> Duration {
        WALL_CLOCK_START + self.now + offset
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((self.now + delay, self.sequence)));
        self.bodies.insert(self.sequence, event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick => {
                self.tick();
                self.schedule(TICK, Event::Tick);
            }
            Event::Arrive { node, .. }
            | Event::Write { node, .. }
            | Event::Answered { node, .. }
            | Event::HandOver { node }
                if self.nodes[node].frozen && self.nodes[node].alive =>
            {
                self.nodes[node].deferred.push(event);
            }
            Event::Arrive { node, attempt } => self.arrive(node, attempt),
            Event::Write { node, attempt, token, undispatched } => {
                self.write(node, attempt, token, undispatched);
            }
            Event::Answered { node, attempt, token, dispatch } => {
                self.answered(node, &attempt, token, dispatch);
            }
            Event::Evict { node } => {
                let silent = &self.nodes[node];
                if !silent.alive || silent.frozen || silent.cut {
                    self.wanted.push(Change::Remove(node));
                }
            }
            Event::Thaw { node } => {
                self.nodes[node].frozen = false;
                for event in std::mem::take(&mut self.nodes[node].deferred) {
                    self.handle(event);
                }
            }
            Event::Mend { node } => self.nodes[node].cut = false,
            Event::PlatformUp => self.platform_up = true,
            Event::HandOver { node } => self.hand_over(node),
        }
    }

    fn arrive(&mut self, node: usize, attempt: Attempt) {
        if !self.nodes[node].alive {
            return self.tell(&attempt, unknown(Reason::PeerFailed));
        }
        let mut undispatched = Undispatched::new(false);
        let claim = self.with_claim_context(node, |records, claim_context| {
            records.claim(&attempt.request, claim_context)
        });
        let outcome = match claim {
            Claim::Run(token) => {
                undispatched.cover_request();
                let delay = Duration::from_millis(self.rng.random_range(0..200));
                let write = Event::Write { node, attempt, token, undispatched };
                return self.schedule(delay, write);
            }
            Claim::InProgress => Outcome::NotRun(undispatched.refuse(Reason::InProgress, "")),
            Claim::Recorded(RecordedOutcome::Answer(answer)) => Outcome::Whole((*answer).clone()),
            Claim::Recorded(_) | Claim::HistoryUnknown => unknown(Reason::KeyHistoryUnknown),
            Claim::Refused(refusal) => Outcome::NotRun(undispatched.refuse(reason(refusal), "")),
        };
        self.tell(&attempt, outcome);
    }

    fn write(
        &mut self,
        node: usize,
        attempt: Attempt,
        token: RunToken,
        undispatched: Undispatched,
    ) {
        if !self.nodes[node].alive {
            return self.tell(&attempt, unknown(Reason::PeerFailed));
        }
        let key = attempt.request.idempotency_key;
        let checked = self
            .with_claim_context(node, |records, claim_context| records.check(key, claim_context));
        if let Err(refusal) = checked {
            self.nodes[node].records.release(token);
            let refused = undispatched.refuse(reason(refusal), "");
            return self.tell(&attempt, Outcome::NotRun(refused));
        }
        let dispatch = Dispatch::begin(undispatched);
        self.facts[attempt.key].runs += 1;
        if self.facts[attempt.key].runs > 1 {
            self.violations.push(format!("at {:?} key {} ran twice", self.now, attempt.key));
        }
        let delay = Duration::from_millis(self.rng.random_range(1..3000));
        self.schedule(delay, Event::Answered { node, attempt, token, dispatch });
    }

    fn answered(&mut self, node: usize, attempt: &Attempt, token: RunToken, dispatch: Dispatch) {
        if !self.nodes[node].alive {
            return self.tell(attempt, dispatch.unknown(Reason::PeerFailed, ""));
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
        self.tell(attempt, outcome);
    }

    /// Gives an outcome to the caller and checks that it is true.
    fn tell(&mut self, attempt: &Attempt, outcome: Outcome) {
        let facts = &mut self.facts[attempt.key];
        let name = match &outcome {
            Outcome::Whole(answer) => {
                if facts.runs == 0
                    || answer.body[..] != attempt.request.idempotency_key.as_bytes()[..]
                {
                    self.violations.push(format!("key {} got a false answer", attempt.key));
                }
                "whole"
            }
            Outcome::NotRun(not_run) => {
                if not_run.covers_request && facts.runs > 0 {
                    let text = format!("key {} ran and was called not run", attempt.key);
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
        let unix_now = self.wall(self.nodes[node].wall_offset);
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
        if !self.nodes[leaver].alive {
            return;
        }
        let handovers = self.nodes[leaver].records.handovers(self.now);
        for handover in handovers {
            let successor = RowIdentity::from_row(&handover.successor);
            let successor = self.nodes.iter().position(|it| it.identity == successor);
            let lost = self.rng.random_range(0..10) == 0 || self.nodes[leaver].cut;
            if let Some(successor) = successor.filter(|it| self.nodes[*it].reaches_others())
                && !lost
            {
                self.receive(leaver, successor, handover);
            }
        }
        self.wanted.push(Change::Remove(leaver));
    }

    fn receive(&mut self, leaver: usize, successor: usize, handover: Handover) {
        let from = self.nodes[leaver].identity.clone();
        let now = self.now;
        let records = &mut self.nodes[successor].records;
        if records.receive(handover.records, now) {
            let Handover { service, table_version, complete_after, .. } = handover;
            records.receive_complete(from, service, table_version, complete_after, now);
        }
    }

    /// Evidence, adoption, settlement and table updates.
    fn tick(&mut self) {
        let newest = self.tables.last().expect("a table").clone();
        for index in 0..self.nodes.len() {
            let late = self.rng.random_range(0..3) == 0;
            let node = &mut self.nodes[index];
            if !node.reaches_others() || late {
                continue;
            }
            if node.view.table.version < newest.version {
                node.view = View { table: newest.clone(), settled: false };
            }
            if node.view.table.version == newest.version && self.settled {
                node.view.settled = true;
            }
            let unix_now = WALL_CLOCK_START + self.now + node.wall_offset;
            let view = node.view.clone();
            node.records.observe(&view, self.now, unix_now);
        }
        self.extend_leases(&newest);
        self.settle(&newest);
        if self.settled && self.platform_up && !self.wanted.is_empty() {
            self.update(&newest);
        }
    }

    fn extend_leases(&mut self, newest: &Table) {
        for index in 0..self.nodes.len() {
            let node = &self.nodes[index];
            if !node.reaches_others() {
                continue;
            }
            let version = node.view.table.version;
            let holders = node.view.table.rows.iter().filter(|row| {
                self.nodes.iter().any(|other| {
                    other.identity == RowIdentity::from_row(row)
                        && other.reaches_others()
                        && other.view.table.version <= version
                })
            });
            let by_majority = holders.count() * 2 > node.view.table.rows.len();
            let by_platform = self.platform_up && version == newest.version;
            if by_majority || by_platform {
                self.nodes[index].lease_until = self.now + LEASE_TIME;
            }
        }
    }

    fn settle(&mut self, newest: &Table) {
        if self.settled {
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
            self.settled = true;
        } else if adopted * 2 > previous.len() {
            let majority_at = *self.majority_at.get_or_insert(self.now);
            let since = majority_at.max(self.committed_at);
            self.settled = self.now >= since + LEASE_TIME + CLOCK_MARGIN;
        }
    }

    fn update(&mut self, newest: &Arc<Table>) {
        let mut rows: BTreeMap<Arc<str>, Row> =
            newest.rows.iter().map(|row| (row.instance.clone(), row.clone())).collect();
        for change in std::mem::take(&mut self.wanted) {
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
                    if node.leaving {
                        node.alive = false;
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
        self.settled = false;
    }

    /// Instances that are not in the newest table although they live; a node that was evicted
    /// while it was silent.
    pub fn evicted(&self) -> Vec<usize> {
        let rows: HashSet<RowIdentity> =
            self.tables.last().expect("a table").rows.iter().map(RowIdentity::from_row).collect();
        self.live().into_iter().filter(|it| !rows.contains(&self.nodes[*it].identity)).collect()
    }
}

fn unknown(reason: Reason) -> Outcome {
    Outcome::Unknown(Unknown { reason, detail: String::new() })
}

fn reason(refusal: ClaimRefusal) -> Reason {
    match refusal {
        ClaimRefusal::NotOwner => Reason::NoLease,
        ClaimRefusal::Leaving => Reason::Leaving,
        ClaimRefusal::OtherRequest | ClaimRefusal::Future => Reason::BadRequest,
        ClaimRefusal::Full => Reason::Overload,
    }
}

/// Time after which a key that is stamped now is later than the last settlement.
pub fn fresh_key_delay() -> Duration {
    CLOCK_ALLOWANCE + Duration::from_millis(2 * MAX_CLOCK_OFFSET_MS)
}
