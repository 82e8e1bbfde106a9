//! Metrics in the OpenMetrics format, and logging.

mod figures;
mod logging;
mod metrics;

pub use logging::{LogTarget, OWN_MODULES, dropped_lines, flush_lines, start_logging};
pub use metrics::{Hop, HopTimer, Metrics, RequestCount, RequestOrigin, RequestSource};
