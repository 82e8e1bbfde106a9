//! Replies to the calls of this node.

use std::{
    future::Future,
    net::SocketAddr,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
    time::Duration,
};

use tonic::{
    Status,
    body::Body,
    codegen::{Service, http},
    transport::{Channel, Error},
};

use crate::{
    memory::{MemoryBudget, Reservation},
    mesh::grpc::{
        CONNECTION_WINDOW_BYTES, MessageMemory, MessagePolicy, ReservedBody, STREAM_WINDOW_BYTES,
        requests::attach_body,
    },
    peers::{self, MAX_MESSAGE_BYTES},
};

/// Time for a connection to another node. A lost SYN is sent again after a second only, so a shorter time
/// reaches a node sooner that starts at the same time as this one.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Part of a reply that never waits for memory, so that usual replies pass.
const UNDELAYED_BYTES: usize = 64 << 10;

/// Creates a channel to another node whose replies are reserved in `memory`. It connects when it is first
/// used.
pub fn channel(address: SocketAddr, memory: Arc<MemoryBudget>) -> ReservingChannel {
    let channel = peers::endpoint(address)
        .connect_timeout(CONNECT_TIMEOUT)
        .initial_stream_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .connect_lazy();
    ReservingChannel { channel, memory }
}

/// A channel that reserves the memory of replies as they arrive.
#[derive(Debug, Clone)]
pub struct ReservingChannel {
    channel: Channel,
    memory: Arc<MemoryBudget>,
}

impl Service<http::Request<Body>> for ReservingChannel {
    type Response = http::Response<ReservedBody<Body, ReplyPolicy>>;
    type Error = Error;
    type Future = ReplyFuture;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), Error>> {
        self.channel.poll_ready(context)
    }

    fn call(&mut self, request: http::Request<Body>) -> ReplyFuture {
        ReplyFuture { reply: self.channel.call(attach_body(request)), memory: self.memory.clone() }
    }
}

/// The head of a reply.
#[derive(Debug)]
pub struct ReplyFuture {
    reply: <Channel as Service<http::Request<Body>>>::Future,
    memory: Arc<MemoryBudget>,
}

impl Future for ReplyFuture {
    type Output = Result<http::Response<ReservedBody<Body, ReplyPolicy>>, Error>;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Self::Output> {
        let mut reply = ready!(Pin::new(&mut self.reply).poll(context))?;
        let memory = MessageMemory::default();
        reply.extensions_mut().insert(ReplyHold(memory.clone()));
        let policy = ReplyPolicy { memory: self.memory.clone(), unread: None };
        Poll::Ready(Ok(reply.map(|body| ReservedBody::new(body, policy, memory))))
    }
}

/// Memory of a reply that has arrived.
#[derive(Debug, Clone)]
pub struct ReplyHold(pub MessageMemory);

/// Bounds on a reply while it arrives. It has usually run, so it is never given up: it waits for memory
/// until its caller gives it up.
#[derive(Debug)]
pub struct ReplyPolicy {
    memory: Arc<MemoryBudget>,
    /// Data that arrives and is not read while the reply waits for memory.
    unread: Option<Reservation>,
}

impl MessagePolicy for ReplyPolicy {
    fn max_message_bytes(&self) -> usize {
        MAX_MESSAGE_BYTES.min(self.memory.limit_bytes())
    }

    fn reserve(&mut self, received_bytes: usize, memory_bytes: usize) -> Option<Reservation> {
        match received_bytes <= UNDELAYED_BYTES {
            true => Some(self.memory.reserve_always(memory_bytes)),
            false => self.memory.reserve(memory_bytes),
        }
    }

    fn record_progress(&mut self, _: usize) {
        self.unread = None;
    }

    fn poll_given_up(&mut self, _: &mut Context<'_>, waits_for_memory: bool) -> Poll<Status> {
        if waits_for_memory && self.unread.is_none() {
            self.unread = Some(self.memory.reserve_always(STREAM_WINDOW_BYTES as usize));
        }
        Poll::Pending
    }

    fn too_large(&self, bytes: usize) -> Status {
        let limit_bytes = self.max_message_bytes();
        Status::out_of_range(format!("a reply of {bytes} bytes, above {limit_bytes}"))
    }
}
