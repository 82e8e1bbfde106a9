//! Metrics of the process, in the OpenMetrics text format.

use std::{collections::HashMap, time::Instant};

use parking_lot::RwLock;
use prometheus_client::{
    encoding::{
        EncodeLabelSet,
        text::{encode_eof, encode_registry},
    },
    metrics::{counter::Counter, family::Family, histogram::Histogram},
    registry::{Registry, Unit},
};
use serde::{Deserialize, Serialize};

use crate::{
    admin::NodeStatus,
    call::Outcome,
    config::Configuration,
    names::{ClassName, OrganisationName},
    telemetry::figures::status_registry,
};

/// Label value for classes and organisations that are unknown or not in the configuration.
const OTHER_LABEL: &str = "other";
/// Label value for the organisation of requests on open routes.
const NO_ORGANISATION_LABEL: &str = "none";

/// Upper bounds of the buckets of hop times. The goal for the time added to a call is 1.9 ms, so the
/// buckets are dense around it.
const HOP_BUCKETS_S: [f64; 14] =
    [0.0005, 0.001, 0.0015, 0.002, 0.003, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 5.0];

/// Sender of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RequestSource {
    /// A caller, on the listener for callers.
    Caller,
    /// The local upstream, which makes a call while it runs a request.
    Upstream,
}

/// A part of a request's path with its own latency histogram.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Hop {
    /// From the head of the request to its outcome, at the node that received it from the caller or
    /// the upstream.
    Entry,
    /// From sending the request to another node to the end of its reply.
    Forward,
    /// From sending the request to the upstream to the end of its response, also if that fails.
    Upstream,
}

/// Labels of a finished request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RequestLabels {
    from: &'static str,
    class: ClassName,
    organisation: OrganisationName,
    outcome: &'static str,
    reason: &'static str,
}

/// Number of finished requests with the same labels, for the state dump.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestCount {
    /// `caller`, or `upstream` for calls that upstreams make.
    pub from: String,
    /// Class, or `other` if it is unknown or not in the configuration.
    pub class: ClassName,
    /// Organisation; `none` on open routes, `other` if it is unknown or not in the configuration.
    pub organisation: OrganisationName,
    /// `whole`, `not-run` or `unknown`.
    pub outcome: String,
    /// Reason of the refusal or of the unknown outcome; empty for complete responses.
    pub reason: String,
    /// Number of requests since the start of the node.
    pub count: u64,
}

/// Sender, class and organisation of a request, as far as the node determined them.
#[derive(Debug, Clone)]
pub struct RequestOrigin {
    /// Sender of the request.
    pub source: RequestSource,
    /// Class of the request; none before its route is found.
    pub class: Option<ClassName>,
    /// Organisation that the request is charged to: `None` before its key is accepted, `Some(None)`
    /// on an open route.
    pub organisation: Option<Option<OrganisationName>>,
}

impl RequestOrigin {
    /// Creates the origin of a request with unknown class and organisation.
    pub fn new(source: RequestSource) -> Self {
        Self { source, class: None, organisation: None }
    }
}

/// Measures the duration of a hop, and records it when dropped.
#[derive(Debug)]
pub struct HopTimer {
    started: Instant,
    histogram: Histogram,
}

impl Drop for HopTimer {
    fn drop(&mut self) {
        self.histogram.observe(self.started.elapsed().as_secs_f64());
    }
}

/// Labels of a hop time.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct HopLabels {
    hop: &'static str,
}

/// Labels of an evidence pull: `part` is `asked` if this node requested the evidence, `answered` if
/// it answered the request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct PullLabels {
    part: &'static str,
}

/// Labels of the bytes of messages between nodes.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct BytesLabels {
    message: &'static str,
    direction: &'static str,
}

/// Metrics of the process that are updated as events occur.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    requests: Family<RequestLabels, Counter>,
    // Members of `requests`, since the metrics library cannot list the members of a family.
    request_counters: RwLock<HashMap<RequestLabels, Counter>>,
    // Members of the hop family by `Hop`, looked up once so that the request path does not lock
    // the family.
    hops: [Histogram; 3],
    evidence_pulls: Family<PullLabels, Counter>,
    peer_bytes: Family<BytesLabels, Counter>,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("hibiscusdoor");
        let requests = Family::default();
        registry.register(
            "requests",
            "Requests answered, by sender, class, organisation, outcome and reason",
            requests.clone(),
        );
        let hop_seconds: Family<HopLabels, Histogram, fn() -> Histogram> =
            Family::new_with_constructor(|| Histogram::new(HOP_BUCKETS_S));
        registry.register_with_unit(
            "hop",
            "Time of a part of a request's path: entry, forward or upstream",
            Unit::Seconds,
            hop_seconds.clone(),
        );
        let hops = ["entry", "forward", "upstream"]
            .map(|hop| hop_seconds.get_or_create(&HopLabels { hop }).clone());
        let evidence_pulls = Family::default();
        registry.register(
            "evidence_pulls",
            "Completed evidence pulls, requested or answered by this node",
            evidence_pulls.clone(),
        );
        let peer_bytes = Family::default();
        registry.register(
            "peer_bytes",
            "Bytes of messages between nodes, without framing, by message and direction",
            peer_bytes.clone(),
        );
        Self {
            registry,
            requests,
            request_counters: RwLock::default(),
            hops,
            evidence_pulls,
            peer_bytes,
        }
    }
}

