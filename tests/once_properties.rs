//! At-most-once execution and correct outcomes, for random histories and scenario files on a
//! virtual clock.
//!
//! `HIBISCUS_ONCE_SEED` replaces the fixed seeds and `HIBISCUS_ONCE_HISTORIES` the number of
//! histories per seed, for example
//! `HIBISCUS_ONCE_SEED=7 HIBISCUS_ONCE_HISTORIES=20000 cargo test --release --test once_properties`.

#[path = "once/world.rs"]
mod world;

use std::{collections::HashMap, time::Duration};

use hibiscusdoor::scenario::{Statement, When, parse};
use proptest::{
    collection::vec,
    prelude::{Just, Strategy, any, prop_oneof},
    test_runner::{Config, RngAlgorithm, TestCaseError, TestRng, TestRunner},
};
use world::{World, fresh_key_delay};

const FIXED_SEEDS: [u64; 4] = [1, 2, 3, 4];
const HISTORIES_PER_SEED: u32 = 100;
const MAX_STEPS: usize = 60;

/// A step of a history. Numbers of nodes and keys are reduced to those that exist; `Resend` repeats
/// the request of a key, and `SendOther` sends a different request with the same key.
#[derive(Debug, Clone)]
enum Step {
    Wait(u64),
    Send { via: usize },
    Resend { key: usize, via: usize },
    SendOther { key: usize, via: usize },
    KillOwner { key: usize },
    Kill { node: usize },
    Restart { node: usize },
    Leave { node: usize },
    LeaveOwner { key: usize },
    Join,
    FreezeOwner { key: usize, ms: u64 },
    Freeze { node: usize, ms: u64 },
    Cut { node: usize, ms: u64 },
    CutOwner { key: usize, ms: u64 },
    PlatformDown { ms: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    let index = || any::<usize>();
    let fault_ms = || 100u64..12_000;
    prop_oneof![
        6 => (0u64..500).prop_map(Step::Wait),
        4 => (1000u64..9000).prop_map(Step::Wait),
        1 => (500_000u64..700_000).prop_map(Step::Wait),
        8 => index().prop_map(|via| Step::Send { via }),
        10 => (index(), index()).prop_map(|(key, via)| Step::Resend { key, via }),
        1 => (index(), index()).prop_map(|(key, via)| Step::SendOther { key, via }),
        1 => index().prop_map(|key| Step::KillOwner { key }),
        1 => index().prop_map(|node| Step::Kill { node }),
        1 => index().prop_map(|node| Step::Restart { node }),
        1 => index().prop_map(|node| Step::Leave { node }),
        1 => index().prop_map(|key| Step::LeaveOwner { key }),
        2 => Just(Step::Join),
        2 => (index(), fault_ms()).prop_map(|(key, ms)| Step::FreezeOwner { key, ms }),
        1 => (index(), fault_ms()).prop_map(|(node, ms)| Step::Freeze { node, ms }),
        1 => (index(), fault_ms()).prop_map(|(node, ms)| Step::Cut { node, ms }),
        1 => (index(), fault_ms()).prop_map(|(key, ms)| Step::CutOwner { key, ms }),
        1 => fault_ms().prop_map(|ms| Step::PlatformDown { ms }),
    ]
}

/// Counts of what the histories exercised, so that a test that checks nothing is noticed.
#[derive(Debug, Default)]
struct Coverage {
    runs: usize,
    healed: usize,
    outcomes: HashMap<&'static str, usize>,
}

fn run_history(seed: u64, steps: &[Step]) -> World {
    let mut world = World::new(seed);
    for number in 0..4 {
        world.join(&format!("i{number:02}"));
    }
    world.run_for(Duration::from_secs(10));
    let mut keys = Vec::new();
    for step in steps {
        apply_step(&mut world, step, &mut keys);
    }
    world.heal();
    world
}

fn apply_step(world: &mut World, step: &Step, keys: &mut Vec<usize>) {
    let live = world.live();
    let pick = |index: usize| live.get(index % live.len().max(1)).copied();
    let pick_key = |keys: &[usize], index: usize| keys.get(index % keys.len().max(1)).copied();
    let owner = |world: &World, keys: &[usize], index: usize| {
        pick_key(keys, index).and_then(|key| world.owner_of(key))
    };
    match *step {
        Step::Wait(ms) => world.run_for(Duration::from_millis(ms)),
        Step::Send { via } => {
            if let Some(via) = pick(via) {
                let key = world.new_key();
                keys.push(key);
                world.send(key, via, false);
            }
        }
        Step::Resend { key, via } => {
            if let (Some(key), Some(via)) = (pick_key(keys, key), pick(via)) {
                world.send(key, via, false);
            }
        }
        Step::SendOther { key, via } => {
            if let (Some(key), Some(via)) = (pick_key(keys, key), pick(via)) {
                world.send(key, via, true);
            }
        }
        // At least three nodes stay alive, so that the fleet can continue.
        Step::KillOwner { .. } | Step::Kill { .. } if live.len() <= 3 => {}
        Step::Leave { .. } | Step::LeaveOwner { .. } if live.len() <= 3 => {}
        Step::KillOwner { key } => {
            if let Some(node) = owner(world, keys, key) {
                world.kill(node);
            }
        }
        Step::Kill { node } => {
            if let Some(node) = pick(node) {
                world.kill(node);
            }
        }
        Step::Restart { node } => {
            if let Some(node) = pick(node) {
                let name = world.name(node);
                world.kill(node);
                world.join(&name);
            }
        }
        Step::Leave { node } => {
            if let Some(node) = pick(node) {
                world.leave(node);
            }
        }
        Step::LeaveOwner { key } => {
            if let Some(node) = owner(world, keys, key) {
                world.leave(node);
            }
        }
        Step::Join => {
            if live.len() < 8 {
                let name = format!("i{:02}", world.node_count());
                world.join(&name);
            }
        }
        Step::FreezeOwner { key, ms } => {
            if let Some(node) = owner(world, keys, key) {
                world.freeze(node, Duration::from_millis(ms));
            }
        }
        Step::Freeze { node, ms } => {
            if let Some(node) = pick(node) {
                world.freeze(node, Duration::from_millis(ms));
            }
        }
        Step::Cut { node, ms } => {
            if let Some(node) = pick(node) {
                world.cut(node, Duration::from_millis(ms));
            }
        }
        Step::CutOwner { key, ms } => {
            if let Some(node) = owner(world, keys, key) {
                world.cut(node, Duration::from_millis(ms));
            }
        }
        Step::PlatformDown { ms } => world.platform_down(Duration::from_millis(ms)),
    }
}

fn check_history(seed: u64, steps: &[Step], coverage: &mut Coverage) -> Result<(), TestCaseError> {
    let mut world = run_history(seed, steps);
    let check_violations = |world: &World| match world.violations.first() {
        Some(first) => Err(TestCaseError::fail(first.clone())),
        None => Ok(()),
    };
    check_violations(&world)?;
    for facts in &world.facts {
        coverage.runs += facts.runs;
        for outcome in &facts.outcomes {
            *coverage.outcomes.entry(outcome).or_default() += 1;
        }
    }
    // A healed fleet must run new keys again.
    let evicted = world.evicted();
    let healthy = world.live().into_iter().find(|node| !evicted.contains(node));
    world.run_for(fresh_key_delay());
    if let Some(via) = healthy.filter(|_| world.has_majority()) {
        coverage.healed += 1;
        let key = world.new_key();
        world.send(key, via, false);
        world.run_for(Duration::from_secs(5));
        if world.facts[key].runs != 1 {
            let text = format!("a healed fleet did not run a new key: {:?}", world.facts[key]);
            return Err(TestCaseError::fail(text));
        }
    }
    check_violations(&world)
}

/// Guards against a key that runs twice, a request that ran but is reported as not run, and the
/// answer of another request, under random faults of nodes, network and platform.
#[test]
fn no_random_history_runs_a_key_twice() {
    let seeds = match std::env::var("HIBISCUS_ONCE_SEED") {
        Ok(seed) => vec![seed.parse().expect("HIBISCUS_ONCE_SEED is a number")],
        Err(_) => FIXED_SEEDS.to_vec(),
    };
    let histories = match std::env::var("HIBISCUS_ONCE_HISTORIES") {
        Ok(count) => count.parse().expect("HIBISCUS_ONCE_HISTORIES is a number"),
        Err(_) => HISTORIES_PER_SEED,
    };
    let mut coverage = Coverage::default();
    for seed in seeds {
        let config = Config {
            cases: histories,
            failure_persistence: None,
            max_shrink_iters: 2000,
            ..Config::default()
        };
        let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &seed_bytes(seed));
        let mut runner = TestRunner::new_with_rng(config, rng);
        let strategy = (any::<u64>(), vec(step(), 1..MAX_STEPS));
        let coverage = std::cell::RefCell::new(&mut coverage);
        let result = runner.run(&strategy, |(world_seed, steps)| {
            check_history(world_seed, &steps, &mut coverage.borrow_mut())
        });
        if let Err(error) = result {
            panic!("seed {seed}: {error}");
        }
    }
    println!("{coverage:?}");
    assert!(coverage.runs > 500, "the histories run too few requests: {coverage:?}");
    assert!(coverage.healed > 100, "too few histories end with a healed fleet: {coverage:?}");
    for outcome in ["whole", "not-run", "in-progress", "unknown"] {
        assert!(
            coverage.outcomes.contains_key(outcome),
            "no request had the outcome {outcome}: {coverage:?}"
        );
    }
}

