//! What callers and upstreams saw, and the promises that are checked against it.

use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

use parking_lot::Mutex;

/// Bounds that the nodes are given, and that the checks hold them to.
pub const REVOKE: Duration = Duration::from_secs(5);
/// Time after an acknowledged departure in which requests may still arrive at an upstream.
pub const DRAIN: Duration = Duration::from_secs(2);
/// Window of the bound on rates, what is allowed beyond it, and requests in addition.
const RATE_WINDOW: Duration = Duration::from_secs(5);
const RATE_OVER: f64 = 1.1;
const RATE_SLACK: f64 = 20.0;
/// Time without any other disturbance around a planned stop in which no request may be cut.
const CALM: Duration = Duration::from_secs(3);

/// How a request ended for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Seen {
    /// An answer with this status.
    Status(u16),
    /// The connection ended, or nothing came in time.
    NoAnswer,
}

/// A request that a caller sent.
#[derive(Debug, Clone)]
pub struct Sent {
    /// Node that it was sent to.
    pub node: usize,
    pub at: Instant,
    pub idempotent: bool,
    pub key: Option<String>,
    pub seen: Seen,
    pub ended_at: Instant,
    /// What was wrong with the answer.
    pub flaw: Option<String>,
}

/// A run at an upstream.
#[derive(Debug, Clone)]
pub struct Run {
    pub at: Instant,
    pub organisation: Option<String>,
    /// What was wrong with the request.
    pub flaw: Option<String>,
    /// The upstream had said that it leaves, and a node had acknowledged it at this time.
    pub left_at: Option<Instant>,
}

/// An organisation's key over time.
#[derive(Debug, Clone)]
pub struct KeyHistory {
    /// When the change that withdrew it was accepted.
    pub withdrawn_at: Option<Instant>,
}

/// An organisation with a rate.
#[derive(Debug, Clone, Copy)]
pub struct Rate {
    pub rate_per_s: f64,
    pub burst: f64,
}

/// Everything that happened in a run of the soak.
#[derive(Debug, Default)]
pub struct Record {
    pub sent: Mutex<HashMap<String, Sent>>,
    pub runs: Mutex<HashMap<String, Vec<Run>>>,
    pub keys: Mutex<HashMap<String, KeyHistory>>,
    /// Disturbances other than planned stops, by node: all that may excuse a cut request.
    pub disturbed: Mutex<Vec<(Option<usize>, Instant)>>,
    /// Planned stops, by node.
    pub stops: Mutex<Vec<(usize, Instant)>>,
}

impl Record {
    /// A disturbance of a node, or of all of them.
    pub fn disturb(&self, node: Option<usize>) {
        self.disturbed.lock().push((node, Instant::now()));
    }

    /// A request arrived at an upstream that will run it.
    pub fn ran(&self, id: &str, run: Run) {
        self.runs.lock().entry(id.to_owned()).or_default().push(run);
    }

    /// Part of the requests sent since a moment that were answered whole.
    pub fn served_part(&self, since: Instant) -> f64 {
        let sent = self.sent.lock();
        let recent: Vec<&Sent> = sent.values().filter(|it| it.at >= since).collect();
        let whole = recent.iter().filter(|it| it.seen == Seen::Status(200)).count();
        whole as f64 / recent.len().max(1) as f64
    }

    /// Counts by outcome, for the report.
    pub fn outcomes(&self) -> BTreeMap<String, usize> {
        let mut counts = BTreeMap::new();
        for sent in self.sent.lock().values() {
            *counts.entry(format!("{:?}", sent.seen)).or_default() += 1;
        }
        counts
    }

    /// Checks every promise; returns what was broken.
    pub fn broken(&self, rates: &HashMap<String, Rate>) -> Vec<String> {
        let (sent, runs) = (self.sent.lock(), self.runs.lock());
        let mut broken = Vec::new();
        for (id, sent) in sent.iter() {
            let own: &[Run] = runs.get(id).map_or(&[], Vec::as_slice);
            if !sent.idempotent && own.len() > 1 {
                broken.push(format!("{id} ran {} times", own.len()));
            }
            let refused = matches!(sent.seen, Seen::Status(408 | 421 | 429 | 503));
            if refused && !sent.idempotent && !own.is_empty() {
                broken.push(format!("{id} was refused as not run ({:?}) and ran", sent.seen));
            }
            if let Some(flaw) = &sent.flaw {
                broken.push(format!("{id}: {flaw}"));
            }
            broken.extend(self.withdrawn_key(id, sent, own));
            broken.extend(self.cut_by_a_stop(id, sent, own));
        }
        for (id, runs) in runs.iter() {
            for run in runs {
                if let Some(flaw) = &run.flaw {
                    broken.push(format!("{id} ran wrongly: {flaw}"));
                }
                if run.left_at.is_some_and(|at| run.at > at + DRAIN) {
                    broken.push(format!("{id} reached an upstream that had left"));
                }
            }
        }
        for (organisation, rate) in rates {
            broken.extend(over_rate(organisation, *rate, &sent, &runs));
        }
        broken
    }

    fn withdrawn_key(&self, id: &str, sent: &Sent, runs: &[Run]) -> Option<String> {
        let keys = self.keys.lock();
        let withdrawn_at = keys.get(sent.key.as_ref()?)?.withdrawn_at?;
        let late = !runs.is_empty() && sent.at > withdrawn_at + REVOKE;
        late.then(|| format!("{id} ran with a key withdrawn {:?} before", sent.at - withdrawn_at))
    }

    /// A request that had begun may not be cut by a planned stop of its entry.
    fn cut_by_a_stop(&self, id: &str, sent: &Sent, runs: &[Run]) -> Option<String> {
        if sent.seen != Seen::NoAnswer || runs.is_empty() {
            return None;
        }
        let calm =
            self.disturbed.lock().iter().all(|(_, at)| sent.ended_at < *at || sent.at > *at + CALM);
        let stops = self.stops.lock();
        let stopped = stops.iter().any(|(node, at)| *node == sent.node && sent.ended_at > *at);
        (calm && stopped).then(|| format!("{id} was cut by a planned stop"))
    }
}

fn over_rate(
    organisation: &str,
    rate: Rate,
    sent: &HashMap<String, Sent>,
    runs: &HashMap<String, Vec<Run>>,
) -> Option<String> {
    let mut times: Vec<Instant> = runs
        .iter()
        .filter(|(_, runs)| runs.iter().any(|it| it.organisation.as_deref() == Some(organisation)))
        .filter_map(|(id, _)| Some(sent.get(id)?.at))
        .collect();
    times.sort_unstable();
    let allowed =
        (rate.rate_per_s * RATE_WINDOW.as_secs_f64() + rate.burst) * RATE_OVER + RATE_SLACK;
    let mut first = 0;
    let mut most = 0;
    for (last, at) in times.iter().enumerate() {
        while times[first] + RATE_WINDOW <= *at {
            first += 1;
        }
        most = most.max(last - first + 1);
    }
    (most as f64 > allowed)
        .then(|| format!("{organisation} got {most} requests in a window, allowed {allowed:.0}"))
}
