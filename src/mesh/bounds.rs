//! Bounds that the platform sets for all nodes.

use std::time::Duration;

/// Bounds that the platform sets for all nodes; the defaults hold where it names none.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Time after which a leaving upstream may get no new request.
    pub drain: Duration,
    /// Time that a stopped process has until it is killed.
    pub grace: Duration,
    /// Time in which a change of the configuration must be in force.
    pub config_apply: Duration,
    /// Time after which a withdrawn key must be refused, whatever the node can reach; none where
    /// the platform does not ask for that.
    pub revoke: Option<Duration>,
    /// Arrivals at the upstreams of a service beyond the first of each request, as a part of the
    /// requests.
    pub retry_ratio: f64,
    /// Window of that bound.
    pub retry_window: Duration,
    /// Arrivals that are allowed in a window in addition.
    pub retry_slack: u32,
    /// Window of the bound on an organisation's rate.
    pub rate_window: Duration,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            drain: Duration::from_secs(2),
            grace: Duration::from_secs(6),
            config_apply: Duration::from_secs(2),
            revoke: Some(Duration::from_secs(5)),
            retry_ratio: 0.2,
            retry_window: Duration::from_secs(10),
            retry_slack: 40,
            rate_window: Duration::from_secs(5),
        }
    }
}
