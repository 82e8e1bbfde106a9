//! Evacuation of availability zones: what a node knows of it, and a fleet of real processes.

#[path = "soak/mod.rs"]
mod fleet;
mod support;

use std::{
    path::Path,
    time::{Duration, Instant},
};

use fleet::{
    plan::{Fault, HOST, ORGANISATIONS, services},
    store::StoreFault,
    world::World,
};
use hibiscusdoor::{
    clock::Timestamp,
    mesh::evacuation::{Evacuations, ZoneState},
    standin::{http_call, new_client},
};
use http::{Method, StatusCode};
use serde_json::{Value, json};
use tokio::time::sleep;

/// A state with these zones, read at this time in seconds from a store in this era and version.
fn state(zones: &[&str], era: u64, version: u64, read_at_s: u64) -> ZoneState {
    let zones = zones.iter().map(|zone| (*zone).into()).collect();
    ZoneState { zones, era, version, read_at: Timestamp::from_secs(read_at_s) }
}

fn zones(evacuations: &Evacuations) -> Vec<String> {
    let known = evacuations.known().expect("the state is known");
    known.zones.iter().map(ToString::to_string).collect()
}

/// Guards against a node that sends requests to a zone of which it does not know whether it is evacuated.
#[test]
fn a_node_that_does_not_know_the_state_accepts_nothing() {
    let mut evacuations = Evacuations::default();
    assert!(!evacuations.accepts("a"));
    evacuations.record_read(state(&["b"], 1, 5, 10));
    assert!(evacuations.accepts("a") && !evacuations.accepts("b"));
}

/// Where a state comes from.
#[derive(Clone, Copy)]
enum Source {
    Store,
    Node,
}
use Source::{Node, Store};

/// Guards against a state that is replaced by an earlier one, and against a later one that is not applied.
/// The known state is that of version 5 in era 2, read at 100 s, with zone `a` evacuated.
fn a_state_replaces_the_known_one_if_it_is_later(
    (from, zone, era, version, read_at_s, expected): (Source, &str, u64, u64, u64, &[&str]),
) {
    let mut evacuations = Evacuations::default();
    evacuations.record_read(state(&["a"], 2, 5, 100));
    let next = state(&[zone], era, version, read_at_s);
    match from {
        Store => evacuations.record_read(next),
        Node => evacuations.record_stated(next),
    };
    assert_eq!(zones(&evacuations), expected);
}

crate::cases! { a_state_replaces_the_known_one_if_it_is_later:
    read_later((Store, "b", 2, 6, 101, &["b"])),
    read_later_without_a_new_version((Store, "b", 2, 5, 101, &["b"])),
    a_slow_read_that_began_earlier((Store, "b", 2, 4, 99, &["a"])),
    stated_of_a_later_version((Node, "b", 2, 6, 101, &["b"])),
    stated_of_an_earlier_version((Node, "b", 2, 4, 99, &["a"])),
    stated_of_an_earlier_version_within_one_exchange((Node, "b", 2, 4, 101, &["a"])),
    stated_of_the_same_version_earlier((Node, "b", 2, 5, 99, &["a"])),
    stated_of_an_earlier_era((Node, "b", 1, 50, 105, &["a"])),
    // The store has come back from a copy that lacks zone `a` and has zone `b`.
    read_in_a_later_era((Store, "b", 3, 2, 110, &["a", "b"])),
    read_of_an_earlier_version_without_an_era((Store, "b", 0, 2, 110, &["a", "b"])),
    stated_of_a_later_era((Node, "b", 3, 2, 110, &["a", "b"])),
    // A node that was cut off does not know whether the evacuation has ended since.
    stated_of_a_later_era_long_after((Node, "b", 3, 2, 1000, &["b"])),
}

/// Guards against an evacuation that ends because the store has lost it, and one that can't be ended any
/// more after it was written again.
#[test]
fn a_lost_evacuation_lasts_until_it_is_removed() {
    let mut evacuations = Evacuations::default();
    evacuations.record_read(state(&["a"], 1, 9, 100));
    evacuations.record_read(state(&[], 2, 3, 110));
    assert!(!evacuations.accepts("a"));
    assert_eq!(evacuations.lost().map(|zone| &**zone).collect::<Vec<_>>(), ["a"]);
    // Another write comes before the evacuation is written again.
    evacuations.record_read(state(&[], 2, 4, 111));
    assert!(!evacuations.accepts("a"));
    evacuations.record_read(state(&["a"], 2, 5, 112));
    assert_eq!(evacuations.lost().count(), 0);
    evacuations.record_read(state(&[], 2, 6, 113));
    assert!(evacuations.accepts("a"));
}

/// Guards against a zone that stays evacuated, or is taken into use, while another one is evacuated after it.
#[test]
fn two_zones_are_evacuated_one_after_the_other() {
    let mut evacuations = Evacuations::default();
    let steps: [(&[&str], [bool; 2]); 5] = [
        (&[], [true, true]),
        (&["a"], [false, true]),
        (&["a", "b"], [false, false]),
        (&["b"], [true, false]),
        (&[], [true, true]),
    ];
    for (number, (zones, accepts)) in (0..).zip(steps) {
        let next = state(zones, 1, number, 100 + number);
        match number % 2 {
            0 => evacuations.record_read(next),
            _ => evacuations.record_stated(next),
        };
        assert_eq!([evacuations.accepts("a"), evacuations.accepts("b")], accepts);
    }
}

