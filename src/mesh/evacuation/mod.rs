//! Evacuation of availability zones: the first hub reads from the store which zones are evacuated, and the
//! exchanges between nodes distribute it. Entry nodes send nothing to the instances of an evacuated zone,
//! and guards there refuse requests without running them.

mod state;
mod watch;

pub use state::{Evacuations, ZoneState};
pub(super) use watch::{apply_stated, refuse_root, retry_after, run, to_proto};
