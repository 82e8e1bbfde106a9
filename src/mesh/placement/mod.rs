//! Load balancing: chooses the instance that is expected to answer first.
//!
//! Load pattern: the instances of a service differ in speed by a factor of two or three, and one
//! of them may be the only one in its availability zone. A choice by zone or by number of requests
//! in flight would fill the slow instance while fast ones have spare capacity.

mod balanced;
mod speed;
mod view;

use std::{collections::HashMap, sync::Arc, time::Duration};

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use smallvec::SmallVec;

pub use self::speed::UpstreamSpeed;
use self::{balanced::Estimate, view::View};
use crate::{admission::PaceReport, clock::Timestamp, names::InstanceName};

/// Age from which a load report no longer describes the present queue.
const REPORT_LIFETIME: Duration = Duration::from_secs(1);
/// Cost of an instance in another availability zone, as a fraction of `answer_within`: traffic
/// between zones is charged for.
const CROSS_ZONE_COST: f64 = 0.06;
/// Expected time of a request, in seconds, while no candidate has reported one for its route.
const DEFAULT_REQUEST_TIME_S: f64 = 0.05;
/// Shortest mean time of requests that a capacity is computed from.
const MIN_REQUEST_TIME_S: f64 = 0.001;
/// Relative random variation of costs, so that nodes with the same view do not all choose the same
/// instance.
const COST_JITTER: f64 = 0.1;
/// Cost of an instance with all slots occupied, as a fraction of the request's expected time there;
/// it grows with the fourth power of the occupied fraction.
const OCCUPANCY_COST: f64 = 0.5;
/// Cost of an instance with all slots occupied, as a fraction of `answer_within`: a slower
/// instance with a free slot is preferred if it answers at most this much later. While all instances
/// are nearly full, the service has the highest capacity when no slot stays free, and any answer
/// within `answer_within` is worth the same.
const FULL_COST: f64 = 0.4;
/// Exponent of the occupied fraction in [`FULL_COST`]. The cost must not be a step function, because
/// load reports lag slightly behind the queue.
const FULL_EXPONENT: i32 = 12;
/// Weight of a new attempt in the moving average of failures.
const FAILURE_WEIGHT: f64 = 0.15;
/// Cost of an instance that fails every attempt, as a fraction of `answer_within`.
const FAILURE_COST: f64 = 1.0;
/// Time for which an instance that could not be reached is avoided.
const UNREACHABLE_PAUSE: Duration = Duration::from_millis(700);
/// Time constant with which a failure rate decays, so that a failing instance is tried again.
const FAILURE_TIME_CONSTANT: Duration = Duration::from_secs(2);
/// Time without an attempt after which the statistics of an instance may be evicted.
const UNUSED_LIFETIME: Duration = Duration::from_secs(60);
/// Weight of a new attempt in the least time in the network while it is longer than that time.
const NETWORK_TIME_WEIGHT: f64 = 0.01;
/// Exponent of the occupied fraction in the cost of an instance that reports its speed. With all slots
/// occupied, the cost is the mean time of a request.
const PRESSURE_EXPONENT: i32 = 4;
/// Number of instances above which unused ones are evicted.
const EVICTION_THRESHOLD: usize = 256;

/// An instance that offers the service.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// Name of the instance.
    pub instance: &'a InstanceName,
    /// Whether it is in the availability zone of this node.
    pub is_same_zone: bool,
    /// Requests that its upstream can run at the same time.
    pub slots: u32,
    /// Requests in 1000 s that its upstream accepts from all nodes while it is cold; 0 while it is warm.
    pub pace_per_ks: u32,
}

/// Load of an upstream, as reported by its local node.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadReport {
    /// Requests that the upstream is running.
    pub running: u32,
    /// Requests that are queued for the upstream.
    pub waiting: u32,
    /// Requests that may run at the same time.
    pub limit: u32,
    /// Mean time that a request holds a slot, in seconds.
    pub mean_s: f64,
    /// The same for the requests of the requested route; 0 while unknown.
    pub route_mean_s: f64,
    /// Requests per second that the upstream accepts from all nodes together, if it names a limit.
    pub named_rate_per_s: Option<f64>,
    /// Pace of the upstream while it is cold; `None` while it is warm.
    pub pace: Option<PaceReport>,
    /// Expected time of a request that starts now, relative to `mean_s`; `None` if the upstream does not
    /// report its speed.
    pub relative_time: Option<f64>,
}

