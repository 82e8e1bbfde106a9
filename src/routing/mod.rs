//! Choice of a target among the rows of a service, and refusal at the first hop.

mod first_hop;
mod targets;

pub use first_hop::{FirstHopAdmission, Pressure, Verdict};
pub use targets::{AttemptResult, Candidate, Targets};
