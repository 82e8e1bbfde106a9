//! Test double of an upstream with the protocol of the operators' platform: it sends heartbeats to
//! its node, runs requests and makes calls through the node.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use bytes::Bytes;
use hibiscusdoor::{http_server, standin};
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use parking_lot::Mutex;
use serde_json::json;
use tokio::{net::TcpListener, time::sleep};
use tokio_util::sync::CancellationToken;

use super::{
    plan::{CALL_HOST, DOWNSTREAM_PREFIX, HEALTH_PATH, ServicePlan},
    record::{LimitPeriod, Record, Run},
};

/// Number of requests that an upstream runs concurrently; it refuses more.
const SLOTS: u64 = 16;
/// Time for which an upstream serves requests after it has announced that it drains.
const DRAIN_DURATION: Duration = Duration::from_millis(3500);

/// Fault of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamFault {
    None,
    /// Each request takes this much longer.
    Slow(Duration),
    /// Refuses every second request without running it.
    Sheds,
    /// Responds to every third request with the response to another one.
    MisdeliversAnswers,
}

/// Service and addresses of an upstream.
#[derive(Debug, Clone)]
pub struct UpstreamConfig {
    pub plan: ServicePlan,
    pub zone: String,
    /// Address that it listens on.
    pub listen: SocketAddr,
    /// Address that it announces to its node: that of the proxy in front of it.
    pub announced: SocketAddr,
    /// Time between two heartbeats to its node.
    pub heartbeat_interval: Duration,
    /// Listener of its node for heartbeats.
    pub node_heartbeats: SocketAddr,
    /// Listener of its node for callers, which its own calls use.
    pub node_callers: SocketAddr,
}

/// A running upstream, with an id of its own.
#[derive(Debug)]
pub struct Upstream {
    id: String,
    config: UpstreamConfig,
    record: Arc<Record>,
    client: Client<HttpConnector, Full<Bytes>>,
    running: AtomicU64,
    received: AtomicU64,
    fault: Mutex<UpstreamFault>,
    /// End of the time in which it is cold.
    cold_until: Mutex<Option<Instant>>,
    /// Limit on the rate of requests that its answers name.
    limit: Mutex<Option<NamedLimit>>,
    is_draining: AtomicBool,
    /// Whether its answers state that it is leaving.
    is_leaving: AtomicBool,
    /// When its node first knew that it leaves: it acknowledged a heartbeat with the state `draining`, or
    /// received an answer that states it.
    leaving_known_since: Mutex<Option<Instant>>,
    /// Stops accepting connections.
    stop: CancellationToken,
    /// Closes open connections.
    abort: CancellationToken,
}

impl Upstream {
    /// Starts an upstream with a new id.
    pub async fn start(
        id: String,
        config: UpstreamConfig,
        record: Arc<Record>,
    ) -> anyhow::Result<Arc<Self>> {
        let listener = TcpListener::bind(config.listen).await?;
        let upstream = Arc::new(Self {
            id,
            config,
            record,
            client: Client::builder(TokioExecutor::new()).build(HttpConnector::new()),
            running: AtomicU64::new(0),
            received: AtomicU64::new(0),
            fault: Mutex::new(UpstreamFault::None),
            cold_until: Mutex::new(None),
            limit: Mutex::new(None),
            is_draining: AtomicBool::new(false),
            is_leaving: AtomicBool::new(false),
            leaving_known_since: Mutex::new(None),
            stop: CancellationToken::new(),
            abort: CancellationToken::new(),
        });
        let served = upstream.clone();
        tokio::spawn(http_server::serve_until(
            listener,
            upstream.stop.clone(),
            upstream.abort.clone(),
            move |request| handle_request(served.clone(), request),
        ));
        tokio::spawn(send_heartbeats(upstream.clone()));
        Ok(upstream)
    }

    /// Sets the fault of the upstream.
    pub fn set_fault(&self, fault: UpstreamFault) {
        *self.fault.lock() = fault;
    }

    /// Names this limit in all answers for a time.
    pub async fn name_limit(&self, per_s: f64, span: Duration) {
        *self.limit.lock() = Some(NamedLimit { per_s, named_at: None });
        sleep(span).await;
        let Some(limit) = self.limit.lock().take() else { return };
        if let Some(named_at) = limit.named_at {
            let ended_at = Instant::now();
            let period = LimitPeriod { upstream: self.id.clone(), per_s, named_at, ended_at };
            self.record.limits.lock().push(period);
        }
    }

    /// Is cold for a time, which its heartbeats and health answers state.
    pub fn become_cold(&self, span: Duration) {
        *self.cold_until.lock() = Some(Instant::now() + span);
    }

