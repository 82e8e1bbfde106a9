//! Metrics and logging.

mod figures;
mod logging;
mod metrics;

pub use logging::{OWN_MODULES, start_logging};
pub use metrics::{Hop, HopTimer, Metrics, RequestCount, RequestOrigin, Side};
