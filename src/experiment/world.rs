//! The event loop: callers, nodes and upstreams on a virtual clock.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
    sync::Arc,
    time::Duration,
};

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use crate::{
    admission::{Action, Admission, Arrival, Completion, OwnTime, Refusal, Ticket},
    call::Reason,
    clock::Timestamp,
    experiment::{
        Deployment, Fault, Figures, Scenario,
        figures::{BUCKET, Counts, bucket},
    },
    names::{InstanceName, OrganisationName},
    retry::{AttemptEnd, HopBudget, ROOT_RETRY_BUDGET, RetryControl, may_retry},
    routing::{AttemptResult, Candidate, FirstHop, Pressure, Targets, Verdict},
};

/// Attempts beyond the first that a plain hop makes.
const PLAIN_RETRIES: u32 = 3;
/// The fixed limit as a multiple of the announced slots; room for one service time of waiting.
const FIXED_LIMIT_FACTOR: f64 = 2.0;
/// Time until a silent connection is closed.
const SILENCE: Duration = Duration::from_secs(1);
/// Time until connecting to a dead instance fails.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time until a dead instance is out of the table: evidence older than 5 s, then settlement.
const EVICTION: Duration = Duration::from_secs(10);
/// Burst of an organisation in seconds of its rate.
const BURST_S: f64 = 0.5;
/// Retry-After of a request beyond the rate.
const OVER_RATE_DELAY: Duration = Duration::from_secs(1);
/// Callers begin when the upstreams have passed their cold starts.
const FLEET_UP: Duration = Duration::from_secs(2);
/// Exponential phases of a service time; 4 make a coefficient of variation of 0.5.
const PHASES: u32 = 4;

/// What controls the load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Control {
    /// No control; each hop tries again three times.
    None,
    /// A fixed concurrency limit at each upstream; each hop tries again three times.
    Fixed,
    /// The decision modules of the daemon.
    Hibiscusdoor,
    /// The same without one policy, which shows what that policy is good for.
    Without(Policy),
}

/// A policy that an experiment can leave out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// Refusal at the first hop, both rules.
    FirstHop,
    /// Refusal at the first hop by the importance that a deep service sheds.
    Pressure,
    /// Refusal at the first hop in proportion to what the chain accepts.
    Proportion,
    /// Adaptation of the concurrency limit; it stays at the announced slots.
    AdaptiveLimit,
    /// Leaving out the time in calls when the limit adapts.
    OwnTime,
    /// Choice of a target; it is random.
    Routing,
    /// Cancellation down the chain at the deadline.
    Cancellation,
}

impl Control {
    fn has_decisions(self) -> bool {
        matches!(self, Self::Hibiscusdoor | Self::Without(_))
    }

    fn is_without(self, policy: Policy) -> bool {
        self == Self::Without(policy)
    }
}

/// Runs an experiment.
pub fn run(deployment: &Deployment, scenario: &Scenario, control: Control, seed: u64) -> Figures {
    let mut world = World::new(deployment, scenario, control, seed);
    world.run();
    Figures::of(deployment, scenario, &world.counts)
}

/// Index into a slab with the generation of the entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Id(u32, u32);

#[derive(Debug)]
struct Slab<T> {
    entries: Vec<(u32, Option<T>)>,
    free: Vec<u32>,
}

impl<T> Slab<T> {
    fn new() -> Self {
        Self { entries: Vec::new(), free: Vec::new() }
    }

    fn insert(&mut self, value: T) -> Id {
        match self.free.pop() {
            Some(index) => {
                let entry = &mut self.entries[index as usize];
                entry.1 = Some(value);
                Id(index, entry.0)
            }
            None => {
                self.entries.push((0, Some(value)));
                Id(u32::try_from(self.entries.len() - 1).expect("fewer entries than 2^32"), 0)
            }
        }
    }

    fn get(&mut self, Id(index, generation): Id) -> Option<&mut T> {
        let entry = &mut self.entries[index as usize];
        if entry.0 != generation { None } else { entry.1.as_mut() }
    }

    fn remove(&mut self, id: Id) -> Option<T> {
        self.get(id)?;
        let entry = &mut self.entries[id.0 as usize];
        entry.0 = entry.0.wrapping_add(1);
        self.free.push(id.0);
        entry.1.take()
    }

    fn ids(&self) -> Vec<Id> {
        let live = self.entries.iter().enumerate().filter(|(_, entry)| entry.1.is_some());
        live.map(|(index, entry)| Id(index as u32, entry.0)).collect()
    }
}

/// A request of a caller, over all its sendings.
#[derive(Debug)]
struct Root {
    class: usize,
    organisation: usize,
    sending: u32,
    hop: Option<Id>,
    /// Retries of the present sending.
    retries: u32,
    measured: bool,
    turned_away: bool,
    /// Beyond the organisation's rate.
    excess: bool,
}

/// A call at the node where it enters.
#[derive(Debug)]
struct Hop {
    root: Id,
    parent: Option<Id>,
    node: usize,
    service: usize,
    deadline: Timestamp,
    depth: u32,
    budget: HopBudget,
    plain_retries: u32,
    tried: Vec<InstanceName>,
    may_have_run: bool,
    visit: Option<Id>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Travelling,
    Waiting(Ticket),
    Queued,
    Working,
    Calling(Id),
    Replying,
}

