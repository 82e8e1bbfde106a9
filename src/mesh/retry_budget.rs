//! Retry budget: a bound on the requests that reach the upstreams of a service beyond the first
//! attempt of each request.
//!
//! The bound holds for the whole fleet in any window. Each node enforces it for the requests that
//! start at the node, without coordination, so the total of all nodes is within it. A retry also
//! repeats the calls below the request, which count towards the bounds of the services called.
//!
//! Load pattern: the instances of a service deep in the graph refuse half of their requests while
//! they have spare capacity, so that a retry would help every call.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use crate::{
    clock::Timestamp,
    mesh::{RetryReservation, ServiceUse, Usage},
    names::ServiceName,
};

/// Slices of a window, each with its own counts.
pub(super) const SLICES_PER_WINDOW: u32 = 20;
/// Fraction of the bound that is used.
const USED_BOUND_FRACTION: f64 = 0.97;
/// Fraction of the bound that is set aside, for each level of calls above a request, for arrivals
/// caused by retries at that level; the rest is for retries of the request itself.
const ANCESTOR_FRACTION: f64 = 0.07;
/// Maximum number of levels above a request for which [`ANCESTOR_FRACTION`] is set aside.
const MAX_ANCESTOR_LEVELS: u32 = 6;
/// Fraction of the allowance that is withheld from a call chain of retry rank 1; from chains of
/// lower rank, proportionally less is withheld.
const MAX_RESERVED_FRACTION: f64 = 0.9;
/// Fraction of [`RetryBound::slack`] that is used: each node takes its share by the size of the
/// fleet, and the nodes' views of that size differ at times.
const USED_SLACK_FRACTION: f64 = 0.4;

/// Square roots of the reserved retries by which they may be exceeded at a node: how many its calls need
/// varies, and the nodes' deviations cancel each other out over the fleet.
const OVERDRAFT_DEVIATIONS: f64 = 2.0;

/// Bound on retries over the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBound {
    /// Retries per request.
    pub ratio: f64,
    /// Window in which requests and retries are counted.
    pub window: Duration,
    /// Additional retries in a window, over all nodes.
    pub slack: f64,
}

impl RetryBound {
    /// Number of the slice that contains `now`.
    pub(super) fn slice_at(&self, now: Timestamp) -> u64 {
        let slice = self.window / SLICES_PER_WINDOW;
        u64::try_from(now.as_nanos() / slice.as_nanos().max(1)).unwrap_or(u64::MAX)
    }
}

/// Counts of one service at a node.
#[derive(Debug, Clone, Copy, Default)]
struct Counts {
    /// Requests to the service that started at the node, each weighted by the fraction of the bound
    /// that is for retries of the request itself.
    weighted_requests: f64,
    /// Retries of these requests.
    retries: f64,
    /// Retries that entry nodes have reserved for these requests, and those taken of them; the latter
    /// are also counted in `retries`.
    reserved: f64,
    taken_of_reserved: f64,
    /// Calls of the service expected from requests to other services that started at the node.
    requests_below: f64,
    /// Calls of the service expected from retries of requests to other services.
    retries_below: f64,
}

impl Counts {
    fn add(&mut self, other: Self) {
        self.weighted_requests += other.weighted_requests;
        self.retries += other.retries;
        self.reserved += other.reserved;
        self.taken_of_reserved += other.taken_of_reserved;
        self.requests_below += other.requests_below;
        self.retries_below += other.retries_below;
    }
}

#[derive(Debug, Default)]
struct Window {
    slices: VecDeque<(u64, Counts)>,
}

impl Window {
    /// Adds counts to the current slice.
    fn add(&mut self, slice: u64, counts: Counts) {
        match self.slices.back_mut() {
            Some((last, sum)) if *last == slice => sum.add(counts),
            _ => self.slices.push_back((slice, counts)),
        }
    }

    /// Sum over the window that ends with `slice`; drops older slices.
    fn sum(&mut self, slice: u64) -> Counts {
        while self
            .slices
            .front()
            .is_some_and(|(first, _)| first + u64::from(SLICES_PER_WINDOW) < slice)
        {
            self.slices.pop_front();
        }
        let mut sum = Counts::default();
        for (_, counts) in &self.slices {
            sum.add(*counts);
        }
        sum
    }
}

