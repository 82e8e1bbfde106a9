//! Record of requests, runs and faults, and the check of the system's guarantees against it.

use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

use parking_lot::Mutex;

/// Time after the withdrawal of a key until which it can still be accepted, as in the settings of
/// the nodes.
pub const REVOKE_LIMIT: Duration = Duration::from_secs(5);
/// Time after its node first knew that an upstream leaves in which requests can still arrive at the
/// upstream, as in the settings of the nodes.
pub const DRAIN_LIMIT: Duration = Duration::from_secs(2);
/// Start of the line of a request's head that states its id.
const ID_FIELD: &str = "x-attempt-id: ";
/// Window in which the requests of an organisation are counted to check its rate.
const RATE_WINDOW: Duration = Duration::from_secs(5);
/// Factor on the rate and burst up to which the count is allowed.
const RATE_TOLERANCE_FACTOR: f64 = 1.1;
/// Requests allowed in addition in each window.
const RATE_SLACK_REQUESTS: f64 = 20.0;
/// Time after an upstream first names a limit from which the limit is checked.
const LIMIT_SETTLE_TIME: Duration = Duration::from_secs(3);
/// Window in which the requests at an upstream are counted to check its limit.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
/// Factor on the limit up to which the count is allowed.
const LIMIT_TOLERANCE_FACTOR: f64 = 1.5;
/// Requests allowed in addition in each window.
const LIMIT_SLACK_REQUESTS: f64 = 5.0;
/// A request is checked for a cut by a planned stop only if no other disturbance was recorded while
/// it was open or in this time before it was sent.
const UNDISTURBED_WINDOW: Duration = Duration::from_secs(3);

/// How a request ended for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// A complete response with this status.
    Status(u16),
    /// The connection ended, or no complete response arrived in time.
    NoAnswer,
}

/// A request that a caller sent.
#[derive(Debug, Clone)]
pub struct SentRequest {
    /// Index of the entry node.
    pub node: usize,
    pub sent_at: Instant,
    pub is_idempotent: bool,
    pub key: Option<String>,
    pub outcome: Outcome,
    pub ended_at: Instant,
    /// What violated a guarantee in the response.
    pub defect: Option<String>,
}

/// One run of a request at an upstream.
#[derive(Debug, Clone)]
pub struct Run {
    pub at: Instant,
    pub organisation: Option<String>,
    /// What violated a guarantee in the request as it arrived.
    pub defect: Option<String>,
    /// When the upstream's node first knew that the upstream leaves, if that was before this run.
    pub leaving_known_since: Option<Instant>,
}

/// Period in which an upstream named a limit in its answers.
#[derive(Debug, Clone)]
pub struct LimitPeriod {
    pub upstream: String,
    pub per_s: f64,
    /// Time of the first answer that named the limit.
    pub named_at: Instant,
    pub ended_at: Instant,
}

/// State of an organisation's key.
#[derive(Debug, Clone)]
pub struct KeyState {
    /// When the store accepted the configuration without the key.
    pub withdrawn_at: Option<Instant>,
}

/// Rate limit of an organisation.
#[derive(Debug, Clone, Copy)]
pub struct Rate {
    pub rate_per_s: f64,
    pub burst: f64,
}

/// Record of one seed. Requests and runs are keyed by request id, keys by their text.
#[derive(Debug, Default)]
pub struct Record {
    pub sent: Mutex<HashMap<String, SentRequest>>,
    pub runs: Mutex<HashMap<String, Vec<Run>>>,
    pub keys: Mutex<HashMap<String, KeyState>>,
    /// Times at which the proxies in front of the upstreams received each request, by its id. A proxy may
    /// hold back a request that its node sent long before it arrives.
    pub received: Mutex<HashMap<String, Vec<Instant>>>,
    /// Times at which requests reached each upstream, refused ones included.
    pub arrivals: Mutex<HashMap<String, Vec<Instant>>>,
    pub limits: Mutex<Vec<LimitPeriod>>,
    /// Start and end times of faults, with the node (`None` for all nodes). A request that is cut
    /// near one of them violates no guarantee. Planned stops, SIGHUP and configuration changes must
    /// cut no request, so they are not recorded here.
    pub disturbances: Mutex<Vec<(Option<usize>, Instant)>>,
    /// Planned stops, with the node.
    pub stops: Mutex<Vec<(usize, Instant)>>,
}

