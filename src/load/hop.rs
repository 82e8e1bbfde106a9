//! Measures the latency that nodes add to a call, compared with direct calls of the same upstream.

use std::{
    fmt,
    net::SocketAddr,
    time::{Duration, Instant},
};

use anyhow::{Context as _, ensure};
use bytes::Bytes;
use hdrhistogram::Histogram;
use http::Method;
use serde_json::json;

use crate::standin::{Fleet, FleetOptions, HttpClient, NodeOptions, http_call, new_client};

const READY_TIMEOUT: Duration = Duration::from_secs(30);
const WARM_UP_CALLS: u32 = 200;
const WORKER_COUNT: usize = 4;
/// Pause of a worker after one call on each path.
const ROUND_PAUSE: Duration = Duration::from_millis(2);
const REQUEST_PATH: &str = "/echo/1";
const AUTHORIZATION: &str = "Bearer probe.a-secret-for-measuring-a-hop";

/// Latency of the calls on one path to the upstream.
#[derive(Debug)]
struct Path {
    name: &'static str,
    address: SocketAddr,
    latency_us: Histogram<u64>,
}

/// Result of [`measure_hop`]; its text shows times in milliseconds.
#[derive(Debug)]
pub struct HopReport {
    paths: Vec<Path>,
}

impl fmt::Display for HopReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<34} {:>8} {:>8} {:>8} {:>11} {:>11}",
            "way", "calls", "p50 ms", "p99 ms", "added p50", "added p99"
        )?;
        let direct = &self.paths[0];
        for path in &self.paths {
            let added = |quantile| path.quantile_ms(quantile) - direct.quantile_ms(quantile);
            writeln!(
                f,
                "{:<34} {:>8} {:>8.3} {:>8.3} {:>11.3} {:>11.3}",
                path.name,
                path.latency_us.len(),
                path.quantile_ms(0.5),
                path.quantile_ms(0.99),
                added(0.5),
                added(0.99),
            )?;
        }
        Ok(())
    }
}

impl Path {
    fn new(name: &'static str, address: SocketAddr) -> anyhow::Result<Self> {
        Ok(Self { name, address, latency_us: Histogram::new(3)? })
    }

    fn quantile_ms(&self, quantile: f64) -> f64 {
        self.latency_us.value_at_quantile(quantile) as f64 / 1000.0
    }
}

/// Starts two nodes and one upstream and calls the upstream on three paths.
///
/// The paths alternate call by call, so that other load on the machine affects all of them equally.
pub async fn measure_hop(options: FleetOptions, calls: u32) -> anyhow::Result<HopReport> {
    let mut fleet = Fleet::start(options)?;
    let entry = fleet.add_node(NodeOptions { zone: "a".to_owned(), ..NodeOptions::default() })?;
    let upstream_node = fleet.add_node(NodeOptions {
        zone: "b".to_owned(),
        service: "echo".to_owned(),
        slots: 64,
        ..NodeOptions::default()
    })?;
    configure(&fleet).await?;
    let nodes = &fleet.nodes;
    let upstream = nodes[upstream_node].upstream_address.context("the node has no upstream")?;
    let paths = [
        ("upstream, called directly", upstream),
        ("node beside the upstream", nodes[upstream_node].addresses.callers),
        ("entry node, then node of upstream", nodes[entry].addresses.callers),
    ];
    let mut workers = tokio::task::JoinSet::new();
    for _ in 0..WORKER_COUNT {
        let paths = paths.map(|(name, address)| Path::new(name, address));
        let paths = paths.into_iter().collect::<anyhow::Result<Vec<Path>>>()?;
        workers.spawn(call_in_turn(paths, calls / WORKER_COUNT as u32));
    }
    let mut report: Option<HopReport> = None;
    while let Some(paths) = workers.join_next().await {
        let paths = paths??;
        match &mut report {
            None => report = Some(HopReport { paths }),
            Some(report) => {
                for (sum, path) in report.paths.iter_mut().zip(paths) {
                    sum.latency_us.add(&path.latency_us)?;
                }
            }
        }
    }
    report.context("no worker ran")
}

/// Calls each path once a round and records the latency after the warm-up.
async fn call_in_turn(mut paths: Vec<Path>, calls: u32) -> anyhow::Result<Vec<Path>> {
    let client = new_client();
    for number in 0..WARM_UP_CALLS + calls {
        for path in &mut paths {
            let latency = timed_call(&client, path.address).await?;
            if number >= WARM_UP_CALLS {
                path.latency_us.record(u64::try_from(latency.as_micros())?)?;
            }
        }
        tokio::time::sleep(ROUND_PAUSE).await;
    }
    Ok(paths)
}

async fn timed_call(client: &HttpClient, address: SocketAddr) -> anyhow::Result<Duration> {
    let url = format!("http://{address}{REQUEST_PATH}");
    let start = Instant::now();
    let headers = [("authorization", AUTHORIZATION)];
    let reply = http_call(client, Method::POST, &url, &headers, "a small body").await?;
    let latency = start.elapsed();
    ensure!(reply.status.is_success(), "{url} answered {}: {:?}", reply.status, reply.body);
    Ok(latency)
}

/// Writes a configuration with one route to the upstream, and waits until all nodes have it.
async fn configure(fleet: &Fleet) -> anyhow::Result<()> {
    let document = json!({
        "organisations": [{ "name": "probe", "rate_per_s": 1_000_000, "burst": 1_000_000 }],
        "keys": [{
            "id": "probe", "organisation": "probe", "secret": "a-secret-for-measuring-a-hop",
        }],
        "classes": [{
            "name": "probe", "target": { "must_get_through": 1.0, "answer_within_ms": 5000 },
        }],
        "services": [{ "name": "echo" }],
        "routes": [{
            "prefix": "/echo", "service": "echo", "class": "probe", "idempotency": "always",
        }],
    });
    let url = fleet.operator_url(0, "/v1/configuration");
    let body = Bytes::from(document.to_string());
    let reply = http_call(&new_client(), Method::PUT, &url, &[], body).await?;
    ensure!(
        reply.status.is_success(),
        "the node refused the configuration with {}: {:?}",
        reply.status,
        reply.body
    );
    fleet
        .wait_for_state("revision 1 and a row with the service", READY_TIMEOUT, |state| {
            let rows = state["table"]["rows"].as_array().map(Vec::as_slice).unwrap_or_default();
            state["revision"] == 1 && rows.iter().any(|row| row["service"] == "echo")
        })
        .await
}
