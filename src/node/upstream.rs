//! The link to the upstream beside the node.

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
    http_client::{self, ConnectFailure, Connection, ConnectionPool, SendFailure},
    names::ServiceName,
};

/// Idle connections older than this are not used; many servers close them after some minutes.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
const MAX_IDLE_CONNECTIONS: usize = 256;
/// Pauses before the attempts to connect that tell a crash from a single broken answer. A
/// process that aborts closes its connections some time before its listener.
const CRASH_PROBES: [Duration; 3] =
    [Duration::ZERO, Duration::from_millis(30), Duration::from_millis(100)];

/// What an upstream says of itself when it starts to serve.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Service that it offers.
    #[schemars(length(min = 1, max = 63))]
    pub service: ServiceName,
    /// Address that it listens on.
    #[schemars(with = "String")]
    pub address: SocketAddr,
    /// Requests that it can run at once; a hint.
    #[schemars(range(min = 1, max = 100_000))]
    pub slots: u32,
    /// Names the run of the upstream that began with this announcement; set by the node.
    #[serde(skip)]
    #[schemars(skip)]
    pub run_id: Uuid,
}

/// What an upstream says of its load; a hint that may lag or be false.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct LoadReport {
    /// Requests that it is running.
    pub in_flight: u32,
    /// Requests that wait in it.
    pub queued: u32,
}

/// The link to the upstream beside the node.
#[derive(Debug)]
pub struct UpstreamLink {
    announced: ArcSwapOption<Announcement>,
    report: ArcSwapOption<LoadReport>,
    draining: AtomicBool,
    connections: ConnectionPool,
}

impl UpstreamLink {
    /// Makes a link without an upstream.
    pub fn new(max_body_bytes: usize) -> Self {
        Self {
            announced: ArcSwapOption::empty(),
            report: ArcSwapOption::empty(),
            draining: AtomicBool::new(false),
            connections: ConnectionPool::new(MAX_IDLE_CONNECTIONS, max_body_bytes),
        }
    }

    /// Takes a new upstream.
    pub fn announce(&self, announcement: Announcement) {
        let announcement = Announcement { run_id: Uuid::now_v7(), ..announcement };
        self.connections.clear();
        self.announced.store(Some(announcement.into()));
        self.draining.store(false, Ordering::Release);
    }

    /// Keeps the last load report.
    pub fn report(&self, report: LoadReport) {
        self.report.store(Some(report.into()));
    }

    /// The upstream wants no new work.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Release);
    }

    /// The upstream of an announcement has crashed or closed; it must announce itself again.
    ///
    /// Returns false where it was lost before or has announced itself meanwhile.
    pub fn lost(&self, announcement: &Arc<Announcement>) -> bool {
        let none: Option<Arc<Announcement>> = None;
        let previous = self.announced.compare_and_swap(announcement, none);
        let was_current = previous.as_ref().is_some_and(|it| Arc::ptr_eq(it, announcement));
        if was_current {
            self.connections.clear();
        }
        was_current
    }

    /// The upstream, where there is one that takes new work.
    pub fn serving(&self) -> Option<Arc<Announcement>> {
        if self.draining.load(Ordering::Acquire) {
            return None;
        }
        self.announced.load_full()
    }

    /// The upstream has asked for no new work and has not announced itself since.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// The last load report.
    pub fn last_report(&self) -> Option<LoadReport> {
        self.report.load().as_deref().copied()
    }

    /// Closes the idle connections.
    pub fn close_idle(&self) {
        self.connections.clear();
    }

    /// Tells a crash of the upstream from a single broken answer.
    ///
    /// An upstream that announced itself again meanwhile has crashed too: it may listen on the
    /// same port as before.
    pub async fn has_crashed(&self, announcement: &Arc<Announcement>) -> bool {
        for pause in CRASH_PROBES {
            tokio::time::sleep(pause).await;
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
        self.connections.connect(address, IDLE_TIMEOUT).await
    }

    /// Sends one request and reads its whole answer.
    pub async fn send(
        &self,
        connection: Connection,
        request: Request<Full<Bytes>>,
        request_id: &str,
    ) -> Result<Answer, SendFailure> {
        let check = |parts: &_, has_no_body| {
            check_answer(parts, has_no_body, request_id).map_err(str::to_owned)
        };
        self.connections.send(connection, request, check).await
    }
}

/// Checks that the answer belongs to the request and that a cut body would be noticed.
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

/// Adds the headers that tell an upstream what it runs and for whom.
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
