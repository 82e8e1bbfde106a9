//! Retries: the budget of a request, the bound on a node's retries, and Retry-After.

use std::time::Duration;

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use crate::{call::Reason, clock::Timestamp};

/// Retries that a root request and all calls below it may spend together.
pub const ROOT_RETRY_BUDGET: u32 = 3;
/// Retries that a node may make for each request.
const RETRY_RATIO: f64 = 0.1;
/// Retries that a node may save up, so that a failing instance is passed over at once.
const MAX_SAVED_RETRIES: f64 = 20.0;
/// Shortest mean Retry-After.
const BASE_DELAY: Duration = Duration::from_millis(500);
/// Longest mean Retry-After.
const MAX_DELAY: Duration = Duration::from_secs(8);
/// Time constant of the counts behind Retry-After.
const COUNT_DECAY: Duration = Duration::from_secs(2);

/// The part of a retry budget that one hop holds for one call.
///
/// One retry is kept back from what goes down with an attempt, so that the hop can still try
/// again when the reply, and with it the rest of the budget, is lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HopBudget {
    held: u32,
    below: u32,
}

impl HopBudget {
    /// Takes over a budget.
    pub fn new(budget: u32) -> Self {
        Self { held: budget, below: 0 }
    }

    /// Splits off the part that goes down with the next attempt.
    pub fn split_for_attempt(&mut self) -> u32 {
        self.below = self.held.saturating_sub(1);
        self.held -= self.below;
        self.below
    }

    /// The attempt ended and `unused` of its part came back; a lost reply returns none.
    pub fn restore_unused(&mut self, unused: u32) {
        // A faulty reply must not create budget.
        self.held += unused.min(self.below);
        self.below = 0;
    }

    /// Spends one retry; false where none is left.
    pub fn spend(&mut self) -> bool {
        let left = self.held > 0;
        self.held -= u32::from(left);
        left
    }

    /// What is left for others.
    pub fn remaining(&self) -> u32 {
        self.held
    }
}

/// What one attempt came to, as far as a retry depends on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptFailure {
    /// It did not run.
    NotRun(Reason),
    /// It may have run.
    Unknown(Reason),
}

/// Tells whether an attempt may be followed by another one at another target.
///
/// `room_elsewhere` tells whether another target is known to have room; a refusal for overload
/// is otherwise final, since the same class would be refused again.
pub fn may_retry(end: AttemptFailure, idempotent: bool, room_elsewhere: bool) -> bool {
    match end {
        AttemptFailure::NotRun(Reason::Overload) => room_elsewhere,
        AttemptFailure::NotRun(
            Reason::NoUpstream | Reason::Leaving | Reason::NoLease | Reason::PeerFailed,
        ) => true,
        AttemptFailure::NotRun(_) => false,
        AttemptFailure::Unknown(Reason::UpstreamFailed | Reason::PeerFailed) => idempotent,
        AttemptFailure::Unknown(_) => false,
    }
}

/// Bounds a node's retries to a part of its requests and chooses Retry-After.
#[derive(Debug)]
pub struct RetryControl {
    saved: f64,
    requests: u64,
    retries: u64,
    served: f64,
    refused: f64,
    counted_at: Timestamp,
    random: ChaCha8Rng,
}

impl RetryControl {
    /// Makes a control that has saved up no retries.
    pub fn new(seed: u64) -> Self {
        Self {
            saved: 0.0,
            requests: 0,
            retries: 0,
            served: 0.0,
            refused: 0.0,
            counted_at: Timestamp::ZERO,
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// A request or an outgoing call begins.
    pub fn record_request(&mut self) {
        self.requests += 1;
        self.saved = (self.saved + RETRY_RATIO).min(MAX_SAVED_RETRIES);
    }

    /// Takes the right to one retry.
    pub fn take_retry(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        self.retries += 1;
        true
    }

    /// Requests and retries so far.
    pub fn counts(&self) -> (u64, u64) {
        (self.requests, self.retries)
    }

    /// A root request ended, refused for overload or not.
    pub fn record_root_end(&mut self, now: Timestamp, refused: bool) {
        let age = now.saturating_sub(self.counted_at);
        let keep = (-age.as_secs_f64() / COUNT_DECAY.as_secs_f64()).exp();
        self.served *= keep;
        self.refused *= keep;
        self.counted_at = now;
        match refused {
            true => self.refused += 1.0,
            false => self.served += 1.0,
        }
    }

    /// When a refused caller may send again.
    ///
    /// The mean grows with the number of refusals for each served request, so that re-sends stay
    /// in proportion to what is served, and the jitter of half the mean keeps callers that were
    /// refused together from coming back together.
    pub fn retry_after(&mut self) -> Duration {
        let ratio = self.refused / self.served.max(1.0);
        let mean = BASE_DELAY.mul_f64(1.0 + ratio).min(MAX_DELAY);
        mean.mul_f64(self.random.random_range(0.5..1.5))
    }
}
