//! Runs the scenario files `tests/scenarios/rate-*.scenario` on a virtual clock.
//!
//! Statements: `nodes count=N`, `organisation NAME rate=R burst=B`, `until TIME`,
//! `from A to B load NAME per_s=R at=i00,i01` (or `at=all`), `at T burst NAME count=N at=i00`,
//! `at T kill|restart i00`, `from A to B freeze i00`, `from A to B cut i00 i01`,
//! `from A to B loss part=0.1`, `from A to B platform_down`, and
//! `expect refused NAME <= PART` for the refused fraction of the requests within the rate.
//! Every scenario also asserts that at most burst + rate * w requests are admitted in any window w.
//! With `RATE_SCENARIO_TIMES` set, the times of all refusals are printed.

#[path = "support/rate_world.rs"]
mod rate_world;
mod support;

use std::time::Duration;

use hibiscusdoor::{
    rate::Allowance,
    scenario::{Statement, When, parse, parse_time},
};

use crate::rate_world::{Fault, Load, World};

const SEED_COUNT: u64 = 5;
/// Maximum relative drift of a node's clock: 50 ppm, as of a quartz oscillator. The property tests use the allowed
/// 500 ppm, which alone may cost a node 0.1 % of its rate.
const MAX_DRIFT: f64 = 0.000_05;

struct Scenario {
    nodes: usize,
    organisations: Vec<(String, Allowance)>,
    until: Duration,
    statements: Vec<Statement>,
}

impl Scenario {
    fn read(file: &str) -> Result<Self, String> {
        let path = format!("{}/tests/scenarios/{file}", env!("CARGO_MANIFEST_DIR"));
        let text = std::fs::read_to_string(&path).map_err(|error| format!("{path}: {error}"))?;
        let statements = parse(file, &text).map_err(|findings| format!("{findings:?}"))?;
        let mut scenario = Self {
            nodes: 0,
            organisations: Vec::new(),
            until: Duration::from_secs(30),
            statements: Vec::new(),
        };
        for statement in statements {
            match statement.verb.as_str() {
                "nodes" => scenario.nodes = statement.argument("count", 0)?,
                "organisation" => {
                    let total = Allowance {
                        rate_per_s: statement.argument("rate", 0.0)?,
                        burst: statement.argument("burst", 0.0)?,
                    };
                    scenario.organisations.push((statement.word(0)?.to_owned(), total));
                }
                "until" => {
                    let end = parse_time(statement.word(0)?);
                    scenario.until = end.ok_or("until needs a time")?;
                }
                _ => scenario.statements.push(statement),
            }
        }
        Ok(scenario)
    }

    fn organisation_index(&self, name: &str) -> Result<usize, String> {
        let found = self.organisations.iter().position(|(known, _)| known == name);
        found.ok_or_else(|| format!("no organisation {name}"))
    }

    fn run(&self, seed: u64) -> Result<World, String> {
        let totals = self.organisations.iter().map(|(_, total)| *total).collect();
        let mut world = World::new(&vec![1; self.nodes], totals, MAX_DRIFT, seed);
        for statement in &self.statements {
            self.apply(statement, &mut world)?;
        }
        world.run(self.until);
        Ok(world)
    }

    fn apply(&self, statement: &Statement, world: &mut World) -> Result<(), String> {
        let (from, to) = match statement.when {
            When::Always => (Duration::ZERO, self.until),
            When::At(time) => (time, time),
            When::During { from, to } => (from, to),
        };
        let named_nodes: Vec<usize> =
            statement.words.iter().filter_map(|word| node_index(word)).collect();
        let fault_and_end = match statement.verb.as_str() {
            "load" => {
                world.add_load(Load {
                    organisation: self.organisation_index(statement.word(0)?)?,
                    per_s: statement.argument("per_s", 0.0)?,
                    nodes: self.nodes_of(statement)?,
                    from,
                    to,
                });
                return Ok(());
            }
            "burst" => {
                let organisation = self.organisation_index(statement.word(0)?)?;
                let count = statement.argument("count", 0)?;
                world.schedule_burst(from, organisation, self.nodes_of(statement)?, count);
                return Ok(());
            }
            "expect" => return Ok(()),
            "kill" => (Fault::Kill(named_nodes[0]), None),
            "restart" => (Fault::Restart(named_nodes[0]), None),
            "freeze" => (Fault::Freeze(named_nodes[0]), Some(Fault::Thaw(named_nodes[0]))),
            "cut" => (Fault::Cut(named_nodes), Some(Fault::Heal)),
            "loss" => (Fault::Loss(statement.argument("part", 0.0)?), Some(Fault::Loss(0.0))),
            "platform_down" => (Fault::PlatformDown, Some(Fault::PlatformUp)),
            other => return Err(format!("line {}: unknown verb {other}", statement.line)),
        };
        world.schedule_fault(from, fault_and_end.0);
        if let Some(end) = fault_and_end.1 {
            world.schedule_fault(to, end);
        }
        Ok(())
    }

