//! Simulation of the membership decisions of many nodes, with a virtual clock and a fake network
//! and platform.
#![allow(dead_code)]

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use hibiscusdoor::{
    membership::{
        Action, Adoption, Event, Identity, Membership, Row, RowState, TICK_INTERVAL, Table, View,
    },
    names::Revision,
    peers::proto::{EvidenceReply, EvidenceRequest},
};
use prost::Message as _;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use uuid::Uuid;

/// Time after which a call to the fake platform fails without an answer.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which a leaving process continues to pull after a table without its row has settled.
const PULL_TIME_AFTER_LEAVE: Duration = Duration::from_millis(500);
/// Number of keys per service for which the owners are checked.
const SAMPLED_KEYS_PER_SERVICE: u128 = 4;
/// Longest time from the loss of a node to a gap that it causes; its lease has expired by then.
const MAX_LOSS_TO_GAP: Duration = Duration::from_secs(6);
/// Sum of shares from which the whole rate counts as in use; allows for rounding.
const FULL_SHARE: f64 = 1.0 - 1e-9;

/// A fault, or another outside change, of the simulation.
#[derive(Debug, Clone, PartialEq)]
pub enum Fault {
    Kill(usize),
    /// Ends the process, if it is running, and starts a new one of the same instance.
    Restart(usize),
    Pause(usize),
    Resume(usize),
    /// Drops all messages between the nodes of the set and the others.
    Cut(BTreeSet<usize>),
    HealCut,
    /// Makes the platform unreachable for these nodes.
    CutPlatform(BTreeSet<usize>),
    /// Whether the platform is down and answers no call.
    PlatformDown(bool),
    /// Longest delay of a platform call in one direction.
    PlatformDelay(Duration),
    /// Fraction of the successful writes that lose their answer.
    LoseWriteAnswers(f64),
    /// Fraction of the messages between nodes that are lost.
    MessageLoss(f64),
    /// Longest delay of a message between nodes.
    MessageDelay(Duration),
    /// The node shuts down in an orderly way.
    Leave(usize),
    /// The upstream drains.
    Drain(usize),
    /// The upstream announces another service.
    Announce(usize, String),
    /// The platform accepts a new configuration revision.
    NewRevision,
}

/// Properties of a simulated node.
#[derive(Debug, Clone)]
pub struct NodeSpec {
    pub zone: String,
    pub service: String,
    pub weight: u32,
    /// Rate of the node's clock relative to true time.
    pub clock_rate: f64,
    pub clock_offset: Duration,
}

#[derive(Debug)]
struct Process {
    incarnation: u64,
    membership: Membership,
    revision: Revision,
    /// Newest revision that a pull of the configuration is running for.
    adopting_revision: Revision,
    share: f64,
    /// Indices of the sampled keys that the process owns.
    owned: Vec<usize>,
    version: u64,
    is_settled: bool,
    left_at: Option<Duration>,
}

#[derive(Debug)]
struct Node {
    instance: Arc<str>,
    address: SocketAddr,
    spec: NodeSpec,
    state: RowState,
    is_leaving: bool,
    process: Option<Process>,
    is_paused: bool,
    /// Deliveries that arrived while the process was paused.
    deferred: Vec<Delivery>,
}

#[derive(Debug, Default)]
struct FakePlatform {
    object: Option<(u64, Table)>,
    revision: Revision,
    is_down: bool,
    max_delay: Duration,
    write_answer_loss: f64,
    cut_off: BTreeSet<usize>,
}

#[derive(Debug)]
enum Delivery {
    Tick,
    PullRequest { from: usize, from_incarnation: u64, sent_at: Duration, request: EvidenceRequest },
    PullReply { sent_at: Duration, reply: EvidenceReply },
    MembershipEvent(Event),
    AdoptRevision(Revision),
}

#[derive(Debug)]
enum ScheduledEvent {
    /// A delivery to a process.
    Node {
        node: usize,
        incarnation: u64,
        delivery: Delivery,
    },
    /// The arrival of a call at the platform.
    Platform {
        node: usize,
        incarnation: u64,
        /// Time of the call by the node's clock.
        began: Duration,
        /// Time of the call by the clock of the simulation.
        sent: Duration,
        action: Action,
    },
    Fault(Fault),
}

