//! Prediction of the request rate of one organisation at one node.

use std::time::Duration;

use crate::clock::Timestamp;

/// Time constant of the fast rate, which follows a jump in demand within a few requests.
const FAST_TIME_CONSTANT: Duration = Duration::from_millis(100);
/// Time constant of the slow rate, which bridges the gaps between infrequent requests.
const SLOW_TIME_CONSTANT: Duration = Duration::from_secs(2);
/// Time without a request, in mean intervals between requests, after which the demand is considered
/// to have ended. A Poisson process has such a gap once in about 3,000 requests.
const MAX_IDLE_INTERVALS: f64 = 8.0;

/// Difference between the fast and the slow rate, in standard deviations, that is treated as a
/// jump.
const JUMP_DEVIATIONS: f64 = 3.0;
/// Margin above the fast rate, in standard deviations, that is kept when another node lacks rate.
/// Without it, two nodes that together use nearly the total rate take it from each other at every
/// fluctuation.
const RETAINED_DEVIATIONS: f64 = 1.5;

/// Exponentially weighted request rates with a fast and a slow time constant.
#[derive(Debug, Clone, Default)]
pub struct Demand {
    fast_per_s: f64,
    slow_per_s: f64,
    updated_at: Timestamp,
    last_arrival_at: Timestamp,
}

impl Demand {
    /// Counts one request.
    pub fn record_arrival(&mut self, now: Timestamp) {
        self.decay(now);
        self.fast_per_s += 1.0 / FAST_TIME_CONSTANT.as_secs_f64();
        self.slow_per_s += 1.0 / SLOW_TIME_CONSTANT.as_secs_f64();
        self.last_arrival_at = now;
    }

    /// Expected requests per second, used to borrow in advance.
    pub fn predicted_per_s(&self, now: Timestamp) -> f64 {
        let (fast, slow) = self.rates_at(now);
        // One request raises the fast rate to 10/s, which is no evidence of a jump.
        if fast < 3.0 / FAST_TIME_CONSTANT.as_secs_f64()
            || fast < slow + JUMP_DEVIATIONS * standard_deviation(slow)
        {
            return slow;
        }
        fast
    }

    /// Requests per second of the sustained demand; a short burst hardly changes it.
    pub fn sustained_per_s(&self, now: Timestamp) -> f64 {
        self.rates_at(now).1
    }

    /// Requests per second estimated from the latest requests alone, used to decide what can be
    /// lent or returned while another node lacks rate.
    pub fn recent_per_s(&self, now: Timestamp) -> f64 {
        let (fast, slow) = self.rates_at(now);
        let idle_s = now.saturating_sub(self.last_arrival_at).as_secs_f64();
        if idle_s * fast.max(slow) > MAX_IDLE_INTERVALS {
            return 0.0;
        }
        if slow < 3.0 / FAST_TIME_CONSTANT.as_secs_f64() {
            return slow;
        }
        (fast + RETAINED_DEVIATIONS * standard_deviation(fast)).min(fast.max(slow))
    }

    fn decay(&mut self, now: Timestamp) {
        (self.fast_per_s, self.slow_per_s) = self.rates_at(now);
        self.updated_at = self.updated_at.max(now);
    }

    /// The fast and the slow rate, decayed to `now`.
    fn rates_at(&self, now: Timestamp) -> (f64, f64) {
        let elapsed_s = now.saturating_sub(self.updated_at).as_secs_f64();
        let fast = self.fast_per_s * (-elapsed_s / FAST_TIME_CONSTANT.as_secs_f64()).exp();
        let slow = self.slow_per_s * (-elapsed_s / SLOW_TIME_CONSTANT.as_secs_f64()).exp();
        (fast, slow)
    }
}

/// Standard deviation of the fast rate for a Poisson process of the given rate.
fn standard_deviation(per_s: f64) -> f64 {
    (per_s / (2.0 * FAST_TIME_CONSTANT.as_secs_f64())).sqrt()
}
