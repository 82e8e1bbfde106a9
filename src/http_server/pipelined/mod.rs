//! An HTTP/1.1 server that runs pipelined requests concurrently.
//!
//! hyper runs the requests of a connection one after the other, so a caller that sends several at
//! once would wait for the sum of their times. Here each request starts as soon as it has been
//! received, and the answers are sent in the order of the requests. A request that must not run
//! twice starts only after all answers before it have been written: if a connection closes before
//! the answer to a pipelined request, the caller assumes that the request was not read and sends it
//! again.

pub mod body;
pub mod head;

use std::{
    collections::VecDeque,
    future::Future,
    io,
    pin::Pin,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::{BufMut as _, Bytes, BytesMut};
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
    http_server::{
        accept_within,
        intake::{Activity, Intake, Misuse, Ticket},
        linger,
    },
    memory::{self, Reservation, reserved_bytes},
};
use body::BodyDecoder;
use head::{HeadDecoder, HeadError, ParsedHead};

/// Requests of one connection that run concurrently.
const MAX_CONCURRENT_REQUESTS: usize = 32;
/// Requests of one connection that were received and have not started; more are not read. Callers that
/// send thousands of requests without reading an answer held 368 MB of a machine of 160 MB.
const MAX_WAITING_REQUESTS: usize = 32;
/// Size of one read of a body.
const BODY_READ_BYTES: usize = 64 << 10;
/// Body up to which a request counts as small. It may use a part of the budget that larger bodies leave
/// free, so that ordinary requests are read while large ones wait.
const MAX_SMALL_BODY_BYTES: usize = 32 << 10;
/// Part of the budget, in eighths, up to which small requests are read.
pub(crate) const SMALL_REQUEST_EIGHTHS: usize = 7;
/// Part of the budget, in eighths, up to which the bodies of others are read. At 160 MB it holds one body
/// of 64 MiB.
pub(crate) const LARGE_REQUEST_EIGHTHS: usize = 5;
/// Memory of a running request beside its head and its body: its task, and its messages to other nodes and
/// to the upstream.
const RUNNING_REQUEST_BYTES: usize = 64 << 10;
/// Part of the budget, in eighths, above which the requests of a connection run one after the other, since
/// their answers would be held until those before them have been written.
const SERIAL_EIGHTHS: usize = 4;
/// Bytes of a body that must arrive in each interval of `request_timeout`.
const MIN_BODY_PROGRESS_BYTES: usize = 1 << 10;
/// Bytes of an answer that a caller must accept in each interval of [`WRITE_STALL_TIMEOUT`].
const MIN_WRITE_PROGRESS_BYTES: usize = 1 << 10;
/// Time after which a request that waits for memory tries again.
const MEMORY_RETRY_INTERVAL: Duration = Duration::from_millis(30);
/// Time within which a caller must accept some bytes of an answer.
const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Time since it was accepted or used last in which a connection without a request stays open after the
/// start of a shutdown: a request may be in transit on it.
const IDLE_GRACE_PERIOD: Duration = Duration::from_millis(250);
/// Size of the buffer of one read.
const READ_BYTES: usize = 4 << 10;
/// Largest body that is copied behind the head of its answer, to be written with it.
const MAX_JOINED_BODY_BYTES: usize = 16 << 10;
/// Bytes of heads that are parsed before other tasks have their turn: the runtime counts only operations on
/// sockets, and a head of 16 KiB with short fields takes as long as a hundred usual ones.
const MAX_BYTES_WITHOUT_YIELD: usize = 16 << 10;
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Limits on what a caller sends.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Largest head of a request, in bytes.
    pub max_header_bytes: usize,
    /// Largest body of a request, in bytes.
    pub max_body_bytes: usize,
    /// Time from the first byte of a request within which its head must be received. A body may take
    /// longer while it makes progress.
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
    serve_within(listener, shutdown, abort, handler, Intake::unlimited()).await;
}

