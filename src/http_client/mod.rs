//! Pool of HTTP/1.1 connections to an upstream.

mod body;
mod opened;
mod short_reads;

use std::{
    collections::VecDeque,
    io::ErrorKind,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{HeaderMap, HeaderName, Method, Request, response::Parts};
use http_body_util::Full;
use hyper::{
    body::Body as _,
    client::conn::http1::{Builder, SendRequest},
};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use tokio::{
    net::TcpStream,
    time::{timeout, timeout_at},
};
use tokio_util::task::AbortOnDropHandle;

pub use self::opened::{OpenCounts, OpenLabels, OpenReason};
use self::{opened::OpenConnections, short_reads::ShortReads};
use crate::{
    call::{Answer, Unsent, final_status},
    memory::MemoryBudget,
    tcp,
};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time that a pooled connection may take to become ready after its last answer was read.
const READY_TIMEOUT: Duration = Duration::from_millis(10);
/// Time after which a connection that is still not ready is closed. A node that is short of processor
/// time needs some 100 ms to notice that a connection is ready.
const MAX_UNREADY_TIME: Duration = Duration::from_secs(1);
/// Time that a request waits for a connection while the upstream accepts no more of them.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(100);
/// Limit of the read buffer of a connection, and so of the head of a response. The default of the
/// library is 400 KiB, which 100 connections with endless responses fill.
const MAX_READ_BUFFER_BYTES: usize = 64 << 10;
/// Time for which a connection is not used for a request that was refused on it; a caller's request
/// has ended by then.
const REFUSED_ID_LIFETIME: Duration = Duration::from_secs(60);
/// Number of refusals within [`REFUSED_ID_LIFETIME`] after which a connection is closed.
const MAX_REFUSED_IDS: usize = 256;
/// Header in which an upstream states for how long it keeps an idle connection, in whole seconds.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
/// Time by which a connection is given up before the upstream closes it: the stated time may be
/// rounded, and a request needs some time to arrive.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(700);
/// Longest idle time that an upstream can state.
const MAX_STATED_IDLE_TIME: Duration = Duration::from_secs(30);

/// Why no connection to the upstream could be opened; no byte of the request was sent.
#[derive(Debug, thiserror::Error)]
pub enum ConnectFailure {
    /// The address refuses TCP connections, as no process listens on it.
    #[error("the upstream refuses connections")]
    Refused,
    /// The connection failed for another reason, such as a timeout.
    #[error("no connection to the upstream: {0}")]
    Other(String),
}

/// Why a request that was passed to the client has no complete response.
#[derive(Debug)]
pub enum SendFailure {
    /// The connection closed before the client wrote a byte of the request; the text is the error.
    Unsent(Unsent, String),
    /// The request may have run: the connection broke, or the response was truncated, too large or
    /// rejected by the check of its head.
    Incomplete(String),
}

/// Whether a connection is used again after a complete response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reuse {
    /// It may be used for any other request.
    Keep,
    /// It may be used again after a pause, but never for a request with this id. A request that was
    /// refused may be sent once more under the same id, and a late second copy of the refusal would
    /// count as the response to it.
    KeepForOthers(Arc<str>),
    /// It is closed.
    Close,
}

/// Limits of a [`ConnectionPool`].
#[derive(Debug, Clone, Copy)]
pub struct PoolLimits {
    /// Largest number of idle connections.
    pub max_idle: usize,
    /// Idle time after which a connection is closed, where the upstream states none.
    pub max_idle_time: Duration,
    /// Largest body of a response.
    pub max_body_bytes: usize,
}

/// A request for a connection.
#[derive(Debug, Clone, Copy)]
pub struct ConnectRequest<'a> {
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Idle time from which a connection is not used for this request; a shorter time that the upstream
    /// states takes precedence.
    pub max_idle_time: Duration,
    /// Time after a refusal in which a connection is not used for this request. A second copy of the
    /// refusal that arrives in it closes the connection.
    pub refusal_pause: Duration,
    /// Id of the request, if it has one; see [`Reuse::KeepForOthers`].
    pub request_id: Option<&'a str>,
}

/// One HTTP/1.1 connection, which is closed when this is dropped.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    /// Task that reads from and writes to the socket.
    driver: AbortOnDropHandle<()>,
    address: SocketAddr,
    last_used_at: Instant,
    /// Idle time after which it is closed.
    max_idle_time: Duration,
    /// Ids of requests that were refused on it, with the times.
    refused: VecDeque<(Arc<str>, Instant)>,
    /// Why it is closed, if it is dropped now.
    closed_for: OpenReason,
    open: Arc<OpenConnections>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.open.end(Some(self.closed_for));
    }
}

