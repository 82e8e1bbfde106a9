//! Simulation of overload: a discrete-event loop on a virtual clock that runs the policies of the
//! daemon (admission, routing, retries), with simple models of the network, the upstreams and the
//! callers.
//!
//! A run is determined by its deployment, scenario, control and seed: the same four always give
//! the same figures.

mod figures;
mod plan;
mod world;

pub use figures::{ClassFigures, Figures, median};
pub use plan::{Bound, Class, Deployment, Fault, Scenario, Service};
pub use world::{Control, Policy, run};