/// One attempt at a target.
#[derive(Debug)]
struct Visit {
    hop: Id,
    node: usize,
    stage: Stage,
    begun_at: Timestamp,
    arrived_at: Timestamp,
    own_time: OwnTime,
    retries_left: u32,
    pressures: Vec<Pressure>,
    load: Option<u32>,
    end: End,
}

/// How a call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Whole,
    NotRun(Reason),
    Unknown(Reason),
    /// The upstream answered with an error, since a call below was refused.
    RefusedBelow,
}

#[derive(Debug, Clone, Copy)]
enum Event {
    Arrival,
    Send(Id),
    Enter(Id, u32),
    Visit(Id),
    GiveUp(Id),
    WorkDone(Id),
    Reply(Id),
    CallerReply(Id, u32, End, Duration),
    CallerTimeout(Id, u32),
    Unlist(usize),
    Fault(usize),
}

#[derive(Debug)]
struct Node {
    zone: usize,
    service: usize,
    name: InstanceName,
    slots: u32,
    announced: u32,
    connections: usize,
    speed: f64,
    alive: bool,
    listed: bool,
    busy: u32,
    queue: VecDeque<Id>,
    in_flight: usize,
    admission: Admission,
    tickets: u64,
    targets: Targets,
    first_hop: FirstHop,
    retries: RetryControl,
    /// Last start of a request that is not of the most important class.
    lesser_start: Timestamp,
}

struct World<'a> {
    deployment: &'a Deployment,
    scenario: &'a Scenario,
    control: Control,
    now: Timestamp,
    sequence: u64,
    events: BinaryHeap<Reverse<(u64, u64, u32)>>,
    event_store: Vec<Event>,
    event_free: Vec<u32>,
    random: ChaCha8Rng,
    nodes: Vec<Node>,
    by_service: Vec<Vec<usize>>,
    organisations: Vec<OrganisationName>,
    routes: Vec<Arc<str>>,
    /// Running sums of the parts of classes, and of organisations with a flood.
    class_sums: Vec<f64>,
    organisation_sums: Vec<f64>,
    roots: Slab<Root>,
    hops: Slab<Hop>,
    visits: Slab<Visit>,
    demand: f64,
    slow: f64,
    outage: bool,
    base_capacity: f64,
    /// Tokens of each organisation, and when they were counted.
    tokens: Vec<(f64, Timestamp)>,
    counts: Counts,
}

fn nanoseconds(time: Duration) -> u64 {
    u64::try_from(time.as_nanos()).expect("a time below 500 years")
}

fn running_sums(parts: impl Iterator<Item = f64>) -> Vec<f64> {
    let mut sum = 0.0;
    parts
        .map(|part| {
            sum += part;
            sum
        })
        .collect()
}

impl<'a> World<'a> {
    fn new(
        deployment: &'a Deployment,
        scenario: &'a Scenario,
        control: Control,
        seed: u64,
    ) -> Self {
        let mut nodes = Vec::new();
        let mut by_service = Vec::new();
        for (service, spec) in deployment.services.iter().enumerate() {
            let mut own = Vec::new();
            for index in 0..spec.targets {
                let factor = |factors: &[f64]| match factors {
                    [] => 1.0,
                    factors => factors[index % factors.len()],
                };
                let announced =
                    (f64::from(spec.slots) * factor(&scenario.announced)).round() as u32;
                let node_seed = seed.wrapping_mul(1_000_003).wrapping_add(nodes.len() as u64);
                own.push(nodes.len());
                nodes.push(Node {
                    zone: index % deployment.zones,
                    service,
                    name: format!("{}-{index}", spec.name).into(),
                    slots: spec.slots,
                    announced,
                    connections: spec.connections,
                    speed: factor(&scenario.speeds),
                    alive: true,
                    listed: true,
                    busy: 0,
                    queue: VecDeque::new(),
                    in_flight: 0,
                    admission: Admission::new(Duration::ZERO, announced),
                    tickets: 0,
                    targets: Targets::new(node_seed),
                    first_hop: FirstHop::new(node_seed ^ 1),
                    retries: RetryControl::new(node_seed ^ 2),
                    lesser_start: Duration::ZERO,
                });
            }
            by_service.push(own);
        }
        let buckets = bucket(scenario.length) + 1;
        let organisations = deployment.organisations.len();
        let table = vec![vec![0; organisations]; deployment.classes.len()];
        let mut world = Self {
            deployment,
            scenario,
            control,
            now: Duration::ZERO,
            sequence: 0,
            events: BinaryHeap::new(),
            event_store: Vec::new(),
            event_free: Vec::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            nodes,
            by_service,
            organisations: (0..organisations)
                .map(|index| Arc::from(format!("organisation-{index}")))
                .collect(),
            routes: deployment
                .classes
                .iter()
                .map(|class| Arc::from(format!("/{}", class.name)))
                .collect(),
            class_sums: running_sums(deployment.classes.iter().map(|class| class.part)),
            organisation_sums: running_sums(
                deployment
                    .organisations
                    .iter()
                    .enumerate()
                    .map(|(index, part)| part * scenario.organisation_factor(index)),
            ),
            roots: Slab::new(),
            hops: Slab::new(),
            visits: Slab::new(),
            demand: 1.0,
            slow: 1.0,
            outage: false,
            base_capacity: 0.0,
            tokens: vec![(0.0, Duration::ZERO); organisations],
            counts: Counts {
                good: vec![0; buckets],
                ideal: vec![0.0; buckets],
                offered: table.clone(),
                served: table.clone(),
                turned_away: table,
                ..Counts::default()
            },
        };
        world.base_capacity = world.capacity();
        world
    }

