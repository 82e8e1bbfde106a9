//! Measures the cost of membership with real nodes: bytes of evidence and platform calls, at rest
//! and after the death of a node.
//!
//! `cargo build --bins && cargo run --example membership_cost -- 4 8 16` measures fleets of 4, 8
//! and 16 nodes.

use std::{
    path::PathBuf,
    time::{Duration, Instant},
};

use anyhow::Context as _;
use hibiscusdoor::standin::{Fleet, FleetOptions, NodeOptions, http_call, new_client};
use http::Method;
use serde_json::Value;

/// Length of the measurement at rest.
const IDLE_DURATION: Duration = Duration::from_secs(15);
/// Longest wait until all nodes have a settled table.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(200);
const ZONES: usize = 3;

/// Sums over all nodes and the platform at one time.
#[derive(Clone, Copy)]
struct Counters {
    at: Instant,
    pulls: f64,
    sent_bytes: f64,
    platform_calls: f64,
    platform_writes: f64,
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let program = std::env::current_exe()?;
    let programs = program
        .parent()
        .and_then(|it| it.parent())
        .context("the path of this program has no folder of programs above it")?
        .to_owned();
    println!(
        "| nodes | phase | seconds | evidence B/s a node | pulls/s a node | platform calls/s | platform calls/s a node | writes |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for size in std::env::args().skip(1) {
        measure(programs.clone(), size.parse()?).await?;
    }
    Ok(())
}

async fn measure(programs: PathBuf, size: usize) -> anyhow::Result<()> {
    let folder = std::env::temp_dir().join(format!("membership-cost-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    let mut fleet = Fleet::start(FleetOptions { programs, folder: folder.clone() })?;
    let start = Instant::now();
    for index in 0..size {
        let zone = format!("zone-{}", index % ZONES);
        fleet.add_node(NodeOptions { zone, ..NodeOptions::default() })?;
    }
    let all: Vec<usize> = (0..size).collect();
    wait_until_settled(&fleet, &all).await?;
    let joined = fleet.platform_counters().await?;
    println!(
        "| {size} | start | {:.1} | | | {:.2} | | {} |",
        start.elapsed().as_secs_f64(),
        number(&joined["calls"]) / start.elapsed().as_secs_f64(),
        number(&joined["writes"]),
    );
    // The store reads at the start and the first watches end within one lease term (4 s).
    tokio::time::sleep(Duration::from_secs(6)).await;
    let before = read_counters(&fleet, &all).await?;
    tokio::time::sleep(IDLE_DURATION).await;
    print_row(size, "idle", before, read_counters(&fleet, &all).await?, size);
    fleet.kill_node(size - 1)?;
    let live = &all[..size - 1];
    let before = read_counters(&fleet, live).await?;
    wait_until_settled(&fleet, live).await?;
    print_row(size, "one node dies", before, read_counters(&fleet, live).await?, size - 1);
    drop(fleet);
    std::fs::remove_dir_all(folder)?;
    Ok(())
}

/// Waits until exactly `nodes` have rows in a settled table.
async fn wait_until_settled(fleet: &Fleet, nodes: &[usize]) -> anyhow::Result<()> {
    let client = new_client();
    let start = Instant::now();
    for node in nodes {
        loop {
            let url = fleet.operator_url(*node, "/state");
            let state = http_call(&client, Method::GET, &url, &[], "").await?.json();
            let rows = state["table"]["rows"].as_array().map_or(0, Vec::len);
            if rows == nodes.len() && state["settled"] == true {
                break;
            }
            anyhow::ensure!(
                start.elapsed() < SETTLE_TIMEOUT,
                "node {node} has {rows} rows and no settled table of all live nodes after 60 s"
            );
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
    Ok(())
}

async fn read_counters(fleet: &Fleet, nodes: &[usize]) -> anyhow::Result<Counters> {
    let client = new_client();
    let (mut pulls, mut sent_bytes) = (0.0, 0.0);
    for node in nodes {
        let url = fleet.operator_url(*node, "/metrics");
        let reply = http_call(&client, Method::GET, &url, &[], "").await?;
        let text = String::from_utf8_lossy(&reply.body).into_owned();
        pulls += metric_value(&text, "hibiscusdoor_evidence_pulls_total{part=\"asked\"}");
        sent_bytes += metric_value(
            &text,
            "hibiscusdoor_peer_bytes_total{message=\"evidence\",direction=\"sent\"}",
        );
    }
    let platform = fleet.platform_counters().await?;
    Ok(Counters {
        at: Instant::now(),
        pulls,
        sent_bytes,
        platform_calls: number(&platform["calls"]),
        platform_writes: number(&platform["writes"]),
    })
}

/// Returns the value of a metric, 0 if it is missing.
fn metric_value(text: &str, name: &str) -> f64 {
    let line = text.lines().find_map(|line| line.strip_prefix(name));
    line.and_then(|value| value.trim().parse().ok()).unwrap_or(0.0)
}

fn number(value: &Value) -> f64 {
    value.as_f64().unwrap_or(0.0)
}

/// Prints the rates between two counts as a row of the table.
fn print_row(size: usize, phase: &str, before: Counters, after: Counters, nodes: usize) {
    let seconds = (after.at - before.at).as_secs_f64();
    let calls = (after.platform_calls - before.platform_calls) / seconds;
    let node_seconds = seconds * nodes as f64;
    println!(
        "| {size} | {phase} | {seconds:.1} | {:.0} | {:.2} | {calls:.2} | {:.3} | {:.0} |",
        (after.sent_bytes - before.sent_bytes) / node_seconds,
        (after.pulls - before.pulls) / node_seconds,
        calls / nodes as f64,
        after.platform_writes - before.platform_writes,
    );
}
