//! Planned stop of a node: which requests are still taken.
//!
//! Load pattern: a request that runs at the local upstream keeps the node until late in the grace
//! period, and callers go on sending requests on their open connections. One that is taken near the end
//! is cut off when the process ends.

use std::time::Duration;

use crate::clock::Timestamp;

/// Time after the signal to stop in which all requests are taken: most callers have not learned of the
/// stop, and requests usually end well within the rest of the grace period.
const OPEN_TIME: Duration = Duration::from_millis(2500);
/// The same as a divisor of the time until the end, for short grace periods.
const OPEN_DIVISOR: u32 = 2;

/// A planned stop that has begun.
#[derive(Debug, Clone, Copy)]
pub struct PlannedStop {
    began: Timestamp,
    /// Time at which requests that have not ended are cut off.
    ends_at: Timestamp,
}

impl PlannedStop {
    /// A stop that begins now and cuts off requests after `grace`.
    pub fn new(now: Timestamp, grace: Duration) -> Self {
        Self { began: now, ends_at: now + grace }
    }

    /// Time at which requests that have not ended are cut off.
    pub fn ends_at(&self) -> Timestamp {
        self.ends_at
    }

    /// Whether a request with this deadline is taken: it arrives early, or it ends in time whatever
    /// happens.
    pub fn takes(&self, now: Timestamp, deadline: Timestamp) -> bool {
        let open = OPEN_TIME.min((self.ends_at - self.began) / OPEN_DIVISOR);
        now < self.began + open || deadline <= self.ends_at
    }
}
