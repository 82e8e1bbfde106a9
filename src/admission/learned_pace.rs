//! Pace that a node learns from how its upstream answers.
//!
//! Load pattern: an upstream that has started, or is back from a crash, a drain or a limit, gets all waiting
//! work at once and fails under it, or is left idle for too long; another one refuses requests or is
//! slow for reasons that have nothing to do with its load, and would only be idle if it got fewer.
//!
//! The rate rises in steps while answers are good and it is used, and falls at once when they are not. A
//! fall is a trial: if fewer requests do not make the answers better, load was not the cause, the earlier
//! rate is restored, and such answers are not reacted to for a while.

use std::time::Duration;

use crate::clock::Timestamp;

/// Time over which answers are judged.
const PERIOD: Duration = Duration::from_millis(200);
/// Time after a fall of the rate in which requests sent before it are still running; its effect is judged
/// afterwards.
const SETTLE_TIME: Duration = Duration::from_millis(400);
/// Ended requests by which the effect of a fall is judged, and the longest time to wait for them. With few
/// requests, the part of refused ones varies by chance.
const TRIAL_SAMPLES: u32 = 100;
const MAX_TRIAL_TIME: Duration = Duration::from_secs(3);
/// The same if none of them was bad.
const GOOD_TRIAL_SAMPLES: u32 = 20;
/// Least number of ended requests that are judged; a period lasts until then.
const MIN_SAMPLES: u32 = 5;
/// First rate after a start, as a fraction of what the slots permit, and its lower bound.
const FIRST_FRACTION: f64 = 0.1;
const MIN_PER_S: f64 = 4.0;
/// Largest factor of a step up, which also applies until the first fall.
const MAX_STEP_UP: f64 = 1.5;
/// Factor of the first step up after a fall, and by how much each further one in succession is larger.
const STEP_UP: f64 = 1.15;
const STEP_UP_GROWTH: f64 = 0.1;
/// Factor of a fall.
const STEP_DOWN: f64 = 0.7;
/// Fraction of the rate that must have been used for a step up.
const USED_FRACTION: f64 = 0.7;
/// Fraction of refused or failed requests from which answers are bad.
const BAD_FRACTION: f64 = 0.1;
/// Time of answers, as a multiple of their normal time, from which they are bad.
const SLOW_RATIO: f64 = 1.8;
/// Part of the first badness that each fall of the rate must take away; otherwise load is not its cause.
const MIN_IMPROVEMENT: f64 = 0.2;
/// Time for which answers are not reacted to after a fall that did not help; it doubles with each further
/// one up to [`MAX_IGNORE_TIME`].
const IGNORE_TIME: Duration = Duration::from_secs(5);
const MAX_IGNORE_TIME: Duration = Duration::from_secs(40);
/// Part of the rate at a crash that is not exceeded afterwards, and the time in which this bound doubles.
const CRASH_FRACTION: f64 = 0.7;
const CEILING_DOUBLING: Duration = Duration::from_secs(120);
/// Factor above what the slots permit at which the rate no longer limits.
const LIFT_FACTOR: f64 = 1.5;
/// Weight of a period in the normal time of answers.
const NORMAL_WEIGHT: f64 = 0.02;
/// Tokens that may be saved up, as time at the rate.
const BURST: Duration = Duration::from_millis(100);
/// Part of a token that may be missing, so that rounding does not delay a request.
const TOLERANCE: f64 = 1e-6;

/// What has ended in a period.
#[derive(Debug, Clone, Copy, Default)]
struct Period {
    began: Timestamp,
    started: u32,
    answered: u32,
    bad: u32,
    time_s: f64,
}

impl Period {
    fn ended(&self) -> u32 {
        self.answered + self.bad
    }

    /// Requests that were started in a second.
    fn started_per_s(&self, now: Timestamp) -> f64 {
        let span_s = now.saturating_sub(self.began).max(PERIOD).as_secs_f64();
        f64::from(self.started) / span_s
    }

    /// How bad the answers were: 0 where they were good, else by how much they pass what is good.
    fn badness(&self, normal_s: Option<f64>) -> f64 {
        let bad_fraction = f64::from(self.bad) / f64::from(self.ended().max(1));
        let refused = if bad_fraction > BAD_FRACTION { bad_fraction } else { 0.0 };
        let mean_s = self.time_s / f64::from(self.answered.max(1));
        let slow = match normal_s {
            Some(normal_s) if self.answered > 0 && mean_s > SLOW_RATIO * normal_s => {
                mean_s / normal_s - 1.0
            }
            _ => 0.0,
        };
        refused + slow
    }
}