fn seed_bytes(seed: u64) -> [u8; 32] {
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    bytes
}

/// Runs one scenario file.
///
/// Verbs: `node NAME` and `join NAME` add a node; `key KEY` stamps a key; `send KEY via=NAME` sends
/// a request with the key, which it stamps if it is new; `other KEY via=NAME` sends a different
/// request with the same key; `via=other` is the newest node that does not own the key; `kill`,
/// `leave`, `freeze` and `cut` act on `NAME` or `owner:KEY`; `platform` makes the platform
/// unreachable; `expect runs KEY N` and `expect outcome KEY WORD` check the results.
fn run_scenario(file: &str, text: &str, seed: u64) -> Result<(), String> {
    let mut statements = parse(file, text).map_err(|findings| format!("{findings}"))?;
    let start = |statement: &Statement| match statement.when {
        When::Always => Duration::ZERO,
        When::At(at) => at,
        When::During { from, .. } => from,
    };
    statements.sort_by_key(start);
    let mut world = World::new(seed);
    let mut keys = HashMap::new();
    let mut time = Duration::ZERO;
    for statement in &statements {
        world.run_for(start(statement).saturating_sub(time));
        time = time.max(start(statement));
        run_statement(&mut world, &mut keys, statement)?;
    }
    match world.violations.first() {
        Some(first) => Err(first.clone()),
        None => Ok(()),
    }
}

