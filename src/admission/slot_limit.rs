//! The concurrency limit of an upstream that states its slots exactly.

use std::time::Duration;

use crate::{
    admission::{Limit, MeanTime},
    clock::Timestamp,
};

/// Part of the slots that is used: upstreams slow down when they are nearly full, and probes and
/// new connections hold slots for a moment.
const USED_PART: f64 = 0.94;
/// Weight of a new completion in the mean time.
const MEAN_WEIGHT: f64 = 0.05;

/// A limit a little below the announced slots.
#[derive(Debug)]
pub struct SlotLimit {
    limit: u32,
    mean_time: MeanTime,
}

impl Limit for SlotLimit {
    fn new(_now: Timestamp, slots: u32) -> Self {
        let limit = (f64::from(slots) * USED_PART).floor().max(1.0) as u32;
        Self { limit, mean_time: MeanTime::new(MEAN_WEIGHT) }
    }

    fn current(&self, _now: Timestamp) -> u32 {
        self.limit
    }

    fn own_time(&self, now: Timestamp) -> Duration {
        self.mean_time.recent_mean(now)
    }

    fn mean_own_time(&self) -> Duration {
        self.mean_time.mean()
    }

    fn completed(
        &mut self,
        now: Timestamp,
        _own_time: Duration,
        total_time: Duration,
        _at_limit: bool,
    ) {
        // A request holds its slot also while it waits for its calls.
        self.mean_time.record(now, total_time);
    }
}
