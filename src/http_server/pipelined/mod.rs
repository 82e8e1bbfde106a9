//! An HTTP/1.1 listener that runs pipelined requests at the same time.
//!
//! hyper answers the requests of a connection one after the other, so a caller that sends several
//! at once would wait for the sum of their times. Here each request starts as soon as it has come
//! in, and the answers go out in the order of the requests. A request that must not run twice
//! starts only when all answers before it have been written: a caller whose connection ends before
//! its answer takes a pipelined request for unread and sends it again.

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
use futures::{FutureExt as _, StreamExt as _, stream::FuturesOrdered};
use http::{Request, Response, StatusCode, request::Parts};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    task::JoinSet,
    time::{sleep, timeout},
};
use tokio_util::sync::CancellationToken;

use crate::clock::{self, Timestamp};
use head::ParsedHead;

/// Bytes that are read ahead of the requests that run.
const MAX_READ_AHEAD_BYTES: usize = 256 << 10;
/// Requests of one connection that run at once.
const MAX_OVERLAPPING: usize = 32;
/// Time in which a caller must take some bytes of an answer.
const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause after an accept error, which is most often a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
const INITIAL_BUFFER_BYTES: usize = 4 << 10;
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Limits on what a caller sends.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Largest head of a request, in bytes.
    pub max_header_bytes: usize,
    /// Largest body of a request, in bytes.
    pub max_body_bytes: usize,
    /// Time that a request may take to come in once its first byte has come.
    pub request_timeout: Duration,
    /// Time after which a connection without a request is closed.
    pub idle_timeout: Duration,
    /// Open connections beyond which each is closed with its last answer.
    pub crowded_connections: usize,
}

/// What answers the requests.
pub trait Handler: Clone + Send + Sync + 'static {
    /// Limits on the next request.
    fn limits(&self) -> Limits;

    /// Tells whether a request may run while others of its connection do, so that it may also be
    /// sent again.
    fn may_overlap(&self, head: &Parts) -> bool;

    /// No further request is taken from a connection, and its last answer says so.
    fn is_closing(&self) -> bool;

    /// Answers a request that came in whole; `arrived` is when its first byte was read.
    fn answer(
        &self,
        request: Request<Bytes>,
        arrived: Timestamp,
    ) -> impl Future<Output = Response<Bytes>> + Send + 'static;
}

