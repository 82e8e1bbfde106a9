//! Membership decisions of many nodes on a virtual clock, with a fake network and platform.
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

/// Time that a caller of the fake platform waits for an answer.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);
/// Time that a process goes on pulling after its row is out of a settled table.
const LEAVE_NOTICE: Duration = Duration::from_millis(500);
/// Keys whose owners are checked, for each service.
const SAMPLED_KEYS: u128 = 4;
/// Longest time from the loss of a node to the end of its lease.
const LOSS_SHOWS_WITHIN: Duration = Duration::from_secs(6);
const WHOLE: f64 = 1.0 - 1e-9;

/// A change from outside.
#[derive(Debug, Clone, PartialEq)]
pub enum Fault {
    Kill(usize),
    /// Ends the process, if it runs, and starts another under the same name.
    Restart(usize),
    Pause(usize),
    Resume(usize),
    /// Cuts all messages between the nodes of the set and the others.
    Cut(BTreeSet<usize>),
    HealCut,
    /// Cuts nodes off from the platform.
    CutPlatform(BTreeSet<usize>),
    /// The platform answers nothing.
    PlatformDown(bool),
    /// Longest delay of a platform call in one direction.
    PlatformDelay(Duration),
    /// Part of the writes whose answers are lost.
    LoseAnswers(f64),
    /// Part of the messages between nodes that are lost.
    Loss(f64),
    /// Longest delay of a message between nodes.
    Delay(Duration),
    /// The node leaves in an orderly way.
    Leave(usize),
    /// The upstream drains.
    Drain(usize),
    /// The upstream announces another service.
    Announce(usize, String),
    /// A new configuration revision is accepted.
    Revision,
}

/// One node to simulate.
#[derive(Debug, Clone)]
pub struct NodeSpec {
    pub zone: String,
    pub service: String,
    pub weight: u32,
    /// Speed of its clock against the true time.
    pub clock_rate: f64,
    pub clock_offset: Duration,
}

#[derive(Debug)]
struct Process {
    incarnation: u64,
    membership: Membership,
    revision: Revision,
    adopting: Revision,
    share: f64,
    /// Indices of the sampled keys that the process owns.
    owned: Vec<usize>,
    version: u64,
    settled: bool,
    has_left_at: Option<Duration>,
}

#[derive(Debug)]
struct Node {
    instance: Arc<str>,
    address: SocketAddr,
    spec: NodeSpec,
    state: RowState,
    leaving: bool,
    process: Option<Process>,
    paused: bool,
    held: Vec<Item>,
}

#[derive(Debug, Default)]
struct FakePlatform {
    object: Option<(u64, Table)>,
    revision: Revision,
    is_down: bool,
    max_delay: Duration,
    lose_answers: f64,
    cut_off: BTreeSet<usize>,
}

#[derive(Debug)]
enum Item {
    Tick,
    Asked { from: usize, from_incarnation: u64, sent_at: Duration, request: EvidenceRequest },
    Answered { sent_at: Duration, reply: EvidenceReply },
    Happened(Event),
    AdoptRevision(Revision),
}

#[derive(Debug)]
enum Entry {
    /// Something reaches a process.
    Node {
        node: usize,
        incarnation: u64,
        item: Item,
    },
    /// A call reaches the platform.
    Platform {
        node: usize,
        incarnation: u64,
        began: Duration,
        sent: Duration,
        action: Action,
    },
    Fault(Fault),
}

/// A time in which a part of the rate was in use by no node that could act.
#[derive(Debug, Clone, Copy)]
pub struct Gap {
    /// When the last node before it was lost, by death, pause or cut.
    pub lost_at: Duration,
    pub from: Duration,
    pub to: Option<Duration>,
}

/// Figures of a run.
#[derive(Debug, Default, Clone)]
pub struct Figures {
    /// When calls were made to the platform, a watch not counted.
    pub platform_calls: Vec<Duration>,
    /// When the platform accepted writes.
    pub platform_writes: Vec<Duration>,
    pub peer_bytes: u64,
    pub peer_messages: u64,
    /// Times in which a part of the rate was in use by no node that could act.
    pub gaps: Vec<Gap>,
    pub max_sum: f64,
    /// Times, with their ends, in which a running process with a share had no lease.
    pub without_lease: Vec<(Duration, Duration)>,
}

