//! What a node reads of the membership table on the request path.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use uuid::Uuid;

use crate::{
    clock::Timestamp,
    membership::{Row, RowState, Table, rendezvous},
    names::{Incarnation, ServiceName},
};

/// A table version and whether it is settled.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// The table that the node has adopted.
    pub table: Arc<Table>,
    /// No lease under an older version can be valid any more.
    pub settled: bool,
}

impl View {
    /// The part of every organisation's rate that a row may admit, from 0 to 1.
    ///
    /// Until the version is settled this is the smaller part of both versions, so that the
    /// parts of all rows never exceed the whole.
    pub fn share(&self, instance: &str, incarnation: Incarnation) -> f64 {
        let current = share(&self.table.rows, instance, incarnation);
        match self.settled {
            true => current,
            false => current.min(share(&self.table.previous_rows, instance, incarnation)),
        }
    }

    /// The row that owns an idempotency key of a service.
    ///
    /// There is none while the version is not settled and both versions name other owners.
    pub fn owner(&self, service: &ServiceName, idempotency_key: Uuid) -> Option<&Row> {
        let current = owner(&self.table.rows, service, idempotency_key)?;
        if self.settled {
            return Some(current);
        }
        let previous = owner(&self.table.previous_rows, service, idempotency_key)?;
        let same =
            previous.instance == current.instance && previous.incarnation == current.incarnation;
        same.then_some(current)
    }
}

fn share(rows: &[Row], instance: &str, incarnation: Incarnation) -> f64 {
    let total: u64 = rows.iter().map(|row| u64::from(row.weight)).sum();
    let own = rows.iter().find(|row| &*row.instance == instance && row.incarnation == incarnation);
    match own {
        Some(row) if total > 0 => f64::from(row.weight) / total as f64,
        _ => 0.0,
    }
}

fn owner<'a>(rows: &'a [Row], service: &ServiceName, idempotency_key: Uuid) -> Option<&'a Row> {
    let serving = rows
        .iter()
        .filter(|row| row.state == RowState::Active && row.service.as_ref() == Some(service));
    rendezvous::owner(serving, idempotency_key.as_bytes())
}

/// The times until which the node's row lease and key lease are valid; written by the membership
/// actor, read by requests.
///
/// A lease is valid for [`LEASE_TERM`](crate::membership::LEASE_TERM) after a time at which a
/// majority of the rows held nothing newer than this node, or a read at the platform returned
/// nothing newer: no newer table for the row lease, no newer configuration for the key lease. The
/// row lease permits the node to use its row's shares and key ranges, the key lease to accept keys
/// under the configuration in force here.
#[derive(Debug, Default)]
pub struct Lease {
    row_until_ns: AtomicU64,
    keys_until_ns: AtomicU64,
}

impl Lease {
    /// Extends the row lease, which permits the use of the row's shares and key ranges.
    pub fn set_row_until(&self, until: Timestamp) {
        self.row_until_ns.store(nanoseconds(until), Ordering::Release);
    }

    /// Extends the key lease, which permits accepting keys under the configuration in force here.
    pub fn set_keys_until(&self, until: Timestamp) {
        self.keys_until_ns.store(nanoseconds(until), Ordering::Release);
    }

    /// The node may use its row's shares and key ranges.
    pub fn row_is_valid(&self, now: Timestamp) -> bool {
        nanoseconds(now) < self.row_until_ns.load(Ordering::Acquire)
    }

    /// The node may accept keys.
    pub fn keys_are_valid(&self, now: Timestamp) -> bool {
        nanoseconds(now) < self.keys_until_ns.load(Ordering::Acquire)
    }

    /// End of the row lease.
    pub fn row_until(&self) -> Timestamp {
        Duration::from_nanos(self.row_until_ns.load(Ordering::Acquire))
    }

    /// End of the key lease.
    pub fn keys_until(&self) -> Timestamp {
        Duration::from_nanos(self.keys_until_ns.load(Ordering::Acquire))
    }
}

fn nanoseconds(time: Timestamp) -> u64 {
    u64::try_from(time.as_nanos()).unwrap_or(u64::MAX)
}
