//! A fleet on a virtual clock that runs the accounts of `hibiscusdoor::rate`, with fakes for the
//! network and for the membership rules of section 4 of the design page.
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

/// Time for which evidence is good.
const T: Duration = Duration::from_secs(4);
const CLOCK_MARGIN: Duration = Duration::from_millis(500);
const EVICT_AFTER: Duration = Duration::from_secs(5);
const MEMBERS_INTERVAL: Duration = Duration::from_millis(250);
const PLAN_INTERVAL: Duration = Duration::from_millis(50);
const URGENT_DELAY: Duration = Duration::from_millis(2);
const ASK_TIMEOUT: Duration = Duration::from_millis(100);

/// Whether a node runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Running {
    Up,
    Frozen,
    Dead,
}

/// What goes wrong or changes.
#[derive(Debug, Clone, PartialEq)]
pub enum Fault {
    Kill(usize),
    Restart(usize),
    Freeze(usize),
    Thaw(usize),
    /// Cuts these nodes off from the others.
    Cut(Vec<usize>),
    Heal,
    Loss(f64),
    /// Part of the messages that are delayed by up to 5 s.
    LongDelay(f64),
    Duplicate(f64),
    PlatformDown,
    PlatformUp,
    Join,
    Leave(usize),
    /// Changes the figures of organisation 0; nodes adopt it one after another.
    Change(Allowance),
}

/// Requests of one organisation at some nodes.
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
    Members,
    Plan {
        node: usize,
        incarnation: u64,
    },
    Urgent {
        node: usize,
        incarnation: u64,
    },
    Ask {
        from: (usize, u64),
        to: (usize, u64),
        organisation: usize,
        ask: LoanRequest,
    },
    Reply {
        from: (usize, u64),
        to: (usize, u64),
        organisation: usize,
        sequence: u64,
        loan: LoanReply,
    },
    TimedOut {
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
    GiveBack {
        node: usize,
        incarnation: u64,
        organisation: usize,
    },
    Fault(Fault),
    Adopt {
        node: usize,
        figures: Allowance,
    },
}

struct Waiter {
    id: u64,
    give_up: Duration,
}

pub struct Node {
    pub name: Arc<str>,
    pub incarnation: u64,
    pub weight: u32,
    pub running: Running,
    pub accounts: Vec<Account>,
    pub view: View,
    pub lease_until: Duration,
    drift: f64,
    offset: Duration,
    leaving: bool,
    stopped_at: Duration,
    figures: Vec<Allowance>,
    waiters: Vec<Vec<Waiter>>,
    urgent: bool,
    budget: LoanRequestBudget,
    inbox: Vec<Event>,
}

impl Node {
    pub fn local(&self, now: Duration) -> Duration {
        self.offset + now.mul_f64(1.0 + self.drift)
    }

    fn peer(&self) -> Peer {
        Peer { instance: self.name.clone(), incarnation: self.incarnation }
    }
}

/// What came of one organisation's requests.
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
    /// Largest figures that were ever in force.
    pub largest: Vec<Allowance>,
    pub outcomes: Vec<Outcome>,
    pub asks_sent: usize,
    /// Part of the charges that are given back.
    pub give_back: f64,
    /// First violation that was seen.
    pub violation: Option<String>,
    events: HashMap<u64, Event>,
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    next_event: u64,
    random: ChaCha8Rng,
    loads: Vec<Load>,
    table: Arc<Table>,
    settled: bool,
    committed_at: Duration,
    majority_at: Option<Duration>,
    platform_up: bool,
    cut: Vec<usize>,
    loss: f64,
    long_delay: f64,
    duplicate: f64,
    wants_in: BTreeMap<usize, bool>,
    checks: u64,
}

