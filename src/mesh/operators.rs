//! The operators' listener of a node in a mesh: metrics, state dump and health check.

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
    admission::{GateStatus, NamedRate},
    call::Outcome,
    clock::{self, Timestamp},
    http_server,
    memory::ResidentMemory,
    mesh::{Dialect, Node, ReturnAdvice},
    names::{InstanceName, Revision, ServiceName, ZoneName},
    store::{ObjectApi as _, ObjectVersion, StoreEra},
    telemetry,
};

/// Version of the state dump's format; increased when a field is removed or changes its meaning.
const STATE_FORMAT: u32 = 1;
/// Upper bounds of the buckets of request times, from the time of one hop to the longest timeouts.
const TIME_BUCKETS_S: [f64; 12] =
    [0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0];

/// A gauge with floating-point values.
type FloatGauge = Gauge<f64, AtomicU64>;

/// Source of a request at its entry node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Origin {
    /// A caller on the node's machine.
    Caller,
    /// The local upstream, which makes a nested call for a request that it is running.
    Upstream,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RequestLabels {
    from: &'static str,
    outcome: &'static str,
    reason: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReturnLabels {
    reason: &'static str,
    result: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ServiceLabels {
    service: ServiceName,
}

/// Counters and histograms of a node since its start.
#[derive(Debug)]
pub struct MeshMetrics {
    requests: Family<RequestLabels, Counter>,
    returns: Family<ReturnLabels, Counter>,
    caller_time: Histogram,
    upstream_time: Histogram,
}

impl Default for MeshMetrics {
    fn default() -> Self {
        let returns = Family::<ReturnLabels, Counter>::default();
        // Series without a count are listed, too, so that their rates are known from the start.
        for result in ["unknown", "promised", "no-room", "admitted"] {
            drop(returns.get_or_create(&ReturnLabels { reason: "overload", result }));
        }
        Self {
            requests: Family::default(),
            returns,
            caller_time: Histogram::new(TIME_BUCKETS_S),
            upstream_time: Histogram::new(TIME_BUCKETS_S),
        }
    }
}

impl MeshMetrics {
    /// Counts a request that ended at this entry node, with the time that it took.
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

    /// Counts the advice to a caller that was refused since a service is full.
    pub fn record_return(&self, advice: ReturnAdvice) {
        let result = match advice {
            ReturnAdvice::Unknown => "unknown",
            ReturnAdvice::After(_) => "promised",
            ReturnAdvice::NoRoom => "no-room",
        };
        self.returns.get_or_create(&ReturnLabels { reason: "overload", result }).inc();
    }

    /// Counts a promised return that was admitted.
    pub fn record_return_admitted(&self) {
        let labels = ReturnLabels { reason: "overload", result: "admitted" };
        self.returns.get_or_create(&labels).inc();
    }

    fn register(&self, registry: &mut Registry) {
        registry.register(
            "requests",
            "Requests that ended at this entry node, by origin, outcome and reason",
            self.requests.clone(),
        );
        registry.register(
            "returns",
            "Refused callers that were told when to return, and returns that found room, by reason",
            self.returns.clone(),
        );
        let help = "Time from the head of a caller's request to its outcome";
        registry.register_with_unit(
            "caller_request",
            help,
            Unit::Seconds,
            self.caller_time.clone(),
        );
        let help = "Time from the head of a call of the local upstream to its outcome";
        registry.register_with_unit(
            "upstream_call",
            help,
            Unit::Seconds,
            self.upstream_time.clone(),
        );
    }
}

/// Load of a service as known to this entry node.
#[derive(Debug, Serialize)]
struct ServiceLoad {
    service: ServiceName,
    /// Running and waiting requests divided by the concurrency limit.
    load: f64,
    /// Share of requests that the service refuses although it has free slots; 0 unless significant.
    refused_share: f64,
    /// Slot time per second that root requests of this entry node may use; `None` while the service
    /// has spare capacity.
    allowance_per_s: Option<f64>,
}

/// Share of this entry node in the paces of a service's cold upstreams.
#[derive(Debug, Serialize)]
struct PacedService {
    service: ServiceName,
    per_s: f64,
}

/// The state of one node in a mesh.
#[derive(Debug, Serialize)]
struct StateDump {
    format: u32,
    instance: InstanceName,
    incarnation: u64,
    leaving: bool,
    service: ServiceName,
    /// Id of the local upstream, once it is known.
    upstream: Option<InstanceName>,
    /// Whether the upstream accepts new requests.
    upstream_ready: bool,
    /// Revision that the operators gave the configuration in force.
    revision: Option<Revision>,
    /// Version of the configuration object in the store.
    configuration_version: ObjectVersion,
    /// Age of the newest proof that the configuration is current.
    proof_age_ms: Option<u64>,
    /// Calls to the store since the start, and the connections opened for them.
    store_calls: u64,
    store_connections: u64,
    /// Last known era of the store.
    store_era: StoreEra,
    first_hub: bool,
    /// Number of instances that the node knows.
    instances: usize,
    /// Number of them that are lost, and do not count as members of the fleet.
    instances_lost: usize,
    /// Whether another node or the store has been asked for the state of the upstream that an earlier
    /// process of this node has published; the upstream is not used before.
    earlier_state_known: bool,
    /// Instances that receive no requests: leaving, silent, or without a ready upstream.
    out_of_use: Vec<InstanceName>,
    gate: Option<GateStatus>,
    /// Requests per second that the upstream's last answer named as its limit.
    named_rate_per_s: Option<f64>,
    /// Requests per second that the upstream accepts while it is cold.
    pace_per_s: Option<f64>,
    /// Time for which it is still cold.
    pace_remaining_ms: Option<u64>,
    /// Requests per second that the root requests of this entry node may make to services whose upstreams
    /// are all cold.
    paced_roots: Vec<PacedService>,
    /// Evacuated availability zones; `None` while they are not known.
    evacuated_zones: Option<Vec<ZoneName>>,
    /// Age of the newest read of the store that the evacuated zones rest on.
    evacuation_age_ms: Option<u64>,
    /// Whether the node refuses requests to its upstream for it.
    refuses_for_evacuation: bool,
    /// Requests that were sent to the upstream.
    sent: u64,
    loads: Vec<ServiceLoad>,
    /// Number of quarantined requests, which have crashed upstreams and are refused.
    quarantined: usize,
    dropped_log_lines: u64,
    /// Bytes held for others, the most that were held at a time, and their limit.
    memory_used_bytes: usize,
    memory_peak_bytes: usize,
    memory_limit_bytes: usize,
    /// Resident memory of the process, which also holds what the budget does not count; `None` where the
    /// system does not report it.
    resident_bytes: Option<usize>,
    resident_peak_bytes: Option<usize>,
}

fn paced_roots<D: Dialect>(node: &Node<D>, now: Timestamp) -> Vec<PacedService> {
    let roots = node.paced_roots.lock();
    let shares = roots.shares(now);
    shares.map(|(service, per_s)| PacedService { service: service.clone(), per_s }).collect()
}

impl StateDump {
    fn capture<D: Dialect>(node: &Node<D>) -> Self {
        let now = clock::now();
        let upstream = node.guard.upstream();
        let members = node.members.load();
        let pace = node.guard.cold_pace();
        let evacuations = node.evacuations.load();
        let out_of_use = members.with_record().filter(|member| member.ready_upstream().is_none());
        let loads = node.root_admission.lock().service_loads().into_iter();
        let refusals = node.refusals.lock();
        let resident = ResidentMemory::read();
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
            proof_age_ms: node.proof.known_age(now).map(clock::to_millis),
            store_calls: node.store.call_count(),
            store_connections: node.store.connection_count(),
            store_era: node.store.era(),
            first_hub: node.is_first_hub(now),
            instances: members.len(),
            instances_lost: members.len().saturating_sub(members.live_len()),
            earlier_state_known: node.is_state_known(),
            out_of_use: out_of_use.map(|member| member.record.instance.clone()).collect(),
            gate: node.guard.gate_status(),
            named_rate_per_s: match node.guard.named_rate() {
                NamedRate::PerSecond(per_s) => Some(per_s),
                NamedRate::Unlimited | NamedRate::Invalid => None,
            },
            pace_per_s: pace.map(|it| it.per_s),
            pace_remaining_ms: pace.map(|it| clock::to_millis(it.remaining)),
            paced_roots: paced_roots(node, now),
            evacuated_zones: evacuations.known().map(|it| it.zones.iter().cloned().collect()),
            evacuation_age_ms: evacuations.age(now).map(clock::to_millis),
            refuses_for_evacuation: node.guard.is_evacuated(),
            sent: node.guard.sent.get(),
            loads: loads
                .map(|(service, load, allowance_per_s)| ServiceLoad {
                    refused_share: refusals.share(now, &service),
                    load,
                    allowance_per_s,
                    service,
                })
                .collect(),
            quarantined: node.guard.crashes.lock().quarantined_count(now),
            dropped_log_lines: telemetry::dropped_lines(),
            memory_used_bytes: node.memory.used_bytes(),
            memory_peak_bytes: node.memory.peak_bytes(),
            resident_bytes: resident.map(|it| it.current_bytes),
            resident_peak_bytes: resident.map(|it| it.peak_bytes),
            memory_limit_bytes: node.memory.limit_bytes(),
        }
    }

    /// Creates the gauges for each scrape, so that the series of a removed service disappears.
    fn register(&self, registry: &mut Registry) {
        let mut gauge = |name: &str, help: &str, value: f64| {
            let gauge = FloatGauge::default();
            gauge.set(value);
            registry.register(name, help, gauge);
        };
        gauge("revision", "Configuration revision in force", self.revision.unwrap_or(0) as f64);
        gauge(
            "configuration_proof_age_seconds",
            "Age of the newest proof that the configuration is current; -1 without a proof",
            self.proof_age_ms.map_or(-1.0, |age_ms| age_ms as f64 / 1000.0),
        );
        gauge("instances", "Instances that the node knows", self.instances as f64);
        gauge(
            "instances_lost",
            "Instances that the first hub has not heard of for seconds; they do not count as members",
            self.instances_lost as f64,
        );
        gauge(
            "instances_out_of_use",
            "Instances that receive no requests: leaving, silent, or without a ready upstream",
            self.out_of_use.len() as f64,
        );
        gauge(
            "first_hub",
            "1 if the node is the fleet's first hub, else 0",
            f64::from(self.first_hub),
        );
        gauge(
            "requests_quarantined",
            "Requests that have crashed upstreams and are refused",
            self.quarantined as f64,
        );
        gauge(
            "memory_used_bytes",
            "Memory reserved for requests, answers and connections of others",
            self.memory_used_bytes as f64,
        );
        gauge(
            "memory_peak_bytes",
            "Most of that memory that was reserved at a time since the start",
            self.memory_peak_bytes as f64,
        );
        gauge("memory_limit_bytes", "Limit of that memory", self.memory_limit_bytes as f64);
        gauge(
            "resident_bytes",
            "Resident memory of the process; -1 if unknown",
            self.resident_bytes.map_or(-1.0, |bytes| bytes as f64),
        );
        gauge(
            "resident_peak_bytes",
            "Most memory of the process that was resident since the start; -1 if unknown",
            self.resident_peak_bytes.map_or(-1.0, |bytes| bytes as f64),
        );
        if let Some(gate) = &self.gate {
            gauge(
                "upstream_running",
                "Requests running at the local upstream",
                f64::from(gate.in_flight),
            );
            gauge(
                "upstream_waiting",
                "Requests waiting for a slot of the local upstream",
                gate.waiting as f64,
            );
            gauge(
                "upstream_limit",
                "Requests that may run at the local upstream concurrently",
                f64::from(gate.limit),
            );
        }
        gauge(
            "upstream_named_rate_per_second",
            "Limit on requests per second that the upstream's last answer named; -1 without one",
            self.named_rate_per_s.unwrap_or(-1.0),
        );
        gauge(
            "upstream_pace_per_second",
            "Requests per second that the upstream accepts while it is cold; -1 while it is warm",
            self.pace_per_s.unwrap_or(-1.0),
        );
        gauge(
            "upstream_learned_pace_per_second",
            "Requests per second that the upstream takes as far as its answers show; -1 without a limit",
            self.gate.and_then(|gate| gate.learned_per_s).unwrap_or(-1.0),
        );
        gauge(
            "zones_evacuated",
            "Availability zones that the node knows to be evacuated",
            self.evacuated_zones.as_ref().map_or(0.0, |zones| zones.len() as f64),
        );
        gauge(
            "evacuation_state_age_seconds",
            "Age of the newest read of the evacuated zones; -1 without one",
            self.evacuation_age_ms.map_or(-1.0, |age_ms| age_ms as f64 / 1000.0),
        );
        gauge(
            "store_era",
            "Era of the store, which rises when it comes back from an earlier copy; 0 if unknown",
            self.store_era as f64,
        );
        let calls = Counter::<u64>::default();
        calls.inc_by(self.store_calls);
        registry.register("store_calls", "Calls to the store", calls);
        let connections = Counter::<u64>::default();
        connections.inc_by(self.store_connections);
        registry.register(
            "store_connections_opened",
            "Connections to the store that were opened",
            connections,
        );
        let sent = Counter::<u64>::default();
        sent.inc_by(self.sent);
        registry.register("upstream_requests", "Requests sent to the local upstream", sent);
        let loads = Family::<ServiceLabels, FloatGauge>::default();
        for it in &self.loads {
            loads.get_or_create(&ServiceLabels { service: it.service.clone() }).set(it.load);
        }
        registry.register(
            "service_load",
            "Running and waiting requests divided by the concurrency limit",
            loads,
        );
        let shares = Family::<ServiceLabels, FloatGauge>::default();
        for it in &self.loads {
            let labels = ServiceLabels { service: it.service.clone() };
            shares.get_or_create(&labels).set(it.refused_share);
        }
        registry.register(
            "service_refused_share",
            "Share of requests that the service refuses although it has free slots; 0 unless significant",
            shares,
        );
        let dropped = Counter::<u64>::default();
        dropped.inc_by(self.dropped_log_lines);
        registry.register(
            "log_lines_dropped",
            "Log lines dropped while the log output was slow",
            dropped,
        );
    }
}

/// Answers a request to the operators' listener.
pub async fn answer_request<D: Dialect>(
    node: Arc<Node<D>>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/healthz") => http_server::text(StatusCode::OK, "ok"),
        (&Method::GET, "/metrics") => match metrics_text(&node) {
            Ok(text) => http_server::text(StatusCode::OK, text.trim_end()),
            Err(error) => {
                log::error!(
                    cause:% = error;
                    "encoding the metrics failed; answering with status 500"
                );
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
    registry.register(
        "upstream_connections_opened",
        "Connections to the local upstream that were opened, by reason",
        node.guard.opened_connections().clone(),
    );
    registry.register(
        "misuse",
        "Cases of callers or other nodes beyond the bounds of a listener, by listener and kind",
        node.misuse.counters(),
    );
    StateDump::capture(node).register(&mut registry);
    let mut text = String::new();
    encode_registry(&mut text, &registry)?;
    encode_eof(&mut text)?;
    Ok(text)
}
