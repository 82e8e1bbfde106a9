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

/// Label of what is not in the configuration.
const OTHER: &str = "other";
/// Label of requests on open routes.
const NO_ORGANISATION: &str = "none";

/// Bounds of the buckets of hop times, in seconds. The goal for the time added to a call is
/// 1.9 ms, so the buckets are dense around it.
const HOP_BUCKETS: [f64; 14] =
    [0.0005, 0.001, 0.0015, 0.002, 0.003, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 5.0];

/// Where a request comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RequestSource {
    /// A caller.
    Caller,
    /// The upstream, for a request that it is running.
    Upstream,
}

/// A part of a request's way whose time is measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Hop {
    /// From the head of the request to its outcome, at the node that it came to.
    Entry,
    /// From the sending to another node to its reply.
    Forward,
    /// From the sending to the upstream to its whole answer.
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

/// Requests that ended in one way, for the state dump.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestCount {
    /// `caller`, or `upstream` for calls that upstreams make.
    pub from: String,
    /// Class, or `other`.
    pub class: ClassName,
    /// Organisation, `none` on open routes, or `other`.
    pub organisation: OrganisationName,
    /// `whole`, `not-run` or `unknown`.
    pub outcome: String,
    /// Why it was refused, or why its outcome is unknown; empty for whole answers.
    pub reason: String,
    /// Number of requests since the start.
    pub count: u64,
}

/// What a request was of, as far as the node found out.
#[derive(Debug, Clone)]
pub struct RequestOrigin {
    /// Where the request came from.
    pub source: RequestSource,
    /// Class of the request.
    pub class: Option<ClassName>,
    /// Organisation whose key it carried; the outer option is empty before the key is checked.
    pub organisation: Option<Option<OrganisationName>>,
}

impl RequestOrigin {
    /// A request of which nothing else is known yet.
    pub fn new(source: RequestSource) -> Self {
        Self { source, class: None, organisation: None }
    }
}

/// Measures the time of a hop until it is dropped.
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

/// Labels of a hop.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct HopLabels {
    hop: &'static str,
}

/// Labels of an evidence pull: `asked` or `answered` by this node.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct PullLabels {
    part: &'static str,
}

/// Labels of message bytes.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct BytesLabels {
    message: &'static str,
    direction: &'static str,
}

/// Metrics of the process.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    requests: Family<RequestLabels, Counter>,
    // The metrics library does not list the members of a family.
    counted: RwLock<HashMap<RequestLabels, Counter>>,
    // Looked up once, so that the request path takes no lock of the family.
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
            "Requests answered, by origin, class, organisation, outcome and reason",
            requests.clone(),
        );
        let hop_seconds: Family<HopLabels, Histogram, fn() -> Histogram> =
            Family::new_with_constructor(|| Histogram::new(HOP_BUCKETS));
        registry.register_with_unit(
            "hop",
            "Time of a part of a request's way: entry, forward or upstream",
            Unit::Seconds,
            hop_seconds.clone(),
        );
        let hops = ["entry", "forward", "upstream"]
            .map(|hop| hop_seconds.get_or_create(&HopLabels { hop }).clone());
        let evidence_pulls = Family::default();
        registry.register(
            "evidence_pulls",
            "Evidence pulls that were answered, by this node's part in them",
            evidence_pulls.clone(),
        );
        let peer_bytes = Family::default();
        registry.register(
            "peer_bytes",
            "Bytes of messages between nodes, without framing, by kind of message",
            peer_bytes.clone(),
        );
        Self { registry, requests, counted: RwLock::default(), hops, evidence_pulls, peer_bytes }
    }
}

impl Metrics {
    /// Starts to measure a hop.
    pub fn start(&self, hop: Hop) -> HopTimer {
        HopTimer { started: Instant::now(), histogram: self.hops[hop as usize].clone() }
    }

    /// Counts a finished request.
    ///
    /// Names that the configuration does not have become `other`, so that the number of series
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
            Some(None) => NO_ORGANISATION.into(),
            Some(Some(name)) if configuration.organisation(name).is_some() => name.clone(),
            _ => OTHER.into(),
        };
        let labels = RequestLabels {
            from: match origin.source {
                RequestSource::Caller => "caller",
                RequestSource::Upstream => "upstream",
            },
            class: class.cloned().unwrap_or_else(|| OTHER.into()),
            organisation,
            outcome,
            reason,
        };
        if let Some(counter) = self.counted.read().get(&labels) {
            counter.inc();
            return;
        }
        let counter = self.requests.get_or_create(&labels).clone();
        counter.inc();
        self.counted.write().insert(labels, counter);
    }

    /// Drops the series of classes and organisations that a new revision does not have.
    pub fn forget_withdrawn(&self, configuration: &Configuration) {
        let mut counted = self.counted.write();
        counted.retain(|labels, _| {
            let is_known =
                |name: &str, known: bool| known || name == OTHER || name == NO_ORGANISATION;
            let keep = is_known(&labels.class, configuration.class(&labels.class).is_some())
                && is_known(
                    &labels.organisation,
                    configuration.organisation(&labels.organisation).is_some(),
                );
            if !keep {
                self.requests.remove(labels);
            }
            keep
        });
    }

    /// Requests since the start, by class, organisation, outcome and reason.
    pub fn request_counts(&self) -> Vec<RequestCount> {
        let counted = self.counted.read();
        let counts = counted.iter().map(|(labels, counter)| RequestCount {
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

    /// Counts an evidence pull that this node `asked` or `answered`.
    pub fn count_evidence(&self, part: &'static str, received_bytes: usize, sent_bytes: usize) {
        self.evidence_pulls.get_or_create(&PullLabels { part }).inc();
        for (direction, bytes) in [("received", received_bytes), ("sent", sent_bytes)] {
            let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
            self.peer_bytes
                .get_or_create(&BytesLabels { message: "evidence", direction })
                .inc_by(bytes);
        }
    }

    /// Adds the counter of platform calls.
    pub fn register_platform_calls(&mut self, calls: Counter) {
        self.registry.register(
            "platform_calls",
            "Calls made to the platform, a watch counted as one",
            calls,
        );
    }

    /// Renders all metrics: those counted here, and the figures of the node's status.
    pub fn render(&self, status: &NodeStatus) -> String {
        let mut text = String::new();
        let rendered = encode_registry(&mut text, &self.registry)
            .and_then(|()| encode_registry(&mut text, &status_registry(status)))
            .and_then(|()| encode_eof(&mut text));
        if let Err(error) = rendered {
            log::error!("rendering metrics failed: {error}");
        }
        text
    }
}
