//! Figures of a run, against what an ideal control could reach.

use std::time::Duration;

use crate::experiment::{Deployment, Scenario};

/// Width of a bucket of counts.
pub(crate) const BUCKET: Duration = Duration::from_millis(100);
/// Goodput has recovered when it stays at this part of the ideal.
const RECOVERED_PART: f64 = 0.9;
/// Goodput is averaged over this many buckets, and must stay recovered for `STAY_BUCKETS`.
const WINDOW_BUCKETS: usize = 5;
const STAY_BUCKETS: usize = 40;
/// Demand as a multiple of the ideal up to which a refusal is a wrongful one; the 1 % is for the
/// chance of arrivals.
const MOST_DEMAND: f64 = 1.01;

/// Counts of a run.
#[derive(Debug, Clone, Default)]
pub(crate) struct Counts {
    /// Whole answers in time, by bucket.
    pub good: Vec<u64>,
    /// Ideal answers, by bucket.
    pub ideal: Vec<f64>,
    /// Original requests in the measured interval, by class and organisation.
    pub offered: Vec<Vec<u64>>,
    /// Whole answers in the measured interval, by class and organisation.
    pub served: Vec<Vec<u64>>,
    /// Those of the original requests that were refused or not answered at least once.
    pub turned_away: Vec<Vec<u64>>,
    /// First attempts of calls, at any hop.
    pub calls: u64,
    /// All attempts, at any hop.
    pub attempts: u64,
    /// Most attempts that one root request caused beyond the first of each call, per sending.
    pub most_retries: u32,
    /// Sendings of callers.
    pub sendings: u64,
    /// Original requests.
    pub originals: u64,
    /// Requests of the most important class refused at a node that meanwhile started others.
    pub inversions: u64,
}

/// Figures of a class.
#[derive(Debug, Clone, Default)]
pub struct ClassFigures {
    /// Part of the requests that were answered whole in time.
    pub served: f64,
    /// The same for an ideal control.
    pub ideal: f64,
}

/// Figures of a run.
#[derive(Debug, Clone, Default)]
pub struct Figures {
    /// Whole answers in time against the ideal.
    pub goodput: f64,
    /// Time from the end of the cause until goodput stays near the ideal; infinite where it
    /// does not in the run.
    pub recovery_s: Option<f64>,
    /// The worst-served organisation's answers against its fair share.
    pub fair: f64,
    /// Part of the requests of organisations within their rate of which a sending was refused.
    pub wrongful: Option<f64>,
    /// Attempts for each call.
    pub attempts: f64,
    /// Most attempts for one sending beyond one per call, plus one.
    pub attempts_max: f64,
    /// Sendings of callers for each original request.
    pub sendings: f64,
    /// Requests of the most important class refused at a node that meanwhile started others.
    pub inversions: f64,
    /// By class, in the order of the deployment.
    pub classes: Vec<ClassFigures>,
}

impl Figures {
    pub(crate) fn of(deployment: &Deployment, scenario: &Scenario, counts: &Counts) -> Self {
        let (from, to) = scenario.measured;
        let buckets = bucket(from)..bucket(to);
        let good: u64 = counts.good[buckets.clone()].iter().sum();
        let ideal: f64 = counts.ideal[buckets].iter().sum();
        let entitled = entitled(counts, ideal);
        let classes = (0..deployment.classes.len()).map(|class| {
            let offered = sum(&counts.offered[class]).max(1) as f64;
            ClassFigures {
                served: sum(&counts.served[class]) as f64 / offered,
                ideal: entitled[class].iter().sum::<f64>() / offered,
            }
        });
        let fair = (0..deployment.organisations.len()).map(|organisation| {
            let served: u64 = counts.served.iter().map(|class| class[organisation]).sum();
            let entitled: f64 = entitled.iter().map(|class| class[organisation]).sum();
            served as f64 / entitled.max(1.0)
        });
        Self {
            goodput: good as f64 / ideal,
            recovery_s: scenario.recovery_at.map(|at| recovery_s(counts, at)),
            fair: fair.fold(f64::INFINITY, f64::min),
            wrongful: wrongful(scenario, counts, ideal),
            attempts: counts.attempts as f64 / counts.calls.max(1) as f64,
            attempts_max: f64::from(counts.most_retries) + 1.0,
            sendings: counts.sendings as f64 / counts.originals.max(1) as f64,
            inversions: counts.inversions as f64,
            classes: classes.collect(),
        }
    }

    /// A figure by the name that scenario files use; none where it does not apply.
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

    /// Bounds of a scenario that do not hold, with the figure.
    pub fn broken_bounds(&self, scenario: &Scenario) -> Vec<String> {
        let broken = scenario.bounds.iter().filter_map(|bound| {
            let Some(figure) = self.by_name(&bound.figure) else {
                return Some(format!("no figure {}", bound.figure));
            };
            let (holds, sign) = match bound.at_least {
                true => (figure >= bound.limit, ">="),
                false => (figure <= bound.limit, "<="),
            };
            (!holds).then(|| format!("{} {sign} {}: {figure:.4}", bound.figure, bound.limit))
        });
        broken.collect()
    }
}

/// Index of the bucket of a time.
pub(crate) fn bucket(time: Duration) -> usize {
    (time.as_nanos() / BUCKET.as_nanos()) as usize
}

/// The middle of some values.
pub fn median(values: impl IntoIterator<Item = f64>) -> f64 {
    let mut values: Vec<f64> = values.into_iter().collect();
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(f64::NAN)
}

fn sum(values: &[u64]) -> u64 {
    values.iter().sum()
}

/// What each class and organisation would get of `ideal` answers: classes strictly in the order
/// of the deployment, organisations max-min fairly.
fn entitled(counts: &Counts, ideal: f64) -> Vec<Vec<f64>> {
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

/// Only where every organisation but a flooding one is within its part of the capacity.
fn wrongful(scenario: &Scenario, counts: &Counts, ideal: f64) -> Option<f64> {
    let flooding = scenario.flood.map(|(organisation, _)| organisation);
    let (mut offered, mut turned_away) = (0, 0);
    for (class, refused) in counts.offered.iter().zip(&counts.turned_away) {
        for organisation in (0..class.len()).filter(|it| Some(*it) != flooding) {
            offered += class[organisation];
            turned_away += refused[organisation];
        }
    }
    // Beyond that, capacity and not the place of a share is what is missing.
    let enough = offered as f64 <= MOST_DEMAND * ideal;
    enough.then(|| turned_away as f64 / offered.max(1) as f64)
}

fn recovery_s(counts: &Counts, at: Duration) -> f64 {
    let start = bucket(at);
    let last = counts.good.len().min(counts.ideal.len());
    let recovered = |from: usize| {
        let window = from..from + WINDOW_BUCKETS;
        let good: u64 = counts.good[window.clone()].iter().sum();
        let ideal: f64 = counts.ideal[window].iter().sum();
        good as f64 >= RECOVERED_PART * ideal
    };
    for from in start..last {
        let until = from + STAY_BUCKETS;
        if until + WINDOW_BUCKETS > last {
            break;
        }
        if (from..until).all(recovered) {
            return (from - start) as f64 * BUCKET.as_secs_f64();
        }
    }
    f64::INFINITY
}