/// Like [`serve`], within bounds on connections and memory.
pub async fn serve_within(
    listener: TcpListener,
    shutdown: CancellationToken,
    abort: CancellationToken,
    handler: impl Handler,
    intake: Arc<Intake>,
) {
    let mut connections = JoinSet::new();
    let open_connections = Arc::new(());
    accept_within(listener, &shutdown, &intake, |stream, ticket| {
        while connections.try_join_next().is_some() {}
        connections.spawn(run_connection(
            stream,
            handler.clone(),
            shutdown.clone(),
            open_connections.clone(),
            intake.clone(),
            ticket,
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
    intake: Arc<Intake>,
    ticket: Ticket,
) {
    // Nagle's algorithm would only delay answers; if the option cannot be set, they are still sent.
    let _ = stream.set_nodelay(true);
    let connection = Connection {
        stream,
        handler,
        intake,
        ticket,
        activity: Activity::ReadingHead,
        input: BytesMut::new(),
        input_memory: None,
        head_decoder: HeadDecoder::default(),
        long_head_memory: None,
        first_byte_at: None,
        last_activity: Instant::now(),
        incoming: None,
        memory_wait: MemoryWait::None,
        waiting: VecDeque::new(),
        running: FuturesOrdered::new(),
        finished: VecDeque::new(),
        window: MAX_CONCURRENT_REQUESTS,
        bytes_without_yield: 0,
        is_exclusive: false,
        has_read_last_request: false,
        is_closing: false,
        close_idle_at: None,
        open_connections,
    };
    if let Err(error) = connection.run(shutdown).await {
        log::debug!(cause:% = error; "connection to a caller failed");
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
    _memory: Reservation,
}

/// A request that was received completely and has not started.
struct PendingRequest {
    request: Request<Bytes>,
    arrived: Timestamp,
    must_close: bool,
    may_overlap: bool,
    /// Memory of its head, and of running it but for `unreserved_bytes`.
    memory: Reservation,
    unreserved_bytes: usize,
}

/// A request with a complete head that is being received.
struct IncomingRequest {
    head: ParsedHead,
    decoder: BodyDecoder,
    body: BytesMut,
    /// Memory of the head; none until there was enough in the budget.
    head_memory: Option<Reservation>,
    /// Memory of running the request that `head_memory` does not include.
    unreserved_bytes: usize,
    /// Memory of the body.
    body_memory: Option<Reservation>,
    /// Start of the interval in which [`MIN_BODY_PROGRESS_BYTES`] must arrive, and bytes of the body at it.
    interval_start: Instant,
    interval_start_bytes: usize,
}

impl IncomingRequest {
    /// Whether there is something to do without further input.
    fn needs_parsing(&self) -> bool {
        self.head_memory.is_none() || self.decoder.is_complete()
    }

    /// Bytes of the body that are still to come, as far as that is known.
    fn expected_bytes(&self) -> usize {
        self.decoder.contiguous_bytes()
    }

    fn record_progress(&mut self) {
        if self.body.len() >= self.interval_start_bytes + MIN_BODY_PROGRESS_BYTES {
            (self.interval_start, self.interval_start_bytes) = (Instant::now(), self.body.len());
        }
    }
}

/// Result of reading from a connection.
#[derive(PartialEq, Eq)]
enum ReadResult {
    Closed,
    Read,
    /// No bytes were there, or there is no memory for them.
    Nothing,
}

/// Whether a connection waits for memory.
#[derive(Clone, Copy, PartialEq, Eq)]
enum MemoryWait {
    None,
    /// Nothing is read.
    Paused,
    /// The next read tries again to reserve memory.
    Retrying,
}

struct Connection<H> {
    stream: TcpStream,
    handler: H,
    intake: Arc<Intake>,
    ticket: Ticket,
    /// Activity that was last reported to the ticket.
    activity: Activity,
    input: BytesMut,
    /// Memory of the input beyond one read.
    input_memory: Option<Reservation>,
    head_decoder: HeadDecoder,
    /// Memory of a head with many fields, which is reserved before it is parsed.
    long_head_memory: Option<Reservation>,
    /// When the first byte of the request that is being received was read.
    first_byte_at: Option<(Timestamp, Instant)>,
    last_activity: Instant,
    /// The request that is being received.
    incoming: Option<IncomingRequest>,
    memory_wait: MemoryWait,
    waiting: VecDeque<PendingRequest>,
    running: FuturesOrdered<AnswerFuture>,
    /// Answers that became ready while an earlier one was being written.
    finished: VecDeque<FinishedAnswer>,
    /// Requests that may run concurrently. Refusals halve it, other answers raise it: callers that send
    /// without waiting for answers take a refusal at once for the next request, and thousands of their
    /// requests compete with the single ones of others.
    window: usize,
    /// Bytes taken from the input since other tasks have had their turn.
    bytes_without_yield: usize,
    /// The running request must not overlap with others.
    is_exclusive: bool,
    /// No further request is read from the connection.
    has_read_last_request: bool,
    /// The connection is closed with the answer to its last running request.
    is_closing: bool,
    /// When the connection is closed if no request arrives; set once the shutdown has started.
    close_idle_at: Option<Instant>,
    /// Shared by the open connections and the listener; its reference count counts them.
    open_connections: Arc<()>,
}

impl<H: Handler> Connection<H> {
    async fn run(mut self, shutdown: CancellationToken) -> io::Result<()> {
        let mut is_evicted = false;
        loop {
            if self.bytes_without_yield >= MAX_BYTES_WITHOUT_YIELD {
                self.bytes_without_yield = 0;
                tokio::task::yield_now().await;
            }
            if self.memory_wait != MemoryWait::Paused {
                self.parse().await?;
            }
            self.start_waiting();
            if let Some(finished) = self.finished.pop_front() {
                if self.write_answer(finished).await? {
                    return self.close().await;
                }
                continue;
            }
            let is_idle = self.running.is_empty() && self.waiting.is_empty();
            if is_idle && self.has_read_last_request {
                return self.close().await;
            }
            self.report_activity();
            let limit = self.time_limit();
            let is_paused = self.memory_wait == MemoryWait::Paused;
            let may_read = !is_paused && self.waiting.len() < MAX_WAITING_REQUESTS;
            tokio::select! {
                biased;
                Some(finished) = self.running.next() => {
                    if self.write_answer(finished).await? {
                        return self.close().await;
                    }
                }
                ready = self.stream.readable(), if may_read => {
                    ready?;
                    if self.read()? == ReadResult::Closed {
                        // The caller closed the connection; its running requests are dropped.
                        return Ok(());
                    }
                }
                () = sleep(limit.unwrap_or(Duration::MAX)), if limit.is_some() => {
                    return self.close_after_timeout().await;
                }
                () = sleep(MEMORY_RETRY_INTERVAL), if is_paused => {
                    self.intake.shed();
                    self.memory_wait = MemoryWait::Retrying;
                }
                () = self.ticket.evicted(), if !is_evicted => {
                    is_evicted = true;
                    if self.incoming.is_some() || self.memory_wait != MemoryWait::None {
                        self.intake.record(Misuse::Memory);
                        self.reject(StatusCode::SERVICE_UNAVAILABLE);
                    } else if self.running.is_empty() && self.waiting.is_empty() {
                        return self.close().await;
                    } else {
                        self.is_closing = true;
                    }
                }
                () = shutdown.cancelled(), if self.close_idle_at.is_none() => {
                    self.close_idle_at = Some(self.last_activity + IDLE_GRACE_PERIOD);
                }
            }
        }
    }

    /// Reports what the connection is doing, for the choice of those that make room for others.
    fn report_activity(&mut self) {
        let is_running = !self.running.is_empty() || !self.waiting.is_empty();
        let activity = match &self.incoming {
            _ if self.memory_wait != MemoryWait::None => Activity::WaitingForMemory,
            Some(_) => Activity::ReadingBody,
            None if is_running => Activity::Busy,
            None if self.first_byte_at.is_some() => Activity::ReadingHead,
            // A connection on which no request has arrived yet is no more worth than an incomplete head.
            None if self.activity == Activity::ReadingHead => Activity::ReadingHead,
            None => Activity::Idle,
        };
        if activity != self.activity {
            self.activity = activity;
            self.ticket.set_activity(activity);
        }
    }

    /// Time after which a connection is closed on which no request is running or waiting.
    fn time_limit(&self) -> Option<Duration> {
        let is_paused = self.memory_wait == MemoryWait::Paused;
        if !self.running.is_empty() || !self.waiting.is_empty() || is_paused {
            return None;
        }
        let limits = self.handler.limits();
        let until = match (self.first_byte_at, &self.incoming) {
            (Some((_, since)), None) => since + limits.request_timeout,
            (Some((_, since)), Some(incoming)) => {
                since.max(incoming.interval_start) + limits.request_timeout
            }
            (None, _) => {
                let until = self.last_activity + limits.idle_timeout;
                self.close_idle_at.map_or(until, |at| until.min(at))
            }
        };
        Some(until.saturating_duration_since(Instant::now()))
    }

    async fn close_after_timeout(mut self) -> io::Result<()> {
        if self.first_byte_at.is_some() {
            let is_body = self.incoming.is_some();
            self.intake.record(if is_body { Misuse::SlowBody } else { Misuse::SlowHead });
            self.incoming = None;
            self.write_error(StatusCode::REQUEST_TIMEOUT).await?;
        }
        self.close().await
    }

    /// Reserves memory if the bytes in use stay below this part of the budget.
    fn reserve(&self, bytes: usize, eighths: usize) -> Option<Reservation> {
        let memory = &self.intake.memory;
        memory.reserve_up_to(bytes, memory.limit_bytes() / 8 * eighths)
    }

    /// Extends a reservation to `bytes`; false if the budget does not permit it.
    fn extend(&self, held: &mut Option<Reservation>, bytes: usize, eighths: usize) -> bool {
        let missing = bytes.saturating_sub(held.as_ref().map_or(0, Reservation::bytes));
        if missing == 0 {
            return true;
        }
        let Some(reservation) = self.reserve(missing, eighths) else { return false };
        match held {
            Some(held) => held.merge(reservation),
            None => *held = Some(reservation),
        }
        true
    }

    /// Reads the bytes that are there, directly into the body that is being received if they belong to it.
    fn read(&mut self) -> io::Result<ReadResult> {
        if self.has_read_last_request {
            let mut discarded = [0; READ_BYTES];
            return to_read_result(self.stream.try_read(&mut discarded));
        }
        if let Some(mut incoming) = self.incoming.take() {
            let result = match incoming.decoder.contiguous_bytes() {
                bytes if bytes > 0 && self.input.is_empty() => {
                    self.read_body(&mut incoming, bytes.min(BODY_READ_BYTES))
                }
                _ => self.read_input(),
            };
            self.incoming = Some(incoming);
            return result;
        }
        self.read_input()
    }

    fn read_body(
        &mut self,
        incoming: &mut IncomingRequest,
        bytes: usize,
    ) -> io::Result<ReadResult> {
        if !self.reserve_body(incoming, bytes) {
            self.memory_wait = MemoryWait::Paused;
            return Ok(ReadResult::Nothing);
        }
        let expected_bytes = incoming.expected_bytes();
        memory::grow(&mut incoming.body, bytes, expected_bytes);
        let before = incoming.body.len();
        let read = self.stream.try_read_buf(&mut (&mut incoming.body).limit(bytes));
        incoming.decoder.advance(incoming.body.len() - before);
        incoming.record_progress();
        self.record_read(read, incoming.body.len())
    }

    fn read_input(&mut self) -> io::Result<ReadResult> {
        if self.input.is_empty() {
            // An idle connection, of which there may be thousands, holds no buffer.
            self.input = BytesMut::new();
            self.input_memory = None;
        } else {
            let bytes = self.input.len() + READ_BYTES;
            let mut held = self.input_memory.take();
            let has_memory = self.extend(&mut held, bytes, SMALL_REQUEST_EIGHTHS);
            self.input_memory = held;
            if !has_memory {
                self.memory_wait = MemoryWait::Paused;
                return Ok(ReadResult::Nothing);
            }
        }
        self.input.reserve(READ_BYTES);
        let read = self.stream.try_read_buf(&mut (&mut self.input).limit(READ_BYTES));
        let held_bytes = self.input.len() + self.incoming.as_ref().map_or(0, |it| it.body.len());
        self.record_read(read, held_bytes)
    }

    fn record_read(&mut self, read: io::Result<usize>, held: usize) -> io::Result<ReadResult> {
        let result = to_read_result(read)?;
        if result == ReadResult::Read {
            self.memory_wait = MemoryWait::None;
            self.last_activity = Instant::now();
            self.ticket.record_progress(held);
        }
        Ok(result)
    }

    /// Reserves the memory of a body that grows by `bytes`.
    fn reserve_body(&self, incoming: &mut IncomingRequest, bytes: usize) -> bool {
        let expected_bytes = incoming.expected_bytes();
        let held_bytes = memory::held_bytes(&incoming.body, bytes, expected_bytes);
        let eighths = match held_bytes <= MAX_SMALL_BODY_BYTES {
            true => SMALL_REQUEST_EIGHTHS,
            false => LARGE_REQUEST_EIGHTHS,
        };
        self.extend(&mut incoming.body_memory, held_bytes, eighths)
    }

    /// Moves completely received requests from the input to `waiting`, as many as may wait.
    async fn parse(&mut self) -> io::Result<()> {
        while !self.has_read_last_request
            && self.waiting.len() < MAX_WAITING_REQUESTS
            && (!self.input.is_empty()
                || self.incoming.as_ref().is_some_and(|it| it.needs_parsing()))
        {
            let now = (clock::now(), Instant::now());
            let (arrived, _) = *self.first_byte_at.get_or_insert(now);
            let mut incoming = match self.incoming.take() {
                Some(incoming) => incoming,
                None if !self.reserve_long_head() => {
                    self.memory_wait = MemoryWait::Paused;
                    return Ok(());
                }
                None => match self.parse_head() {
                    Ok(Some(incoming)) => incoming,
                    Ok(None) => {
                        if self.input.is_empty() {
                            // Only empty lines have arrived.
                            self.first_byte_at = None;
                        }
                        return Ok(());
                    }
                    Err(error) => {
                        self.reject_unreadable(error);
                        return Ok(());
                    }
                },
            };
            let body_bytes = incoming.decoder.max_body_bytes_in(self.input.len());
            if !self.reserve_head(&mut incoming) || !self.reserve_body(&mut incoming, body_bytes) {
                self.memory_wait = MemoryWait::Paused;
                self.incoming = Some(incoming);
                return Ok(());
            }
            self.memory_wait = MemoryWait::None;
            let expected_bytes = incoming.expected_bytes();
            memory::grow(&mut incoming.body, body_bytes, expected_bytes);
            if std::mem::take(&mut incoming.head.expects_continue) && self.running.is_empty() {
                self.stream.write_all(CONTINUE).await?;
            }
            if let Err(error) = incoming.decoder.decode(&mut self.input, &mut incoming.body) {
                self.reject_unreadable(error);
                return Ok(());
            }
            incoming.record_progress();
            if !incoming.decoder.is_complete() {
                self.incoming = Some(incoming);
                return Ok(());
            }
            self.finish(incoming, arrived);
        }
        Ok(())
    }

    fn parse_head(&mut self) -> Result<Option<IncomingRequest>, HeadError> {
        let limits = self.handler.limits();
        let before = self.input.len();
        let decoded = self.head_decoder.decode(&mut self.input, limits.max_header_bytes);
        self.bytes_without_yield += before - self.input.len();
        let Some(head) = decoded? else {
            return Ok(None);
        };
        Ok(Some(IncomingRequest {
            decoder: BodyDecoder::new(head.framing, limits.max_body_bytes)?,
            head,
            body: BytesMut::new(),
            head_memory: None,
            unreserved_bytes: RUNNING_REQUEST_BYTES,
            body_memory: None,
            interval_start: Instant::now(),
            interval_start_bytes: 0,
        }))
    }

    /// Reserves the memory that a head with many fields will have once it is parsed: such heads take far more
    /// memory than their bytes, and a crowd of them took a node of 260 MB to 1 GB while they waited.
    fn reserve_long_head(&mut self) -> bool {
        let Some(bytes) = self.head_decoder.long_head_bytes(&mut self.input) else { return true };
        let mut held = self.long_head_memory.take();
        let is_reserved = self.extend(&mut held, bytes, SMALL_REQUEST_EIGHTHS);
        self.long_head_memory = held;
        is_reserved
    }

    /// Reserves the memory of a head. The first request of a connection is not read further until there is
    /// memory for running it, too; those behind it wait for that before they start.
    fn reserve_head(&mut self, incoming: &mut IncomingRequest) -> bool {
        if incoming.head_memory.is_none() {
            if self.unwritten_answers() == 0 && self.waiting.is_empty() {
                incoming.unreserved_bytes = 0;
            }
            let running_bytes = RUNNING_REQUEST_BYTES - incoming.unreserved_bytes;
            let bytes = incoming.head.held_bytes() + running_bytes;
            let mut held = self.long_head_memory.take();
            if self.extend(&mut held, bytes, SMALL_REQUEST_EIGHTHS) {
                if let Some(held) = &mut held {
                    held.shrink_to(bytes);
                }
                incoming.head_memory = held;
            } else {
                self.long_head_memory = held;
            }
        }
        incoming.head_memory.is_some()
    }

    /// Requests that are running, or whose answers have not been written.
    fn unwritten_answers(&self) -> usize {
        self.running.len() + self.finished.len()
    }

    /// Queues a request that was received completely.
    fn finish(&mut self, incoming: IncomingRequest, arrived: Timestamp) {
        let IncomingRequest { head, body, head_memory, unreserved_bytes, body_memory, .. } =
            incoming;
        self.first_byte_at = None;
        self.has_read_last_request = head.must_close;
        let may_overlap = self.handler.may_overlap(&head.parts);
        let mut body = body.freeze();
        if let Some(mut memory) = body_memory {
            // A buffer of doubled size keeps its memory.
            let unused = memory.bytes().saturating_sub(2 * body.len());
            memory.shrink_to(memory.bytes() - unused);
            body = reserved_bytes(body, memory);
        }
        let memory = head_memory.unwrap_or_else(|| self.intake.memory.reserve_always(0));
        self.waiting.push_back(PendingRequest {
            request: Request::from_parts(head.parts, body),
            arrived,
            must_close: head.must_close,
            may_overlap,
            memory,
            unreserved_bytes,
        });
    }

    fn reject_unreadable(&mut self, error: HeadError) {
        self.intake.record(match error {
            HeadError::Malformed => Misuse::Malformed,
            HeadError::HeadTooLarge => Misuse::LargeHead,
            HeadError::BodyTooLarge => Misuse::LargeBody,
        });
        self.reject(error.status());
    }

    /// Queues an error answer to an unreadable request; no further request can be read.
    fn reject(&mut self, status: StatusCode) {
        self.has_read_last_request = true;
        self.first_byte_at = None;
        self.incoming = None;
        self.memory_wait = MemoryWait::None;
        (self.input, self.input_memory) = (BytesMut::new(), None);
        self.long_head_memory = None;
        let mut response = Response::new(Bytes::new());
        *response.status_mut() = status;
        let memory = self.intake.memory.reserve_always(0);
        let finished =
            FinishedAnswer { response, is_head: false, must_close: true, _memory: memory };
        self.running.push_back(Box::pin(async move { finished }));
    }

    /// Starts the waiting requests that may run now, in their order.
    fn start_waiting(&mut self) {
        while let Some(next) = self.waiting.front() {
            let unwritten = self.unwritten_answers();
            let may_start = unwritten == 0
                || (next.may_overlap
                    && !self.is_exclusive
                    && unwritten < self.max_concurrent_requests());
            if !may_start {
                return;
            }
            let running_memory = match unwritten {
                // The request takes the place of those before it on its connection.
                0 => Some(self.intake.memory.reserve_always(next.unreserved_bytes)),
                _ => self.reserve(next.unreserved_bytes, SMALL_REQUEST_EIGHTHS),
            };
            let Some(running_memory) = running_memory else { return };
            let Some(mut pending) = self.waiting.pop_front() else { return };
            pending.memory.merge(running_memory);
            let is_head = pending.request.method() == http::Method::HEAD;
            let must_close = pending.must_close;
            self.is_exclusive = !pending.may_overlap;
            let answer = self.handler.answer(pending.request, pending.arrived);
            let (request_memory, memory) = (pending.memory, self.intake.memory.clone());
            self.running.push_back(Box::pin(async move {
                let response = answer.await;
                drop(request_memory);
                // An answer that is ready is held until it has been written, whatever the budget.
                let _memory = memory.reserve_always(response.body().len());
                FinishedAnswer { response, is_head, must_close, _memory }
            }));
        }
    }

    fn max_concurrent_requests(&self) -> usize {
        let memory = &self.intake.memory;
        match memory.used_bytes() > memory.limit_bytes() / 8 * SERIAL_EIGHTHS {
            true => 1,
            false => self.window,
        }
    }

    /// Writes an answer; returns true if the connection must be closed now.
    async fn write_answer(&mut self, finished: FinishedAnswer) -> io::Result<bool> {
        let is_last = self.running.is_empty() && self.finished.is_empty();
        let must_close = finished.must_close
            || (is_last && (self.is_closing || self.handler.is_closing() || self.is_crowded()));
        if is_last {
            self.is_exclusive = false;
        }
        self.window = match finished.response.status() {
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                (self.window / 2).max(1)
            }
            _ => (self.window + 1).min(MAX_CONCURRENT_REQUESTS),
        };
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
        let (mut interval_start, mut in_interval) = (Instant::now(), 0);
        while !bytes.is_empty() {
            let left = WRITE_STALL_TIMEOUT.saturating_sub(interval_start.elapsed());
            // The other requests go on meanwhile: those that run hold slots of the upstream.
            let written = tokio::select! {
                biased;
                written = timeout(left, self.stream.write(bytes)) => written,
                Some(finished) = self.running.next() => {
                    self.finished.push_back(finished);
                    continue;
                }
            };
            match written {
                Ok(Ok(0)) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(Ok(written)) => {
                    bytes = &bytes[written..];
                    in_interval += written;
                    if in_interval >= MIN_WRITE_PROGRESS_BYTES {
                        (interval_start, in_interval) = (Instant::now(), 0);
                    }
                }
                Ok(Err(error)) => return Err(error),
                Err(_) => {
                    self.intake.record(Misuse::UnreadAnswers);
                    let text = "the caller accepted too few bytes within the time limit";
                    return Err(io::Error::new(io::ErrorKind::TimedOut, text));
                }
            }
        }
        Ok(())
    }

    /// Closes the connection after its last answer. What the caller sends meanwhile is not read.
    async fn close(self) -> io::Result<()> {
        // The rest is dropped, so that a closing connection holds no memory.
        let Self { mut stream, ticket, .. } = self;
        stream.shutdown().await?;
        ticket.set_activity(Activity::Idle);
        tokio::select! {
            () = linger::discard_input(&mut stream) => {}
            () = ticket.evicted() => {}
        }
        Ok(())
    }
}

fn to_read_result(read: io::Result<usize>) -> io::Result<ReadResult> {
    match read {
        Ok(0) => Ok(ReadResult::Closed),
        Ok(_) => Ok(ReadResult::Read),
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(ReadResult::Nothing),
        Err(error) => Err(error),
    }
}
