//! The concurrency limit of an upstream, found from its own completion times.
//!
//! While the limit binds, it alternates between two levels. Below saturation the upstream's own
//! time is the same at both; beyond saturation it grows in proportion to the level. The ratio of
//! the two times gives the number of slots, without a notion of a normal time, so a slowed
//! upstream does not pull its limit down.
//!
//! The announced slots may be false, so a search by factors of two comes first. Then the levels
//! lie close together and the limit follows in small steps.

use std::time::Duration;

use crate::{
    admission::{Limit, MeanTime},
    clock::Timestamp,
};

/// The lower level as a part of the limit, in the search and after it.
const SEARCH_LEVEL: f64 = 0.5;
const TRACK_LEVEL: f64 = 0.85;
/// Completions that make one measurement; near levels need more.
const SEARCH_COMPLETIONS: u32 = 60;
const TRACK_COMPLETIONS: u32 = 150;
/// Part of those at which the limit must have bound.
const BINDING_PART: f64 = 0.9;
/// Slope beyond which the upstream is saturated at both levels; 1 in theory.
const SATURATED_SLOPE: f64 = 0.9;
/// Slope below which the upstream has room at both levels; 0 in theory.
const ROOM_SLOPE: f64 = 0.5;
/// The same for the search, whose levels lie further apart.
const SEARCH_ROOM_SLOPE: f64 = 0.15;
/// Limit above the slots that the search has found, so that no slot is idle between requests.
const HEADROOM: f64 = 1.08;
/// Change of the limit after a measurement.
const STEP: f64 = 0.05;
/// Steps in one direction after which the search starts again.
const MAX_STEPS: u32 = 4;
/// Measurements at the limit for each one below it once the limit is right, since slots are idle
/// at the lower level.
const HOLD: u32 = 10;
/// The limit is at most this multiple of the announced slots.
const MAX_FACTOR: f64 = 16.0;
const MIN_LIMIT: f64 = 2.0;
const MAX_LIMIT: f64 = 100_000.0;
/// Wait after a change of level in multiples of the mean time of a request.
const SETTLE_FACTOR: f64 = 2.0;
/// A new upstream starts with this part of its slots, and has all of them after `RAMP`.
const RAMP_START: f64 = 0.25;
const RAMP: Duration = Duration::from_secs(2);
/// Weight of a new completion in the mean own time.
const MEAN_WEIGHT: f64 = 0.05;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Level {
    High,
    Low,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Mode {
    /// Looks for the slots by factors of two; at `room_at` there was room.
    Search { room_at: f64 },
    /// Follows in small steps; counts those in one direction.
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
    /// Measurements left before the next one at the lower level.
    hold: u32,
    /// Completions before this time belong to requests of the other level.
    measure_from: Timestamp,
    completions: u32,
    binding: u32,
    sum_s: f64,
    high_mean_s: f64,
    own_time: MeanTime,
    mean_total_s: f64,
}

impl Limit for ConcurrencyLimit {
    fn new(now: Timestamp, slots: u32) -> Self {
        let limit = f64::from(slots).clamp(MIN_LIMIT, MAX_LIMIT);
        Self {
            limit,
            max_limit: (limit * MAX_FACTOR).min(MAX_LIMIT),
            announced_at: now,
            mode: Mode::Search { room_at: 0.0 },
            level: Level::High,
            hold: 0,
            measure_from: now + RAMP,
            completions: 0,
            binding: 0,
            sum_s: 0.0,
            high_mean_s: 0.0,
            own_time: MeanTime::new(MEAN_WEIGHT),
            mean_total_s: 0.0,
        }
    }

    fn current(&self, now: Timestamp) -> u32 {
        let level = match self.level {
            Level::High => 1.0,
            Level::Low => self.low_level(),
        };
        let age = now.saturating_sub(self.announced_at);
        let ramp = match age < RAMP {
            true => RAMP_START + (1.0 - RAMP_START) * age.as_secs_f64() / RAMP.as_secs_f64(),
            false => 1.0,
        };
        (self.limit * level * ramp).round().max(1.0) as u32
    }

    fn own_time(&self, now: Timestamp) -> Duration {
        self.own_time.recent_mean(now)
    }

    fn mean_own_time(&self) -> Duration {
        self.own_time.mean()
    }

    fn completed(
        &mut self,
        now: Timestamp,
        own_time: Duration,
        total_time: Duration,
        at_limit: bool,
    ) {
        let total_s = total_time.as_secs_f64();
        self.mean_total_s += MEAN_WEIGHT * (total_s - self.mean_total_s);
        let own_s = own_time.as_secs_f64();
        self.own_time.record(now, own_time);
        if now < self.measure_from {
            return;
        }
        self.completions += 1;
        self.binding += u32::from(at_limit);
        self.sum_s += own_s;
        let needed = match self.mode {
            Mode::Search { .. } => SEARCH_COMPLETIONS,
            Mode::Track { .. } => TRACK_COMPLETIONS,
        };
        if self.completions >= needed {
            self.measured(now);
        }
    }
}

impl ConcurrencyLimit {
    fn low_level(&self) -> f64 {
        match self.mode {
            Mode::Search { .. } => SEARCH_LEVEL,
            Mode::Track { .. } => TRACK_LEVEL,
        }
    }

    fn measured(&mut self, now: Timestamp) {
        let mean_s = self.sum_s / f64::from(self.completions);
        let bound = f64::from(self.binding) >= BINDING_PART * f64::from(self.completions);
        (self.completions, self.binding, self.sum_s) = (0, 0, 0.0);
        if !bound {
            // The level did not decide how many ran, so the times cannot be compared.
            if self.level == Level::Low {
                self.switch(now, Level::High);
            }
            return;
        }
        match self.level {
            Level::High if self.hold > 0 => self.hold -= 1,
            Level::High => {
                self.high_mean_s = mean_s;
                self.switch(now, Level::Low);
            }
            Level::Low => {
                let slope = (self.high_mean_s / mean_s).ln() / -self.low_level().ln();
                match self.mode {
                    Mode::Search { room_at } => self.search(slope, room_at),
                    Mode::Track { steps } => self.track(slope, steps),
                }
                self.limit = self.limit.clamp(MIN_LIMIT, self.max_limit);
                self.switch(now, Level::High);
            }
        }
    }

    fn switch(&mut self, now: Timestamp, level: Level) {
        self.level = level;
        // Requests that started at the other level must have ended. Their time in calls counts:
        // an upstream may hold their slots meanwhile.
        self.measure_from = now + Duration::from_secs_f64(SETTLE_FACTOR * self.mean_total_s);
    }

    fn search(&mut self, slope: f64, room_at: f64) {
        let low = self.limit * SEARCH_LEVEL;
        if slope < SEARCH_ROOM_SLOPE && self.limit < self.max_limit {
            self.mode = Mode::Search { room_at: self.limit };
            self.limit /= SEARCH_LEVEL;
        } else if slope > SATURATED_SLOPE && room_at < low && low > MIN_LIMIT {
            self.limit = low;
        } else {
            // The time at the higher level is that of `slots` requests at once, stretched.
            let ratio = SEARCH_LEVEL.powf(-slope.clamp(0.0, 1.0));
            self.limit = self.limit / ratio * HEADROOM;
            self.mode = Mode::Track { steps: 0 };
        }
    }

    fn track(&mut self, slope: f64, steps: i32) {
        let direction = match slope {
            slope if slope > SATURATED_SLOPE => -1,
            slope if slope < ROOM_SLOPE => 1,
            _ => 0,
        };
        self.limit *= 1.0 + f64::from(direction) * STEP;
        if direction == 0 {
            self.mode = Mode::Track { steps: 0 };
            self.hold = HOLD;
            return;
        }
        let steps = if steps * direction > 0 { steps + direction } else { direction };
        self.hold = 1;
        self.mode = match steps.unsigned_abs() > MAX_STEPS {
            true => Mode::Search { room_at: 0.0 },
            false => Mode::Track { steps },
        };
    }
}