/// Guards against a proof that does not get younger, which would make every node read the store.
#[test]
fn a_state_that_is_stated_again_renews_its_age() {
    let mut evacuations = Evacuations::default();
    evacuations.record_stated(state(&["a"], 1, 9, 100));
    evacuations.record_stated(state(&["a"], 1, 9, 103));
    evacuations.record_stated(state(&["a"], 1, 9, 101));
    assert_eq!(evacuations.age(Timestamp::from_secs(104)), Some(Duration::from_secs(1)));
}

/// Longest wait for a state of the fleet.
const WAIT: Duration = Duration::from_secs(30);

/// Waits until the state dumps of all nodes fulfil a condition.
async fn wait_for_states(
    world: &World,
    what: &str,
    is_reached: impl Fn(usize, &Value) -> bool,
) -> anyhow::Result<()> {
    let until = Instant::now() + WAIT;
    for index in 0..2 * services().len() {
        loop {
            let state = world.state(index).await;
            match &state {
                Ok(state) if is_reached(index, state) => break,
                _ => anyhow::ensure!(Instant::now() < until, "node {index}, {what}: {state:?}"),
            }
            sleep(Duration::from_millis(50)).await;
        }
    }
    Ok(())
}

/// Number of requests that have reached the upstreams of zone 0, or those of the other zone.
fn arrivals(world: &World, in_zone: bool) -> usize {
    let arrivals = world.record.arrivals.lock();
    let in_zone_0 = |id: &str| {
        let index = id.split('-').nth(1).and_then(|index| index.parse::<usize>().ok());
        index.is_some_and(|index| index < services().len())
    };
    let of_zone = arrivals.iter().filter(|(id, _)| in_zone_0(id) == in_zone);
    of_zone.map(|(_, times)| times.len()).sum()
}

async fn wait_for_arrivals(world: &World, in_zone: bool) -> anyhow::Result<()> {
    let until = Instant::now() + WAIT;
    let before = arrivals(world, in_zone);
    while arrivals(world, in_zone) < before + 20 {
        anyhow::ensure!(Instant::now() < until, "no requests reach the zone (zone 0: {in_zone})");
        sleep(Duration::from_millis(50)).await;
    }
    Ok(())
}

/// Guards against requests to an evacuated zone from nodes that have restarted, and while the store is
/// unavailable, against a refusal that names no time where all zones are evacuated, and against a zone that is not used again after its evacuation.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_evacuated_zone_receives_no_requests() -> anyhow::Result<()> {
    let folder = tempfile::tempdir()?;
    let program = Path::new(env!("CARGO_BIN_EXE_hibiscusd"));
    let network = u16::try_from(30_000 + std::process::id() % 5_000)?;
    let bounds = json!({ "evacuate": "5s" });
    let count = 2 * services().len();
    let world = World::start_with_bounds(program, folder.path(), count, network, bounds).await?;
    world.start_callers(1);
    world.wait_until_serving().await?;
    wait_for_arrivals(&world, true).await?;

    world.store.write("evacuations", "zone-0", json!({}));
    wait_for_states(&world, "the zone is evacuated", |index, state| {
        let is_known = state["evacuated_zones"] == json!(["zone-0"]);
        let is_idle = state["gate"]["in_flight"] == 0;
        is_known && (is_idle || index >= services().len())
    })
    .await?;
    let before = arrivals(&world, true);
    wait_for_arrivals(&world, false).await?;

    world.clone().inject_fault(program, Fault::KillNode(0)).await?;
    wait_for_states(&world, "the restarted node knows the state", |_, state| {
        state["evacuated_zones"] == json!(["zone-0"])
    })
    .await?;
    wait_for_arrivals(&world, false).await?;

    world.store.set_fault(StoreFault::Unavailable);
    wait_for_states(&world, "the state is old", |_, state| {
        state["evacuation_age_ms"].as_u64() > Some(6_000)
    })
    .await?;
    world.store.set_fault(StoreFault::None);
    assert_eq!(arrivals(&world, true), before, "requests have reached the evacuated zone");

    world.store.write("evacuations", "zone-1", json!({}));
    wait_for_states(&world, "both zones are evacuated", |_, state| {
        state["evacuated_zones"] == json!(["zone-0", "zone-1"])
    })
    .await?;
    // Keys are refused until the proof of the configuration is younger than 5 s again. It is read
    // independently of the evacuations, up to a second later.
    wait_for_states(&world, "the configuration is current", |_, state| {
        state["proof_age_ms"].as_u64().is_some_and(|age_ms| age_ms < 4_000)
    })
    .await?;
    let url = format!("http://{}{}", world.callers(1), services()[0].prefix);
    let headers = [("host", HOST), ("x-attempt-id", "test-1"), ("x-deadline-ms", "2000")];
    let key = world.key(ORGANISATIONS[1]);
    let headers: Vec<_> = headers.into_iter().chain([("x-key", key.as_str())]).collect();
    let reply = http_call(&new_client(), Method::GET, &url, &headers, "").await?;
    assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(reply.headers["retry-after"], "5.000");
    world.store.remove("evacuations", "zone-1");

    world.store.remove("evacuations", "zone-0");
    wait_for_states(&world, "the evacuation has ended", |_, state| {
        state["evacuated_zones"] == json!([])
    })
    .await?;
    wait_for_arrivals(&world, true).await?;
    world.stop_callers().await;
    Ok(())
}
