//! The event loop of the simulation: callers, nodes and upstreams on a virtual clock.
//!
//! A root is a request of a caller, a hop is one call in its chain, and a visit is one attempt of a
//! hop at a target. A sending is one transmission of a root by its caller, retries included.

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
    experiment::figures::{BUCKET_WIDTH, Counts, bucket_index},
    experiment::world::slab::{Id, Slab},
    experiment::{Deployment, Figures, Scenario},
    names::{InstanceName, OrganisationName},
    retry::{HopBudget, RetryControl},
    routing::{FirstHopAdmission, Pressure, Targets},
};

/// Retries of a call under the baseline controls (`None` and `Fixed`).
const BASELINE_RETRIES: u32 = 3;
/// Concurrency limit of `Control::Fixed` as a multiple of the announced slots; 2 lets requests wait
/// for up to one service time.
const FIXED_LIMIT_FACTOR: f64 = 2.0;
/// Time without traffic after which a connection is treated as lost.
const SILENT_CONNECTION_TIMEOUT: Duration = Duration::from_secs(1);
/// Time until connecting to a dead instance fails.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time until a dead instance is removed from the membership table: its evidence must be older than
/// 5 s, then the table must settle.
const EVICTION_DELAY: Duration = Duration::from_secs(10);
/// Burst of an organisation, as the time in which its rate gives that many tokens.
const BURST_DURATION_S: f64 = 0.5;
/// Retry-After of a request that exceeds its organisation's rate.
const OVER_RATE_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Time of the first request, when the cold starts of the upstreams are over.
const CALLERS_START_DELAY: Duration = Duration::from_secs(2);
/// Number of phases of the Erlang distribution of service times; 4 give a coefficient of variation
/// of 0.5.
const SERVICE_TIME_PHASES: u32 = 4;

/// Overload control of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Control {
    /// No overload control; each hop retries up to three times.
    None,
    /// A fixed concurrency limit at each upstream; each hop retries up to three times.
    Fixed,
    /// The policies of the daemon.
    Hibiscusdoor,
    /// The policies of the daemon except this one, to measure its effect.
    Without(Policy),
}

/// A policy that an experiment can disable.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// Refusal at the first hop, by pressure and by proportion.
    FirstHop,
    /// Refusal at the first hop of requests below the importance that a service down the chain
    /// sheds.
    Pressure,
    /// Refusal at the first hop in proportion to the requests that the chain refuses.
    Proportion,
    /// Adaptation of the concurrency limit; without it, the limit stays at the announced slots.
    AdaptiveLimit,
    /// Exclusion of the time in downstream calls from the latency that the limit adapts to.
    OwnTime,
    /// Choice of a target by load; without it, the choice is random.
    Routing,
    /// Cancellation of the calls down the chain when the caller times out.
    Cancellation,
}

impl Control {
    fn uses_daemon_policies(self) -> bool {
        matches!(self, Self::Hibiscusdoor | Self::Without(_))
    }

    fn is_without(self, policy: Policy) -> bool {
        self == Self::Without(policy)
    }
}

/// Runs an experiment and returns its figures.
pub fn run(deployment: &Deployment, scenario: &Scenario, control: Control, seed: u64) -> Figures {
    let mut world = World::new(deployment, scenario, control, seed);
    world.run();
    Figures::from_counts(deployment, scenario, &world.counts)
}

/// A request of a caller, with all its sendings.
#[derive(Debug)]
struct Root {
    class: usize,
    organisation: usize,
    /// Incremented at the start and at the end of each sending: odd while one is in progress.
    sending: u32,
    hop: Option<Id>,
    /// Retries, over all hops, in the current sending.
    retries: u32,
    is_measured: bool,
    /// Whether a sending was refused or not answered in time.
    was_refused: bool,
    /// Whether the request exceeds the organisation's rate.
    is_over_rate: bool,
}

/// A call, at the node that it enters.
#[derive(Debug)]
struct Hop {
    root: Id,
    parent: Option<Id>,
    node: usize,
    service: usize,
    deadline: Timestamp,
    depth: u32,
    budget: HopBudget,
    baseline_retries_left: u32,
    tried: Vec<InstanceName>,
    may_have_run: bool,
    visit: Option<Id>,
}

/// Progress of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    InTransit,
    /// In the queue of admission control.
    Waiting(Ticket),
    /// Admitted, in the queue of the upstream.
    Queued,
    Working,
    /// The upstream waits for its own call, this hop.
    Calling(Id),
    Replying,
}

/// One attempt at a target.
#[derive(Debug)]
struct Visit {
    hop: Id,
    node: usize,
    stage: Stage,
    started_at: Timestamp,
    arrived_at: Timestamp,
    own_time: OwnTime,
    retries_left: u32,
    pressures: Vec<Pressure>,
    load: Option<u32>,
    end: End,
}

