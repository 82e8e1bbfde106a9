//! Shares of the machine's file descriptors that the listeners of a node may use.
//!
//! Load pattern: callers open connections by the hundred. The descriptors must also suffice for the
//! upstream, the other nodes and the store.

/// Smallest bound on the connections of other nodes.
const MIN_PEER_CONNECTIONS: usize = 32;
/// Smallest bound on the connections of a listener for readiness checks, heartbeats or operators.
const MIN_AUXILIARY_CONNECTIONS: usize = 8;

/// Maximum numbers of connections of the listeners of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListenerBounds {
    /// Connections of callers.
    pub callers: usize,
    /// Connections of other nodes.
    pub peers: usize,
    /// Connections of each of the listeners for readiness checks, heartbeats and operators.
    pub auxiliary: usize,
}

impl ListenerBounds {
    /// Derives the bounds from the descriptors that the process may open. Five eighths are for callers, an
    /// eighth for other nodes; what remains is for the upstream, connections to other nodes and the store.
    pub fn from_descriptors(max_descriptors: usize) -> Self {
        Self {
            callers: max_descriptors / 8 * 5,
            peers: (max_descriptors / 8).max(MIN_PEER_CONNECTIONS),
            auxiliary: (max_descriptors / 32).max(MIN_AUXILIARY_CONNECTIONS),
        }
    }
}
