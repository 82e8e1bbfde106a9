//! Choice of an instance: the one that is expected to answer first.
//!
//! Load pattern: the copies of a service differ in speed by a factor of two or three, and one of
//! them may stand alone in its zone. A choice by zone or by number of requests fills the slow
//! copy while fast ones have room.

use std::{collections::HashMap, sync::Arc, time::Duration};

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use crate::{clock::Timestamp, names::InstanceName};

/// A load report that is older says nothing of the present queue.
const REPORT_LIFETIME: Duration = Duration::from_secs(1);
/// Part of the time within which the answer is wanted that a request may take longer to stay in
/// its availability zone: bytes between zones are paid for.
const ZONE_TOLERANCE: f64 = 0.06;
/// Time of a request where nothing is known of the instance or the route.
const UNKNOWN_TIME_S: f64 = 0.05;
/// Part by which estimates are varied, so that nodes with the same view do not all choose alike.
const JITTER: f64 = 0.1;
/// How much longer a request takes at an instance that is about to be full.
const NEARLY_FULL_COST: f64 = 0.5;
/// Part of the time within which the answer is wanted that a request may take longer at a copy with
/// a free slot than at one without. While all copies are nearly full, the service has most room where
/// no slot stays free, and an answer in time is worth as much as an early one.
const FULL_COST: f64 = 0.4;
/// How sharply that sets in as the slots fill; reports are a little old, so it must not be a step.
const FULL_EXPONENT: i32 = 12;
/// Weight of a new attempt in the failure rate.
const FAILURE_WEIGHT: f64 = 0.15;
/// Time that an attempt at a failing instance is expected to cost, as a part of the time within
/// which the answer is wanted.
const FAILURE_COST: f64 = 1.0;
/// Time without requests to an instance that could not be reached.
const UNREACHABLE_PAUSE: Duration = Duration::from_millis(700);
/// Time constant with which a failure rate is forgotten, so that an instance is tried again.
const FAILURE_MEMORY: Duration = Duration::from_secs(2);
/// Instances that were not used for this long are forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(60);
/// Instances beyond which unused ones are looked for.
const MAX_INSTANCES: usize = 256;

/// An instance that offers the service.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// Name of the instance.
    pub instance: &'a InstanceName,
    /// It is in this node's availability zone.
    pub same_zone: bool,
    /// Requests that its upstream runs at once.
    pub slots: u32,
}

/// What the node beside an upstream says of its load.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadReport {
    /// Requests that the upstream runs.
    pub running: u32,
    /// Requests that wait before it.
    pub waiting: u32,
    /// Requests that may run at once.
    pub limit: u32,
    /// Mean time that a request holds a slot, in seconds.
    pub mean_s: f64,
    /// The same for requests of the route that was asked for.
    pub route_mean_s: f64,
}

/// How an attempt at an instance ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptResult {
    /// An answer that is not a failure of the upstream.
    Answered,
    /// Refused as not run.
    Refused,
    /// An error, or no whole answer.
    Failed,
    /// No connection, or the instance has no upstream.
    Unreachable,
    /// The caller went away.
    Abandoned,
}

#[derive(Debug, Clone, Default)]
struct Seen {
    in_flight: u32,
    report: Option<(LoadReport, Timestamp)>,
    /// Own requests in flight when the report came.
    in_flight_at_report: u32,
    route_s: HashMap<Arc<str>, f64>,
    failure_rate: f64,
    failure_at: Timestamp,
    unreachable_until: Timestamp,
    used_at: Timestamp,
}

/// What this node has seen of the instances that it sends requests to.
#[derive(Debug)]
pub struct Placement {
    instances: HashMap<InstanceName, Seen>,
    random: ChaCha8Rng,
}

impl Placement {
    /// Makes an empty memory.
    pub fn new(seed: u64) -> Self {
        Self { instances: HashMap::new(), random: ChaCha8Rng::seed_from_u64(seed) }
    }

