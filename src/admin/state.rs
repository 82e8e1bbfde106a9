//! The state dump of the process.

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    clock::{self, Timestamp},
    membership::Table,
    names::{Incarnation, InstanceName, Revision, TableVersion, ZoneName},
    node::{Announcement, Lifecycle, LoadReport, Shared},
    telemetry::RequestCount,
};

/// Version of the dump's format; it rises when a field changes its meaning or goes.
pub const STATE_FORMAT: u32 = 2;

/// The state of one node.
#[derive(Debug, Serialize, Deserialize)]
pub struct StateDump {
    /// Version of this format.
    pub format: u32,
    /// What the fleet's status shows of the node.
    #[serde(flatten)]
    pub node: NodeStatus,
    /// Membership table as this node knows it.
    pub table: Arc<Table>,
    /// The table version is settled.
    pub settled: bool,
}

/// What the fleet's status shows of one node.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct NodeStatus {
    /// Name of the instance.
    pub instance: InstanceName,
    /// This process among those under the name.
    pub incarnation: Incarnation,
    /// Availability zone.
    pub zone: ZoneName,
    /// The node finishes its work and leaves.
    pub draining: bool,
    /// Revision of the configuration in force here.
    pub revision: Revision,
    /// Version of the membership table that the node has adopted.
    pub table_version: TableVersion,
    /// Time left of the right to use the row, in milliseconds; 0 where it is not valid.
    pub row_right_left_ms: u64,
    /// Time left of the right to accept keys, in milliseconds; 0 where it is not valid.
    pub keys_right_left_ms: u64,
    /// The upstream beside the node.
    pub upstream: Option<Arc<Announcement>>,
    /// Last load report of the upstream.
    pub upstream_report: Option<LoadReport>,
    /// Requests that the upstream is running.
    pub running: usize,
    /// Requests answered here to callers and to the upstream since the start.
    pub requests: Vec<RequestCount>,
}

impl StateDump {
    /// Reads the state of a node.
    pub fn of(shared: &Shared) -> Self {
        let view = shared.view.load();
        Self {
            format: STATE_FORMAT,
            node: NodeStatus::of(shared),
            table: view.table.clone(),
            settled: view.settled,
        }
    }
}

impl NodeStatus {
    /// Reads the status of a node.
    pub fn of(shared: &Shared) -> Self {
        let now = clock::now();
        Self {
            instance: shared.settings.instance.clone(),
            incarnation: shared.incarnation,
            zone: shared.settings.zone.clone(),
            draining: shared.lifecycle() == Lifecycle::Draining,
            revision: shared.configuration.load().revision,
            table_version: shared.view.load().table.version,
            row_right_left_ms: left_ms(shared.right.row_until(), now),
            keys_right_left_ms: left_ms(shared.right.keys_until(), now),
            upstream: shared.upstream.serving(),
            upstream_report: shared.upstream.last_report(),
            running: shared.dispatches.len(),
            requests: shared.metrics.request_counts(),
        }
    }
}

fn left_ms(until: Timestamp, now: Timestamp) -> u64 {
    let left: Duration = until.saturating_sub(now);
    u64::try_from(left.as_millis()).unwrap_or(u64::MAX)
}
