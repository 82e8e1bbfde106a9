//! Bounds that the platform sets for all nodes.

use std::time::Duration;

/// Bounds that the platform sets for all nodes; a default applies to each one that it does not set.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Time after an upstream's announcement that it is leaving, from which it must receive no new
    /// request.
    pub drain: Duration,
    /// Time between the signal to stop a process and its kill.
    pub grace: Duration,
    /// Time within which a change of the configuration must be in force at all nodes.
    pub config_apply: Duration,
    /// Time after which a withdrawn key must be refused, even by a node that reaches neither the store
    /// nor other nodes; `None` if the platform does not require this.
    pub revoke: Option<Duration>,
    /// Limit on repeated arrivals: arrivals at the upstreams of a service beyond the first one of each
    /// request, as a fraction of the requests.
    pub retry_ratio: f64,
    /// Time window over which `retry_ratio` applies.
    pub retry_window: Duration,
    /// Additional repeated arrivals allowed per window.
    pub retry_slack: u32,
    /// Time window over which an organisation's rate is measured.
    pub rate_window: Duration,
    /// Requests that a cold upstream may receive in any second, as a multiple of its cold rate.
    pub cold_over: f64,
    /// Requests that it may receive in addition in any second.
    pub cold_slack: f64,
    /// Time after the request to evacuate an availability zone, from which no upstream in the zone may
    /// receive a request; `None` if the platform evacuates no zones.
    pub evacuate: Option<Duration>,
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
            cold_over: 1.5,
            cold_slack: 8.0,
            evacuate: None,
        }
    }
}