/// A period in which the running nodes with a lease did not hold the whole rate.
#[derive(Debug, Clone, Copy)]
pub struct Gap {
    /// When the last node before the gap was lost: killed, paused or cut off.
    pub lost_at: Duration,
    pub from: Duration,
    pub to: Option<Duration>,
}

/// Measurements of a run.
#[derive(Debug, Default, Clone)]
pub struct Figures {
    /// Times of the calls to the platform, without watches.
    pub platform_calls: Vec<Duration>,
    /// Times of the writes that the platform accepted.
    pub platform_writes: Vec<Duration>,
    pub peer_bytes: u64,
    pub peer_messages: u64,
    /// Periods in which the running nodes with a lease did not hold the whole rate.
    pub gaps: Vec<Gap>,
    /// Largest sum of the shares in use.
    pub max_sum: f64,
    /// Start and end of the periods in which a running process with a share had no lease.
    pub without_lease: Vec<(Duration, Duration)>,
}

/// The simulation of many nodes on a virtual clock.
pub struct World {
    pub now: Duration,
    pub figures: Figures,
    random: ChaCha8Rng,
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    scheduled_events: BTreeMap<u64, ScheduledEvent>,
    last_event_id: u64,
    nodes: Vec<Node>,
    platform: FakePlatform,
    cut_nodes: BTreeSet<usize>,
    message_loss: f64,
    max_delay: Duration,
    /// The sampled keys and the services that they belong to.
    keys: Vec<(Arc<str>, Uuid)>,
    next_incarnation: u64,
    /// When a majority of the rows was first observed to hold each revision.
    majority_held_at: BTreeMap<Revision, Duration>,
    table_changed_at: Duration,
    /// When a node was last killed, paused or cut off.
    lost_at: Option<Duration>,
    is_counting_gaps: bool,
}

impl World {
    pub fn new(seed: u64) -> Self {
        Self {
            now: Duration::ZERO,
            figures: Figures::default(),
            random: ChaCha8Rng::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            scheduled_events: BTreeMap::new(),
            last_event_id: 0,
            nodes: Vec::new(),
            platform: FakePlatform {
                max_delay: Duration::from_millis(5),
                ..FakePlatform::default()
            },
            cut_nodes: BTreeSet::new(),
            message_loss: 0.0,
            max_delay: Duration::from_millis(3),
            keys: Vec::new(),
            next_incarnation: 1,
            majority_held_at: BTreeMap::new(),
            table_changed_at: Duration::ZERO,
            lost_at: None,
            is_counting_gaps: false,
        }
    }

    pub fn add_node(&mut self, spec: NodeSpec) -> usize {
        let index = self.nodes.len();
        let service: Arc<str> = spec.service.as_str().into();
        if !self.keys.iter().any(|(known, _)| *known == service) {
            for number in 0..SAMPLED_KEYS_PER_SERVICE {
                self.keys.push((service.clone(), Uuid::from_u128(number * 0x9e37_79b9)));
            }
        }
        let port = u16::try_from(20_000 + index).expect("few nodes");
        self.nodes.push(Node {
            instance: format!("i{index:02}").into(),
            address: SocketAddr::from(([127, 0, 0, 1], port)),
            spec,
            state: RowState::Active,
            is_leaving: false,
            process: None,
            is_paused: false,
            deferred: Vec::new(),
        });
        self.start_process(index);
        index
    }

    pub fn schedule(&mut self, at: Duration, fault: Fault) {
        self.push(at, ScheduledEvent::Fault(fault));
    }

    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    pub fn zone(&self, index: usize) -> &str {
        &self.nodes[index].spec.zone
    }

    pub fn is_running(&self, index: usize) -> bool {
        self.nodes[index].process.is_some()
    }

    pub fn index_of(&self, instance: &str) -> Option<usize> {
        self.nodes.iter().position(|node| &*node.instance == instance)
    }

    pub fn platform_rows(&self) -> usize {
        self.platform.object.as_ref().map_or(0, |(_, table)| table.rows.len())
    }

    pub fn platform_version(&self) -> u64 {
        self.platform.object.as_ref().map_or(0, |(_, table)| table.version)
    }

    /// Number of running processes without a row in the platform's table.
    pub fn observers(&self) -> usize {
        let rows = self.platform.object.as_ref().map_or(&[][..], |(_, table)| &table.rows);
        let processes = self.nodes.iter().filter_map(|node| Some((node, node.process.as_ref()?)));
        let without_row = processes.filter(|(node, process)| {
            !rows
                .iter()
                .any(|row| row.instance == node.instance && row.incarnation == process.incarnation)
        });
        without_row.count()
    }

