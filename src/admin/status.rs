//! The status of the fleet, collected from all nodes when an operator requests it.

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

/// Nodes queried at the same time.
const MAX_CONCURRENT_QUERIES: usize = 32;
/// Longest wait for one node. With 128 rows that are all silent, the fleet status takes 4 s.
const QUERY_TIMEOUT: Duration = Duration::from_secs(1);

/// The status of the fleet as one node collected it.
#[derive(Debug, Serialize, Deserialize)]
pub struct FleetStatus {
    /// Instance that collected the status.
    #[serde(rename = "asked")]
    pub collected_by: InstanceName,
    /// Version of the membership table that this instance has adopted.
    pub table_version: TableVersion,
    /// Configuration revision in force at this instance.
    pub revision: Revision,
    /// The rows of its membership table.
    pub nodes: Vec<RowStatus>,
}

/// One row of the membership table with the status of its node.
#[derive(Debug, Serialize, Deserialize)]
pub struct RowStatus {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Incarnation of the process that owns the row.
    pub incarnation: Incarnation,
    /// Availability zone.
    pub zone: ZoneName,
    /// Service of the node's local upstream.
    pub service: Option<ServiceName>,
    /// Whether the row accepts new requests.
    pub state: RowState,
    /// Status that the node reported; none if the query failed.
    pub status: Option<NodeStatus>,
    /// Why the query failed.
    pub error: Option<String>,
}

/// The configuration revisions of all rows, as one node knows them.
#[derive(Debug, Serialize, Deserialize)]
pub struct FleetRevisions {
    /// Instance that reported them.
    #[serde(rename = "asked")]
    pub reported_by: InstanceName,
    /// The rows of its membership table.
    pub rows: Vec<RowRevision>,
}

/// The configuration revision of one row, as far as it is known.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RowRevision {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Newest revision that the row's node is known to have.
    pub revision: Revision,
    /// Time since the newest evidence about the row or the newest request of its process, in
    /// milliseconds; none if there was neither.
    pub age_ms: Option<u64>,
}

/// Reports the configuration revisions of all rows, as this node knows them.
pub fn known_revisions(shared: &Shared) -> FleetRevisions {
    let (now, evidence) = (clock::now(), shared.evidence.load());
    let rows = evidence.rows.iter().map(|row| RowRevision {
        instance: row.instance.clone(),
        revision: row.revision,
        age_ms: row.heard_at.map(|at| clock::to_millis(now.saturating_sub(at))),
    });
    FleetRevisions { reported_by: shared.settings.instance.clone(), rows: rows.collect() }
}

/// Queries the node of every row of the table for its status.
pub async fn collect_fleet_status(shared: &Arc<Shared>) -> FleetStatus {
    let table = shared.view.load().table.clone();
    let rows = stream::iter(table.rows.clone()).map(|row| row_status(shared, row));
    let nodes = rows.buffered(MAX_CONCURRENT_QUERIES).collect().await;
    FleetStatus {
        collected_by: shared.settings.instance.clone(),
        table_version: table.version,
        revision: shared.configuration.load().revision,
        nodes,
    }
}

async fn row_status(shared: &Arc<Shared>, row: Row) -> RowStatus {
    let answer =
        match row.incarnation == shared.incarnation && row.instance == shared.settings.instance {
            true => Ok(NodeStatus::capture(shared)),
            false => pull_status(shared, &row).await,
        };
    // After the process of a row has ended, another process may listen on the row's address.
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

async fn pull_status(shared: &Shared, row: &Row) -> Result<NodeStatus, String> {
    let mut client = shared.peers.client(row.peer_address);
    let call = tokio::time::timeout(QUERY_TIMEOUT, client.pull_status(proto::StatusRequest {}));
    let reply = match call.await {
        Ok(Ok(reply)) => reply.into_inner(),
        Ok(Err(status)) => return Err(format!("no answer: {}", status.message())),
        Err(_) => return Err(format!("no answer within {QUERY_TIMEOUT:?}")),
    };
    serde_json::from_slice(&reply.status).map_err(|_| "an unreadable answer".to_owned())
}
