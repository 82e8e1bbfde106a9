//! Call chains under overload.
//!
//! Load pattern: for several seconds, a service deep in the call graph refuses half of its arrivals
//! without running them, although it has free slots. A chain with eight calls of the service completes
//! without retries in two of a thousand cases, and the bound on retries pays for those of a few chains
//! only. The guards of the service measure the refused share ([`RefusalMeter`]), it reaches the entry
//! nodes with the replies ([`ServiceRefusals`]), and each entry node begins only the chains whose
//! retries the bound permits ([`ChainAdmission`]); their retries are reserved
//! ([`RetryReservation`]).
//!
//! Where a service is full, [`OrganisationShares`] divides it between organisations of one rank,
//! and [`ReturnPromises`] keeps room for refused callers that return.

mod admission;
mod organisation_shares;
mod recent_decisions;
mod refusal_meter;
mod retry_rank;
mod returns;
mod service_refusals;

pub use admission::{ChainAdmission, ChainVerdict, RetryReservation};
pub use organisation_shares::OrganisationShares;
pub use recent_decisions::RecentDecisions;
pub use refusal_meter::RefusalMeter;
pub use retry_rank::retry_rank;
pub use returns::{ReturnAdvice, ReturnPromises};
pub use service_refusals::ServiceRefusals;
