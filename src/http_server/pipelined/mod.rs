//! An HTTP/1.1 server that runs pipelined requests concurrently.
//!
//! hyper runs the requests of a connection one after the other, so a caller that sends several at
//! once would wait for the sum of their times. Here each request starts as soon as it has been
//! received, and the answers are sent in the order of the requests. A request that must not run
//! twice starts only after all answers before it have been written: if a connection closes before
//! the answer to a pipelined request, the caller assumes that the request was not read and sends it
//! again.

mod head;

use std::{
    collections::VecDeque,
    future::Future,
    io,
    pin::Pin,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::{Bytes, BytesMut};
use futures::{StreamExt as _, stream::FuturesOrdered};
use http::{Request, Response, StatusCode, request::Parts};
use tokio::{
    io::AsyncWriteExt as _,
    net::{TcpListener, TcpStream},
    task::JoinSet,
    time::{sleep, timeout},
};
use tokio_util::sync::CancellationToken;

use crate::{
    clock::{self, Timestamp},
    http_server::accept_until,
};
use head::ParsedHead;

/// Bytes of one connection that are read ahead of the running requests.
const MAX_READ_AHEAD_BYTES: usize = 256 << 10;
/// Requests of one connection that run concurrently.
const MAX_CONCURRENT_REQUESTS: usize = 32;
/// Time within which a caller must accept some bytes of an answer.
const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Time since it was accepted or used last in which a connection without a request stays open after the
/// start of a shutdown: a request may be in transit on it.
const IDLE_GRACE_PERIOD: Duration = Duration::from_millis(250);
/// Size of the buffer of one read.
const READ_BYTES: usize = 4 << 10;
/// Largest body that is copied behind the head of its answer, to be written with it.
const MAX_JOINED_BODY_BYTES: usize = 16 << 10;
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Limits on what a caller sends.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Largest head of a request, in bytes.
    pub max_header_bytes: usize,
    /// Largest body of a request, in bytes.
    pub max_body_bytes: usize,
    /// Time from the first byte of a request within which the whole request must be received.
    pub request_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
    /// Number of open connections above which a connection is closed with the answer to its last
    /// running request.
    pub close_above_connections: usize,
}

/// Answers the requests of a listener.
pub trait Handler: Clone + Send + Sync + 'static {
    /// Returns the limits that apply to the next request.
    fn limits(&self) -> Limits;

    /// Whether a request may run concurrently with others of its connection. If the connection
    /// closes early, the caller may send such a request again.
    fn may_overlap(&self, head: &Parts) -> bool;

    /// Whether connections are being closed: each is then closed with the answer to its last
    /// running request.
    fn is_closing(&self) -> bool;

    /// Answers a request that was received completely; `arrived` is when its first byte was read.
    fn answer(
        &self,
        request: Request<Bytes>,
        arrived: Timestamp,
    ) -> impl Future<Output = Response<Bytes>> + Send + 'static;
}

/// Serves `listener` until `shutdown` is cancelled, then waits for the requests in flight. The
/// connections that remain when `abort` is cancelled are aborted.
pub async fn serve(
    listener: TcpListener,
    shutdown: CancellationToken,
    abort: CancellationToken,
    handler: impl Handler,
) {
    let mut connections = JoinSet::new();
    let open_connections = Arc::new(());
    accept_until(listener, &shutdown, |stream| {
        while connections.try_join_next().is_some() {}
        connections.spawn(run_connection(
            stream,
            handler.clone(),
            shutdown.clone(),
            open_connections.clone(),
        ));
    })
    .await;
    let finish_requests = async { while connections.join_next().await.is_some() {} };
    if run_unless_aborted(finish_requests, &abort).await.is_none() {
        connections.shutdown().await;
    }
}

async fn run_unless_aborted<T>(
    work: impl Future<Output = T>,
    abort: &CancellationToken,
) -> Option<T> {
    tokio::select! {
        result = work => Some(result),
        () = abort.cancelled() => None,
    }
}

async fn run_connection<H: Handler>(
    stream: TcpStream,
    handler: H,
    shutdown: CancellationToken,
    open_connections: Arc<()>,
) {
    // Nagle's algorithm would only delay answers; if the option cannot be set, they are still sent.
    let _ = stream.set_nodelay(true);
    let connection = Connection {
        stream,
        handler,
        input: BytesMut::new(),
        first_byte_at: None,
        last_activity: Instant::now(),
        partial_request: None,
        waiting: VecDeque::new(),
        running: FuturesOrdered::new(),
        is_exclusive: false,
        has_read_last_request: false,
        close_idle_at: None,
        open_connections,
    };
    if let Err(error) = connection.run(shutdown).await {
        log::debug!(cause:% = error; "connection to a caller failed");
    }
}

