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

use crate::{clock::Timestamp, mesh::Usage, names::ServiceName};

/// Parts of a window that are counted apart.
const SLICES: u32 = 20;
/// Part of the bound that repeats of a service's own requests may use; the rest is for repeats of
/// requests above that make their calls again.
const DIRECT_PART: f64 = 0.55;
/// Part of the bound for those, at each of up to six levels of calls above.
const ABOVE_PART: f64 = 0.07;
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

#[derive(Debug, Default)]
struct Window {
    slices: VecDeque<(u64, f64, f64, f64)>,
}

impl Window {
    /// Counts in the slice of `now`: requests, their own repeats, repeats from above.
    fn add(&mut self, slice: u64, requests: f64, direct: f64, above: f64) {
        match self.slices.back_mut() {
            Some(last) if last.0 == slice => {
                last.1 += requests;
                last.2 += direct;
                last.3 += above;
            }
            _ => self.slices.push_back((slice, requests, direct, above)),
        }
    }

    fn sums(&mut self, slice: u64) -> (f64, f64, f64) {
        while self.slices.front().is_some_and(|first| first.0 + u64::from(SLICES) < slice) {
            self.slices.pop_front();
        }
        self.slices
            .iter()
            .fold((0.0, 0.0, 0.0), |sum, it| (sum.0 + it.1, sum.1 + it.2, sum.2 + it.3))
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

    /// A request to a service begins; `below` is what its route uses of other services.
    pub fn request(&mut self, now: Timestamp, service: &ServiceName, below: Option<&Usage>) {
        let slice = self.slice(now);
        self.window(service).add(slice, 1.0, 0.0, 0.0);
        for used in below.iter().flat_map(|below| &below.services) {
            if used.service != *service {
                self.window(&used.service).add(slice, used.arrivals, 0.0, 0.0);
            }
        }
    }

    /// Takes the right to send a request once more; `fleet` is the number of nodes.
    pub fn take(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        below: Option<&Usage>,
        fleet: usize,
    ) -> bool {
        let slice = self.slice(now);
        let RetryBound { ratio, slack, .. } = self.bound;
        let slack = slack * SLACK_PART / fleet.max(1) as f64;
        let (requests, direct, _) = self.window(service).sums(slice);
        if direct + 1.0 > ratio * DIRECT_PART * requests + slack {
            return false;
        }
        let others = || {
            below.iter().flat_map(|below| &below.services).filter(|used| used.service != *service)
        };
        for used in others() {
            let (requests, _, above) = self.window(&used.service).sums(slice);
            if above + used.arrivals > ratio * ABOVE_PART * requests + slack {
                return false;
            }
        }
        self.window(service).add(slice, 0.0, 1.0, 0.0);
        for used in others() {
            self.window(&used.service).add(slice, 0.0, 0.0, used.arrivals);
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
