//! The operators' command line tool, `hibiscusctl`.

mod check;
mod client;
mod command;
mod fleet;
mod help;
mod resource;
mod spread;
mod table;

pub use check::CheckFailed;
pub use command::{UsageError, run};
pub use help::HELP_COMMANDS;
pub use spread::{Progress, RolloutTracker};
