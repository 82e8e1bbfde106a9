//! Rate at which requests are started at an upstream: the limit that the upstream names, its pace
//! while it is cold, and the pace learned from its answers, combined into one rate.
//!
//! Load pattern: an upstream that has just started, or has lost its caches, tolerates a few requests a
//! second and crashes under more; it is cold again when it is back. All entry nodes send it their share
//! of a burst at once, and callers that were refused come back. The guard beside the upstream is the
//! only place that all requests pass, so it holds the total.
//!
//! A statement of the upstream that it is cold arrives up to a heartbeat late. Until then, what has been
//! sent counts: after the statement nothing is started before the requests of the last second are within
//! the bound.

use std::{collections::VecDeque, time::Duration};

use crate::{
    admission::{LearnedPace, RateLimit},
    clock::Timestamp,
};

/// Tokens that may be saved up while the upstream is cold, as time at its pace.
const COLD_BURST: Duration = Duration::from_millis(250);
/// Part of the bound on the requests of a second that is used: requests that were started at even
/// intervals may reach the upstream in bunches.
const BOUND_USE: f64 = 0.8;
/// Time over which requests are counted.
const WINDOW: Duration = Duration::from_secs(1);
/// Time for which an upstream counts as cold after a connection that broke, unless a health check says
/// otherwise.
const DOUBT_TIME: Duration = Duration::from_millis(300);
/// Time after the statement that an upstream is warm in which broken connections are no sign.
const DOUBT_INTERVAL: Duration = Duration::from_secs(1);
/// Time without a call of [`ColdPace::tick`] after which the process must have been paused.
const MAX_TICK_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of starts that are remembered. A larger bound is kept by the token bucket alone.
const MAX_REMEMBERED: usize = 2_048;
/// Part of a token that may be missing, so that rounding does not delay a request.
const TOLERANCE: f64 = 1e-6;

/// What an upstream tolerates while it is cold.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdRate {
    /// Requests per second that it accepts; above 0.
    pub per_s: f64,
    /// Requests that may reach it in any second.
    pub max_in_second: f64,
    /// Time for which it is cold after its start.
    pub duration: Duration,
}

/// Pace of a cold upstream, as its node reports it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PaceReport {
    /// Requests per second that the upstream accepts from all nodes together.
    pub per_s: f64,
    /// Time after which it is expected to be warm.
    pub remaining: Duration,
}

/// Combines the limits on the rate of starts at an upstream.
#[derive(Debug, Default)]
pub struct Pace {
    named: RateLimit,
    cold: ColdPace,
    learned: LearnedPace,
}

impl Pace {
    /// Limit that the upstream names in its answers.
    pub fn named(&self) -> &RateLimit {
        &self.named
    }

    /// The same, to record what the upstream names.
    pub fn named_mut(&mut self) -> &mut RateLimit {
        &mut self.named
    }

    /// Pace of the upstream while it is cold.
    pub fn cold(&self) -> &ColdPace {
        &self.cold
    }

    /// The same, to record what the upstream states.
    pub fn cold_mut(&mut self) -> &mut ColdPace {
        &mut self.cold
    }

    /// Pace learned from the upstream's answers.
    pub fn learned(&self) -> &LearnedPace {
        &self.learned
    }

    /// The same, to record answers.
    pub fn learned_mut(&mut self) -> &mut LearnedPace {
        &mut self.learned
    }

    /// Requests per second that may be started; `None` without a limit.
    pub fn per_s(&self, now: Timestamp) -> Option<f64> {
        let rates = [self.named.per_s(now), self.cold.per_s(now), self.learned.per_s(now)];
        rates.into_iter().flatten().reduce(f64::min)
    }

    /// Time until a request may be started; zero if it may be started now.
    pub fn time_to_token(&mut self, now: Timestamp) -> Duration {
        let stated = self.named.time_to_token(now).max(self.cold.time_to_token(now));
        stated.max(self.learned.time_to_token(now))
    }

    /// Records the start of a request, which [`Self::time_to_token`] must have permitted.
    pub fn take(&mut self, now: Timestamp) {
        self.named.take(now);
        self.cold.take(now);
        self.learned.take(now);
    }
}

/// Token bucket at the pace of a cold upstream, with a bound on the starts of any second. It limits
/// nothing while the upstream is warm or its service has no cold rate.
#[derive(Debug, Default)]
pub struct ColdPace {
    rate: Option<ColdRate>,
    /// End of the cold state by the last heartbeat of the upstream.
    heard_until: Timestamp,
    /// When an answer of the upstream last stated that it is warm.
    warm_at: Timestamp,
    /// End of the cold state by the last answer to a health check or the start of the upstream, or, after a
    /// sign of a crash, of a cold state that is assumed. Heartbeats do not end it: a heartbeat may have been
    /// sent before.
    held_until: Timestamp,
    /// Time of the last call of [`Self::tick`].
    ticked_at: Option<Timestamp>,
    tokens: f64,
    filled_at: Timestamp,
    /// Last starts, as many as may be started in a second.
    starts: VecDeque<Timestamp>,
}

