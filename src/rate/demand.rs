//! Prediction of the requests a second of one organisation at one node.

use std::time::Duration;

use crate::clock::Timestamp;

/// Follows a jump of the demand within a few requests.
const FAST: Duration = Duration::from_millis(100);
/// Bridges the gaps between the requests of slow organisations.
const SLOW: Duration = Duration::from_secs(2);
/// Gaps between requests after which the demand counts as gone; a Poisson process has a gap
/// this long once in about 3,000 requests.
const SILENT_GAPS: f64 = 8.0;

/// Standard deviations of the fast rate beyond the slow one that are taken for a jump.
const JUMP_DEVIATIONS: f64 = 3.0;
/// Standard deviations beyond the fast rate that are kept when another node lacks rate; without
/// them, two nodes near the whole rate take it from each other at every fluctuation.
const SAFE_DEVIATIONS: f64 = 1.5;

/// Exponentially weighted request rates with a fast and a slow time constant.
#[derive(Debug, Clone, Default)]
pub struct Demand {
    fast_per_s: f64,
    slow_per_s: f64,
    updated: Timestamp,
    last_arrival: Timestamp,
}

impl Demand {
    /// Counts one request.
    pub fn arrived(&mut self, now: Timestamp) {
        self.decay(now);
        self.fast_per_s += 1.0 / FAST.as_secs_f64();
        self.slow_per_s += 1.0 / SLOW.as_secs_f64();
        self.last_arrival = now;
    }

    /// Expected requests a second, for borrowing ahead.
    pub fn predicted_per_s(&self, now: Timestamp) -> f64 {
        let (fast, slow) = self.at(now);
        // One request lifts the fast rate to 10 a second, which is no evidence of a jump.
        if fast < 3.0 / FAST.as_secs_f64() || fast < slow + JUMP_DEVIATIONS * deviation(slow) {
            return slow;
        }
        fast
    }

    /// Expected requests a second of a demand that lasts; a burst hardly changes it.
    pub fn lasting_per_s(&self, now: Timestamp) -> f64 {
        self.at(now).1
    }

    /// Expected requests a second by the latest requests alone, for giving back what another
    /// node asks for.
    pub fn recent_per_s(&self, now: Timestamp) -> f64 {
        let (fast, slow) = self.at(now);
        let silence = now.saturating_sub(self.last_arrival).as_secs_f64();
        if silence * fast.max(slow) > SILENT_GAPS {
            return 0.0;
        }
        if slow < 3.0 / FAST.as_secs_f64() {
            return slow;
        }
        (fast + SAFE_DEVIATIONS * deviation(fast)).min(fast.max(slow))
    }

    fn decay(&mut self, now: Timestamp) {
        (self.fast_per_s, self.slow_per_s) = self.at(now);
        self.updated = self.updated.max(now);
    }

    fn at(&self, now: Timestamp) -> (f64, f64) {
        let elapsed = now.saturating_sub(self.updated).as_secs_f64();
        let fast = self.fast_per_s * (-elapsed / FAST.as_secs_f64()).exp();
        let slow = self.slow_per_s * (-elapsed / SLOW.as_secs_f64()).exp();
        (fast, slow)
    }
}

/// Standard deviation of the fast rate for a Poisson process.
fn deviation(per_s: f64) -> f64 {
    (per_s / (2.0 * FAST.as_secs_f64())).sqrt()
}
