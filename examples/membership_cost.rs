//! Measures what membership costs real nodes: evidence bytes and platform calls, idle and while
//! a node dies.
//!
//! `cargo run --example membership_cost -- 4 8 16`; build the programs first.

use std::{
    path::PathBuf,
    time::{Duration, Instant},
};

use anyhow::Context as _;
use hibiscusdoor::standin::{Fleet, FleetOptions, NodeOptions, http_call, new_client};
use http::Method;
use serde_json::Value;

const IDLE: Duration = Duration::from_secs(15);
const LIMIT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(200);
const ZONES: usize = 3;

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
    let programs = program.parent().and_then(|it| it.parent()).context("no folder")?.to_owned();
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
    settled(&fleet, &all).await?;
    let joined = fleet.platform_counters().await?;
    println!(
        "| {size} | start | {:.1} | | | {:.2} | | {} |",
        start.elapsed().as_secs_f64(),
        number(&joined["calls"]) / start.elapsed().as_secs_f64(),
        number(&joined["writes"]),
    );
    // The reads of the start and the first watches are over after one term.
    tokio::time::sleep(Duration::from_secs(6)).await;
    let before = counters(&fleet, &all).await?;
    tokio::time::sleep(IDLE).await;
    report(size, "idle", before, counters(&fleet, &all).await?, size);
    fleet.kill_node(size - 1)?;
    let live = &all[..size - 1];
    let before = counters(&fleet, live).await?;
    settled(&fleet, live).await?;
    report(size, "one node dies", before, counters(&fleet, live).await?, size - 1);
    drop(fleet);
    std::fs::remove_dir_all(folder)?;
    Ok(())
}

/// Waits until exactly `nodes` have rows in a settled table.
async fn settled(fleet: &Fleet, nodes: &[usize]) -> anyhow::Result<()> {
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
            anyhow::ensure!(start.elapsed() < LIMIT, "node {node} has {rows} rows");
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
    Ok(())
}

async fn counters(fleet: &Fleet, nodes: &[usize]) -> anyhow::Result<Counters> {
    let client = new_client();
    let (mut pulls, mut sent_bytes) = (0.0, 0.0);
    for node in nodes {
        let url = fleet.operator_url(*node, "/metrics");
        let reply = http_call(&client, Method::GET, &url, &[], "").await?;
        let text = String::from_utf8_lossy(&reply.body).into_owned();
        pulls += metric(&text, "hibiscusdoor_evidence_pulls_total{part=\"asked\"}");
        sent_bytes +=
            metric(&text, "hibiscusdoor_peer_bytes_total{message=\"evidence\",direction=\"sent\"}");
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

fn metric(text: &str, name: &str) -> f64 {
    let line = text.lines().find_map(|line| line.strip_prefix(name));
    line.and_then(|value| value.trim().parse().ok()).unwrap_or(0.0)
}

fn number(value: &Value) -> f64 {
    value.as_f64().unwrap_or(0.0)
}

fn report(size: usize, phase: &str, before: Counters, after: Counters, nodes: usize) {
    let seconds = (after.at - before.at).as_secs_f64();
    let calls = (after.platform_calls - before.platform_calls) / seconds;
    let a_node = seconds * nodes as f64;
    println!(
        "| {size} | {phase} | {seconds:.1} | {:.0} | {:.2} | {calls:.2} | {:.3} | {:.0} |",
        (after.sent_bytes - before.sent_bytes) / a_node,
        (after.pulls - before.pulls) / a_node,
        calls / nodes as f64,
        after.platform_writes - before.platform_writes,
    );
}
