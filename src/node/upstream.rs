//! The link to the upstream beside the node.

use std::{
    io::ErrorKind,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use arc_swap::ArcSwapOption;
use bytes::Bytes;
use http::{
    HeaderMap, HeaderValue, Method, Request,
    header::{CONTENT_LENGTH, TRANSFER_ENCODING},
};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::{
    body::Body as _,
    client::conn::http1::{SendRequest, handshake},
};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use tokio::{net::TcpStream, time::timeout};
use tokio_util::task::AbortOnDropHandle;
use uuid::Uuid;

use crate::{
    call::{Answer, Unsent, headers},
    names::ServiceName,
};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Idle connections older than this are not used; many servers close them after some minutes.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
const MAX_IDLE_CONNECTIONS: usize = 256;
/// Time for a pooled connection to finish the exchange before, once its answer was read.
const READY_TIMEOUT: Duration = Duration::from_millis(10);
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

/// Why no connection to the upstream could be made; nothing was sent.
#[derive(Debug, thiserror::Error)]
pub enum ConnectFailure {
    /// Nobody listens any more.
    #[error("the upstream refuses connections")]
    Refused,
    /// No connection for another reason.
    #[error("no connection to the upstream: {0}")]
    Other(String),
}

/// Why a request that was handed to the client has no whole answer.
#[derive(Debug)]
pub enum SendFailure {
    /// The connection closed before the client took the request.
    Unsent(Unsent, String),
    /// The connection broke, or the answer was cut, crossed or too large.
    NotWhole(String),
}

/// One HTTP/1.1 connection; it is closed when it is dropped.
#[derive(Debug)]
pub struct UpstreamConnection {
    sender: SendRequest<Full<Bytes>>,
    driver: AbortOnDropHandle<()>,
    address: SocketAddr,
    used_at: Instant,
}

/// The link to the upstream beside the node.
#[derive(Debug)]
pub struct UpstreamLink {
    announced: ArcSwapOption<Announcement>,
    report: ArcSwapOption<LoadReport>,
    draining: AtomicBool,
    idle: Mutex<Vec<UpstreamConnection>>,
    max_body_bytes: usize,
}

impl UpstreamLink {
    /// Makes a link without an upstream.
    pub fn new(max_body_bytes: usize) -> Self {
        Self {
            announced: ArcSwapOption::empty(),
            report: ArcSwapOption::empty(),
            draining: AtomicBool::new(false),
            idle: Mutex::default(),
            max_body_bytes,
        }
    }

    /// Takes a new upstream.
    pub fn announce(&self, announcement: Announcement) {
        let announcement = Announcement { run_id: Uuid::now_v7(), ..announcement };
        self.idle.lock().clear();
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
            self.idle.lock().clear();
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
        self.idle.lock().clear();
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
            if let Err(ConnectFailure::Refused) = open(announcement.address).await {
                return true;
            }
        }
        false
    }

    /// Returns a connection that is ready for a request.
    pub async fn connect(&self, address: SocketAddr) -> Result<UpstreamConnection, ConnectFailure> {
        while let Some(mut connection) = self.take_idle(address) {
            let ready = timeout(READY_TIMEOUT, connection.sender.ready()).await;
            if matches!(ready, Ok(Ok(()))) {
                return Ok(connection);
            }
        }
        let stream = open(address).await?;
        let other = |error: hyper::Error| ConnectFailure::Other(error.to_string());
        let (mut sender, connection) = handshake(TokioIo::new(stream)).await.map_err(other)?;
        let driver = AbortOnDropHandle::new(tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to the upstream ended: {error}");
            }
        }));
        sender.ready().await.map_err(other)?;
        Ok(UpstreamConnection { sender, driver, address, used_at: Instant::now() })
    }

    fn take_idle(&self, address: SocketAddr) -> Option<UpstreamConnection> {
        let mut idle = self.idle.lock();
        while let Some(connection) = idle.pop() {
            let usable = connection.address == address
                && connection.used_at.elapsed() < IDLE_TIMEOUT
                && !connection.sender.is_closed()
                && !connection.driver.is_finished();
            if usable {
                return Some(connection);
            }
        }
        None
    }

    /// Sends one request and reads its whole answer.
    ///
    /// The connection is used again only after a whole answer. On any failure, and where the
    /// future is dropped, it is closed, so that a late answer cannot meet another request.
    pub async fn send(
        &self,
        mut connection: UpstreamConnection,
        request: Request<Full<Bytes>>,
        request_id: &str,
    ) -> Result<Answer, SendFailure> {
        let is_head = request.method() == Method::HEAD;
        let sent = connection.sender.try_send_request(request).await;
        let response = sent.map_err(|mut error| {
            let detail = error.error().to_string();
            match Unsent::of(&mut error) {
                Some(unsent) => SendFailure::Unsent(unsent, detail),
                None => SendFailure::NotWhole(detail),
            }
        })?;
        let (parts, body) = response.into_parts();
        check_answer(&parts, is_head || body.is_end_stream(), request_id)
            .map_err(|detail| SendFailure::NotWhole(detail.to_owned()))?;
        let body = Limited::new(body, self.max_body_bytes).collect().await;
        let body = body.map_err(|error| SendFailure::NotWhole(error.to_string()))?;
        connection.used_at = Instant::now();
        let mut idle = self.idle.lock();
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(connection);
        }
        Ok(Answer { status: parts.status, headers: parts.headers, body: body.to_bytes() })
    }
}

async fn open(address: SocketAddr) -> Result<TcpStream, ConnectFailure> {
    let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
            return Err(ConnectFailure::Refused);
        }
        Ok(Err(error)) => return Err(ConnectFailure::Other(error.to_string())),
        Err(_) => {
            let detail = format!("not connected within {CONNECT_TIMEOUT:?}");
            return Err(ConnectFailure::Other(detail));
        }
    };
    let _ = stream.set_nodelay(true);
    Ok(stream)
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
