//! The queue of requests that wait for a slot.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use crate::{admission::Ticket, clock::Timestamp, config::Importance, names::OrganisationName};

/// A request that waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Waiting {
    /// Names the request.
    pub ticket: Ticket,
    /// Latest useful answer.
    pub deadline: Timestamp,
    /// Mean time of requests of its kind, where it is known.
    pub own_time: Option<Duration>,
}

#[derive(Debug, Default)]
struct Lane {
    /// Number of starts that the organisation has had, lifted to the class's virtual time when
    /// it comes back, so that it cannot save up turns.
    tag: u64,
    begun: VecDeque<Waiting>,
    roots: VecDeque<Waiting>,
}

#[derive(Debug, Default)]
struct Class {
    virtual_time: u64,
    lanes: BTreeMap<Option<OrganisationName>, Lane>,
    begun: usize,
    waiting: usize,
}

/// Orders requests strictly by importance; within a class, calls of requests that have begun go
/// before new roots, and organisations take turns (start-time fair queueing).
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
        begun: bool,
        waiting: Waiting,
    ) {
        let class = self.classes.entry(importance).or_default();
        let lane = class.lanes.entry(organisation).or_default();
        if lane.len() == 0 {
            lane.tag = lane.tag.max(class.virtual_time);
        }
        match begun {
            true => lane.begun.push_back(waiting),
            false => lane.roots.push_back(waiting),
        }
        class.begun += usize::from(begun);
        class.waiting += 1;
        self.len += 1;
    }

    /// Takes the request that is next to start.
    pub fn pop(&mut self) -> Option<(Importance, Waiting)> {
        let (importance, class) =
            self.classes.iter_mut().rev().find(|(_, class)| class.waiting > 0)?;
        let begun = class.begun > 0;
        let backlogged = class.lanes.values_mut().filter(|lane| !lane.part(begun).is_empty());
        // Among equals the longest wait goes first; tickets rise with arrival.
        let lane = backlogged
            .min_by_key(|lane| (lane.tag, lane.part(begun).front().map(|it| it.ticket)))?;
        let waiting = lane.part_mut(begun).pop_front()?;
        class.virtual_time = class.virtual_time.max(lane.tag);
        lane.tag += 1;
        let importance = *importance;
        class.removed(begun);
        self.len -= 1;
        Some((importance, waiting))
    }

    /// Takes the request that is the first to be shed: of the least important class, roots
    /// first, the newest of the organisation that has the most waiting.
    pub fn evict(&mut self) -> Option<(Importance, Waiting)> {
        let (importance, class) = self.classes.iter_mut().find(|(_, class)| class.waiting > 0)?;
        let begun = class.begun == class.waiting;
        let lanes = class.lanes.values_mut().filter(|lane| !lane.part(begun).is_empty());
        let lane = lanes.max_by_key(|lane| (lane.len(), lane.tag))?;
        let waiting = lane.part_mut(begun).pop_back()?;
        let importance = *importance;
        class.removed(begun);
        self.len -= 1;
        Some((importance, waiting))
    }

    /// Takes out one request.
    pub fn remove(&mut self, ticket: Ticket) -> Option<(Importance, Waiting)> {
        for (importance, class) in &mut self.classes {
            for begun in [true, false] {
                for lane in class.lanes.values_mut() {
                    let part = lane.part_mut(begun);
                    let Some(index) = part.iter().position(|it| it.ticket == ticket) else {
                        continue;
                    };
                    let waiting = part.remove(index)?;
                    class.removed(begun);
                    self.len -= 1;
                    return Some((*importance, waiting));
                }
            }
        }
        None
    }

    /// Number of requests that wait.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Tells whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }
}

impl Class {
    fn removed(&mut self, begun: bool) {
        self.begun -= usize::from(begun);
        self.waiting -= 1;
        if self.waiting == 0 {
            // A lane at or below the virtual time holds nothing that must be remembered.
            let virtual_time = self.virtual_time;
            self.lanes.retain(|_, lane| lane.tag > virtual_time);
        }
    }
}

impl Lane {
    fn len(&self) -> usize {
        self.begun.len() + self.roots.len()
    }

    fn part(&self, begun: bool) -> &VecDeque<Waiting> {
        match begun {
            true => &self.begun,
            false => &self.roots,
        }
    }

    fn part_mut(&mut self, begun: bool) -> &mut VecDeque<Waiting> {
        match begun {
            true => &mut self.begun,
            false => &mut self.roots,
        }
    }
}
