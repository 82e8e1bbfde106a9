//! Commands of the operators' tool.

mod client;
mod command;

pub use command::{USAGE, run};
