//! The concurrency limit of an upstream that states its slots exactly.

use std::time::Duration;

use crate::{admission::Limit, clock::Timestamp};

/// Part of the slots that is used: upstreams slow down when they are nearly full, and probes and
/// new connections hold slots for a moment.
const USED_PART: f64 = 0.94;
/// Weight of a new completion in the mean time.
const MEAN_WEIGHT: f64 = 0.05;
/// Without completions for this long, the mean says nothing about the next request.
const MEAN_LIFETIME: Duration = Duration::from_secs(1);

/// A limit a little below the announced slots.
#[derive(Debug)]
pub struct SlotLimit {
    limit: u32,
    mean_s: f64,
    mean_at: Timestamp,
}

impl Limit for SlotLimit {
    fn new(now: Timestamp, slots: u32) -> Self {
        let limit = (f64::from(slots) * USED_PART).floor().max(1.0) as u32;
        Self { limit, mean_s: 0.0, mean_at: now }
    }

    fn current(&self, _now: Timestamp) -> u32 {
        self.limit
    }

    fn own_time(&self, now: Timestamp) -> Duration {
        match now < self.mean_at + MEAN_LIFETIME {
            true => self.mean_own_time(),
            false => Duration::ZERO,
        }
    }

    fn mean_own_time(&self) -> Duration {
        Duration::from_secs_f64(self.mean_s)
    }

    fn completed(
        &mut self,
        now: Timestamp,
        _own_time: Duration,
        total_time: Duration,
        _at_limit: bool,
    ) {
        // A request holds its slot also while it waits for its calls.
        let total_s = total_time.as_secs_f64();
        self.mean_s = match self.mean_s > 0.0 {
            true => self.mean_s + MEAN_WEIGHT * (total_s - self.mean_s),
            false => total_s,
        };
        self.mean_at = now;
    }
}
