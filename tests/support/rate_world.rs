//! A simulated fleet on a virtual clock. It runs the accounts of `hibiscusdoor::rate` with a
//! simulated network and a simplified model of the membership table.
#![allow(dead_code)]

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashMap},
    sync::Arc,
    time::Duration,
};

use hibiscusdoor::{
    membership::{Row, RowState, Table, View},
    rate::{Account, Allowance, Charge, LoanReply, LoanRequest, LoanRequestBudget, Peer},
};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

/// Time for which a lease is valid after the evidence that supports it.
const LEASE_TERM: Duration = Duration::from_secs(4);
/// Additional wait before a table version settles without the adoption by all nodes.
const CLOCK_MARGIN: Duration = Duration::from_millis(500);
/// Time after which a stopped node is removed from the table.
const EVICT_AFTER: Duration = Duration::from_secs(5);
/// Interval at which the model of the membership table is updated.
const MEMBERSHIP_INTERVAL: Duration = Duration::from_millis(250);
/// Interval at which a node plans its loan requests.
const PLAN_INTERVAL: Duration = Duration::from_millis(50);
/// Delay of planning while requests wait.
const URGENT_DELAY: Duration = Duration::from_millis(2);
/// Time after which a loan request without a reply is reported as timed out.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(100);

/// State of a node's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessState {
    Up,
    Frozen,
    Dead,
}

/// A fault, the end of a fault, or a change of the fleet or its configuration.
#[derive(Debug, Clone, PartialEq)]
pub enum Fault {
    Kill(usize),
    Restart(usize),
    Freeze(usize),
    Thaw(usize),
    /// Cuts these nodes off from the others.
    Cut(Vec<usize>),
    Heal,
    /// Fraction of the messages that are lost.
    Loss(f64),
    /// Fraction of the messages that are delayed by up to 5 s.
    LongDelay(f64),
    /// Fraction of the messages that are delivered twice.
    Duplicate(f64),
    PlatformDown,
    PlatformUp,
    Join,
    Leave(usize),
    /// Changes the rate and burst of organisation 0, which the nodes apply at different times.
    Change(Allowance),
}

/// Requests of one organisation that arrive at random times at some nodes.
#[derive(Debug, Clone, PartialEq)]
pub struct Load {
    pub organisation: usize,
    pub per_s: f64,
    pub nodes: Vec<usize>,
    pub from: Duration,
    pub to: Duration,
}

#[derive(Debug, Clone)]
enum Event {
    UpdateMembership,
    PlanLoans {
        node: usize,
        incarnation: u64,
    },
    PlanUrgently {
        node: usize,
        incarnation: u64,
    },
    LoanRequest {
        from: (usize, u64),
        to: (usize, u64),
        organisation: usize,
        request: LoanRequest,
    },
    LoanReply {
        from: (usize, u64),
        to: (usize, u64),
        organisation: usize,
        sequence: u64,
        reply: LoanReply,
    },
    RequestTimedOut {
        node: (usize, u64),
        lender: Peer,
        organisation: usize,
        sequence: u64,
    },
    Arrival {
        load: usize,
    },
    Burst {
        organisation: usize,
        nodes: Vec<usize>,
        count: usize,
    },
    Retry {
        node: usize,
        incarnation: u64,
        organisation: usize,
        waiter: u64,
    },
    Refund {
        node: usize,
        incarnation: u64,
        organisation: usize,
    },
    Fault(Fault),
    ApplyTotal {
        node: usize,
        total: Allowance,
    },
}

struct Waiter {
    id: u64,
    give_up_at: Duration,
}

pub struct Node {
    pub name: Arc<str>,
    pub incarnation: u64,
    pub weight: u32,
    pub process_state: ProcessState,
    pub accounts: Vec<Account>,
    pub view: View,
    pub lease_until: Duration,
    /// Relative error of the rate of the node's clock.
    drift: f64,
    /// Time of the node's clock at the start of the simulation.
    offset: Duration,
    is_leaving: bool,
    stopped_at: Duration,
    totals: Vec<Allowance>,
    waiters: Vec<Vec<Waiter>>,
    is_plan_urgent: bool,
    budget: LoanRequestBudget,
    inbox: Vec<Event>,
}

