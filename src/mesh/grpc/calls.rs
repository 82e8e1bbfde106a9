//! Bounds on the calls that arrive from other nodes.

use std::{
    convert::Infallible,
    future::{Future as _, Ready, ready},
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};

use futures::future::Either;
use tokio::{
    sync::{OwnedSemaphorePermit, Semaphore},
    time::{Instant, Sleep, sleep_until},
};
use tokio_util::sync::WaitForCancellationFutureOwned;
use tonic::{
    Status,
    body::Body,
    codegen::{Service, http},
    server::NamedService,
};

use crate::{
    http_server::intake::{Activity, Intake, Misuse, MisuseCounters, Ticket},
    memory::{MemoryBudget, Reservation},
    mesh::grpc::{
        self, CONNECTION_WINDOW_BYTES, MessageMemory, MessagePolicy, ReservedBody,
        STREAM_WINDOW_BYTES,
    },
    peers::MAX_MESSAGE_BYTES,
};

/// Name of the calls in logs and metrics.
const LISTENER: &str = "peer-calls";
/// Streams of one connection. Nodes of earlier builds forward all requests in calls, for some hundred
/// slots over all their connections.
const MAX_STREAMS: u32 = 128;
/// Memory of a call beside its message: its task, its head and the first buffer of tonic.
const CALL_BYTES: usize = 16 << 10;
/// Part of the budget for one call, from which the number of calls is derived.
const BUDGET_BYTES_PER_CALL: usize = 128 << 10;
/// Size up to which a message counts as tiny. Exchanges with hubs usually are, and find memory while larger
/// messages wait.
const TINY_MESSAGE_BYTES: usize = 16 << 10;
/// Size up to which a message counts as small.
const SMALL_MESSAGE_BYTES: usize = 64 << 10;
/// Eighths of the budget that all unfinished messages may use together: tiny ones more than others, and
/// neither as much as the heads of callers, so that these find memory whatever other nodes send.
const UNFINISHED_EIGHTHS: usize = 5;
const TINY_UNFINISHED_EIGHTHS: usize = 6;
/// Eighths of the budget in use, by anything, up to which messages that are not tiny are read. Unfinished
/// bodies of callers may use less than large messages, so that they do not keep forwarded requests waiting.
const LARGE_MESSAGE_EIGHTHS: usize = 6;
const SMALL_MESSAGE_EIGHTHS: usize = 7;
/// Part of the budget for the data that calls which wait for memory leave unread, a window each. It bounds
/// their number; further ones are refused.
const UNREAD_SIXTEENTHS: usize = 1;
/// Method whose messages have a body that is not decoded.
const FORWARD_PATH: &str = "/hibiscusdoor.mesh.v1.Mesh/Forward";
/// Largest message of another method: an exchange, which has some of the records of a fleet.
const MAX_EXCHANGE_BYTES: usize = 1 << 20;
/// Memory for a byte of such a message: its fields may contain repeated fields of two bytes each, which
/// become strings or identifiers of 24 to 32 bytes.
const EXCHANGE_MEMORY_PER_BYTE: usize = 16;
/// Bytes that count as progress of a message.
const PROGRESS_BYTES: usize = 4 << 10;
/// Time without progress after which a call is refused. It is longer than usual pauses of a process.
const STALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Bounds on all calls of other nodes.
#[derive(Debug)]
pub struct CallBounds {
    intake: Arc<Intake>,
    /// Memory of messages that are not complete.
    unfinished: Arc<MemoryBudget>,
    waiting: Arc<Semaphore>,
}

impl CallBounds {
    /// Derives the bounds from the memory budget of the node.
    pub fn new(memory: Arc<MemoryBudget>, misuse: Arc<MisuseCounters>) -> Arc<Self> {
        let limit_bytes = memory.limit_bytes();
        let max_calls = (limit_bytes / BUDGET_BYTES_PER_CALL).max(1);
        let max_unread_bytes = limit_bytes / 16 * UNREAD_SIXTEENTHS;
        let max_waiting = (max_unread_bytes / STREAM_WINDOW_BYTES as usize).max(1);
        Arc::new(Self {
            intake: Intake::new(LISTENER, max_calls, memory, misuse),
            unfinished: Arc::new(MemoryBudget::new(limit_bytes / 8 * TINY_UNFINISHED_EIGHTHS)),
            waiting: Arc::new(Semaphore::new(max_waiting)),
        })
    }

