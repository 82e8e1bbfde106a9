//! The status of the fleet, collected from the nodes when an operator asks.

use std::{sync::Arc, time::Duration};

use futures::{StreamExt as _, stream};
use serde::{Deserialize, Serialize};

use crate::{
    admin::NodeStatus,
    clock,
    membership::{Row, RowState},
    names::{Incarnation, InstanceName, Revision, ServiceName, TableVersion, ZoneName},
    node::Shared,
    peers::proto,
};

/// Nodes asked at the same time.
const CONCURRENCY: usize = 32;
/// Time that a node gets to answer. With 128 rows, all silent, the answer takes 4 s.
const TIMEOUT: Duration = Duration::from_secs(1);

/// The status of the fleet as one node collected it.
#[derive(Debug, Serialize, Deserialize)]
pub struct FleetStatus {
    /// Node that collected it.
    pub asked: InstanceName,
    /// Version of the membership table of that node.
    pub table_version: TableVersion,
    /// Revision in force at that node.
    pub revision: Revision,
    /// The rows of the table.
    pub nodes: Vec<RowStatus>,
}

/// One row with what its node answered.
#[derive(Debug, Serialize, Deserialize)]
pub struct RowStatus {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Process that the row is for.
    pub incarnation: Incarnation,
    /// Availability zone.
    pub zone: ZoneName,
    /// Service of the upstream beside the node.
    pub service: Option<ServiceName>,
    /// Whether the row takes new work.
    pub state: RowState,
    /// The node's own status.
    pub status: Option<NodeStatus>,
    /// Why there is no status.
    pub error: Option<String>,
}

/// What one node knows of the revisions that the rows hold.
#[derive(Debug, Serialize, Deserialize)]
pub struct FleetRevisions {
    /// Node that was asked.
    pub asked: InstanceName,
    /// The rows of its table.
    pub rows: Vec<RowRevision>,
}

/// What is known of the revision that a row holds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RowRevision {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Newest revision that the row is known to hold.
    pub revision: Revision,
    /// Age of the newest evidence about the row, in milliseconds; none where there is none.
    pub age_ms: Option<u64>,
}

/// Reads what this node knows of the revisions that the rows hold.
pub fn revisions(shared: &Shared) -> FleetRevisions {
    let (now, evidence) = (clock::now(), shared.evidence.load());
    let rows = evidence.rows.iter().map(|row| RowRevision {
        instance: row.instance.clone(),
        revision: row.revision,
        age_ms: row.at.map(|at| clock::millis(now.saturating_sub(at))),
    });
    FleetRevisions { asked: shared.settings.instance.clone(), rows: rows.collect() }
}

/// Asks every row of the table for its status.
pub async fn collect(shared: &Arc<Shared>) -> FleetStatus {
    let table = shared.view.load().table.clone();
    let rows = stream::iter(table.rows.clone()).map(|row| ask(shared, row));
    let nodes = rows.buffered(CONCURRENCY).collect().await;
    FleetStatus {
        asked: shared.settings.instance.clone(),
        table_version: table.version,
        revision: shared.configuration.load().revision,
        nodes,
    }
}

async fn ask(shared: &Arc<Shared>, row: Row) -> RowStatus {
    let answer =
        match row.incarnation == shared.incarnation && row.instance == shared.settings.instance {
            true => Ok(NodeStatus::capture(shared)),
            false => pull(shared, &row).await,
        };
    // Another process may answer at the address of a row whose process has ended.
    let answer = answer.and_then(|status| match status.incarnation == row.incarnation {
        true => Ok(status),
        false => Err("another process answers at the row's address".to_owned()),
    });
    let (status, error) = match answer {
        Ok(status) => (Some(status), None),
        Err(error) => (None, Some(error)),
    };
    RowStatus {
        instance: row.instance,
        incarnation: row.incarnation,
        zone: row.zone,
        service: row.service,
        state: row.state,
        status,
        error,
    }
}

async fn pull(shared: &Shared, row: &Row) -> Result<NodeStatus, String> {
    let mut client = shared.peers.client(row.peer_address);
    let call = tokio::time::timeout(TIMEOUT, client.pull_status(proto::StatusRequest {}));
    let reply = match call.await {
        Ok(Ok(reply)) => reply.into_inner(),
        Ok(Err(status)) => return Err(format!("no answer: {}", status.message())),
        Err(_) => return Err(format!("no answer within {TIMEOUT:?}")),
    };
    serde_json::from_slice(&reply.status).map_err(|_| "an unreadable answer".to_owned())
}
