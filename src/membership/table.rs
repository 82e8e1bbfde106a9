//! The membership table of one shard.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::names::{Incarnation, InstanceName, ServiceName, TableVersion, ZoneName};

/// Whether a row takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RowState {
    /// Takes new work.
    Active,
    /// Finishes what it has and leaves.
    Leaving,
}

/// One node in the table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Process that runs under the name.
    pub incarnation: Incarnation,
    /// Availability zone.
    pub zone: ZoneName,
    /// Service of the upstream beside the node, once it has announced itself.
    pub service: Option<ServiceName>,
    /// Address for other nodes.
    pub peer_address: SocketAddr,
    /// Weight of the instance when rates are divided.
    pub weight: u32,
    /// Whether the row takes new work.
    pub state: RowState,
}

/// One version of the table.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    /// Rises by one with every update.
    pub version: TableVersion,
    /// Id of the update that made this version.
    pub change_id: Uuid,
    /// Rows, ordered by instance.
    pub rows: Vec<Row>,
    /// Rows of the version before.
    pub previous_rows: Vec<Row>,
}

impl Table {
    /// Makes the next version with other rows.
    pub fn next_version(&self, mut rows: Vec<Row>) -> Self {
        rows.sort_by(|a, b| a.instance.cmp(&b.instance));
        Self {
            version: self.version + 1,
            change_id: Uuid::now_v7(),
            rows,
            previous_rows: self.rows.clone(),
        }
    }

    /// Finds the row of an instance.
    pub fn row(&self, instance: &str) -> Option<&Row> {
        self.rows.iter().find(|row| &*row.instance == instance)
    }

    /// The rows with `row` in place of an older row of its instance.
    pub fn rows_with(&self, row: Row) -> Vec<Row> {
        let mut rows = self.rows_without(&row.instance);
        rows.push(row);
        rows
    }

    /// The rows but the one of an instance.
    pub fn rows_without(&self, instance: &str) -> Vec<Row> {
        self.rows.iter().filter(|row| &*row.instance != instance).cloned().collect()
    }
}
