//! Links: connections between two nodes that carry forwarded requests and their replies.
//!
//! A node opens one link to each node that it forwards requests to. A request and its reply are one
//! [`LinkFrame`] each, and frames that are ready at the same time are written together. A gRPC call
//! for each request needs a stream with its own headers, trailers, timers and tasks at both ends, and
//! each pair of nodes holds the buffers of an HTTP/2 connection. gRPC remains in use for exchanges
//! with hubs, for large bodies, and for nodes of earlier builds.
//!
//! Both protocols share the listener for nodes: a link starts with [`PREAMBLE`], which is not the
//! start of an HTTP/2 connection. The accepting node answers with the same bytes. A node that closes
//! the connection instead does not support links.
//!
//! A request that must not run twice outlives its link at both ends: its reply is asked for on a new link
//! if the one on which it was sent goes silent or fails.

mod client;
mod frames;
mod outbox;
mod resume;
mod server;

pub use client::{Link, LinkFailure, Links};
pub use frames::FrameDecoder;
pub use outbox::EncodedFrames;
pub use resume::ServedLinks;
pub use server::serve;

use crate::mesh::proto::{LinkFrame, LinkSignal, link_frame::Content};

/// First bytes in both directions. The last one is the version of the protocol.
pub const PREAMBLE: [u8; 8] = *b"HIBLINK1";

fn frame(call: u64, content: Content) -> LinkFrame {
    LinkFrame { call, content: Some(content) }
}

fn signal(call: u64, content: fn(LinkSignal) -> Content) -> LinkFrame {
    frame(call, content(LinkSignal {}))
}
