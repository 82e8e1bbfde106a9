//! Bounds on the gRPC calls between nodes, and on the memory of their messages.
//!
//! Load pattern: a node, or anything else that reaches the listener for nodes, opens many calls whose
//! large messages stop just short of their end. tonic collects a message in memory until it is complete,
//! up to its own limit for each call, and the sum of the calls exceeds the memory of the machine.
//!
//! The bytes of a message are therefore reserved in the memory budget of the node as they arrive. A call
//! that finds no memory is refused with a status that says that its request has not run.

mod body;
mod calls;
mod fields;
mod replies;
mod requests;

use std::sync::Arc;

use parking_lot::Mutex;
use tonic::{Code, Status, metadata::MetadataValue};

use crate::memory::Reservation;

pub use body::{MessagePolicy, ReservedBody};
pub use calls::{BoundedCalls, CallBounds, CallHold, CallPolicy, bounded_server};
pub use fields::FieldCounter;
pub use replies::{ReplyHold, ReplyPolicy, ReservingChannel, channel};
pub use requests::detach_body;

/// Metadata of a status that is given only before the call has reached its handler. The code alone does
/// not say so: tonic also gives RESOURCE_EXHAUSTED for replies that cannot be sent.
const NOT_RUN: &str = "hibiscusdoor-not-run";
/// Data of one stream that may arrive before it is read; with a round trip of 7 ms, this permits
/// 36 MB/s, more than the 25 MB/s of the network of a node.
const STREAM_WINDOW_BYTES: u32 = 256 << 10;
/// The same for all streams of a connection together, so that a stream that waits for memory does not
/// keep the others waiting.
const CONNECTION_WINDOW_BYTES: u32 = 4 * STREAM_WINDOW_BYTES;

/// Memory of the parts of a message that have arrived.
#[derive(Debug, Clone, Default)]
pub struct MessageMemory(Arc<Mutex<Option<Reservation>>>);

impl MessageMemory {
    fn add(&self, added: Reservation) {
        let mut reserved = self.0.lock();
        match &mut *reserved {
            Some(reserved) => reserved.merge(added),
            None => *reserved = Some(added),
        }
    }

    /// Takes the reservation, so that it can be tied to the bytes of the decoded message.
    pub fn take(&self) -> Option<Reservation> {
        self.0.lock().take()
    }
}

/// Status of a call that is refused before its message has reached the handler.
pub fn refusal(detail: impl Into<String>) -> Status {
    let mut status = Status::resource_exhausted(detail);
    status.metadata_mut().insert(NOT_RUN, MetadataValue::from_static("1"));
    status
}

/// Whether a call failed with a [`refusal`], so that its request has not run.
pub fn is_refusal(status: &Status) -> bool {
    status.code() == Code::ResourceExhausted && status.metadata().contains_key(NOT_RUN)
}