impl Node {
    pub fn local_time(&self, now: Duration) -> Duration {
        self.offset + now.mul_f64(1.0 + self.drift)
    }

    fn peer(&self) -> Peer {
        Peer { instance: self.name.clone(), incarnation: self.incarnation }
    }
}

/// Results of one organisation's requests.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    /// Arrivals at nodes that had a lease, in time order.
    pub offered: Vec<Duration>,
    /// Admissions, in time order.
    pub admitted: Vec<Duration>,
    pub refused: usize,
    pub refused_at: Vec<Duration>,
    pub no_lease: usize,
    pub waited: usize,
}

pub struct World {
    pub now: Duration,
    pub nodes: Vec<Node>,
    pub organisations: Vec<Allowance>,
    /// Largest rate and burst that were ever configured.
    pub largest_totals: Vec<Allowance>,
    pub outcomes: Vec<Outcome>,
    pub loan_requests_sent: usize,
    /// Fraction of the charges that are refunded.
    pub refund_fraction: f64,
    /// First violation of the bound or of the sums of shares.
    pub violation: Option<String>,
    events: HashMap<u64, Event>,
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    last_event_id: u64,
    random: ChaCha8Rng,
    loads: Vec<Load>,
    table: Arc<Table>,
    is_settled: bool,
    /// When the newest table was written.
    committed_at: Duration,
    /// When a majority of the previous rows was first observed to have adopted the newest table.
    majority_at: Option<Duration>,
    is_platform_up: bool,
    cut: Vec<usize>,
    loss_fraction: f64,
    long_delay_fraction: f64,
    duplicate_fraction: f64,
    wants_in: BTreeMap<usize, bool>,
    handled_events: u64,
}

impl World {
    /// Creates a fleet with a settled first table and empty buckets.
    pub fn new(weights: &[u32], organisations: Vec<Allowance>, drift: f64, seed: u64) -> Self {
        let mut world = Self {
            now: Duration::ZERO,
            nodes: Vec::new(),
            outcomes: vec![Outcome::default(); organisations.len()],
            largest_totals: organisations.clone(),
            organisations,
            loan_requests_sent: 0,
            refund_fraction: 0.0,
            violation: None,
            events: HashMap::new(),
            queue: BinaryHeap::new(),
            last_event_id: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
            loads: Vec::new(),
            table: Arc::default(),
            is_settled: true,
            committed_at: Duration::ZERO,
            majority_at: None,
            is_platform_up: true,
            cut: Vec::new(),
            loss_fraction: 0.0,
            long_delay_fraction: 0.0,
            duplicate_fraction: 0.0,
            wants_in: BTreeMap::new(),
            handled_events: 0,
        };
        for weight in weights {
            let drift = world.random.random_range(-1.0..=1.0) * drift;
            world.add_node(*weight, drift);
        }
        let rows = world.nodes.iter().map(table_row).collect();
        world.table =
            Arc::new(Table { previous_rows: Vec::new(), ..Table::default().next_version(rows) });
        let view = View { table: world.table.clone(), is_settled: true };
        for index in 0..world.nodes.len() {
            world.adopt_view(index, view.clone());
        }
        world.schedule(Duration::ZERO, Event::UpdateMembership);
        world
    }

    fn add_node(&mut self, weight: u32, drift: f64) -> usize {
        let index = self.nodes.len();
        let offset = Duration::from_secs(self.random.random_range(1..1000));
        let mut node = Node {
            name: format!("i{index:02}").into(),
            incarnation: 1,
            weight,
            process_state: ProcessState::Up,
            accounts: vec![Account::default(); self.organisations.len()],
            view: View::default(),
            lease_until: Duration::ZERO,
            drift,
            offset,
            is_leaving: false,
            stopped_at: Duration::ZERO,
            totals: self.organisations.clone(),
            waiters: Vec::new(),
            is_plan_urgent: false,
            budget: LoanRequestBudget::default(),
            inbox: Vec::new(),
        };
        node.waiters.resize_with(self.organisations.len(), Vec::new);
        let local = node.local_time(self.now);
        for (account, total) in node.accounts.iter_mut().zip(&self.organisations) {
            account.set_total(*total, local);
        }
        self.nodes.push(node);
        let first_at = self.now + PLAN_INTERVAL.mul_f64(self.random.random_range(0.0..1.0));
        self.schedule(first_at, Event::PlanLoans { node: index, incarnation: 1 });
        index
    }