/// Many nodes on a virtual clock.
pub struct World {
    pub now: Duration,
    pub figures: Figures,
    random: ChaCha8Rng,
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    entries: BTreeMap<u64, Entry>,
    next_entry: u64,
    nodes: Vec<Node>,
    platform: FakePlatform,
    cut: BTreeSet<usize>,
    loss: f64,
    max_delay: Duration,
    keys: Vec<(Arc<str>, Uuid)>,
    next_incarnation: u64,
    /// When a majority of the rows was first seen to hold each revision.
    majority_holds: BTreeMap<Revision, Duration>,
    table_changed_at: Duration,
    lost_at: Option<Duration>,
    counts_gaps: bool,
}

impl World {
    pub fn new(seed: u64) -> Self {
        Self {
            now: Duration::ZERO,
            figures: Figures::default(),
            random: ChaCha8Rng::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            entries: BTreeMap::new(),
            next_entry: 0,
            nodes: Vec::new(),
            platform: FakePlatform {
                max_delay: Duration::from_millis(5),
                ..FakePlatform::default()
            },
            cut: BTreeSet::new(),
            loss: 0.0,
            max_delay: Duration::from_millis(3),
            keys: Vec::new(),
            next_incarnation: 1,
            majority_holds: BTreeMap::new(),
            table_changed_at: Duration::ZERO,
            lost_at: None,
            counts_gaps: false,
        }
    }

    pub fn add_node(&mut self, spec: NodeSpec) -> usize {
        let index = self.nodes.len();
        let service: Arc<str> = spec.service.as_str().into();
        if !self.keys.iter().any(|(known, _)| *known == service) {
            for number in 0..SAMPLED_KEYS {
                self.keys.push((service.clone(), Uuid::from_u128(number * 0x9e37_79b9)));
            }
        }
        let port = u16::try_from(20_000 + index).expect("few nodes");
        self.nodes.push(Node {
            instance: format!("i{index:02}").into(),
            address: SocketAddr::from(([127, 0, 0, 1], port)),
            spec,
            state: RowState::Active,
            leaving: false,
            process: None,
            paused: false,
            held: Vec::new(),
        });
        self.start(index);
        index
    }

