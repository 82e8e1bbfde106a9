//! An adaptive concurrency limit, estimated from the upstream's own time per request.
//!
//! While the limit is binding, concurrency alternates between two levels, the limit and a fraction
//! of it. Below saturation the upstream's own time is the same at both levels; above saturation it
//! grows in proportion to concurrency. The ratio of the two times yields the number of slots
//! without a baseline time, so an upstream that becomes slower does not lower its limit.
//!
//! The announced number of slots may be wrong, so the limit is first searched by factors of two.
//! After that, the two levels are close together and the limit is tracked in small steps.

use std::time::Duration;

use crate::{
    admission::{Limit, MeanTime},
    clock::Timestamp,
};

/// The lower level as a fraction of the limit during the search.
const SEARCH_LOW_LEVEL: f64 = 0.5;
/// The lower level as a fraction of the limit during tracking.
const TRACK_LOW_LEVEL: f64 = 0.85;
/// Completions per measurement during the search.
const SEARCH_COMPLETIONS: u32 = 60;
/// Completions per measurement during tracking; levels that are close together need more.
const TRACK_COMPLETIONS: u32 = 150;
/// Fraction of these completions at which the limit must have been binding.
const MIN_BINDING_FRACTION: f64 = 0.9;
/// Slope above which the upstream is saturated at both levels; in theory 1. The slope is the change
/// of own time with concurrency, both on a logarithmic scale.
const SATURATED_SLOPE: f64 = 0.9;
/// Slope below which the upstream has spare capacity at both levels; in theory 0.
const SPARE_SLOPE: f64 = 0.5;
/// [`SPARE_SLOPE`] for the search, in which the levels are further apart.
const SEARCH_SPARE_SLOPE: f64 = 0.15;
/// Ratio of the limit to the slots that the search found, so that no slot is idle between requests.
const HEADROOM_FACTOR: f64 = 1.08;
/// Relative change of the limit after one measurement.
const STEP_FRACTION: f64 = 0.05;
/// Number of consecutive steps in one direction after which the search restarts.
const MAX_STEPS: u32 = 4;
/// Measurements at the limit for each one at the lower level while the limit is right. More at the
/// lower level would leave slots idle.
const HOLD_MEASUREMENTS: u32 = 10;
/// Largest limit as a multiple of the announced slots.
const MAX_LIMIT_FACTOR: f64 = 16.0;
const MIN_LIMIT: f64 = 2.0;
const MAX_LIMIT: f64 = 100_000.0;
/// Settling time after a change of level, in multiples of the mean total time of a request.
const SETTLE_FACTOR: f64 = 2.0;
/// Fraction of the limit that applies when an upstream has just announced itself.
const RAMP_START_FRACTION: f64 = 0.25;
/// Time after an announcement until the full limit applies.
const RAMP_DURATION: Duration = Duration::from_secs(2);
/// Weight of a new completion in the exponentially weighted mean times.
const MEAN_WEIGHT: f64 = 0.05;

/// Concurrency during a measurement: the limit, or a fraction of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Level {
    High,
    Low,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Mode {
    /// Searches for the number of slots by factors of two; at `unsaturated_limit` the upstream
    /// had spare capacity.
    Search { unsaturated_limit: f64 },
    /// Tracks the slots in small steps; `steps` counts consecutive steps, negative if downwards.
    Track { steps: i32 },
}

/// An adaptive concurrency limit.
#[derive(Debug)]
pub struct ConcurrencyLimit {
    limit: f64,
    max_limit: f64,
    announced_at: Timestamp,
    mode: Mode,
    level: Level,
    /// Measurements at the limit left before the next one at the lower level.
    hold_measurements: u32,
    /// Completions before this time are ignored, as their requests started at the other level.
    measure_from: Timestamp,
    /// Completions in the current measurement.
    completions: u32,
    /// Completions in the current measurement at which the limit was binding.
    binding_completions: u32,
    /// Sum of the own times of the completions in the current measurement.
    sum_own_s: f64,
    /// Mean own time of the last measurement at the higher level.
    high_mean_own_s: f64,
    own_time: MeanTime,
    mean_total_s: f64,
}

impl Limit for ConcurrencyLimit {
    fn new(now: Timestamp, slots: u32) -> Self {
        let limit = f64::from(slots).clamp(MIN_LIMIT, MAX_LIMIT);
        Self {
            limit,
            max_limit: (limit * MAX_LIMIT_FACTOR).min(MAX_LIMIT),
            announced_at: now,
            mode: Mode::Search { unsaturated_limit: 0.0 },
            level: Level::High,
            hold_measurements: 0,
            measure_from: now + RAMP_DURATION,
            completions: 0,
            binding_completions: 0,
            sum_own_s: 0.0,
            high_mean_own_s: 0.0,
            own_time: MeanTime::new(MEAN_WEIGHT),
            mean_total_s: 0.0,
        }
    }