/// Outcome of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    /// Complete response.
    Whole,
    NotRun(Reason),
    /// The request may have run.
    Unknown(Reason),
    /// The upstream responded with an error because its own call failed.
    RefusedDownstream,
}

/// A scheduled event; `u32` is the sending of a root, `usize` the index of a node or fault.
#[derive(Debug, Clone, Copy)]
enum Event {
    /// A caller has a new request, at a Poisson rate.
    Arrival,
    /// A caller sends a request again.
    Send(Id),
    /// A sending arrives at its entry node.
    EntryArrival(Id, u32),
    /// An attempt arrives at its target.
    AttemptArrival(Id),
    /// End of the wait in the queue of admission control.
    QueueTimeout(Id),
    WorkDone(Id),
    Reply(Id),
    CallerReply(Id, u32, End, Duration),
    CallerTimeout(Id, u32),
    /// Removal of a dead instance from the membership table.
    RemoveFromTable(usize),
    Fault(usize),
}

#[derive(Debug)]
struct Node {
    zone: usize,
    service: usize,
    name: InstanceName,
    slots: u32,
    announced_slots: u32,
    connections: usize,
    /// Factor on the service times.
    time_factor: f64,
    is_alive: bool,
    /// Whether the node is in the membership table.
    is_listed: bool,
    /// Slots of the upstream in use.
    busy_slots: u32,
    /// Visits that wait for a slot of the upstream.
    queue: VecDeque<Id>,
    /// Requests in the upstream, running and queued.
    in_flight: usize,
    admission: Admission,
    /// Number of tickets issued so far.
    tickets: u64,
    targets: Targets,
    first_hop: FirstHopAdmission,
    retries: RetryControl,
    /// Time at which the upstream last got a request that is not of the most important class.
    last_less_important_start: Timestamp,
}

struct World<'a> {
    deployment: &'a Deployment,
    scenario: &'a Scenario,
    control: Control,
    now: Timestamp,
    /// Number of events scheduled so far; orders events that are due at the same time.
    sequence: u64,
    /// Time in nanoseconds, sequence number, and index into `event_store`.
    events: BinaryHeap<Reverse<(u64, u64, u32)>>,
    event_store: Vec<Event>,
    /// Free indices of `event_store`.
    event_free: Vec<u32>,
    random: ChaCha8Rng,
    nodes: Vec<Node>,
    /// Indices of the nodes of each service.
    by_service: Vec<Vec<usize>>,
    organisations: Vec<OrganisationName>,
    routes: Vec<Arc<str>>,
    /// Running sums of the fractions of the demand by class, and by organisation with its flood
    /// factor, for random choice.
    class_sums: Vec<f64>,
    organisation_sums: Vec<f64>,
    roots: Slab<Root>,
    hops: Slab<Hop>,
    visits: Slab<Visit>,
    /// Multiple of `base_capacity`.
    demand: f64,
    /// Factor on the service times of the deepest service.
    slow_factor: f64,
    is_platform_down: bool,
    /// Capacity at the start, in requests per second.
    base_capacity: f64,
    /// Tokens of each organisation and the time of their last refill.
    tokens: Vec<(f64, Timestamp)>,
    counts: Counts,
}

