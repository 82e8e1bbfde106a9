//! The adopted membership table and the leases, as requests read them.

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

/// An adopted table version and whether it is settled.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// The table that the node has adopted.
    pub table: Arc<Table>,
    /// Whether no lease under an older version can be valid any longer.
    pub is_settled: bool,
}

impl View {
    /// Returns the share of every organisation's rate that a node may admit, from 0 to 1.
    ///
    /// Until the version is settled, this is the smaller of the node's shares in the current and
    /// the previous version, so that the shares in use never add up to more than 1.
    pub fn share(&self, instance: &str, incarnation: Incarnation) -> f64 {
        let current = share(&self.table.rows, instance, incarnation);
        match self.is_settled {
            true => current,
            false => current.min(share(&self.table.previous_rows, instance, incarnation)),
        }
    }

    /// Returns the row that owns an idempotency key of a service.
    ///
    /// Until the version is settled, a key that has different owners in the current and the
    /// previous version has none.
    pub fn owner(&self, service: &ServiceName, idempotency_key: Uuid) -> Option<&Row> {
        let current = owner(&self.table.rows, service, idempotency_key)?;
        if self.is_settled {
            return Some(current);
        }
        let previous = owner(&self.table.previous_rows, service, idempotency_key)?;
        let is_same_process =
            previous.instance == current.instance && previous.incarnation == current.incarnation;
        is_same_process.then_some(current)
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
/// row lease permits the node to use its row's shares of the rates and to run the idempotency keys
/// that its row owns, the key lease to accept organisation keys under the configuration in force
/// here.
#[derive(Debug, Default)]
pub struct Lease {
    row_until_ns: AtomicU64,
    keys_until_ns: AtomicU64,
}

impl Lease {
    /// Sets the end of the row lease, which permits using the row's shares and idempotency keys.
    pub fn set_row_until(&self, until: Timestamp) {
        self.row_until_ns.store(nanoseconds(until), Ordering::Release);
    }

    /// Sets the end of the key lease, which permits accepting organisation keys under the
    /// configuration in force here.
    pub fn set_keys_until(&self, until: Timestamp) {
        self.keys_until_ns.store(nanoseconds(until), Ordering::Release);
    }

    /// Whether the node may use its row's shares and run the idempotency keys that its row owns.
    pub fn row_is_valid(&self, now: Timestamp) -> bool {
        nanoseconds(now) < self.row_until_ns.load(Ordering::Acquire)
    }

    /// Whether the node may accept organisation keys.
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
