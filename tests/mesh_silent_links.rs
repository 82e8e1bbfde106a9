//! Open links between nodes that go silent for good while requests run beyond them, and new ones work.

#[path = "soak/mod.rs"]
mod fleet;

use std::{path::Path, sync::Arc, time::Duration};

use fleet::{
    plan::{HOST, services},
    world::World,
};
use hibiscusdoor::standin;
use http::Method;
use tokio::time::{sleep, timeout};

/// Time that the request takes; longer than the time after which a silent link is given up.
const WORK: Duration = Duration::from_millis(1_400);
/// Timeout of the caller, and of the route.
const DEADLINE: Duration = Duration::from_secs(3);
const POLL: Duration = Duration::from_millis(20);

/// Sends a request through node 0 to a service of another node; returns the status of its answer.
async fn send(
    world: Arc<World>,
    method: Method,
    path: &'static str,
    id: String,
) -> anyhow::Result<u16> {
    let url = format!("http://{}{path}", world.callers(0));
    let headers = [
        ("host", HOST),
        ("x-attempt-id", id.as_str()),
        ("x-key", "key-open-0"),
        ("x-deadline-ms", "3000"),
    ];
    let client = standin::new_client();
    let call = standin::http_call(&client, method, &url, &headers, "");
    Ok(timeout(DEADLINE * 2, call).await??.status.as_u16())
}

/// Lets the links to a node go silent while it runs a request; returns the status of the answer.
async fn run_beyond_a_silent_link(
    network: u16,
    method: Method,
    path: &'static str,
) -> anyhow::Result<u16> {
    let folder = tempfile::tempdir()?;
    let program = Path::new(env!("CARGO_BIN_EXE_hibiscusd"));
    let count = services().len();
    let world = World::start(program, folder.path(), count, network).await?;
    let mut number = 0;
    let is_served =
        async |id| matches!(send(world.clone(), method.clone(), path, id).await, Ok(200));
    while !is_served(format!("open-first{number}")).await {
        anyhow::ensure!(number < 400, "the fleet does not serve");
        number += 1;
        sleep(POLL).await;
    }
    world.slow_upstream(count - 1, WORK);
    let answer = tokio::spawn(send(world.clone(), method, path, "open-late".to_owned()));
    while !world.record.runs.lock().contains_key("open-late") {
        anyhow::ensure!(!answer.is_finished(), "the request does not run: {:?}", answer.await?);
        sleep(POLL).await;
    }
    world.silence_peers(count - 1);
    let status = answer.await??;
    world.stop_callers().await;
    Ok(status)
}

macro_rules! silenced {
    ($($name:ident($network:expr, $method:expr, $path:expr)),+ $(,)?) => {
        $(
            #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
            async fn $name() -> anyhow::Result<()> {
                let network = u16::try_from($network + std::process::id() % 1_000)?;
                let status = run_beyond_a_silent_link(network, $method, $path).await?;
                assert_eq!(status, 200);
                Ok(())
            }
        )+
    };
}

// Guard against requests that are lost with a link that went silent, although the node beyond it lives, knows
// their outcome, and can be reached by a new connection.
silenced! {
    a_request_that_may_be_repeated_is_answered(14_000, Method::GET, "/stock/x"),
    a_request_that_must_not_run_twice_is_answered(15_100, Method::POST, "/stock/once/x"),
}