impl ColdPace {
    /// Sets what the upstream tolerates while it is cold; `None` if its service has no cold rate.
    pub fn set_rate(&mut self, rate: Option<ColdRate>) {
        self.rate = rate;
    }

    /// Records the statement of the upstream that it is cold for this time; zero if it is warm.
    ///
    /// `is_current` states whether the statement is certain to be later than all earlier statements and
    /// signs: a heartbeat of the same start may be late.
    pub fn record_statement(&mut self, now: Timestamp, remaining: Duration, is_current: bool) {
        self.refill(now);
        if !is_current {
            self.heard_until = now + remaining;
            return;
        }
        self.heard_until = Timestamp::ZERO;
        self.held_until = now + remaining;
        if remaining.is_zero() {
            self.warm_at = now;
        }
    }

    /// Assumes for a moment that the upstream is cold, after a sign that it may have crashed, unless it has
    /// just stated that it is warm: an upstream that closes connections for other reasons must not be
    /// slowed down by it.
    pub fn doubt(&mut self, now: Timestamp) {
        if self.warm_at.is_zero() || now >= self.warm_at + DOUBT_INTERVAL {
            self.assume_cold(now, DOUBT_TIME);
        }
    }

    /// Assumes that the upstream is cold for at least this time, until a statement says otherwise.
    pub fn assume_cold(&mut self, now: Timestamp, at_least: Duration) {
        self.refill(now);
        self.held_until = self.held_until.max(now + at_least);
    }

    /// Must be called several times a second. A process that does not run for longer was paused, and does
    /// not know what has become of its upstream: it counts as cold until an answer says otherwise. Returns
    /// whether that is so.
    pub fn tick(&mut self, now: Timestamp) -> bool {
        let was_paused = self.assume_cold_after_pause(now);
        self.ticked_at = Some(now);
        was_paused
    }

    fn assume_cold_after_pause(&mut self, now: Timestamp) -> bool {
        let was_paused = self.ticked_at.is_some_and(|at| now > at + MAX_TICK_INTERVAL);
        if let Some(rate) = self.rate.filter(|_| was_paused) {
            self.assume_cold(now, rate.duration);
        }
        was_paused
    }

    /// Rate that the service has for cold upstreams, whether the upstream is cold or not.
    pub fn configured(&self) -> Option<ColdRate> {
        self.rate
    }

    /// Time for which the upstream is still cold; zero if it is warm or its service has no cold rate.
    pub fn remaining(&self, now: Timestamp) -> Duration {
        match self.rate {
            Some(_) => self.heard_until.max(self.held_until).saturating_sub(now),
            None => Duration::ZERO,
        }
    }

    /// Requests per second that may be started; `None` while the upstream is warm.
    pub fn per_s(&self, now: Timestamp) -> Option<f64> {
        self.rate.filter(|_| !self.remaining(now).is_zero()).map(|rate| rate.per_s)
    }

    /// Time until a request may be started; zero if it may be started now.
    pub fn time_to_token(&mut self, now: Timestamp) -> Duration {
        self.assume_cold_after_pause(now);
        self.refill(now);
        let (Some(rate), Some(per_s)) = (self.rate, self.per_s(now)) else { return Duration::ZERO };
        let missing = 1.0 - self.tokens;
        let token = match missing > TOLERANCE {
            true => Duration::from_secs_f64(missing / per_s),
            false => Duration::ZERO,
        };
        let max_in_second = usable_in_second(&rate);
        let window = match self.starts.len().checked_sub(max_in_second) {
            Some(index) if max_in_second <= MAX_REMEMBERED => {
                (self.starts[index] + WINDOW).saturating_sub(now)
            }
            _ => Duration::ZERO,
        };
        token.max(window)
    }

    /// Records the start of a request.
    pub fn take(&mut self, now: Timestamp) {
        let Some(rate) = self.rate else { return };
        self.refill(now);
        self.tokens -= 1.0;
        let max_in_second = usable_in_second(&rate).min(MAX_REMEMBERED);
        while self.starts.len() >= max_in_second {
            self.starts.pop_front();
        }
        self.starts.push_back(now);
    }

    /// Adds the tokens since the last call. A warm upstream has none, so that its next cold state begins
    /// without a burst.
    fn refill(&mut self, now: Timestamp) {
        let elapsed = now.saturating_sub(self.filled_at);
        match self.per_s(self.filled_at.max(now)) {
            Some(per_s) => {
                let capacity = 1.0 + per_s * COLD_BURST.as_secs_f64();
                self.tokens = (self.tokens + per_s * elapsed.as_secs_f64()).min(capacity);
            }
            None => self.tokens = 0.0,
        }
        self.filled_at = self.filled_at.max(now);
    }
}

/// Requests that are started in any second at most.
fn usable_in_second(rate: &ColdRate) -> usize {
    ((rate.max_in_second * BOUND_USE) as usize).max(1)
}
