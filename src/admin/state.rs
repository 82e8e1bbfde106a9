//! The state dump of the process.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::{
    admission::GateFigures,
    clock::{self, Timestamp},
    membership::Table,
    names::{Incarnation, InstanceName, OrganisationName, Revision, TableVersion, ZoneName},
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
    /// Instances whose rows are believed dead.
    pub dead: Vec<InstanceName>,
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
    /// Time left of the row lease, in milliseconds; 0 where it is not valid.
    #[serde(rename = "row_right_left_ms")]
    pub row_lease_left_ms: u64,
    /// Time left of the key lease, in milliseconds; 0 where it is not valid.
    #[serde(rename = "keys_right_left_ms")]
    pub keys_lease_left_ms: u64,
    /// The upstream beside the node.
    pub upstream: Option<Arc<Announcement>>,
    /// Last load report of the upstream.
    pub upstream_report: Option<LoadReport>,
    /// Requests that the upstream is running.
    pub running: usize,
    /// The gate before the upstream, once one has announced itself.
    pub gate: Option<GateFigures>,
    /// Newest configuration revision that evidence shows.
    pub newest_revision: Revision,
    /// Age of the oldest evidence about a live row, in milliseconds.
    pub evidence_age_ms: Option<u64>,
    /// Rows of the membership table.
    pub rows: usize,
    /// Rows believed dead.
    pub silent_rows: usize,
    /// The node holds watches at the platform for its availability zone.
    pub is_reader: bool,
    /// The node's accounts of the organisations' rates.
    pub accounts: Vec<AccountFigures>,
    /// Messages about loans since the start.
    pub loans: LoanFigures,
    /// Attempts of calls made here since the start.
    pub retries: RetryFigures,
    /// Records of idempotency keys held here.
    pub idempotency_records: usize,
    /// Fingerprints that are suspect or in quarantine.
    pub quarantined: usize,
    /// Requests answered here to callers and to the upstream since the start.
    pub requests: Vec<RequestCount>,
}

/// The node's account of one organisation's rate.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct AccountFigures {
    /// Name of the organisation.
    pub organisation: OrganisationName,
    /// The row's share before loans.
    pub share_per_s: f64,
    /// Rate lent to other rows.
    pub lent_per_s: f64,
    /// Rate borrowed from other rows.
    pub borrowed_per_s: f64,
    /// Predicted demand at this node.
    pub demand_per_s: f64,
    /// Requests that may be admitted at once.
    pub tokens: f64,
    /// Requests that wait for a token.
    pub waiting: u32,
}

/// Messages about loans.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct LoanFigures {
    /// Asks sent.
    pub asks_sent: u64,
    /// Asks answered.
    pub asks_answered: u64,
    /// Bytes of the messages.
    pub message_bytes: u64,
}

/// Attempts of calls.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct RetryFigures {
    /// Calls, each with its first attempt.
    pub requests: u64,
    /// Retries.
    pub retries: u64,
}

impl StateDump {
    /// Reads the state of a node.
    pub fn capture(shared: &Shared) -> Self {
        let (view, evidence) = (shared.view.load(), shared.evidence.load());
        let dead = evidence.rows.iter().filter(|row| !row.alive);
        Self {
            format: STATE_FORMAT,
            node: NodeStatus::capture(shared),
            table: view.table.clone(),
            settled: view.settled,
            dead: dead.map(|row| row.instance.clone()).collect(),
        }
    }
}

impl NodeStatus {
    /// Reads the status of a node.
    pub fn capture(shared: &Shared) -> Self {
        let now = clock::now();
        let evidence = shared.evidence.load();
        let live = evidence.rows.iter().filter(|row| row.alive);
        let oldest = live.filter_map(|row| row.at).min();
        let (requests, retries) = shared.retries.lock().counts();
        Self {
            instance: shared.settings.instance.clone(),
            incarnation: shared.incarnation,
            zone: shared.settings.zone.clone(),
            draining: shared.lifecycle() == Lifecycle::Draining,
            revision: shared.configuration.load().revision,
            table_version: shared.view.load().table.version,
            row_lease_left_ms: left_ms(shared.lease.row_until(), now),
            keys_lease_left_ms: left_ms(shared.lease.keys_until(), now),
            upstream: shared.upstream.serving(),
            upstream_report: shared.upstream.last_report(),
            running: shared.dispatches.len(),
            gate: shared.gate.figures(),
            newest_revision: evidence.newest_revision,
            evidence_age_ms: oldest.map(|at| left_ms(now, at)),
            rows: evidence.rows.len(),
            silent_rows: evidence.rows.iter().filter(|row| !row.alive).count(),
            is_reader: evidence.is_reader,
            accounts: accounts(shared),
            loans: LoanFigures {
                asks_sent: shared.loan_counters.asks_sent.load(Ordering::Relaxed),
                asks_answered: shared.loan_counters.asks_answered.load(Ordering::Relaxed),
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

fn left_ms(until: Timestamp, now: Timestamp) -> u64 {
    let left: Duration = until.saturating_sub(now);
    clock::millis(left)
}