/// Reads some bytes from a caller. The buffer is allocated once there are bytes to read, so that an idle
/// connection, of which there may be thousands, holds none.
async fn read_some(stream: &TcpStream, input: &mut BytesMut) -> io::Result<usize> {
    if input.is_empty() {
        *input = BytesMut::new();
    }
    loop {
        stream.readable().await?;
        input.reserve(READ_BYTES);
        match stream.try_read_buf(input) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            read => return read,
        }
    }
}

type AnswerFuture = Pin<Box<dyn Future<Output = FinishedAnswer> + Send>>;

/// An answer with the properties of its request that determine how it is written.
struct FinishedAnswer {
    response: Response<Bytes>,
    /// The method of the request was HEAD, so the answer has no body.
    is_head: bool,
    /// The connection is closed after the answer.
    must_close: bool,
}

/// A request that was received completely and has not started.
struct PendingRequest {
    request: Request<Bytes>,
    arrived: Timestamp,
    must_close: bool,
    may_overlap: bool,
}

struct Connection<H> {
    stream: TcpStream,
    handler: H,
    input: BytesMut,
    /// When the first byte of the request that is being received was read.
    first_byte_at: Option<(Timestamp, Instant)>,
    last_activity: Instant,
    /// Head of the request that is being received, and the part of its body that was received.
    partial_request: Option<(ParsedHead, BytesMut)>,
    waiting: VecDeque<PendingRequest>,
    running: FuturesOrdered<AnswerFuture>,
    /// The running request must not overlap with others.
    is_exclusive: bool,
    /// No further request is read from the connection.
    has_read_last_request: bool,
    /// When the connection is closed if no request arrives; set once the shutdown has started.
    close_idle_at: Option<Instant>,
    /// Shared by the open connections and the listener; its reference count counts them.
    open_connections: Arc<()>,
}

impl<H: Handler> Connection<H> {
    async fn run(mut self, shutdown: CancellationToken) -> io::Result<()> {
        loop {
            self.start_waiting();
            let is_idle = self.running.is_empty() && self.waiting.is_empty();
            if is_idle && self.has_read_last_request {
                return self.close().await;
            }
            let limit = self.time_limit();
            let may_read = self.input.len() < MAX_READ_AHEAD_BYTES;
            tokio::select! {
                biased;
                Some(finished) = self.running.next() => {
                    if self.write_answer(finished).await? {
                        return self.close().await;
                    }
                }
                read = read_some(&self.stream, &mut self.input), if may_read => {
                    if read? == 0 {
                        // The caller closed the connection; its running requests are dropped.
                        return Ok(());
                    }
                    self.last_activity = Instant::now();
                    match self.has_read_last_request {
                        true => self.input.clear(),
                        false => self.parse().await?,
                    }
                }
                () = sleep(limit.unwrap_or(Duration::MAX)), if limit.is_some() => {
                    return self.close_after_timeout().await;
                }
                () = shutdown.cancelled(), if self.close_idle_at.is_none() => {
                    self.close_idle_at = Some(self.last_activity + IDLE_GRACE_PERIOD);
                }
            }
        }
    }

    /// Time after which a connection without a running or waiting request is closed.
    fn time_limit(&self) -> Option<Duration> {
        if !self.running.is_empty() || !self.waiting.is_empty() {
            return None;
        }
        let limits = self.handler.limits();
        let until = match self.first_byte_at {
            Some((_, since)) => since + limits.request_timeout,
            None => {
                let until = self.last_activity + limits.idle_timeout;
                self.close_idle_at.map_or(until, |at| until.min(at))
            }
        };
        Some(until.saturating_duration_since(Instant::now()))
    }

    async fn close_after_timeout(mut self) -> io::Result<()> {
        if self.first_byte_at.is_some() {
            self.write_error(StatusCode::REQUEST_TIMEOUT).await?;
        }
        self.close().await
    }