    fn run(&mut self) {
        for index in 0..self.scenario.faults.len() {
            self.schedule_at(self.scenario.faults[index].0, Event::Fault(index));
        }
        self.schedule(FLEET_UP, Event::Arrival);
        let mut ideal_until = 0;
        while let Some(Reverse((at_ns, _, slot))) = self.events.pop() {
            self.now = Duration::from_nanos(at_ns);
            if self.now >= self.scenario.length {
                return;
            }
            while ideal_until <= bucket(self.now) {
                let offered = self.demand_within_rates_per_s();
                self.counts.ideal[ideal_until] =
                    offered.min(self.capacity()) * BUCKET.as_secs_f64();
                ideal_until += 1;
            }
            let event = self.event_store[slot as usize];
            self.event_free.push(slot);
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival => self.arrival(),
            Event::Send(root) => self.send(root),
            Event::Enter(root, sending) => self.enter(root, sending),
            Event::Visit(visit) => self.visit(visit),
            Event::GiveUp(visit) => self.give_up(visit),
            Event::WorkDone(visit) => self.work_done(visit),
            Event::Reply(visit) => self.reply(visit),
            Event::CallerReply(root, sending, end, delay) => {
                self.caller_reply(root, sending, end, delay);
            }
            Event::CallerTimeout(root, sending) => self.caller_timeout(root, sending),
            Event::Unlist(node) => {
                if self.outage && !self.nodes[node].alive {
                    self.schedule(EVICTION, Event::Unlist(node));
                } else {
                    self.nodes[node].listed = self.nodes[node].alive;
                }
            }
            Event::Fault(index) => self.fault(self.scenario.faults[index].1),
        }
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.schedule_at(self.now + delay, event);
    }

    fn schedule_at(&mut self, at: Timestamp, event: Event) {
        let slot = match self.event_free.pop() {
            Some(slot) => {
                self.event_store[slot as usize] = event;
                slot
            }
            None => {
                self.event_store.push(event);
                u32::try_from(self.event_store.len() - 1).expect("fewer events than 2^32")
            }
        };
        self.sequence += 1;
        self.events.push(Reverse((nanoseconds(at), self.sequence, slot)));
    }

    /// Requests a second that the services can answer whole.
    fn capacity(&self) -> f64 {
        let services = &self.deployment.services;
        let mut held_s = vec![0.0; services.len()];
        let mut part = vec![0.0; services.len()];
        for class in &self.deployment.classes {
            let mut service = Some(class.service);
            while let Some(index) = service {
                part[index] += class.part;
                service = services[index].calls;
            }
        }
        let hop_s = 2.0 * self.deployment.between.as_secs_f64();
        let mut capacity = f64::INFINITY;
        for index in (0..services.len()).rev() {
            let slow = if index == self.deployment.deepest() { self.slow } else { 1.0 };
            let own_s = services[index].time.as_secs_f64() * slow;
            let below_s = services[index].calls.map_or(0.0, |below| held_s[below] + hop_s);
            held_s[index] = own_s + below_s;
            let nodes = self.by_service[index].iter().map(|node| &self.nodes[*node]);
            let rate: f64 = nodes
                .filter(|node| node.alive)
                .map(|node| f64::from(node.slots) / (own_s * node.speed + below_s))
                .sum();
            if part[index] > 0.0 {
                capacity = capacity.min(rate / part[index]);
            }
        }
        capacity
    }

    fn demand_per_s(&self) -> f64 {
        let whole = self.organisation_sums.last().copied().unwrap_or(1.0);
        self.demand * self.base_capacity * whole
    }

    /// Demand within the organisations' rates.
    fn demand_within_rates_per_s(&self) -> f64 {
        let Some(rates) = self.scenario.rates else { return self.demand_per_s() };
        let parts = self.deployment.organisations.iter().enumerate();
        let within = parts.map(|(index, part)| {
            let demand = self.demand * self.scenario.organisation_factor(index);
            part * demand.min(rates)
        });
        self.base_capacity * within.sum::<f64>()
    }

