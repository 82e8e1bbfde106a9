//! The operators' configuration while the store refuses, loses or repeats what it has acknowledged.

#[path = "soak/mod.rs"]
mod fleet;

use std::{path::Path, sync::Arc, time::Duration};

use fleet::{
    plan::{Fault, rates, services},
    record::REVOKE_LIMIT,
    world::World,
};
use hibiscusdoor::mesh::Position;
use serde_json::json;
use tokio::time::sleep;

/// Time in which the calls to the store are counted.
const COUNTED: Duration = Duration::from_secs(2);
/// Calls to the store that a node may make in that time while it does not accept what the store has.
const MAX_CALLS_PER_NODE: u64 = 15;

async fn start_fleet(folder: &Path, first_network: u32) -> anyhow::Result<Arc<World>> {
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

/// Time within which a change must be in force, as in the settings of the nodes.
const APPLY_LIMIT: Duration = Duration::from_secs(2);

/// Guards against an acknowledged change that is not put in force after the store has come back from a
/// copy, because it has the version that an earlier change had, or a lower one. On the day restored, 288
/// requests were handled by a replaced configuration.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_change_after_a_restored_store_is_put_in_force() -> anyhow::Result<()> {
    let folder = tempfile::tempdir()?;
    let world = start_fleet(folder.path(), 51_000).await?;
    // The second return comes from the same copy, and in an era that no answer names.
    for names_era in [true, false] {
        world.store.set_names_era(names_era);
        let copy = world.store.copy();
        for _ in 0..3 {
            world.write_configuration();
        }
        world.wait_until_in_force().await?;
        for returns in 1..=2 {
            world.store.restore(copy.clone());
            for change in 1..=3 {
                world.write_configuration();
                let took = world.wait_until_in_force().await?;
                assert!(took < APPLY_LIMIT, "change {change} of return {returns} took {took:?}");
            }
        }
    }
    world.stop_callers().await;
    Ok(())
}

/// Guards against a key that was withdrawn and is in use again, since the store has come back from a copy
/// that still has it, also at a node that starts afterwards and knows only what the store holds.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_withdrawn_key_stays_withdrawn_over_a_restored_store() -> anyhow::Result<()> {
    let folder = tempfile::tempdir()?;
    let program = Path::new(env!("CARGO_BIN_EXE_hibiscusd"));
    let world = start_fleet(folder.path(), 56_000).await?;
    let copy = world.store.copy();
    world.clone().inject_fault(program, Fault::WithdrawKey(1)).await?;
    world.wait_until_in_force().await?;
    world.store.restore(copy);
    sleep(REVOKE_LIMIT).await;
    for index in 0..services().len() {
        world.clone().inject_fault(program, Fault::KillNode(index)).await?;
        world.wait_until_in_force().await?;
    }
    world.wait_until_serving().await?;
    world.stop_callers().await;
    assert_eq!(world.record.violations(&rates()), Vec::<String>::new());
    Ok(())
}

/// Guards against a registration that is lost for good with a store that comes back from a copy made before
/// the node had started.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn registrations_stand_again_after_a_restored_store() -> anyhow::Result<()> {
    let folder = tempfile::tempdir()?;
    let program = Path::new(env!("CARGO_BIN_EXE_hibiscusd"));
    let network = u16::try_from(61_000 + std::process::id() % 4_000)?;
    let world = World::start(program, folder.path(), services().len(), network).await?;
    let copy = world.store.copy();
    world.wait_until_in_force().await?;
    let is_registered =
        |index| world.store.contains("hibiscusdoor-instances", &format!("node-{index}"));
    for is_restored in [false, true] {
        if is_restored {
            world.store.restore(copy.clone());
            world.write_configuration_again();
        }
        for index in 0..services().len() {
            let until = std::time::Instant::now() + Duration::from_secs(20);
            while !is_registered(index) {
                assert!(std::time::Instant::now() < until, "node {index} is not registered");
                sleep(Duration::from_millis(50)).await;
            }
        }
    }
    Ok(())
}

/// Guards against an order of configurations that follows versions of the store, which go back and are
/// given out again: (revision, era, version) of the one in force, of another, and whether it is newer.
fn positions_are_ordered((in_force, other, is_newer): ([u64; 3], [u64; 3], bool)) {
    let position = |[revision, era, version]: [u64; 3]| Position { revision, era, version };
    assert_eq!(position(other) > position(in_force), is_newer);
}

mod support;

crate::cases! { positions_are_ordered:
    a_later_change_with_a_version_given_out_twice(([10, 1, 19], [12, 2, 19], true)),
    a_later_change_with_a_lower_version(([10, 1, 19], [12, 2, 7], true)),
    an_earlier_change_in_a_later_era(([12, 1, 19], [10, 2, 18], false)),
    an_earlier_change_with_a_higher_version(([12, 2, 18], [10, 1, 40], false)),
    the_same_change_written_again(([12, 1, 19], [12, 2, 18], true)),
    the_same_change_of_a_node_in_the_earlier_era(([12, 2, 18], [12, 1, 19], false)),
    a_change_read_where_no_era_is_named(([12, 2, 18], [14, 0, 3], true)),
    the_first_configuration(([0, 0, 0], [1, 0, 1], true)),
}
