//! Commands of the operators' tool.

mod client;
mod command;
mod fleet;
mod help;
mod resource;
mod table;

pub use command::{UsageError, run};
pub use help::HELP_COMMANDS;