    pub fn schedule(&mut self, at: Duration, fault: Fault) {
        self.push(at, Entry::Fault(fault));
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

    /// Running processes without a row in the platform's table.
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

    /// Running processes that may accept keys and know the newest revision.
    pub fn accepting(&self) -> usize {
        let accepts = |index: &usize| {
            let process = self.nodes[*index].process.as_ref();
            process.is_some_and(|process| {
                process.revision == self.platform.revision
                    && self.local(*index) < process.membership.keys_until()
            })
        };
        (0..self.nodes.len()).filter(accepts).count()
    }

    /// Rows of the platform's table that take no new work.
    pub fn leaving_rows(&self) -> usize {
        let rows = self.platform.object.as_ref().map_or(&[][..], |(_, table)| &table.rows);
        rows.iter().filter(|row| row.state == RowState::Leaving).count()
    }

    /// Processes with a row in the adopted table whose lease is valid.
    pub fn nodes_with_lease(&self) -> usize {
        (0..self.nodes.len()).filter(|index| self.has_lease(*index)).count()
    }

    pub fn share_in_use(&self) -> f64 {
        let valid = (0..self.nodes.len()).filter(|index| self.has_lease(*index));
        valid.filter_map(|index| self.nodes[index].process.as_ref()).map(|it| it.share).sum()
    }

    /// Runs until a time and reports the first thing that must not be.
    pub fn run_until(&mut self, end: Duration) -> Result<(), String> {
        while let Some(Reverse((at, _))) = self.queue.peek() {
            if *at > end {
                break;
            }
            let Some(Reverse((at, id))) = self.queue.pop() else { break };
            let Some(entry) = self.entries.remove(&id) else { continue };
            if self.running_without_lease() {
                self.figures.without_lease.push((self.now, at));
            }
            self.now = at;
            self.step(entry).map_err(|error| format!("at {at:?}: {error}"))?;
        }
        self.now = end;
        Ok(())
    }

    fn running_without_lease(&self) -> bool {
        (0..self.nodes.len()).any(|index| {
            let node = &self.nodes[index];
            node.process.as_ref().is_some_and(|process| process.share > 0.0)
                && !node.paused
                && !self.has_lease(index)
        })
    }

    /// What is still wrong of a fleet that should have healed.
    pub fn unhealed(&self) -> Option<String> {
        let Some((_, table)) = &self.platform.object else {
            return Some("no table at the platform".to_owned());
        };
        let expected: Vec<(&str, u64)> = self
            .nodes
            .iter()
            .filter(|node| !node.leaving)
            .filter_map(|node| Some((&*node.instance, node.process.as_ref()?.incarnation)))
            .collect();
        let found: Vec<(&str, u64)> =
            table.rows.iter().map(|row| (&*row.instance, row.incarnation)).collect();
        if expected != found {
            return Some(format!("expected the rows {expected:?}, found {found:?}"));
        }
        for (index, node) in self.nodes.iter().enumerate() {
            let Some(process) = &node.process else { continue };
            let wanted = (table.version, true, true);
            let has = (process.version, process.settled, self.has_lease(index));
            if has != wanted {
                return Some(format!(
                    "{}: expected version, settled, lease {wanted:?}, found {has:?}",
                    node.instance
                ));
            }
            if process.membership.keys_until() <= self.local(index) {
                return Some(format!("{}: no lease to accept keys", node.instance));
            }
        }
        let sum = self.share_in_use();
        (sum < WHOLE).then(|| format!("only {sum} of the rate is in use"))
    }

    fn step(&mut self, entry: Entry) -> Result<(), String> {
        match entry {
            Entry::Fault(fault) => {
                if matches!(fault, Fault::Kill(_) | Fault::Pause(_) | Fault::Cut(_)) {
                    self.lost_at = Some(self.now);
                    self.counts_gaps = true;
                }
                self.apply(fault)?;
                self.check_sums()
            }
            Entry::Node { node, incarnation, item } => {
                let target = &mut self.nodes[node];
                let current = target.process.as_ref().map(|process| process.incarnation);
                if current != Some(incarnation) {
                    return Ok(());
                }
                if target.paused {
                    target.held.push(item);
                    return Ok(());
                }
                self.deliver(node, item)
            }
            Entry::Platform { node, incarnation, began, sent, action } => {
                self.platform_call(node, incarnation, began, sent, action);
                Ok(())
            }
        }
    }

    fn local(&self, index: usize) -> Duration {
        let spec = &self.nodes[index].spec;
        spec.clock_offset + self.now.mul_f64(spec.clock_rate)
    }

    fn has_lease(&self, index: usize) -> bool {
        let process = self.nodes[index].process.as_ref();
        process.is_some_and(|process| self.local(index) < process.membership.row_until())
    }

    fn push(&mut self, at: Duration, entry: Entry) {
        self.next_entry += 1;
        self.entries.insert(self.next_entry, entry);
        self.queue.push(Reverse((at, self.next_entry)));
    }

    fn push_item(&mut self, at: Duration, node: usize, incarnation: u64, item: Item) {
        self.push(at, Entry::Node { node, incarnation, item });
    }

    fn start(&mut self, index: usize) {
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
        node.paused = false;
        node.held.clear();
        node.leaving = false;
        node.process = Some(Process {
            incarnation,
            membership: Membership::new(identity, Adoption::Immediate, seed),
            revision: 0,
            adopting: 0,
            share: 0.0,
            owned: Vec::new(),
            version: 0,
            settled: true,
            has_left_at: None,
        });
        let event = Event::OwnRowSet(Some(self.wanted_row(index, incarnation)));
        let start = self.now + self.below(Duration::from_millis(50));
        self.push_item(start, index, incarnation, Item::Happened(event));
        self.push_item(start, index, incarnation, Item::Tick);
    }

    fn wanted_row(&self, index: usize, incarnation: u64) -> Row {
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

    fn below(&mut self, limit: Duration) -> Duration {
        limit.mul_f64(self.random.random_range(0.0..1.0))
    }

    fn end(&mut self, index: usize) {
        self.nodes[index].process = None;
        self.nodes[index].held.clear();
        self.nodes[index].paused = false;
    }

    fn want(&mut self, index: usize) -> Result<(), String> {
        let node = &self.nodes[index];
        let Some(process) = &node.process else { return Ok(()) };
        let incarnation = process.incarnation;
        let row = (!node.leaving).then(|| self.wanted_row(index, incarnation));
        let item = Item::Happened(Event::OwnRowSet(row));
        self.step(Entry::Node { node: index, incarnation, item })
    }

    fn apply(&mut self, fault: Fault) -> Result<(), String> {
        match fault {
            Fault::Kill(index) => self.end(index),
            Fault::Restart(index) => {
                self.end(index);
                self.start(index);
            }
            Fault::Pause(index) => self.nodes[index].paused = self.is_running(index),
            Fault::Resume(index) => {
                self.nodes[index].paused = false;
                for item in std::mem::take(&mut self.nodes[index].held) {
                    if self.is_running(index) {
                        self.deliver(index, item)?;
                    }
                }
            }
            Fault::Cut(nodes) => self.cut = nodes,
            Fault::HealCut => self.cut.clear(),
            Fault::CutPlatform(nodes) => self.platform.cut_off = nodes,
            Fault::PlatformDown(is_down) => self.platform.is_down = is_down,
            Fault::PlatformDelay(delay) => self.platform.max_delay = delay,
            Fault::LoseAnswers(part) => self.platform.lose_answers = part,
            Fault::Loss(part) => self.loss = part,
            Fault::Delay(delay) => self.max_delay = delay,
            Fault::Leave(index) => {
                self.nodes[index].leaving = self.is_running(index);
                return self.want(index);
            }
            Fault::Drain(index) => {
                self.nodes[index].state = RowState::Leaving;
                return self.want(index);
            }
            Fault::Announce(index, service) => {
                self.nodes[index].spec.service = service;
                self.nodes[index].state = RowState::Active;
                return self.want(index);
            }
            Fault::Revision => {
                self.platform.revision += 1;
                let revision = self.platform.revision;
                for index in 0..self.nodes.len() {
                    self.tell_reader(index, Item::AdoptRevision(revision));
                }
            }
        }
        Ok(())
    }

    /// Delivers what a watch returns, where the node holds one and can reach the platform.
    fn tell_reader(&mut self, index: usize, item: Item) {
        let local = self.local(index);
        let is_cut = self.platform.is_down || self.platform.cut_off.contains(&index);
        let delay = self.platform_delay();
        let Some(process) = &self.nodes[index].process else { return };
        if !is_cut && process.membership.is_reader(local) {
            let incarnation = process.incarnation;
            self.push_item(self.now + delay, index, incarnation, item);
        }
    }

    fn platform_delay(&mut self) -> Duration {
        let limit = self.platform.max_delay;
        self.below(limit)
    }

    fn deliver(&mut self, index: usize, item: Item) -> Result<(), String> {
        let local = self.local(index);
        let Some(process) = &mut self.nodes[index].process else { return Ok(()) };
        let incarnation = process.incarnation;
        process.membership.set_own_state(process.revision, 10);
        let mut actions = Vec::new();
        let is_tick = matches!(item, Item::Tick);
        match item {
            Item::Tick => {
                actions = process.membership.handle(local, Event::Tick);
                self.push_item(self.now + TICK_INTERVAL, index, incarnation, Item::Tick);
            }
            Item::Asked { from, from_incarnation, sent_at, request } => {
                let (reply, asked_actions) = process.membership.answer(local, &request);
                actions = asked_actions;
                self.figures.peer_bytes += reply.encoded_len() as u64;
                self.figures.peer_messages += 1;
                if let Some(delay) = self.message_delay(index, from) {
                    let item = Item::Answered { sent_at, reply };
                    self.push_item(self.now + delay, from, from_incarnation, item);
                }
            }
            Item::Answered { sent_at, reply } => {
                actions =
                    process.membership.handle(local, Event::EvidenceReceived { sent_at, reply });
            }
            Item::Happened(event) => actions = process.membership.handle(local, event),
            Item::AdoptRevision(revision) => {
                process.revision = process.revision.max(revision);
                process.membership.set_own_state(process.revision, 10);
            }
        }
        self.act(index, local, incarnation, actions);
        self.follow_revision(index, incarnation);
        self.check(index, is_tick)
    }

    /// Stands for the configuration actor, which pulls a newer revision from a peer.
    fn follow_revision(&mut self, index: usize, incarnation: u64) {
        let Some(process) = &mut self.nodes[index].process else { return };
        if process.version == 0 || process.adopting > process.revision {
            return;
        }
        let newest = process.membership.newest_revision();
        if newest > process.revision {
            process.adopting = newest;
            let delay = self.below(Duration::from_millis(300));
            self.push_item(self.now + delay, index, incarnation, Item::AdoptRevision(newest));
        }
    }

    fn message_delay(&mut self, from: usize, to: usize) -> Option<Duration> {
        let is_cut = self.cut.contains(&from) != self.cut.contains(&to);
        let is_lost = self.random.random_bool(self.loss);
        let limit = self.max_delay;
        let delay = self.below(limit);
        (!is_cut && !is_lost).then_some(delay)
    }

    fn act(&mut self, index: usize, local: Duration, incarnation: u64, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::PullEvidence { address, request } => {
                    self.figures.peer_bytes += request.encoded_len() as u64;
                    self.figures.peer_messages += 1;
                    let target = self.nodes.iter().position(|node| node.address == address);
                    let Some(target) = target else { continue };
                    let Some(delay) = self.message_delay(index, target) else { continue };
                    let Some(process) = &self.nodes[target].process else { continue };
                    let item = Item::Asked {
                        from: index,
                        from_incarnation: incarnation,
                        sent_at: local,
                        request,
                    };
                    let to_incarnation = process.incarnation;
                    self.push_item(self.now + delay, target, to_incarnation, item);
                }
                action => {
                    self.figures.platform_calls.push(self.now);
                    let delay = self.platform_delay();
                    let entry = Entry::Platform {
                        node: index,
                        incarnation,
                        began: local,
                        sent: self.now,
                        action,
                    };
                    self.push(self.now + delay, entry);
                }
            }
        }
    }

