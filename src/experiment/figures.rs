//! Figures of a simulation run, compared with those of an ideal overload control.
//!
//! The ideal control serves the demand within the organisations' rates up to the capacity of the
//! live instances.

use std::time::Duration;

use crate::experiment::{Deployment, Scenario};

/// Width of the time buckets that counts are kept in.
pub(crate) const BUCKET_WIDTH: Duration = Duration::from_millis(100);
/// Goodput counts as recovered while it is at least this fraction of the ideal.
const RECOVERED_GOODPUT_RATIO: f64 = 0.9;
/// Number of buckets that goodput is averaged over when recovery is checked.
const GOODPUT_WINDOW_BUCKETS: usize = 5;
/// Number of consecutive buckets for which goodput must stay recovered.
const RECOVERY_HOLD_BUCKETS: usize = 40;
/// Ratio of offered to ideal requests up to which refusals count as wrongful. Above it, capacity
/// is short and some refusals are right. The 1 % allows for random variation of arrivals.
const MAX_DEMAND_RATIO: f64 = 1.01;

/// Counts of a run. A sending is one transmission of a request by its caller: the original one or
/// one of the caller's retries.
#[derive(Debug, Clone, Default)]
pub(crate) struct Counts {
    /// Complete responses that reached their callers in time, by bucket.
    pub good: Vec<u64>,
    /// Responses that the ideal control would have given, by bucket.
    pub ideal: Vec<f64>,
    /// Original requests in the measured interval, by class and organisation.
    pub offered: Vec<Vec<u64>>,
    /// Complete responses in the measured interval, by class and organisation.
    pub served: Vec<Vec<u64>>,
    /// Original requests in the measured interval with at least one sending that was refused or not
    /// answered in time, by class and organisation.
    pub refused: Vec<Vec<u64>>,
    /// First attempts of calls, over all hops.
    pub calls: u64,
    /// All attempts of calls, over all hops.
    pub attempts: u64,
    /// Largest number of retries, over all hops, that one sending caused.
    pub max_retries_per_sending: u32,
    /// Sendings of all requests, retries of callers included.
    pub sendings: u64,
    /// Requests, without retries of callers.
    pub originals: u64,
    /// Requests of the most important class that a node refused although it had started less
    /// important ones since their arrival.
    pub inversions: u64,
}

/// Figures of a class.
#[derive(Debug, Clone, Default)]
pub struct ClassFigures {
    /// Fraction of the requests that got a complete response in time.
    pub served: f64,
    /// The same fraction for the ideal control.
    pub ideal: f64,
}

/// Figures of a run.
#[derive(Debug, Clone, Default)]
pub struct Figures {
    /// Complete responses in time, as a ratio to those of the ideal control.
    pub goodput: f64,
    /// Time from the end of the fault or overload until goodput stays near the ideal; infinite if
    /// that is not reached within the run, `None` if the scenario does not measure it.
    pub recovery_s: Option<f64>,
    /// Smallest ratio over all organisations of responses to the organisation's fair share.
    pub fair: f64,
    /// Fraction of the requests of organisations within their rate with a refused or unanswered
    /// sending; `None` where capacity does not suffice for them.
    pub wrongful: Option<f64>,
    /// Mean number of attempts per call.
    pub attempts: f64,
    /// Largest number of retries that one sending caused, plus one.
    pub attempts_max: f64,
    /// Mean number of sendings per original request.
    pub sendings: f64,
    /// Requests of the most important class that a node refused although it had started less
    /// important ones since their arrival.
    pub inversions: f64,
    /// Figures of each class, in the order of the deployment.
    pub classes: Vec<ClassFigures>,
}

impl Figures {
    pub(crate) fn from_counts(
        deployment: &Deployment,
        scenario: &Scenario,
        counts: &Counts,
    ) -> Self {
        let (from, to) = scenario.measured;
        let buckets = bucket_index(from)..bucket_index(to);
        let good: u64 = counts.good[buckets.clone()].iter().sum();
        let ideal: f64 = counts.ideal[buckets].iter().sum();
        let ideal_shares = ideal_shares(counts, ideal);
        let classes = (0..deployment.classes.len()).map(|class| {
            let offered = sum(&counts.offered[class]).max(1) as f64;
            ClassFigures {
                served: sum(&counts.served[class]) as f64 / offered,
                ideal: ideal_shares[class].iter().sum::<f64>() / offered,
            }
        });
        let fair = (0..deployment.organisations.len()).map(|organisation| {
            let served: u64 = counts.served.iter().map(|class| class[organisation]).sum();
            let ideal_share: f64 = ideal_shares.iter().map(|class| class[organisation]).sum();
            served as f64 / ideal_share.max(1.0)
        });
        Self {
            goodput: good as f64 / ideal,
            recovery_s: scenario.recovery_at.map(|at| recovery_s(counts, at)),
            fair: fair.fold(f64::INFINITY, f64::min),
            wrongful: wrongful(scenario, counts, ideal),
            attempts: counts.attempts as f64 / counts.calls.max(1) as f64,
            attempts_max: f64::from(counts.max_retries_per_sending) + 1.0,
            sendings: counts.sendings as f64 / counts.originals.max(1) as f64,
            inversions: counts.inversions as f64,
            classes: classes.collect(),
        }
    }

