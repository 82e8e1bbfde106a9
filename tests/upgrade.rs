//! Rolling restart of all nodes, as in an upgrade.

mod support;

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use hibiscusdoor::standin::{Fleet, NodeOptions, http_call, new_client};
use http::Method;
use parking_lot::Mutex;
use serde_json::{Value, json};

use crate::support::{WAIT, start_fleet, wait_until_serving};

const NODES: usize = 3;
const CALLERS: usize = 6;
const KEY: &str = "Bearer bole.sample-secret-of-bole-bars";
const REQUEST_INTERVAL: Duration = Duration::from_millis(10);

/// Outcomes that the callers got.
#[derive(Debug, Default)]
struct CallOutcomes {
    whole: u64,
    refused: u64,
    /// Responses and errors of requests with an unknown outcome.
    cut: Vec<String>,
}

/// Sends requests to the nodes in turn until `stop` is set, and counts their outcomes.
async fn send_until_stopped(urls: Arc<Mutex<Vec<String>>>, stop: Arc<AtomicBool>) -> CallOutcomes {
    let (client, mut seen, mut number) = (new_client(), CallOutcomes::default(), 0);
    while !stop.load(Ordering::Relaxed) {
        let url = {
            let urls = urls.lock();
            urls[number % urls.len()].clone()
        };
        number += 1;
        let headers = [("authorization", KEY)];
        match http_call(&client, Method::POST, &url, &headers, format!("crate {number}")).await {
            Ok(reply) if reply.header("hibiscus-outcome") == "whole" => seen.whole += 1,
            Ok(reply) if reply.header("hibiscus-outcome") == "not-run" => seen.refused += 1,
            Ok(reply) => seen.cut.push(format!("{}: {:?}", reply.status, reply.body)),
            // A node that has stopped refuses connections, so nothing was sent.
            Err(error) if is_connect_failure(&error) => seen.refused += 1,
            Err(error) => seen.cut.push(format!("{error:#}")),
        }
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
    seen
}

fn is_connect_failure(error: &anyhow::Error) -> bool {
    let error = error.downcast_ref::<hyper_util::client::legacy::Error>();
    error.is_some_and(hyper_util::client::legacy::Error::is_connect)
}

/// Guards against an upgrade that cuts requests or leaves their outcome unknown (requirement G9).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn rolling_restart_cuts_no_request() -> anyhow::Result<()> {
    let (mut fleet, _folder) = start_fleet();
    for index in 0..NODES {
        fleet.add_node(NodeOptions {
            zone: format!("zone-{index}"),
            service: "drops".to_owned(),
            slots: 16,
            service_time_ms: 20,
            ..NodeOptions::default()
        })?;
    }
    let mut document: Value = serde_json::from_str(include_str!("../sample/configuration.json"))?;
    document["organisations"][0]["rate_per_s"] = json!(100_000);
    document["organisations"][0]["burst"] = json!(100_000);
    let url = fleet.operator_url(0, "/v1/configuration");
    let body = document.to_string();
    let reply = http_call(&new_client(), Method::PUT, &url, &[], body).await?;
    assert_eq!(reply.status, 200, "{:?}", reply.body);
    wait_until_serving(&fleet, NODES, 10.0).await?;

    let all = |fleet: &Fleet| (0..NODES).map(|index| fleet.caller_url(index, "/drops/1")).collect();
    let urls = Arc::new(Mutex::new(all(&fleet)));
    let stop = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..CALLERS)
        .map(|_| tokio::spawn(send_until_stopped(urls.clone(), stop.clone())))
        .collect();
    for index in 0..NODES {
        fleet.terminate_daemon(index)?;
        let began = Instant::now();
        while fleet.nodes[index].daemon.try_wait()?.is_none() {
            assert!(began.elapsed() < WAIT, "node {index} did not exit within {WAIT:?}");
            tokio::time::sleep(REQUEST_INTERVAL).await;
        }
        fleet.restart_node(index)?;
        *urls.lock() = all(&fleet);
        wait_until_serving(&fleet, NODES, 10.0).await?;
    }
    stop.store(true, Ordering::Relaxed);
    let mut total = CallOutcomes::default();
    for caller in callers {
        let seen = caller.await?;
        total.whole += seen.whole;
        total.refused += seen.refused;
        total.cut.extend(seen.cut);
    }
    println!("rolling restart: {} whole, {} refused as not run", total.whole, total.refused);
    assert!(
        total.cut.is_empty(),
        "{} of {} requests: {:?}",
        total.cut.len(),
        total.whole,
        total.cut
    );
    assert!(total.whole > 100, "{total:?}");
    Ok(())
}