    /// Maximum size of a message.
    pub fn max_message_bytes(&self) -> usize {
        MAX_MESSAGE_BYTES.min(self.intake.memory.limit_bytes() / 8 * UNFINISHED_EIGHTHS)
    }

    /// Admits a call of a method if there is room for it.
    pub fn admit(self: &Arc<Self>, path: &str) -> Result<(MessageMemory, CallPolicy), Status> {
        let refuse = |misuse, detail| {
            self.intake.record(misuse);
            Err(grpc::refusal(detail))
        };
        let Some(ticket) = self.intake.try_register() else {
            return refuse(Misuse::Connections, "too many calls of other nodes");
        };
        let Some(reserved) = self.intake.memory.reserve(CALL_BYTES) else {
            return refuse(Misuse::Memory, "no memory for a further call");
        };
        ticket.set_activity(Activity::ReadingBody);
        let memory = MessageMemory::default();
        memory.add(reserved);
        let policy = CallPolicy {
            bounds: self.clone(),
            is_exchange: path != FORWARD_PATH,
            evicted: Box::pin(ticket.evicted_owned()),
            ticket: Arc::new(ticket),
            unfinished: None,
            waiting: None,
            progressed_bytes: 0,
            progressed_at: Instant::now(),
            stalled: None,
        };
        Ok((memory, policy))
    }

    fn reserve_unfinished(&self, received_bytes: usize, bytes: usize) -> Option<[Reservation; 2]> {
        let memory = &self.intake.memory;
        let limit_bytes = memory.limit_bytes();
        let (unfinished_eighths, used_eighths) = if received_bytes <= TINY_MESSAGE_BYTES {
            (TINY_UNFINISHED_EIGHTHS, 8)
        } else if received_bytes <= SMALL_MESSAGE_BYTES {
            (UNFINISHED_EIGHTHS, SMALL_MESSAGE_EIGHTHS)
        } else {
            (UNFINISHED_EIGHTHS, LARGE_MESSAGE_EIGHTHS)
        };
        let unfinished =
            self.unfinished.reserve_up_to(bytes, limit_bytes / 8 * unfinished_eighths)?;
        let reserved = memory.reserve_up_to(bytes, limit_bytes / 8 * used_eighths)?;
        Some([unfinished, reserved])
    }
}

/// Place of a call that waits for memory.
#[derive(Debug)]
struct Waiting {
    _permit: OwnedSemaphorePermit,
    /// Data that arrives and is not read meanwhile.
    _unread: Reservation,
}

/// Bounds on one call while its message arrives.
#[derive(Debug)]
pub struct CallPolicy {
    bounds: Arc<CallBounds>,
    is_exchange: bool,
    ticket: Arc<Ticket>,
    evicted: Pin<Box<WaitForCancellationFutureOwned>>,
    unfinished: Option<Reservation>,
    waiting: Option<Waiting>,
    progressed_bytes: usize,
    progressed_at: Instant,
    stalled: Option<Pin<Box<Sleep>>>,
}

impl CallPolicy {
    fn refuse(&self, misuse: Misuse, detail: impl Into<String>) -> Status {
        self.bounds.intake.record(misuse);
        grpc::refusal(detail)
    }

    /// Takes a place among the calls that wait for memory.
    fn wait(&mut self) -> Result<(), Status> {
        if self.waiting.is_some() {
            return Ok(());
        }
        let Ok(permit) = self.bounds.waiting.clone().try_acquire_owned() else {
            return Err(self.refuse(Misuse::Memory, "too many calls wait for memory"));
        };
        let memory = &self.bounds.intake.memory;
        let Some(unread) = memory.reserve(STREAM_WINDOW_BYTES as usize) else {
            return Err(self.refuse(Misuse::Memory, "no memory for a call that waits"));
        };
        self.waiting = Some(Waiting { _permit: permit, _unread: unread });
        self.ticket.set_activity(Activity::WaitingForMemory);
        Ok(())
    }
}

impl MessagePolicy for CallPolicy {
    fn max_message_bytes(&self) -> usize {
        match self.is_exchange {
            true => MAX_EXCHANGE_BYTES.min(self.bounds.max_message_bytes()),
            false => self.bounds.max_message_bytes(),
        }
    }