impl Metrics {
    /// Starts to measure a hop; the returned timer records its duration when dropped.
    pub fn start_hop(&self, hop: Hop) -> HopTimer {
        HopTimer { started: Instant::now(), histogram: self.hops[hop as usize].clone() }
    }

    /// Counts a finished request.
    ///
    /// Names that are not in the configuration are counted as `other`, so that the number of series
    /// is bounded by the configuration and not by what callers send.
    pub fn count_request(
        &self,
        configuration: &Configuration,
        origin: &RequestOrigin,
        outcome: &Outcome,
    ) {
        let (outcome, reason) = match outcome {
            Outcome::Whole(_) => ("whole", ""),
            Outcome::NotRun(not_run) => ("not-run", not_run.reason.as_str()),
            Outcome::Unknown(unknown) => ("unknown", unknown.reason.as_str()),
        };
        let class = origin.class.as_ref().filter(|name| configuration.class(name).is_some());
        let organisation = match &origin.organisation {
            Some(None) => NO_ORGANISATION_LABEL.into(),
            Some(Some(name)) if configuration.organisation(name).is_some() => name.clone(),
            _ => OTHER_LABEL.into(),
        };
        let labels = RequestLabels {
            from: match origin.source {
                RequestSource::Caller => "caller",
                RequestSource::Upstream => "upstream",
            },
            class: class.cloned().unwrap_or_else(|| OTHER_LABEL.into()),
            organisation,
            outcome,
            reason,
        };
        if let Some(counter) = self.request_counters.read().get(&labels) {
            counter.inc();
            return;
        }
        let counter = self.requests.get_or_create(&labels).clone();
        counter.inc();
        self.request_counters.write().insert(labels, counter);
    }

    /// Removes the series of classes and organisations that a new revision does not contain.
    pub fn remove_withdrawn(&self, configuration: &Configuration) {
        let mut counters = self.request_counters.write();
        counters.retain(|labels, _| {
            let is_valid_label = |name: &str, is_configured: bool| {
                is_configured || name == OTHER_LABEL || name == NO_ORGANISATION_LABEL
            };
            let is_kept =
                is_valid_label(&labels.class, configuration.class(&labels.class).is_some())
                    && is_valid_label(
                        &labels.organisation,
                        configuration.organisation(&labels.organisation).is_some(),
                    );
            if !is_kept {
                self.requests.remove(labels);
            }
            is_kept
        });
    }

    /// Returns the number of requests since the start, sorted by sender, class, organisation, outcome
    /// and reason.
    pub fn request_counts(&self) -> Vec<RequestCount> {
        let counters = self.request_counters.read();
        let counts = counters.iter().map(|(labels, counter)| RequestCount {
            from: labels.from.to_owned(),
            class: labels.class.clone(),
            organisation: labels.organisation.clone(),
            outcome: labels.outcome.to_owned(),
            reason: labels.reason.to_owned(),
            count: counter.get(),
        });
        let mut counts: Vec<RequestCount> = counts.collect();
        counts.sort_by(|a, b| {
            let key = |it: &RequestCount| {
                let names = (it.from.clone(), it.class.clone(), it.organisation.clone());
                (names, it.outcome.clone(), it.reason.clone())
            };
            key(a).cmp(&key(b))
        });
        counts
    }

    /// Counts an evidence pull and the bytes of its messages. `part` is `asked` if this node requested
    /// the evidence, `answered` if it answered the request.
    pub fn count_evidence(&self, part: &'static str, received_bytes: usize, sent_bytes: usize) {
        self.evidence_pulls.get_or_create(&PullLabels { part }).inc();
        for (direction, bytes) in [("received", received_bytes), ("sent", sent_bytes)] {
            let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
            self.peer_bytes
                .get_or_create(&BytesLabels { message: "evidence", direction })
                .inc_by(bytes);
        }
    }

    /// Registers the counter of platform calls.
    pub fn register_platform_calls(&mut self, calls: Counter) {
        self.registry.register(
            "platform_calls",
            "Calls to the platform, where a watch counts as one call",
            calls,
        );
    }

    /// Renders all metrics as OpenMetrics text: those updated on events and those derived from the
    /// node's status.
    pub fn render(&self, status: &NodeStatus) -> String {
        let mut text = String::new();
        let rendered = encode_registry(&mut text, &self.registry)
            .and_then(|()| encode_registry(&mut text, &status_registry(status)))
            .and_then(|()| encode_eof(&mut text));
        if let Err(error) = rendered {
            log::error!("rendering metrics failed, the response is incomplete: {error}");
        }
        text
    }
}
