//! The load tool: open-loop arrivals against a fleet, with checked answers and histograms.

mod hop;
mod plan;
mod plot;
mod report;
mod run;
mod slopes;

pub use hop::{HopReport, measure_hop};
pub use plan::{Plan, RawPlan, RetryPolicy, Stream};
pub use plot::draw_goodput;
pub use report::{Report, StreamReport};
pub use run::run_plan;
pub use slopes::{Sample, SlopeReport, measure_slopes};
