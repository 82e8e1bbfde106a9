//! The protocol between nodes: generated messages and a pool of client channels.

mod pool;
#[allow(missing_docs, clippy::all)]
pub mod proto;

pub use pool::{PeerClient, PeerPool, TOKEN_HEADER, not_connected};
