//! Body of a gRPC message whose bytes are reserved as they arrive.

use std::{
    future::Future as _,
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::time::{Sleep, sleep};
use tonic::Status;

use crate::{
    memory::Reservation,
    mesh::grpc::{MessageMemory, fields::FieldCounter},
};

/// Time between two attempts to reserve memory.
const MEMORY_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Bytes before a message: a flag and the length.
pub(super) const PREFIX_BYTES: usize = 5;
/// Memory that a field of a decoded message may need beside its bytes: the largest repeated one is a record
/// of an instance.
const FIELD_BYTES: usize = 256;

/// Which memory a message may use, and when it is given up.
pub trait MessagePolicy: Unpin {
    /// Maximum size of a message.
    fn max_message_bytes(&self) -> usize;

    /// Memory that a byte of a message may need once it is decoded.
    fn memory_per_byte(&self) -> usize {
        1
    }

    /// Reserves `memory_bytes` for the next part of a message, with which `received_bytes` of it have been
    /// read.
    fn reserve(&mut self, received_bytes: usize, memory_bytes: usize) -> Option<Reservation>;

    /// Records that the message holds `received_bytes` now.
    fn record_progress(&mut self, received_bytes: usize);

    /// Status to end the call with, if it is to be given up; `waits_for_memory` says whether the sender
    /// or the memory budget is waited for. A pending call is woken once it is given up.
    fn poll_given_up(&mut self, context: &mut Context<'_>, waits_for_memory: bool) -> Poll<Status>;

    /// Status for a message that is larger than the maximum.
    fn too_large(&self, bytes: usize) -> Status;
}

/// A body whose data frames are passed on once their memory is reserved.
#[derive(Debug)]
pub struct ReservedBody<B, P> {
    inner: B,
    policy: P,
    memory: MessageMemory,
    /// Data that waits for memory.
    waiting: Option<Bytes>,
    retry: Option<Pin<Box<Sleep>>>,
    received_bytes: usize,
    prefix: [u8; PREFIX_BYTES],
    fields: FieldCounter,
    /// Memory that `waiting` needs.
    needed_bytes: usize,
}

impl<B, P> ReservedBody<B, P> {
    /// Wraps a body; the memory of its data is added to `memory`.
    pub fn new(inner: B, policy: P, memory: MessageMemory) -> Self {
        Self {
            inner,
            policy,
            memory,
            waiting: None,
            retry: None,
            received_bytes: 0,
            prefix: [0; PREFIX_BYTES],
            fields: FieldCounter::default(),
            needed_bytes: 0,
        }
    }
}

impl<B, P: MessagePolicy> ReservedBody<B, P> {
    /// Refuses messages over the maximum by the length that they state, or else by what has arrived.
    fn check_length(&mut self, data: &[u8]) -> Result<(), Status> {
        let known = self.received_bytes.min(PREFIX_BYTES);
        for (place, byte) in self.prefix[known..].iter_mut().zip(data) {
            *place = *byte;
        }
        let total = self.received_bytes + data.len();
        let stated = match (total >= PREFIX_BYTES, self.prefix) {
            (true, [_, length @ ..]) => u32::from_be_bytes(length) as usize,
            (false, _) => 0,
        };
        let bytes = stated.max(total.saturating_sub(PREFIX_BYTES));
        match bytes > self.policy.max_message_bytes() {
            true => Err(self.policy.too_large(bytes)),
            false => Ok(()),
        }
    }
}

impl<B, P: MessagePolicy> ReservedBody<B, P> {
    /// Memory that the next part of the message needs, also once it is decoded.
    fn count_memory(&mut self, data: &[u8]) -> usize {
        let before = self.fields.fields();
        let prefix = PREFIX_BYTES.saturating_sub(self.received_bytes).min(data.len());
        self.fields.read(&data[prefix..]);
        data.len() * self.policy.memory_per_byte() + (self.fields.fields() - before) * FIELD_BYTES
    }
}

impl<B, P> Body for ReservedBody<B, P>
where
    B: Body<Data = Bytes, Error = Status> + Unpin,
    P: MessagePolicy,
{
    type Data = Bytes;
    type Error = Status;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Status>>> {
        let this = self.get_mut();
        loop {
            if let Some(data) = this.waiting.take() {
                let received_bytes = this.received_bytes + data.len();
                if let Some(reserved) = this.policy.reserve(received_bytes, this.needed_bytes) {
                    this.memory.add(reserved);
                    this.received_bytes = received_bytes;
                    this.retry = None;
                    this.policy.record_progress(this.received_bytes);
                    return Poll::Ready(Some(Ok(Frame::data(data))));
                }
                this.waiting = Some(data);
                if let Poll::Ready(status) = this.policy.poll_given_up(context, true) {
                    return Poll::Ready(Some(Err(status)));
                }
                let retry = this.retry.get_or_insert_with(|| Box::pin(sleep(MEMORY_POLL_INTERVAL)));
                ready!(retry.as_mut().poll(context));
                this.retry = None;
                continue;
            }
            match Pin::new(&mut this.inner).poll_frame(context) {
                Poll::Ready(Some(Ok(frame))) => match frame.into_data() {
                    Ok(data) => {
                        if let Err(status) = this.check_length(&data) {
                            return Poll::Ready(Some(Err(status)));
                        }
                        this.needed_bytes = this.count_memory(&data);
                        this.waiting = Some(data);
                    }
                    Err(frame) => return Poll::Ready(Some(Ok(frame))),
                },
                Poll::Ready(ended) => return Poll::Ready(ended),
                Poll::Pending => {
                    return this.policy.poll_given_up(context, false).map(|it| Some(Err(it)));
                }
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.waiting.is_none() && self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::default()
    }
}