    /// Number of running processes with a valid key lease and the newest revision.
    pub fn accepting_nodes(&self) -> usize {
        let accepts = |index: &usize| {
            let process = self.nodes[*index].process.as_ref();
            process.is_some_and(|process| {
                process.revision == self.platform.revision
                    && self.local_time(*index) < process.membership.keys_until()
            })
        };
        (0..self.nodes.len()).filter(accepts).count()
    }

    /// Number of rows in the platform's table that accept no new requests.
    pub fn leaving_rows(&self) -> usize {
        let rows = self.platform.object.as_ref().map_or(&[][..], |(_, table)| &table.rows);
        rows.iter().filter(|row| row.state == RowState::Leaving).count()
    }

    /// Number of nodes with a valid row lease.
    pub fn nodes_with_lease(&self) -> usize {
        (0..self.nodes.len()).filter(|index| self.has_lease(*index)).count()
    }

    pub fn share_in_use(&self) -> f64 {
        let with_lease = (0..self.nodes.len()).filter(|index| self.has_lease(*index));
        with_lease.filter_map(|index| self.nodes[index].process.as_ref()).map(|it| it.share).sum()
    }

    /// Runs until a time; returns the first violated invariant as an error.
    pub fn run_until(&mut self, end: Duration) -> Result<(), String> {
        while let Some(Reverse((at, _))) = self.queue.peek() {
            if *at > end {
                break;
            }
            let Some(Reverse((at, id))) = self.queue.pop() else { break };
            let Some(scheduled) = self.scheduled_events.remove(&id) else { continue };
            if self.has_process_without_lease() {
                self.figures.without_lease.push((self.now, at));
            }
            self.now = at;
            self.process_event(scheduled).map_err(|error| format!("at {at:?}: {error}"))?;
        }
        self.now = end;
        Ok(())
    }

    fn has_process_without_lease(&self) -> bool {
        (0..self.nodes.len()).any(|index| {
            let node = &self.nodes[index];
            node.process.as_ref().is_some_and(|process| process.share > 0.0)
                && !node.is_paused
                && !self.has_lease(index)
        })
    }

    /// Returns the first difference from a healed fleet, or `None` if the fleet has healed.
    pub fn find_unhealed(&self) -> Option<String> {
        let Some((_, table)) = &self.platform.object else {
            return Some("no table at the platform".to_owned());
        };
        let expected: Vec<(&str, u64)> = self
            .nodes
            .iter()
            .filter(|node| !node.is_leaving)
            .filter_map(|node| Some((&*node.instance, node.process.as_ref()?.incarnation)))
            .collect();
        let found: Vec<(&str, u64)> =
            table.rows.iter().map(|row| (&*row.instance, row.incarnation)).collect();
        if expected != found {
            return Some(format!("expected the rows {expected:?}, found {found:?}"));
        }
        for (index, node) in self.nodes.iter().enumerate() {
            let Some(process) = &node.process else { continue };
            let healed = (table.version, true, true);
            let has = (process.version, process.is_settled, self.has_lease(index));
            if has != healed {
                return Some(format!(
                    "{}: expected version, settled, lease {healed:?}, found {has:?}",
                    node.instance
                ));
            }
            if process.membership.keys_until() <= self.local_time(index) {
                return Some(format!("{}: no lease to accept organisation keys", node.instance));
            }
        }
        let sum = self.share_in_use();
        (sum < FULL_SHARE).then(|| format!("only {sum} of the rate is in use"))
    }

    fn process_event(&mut self, scheduled: ScheduledEvent) -> Result<(), String> {
        match scheduled {
            ScheduledEvent::Fault(fault) => {
                if matches!(fault, Fault::Kill(_) | Fault::Pause(_) | Fault::Cut(_)) {
                    self.lost_at = Some(self.now);
                    self.is_counting_gaps = true;
                }
                self.apply_fault(fault)?;
                self.check_sums()
            }
            ScheduledEvent::Node { node, incarnation, delivery } => {
                let target = &mut self.nodes[node];
                let current = target.process.as_ref().map(|process| process.incarnation);
                if current != Some(incarnation) {
                    return Ok(());
                }
                if target.is_paused {
                    target.deferred.push(delivery);
                    return Ok(());
                }
                self.deliver(node, delivery)
            }
            ScheduledEvent::Platform { node, incarnation, began, sent, action } => {
                self.handle_platform_call(node, incarnation, began, sent, action);
                Ok(())
            }
        }
    }