fn run_statement(
    world: &mut World,
    keys: &mut HashMap<String, usize>,
    statement: &Statement,
) -> Result<(), String> {
    let line = statement.line;
    let word = statement.word(0)?.to_owned();
    let length = match statement.when {
        When::During { from, to } => to.saturating_sub(from),
        _ => Duration::ZERO,
    };
    match statement.verb.as_str() {
        "node" | "join" => {
            world.join(&word);
        }
        "key" => {
            keys.insert(word, world.new_key());
        }
        "send" | "other" => {
            let via = statement
                .arguments
                .get("via")
                .ok_or(format!("line {line}: via=NAME is missing"))?;
            let key = *keys.entry(word).or_insert_with(|| world.new_key());
            let found = match via.as_str() {
                "other" => world.newest_non_owner(key),
                name => world.find(name),
            };
            let via = found.ok_or(format!("line {line}: no live node {via}"))?;
            world.send(key, via, statement.verb == "other");
        }
        "kill" => {
            let node = target_node(world, keys, &word, line)?;
            world.kill(node);
        }
        "leave" => {
            let node = target_node(world, keys, &word, line)?;
            world.leave(node);
        }
        "freeze" => {
            let node = target_node(world, keys, &word, line)?;
            world.freeze(node, length);
        }
        "cut" => {
            let node = target_node(world, keys, &word, line)?;
            world.cut(node, length);
        }
        "platform" => world.platform_down(length),
        "expect" => return expect(world, keys, statement),
        verb => return Err(format!("line {line}: unknown verb {verb}")),
    }
    Ok(())
}

fn target_node(
    world: &World,
    keys: &HashMap<String, usize>,
    word: &str,
    line: usize,
) -> Result<usize, String> {
    let node = match word.strip_prefix("owner:") {
        Some(key) => keys.get(key).and_then(|key| world.owner_of(*key)),
        None => world.find(word),
    };
    node.ok_or(format!("line {line}: there is no node {word}"))
}

fn expect(
    world: &World,
    keys: &HashMap<String, usize>,
    statement: &Statement,
) -> Result<(), String> {
    let line = statement.line;
    let name = statement.word(1)?;
    let key = *keys.get(name).ok_or(format!("line {line}: there is no key {name}"))?;
    let expected = statement.word(2)?;
    let found = match statement.word(0)? {
        "runs" => world.facts[key].runs.to_string(),
        "outcome" => world.last_outcome(key).to_owned(),
        other => return Err(format!("line {line}: unknown fact {other}")),
    };
    match found == expected {
        true => Ok(()),
        false => Err(format!("line {line}: expected {expected}, found {found}")),
    }
}

/// Guards against faults that coincide or repeat at critical moments; each scenario file states its
/// case.
#[test]
fn every_scenario_holds_for_every_seed() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/scenarios");
    let mut count = 0;
    for entry in std::fs::read_dir(folder).expect("the folder of scenarios") {
        let path = entry.expect("an entry").path();
        let name = path.file_name().expect("a name").to_string_lossy().into_owned();
        if !name.starts_with("once-") {
            continue;
        }
        count += 1;
        let text = std::fs::read_to_string(&path).expect("a readable scenario");
        for seed in 0..20 {
            if let Err(error) = run_scenario(&name, &text, seed) {
                panic!("{name} with seed {seed}: {error}");
            }
        }
    }
    assert!(count >= 6, "only {count} scenarios were found");
}