    /// Stands for the rate control, as if its shares were always in the right place: charges a
    /// request to its organisation; false where that is beyond the rate.
    fn charge(&mut self, organisation: usize) -> bool {
        let Some(rates) = self.scenario.rates else { return true };
        let rate = rates * self.base_capacity * self.deployment.organisations[organisation];
        let (tokens, at) = &mut self.tokens[organisation];
        let age_s = self.now.saturating_sub(*at).as_secs_f64();
        *tokens = (*tokens + age_s * rate).min(rate * BURST_S);
        *at = self.now;
        let within = *tokens >= 1.0;
        *tokens -= f64::from(u8::from(within));
        within
    }

    fn pick(random: &mut ChaCha8Rng, sums: &[f64]) -> usize {
        let point = random.random_range(0.0..sums.last().copied().unwrap_or(1.0));
        sums.iter().position(|sum| point < *sum).unwrap_or(0)
    }

    fn exponential(&mut self) -> f64 {
        -(1.0 - self.random.random_range(0.0..1.0f64)).ln()
    }

    fn delay(&self, from: usize, to: usize) -> Duration {
        match (from == to, self.nodes[from].zone == self.nodes[to].zone) {
            (true, _) => Duration::ZERO,
            (false, true) => self.deployment.within,
            (false, false) => self.deployment.between,
        }
    }

    fn is_measured(&self) -> bool {
        let (from, to) = self.scenario.measured;
        (from..to).contains(&self.now)
    }

    fn arrival(&mut self) {
        let gap_s = self.exponential() / self.demand_per_s();
        self.schedule(Duration::from_secs_f64(gap_s), Event::Arrival);
        let class = Self::pick(&mut self.random, &self.class_sums);
        let organisation = Self::pick(&mut self.random, &self.organisation_sums);
        let excess = !self.charge(organisation);
        let measured = self.is_measured() && !excess;
        if measured {
            self.counts.offered[class][organisation] += 1;
        }
        self.counts.originals += 1;
        let root = Root {
            class,
            organisation,
            sending: 0,
            hop: None,
            retries: 0,
            measured,
            turned_away: false,
            excess,
        };
        let root = self.roots.insert(root);
        self.send(root);
    }

    fn send(&mut self, id: Id) {
        let Some(root) = self.roots.get(id) else { return };
        root.sending += 1;
        root.hop = None;
        root.retries = 0;
        let (sending, class) = (root.sending, root.class);
        self.counts.sendings += 1;
        self.schedule(self.deployment.clients, Event::Enter(id, sending));
        self.schedule(self.deployment.classes[class].within, Event::CallerTimeout(id, sending));
    }

    fn enter(&mut self, id: Id, sending: u32) {
        let Some(root) = self.roots.get(id) else { return };
        if root.sending != sending {
            return;
        }
        let (class, organisation) = (root.class, root.organisation);
        if root.excess && self.control.has_decisions() {
            let reply =
                Event::CallerReply(id, sending, End::NotRun(Reason::OverRate), OVER_RATE_DELAY);
            self.schedule(self.deployment.clients, reply);
            return;
        }
        let alive: Vec<usize> =
            (0..self.nodes.len()).filter(|node| self.nodes[*node].alive).collect();
        let node = alive[self.random.random_range(0..alive.len())];
        let spec = &self.deployment.classes[class];
        if self.control.has_decisions() {
            let organisation = Some(self.organisations[organisation].clone());
            let entry = &mut self.nodes[node];
            let verdict = entry.first_hop.check(
                self.now,
                &self.routes[class],
                spec.importance,
                &organisation,
            );
            if verdict == Verdict::Refuse && !self.control.is_without(Policy::FirstHop) {
                entry.retries.ended(self.now, true);
                let delay = entry.retries.retry_after();
                let reply = Event::CallerReply(id, sending, End::NotRun(Reason::Overload), delay);
                self.schedule(self.deployment.clients, reply);
                return;
            }
        }
        let hop = self.hops.insert(Hop {
            root: id,
            parent: None,
            node,
            service: spec.service,
            deadline: self.now + spec.within - 2 * self.deployment.clients,
            depth: 0,
            budget: HopBudget::new(ROOT_RETRY_BUDGET),
            plain_retries: PLAIN_RETRIES,
            tried: Vec::new(),
            may_have_run: false,
            visit: None,
        });
        if let Some(root) = self.roots.get(id) {
            root.hop = Some(hop);
        }
        self.begin_hop(hop);
    }

    fn begin_hop(&mut self, id: Id) {
        self.counts.calls += 1;
        if let Some(hop) = self.hops.get(id) {
            self.nodes[hop.node].retries.request();
        }
        self.attempt(id);
    }