/// Decides whether a request may be retried.
#[derive(Debug)]
pub struct RetryBudget {
    bound: RetryBound,
    windows: HashMap<ServiceName, Window>,
}

impl RetryBudget {
    /// Creates a budget with empty counts.
    pub fn new(bound: RetryBound) -> Self {
        Self { bound, windows: HashMap::new() }
    }

    /// Replaces the bound; counts start from zero if it differs.
    pub fn set_bound(&mut self, bound: RetryBound) {
        if bound != self.bound {
            // Slices of different lengths cannot be added up.
            self.windows.clear();
            self.bound = bound;
        }
    }

    /// Records a request to a service with `depth` calls above it; `usage` is the mean use of
    /// services by requests of its route.
    pub fn record_request(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        depth: u32,
        usage: Option<&Usage>,
    ) {
        let slice = self.bound.slice_at(now);
        let weighted_requests =
            USED_BOUND_FRACTION - ANCESTOR_FRACTION * f64::from(depth.min(MAX_ANCESTOR_LEVELS));
        let counts = Counts { weighted_requests, ..Counts::default() };
        self.window_of(service).add(slice, counts);
        for used in uses_of_other_services(service, usage) {
            let counts = Counts { requests_below: used.arrivals, ..Counts::default() };
            self.window_of(&used.service).add(slice, counts);
        }
    }

    /// Records the retries that the entry node of a chain has reserved for one of its calls.
    pub fn record_reservation(&mut self, now: Timestamp, reservation: &RetryReservation) {
        let slice = self.bound.slice_at(now);
        let counts = Counts { reserved: reservation.retries_per_call, ..Counts::default() };
        self.window_of(&reservation.service).add(slice, counts);
    }

    /// Takes one of the reserved retries of a service; false if none are left.
    ///
    /// The reservations of all chains are used in common, as calls need unequal numbers of retries.
    pub fn take_reserved_retry(&mut self, now: Timestamp, service: &ServiceName) -> bool {
        let slice = self.bound.slice_at(now);
        let window = self.window_of(service);
        let sum = window.sum(slice);
        let overdraft = OVERDRAFT_DEVIATIONS * sum.reserved.sqrt();
        if sum.taken_of_reserved + 1.0 > sum.reserved + overdraft {
            return false;
        }
        window.add(slice, Counts { retries: 1.0, taken_of_reserved: 1.0, ..Counts::default() });
        true
    }

    /// Takes one retry from the budget; false if the budget is exhausted.
    ///
    /// `fleet_size` is the number of nodes. `retry_rank` is the rank of the call chain among those that
    /// compete for retries: rank 0 may use the whole allowance, and rank 1 is refused first.
    pub fn take_retry(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        usage: Option<&Usage>,
        fleet_size: usize,
        retry_rank: f64,
    ) -> bool {
        let slice = self.bound.slice_at(now);
        let RetryBound { ratio, slack, .. } = self.bound;
        let slack = slack * USED_SLACK_FRACTION / fleet_size.max(1) as f64;
        let own = self.window_of(service).sum(slice);
        let allowed = ratio * own.weighted_requests + slack;
        if own.retries + 1.0 > allowed
            || own.retries > allowed * (1.0 - MAX_RESERVED_FRACTION * retry_rank)
        {
            return false;
        }
        for used in uses_of_other_services(service, usage) {
            let counts = self.window_of(&used.service).sum(slice);
            let allowed = ratio * ANCESTOR_FRACTION * counts.requests_below + slack;
            if counts.retries_below + used.arrivals > allowed {
                return false;
            }
        }
        let counts = Counts { retries: 1.0, ..Counts::default() };
        self.window_of(service).add(slice, counts);
        for used in uses_of_other_services(service, usage) {
            let counts = Counts { retries_below: used.arrivals, ..Counts::default() };
            self.window_of(&used.service).add(slice, counts);
        }
        true
    }

    fn window_of(&mut self, service: &ServiceName) -> &mut Window {
        if !self.windows.contains_key(service) {
            self.windows.insert(service.clone(), Window::default());
        }
        self.windows.get_mut(service).expect("the window has been inserted")
    }
}

/// Uses of services other than the called `service`.
fn uses_of_other_services<'a>(
    service: &'a ServiceName,
    usage: Option<&'a Usage>,
) -> impl Iterator<Item = &'a ServiceUse> {
    usage.into_iter().flat_map(|usage| &usage.services).filter(move |it| it.service != *service)
}
