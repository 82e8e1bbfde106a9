//! Messages that request and grant loans, and the limit on how many requests a node sends.

use std::time::Duration;

use serde::Serialize;

use crate::{clock::Timestamp, rate::Peer};

/// Identifies a loan of one borrower: the sequence number of the request that it was granted for.
pub type LoanId = u64;

/// Largest relative error of a node's clock rate: 500 ppm, the maximum rate at which NTP slews a
/// clock.
pub(super) const MAX_CLOCK_DRIFT: f64 = 0.000_5;
/// Covers rounding of times, which the drift does not. Terms are rounded down to milliseconds on
/// the wire.
const ROUNDING_ALLOWANCE: Duration = Duration::from_millis(1);
/// Longest term of a loan. A node that has lent its share waits at most this long for it when
/// demand jumps to that node.
pub(super) const MAX_TERM: Duration = Duration::from_secs(2);
/// Shortest term of a loan; a shorter one is not worth its message.
const MIN_TERM: Duration = Duration::from_millis(50);

/// A request for a new loan, for renewals of loans, or to return loans early.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct LoanRequest {
    /// Increases with every request of one borrower for one organisation.
    pub sequence: LoanId,
    /// Requested rate, in requests per second.
    pub rate_per_s: f64,
    /// Requested burst capacity, in requests.
    pub burst: f64,
    /// Requested tokens.
    pub tokens: f64,
    /// Requested term of the new loan and of the renewed ones.
    pub term: Duration,
    /// Loans to extend by the term, counted from now.
    pub renew: Vec<LoanId>,
    /// Loans that the borrower returns early.
    pub returned: Vec<ReturnedLoan>,
}

impl LoanRequest {
    /// Whether a new loan is requested.
    pub fn wants_loan(&self) -> bool {
        self.rate_per_s > 0.0 || self.tokens > 0.0 || self.burst > 0.0
    }
}

/// A loan that the borrower returns before its end.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct ReturnedLoan {
    /// Identifies the loan.
    pub id: LoanId,
    /// Tokens that are returned with it.
    pub tokens: f64,
}

/// A loan request and the peer that it is sent to.
#[derive(Debug, Clone, PartialEq)]
pub struct OutgoingLoanRequest {
    /// Peer that receives the request.
    pub lender: Peer,
    /// The request.
    pub request: LoanRequest,
}

/// The lender's reply to a loan request.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct LoanReply {
    /// Rate lent to the borrower, in requests per second.
    pub rate_per_s: f64,
    /// Burst capacity lent, in requests.
    pub burst: f64,
    /// Tokens transferred; at most `burst`.
    pub tokens: f64,
    /// Term of the new loan, counted by the borrower from before it sent the request; zero if
    /// nothing is lent.
    pub term: Duration,
    /// Loans that were renewed.
    pub renewed: Vec<LoanId>,
    /// Term of the renewed loans, counted in the same way.
    pub renewed_term: Duration,
    /// Tokens that the lender could lend in addition.
    pub spare_tokens: f64,
    /// Rate that the lender could lend in addition, in requests per second.
    pub spare_rate_per_s: f64,
}

/// Returns when a loan expires at the lender and the term to send to the borrower, or `None` if the
/// term would be too short.
///
/// The lender counts from receipt of the request and the borrower from before it sent it. The
/// lender's term is longer by twice the clock drift plus the rounding allowance, so the loan
/// expires first at the borrower as long as both clocks drift by at most 500 ppm.
pub(super) fn expiry_and_term(
    now: Timestamp,
    requested: Duration,
    lease_until: Timestamp,
) -> Option<(Timestamp, Duration)> {
    let requested = requested.min(MAX_TERM);
    let lender_term = requested.mul_f64(1.0 + 2.0 * MAX_CLOCK_DRIFT) + ROUNDING_ALLOWANCE;
    let until = now.saturating_add(lender_term).min(lease_until);
    let usable = until.saturating_sub(now).saturating_sub(ROUNDING_ALLOWANCE);
    let term = usable.mul_f64(1.0 - 2.0 * MAX_CLOCK_DRIFT).min(requested);
    (term >= MIN_TERM).then_some((until, term))
}

/// Limits the loan requests that a node sends for all organisations together.
#[derive(Debug, Clone)]
pub struct LoanRequestBudget {
    remaining: f64,
    updated_at: Timestamp,
}

impl LoanRequestBudget {
    /// Sustained limit, in requests per second.
    pub const MAX_REQUESTS_PER_S: f64 = 40.0;
    /// Burst limit, in requests.
    pub const MAX_REQUESTS_AT_ONCE: f64 = 128.0;

    /// Number of requests that may be sent now.
    pub fn available_requests(&mut self, now: Timestamp) -> usize {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.remaining =
            (self.remaining + elapsed * Self::MAX_REQUESTS_PER_S).min(Self::MAX_REQUESTS_AT_ONCE);
        self.updated_at = self.updated_at.max(now);
        self.remaining as usize
    }

    /// Deducts requests that are sent.
    pub fn spend(&mut self, requests: usize) {
        self.remaining -= requests as f64;
    }
}

impl Default for LoanRequestBudget {
    fn default() -> Self {
        Self { remaining: Self::MAX_REQUESTS_AT_ONCE, updated_at: Duration::ZERO }
    }
}
