//! Choice of a target from what this node has seen of each.

use std::{collections::BTreeMap, time::Duration};

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use crate::{clock::Timestamp, names::InstanceName};

/// Weight of a new answer in the mean latency.
const LATENCY_WEIGHT: f64 = 0.1;
/// Weight of a new attempt in the failure rate.
const FAILURE_WEIGHT: f64 = 0.1;
/// Latency of a target without an answer yet.
const UNKNOWN_LATENCY_S: f64 = 0.010;
/// Load from which requests start to leave the own availability zone, and from which all do.
const ZONE_LOADS: (f64, f64) = (0.6, 0.95);
/// A load report that is older says nothing.
const LOAD_LIFETIME: Duration = Duration::from_millis(500);
/// Failure rate beyond which a target is an outlier, where the others do better.
const OUTLIER_RATE: f64 = 0.5;
/// The others' mean failure rate must be below this part of the outlier's.
const OUTLIER_CONTRAST: f64 = 0.5;
/// Time between two requests to an outlier, which show whether it has recovered.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Targets that have gone are forgotten when there are more than this.
const MAX_TARGETS: usize = 1024;
/// A target is forgotten when it was not used for this long.
const FORGET_AFTER: Duration = Duration::from_secs(60);
/// Load in replies is counted in 1/128.
const LOAD_UNIT: f64 = 128.0;
/// Load from which a target is expected to refuse or to let a request wait.
const FULL_LOAD: f64 = 1.0;
/// Growth of the cost with load beyond that.
const FULL_COST: f64 = 8.0;

/// A row that offers the service.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// Name of the instance.
    pub instance: &'a InstanceName,
    /// It is in this node's availability zone.
    pub same_zone: bool,
}

/// How one attempt at a target ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptResult {
    /// A whole answer that is not a server error.
    Answered,
    /// Refused as not run.
    Refused,
    /// An error or no answer.
    Failed,
    /// The caller went away.
    Abandoned,
}

#[derive(Debug, Clone)]
struct Target {
    in_flight: u32,
    latency_s: Option<f64>,
    failure_rate: f64,
    load: f64,
    load_at: Option<Timestamp>,
    /// Own in-flight count when the load report came.
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

    fn reported_load(&self, now: Timestamp) -> f64 {
        match self.load_at {
            Some(at) if now < at + LOAD_LIFETIME => self.load,
            _ => 0.0,
        }
    }

    /// Expected time to an answer: latency, times what is ahead of the request.
    ///
    /// The node's own in-flight count rises with each choice, so a stale report cannot draw all
    /// requests to one target.
    fn cost(&self, now: Timestamp) -> f64 {
        let latency_s = self.latency_s.unwrap_or(UNKNOWN_LATENCY_S);
        let load = self.reported_load(now);
        let since_report = self.in_flight.saturating_sub(self.in_flight_at_load);
        let ahead = 1.0 + load + f64::from(since_report) / f64::from(self.in_flight.max(4));
        // A full target does not answer late, it refuses.
        let full = 1.0 + FULL_COST * (load - FULL_LOAD).max(0.0);
        let success = (1.0 - self.failure_rate).max(0.02);
        latency_s * ahead * ahead * full * f64::from(self.in_flight + 1) / success
    }
}

/// What this node has seen of the targets that it sends requests to.
#[derive(Debug)]
pub struct Targets {
    targets: BTreeMap<InstanceName, Target>,
    random: ChaCha8Rng,
}

impl Targets {
    /// Makes an empty memory.
    pub fn new(seed: u64) -> Self {
        Self { targets: BTreeMap::new(), random: ChaCha8Rng::seed_from_u64(seed) }
    }

    /// Chooses a target; returns its index among `candidates`.
    ///
    /// Targets in `tried` are used only where there is no other.
    pub fn choose(
        &mut self,
        now: Timestamp,
        candidates: &[Candidate<'_>],
        tried: &[InstanceName],
    ) -> Option<usize> {
        let mut open: Vec<usize> = (0..candidates.len())
            .filter(|index| !tried.contains(candidates[*index].instance))
            .collect();
        if open.is_empty() {
            open = (0..candidates.len()).collect();
        }
        self.remove_outliers(now, candidates, &mut open);
        match open[..] {
            [] => None,
            [only] => Some(only),
            _ => Some(self.choose_open(now, candidates, &open)),
        }
    }

    /// An attempt at a target begins.
    pub fn attempt_started(&mut self, now: Timestamp, instance: &InstanceName) {
        if self.targets.len() > MAX_TARGETS {
            self.targets
                .retain(|_, target| target.in_flight > 0 || now < target.used_at + FORGET_AFTER);
        }
        let target = self.targets.entry(instance.clone()).or_insert_with(|| Target::new(now));
        target.in_flight += 1;
        target.used_at = now;
    }

    /// An attempt at a target ended; `load` is what its reply said, in 1/128.
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
                // Only answers count: a fast error or refusal does not make a target fast.
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

    /// Tells whether a target that was not tried is known to have room.
    pub fn has_room(
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

    /// Leaves out targets that fail while others do not, but for a probe now and then.
    fn remove_outliers(
        &mut self,
        now: Timestamp,
        candidates: &[Candidate<'_>],
        open: &mut Vec<usize>,
    ) {
        let rate = |index: usize| {
            self.targets.get(candidates[index].instance).map_or(0.0, |it| it.failure_rate)
        };
        let sum: f64 = open.iter().map(|index| rate(*index)).sum();
        let others = open.len().saturating_sub(1).max(1) as f64;
        let outliers: Vec<usize> = open
            .iter()
            .copied()
            .filter(|index| {
                let own = rate(*index);
                own > OUTLIER_RATE && (sum - own) / others < OUTLIER_CONTRAST * own
            })
            .collect();
        for index in outliers {
            if open.len() == 1 {
                return;
            }
            if let Some(target) = self.targets.get_mut(candidates[index].instance)
                && now >= target.probed_at + PROBE_INTERVAL
            {
                target.probed_at = now;
                *open = vec![index];
                return;
            }
            open.retain(|it| *it != index);
        }
    }

    fn choose_open(
        &mut self,
        now: Timestamp,
        candidates: &[Candidate<'_>],
        open: &[usize],
    ) -> usize {
        let local: Vec<usize> =
            open.iter().copied().filter(|index| candidates[*index].same_zone).collect();
        if !local.is_empty() {
            let load = |index: &usize| {
                let target = self.targets.get(candidates[*index].instance);
                target.map_or(0.0, |target| target.reported_load(now))
            };
            let least = local.iter().map(load).fold(f64::INFINITY, f64::min);
            let (from, to) = ZONE_LOADS;
            // The preference fades with load, so that a zone does not switch as one.
            if self.random.random_range(0.0..1.0) < (to - least) / (to - from) {
                return self.choose_of_two(now, candidates, &local);
            }
        }
        self.choose_of_two(now, candidates, open)
    }

    fn choose_of_two(
        &mut self,
        now: Timestamp,
        candidates: &[Candidate<'_>],
        open: &[usize],
    ) -> usize {
        let first = self.random.random_range(0..open.len());
        if open.len() == 1 {
            return open[0];
        }
        let other = self.random.random_range(0..open.len() - 1);
        let second = other + usize::from(other >= first);
        let cost = |index: usize| {
            let target = self.targets.get(candidates[open[index]].instance);
            target.map_or(0.0, |target| target.cost(now))
        };
        match cost(first) <= cost(second) {
            true => open[first],
            false => open[second],
        }
    }
}
