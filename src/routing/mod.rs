//! Selection of a target for each request, and refusal of root requests at the first hop.

mod first_hop;
mod targets;

pub use first_hop::{FirstHopAdmission, Pressure, Verdict};
pub use targets::{AttemptResult, Candidate, Targets};