/// How an attempt at an instance ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptResult {
    /// Complete response that is not a failure of the upstream.
    Answered,
    /// Refused without running the request.
    Refused,
    /// Error of the upstream, or no complete response.
    Failed,
    /// No connection to the instance, or the instance has no upstream.
    Unreachable,
    /// Cancelled by the caller.
    Abandoned,
}

#[derive(Debug, Clone, Default)]
struct InstanceStats {
    in_flight: u32,
    report: Option<(LoadReport, Timestamp)>,
    /// View of an instance whose upstream reports its speed.
    view: Option<View>,
    /// Least time in the network of the last attempts, in seconds.
    network_s: Option<f64>,
    /// Value of `in_flight` when the report arrived.
    in_flight_at_report: u32,
    /// Mean time of requests in seconds, by route.
    route_mean_s: HashMap<Arc<str>, f64>,
    failure_rate: f64,
    failure_rate_at: Timestamp,
    unreachable_until: Timestamp,
    last_used_at: Timestamp,
}

/// Statistics of the instances that this node sends requests to, from which it chooses among them.
#[derive(Debug)]
pub struct Placement {
    instances: HashMap<InstanceName, InstanceStats>,
    random: ChaCha8Rng,
}

impl Placement {
    /// Creates a balancer without statistics; `seed` initialises its random generator.
    pub fn new(seed: u64) -> Self {
        Self { instances: HashMap::new(), random: ChaCha8Rng::seed_from_u64(seed) }
    }

