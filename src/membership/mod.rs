//! Membership: the table of rows that the nodes of a shard agree on.

pub mod rendezvous;
mod table;
mod view;

pub use table::{Row, RowState, Table};
pub use view::{Right, View};