    /// Time for which it is still cold.
    pub fn cold_remaining(&self) -> Duration {
        let until = *self.cold_until.lock();
        until.map_or(Duration::ZERO, |until| until.saturating_duration_since(Instant::now()))
    }

    /// Stops at once and closes the connections of requests that run.
    pub fn crash(&self) {
        self.abort.cancel();
        self.stop.cancel();
    }

    /// Announces that it drains, serves requests for a while and then stops.
    pub async fn drain(self: &Arc<Self>) {
        self.is_draining.store(true, Ordering::Release);
        self.leave_by_answers().await;
    }

    /// States in its answers that it leaves, serves requests for a while and then stops. Unless it
    /// drains, its heartbeats still announce it as ready.
    pub async fn leave_by_answers(&self) {
        self.is_leaving.store(true, Ordering::Release);
        sleep(DRAIN_DURATION).await;
        self.crash();
    }
}

/// Limit that an upstream names, with the time of the first answer that named it.
#[derive(Debug, Clone, Copy)]
struct NamedLimit {
    per_s: f64,
    named_at: Option<Instant>,
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// Sends heartbeats to the node until the upstream stops.
async fn send_heartbeats(upstream: Arc<Upstream>) {
    let started_at_ms = unix_ms();
    let mut sequence = 0;
    while !upstream.stop.is_cancelled() {
        sequence += 1;
        let is_draining = upstream.is_draining.load(Ordering::Acquire);
        let config = &upstream.config;
        let message = json!({
            "address": config.announced.to_string(),
            "born": started_at_ms,
            "info": {
                "service": config.plan.name,
                "version": "v1",
                "zone": config.zone,
                "slots": SLOTS,
            },
            "status": {
                "state": if is_draining { "draining" } else { "ready" },
                "sequence": sequence,
                "coldRemaining": format!("{}ms", upstream.cold_remaining().as_millis()),
            },
        });
        let url = format!("http://{}/instances/{}", config.node_heartbeats, upstream.id);
        let call = standin::http_call(
            &upstream.client,
            Method::PUT,
            &url,
            &[("content-type", "application/json")],
            message.to_string(),
        );
        let reply = tokio::time::timeout(Duration::from_secs(1), call).await;
        if is_draining && matches!(&reply, Ok(Ok(reply)) if reply.status.is_success()) {
            upstream.leaving_known_since.lock().get_or_insert_with(Instant::now);
        }
        sleep(config.heartbeat_interval).await;
    }
}

/// A slot of an upstream, free again when the value is dropped.
struct Slot<'a>(&'a Upstream);

impl<'a> Slot<'a> {
    fn acquire(upstream: &'a Upstream) -> Option<Self> {
        let before = upstream.running.fetch_add(1, Ordering::AcqRel);
        let slot = Self(upstream);
        (before < SLOTS).then_some(slot)
    }
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::AcqRel);
    }
}

async fn handle_request(
    upstream: Arc<Upstream>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let mut response = run_request(upstream.clone(), request).await;
    if upstream.is_leaving.load(Ordering::Acquire) {
        upstream.leaving_known_since.lock().get_or_insert_with(Instant::now);
        response.headers_mut().insert("server-leaving", http::HeaderValue::from_static("1"));
    }
    if let Some(limit) = &mut *upstream.limit.lock() {
        limit.named_at.get_or_insert_with(Instant::now);
        if let Ok(value) = format!("{:.1}", limit.per_s).parse() {
            response.headers_mut().insert("server-limit", value);
        }
    }
    response
}