    /// Chooses the candidate with the least cost and returns its index; `None` if there is none.
    ///
    /// `answer_within` is the time within which an answer of the route is worth most.
    pub fn choose(
        &mut self,
        now: Timestamp,
        route: &str,
        answer_within: Duration,
        candidates: &[Candidate<'_>],
    ) -> Option<usize> {
        let mean_route_s = self.mean_route_time_s(route, candidates);
        if candidates.iter().any(|it| self.recent_view(now, it.instance).is_some()) {
            return self.choose_by_speed(now, route, answer_within, candidates, mean_route_s);
        }
        let mut best: Option<(f64, usize)> = None;
        for (index, candidate) in candidates.iter().enumerate() {
            let stats = self.instances.get(candidate.instance);
            let cost_s = cost(now, route, answer_within, candidate, stats, mean_route_s);
            let varied_s = cost_s * self.random.random_range(1.0 - COST_JITTER..1.0 + COST_JITTER);
            if best.is_none_or(|(least_s, _)| varied_s < least_s) {
                best = Some((varied_s, index));
            }
        }
        best.map(|(_, index)| index)
    }

    fn recent_view(&self, now: Timestamp, instance: &InstanceName) -> Option<&View> {
        let view = self.instances.get(instance)?.view.as_ref()?;
        view.is_recent(now).then_some(view)
    }

    /// Chooses among instances that report their speed.
    fn choose_by_speed(
        &mut self,
        now: Timestamp,
        route: &str,
        answer_within: Duration,
        candidates: &[Candidate<'_>],
        mean_route_s: f64,
    ) -> Option<usize> {
        let is_reachable = |it: &Candidate<'_>| {
            self.instances.get(it.instance).is_none_or(|stats| now >= stats.unreachable_until)
        };
        let mut indices: SmallVec<[usize; 16]> =
            (0..candidates.len()).filter(|index| is_reachable(&candidates[*index])).collect();
        if indices.is_empty() {
            indices.extend(0..candidates.len());
        }
        let estimates: SmallVec<[Estimate; 16]> = indices
            .iter()
            .map(|index| {
                let candidate = &candidates[*index];
                let stats = self.instances.get(candidate.instance);
                estimate(now, route, answer_within, candidate, stats, mean_route_s)
            })
            .collect();
        let chosen = balanced::choose(&mut self.random, &estimates, mean_route_s)?;
        Some(indices[chosen])
    }

    /// Records the time of an answered attempt beyond the time that the request held its slot.
    pub fn record_network_time(&mut self, instance: &InstanceName, time: Duration) {
        let Some(stats) = self.instances.get_mut(instance) else { return };
        let time_s = time.as_secs_f64();
        stats.network_s = Some(match stats.network_s {
            // Waiting at the node of the instance is part of longer times.
            Some(least_s) if time_s > least_s => {
                least_s + NETWORK_TIME_WEIGHT * (time_s - least_s).min(least_s)
            }
            _ => time_s,
        });
    }

    /// Mean time of the route, in seconds, over the candidates that have reported one.
    fn mean_route_time_s(&self, route: &str, candidates: &[Candidate<'_>]) -> f64 {
        let known = candidates
            .iter()
            .filter_map(|it| self.instances.get(it.instance)?.route_mean_s.get(route).copied());
        let (sum, count) = known.fold((0.0, 0u32), |(sum, count), it| (sum + it, count + 1));
        match count {
            0 => DEFAULT_REQUEST_TIME_S,
            _ => sum / f64::from(count),
        }
    }

    /// Records the start of an attempt at an instance.
    pub fn attempt_started(&mut self, now: Timestamp, instance: &InstanceName) {
        if self.instances.len() > EVICTION_THRESHOLD {
            self.instances
                .retain(|_, it| it.in_flight > 0 || now < it.last_used_at + UNUSED_LIFETIME);
        }
        let stats = self.instances.entry(instance.clone()).or_default();
        stats.in_flight += 1;
        stats.last_used_at = now;
    }

    /// Records the end of an attempt at an instance, with the load report that came with it.
    pub fn attempt_finished(
        &mut self,
        now: Timestamp,
        instance: &InstanceName,
        route: &Arc<str>,
        result: AttemptResult,
        report: Option<LoadReport>,
    ) {
        let Some(stats) = self.instances.get_mut(instance) else { return };
        stats.in_flight = stats.in_flight.saturating_sub(1);
        if let Some(report) = report {
            stats.report = Some((report, now));
            stats.view = View::update(stats.view, now, &report);
            stats.in_flight_at_report = stats.in_flight;
            if report.route_mean_s > 0.0 {
                stats.route_mean_s.insert(route.clone(), report.route_mean_s);
            }
        }
        let rate = stats.failure_rate(now);
        stats.failure_rate_at = now;
        match result {
            AttemptResult::Answered => stats.failure_rate = rate * (1.0 - FAILURE_WEIGHT),
            AttemptResult::Failed => stats.failure_rate = rate + FAILURE_WEIGHT * (1.0 - rate),
            AttemptResult::Unreachable => {
                stats.failure_rate = rate + FAILURE_WEIGHT * (1.0 - rate);
                stats.unreachable_until = now + UNREACHABLE_PAUSE;
            }
            AttemptResult::Refused | AttemptResult::Abandoned => stats.failure_rate = rate,
        }
        if result == AttemptResult::Answered {
            stats.unreachable_until = Timestamp::ZERO;
        }
    }

    /// Limit on requests per second that the upstream of an instance named last.
    pub fn named_rate_per_s(&self, instance: &InstanceName) -> Option<f64> {
        self.instances.get(instance)?.report?.0.named_rate_per_s
    }

    /// Requests per second that an instance can run by its last report, and its pace if it was cold then;
    /// `None` without a current report.
    pub fn reported_capacity(
        &self,
        now: Timestamp,
        instance: &InstanceName,
    ) -> Option<(f64, Option<PaceReport>)> {
        let (report, at) = self.instances.get(instance)?.report?;
        if now >= at + REPORT_LIFETIME {
            return None;
        }
        let capacity_per_s = f64::from(report.limit) / report.mean_s.max(MIN_REQUEST_TIME_S);
        let pace = report.pace.and_then(|pace| {
            let remaining = pace.remaining.saturating_sub(now.saturating_sub(at));
            (!remaining.is_zero()).then_some(PaceReport { remaining, ..pace })
        });
        Some((capacity_per_s, pace))
    }

    /// Load of a service: running and queued requests of its instances divided by their concurrency
    /// limits; `None` without a current report.
    pub fn service_load<'a>(
        &self,
        now: Timestamp,
        instances: impl Iterator<Item = &'a InstanceName>,
    ) -> Option<f64> {
        let reports = instances.filter_map(|name| {
            let (report, at) = self.instances.get(name)?.report?;
            (now < at + REPORT_LIFETIME).then_some(report)
        });
        let (held, limit) = reports.fold((0.0, 0.0), |(held, limit), report| {
            let requests = f64::from(report.running) + f64::from(report.waiting);
            (held + requests, limit + f64::from(report.limit))
        });
        (limit > 0.0).then(|| held / limit)
    }
}

impl InstanceStats {
    /// Failure rate, decayed since the last attempt.
    fn failure_rate(&self, now: Timestamp) -> f64 {
        let age_s = now.saturating_sub(self.failure_rate_at).as_secs_f64();
        self.failure_rate * (-age_s / FAILURE_TIME_CONSTANT.as_secs_f64()).exp()
    }
}

/// What is expected of an instance where the upstreams report their speed.
fn estimate(
    now: Timestamp,
    route: &str,
    answer_within: Duration,
    candidate: &Candidate<'_>,
    stats: Option<&InstanceStats>,
    mean_route_s: f64,
) -> Estimate {
    let answer_within_s = answer_within.as_secs_f64();
    let slots = f64::from(candidate.slots.max(1));
    let far_s = if candidate.is_same_zone { 0.0 } else { CROSS_ZONE_COST * answer_within_s };
    let unknown = Estimate {
        capacity_per_s: slots / mean_route_s,
        cost_s: 0.0,
        is_same_zone: candidate.is_same_zone,
        network_s: far_s,
    };
    let Some(stats) = stats else { return unknown };
    let network_s = stats.network_s.unwrap_or(far_s);
    let failure_rate = stats.failure_rate(now);
    let failure_s = failure_rate * FAILURE_COST * answer_within_s;
    let reliability = (1.0 - failure_rate).powi(2).max(0.01);
    let Some((view, (report, _))) = stats.view.zip(stats.report) else {
        let capacity_per_s = unknown.capacity_per_s * reliability;
        return Estimate { capacity_per_s, cost_s: failure_s, network_s, ..unknown };
    };
    let sent_since = stats.in_flight.saturating_sub(stats.in_flight_at_report);
    let occupied = view.occupied(now, sent_since);
    let capacity_per_s = view.capacity_per_s(now);
    let limit = f64::from(report.limit.max(1));
    let wait_s = (occupied * limit + 1.0 - limit).max(0.0) / capacity_per_s;
    let route_s = stats.route_mean_s.get(route).copied().unwrap_or(mean_route_s);
    let answer_s = wait_s + route_s * view.relative_time(now, report.mean_s) + network_s;
    // Any answer within the time is worth the same, so that slow instances are used for what they can
    // still answer in time.
    let late_s = 2.0 * (answer_s - answer_within_s).max(0.0);
    let pressure_s = mean_route_s * occupied.min(1.0).powi(PRESSURE_EXPONENT);
    Estimate {
        capacity_per_s: capacity_per_s * reliability,
        cost_s: pressure_s + wait_s + late_s + failure_s,
        is_same_zone: candidate.is_same_zone,
        network_s,
    }
}

/// Expected time until the answer plus the penalties of the candidate, in seconds.
fn cost(
    now: Timestamp,
    route: &str,
    answer_within: Duration,
    candidate: &Candidate<'_>,
    stats: Option<&InstanceStats>,
    mean_route_s: f64,
) -> f64 {
    let answer_within_s = answer_within.as_secs_f64();
    let zone_s = if candidate.is_same_zone { 0.0 } else { CROSS_ZONE_COST * answer_within_s };
    let Some(stats) = stats else { return mean_route_s + zone_s };
    let route_s = stats.route_mean_s.get(route).copied().unwrap_or(mean_route_s);
    let (occupied, limit, mean_s) = match stats.report {
        Some((report, at)) if now < at + REPORT_LIFETIME => {
            let started_since = stats.in_flight.saturating_sub(stats.in_flight_at_report);
            let occupied = report.running + report.waiting + started_since;
            (f64::from(occupied), f64::from(report.limit.max(1)), report.mean_s)
        }
        _ => (f64::from(stats.in_flight), f64::from(candidate.slots.max(1)), route_s),
    };
    let wait_s = (occupied + 1.0 - limit).max(0.0) * mean_s / limit;
    let fullness = (occupied / limit).min(1.0);
    let occupancy_s = route_s * OCCUPANCY_COST * fullness.powi(4);
    let full_s = FULL_COST * answer_within_s * fullness.powi(FULL_EXPONENT);
    let failure_s = stats.failure_rate(now) * FAILURE_COST * answer_within_s;
    let unreachable_s = if now < stats.unreachable_until { 10.0 * answer_within_s } else { 0.0 };
    route_s + wait_s + occupancy_s + full_s + failure_s + unreachable_s + zone_s
}