    fn current_limit(&self, now: Timestamp) -> u32 {
        let level = match self.level {
            Level::High => 1.0,
            Level::Low => self.low_level(),
        };
        let age = now.saturating_sub(self.announced_at);
        let ramp_fraction = match age < RAMP_DURATION {
            true => {
                RAMP_START_FRACTION
                    + (1.0 - RAMP_START_FRACTION) * age.as_secs_f64() / RAMP_DURATION.as_secs_f64()
            }
            false => 1.0,
        };
        (self.limit * level * ramp_fraction).round().max(1.0) as u32
    }

    fn recent_own_time(&self, now: Timestamp) -> Duration {
        self.own_time.recent_mean(now)
    }

    fn mean_own_time(&self) -> Duration {
        self.own_time.mean()
    }

    fn record_completion(
        &mut self,
        now: Timestamp,
        own_time: Duration,
        total_time: Duration,
        is_at_limit: bool,
    ) {
        let total_s = total_time.as_secs_f64();
        self.mean_total_s += MEAN_WEIGHT * (total_s - self.mean_total_s);
        let own_s = own_time.as_secs_f64();
        self.own_time.record(now, own_time);
        if now < self.measure_from {
            return;
        }
        self.completions += 1;
        self.binding_completions += u32::from(is_at_limit);
        self.sum_own_s += own_s;
        let needed = match self.mode {
            Mode::Search { .. } => SEARCH_COMPLETIONS,
            Mode::Track { .. } => TRACK_COMPLETIONS,
        };
        if self.completions >= needed {
            self.finish_measurement(now);
        }
    }
}

impl ConcurrencyLimit {
    fn low_level(&self) -> f64 {
        match self.mode {
            Mode::Search { .. } => SEARCH_LOW_LEVEL,
            Mode::Track { .. } => TRACK_LOW_LEVEL,
        }
    }

    fn finish_measurement(&mut self, now: Timestamp) {
        let mean_own_s = self.sum_own_s / f64::from(self.completions);
        let was_binding = f64::from(self.binding_completions)
            >= MIN_BINDING_FRACTION * f64::from(self.completions);
        (self.completions, self.binding_completions, self.sum_own_s) = (0, 0, 0.0);
        if !was_binding {
            // The level did not determine concurrency, so the times cannot be compared.
            if self.level == Level::Low {
                self.switch_level(now, Level::High);
            }
            return;
        }
        match self.level {
            Level::High if self.hold_measurements > 0 => self.hold_measurements -= 1,
            Level::High => {
                self.high_mean_own_s = mean_own_s;
                self.switch_level(now, Level::Low);
            }
            Level::Low => {
                let slope = (self.high_mean_own_s / mean_own_s).ln() / -self.low_level().ln();
                match self.mode {
                    Mode::Search { unsaturated_limit } => {
                        self.adjust_search(slope, unsaturated_limit)
                    }
                    Mode::Track { steps } => self.adjust_tracking(slope, steps),
                }
                self.limit = self.limit.clamp(MIN_LIMIT, self.max_limit);
                self.switch_level(now, Level::High);
            }
        }
    }

    fn switch_level(&mut self, now: Timestamp, level: Level) {
        self.level = level;
        // Waits until requests that started at the other level have ended. The time of nested calls
        // is included, as requests may occupy their slots during these.
        self.measure_from = now + Duration::from_secs_f64(SETTLE_FACTOR * self.mean_total_s);
    }

    fn adjust_search(&mut self, slope: f64, unsaturated_limit: f64) {
        let low_limit = self.limit * SEARCH_LOW_LEVEL;
        if slope < SEARCH_SPARE_SLOPE && self.limit < self.max_limit {
            self.mode = Mode::Search { unsaturated_limit: self.limit };
            self.limit /= SEARCH_LOW_LEVEL;
        } else if slope > SATURATED_SLOPE && unsaturated_limit < low_limit && low_limit > MIN_LIMIT
        {
            self.limit = low_limit;
        } else {
            // Only the higher level is saturated, so the ratio of the two times is the ratio of the
            // limit to the slots.
            let time_ratio = SEARCH_LOW_LEVEL.powf(-slope.clamp(0.0, 1.0));
            self.limit = self.limit / time_ratio * HEADROOM_FACTOR;
            self.mode = Mode::Track { steps: 0 };
        }
    }

    fn adjust_tracking(&mut self, slope: f64, steps: i32) {
        let direction = match slope {
            slope if slope > SATURATED_SLOPE => -1,
            slope if slope < SPARE_SLOPE => 1,
            _ => 0,
        };
        self.limit *= 1.0 + f64::from(direction) * STEP_FRACTION;
        if direction == 0 {
            self.mode = Mode::Track { steps: 0 };
            self.hold_measurements = HOLD_MEASUREMENTS;
            return;
        }
        let steps = if steps * direction > 0 { steps + direction } else { direction };
        self.hold_measurements = 1;
        self.mode = match steps.unsigned_abs() > MAX_STEPS {
            true => Mode::Search { unsaturated_limit: 0.0 },
            false => Mode::Track { steps },
        };
    }
}
