//! Metrics, state dump and log of a node in a mesh.

#[path = "soak/mod.rs"]
mod fleet;

use std::{
    collections::BTreeSet,
    path::Path,
    time::{Duration, Instant},
};

use fleet::{
    plan::{Fault, services},
    world::World,
};
use hibiscusdoor::standin::{HttpReply, http_call, new_client};
use http::Method;
use tokio::time::sleep;

/// Timeout for the fleet to reach an expected state.
const WAIT: Duration = Duration::from_secs(30);
const POLL: Duration = Duration::from_millis(100);

async fn get(world: &World, path: &str) -> anyhow::Result<HttpReply> {
    let url = format!("http://{}{path}", world.operators(0));
    http_call(&new_client(), Method::GET, &url, &[], "").await
}

/// Guards against metrics that docs/metrics-mesh.md does not list, listed metrics that the node does not
/// serve, and a state dump that differs from the node's state.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn metrics_match_their_page_and_state_dump_matches_node() -> anyhow::Result<()> {
    let folder = tempfile::tempdir()?;
    let program = Path::new(env!("CARGO_BIN_EXE_hibiscusd"));
    let network = u16::try_from(40_000 + std::process::id() % 20_000)?;
    let world = World::start(program, folder.path(), services().len(), network).await?;
    world.start_callers(1);
    let page = include_str!("../docs/metrics-mesh.md");
    let documented: BTreeSet<&str> = page
        .lines()
        .filter_map(|line| line.strip_prefix("| `"))
        .filter_map(|line| line.split('`').next())
        .map(|name| name.trim_end_matches("_total"))
        .collect();
    let until = Instant::now() + WAIT;
    // The first heartbeat of the upstream and the first requests arrive within one or two seconds.
    loop {
        sleep(POLL).await;
        let Ok(reply) = get(&world, "/metrics").await else { continue };
        let text = String::from_utf8(reply.body.to_vec())?;
        let help = text.lines().filter_map(|line| line.strip_prefix("# HELP "));
        let served: BTreeSet<&str> = help.filter_map(|line| line.split(' ').next()).collect();
        let answered = text.lines().any(|line| {
            line.starts_with("hibiscusdoor_requests_total") && line.contains("outcome=\"whole\"")
        });
        // An instance is known before its upstream has sent a heartbeat.
        let state = get(&world, "/state").await?.json();
        let all_in_use = state["instances"] == services().len()
            && state["out_of_use"].as_array().is_some_and(Vec::is_empty);
        if served == documented && answered && all_in_use {
            break;
        }
        assert!(Instant::now() < until, "documented {documented:?}, served {served:?}: {text}");
    }
    let state = get(&world, "/state").await?.json();
    assert_eq!(state["instance"], "node-0", "{state}");
    assert_eq!(state["instances"], services().len(), "{state}");
    assert_eq!(state["revision"], 1, "{state}");
    assert_eq!(state["upstream"], "u-0-0", "{state}");
    assert_eq!(state["out_of_use"].as_array().map(Vec::len), Some(0), "{state}");
    assert_eq!(get(&world, "/healthz").await?.status, 200);
    assert_eq!(get(&world, "/other").await?.status, 404);
    world.stop_callers().await;
    Ok(())
}

/// Guards against a started node that has no upstream until the next heartbeat. In an incident on the
/// deployment tesfaye-ice, six of ten requests failed in the two seconds after all nodes had been killed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_started_node_finds_its_upstream() -> anyhow::Result<()> {
    let folder = tempfile::tempdir()?;
    let program = Path::new(env!("CARGO_BIN_EXE_hibiscusd"));
    let network = u16::try_from(10_000 + std::process::id() % 10_000)?;
    let heartbeat = WAIT * 10;
    let world = World::start_with_heartbeats(program, folder.path(), 1, network, heartbeat).await?;
    let until = Instant::now() + WAIT;
    loop {
        sleep(POLL).await;
        let Ok(reply) = get(&world, "/state").await else { continue };
        if reply.json()["upstream_ready"] == true {
            return Ok(());
        }
        assert!(Instant::now() < until, "{}", reply.json());
    }
}

/// Guards against the loss of the last log lines at a stop: lines still queued for the writer were
/// lost when the process ended.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stop_is_logged() -> anyhow::Result<()> {
    let folder = tempfile::tempdir()?;
    let program = Path::new(env!("CARGO_BIN_EXE_hibiscusd"));
    let network = u16::try_from(20_000 + std::process::id() % 20_000)?;
    let world = World::start(program, folder.path(), 1, network).await?;
    let until = Instant::now() + WAIT;
    while !matches!(get(&world, "/healthz").await, Ok(reply) if reply.status == 200) {
        assert!(Instant::now() < until, "the node does not start");
        sleep(POLL).await;
    }
    world.clone().inject_fault(program, Fault::StopNode(0)).await?;
    let log = std::fs::read_to_string(folder.path().join("node-0.log"))?;
    for line in ["node is stopping", "node has stopped"] {
        assert!(log.contains(line), "no line {line:?}: {log}");
    }
    Ok(())
}
