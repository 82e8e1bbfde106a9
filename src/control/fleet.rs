//! Commands that show the fleet, and the wait for a revision to be in force.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::Write as _,
    time::{Duration, Instant},
};

use anyhow::bail;
use serde_json::json;

use crate::{
    admin::{FleetRevisions, FleetStatus, NodeStatus, RowStatus},
    admission::GateStatus,
    config::{Document, Importance},
    control::{
        command::Session,
        spread::{Progress, RolloutTracker},
        table::Table,
    },
    names::Revision,
};

const STATUS_PATH: &str = "/v1/status";
const DEFAULT_TIMEOUT_S: u64 = 30;
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Requests of one class or organisation, by outcome; refusals by reason.
#[derive(Debug, Default)]
struct OutcomeCounts {
    whole: u64,
    unknown: u64,
    refused: BTreeMap<String, u64>,
}

impl OutcomeCounts {
    fn total(&self) -> u64 {
        self.whole + self.unknown + self.refused.values().sum::<u64>()
    }

    fn to_cells(&self) -> [String; 4] {
        let total = self.total();
        let refused: u64 = self.refused.values().sum();
        let mut reasons: Vec<(&String, &u64)> = self.refused.iter().collect();
        reasons.sort_by_key(|(_, count)| std::cmp::Reverse(**count));
        let reasons: Vec<String> =
            reasons.iter().map(|(reason, count)| format!("{reason} {count}")).collect();
        let whole = match total {
            0 => "–".to_owned(),
            _ => format!("{:.2}%", 100.0 * self.whole as f64 / total as f64),
        };
        let refused = match reasons.is_empty() {
            true => "0".to_owned(),
            false => format!("{refused}: {}", reasons.join(", ")),
        };
        [total.to_string(), whole, self.unknown.to_string(), refused]
    }
}

/// Output of `status`: requests by class and by organisation, refusals by reason, load by service.
pub async fn status(session: &Session) -> anyhow::Result<String> {
    let fleet: FleetStatus = session.client.get_json(STATUS_PATH).await?;
    if session.json {
        return Ok(serde_json::to_string_pretty(&fleet)?);
    }
    let document: Option<Document> = session.client.get_json("/v1/configuration").await.ok();
    let mut text = summary(&fleet);
    let (classes, organisations) = count_outcomes(&fleet);
    let mut order: Vec<&String> = classes.keys().collect();
    order.sort_by_key(|name| std::cmp::Reverse(importance(document.as_ref(), name)));
    let mut table = Table::new(&["class", "requests", "whole", "unknown", "refused"]);
    for name in order {
        table.add_row(std::iter::once(name.clone()).chain(classes[name].to_cells()));
    }
    let _ = write!(text, "\nClasses, the most important first:\n{table}");
    let mut table = Table::new(&["organisation", "requests", "whole", "unknown", "refused"]);
    for (name, counts) in &organisations {
        table.add_row(std::iter::once(name.clone()).chain(counts.to_cells()));
    }
    let _ = write!(text, "\nOrganisations:\n{table}");
    let _ = write!(text, "\nServices:\n{}", services_table(&fleet, document.as_ref()));
    Ok(text)
}

/// Table of the load of each service and of the classes that any of its upstreams sheds at present.
fn services_table(fleet: &FleetStatus, document: Option<&Document>) -> Table {
    let mut services: BTreeMap<&str, Vec<&NodeStatus>> = BTreeMap::new();
    for row in &fleet.nodes {
        if let (Some(service), Some(status)) = (&row.service, &row.status) {
            services.entry(service).or_default().push(status);
        }
    }
    let mut table = Table::new(&["service", "upstreams", "running", "limit", "waiting", "sheds"]);
    for (service, nodes) in services {
        let serving = nodes.iter().filter(|status| status.upstream.is_some());
        let gates: Vec<GateStatus> = serving.filter_map(|status| status.gate).collect();
        let shed_below = gates.iter().map(|gate| gate.shed_below).max().unwrap_or(0);
        table.add_row([
            service.to_owned(),
            gates.len().to_string(),
            gates.iter().map(|gate| u64::from(gate.in_flight)).sum::<u64>().to_string(),
            gates.iter().map(|gate| u64::from(gate.limit)).sum::<u64>().to_string(),
            gates.iter().map(|gate| gate.waiting).sum::<usize>().to_string(),
            shed_classes(document, shed_below),
        ]);
    }
    table
}

