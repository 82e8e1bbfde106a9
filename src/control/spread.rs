//! Decides when a configuration revision is in force on every node, from one node's evidence about
//! the rows.

use std::time::Duration;

use crate::{
    admin::RowRevision,
    membership::{CLOCK_MARGIN, LEASE_TERM},
    names::Revision,
};

/// State of the rollout of a revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Progress {
    /// Every node that accepts keys has the revision or a newer one in force.
    InForce {
        /// Nodes that are not known to have the revision; their key leases have expired.
        without_lease: Vec<String>,
    },
    /// Nodes that may still accept keys under an older revision, with their newest known revisions.
    Missing(Vec<String>),
}

/// Tracks the rollout of a revision.
#[derive(Debug)]
pub struct RolloutTracker {
    revision: Revision,
    majority_since: Option<Duration>,
}

impl RolloutTracker {
    /// Creates a tracker for a revision that was accepted.
    pub fn new(revision: Revision) -> Self {
        Self { revision, majority_since: None }
    }

    /// Evaluates what is known of the rows at `now`.
    ///
    /// Once a majority of the rows has the revision, every majority contains a row with it, so no
    /// node can find a majority that supports a lease under an older revision. Leases under older
    /// revisions then expire within [`LEASE_TERM`] plus [`CLOCK_MARGIN`].
    pub fn check(&mut self, now: Duration, rows: &[RowRevision]) -> Progress {
        let missing: Vec<&RowRevision> =
            rows.iter().filter(|row| row.revision < self.revision).collect();
        if !rows.is_empty() && (rows.len() - missing.len()) * 2 > rows.len() {
            self.majority_since.get_or_insert(now);
        }
        let leases_have_expired =
            self.majority_since.is_some_and(|since| now >= since + LEASE_TERM + CLOCK_MARGIN);
        let describe = |row: &&RowRevision| match row.age_ms {
            Some(age_ms) => {
                format!("{} (revision {}, heard of {age_ms} ms ago)", row.instance, row.revision)
            }
            None => format!("{} (never heard of)", row.instance),
        };
        if rows.is_empty() {
            return Progress::Missing(vec!["the node has no membership table yet".to_owned()]);
        }
        if missing.is_empty() || leases_have_expired {
            let without_lease = missing.iter().map(|row| row.instance.to_string());
            return Progress::InForce { without_lease: without_lease.collect() };
        }
        Progress::Missing(missing.iter().map(describe).collect())
    }
}