/// Serves `listener` until `shutdown`, then lets requests in flight finish and joins the
/// connections; those that are left when `cut` comes are cut.
pub async fn serve(
    listener: TcpListener,
    shutdown: CancellationToken,
    cut: CancellationToken,
    handler: impl Handler,
) {
    let mut connections = JoinSet::new();
    let open = Arc::new(());
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = shutdown.cancelled() => break,
        };
        while connections.try_join_next().is_some() {}
        match accepted {
            Ok((stream, _)) => {
                connections.spawn(run_connection(
                    stream,
                    handler.clone(),
                    shutdown.clone(),
                    open.clone(),
                ));
            }
            Err(error) => {
                log::warn!(cause:% = error; "accepting a connection failed");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    // Connections that the kernel has taken already would be reset with the listener.
    while let Some(Ok((stream, _))) = listener.accept().now_or_never() {
        connections.spawn(run_connection(stream, handler.clone(), shutdown.clone(), open.clone()));
    }
    drop(listener);
    let finish = async { while connections.join_next().await.is_some() {} };
    if timeout_unless(finish, &cut).await.is_none() {
        connections.shutdown().await;
    }
}

async fn timeout_unless<T>(work: impl Future<Output = T>, cut: &CancellationToken) -> Option<T> {
    tokio::select! {
        done = work => Some(done),
        () = cut.cancelled() => None,
    }
}

async fn run_connection<H: Handler>(
    stream: TcpStream,
    handler: H,
    shutdown: CancellationToken,
    open: Arc<()>,
) {
    // Nagle's algorithm would only delay answers; without the option they still go out.
    let _ = stream.set_nodelay(true);
    let connection = Connection {
        stream,
        handler,
        input: BytesMut::with_capacity(INITIAL_BUFFER_BYTES),
        first_byte: None,
        last_activity: Instant::now(),
        partial: None,
        waiting: VecDeque::new(),
        running: FuturesOrdered::new(),
        exclusive: false,
        last_request_read: false,
        open,
    };
    if let Err(error) = connection.run(shutdown).await {
        log::debug!(cause:% = error; "connection of a caller ended");
    }
}

type Answer = Pin<Box<dyn Future<Output = Answered> + Send>>;

/// An answer with what the request said of the connection.
struct Answered {
    response: Response<Bytes>,
    is_head: bool,
    close: bool,
}

/// A request that came in whole and has not started.
struct Pending {
    request: Request<Bytes>,
    arrived: Timestamp,
    close: bool,
    overlaps: bool,
}

struct Connection<H> {
    stream: TcpStream,
    handler: H,
    input: BytesMut,
    /// When the first byte of the request that is coming in was read.
    first_byte: Option<(Timestamp, Instant)>,
    last_activity: Instant,
    /// Head of the request whose body is coming in.
    partial: Option<(ParsedHead, BytesMut)>,
    waiting: VecDeque<Pending>,
    running: FuturesOrdered<Answer>,
    /// A request runs that no other may overlap.
    exclusive: bool,
    /// No further request is taken from the input.
    last_request_read: bool,
    /// Held by each open connection, so that they can be counted.
    open: Arc<()>,
}

impl<H: Handler> Connection<H> {
    async fn run(mut self, shutdown: CancellationToken) -> io::Result<()> {
        loop {
            self.start_waiting();
            let idle = self.running.is_empty() && self.waiting.is_empty();
            if idle && self.last_request_read {
                return self.close().await;
            }
            let limit = self.time_limit();
            let may_read = self.input.len() < MAX_READ_AHEAD_BYTES;
            tokio::select! {
                biased;
                Some(answered) = self.running.next() => {
                    if self.write(answered).await? {
                        return self.close().await;
                    }
                }
                read = self.stream.read_buf(&mut self.input), if may_read => {
                    if read? == 0 {
                        // The caller has gone; what runs for it is dropped.
                        return Ok(());
                    }
                    self.last_activity = Instant::now();
                    match self.last_request_read {
                        true => self.input.clear(),
                        false => self.parse().await?,
                    }
                }
                () = sleep(limit.unwrap_or(Duration::MAX)), if limit.is_some() => {
                    return self.timed_out().await;
                }
                () = shutdown.cancelled(), if idle => return self.close().await,
            }
        }
    }

    /// Time until a connection without a running request is given up.
    fn time_limit(&self) -> Option<Duration> {
        if !self.running.is_empty() || !self.waiting.is_empty() {
            return None;
        }
        let limits = self.handler.limits();
        let until = match self.first_byte {
            Some((_, since)) => since + limits.request_timeout,
            None => self.last_activity + limits.idle_timeout,
        };
        Some(until.saturating_duration_since(Instant::now()))
    }

    async fn timed_out(mut self) -> io::Result<()> {
        if self.first_byte.is_some() {
            self.write_error(StatusCode::REQUEST_TIMEOUT).await?;
        }
        self.close().await
    }

    /// Takes all requests that have come in whole from the input.
    async fn parse(&mut self) -> io::Result<()> {
        while !self.last_request_read && (!self.input.is_empty() || self.partial.is_some()) {
            let now = (clock::now(), Instant::now());
            let (arrived, _) = *self.first_byte.get_or_insert(now);
            let limits = self.handler.limits();
            let (head, mut body) = match self.partial.take() {
                Some(partial) => partial,
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
            let complete = match head::take_body(
                &mut self.input,
                &head.framing,
                &mut body,
                limits.max_body_bytes,
            ) {
                Ok(complete) => complete,
                Err(error) => {
                    self.reject(error.status());
                    return Ok(());
                }
            };
            if !complete {
                self.partial = Some((head, body));
                return Ok(());
            }
            self.first_byte = None;
            self.last_request_read = head.close;
            let overlaps = self.handler.may_overlap(&head.parts);
            self.waiting.push_back(Pending {
                request: Request::from_parts(head.parts, body.freeze()),
                arrived,
                close: head.close,
                overlaps,
            });
        }
        Ok(())
    }

    /// Answers an unusable request after those before it; nothing after it can be read.
    fn reject(&mut self, status: StatusCode) {
        self.last_request_read = true;
        self.first_byte = None;
        let mut response = Response::new(Bytes::new());
        *response.status_mut() = status;
        let answered = Answered { response, is_head: false, close: true };
        self.running.push_back(Box::pin(async move { answered }));
    }

    /// Starts the requests whose turn has come.
    fn start_waiting(&mut self) {
        while let Some(next) = self.waiting.front() {
            let turn = self.running.is_empty()
                || (next.overlaps && !self.exclusive && self.running.len() < MAX_OVERLAPPING);
            if !turn {
                return;
            }
            let Some(pending) = self.waiting.pop_front() else { return };
            let is_head = pending.request.method() == http::Method::HEAD;
            let close = pending.close;
            self.exclusive = !pending.overlaps;
            let answer = self.handler.answer(pending.request, pending.arrived);
            self.running.push_back(Box::pin(async move {
                Answered { response: answer.await, is_head, close }
            }));
        }
    }

    /// Writes an answer; true where the connection ends with it.
    async fn write(&mut self, answered: Answered) -> io::Result<bool> {
        let last = self.running.is_empty();
        let close = answered.close || (last && (self.handler.is_closing() || self.is_crowded()));
        if last {
            self.exclusive = false;
        }
        let bytes = head::encode(&answered.response, answered.is_head, close);
        self.write_bytes(&bytes).await?;
        if !answered.is_head {
            self.write_bytes(answered.response.body()).await?;
        }
        self.last_activity = Instant::now();
        Ok(close && last)
    }

    /// Tells whether so many connections are open that this one had better be closed.
    fn is_crowded(&self) -> bool {
        // The listener holds one too.
        Arc::strong_count(&self.open) > self.handler.limits().crowded_connections + 1
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
                    let text = "the caller takes no bytes";
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
