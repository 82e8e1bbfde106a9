//! The share of requests that an upstream refuses without running them, as measured by its guard.
//!
//! Load pattern: an upstream with free slots answers half of the requests with "not run" for some
//! seconds. Single refusals, short disturbances and small numbers of requests must not count as such.

use std::{collections::VecDeque, time::Duration};

use crate::clock::Timestamp;

/// Length of a slice of the measurement.
const SLICE: Duration = Duration::from_millis(50);
/// Slices that decide whether the upstream has begun to refuse requests.
const ONSET_SLICES: u64 = 20;
/// Slices with refusals among them that are necessary, so that a disturbance of 200 ms has no effect.
const MIN_REFUSING_SLICES: usize = 6;
/// Requests in these slices below which the share is not significant.
const MIN_REQUESTS: u32 = 30;
/// Share that the measured one must exceed by [`SIGNIFICANT_DEVIATIONS`].
const MIN_SHARE: f64 = 0.1;
/// Standard deviations by which a share must exceed [`MIN_SHARE`], so that it is no accident.
const SIGNIFICANT_DEVIATIONS: f64 = 3.0;
/// Shortest time, in slices, over which the share is measured while the upstream refuses requests.
const MIN_MEASURED_SLICES: u64 = 8;
/// Slices after which requests are no longer measured. Entry nodes send few requests to an upstream
/// that refuses many, so the measurement may take this long.
const MAX_MEASURED_SLICES: u64 = 100;
/// Probability below which a row of served requests shows that the upstream no longer refuses them.
const RECOVERY_PROBABILITY: f64 = 1e-4;
/// Least share that is assumed for the length of that row.
const MIN_RECOVERY_SHARE: f64 = 0.3;

#[derive(Debug, Clone, Copy, Default)]
struct Slice {
    number: u64,
    requests: u32,
    refused: u32,
}

/// Measures the share of requests that an upstream with free slots refuses without running them.
#[derive(Debug, Default)]
pub struct RefusalMeter {
    slices: VecDeque<Slice>,
    /// Whether the share is significant.
    is_refusing: bool,
    /// Measured share at the last refusal.
    share_at_refusal: f64,
    /// Requests that were served since the last refusal.
    served_in_row: u32,
}

impl RefusalMeter {
    /// Records whether the upstream refused a request; returns whether it now refuses requests if
    /// that has changed.
    pub fn record(&mut self, now: Timestamp, was_refused: bool) -> Option<bool> {
        let number = slice_number(now);
        self.drop_old(number);
        if self.slices.back().is_none_or(|it| it.number < number) {
            self.slices.push_back(Slice { number, ..Slice::default() });
        }
        if let Some(slice) = self.slices.back_mut() {
            slice.requests += 1;
            slice.refused += u32::from(was_refused);
        }
        if was_refused {
            self.served_in_row = 0;
            self.share_at_refusal = self.measured_share(number);
        } else {
            self.served_in_row += 1;
        }
        let before = self.is_refusing;
        self.is_refusing = match before {
            true => !self.has_recovered(number),
            false => was_refused && self.has_begun(number),
        };
        if before && !self.is_refusing {
            self.slices.clear();
        }
        (before != self.is_refusing).then_some(self.is_refusing)
    }

    /// Share of requests that the upstream refuses; 0 while it is not significant.
    pub fn share(&self, now: Timestamp) -> f64 {
        let number = slice_number(now);
        let is_current =
            self.slices.back().is_some_and(|it| number < it.number + MAX_MEASURED_SLICES);
        if !self.is_refusing || !is_current {
            return 0.0;
        }
        self.measured_share(number)
    }

    fn has_begun(&self, number: u64) -> bool {
        let recent = || self.slices.iter().filter(|it| number < it.number + ONSET_SLICES);
        let requests: u32 = recent().map(|it| it.requests).sum();
        let refused: u32 = recent().map(|it| it.refused).sum();
        let refusing_slices = recent().filter(|it| it.refused > 0).count();
        if requests < MIN_REQUESTS || refusing_slices < MIN_REFUSING_SLICES {
            return false;
        }
        let share = f64::from(refused) / f64::from(requests);
        let deviation = (share * (1.0 - share) / f64::from(requests)).sqrt();
        share - SIGNIFICANT_DEVIATIONS * deviation > MIN_SHARE
    }

    fn has_recovered(&self, number: u64) -> bool {
        let share = self.share_at_refusal.clamp(MIN_RECOVERY_SHARE, 0.99);
        let row = f64::from(self.served_in_row);
        (1.0 - share).powf(row) < RECOVERY_PROBABILITY
            || self.measured_share(number) < MIN_SHARE / 2.0
    }

    /// Refused share of the last requests, over the shortest time that holds enough of them.
    fn measured_share(&self, number: u64) -> f64 {
        let (mut requests, mut refused) = (0, 0);
        for slice in self.slices.iter().rev() {
            let is_recent = number < slice.number + MIN_MEASURED_SLICES;
            if !is_recent && requests >= MIN_REQUESTS {
                break;
            }
            requests += slice.requests;
            refused += slice.refused;
        }
        if requests > 0 { f64::from(refused) / f64::from(requests) } else { 0.0 }
    }

    fn drop_old(&mut self, number: u64) {
        while self.slices.front().is_some_and(|it| it.number + MAX_MEASURED_SLICES <= number) {
            self.slices.pop_front();
        }
        if self.slices.is_empty() {
            self.is_refusing = false;
        }
    }
}

fn slice_number(now: Timestamp) -> u64 {
    u64::try_from(now.as_nanos() / SLICE.as_nanos()).unwrap_or(u64::MAX)
}