    fn schedule(&mut self, time: Duration, event: Event) {
        self.last_event_id += 1;
        self.events.insert(self.last_event_id, event);
        self.queue.push(Reverse((time, self.last_event_id)));
    }

    pub fn schedule_fault(&mut self, time: Duration, fault: Fault) {
        self.schedule(time, Event::Fault(fault));
    }

    pub fn add_load(&mut self, load: Load) {
        let first_at = load.from;
        self.loads.push(load);
        self.schedule(first_at, Event::Arrival { load: self.loads.len() - 1 });
    }

    pub fn schedule_burst(
        &mut self,
        time: Duration,
        organisation: usize,
        nodes: Vec<usize>,
        count: usize,
    ) {
        self.schedule(time, Event::Burst { organisation, nodes, count });
    }

    /// Runs until `end`, or until the first violation.
    pub fn run(&mut self, end: Duration) {
        while let Some(Reverse((time, id))) = self.queue.peek().copied() {
            if time > end || self.violation.is_some() {
                break;
            }
            self.queue.pop();
            self.now = time;
            if let Some(event) = self.events.remove(&id) {
                self.handle(event);
            }
            self.handled_events += 1;
            if self.handled_events.is_multiple_of(16) {
                self.check_totals();
            }
        }
        self.now = end;
        self.check_windows();
    }

    fn handle(&mut self, event: Event) {
        if let Some(node) = receiving_node(&event)
            && self.nodes[node].process_state == ProcessState::Frozen
        {
            self.nodes[node].inbox.push(event);
            return;
        }
        match event {
            Event::UpdateMembership => self.update_membership(),
            Event::PlanLoans { node, incarnation } => {
                if self.is_up(node, incarnation) {
                    self.plan_loans(node);
                    let next = self.now + PLAN_INTERVAL;
                    self.schedule(next, Event::PlanLoans { node, incarnation });
                }
            }
            Event::PlanUrgently { node, incarnation } => {
                if self.is_up(node, incarnation) {
                    self.nodes[node].is_plan_urgent = false;
                    self.plan_loans(node);
                }
            }
            Event::LoanRequest { from, to, organisation, request } => {
                self.handle_loan_request(from, to, organisation, request)
            }
            Event::LoanReply { from, to, organisation, sequence, reply } => {
                if self.is_up(to.0, to.1) {
                    let lender =
                        Peer { instance: self.nodes[from.0].name.clone(), incarnation: from.1 };
                    let node = &mut self.nodes[to.0];
                    let local = node.local_time(self.now);
                    node.accounts[organisation].receive_reply(&lender, sequence, &reply, local);
                    self.retry_all_waiting(to.0, organisation);
                }
            }
            Event::RequestTimedOut { node, lender, organisation, sequence } => {
                if self.is_up(node.0, node.1) {
                    let state = &mut self.nodes[node.0];
                    let local = state.local_time(self.now);
                    state.accounts[organisation].mark_unanswered(&lender, sequence, local);
                    self.retry_all_waiting(node.0, organisation);
                }
            }
            Event::Arrival { load } => self.handle_arrival(load),
            Event::Burst { organisation, nodes, count } => {
                for number in 0..count {
                    self.charge_request(nodes[number % nodes.len()], organisation);
                }
            }
            Event::Retry { node, incarnation, organisation, waiter } => {
                if self.is_up(node, incarnation) {
                    self.retry_waiting(node, organisation, Some(waiter));
                }
            }
            Event::Refund { node, incarnation, organisation } => {
                if self.is_up(node, incarnation) {
                    let state = &mut self.nodes[node];
                    let local = state.local_time(self.now);
                    state.accounts[organisation].refund(local);
                }
            }
            Event::Fault(fault) => self.apply_fault(fault),
            Event::ApplyTotal { node, total } => {
                let state = &mut self.nodes[node];
                state.totals[0] = total;
                let local = state.local_time(self.now);
                state.accounts[0].set_total(total, local);
            }
        }
    }

