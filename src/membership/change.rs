//! Computes the rows of the next table version from the rows that processes request and the rows
//! that are considered dead.

use std::collections::BTreeMap;

use crate::{
    clock::Timestamp,
    membership::{Row, Table},
    names::{Incarnation, InstanceName},
};

/// A process's request to add, change or remove its own row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct RowRequest {
    pub(super) incarnation: Incarnation,
    /// The requested row; `None` if the process leaves the table.
    pub(super) row: Option<Row>,
}

impl RowRequest {
    /// Whether the table already agrees with the request, or has a row of a later process of the
    /// instance.
    pub(super) fn is_met(&self, instance: &str, table: &Table) -> bool {
        match (&self.row, table.row(instance)) {
            (Some(row), Some(existing)) => {
                row == existing || existing.incarnation > self.incarnation
            }
            (Some(_), None) => false,
            (None, Some(existing)) => existing.incarnation != self.incarnation,
            (None, None) => true,
        }
    }
}

/// Row requests of other processes; each expires unless it is repeated.
#[derive(Debug, Default)]
pub(super) struct RowRequests {
    by_instance: BTreeMap<InstanceName, (RowRequest, Timestamp)>,
}

impl RowRequests {
    /// Stores a request until `expires_at`, unless a later process of the instance has sent one.
    pub(super) fn record(
        &mut self,
        instance: InstanceName,
        request: RowRequest,
        expires_at: Timestamp,
    ) {
        let previous = self.by_instance.get(&instance);
        if previous.is_none_or(|(existing, _)| existing.incarnation <= request.incarnation) {
            self.by_instance.insert(instance, (request, expires_at));
        }
    }

    /// Removes requests that are met or have expired.
    pub(super) fn expire(&mut self, now: Timestamp, table: &Table) {
        self.by_instance.retain(|instance, (request, expires_at)| {
            now < *expires_at && !request.is_met(instance, table)
        });
    }

    /// Returns the pending requests.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&InstanceName, &RowRequest)> {
        self.by_instance.iter().map(|(instance, (request, _))| (instance, request))
    }
}

/// Returns the rows that the table should have, or `None` if it has them already.
pub(super) fn plan_rows<'a>(
    table: &Table,
    requests: impl Iterator<Item = (&'a InstanceName, &'a RowRequest)>,
    is_dead: impl Fn(usize) -> bool,
) -> Option<Vec<Row>> {
    let live = table.rows.iter().enumerate().filter(|(index, _)| !is_dead(*index));
    let mut by_instance: BTreeMap<&InstanceName, &Row> =
        live.map(|(_, row)| (&row.instance, row)).collect();
    let mut changed = by_instance.len() != table.rows.len();
    for (instance, request) in
        requests.filter(|(instance, request)| !request.is_met(instance, table))
    {
        changed = true;
        match &request.row {
            Some(row) => by_instance.insert(instance, row),
            None => by_instance.remove(instance),
        };
    }
    changed.then(|| by_instance.into_values().cloned().collect())
}
