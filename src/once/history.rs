//! The rows that owned the idempotency keys of this node's service in recent table versions.

use std::{collections::VecDeque, time::Duration};

use uuid::Uuid;

use crate::{
    clock::UnixTime,
    membership::{Row, RowState, View, rendezvous},
    names::{Incarnation, InstanceName, ServiceName, TableVersion},
};

/// Limit of the retained epochs. If this node has owned a key for longer, its ownership counts from
/// the oldest retained epoch.
const MAX_EPOCHS: usize = 64;

/// Identity of a row: an instance name and the process that runs under it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RowIdentity {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
}

impl RowIdentity {
    /// Returns the identity of a row.
    pub fn from_row(row: &Row) -> Self {
        Self { instance: row.instance.clone(), incarnation: row.incarnation }
    }

    fn matches(&self, row: &Row) -> bool {
        row.instance == self.instance && row.incarnation == self.incarnation
    }
}

/// A range of consecutive table versions in which the service has the same active rows.
#[derive(Debug, Clone)]
pub(super) struct Epoch {
    pub(super) first_version: TableVersion,
    pub(super) service: Option<ServiceName>,
    pub(super) members: Vec<Row>,
    /// When this node first observed that the epoch's first version was settled.
    pub(super) settled_at: Option<UnixTime>,
}

impl Epoch {
    pub(super) fn owner(&self, key: Uuid) -> Option<&Row> {
        rendezvous::owner(&self.members, key.as_bytes())
    }

    pub(super) fn owner_without(&self, leaver: &RowIdentity, key: Uuid) -> Option<&Row> {
        let rest = self.members.iter().filter(|row| !leaver.matches(row));
        rendezvous::owner(rest, key.as_bytes())
    }

    pub(super) fn has_member(&self, identity: &RowIdentity) -> bool {
        self.members.iter().any(|row| identity.matches(row))
    }
}

/// The epochs of one row's service, the newest last.
#[derive(Debug)]
pub struct History {
    identity: RowIdentity,
    version: TableVersion,
    pub(super) epochs: VecDeque<Epoch>,
}

impl History {
    /// Creates an empty history.
    pub fn new(identity: RowIdentity) -> Self {
        Self { identity, version: 0, epochs: VecDeque::new() }
    }

    /// Returns the identity of the row that this history belongs to.
    pub fn identity(&self) -> &RowIdentity {
        &self.identity
    }

    /// Applies the view that the node has adopted, and drops the epochs that are no longer needed
    /// after `retention`.
    ///
    /// A version counts as settled from the moment when this node observes it, which is never
    /// earlier than the settlement itself.
    pub fn observe(&mut self, view: &View, unix_now: UnixTime, retention: Duration) {
        let table = &view.table;
        if table.version < self.version {
            return;
        }
        if table.version > self.version {
            if self.version == 0 || table.version > self.version + 2 {
                // A version that this node has skipped may have had other owners.
                self.epochs.clear();
            }
            if table.version > self.version + 1 && table.version > 1 {
                self.push_epoch(table.version - 1, &table.previous_rows, unix_now);
            }
            self.push_epoch(table.version, &table.rows, unix_now);
            self.version = table.version;
        }
        if view.is_settled
            && let Some(newest) = self.epochs.back_mut()
        {
            newest.settled_at.get_or_insert(unix_now);
        }
        self.drop_old_epochs(unix_now, retention);
    }

    fn push_epoch(&mut self, version: TableVersion, rows: &[Row], unix_now: UnixTime) {
        let (service, members) = service_and_members(rows, &self.identity);
        if let Some(newest) = self.epochs.back_mut() {
            // The next version is written only after the previous one is settled.
            newest.settled_at.get_or_insert(unix_now);
            let has_same_members = newest.members.len() == members.len()
                && newest
                    .members
                    .iter()
                    .zip(&members)
                    .all(|(a, b)| RowIdentity::from_row(a).matches(b));
            if newest.service == service && has_same_members {
                return;
            }
        }
        let epoch = Epoch { first_version: version, service, members, settled_at: None };
        self.epochs.push_back(epoch);
    }

    /// Drops the oldest epochs beyond [`MAX_EPOCHS`], and those followed by an epoch that settled
    /// more than `retention` ago: no key that may still run depends on them.
    fn drop_old_epochs(&mut self, unix_now: UnixTime, retention: Duration) {
        let is_expired =
            |epoch: &Epoch| epoch.settled_at.is_some_and(|at| at + retention < unix_now);
        while self.epochs.len() > MAX_EPOCHS || self.epochs.get(1).is_some_and(is_expired) {
            self.epochs.pop_front();
        }
    }

    /// Whether the row is an active member in the newest epoch.
    pub fn is_member(&self) -> bool {
        self.epochs.back().is_some_and(|epoch| epoch.has_member(&self.identity))
    }

    /// Returns the newest epoch with this row as a member, and the last version of that epoch.
    pub(super) fn last_epoch_as_member(&self) -> Option<(&Epoch, TableVersion)> {
        let mut last_version = self.version;
        for epoch in self.epochs.iter().rev() {
            if epoch.has_member(&self.identity) {
                return Some((epoch, last_version));
            }
            last_version = epoch.first_version - 1;
        }
        None
    }

    /// Returns the last table version of the epoch at an index.
    pub(super) fn last_version_of(&self, index: usize) -> TableVersion {
        match self.epochs.get(index + 1) {
            Some(next) => next.first_version - 1,
            None => self.version,
        }
    }
}

/// Returns the service of a row and the active rows of that service.
fn service_and_members(rows: &[Row], identity: &RowIdentity) -> (Option<ServiceName>, Vec<Row>) {
    let own = rows.iter().find(|row| identity.matches(row));
    let Some(service) = own.and_then(|row| row.service.clone()) else {
        return (None, Vec::new());
    };
    let active = rows
        .iter()
        .filter(|row| row.state == RowState::Active && row.service.as_ref() == Some(&service))
        .cloned()
        .collect();
    (Some(service), active)
}
