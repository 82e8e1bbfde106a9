//! Messages about loans, and how many of them a node sends.

use std::time::Duration;

use serde::Serialize;

use crate::{clock::Timestamp, rate::Peer};

/// Name of a loan: the borrower's number of the ask that it answers.
pub type LoanId = u64;

/// Largest fault of a node's clock rate: 500 ppm, the most by which NTP slews a clock.
pub(super) const CLOCK_DRIFT: f64 = 0.000_5;
/// Covers what the drift does not: rounding of times. Terms are rounded down on the wire.
const TERM_ALLOWANCE: Duration = Duration::from_millis(1);
/// Longest term of a loan. A jump of demand to a node whose share is lent waits for it at worst.
pub(super) const MAX_TERM: Duration = Duration::from_secs(2);
/// A shorter loan is not worth its message.
const MIN_TERM: Duration = Duration::from_millis(50);

/// A question for a loan, and what the borrower does with its earlier loans.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct LoanRequest {
    /// Rises with every ask of one borrower for one organisation.
    pub sequence: LoanId,
    /// Rate wanted, in requests a second.
    pub rate_per_s: f64,
    /// Burst capacity wanted.
    pub burst: f64,
    /// Tokens wanted.
    pub tokens: f64,
    /// Term wanted for the new loan and for the renewed ones.
    pub term: Duration,
    /// Loans that should last for the term from now.
    pub renew: Vec<LoanId>,
    /// Loans that the borrower has given up.
    pub returned: Vec<ReturnedLoan>,
}

impl LoanRequest {
    /// The ask is for a new loan.
    pub fn wants_loan(&self) -> bool {
        self.rate_per_s > 0.0 || self.tokens > 0.0 || self.burst > 0.0
    }
}

/// A loan that the borrower has given up before its end.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct ReturnedLoan {
    /// The loan.
    pub id: LoanId,
    /// Tokens that go back with it.
    pub tokens: f64,
}

/// An ask with its addressee.
#[derive(Debug, Clone, PartialEq)]
pub struct OutgoingLoanRequest {
    /// Node that is asked.
    pub lender: Peer,
    /// The ask.
    pub request: LoanRequest,
}

/// The answer to an ask.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct LoanReply {
    /// Rate that moves to the borrower, in requests a second.
    pub rate_per_s: f64,
    /// Burst capacity that moves.
    pub burst: f64,
    /// Tokens that move; at most `burst`.
    pub tokens: f64,
    /// Term of the new loan, counted from before the ask was sent; zero where nothing is lent.
    pub term: Duration,
    /// Loans that were renewed.
    pub renewed: Vec<LoanId>,
    /// Term of the renewed loans, counted in the same way.
    pub renewed_term: Duration,
    /// Tokens that the lender could lend beyond this.
    pub spare_tokens: f64,
    /// Rate that the lender could lend beyond this.
    pub spare_rate_per_s: f64,
}

/// When a loan ends at the lender, and the term that the borrower may count.
///
/// The lender counts from the arrival of the ask, the borrower from before it was sent, and the
/// lender's interval is longer by twice the clock drift and the allowance. So the borrower's
/// term ends first as long as neither clock is off by more than 500 ppm.
pub(super) fn terms(
    now: Timestamp,
    wanted: Duration,
    lease_until: Timestamp,
) -> Option<(Timestamp, Duration)> {
    let wanted = wanted.min(MAX_TERM);
    let longest = wanted.mul_f64(1.0 + 2.0 * CLOCK_DRIFT) + TERM_ALLOWANCE;
    let until = now.saturating_add(longest).min(lease_until);
    let usable = until.saturating_sub(now).saturating_sub(TERM_ALLOWANCE);
    let term = usable.mul_f64(1.0 - 2.0 * CLOCK_DRIFT).min(wanted);
    (term >= MIN_TERM).then_some((until, term))
}

/// Bounds the asks that a node sends for all organisations.
#[derive(Debug, Clone)]
pub struct LoanRequestBudget {
    left: f64,
    updated: Timestamp,
}

impl LoanRequestBudget {
    /// Asks a second.
    pub const PER_SECOND: f64 = 40.0;
    /// Asks at once.
    pub const BURST: f64 = 128.0;

    /// Takes up to `wanted` asks.
    pub fn available(&mut self, now: Timestamp) -> usize {
        let elapsed = now.saturating_sub(self.updated).as_secs_f64();
        self.left = (self.left + elapsed * Self::PER_SECOND).min(Self::BURST);
        self.updated = self.updated.max(now);
        self.left as usize
    }

    /// Counts asks that are sent.
    pub fn spend(&mut self, asks: usize) {
        self.left -= asks as f64;
    }
}

impl Default for LoanRequestBudget {
    fn default() -> Self {
        Self { left: Self::BURST, updated: Duration::ZERO }
    }
}
