//! The operators' configuration while the store refuses, loses or repeats what it has acknowledged.

#[path = "soak/mod.rs"]
mod fleet;

use std::{path::Path, time::Duration};

use fleet::{plan::services, world::World};
use serde_json::json;
use tokio::time::sleep;

/// Time in which the calls to the store are counted.
const COUNTED: Duration = Duration::from_secs(2);
/// Calls to the store that a node may make in that time while it does not accept what the store has.
const MAX_CALLS_PER_NODE: u64 = 15;

async fn start_fleet(folder: &Path, first_network: u32) -> anyhow::Result<std::sync::Arc<World>> {
    let program = Path::new(env!("CARGO_BIN_EXE_hibiscusd"));
    let network = u16::try_from(first_network + std::process::id() % 5_000)?;
    let world = World::start(program, folder, services().len(), network).await?;
    world.start_callers(1);
    world.wait_until_serving().await?;
    Ok(world)
}

/// Guards against reads of the store in a loop, while it holds a configuration that nodes do not accept.
/// On a day on which the store came back from a copy, 14 nodes made 6,830 calls instead of 125.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_configuration_that_is_not_accepted_is_not_read_in_a_loop() -> anyhow::Result<()> {
    let folder = tempfile::tempdir()?;
    let world = start_fleet(folder.path(), 46_000).await?;
    world.store.write("config", "main", json!({ "version": 2, "resources": "invalid" }));
    let before = world.store.calls();
    sleep(COUNTED).await;
    let calls = world.store.calls() - before;
    let most = MAX_CALLS_PER_NODE * services().len() as u64;
    assert!(calls <= most, "{calls} calls in {COUNTED:?}, expected at most {most}");
    world.stop_callers().await;
    Ok(())
}