    fn local_time(&self, index: usize) -> Duration {
        let spec = &self.nodes[index].spec;
        spec.clock_offset + self.now.mul_f64(spec.clock_rate)
    }

    fn has_lease(&self, index: usize) -> bool {
        let process = self.nodes[index].process.as_ref();
        process.is_some_and(|process| self.local_time(index) < process.membership.row_until())
    }

    fn push(&mut self, at: Duration, scheduled: ScheduledEvent) {
        self.last_event_id += 1;
        self.scheduled_events.insert(self.last_event_id, scheduled);
        self.queue.push(Reverse((at, self.last_event_id)));
    }

    fn push_delivery(&mut self, at: Duration, node: usize, incarnation: u64, delivery: Delivery) {
        self.push(at, ScheduledEvent::Node { node, incarnation, delivery });
    }

    fn start_process(&mut self, index: usize) {
        let incarnation = self.next_incarnation;
        self.next_incarnation += 1;
        let seed = self.random.random();
        let node = &mut self.nodes[index];
        let identity = Identity {
            instance: node.instance.clone(),
            incarnation,
            zone: node.spec.zone.as_str().into(),
            shard: "main".into(),
            peer_address: node.address,
        };
        node.is_paused = false;
        node.deferred.clear();
        node.is_leaving = false;
        node.process = Some(Process {
            incarnation,
            membership: Membership::new(identity, Adoption::Immediate, seed),
            revision: 0,
            adopting_revision: 0,
            share: 0.0,
            owned: Vec::new(),
            version: 0,
            is_settled: true,
            left_at: None,
        });
        let event = Event::OwnRowSet(Some(self.requested_row(index, incarnation)));
        let start = self.now + self.random_below(Duration::from_millis(50));
        self.push_delivery(start, index, incarnation, Delivery::MembershipEvent(event));
        self.push_delivery(start, index, incarnation, Delivery::Tick);
    }

    fn requested_row(&self, index: usize, incarnation: u64) -> Row {
        let node = &self.nodes[index];
        Row {
            instance: node.instance.clone(),
            incarnation,
            zone: node.spec.zone.as_str().into(),
            service: Some(node.spec.service.as_str().into()),
            peer_address: node.address,
            weight: node.spec.weight,
            state: node.state,
        }
    }

    fn random_below(&mut self, limit: Duration) -> Duration {
        limit.mul_f64(self.random.random_range(0.0..1.0))
    }

    fn stop_process(&mut self, index: usize) {
        self.nodes[index].process = None;
        self.nodes[index].deferred.clear();
        self.nodes[index].is_paused = false;
    }

    fn send_requested_row(&mut self, index: usize) -> Result<(), String> {
        let node = &self.nodes[index];
        let Some(process) = &node.process else { return Ok(()) };
        let incarnation = process.incarnation;
        let row = (!node.is_leaving).then(|| self.requested_row(index, incarnation));
        let delivery = Delivery::MembershipEvent(Event::OwnRowSet(row));
        self.process_event(ScheduledEvent::Node { node: index, incarnation, delivery })
    }

    fn apply_fault(&mut self, fault: Fault) -> Result<(), String> {
        match fault {
            Fault::Kill(index) => self.stop_process(index),
            Fault::Restart(index) => {
                self.stop_process(index);
                self.start_process(index);
            }
            Fault::Pause(index) => self.nodes[index].is_paused = self.is_running(index),
            Fault::Resume(index) => {
                self.nodes[index].is_paused = false;
                for delivery in std::mem::take(&mut self.nodes[index].deferred) {
                    if self.is_running(index) {
                        self.deliver(index, delivery)?;
                    }
                }
            }
            Fault::Cut(nodes) => self.cut_nodes = nodes,
            Fault::HealCut => self.cut_nodes.clear(),
            Fault::CutPlatform(nodes) => self.platform.cut_off = nodes,
            Fault::PlatformDown(is_down) => self.platform.is_down = is_down,
            Fault::PlatformDelay(delay) => self.platform.max_delay = delay,
            Fault::LoseWriteAnswers(fraction) => self.platform.write_answer_loss = fraction,
            Fault::MessageLoss(fraction) => self.message_loss = fraction,
            Fault::MessageDelay(delay) => self.max_delay = delay,
            Fault::Leave(index) => {
                self.nodes[index].is_leaving = self.is_running(index);
                return self.send_requested_row(index);
            }
            Fault::Drain(index) => {
                self.nodes[index].state = RowState::Leaving;
                return self.send_requested_row(index);
            }
            Fault::Announce(index, service) => {
                self.nodes[index].spec.service = service;
                self.nodes[index].state = RowState::Active;
                return self.send_requested_row(index);
            }
            Fault::NewRevision => {
                self.platform.revision += 1;
                let revision = self.platform.revision;
                for index in 0..self.nodes.len() {
                    self.deliver_to_reader(index, Delivery::AdoptRevision(revision));
                }
            }
        }
        Ok(())
    }

