//! When a revision is in force everywhere, from what one node knows of the others.

use std::time::Duration;

use crate::{
    admin::RowRevision,
    membership::{CLOCK_MARGIN, LEASE_TERM},
    names::Revision,
};

/// How far a revision has spread.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Progress {
    /// Every node that may accept keys does so under the revision, or a newer one.
    InForce {
        /// Nodes that do not hold the revision and whose key lease has expired.
        without_lease: Vec<String>,
    },
    /// These nodes may accept keys under an older revision.
    Missing(Vec<String>),
}

/// Follows the spread of a revision.
#[derive(Debug)]
pub struct RolloutTracker {
    revision: Revision,
    majority_since: Option<Duration>,
}

impl RolloutTracker {
    /// Starts to follow a revision that was accepted.
    pub fn new(revision: Revision) -> Self {
        Self { revision, majority_since: None }
    }

    /// Judges what is known of the rows at `now`.
    ///
    /// Once a majority of the rows holds the revision, no node finds a majority without it, so
    /// every lease under an older revision ends within [`LEASE_TERM`].
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
