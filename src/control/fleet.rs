//! Commands that show the fleet.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::Write as _,
    time::{Duration, Instant},
};

use anyhow::bail;
use serde_json::json;

use crate::{
    admin::{FleetRevisions, FleetStatus, NodeStatus, RowStatus},
    admission::GateFigures,
    config::{Document, Importance},
    control::{
        command::Session,
        spread::{Progress, RolloutTracker},
        table::Table,
    },
    names::Revision,
};

const STATUS_PATH: &str = "/v1/status";
const DEFAULT_WAIT_S: u64 = 30;
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Counts of the requests of one kind.
#[derive(Debug, Default)]
struct Served {
    whole: u64,
    unknown: u64,
    refused: BTreeMap<String, u64>,
}

impl Served {
    fn total(&self) -> u64 {
        self.whole + self.unknown + self.refused.values().sum::<u64>()
    }

    fn cells(&self) -> [String; 4] {
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

/// Shows who is served how well, what is refused and why.
pub async fn status(session: &Session) -> anyhow::Result<String> {
    let fleet: FleetStatus = session.client.read(STATUS_PATH).await?;
    if session.json {
        return Ok(serde_json::to_string_pretty(&fleet)?);
    }
    let document: Option<Document> = session.client.read("/v1/configuration").await.ok();
    let mut text = summary(&fleet);
    let (classes, organisations) = served(&fleet);
    let mut order: Vec<&String> = classes.keys().collect();
    order.sort_by_key(|name| std::cmp::Reverse(importance(document.as_ref(), name)));
    let mut table = Table::new(&["class", "requests", "whole", "unknown", "refused"]);
    for name in order {
        table.row(std::iter::once(name.clone()).chain(classes[name].cells()));
    }
    let _ = write!(text, "\nClasses, the most important first:\n{table}");
    let mut table = Table::new(&["organisation", "requests", "whole", "unknown", "refused"]);
    for (name, served) in &organisations {
        table.row(std::iter::once(name.clone()).chain(served.cells()));
    }
    let _ = write!(text, "\nOrganisations:\n{table}");
    let _ = write!(text, "\nServices:\n{}", services(&fleet, document.as_ref()));
    Ok(text)
}

/// Load of each service, and the classes that one of its upstreams refuses at present.
fn services(fleet: &FleetStatus, document: Option<&Document>) -> Table {
    let mut services: BTreeMap<&str, Vec<&NodeStatus>> = BTreeMap::new();
    for row in &fleet.nodes {
        if let (Some(service), Some(status)) = (&row.service, &row.status) {
            services.entry(service).or_default().push(status);
        }
    }
    let mut table = Table::new(&["service", "upstreams", "running", "limit", "waiting", "sheds"]);
    for (service, nodes) in services {
        let serving = nodes.iter().filter(|status| status.upstream.is_some());
        let gates: Vec<GateFigures> = serving.filter_map(|status| status.gate).collect();
        let shed_below = gates.iter().map(|gate| gate.shed_below).max().unwrap_or(0);
        table.row([
            service.to_owned(),
            gates.len().to_string(),
            gates.iter().map(|gate| u64::from(gate.in_flight)).sum::<u64>().to_string(),
            gates.iter().map(|gate| u64::from(gate.limit)).sum::<u64>().to_string(),
            gates.iter().map(|gate| gate.waiting).sum::<usize>().to_string(),
            sheds_below(document, shed_below),
        ]);
    }
    table
}

fn summary(fleet: &FleetStatus) -> String {
    let count =
        |test: &dyn Fn(&RowStatus) -> bool| fleet.nodes.iter().filter(|it| test(it)).count();
    let status = |test: fn(&NodeStatus) -> bool| {
        move |row: &RowStatus| row.status.as_ref().is_some_and(test)
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
        counted(fleet.nodes.len(), "node"),
        counted(zones.len(), "availability zone"),
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

fn counted(number: usize, noun: &str) -> String {
    let plural = if number == 1 { "" } else { "s" };
    format!("{number} {noun}{plural}")
}

fn served(fleet: &FleetStatus) -> (BTreeMap<String, Served>, BTreeMap<String, Served>) {
    let (mut classes, mut organisations) = (BTreeMap::new(), BTreeMap::new());
    let counts = fleet.nodes.iter().filter_map(|row| row.status.as_ref());
    let counts = counts.flat_map(|status| &status.requests);
    // A call that an upstream makes belongs to a request that is counted already.
    for count in counts.filter(|count| count.from == "caller") {
        for served in [
            classes.entry(count.class.to_string()).or_insert_with(Served::default),
            organisations.entry(count.organisation.to_string()).or_insert_with(Served::default),
        ] {
            match count.outcome.as_str() {
                "whole" => served.whole += count.count,
                "unknown" => served.unknown += count.count,
                _ => *served.refused.entry(count.reason.clone()).or_default() += count.count,
            }
        }
    }
    (classes, organisations)
}

fn importance(document: Option<&Document>, class: &str) -> Option<Importance> {
    let class = document?.classes.iter().find(|it| &*it.name == class)?;
    Some(Importance::from_target(&class.target))
}

/// Shows the nodes, their revisions and leases.
pub async fn nodes(session: &Session) -> anyhow::Result<String> {
    let fleet: FleetStatus = session.client.read(STATUS_PATH).await?;
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
                lease(status.row_lease_left_ms),
                lease(status.keys_lease_left_ms),
                status.running.to_string(),
            ]),
            (None, error) => cells.push(error.clone().unwrap_or_default()),
        }
        table.row(cells);
    }
    Ok(table.to_string())
}

