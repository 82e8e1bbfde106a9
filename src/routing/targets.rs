//! Selection of a target by this node's own measurements of each target.

use std::{collections::BTreeMap, time::Duration};

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use crate::{clock::Timestamp, names::InstanceName};

/// Weight of a new answer in the exponentially weighted mean latency.
const LATENCY_WEIGHT: f64 = 0.1;
/// Weight of a new attempt in the exponentially weighted failure rate.
const FAILURE_WEIGHT: f64 = 0.1;
/// Latency that is assumed for a target that has not answered yet.
const UNKNOWN_LATENCY_S: f64 = 0.010;
/// Two loads of the least loaded target in the local availability zone: above the first, some
/// requests may go to other zones; above the second, the local zone is not preferred any more.
const ZONE_SPILL_LOADS: (f64, f64) = (0.6, 0.95);
/// Age after which a load report is ignored.
const LOAD_LIFETIME: Duration = Duration::from_millis(500);
/// Failure rate above which a target is an outlier if the other targets fail less often.
const OUTLIER_FAILURE_RATE: f64 = 0.5;
/// Largest mean failure rate of the other targets, as a fraction of the outlier's failure rate.
const MAX_OTHERS_RATE_FRACTION: f64 = 0.5;
/// Interval between probe requests to an outlier, which detect that it has recovered.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of known targets above which unused ones are removed.
const MAX_TARGETS: usize = 1024;
/// Idle time after which a target may be removed.
const TARGET_LIFETIME: Duration = Duration::from_secs(60);
/// Unit of the load in replies: 1/128 of the target's concurrency limit.
const LOAD_UNIT: f64 = 128.0;
/// Load from which a target is expected to queue or refuse requests.
const FULL_LOAD: f64 = 1.0;
/// Increase of the cost factor per unit of load above [`FULL_LOAD`].
const FULL_COST_SLOPE: f64 = 8.0;

/// A table row that offers the service.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// Name of the instance.
    pub instance: &'a InstanceName,
    /// The instance is in this node's availability zone.
    pub is_same_zone: bool,
}

/// How one attempt at a target ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptResult {
    /// A complete response that is not a server error.
    Answered,
    /// Refused; the request did not run.
    Refused,
    /// A server error, or no complete response.
    Failed,
    /// The caller disconnected before the attempt ended.
    Abandoned,
}

/// This node's measurements of one target.
#[derive(Debug, Clone)]
struct Target {
    in_flight: u32,
    latency_s: Option<f64>,
    failure_rate: f64,
    /// Last reported load, as a fraction of the target's concurrency limit.
    load: f64,
    load_at: Option<Timestamp>,
    /// This node's requests in flight to the target when the load report was received.
    in_flight_at_load: u32,
    probed_at: Timestamp,
    used_at: Timestamp,
}

impl Target {
    fn new(now: Timestamp) -> Self {
        Self {
            in_flight: 0,
            latency_s: None,
            failure_rate: 0.0,
            load: 0.0,
            load_at: None,
            in_flight_at_load: 0,
            probed_at: now,
            used_at: now,
        }
    }

    /// The load in the last report, or 0 if there is no recent report.
    fn reported_load(&self, now: Timestamp) -> f64 {
        match self.load_at {
            Some(at) if now < at + LOAD_LIFETIME => self.load,
            _ => 0.0,
        }
    }

    /// Relative cost of a further request: the mean latency, scaled by load, requests in flight and
    /// failure rate.
    ///
    /// This node's requests in flight increase with each selection, so a stale report does not
    /// attract all requests to one target.
    fn cost(&self, now: Timestamp) -> f64 {
        let latency_s = self.latency_s.unwrap_or(UNKNOWN_LATENCY_S);
        let load = self.reported_load(now);
        let since_report = self.in_flight.saturating_sub(self.in_flight_at_load);
        let load_factor = 1.0 + load + f64::from(since_report) / f64::from(self.in_flight.max(4));
        // A target at full load refuses requests rather than answering late.
        let full_factor = 1.0 + FULL_COST_SLOPE * (load - FULL_LOAD).max(0.0);
        let success_rate = (1.0 - self.failure_rate).max(0.02);
        latency_s * load_factor * load_factor * full_factor * f64::from(self.in_flight + 1)
            / success_rate
    }
}

/// This node's measurements of all targets that it sends requests to.
#[derive(Debug)]
pub struct Targets {
    targets: BTreeMap<InstanceName, Target>,
    random: ChaCha8Rng,
}

impl Targets {
    /// Creates an empty set of targets; `seed` drives the random choices.
    pub fn new(seed: u64) -> Self {
        Self { targets: BTreeMap::new(), random: ChaCha8Rng::seed_from_u64(seed) }
    }