/// One or several falls of the rate whose effect is not known yet.
#[derive(Debug, Clone, Copy)]
struct Trial {
    /// Rate before the first fall; `None` if it was not limited.
    before: Option<f64>,
    /// Badness before the first fall.
    badness: f64,
    falls: u32,
    /// What has ended since the last fall had settled.
    ended: Period,
}

/// Finds the rate of requests that an upstream takes.
#[derive(Debug, Default)]
pub struct LearnedPace {
    is_enabled: bool,
    /// Requests per second; `None` while the slots alone limit.
    per_s: Option<f64>,
    /// Requests per second that the slots permit at the normal time of answers.
    slots: f64,
    normal_s: Option<f64>,
    period: Period,
    trial: Option<Trial>,
    /// Factor of the next step up.
    step_up: f64,
    ignored_until: Timestamp,
    ignore_time: Duration,
    /// Rate above which the upstream has crashed, and the time of the crash.
    ceiling: Option<(f64, Timestamp)>,
    tokens: f64,
    filled_at: Timestamp,
}

impl LearnedPace {
    /// Switches the mechanism on or off; while it is off, nothing is limited.
    pub fn set_enabled(&mut self, is_enabled: bool) {
        if self.is_enabled != is_enabled {
            *self = Self { is_enabled, slots: self.slots, ..Self::default() };
        }
    }

