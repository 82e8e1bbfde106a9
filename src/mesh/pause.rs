//! Pauses that keep nodes apart which began at the same moment.

use std::time::Duration;

use rand::RngExt as _;

/// Pauses after failures in a row; each is twice as long as the one before, up to the longest.
#[derive(Debug)]
pub struct Backoff {
    first: Duration,
    max: Duration,
    next: Duration,
}

impl Backoff {
    /// Makes the pauses from the first to the longest.
    pub fn new(first: Duration, max: Duration) -> Self {
        Self { first, max, next: first }
    }

    /// Pause after a failure.
    pub fn next_delay(&mut self) -> Duration {
        let pause = self.next;
        self.next = (pause * 2).min(self.max);
        pause
    }

    /// Starts again with the first pause.
    pub fn reset(&mut self) {
        self.next = self.first;
    }
}

/// Varies a pause by up to `part` of it either way.
pub fn jittered(pause: Duration, part: f64) -> Duration {
    pause.mul_f64(rand::rng().random_range(1.0 - part..=1.0 + part))
}
