//! Scenario files with scripted faults against the membership decisions of a fleet; each run prints
//! its figures.
//!
//! `cargo test --test membership_scenarios -- --nocapture --test-threads 1` shows the figures.

mod membership_world;
mod support;

use std::{collections::BTreeSet, time::Duration};

use hibiscusdoor::scenario::{Statement, When, parse, parse_time};

use crate::membership_world::{Fault, NodeSpec, World};

/// Every scenario is run with each of these seeds.
const SEEDS: std::ops::Range<u64> = 0..5;
/// Longest delay of a platform call in one direction while the platform is not slow.
const DEFAULT_PLATFORM_DELAY: Duration = Duration::from_millis(5);

struct Check<'a> {
    at: Duration,
    statement: &'a Statement,
}

fn run_scenario(name: &str, text: &str) {
    let statements = parse(name, text).unwrap_or_else(|findings| panic!("{findings}"));
    for seed in SEEDS {
        if let Err(error) = run_once(name, &statements, seed) {
            panic!("{name}, seed {seed}: {error}");
        }
    }
}

fn run_once(name: &str, statements: &[Statement], seed: u64) -> Result<(), String> {
    let mut world = World::new(seed);
    for (index, node) in statements.iter().filter(|it| it.verb == "node").enumerate() {
        world.add_node(NodeSpec {
            zone: node.argument("zone", String::new())?,
            service: node.argument("service", String::new())?,
            weight: node.argument("weight", 1)?,
            clock_rate: node.argument("clock", 1.0)?,
            clock_offset: Duration::from_secs(1000 * (index as u64 + 1)),
        });
    }
    // With a first revision, a process that has no configuration yet can be distinguished.
    world.schedule(Duration::from_secs(1), Fault::NewRevision);
    let mut checks = Vec::new();
    let mut end = Duration::ZERO;
    for statement in statements {
        match (statement.verb.as_str(), statement.when) {
            ("node", _) => {}
            ("run", _) => {
                end = parse_time(statement.word(0)?).ok_or("the verb run needs a time")?;
            }
            ("expect", When::At(at)) => checks.push(Check { at, statement }),
            ("expect", _) => checks.push(Check { at: Duration::MAX, statement }),
            _ => schedule_faults(&mut world, statement)?,
        }
    }
    for check in &mut checks {
        check.at = check.at.min(end);
    }
    checks.sort_by_key(|check| check.at);
    for check in checks {
        world.run_until(check.at)?;
        expect(&world, check.statement)
            .map_err(|error| format!("line {}: {error}", check.statement.line))?;
    }
    print_figures(name, seed, &world, end);
    Ok(())
}

fn schedule_faults(world: &mut World, statement: &Statement) -> Result<(), String> {
    let (from, to) = match statement.when {
        When::Always => (Duration::ZERO, None),
        When::At(at) => (at, None),
        When::During { from, to } => (from, Some(to)),
    };
    let nodes = |words: &[String]| -> Result<BTreeSet<usize>, String> {
        let find = |word: &String| world.index_of(word).ok_or(format!("there is no node {word}"));
        words.iter().map(find).collect()
    };
    let nodes_in_zone = |zone: &str| -> Vec<usize> {
        (0..world.len()).filter(|node| world.zone(*node) == zone).collect()
    };
    let mut faults: Vec<(Fault, Option<Fault>)> = Vec::new();
    match (statement.verb.as_str(), statement.words.first().map(String::as_str)) {
        ("kill", _) => {
            faults.extend(nodes(&statement.words)?.into_iter().map(|it| (Fault::Kill(it), None)));
        }
        ("restart", _) => {
            let restarted = nodes(&statement.words)?.into_iter();
            faults.extend(restarted.map(|it| (Fault::Restart(it), None)));
        }
        ("freeze", _) => {
            let frozen = nodes(&statement.words)?.into_iter();
            faults.extend(frozen.map(|it| (Fault::Pause(it), Some(Fault::Resume(it)))));
        }
        ("cut", _) => {
            let cut = nodes(&statement.words)?;
            if statement.argument("platform", String::new())? == "yes" {
                let healed = Some(Fault::CutPlatform(BTreeSet::new()));
                faults.push((Fault::CutPlatform(cut.clone()), healed));
            }
            faults.push((Fault::Cut(cut), Some(Fault::HealCut)));
        }
        ("zone-lost", Some(name)) => {
            faults.extend(nodes_in_zone(name).into_iter().map(|it| (Fault::Kill(it), None)));
        }
        ("zone-restarted", Some(name)) => {
            faults.extend(nodes_in_zone(name).into_iter().map(|it| (Fault::Restart(it), None)));
        }
        ("platform", Some("down")) => {
            faults.push((Fault::PlatformDown(true), Some(Fault::PlatformDown(false))));
        }
        ("platform", Some("slow")) => {
            let delay = statement.time("delay", Duration::from_secs(1))?;
            let healed = Some(Fault::PlatformDelay(DEFAULT_PLATFORM_DELAY));
            faults.push((Fault::PlatformDelay(delay), healed));
        }
        ("platform", Some("loses")) => {
            let fraction = statement.argument("part", 1.0)?;
            faults.push((Fault::LoseWriteAnswers(fraction), Some(Fault::LoseWriteAnswers(0.0))));
        }
        ("drain", _) => {
            faults.extend(nodes(&statement.words)?.into_iter().map(|it| (Fault::Drain(it), None)));
        }
        ("leave", _) => {
            faults.extend(nodes(&statement.words)?.into_iter().map(|it| (Fault::Leave(it), None)));
        }
        (verb, _) => return Err(format!("line {}: unknown verb {verb}", statement.line)),
    }
    for (start, stop) in faults {
        world.schedule(from, start);
        if let (Some(to), Some(stop)) = (to, stop) {
            world.schedule(to, stop);
        }
    }
    Ok(())
}