impl Record {
    /// Records a fault of a node, or of all nodes for `None`.
    pub fn record_disturbance(&self, node: Option<usize>) {
        self.disturbances.lock().push((node, Instant::now()));
    }

    /// Records that a request reaches an upstream.
    pub fn record_arrival(&self, upstream: &str) {
        self.arrivals.lock().entry(upstream.to_owned()).or_default().push(Instant::now());
    }

    /// Records that a proxy received these bytes, if a head with a request id is among them.
    pub fn record_received(&self, bytes: &[u8]) {
        let text = String::from_utf8_lossy(bytes);
        let mut received = self.received.lock();
        for line in text.lines().filter_map(|line| line.strip_prefix(ID_FIELD)) {
            received.entry(line.trim().to_owned()).or_default().push(Instant::now());
        }
    }

    /// When the node sent a request that reached its upstream at `arrived_at`.
    fn forwarded_at(&self, id: &str, arrived_at: Instant) -> Instant {
        let received = self.received.lock();
        let earlier = received.get(id).into_iter().flatten().filter(|at| **at <= arrived_at);
        earlier.max().copied().unwrap_or(arrived_at)
    }

    /// Records that an upstream begins to run a request.
    pub fn record_run(&self, id: &str, run: Run) {
        self.runs.lock().entry(id.to_owned()).or_default().push(run);
    }

    /// Returns the fraction of the requests sent since a time that got a complete response with
    /// status 200.
    pub fn served_ratio(&self, since: Instant) -> f64 {
        let sent = self.sent.lock();
        let recent: Vec<&SentRequest> = sent.values().filter(|it| it.sent_at >= since).collect();
        let whole = recent.iter().filter(|it| it.outcome == Outcome::Status(200)).count();
        whole as f64 / recent.len().max(1) as f64
    }

    /// Counts the requests by outcome, for the report.
    pub fn outcomes(&self) -> BTreeMap<String, usize> {
        let mut counts = BTreeMap::new();
        for sent in self.sent.lock().values() {
            *counts.entry(format!("{:?}", sent.outcome)).or_default() += 1;
        }
        counts
    }

    /// Checks every guarantee and describes each violation.
    pub fn violations(&self, rates: &HashMap<String, Rate>) -> Vec<String> {
        let (sent, runs) = (self.sent.lock(), self.runs.lock());
        let mut violations = Vec::new();
        for (id, sent) in sent.iter() {
            let runs_of_request: &[Run] = runs.get(id).map_or(&[], Vec::as_slice);
            if !sent.is_idempotent && runs_of_request.len() > 1 {
                violations.push(format!(
                    "{id} is not idempotent and ran {} times",
                    runs_of_request.len()
                ));
            }
            let is_refused = matches!(sent.outcome, Outcome::Status(408 | 421 | 429 | 503));
            if is_refused && !sent.is_idempotent && !runs_of_request.is_empty() {
                violations
                    .push(format!("{id} was refused as not run ({:?}), but it ran", sent.outcome));
            }
            if let Some(defect) = &sent.defect {
                violations.push(format!("{id}: {defect}"));
            }
            violations.extend(self.check_key_withdrawal(id, sent, runs_of_request));
            violations.extend(self.check_planned_stop(id, sent, runs_of_request));
        }
        for (id, runs) in runs.iter() {
            for run in runs {
                if let Some(defect) = &run.defect {
                    violations
                        .push(format!("{id} arrived at the upstream with a defect: {defect}"));
                }
                let Some(known_since) = run.leaving_known_since else { continue };
                if self.forwarded_at(id, run.at) > known_since + DRAIN_LIMIT {
                    violations.push(format!(
                        "{id} reached an upstream {:?} after its node knew that it leaves, expected at most \
                         {DRAIN_LIMIT:?} where no proxy holds it back",
                        run.at - known_since
                    ));
                }
            }
        }
        violations.extend(self.exceeded_limits());
        for (organisation, rate) in rates {
            violations.extend(check_rate(organisation, *rate, &sent, &runs));
        }
        violations
    }

