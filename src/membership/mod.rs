//! Membership: the table of rows that the nodes of a shard agree on, the evidence that it is
//! current, and the leases that follow from it.

mod change;
mod codec;
mod evidence;
pub mod rendezvous;
mod state;
mod table;
mod view;

use std::time::Duration;

pub use evidence::{Evidence, RowEvidence};
pub use state::{Action, Adoption, Event, Identity, Membership};
pub use table::{Row, RowState, Table};
pub use view::{Lease, View};

/// Time for which evidence supports a lease.
pub const LEASE_TERM: Duration = Duration::from_secs(4);
/// Added to [`LEASE_TERM`] before a settlement; covers the drift of two clocks over the term.
pub const CLOCK_MARGIN: Duration = Duration::from_millis(500);
/// Age of the newest evidence about a row from which the row counts as dead.
pub const DEAD_AFTER: Duration = Duration::from_secs(5);
/// Time between two rounds of evidence pulls.
pub const PULL_INTERVAL: Duration = Duration::from_millis(500);
/// Rows asked in a round. With two, a majority's state was up to 4.5 s old in a trial with 128
/// rows, 10% of the pulls lost and a third of the rows dead; with three, up to 3.3 s.
pub const PULL_PEERS: usize = 3;
/// Rows of an availability zone that hold a watch at the platform.
pub const READERS_PER_ZONE: usize = 2;
/// Longest time between two calls of [`Membership::handle`] with [`Event::Tick`].
pub const TICK_INTERVAL: Duration = Duration::from_millis(100);