fn expect(world: &World, statement: &Statement) -> Result<(), String> {
    let figure = statement.word(0)?;
    if figure == "healed" {
        return world.find_unhealed().map_or(Ok(()), Err);
    }
    let since = statement.time("since", Duration::ZERO)?;
    let count = |times: &[Duration]| times.iter().filter(|at| **at >= since).count() as f64;
    let found = match figure {
        "rows" => world.platform_rows() as f64,
        "version" => world.platform_version() as f64,
        "rights" => world.nodes_with_lease() as f64,
        "observers" => world.observers() as f64,
        "accepting" => world.accepting_nodes() as f64,
        "leaving" => world.leaving_rows() as f64,
        "platform-calls" => count(&world.figures.platform_calls),
        "platform-writes" => count(&world.figures.platform_writes),
        "regained" => longest_rate_gap(world)?.as_secs_f64(),
        "without-right" => without_lease(world, since).as_secs_f64(),
        _ => return Err(format!("unknown figure {figure}")),
    };
    let bound = statement.word(2)?;
    let time = parse_time(bound).map(|time| time.as_secs_f64());
    let bound =
        time.or(bound.parse().ok()).ok_or(format!("{bound} is neither a time nor a number"))?;
    let holds = match statement.word(1)? {
        "<=" => found <= bound,
        ">=" => found >= bound,
        "==" => found == bound,
        other => return Err(format!("unknown relation {other}, expected <=, >= or ==")),
    };
    match holds {
        true => Ok(()),
        false => Err(format!("{figure}: expected {} {bound}, found {found}", statement.word(1)?)),
    }
}

/// Returns the longest time from the loss of a node until the whole rate was in use again.
fn longest_rate_gap(world: &World) -> Result<Duration, String> {
    let mut longest = Duration::ZERO;
    for gap in &world.figures.gaps {
        let to =
            gap.to.ok_or(format!("the whole rate is not in use again since {:?}", gap.from))?;
        longest = longest.max(to - gap.lost_at);
    }
    Ok(longest)
}

fn without_lease(world: &World, since: Duration) -> Duration {
    let spans = world.figures.without_lease.iter().filter(|(from, _)| *from >= since);
    spans.map(|(from, to)| *to - *from).sum()
}

fn print_figures(name: &str, seed: u64, world: &World, end: Duration) {
    let figures = &world.figures;
    let gaps: Vec<String> = figures
        .gaps
        .iter()
        .map(|gap| match gap.to {
            Some(to) => {
                format!("{:.1} s", (to - gap.lost_at).as_secs_f64())
            }
            None => "never".to_owned(),
        })
        .collect();
    let node_seconds = end.as_secs_f64() * world.len() as f64;
    println!(
        "{name} seed {seed}: whole rate in use after [{}], {} platform calls ({:.3}/s a node), \
         {} writes, version {}, {:.0} evidence B/s a node",
        gaps.join(", "),
        figures.platform_calls.len(),
        figures.platform_calls.len() as f64 / node_seconds,
        figures.platform_writes.len(),
        world.platform_version(),
        figures.peer_bytes as f64 / node_seconds,
    );
}

macro_rules! scenarios {
    ($($name:ident($file:literal)),+ $(,)?) => {
        $(
            #[test]
            fn $name() {
                run_scenario($file, include_str!(concat!("scenarios/", $file)));
            }
        )+
    };
}

// The comment at the head of each scenario file describes the fault and the behaviour that the test
// protects.
scenarios! {
    killed_node_is_evicted("membership-kill.scenario"),
    cut_off_minority_refuses("membership-cut.scenario"),
    frozen_node_acts_on_nothing_old("membership-freeze.scenario"),
    platform_outage_freezes_the_table("membership-platform-down.scenario"),
    slow_platform_is_survived("membership-platform-slow.scenario"),
    lost_answers_are_read_back("membership-lost-answers.scenario"),
    two_dead_nodes_go_in_one_update("membership-two-at-once.scenario"),
    same_node_dies_twice("membership-same-twice.scenario"),
    lost_zone_goes_in_one_update("membership-zone-lost.scenario"),
    two_lost_zones_evict_nobody("membership-two-zones-lost.scenario"),
    restart_in_an_outage_becomes_an_observer("membership-restart-in-outage.scenario"),
    joins_that_arrive_together_are_batched("membership-start.scenario"),
    drained_upstream_is_marked("membership-drain.scenario"),
}