impl World {
    /// A fleet whose first table is settled and whose buckets are empty.
    pub fn new(weights: &[u32], organisations: Vec<Allowance>, drift: f64, seed: u64) -> Self {
        let mut world = Self {
            now: Duration::ZERO,
            nodes: Vec::new(),
            outcomes: vec![Outcome::default(); organisations.len()],
            largest: organisations.clone(),
            organisations,
            asks_sent: 0,
            give_back: 0.0,
            violation: None,
            events: HashMap::new(),
            queue: BinaryHeap::new(),
            next_event: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
            loads: Vec::new(),
            table: Arc::default(),
            settled: true,
            committed_at: Duration::ZERO,
            majority_at: None,
            platform_up: true,
            cut: Vec::new(),
            loss: 0.0,
            long_delay: 0.0,
            duplicate: 0.0,
            wants_in: BTreeMap::new(),
            checks: 0,
        };
        for weight in weights {
            let drift = world.random.random_range(-1.0..=1.0) * drift;
            world.add_node(*weight, drift);
        }
        let rows = world.nodes.iter().map(row).collect();
        world.table =
            Arc::new(Table { previous_rows: Vec::new(), ..Table::default().next_version(rows) });
        let view = View { table: world.table.clone(), settled: true };
        for index in 0..world.nodes.len() {
            world.adopt(index, view.clone());
        }
        world.at(Duration::ZERO, Event::Members);
        world
    }

    fn add_node(&mut self, weight: u32, drift: f64) -> usize {
        let index = self.nodes.len();
        let offset = Duration::from_secs(self.random.random_range(1..1000));
        let mut node = Node {
            name: format!("i{index:02}").into(),
            incarnation: 1,
            weight,
            running: Running::Up,
            accounts: vec![Account::default(); self.organisations.len()],
            view: View::default(),
            lease_until: Duration::ZERO,
            drift,
            offset,
            leaving: false,
            stopped_at: Duration::ZERO,
            figures: self.organisations.clone(),
            waiters: Vec::new(),
            urgent: false,
            budget: LoanRequestBudget::default(),
            inbox: Vec::new(),
        };
        node.waiters.resize_with(self.organisations.len(), Vec::new);
        let local = node.local(self.now);
        for (account, figures) in node.accounts.iter_mut().zip(&self.organisations) {
            account.set_total(*figures, local);
        }
        self.nodes.push(node);
        let first = self.now + PLAN_INTERVAL.mul_f64(self.random.random_range(0.0..1.0));
        self.at(first, Event::Plan { node: index, incarnation: 1 });
        index
    }

    fn at(&mut self, time: Duration, event: Event) {
        self.next_event += 1;
        self.events.insert(self.next_event, event);
        self.queue.push(Reverse((time, self.next_event)));
    }

    pub fn fault(&mut self, time: Duration, fault: Fault) {
        self.at(time, Event::Fault(fault));
    }

    pub fn load(&mut self, load: Load) {
        let first = load.from;
        self.loads.push(load);
        self.at(first, Event::Arrival { load: self.loads.len() - 1 });
    }

