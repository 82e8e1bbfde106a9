//! Rate limits of organisations across all nodes: shares, token buckets and loans.
//!
//! Every node holds a share of an organisation's rate and burst. A loan ([`LoanReply`]) moves
//! rate, burst and tokens from one node to another for a term. At any moment, the burst capacities
//! of all nodes and messages in flight sum to at most the organisation's burst, the rates sum to
//! at most its rate, and no bucket holds more tokens than its capacity. Therefore at most
//! `burst + rate * w` requests are admitted in any window of length `w`.

mod account;
mod demand;
mod loan;
mod planning;

pub use account::{Account, AccountSnapshot, Allowance, Charge, Peer};
pub use demand::Demand;
pub use loan::{
    LoanId, LoanReply, LoanRequest, LoanRequestBudget, OutgoingLoanRequest, ReturnedLoan,
};
pub use planning::jittered;
