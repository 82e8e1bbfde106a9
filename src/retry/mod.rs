//! Retries: the retry budget of a root request, the limit on a node's retries, and Retry-After.

use std::time::Duration;

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use crate::{call::Reason, clock::Timestamp};

/// Maximum number of retries of a root request and all its nested calls together.
pub const ROOT_RETRY_BUDGET: u32 = 3;
/// Maximum ratio of a node's retries to its requests.
const RETRY_RATIO: f64 = 0.1;
/// Maximum number of unused retries that a node accumulates, so that it can retry elsewhere at once
/// when an instance fails.
const MAX_ACCUMULATED_RETRIES: f64 = 20.0;
/// Mean Retry-After while hardly any request is refused.
const MIN_MEAN_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Upper limit of the mean Retry-After.
const MAX_MEAN_RETRY_AFTER: Duration = Duration::from_secs(8);
/// Time constant with which the request counts for Retry-After decay.
const COUNT_TIME_CONSTANT: Duration = Duration::from_secs(2);

/// The part of a retry budget that one hop holds for one call.
///
/// Each attempt carries all but one of the remaining retries. If its reply is lost, and the unused
/// retries with it, the hop can still retry once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HopBudget {
    held: u32,
    sent_with_attempt: u32,
}

impl HopBudget {
    /// Creates the budget of a call that was received with `budget` retries.
    pub fn new(budget: u32) -> Self {
        Self { held: budget, sent_with_attempt: 0 }
    }

    /// Splits off the part to send with the next attempt.
    pub fn split_for_attempt(&mut self) -> u32 {
        self.sent_with_attempt = self.held.saturating_sub(1);
        self.held -= self.sent_with_attempt;
        self.sent_with_attempt
    }

    /// Adds the retries that the attempt did not use, according to its reply; 0 if the reply was
    /// lost.
    pub fn restore_unused(&mut self, unused: u32) {
        // A faulty reply must not increase the budget.
        self.held += unused.min(self.sent_with_attempt);
        self.sent_with_attempt = 0;
    }

    /// Spends one retry. Returns false if none is left.
    pub fn spend_retry(&mut self) -> bool {
        let has_retry = self.held > 0;
        self.held -= u32::from(has_retry);
        has_retry
    }

    /// Retries that this hop has left, to be returned to its caller.
    pub fn remaining(&self) -> u32 {
        self.held
    }
}

/// How an attempt failed, which decides whether it may be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptFailure {
    /// The request did not run.
    NotRun(Reason),
    /// The request may have run.
    Unknown(Reason),
}

/// Whether a failed attempt may be retried at another target.
///
/// A refusal for overload may be retried only if `has_spare_target` is set, that is if another
/// target is known to have spare capacity; otherwise the same class would be refused again.
pub fn may_retry(failure: AttemptFailure, is_idempotent: bool, has_spare_target: bool) -> bool {
    match failure {
        AttemptFailure::NotRun(Reason::Overload) => has_spare_target,
        AttemptFailure::NotRun(
            Reason::NoUpstream | Reason::Leaving | Reason::NoLease | Reason::PeerFailed,
        ) => true,
        AttemptFailure::NotRun(_) => false,
        AttemptFailure::Unknown(Reason::UpstreamFailed | Reason::PeerFailed) => is_idempotent,
        AttemptFailure::Unknown(_) => false,
    }
}

/// Limits a node's retries to a fraction of its requests and computes Retry-After.
#[derive(Debug)]
pub struct RetryControl {
    accumulated_retries: f64,
    requests: u64,
    retries: u64,
    /// Decaying count of the root requests that were not refused.
    served: f64,
    /// Decaying count of the root requests that were refused for overload.
    refused: f64,
    /// Time up to which both counts have decayed.
    counted_at: Timestamp,
    random: ChaCha8Rng,
}

impl RetryControl {
    /// Creates a control without accumulated retries.
    pub fn new(seed: u64) -> Self {
        Self {
            accumulated_retries: 0.0,
            requests: 0,
            retries: 0,
            served: 0.0,
            refused: 0.0,
            counted_at: Timestamp::ZERO,
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Counts a request or an outgoing call.
    pub fn record_request(&mut self) {
        self.requests += 1;
        self.accumulated_retries =
            (self.accumulated_retries + RETRY_RATIO).min(MAX_ACCUMULATED_RETRIES);
    }

    /// Takes one of the accumulated retries. Returns false if there is none.
    pub fn take_retry(&mut self) -> bool {
        if self.accumulated_retries < 1.0 {
            return false;
        }
        self.accumulated_retries -= 1.0;
        self.retries += 1;
        true
    }

    /// Total requests and retries.
    pub fn request_and_retry_counts(&self) -> (u64, u64) {
        (self.requests, self.retries)
    }

    /// Counts a root request that has ended; `is_refused` means refused for overload.
    pub fn record_root_end(&mut self, now: Timestamp, is_refused: bool) {
        let age = now.saturating_sub(self.counted_at);
        let decay = (-age.as_secs_f64() / COUNT_TIME_CONSTANT.as_secs_f64()).exp();
        self.served *= decay;
        self.refused *= decay;
        self.counted_at = now;
        match is_refused {
            true => self.refused += 1.0,
            false => self.served += 1.0,
        }
    }

    /// Time after which a refused caller may retry.
    ///
    /// The mean grows with the ratio of refused to served requests, so that repeated requests stay
    /// in proportion to the served ones. The jitter of 50 % keeps callers that were refused at the
    /// same time from retrying at the same time.
    pub fn retry_after(&mut self) -> Duration {
        let ratio = self.refused / self.served.max(1.0);
        let mean = MIN_MEAN_RETRY_AFTER.mul_f64(1.0 + ratio).min(MAX_MEAN_RETRY_AFTER);
        mean.mul_f64(self.random.random_range(0.5..1.5))
    }
}
