//! Rate limits of organisations across a fleet of real processes.

mod support;

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use hibiscusdoor::standin::{Fleet, HttpReply, NodeOptions, http_call, new_client};
use http::Method;
use serde_json::json;

use crate::support::{WAIT, start_fleet};

const NODES: usize = 6;
const RATE_PER_S: f64 = 200.0;
const BURST: f64 = 100.0;
const KEY: &str = "Bearer bole.sample-secret-of-bole-bars";

/// Results of requests that were sent at a steady rate.
struct LoadResult {
    offered: usize,
    admitted: usize,
    refused: usize,
    elapsed: Duration,
    last_refusal: Option<HttpReply>,
}

/// Guards against nodes that each admit the organisation's total rate, and against refusals without
/// a reason or Retry-After.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn several_times_the_rate_at_all_nodes_is_held_to_burst_and_rate() -> anyhow::Result<()> {
    let (fleet, _folder) = start_rate_limited_fleet().await?;
    let result =
        send_load(&fleet, 4.0 * RATE_PER_S, Duration::from_secs(5), |number| number % NODES).await;
    let max_admitted = BURST + RATE_PER_S * result.elapsed.as_secs_f64();
    print_result("all nodes at four times the rate", &result, max_admitted);
    assert!(
        result.admitted as f64 <= max_admitted,
        "{} requests admitted, at most {max_admitted} allowed",
        result.admitted
    );
    assert_eq!(result.admitted + result.refused, result.offered);
    let refusal = result.last_refusal.expect("requests over the rate are refused");
    assert_eq!(refusal.status, 429);
    assert_eq!(refusal.header("hibiscus-outcome"), "not-run");
    assert_eq!(refusal.json()["reason"], "over_rate");
    let retry_after: u64 = refusal.header("retry-after").parse()?;
    assert!((1..=75).contains(&retry_after), "Retry-After: {retry_after}");
    Ok(())
}

/// Guards against an organisation that is limited to one node's share because its callers use only
/// that node.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn load_at_one_node_alone_gets_nearly_the_whole_rate() -> anyhow::Result<()> {
    let (fleet, _folder) = start_rate_limited_fleet().await?;
    let result = send_load(&fleet, 0.9 * RATE_PER_S, Duration::from_secs(5), |_| 0).await;
    let max_admitted = BURST + RATE_PER_S * result.elapsed.as_secs_f64();
    print_result("one node at 0.9 of the rate", &result, max_admitted);
    assert!(result.admitted as f64 <= max_admitted);
    let admitted_fraction = result.admitted as f64 / result.offered as f64;
    assert!(
        admitted_fraction >= 0.99,
        "{admitted_fraction} of the requests within the rate were admitted, expected at least 0.99"
    );
    Ok(())
}

fn print_result(what: &str, result: &LoadResult, max_admitted: f64) {
    println!(
        "{what}: offered {}, admitted {}, refused {}, in {:.2} s; limit {max_admitted:.0}",
        result.offered,
        result.admitted,
        result.refused,
        result.elapsed.as_secs_f64(),
    );
}

/// Sends requests at a steady rate, regardless of the replies, to the nodes that `node` selects by
/// request number.
async fn send_load(
    fleet: &Fleet,
    per_s: f64,
    length: Duration,
    node: impl Fn(usize) -> usize,
) -> LoadResult {
    let client = new_client();
    let (admitted, refused) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let offered = (per_s * length.as_secs_f64()) as usize;
    let started = Instant::now();
    let mut tasks = tokio::task::JoinSet::new();
    for number in 0..offered {
        let due = started + Duration::from_secs_f64(number as f64 / per_s);
        tokio::time::sleep_until(due.into()).await;
        let url = fleet.caller_url(node(number), "/stock/1");
        let (client, admitted, refused) = (client.clone(), admitted.clone(), refused.clone());
        tasks.spawn(async move {
            let headers = [("authorization", KEY)];
            let reply = http_call(&client, Method::GET, &url, &headers, Bytes::new()).await.ok()?;
            match reply.status.as_u16() {
                429 => refused.fetch_add(1, Ordering::Relaxed),
                _ => admitted.fetch_add(1, Ordering::Relaxed),
            };
            (reply.status == 429).then_some(reply)
        });
    }
    let mut last_refusal = None;
    while let Some(reply) = tasks.join_next().await {
        last_refusal = reply.ok().flatten().or(last_refusal);
    }
    LoadResult {
        offered,
        admitted: admitted.load(Ordering::Relaxed),
        refused: refused.load(Ordering::Relaxed),
        elapsed: started.elapsed(),
        last_refusal,
    }
}

async fn start_rate_limited_fleet() -> anyhow::Result<(Fleet, tempfile::TempDir)> {
    let (mut fleet, folder) = start_fleet();
    for index in 0..NODES {
        fleet.add_node(NodeOptions {
            zone: format!("zone-{}", index % 3),
            service: "stock".to_owned(),
            slots: 64,
            service_time_ms: 1,
            call_path: None,
        })?;
    }
    let client = new_client();
    let url = fleet.operator_url(0, "/v1/configuration");
    let mut document: serde_json::Value =
        serde_json::from_str(include_str!("../sample/configuration.json"))?;
    document["organisations"][0]["rate_per_s"] = json!(RATE_PER_S);
    document["organisations"][0]["burst"] = json!(BURST);
    let reply =
        http_call(&client, Method::PUT, &url, &[], Bytes::from(document.to_string())).await?;
    assert_eq!(reply.status, 200, "{:?}", reply.body);
    fleet
        .wait_for_state("revision 1 and all rows with a service", WAIT, |state| {
            let rows = state["table"]["rows"].as_array().map(Vec::as_slice).unwrap_or_default();
            let serving = rows.iter().filter(|row| !row["service"].is_null()).count();
            state["revision"] == 1 && serving == NODES
        })
        .await?;
    wait_for_tokens(&fleet).await?;
    Ok((fleet, folder))
}

/// Waits until the buckets, which start empty, admit a tenth of the burst without a refusal.
async fn wait_for_tokens(fleet: &Fleet) -> anyhow::Result<()> {
    let client = new_client();
    let deadline = Instant::now() + WAIT;
    while Instant::now() < deadline {
        let mut admitted = 0;
        for number in 0..(BURST / 10.0) as usize {
            let url = fleet.caller_url(number % NODES, "/stock/1");
            let headers = [("authorization", KEY)];
            let reply = http_call(&client, Method::GET, &url, &headers, Bytes::new()).await?;
            admitted += usize::from(reply.status == 200);
        }
        if admitted == (BURST / 10.0) as usize {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    anyhow::bail!("the fleet did not admit {} requests in a row within {WAIT:?}", BURST / 10.0)
}