/// Use of an idle connection for a request.
#[derive(Debug, PartialEq, Eq)]
enum Fitness {
    Fit,
    /// It has to be closed.
    Dead(OpenReason),
    /// It stays for other requests, or for later.
    Unfit(OpenReason),
}

impl Connection {
    fn fitness(&self, request: &ConnectRequest<'_>, now: Instant) -> Fitness {
        let idle_time = now.saturating_duration_since(self.last_used_at);
        if self.address != request.address {
            return Fitness::Dead(OpenReason::OtherUpstream);
        }
        if self.sender.is_closed() || self.driver.is_finished() {
            return Fitness::Dead(OpenReason::ClosedByUpstream);
        }
        if idle_time >= self.max_idle_time {
            return Fitness::Dead(OpenReason::IdleTooLong);
        }
        if idle_time >= request.max_idle_time {
            return Fitness::Unfit(OpenReason::IdleTooLong);
        }
        let is_same_request = |id: &str| self.refused.iter().any(|(refused, _)| &**refused == id);
        let was_refused_recently = self
            .refused
            .back()
            .is_some_and(|(_, at)| now.saturating_duration_since(*at) < request.refusal_pause);
        if was_refused_recently || request.request_id.is_some_and(is_same_request) {
            return Fitness::Unfit(OpenReason::Refusal);
        }
        match self.sender.is_ready() {
            true => Fitness::Fit,
            false if idle_time >= MAX_UNREADY_TIME => Fitness::Dead(OpenReason::NotReady),
            false => Fitness::Unfit(OpenReason::NotReady),
        }
    }

    fn close(mut self, reason: OpenReason) {
        self.closed_for = reason;
    }

    /// Records the end of a request; false if the connection may not be used again.
    fn record_response(&mut self, reuse: Reuse, now: Instant) -> bool {
        self.last_used_at = now;
        match reuse {
            Reuse::Keep => true,
            Reuse::Close => {
                self.closed_for = OpenReason::InvalidResponse;
                false
            }
            Reuse::KeepForOthers(id) => {
                self.closed_for = OpenReason::Refusal;
                while self.refused.front().is_some_and(|(_, at)| now - *at >= REFUSED_ID_LIFETIME) {
                    self.refused.pop_front();
                }
                self.refused.push_back((id, now));
                self.refused.len() <= MAX_REFUSED_IDS
            }
        }
    }
}

/// Pool of idle connections to one upstream.
#[derive(Debug)]
pub struct ConnectionPool {
    /// Idle connections, in the order of their last use.
    idle: Mutex<Vec<Connection>>,
    open: Arc<OpenConnections>,
    /// Largest number of open connections.
    max_open: AtomicUsize,
    limits: PoolLimits,
    /// Memory of the bodies of responses.
    memory: Arc<MemoryBudget>,
}

impl ConnectionPool {
    /// Makes an empty pool whose response bodies are reserved in `memory`.
    pub fn new(limits: PoolLimits, memory: Arc<MemoryBudget>) -> Self {
        Self {
            idle: Mutex::default(),
            open: Arc::default(),
            max_open: AtomicUsize::new(usize::MAX),
            limits,
            memory,
        }
    }

    /// Memory of the bodies of responses.
    pub fn memory(&self) -> &Arc<MemoryBudget> {
        &self.memory
    }

    /// Sets the number of connections that the upstream accepts; `None` where it states none.
    pub fn set_max_open(&self, max_open: Option<usize>) {
        self.max_open.store(max_open.unwrap_or(usize::MAX), Ordering::Relaxed);
    }

    /// Closes all idle connections.
    pub fn clear(&self) {
        let idle = std::mem::take(&mut *self.idle.lock());
        idle.into_iter().for_each(|it| it.close(OpenReason::OtherUpstream));
    }

    /// Number of idle connections.
    pub fn idle_count(&self) -> usize {
        self.idle.lock().len()
    }

    /// Number of open connections.
    pub fn open_count(&self) -> usize {
        self.open.len()
    }

    /// Counts of opened connections by reason.
    pub fn opened(&self) -> &OpenCounts {
        self.open.counts()
    }

    /// Number of connections that were opened for this reason.
    pub fn opened_for(&self, reason: OpenReason) -> u64 {
        self.open.count(reason)
    }

