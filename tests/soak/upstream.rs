//! A stand-in of an upstream that speaks the operators' platform: heartbeats to its node, runs of
//! requests, calls of its own.

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
    plan::{CALL_HOST, CHAIN_PREFIX, HEALTH_PATH, ServicePlan},
    record::{Record, Run},
};

/// Requests that run at once.
const SLOTS: u64 = 16;
/// Time that an upstream goes on serving after its departure was acknowledged.
const LINGER: Duration = Duration::from_millis(3500);

/// What is wrong with an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamFault {
    None,
    /// Takes this much longer.
    Slow(Duration),
    /// Refuses every second request without running it.
    Sheds,
    /// Gives every third request the answer to another one.
    Crosses,
}

/// Where an upstream is and what it serves.
#[derive(Debug, Clone)]
pub struct Place {
    pub plan: ServicePlan,
    pub zone: String,
    /// Where it listens.
    pub listen: SocketAddr,
    /// Address that it tells its node: that of the proxy before it.
    pub told: SocketAddr,
    /// Time between two heartbeats.
    pub heartbeat: Duration,
    /// Its node's listener for heartbeats.
    pub control: SocketAddr,
    /// Its node's listener for callers.
    pub outbound: SocketAddr,
}

/// One start of an upstream.
#[derive(Debug)]
pub struct Upstream {
    id: String,
    place: Place,
    record: Arc<Record>,
    client: Client<HttpConnector, Full<Bytes>>,
    running: AtomicU64,
    served: AtomicU64,
    fault: Mutex<UpstreamFault>,
    draining: AtomicBool,
    /// When a node acknowledged that it leaves.
    left_at: Mutex<Option<Instant>>,
    stop: CancellationToken,
    cut: CancellationToken,
}

impl Upstream {
    /// Starts an upstream with a new id.
    pub async fn start(id: String, place: Place, record: Arc<Record>) -> anyhow::Result<Arc<Self>> {
        let listener = TcpListener::bind(place.listen).await?;
        let upstream = Arc::new(Self {
            id,
            place,
            record,
            client: Client::builder(TokioExecutor::new()).build(HttpConnector::new()),
            running: AtomicU64::new(0),
            served: AtomicU64::new(0),
            fault: Mutex::new(UpstreamFault::None),
            draining: AtomicBool::new(false),
            left_at: Mutex::new(None),
            stop: CancellationToken::new(),
            cut: CancellationToken::new(),
        });
        let served = upstream.clone();
        tokio::spawn(http_server::serve_until(
            listener,
            upstream.stop.clone(),
            upstream.cut.clone(),
            move |request| answer(served.clone(), request),
        ));
        tokio::spawn(beat(upstream.clone()));
        Ok(upstream)
    }

    /// Sets what is wrong.
    pub fn set_fault(&self, fault: UpstreamFault) {
        *self.fault.lock() = fault;
    }

    /// Ends at once; what runs is cut.
    pub fn crash(&self) {
        self.cut.cancel();
        self.stop.cancel();
    }

    /// Says that it leaves, goes on for a while and ends.
    pub async fn drain(self: &Arc<Self>) {
        self.draining.store(true, Ordering::Release);
        sleep(LINGER).await;
        self.crash();
    }
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

async fn beat(upstream: Arc<Upstream>) {
    let born = unix_ms();
    let mut sequence = 0;
    while !upstream.stop.is_cancelled() {
        sequence += 1;
        let draining = upstream.draining.load(Ordering::Acquire);
        let place = &upstream.place;
        let message = json!({
            "address": place.told.to_string(),
            "born": born,
            "info": {
                "service": place.plan.name,
                "version": "v1",
                "zone": place.zone,
                "slots": SLOTS,
            },
            "status": {
                "state": if draining { "draining" } else { "ready" },
                "sequence": sequence,
                "coldRemaining": "0ms",
            },
        });
        let url = format!("http://{}/instances/{}", place.control, upstream.id);
        let call = standin::http_call(
            &upstream.client,
            Method::PUT,
            &url,
            &[("content-type", "application/json")],
            message.to_string(),
        );
        let reply = tokio::time::timeout(Duration::from_secs(1), call).await;
        if draining && matches!(&reply, Ok(Ok(reply)) if reply.status.is_success()) {
            upstream.left_at.lock().get_or_insert_with(Instant::now);
        }
        sleep(place.heartbeat).await;
    }
}

/// Counts a request among those that run.
struct Slot<'a>(&'a Upstream);

