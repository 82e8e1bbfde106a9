//! Random sequences of faults against the membership decisions of several nodes.
//!
//! `HIBISCUSDOOR_HISTORIES` sets the number of histories per test and `HIBISCUSDOOR_SEED` the seed
//! that generates them; without them the same 400 histories run every time.

mod membership_world;
mod support;

use std::{collections::BTreeSet, time::Duration};

use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed, TestRunner},
};

use crate::membership_world::{Fault, NodeSpec, World};

/// Default number of histories per test.
const HISTORIES: u32 = 40;
/// All faults end at this time; then the fleet must heal.
const FAULTS_END_MS: u64 = 35_000;
/// Earliest time of a fault, when all nodes have joined.
const FIRST_FAULT_MS: u64 = 6_000;
/// Time for the detection of a dead node, its eviction and two settlements, each with a silent row.
const MAX_HEAL_TIME: Duration = Duration::from_secs(35);

/// A fault with its parameters. Where it ends by itself, the last number is its duration in
/// milliseconds.
#[derive(Debug, Clone)]
enum TimedFault {
    Kill(usize),
    KillThenRestart(usize, u64),
    Restart(usize),
    Pause(usize, u64),
    Cut(BTreeSet<usize>, u64),
    CutPlatform(BTreeSet<usize>, u64),
    PlatformDown(u64),
    PlatformSlow(u64, u64),
    LoseWriteAnswers(f64, u64),
    MessageLoss(f64, u64),
    MessageDelay(u64, u64),
    LoseZone(usize, u64),
    Leave(usize),
    Drain(usize),
    Announce(usize, usize),
    NewRevision,
}

#[derive(Debug, Clone)]
struct History {
    seed: u64,
    /// Zone, service, weight and clock rate error (in parts per thousand) of each node.
    nodes: Vec<(usize, usize, u32, i32)>,
    faults: Vec<(u64, TimedFault)>,
}

fn timed_fault(nodes: usize) -> impl Strategy<Value = TimedFault> {
    let node = 0..nodes;
    let set = proptest::collection::btree_set(0..nodes, 1..=nodes);
    let time = 200u64..15_000;
    prop_oneof![
        2 => node.clone().prop_map(TimedFault::Kill),
        3 => (node.clone(), time.clone()).prop_map(|(n, t)| TimedFault::KillThenRestart(n, t)),
        2 => node.clone().prop_map(TimedFault::Restart),
        4 => (node.clone(), time.clone()).prop_map(|(n, t)| TimedFault::Pause(n, t)),
        4 => (set.clone(), time.clone()).prop_map(|(s, t)| TimedFault::Cut(s, t)),
        2 => (set, time.clone()).prop_map(|(s, t)| TimedFault::CutPlatform(s, t)),
        2 => time.clone().prop_map(TimedFault::PlatformDown),
        2 => (100u64..4000, time.clone()).prop_map(|(d, t)| TimedFault::PlatformSlow(d, t)),
        2 => (0.2f64..1.0, time.clone()).prop_map(|(p, t)| TimedFault::LoseWriteAnswers(p, t)),
        2 => (0.05f64..0.7, time.clone()).prop_map(|(p, t)| TimedFault::MessageLoss(p, t)),
        3 => (100u64..9000, time.clone()).prop_map(|(d, t)| TimedFault::MessageDelay(d, t)),
        1 => (0usize..3, time).prop_map(|(z, t)| TimedFault::LoseZone(z, t)),
        1 => node.clone().prop_map(TimedFault::Leave),
        1 => node.clone().prop_map(TimedFault::Drain),
        1 => (node, 0usize..2).prop_map(|(n, s)| TimedFault::Announce(n, s)),
        1 => Just(TimedFault::NewRevision),
    ]
}

fn history() -> impl Strategy<Value = History> {
    (3usize..=7).prop_flat_map(|count| {
        let node = (0usize..3, 0usize..2, 1u32..4, -30i32..=30);
        let faults = (FIRST_FAULT_MS..FAULTS_END_MS, timed_fault(count));
        (
            any::<u64>(),
            proptest::collection::vec(node, count),
            proptest::collection::vec(faults, 1..9),
        )
            .prop_map(|(seed, nodes, faults)| History { seed, nodes, faults })
    })
}

fn service(number: usize) -> String {
    ["drops", "stock"][number].to_owned()
}

fn build_world(history: &History) -> World {
    let mut world = World::new(history.seed);
    for (index, (zone, number, weight, error)) in history.nodes.iter().enumerate() {
        world.add_node(NodeSpec {
            zone: format!("zone-{zone}"),
            service: service(*number),
            weight: *weight,
            clock_rate: 1.0 + f64::from(*error) / 1000.0,
            clock_offset: Duration::from_secs(1000 * (index as u64 + 1)),
        });
    }
    world.schedule(Duration::from_secs(1), Fault::NewRevision);
    for (at_ms, fault) in &history.faults {
        schedule_fault(&mut world, *at_ms, fault);
    }
    world
}

