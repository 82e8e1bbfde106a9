//! Metrics that are derived from the node's status whenever metrics are requested.

use std::sync::atomic::AtomicU64;

use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family, gauge::Gauge},
    registry::{Registry, Unit},
};

use crate::{admin::NodeStatus, names::OrganisationName};

/// A gauge with a floating-point value.
type FloatGauge = Gauge<f64, AtomicU64>;

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OrganisationLabels {
    organisation: OrganisationName,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct PartLabels {
    part: &'static str,
}

/// Creates a registry with the metrics of this status. It is built again for each request, so that
/// the series of a withdrawn organisation disappear.
pub(super) fn status_registry(status: &NodeStatus) -> Registry {
    let mut registry = Registry::with_prefix("hibiscusdoor");
    register_configuration_and_lease(&mut registry, status);
    register_upstream(&mut registry, status);
    register_accounts(&mut registry, status);
    let attempts = Family::<PartLabels, Counter>::default();
    attempts.get_or_create(&PartLabels { part: "attempts" }).inc_by(status.retries.requests);
    attempts.get_or_create(&PartLabels { part: "retries" }).inc_by(status.retries.retries);
    registry.register(
        "attempts",
        "First attempts and retries of calls made by this node",
        attempts,
    );
    register_counter(&mut registry, "loan_asks", "Loan requests sent", status.loans.requests_sent);
    register_counter(
        &mut registry,
        "loan_answers",
        "Loan requests of other nodes answered",
        status.loans.requests_answered,
    );
    let bytes = Counter::<u64>::default();
    bytes.inc_by(status.loans.message_bytes);
    let help = "Bytes of loan messages, without framing";
    registry.register_with_unit("loan_message", help, Unit::Bytes, bytes);
    register_gauge(
        &mut registry,
        "idempotency_records",
        "Records of idempotency keys held by this node",
        status.idempotency_records as f64,
    );
    register_gauge(
        &mut registry,
        "quarantined_fingerprints",
        "Request fingerprints that are suspected of crashes or in quarantine",
        status.quarantined as f64,
    );
    registry
}

fn register_configuration_and_lease(registry: &mut Registry, status: &NodeStatus) {
    register_gauge(
        registry,
        "revision",
        "Configuration revision in force at this node",
        status.revision as f64,
    );
    register_gauge(
        registry,
        "newest_revision",
        "Newest configuration revision that evidence shows",
        status.newest_revision as f64,
    );
    register_gauge(
        registry,
        "table_version",
        "Membership table version adopted by this node",
        status.table_version as f64,
    );
    let lease = Family::<PartLabels, FloatGauge>::default();
    let left_s = |left_ms: u64| left_ms as f64 / 1000.0;
    lease.get_or_create(&PartLabels { part: "row" }).set(left_s(status.row_lease_left_ms));
    lease.get_or_create(&PartLabels { part: "keys" }).set(left_s(status.keys_lease_left_ms));
    let help = "Time left of the leases to use the row and to accept keys";
    registry.register_with_unit("right_left", help, Unit::Seconds, lease);
    if let Some(age_ms) = status.evidence_age_ms {
        let age = FloatGauge::default();
        age.set(age_ms as f64 / 1000.0);
        let help = "Age of the oldest evidence about a live row";
        registry.register_with_unit("evidence_age", help, Unit::Seconds, age);
    }
    register_gauge(registry, "rows", "Rows of the membership table", status.rows as f64);
    register_gauge(registry, "silent_rows", "Rows considered dead", status.silent_rows as f64);
    register_gauge(
        registry,
        "reader",
        "1 if this node watches the platform for its availability zone, else 0",
        f64::from(u8::from(status.is_reader)),
    );
}

fn register_upstream(registry: &mut Registry, status: &NodeStatus) {
    register_gauge(
        registry,
        "upstream_serving",
        "1 if an upstream has announced itself and is not draining, else 0",
        f64::from(u8::from(status.upstream.is_some())),
    );
    let Some(gate) = &status.gate else { return };
    register_gauge(
        registry,
        "concurrency_limit",
        "Requests that may run concurrently at the upstream",
        f64::from(gate.limit),
    );
    register_gauge(
        registry,
        "running",
        "Requests running at the upstream",
        f64::from(gate.in_flight),
    );
    register_gauge(
        registry,
        "queued",
        "Requests waiting for admission to the upstream",
        gate.waiting as f64,
    );
    register_gauge(
        registry,
        "shed_below",
        "Importance below which requests are refused; 0 if none are",
        f64::from(gate.shed_below),
    );
}

fn register_accounts(registry: &mut Registry, status: &NodeStatus) {
    let rates = [
        Family::<OrganisationLabels, FloatGauge>::default(),
        Family::default(),
        Family::default(),
        Family::default(),
    ];
    let (tokens, waiting) =
        (Family::<OrganisationLabels, FloatGauge>::default(), Family::<_, FloatGauge>::default());
    for account in &status.accounts {
        let labels = OrganisationLabels { organisation: account.organisation.clone() };
        let values =
            [account.share_per_s, account.lent_per_s, account.borrowed_per_s, account.demand_per_s];
        for (family, value) in rates.iter().zip(values) {
            family.get_or_create(&labels).set(value);
        }
        tokens.get_or_create(&labels).set(account.tokens);
        waiting.get_or_create(&labels).set(f64::from(account.waiting));
    }
    let [share, lent, borrowed, demand] = rates;
    registry.register("share_per_second", "Rate share of this row before loans", share);
    registry.register("lent_per_second", "Rate lent to other rows", lent);
    registry.register("borrowed_per_second", "Rate borrowed from other rows", borrowed);
    registry.register("demand_per_second", "Predicted demand at this node", demand);
    registry.register("tokens", "Requests that this node can admit immediately", tokens);
    registry.register("waiting_for_tokens", "Requests waiting for a token", waiting);
}

fn register_gauge(registry: &mut Registry, name: &str, help: &str, value: f64) {
    let gauge = FloatGauge::default();
    gauge.set(value);
    registry.register(name, help, gauge);
}

fn register_counter(registry: &mut Registry, name: &str, help: &str, value: u64) {
    let counter = Counter::<u64>::default();
    counter.inc_by(value);
    registry.register(name, help, counter);
}