    fn is_up(&self, node: usize, incarnation: u64) -> bool {
        self.nodes[node].incarnation == incarnation
            && self.nodes[node].process_state == ProcessState::Up
    }

    fn handle_arrival(&mut self, index: usize) {
        let load = self.loads[index].clone();
        if self.now >= load.to {
            return;
        }
        let gap = -(1.0 - self.random.random_range(0.0..1.0f64)).ln() / load.per_s;
        let next = self.now + Duration::from_secs_f64(gap.min(1e6));
        self.schedule(next, Event::Arrival { load: index });
        // Callers avoid dead nodes.
        let live: Vec<usize> = load
            .nodes
            .iter()
            .copied()
            .filter(|node| {
                self.nodes.get(*node).is_some_and(|it| it.process_state != ProcessState::Dead)
            })
            .collect();
        if !live.is_empty() {
            let node = live[self.random.random_range(0..live.len())];
            if self.nodes[node].process_state == ProcessState::Frozen {
                let organisation = load.organisation;
                let deferred = Event::Burst { organisation, nodes: vec![node], count: 1 };
                self.nodes[node].inbox.push(deferred);
            } else {
                self.charge_request(node, load.organisation);
            }
        }
    }

    fn charge_request(&mut self, node: usize, organisation: usize) {
        if self.nodes[node].process_state != ProcessState::Up {
            return;
        }
        let state = &mut self.nodes[node];
        let local = state.local_time(self.now);
        match state.accounts[organisation].charge(local, state.lease_until, false) {
            Charge::Admitted => {
                self.outcomes[organisation].offered.push(self.now);
                self.complete_admission(node, organisation);
            }
            Charge::NoLease => self.outcomes[organisation].no_lease += 1,
            Charge::Empty { may_wait: false, .. } => {
                self.outcomes[organisation].offered.push(self.now);
                self.count_refusal(organisation);
            }
            Charge::Empty { retry_after, may_wait: true } => {
                state.accounts[organisation].begin_wait();
                self.outcomes[organisation].offered.push(self.now);
                self.outcomes[organisation].waited += 1;
                self.last_event_id += 1;
                let waiter =
                    Waiter { id: self.last_event_id, give_up_at: local + Account::MAX_WAIT };
                let id = waiter.id;
                state.waiters[organisation].push(waiter);
                let incarnation = state.incarnation;
                let time = self.now + retry_after.min(Account::MAX_WAIT);
                self.schedule(time, Event::Retry { node, incarnation, organisation, waiter: id });
                self.schedule_urgent_plan(node);
            }
        }
    }

    fn schedule_urgent_plan(&mut self, node: usize) {
        if !self.nodes[node].is_plan_urgent {
            self.nodes[node].is_plan_urgent = true;
            let incarnation = self.nodes[node].incarnation;
            let time = self.now + URGENT_DELAY;
            self.schedule(time, Event::PlanUrgently { node, incarnation });
        }
    }

    fn count_refusal(&mut self, organisation: usize) {
        self.outcomes[organisation].refused += 1;
        self.outcomes[organisation].refused_at.push(self.now);
    }

    fn complete_admission(&mut self, node: usize, organisation: usize) {
        let state = &mut self.nodes[node];
        if self.refund_fraction > 0.0 && self.random.random_range(0.0..1.0) < self.refund_fraction {
            let incarnation = state.incarnation;
            let time = self.now + Duration::from_millis(self.random.random_range(0..20));
            self.schedule(time, Event::Refund { node, incarnation, organisation });
            return;
        }
        state.accounts[organisation].spend();
        self.outcomes[organisation].admitted.push(self.now);
    }

    fn retry_all_waiting(&mut self, node: usize, organisation: usize) {
        self.retry_waiting(node, organisation, None);
    }

