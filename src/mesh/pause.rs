//! Pauses that keep nodes apart which began at the same moment.

use std::time::Duration;

use rand::RngExt as _;

/// Varies a pause by up to `part` of it either way.
pub fn jittered(pause: Duration, part: f64) -> Duration {
    pause.mul_f64(rand::rng().random_range(1.0 - part..=1.0 + part))
}