    /// Chooses an instance; returns its index among `candidates`.
    pub fn choose(
        &mut self,
        now: Timestamp,
        route: &str,
        answer_within: Duration,
        candidates: &[Candidate<'_>],
    ) -> Option<usize> {
        let typical_s = self.typical_time(route, candidates);
        let mut best: Option<(f64, usize)> = None;
        for (index, candidate) in candidates.iter().enumerate() {
            let seen = self.instances.get(candidate.instance);
            let cost_s = cost(now, route, answer_within, candidate, seen, typical_s);
            let varied = cost_s * self.random.random_range(1.0 - JITTER..1.0 + JITTER);
            if best.is_none_or(|(least, _)| varied < least) {
                best = Some((varied, index));
            }
        }
        best.map(|(_, index)| index)
    }

    /// Time of the route at the candidates that it is known of.
    fn typical_time(&self, route: &str, candidates: &[Candidate<'_>]) -> f64 {
        let known = candidates
            .iter()
            .filter_map(|it| self.instances.get(it.instance)?.route_s.get(route).copied());
        let (sum, count) = known.fold((0.0, 0u32), |(sum, count), it| (sum + it, count + 1));
        match count {
            0 => UNKNOWN_TIME_S,
            _ => sum / f64::from(count),
        }
    }

    /// An attempt at an instance begins.
    pub fn attempt_started(&mut self, now: Timestamp, instance: &InstanceName) {
        if self.instances.len() > MAX_INSTANCES {
            self.instances.retain(|_, it| it.in_flight > 0 || now < it.used_at + FORGET_AFTER);
        }
        let seen = self.instances.entry(instance.clone()).or_default();
        seen.in_flight += 1;
        seen.used_at = now;
    }

    /// An attempt at an instance ended.
    pub fn attempt_finished(
        &mut self,
        now: Timestamp,
        instance: &InstanceName,
        route: &Arc<str>,
        end: AttemptResult,
        report: Option<LoadReport>,
    ) {
        let Some(seen) = self.instances.get_mut(instance) else { return };
        seen.in_flight = seen.in_flight.saturating_sub(1);
        if let Some(report) = report {
            seen.report = Some((report, now));
            seen.in_flight_at_report = seen.in_flight;
            if report.route_mean_s > 0.0 {
                seen.route_s.insert(route.clone(), report.route_mean_s);
            }
        }
        let rate = seen.failure_rate(now);
        seen.failure_at = now;
        match end {
            AttemptResult::Answered => seen.failure_rate = rate * (1.0 - FAILURE_WEIGHT),
            AttemptResult::Failed => seen.failure_rate = rate + FAILURE_WEIGHT * (1.0 - rate),
            AttemptResult::Unreachable => {
                seen.failure_rate = rate + FAILURE_WEIGHT * (1.0 - rate);
                seen.unreachable_until = now + UNREACHABLE_PAUSE;
            }
            AttemptResult::Refused | AttemptResult::Abandoned => seen.failure_rate = rate,
        }
        if end == AttemptResult::Answered {
            seen.unreachable_until = Timestamp::ZERO;
        }
    }

    /// Running and waiting requests of a service over what its instances run at once.
    pub fn load_of<'a>(
        &self,
        now: Timestamp,
        instances: impl Iterator<Item = &'a InstanceName>,
    ) -> Option<f64> {
        let reports = instances.filter_map(|name| {
            let (report, at) = self.instances.get(name)?.report?;
            (now < at + REPORT_LIFETIME).then_some(report)
        });
        let (held, limit) = reports.fold((0.0, 0.0), |(held, limit), report| {
            let here = f64::from(report.running) + f64::from(report.waiting);
            (held + here, limit + f64::from(report.limit))
        });
        (limit > 0.0).then(|| held / limit)
    }
}

impl Seen {
    fn failure_rate(&self, now: Timestamp) -> f64 {
        let age_s = now.saturating_sub(self.failure_at).as_secs_f64();
        self.failure_rate * (-age_s / FAILURE_MEMORY.as_secs_f64()).exp()
    }
}

/// Expected time until the answer, with what else the choice costs.
fn cost(
    now: Timestamp,
    route: &str,
    answer_within: Duration,
    candidate: &Candidate<'_>,
    seen: Option<&Seen>,
    typical_s: f64,
) -> f64 {
    let answer_within_s = answer_within.as_secs_f64();
    let zone_s = if candidate.same_zone { 0.0 } else { ZONE_TOLERANCE * answer_within_s };
    let Some(seen) = seen else { return typical_s + zone_s };
    let route_s = seen.route_s.get(route).copied().unwrap_or(typical_s);
    let (occupied, limit, mean_s) = match seen.report {
        Some((report, at)) if now < at + REPORT_LIFETIME => {
            let since = seen.in_flight.saturating_sub(seen.in_flight_at_report);
            let occupied = report.running + report.waiting + since;
            (f64::from(occupied), f64::from(report.limit.max(1)), report.mean_s)
        }
        _ => (f64::from(seen.in_flight), f64::from(candidate.slots.max(1)), route_s),
    };
    let wait_s = (occupied + 1.0 - limit).max(0.0) * mean_s / limit;
    let fullness = (occupied / limit).min(1.0);
    let nearly_full_s = route_s * NEARLY_FULL_COST * fullness.powi(4);
    let full_s = FULL_COST * answer_within_s * fullness.powi(FULL_EXPONENT);
    let failure_s = seen.failure_rate(now) * FAILURE_COST * answer_within_s;
    let unreachable_s = if now < seen.unreachable_until { 10.0 * answer_within_s } else { 0.0 };
    route_s + wait_s + nearly_full_s + full_s + failure_s + unreachable_s + zone_s
}