    /// Charges all waiting requests again, or only the given one.
    fn retry_waiting(&mut self, node: usize, organisation: usize, only: Option<u64>) {
        let waiters = std::mem::take(&mut self.nodes[node].waiters[organisation]);
        for waiter in waiters {
            if only.is_some_and(|id| id != waiter.id) {
                self.nodes[node].waiters[organisation].push(waiter);
                continue;
            }
            let state = &mut self.nodes[node];
            let local = state.local_time(self.now);
            match state.accounts[organisation].charge(local, state.lease_until, true) {
                Charge::Admitted => {
                    state.accounts[organisation].end_wait();
                    self.complete_admission(node, organisation);
                }
                Charge::Empty { may_wait: true, retry_after } if local < waiter.give_up_at => {
                    let incarnation = state.incarnation;
                    let wait = retry_after.min(waiter.give_up_at - local);
                    let id = waiter.id;
                    state.waiters[organisation].push(waiter);
                    if only.is_some() {
                        // The node's clock may be slow, so the last attempt is slightly later.
                        let time = self.now + wait + Duration::from_micros(100);
                        self.schedule(
                            time,
                            Event::Retry { node, incarnation, organisation, waiter: id },
                        );
                    }
                    self.schedule_urgent_plan(node);
                }
                Charge::Empty { .. } | Charge::NoLease => {
                    state.accounts[organisation].end_wait();
                    self.count_refusal(organisation);
                }
            }
        }
    }

    fn plan_loans(&mut self, node: usize) {
        let state = &mut self.nodes[node];
        let local = state.local_time(self.now);
        let rows = state.view.table.rows.iter().filter(|row| row.instance != state.name);
        let peers: Vec<Peer> = rows
            .map(|row| Peer { instance: row.instance.clone(), incarnation: row.incarnation })
            .collect();
        let from = (node, state.incarnation);
        let mut sent = Vec::new();
        for (organisation, account) in state.accounts.iter_mut().enumerate() {
            let available = state.budget.available_requests(local);
            account.retain_peers(|peer| peers.contains(peer));
            let requests = account.plan_loan_requests(
                &peers,
                local,
                state.lease_until,
                available,
                &mut self.random,
            );
            state.budget.spend(requests.len());
            sent.extend(requests.into_iter().map(|request| (organisation, request)));
        }
        for (organisation, outgoing) in sent {
            self.loan_requests_sent += 1;
            let sequence = outgoing.request.sequence;
            let lender = outgoing.lender;
            let to = self.node_index(&lender.instance);
            let timed_out = Event::RequestTimedOut {
                node: from,
                lender: lender.clone(),
                organisation,
                sequence,
            };
            let time = self.now + REQUEST_TIMEOUT;
            self.schedule(time, timed_out);
            let to = (to, lender.incarnation);
            self.send_message(
                from.0,
                to.0,
                Event::LoanRequest { from, to, organisation, request: outgoing.request },
            );
        }
    }

    fn handle_loan_request(
        &mut self,
        from: (usize, u64),
        to: (usize, u64),
        organisation: usize,
        request: LoanRequest,
    ) {
        if !self.is_up(to.0, to.1) {
            return;
        }
        let borrower = Peer { instance: self.nodes[from.0].name.clone(), incarnation: from.1 };
        let state = &mut self.nodes[to.0];
        let known = state.view.table.row(&borrower.instance);
        if known.is_none_or(|row| row.incarnation != borrower.incarnation) {
            return;
        }
        let local = state.local_time(self.now);
        let account = &mut state.accounts[organisation];
        let reply = account.handle_loan_request(&borrower, &request, local, state.lease_until);
        if account.is_contested(local) {
            self.schedule_urgent_plan(to.0);
        }
        if !request.returned.is_empty() {
            self.retry_all_waiting(to.0, organisation);
        }
        let message = Event::LoanReply {
            from: to,
            to: from,
            organisation,
            sequence: request.sequence,
            reply,
        };
        self.send_message(to.0, from.0, message);
    }

