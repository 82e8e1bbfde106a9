//! Cold upstreams in a fleet of real processes.

#[path = "soak/mod.rs"]
mod fleet;

use std::{
    path::Path,
    time::{Duration, Instant},
};

use fleet::{
    plan::{Fault, services},
    world::World,
};
use serde_json::{Value, json};
use tokio::time::sleep;

const WAIT: Duration = Duration::from_secs(30);
/// Requests per second that a cold upstream accepts; its node receives several times as many.
const COLD_PER_S: f64 = 2.0;
/// Requests that may reach it in any second, by the bounds of the platform that the nodes have.
const MAX_IN_SECOND: usize = 2 * 3 / 2 + 8;
const COLD: Duration = Duration::from_secs(7);
const SECOND: Duration = Duration::from_secs(1);

async fn wait_for_state(
    world: &World,
    what: &str,
    is_reached: impl Fn(&Value) -> bool,
) -> anyhow::Result<()> {
    let until = Instant::now() + WAIT;
    loop {
        let state = world.state(0).await;
        match &state {
            Ok(state) if is_reached(state) => return Ok(()),
            _ => anyhow::ensure!(Instant::now() < until, "{what}: {state:?}"),
        }
        sleep(Duration::from_millis(20)).await;
    }
}

/// Largest number of requests that reached the first upstream in a second of a period.
fn most_in_a_second(world: &World, from: Instant, until: Instant) -> usize {
    let arrivals = world.record.arrivals.lock();
    let times: Vec<Instant> =
        arrivals["u-0-0"].iter().copied().filter(|at| (from..until).contains(at)).collect();
    let in_second =
        |from: &Instant| times.iter().filter(|at| (*from..*from + SECOND).contains(at)).count();
    times.iter().map(in_second).max().unwrap_or(0)
}

/// Guards against a cold upstream that gets no requests although all of its service are cold, or more
/// requests than it tolerates: from other nodes, or from its own node, which was killed and does not know that
/// it is cold.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_cold_upstream_receives_what_it_tolerates() -> anyhow::Result<()> {
    let folder = tempfile::tempdir()?;
    let program = Path::new(env!("CARGO_BIN_EXE_hibiscusd"));
    let network = u16::try_from(35_000 + std::process::id() % 5_000)?;
    let world = World::start(program, folder.path(), 2 * services().len(), network).await?;
    world.start_callers(1);
    world.wait_until_serving().await?;
    world.configure_cold_rate(COLD_PER_S);
    world.wait_until_in_force().await?;
    let warm_until = Instant::now();
    let warm = most_in_a_second(&world, warm_until - SECOND * 3, warm_until);

    // Both instances of the service: beside a warm one, a cold instance gets next to nothing.
    let upstream = world.upstream(0);
    upstream.become_cold(COLD);
    world.upstream(services().len()).become_cold(COLD);
    wait_for_state(&world, "the node knows that its upstream is cold", |state| {
        state["pace_per_s"] == json!(COLD_PER_S)
    })
    .await?;
    let heard_at = Instant::now();
    world.clone().inject_fault(program, Fault::KillNode(0)).await?;
    while !upstream.cold_remaining().is_zero() {
        sleep(Duration::from_millis(20)).await;
    }
    let most = most_in_a_second(&world, heard_at, Instant::now());
    assert!(
        most <= MAX_IN_SECOND,
        "{most} requests in a second at the cold upstream, {warm} when it was warm"
    );

    assert!(most > 0, "no request reached the cold upstream");

    wait_for_state(&world, "the node knows that its upstream is warm", |state| {
        state["pace_per_s"].is_null() && state["upstream_ready"] == true
    })
    .await?;
    println!("most requests in a second: {most} cold, {warm} warm");
    world.stop_callers().await;
    Ok(())
}
