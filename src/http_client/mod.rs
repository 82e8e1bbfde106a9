//! HTTP/1.1 connections to an upstream, kept for further requests.

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
/// Time for a pooled connection to finish the exchange before, once its answer was read.
const READY_TIMEOUT: Duration = Duration::from_millis(10);

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
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: AbortOnDropHandle<()>,
    address: SocketAddr,
    used_at: Instant,
}

/// Idle connections.
#[derive(Debug)]
pub struct ConnectionPool {
    idle: Mutex<Vec<Connection>>,
    max_idle: usize,
    max_body_bytes: usize,
}

impl ConnectionPool {
    /// Makes an empty pool that keeps up to `max_idle` connections.
    pub fn new(max_idle: usize, max_body_bytes: usize) -> Self {
        Self { idle: Mutex::default(), max_idle, max_body_bytes }
    }

    /// Closes the idle connections.
    pub fn clear(&self) {
        self.idle.lock().clear();
    }

    /// Number of idle connections.
    pub fn idle(&self) -> usize {
        self.idle.lock().len()
    }

    /// Returns a connection that is ready for a request; one that was idle for longer than
    /// `max_idle_time` is not used again.
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
        let other = |error: hyper::Error| ConnectFailure::Other(error.to_string());
        let (mut sender, connection) = handshake(TokioIo::new(stream)).await.map_err(other)?;
        let driver = AbortOnDropHandle::new(tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to the upstream ended: {error}");
            }
        }));
        sender.ready().await.map_err(other)?;
        Ok(Connection { sender, driver, address, used_at: Instant::now() })
    }

    fn take_idle(&self, address: SocketAddr, max_idle_time: Duration) -> Option<Connection> {
        let mut idle = self.idle.lock();
        while let Some(connection) = idle.pop() {
            let usable = connection.address == address
                && connection.used_at.elapsed() < max_idle_time
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
    /// `check` looks at the head of the answer and is told whether the answer has no body. The
    /// connection is used again only after a whole answer. On any failure, and where the future
    /// is dropped, it is closed, so that a late answer cannot meet another request.
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
                None => SendFailure::NotWhole(detail),
            }
        })?;
        let (parts, body) = response.into_parts();
        check(&parts, is_head || body.is_end_stream()).map_err(SendFailure::NotWhole)?;
        let body = Limited::new(body, self.max_body_bytes).collect().await;
        let body = body.map_err(|error| SendFailure::NotWhole(error.to_string()))?;
        connection.used_at = Instant::now();
        let mut idle = self.idle.lock();
        if idle.len() < self.max_idle {
            idle.push(connection);
        }
        Ok(Answer { status: parts.status, headers: parts.headers, body: body.to_bytes() })
    }
}

/// Opens a TCP connection.
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
