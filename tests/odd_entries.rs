//! Objects of the store that another writer has left, and that cannot be read: the others are used.

mod crowds_world;
#[path = "soak/mod.rs"]
mod soak;

use crowds_world::node::{Setup, World, WorldLimits};
use serde_json::{Value, json};

/// Kind of the objects with the addresses of the instances.
const INSTANCES: &str = "hibiscusdoor-instances";
const LIMITS: WorldLimits = WorldLimits {
    memory_mb: 160,
    max_descriptors: 512,
    max_body_bytes: 1 << 20,
    route_timeout_s: 3,
};

/// Arrays within each other, deeper than a parser follows.
fn nested() -> Value {
    (0..200).fold(json!(0), |inner, _| json!([inner]))
}

/// Two nodes that know each other by the store only, beside an odd object: a request at one of them is
/// served by the upstream of the other. The node with the number `reader` reads the object before it may be
/// replaced, and logs it once.
async fn check_odd_object(
    network: u8,
    reader: u8,
    name: &'static str,
    spec: Value,
) -> anyhow::Result<()> {
    let folder = tempfile::tempdir()?;
    let setup = Setup { objects: vec![(INSTANCES, name, spec)], ..Setup::default() };
    let nodes = [("front", LIMITS), ("orders", LIMITS)];
    let mut world = World::start_with(folder.path(), network, &nodes, setup).await?;
    for node in &mut world.nodes {
        assert!(node.is_running(), "a process has ended");
    }
    let log = folder.path().join(format!("node-127.71.{network}.{reader}.log"));
    let log = std::fs::read_to_string(log)?;
    let lines = log.lines().filter(|it| it.contains("ignored an"));
    let lines: Vec<&str> = lines.filter(|it| it.contains(name) && it.contains(INSTANCES)).collect();
    assert_eq!(lines.len(), 1, "{lines:?}");
    Ok(())
}

macro_rules! odd_objects {
    ($($name:ident($network:expr, $reader:expr, $object:expr, $spec:expr)),+ $(,)?) => {
        $(
            #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
            async fn $name() -> anyhow::Result<()> {
                check_odd_object($network, $reader, $object, $spec).await
            }
        )+
    };
}

// Guard against nodes that stop following the list of instances, or cannot register, while one object of
// another writer cannot be read: the whole list was refused for it.
odd_objects! {
    an_instance_with_deeply_nested_values(170, 2, "odd", nested()),
    the_first_instance_with_deeply_nested_values(171, 2, "a", nested()),
    an_instance_with_a_port_out_of_range(172, 2, "odd", json!({ "zone": "zone-0", "peer_address": "127.0.0.1:70000" })),
    an_instance_with_values_of_other_types(173, 2, "odd", json!({ "zone": [], "peer_address": 1 })),
    an_instance_without_fields(174, 2, "odd", json!({})),
    an_entry_under_the_name_of_a_node(175, 3, "node-127.71.175.3", nested()),
}
