//! The operators' command line tool, `hibiscusctl`.

mod client;
mod command;
mod fleet;
mod help;
mod resource;
mod spread;
mod table;

pub use command::{UsageError, run};
pub use help::HELP_COMMANDS;
pub use spread::{Progress, RolloutTracker};