    fn attempt(&mut self, id: Id) {
        self.counts.attempts += 1;
        let Some(hop) = self.hops.get(id) else { return };
        let listed: Vec<usize> = self.by_service[hop.service]
            .iter()
            .copied()
            .filter(|node| self.nodes[*node].listed)
            .collect();
        if listed.is_empty() {
            self.end_hop(id, End::NotRun(Reason::NoUpstream), &[]);
            return;
        }
        let origin = hop.node;
        let target = match self.control {
            Control::Hibiscusdoor | Control::Without(_) => {
                let random = self.control.is_without(Policy::Routing);
                let names: Vec<(InstanceName, bool)> = listed
                    .iter()
                    .map(|node| {
                        let node = &self.nodes[*node];
                        (node.name.clone(), node.zone == self.nodes[origin].zone)
                    })
                    .collect();
                let candidates: Vec<Candidate<'_>> = names
                    .iter()
                    .map(|(instance, same_zone)| Candidate { instance, same_zone: *same_zone })
                    .collect();
                let targets = &mut self.nodes[origin].targets;
                let chosen = match random {
                    true => self.random.random_range(0..candidates.len()),
                    false => targets.choose(self.now, &candidates, &hop.tried).unwrap_or(0),
                };
                targets.started(self.now, candidates[chosen].instance);
                listed[chosen]
            }
            Control::None | Control::Fixed => {
                let fresh: Vec<usize> = listed
                    .iter()
                    .copied()
                    .filter(|node| !hop.tried.contains(&self.nodes[*node].name))
                    .collect();
                let open = if fresh.is_empty() { listed } else { fresh };
                open[self.random.random_range(0..open.len())]
            }
        };
        hop.tried.push(self.nodes[target].name.clone());
        let retries_left = hop.budget.send_down();
        let visit = self.visits.insert(Visit {
            hop: id,
            node: target,
            stage: Stage::Travelling,
            begun_at: self.now,
            arrived_at: self.now,
            own_time: OwnTime::start(self.now),
            retries_left,
            pressures: Vec::new(),
            load: None,
            end: End::Whole,
        });
        if let Some(hop) = self.hops.get(id) {
            hop.visit = Some(visit);
        }
        if !self.nodes[target].alive {
            self.lose(visit, End::NotRun(Reason::PeerFailed), CONNECT_TIMEOUT);
            return;
        }
        self.schedule(self.delay(origin, target), Event::Visit(visit));
    }

    /// The attempt ends without a reply after a time.
    fn lose(&mut self, id: Id, end: End, after: Duration) {
        if let Some(visit) = self.visits.get(id) {
            visit.stage = Stage::Replying;
            visit.end = end;
            visit.pressures.clear();
            visit.load = None;
            if end != End::NotRun(Reason::PeerFailed) {
                visit.retries_left = 0;
            }
            self.schedule(after, Event::Reply(id));
        }
    }

    fn visit(&mut self, id: Id) {
        let Some(visit) = self.visits.get(id) else { return };
        if visit.stage != Stage::Travelling {
            return;
        }
        visit.arrived_at = self.now;
        let index = visit.node;
        let hop_id = visit.hop;
        let Some(hop) = self.hops.get(hop_id) else { return };
        let (root, deadline, depth) = (hop.root, hop.deadline, hop.depth);
        let Some(root) = self.roots.get(root) else { return };
        let (class, organisation) = (root.class, root.organisation);
        let node = &mut self.nodes[index];
        match self.control {
            Control::Hibiscusdoor | Control::Without(_) => {
                node.tickets += 1;
                // The visit is found again from the low half.
                let ticket = Ticket((node.tickets << 32) | u64::from(id.0));
                if let Some(visit) = self.visits.get(id) {
                    visit.stage = Stage::Waiting(ticket);
                }
                let actions = node.admission.arrive(
                    self.now,
                    Arrival {
                        ticket,
                        importance: self.deployment.classes[class].importance,
                        organisation: Some(self.organisations[organisation].clone()),
                        begun: depth > 0,
                        deadline,
                        own_time: None,
                    },
                );
                self.carry_out(index, &actions);
            }
            Control::Fixed => {
                let limit = (f64::from(node.announced) * FIXED_LIMIT_FACTOR) as usize;
                if node.in_flight >= limit {
                    self.finish_visit(id, End::NotRun(Reason::Overload));
                } else {
                    self.enter_upstream(id);
                }
            }
            Control::None => {
                if node.in_flight >= node.connections {
                    self.finish_visit(id, End::NotRun(Reason::Overload));
                } else {
                    self.enter_upstream(id);
                }
            }
        }
    }

    fn carry_out(&mut self, node: usize, actions: &[Action]) {
        for action in actions {
            let ticket = match action {
                Action::Start(ticket) | Action::Wait(ticket, _) | Action::Refuse(ticket, _) => {
                    *ticket
                }
            };
            let index = (ticket.0 & u64::from(u32::MAX)) as u32;
            let id = Id(index, self.visits.entries[index as usize].0);
            let Some(visit) = self.visits.get(id) else { continue };
            if visit.stage != Stage::Waiting(ticket) || visit.node != node {
                continue;
            }
            match action {
                Action::Start(_) => self.enter_upstream(id),
                Action::Wait(_, until) => self.schedule_at(*until, Event::GiveUp(id)),
                Action::Refuse(_, refusal) => self.refuse(id, *refusal),
            }
        }
    }

    fn refuse(&mut self, id: Id, refusal: Refusal) {
        let Some(visit) = self.visits.get(id) else { return };
        let (node, arrived_at, hop) = (visit.node, visit.arrived_at, visit.hop);
        if let Some(hop) = self.hops.get(hop)
            && let Some(root) = self.roots.get(hop.root)
            && root.class == 0
            && refusal == Refusal::Overload
            && self.nodes[node].lesser_start > arrived_at
        {
            self.counts.inversions += 1;
        }
        let reason = match refusal {
            Refusal::Overload => Reason::Overload,
            Refusal::DeadlinePassed => Reason::DeadlinePassed,
        };
        self.finish_visit(id, End::NotRun(reason));
    }

