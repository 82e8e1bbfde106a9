//! The time that nodes add to a call, against calling the same upstream directly.

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
const WORKERS: usize = 4;
const PAUSE: Duration = Duration::from_millis(2);
const PATH: &str = "/echo/1";
const KEY: &str = "Bearer probe.a-secret-for-measuring-a-hop";

/// Times of one way to the upstream.
#[derive(Debug)]
struct Way {
    name: &'static str,
    address: SocketAddr,
    latency_us: Histogram<u64>,
}

/// What [`measure_hop`] found; times in milliseconds.
#[derive(Debug)]
pub struct HopReport {
    ways: Vec<Way>,
}

impl fmt::Display for HopReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<34} {:>8} {:>8} {:>8} {:>11} {:>11}",
            "way", "calls", "p50 ms", "p99 ms", "added p50", "added p99"
        )?;
        let direct = &self.ways[0];
        for way in &self.ways {
            let added = |quantile| way.at_ms(quantile) - direct.at_ms(quantile);
            writeln!(
                f,
                "{:<34} {:>8} {:>8.3} {:>8.3} {:>11.3} {:>11.3}",
                way.name,
                way.latency_us.len(),
                way.at_ms(0.5),
                way.at_ms(0.99),
                added(0.5),
                added(0.99),
            )?;
        }
        Ok(())
    }
}

impl Way {
    fn new(name: &'static str, address: SocketAddr) -> anyhow::Result<Self> {
        Ok(Self { name, address, latency_us: Histogram::new(3)? })
    }

    fn at_ms(&self, quantile: f64) -> f64 {
        self.latency_us.value_at_quantile(quantile) as f64 / 1000.0
    }
}

/// Starts two nodes and one upstream and calls the upstream by three ways in turn.
///
/// The ways alternate call by call, so that a busy moment of the machine touches all alike.
pub async fn measure_hop(options: FleetOptions, calls: u32) -> anyhow::Result<HopReport> {
    let mut fleet = Fleet::start(options)?;
    let entry = fleet.add_node(NodeOptions { zone: "a".to_owned(), ..NodeOptions::default() })?;
    let guard = fleet.add_node(NodeOptions {
        zone: "b".to_owned(),
        service: "echo".to_owned(),
        slots: 64,
        ..NodeOptions::default()
    })?;
    configure(&fleet).await?;
    let nodes = &fleet.nodes;
    let upstream = nodes[guard].upstream_address.context("the node has no upstream")?;
    let ways = [
        ("upstream, called directly", upstream),
        ("node beside the upstream", nodes[guard].addresses.callers),
        ("entry node, then node of upstream", nodes[entry].addresses.callers),
    ];
    let mut workers = tokio::task::JoinSet::new();
    for _ in 0..WORKERS {
        let ways = ways.map(|(name, address)| Way::new(name, address));
        let ways = ways.into_iter().collect::<anyhow::Result<Vec<Way>>>()?;
        workers.spawn(call_in_turn(ways, calls / WORKERS as u32));
    }
    let mut report: Option<HopReport> = None;
    while let Some(ways) = workers.join_next().await {
        let ways = ways??;
        match &mut report {
            None => report = Some(HopReport { ways }),
            Some(report) => {
                for (sum, way) in report.ways.iter_mut().zip(ways) {
                    sum.latency_us.add(&way.latency_us)?;
                }
            }
        }
    }
    report.context("no worker ran")
}

async fn call_in_turn(mut ways: Vec<Way>, calls: u32) -> anyhow::Result<Vec<Way>> {
    let client = new_client();
    for number in 0..WARM_UP_CALLS + calls {
        for way in &mut ways {
            let latency = call(&client, way.address).await?;
            if number >= WARM_UP_CALLS {
                way.latency_us.record(u64::try_from(latency.as_micros())?)?;
            }
        }
        tokio::time::sleep(PAUSE).await;
    }
    Ok(ways)
}

async fn call(client: &HttpClient, address: SocketAddr) -> anyhow::Result<Duration> {
    let url = format!("http://{address}{PATH}");
    let start = Instant::now();
    let headers = [("authorization", KEY)];
    let reply = http_call(client, Method::POST, &url, &headers, "a small body").await?;
    let latency = start.elapsed();
    ensure!(reply.status.is_success(), "{url} answered {}: {:?}", reply.status, reply.body);
    Ok(latency)
}

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
    ensure!(reply.status.is_success(), "the configuration was refused: {:?}", reply.body);
    fleet
        .wait_for_state("revision 1 and a row with the service", READY_TIMEOUT, |state| {
            let rows = state["table"]["rows"].as_array().map(Vec::as_slice).unwrap_or_default();
            state["revision"] == 1 && rows.iter().any(|row| row["service"] == "echo")
        })
        .await
}