    fn memory_per_byte(&self) -> usize {
        if self.is_exchange { EXCHANGE_MEMORY_PER_BYTE } else { 1 }
    }

    fn reserve(&mut self, received_bytes: usize, memory_bytes: usize) -> Option<Reservation> {
        let [unfinished, reserved] =
            self.bounds.reserve_unfinished(received_bytes, memory_bytes)?;
        match &mut self.unfinished {
            Some(held) => held.merge(unfinished),
            None => self.unfinished = Some(unfinished),
        }
        Some(reserved)
    }

    fn record_progress(&mut self, received_bytes: usize) {
        if self.waiting.take().is_some() {
            // The sender could make no progress meanwhile.
            self.progressed_at = Instant::now();
            self.ticket.set_activity(Activity::ReadingBody);
        }
        self.ticket.record_progress(received_bytes);
        if received_bytes >= self.progressed_bytes + PROGRESS_BYTES {
            (self.progressed_bytes, self.progressed_at) = (received_bytes, Instant::now());
        }
    }

    fn poll_given_up(&mut self, context: &mut Context<'_>, waits_for_memory: bool) -> Poll<Status> {
        if self.evicted.as_mut().poll(context).is_ready() {
            let detail = "the memory of the unfinished message is needed for others";
            return Poll::Ready(self.refuse(Misuse::Memory, detail));
        }
        if waits_for_memory {
            if let Err(status) = self.wait() {
                return Poll::Ready(status);
            }
            self.bounds.intake.shed();
            return Poll::Pending;
        }
        let give_up_at = self.progressed_at + STALL_TIMEOUT;
        let stalled = self.stalled.get_or_insert_with(|| Box::pin(sleep_until(give_up_at)));
        if stalled.deadline() != give_up_at {
            stalled.as_mut().reset(give_up_at);
        }
        stalled.as_mut().poll(context).map(|()| {
            let detail = format!("the message has stopped for {STALL_TIMEOUT:?}");
            self.refuse(Misuse::SlowBody, detail)
        })
    }

    fn too_large(&self, bytes: usize) -> Status {
        let detail = format!(
            "a message of {bytes} bytes exceeds the {} bytes that this node reads",
            self.max_message_bytes()
        );
        self.refuse(Misuse::LargeBody, detail)
    }
}

/// Place and memory of a call whose message is complete, for its handler.
#[derive(Debug, Clone)]
pub struct CallHold {
    ticket: Arc<Ticket>,
    /// Memory of the message.
    pub memory: MessageMemory,
}

impl CallHold {
    /// Marks the call as running, so that it does not give way to others any more.
    pub fn begin(&self) {
        self.ticket.set_activity(Activity::Busy);
    }
}

/// A gRPC service whose calls are bounded.
#[derive(Debug, Clone)]
pub struct BoundedCalls<S> {
    inner: S,
    bounds: Arc<CallBounds>,
}

impl<S> BoundedCalls<S> {
    /// Bounds the calls of a service.
    pub fn new(inner: S, bounds: Arc<CallBounds>) -> Self {
        Self { inner, bounds }
    }
}

/// A server with bounds on the streams and the unread data of a connection.
pub fn bounded_server() -> tonic::transport::Server {
    tonic::transport::Server::builder()
        .max_concurrent_streams(MAX_STREAMS)
        .initial_stream_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
}

impl<S: NamedService> NamedService for BoundedCalls<S> {
    const NAME: &'static str = S::NAME;
}

impl<S> Service<http::Request<Body>> for BoundedCalls<S>
where
    S: Service<
            http::Request<ReservedBody<Body, CallPolicy>>,
            Response = http::Response<Body>,
            Error = Infallible,
        >,
{
    type Response = http::Response<Body>;
    type Error = Infallible;
    type Future = Either<Ready<Result<Self::Response, Infallible>>, S::Future>;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        self.inner.poll_ready(context)
    }

    fn call(&mut self, mut request: http::Request<Body>) -> Self::Future {
        let (memory, policy) = match self.bounds.admit(request.uri().path()) {
            Ok(admitted) => admitted,
            Err(status) => return Either::Left(ready(Ok(status.into_http()))),
        };
        let hold = CallHold { ticket: policy.ticket.clone(), memory: memory.clone() };
        request.extensions_mut().insert(hold);
        let request = request.map(|body| ReservedBody::new(body, policy, memory));
        Either::Right(self.inner.call(request))
    }
}
