//! Membership: the table of rows that the nodes of a shard agree on, the evidence that it is
//! current, and the leases that this evidence supports.

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

/// How long evidence supports a lease, counted from the time of the evidence.
pub const LEASE_TERM: Duration = Duration::from_secs(4);
/// Added to [`LEASE_TERM`] before a version counts as settled; covers the drift of two clocks over
/// the term.
pub const CLOCK_MARGIN: Duration = Duration::from_millis(500);
/// Age of the newest evidence about a row above which the row is considered dead.
pub const DEAD_AFTER: Duration = Duration::from_secs(5);
/// Time between two rounds of evidence pulls.
pub const PULL_INTERVAL: Duration = Duration::from_millis(500);
/// Rows from which a round pulls evidence. With two, the evidence about a majority was up to 4.5 s
/// old in a trial with 128 rows, 10% of the pulls lost and a third of the rows dead; with three, up
/// to 3.3 s.
pub const PEERS_PER_PULL: usize = 3;
/// Nodes of an availability zone that watch the platform for changes.
pub const READERS_PER_ZONE: usize = 2;
/// Longest time between two calls of [`Membership::handle`] with [`Event::Tick`].
pub const TICK_INTERVAL: Duration = Duration::from_millis(100);
