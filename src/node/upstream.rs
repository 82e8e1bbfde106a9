//! Link to the local upstream of the node.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwapOption;
use bytes::Bytes;
use http::{
    HeaderMap, HeaderValue, Request,
    header::{CONTENT_LENGTH, TRANSFER_ENCODING},
};
use http_body_util::Full;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::{
    call::{Answer, headers},
    http_client::{
        self, ConnectFailure, ConnectRequest, Connection, ConnectionPool, PoolLimits, Reuse,
        SendFailure,
    },
    memory::MemoryBudget,
    names::ServiceName,
};

/// Memory for bodies, as a number of bodies of the largest size. Half as many may be received at the
/// same time, since a body of unknown length is copied while it grows.
const MAX_LARGE_BODIES: usize = 16;
/// Idle connections older than this are not reused; many servers close them after some minutes.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
const MAX_IDLE_CONNECTIONS: usize = 256;
/// Delays before the connection attempts that distinguish a crash of the upstream from a single
/// broken answer. A process that aborts closes its connections some time before its listener.
const CRASH_PROBE_DELAYS: [Duration; 3] =
    [Duration::ZERO, Duration::from_millis(30), Duration::from_millis(100)];

/// Announcement that an upstream sends when it starts to serve.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Service that the upstream offers.
    #[schemars(length(min = 1, max = 63))]
    pub service: ServiceName,
    /// Address that the upstream listens on.
    #[schemars(with = "String")]
    pub address: SocketAddr,
    /// Requests that the upstream can run concurrently; used as a hint.
    #[schemars(range(min = 1, max = 100_000))]
    pub slots: u32,
    /// Id of the upstream process that made this announcement; set by the node.
    #[serde(skip)]
    #[schemars(skip)]
    pub run_id: Uuid,
}

/// Load that an upstream reports; used as a hint, since it may be outdated or wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct LoadReport {
    /// Requests that the upstream is running.
    pub in_flight: u32,
    /// Requests that are queued in the upstream.
    pub queued: u32,
}

/// Link to the local upstream of the node.
#[derive(Debug)]
pub struct UpstreamLink {
    announced: ArcSwapOption<Announcement>,
    report: ArcSwapOption<LoadReport>,
    draining: AtomicBool,
    connections: ConnectionPool,
}

impl UpstreamLink {
    /// Creates a link without an upstream.
    pub fn new(max_body_bytes: usize) -> Self {
        let limits = PoolLimits {
            max_idle: MAX_IDLE_CONNECTIONS,
            max_idle_time: IDLE_TIMEOUT,
            max_body_bytes,
        };
        let memory = MemoryBudget::new(max_body_bytes.saturating_mul(MAX_LARGE_BODIES));
        Self {
            announced: ArcSwapOption::empty(),
            report: ArcSwapOption::empty(),
            draining: AtomicBool::new(false),
            connections: ConnectionPool::new(limits, Arc::new(memory)),
        }
    }

    /// Replaces the upstream by one that has just announced itself, and ends a drain.
    pub fn on_announcement(&self, announcement: Announcement) {
        let announcement = Announcement { run_id: Uuid::now_v7(), ..announcement };
        self.connections.clear();
        self.announced.store(Some(announcement.into()));
        self.draining.store(false, Ordering::Release);
    }

    /// Stores the last load report.
    pub fn record_report(&self, report: LoadReport) {
        self.report.store(Some(report.into()));
    }

    /// Stops new requests to the upstream until it announces itself again.
    pub fn start_draining(&self) {
        self.draining.store(true, Ordering::Release);
    }

    /// Marks the upstream of an announcement as crashed or closed, so that it must announce itself
    /// again.
    ///
    /// Returns false if the announcement is no longer the current one.
    pub fn mark_lost(&self, announcement: &Arc<Announcement>) -> bool {
        let none: Option<Arc<Announcement>> = None;
        let previous = self.announced.compare_and_swap(announcement, none);
        let was_current = previous.as_ref().is_some_and(|it| Arc::ptr_eq(it, announcement));
        if was_current {
            self.connections.clear();
        }
        was_current
    }

    /// Returns the upstream if there is one that accepts new requests.
    pub fn serving_announcement(&self) -> Option<Arc<Announcement>> {
        if self.draining.load(Ordering::Acquire) {
            return None;
        }
        self.announced.load_full()
    }

    /// Returns whether the upstream has begun to drain and has not announced itself again.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Returns the last load report.
    pub fn last_report(&self) -> Option<LoadReport> {
        self.report.load().as_deref().copied()
    }

    /// Closes all idle connections.
    pub fn close_idle(&self) {
        self.connections.clear();
    }

    /// Probes whether the upstream has crashed, after an answer was broken.
    ///
    /// An upstream that has announced itself again in the meantime counts as crashed too, since it
    /// may listen on the same port as before.
    pub async fn has_crashed(&self, announcement: &Arc<Announcement>) -> bool {
        for delay in CRASH_PROBE_DELAYS {
            tokio::time::sleep(delay).await;
            let current = self.announced.load_full();
            if !current.is_some_and(|current| Arc::ptr_eq(&current, announcement)) {
                return true;
            }
            if let Err(ConnectFailure::Refused) = http_client::open(announcement.address).await {
                return true;
            }
        }
        false
    }

    /// Returns a connection that is ready for a request.
    pub async fn connect(&self, address: SocketAddr) -> Result<Connection, ConnectFailure> {
        let request = ConnectRequest {
            address,
            max_idle_time: IDLE_TIMEOUT,
            refusal_pause: Duration::ZERO,
            request_id: None,
        };
        self.connections.connect(request).await
    }

    /// Sends one request and reads the complete response.
    pub async fn send(
        &self,
        connection: Connection,
        request: Request<Full<Bytes>>,
        request_id: &str,
    ) -> Result<Answer, SendFailure> {
        let check = |parts: &_, has_no_body| {
            check_answer(parts, has_no_body, request_id).map_err(str::to_owned)?;
            // These upstreams have no statement that a request has not run.
            Ok(Reuse::Keep)
        };
        self.connections.send(connection, request, check).await
    }
}

/// Checks that the response belongs to the request and that a truncated body can be detected.
fn check_answer(
    parts: &http::response::Parts,
    has_no_body: bool,
    request_id: &str,
) -> Result<(), &'static str> {
    let echoed = parts.headers.get(headers::REQUEST_ID);
    if echoed.is_some_and(|id| id.as_bytes() != request_id.as_bytes()) {
        return Err("the answer carries the id of another request");
    }
    let delimited =
        parts.headers.contains_key(CONTENT_LENGTH) || parts.headers.contains_key(TRANSFER_ENCODING);
    if !has_no_body && !delimited {
        return Err("the answer's body ends with the connection, so a cut could not be noticed");
    }
    Ok(())
}

/// Adds the headers that give the upstream the request id, the context id for nested calls, the
/// remaining time and the organisation.
pub fn upstream_headers(
    mut map: HeaderMap,
    request_id: &str,
    organisation: Option<&str>,
    context: &str,
    remaining: Duration,
) -> HeaderMap {
    let mut set = |name, text: &str| {
        if let Ok(value) = HeaderValue::from_str(text) {
            map.insert(name, value);
        }
    };
    set(headers::REQUEST_ID, request_id);
    set(headers::CONTEXT, context);
    set(headers::DEADLINE_MS, &remaining.as_millis().to_string());
    if let Some(organisation) = organisation {
        set(headers::ORGANISATION, organisation);
    }
    map
}
