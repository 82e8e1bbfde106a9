//! The state dump of the process.

use std::sync::Arc;

use serde::Serialize;

use crate::{
    clock,
    membership::Table,
    names::{Incarnation, InstanceName, Revision, ZoneName},
    node::{Announcement, Lifecycle, LoadReport, Shared},
};

/// Version of the dump's format; it rises when a field changes its meaning or goes.
pub const STATE_FORMAT: u32 = 1;

/// The state of one node.
#[derive(Debug, Serialize)]
pub struct StateDump {
    /// Version of this format.
    pub format: u32,
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
    /// Membership table as this node knows it.
    pub table: Arc<Table>,
    /// No older version can be in use.
    pub settled: bool,
    /// The node may use its row.
    pub row_right: bool,
    /// The node may accept keys.
    pub keys_right: bool,
    /// Instances whose rows are believed dead.
    pub dead: Vec<InstanceName>,
    /// The upstream beside the node.
    pub upstream: Option<Arc<Announcement>>,
    /// Last load report of the upstream.
    pub upstream_report: Option<LoadReport>,
    /// Requests that the upstream is running.
    pub running: usize,
}

impl StateDump {
    /// Reads the state of a node.
    pub fn of(shared: &Shared) -> Self {
        let (now, view, evidence) = (clock::now(), shared.view.load(), shared.evidence.load());
        let dead = evidence.rows.iter().filter(|row| !row.alive);
        Self {
            format: STATE_FORMAT,
            instance: shared.settings.instance.clone(),
            incarnation: shared.incarnation,
            zone: shared.settings.zone.clone(),
            draining: shared.lifecycle() == Lifecycle::Draining,
            revision: shared.configuration.load().revision,
            table: view.table.clone(),
            settled: view.settled,
            row_right: shared.right.row_is_valid(now),
            keys_right: shared.right.keys_are_valid(now),
            dead: dead.map(|row| row.instance.clone()).collect(),
            upstream: shared.upstream.serving(),
            upstream_report: shared.upstream.last_report(),
            running: shared.dispatches.len(),
        }
    }
}
