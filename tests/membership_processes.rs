//! The membership table with real processes that are killed or frozen, and with a platform outage.

mod support;

use std::time::{Duration, Instant};

use hibiscusdoor::standin::{FaultSettings, Fleet, NodeOptions, http_call, new_client};
use http::Method;
use serde_json::{Value, json};

use crate::support::{WAIT, start_fleet};

const KEY: &str = "Bearer bole.sample-secret-of-bole-bars";
const POLL_INTERVAL: Duration = Duration::from_millis(50);

async fn start_serving_fleet(nodes: usize) -> anyhow::Result<(Fleet, tempfile::TempDir)> {
    let (mut fleet, folder) = start_fleet();
    for index in 0..nodes {
        fleet.add_node(NodeOptions {
            zone: format!("zone-{}", index % 3),
            service: "drops".to_owned(),
            slots: 8,
            service_time_ms: 1,
            call_path: None,
        })?;
    }
    let mut document: Value = serde_json::from_str(include_str!("../sample/configuration.json"))?;
    document["organisations"][0]["rate_per_s"] = json!(100_000);
    document["organisations"][0]["burst"] = json!(100_000);
    let url = fleet.operator_url(0, "/v1/configuration");
    let reply = http_call(&new_client(), Method::PUT, &url, &[], document.to_string()).await?;
    anyhow::ensure!(reply.status == 200, "{:?}", reply.body);
    let all: Vec<usize> = (0..nodes).collect();
    wait_for(&fleet, &all, "every node serves under one settled table", |state| {
        serving_rows(state) == nodes && state["revision"] == 1 && is_serving(state)
    })
    .await?;
    Ok((fleet, folder))
}

/// Number of rows in the node's table whose upstream has announced itself.
fn serving_rows(state: &Value) -> usize {
    let rows = state["table"]["rows"].as_array().map(Vec::as_slice).unwrap_or_default();
    rows.iter().filter(|row| !row["service"].is_null()).count()
}

fn is_serving(state: &Value) -> bool {
    let has = |lease: &str| state[lease].as_u64().is_some_and(|left_ms| left_ms > 0);
    state["settled"] == true && has("row_right_left_ms") && has("keys_right_left_ms")
}

/// Returns the state that a node reports to operators, or null without a reply within 1 s.
async fn fetch_state(fleet: &Fleet, node: usize) -> Value {
    let url = fleet.operator_url(node, "/state");
    let client = new_client();
    let call = http_call(&client, Method::GET, &url, &[], "");
    match tokio::time::timeout(Duration::from_secs(1), call).await {
        Ok(Ok(reply)) => reply.json(),
        _ => Value::Null,
    }
}

/// Waits until each of the nodes has reported a state that satisfies `condition`, and returns the
/// time taken.
async fn wait_for(
    fleet: &Fleet,
    nodes: &[usize],
    what: &str,
    condition: impl Fn(&Value) -> bool,
) -> anyhow::Result<Duration> {
    let start = Instant::now();
    for node in nodes {
        loop {
            let state = fetch_state(fleet, *node).await;
            if condition(&state) {
                break;
            }
            anyhow::ensure!(
                start.elapsed() < WAIT,
                "node {node} did not reach the state {what:?} within {WAIT:?}: {state}"
            );
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
    Ok(start.elapsed())
}

/// Sends a request through a node and returns the status and the reason of a refusal.
async fn send_request(fleet: &Fleet, node: usize) -> anyhow::Result<(u16, String)> {
    let url = fleet.caller_url(node, "/drops/1");
    let headers = [("authorization", KEY)];
    let reply = http_call(&new_client(), Method::POST, &url, &headers, "body").await?;
    Ok((reply.status.as_u16(), reply.json()["reason"].as_str().unwrap_or_default().to_owned()))
}

/// Guards against a killed node whose row stays in the table and keeps its share of the rates.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn killed_node_is_evicted() -> anyhow::Result<()> {
    let (mut fleet, _folder) = start_serving_fleet(5).await?;
    fleet.kill_node(4)?;
    let waited = wait_for(&fleet, &[0, 1, 2, 3], "four rows in a settled table", |state| {
        serving_rows(state) == 4 && is_serving(state)
    })
    .await?;
    println!("killed_node_is_evicted: settled without the row after {waited:.1?}");
    Ok(())
}

/// Guards against a frozen process that uses its old table when it resumes, or never joins again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn frozen_node_is_evicted_and_joins_again() -> anyhow::Result<()> {
    let (fleet, _folder) = start_serving_fleet(4).await?;
    let incarnation = fetch_state(&fleet, 3).await["incarnation"].clone();
    fleet.pause_daemon(3)?;
    wait_for(&fleet, &[0, 1, 2], "three rows in a settled table", |state| {
        serving_rows(state) == 3 && is_serving(state)
    })
    .await?;
    fleet.resume_daemon(3)?;
    wait_for(&fleet, &[0, 1, 2, 3], "four rows in a settled table", |state| {
        serving_rows(state) == 4 && is_serving(state)
    })
    .await?;
    assert_eq!(fetch_state(&fleet, 3).await["incarnation"], incarnation);
    Ok(())
}