    /// Sets the number of requests that the upstream runs at the same time.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = f64::from(slots);
    }

    /// Requests per second that may be started; `None` without a limit.
    pub fn per_s(&self, now: Timestamp) -> Option<f64> {
        let per_s = self.per_s.filter(|_| self.is_enabled)?;
        Some(self.ceiling_at(now).map_or(per_s, |ceiling| per_s.min(ceiling)))
    }

    /// The upstream has started, or is back from a state in which it got no requests or few.
    pub fn begin(&mut self, now: Timestamp) {
        if !self.is_enabled {
            return;
        }
        self.per_s = Some(self.first_per_s());
        self.trial = None;
        self.step_up = MAX_STEP_UP;
        self.tokens = 0.0;
        self.period = Period { began: now, ..Period::default() };
    }

    /// The upstream has crashed. Above the rate at which it did, it would crash again.
    pub fn record_crash(&mut self, now: Timestamp) {
        if !self.is_enabled {
            return;
        }
        let rate = self.per_s(now).unwrap_or_else(|| self.period.started_per_s(now));
        let ceiling = (rate * CRASH_FRACTION).max(MIN_PER_S);
        let known = self.ceiling_at(now);
        self.ceiling = Some((known.map_or(ceiling, |known| known.min(ceiling)), now));
        self.begin(now);
    }

    /// Records the start of a request.
    pub fn take(&mut self, now: Timestamp) {
        if !self.is_enabled {
            return;
        }
        self.refill(now);
        self.tokens -= 1.0;
        if self.period.began.is_zero() {
            self.period.began = now;
        }
        self.advance_to(now);
        self.period.started += 1;
    }

    /// Records an answer that took this time.
    pub fn record_answer(&mut self, now: Timestamp, time: Duration) {
        if !self.is_enabled {
            return;
        }
        self.period.answered += 1;
        self.period.time_s += time.as_secs_f64();
        self.advance_to(now);
    }

    /// Records a request that the upstream refused or did not answer.
    pub fn record_failure(&mut self, now: Timestamp) {
        if !self.is_enabled {
            return;
        }
        self.period.bad += 1;
        self.advance_to(now);
    }

    /// Time until a request may be started; zero if it may be started now.
    pub fn time_to_token(&mut self, now: Timestamp) -> Duration {
        self.refill(now);
        let Some(per_s) = self.per_s(now) else { return Duration::ZERO };
        let missing = 1.0 - self.tokens;
        match missing > TOLERANCE {
            true => Duration::from_secs_f64(missing / per_s),
            false => Duration::ZERO,
        }
    }

    fn refill(&mut self, now: Timestamp) {
        let elapsed = now.saturating_sub(self.filled_at);
        self.filled_at = self.filled_at.max(now);
        match self.per_s(now) {
            Some(per_s) => {
                let capacity = 1.0 + per_s * BURST.as_secs_f64();
                self.tokens = (self.tokens + per_s * elapsed.as_secs_f64()).min(capacity);
            }
            None => self.tokens = 0.0,
        }
    }

    fn first_per_s(&self) -> f64 {
        let first = self.capacity_per_s().map_or(self.slots, |it| it * FIRST_FRACTION);
        first.max(MIN_PER_S)
    }

    /// What the slots permit at the normal time of answers.
    fn capacity_per_s(&self) -> Option<f64> {
        self.normal_s.map(|normal_s| self.slots / normal_s.max(0.001))
    }

    fn ceiling_at(&self, now: Timestamp) -> Option<f64> {
        let (per_s, at) = self.ceiling?;
        let age_s = now.saturating_sub(at).as_secs_f64();
        Some(per_s * (age_s / CEILING_DOUBLING.as_secs_f64()).exp2())
    }

    /// Judges the period if it has ended.
    fn advance_to(&mut self, now: Timestamp) {
        let period = self.period;
        if now < period.began + PERIOD || period.ended() < MIN_SAMPLES {
            return;
        }
        self.period = Period { began: now, ..Period::default() };
        let badness = period.badness(self.normal_s);
        if let Some(mut trial) = self.trial.take() {
            if period.began >= trial.ended.began {
                trial.ended.answered += period.answered;
                trial.ended.bad += period.bad;
                trial.ended.time_s += period.time_s;
            }
            let ended = trial.ended.ended();
            let is_judged = ended >= TRIAL_SAMPLES
                || ended >= GOOD_TRIAL_SAMPLES && trial.ended.badness(self.normal_s) == 0.0
                || now >= trial.ended.began + MAX_TRIAL_TIME && ended >= MIN_SAMPLES;
            if !is_judged {
                self.trial = Some(trial);
                return;
            }
            let badness = trial.ended.badness(self.normal_s);
            let expected = trial.badness * (1.0 - MIN_IMPROVEMENT * f64::from(trial.falls));
            if badness > expected.max(0.0) {
                self.per_s = trial.before;
                self.ignore_time = (self.ignore_time * 2).clamp(IGNORE_TIME, MAX_IGNORE_TIME);
                self.ignored_until = now + self.ignore_time;
            } else if badness > 0.0 {
                self.fall(now, &period, trial);
            } else {
                self.ignore_time = Duration::ZERO;
            }
            return;
        }
        if badness > 0.0 && now >= self.ignored_until {
            let trial = Trial { before: self.per_s, badness, falls: 0, ended: Period::default() };
            self.fall(now, &period, trial);
            return;
        }
        self.record_normal(&period, badness);
        let Some(per_s) = self.per_s else { return };
        if period.started_per_s(now) < USED_FRACTION * per_s {
            return;
        }
        let next = per_s * self.step_up;
        self.step_up = (self.step_up + STEP_UP_GROWTH).min(MAX_STEP_UP);
        let is_lifted = self.capacity_per_s().is_some_and(|it| next > LIFT_FACTOR * it);
        self.per_s =
            (!is_lifted || self.ceiling_at(now).is_some_and(|it| it < next)).then_some(next);
    }

    /// Lowers the rate below what was started in the last period.
    fn fall(&mut self, now: Timestamp, period: &Period, trial: Trial) {
        let used = self.per_s.unwrap_or(f64::INFINITY).min(period.started_per_s(now));
        self.per_s = Some((used * STEP_DOWN).max(MIN_PER_S));
        self.step_up = STEP_UP;
        let ended = Period { began: now + SETTLE_TIME, ..Period::default() };
        self.trial = Some(Trial { falls: trial.falls + 1, ended, ..trial });
    }

    /// Learns the normal time of answers. That of an upstream that stays slow for a reason other than its
    /// load becomes the normal one in some ten seconds.
    fn record_normal(&mut self, period: &Period, badness: f64) {
        if period.answered == 0 {
            return;
        }
        let mean_s = period.time_s / f64::from(period.answered);
        let weight = if badness > 0.0 { 2.0 * NORMAL_WEIGHT } else { NORMAL_WEIGHT };
        self.normal_s = Some(match self.normal_s {
            // A faster answer shows what the upstream can do.
            Some(normal_s) if mean_s < normal_s => normal_s + 5.0 * weight * (mean_s - normal_s),
            Some(normal_s) => normal_s + weight * (mean_s - normal_s),
            None => mean_s,
        });
    }
}
