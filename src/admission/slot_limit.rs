//! A fixed concurrency limit for upstreams that announce their exact number of slots.

use std::time::Duration;

use crate::{
    admission::{Limit, MeanTime},
    clock::Timestamp,
};

/// Fraction of the slots that is used. Upstreams slow down when nearly all slots are occupied, and
/// probes and new connections also occupy slots for a short time.
const USED_FRACTION: f64 = 0.94;
/// Weight of a new completion in the exponentially weighted mean time.
const MEAN_WEIGHT: f64 = 0.05;

/// A fixed limit slightly below the announced number of slots.
#[derive(Debug)]
pub struct SlotLimit {
    limit: u32,
    mean_time: MeanTime,
}

impl Limit for SlotLimit {
    fn new(_now: Timestamp, slots: u32) -> Self {
        let limit = (f64::from(slots) * USED_FRACTION).floor().max(1.0) as u32;
        Self { limit, mean_time: MeanTime::new(MEAN_WEIGHT) }
    }

    fn current_limit(&self, _now: Timestamp) -> u32 {
        self.limit
    }

    fn recent_own_time(&self, now: Timestamp) -> Duration {
        self.mean_time.recent_mean(now)
    }

    fn mean_own_time(&self) -> Duration {
        self.mean_time.mean()
    }

    fn record_completion(
        &mut self,
        now: Timestamp,
        _own_time: Duration,
        total_time: Duration,
        _is_at_limit: bool,
    ) {
        // A request also occupies its slot while it waits for nested calls.
        self.mean_time.record(now, total_time);
    }
}