/// Number and state of the nodes, and an error line for each node without a status.
fn summary(fleet: &FleetStatus) -> String {
    let count = |condition: &dyn Fn(&RowStatus) -> bool| {
        fleet.nodes.iter().filter(|it| condition(it)).count()
    };
    let status = |condition: fn(&NodeStatus) -> bool| {
        move |row: &RowStatus| row.status.as_ref().is_some_and(condition)
    };
    let answered = count(&|row| row.status.is_some());
    let serving = count(&status(|it| it.upstream.is_some()));
    let leases = count(&status(|it| it.keys_lease_left_ms > 0));
    let zones: BTreeSet<&str> = fleet.nodes.iter().map(|row| &*row.zone).collect();
    let revisions: BTreeSet<Revision> =
        fleet.nodes.iter().filter_map(|row| Some(row.status.as_ref()?.revision)).collect();
    let revisions: Vec<String> = revisions.iter().map(Revision::to_string).collect();
    let mut text = format!(
        "{} in {}: {answered} answer, {serving} have an upstream, \
         {leases} accept keys\ntable version {}, revision in force {}\n",
        count_with_noun(fleet.nodes.len(), "node"),
        count_with_noun(zones.len(), "availability zone"),
        fleet.table_version,
        revisions.join(" and "),
    );
    for row in &fleet.nodes {
        if let Some(error) = &row.error {
            let _ = writeln!(text, "{} in {}: {error}", row.instance, row.zone);
        }
    }
    text
}

fn count_with_noun(number: usize, noun: &str) -> String {
    let plural = if number == 1 { "" } else { "s" };
    format!("{number} {noun}{plural}")
}

/// Requests from callers over the whole fleet, by class and by organisation.
fn count_outcomes(
    fleet: &FleetStatus,
) -> (BTreeMap<String, OutcomeCounts>, BTreeMap<String, OutcomeCounts>) {
    let (mut classes, mut organisations) = (BTreeMap::new(), BTreeMap::new());
    let counts = fleet.nodes.iter().filter_map(|row| row.status.as_ref());
    let counts = counts.flat_map(|status| &status.requests);
    // A call from an upstream belongs to a caller's request, which is counted already.
    for count in counts.filter(|count| count.from == "caller") {
        for counts in [
            classes.entry(count.class.to_string()).or_insert_with(OutcomeCounts::default),
            organisations
                .entry(count.organisation.to_string())
                .or_insert_with(OutcomeCounts::default),
        ] {
            match count.outcome.as_str() {
                "whole" => counts.whole += count.count,
                "unknown" => counts.unknown += count.count,
                _ => *counts.refused.entry(count.reason.clone()).or_default() += count.count,
            }
        }
    }
    (classes, organisations)
}

fn importance(document: Option<&Document>, class: &str) -> Option<Importance> {
    let class = document?.classes.iter().find(|it| &*it.name == class)?;
    Some(Importance::from_target(&class.target))
}

/// Output of `nodes`: state, table version, configuration revision and leases of each node.
pub async fn nodes(session: &Session) -> anyhow::Result<String> {
    let fleet: FleetStatus = session.client.get_json(STATUS_PATH).await?;
    if session.json {
        return Ok(serde_json::to_string_pretty(&fleet.nodes)?);
    }
    let columns =
        ["instance", "zone", "state", "table", "revision", "row right", "keys", "running"];
    let mut table = Table::new(&columns);
    for row in &fleet.nodes {
        let mut cells = vec![row.instance.to_string(), row.zone.to_string()];
        match (&row.status, &row.error) {
            (Some(status), _) => cells.extend([
                if status.draining { "draining" } else { "serving" }.to_owned(),
                status.table_version.to_string(),
                status.revision.to_string(),
                lease_cell(status.row_lease_left_ms),
                lease_cell(status.keys_lease_left_ms),
                status.running.to_string(),
            ]),
            (None, error) => cells.push(error.clone().unwrap_or_default()),
        }
        table.add_row(cells);
    }
    Ok(table.to_string())
}

