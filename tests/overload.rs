//! Overload control in the simulation on a virtual clock. The bounds in the scenario files come
//! from section 1.8 of docs/design.md. `cargo run --release --example overload` runs all scenarios.

use hibiscusdoor::experiment::{Control, Deployment, Scenario, run};

const SWANLEIGH: &str = include_str!("scenarios/deployment-swanleigh.scenario");
const TESFAYE: &str = include_str!("scenarios/deployment-tesfaye.scenario");

/// Runs a scenario and checks its bounds.
fn check(deployment: &str, name: &str, text: &str, seed: u64) {
    let deployment = Deployment::read("deployment", deployment).expect("a deployment");
    let scenario = Scenario::read(name, text).expect("a scenario");
    assert!(!scenario.bounds.is_empty(), "{name} has no bounds");
    let figures = run(&deployment, &scenario, Control::Hibiscusdoor, seed);
    let violated = figures.violated_bounds(&scenario);
    assert!(violated.is_empty(), "{name}, seed {seed}: {violated:?}\n{figures:#?}");
}

macro_rules! scenario {
    ($deployment:expr, $name:literal, $seed:expr) => {
        check(
            $deployment,
            $name,
            include_str!(concat!("scenarios/overload-", $name, ".scenario")),
            $seed,
        )
    };
}

/// Guards against a drop of goodput, less important requests that are served before more important
/// ones, or a slow recovery when demand is several times capacity.
#[test]
fn five_times_capacity_seed_1() {
    scenario!(SWANLEIGH, "demand-5", 1);
}

/// The same as `five_times_capacity_seed_1`, with another seed.
#[test]
fn five_times_capacity_seed_2() {
    scenario!(SWANLEIGH, "demand-5", 2);
}

/// Guards against retries that keep a slow service overloaded after its speed has recovered.
#[test]
fn deepest_service_slow_seed_1() {
    scenario!(SWANLEIGH, "slow", 1);
}

/// Guards against an organisation beyond its rate that takes capacity from the others.
#[test]
fn one_organisation_over_its_rate_seed_1() {
    scenario!(SWANLEIGH, "flood", 1);
}

/// The same as `one_organisation_over_its_rate_seed_1`, on the other deployment.
#[test]
fn one_organisation_over_its_rate_seed_2() {
    scenario!(TESFAYE, "flood", 2);
}

/// Guards against a loss of goodput when upstreams announce false numbers of slots.
#[test]
fn false_reports_seed_1() {
    scenario!(SWANLEIGH, "false-reports", 1);
}

/// Guards against requests sent to dead instances.
#[test]
fn third_of_the_instances_killed_seed_1() {
    scenario!(SWANLEIGH, "killed", 1);
}

/// Guards against fast upstreams that are idle while slow ones refuse requests.
#[test]
fn mixed_speeds_seed_1() {
    scenario!(SWANLEIGH, "mixed-speeds", 1);
}

/// Guards against requests sent to a dead instance that stays in the membership table during an
/// outage of the platform.
#[test]
fn platform_outage_seed_1() {
    scenario!(SWANLEIGH, "outage", 1);
}

/// Guards against a simulation that depends on anything but its inputs and seed.
#[test]
fn same_seed_gives_the_same_figures() {
    let deployment = Deployment::read("deployment", SWANLEIGH).expect("a deployment");
    let text = "length 6s\ndemand 2\ncallers retries=3\nmeasure from=3s to=6s\n";
    let scenario = Scenario::read("short", text).expect("a scenario");
    let figures = || format!("{:?}", run(&deployment, &scenario, Control::Hibiscusdoor, 3));
    assert_eq!(figures(), figures());
}
