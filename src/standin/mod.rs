//! Stand-ins for what the project does not own, the platform and upstreams, and fleets of processes
//! for tests and measurements.

mod faults;
mod fleet;
mod platform;
mod upstream;

pub use faults::{FaultSettings, Faults, FaultyStore};
pub use fleet::{
    FLEET_SECRET, Fleet, FleetNode, FleetOptions, HttpClient, HttpReply, NodeOptions, http_call,
    new_client,
};
pub use platform::run_platform;
pub use upstream::{UpstreamOptions, run_upstream};