    /// Returns a connection that is ready for a request: the idle one that was used last, or a new one.
    pub async fn connect(&self, request: ConnectRequest<'_>) -> Result<Connection, ConnectFailure> {
        let give_up_at = Instant::now() + RELEASE_TIMEOUT;
        loop {
            let (fit, mut unusable) = self.take_idle(&request);
            if let Some(connection) = fit {
                return Ok(connection);
            }
            if unusable == Some(OpenReason::NotReady) {
                match self.take_when_ready(&request).await {
                    Ok(connection) => return Ok(connection),
                    Err(reason) => unusable = reason,
                }
            }
            let released = self.open.released.notified();
            let max_open = self.max_open.load(Ordering::Relaxed);
            if self.open.begin(max_open) {
                self.open.record_open(unusable);
                return self.open(request.address).await;
            }
            if self.close_oldest_idle() {
                continue;
            }
            if timeout_at(give_up_at.into(), released).await.is_err() {
                let detail = format!("all {max_open} connections of the upstream are in use");
                return Err(ConnectFailure::Other(detail));
            }
        }
    }

    /// Opens a connection that has been counted already.
    async fn open(&self, address: SocketAddr) -> Result<Connection, ConnectFailure> {
        // Ends the count, unless a connection takes it over.
        let mut counted = Counted { open: &self.open, is_taken_over: false };
        let stream = open(address).await?;
        let to_connect_failure = |error: hyper::Error| ConnectFailure::Other(error.to_string());
        let mut builder = Builder::new();
        builder.max_buf_size(MAX_READ_BUFFER_BYTES);
        let handshake = builder.handshake(TokioIo::new(ShortReads::new(stream))).await;
        let (mut sender, connection) = handshake.map_err(to_connect_failure)?;
        let driver = AbortOnDropHandle::new(tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to the upstream failed: {error}");
            }
        }));
        sender.ready().await.map_err(to_connect_failure)?;
        counted.is_taken_over = true;
        let now = Instant::now();
        Ok(Connection {
            sender,
            driver,
            address,
            last_used_at: now,
            max_idle_time: self.limits.max_idle_time,
            refused: VecDeque::new(),
            closed_for: OpenReason::Cancelled,
            open: self.open.clone(),
        })
    }

    /// Takes the idle connection that was used last of those that are fit for a request. Without one,
    /// the reason is that of the connection that was used last.
    fn take_idle(&self, request: &ConnectRequest<'_>) -> (Option<Connection>, Option<OpenReason>) {
        let now = Instant::now();
        let mut unusable = None;
        let mut idle = self.idle.lock();
        for index in (0..idle.len()).rev() {
            match idle[index].fitness(request, now) {
                Fitness::Fit => return (Some(idle.remove(index).in_use()), None),
                Fitness::Dead(reason) => idle.remove(index).close(reason),
                // All others were idle for longer; they stay for requests that may use them.
                Fitness::Unfit(OpenReason::IdleTooLong) => {
                    return (None, unusable.or(Some(OpenReason::IdleTooLong)));
                }
                // A connection that becomes ready at once is better than a new one.
                Fitness::Unfit(OpenReason::NotReady) => unusable = Some(OpenReason::NotReady),
                Fitness::Unfit(reason) => unusable = unusable.or(Some(reason)),
            }
        }
        (None, unusable)
    }

    /// Waits until a connection whose last response has just been read is ready. The error is the
    /// reason why none is usable.
    async fn take_when_ready(
        &self,
        request: &ConnectRequest<'_>,
    ) -> Result<Connection, Option<OpenReason>> {
        let now = Instant::now();
        let taken = {
            let mut idle = self.idle.lock();
            let is_unready =
                |it: &Connection| it.fitness(request, now) == Fitness::Unfit(OpenReason::NotReady);
            idle.iter().rposition(is_unready).map(|index| idle.remove(index))
        };
        let Some(connection) = taken else { return Err(Some(OpenReason::NotReady)) };
        // Returned to the pool if the wait fails or its request is cancelled.
        let mut waiting = Waiting { pool: self, connection: Some(connection) };
        let Some(connection) = &mut waiting.connection else { return Err(None) };
        let ready = timeout(READY_TIMEOUT, connection.sender.ready()).await;
        match ready {
            Ok(Ok(())) => waiting.connection.take().map(Connection::in_use).ok_or(None),
            Ok(Err(_)) => {
                if let Some(connection) = waiting.connection.take() {
                    connection.close(OpenReason::ClosedByUpstream);
                }
                Err(None)
            }
            Err(_) => {
                drop(waiting);
                let (fit, unusable) = self.take_idle(request);
                fit.ok_or(unusable)
            }
        }
    }

    /// Closes the connection that was idle for longest; false if there is none.
    fn close_oldest_idle(&self) -> bool {
        let mut idle = self.idle.lock();
        if idle.is_empty() {
            return false;
        }
        idle.remove(0).close(OpenReason::Surplus);
        true
    }

    /// Adds an idle connection at its place in the order of the last use.
    fn add_idle(&self, connection: Connection) {
        let now = Instant::now();
        let mut idle = self.idle.lock();
        // The first one was used least recently.
        while let Some(first) = idle.first()
            && now.saturating_duration_since(first.last_used_at) >= first.max_idle_time
        {
            idle.remove(0).close(OpenReason::IdleTooLong);
        }
        if idle.len() >= self.limits.max_idle {
            connection.close(OpenReason::Surplus);
            return;
        }
        let place = idle.partition_point(|it| it.last_used_at <= connection.last_used_at);
        idle.insert(place, connection);
        drop(idle);
        self.open.released.notify_one();
    }

    /// Sends one request and reads its complete response.
    ///
    /// `check` accepts or rejects the head of the response, and tells whether the connection may be
    /// used again; its second argument is true if the response has no body. The connection is reused
    /// only after a complete response. On any
    /// failure, and if the future is dropped, it is closed, so that a late response cannot be taken
    /// for the response to another request.
    pub async fn send(
        &self,
        mut connection: Connection,
        request: Request<Full<Bytes>>,
        check: impl FnOnce(&Parts, bool) -> Result<Reuse, String>,
    ) -> Result<Answer, SendFailure> {
        let is_head = request.method() == Method::HEAD;
        let sent = connection.sender.try_send_request(request).await;
        let response = match sent {
            Ok(response) => response,
            Err(mut error) => {
                let detail = error.error().to_string();
                let (failure, reason) = match Unsent::from_error(&mut error) {
                    Some(unsent) => {
                        (SendFailure::Unsent(unsent, detail), OpenReason::ClosedByUpstream)
                    }
                    None => (SendFailure::Incomplete(detail), OpenReason::InvalidResponse),
                };
                connection.close(reason);
                return Err(failure);
            }
        };
        let (parts, body) = response.into_parts();
        if final_status(parts.status.as_u16().into()).is_none() {
            connection.close(OpenReason::InvalidResponse);
            let detail = format!("the status {} ends no request", parts.status.as_u16());
            return Err(SendFailure::Incomplete(detail));
        }
        let read = match check(&parts, is_head || body.is_end_stream()) {
            Ok(reuse) => {
                let read = body::read(body, self.limits.max_body_bytes, &self.memory).await;
                read.map(|body| (reuse, body))
            }
            Err(detail) => Err(detail),
        };
        let (reuse, body) = match read {
            Ok(read) => read,
            Err(detail) => {
                connection.close(OpenReason::InvalidResponse);
                return Err(SendFailure::Incomplete(detail));
            }
        };
        if let Some(stated) = stated_idle_time(&parts.headers) {
            connection.max_idle_time = stated;
        }
        if connection.record_response(reuse, Instant::now()) {
            self.add_idle(connection);
        }
        Ok(Answer { status: parts.status, headers: parts.headers, body })
    }
}