/// Guards against leases that expire without the platform, and against a table that is not
/// corrected after an outage.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn platform_outage_stops_no_request() -> anyhow::Result<()> {
    let (mut fleet, _folder) = start_serving_fleet(5).await?;
    let version = fetch_state(&fleet, 0).await["table"]["version"].clone();
    let down = FaultSettings { down: true, ..FaultSettings::default() };
    fleet.set_faults(&down).await?;
    fleet.kill_node(4)?;
    // A row is considered dead only after every lease that new evidence does not renew has expired.
    wait_for(&fleet, &[0, 1, 2, 3], "the killed node is considered dead", |state| {
        state["dead"] == json!(["i04"])
    })
    .await?;
    for node in 0..4 {
        let state = fetch_state(&fleet, node).await;
        assert!(is_serving(&state), "{state}");
        assert_eq!(state["table"]["version"], version, "the table is frozen");
        // Target selection may still choose the dead row; the entry node itself never refuses.
        let (status, reason) = send_request(&fleet, node).await?;
        assert!(status == 200 || reason == "peer_failed" || reason == "no_upstream", "{reason}");
    }
    fleet.set_faults(&FaultSettings::default()).await?;
    wait_for(&fleet, &[0, 1, 2, 3], "four rows in a settled table", |state| {
        serving_rows(state) == 4 && is_serving(state)
    })
    .await?;
    Ok(())
}

/// Guards against a table update that is lost or applied twice when the platform's answer is lost.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn update_whose_answer_is_lost_is_found() -> anyhow::Result<()> {
    let (mut fleet, _folder) = start_serving_fleet(4).await?;
    let version = fetch_state(&fleet, 0).await["table"]["version"].as_u64().unwrap_or(0);
    fleet.set_faults(&FaultSettings { lose_answers: 1, ..FaultSettings::default() }).await?;
    fleet.kill_node(3)?;
    wait_for(&fleet, &[0, 1, 2], "three rows in the next version", |state| {
        serving_rows(state) == 3 && state["table"]["version"] == version + 1 && is_serving(state)
    })
    .await?;
    Ok(())
}

/// Guards against a graceful shutdown that leaves the row in the table until it is evicted.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn terminated_node_leaves_the_table() -> anyhow::Result<()> {
    let (fleet, _folder) = start_serving_fleet(4).await?;
    fleet.terminate_daemon(3)?;
    let waited = wait_for(&fleet, &[0, 1, 2], "three rows in a settled table", |state| {
        serving_rows(state) == 3 && is_serving(state)
    })
    .await?;
    println!("terminated_node_leaves_the_table: settled without the row after {waited:.1?}");
    assert!(waited < Duration::from_secs(5), "an eviction alone takes 5 s: {waited:?}");
    Ok(())
}