fn to_nanoseconds(time: Duration) -> u64 {
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
            let mut service_nodes = Vec::new();
            for index in 0..spec.targets {
                let factor = |factors: &[f64]| match factors {
                    [] => 1.0,
                    factors => factors[index % factors.len()],
                };
                let announced_slots = (f64::from(spec.slots)
                    * factor(&scenario.announced_slots_factors))
                .round() as u32;
                let node_seed = seed.wrapping_mul(1_000_003).wrapping_add(nodes.len() as u64);
                service_nodes.push(nodes.len());
                nodes.push(Node {
                    zone: index % deployment.zones,
                    service,
                    name: format!("{}-{index}", spec.name).into(),
                    slots: spec.slots,
                    announced_slots,
                    connections: spec.connections,
                    time_factor: factor(&scenario.service_time_factors),
                    is_alive: true,
                    is_listed: true,
                    busy_slots: 0,
                    queue: VecDeque::new(),
                    in_flight: 0,
                    admission: Admission::new(Duration::ZERO, announced_slots),
                    tickets: 0,
                    targets: Targets::new(node_seed),
                    first_hop: FirstHopAdmission::new(node_seed ^ 1),
                    retries: RetryControl::new(node_seed ^ 2),
                    last_less_important_start: Duration::ZERO,
                });
            }
            by_service.push(service_nodes);
        }
        let buckets = bucket_index(scenario.length) + 1;
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
            slow_factor: 1.0,
            is_platform_down: false,
            base_capacity: 0.0,
            tokens: vec![(0.0, Duration::ZERO); organisations],
            counts: Counts {
                good: vec![0; buckets],
                ideal: vec![0.0; buckets],
                offered: table.clone(),
                served: table.clone(),
                refused: table,
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
        self.schedule(CALLERS_START_DELAY, Event::Arrival);
        let mut ideal_until = 0;
        while let Some(Reverse((at_ns, _, slot))) = self.events.pop() {
            self.now = Duration::from_nanos(at_ns);
            if self.now >= self.scenario.length {
                return;
            }
            while ideal_until <= bucket_index(self.now) {
                let offered = self.demand_within_rates_per_s();
                self.counts.ideal[ideal_until] =
                    offered.min(self.capacity()) * BUCKET_WIDTH.as_secs_f64();
                ideal_until += 1;
            }
            let event = self.event_store[slot as usize];
            self.event_free.push(slot);
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival => self.handle_arrival(),
            Event::Send(root) => self.start_sending(root),
            Event::EntryArrival(root, sending) => self.handle_entry_arrival(root, sending),
            Event::AttemptArrival(visit) => self.handle_attempt_arrival(visit),
            Event::QueueTimeout(visit) => self.handle_queue_timeout(visit),
            Event::WorkDone(visit) => self.handle_work_done(visit),
            Event::Reply(visit) => self.handle_reply(visit),
            Event::CallerReply(root, sending, end, delay) => {
                self.handle_caller_reply(root, sending, end, delay);
            }
            Event::CallerTimeout(root, sending) => self.handle_caller_timeout(root, sending),
            Event::RemoveFromTable(node) => {
                if self.is_platform_down && !self.nodes[node].is_alive {
                    self.schedule(EVICTION_DELAY, Event::RemoveFromTable(node));
                } else {
                    self.nodes[node].is_listed = self.nodes[node].is_alive;
                }
            }
            Event::Fault(index) => self.apply_fault(self.scenario.faults[index].1),
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
        self.events.push(Reverse((to_nanoseconds(at), self.sequence, slot)));
    }

    /// Returns the requests per second that the live instances can serve with complete responses.
    fn capacity(&self) -> f64 {
        let services = &self.deployment.services;
        // Time for which a request holds a slot of each service, its calls included.
        let mut held_s = vec![0.0; services.len()];
        let mut fraction = vec![0.0; services.len()];
        for class in &self.deployment.classes {
            let mut service = Some(class.service);
            while let Some(index) = service {
                fraction[index] += class.part;
                service = services[index].calls;
            }
        }
        let hop_s = 2.0 * self.deployment.delay_between_zones.as_secs_f64();
        let mut capacity = f64::INFINITY;
        for index in (0..services.len()).rev() {
            let slow = if index == self.deployment.deepest() { self.slow_factor } else { 1.0 };
            let own_s = services[index].service_time.as_secs_f64() * slow;
            let downstream_s =
                services[index].calls.map_or(0.0, |downstream| held_s[downstream] + hop_s);
            held_s[index] = own_s + downstream_s;
            let nodes = self.by_service[index].iter().map(|node| &self.nodes[*node]);
            let rate: f64 = nodes
                .filter(|node| node.is_alive)
                .map(|node| f64::from(node.slots) / (own_s * node.time_factor + downstream_s))
                .sum();
            if fraction[index] > 0.0 {
                capacity = capacity.min(rate / fraction[index]);
            }
        }
        capacity
    }

    fn demand_per_s(&self) -> f64 {
        let total_factor = self.organisation_sums.last().copied().unwrap_or(1.0);
        self.demand * self.base_capacity * total_factor
    }

    /// Returns the demand without the requests that exceed the organisations' rates.
    fn demand_within_rates_per_s(&self) -> f64 {
        let Some(rates) = self.scenario.rates else { return self.demand_per_s() };
        let parts = self.deployment.organisations.iter().enumerate();
        let within = parts.map(|(index, part)| {
            let demand = self.demand * self.scenario.organisation_factor(index);
            part * demand.min(rates)
        });
        self.base_capacity * within.sum::<f64>()
    }

    /// Returns a random index, with probabilities given by running sums.
    fn pick_index(random: &mut ChaCha8Rng, sums: &[f64]) -> usize {
        let point = random.random_range(0.0..sums.last().copied().unwrap_or(1.0));
        sums.iter().position(|sum| point < *sum).unwrap_or(0)
    }

    /// Returns an exponentially distributed number with mean 1.
    fn exponential(&mut self) -> f64 {
        -(1.0 - self.random.random_range(0.0..1.0f64)).ln()
    }

    /// Returns the delay between two nodes, one way.
    fn network_delay(&self, from: usize, to: usize) -> Duration {
        match (from == to, self.nodes[from].zone == self.nodes[to].zone) {
            (true, _) => Duration::ZERO,
            (false, true) => self.deployment.delay_within_zone,
            (false, false) => self.deployment.delay_between_zones,
        }
    }

    fn is_measured(&self) -> bool {
        let (from, to) = self.scenario.measured;
        (from..to).contains(&self.now)
    }
}
