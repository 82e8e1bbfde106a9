//! Which rows owned the idempotency keys of this row's service, version by version.

use std::{collections::VecDeque, time::Duration};

use uuid::Uuid;

use crate::{
    clock::UnixTime,
    membership::{Row, RowState, View, rendezvous},
    names::{Incarnation, InstanceName, ServiceName, TableVersion},
};

/// Epochs that are kept; an ownership older than the oldest counts from the oldest.
const MAX_EPOCHS: usize = 64;

/// One process under one instance name.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RowIdentity {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Process under the name.
    pub incarnation: Incarnation,
}

impl RowIdentity {
    /// Identity of a row.
    pub fn from_row(row: &Row) -> Self {
        Self { instance: row.instance.clone(), incarnation: row.incarnation }
    }

    fn is(&self, row: &Row) -> bool {
        row.instance == self.instance && row.incarnation == self.incarnation
    }
}

/// Consecutive versions with the same active rows of the service.
#[derive(Debug, Clone)]
pub(super) struct Epoch {
    pub(super) first_version: TableVersion,
    pub(super) service: Option<ServiceName>,
    pub(super) members: Vec<Row>,
    /// When this row saw that the epoch's first version is settled.
    pub(super) settled_at: Option<UnixTime>,
}

impl Epoch {
    pub(super) fn owner(&self, key: Uuid) -> Option<&Row> {
        rendezvous::owner(&self.members, key.as_bytes())
    }

    pub(super) fn owner_without(&self, leaver: &RowIdentity, key: Uuid) -> Option<&Row> {
        let rest = self.members.iter().filter(|row| !leaver.is(row));
        rendezvous::owner(rest, key.as_bytes())
    }

    pub(super) fn has(&self, identity: &RowIdentity) -> bool {
        self.members.iter().any(|row| identity.is(row))
    }
}

/// The epochs of the service of one row, the newest last.
#[derive(Debug)]
pub struct History {
    identity: RowIdentity,
    version: TableVersion,
    pub(super) epochs: VecDeque<Epoch>,
}

impl History {
    /// Makes an empty history.
    pub fn new(identity: RowIdentity) -> Self {
        Self { identity, version: 0, epochs: VecDeque::new() }
    }

    /// The row whose history this is.
    pub fn identity(&self) -> &RowIdentity {
        &self.identity
    }

    /// Takes in the view that the node has adopted.
    ///
    /// Settlement counts from the moment when it is seen here, which is never too early.
    pub fn observe(&mut self, view: &View, unix_now: UnixTime, keep: Duration) {
        let table = &view.table;
        if table.version < self.version {
            return;
        }
        if table.version > self.version {
            if self.version == 0 || table.version > self.version + 2 {
                // A version that was not seen may have had another owner.
                self.epochs.clear();
            }
            if table.version > self.version + 1 && table.version > 1 {
                self.push(table.version - 1, &table.previous_rows, unix_now);
            }
            self.push(table.version, &table.rows, unix_now);
            self.version = table.version;
        }
        if view.settled
            && let Some(newest) = self.epochs.back_mut()
        {
            newest.settled_at.get_or_insert(unix_now);
        }
        self.trim(unix_now, keep);
    }

    fn push(&mut self, version: TableVersion, rows: &[Row], unix_now: UnixTime) {
        let (service, members) = members_beside(rows, &self.identity);
        if let Some(newest) = self.epochs.back_mut() {
            // A next version is written only after the one before is settled.
            newest.settled_at.get_or_insert(unix_now);
            let same = newest.members.len() == members.len()
                && newest.members.iter().zip(&members).all(|(a, b)| RowIdentity::from_row(a).is(b));
            if newest.service == service && same {
                return;
            }
        }
        let epoch = Epoch { first_version: version, service, members, settled_at: None };
        self.epochs.push_back(epoch);
    }

    /// Drops epochs that no key within the window can depend on.
    fn trim(&mut self, unix_now: UnixTime, keep: Duration) {
        let is_old = |epoch: &Epoch| epoch.settled_at.is_some_and(|at| at + keep < unix_now);
        while self.epochs.len() > MAX_EPOCHS || self.epochs.get(1).is_some_and(is_old) {
            self.epochs.pop_front();
        }
    }

    /// Tells whether the row is an active member in the newest epoch.
    pub fn is_member(&self) -> bool {
        self.epochs.back().is_some_and(|epoch| epoch.has(&self.identity))
    }

    /// The newest epoch with this row as a member, and its last version.
    pub(super) fn last_membership(&self) -> Option<(&Epoch, TableVersion)> {
        let mut last_version = self.version;
        for epoch in self.epochs.iter().rev() {
            if epoch.has(&self.identity) {
                return Some((epoch, last_version));
            }
            last_version = epoch.first_version - 1;
        }
        None
    }

    /// The last version of an epoch.
    pub(super) fn last_version(&self, index: usize) -> TableVersion {
        match self.epochs.get(index + 1) {
            Some(next) => next.first_version - 1,
            None => self.version,
        }
    }
}

/// The service of a row, and the active rows that offer it.
fn members_beside(rows: &[Row], identity: &RowIdentity) -> (Option<ServiceName>, Vec<Row>) {
    let own = rows.iter().find(|row| identity.is(row));
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
