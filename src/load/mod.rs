//! The load tool: open-loop load on a fleet with checked answers, and measurements of latency and
//! of the control-plane cost.

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