    fn send_message(&mut self, from: usize, to: usize, event: Event) {
        let copies = 1 + usize::from(self.random.random_range(0.0..1.0) < self.duplicate_fraction);
        for _ in 0..copies {
            if self.random.random_range(0.0..1.0) < self.loss_fraction
                || !self.are_connected(from, to)
            {
                continue;
            }
            let mut delay = Duration::from_micros(self.random.random_range(500..3000));
            if self.random.random_range(0.0..1.0) < self.long_delay_fraction {
                // About half of these arrive before the request is given up, the others later.
                let longest = if self.random.random_range(0.0..1.0) < 0.5 { 180 } else { 5000 };
                delay += Duration::from_millis(self.random.random_range(0..longest));
            }
            let time = self.now + delay;
            self.schedule(time, event.clone());
        }
    }

    fn are_connected(&self, a: usize, b: usize) -> bool {
        self.cut.contains(&a) == self.cut.contains(&b)
    }

    fn node_index(&self, name: &str) -> usize {
        self.nodes.iter().position(|node| &*node.name == name).expect("a node of the world")
    }

    fn apply_fault(&mut self, fault: Fault) {
        match fault {
            Fault::Kill(node) => {
                self.nodes[node].process_state = ProcessState::Dead;
                self.nodes[node].stopped_at = self.now;
                self.nodes[node].inbox.clear();
            }
            Fault::Restart(node) => self.restart(node),
            Fault::Freeze(node) => {
                if self.nodes[node].process_state == ProcessState::Up {
                    self.nodes[node].process_state = ProcessState::Frozen;
                    self.nodes[node].stopped_at = self.now;
                }
            }
            Fault::Thaw(node) => {
                if self.nodes[node].process_state == ProcessState::Frozen {
                    self.nodes[node].process_state = ProcessState::Up;
                    // Events that arrived while the node was frozen are handled at once.
                    for event in std::mem::take(&mut self.nodes[node].inbox) {
                        self.handle(event);
                    }
                }
            }
            Fault::Cut(nodes) => self.cut = nodes,
            Fault::Heal => self.cut.clear(),
            Fault::Loss(fraction) => self.loss_fraction = fraction,
            Fault::LongDelay(fraction) => self.long_delay_fraction = fraction,
            Fault::Duplicate(fraction) => self.duplicate_fraction = fraction,
            Fault::PlatformDown => self.is_platform_up = false,
            Fault::PlatformUp => self.is_platform_up = true,
            Fault::Join => {
                let drift = self.random.random_range(-1.0..=1.0) * 0.0005;
                self.add_node(1, drift);
            }
            Fault::Leave(node) => self.nodes[node].is_leaving = true,
            Fault::Change(total) => {
                self.organisations[0] = total;
                let largest = &mut self.largest_totals[0];
                largest.rate_per_s = largest.rate_per_s.max(total.rate_per_s);
                largest.burst = largest.burst.max(total.burst);
                for node in 0..self.nodes.len() {
                    let time = self.now + Duration::from_millis(self.random.random_range(0..5000));
                    self.schedule(time, Event::ApplyTotal { node, total });
                }
            }
        }
    }

    fn restart(&mut self, node: usize) {
        let local = self.nodes[node].local_time(self.now);
        let state = &mut self.nodes[node];
        state.process_state = ProcessState::Up;
        state.incarnation += 1;
        state.accounts = vec![Account::default(); self.organisations.len()];
        state.totals = self.organisations.clone();
        for (account, total) in state.accounts.iter_mut().zip(&self.organisations) {
            account.set_total(*total, local);
        }
        state.view = View::default();
        state.lease_until = Duration::ZERO;
        state.waiters.iter_mut().for_each(Vec::clear);
        state.is_plan_urgent = false;
        state.inbox.clear();
        let incarnation = state.incarnation;
        let time = self.now;
        self.schedule(time, Event::PlanLoans { node, incarnation });
    }

    /// Models the membership table: adoption of versions, leases, settlement and eviction.
    fn update_membership(&mut self) {
        let next = self.now + MEMBERSHIP_INTERVAL;
        self.schedule(next, Event::UpdateMembership);
        self.distribute_versions();
        self.settle_table();
        for node in 0..self.nodes.len() {
            if self.nodes[node].process_state == ProcessState::Up {
                self.extend_lease(node);
            }
        }
        self.change_table();
    }

