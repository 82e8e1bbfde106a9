//! Bound on what arrives at the upstreams of a service beyond the first of each request.
//!
//! The bound holds for the whole fleet in any window. Each node keeps to it for the requests that
//! begin at it, so the sum does too, and needs nobody for it. A repeat also repeats the calls
//! below it, which count at the services that they go to.
//!
//! Load pattern: the copies of a deep service refuse half of what reaches them while they have
//! room, so that every call would be worth a second send.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use crate::{
    clock::Timestamp,
    mesh::{ServiceUse, Usage},
    names::ServiceName,
};

/// Parts of a window that are counted apart.
const SLICES: u32 = 20;
/// Part of the bound that is used.
const USED_PART: f64 = 0.97;
/// Part of it that repeats of the requests above may cause, at each level; the rest is for repeats
/// of the request itself.
const ABOVE_PART: f64 = 0.07;
/// Levels of calls above a request that are told apart.
const MAX_LEVELS: u32 = 6;
/// Part of the allowance that is kept from chains with the weakest claim.
const CLAIM_PART: f64 = 0.9;
/// Part of the allowance that does not depend on the number of requests which is used: the nodes
/// do not agree on their number at every moment.
const SLACK_PART: f64 = 0.4;

/// The bound on repeats.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBound {
    /// Repeats for each request.
    pub ratio: f64,
    /// Window in which both are counted.
    pub window: Duration,
    /// Repeats in a window in addition, over all nodes.
    pub slack: f64,
}

/// What a node counts for one service.
#[derive(Debug, Clone, Copy, Default)]
struct Counts {
    /// Parts of the bound for repeats of requests to the service that began here, one for each
    /// request, and those repeats.
    direct_parts: f64,
    repeats: f64,
    /// Requests that those to other services are expected to cause, and the same of repeats.
    requests_below: f64,
    repeats_below: f64,
}

impl Counts {
    fn add(&mut self, other: Self) {
        self.direct_parts += other.direct_parts;
        self.repeats += other.repeats;
        self.requests_below += other.requests_below;
        self.repeats_below += other.repeats_below;
    }
}

#[derive(Debug, Default)]
struct Window {
    slices: VecDeque<(u64, Counts)>,
}

impl Window {
    /// Counts in the slice of now.
    fn add(&mut self, slice: u64, counts: Counts) {
        match self.slices.back_mut() {
            Some((last, sum)) if *last == slice => sum.add(counts),
            _ => self.slices.push_back((slice, counts)),
        }
    }

    fn sum(&mut self, slice: u64) -> Counts {
        while self.slices.front().is_some_and(|(first, _)| first + u64::from(SLICES) < slice) {
            self.slices.pop_front();
        }
        let mut sum = Counts::default();
        for (_, counts) in &self.slices {
            sum.add(*counts);
        }
        sum
    }
}

/// Decides whether a request may be sent again.
#[derive(Debug)]
pub struct RetryBudget {
    bound: RetryBound,
    windows: HashMap<ServiceName, Window>,
}

impl RetryBudget {
    /// Makes a budget that has counted nothing.
    pub fn new(bound: RetryBound) -> Self {
        Self { bound, windows: HashMap::new() }
    }

    /// Puts another bound in force.
    pub fn set_bound(&mut self, bound: RetryBound) {
        if bound != self.bound {
            // Slices of another length cannot be added up.
            self.windows.clear();
            self.bound = bound;
        }
    }

    /// A request to a service begins, with `depth` calls above it; `below` is what its route uses
    /// of other services.
    pub fn record_request(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        depth: u32,
        below: Option<&Usage>,
    ) {
        let slice = self.slice(now);
        let direct_parts = USED_PART - ABOVE_PART * f64::from(depth.min(MAX_LEVELS));
        let counts = Counts { direct_parts, ..Counts::default() };
        self.window(service).add(slice, counts);
        for used in others(service, below) {
            let counts = Counts { requests_below: used.arrivals, ..Counts::default() };
            self.window(&used.service).add(slice, counts);
        }
    }

    /// Takes the right to let a request reach one more upstream, in a fleet of this many nodes.
    /// `claim` is 0 for chains that may use the whole allowance, and 1 for those that are the first
    /// to go without.
    pub fn take_retry(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        below: Option<&Usage>,
        fleet: usize,
        claim: f64,
    ) -> bool {
        let slice = self.slice(now);
        let RetryBound { ratio, slack, .. } = self.bound;
        let slack = slack * SLACK_PART / fleet.max(1) as f64;
        let own = self.window(service).sum(slice);
        let allowed = ratio * own.direct_parts + slack;
        if own.repeats + 1.0 > allowed || own.repeats > allowed * (1.0 - CLAIM_PART * claim) {
            return false;
        }
        for used in others(service, below) {
            let counts = self.window(&used.service).sum(slice);
            let allowed = ratio * ABOVE_PART * counts.requests_below + slack;
            if counts.repeats_below + used.arrivals > allowed {
                return false;
            }
        }
        let counts = Counts { repeats: 1.0, ..Counts::default() };
        self.window(service).add(slice, counts);
        for used in others(service, below) {
            let counts = Counts { repeats_below: used.arrivals, ..Counts::default() };
            self.window(&used.service).add(slice, counts);
        }
        true
    }

    fn window(&mut self, service: &ServiceName) -> &mut Window {
        if !self.windows.contains_key(service) {
            self.windows.insert(service.clone(), Window::default());
        }
        self.windows.get_mut(service).expect("the window was put there")
    }

    fn slice(&self, now: Timestamp) -> u64 {
        let slice = self.bound.window / SLICES;
        u64::try_from(now.as_nanos() / slice.as_nanos().max(1)).unwrap_or(u64::MAX)
    }
}

/// What a route uses of services other than its own.
fn others<'a>(
    service: &'a ServiceName,
    below: Option<&'a Usage>,
) -> impl Iterator<Item = &'a ServiceUse> {
    below.into_iter().flat_map(|below| &below.services).filter(move |it| it.service != *service)
}
