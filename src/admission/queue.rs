//! The queue of requests that wait for a slot of the upstream.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use crate::{admission::Ticket, clock::Timestamp, config::Importance, names::OrganisationName};

/// A request that waits for a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaitingRequest {
    /// Identifies the request.
    pub ticket: Ticket,
    /// Time after which an answer is useless to the caller.
    pub deadline: Timestamp,
    /// Mean own time of requests of the same kind, if known.
    pub own_time: Option<Duration>,
}

/// The waiting requests of one organisation in one class.
#[derive(Debug, Default)]
struct Lane {
    /// Start tag of the organisation's next request. It increases by one per started request. When
    /// a request arrives at an empty lane, it is raised to the class's virtual time, so that idle
    /// time gives no priority later.
    start_tag: u64,
    nested_calls: VecDeque<WaitingRequest>,
    roots: VecDeque<WaitingRequest>,
}

/// The waiting requests of all classes with the same importance.
#[derive(Debug, Default)]
struct Class {
    /// Largest start tag of a request that was removed to be started.
    virtual_time: u64,
    lanes: BTreeMap<Option<OrganisationName>, Lane>,
    /// Number of waiting nested calls.
    nested_calls: usize,
    /// Number of all waiting requests.
    waiting: usize,
}

/// Orders requests strictly by importance. Within a class, nested calls of admitted root requests
/// precede new root requests, and organisations share slots by start-time fair queueing.
#[derive(Debug, Default)]
pub struct FairQueue {
    classes: BTreeMap<Importance, Class>,
    len: usize,
}

impl FairQueue {
    /// Adds a request.
    pub fn push(
        &mut self,
        importance: Importance,
        organisation: Option<OrganisationName>,
        is_nested: bool,
        waiting: WaitingRequest,
    ) {
        let class = self.classes.entry(importance).or_default();
        let lane = class.lanes.entry(organisation).or_default();
        if lane.len() == 0 {
            lane.start_tag = lane.start_tag.max(class.virtual_time);
        }
        match is_nested {
            true => lane.nested_calls.push_back(waiting),
            false => lane.roots.push_back(waiting),
        }
        class.nested_calls += usize::from(is_nested);
        class.waiting += 1;
        self.len += 1;
    }

    /// Removes and returns the request to start next.
    pub fn pop(&mut self) -> Option<(Importance, WaitingRequest)> {
        let (importance, class) =
            self.classes.iter_mut().rev().find(|(_, class)| class.waiting > 0)?;
        let is_nested = class.nested_calls > 0;
        let backlogged =
            class.lanes.values_mut().filter(|lane| !lane.requests(is_nested).is_empty());
        // Among equal tags the oldest request is first; tickets increase with arrival.
        let lane = backlogged.min_by_key(|lane| {
            (lane.start_tag, lane.requests(is_nested).front().map(|it| it.ticket))
        })?;
        let waiting = lane.requests_mut(is_nested).pop_front()?;
        class.virtual_time = class.virtual_time.max(lane.start_tag);
        lane.start_tag += 1;
        let importance = *importance;
        class.record_removal(is_nested);
        self.len -= 1;
        Some((importance, waiting))
    }

    /// Removes and returns the request to shed: in the least important class, a root request if
    /// there is one, and of these the newest of the organisation with the most waiting requests.
    pub fn evict(&mut self) -> Option<(Importance, WaitingRequest)> {
        let (importance, class) = self.classes.iter_mut().find(|(_, class)| class.waiting > 0)?;
        let is_nested = class.nested_calls == class.waiting;
        let lanes = class.lanes.values_mut().filter(|lane| !lane.requests(is_nested).is_empty());
        let lane = lanes.max_by_key(|lane| (lane.len(), lane.start_tag))?;
        let waiting = lane.requests_mut(is_nested).pop_back()?;
        let importance = *importance;
        class.record_removal(is_nested);
        self.len -= 1;
        Some((importance, waiting))
    }

    /// Removes the request with this ticket.
    pub fn remove(&mut self, ticket: Ticket) -> Option<(Importance, WaitingRequest)> {
        for (importance, class) in &mut self.classes {
            for is_nested in [true, false] {
                for lane in class.lanes.values_mut() {
                    let requests = lane.requests_mut(is_nested);
                    let Some(index) = requests.iter().position(|it| it.ticket == ticket) else {
                        continue;
                    };
                    let waiting = requests.remove(index)?;
                    class.record_removal(is_nested);
                    self.len -= 1;
                    return Some((*importance, waiting));
                }
            }
        }
        None
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }
}

impl Class {
    /// Counts a removed request.
    fn record_removal(&mut self, is_nested: bool) {
        self.nested_calls -= usize::from(is_nested);
        self.waiting -= 1;
        if self.waiting == 0 {
            // A lane with a tag at or below the virtual time is equivalent to a new one.
            let virtual_time = self.virtual_time;
            self.lanes.retain(|_, lane| lane.start_tag > virtual_time);
        }
    }
}

impl Lane {
    fn len(&self) -> usize {
        self.nested_calls.len() + self.roots.len()
    }

    fn requests(&self, is_nested: bool) -> &VecDeque<WaitingRequest> {
        match is_nested {
            true => &self.nested_calls,
            false => &self.roots,
        }
    }

    fn requests_mut(&mut self, is_nested: bool) -> &mut VecDeque<WaitingRequest> {
        match is_nested {
            true => &mut self.nested_calls,
            false => &mut self.roots,
        }
    }
}
