//! Metrics and logging.

mod logging;
mod metrics;

pub use logging::{OWN_MODULES, start_logging};
pub use metrics::{Metrics, RequestCount, RequestOrigin};
