//! The membership table of one shard.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::names::{Incarnation, InstanceName, ServiceName, TableVersion, ZoneName};

/// Whether a node accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RowState {
    /// Accepts new requests.
    Active,
    /// Completes its running requests but accepts no new ones.
    Leaving,
}

/// Entry of one node in the membership table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Incarnation of the process that the row belongs to.
    pub incarnation: Incarnation,
    /// Availability zone.
    pub zone: ZoneName,
    /// Service of the node's local upstream, once the upstream has announced itself.
    pub service: Option<ServiceName>,
    /// Address at which other nodes reach the node.
    pub peer_address: SocketAddr,
    /// Weight of the instance in the division of an organisation's rate.
    pub weight: u32,
    /// Whether the node accepts new requests.
    pub state: RowState,
}

/// One version of the membership table.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    /// Increases by one with every update.
    pub version: TableVersion,
    /// Id of the update that wrote this version; identifies a write with an unknown outcome.
    pub change_id: Uuid,
    /// Rows, ordered by instance.
    pub rows: Vec<Row>,
    /// Rows of the previous version.
    pub previous_rows: Vec<Row>,
}

impl Table {
    /// Creates the next version with the given rows.
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

    /// Returns the rows with `row` added; it replaces an existing row of its instance.
    pub fn rows_with(&self, row: Row) -> Vec<Row> {
        let mut rows = self.rows_without(&row.instance);
        rows.push(row);
        rows
    }

    /// Returns the rows without the one of an instance.
    pub fn rows_without(&self, instance: &str) -> Vec<Row> {
        self.rows.iter().filter(|row| &*row.instance != instance).cloned().collect()
    }
}
