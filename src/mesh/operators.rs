//! The operators' listener of a node in a mesh: metrics and the state dump.

use std::{
    sync::{Arc, atomic::AtomicU64},
    time::Duration,
};

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use prometheus_client::{
    encoding::{
        EncodeLabelSet,
        text::{encode_eof, encode_registry},
    },
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::{Registry, Unit},
};
use serde::Serialize;

use crate::{
    admission::GateFigures,
    call::Outcome,
    clock, http_server,
    mesh::{Dialect, Node},
    names::{InstanceName, Revision, ServiceName},
    store::ObjectVersion,
    telemetry,
};

/// Version of the state dump's format; it rises when a field changes its meaning or goes.
const STATE_FORMAT: u32 = 1;
/// Bounds of the buckets of request times, in seconds: from a hop alone to the longest timeouts.
const TIME_BUCKETS: [f64; 12] =
    [0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0];

/// A gauge of real numbers.
type Real = Gauge<f64, AtomicU64>;

/// Where a request began.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Origin {
    /// A caller.
    Caller,
    /// The upstream beside the node, for a request that it is running.
    Upstream,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RequestLabels {
    from: &'static str,
    outcome: &'static str,
    reason: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ServiceLabels {
    service: ServiceName,
}

/// Counters and histograms of a node since its start.
#[derive(Debug)]
pub struct MeshMetrics {
    requests: Family<RequestLabels, Counter>,
    caller_time: Histogram,
    upstream_time: Histogram,
}

impl Default for MeshMetrics {
    fn default() -> Self {
        Self {
            requests: Family::default(),
            caller_time: Histogram::new(TIME_BUCKETS),
            upstream_time: Histogram::new(TIME_BUCKETS),
        }
    }
}

impl MeshMetrics {
    /// A request ended at its entry after `took`.
    pub fn record_request(&self, origin: Origin, outcome: &Outcome, took: Duration) {
        let (outcome, reason) = match outcome {
            Outcome::Whole(_) => ("whole", ""),
            Outcome::NotRun(not_run) => ("not-run", not_run.reason.as_str()),
            Outcome::Unknown(unknown) => ("unknown", unknown.reason.as_str()),
        };
        let (from, histogram) = match origin {
            Origin::Caller => ("caller", &self.caller_time),
            Origin::Upstream => ("upstream", &self.upstream_time),
        };
        self.requests.get_or_create(&RequestLabels { from, outcome, reason }).inc();
        histogram.observe(took.as_secs_f64());
    }

    fn register(&self, registry: &mut Registry) {
        registry.register(
            "requests",
            "Requests that ended at this entry, by origin, outcome and reason",
            self.requests.clone(),
        );
        let help = "Time from the head of a caller's request to its outcome";
        registry.register_with_unit(
            "caller_request",
            help,
            Unit::Seconds,
            self.caller_time.clone(),
        );
        let help = "The same for calls of the upstream beside the node";
        registry.register_with_unit(
            "upstream_call",
            help,
            Unit::Seconds,
            self.upstream_time.clone(),
        );
    }
}

/// Load of a service as an entry sees it.
#[derive(Debug, Serialize)]
struct ServiceLoad {
    service: ServiceName,
    /// Running and waiting requests over the limit.
    load: f64,
    /// Slot time a second that roots of this entry may use; none while the service has room.
    allowance_per_s: Option<f64>,
}

/// The state of one node in a mesh.
#[derive(Debug, Serialize)]
struct StateDump {
    format: u32,
    instance: InstanceName,
    incarnation: u64,
    leaving: bool,
    service: ServiceName,
    /// Id of the upstream beside the node.
    upstream: Option<InstanceName>,
    /// The upstream takes new work.
    upstream_ready: bool,
    /// Version that the operators gave the configuration.
    revision: Option<Revision>,
    /// Version of its object in the store.
    configuration_version: ObjectVersion,
    /// Age of the newest proof that it is current, in milliseconds.
    proof_age_ms: Option<u64>,
    first_hub: bool,
    /// Instances that the node knows.
    instances: usize,
    /// Those of them that take no work: leaving, silent, or without a ready upstream.
    out_of_use: Vec<InstanceName>,
    gate: Option<GateFigures>,
    loads: Vec<ServiceLoad>,
    /// Requests that have crashed upstreams and no longer run.
    quarantined: usize,
    dropped_log_lines: u64,
}

impl StateDump {
    fn capture<D: Dialect>(node: &Node<D>) -> Self {
        let now = clock::now();
        let upstream = node.guard.upstream();
        let members = node.members.load();
        let out_of_use = members.with_record().filter(|member| member.ready_upstream().is_none());
        let loads = node.root_admission.lock().figures().into_iter();
        Self {
            format: STATE_FORMAT,
            instance: node.settings.instance.clone(),
            incarnation: node.incarnation,
            leaving: node.is_leaving(),
            service: node.own_service(),
            upstream: upstream.as_ref().map(|it| it.heartbeat.upstream.clone()),
            upstream_ready: upstream.is_some_and(|it| it.is_ready()),
            revision: node.catalog.load().as_ref().map(|catalog| catalog.revision),
            configuration_version: node.catalog_version(),
            proof_age_ms: node.proof.known_age(now).map(clock::millis),
            first_hub: node.is_first_hub(now),
            instances: members.len(),
            out_of_use: out_of_use.map(|member| member.record.instance.clone()).collect(),
            gate: node.guard.figures(),
            loads: loads
                .map(|(service, load, allowance_per_s)| ServiceLoad {
                    service,
                    load,
                    allowance_per_s,
                })
                .collect(),
            quarantined: node.guard.crashes.lock().quarantined_count(now),
            dropped_log_lines: telemetry::dropped_lines(),
        }
    }

    /// Makes the gauges anew each time, so that no series of a service outlives it.
    fn register(&self, registry: &mut Registry) {
        let mut gauge = |name: &str, help: &str, value: f64| {
            let gauge = Real::default();
            gauge.set(value);
            registry.register(name, help, gauge);
        };
        gauge("revision", "Configuration revision in force", self.revision.unwrap_or(0) as f64);
        gauge(
            "configuration_proof_age_seconds",
            "Age of the newest proof that the configuration is current; -1 where there is none",
            self.proof_age_ms.map_or(-1.0, |age_ms| age_ms as f64 / 1000.0),
        );
        gauge("instances", "Instances that the node knows", self.instances as f64);
        gauge("instances_out_of_use", "Those that take no work", self.out_of_use.len() as f64);
        gauge("first_hub", "1 where the node is the fleet's first hub", f64::from(self.first_hub));
        gauge(
            "requests_quarantined",
            "Requests that have crashed upstreams and no longer run",
            self.quarantined as f64,
        );
        if let Some(gate) = &self.gate {
            gauge("upstream_running", "Requests at the upstream", f64::from(gate.in_flight));
            gauge("upstream_waiting", "Requests that wait before it", gate.waiting as f64);
            gauge("upstream_limit", "Requests that may run at once", f64::from(gate.limit));
        }
        let loads = Family::<ServiceLabels, Real>::default();
        for it in &self.loads {
            loads.get_or_create(&ServiceLabels { service: it.service.clone() }).set(it.load);
        }
        registry.register("service_load", "Running and waiting requests over the limit", loads);
        let dropped = Counter::<u64>::default();
        dropped.inc_by(self.dropped_log_lines);
        registry.register("log_lines_dropped", "Lines dropped while output was slow", dropped);
    }
}

/// Answers operators.
pub async fn answer<D: Dialect>(
    node: Arc<Node<D>>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/healthz") => http_server::text(StatusCode::OK, "ok"),
        (&Method::GET, "/metrics") => match metrics_text(&node) {
            Ok(text) => http_server::text(StatusCode::OK, text.trim_end()),
            Err(error) => {
                log::error!(cause:% = error; "the metrics have no text form");
                http_server::text(StatusCode::INTERNAL_SERVER_ERROR, "no metrics")
            }
        },
        (&Method::GET, "/state") => http_server::json(StatusCode::OK, &StateDump::capture(&node)),
        _ => http_server::text(StatusCode::NOT_FOUND, "no such path"),
    }
}

fn metrics_text<D: Dialect>(node: &Node<D>) -> Result<String, std::fmt::Error> {
    let mut registry = Registry::with_prefix("hibiscusdoor");
    node.metrics.register(&mut registry);
    StateDump::capture(node).register(&mut registry);
    let mut text = String::new();
    encode_registry(&mut text, &registry)?;
    encode_eof(&mut text)?;
    Ok(text)
}