    /// Moves all completely received requests from the input to `waiting`.
    async fn parse(&mut self) -> io::Result<()> {
        while !self.has_read_last_request
            && (!self.input.is_empty() || self.partial_request.is_some())
        {
            let now = (clock::now(), Instant::now());
            let (arrived, _) = *self.first_byte_at.get_or_insert(now);
            let limits = self.handler.limits();
            let (head, mut body) = match self.partial_request.take() {
                Some(partial_request) => partial_request,
                None => match head::parse(&mut self.input, limits.max_header_bytes) {
                    Ok(Some(head)) => {
                        if head.expects_continue && self.running.is_empty() {
                            self.stream.write_all(CONTINUE).await?;
                        }
                        (head, BytesMut::new())
                    }
                    Ok(None) => return Ok(()),
                    Err(error) => {
                        self.reject(error.status());
                        return Ok(());
                    }
                },
            };
            let is_complete = match head::take_body(
                &mut self.input,
                &head.framing,
                &mut body,
                limits.max_body_bytes,
            ) {
                Ok(is_complete) => is_complete,
                Err(error) => {
                    self.reject(error.status());
                    return Ok(());
                }
            };
            if !is_complete {
                self.partial_request = Some((head, body));
                return Ok(());
            }
            self.first_byte_at = None;
            self.has_read_last_request = head.must_close;
            let may_overlap = self.handler.may_overlap(&head.parts);
            self.waiting.push_back(PendingRequest {
                request: Request::from_parts(head.parts, body.freeze()),
                arrived,
                must_close: head.must_close,
                may_overlap,
            });
        }
        Ok(())
    }

    /// Queues an error answer to an unreadable request; no further request can be read.
    fn reject(&mut self, status: StatusCode) {
        self.has_read_last_request = true;
        self.first_byte_at = None;
        let mut response = Response::new(Bytes::new());
        *response.status_mut() = status;
        let finished = FinishedAnswer { response, is_head: false, must_close: true };
        self.running.push_back(Box::pin(async move { finished }));
    }

    /// Starts the waiting requests that may run now, in their order.
    fn start_waiting(&mut self) {
        while let Some(next) = self.waiting.front() {
            let may_start = self.running.is_empty()
                || (next.may_overlap
                    && !self.is_exclusive
                    && self.running.len() < MAX_CONCURRENT_REQUESTS);
            if !may_start {
                return;
            }
            let Some(pending) = self.waiting.pop_front() else { return };
            let is_head = pending.request.method() == http::Method::HEAD;
            let must_close = pending.must_close;
            self.is_exclusive = !pending.may_overlap;
            let answer = self.handler.answer(pending.request, pending.arrived);
            self.running.push_back(Box::pin(async move {
                FinishedAnswer { response: answer.await, is_head, must_close }
            }));
        }
    }

    /// Writes an answer; returns true if the connection must be closed now.
    async fn write_answer(&mut self, finished: FinishedAnswer) -> io::Result<bool> {
        let is_last = self.running.is_empty();
        let must_close =
            finished.must_close || (is_last && (self.handler.is_closing() || self.is_crowded()));
        if is_last {
            self.is_exclusive = false;
        }
        let mut bytes = head::encode(&finished.response, finished.is_head, must_close);
        let body = finished.response.body();
        if finished.is_head || body.len() <= MAX_JOINED_BODY_BYTES {
            if !finished.is_head {
                bytes.extend_from_slice(body);
            }
            self.write_bytes(&bytes).await?;
        } else {
            self.write_bytes(&bytes).await?;
            self.write_bytes(body).await?;
        }
        self.last_activity = Instant::now();
        Ok(must_close && is_last)
    }

    /// Whether more than `close_above_connections` connections are open.
    fn is_crowded(&self) -> bool {
        // The listener holds a reference, too.
        Arc::strong_count(&self.open_connections)
            > self.handler.limits().close_above_connections + 1
    }

    async fn write_error(&mut self, status: StatusCode) -> io::Result<()> {
        let mut response = Response::new(Bytes::new());
        *response.status_mut() = status;
        let bytes = head::encode(&response, false, true);
        self.write_bytes(&bytes).await
    }

    async fn write_bytes(&mut self, mut bytes: &[u8]) -> io::Result<()> {
        while !bytes.is_empty() {
            match timeout(WRITE_STALL_TIMEOUT, self.stream.write(bytes)).await {
                Ok(Ok(0)) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(Ok(written)) => bytes = &bytes[written..],
                Ok(Err(error)) => return Err(error),
                Err(_) => {
                    let text = "the caller accepted no bytes within the time limit";
                    return Err(io::Error::new(io::ErrorKind::TimedOut, text));
                }
            }
        }
        Ok(())
    }

    async fn close(mut self) -> io::Result<()> {
        self.stream.shutdown().await
    }
}