    fn give_up(&mut self, id: Id) {
        let Some(visit) = self.visits.get(id) else { return };
        let Stage::Waiting(ticket) = visit.stage else { return };
        let node = visit.node;
        if let Some(refusal) = self.nodes[node].admission.give_up(self.now, ticket) {
            self.refuse(id, refusal);
        }
    }

    fn enter_upstream(&mut self, id: Id) {
        let Some(visit) = self.visits.get(id) else { return };
        visit.own_time = OwnTime::start(self.now);
        visit.stage = Stage::Queued;
        let (index, hop) = (visit.node, visit.hop);
        let class = self.hops.get(hop).map(|hop| hop.root);
        let class = class.and_then(|root| self.roots.get(root)).map(|root| root.class);
        let node = &mut self.nodes[index];
        if class.is_some_and(|class| class > 0) {
            node.lesser_start = self.now;
        }
        node.in_flight += 1;
        if node.busy < node.slots {
            self.start_work(id);
        } else {
            node.queue.push_back(id);
        }
    }

    fn start_work(&mut self, id: Id) {
        let Some(visit) = self.visits.get(id) else { return };
        visit.stage = Stage::Working;
        let index = visit.node;
        let phases: f64 = (0..PHASES).map(|_| self.exponential()).sum();
        let node = &mut self.nodes[index];
        node.busy += 1;
        let slow = if node.service == self.deployment.deepest() { self.slow } else { 1.0 };
        let factor = phases / f64::from(PHASES) * slow * node.speed;
        let time = self.deployment.services[node.service].time.mul_f64(factor);
        self.schedule(time, Event::WorkDone(id));
    }

    fn work_done(&mut self, id: Id) {
        let now = self.now;
        let Some(visit) = self.visits.get(id) else { return };
        if visit.stage != Stage::Working {
            return;
        }
        let (index, hop) = (visit.node, visit.hop);
        let Some(service) = self.deployment.services[self.nodes[index].service].calls else {
            self.leave_upstream(id, End::Whole);
            return;
        };
        visit.own_time.call_began(now);
        // Half of what is left goes to the call, as in the daemon.
        let taken = visit.retries_left.div_ceil(2);
        visit.retries_left -= taken;
        let Some(parent) = self.hops.get(hop) else { return };
        let (root, deadline, depth) = (parent.root, parent.deadline, parent.depth + 1);
        let below = self.hops.insert(Hop {
            root,
            parent: Some(id),
            node: index,
            service,
            deadline,
            depth,
            budget: HopBudget::new(taken),
            plain_retries: PLAIN_RETRIES,
            tried: Vec::new(),
            may_have_run: false,
            visit: None,
        });
        if let Some(visit) = self.visits.get(id) {
            visit.stage = Stage::Calling(below);
        }
        self.begin_hop(below);
    }

    fn leave_upstream(&mut self, id: Id, end: End) {
        let Some(visit) = self.visits.get(id) else { return };
        let completion = match end {
            _ if self.control.is_without(Policy::AdaptiveLimit) => Completion::Aborted,
            End::Whole if self.control.is_without(Policy::OwnTime) => Completion::Answered {
                own_time: visit.own_time.total(self.now),
                total_time: visit.own_time.total(self.now),
            },
            End::Whole => Completion::Answered {
                own_time: visit.own_time.own(self.now),
                total_time: visit.own_time.total(self.now),
            },
            _ => Completion::Aborted,
        };
        let node = visit.node;
        visit.stage = Stage::Replying;
        self.free_slot(node, completion);
        self.finish_visit(id, end);
    }

    fn free_slot(&mut self, index: usize, completion: Completion) {
        let node = &mut self.nodes[index];
        node.busy -= 1;
        if let Some(next) = node.queue.pop_front() {
            self.start_work(next);
        }
        self.leave_gate(index, completion);
    }

    fn leave_gate(&mut self, index: usize, completion: Completion) {
        let node = &mut self.nodes[index];
        node.in_flight -= 1;
        if self.control.has_decisions() {
            let actions = node.admission.finish(self.now, completion);
            self.carry_out(index, &actions);
        }
    }

    fn finish_visit(&mut self, id: Id, end: End) {
        let Some(visit) = self.visits.get(id) else { return };
        visit.stage = Stage::Replying;
        visit.end = end;
        let node = &self.nodes[visit.node];
        if self.control.has_decisions() {
            visit.load = Some(u32::from(node.admission.load(self.now)));
            visit.pressures.push(Pressure {
                service: self.deployment.services[node.service].name.clone(),
                shed_below: node.admission.shed_below(self.now),
            });
        }
        let (target, hop) = (visit.node, visit.hop);
        let Some(origin) = self.hops.get(hop).map(|hop| hop.node) else { return };
        self.schedule(self.delay(origin, target), Event::Reply(id));
    }

