//! Jitter and backoff, so that nodes that started at the same time do not act simultaneously.

use std::time::Duration;

use rand::RngExt as _;

/// Exponential backoff: each delay is twice the previous one, up to a maximum.
#[derive(Debug)]
pub struct Backoff {
    first: Duration,
    max: Duration,
    next: Duration,
}

impl Backoff {
    /// Creates a backoff with its first and its maximum delay.
    pub fn new(first: Duration, max: Duration) -> Self {
        Self { first, max, next: first }
    }

    /// Delay after a further failure.
    pub fn next_delay(&mut self) -> Duration {
        let delay = self.next;
        self.next = (delay * 2).min(self.max);
        delay
    }

    /// Starts again with the first delay, after a success.
    pub fn reset(&mut self) {
        self.next = self.first;
    }
}

/// Returns a pause that differs at random from `pause` by up to this fraction of it.
pub fn jittered(pause: Duration, fraction: f64) -> Duration {
    pause.mul_f64(rand::rng().random_range(1.0 - fraction..=1.0 + fraction))
}