async fn run_request(upstream: Arc<Upstream>, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let (parts, body) = request.into_parts();
    let header = |name: &str| {
        parts.headers.get(name).and_then(|value| value.to_str().ok()).map(str::to_owned)
    };
    if parts.uri.path() == HEALTH_PATH {
        return health_response(&upstream);
    }
    let Some(id) = header("x-attempt-id") else {
        return not_executed_response(StatusCode::BAD_REQUEST, "");
    };
    if header("x-expect-instance").is_some_and(|expected| expected != upstream.id) {
        return not_executed_response(StatusCode::MISDIRECTED_REQUEST, &id);
    }
    upstream.record.record_arrival(&upstream.id);
    let fault = *upstream.fault.lock();
    let number = upstream.received.fetch_add(1, Ordering::Relaxed);
    let slot = Slot::acquire(&upstream)
        .filter(|_| fault != UpstreamFault::Sheds || number.is_multiple_of(2));
    let Some(_slot) = slot else {
        return not_executed_response(StatusCode::SERVICE_UNAVAILABLE, &id);
    };
    let Ok(body) = body.collect().await else {
        return not_executed_response(StatusCode::BAD_REQUEST, &id);
    };
    let body = body.to_bytes();
    let path = parts.uri.path().to_owned();
    let organisation = header("x-tenant");
    upstream.record.record_run(
        &id,
        Run {
            at: Instant::now(),
            defect: defect(&upstream, &id, &path, &body, &parts.headers),
            organisation,
            leaving_known_since: *upstream.leaving_known_since.lock(),
        },
    );
    let extra = match fault {
        UpstreamFault::Slow(extra) => extra,
        _ => Duration::ZERO,
    };
    sleep(upstream.config.plan.work_time + extra).await;
    for call in 0..upstream.config.plan.calls {
        if !call_downstream(&upstream, &id, call).await {
            return sealed_response(StatusCode::INTERNAL_SERVER_ERROR, &id, "a call failed".into());
        }
    }
    if fault == UpstreamFault::MisdeliversAnswers && number.is_multiple_of(3) {
        let other = format!("{id}0");
        return sealed_response(StatusCode::OK, &other, answer_body(&other, &path));
    }
    sealed_response(StatusCode::OK, &id, answer_body(&id, &path))
}

fn health_response(upstream: &Upstream) -> Response<Full<Bytes>> {
    let status = match upstream.is_leaving.load(Ordering::Acquire) {
        true => StatusCode::SERVICE_UNAVAILABLE,
        false => StatusCode::OK,
    };
    let mut response = http_server::text(status, "");
    let load = format!("{},0,{SLOTS}", upstream.running.load(Ordering::Relaxed));
    let cold_ms = upstream.cold_remaining().as_millis().to_string();
    for (name, value) in
        [("x-instance-id", &upstream.id), ("x-instance-load", &load), ("x-cold-ms", &cold_ms)]
    {
        if let Ok(value) = value.parse() {
            response.headers_mut().insert(name, value);
        }
    }
    response
}

/// Returns what violates a guarantee in a request as it arrived.
fn defect(
    upstream: &Upstream,
    id: &str,
    path: &str,
    body: &[u8],
    headers: &http::HeaderMap,
) -> Option<String> {
    let plan = &upstream.config.plan;
    if !path.starts_with(&plan.prefix) && !path.starts_with(DOWNSTREAM_PREFIX) {
        return Some(format!("the path {path} does not belong to the service {}", plan.name));
    }
    if headers.contains_key("x-key") {
        return Some("the node forwarded the key of the caller".to_owned());
    }
    if !body.is_empty() && body != id.as_bytes() {
        return Some("the body was changed".to_owned());
    }
    let organisation = headers.get("x-tenant").and_then(|value| value.to_str().ok());
    match (id.contains('.'), organisation) {
        (true, Some(_)) => Some("a call without a key has the organisation of a caller".to_owned()),
        (false, organisation) => {
            // The id of a request starts with the name of its organisation and a dash.
            let sender = id.split('-').next().unwrap_or_default();
            (organisation != Some(sender))
                .then(|| format!("its organisation is {organisation:?}, expected {sender}"))
        }
        _ => None,
    }
}

/// Calls the service `stock` through the node; returns whether the call succeeded.
async fn call_downstream(upstream: &Upstream, id: &str, number: u32) -> bool {
    let url = format!("http://{}{DOWNSTREAM_PREFIX}{number}", upstream.config.node_callers);
    let call_id = format!("{id}.{number}");
    let headers =
        [("host", CALL_HOST), ("x-attempt-id", call_id.as_str()), ("x-deadline-ms", "1500")];
    let call = standin::http_call(&upstream.client, Method::GET, &url, &headers, "");
    matches!(call.await, Ok(reply) if reply.status == StatusCode::OK)
}

/// Returns the body of the complete response to a request.
pub fn answer_body(id: &str, path: &str) -> Bytes {
    format!("{id} {path} {}", "x".repeat(id.len() * 20)).into()
}

/// Returns a response with the seal that marks it as the upstream's own.
fn sealed_response(status: StatusCode, id: &str, body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    for (name, value) in [("x-attempt-id", id), ("x-response-seal", id)] {
        if let Ok(value) = value.parse() {
            response.headers_mut().insert(name, value);
        }
    }
    response
}

/// Returns a refusal with the header that the request did not run.
fn not_executed_response(status: StatusCode, id: &str) -> Response<Full<Bytes>> {
    let mut response = sealed_response(status, id, Bytes::new());
    response.headers_mut().remove("x-response-seal");
    response.headers_mut().insert("x-not-executed", http::HeaderValue::from_static("1"));
    response
}