fn schedule_fault(world: &mut World, at_ms: u64, fault: &TimedFault) {
    let at = Duration::from_millis(at_ms);
    let until = |time: &u64| Duration::from_millis((at_ms + time).min(FAULTS_END_MS));
    let default_delay = Duration::from_millis(3);
    let (start, end) = match fault {
        TimedFault::Kill(node) => (Fault::Kill(*node), None),
        TimedFault::KillThenRestart(node, time) => {
            (Fault::Kill(*node), Some((until(time), Fault::Restart(*node))))
        }
        TimedFault::Restart(node) => (Fault::Restart(*node), None),
        TimedFault::Pause(node, time) => {
            (Fault::Pause(*node), Some((until(time), Fault::Resume(*node))))
        }
        TimedFault::Cut(nodes, time) => {
            (Fault::Cut(nodes.clone()), Some((until(time), Fault::HealCut)))
        }
        TimedFault::CutPlatform(nodes, time) => (
            Fault::CutPlatform(nodes.clone()),
            Some((until(time), Fault::CutPlatform(BTreeSet::new()))),
        ),
        TimedFault::PlatformDown(time) => {
            (Fault::PlatformDown(true), Some((until(time), Fault::PlatformDown(false))))
        }
        TimedFault::PlatformSlow(delay, time) => (
            Fault::PlatformDelay(Duration::from_millis(*delay)),
            Some((until(time), Fault::PlatformDelay(default_delay))),
        ),
        TimedFault::LoseWriteAnswers(fraction, time) => {
            (Fault::LoseWriteAnswers(*fraction), Some((until(time), Fault::LoseWriteAnswers(0.0))))
        }
        TimedFault::MessageLoss(fraction, time) => {
            (Fault::MessageLoss(*fraction), Some((until(time), Fault::MessageLoss(0.0))))
        }
        TimedFault::MessageDelay(delay, time) => (
            Fault::MessageDelay(Duration::from_millis(*delay)),
            Some((until(time), Fault::MessageDelay(default_delay))),
        ),
        TimedFault::LoseZone(zone, time) => {
            for node in 0..world.len() {
                if world.zone(node) == format!("zone-{zone}") {
                    world.schedule(at, Fault::Kill(node));
                    world.schedule(until(time), Fault::Restart(node));
                }
            }
            return;
        }
        TimedFault::Leave(node) => (Fault::Leave(*node), None),
        TimedFault::Drain(node) => (Fault::Drain(*node), None),
        TimedFault::Announce(node, number) => (Fault::Announce(*node, service(*number)), None),
        TimedFault::NewRevision => (Fault::NewRevision, None),
    };
    world.schedule(at, start);
    if let Some((until, end_fault)) = end {
        world.schedule(until, end_fault);
    }
}

fn run_history(history: &History) -> Result<(), String> {
    let mut world = build_world(history);
    let end = Duration::from_millis(FAULTS_END_MS) + Duration::from_millis(10);
    world.run_until(end)?;
    // The table cannot recover from the permanent loss of a majority, so every stopped instance is
    // restarted with a new process.
    for node in 0..world.len() {
        if !world.is_running(node) {
            world.schedule(end, Fault::Restart(node));
        }
    }
    world.run_until(end + MAX_HEAL_TIME)?;
    match world.find_unhealed() {
        None => Ok(()),
        Some(difference) => {
            Err(format!("not healed {MAX_HEAL_TIME:?} after the faults ended: {difference}"))
        }
    }
}

fn environment_number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

fn check_histories(seed: u64) {
    let seed = environment_number("HIBISCUSDOOR_SEED").unwrap_or(0).wrapping_mul(1000) + seed;
    let histories =
        environment_number("HIBISCUSDOOR_HISTORIES").and_then(|it| u32::try_from(it).ok());
    let mut runner = TestRunner::new(Config {
        cases: histories.unwrap_or(HISTORIES),
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        max_shrink_iters: 60,
        ..Config::default()
    });
    let result = runner.run(&history(), |history| {
        run_history(&history).map_err(TestCaseError::fail)?;
        Ok(())
    });
    if let Err(error) = result {
        panic!("seed {seed}: {error}");
    }
}

// Guards against shares that add up to more than 1, keys with two owners, table versions that
// decrease, keys accepted after their withdrawal, and a table that does not heal.
cases! {
    check_histories:
    histories_of_seed_1(1),
    histories_of_seed_2(2),
    histories_of_seed_3(3),
    histories_of_seed_4(4),
    histories_of_seed_5(5),
    histories_of_seed_6(6),
    histories_of_seed_7(7),
    histories_of_seed_8(8),
    histories_of_seed_9(9),
    histories_of_seed_10(10),
}