    fn distribute_versions(&mut self) {
        for node in 0..self.nodes.len() {
            if self.nodes[node].process_state != ProcessState::Up {
                continue;
            }
            let newest = self.table.version;
            let held = self.nodes[node].view.table.version;
            let is_reachable = self.is_platform_up
                || (0..self.nodes.len()).any(|other| {
                    self.nodes[other].process_state == ProcessState::Up
                        && self.are_connected(node, other)
                        && self.nodes[other].view.table.version == newest
                });
            if !is_reachable {
                continue;
            }
            let view = View { table: self.table.clone(), is_settled: self.is_settled };
            if held == newest {
                if self.nodes[node].view.is_settled != self.is_settled {
                    self.adopt_view(node, view);
                }
                continue;
            }
            let state = &mut self.nodes[node];
            let local = state.local_time(self.now);
            let share = view.share(&state.name, state.incarnation);
            let mut fits = true;
            for account in &mut state.accounts {
                fits &= account.prepare_share(share, local);
            }
            if fits {
                self.adopt_view(node, view);
            }
        }
    }

    fn adopt_view(&mut self, node: usize, view: View) {
        let now = self.now;
        let state = &mut self.nodes[node];
        let local = state.local_time(now);
        let share = view.share(&state.name, state.incarnation);
        let new_version = state.view.table.version != view.table.version;
        state.view = view;
        for account in &mut state.accounts {
            account.set_share(share, local);
        }
        if new_version {
            self.extend_lease(node);
        }
    }

    fn extend_lease(&mut self, node: usize) {
        let state = &self.nodes[node];
        let table = state.view.table.clone();
        if table.version == 0 {
            return;
        }
        let by_platform = self.is_platform_up && table.version == self.table.version;
        let supporting = table.rows.iter().filter(|row| {
            let other = self.node_index(&row.instance);
            let other_state = &self.nodes[other];
            other_state.process_state == ProcessState::Up
                && other_state.incarnation == row.incarnation
                && self.are_connected(node, other)
                && other_state.view.table.version <= table.version
        });
        if by_platform || supporting.count() * 2 > table.rows.len() {
            // Age of the evidence from a majority of the nodes.
            let age = Duration::from_millis(self.random.random_range(0..1500));
            let state = &mut self.nodes[node];
            // With the maximum drift, a fast clock ends the lease 2 ms early and a slow one 2 ms
            // late.
            state.lease_until =
                state.lease_until.max(state.local_time(self.now) + LEASE_TERM - age);
        }
    }

    fn settle_table(&mut self) {
        if self.is_settled {
            return;
        }
        let rows = &self.table.previous_rows;
        let adopted = rows.iter().filter(|row| {
            let node = &self.nodes[self.node_index(&row.instance)];
            node.incarnation == row.incarnation && node.view.table.version == self.table.version
        });
        let adopted = adopted.count();
        if adopted * 2 > rows.len() && self.majority_at.is_none() {
            self.majority_at = Some(self.now);
        }
        let waited = self.majority_at.is_some_and(|since| {
            self.now >= since.max(self.committed_at) + LEASE_TERM + CLOCK_MARGIN
        });
        if adopted == rows.len() || waited {
            self.is_settled = true;
        }
    }

    fn change_table(&mut self) {
        if !self.is_platform_up || !self.is_settled {
            return;
        }
        let mut rows = self.table.rows.clone();
        for (index, node) in self.nodes.iter().enumerate() {
            let known = rows.iter().position(|row| row.instance == node.name);
            let is_gone = node.process_state != ProcessState::Up
                && self.now >= node.stopped_at + EVICT_AFTER
                || node.process_state == ProcessState::Up && self.is_cut_off(index);
            let wants_row = node.process_state == ProcessState::Up && !node.is_leaving;
            match known {
                Some(row) if is_gone || node.is_leaving => {
                    rows.remove(row);
                }
                Some(row) if wants_row && rows[row].incarnation != node.incarnation => {
                    rows[row] = table_row(node);
                }
                None if wants_row && !is_gone => rows.push(table_row(node)),
                _ => {}
            }
        }
        // At least one row remains, as in a fleet that is still running.
        if rows.is_empty() || rows == self.table.rows {
            return;
        }
        let mut table = self.table.next_version(rows);
        table.rows.sort_by(|a, b| a.instance.cmp(&b.instance));
        if table.rows == self.table.rows {
            return;
        }
        self.table = Arc::new(table);
        self.is_settled = false;
        self.committed_at = self.now;
        self.majority_at = None;
    }

