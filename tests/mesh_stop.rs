//! Planned stops of a node under requests that outlast the grace period.

#[path = "soak/mod.rs"]
mod fleet;
mod support;

use std::{path::Path, sync::Arc, time::Duration};

use fleet::{
    plan::{Fault, HOST, services},
    world::World,
};
use hibiscusdoor::{clock::Timestamp, mesh::PlannedStop, standin};
use http::Method;
use tokio::{task::JoinSet, time::sleep};

/// Time that requests take: most of the grace period, and less than the timeout of their route.
const WORK: Duration = Duration::from_millis(2600);
/// Requests that are sent during the stop, and the time between two of them.
const LATE_REQUESTS: u32 = 20;
const LATE_INTERVAL: Duration = Duration::from_millis(200);

/// Sends a request that may not be repeated through node 0; returns the status of its answer, or its id if
/// it has none.
async fn send(world: Arc<World>, path: &'static str, id: String) -> Result<u16, String> {
    let url = format!("http://{}{path}", world.callers(0));
    let headers = [
        ("host", HOST),
        ("x-attempt-id", id.as_str()),
        ("x-key", "key-open-0"),
        ("x-deadline-ms", "4000"),
    ];
    let client = standin::new_client();
    let reply = standin::http_call(&client, Method::POST, &url, &headers, "").await;
    reply.map(|reply| reply.status.as_u16()).map_err(|_| id)
}

/// Guards against requests that are taken late in a planned stop, passed on, and cut without an answer at
/// its end, among them requests that may not be repeated.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_that_is_passed_on_late_in_a_stop_is_answered() -> anyhow::Result<()> {
    let folder = tempfile::tempdir()?;
    let program = Path::new(env!("CARGO_BIN_EXE_hibiscusd"));
    let network = u16::try_from(33_000 + std::process::id() % 10_000)?;
    let count = services().len();
    let world = World::start(program, folder.path(), count, network).await?;
    let mut number = 0;
    while send(world.clone(), "/orders/once/x", format!("open-first{number}")).await != Ok(200) {
        anyhow::ensure!(number < 200, "the fleet does not serve");
        number += 1;
        sleep(LATE_INTERVAL / 2).await;
    }
    for index in [0, count - 1] {
        world.slow_upstream(index, WORK);
    }
    let mut requests = JoinSet::new();
    // The local upstream keeps the node busy for most of the grace period.
    requests.spawn(send(world.clone(), "/orders/once/x", "open-busy".to_owned()));
    sleep(LATE_INTERVAL / 2).await;
    let stopped = tokio::spawn({
        let world = world.clone();
        async move { world.inject_fault(program, Fault::StopNode(0)).await }
    });
    for number in 0..LATE_REQUESTS {
        requests.spawn(send(world.clone(), "/stock/once/x", format!("open-late{number}")));
        sleep(LATE_INTERVAL).await;
    }
    stopped.await??;
    let runs = world.record.runs.lock().keys().cloned().collect::<Vec<_>>();
    let mut cut = Vec::new();
    while let Some(unanswered) = requests.join_next().await {
        cut.extend(unanswered?.err().filter(|id| runs.contains(id)));
    }
    world.stop_callers().await;
    assert_eq!(cut, Vec::<String>::new(), "these ran and have no answer");
    Ok(())
}

const BEGAN: Timestamp = Duration::from_secs(50);

/// Guards against requests that are refused although they end in time, and against late ones that may
/// not: time since the stop began, time until the deadline of the request, whether it is taken.
fn a_stop_of_five_seconds_takes((since_ms, deadline_ms, is_taken): (u64, u64, bool)) {
    let stop = PlannedStop::new(BEGAN, Duration::from_secs(5));
    let now = BEGAN + Duration::from_millis(since_ms);
    assert_eq!(stop.takes(now, now + Duration::from_millis(deadline_ms)), is_taken);
}

crate::cases! { a_stop_of_five_seconds_takes:
    an_early_request((100, 10_000, true)),
    a_late_request_that_ends_in_time((3_000, 1_900, true)),
    a_late_request_that_may_be_cut((3_000, 2_100, false)),
    no_request_after_the_end((5_100, 10, false)),
}