    pub fn burst(&mut self, time: Duration, organisation: usize, nodes: Vec<usize>, count: usize) {
        self.at(time, Event::Burst { organisation, nodes, count });
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
            self.checks += 1;
            if self.checks.is_multiple_of(16) {
                self.check_sums();
            }
        }
        self.now = end;
        self.check_windows();
    }

    fn handle(&mut self, event: Event) {
        if let Some(node) = addressee(&event)
            && self.nodes[node].running == Running::Frozen
        {
            self.nodes[node].inbox.push(event);
            return;
        }
        match event {
            Event::Members => self.members(),
            Event::Plan { node, incarnation } => {
                if self.is_up(node, incarnation) {
                    self.plan(node);
                    let next = self.now + PLAN_INTERVAL;
                    self.at(next, Event::Plan { node, incarnation });
                }
            }
            Event::Urgent { node, incarnation } => {
                if self.is_up(node, incarnation) {
                    self.nodes[node].urgent = false;
                    self.plan(node);
                }
            }
            Event::Ask { from, to, organisation, ask } => self.ask(from, to, organisation, ask),
            Event::Reply { from, to, organisation, sequence, loan } => {
                if self.is_up(to.0, to.1) {
                    let lender =
                        Peer { instance: self.nodes[from.0].name.clone(), incarnation: from.1 };
                    let node = &mut self.nodes[to.0];
                    let local = node.local(self.now);
                    node.accounts[organisation].receive_reply(&lender, sequence, &loan, local);
                    self.retry_all(to.0, organisation);
                }
            }
            Event::TimedOut { node, lender, organisation, sequence } => {
                if self.is_up(node.0, node.1) {
                    let state = &mut self.nodes[node.0];
                    let local = state.local(self.now);
                    state.accounts[organisation].mark_unanswered(&lender, sequence, local);
                    self.retry_all(node.0, organisation);
                }
            }
            Event::Arrival { load } => self.arrival(load),
            Event::Burst { organisation, nodes, count } => {
                for number in 0..count {
                    self.request(nodes[number % nodes.len()], organisation);
                }
            }
            Event::Retry { node, incarnation, organisation, waiter } => {
                if self.is_up(node, incarnation) {
                    self.retry(node, organisation, Some(waiter));
                }
            }
            Event::GiveBack { node, incarnation, organisation } => {
                if self.is_up(node, incarnation) {
                    let state = &mut self.nodes[node];
                    let local = state.local(self.now);
                    state.accounts[organisation].refund(local);
                }
            }
            Event::Fault(fault) => self.apply(fault),
            Event::Adopt { node, figures } => {
                let state = &mut self.nodes[node];
                state.figures[0] = figures;
                let local = state.local(self.now);
                state.accounts[0].set_total(figures, local);
            }
        }
    }

    fn is_up(&self, node: usize, incarnation: u64) -> bool {
        self.nodes[node].incarnation == incarnation && self.nodes[node].running == Running::Up
    }

    fn arrival(&mut self, index: usize) {
        let load = self.loads[index].clone();
        if self.now >= load.to {
            return;
        }
        let gap = -(1.0 - self.random.random_range(0.0..1.0f64)).ln() / load.per_s;
        let next = self.now + Duration::from_secs_f64(gap.min(1e6));
        self.at(next, Event::Arrival { load: index });
        // Callers leave nodes that are dead for those that live.
        let live: Vec<usize> = load
            .nodes
            .iter()
            .copied()
            .filter(|node| self.nodes.get(*node).is_some_and(|it| it.running != Running::Dead))
            .collect();
        if !live.is_empty() {
            let node = live[self.random.random_range(0..live.len())];
            if self.nodes[node].running == Running::Frozen {
                let organisation = load.organisation;
                let held = Event::Burst { organisation, nodes: vec![node], count: 1 };
                self.nodes[node].inbox.push(held);
            } else {
                self.request(node, load.organisation);
            }
        }
    }

    fn request(&mut self, node: usize, organisation: usize) {
        if self.nodes[node].running != Running::Up {
            return;
        }
        let state = &mut self.nodes[node];
        let local = state.local(self.now);
        match state.accounts[organisation].charge(local, state.lease_until, false) {
            Charge::Admitted => {
                self.outcomes[organisation].offered.push(self.now);
                self.admitted(node, organisation);
            }
            Charge::NoLease => self.outcomes[organisation].no_lease += 1,
            Charge::Empty { may_wait: false, .. } => {
                self.outcomes[organisation].offered.push(self.now);
                self.refuse(organisation);
            }
            Charge::Empty { retry_after, may_wait: true } => {
                state.accounts[organisation].begin_wait();
                self.outcomes[organisation].offered.push(self.now);
                self.outcomes[organisation].waited += 1;
                self.next_event += 1;
                let waiter = Waiter { id: self.next_event, give_up: local + Account::MAX_WAIT };
                let id = waiter.id;
                state.waiters[organisation].push(waiter);
                let incarnation = state.incarnation;
                let time = self.now + retry_after.min(Account::MAX_WAIT);
                self.at(time, Event::Retry { node, incarnation, organisation, waiter: id });
                self.urgent(node);
            }
        }
    }

    fn urgent(&mut self, node: usize) {
        if !self.nodes[node].urgent {
            self.nodes[node].urgent = true;
            let incarnation = self.nodes[node].incarnation;
            let time = self.now + URGENT_DELAY;
            self.at(time, Event::Urgent { node, incarnation });
        }
    }

    fn refuse(&mut self, organisation: usize) {
        self.outcomes[organisation].refused += 1;
        self.outcomes[organisation].refused_at.push(self.now);
    }

    fn admitted(&mut self, node: usize, organisation: usize) {
        let state = &mut self.nodes[node];
        if self.give_back > 0.0 && self.random.random_range(0.0..1.0) < self.give_back {
            let incarnation = state.incarnation;
            let time = self.now + Duration::from_millis(self.random.random_range(0..20));
            self.at(time, Event::GiveBack { node, incarnation, organisation });
            return;
        }
        state.accounts[organisation].spend();
        self.outcomes[organisation].admitted.push(self.now);
    }

    fn retry_all(&mut self, node: usize, organisation: usize) {
        self.retry(node, organisation, None);
    }

    /// Lets the waiting requests try again: all of them, or one.
    fn retry(&mut self, node: usize, organisation: usize, only: Option<u64>) {
        let waiters = std::mem::take(&mut self.nodes[node].waiters[organisation]);
        for waiter in waiters {
            if only.is_some_and(|id| id != waiter.id) {
                self.nodes[node].waiters[organisation].push(waiter);
                continue;
            }
            let state = &mut self.nodes[node];
            let local = state.local(self.now);
            match state.accounts[organisation].charge(local, state.lease_until, true) {
                Charge::Admitted => {
                    state.accounts[organisation].end_wait();
                    self.admitted(node, organisation);
                }
                Charge::Empty { may_wait: true, retry_after } if local < waiter.give_up => {
                    let incarnation = state.incarnation;
                    let wait = retry_after.min(waiter.give_up - local);
                    let id = waiter.id;
                    state.waiters[organisation].push(waiter);
                    if only.is_some() {
                        // The clock of the node may be slow, so the last try comes a bit later.
                        let time = self.now + wait + Duration::from_micros(100);
                        self.at(time, Event::Retry { node, incarnation, organisation, waiter: id });
                    }
                    self.urgent(node);
                }
                Charge::Empty { .. } | Charge::NoLease => {
                    state.accounts[organisation].end_wait();
                    self.refuse(organisation);
                }
            }
        }
    }

    fn plan(&mut self, node: usize) {
        let state = &mut self.nodes[node];
        let local = state.local(self.now);
        let rows = state.view.table.rows.iter().filter(|row| row.instance != state.name);
        let peers: Vec<Peer> = rows
            .map(|row| Peer { instance: row.instance.clone(), incarnation: row.incarnation })
            .collect();
        let from = (node, state.incarnation);
        let mut sent = Vec::new();
        for (organisation, account) in state.accounts.iter_mut().enumerate() {
            let available = state.budget.available(local);
            account.retain_peers(|peer| peers.contains(peer));
            let asks = account.plan_loan_requests(
                &peers,
                local,
                state.lease_until,
                available,
                &mut self.random,
            );
            state.budget.spend(asks.len());
            sent.extend(asks.into_iter().map(|ask| (organisation, ask)));
        }
        for (organisation, outgoing) in sent {
            self.asks_sent += 1;
            let sequence = outgoing.request.sequence;
            let lender = outgoing.lender;
            let to = self.index(&lender.instance);
            let timed_out =
                Event::TimedOut { node: from, lender: lender.clone(), organisation, sequence };
            let time = self.now + ASK_TIMEOUT;
            self.at(time, timed_out);
            let to = (to, lender.incarnation);
            self.send(from.0, to.0, Event::Ask { from, to, organisation, ask: outgoing.request });
        }
    }

    fn ask(&mut self, from: (usize, u64), to: (usize, u64), organisation: usize, ask: LoanRequest) {
        if !self.is_up(to.0, to.1) {
            return;
        }
        let borrower = Peer { instance: self.nodes[from.0].name.clone(), incarnation: from.1 };
        let state = &mut self.nodes[to.0];
        let known = state.view.table.row(&borrower.instance);
        if known.is_none_or(|row| row.incarnation != borrower.incarnation) {
            return;
        }
        let local = state.local(self.now);
        let account = &mut state.accounts[organisation];
        let loan = account.lend(&borrower, &ask, local, state.lease_until);
        if account.is_contested(local) {
            self.urgent(to.0);
        }
        if !ask.returned.is_empty() {
            self.retry_all(to.0, organisation);
        }
        let reply = Event::Reply { from: to, to: from, organisation, sequence: ask.sequence, loan };
        self.send(to.0, from.0, reply);
    }

    fn send(&mut self, from: usize, to: usize, event: Event) {
        let copies = 1 + usize::from(self.random.random_range(0.0..1.0) < self.duplicate);
        for _ in 0..copies {
            if self.random.random_range(0.0..1.0) < self.loss || !self.connected(from, to) {
                continue;
            }
            let mut delay = Duration::from_micros(self.random.random_range(500..3000));
            if self.random.random_range(0.0..1.0) < self.long_delay {
                // Half of them come before the ask is given up, half after.
                let longest = if self.random.random_range(0.0..1.0) < 0.5 { 180 } else { 5000 };
                delay += Duration::from_millis(self.random.random_range(0..longest));
            }
            let time = self.now + delay;
            self.at(time, event.clone());
        }
    }

    fn connected(&self, a: usize, b: usize) -> bool {
        self.cut.contains(&a) == self.cut.contains(&b)
    }

    fn index(&self, name: &str) -> usize {
        self.nodes.iter().position(|node| &*node.name == name).expect("a node of the world")
    }

    fn apply(&mut self, fault: Fault) {
        match fault {
            Fault::Kill(node) => {
                self.nodes[node].running = Running::Dead;
                self.nodes[node].stopped_at = self.now;
                self.nodes[node].inbox.clear();
            }
            Fault::Restart(node) => self.restart(node),
            Fault::Freeze(node) => {
                if self.nodes[node].running == Running::Up {
                    self.nodes[node].running = Running::Frozen;
                    self.nodes[node].stopped_at = self.now;
                }
            }
            Fault::Thaw(node) => {
                if self.nodes[node].running == Running::Frozen {
                    self.nodes[node].running = Running::Up;
                    // What came while the node was frozen is handled at once.
                    for event in std::mem::take(&mut self.nodes[node].inbox) {
                        self.handle(event);
                    }
                }
            }
            Fault::Cut(nodes) => self.cut = nodes,
            Fault::Heal => self.cut.clear(),
            Fault::Loss(part) => self.loss = part,
            Fault::LongDelay(part) => self.long_delay = part,
            Fault::Duplicate(part) => self.duplicate = part,
            Fault::PlatformDown => self.platform_up = false,
            Fault::PlatformUp => self.platform_up = true,
            Fault::Join => {
                let drift = self.random.random_range(-1.0..=1.0) * 0.0005;
                self.add_node(1, drift);
            }
            Fault::Leave(node) => self.nodes[node].leaving = true,
            Fault::Change(figures) => {
                self.organisations[0] = figures;
                let largest = &mut self.largest[0];
                largest.rate_per_s = largest.rate_per_s.max(figures.rate_per_s);
                largest.burst = largest.burst.max(figures.burst);
                for node in 0..self.nodes.len() {
                    let time = self.now + Duration::from_millis(self.random.random_range(0..5000));
                    self.at(time, Event::Adopt { node, figures });
                }
            }
        }
    }

    fn restart(&mut self, node: usize) {
        let local = self.nodes[node].local(self.now);
        let state = &mut self.nodes[node];
        state.running = Running::Up;
        state.incarnation += 1;
        state.accounts = vec![Account::default(); self.organisations.len()];
        state.figures = self.organisations.clone();
        for (account, figures) in state.accounts.iter_mut().zip(&self.organisations) {
            account.set_total(*figures, local);
        }
        state.view = View::default();
        state.lease_until = Duration::ZERO;
        state.waiters.iter_mut().for_each(Vec::clear);
        state.urgent = false;
        state.inbox.clear();
        let incarnation = state.incarnation;
        let time = self.now;
        self.at(time, Event::Plan { node, incarnation });
    }

    /// Section 4: who learns which version, whose lease holds, what is settled, who is evicted.
    fn members(&mut self) {
        let next = self.now + MEMBERS_INTERVAL;
        self.at(next, Event::Members);
        self.learn_versions();
        self.settle();
        for node in 0..self.nodes.len() {
            if self.nodes[node].running == Running::Up {
                self.extend_lease(node);
            }
        }
        self.change_table();
    }

    fn learn_versions(&mut self) {
        for node in 0..self.nodes.len() {
            if self.nodes[node].running != Running::Up {
                continue;
            }
            let newest = self.table.version;
            let held = self.nodes[node].view.table.version;
            let told = self.platform_up
                || (0..self.nodes.len()).any(|other| {
                    self.nodes[other].running == Running::Up
                        && self.connected(node, other)
                        && self.nodes[other].view.table.version == newest
                });
            if !told {
                continue;
            }
            let view = View { table: self.table.clone(), settled: self.settled };
            if held == newest {
                if self.nodes[node].view.settled != self.settled {
                    self.adopt(node, view);
                }
                continue;
            }
            let state = &mut self.nodes[node];
            let local = state.local(self.now);
            let share = view.share(&state.name, state.incarnation);
            let mut fits = true;
            for account in &mut state.accounts {
                fits &= account.prepare_share(share, local);
            }
            if fits {
                self.adopt(node, view);
            }
        }
    }

    fn adopt(&mut self, node: usize, view: View) {
        let now = self.now;
        let state = &mut self.nodes[node];
        let local = state.local(now);
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
        let by_platform = self.platform_up && table.version == self.table.version;
        let holding = table.rows.iter().filter(|row| {
            let other = self.index(&row.instance);
            let other_state = &self.nodes[other];
            other_state.running == Running::Up
                && other_state.incarnation == row.incarnation
                && self.connected(node, other)
                && other_state.view.table.version <= table.version
        });
        if by_platform || holding.count() * 2 > table.rows.len() {
            // The age of the evidence of a majority.
            let age = Duration::from_millis(self.random.random_range(0..1500));
            let state = &mut self.nodes[node];
            // A clock that is fast by the drift ends the term early, a slow one late by 2 ms.
            state.lease_until = state.lease_until.max(state.local(self.now) + T - age);
        }
    }

    fn settle(&mut self) {
        if self.settled {
            return;
        }
        let rows = &self.table.previous_rows;
        let adopted = rows.iter().filter(|row| {
            let node = &self.nodes[self.index(&row.instance)];
            node.incarnation == row.incarnation && node.view.table.version == self.table.version
        });
        let adopted = adopted.count();
        if adopted * 2 > rows.len() && self.majority_at.is_none() {
            self.majority_at = Some(self.now);
        }
        let waited = self
            .majority_at
            .is_some_and(|since| self.now >= since.max(self.committed_at) + T + CLOCK_MARGIN);
        if adopted == rows.len() || waited {
            self.settled = true;
        }
    }

    fn change_table(&mut self) {
        if !self.platform_up || !self.settled {
            return;
        }
        let mut rows = self.table.rows.clone();
        for (index, node) in self.nodes.iter().enumerate() {
            let known = rows.iter().position(|row| row.instance == node.name);
            let gone = node.running != Running::Up && self.now >= node.stopped_at + EVICT_AFTER
                || node.running == Running::Up && self.is_cut_off(index);
            let wants = node.running == Running::Up && !node.leaving;
            match known {
                Some(at) if gone || node.leaving => {
                    rows.remove(at);
                }
                Some(at) if wants && rows[at].incarnation != node.incarnation => {
                    rows[at] = row(node);
                }
                None if wants && !gone => rows.push(row(node)),
                _ => {}
            }
        }
        // One node at least stays, as in a fleet that lives.
        if rows.is_empty() || rows == self.table.rows {
            return;
        }
        let mut table = self.table.next_version(rows);
        table.rows.sort_by(|a, b| a.instance.cmp(&b.instance));
        if table.rows == self.table.rows {
            return;
        }
        self.table = Arc::new(table);
        self.settled = false;
        self.committed_at = self.now;
        self.majority_at = None;
    }

    /// A cut that lasts long enough gets the smaller side evicted.
    fn is_cut_off(&self, node: usize) -> bool {
        let cut_now = self.cut.contains(&node) && self.cut.len() * 2 < self.nodes.len();
        cut_now && self.nodes[node].local(self.now) >= self.nodes[node].lease_until
    }

    /// The parts of all nodes that may admit never exceed the whole.
    fn check_sums(&mut self) {
        for organisation in 0..self.organisations.len() {
            let (mut rate_per_s, mut burst) = (0.0, 0.0);
            for node in &mut self.nodes {
                let local = node.local(self.now);
                if node.running != Running::Up || local >= node.lease_until {
                    continue;
                }
                let state = node.accounts[organisation].snapshot(local);
                rate_per_s += state.usable.rate_per_s;
                burst += state.usable.burst;
                if state.tokens > state.usable.burst + 1e-6 {
                    let tokens = state.tokens;
                    self.violation.get_or_insert(format!("{} holds {tokens} tokens", node.name));
                }
            }
            let whole = self.largest[organisation];
            if rate_per_s > whole.rate_per_s * (1.0 + 1e-9) || burst > whole.burst * (1.0 + 1e-9) {
                let at = self.now;
                self.violation.get_or_insert(format!(
                    "at {at:?} the nodes hold rate {rate_per_s} and burst {burst} of {whole:?}"
                ));
            }
        }
    }

    /// Admissions in every window are at most burst + rate * window: a bucket that is fed with
    /// them and starts full never falls below zero.
    fn check_windows(&mut self) {
        for (outcome, whole) in self.outcomes.iter().zip(&self.largest) {
            let (mut tokens, mut last) = (whole.burst, Duration::ZERO);
            for time in &outcome.admitted {
                tokens += (*time - last).as_secs_f64() * whole.rate_per_s;
                tokens = tokens.min(whole.burst) - 1.0;
                last = *time;
                if tokens < -1e-6 {
                    self.violation.get_or_insert(format!(
                        "a window that ends at {time:?} holds {} admissions too many",
                        -tokens
                    ));
                    break;
                }
            }
        }
    }

    /// Part of the requests that one bucket for the whole fleet would have admitted, and that
    /// were refused here.
    pub fn refused_within_rate(&self, organisation: usize) -> f64 {
        let whole = self.organisations[organisation];
        let outcome = &self.outcomes[organisation];
        let (mut tokens, mut last, mut ideal) = (whole.burst, Duration::ZERO, 0usize);
        for time in &outcome.offered {
            tokens += (*time - last).as_secs_f64() * whole.rate_per_s;
            tokens = tokens.min(whole.burst);
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

fn addressee(event: &Event) -> Option<usize> {
    match event {
        Event::Plan { node, .. }
        | Event::Urgent { node, .. }
        | Event::Retry { node, .. }
        | Event::GiveBack { node, .. }
        | Event::Adopt { node, .. } => Some(*node),
        Event::Ask { to, .. } | Event::Reply { to, .. } => Some(to.0),
        Event::TimedOut { node, .. } => Some(node.0),
        _ => None,
    }
}

fn row(node: &Node) -> Row {
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