    /// Delivers the result of a watch if the node is a reader and can reach the platform.
    fn deliver_to_reader(&mut self, index: usize, delivery: Delivery) {
        let local = self.local_time(index);
        let is_cut = self.platform.is_down || self.platform.cut_off.contains(&index);
        let delay = self.platform_delay();
        let Some(process) = &self.nodes[index].process else { return };
        if !is_cut && process.membership.is_reader(local) {
            let incarnation = process.incarnation;
            self.push_delivery(self.now + delay, index, incarnation, delivery);
        }
    }

    fn platform_delay(&mut self) -> Duration {
        let limit = self.platform.max_delay;
        self.random_below(limit)
    }

    fn deliver(&mut self, index: usize, delivery: Delivery) -> Result<(), String> {
        let local = self.local_time(index);
        let Some(process) = &mut self.nodes[index].process else { return Ok(()) };
        let incarnation = process.incarnation;
        process.membership.set_own_state(process.revision, 10);
        let mut actions = Vec::new();
        let is_tick = matches!(delivery, Delivery::Tick);
        match delivery {
            Delivery::Tick => {
                actions = process.membership.handle(local, Event::Tick);
                self.push_delivery(self.now + TICK_INTERVAL, index, incarnation, Delivery::Tick);
            }
            Delivery::PullRequest { from, from_incarnation, sent_at, request } => {
                let (reply, answer_actions) = process.membership.answer_pull(local, &request);
                actions = answer_actions;
                self.figures.peer_bytes += reply.encoded_len() as u64;
                self.figures.peer_messages += 1;
                if let Some(delay) = self.message_delay(index, from) {
                    let delivery = Delivery::PullReply { sent_at, reply };
                    self.push_delivery(self.now + delay, from, from_incarnation, delivery);
                }
            }
            Delivery::PullReply { sent_at, reply } => {
                actions =
                    process.membership.handle(local, Event::EvidenceReceived { sent_at, reply });
            }
            Delivery::MembershipEvent(event) => actions = process.membership.handle(local, event),
            Delivery::AdoptRevision(revision) => {
                process.revision = process.revision.max(revision);
                process.membership.set_own_state(process.revision, 10);
            }
        }
        self.carry_out_actions(index, local, incarnation, actions);
        self.schedule_revision_adoption(index, incarnation);
        self.check_invariants(index, is_tick)
    }

    /// Simulates the configuration actor, which pulls a newer revision from a peer.
    fn schedule_revision_adoption(&mut self, index: usize, incarnation: u64) {
        let Some(process) = &mut self.nodes[index].process else { return };
        if process.version == 0 || process.adopting_revision > process.revision {
            return;
        }
        let newest = process.membership.newest_revision();
        if newest > process.revision {
            process.adopting_revision = newest;
            let delay = self.random_below(Duration::from_millis(300));
            self.push_delivery(
                self.now + delay,
                index,
                incarnation,
                Delivery::AdoptRevision(newest),
            );
        }
    }

    fn message_delay(&mut self, from: usize, to: usize) -> Option<Duration> {
        let is_cut = self.cut_nodes.contains(&from) != self.cut_nodes.contains(&to);
        let is_lost = self.random.random_bool(self.message_loss);
        let limit = self.max_delay;
        let delay = self.random_below(limit);
        (!is_cut && !is_lost).then_some(delay)
    }