    /// Returns a figure by its name in scenario files; `None` for an unknown name or a figure that
    /// the scenario does not measure.
    pub fn by_name(&self, name: &str) -> Option<f64> {
        match name {
            "goodput" => Some(self.goodput),
            "recovery" => self.recovery_s,
            "fair" => Some(self.fair),
            "wrongful" => self.wrongful,
            "attempts" => Some(self.attempts),
            "inversions" => Some(self.inversions),
            _ => None,
        }
    }

    /// Describes each bound of a scenario that does not hold, with the figure measured.
    pub fn violated_bounds(&self, scenario: &Scenario) -> Vec<String> {
        let violated = scenario.bounds.iter().filter_map(|bound| {
            let Some(figure) = self.by_name(&bound.figure) else {
                return Some(format!("no figure {}", bound.figure));
            };
            let (holds, sign) = match bound.is_lower_bound {
                true => (figure >= bound.limit, ">="),
                false => (figure <= bound.limit, "<="),
            };
            (!holds).then(|| format!("{} {sign} {}: {figure:.4}", bound.figure, bound.limit))
        });
        violated.collect()
    }
}

/// Returns the index of the bucket that contains a time.
pub(crate) fn bucket_index(time: Duration) -> usize {
    (time.as_nanos() / BUCKET_WIDTH.as_nanos()) as usize
}

/// Returns the median of some values (the upper one of an even number), NaN if there are none.
pub fn median(values: impl IntoIterator<Item = f64>) -> f64 {
    let mut values: Vec<f64> = values.into_iter().collect();
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(f64::NAN)
}

fn sum(values: &[u64]) -> u64 {
    values.iter().sum()
}

/// Divides `ideal` responses among classes and organisations: by strict priority among classes in
/// the order of the deployment, and max-min fairly among the organisations of a class.
fn ideal_shares(counts: &Counts, ideal: f64) -> Vec<Vec<f64>> {
    let mut left = ideal;
    let class = |offered: &Vec<u64>| {
        let mut order: Vec<usize> = (0..offered.len()).collect();
        order.sort_by_key(|index| offered[*index]);
        let mut shares = vec![0.0; offered.len()];
        for (position, index) in order.iter().enumerate() {
            let share = left / (offered.len() - position) as f64;
            shares[*index] = share.min(offered[*index] as f64);
            left -= shares[*index];
        }
        shares
    };
    counts.offered.iter().map(class).collect()
}

/// Computes the figure `wrongful`; `None` where the organisations other than the flooding one offer
/// more than the capacity.
fn wrongful(scenario: &Scenario, counts: &Counts, ideal: f64) -> Option<f64> {
    let flooding = scenario.flood.map(|(organisation, _)| organisation);
    let (mut offered, mut refused) = (0, 0);
    for (class, refused_in_class) in counts.offered.iter().zip(&counts.refused) {
        for organisation in (0..class.len()).filter(|it| Some(*it) != flooding) {
            offered += class[organisation];
            refused += refused_in_class[organisation];
        }
    }
    // Above this ratio, requests are refused for lack of capacity, which is not wrongful.
    let is_within_capacity = offered as f64 <= MAX_DEMAND_RATIO * ideal;
    is_within_capacity.then(|| refused as f64 / offered.max(1) as f64)
}

/// Computes the figure `recovery`, where the fault or overload ended `at` this time.
fn recovery_s(counts: &Counts, at: Duration) -> f64 {
    let start = bucket_index(at);
    let last = counts.good.len().min(counts.ideal.len());
    let recovered = |from: usize| {
        let window = from..from + GOODPUT_WINDOW_BUCKETS;
        let good: u64 = counts.good[window.clone()].iter().sum();
        let ideal: f64 = counts.ideal[window].iter().sum();
        good as f64 >= RECOVERED_GOODPUT_RATIO * ideal
    };
    for from in start..last {
        let until = from + RECOVERY_HOLD_BUCKETS;
        if until + GOODPUT_WINDOW_BUCKETS > last {
            break;
        }
        if (from..until).all(recovered) {
            return (from - start) as f64 * BUCKET_WIDTH.as_secs_f64();
        }
    }
    f64::INFINITY
}
