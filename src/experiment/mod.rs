//! Experiments on overload: a closed event loop on a virtual clock that drives the decision
//! modules of the daemon, with small fakes for the network, the upstreams and the callers.
//!
//! A run is given by a deployment, a scenario, a control and a seed, and the same four always
//! give the same figures.

mod figures;
mod plan;
mod world;

pub use figures::{ClassFigures, Figures, median};
pub use plan::{Bound, Class, Deployment, Fault, Scenario, Service};
pub use world::{Control, Policy, run};