    fn carry_out_actions(
        &mut self,
        index: usize,
        local: Duration,
        incarnation: u64,
        actions: Vec<Action>,
    ) {
        for action in actions {
            match action {
                Action::PullEvidence { address, request } => {
                    self.figures.peer_bytes += request.encoded_len() as u64;
                    self.figures.peer_messages += 1;
                    let target = self.nodes.iter().position(|node| node.address == address);
                    let Some(target) = target else { continue };
                    let Some(delay) = self.message_delay(index, target) else { continue };
                    let Some(process) = &self.nodes[target].process else { continue };
                    let delivery = Delivery::PullRequest {
                        from: index,
                        from_incarnation: incarnation,
                        sent_at: local,
                        request,
                    };
                    let to_incarnation = process.incarnation;
                    self.push_delivery(self.now + delay, target, to_incarnation, delivery);
                }
                action => {
                    self.figures.platform_calls.push(self.now);
                    let delay = self.platform_delay();
                    let scheduled = ScheduledEvent::Platform {
                        node: index,
                        incarnation,
                        began: local,
                        sent: self.now,
                        action,
                    };
                    self.push(self.now + delay, scheduled);
                }
            }
        }
    }

    fn handle_platform_call(
        &mut self,
        node: usize,
        incarnation: u64,
        began: Duration,
        sent: Duration,
        action: Action,
    ) {
        let is_cut = self.platform.is_down || self.platform.cut_off.contains(&node);
        let failure = match &action {
            Action::ReadConfiguration => Event::ConfigurationFailed,
            Action::WriteTable { table, .. } => {
                Event::WriteUnconfirmed { change_id: table.change_id }
            }
            _ => Event::TableCallFailed,
        };
        let mut event = None;
        if !is_cut {
            event = Some(match action {
                Action::ReadTable => {
                    Event::TableRead { began, found: self.platform.object.clone() }
                }
                Action::ReadConfiguration => {
                    let revision = self.platform.revision;
                    let delay = self.platform_delay();
                    let delivery = Delivery::AdoptRevision(revision);
                    self.push_delivery(self.now + delay, node, incarnation, delivery);
                    Event::ConfigurationRead { began, revision }
                }
                Action::WriteTable { table, if_version } => {
                    self.write_table(table, if_version, began)
                }
                Action::PullEvidence { .. } => return,
            });
        }
        let answer_at = self.now + self.platform_delay();
        let is_late = answer_at > sent + PLATFORM_TIMEOUT;
        let is_lost = matches!(event, Some(Event::TableWritten { .. }))
            && self.random.random_bool(self.platform.write_answer_loss);
        match event {
            Some(event) if !is_late && !is_lost => {
                self.push_delivery(answer_at, node, incarnation, Delivery::MembershipEvent(event));
            }
            // The platform may receive the call after the caller's timeout.
            _ => {
                let at = (sent + PLATFORM_TIMEOUT).max(self.now);
                self.push_delivery(at, node, incarnation, Delivery::MembershipEvent(failure));
            }
        }
    }

    fn write_table(&mut self, table: Table, if_version: u64, began: Duration) -> Event {
        let current = self.platform.object.as_ref().map_or(0, |(version, _)| *version);
        if current != if_version {
            return Event::WriteConflict;
        }
        self.platform.object = Some((current + 1, table.clone()));
        self.figures.platform_writes.push(self.now);
        self.table_changed_at = self.now;
        for index in 0..self.nodes.len() {
            let event =
                Event::TableObserved { began: self.local_time(index), table: table.clone() };
            self.deliver_to_reader(index, Delivery::MembershipEvent(event));
        }
        Event::TableWritten { began, table }
    }

    /// Checks the invariants after an event. That is often enough, since leases grow only in
    /// events.
    fn check_invariants(&mut self, index: usize, is_tick: bool) -> Result<(), String> {
        let now = self.now;
        let keys = std::mem::take(&mut self.keys);
        let node = &mut self.nodes[index];
        if let Some(process) = &mut node.process {
            let view = process.membership.view();
            if view.table.version < process.version {
                return Err(format!(
                    "{}: the table version decreased from {} to {}",
                    node.instance, process.version, view.table.version
                ));
            }
            if (view.table.version, view.is_settled) != (process.version, process.is_settled) {
                process.version = view.table.version;
                process.is_settled = view.is_settled;
                process.share = view.share(&node.instance, process.incarnation);
                process.owned = owned_keys(&view, &node.instance, process.incarnation, &keys);
            }
            if node.is_leaving && process.membership.has_left() {
                let left_at = *process.left_at.get_or_insert(now);
                if now >= left_at + PULL_TIME_AFTER_LEAVE {
                    node.process = None;
                }
            }
        }
        self.keys = keys;
        self.check_sums()?;
        match is_tick {
            true => self.check_revisions(),
            false => Ok(()),
        }
    }

