//! Pool of HTTP/1.1 connections to an upstream.

use std::{
    io::ErrorKind,
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{Method, Request, response::Parts};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::{
    body::Body as _,
    client::conn::http1::{SendRequest, handshake},
};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use tokio::{net::TcpStream, time::timeout};
use tokio_util::task::AbortOnDropHandle;

use crate::call::{Answer, Unsent};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Idle time after which a connection is closed: upstreams close idle connections after 10 s.
const MAX_POOLED_TIME: Duration = Duration::from_secs(9);
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
    max_body_bytes: usize,
}

impl ConnectionPool {
    /// Makes an empty pool that keeps up to `max_idle` idle connections and rejects response bodies
    /// larger than `max_body_bytes`.
    pub fn new(max_idle: usize, max_body_bytes: usize) -> Self {
        Self { idle: Mutex::default(), max_idle, max_body_bytes }
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
    /// `check` accepts or rejects the head of the response; its second argument is true if the
    /// response has no body. The connection is reused only after a complete response. On any
    /// failure, and if the future is dropped, it is closed, so that a late response cannot be taken
    /// for the response to another request.
    pub async fn send(
        &self,
        mut connection: Connection,
        request: Request<Full<Bytes>>,
        check: impl FnOnce(&Parts, bool) -> Result<(), String>,
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
        check(&parts, is_head || body.is_end_stream()).map_err(SendFailure::Incomplete)?;
        let body = Limited::new(body, self.max_body_bytes).collect().await;
        let body = body.map_err(|error| SendFailure::Incomplete(error.to_string()))?;
        let now = Instant::now();
        connection.last_used_at = now;
        let mut idle = self.idle.lock();
        // The first one was used least recently.
        let expired = idle.iter().take_while(|it| now - it.last_used_at >= MAX_POOLED_TIME).count();
        idle.drain(..expired);
        if idle.len() < self.max_idle {
            idle.push(connection);
        }
        Ok(Answer { status: parts.status, headers: parts.headers, body: body.to_bytes() })
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
