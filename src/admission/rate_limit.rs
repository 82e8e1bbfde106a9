//! Limit on the rate of requests that an upstream names in its answers.
//!
//! Load pattern: an upstream in need names half of its usual rate for some seconds, and requests for
//! more of it keep arriving from all entry nodes. Answers cross, so one that names a higher limit, or
//! none, may have been sent before one that names a lower limit.

use std::time::Duration;

use crate::clock::Timestamp;

/// Tokens that may be saved up, as time at the limit. The platform allows one and a half times the
/// limit over four seconds; saved tokens count in addition to the limit.
const BURST: Duration = Duration::from_millis(250);
/// Smallest limit, so that a limit of zero still leads to answers that tell its end.
const MIN_PER_S: f64 = 0.5;
/// Time after an answer with a lower limit in which answers with a higher one are ignored.
const RAISE_DELAY: Duration = Duration::from_millis(250);
/// Time after the last answer that named a limit in which answers without one are ignored.
const RELEASE_DELAY: Duration = Duration::from_secs(1);
/// Time from the end of a limit until requests are not limited any more.
const RELEASE_TIME: Duration = Duration::from_secs(5);
/// Time in which the limit doubles after its end. Without a gradual rise, an upstream that has just
/// recovered receives all waiting work of the fleet at once.
const DOUBLING_TIME: Duration = Duration::from_secs(1);

/// Part of a token that may be missing, so that rounding does not delay a request.
const TOLERANCE: f64 = 1e-6;

/// Statement about the rate of requests that an upstream accepts.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum NamedRate {
    /// No limit is named.
    #[default]
    Unlimited,
    /// Requests per second that the upstream accepts from all nodes together; finite, not negative.
    PerSecond(f64),
    /// A limit is named that is not a valid rate.
    Invalid,
}

#[derive(Debug, Clone, Copy)]
struct Limit {
    per_s: f64,
    /// Whether an answer of the upstream to this process named the limit.
    is_confirmed: bool,
    /// Time of the last answer that named any limit.
    named_at: Timestamp,
    /// Time of the last answer that named this limit or a lower one.
    lowest_at: Timestamp,
    /// Time from which no limit is named any more.
    released_at: Option<Timestamp>,
}

/// Token bucket at the rate that an upstream names. Without a named limit it admits everything.
#[derive(Debug, Default)]
pub struct RateLimit {
    limit: Option<Limit>,
    /// Whether an answer of the upstream has been received.
    has_answered: bool,
    tokens: f64,
    filled_at: Timestamp,
}

impl RateLimit {
    /// Forgets the limit, since another upstream has replaced the one that named it.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    /// Records what an answer of the upstream names.
    pub fn record_answer(&mut self, now: Timestamp, named: NamedRate) {
        self.has_answered = true;
        self.refill(now);
        match (named, &mut self.limit) {
            (NamedRate::PerSecond(per_s), Some(limit)) => {
                let per_s = per_s.max(MIN_PER_S);
                limit.named_at = now;
                let may_raise = !limit.is_confirmed
                    || limit.released_at.is_some()
                    || now >= limit.lowest_at + RAISE_DELAY;
                if per_s <= limit.per_s || may_raise {
                    limit.per_s = per_s;
                    limit.lowest_at = now;
                }
                limit.is_confirmed = true;
                limit.released_at = None;
            }
            (NamedRate::PerSecond(per_s), None) => self.begin(now, per_s, true),
            // The upstream is still in need, but how much it accepts cannot be read.
            (NamedRate::Invalid, Some(limit)) => limit.named_at = now,
            (NamedRate::Unlimited, Some(limit)) if !limit.is_confirmed => self.limit = None,
            (NamedRate::Unlimited, Some(limit)) if now >= limit.named_at + RELEASE_DELAY => {
                limit.released_at.get_or_insert(now);
            }
            (NamedRate::Unlimited | NamedRate::Invalid, _) => {}
        }
    }

    /// Records a limit that another node knows from an answer of the upstream. It applies until the
    /// upstream answers this process, which may have started after the limit was named.
    pub fn record_relayed(&mut self, now: Timestamp, per_s: f64) {
        let is_valid = per_s.is_finite() && per_s > 0.0;
        if self.has_answered || !is_valid {
            return;
        }
        match &mut self.limit {
            Some(limit) => limit.per_s = limit.per_s.min(per_s.max(MIN_PER_S)),
            None => self.begin(now, per_s, false),
        }
    }

    fn begin(&mut self, now: Timestamp, per_s: f64, is_confirmed: bool) {
        self.limit = Some(Limit {
            per_s: per_s.max(MIN_PER_S),
            is_confirmed,
            named_at: now,
            lowest_at: now,
            released_at: None,
        });
        // Requests that were sent before count against the limit, so no burst is granted.
        self.tokens = 0.0;
        self.filled_at = now;
    }

    /// Requests per second that may be sent now; `None` without a limit.
    pub fn per_s(&self, now: Timestamp) -> Option<f64> {
        let limit = self.limit.as_ref()?;
        let Some(released_at) = limit.released_at else { return Some(limit.per_s) };
        let since = now.saturating_sub(released_at);
        (since < RELEASE_TIME)
            .then(|| limit.per_s * (since.as_secs_f64() / DOUBLING_TIME.as_secs_f64()).exp2())
    }

    /// Limit that other nodes are to know; `None` without a limit, and after its end.
    pub fn named_per_s(&self) -> Option<f64> {
        let limit = self.limit.as_ref().filter(|limit| limit.released_at.is_none())?;
        Some(limit.per_s)
    }

    /// Takes the token of a request that is about to be sent; `false` if there is none.
    pub fn take(&mut self, now: Timestamp) -> bool {
        if !self.refill(now) {
            return true;
        }
        let is_granted = self.tokens >= 1.0 - TOLERANCE;
        if is_granted {
            self.tokens -= 1.0;
        }
        is_granted
    }

    /// Time until the next token; zero if there is one, or no limit.
    pub fn time_to_token(&mut self, now: Timestamp) -> Duration {
        if !self.refill(now) {
            return Duration::ZERO;
        }
        let missing = 1.0 - self.tokens;
        match self.per_s(now) {
            Some(per_s) if missing > TOLERANCE => Duration::from_secs_f64(missing / per_s),
            _ => Duration::ZERO,
        }
    }

    /// Adds the tokens since the last call, and drops a limit that has ended; returns whether there is
    /// a limit.
    fn refill(&mut self, now: Timestamp) -> bool {
        let Some(per_s) = self.per_s(now) else {
            self.limit = None;
            return false;
        };
        let elapsed_s = now.saturating_sub(self.filled_at).as_secs_f64();
        let capacity = 1.0 + per_s * BURST.as_secs_f64();
        self.tokens = (self.tokens + per_s * elapsed_s).min(capacity);
        self.filled_at = self.filled_at.max(now);
        true
    }
}
