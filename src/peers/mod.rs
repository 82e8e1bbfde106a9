//! gRPC protocol between nodes: generated messages and a pool of client channels.

mod pool;
#[allow(missing_docs, clippy::all)]
pub mod proto;

pub use pool::{
    MAX_MESSAGE_BYTES, PeerClient, PeerPool, TOKEN_HEADER, endpoint, is_connect_failure,
};
