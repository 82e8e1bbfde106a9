//! Pacing of a node's exchanges with a hub.
//!
//! Load pattern: dozens of nodes each have a request now and then of each of dozens of organisations,
//! so nearly every request needs a token of its own from a hub. A fixed pause after each exchange keeps
//! the hubs within their time, but lets an urgent request wait for the whole pause although the node
//! has made few exchanges before. Unused exchanges are therefore saved up for a few at once.

use std::time::Duration;

use crate::clock::Timestamp;

/// Number of exchanges that a node may save up.
const MAX_SAVED: f64 = 4.0;

/// Exchanges that a node may still make with one hub.
#[derive(Debug)]
pub struct Pacer {
    saved: f64,
    updated_at: Timestamp,
}

impl Default for Pacer {
    fn default() -> Self {
        Self { saved: MAX_SAVED, updated_at: Timestamp::ZERO }
    }
}

impl Pacer {
    /// Counts an exchange that starts at `now`, and returns the time from then on until the next one
    /// may start; `interval` is the mean time between two exchanges that the hub has time for.
    pub fn record_exchange(&mut self, now: Timestamp, interval: Duration) -> Duration {
        let elapsed = now.saturating_sub(self.updated_at);
        let gained = elapsed.as_secs_f64() / interval.as_secs_f64();
        self.updated_at = now;
        self.saved = (self.saved + gained).min(MAX_SAVED) - 1.0;
        interval.mul_f64((1.0 - self.saved).max(0.0))
    }
}