    /// Checks that each upstream received no more requests than the limit that it named.
    pub fn exceeded_limits(&self) -> Vec<String> {
        let arrivals = self.arrivals.lock();
        let mut exceeded = Vec::new();
        for period in self.limits.lock().iter() {
            let since = period.named_at + LIMIT_SETTLE_TIME;
            let times: Vec<Instant> = arrivals
                .get(&period.upstream)
                .into_iter()
                .flatten()
                .filter(|at| (since..period.ended_at).contains(at))
                .copied()
                .collect();
            let allowed = period.per_s * LIMIT_WINDOW.as_secs_f64() * LIMIT_TOLERANCE_FACTOR
                + LIMIT_SLACK_REQUESTS;
            let most = most_in_window(&times, LIMIT_WINDOW);
            if most as f64 > allowed {
                exceeded.push(format!(
                    "{most} requests reached {} within 4 s, expected at most {allowed:.0} at the \
                     limit of {} a second",
                    period.upstream, period.per_s
                ));
            }
        }
        exceeded
    }

    /// Checks that no request ran with a key that had been withdrawn longer ago than the limit.
    fn check_key_withdrawal(&self, id: &str, sent: &SentRequest, runs: &[Run]) -> Option<String> {
        let keys = self.keys.lock();
        let withdrawn_at = keys.get(sent.key.as_ref()?)?.withdrawn_at?;
        let is_late = !runs.is_empty() && sent.sent_at > withdrawn_at + REVOKE_LIMIT;
        is_late.then(|| {
            format!(
                "{id} ran with a key withdrawn {:?} before it was sent",
                sent.sent_at - withdrawn_at
            )
        })
    }

    /// Checks that a planned stop of the entry node did not cut a request that had begun to run.
    fn check_planned_stop(&self, id: &str, sent: &SentRequest, runs: &[Run]) -> Option<String> {
        if sent.outcome != Outcome::NoAnswer || runs.is_empty() {
            return None;
        }
        let is_undisturbed = self
            .disturbances
            .lock()
            .iter()
            .all(|(_, at)| sent.ended_at < *at || sent.sent_at > *at + UNDISTURBED_WINDOW);
        let stops = self.stops.lock();
        let was_stopped = stops.iter().any(|(node, at)| *node == sent.node && sent.ended_at > *at);
        (is_undisturbed && was_stopped).then(|| format!("{id} was cut by a planned stop"))
    }
}

/// Checks that an organisation did not exceed its rate in any window.
fn check_rate(
    organisation: &str,
    rate: Rate,
    sent: &HashMap<String, SentRequest>,
    runs: &HashMap<String, Vec<Run>>,
) -> Option<String> {
    let mut times: Vec<Instant> = runs
        .iter()
        .filter(|(_, runs)| runs.iter().any(|it| it.organisation.as_deref() == Some(organisation)))
        .filter_map(|(id, _)| Some(sent.get(id)?.sent_at))
        .collect();
    times.sort_unstable();
    let allowed = (rate.rate_per_s * RATE_WINDOW.as_secs_f64() + rate.burst)
        * RATE_TOLERANCE_FACTOR
        + RATE_SLACK_REQUESTS;
    let most = most_in_window(&times, RATE_WINDOW);
    (most as f64 > allowed).then(|| {
        format!("{most} requests of {organisation} ran within 5 s, expected at most {allowed:.0}")
    })
}

/// Largest number of times within a window of this length; `times` is sorted.
fn most_in_window(times: &[Instant], window: Duration) -> usize {
    let mut first = 0;
    let mut most = 0;
    for (last, at) in times.iter().enumerate() {
        while times[first] + window <= *at {
            first += 1;
        }
        most = most.max(last - first + 1);
    }
    most
}