    /// Selects a target and returns its index in `candidates`; `None` if there are no candidates.
    ///
    /// Targets in `tried` are selected only if there is no other.
    pub fn choose_target(
        &mut self,
        now: Timestamp,
        candidates: &[Candidate<'_>],
        tried: &[InstanceName],
    ) -> Option<usize> {
        let mut eligible: Vec<usize> = (0..candidates.len())
            .filter(|index| !tried.contains(candidates[*index].instance))
            .collect();
        if eligible.is_empty() {
            eligible = (0..candidates.len()).collect();
        }
        self.remove_outliers(now, candidates, &mut eligible);
        match eligible[..] {
            [] => None,
            [only] => Some(only),
            _ => Some(self.choose_eligible(now, candidates, &eligible)),
        }
    }

    /// Records the start of an attempt at a target.
    pub fn attempt_started(&mut self, now: Timestamp, instance: &InstanceName) {
        if self.targets.len() > MAX_TARGETS {
            self.targets
                .retain(|_, target| target.in_flight > 0 || now < target.used_at + TARGET_LIFETIME);
        }
        let target = self.targets.entry(instance.clone()).or_insert_with(|| Target::new(now));
        target.in_flight += 1;
        target.used_at = now;
    }

    /// Records the end of an attempt at a target. `load` is the load in its reply, in 1/128 of the
    /// target's concurrency limit.
    pub fn attempt_finished(
        &mut self,
        now: Timestamp,
        instance: &InstanceName,
        result: AttemptResult,
        latency: Duration,
        load: Option<u32>,
    ) {
        let Some(target) = self.targets.get_mut(instance) else { return };
        target.in_flight = target.in_flight.saturating_sub(1);
        if let Some(load) = load {
            target.load = f64::from(load) / LOAD_UNIT;
            target.load_at = Some(now);
            target.in_flight_at_load = target.in_flight;
        }
        match result {
            AttemptResult::Answered => {
                // Only answers count, so that fast errors or refusals do not lower the latency.
                let latency_s = latency.as_secs_f64();
                let mean_s = target.latency_s.unwrap_or(latency_s);
                target.latency_s = Some(mean_s + LATENCY_WEIGHT * (latency_s - mean_s));
                target.failure_rate *= 1.0 - FAILURE_WEIGHT;
            }
            AttemptResult::Failed => {
                target.failure_rate += FAILURE_WEIGHT * (1.0 - target.failure_rate);
            }
            AttemptResult::Refused | AttemptResult::Abandoned => {}
        }
    }

    /// Whether a target that was not tried has spare capacity by its last load report; a target
    /// without a recent report counts as having some.
    pub fn has_spare_target(
        &self,
        now: Timestamp,
        candidates: &[Candidate<'_>],
        tried: &[InstanceName],
    ) -> bool {
        candidates.iter().filter(|candidate| !tried.contains(candidate.instance)).any(|candidate| {
            let target = self.targets.get(candidate.instance);
            target.is_none_or(|target| target.reported_load(now) < FULL_LOAD)
        })
    }

    /// Removes outliers from `eligible`. If a probe of an outlier is due, only that target is left.
    fn remove_outliers(
        &mut self,
        now: Timestamp,
        candidates: &[Candidate<'_>],
        eligible: &mut Vec<usize>,
    ) {
        let rate = |index: usize| {
            self.targets.get(candidates[index].instance).map_or(0.0, |it| it.failure_rate)
        };
        let sum: f64 = eligible.iter().map(|index| rate(*index)).sum();
        let other_count = eligible.len().saturating_sub(1).max(1) as f64;
        let outliers: Vec<usize> = eligible
            .iter()
            .copied()
            .filter(|index| {
                let own_rate = rate(*index);
                own_rate > OUTLIER_FAILURE_RATE
                    && (sum - own_rate) / other_count < MAX_OTHERS_RATE_FRACTION * own_rate
            })
            .collect();
        for index in outliers {
            if eligible.len() == 1 {
                return;
            }
            if let Some(target) = self.targets.get_mut(candidates[index].instance)
                && now >= target.probed_at + PROBE_INTERVAL
            {
                target.probed_at = now;
                *eligible = vec![index];
                return;
            }
            eligible.retain(|it| *it != index);
        }
    }

    /// Selects among several eligible targets, with a preference for the local zone.
    fn choose_eligible(
        &mut self,
        now: Timestamp,
        candidates: &[Candidate<'_>],
        eligible: &[usize],
    ) -> usize {
        let local: Vec<usize> =
            eligible.iter().copied().filter(|index| candidates[*index].is_same_zone).collect();
        if !local.is_empty() {
            let load = |index: &usize| {
                let target = self.targets.get(candidates[*index].instance);
                target.map_or(0.0, |target| target.reported_load(now))
            };
            let lowest_load = local.iter().map(load).fold(f64::INFINITY, f64::min);
            let (from, to) = ZONE_SPILL_LOADS;
            // The preference decreases gradually with load, so that not all requests of a zone move
            // at the same time.
            if self.random.random_range(0.0..1.0) < (to - lowest_load) / (to - from) {
                return self.choose_cheaper_of_two(now, candidates, &local);
            }
        }
        self.choose_cheaper_of_two(now, candidates, eligible)
    }

    /// Selects the cheaper of two random targets (power of two choices).
    fn choose_cheaper_of_two(
        &mut self,
        now: Timestamp,
        candidates: &[Candidate<'_>],
        eligible: &[usize],
    ) -> usize {
        let first = self.random.random_range(0..eligible.len());
        if eligible.len() == 1 {
            return eligible[0];
        }
        let other = self.random.random_range(0..eligible.len() - 1);
        let second = other + usize::from(other >= first);
        let cost = |index: usize| {
            let target = self.targets.get(candidates[eligible[index]].instance);
            target.map_or(0.0, |target| target.cost(now))
        };
        match cost(first) <= cost(second) {
            true => eligible[first],
            false => eligible[second],
        }
    }
}
