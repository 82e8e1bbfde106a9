//! The state dump of the process.

use std::sync::Arc;

use serde::Serialize;

use crate::{
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
        Self {
            format: STATE_FORMAT,
            instance: shared.settings.instance.clone(),
            incarnation: shared.incarnation,
            zone: shared.settings.zone.clone(),
            draining: shared.lifecycle() == Lifecycle::Draining,
            revision: shared.configuration.load().revision,
            table: shared.view.load().table.clone(),
            upstream: shared.upstream.serving(),
            upstream_report: shared.upstream.last_report(),
            running: shared.dispatches.len(),
        }
    }
}
