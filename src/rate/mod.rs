//! Rate and burst of organisations over all nodes: shares, token buckets and loans.
//!
//! Every node holds a share of an organisation's rate and burst. A loan ([`LoanReply`]) moves
//! rate, burst and tokens from one node to another for a term. At any moment the burst capacities
//! of all nodes and of all messages under way sum to at most the organisation's burst, the rates
//! to at most its rate, and no bucket holds more tokens than its capacity. So the requests
//! admitted in a window `w` are at most `burst + rate * w`.

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