impl<'a> Slot<'a> {
    fn take(upstream: &'a Upstream) -> Option<Self> {
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

async fn answer(upstream: Arc<Upstream>, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let (parts, body) = request.into_parts();
    let header = |name: &str| {
        parts.headers.get(name).and_then(|value| value.to_str().ok()).map(str::to_owned)
    };
    if parts.uri.path() == HEALTH_PATH {
        return health(&upstream);
    }
    let Some(id) = header("x-attempt-id") else {
        return not_executed(StatusCode::BAD_REQUEST, "");
    };
    if header("x-expect-instance").is_some_and(|expected| expected != upstream.id) {
        return not_executed(StatusCode::MISDIRECTED_REQUEST, &id);
    }
    let fault = *upstream.fault.lock();
    let number = upstream.served.fetch_add(1, Ordering::Relaxed);
    let slot =
        Slot::take(&upstream).filter(|_| fault != UpstreamFault::Sheds || number.is_multiple_of(2));
    let Some(_slot) = slot else {
        return not_executed(StatusCode::SERVICE_UNAVAILABLE, &id);
    };
    let Ok(body) = body.collect().await else {
        return not_executed(StatusCode::BAD_REQUEST, &id);
    };
    let body = body.to_bytes();
    let path = parts.uri.path().to_owned();
    let organisation = header("x-tenant");
    upstream.record.ran(
        &id,
        Run {
            at: Instant::now(),
            flaw: flaw(&upstream, &id, &path, &body, &parts.headers),
            organisation,
            left_at: *upstream.left_at.lock(),
        },
    );
    let extra = match fault {
        UpstreamFault::Slow(extra) => extra,
        _ => Duration::ZERO,
    };
    sleep(upstream.place.plan.work + extra).await;
    for call in 0..upstream.place.plan.calls {
        if !call_below(&upstream, &id, call).await {
            return sealed(StatusCode::INTERNAL_SERVER_ERROR, &id, "a call failed".into());
        }
    }
    if fault == UpstreamFault::Crosses && number.is_multiple_of(3) {
        let other = format!("{id}0");
        return sealed(StatusCode::OK, &other, answer_body(&other, &path));
    }
    sealed(StatusCode::OK, &id, answer_body(&id, &path))
}

fn health(upstream: &Upstream) -> Response<Full<Bytes>> {
    let status = match upstream.draining.load(Ordering::Acquire) {
        true => StatusCode::SERVICE_UNAVAILABLE,
        false => StatusCode::OK,
    };
    let mut response = http_server::text(status, "");
    let load = format!("{},0,{SLOTS}", upstream.running.load(Ordering::Relaxed));
    for (name, value) in [("x-instance-id", &upstream.id), ("x-instance-load", &load)] {
        if let Ok(value) = value.parse() {
            response.headers_mut().insert(name, value);
        }
    }
    response
}

/// What is wrong with a request as it arrived.
fn flaw(
    upstream: &Upstream,
    id: &str,
    path: &str,
    body: &[u8],
    headers: &http::HeaderMap,
) -> Option<String> {
    let plan = &upstream.place.plan;
    if !path.starts_with(&plan.prefix) && !path.starts_with(CHAIN_PREFIX) {
        return Some(format!("{path} is not of the service {}", plan.name));
    }
    if headers.contains_key("x-key") {
        return Some("the key was passed on".to_owned());
    }
    if !body.is_empty() && body != id.as_bytes() {
        return Some("the body was changed".to_owned());
    }
    let organisation = headers.get("x-tenant").and_then(|value| value.to_str().ok());
    match (id.contains('.'), organisation) {
        (true, Some(_)) => Some("a call without a key runs for an organisation".to_owned()),
        (false, organisation) => {
            // The part of the id before the first dash names the organisation that sent it.
            let sender = id.split('-').next().unwrap_or_default();
            (organisation != Some(sender)).then(|| format!("it ran for {organisation:?}"))
        }
        _ => None,
    }
}

async fn call_below(upstream: &Upstream, id: &str, number: u32) -> bool {
    let url = format!("http://{}{CHAIN_PREFIX}{number}", upstream.place.outbound);
    let call_id = format!("{id}.{number}");
    let headers =
        [("host", CALL_HOST), ("x-attempt-id", call_id.as_str()), ("x-deadline-ms", "1500")];
    let call = standin::http_call(&upstream.client, Method::GET, &url, &headers, "");
    matches!(call.await, Ok(reply) if reply.status == StatusCode::OK)
}

/// Body of the whole answer to a request.
pub fn answer_body(id: &str, path: &str) -> Bytes {
    format!("{id} {path} {}", "x".repeat(id.len() * 20)).into()
}

fn sealed(status: StatusCode, id: &str, body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    for (name, value) in [("x-attempt-id", id), ("x-response-seal", id)] {
        if let Ok(value) = value.parse() {
            response.headers_mut().insert(name, value);
        }
    }
    response
}

fn not_executed(status: StatusCode, id: &str) -> Response<Full<Bytes>> {
    let mut response = sealed(status, id, Bytes::new());
    response.headers_mut().remove("x-response-seal");
    response.headers_mut().insert("x-not-executed", http::HeaderValue::from_static("1"));
    response
}
