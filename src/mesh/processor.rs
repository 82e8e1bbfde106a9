//! The node's own processor time as a limit beside the slots of its upstream.
//!
//! Load pattern: a node beside a deep service receives more requests than its share of a core can
//! forward, while its upstream has free slots. Each request then takes longer in the node than at the
//! upstream, and the load that the node reports would draw still more of them. The limit on running
//! requests is lowered until the node keeps up, so that the reported load rises, and entry nodes
//! place fewer requests here and refuse roots.

use std::time::Duration;

/// Time between two measurements of the delay.
pub const MEASUREMENT_INTERVAL: Duration = Duration::from_millis(100);
/// Delay of a timer above which the node is short of processor time. Timers fire within a few
/// milliseconds on a node that keeps up.
const MAX_DELAY: Duration = Duration::from_millis(25);
/// Factor of the limit after each measurement with a longer delay.
const DECREASE: f64 = 0.75;
/// Addition to the factor after each other measurement; it recovers fully within 2.5 s.
const INCREASE: f64 = 0.04;
/// Least factor of the limit.
const MIN_FACTOR: f64 = 0.2;

/// Factor of the limit on running requests, from the delays of the node's own timers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ProcessorLimit {
    factor: f64,
}

impl Default for ProcessorLimit {
    fn default() -> Self {
        Self { factor: 1.0 }
    }
}

impl ProcessorLimit {
    /// Records by how much a timer fired too late; returns the factor of the limit.
    ///
    /// A single long delay, as after a pause of the process, lowers the factor once only.
    pub fn record_delay(&mut self, delay: Duration) -> f64 {
        self.factor = match delay > MAX_DELAY {
            true => (self.factor * DECREASE).max(MIN_FACTOR),
            false => (self.factor + INCREASE).min(1.0),
        };
        self.factor
    }
}