    /// Whether a node is on the smaller side of a cut that outlasted its lease, so that it is
    /// evicted.
    fn is_cut_off(&self, node: usize) -> bool {
        let cut_now = self.cut.contains(&node) && self.cut.len() * 2 < self.nodes.len();
        cut_now && self.nodes[node].local_time(self.now) >= self.nodes[node].lease_until
    }

    /// Checks that the nodes with a lease together hold at most the total rate and burst.
    fn check_totals(&mut self) {
        for organisation in 0..self.organisations.len() {
            let (mut rate_per_s, mut burst) = (0.0, 0.0);
            for node in &mut self.nodes {
                let local = node.local_time(self.now);
                if node.process_state != ProcessState::Up || local >= node.lease_until {
                    continue;
                }
                let state = node.accounts[organisation].snapshot(local);
                rate_per_s += state.usable.rate_per_s;
                burst += state.usable.burst;
                if state.tokens > state.usable.burst + 1e-6 {
                    let tokens = state.tokens;
                    self.violation.get_or_insert(format!(
                        "{} holds {tokens} tokens, more than its capacity",
                        node.name
                    ));
                }
            }
            let total = self.largest_totals[organisation];
            if rate_per_s > total.rate_per_s * (1.0 + 1e-9) || burst > total.burst * (1.0 + 1e-9) {
                let at = self.now;
                self.violation.get_or_insert(format!(
                    "at {at:?} the nodes hold rate {rate_per_s}, burst {burst}; allowed {total:?}"
                ));
            }
        }
    }

    /// Checks that at most burst + rate * w requests are admitted in every window w: a token bucket
    /// that starts full and is charged with all admissions never falls below zero.
    fn check_windows(&mut self) {
        for (outcome, total) in self.outcomes.iter().zip(&self.largest_totals) {
            let (mut tokens, mut last) = (total.burst, Duration::ZERO);
            for time in &outcome.admitted {
                tokens += (*time - last).as_secs_f64() * total.rate_per_s;
                tokens = tokens.min(total.burst) - 1.0;
                last = *time;
                if tokens < -1e-6 {
                    self.violation.get_or_insert(format!(
                        "a window that ends at {time:?} has {} admissions above the bound",
                        -tokens
                    ));
                    break;
                }
            }
        }
    }

    /// Fraction of the requests that a single bucket for the fleet would have admitted, but that
    /// this fleet did not admit.
    pub fn refused_within_rate(&self, organisation: usize) -> f64 {
        let total = self.organisations[organisation];
        let outcome = &self.outcomes[organisation];
        let (mut tokens, mut last, mut ideal) = (total.burst, Duration::ZERO, 0usize);
        for time in &outcome.offered {
            tokens += (*time - last).as_secs_f64() * total.rate_per_s;
            tokens = tokens.min(total.burst);
            last = *time;
            if tokens >= 1.0 {
                tokens -= 1.0;
                ideal += 1;
            }
        }
        let missing = ideal.saturating_sub(outcome.admitted.len());
        missing as f64 / ideal.max(1) as f64
    }
}

fn receiving_node(event: &Event) -> Option<usize> {
    match event {
        Event::PlanLoans { node, .. }
        | Event::PlanUrgently { node, .. }
        | Event::Retry { node, .. }
        | Event::Refund { node, .. }
        | Event::ApplyTotal { node, .. } => Some(*node),
        Event::LoanRequest { to, .. } | Event::LoanReply { to, .. } => Some(to.0),
        Event::RequestTimedOut { node, .. } => Some(node.0),
        _ => None,
    }
}

fn table_row(node: &Node) -> Row {
    Row {
        instance: node.name.clone(),
        incarnation: node.incarnation,
        zone: "zone".into(),
        service: None,
        peer_address: ([127, 0, 0, 1], 1).into(),
        weight: node.weight,
        state: RowState::Active,
    }
}
