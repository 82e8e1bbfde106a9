//! The concurrency limit of an upstream, found from its own completion times.
//!
//! While the limit binds, it alternates between two levels. Below saturation the upstream's own
//! time is the same at both; beyond saturation it grows in proportion to the level. The slope
//! between the two tells on which side the limit is, without a notion of a normal time, so a
//! slowed upstream does not pull its limit down.

use std::time::Duration;

use crate::clock::Timestamp;

/// The lower level as a part of the limit.
const LOW_LEVEL: f64 = 0.85;
/// Completions that make one measurement.
const MEASURE_COMPLETIONS: u32 = 150;
/// Part of those at which the limit must have bound.
const BINDING_PART: f64 = 0.9;
/// Slope beyond which the upstream is saturated at both levels; 1 in theory.
const SATURATED_SLOPE: f64 = 0.9;
/// Slope below which the upstream has room at both levels; 0 in theory.
const ROOM_SLOPE: f64 = 0.5;
/// Change of the limit after a measurement.
const STEP: f64 = 0.05;
/// Largest step, reached when measurements agree one after another.
const MAX_STEP: f64 = 0.3;
const MIN_LIMIT: f64 = 2.0;
const MAX_LIMIT: f64 = 100_000.0;
/// A new upstream starts with this part of its slots, and has all of them after `RAMP`.
const RAMP_START: f64 = 0.25;
const RAMP: Duration = Duration::from_secs(2);
/// Weight of a new completion in the mean own time.
const MEAN_WEIGHT: f64 = 0.05;
/// Without completions for this long, the mean says nothing about the next request.
const MEAN_LIFETIME: Duration = Duration::from_secs(1);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Level {
    High,
    Low,
}

/// An adaptive concurrency limit.
#[derive(Debug)]
pub struct ConcurrencyLimit {
    limit: f64,
    announced_at: Timestamp,
    level: Level,
    /// Completions before this time belong to requests of the other level.
    measure_from: Timestamp,
    completions: u32,
    binding: u32,
    sum_s: f64,
    high_mean_s: Option<f64>,
    step: f64,
    mean_s: f64,
    mean_at: Timestamp,
}

impl ConcurrencyLimit {
    /// Starts with the slots that the upstream announced, which may be wrong.
    pub fn new(now: Timestamp, slots: u32) -> Self {
        Self {
            limit: f64::from(slots).clamp(MIN_LIMIT, MAX_LIMIT),
            announced_at: now,
            level: Level::High,
            measure_from: now + RAMP,
            completions: 0,
            binding: 0,
            sum_s: 0.0,
            high_mean_s: None,
            step: 0.0,
            mean_s: 0.0,
            mean_at: now,
        }
    }

    /// The limit in force.
    pub fn current(&self, now: Timestamp) -> u32 {
        let level = match self.level {
            Level::High => 1.0,
            Level::Low => LOW_LEVEL,
        };
        let age = now.saturating_sub(self.announced_at);
        let ramp = match age < RAMP {
            true => RAMP_START + (1.0 - RAMP_START) * age.as_secs_f64() / RAMP.as_secs_f64(),
            false => 1.0,
        };
        (self.limit * level * ramp).round().max(1.0) as u32
    }

    /// Mean own time of the upstream; zero where there was no completion lately.
    pub fn own_time(&self, now: Timestamp) -> Duration {
        match now < self.mean_at + MEAN_LIFETIME {
            true => self.mean_own_time(),
            false => Duration::ZERO,
        }
    }

    /// Mean own time of the upstream, however old.
    pub fn mean_own_time(&self) -> Duration {
        Duration::from_secs_f64(self.mean_s)
    }

    /// A request has been answered; `at_limit` tells whether others waited for its slot.
    pub fn completed(&mut self, now: Timestamp, own_time: Duration, at_limit: bool) {
        let own_s = own_time.as_secs_f64();
        self.mean_s = match self.mean_s > 0.0 {
            true => self.mean_s + MEAN_WEIGHT * (own_s - self.mean_s),
            false => own_s,
        };
        self.mean_at = now;
        if now < self.measure_from {
            return;
        }
        self.completions += 1;
        self.binding += u32::from(at_limit);
        self.sum_s += own_s;
        if self.completions >= MEASURE_COMPLETIONS {
            self.measured(now);
        }
    }

    fn measured(&mut self, now: Timestamp) {
        let mean_s = self.sum_s / f64::from(self.completions);
        let bound = f64::from(self.binding) >= BINDING_PART * f64::from(self.completions);
        (self.completions, self.binding, self.sum_s) = (0, 0, 0.0);
        if !bound {
            // The level did not decide how many ran, so the times cannot be compared.
            self.level = Level::High;
            self.high_mean_s = None;
            return;
        }
        match (self.level, self.high_mean_s) {
            (Level::High, _) => {
                self.high_mean_s = Some(mean_s);
                self.level = Level::Low;
            }
            (Level::Low, Some(high_s)) => {
                self.adjust((high_s / mean_s).ln() / -LOW_LEVEL.ln());
                self.high_mean_s = None;
                self.level = Level::High;
            }
            (Level::Low, None) => self.level = Level::High,
        }
        self.measure_from = now + self.mean_own_time();
    }

    fn adjust(&mut self, slope: f64) {
        let direction = match slope {
            slope if slope > SATURATED_SLOPE => -1.0,
            slope if slope < ROOM_SLOPE => 1.0,
            _ => 0.0,
        };
        self.step = match direction * self.step > 0.0 {
            true => (self.step * 1.5).clamp(-MAX_STEP, MAX_STEP),
            false => direction * STEP,
        };
        self.limit = (self.limit * (1.0 + self.step)).clamp(MIN_LIMIT, MAX_LIMIT);
    }
}