    fn check_sums(&mut self) -> Result<(), String> {
        let sum = self.share_in_use();
        self.figures.max_sum = self.figures.max_sum.max(sum);
        if sum > 1.0 + 1e-9 {
            return Err(format!(
                "the shares in use add up to {sum}, expected at most 1: {}",
                self.describe_processes()
            ));
        }
        self.update_gaps();
        let mut owners = vec![0; self.keys.len()];
        for index in 0..self.nodes.len() {
            if let Some(process) = &self.nodes[index].process
                && !process.owned.is_empty()
                && self.has_lease(index)
            {
                for key in &process.owned {
                    owners[*key] += 1;
                }
            }
        }
        match owners.iter().position(|count| *count > 1) {
            Some(key) => Err(format!("key {key} has two owners: {}", self.describe_processes())),
            None => Ok(()),
        }
    }

    fn update_gaps(&mut self) {
        if !self.is_counting_gaps {
            return;
        }
        let acting = (0..self.nodes.len())
            .filter(|index| !self.nodes[*index].is_paused && self.has_lease(*index));
        let sum: f64 =
            acting.filter_map(|index| self.nodes[index].process.as_ref()).map(|it| it.share).sum();
        let open = self.figures.gaps.last_mut().filter(|gap| gap.to.is_none());
        match (open, sum >= FULL_SHARE) {
            (Some(gap), true) => gap.to = Some(self.now),
            (None, false) => {
                let lost_at = self.lost_at.take().filter(|at| self.now < *at + MAX_LOSS_TO_GAP);
                let lost_at = lost_at.unwrap_or(self.now);
                self.figures.gaps.push(Gap { lost_at, from: self.now, to: None });
            }
            _ => {}
        }
    }

    /// Checks that no node accepts organisation keys of an older revision once a majority has held
    /// a newer one for the lease term (4 s) and 0.5 s more, which covers the drift of the clocks.
    fn check_revisions(&mut self) -> Result<(), String> {
        let Some((_, table)) = &self.platform.object else { return Ok(()) };
        let held: Vec<Revision> = table
            .rows
            .iter()
            .filter_map(|row| self.nodes.iter().find(|node| node.instance == row.instance))
            .map(|node| node.process.as_ref().map_or(0, |process| process.revision))
            .collect();
        for revision in 1..=self.platform.revision {
            let holders = held.iter().filter(|held| **held >= revision).count();
            if holders > held.len() / 2 {
                self.majority_held_at.entry(revision).or_insert(self.now);
            }
        }
        let limit = Duration::from_millis(4500);
        // A new table may change which rows form a majority, so the check waits until the table has
        // not changed for a while.
        if self.now < self.table_changed_at + 2 * limit {
            self.majority_held_at.clear();
            return Ok(());
        }
        for (index, node) in self.nodes.iter().enumerate() {
            let Some(process) = &node.process else { continue };
            if self.local_time(index) >= process.membership.keys_until() {
                continue;
            }
            let newer = self.majority_held_at.range(process.revision + 1..).next();
            if let Some((revision, since)) = newer
                && self.now > *since + limit
            {
                return Err(format!(
                    "{} accepts organisation keys of revision {} though a majority has held {revision} since {since:?}",
                    node.instance, process.revision
                ));
            }
        }
        Ok(())
    }

    fn describe_processes(&self) -> String {
        let processes = self.nodes.iter().enumerate().filter_map(|(index, node)| {
            let process = node.process.as_ref()?;
            Some(format!(
                "{}.{} version {} settled {} share {:.3} lease {}",
                node.instance,
                process.incarnation,
                process.version,
                process.is_settled,
                process.share,
                self.has_lease(index),
            ))
        });
        processes.collect::<Vec<_>>().join("; ")
    }
}

fn owned_keys(
    view: &View,
    instance: &str,
    incarnation: u64,
    keys: &[(Arc<str>, Uuid)],
) -> Vec<usize> {
    let is_own = |row: &Row| &*row.instance == instance && row.incarnation == incarnation;
    let owned = keys
        .iter()
        .enumerate()
        .filter(|(_, (service, key))| view.owner(service, *key).is_some_and(is_own));
    owned.map(|(index, _)| index).collect()
}
