//! Metrics that are read from the node's status when they are asked for.

use std::sync::atomic::AtomicU64;

use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family, gauge::Gauge},
    registry::{Registry, Unit},
};

use crate::{admin::NodeStatus, names::OrganisationName};

/// A gauge of real numbers.
type Real = Gauge<f64, AtomicU64>;

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OrganisationLabels {
    organisation: OrganisationName,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct PartLabels {
    part: &'static str,
}

/// Makes the metrics of one moment. They are made anew each time, so no series of an organisation
/// outlives its withdrawal.
pub(super) fn status_registry(status: &NodeStatus) -> Registry {
    let mut registry = Registry::with_prefix("hibiscusdoor");
    configuration_and_lease(&mut registry, status);
    upstream(&mut registry, status);
    accounts(&mut registry, status);
    let work = Family::<PartLabels, Counter>::default();
    work.get_or_create(&PartLabels { part: "attempts" }).inc_by(status.retries.requests);
    work.get_or_create(&PartLabels { part: "retries" }).inc_by(status.retries.retries);
    registry.register("attempts", "First attempts and retries of calls made here", work);
    count(&mut registry, "loan_asks", "Asks for a loan that were sent", status.loans.asks_sent);
    count(
        &mut registry,
        "loan_answers",
        "Asks for a loan that were answered",
        status.loans.asks_answered,
    );
    let bytes = Counter::<u64>::default();
    bytes.inc_by(status.loans.message_bytes);
    let help = "Bytes of messages about loans, without framing";
    registry.register_with_unit("loan_message", help, Unit::Bytes, bytes);
    gauge(
        &mut registry,
        "idempotency_records",
        "Records of idempotency keys held here",
        status.idempotency_records as f64,
    );
    gauge(
        &mut registry,
        "quarantined_fingerprints",
        "Fingerprints that are suspect or in quarantine",
        status.quarantined as f64,
    );
    registry
}

fn configuration_and_lease(registry: &mut Registry, status: &NodeStatus) {
    gauge(registry, "revision", "Configuration revision in force here", status.revision as f64);
    gauge(
        registry,
        "newest_revision",
        "Newest configuration revision that evidence shows",
        status.newest_revision as f64,
    );
    gauge(
        registry,
        "table_version",
        "Membership table version adopted here",
        status.table_version as f64,
    );
    let lease = Family::<PartLabels, Real>::default();
    let left_s = |left_ms: u64| left_ms as f64 / 1000.0;
    lease.get_or_create(&PartLabels { part: "row" }).set(left_s(status.row_lease_left_ms));
    lease.get_or_create(&PartLabels { part: "keys" }).set(left_s(status.keys_lease_left_ms));
    let help = "Time left of the right to use the row and to accept keys";
    registry.register_with_unit("right_left", help, Unit::Seconds, lease);
    if let Some(age_ms) = status.evidence_age_ms {
        let age = Real::default();
        age.set(age_ms as f64 / 1000.0);
        let help = "Age of the oldest evidence about a live row";
        registry.register_with_unit("evidence_age", help, Unit::Seconds, age);
    }
    gauge(registry, "rows", "Rows of the membership table", status.rows as f64);
    gauge(registry, "silent_rows", "Rows believed dead", status.silent_rows as f64);
    gauge(
        registry,
        "reader",
        "1 where the node holds watches at the platform for its availability zone",
        f64::from(u8::from(status.is_reader)),
    );
}

fn upstream(registry: &mut Registry, status: &NodeStatus) {
    gauge(
        registry,
        "upstream_serving",
        "1 where an upstream has announced itself and does not drain",
        f64::from(u8::from(status.upstream.is_some())),
    );
    let Some(gate) = &status.gate else { return };
    gauge(registry, "concurrency_limit", "Requests that may run at once", f64::from(gate.limit));
    gauge(registry, "running", "Requests that the upstream runs", f64::from(gate.in_flight));
    gauge(registry, "queued", "Requests that wait before the upstream", gate.waiting as f64);
    gauge(
        registry,
        "shed_below",
        "Importance below which requests are refused at present; 0 while none is",
        f64::from(gate.shed_below),
    );
}

fn accounts(registry: &mut Registry, status: &NodeStatus) {
    let rates = [
        Family::<OrganisationLabels, Real>::default(),
        Family::default(),
        Family::default(),
        Family::default(),
    ];
    let (tokens, waiting) =
        (Family::<OrganisationLabels, Real>::default(), Family::<_, Real>::default());
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
    registry.register("share_per_second", "Rate that this row has before loans", share);
    registry.register("lent_per_second", "Rate lent to other rows", lent);
    registry.register("borrowed_per_second", "Rate borrowed from other rows", borrowed);
    registry.register("demand_per_second", "Predicted demand at this node", demand);
    registry.register("tokens", "Requests that may be admitted at once", tokens);
    registry.register("waiting_for_tokens", "Requests that wait for a token", waiting);
}

fn gauge(registry: &mut Registry, name: &str, help: &str, value: f64) {
    let gauge = Real::default();
    gauge.set(value);
    registry.register(name, help, gauge);
}

fn count(registry: &mut Registry, name: &str, help: &str, value: u64) {
    let counter = Counter::<u64>::default();
    counter.inc_by(value);
    registry.register(name, help, counter);
}