    fn reply(&mut self, id: Id) {
        let Some(visit) = self.visits.remove(id) else { return };
        let Some(hop) = self.hops.get(visit.hop) else { return };
        hop.visit = None;
        hop.budget.come_back(visit.retries_left);
        let target = self.nodes[visit.node].name.clone();
        let origin = hop.node;
        let (end, attempt) = match visit.end {
            End::Whole => (None, AttemptResult::Answered),
            End::RefusedBelow => (None, AttemptResult::Refused),
            End::NotRun(reason @ Reason::PeerFailed) => {
                (Some(AttemptEnd::NotRun(reason)), AttemptResult::Failed)
            }
            End::NotRun(reason) => (Some(AttemptEnd::NotRun(reason)), AttemptResult::Refused),
            End::Unknown(reason) => {
                hop.may_have_run = true;
                (Some(AttemptEnd::Unknown(reason)), AttemptResult::Failed)
            }
        };
        let again = match self.control {
            Control::Hibiscusdoor | Control::Without(_) => {
                let latency = self.now.saturating_sub(visit.begun_at);
                self.nodes[origin]
                    .targets
                    .finished(self.now, &target, attempt, latency, visit.load);
                end.is_some_and(|end| self.may_try_again(visit.hop, end))
            }
            Control::None | Control::Fixed => {
                // Not even plain retries run a non-idempotent request twice.
                let repeatable = !matches!(visit.end, End::Unknown(_));
                let again = visit.end != End::Whole && repeatable && hop.plain_retries > 0;
                hop.plain_retries -= u32::from(again);
                again
            }
        };
        if again {
            let root = self.hops.get(visit.hop).map(|hop| hop.root);
            if let Some(root) = root.and_then(|root| self.roots.get(root)) {
                root.retries += 1;
                self.counts.most_retries = self.counts.most_retries.max(root.retries);
            }
            self.attempt(visit.hop);
            return;
        }
        self.end_hop(visit.hop, visit.end, &visit.pressures);
    }

    fn may_try_again(&mut self, id: Id, end: AttemptEnd) -> bool {
        let Some(hop) = self.hops.get(id) else { return false };
        let class = self.roots.get(hop.root).map_or(0, |root| root.class);
        let idempotent = self.deployment.classes[class].idempotent;
        let names: Vec<InstanceName> = self.by_service[hop.service]
            .iter()
            .map(|node| &self.nodes[*node])
            .filter(|node| node.listed)
            .map(|node| node.name.clone())
            .collect();
        let candidates: Vec<Candidate<'_>> =
            names.iter().map(|instance| Candidate { instance, same_zone: false }).collect();
        let untried = names.iter().any(|name| !hop.tried.contains(name));
        let node = &mut self.nodes[hop.node];
        let room = node.targets.has_room(self.now, &candidates, &hop.tried);
        self.now < hop.deadline
            && untried
            && may_retry(end, idempotent, room)
            && hop.budget.left() > 0
            && node.retries.take_retry()
            && hop.budget.spend()
    }

    fn end_hop(&mut self, id: Id, end: End, pressures: &[Pressure]) {
        let Some(hop) = self.hops.remove(id) else { return };
        let end = match end {
            End::NotRun(_) if hop.may_have_run => End::Unknown(Reason::PeerFailed),
            end => end,
        };
        if let Some(parent) = hop.parent {
            let now = self.now;
            let Some(visit) = self.visits.get(parent) else { return };
            visit.own_time.call_ended(now);
            visit.retries_left += hop.budget.left();
            visit.pressures.extend_from_slice(pressures);
            match end {
                End::Whole => self.leave_upstream(parent, End::Whole),
                _ => self.leave_upstream(parent, End::RefusedBelow),
            }
            return;
        }
        let Some(root) = self.roots.get(hop.root) else { return };
        root.hop = None;
        let (sending, class, organisation) = (root.sending, root.class, root.organisation);
        let mut delay = Duration::ZERO;
        if self.control.has_decisions() {
            let refused = end != End::Whole;
            let counted = refused && !self.control.is_without(Policy::Proportion);
            let node = &mut self.nodes[hop.node];
            let organisation = Some(self.organisations[organisation].clone());
            let importance = self.deployment.classes[class].importance;
            if !self.control.is_without(Policy::Pressure) {
                node.first_hop.learn(self.now, &self.routes[class], pressures);
            }
            node.first_hop.ended(self.now, &self.routes[class], importance, &organisation, counted);
            node.retries.ended(self.now, refused);
            delay = node.retries.retry_after();
        }
        let reply = Event::CallerReply(hop.root, sending, end, delay);
        self.schedule(self.deployment.clients, reply);
    }

    fn caller_reply(&mut self, id: Id, sending: u32, end: End, told: Duration) {
        let Some(root) = self.roots.get(id) else { return };
        if root.sending != sending {
            return;
        }
        if end == End::Whole {
            let (class, organisation, excess) = (root.class, root.organisation, root.excess);
            self.roots.remove(id);
            if excess {
                return;
            }
            self.counts.good[bucket(self.now)] += 1;
            if self.is_measured() {
                self.counts.served[class][organisation] += 1;
            }
            return;
        }
        // The sending is over, so its timeout must not count.
        root.sending += 1;
        self.send_again(id, sending, told);
    }