/// Cell that says whether a lease with this remaining time is valid.
fn lease_cell(left_ms: u64) -> String {
    match left_ms {
        0 => "no".to_owned(),
        _ => "yes".to_owned(),
    }
}

/// Output of `upstreams`: load and limits of each upstream.
pub async fn upstreams(session: &Session) -> anyhow::Result<String> {
    let fleet: FleetStatus = session.client.get_json(STATUS_PATH).await?;
    let document: Option<Document> = session.client.get_json("/v1/configuration").await.ok();
    let serving = fleet.nodes.into_iter().filter(|row| row.service.is_some());
    let mut rows: Vec<RowStatus> = serving.collect();
    rows.sort_by(|a, b| (&a.service, &a.instance).cmp(&(&b.service, &b.instance)));
    if session.json {
        return Ok(serde_json::to_string_pretty(&rows)?);
    }
    let columns =
        ["service", "instance", "zone", "address", "slots", "limit", "running", "waiting", "sheds"];
    let mut table = Table::new(&columns);
    for row in &rows {
        let service = row.service.as_deref().unwrap_or_default().to_owned();
        let mut cells = vec![service, row.instance.to_string(), row.zone.to_string()];
        match row.status.as_ref().map(|status| (status, &status.upstream)) {
            Some((status, Some(upstream))) => {
                let gate = status.gate;
                let number = |value: Option<String>| value.unwrap_or_else(|| "–".to_owned());
                cells.extend([
                    upstream.address.to_string(),
                    upstream.slots.to_string(),
                    number(gate.map(|gate| gate.limit.to_string())),
                    number(gate.map(|gate| gate.in_flight.to_string())),
                    number(gate.map(|gate| gate.waiting.to_string())),
                    gate.map_or(String::new(), |gate| {
                        shed_classes(document.as_ref(), gate.shed_below)
                    }),
                ]);
            }
            Some((_, None)) => cells.push("not announced or draining".to_owned()),
            None => cells.push(row.error.clone().unwrap_or_default()),
        }
        table.add_row(cells);
    }
    Ok(table.to_string())
}

/// Names of the classes with an importance below `shed_below`, which the upstream sheds at present.
fn shed_classes(document: Option<&Document>, shed_below: u32) -> String {
    let classes = document.map(|it| it.classes.as_slice()).unwrap_or_default();
    let shed = classes.iter().filter(|it| Importance::from_target(&it.target).0 < shed_below);
    let names: Vec<&str> = shed.map(|class| &*class.name).collect();
    match names.is_empty() {
        true => "nothing".to_owned(),
        false => names.join(", "),
    }
}

/// Waits until a revision is in force on every node that accepts keys; fails after `timeout_s`.
pub async fn wait_for_revision(
    session: &Session,
    revision: Revision,
    timeout_s: Option<u64>,
) -> anyhow::Result<String> {
    let limit = Duration::from_secs(timeout_s.unwrap_or(DEFAULT_TIMEOUT_S));
    let start = Instant::now();
    let mut rollout = RolloutTracker::new(revision);
    loop {
        let missing = match session.client.get_json::<FleetRevisions>("/v1/revisions").await {
            Ok(fleet) => match rollout.check(start.elapsed(), &fleet.rows) {
                Progress::InForce { without_lease } => {
                    return Ok(in_force_text(session, revision, &without_lease));
                }
                Progress::Missing(missing) => missing,
            },
            Err(error) => vec![format!("reading the revisions of the fleet failed: {error:#}")],
        };
        if start.elapsed() >= limit {
            bail!(
                "revision {revision} is accepted, but after {limit:?} it is not in force on: {}",
                missing.join(", ")
            );
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn in_force_text(session: &Session, revision: Revision, without_lease: &[String]) -> String {
    if session.json {
        let value = json!({ "revision": revision, "without_right": without_lease });
        return value.to_string();
    }
    let mut text = format!("revision {revision} is accepted and in force on every node");
    if !without_lease.is_empty() {
        let _ = write!(
            text,
            "; not counted, since they accept no keys any more: {}",
            without_lease.join(", ")
        );
    }
    text
}
