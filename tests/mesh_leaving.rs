//! Upstreams that state in their answers that they are leaving.

#[path = "soak/mod.rs"]
mod fleet;

use std::path::Path;

use fleet::{
    plan::{Fault, rates, services},
    world::World,
};
use hibiscusdoor::{mesh::Dialect as _, platform::OperatorsPlatform};
use http::{HeaderMap, HeaderValue, StatusCode};

/// Guards against a statement that is not read, and against another value that is taken for it.
#[test]
fn an_answer_states_that_its_upstream_leaves() {
    let is_leaving = |value| {
        let mut headers = HeaderMap::new();
        headers.insert("server-leaving", HeaderValue::from_static(value));
        OperatorsPlatform::answer_head(StatusCode::OK, &headers).is_leaving
    };
    assert!(is_leaving("1"));
    assert!(!is_leaving("0"));
    assert!(!OperatorsPlatform::answer_head(StatusCode::OK, &HeaderMap::new()).is_leaving);
}

/// Guards against requests that still reach an upstream two seconds after it has stated in an answer that
/// it leaves, while its heartbeats, sent earlier and late, announce it as ready.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_upstream_that_leaves_by_its_answers_gets_no_late_request() -> anyhow::Result<()> {
    let folder = tempfile::tempdir()?;
    let program = Path::new(env!("CARGO_BIN_EXE_hibiscusd"));
    let network = u16::try_from(26_000 + std::process::id() % 20_000)?;
    let world = World::start(program, folder.path(), 2 * services().len(), network).await?;
    world.start_callers(1);
    world.wait_until_serving().await?;
    world.clone().inject_fault(program, Fault::LeaveByAnswers(0)).await?;
    world.stop_callers().await;
    let log = std::fs::read_to_string(folder.path().join("node-0.log"))?;
    anyhow::ensure!(log.contains("states that it is leaving"), "no answer has stated it: {log}");
    assert_eq!(world.record.violations(&rates()), Vec::<String>::new());
    Ok(())
}