    fn caller_timeout(&mut self, id: Id, sending: u32) {
        let Some(root) = self.roots.get(id) else { return };
        if root.sending != sending {
            return;
        }
        let hop = root.hop.take();
        if self.control.has_decisions()
            && !self.control.is_without(Policy::Cancellation)
            && let Some(hop) = hop
        {
            self.cancel_hop(hop);
        }
        if let Some(root) = self.roots.get(id) {
            root.sending += 1;
        }
        self.send_again(id, sending, Duration::ZERO);
    }

    /// `sending` counts two for each sending: one that it is under way, one that it is over.
    fn send_again(&mut self, id: Id, sending: u32, told: Duration) {
        let Some(root) = self.roots.get(id) else { return };
        if root.measured && !root.turned_away {
            root.turned_away = true;
            self.counts.turned_away[root.class][root.organisation] += 1;
        }
        let sent = sending / 2 + 1;
        if sent > self.scenario.caller_retries {
            self.roots.remove(id);
            return;
        }
        let jitter = self.random.random_range(0.5..1.5);
        let own = self.scenario.backoff.mul_f64(jitter);
        let delay = if self.scenario.impatient { own } else { own.max(told) };
        self.schedule(delay, Event::Send(id));
    }

    fn cancel_hop(&mut self, id: Id) {
        let Some(hop) = self.hops.remove(id) else { return };
        if hop.parent.is_none() {
            let Some(root) = self.roots.get(hop.root) else { return };
            let importance = self.deployment.classes[root.class].importance;
            let organisation = Some(self.organisations[root.organisation].clone());
            let node = &mut self.nodes[hop.node];
            let route = &self.routes[root.class];
            let counted = !self.control.is_without(Policy::Proportion);
            node.first_hop.ended(self.now, route, importance, &organisation, counted);
            node.retries.ended(self.now, true);
        }
        let Some(visit_id) = hop.visit else { return };
        let Some(visit) = self.visits.remove(visit_id) else { return };
        let target = self.nodes[visit.node].name.clone();
        let latency = self.now.saturating_sub(visit.begun_at);
        self.nodes[hop.node].targets.finished(
            self.now,
            &target,
            AttemptResult::Abandoned,
            latency,
            None,
        );
        self.cancel_at_target(visit_id, &visit);
    }

    fn cancel_at_target(&mut self, id: Id, visit: &Visit) {
        match visit.stage {
            Stage::Travelling | Stage::Replying => {}
            Stage::Waiting(ticket) => {
                self.nodes[visit.node].admission.cancel(ticket);
            }
            Stage::Queued => {
                self.nodes[visit.node].queue.retain(|queued| *queued != id);
                self.leave_gate(visit.node, Completion::Aborted);
            }
            Stage::Working => self.free_slot(visit.node, Completion::Aborted),
            Stage::Calling(below) => {
                self.cancel_hop(below);
                self.free_slot(visit.node, Completion::Aborted);
            }
        }
    }

    fn fault(&mut self, fault: Fault) {
        match fault {
            Fault::Demand(demand) => self.demand = demand,
            Fault::Slow(slow) => self.slow = slow,
            Fault::Outage(outage) => self.outage = outage,
            Fault::KillDeepest => self.kill(self.by_service[self.deployment.deepest()][0]),
            Fault::KillZone => {
                for node in 0..self.nodes.len() {
                    if self.nodes[node].zone == 0 {
                        self.kill(node);
                    }
                }
            }
            Fault::Restart => {
                for node in &mut self.nodes {
                    if !node.alive {
                        node.alive = true;
                        node.listed = true;
                        node.admission = Admission::new(self.now, node.announced);
                    }
                }
            }
        }
    }

    fn kill(&mut self, index: usize) {
        let (now, seed) = (self.now, self.sequence);
        let node = &mut self.nodes[index];
        node.alive = false;
        node.busy = 0;
        node.in_flight = 0;
        node.queue.clear();
        node.admission = Admission::new(now, node.announced);
        node.targets = Targets::new(seed);
        node.first_hop = FirstHop::new(seed ^ 1);
        node.retries = RetryControl::new(seed ^ 2);
        self.schedule(EVICTION, Event::Unlist(index));
        // Attempts at the node are found lost when its connections have been silent.
        for id in self.visits.ids() {
            let Some(visit) = self.visits.get(id) else { continue };
            if visit.node == index {
                let below = match visit.stage {
                    Stage::Calling(below) => Some(below),
                    _ => None,
                };
                self.lose(id, End::Unknown(Reason::PeerFailed), SILENCE);
                if let Some(below) = below {
                    self.cancel_hop(below);
                }
            }
        }
        // Requests that entered at the node end there.
        for id in self.hops.ids() {
            if self.hops.get(id).is_some_and(|hop| hop.node == index && hop.parent.is_none()) {
                self.cancel_hop(id);
            }
        }
    }
}
