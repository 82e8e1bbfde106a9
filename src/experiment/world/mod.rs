//! The event loop: callers, nodes and upstreams on a virtual clock.

mod callers;
mod faults;
mod hops;
mod slab;
mod visits;

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
    sync::Arc,
    time::Duration,
};

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use crate::{
    admission::{Admission, OwnTime, Ticket},
    call::Reason,
    clock::Timestamp,
    experiment::figures::{BUCKET, Counts, bucket},
    experiment::world::slab::{Id, Slab},
    experiment::{Deployment, Figures, Scenario},
    names::{InstanceName, OrganisationName},
    retry::{HopBudget, RetryControl},
    routing::{FirstHopAdmission, Pressure, Targets},
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
    first_hop: FirstHopAdmission,
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
                    first_hop: FirstHopAdmission::new(node_seed ^ 1),
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
}