impl Connection {
    /// Marks the connection as used by a request; dropped without a response, the request was cancelled.
    fn in_use(mut self) -> Self {
        self.closed_for = OpenReason::Cancelled;
        self
    }
}

/// A connection that is being opened, as counted in [`OpenConnections`].
struct Counted<'a> {
    open: &'a OpenConnections,
    is_taken_over: bool,
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        if !self.is_taken_over {
            self.open.end(None);
        }
    }
}

/// An idle connection that a request waits for; it goes back to the pool when this is dropped.
struct Waiting<'a> {
    pool: &'a ConnectionPool,
    connection: Option<Connection>,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if let Some(connection) = self.connection.take() {
            self.pool.add_idle(connection);
        }
    }
}

/// Idle time after which a connection is no longer used, from the upstream's `Keep-Alive: timeout=N`.
fn stated_idle_time(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let seconds = text.split(',').find_map(|part| {
        let (name, value) = part.split_once('=')?;
        name.trim().eq_ignore_ascii_case("timeout").then(|| value.trim().parse::<u32>().ok())?
    })?;
    let stated = Duration::from_secs(u64::from(seconds));
    Some(stated.saturating_sub(KEEP_ALIVE_MARGIN).max(stated / 2).min(MAX_STATED_IDLE_TIME))
}

/// Opens a TCP connection, within `CONNECT_TIMEOUT`.
pub async fn open(address: SocketAddr) -> Result<TcpStream, ConnectFailure> {
    let stream = match timeout(CONNECT_TIMEOUT, tcp::connect(address)).await {
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
    Ok(stream)
}
