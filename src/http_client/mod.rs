//! Pool of HTTP/1.1 connections to an upstream.

use std::{
    io::ErrorKind,
    net::SocketAddr,
    sync::atomic::{AtomicUsize, Ordering},
    time::{Duration, Instant},
};

use bytes::{Bytes, BytesMut};
use http::{Method, Request, response::Parts};
use http_body_util::{BodyExt as _, Full};
use hyper::{
    body::{Body as _, Incoming},
    client::conn::http1::{SendRequest, handshake},
};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use tokio::{net::TcpStream, time::timeout};
use tokio_util::task::AbortOnDropHandle;

use crate::call::{Answer, Unsent};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time that a pooled connection may take to become ready after its last answer was read.
const READY_TIMEOUT: Duration = Duration::from_millis(10);

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
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reuse {
    /// It may be used for any other request.
    Keep,
    /// It is closed. A request that was refused may be sent once more under the same id, and a late
    /// second copy of the refusal would count as the response to it.
    Close,
}

/// One HTTP/1.1 connection, which is closed when this is dropped.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    /// Task that reads from and writes to the socket.
    driver: AbortOnDropHandle<()>,
    address: SocketAddr,
    last_used_at: Instant,
}

/// Pool of idle connections to one upstream.
#[derive(Debug)]
pub struct ConnectionPool {
    idle: Mutex<Vec<Connection>>,
    max_idle: usize,
    /// Idle time after which a connection is closed.
    max_idle_time: Duration,
    body_limits: BodyLimits,
    /// Bytes of the bodies that are being received.
    received_bytes: AtomicUsize,
}

/// Limits on the bodies of responses, which an upstream in trouble may send without end.
#[derive(Debug, Clone, Copy)]
pub struct BodyLimits {
    /// Largest body.
    pub max_bytes: usize,
    /// Limit of the sum of all bodies that are being received.
    pub max_total_bytes: usize,
}

/// Counts the bytes of a body towards the sum until it is dropped.
struct ReceivedBytes<'a> {
    total: &'a AtomicUsize,
    bytes: usize,
}

impl ReceivedBytes<'_> {
    /// Adds received bytes; an error if a limit is exceeded.
    fn add(&mut self, bytes: usize, limits: BodyLimits) -> Result<(), String> {
        self.bytes += bytes;
        let total = self.total.fetch_add(bytes, Ordering::Relaxed) + bytes;
        if self.bytes > limits.max_bytes {
            return Err(format!("the body is larger than {} bytes", limits.max_bytes));
        }
        if total > limits.max_total_bytes {
            return Err("too many bytes of bodies are being received".to_owned());
        }
        Ok(())
    }
}

impl Drop for ReceivedBytes<'_> {
    fn drop(&mut self) {
        self.total.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

impl ConnectionPool {
    /// Makes an empty pool that keeps up to `max_idle` idle connections, each for `max_idle_time` at
    /// most, and rejects response bodies that exceed the limits.
    pub fn new(max_idle: usize, max_idle_time: Duration, body_limits: BodyLimits) -> Self {
        let received_bytes = AtomicUsize::new(0);
        Self { idle: Mutex::default(), max_idle, max_idle_time, body_limits, received_bytes }
    }

    /// Closes all idle connections.
    pub fn clear(&self) {
        self.idle.lock().clear();
    }

    /// Number of idle connections.
    pub fn idle_count(&self) -> usize {
        self.idle.lock().len()
    }

    /// Returns a connection that is ready for a request: an idle one, or a new one. Connections
    /// that were idle for `max_idle_time` or longer are not used for it.
    pub async fn connect(
        &self,
        address: SocketAddr,
        max_idle_time: Duration,
    ) -> Result<Connection, ConnectFailure> {
        while let Some(mut connection) = self.take_idle(address, max_idle_time) {
            let ready = timeout(READY_TIMEOUT, connection.sender.ready()).await;
            if matches!(ready, Ok(Ok(()))) {
                return Ok(connection);
            }
        }
        let stream = open(address).await?;
        let to_connect_failure = |error: hyper::Error| ConnectFailure::Other(error.to_string());
        let (mut sender, connection) =
            handshake(TokioIo::new(stream)).await.map_err(to_connect_failure)?;
        let driver = AbortOnDropHandle::new(tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to the upstream failed: {error}");
            }
        }));
        sender.ready().await.map_err(to_connect_failure)?;
        Ok(Connection { sender, driver, address, last_used_at: Instant::now() })
    }

    fn take_idle(&self, address: SocketAddr, max_idle_time: Duration) -> Option<Connection> {
        let mut idle = self.idle.lock();
        // The last one was used last: where it is too old for this request, so are all others, and
        // they stay for requests that may use older ones.
        while let Some(connection) =
            idle.pop_if(|it| it.address != address || it.last_used_at.elapsed() < max_idle_time)
        {
            let is_usable = connection.address == address
                && !connection.sender.is_closed()
                && !connection.driver.is_finished();
            if is_usable {
                return Some(connection);
            }
        }
        None
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
        let response = sent.map_err(|mut error| {
            let detail = error.error().to_string();
            match Unsent::from_error(&mut error) {
                Some(unsent) => SendFailure::Unsent(unsent, detail),
                None => SendFailure::Incomplete(detail),
            }
        })?;
        let (parts, body) = response.into_parts();
        let reuse =
            check(&parts, is_head || body.is_end_stream()).map_err(SendFailure::Incomplete)?;
        let body = self.read_body(body).await.map_err(SendFailure::Incomplete)?;
        let answer = Answer { status: parts.status, headers: parts.headers, body };
        if reuse == Reuse::Close {
            return Ok(answer);
        }
        let now = Instant::now();
        connection.last_used_at = now;
        let mut idle = self.idle.lock();
        // The first one was used least recently.
        let expired =
            idle.iter().take_while(|it| now - it.last_used_at >= self.max_idle_time).count();
        idle.drain(..expired);
        if idle.len() < self.max_idle {
            idle.push(connection);
        }
        Ok(answer)
    }

    async fn read_body(&self, mut body: Incoming) -> Result<Bytes, String> {
        let mut received = ReceivedBytes { total: &self.received_bytes, bytes: 0 };
        let (mut first, mut joined) = (Bytes::new(), BytesMut::new());
        while let Some(frame) = body.frame().await {
            // Trailers are dropped.
            let Ok(data) = frame.map_err(|error| error.to_string())?.into_data() else { continue };
            received.add(data.len(), self.body_limits)?;
            if first.is_empty() {
                first = data;
                continue;
            }
            if joined.is_empty() {
                joined.extend_from_slice(&first);
            }
            joined.extend_from_slice(&data);
        }
        // Most bodies arrive in one piece, which is not copied.
        Ok(if joined.is_empty() { first } else { joined.freeze() })
    }
}

/// Opens a TCP connection, within `CONNECT_TIMEOUT`.
pub async fn open(address: SocketAddr) -> Result<TcpStream, ConnectFailure> {
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