    fn platform_call(
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
            _ => Event::TableFailed,
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
                    let item = Item::AdoptRevision(revision);
                    self.push_item(self.now + delay, node, incarnation, item);
                    Event::ConfigurationRead { began, revision }
                }
                Action::WriteTable { table, if_version } => self.write(table, if_version, began),
                Action::PullEvidence { .. } => return,
            });
        }
        let answer_at = self.now + self.platform_delay();
        let is_late = answer_at > sent + PLATFORM_TIMEOUT;
        let is_lost = matches!(event, Some(Event::TableWritten { .. }))
            && self.random.random_bool(self.platform.lose_answers);
        match event {
            Some(event) if !is_late && !is_lost => {
                self.push_item(answer_at, node, incarnation, Item::Happened(event));
            }
            // The call may reach the platform after its caller gave up.
            _ => {
                let at = (sent + PLATFORM_TIMEOUT).max(self.now);
                self.push_item(at, node, incarnation, Item::Happened(failure));
            }
        }
    }

    fn write(&mut self, table: Table, if_version: u64, began: Duration) -> Event {
        let current = self.platform.object.as_ref().map_or(0, |(version, _)| *version);
        if current != if_version {
            return Event::WriteConflict;
        }
        self.platform.object = Some((current + 1, table.clone()));
        self.figures.platform_writes.push(self.now);
        self.table_changed_at = self.now;
        for index in 0..self.nodes.len() {
            let event = Event::TableSeen { began: self.local(index), table: table.clone() };
            self.tell_reader(index, Item::Happened(event));
        }
        Event::TableWritten { began, table }
    }

    /// Checks what must hold at every moment; leases grow only in events.
    fn check(&mut self, index: usize, is_tick: bool) -> Result<(), String> {
        let now = self.now;
        let keys = std::mem::take(&mut self.keys);
        let node = &mut self.nodes[index];
        if let Some(process) = &mut node.process {
            let view = process.membership.view();
            if view.table.version < process.version {
                return Err(format!(
                    "{} went from version {} to {}",
                    node.instance, process.version, view.table.version
                ));
            }
            if (view.table.version, view.settled) != (process.version, process.settled) {
                process.version = view.table.version;
                process.settled = view.settled;
                process.share = view.share(&node.instance, process.incarnation);
                process.owned = owned(&view, &node.instance, process.incarnation, &keys);
            }
            if node.leaving && process.membership.has_left() {
                let left_at = *process.has_left_at.get_or_insert(now);
                if now >= left_at + LEAVE_NOTICE {
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
            return Err(format!("the shares in use are {sum} of the whole: {}", self.describe()));
        }
        self.note_gap();
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
            Some(key) => Err(format!("key {key} has two owners: {}", self.describe())),
            None => Ok(()),
        }
    }

    fn note_gap(&mut self) {
        if !self.counts_gaps {
            return;
        }
        let acting = (0..self.nodes.len())
            .filter(|index| !self.nodes[*index].paused && self.has_lease(*index));
        let sum: f64 =
            acting.filter_map(|index| self.nodes[index].process.as_ref()).map(|it| it.share).sum();
        let open = self.figures.gaps.last_mut().filter(|gap| gap.to.is_none());
        match (open, sum >= WHOLE) {
            (Some(gap), true) => gap.to = Some(self.now),
            (None, false) => {
                let lost_at = self.lost_at.take().filter(|at| self.now < *at + LOSS_SHOWS_WITHIN);
                let lost_at = lost_at.unwrap_or(self.now);
                self.figures.gaps.push(Gap { lost_at, from: self.now, to: None });
            }
            _ => {}
        }
    }

    /// A revision that a majority has adopted ends the older ones within the term; the tolerance
    /// covers the drift of clocks.
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
                self.majority_holds.entry(revision).or_insert(self.now);
            }
        }
        let limit = Duration::from_millis(4500);
        // A change of rows may change which majority counts; only quiet tables are checked.
        if self.now < self.table_changed_at + 2 * limit {
            self.majority_holds.clear();
            return Ok(());
        }
        for (index, node) in self.nodes.iter().enumerate() {
            let Some(process) = &node.process else { continue };
            if self.local(index) >= process.membership.keys_until() {
                continue;
            }
            let newer = self.majority_holds.range(process.revision + 1..).next();
            if let Some((revision, since)) = newer
                && self.now > *since + limit
            {
                return Err(format!(
                    "{} accepts keys of revision {} though a majority holds {revision} since {since:?}",
                    node.instance, process.revision
                ));
            }
        }
        Ok(())
    }

    fn describe(&self) -> String {
        let processes = self.nodes.iter().enumerate().filter_map(|(index, node)| {
            let process = node.process.as_ref()?;
            Some(format!(
                "{}.{} version {} settled {} share {:.3} lease {}",
                node.instance,
                process.incarnation,
                process.version,
                process.settled,
                process.share,
                self.has_lease(index),
            ))
        });
        processes.collect::<Vec<_>>().join("; ")
    }
}

fn owned(view: &View, instance: &str, incarnation: u64, keys: &[(Arc<str>, Uuid)]) -> Vec<usize> {
    let is_own = |row: &Row| &*row.instance == instance && row.incarnation == incarnation;
    let owned = keys
        .iter()
        .enumerate()
        .filter(|(_, (service, key))| view.owner(service, *key).is_some_and(is_own));
    owned.map(|(index, _)| index).collect()
}
