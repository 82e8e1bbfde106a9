//! Membership: the table of rows that the nodes of a shard agree on.

mod table;

pub use table::{Row, RowState, Table};