fn lease(left_ms: u64) -> String {
    match left_ms {
        0 => "no".to_owned(),
        _ => "yes".to_owned(),
    }
}

/// Shows the upstreams, their load and limits.
pub async fn upstreams(session: &Session) -> anyhow::Result<String> {
    let fleet: FleetStatus = session.client.read(STATUS_PATH).await?;
    let document: Option<Document> = session.client.read("/v1/configuration").await.ok();
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
                        sheds_below(document.as_ref(), gate.shed_below)
                    }),
                ]);
            }
            Some((_, None)) => cells.push("not announced or draining".to_owned()),
            None => cells.push(row.error.clone().unwrap_or_default()),
        }
        table.row(cells);
    }
    Ok(table.to_string())
}

/// Names the classes that an upstream refuses at present.
fn sheds_below(document: Option<&Document>, shed_below: u32) -> String {
    let classes = document.map(|it| it.classes.as_slice()).unwrap_or_default();
    let shed = classes.iter().filter(|it| Importance::from_target(&it.target).0 < shed_below);
    let names: Vec<&str> = shed.map(|class| &*class.name).collect();
    match names.is_empty() {
        true => "nothing".to_owned(),
        false => names.join(", "),
    }
}

/// Waits until a revision is in force on every node that accepts keys.
pub async fn wait_for_revision(
    session: &Session,
    revision: Revision,
    timeout_s: Option<u64>,
) -> anyhow::Result<String> {
    let limit = Duration::from_secs(timeout_s.unwrap_or(DEFAULT_WAIT_S));
    let start = Instant::now();
    let mut spread = RolloutTracker::new(revision);
    loop {
        let missing = match session.client.read::<FleetRevisions>("/v1/revisions").await {
            Ok(fleet) => match spread.check(start.elapsed(), &fleet.rows) {
                Progress::InForce { without_lease } => {
                    return Ok(in_force(session, revision, &without_lease));
                }
                Progress::Missing(missing) => missing,
            },
            Err(error) => vec![format!("no answer about the fleet: {error:#}")],
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

fn in_force(session: &Session, revision: Revision, without_lease: &[String]) -> String {
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
