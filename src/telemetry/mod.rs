//! Metrics and logging.

mod logging;
mod metrics;

pub use logging::start_logging;
pub use metrics::Metrics;
