//! The state dump of a node and the node's part of the fleet status.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::{
    admission::GateStatus,
    clock::{self, Timestamp},
    membership::Table,
    names::{Incarnation, InstanceName, OrganisationName, Revision, TableVersion, ZoneName},
    node::{Announcement, Lifecycle, LoadReport, Shared},
    telemetry::RequestCount,
};

/// Version of the format of the state dump; raised when a field changes its meaning or is removed.
pub const STATE_FORMAT: u32 = 2;

/// The state dump of one node, which `/state` returns.
#[derive(Debug, Serialize, Deserialize)]
pub struct StateDump {
    /// [`STATE_FORMAT`] of the node.
    pub format: u32,
    /// The node's part of the fleet status.
    #[serde(flatten)]
    pub node: NodeStatus,
    /// Membership table that this node has adopted.
    pub table: Arc<Table>,
    /// The adopted table version is settled: no lease under the previous version can be valid.
    pub settled: bool,
    /// Instances with rows that this node considers dead.
    pub dead: Vec<InstanceName>,
}

/// One node's part of the fleet status.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct NodeStatus {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Number that distinguishes this process from others under the same instance name.
    pub incarnation: Incarnation,
    /// Availability zone of the node.
    pub zone: ZoneName,
    /// The node completes its running requests, accepts no new ones and then leaves the fleet.
    pub draining: bool,
    /// Revision of the configuration in force at this node.
    pub revision: Revision,
    /// Version of the membership table that the node has adopted.
    pub table_version: TableVersion,
    /// Time until the row lease expires, in milliseconds; 0 if it is not valid.
    #[serde(rename = "row_right_left_ms")]
    pub row_lease_left_ms: u64,
    /// Time until the key lease expires, in milliseconds; 0 if it is not valid.
    #[serde(rename = "keys_right_left_ms")]
    pub keys_lease_left_ms: u64,
    /// Announcement of the node's local upstream; none before it has announced itself and while it
    /// drains.
    pub upstream: Option<Arc<Announcement>>,
    /// Last load report of the local upstream.
    pub upstream_report: Option<LoadReport>,
    /// Requests that the local upstream is running.
    pub running: usize,
    /// Admission gate of the local upstream; none before an upstream announced itself.
    pub gate: Option<GateStatus>,
    /// Newest configuration revision that the node has evidence of.
    pub newest_revision: Revision,
    /// Age of the oldest evidence, in milliseconds, among the newest evidence about each live row.
    pub evidence_age_ms: Option<u64>,
    /// Number of rows in the membership table.
    pub rows: usize,
    /// Number of rows that this node considers dead.
    pub silent_rows: usize,
    /// The node holds watches at the platform for its availability zone.
    pub is_reader: bool,
    /// The node's rate accounts, one per organisation.
    pub accounts: Vec<AccountFigures>,
    /// Messages about loans of rate since the start of the process.
    pub loans: LoanFigures,
    /// Calls and retries that this node made since the start of the process.
    pub retries: RetryFigures,
    /// Number of idempotency key records that this node holds.
    pub idempotency_records: usize,
    /// Number of request fingerprints that are suspect or in quarantine.
    pub quarantined: usize,
    /// Requests from callers and from the local upstream that this node answered since the start of
    /// the process.
    pub requests: Vec<RequestCount>,
}

/// A node's rate account of one organisation.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct AccountFigures {
    /// Name of the organisation.
    pub organisation: OrganisationName,
    /// The row's share of the organisation's rate, without loans.
    pub share_per_s: f64,
    /// Rate lent to other rows.
    pub lent_per_s: f64,
    /// Rate borrowed from other rows.
    pub borrowed_per_s: f64,
    /// Predicted demand at this node.
    pub demand_per_s: f64,
    /// Tokens in the account: requests that the node may admit at once.
    pub tokens: f64,
    /// Requests that wait for a token.
    pub waiting: u32,
}

/// Counts of messages about loans of rate.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct LoanFigures {
    /// Loan requests sent.
    #[serde(rename = "asks_sent")]
    pub requests_sent: u64,
    /// Loan requests that were answered.
    #[serde(rename = "asks_answered")]
    pub requests_answered: u64,
    /// Total size of the messages, in bytes.
    pub message_bytes: u64,
}

/// Counts of calls and retries.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct RetryFigures {
    /// Calls; each has one first attempt, which is not a retry.
    pub requests: u64,
    /// Attempts after the first.
    pub retries: u64,
}

impl StateDump {
    /// Takes a snapshot of a node's state.
    pub fn capture(shared: &Shared) -> Self {
        let (view, evidence) = (shared.view.load(), shared.evidence.load());
        let dead = evidence.rows.iter().filter(|row| !row.is_alive);
        Self {
            format: STATE_FORMAT,
            node: NodeStatus::capture(shared),
            table: view.table.clone(),
            settled: view.is_settled,
            dead: dead.map(|row| row.instance.clone()).collect(),
        }
    }
}

impl NodeStatus {
    /// Takes a snapshot of a node's status.
    pub fn capture(shared: &Shared) -> Self {
        let now = clock::now();
        let evidence = shared.evidence.load();
        let live = evidence.rows.iter().filter(|row| row.is_alive);
        let oldest = live.filter_map(|row| row.evidence_at).min();
        let (requests, retries) = shared.retries.lock().request_and_retry_counts();
        Self {
            instance: shared.settings.instance.clone(),
            incarnation: shared.incarnation,
            zone: shared.settings.zone.clone(),
            draining: shared.lifecycle() == Lifecycle::Draining,
            revision: shared.configuration.load().revision,
            table_version: shared.view.load().table.version,
            row_lease_left_ms: difference_ms(shared.lease.row_until(), now),
            keys_lease_left_ms: difference_ms(shared.lease.keys_until(), now),
            upstream: shared.upstream.serving_announcement(),
            upstream_report: shared.upstream.last_report(),
            running: shared.dispatches.len(),
            gate: shared.gate.status(),
            newest_revision: evidence.newest_revision,
            evidence_age_ms: oldest.map(|at| difference_ms(now, at)),
            rows: evidence.rows.len(),
            silent_rows: evidence.rows.iter().filter(|row| !row.is_alive).count(),
            is_reader: evidence.is_reader,
            accounts: accounts(shared),
            loans: LoanFigures {
                requests_sent: shared.loan_counters.requests_sent.load(Ordering::Relaxed),
                requests_answered: shared.loan_counters.requests_answered.load(Ordering::Relaxed),
                message_bytes: shared.loan_counters.bytes.load(Ordering::Relaxed),
            },
            retries: RetryFigures { requests, retries },
            idempotency_records: shared.once.record_count(),
            quarantined: shared.once.quarantine_count(),
            requests: shared.metrics.request_counts(),
        }
    }
}

fn accounts(shared: &Shared) -> Vec<AccountFigures> {
    let snapshots = shared.rates.snapshot(shared).into_iter();
    let figures = snapshots.map(|(organisation, account)| AccountFigures {
        organisation,
        share_per_s: account.base.rate_per_s,
        lent_per_s: account.lent.rate_per_s,
        borrowed_per_s: account.borrowed.rate_per_s,
        demand_per_s: account.predicted_per_s,
        tokens: account.tokens,
        waiting: account.waiting,
    });
    figures.collect()
}

/// Time from `earlier` to `later`, in milliseconds; 0 if they are in the other order.
fn difference_ms(later: Timestamp, earlier: Timestamp) -> u64 {
    let difference: Duration = later.saturating_sub(earlier);
    clock::to_millis(difference)
}