    fn nodes_of(&self, statement: &Statement) -> Result<Vec<usize>, String> {
        let at: String = statement.argument("at", "all".to_owned())?;
        if at == "all" {
            return Ok((0..self.nodes).collect());
        }
        let nodes: Option<Vec<usize>> = at.split(',').map(node_index).collect();
        nodes.ok_or_else(|| format!("line {}: unexpected nodes {at}", statement.line))
    }
}

fn node_index(name: &str) -> Option<usize> {
    name.strip_prefix('i')?.parse().ok()
}

fn check_scenario(file: &str) {
    let scenario = Scenario::read(file).unwrap_or_else(|error| panic!("{file}: {error}"));
    let mut refused_fractions = vec![Vec::new(); scenario.organisations.len()];
    for seed in 1..=SEED_COUNT {
        let world = scenario.run(seed).unwrap_or_else(|error| panic!("{file}: {error}"));
        assert_eq!(world.violation, None, "{file}, seed {seed}");
        for (index, fractions) in refused_fractions.iter_mut().enumerate() {
            fractions.push(world.refused_within_rate(index));
            let outcome = &world.outcomes[index];
            println!(
                "{file} seed {seed} {}: offered {}, admitted {}, refused {}, no lease {}, waited {}, \
                 refused within the rate {:.4} %, loan requests per second and node {:.1}",
                scenario.organisations[index].0,
                outcome.offered.len(),
                outcome.admitted.len(),
                outcome.refused,
                outcome.no_lease,
                outcome.waited,
                fractions[fractions.len() - 1] * 100.0,
                world.loan_requests_sent as f64
                    / scenario.until.as_secs_f64()
                    / scenario.nodes as f64,
            );
            if std::env::var_os("RATE_SCENARIO_TIMES").is_some() {
                println!("{:?}", outcome.refused_at);
            }
        }
    }
    let mut expectations = 0;
    for statement in &scenario.statements {
        if statement.verb != "expect" {
            continue;
        }
        let [what, name, relation, limit] = &statement.words[..] else {
            panic!("{file}: line {}: expected `refused NAME <= PART`", statement.line);
        };
        assert_eq!((what.as_str(), relation.as_str()), ("refused", "<="), "{file}");
        let index = scenario.organisation_index(name).expect("a known organisation");
        let limit: f64 = limit.parse().expect("a number");
        let fractions = &mut refused_fractions[index];
        fractions.sort_by(f64::total_cmp);
        let median = fractions[fractions.len() / 2];
        assert!(
            median <= limit,
            "{file}: {name}: median refused within the rate is {median}, expected at most {limit}"
        );
        expectations += 1;
    }
    assert!(expectations > 0, "{file}: no `expect` statement");
}

// Each scenario guards against admissions above the bound, and against requests within the rate
// that are refused because other nodes hold the shares.
cases! {
    check_scenario:
    demand_at_one_node("rate-uneven.scenario"),
    demand_at_two_of_many_nodes("rate-two-of-many.scenario"),
    demand_that_jumps("rate-jump.scenario"),
    burst_at_one_node("rate-burst.scenario"),
    rate_below_one_token_a_node("rate-small.scenario"),
    one_organisation_at_five_times_its_rate("rate-five-times.scenario"),
    nodes_killed("rate-kill.scenario"),
    nodes_cut_off("rate-cut.scenario"),
    node_frozen("rate-freeze.scenario"),
    messages_lost("rate-loss.scenario"),
    platform_down("rate-platform-down.scenario"),
    two_faults_at_once("rate-two-at-once.scenario"),
}
