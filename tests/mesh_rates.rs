//! Rates of organisations over all nodes of a mesh: homes and drawn tokens on a virtual clock.
//!
//! The seeds are fixed. `MESH_RATE_CASES=N` runs N histories instead.

mod support;

use std::{collections::VecDeque, sync::Arc, time::Duration};

use hibiscusdoor::mesh::{CONTACT_LIFETIME, Organisation, RateHome, TakeResult, TokenStock, Want};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

const STEP: Duration = Duration::from_millis(5);
/// Time after which a home that does not answer is passed over, and for how long.
const MISS_TIME: Duration = Duration::from_millis(300);
const PAUSE: Duration = Duration::from_secs(1);
/// Time between two draws of an entry that needs nothing.
const DRAW_INTERVAL: Duration = Duration::from_millis(250);
/// The platform's bound: a tenth and 20 requests beyond rate and burst in any window.
const WINDOW_S: f64 = 5.0;
const OVER: f64 = 1.1;
const SLACK: f64 = 20.0;
/// Longest wait of a request for a token, in steps.
const MAX_WAIT_STEPS: usize = 24;

fn organisation(rate_per_s: f64, burst: f64) -> Organisation {
    Organisation { name: "bars".into(), rate_per_s: Some(rate_per_s), burst, rank: None }
}

/// A span of time in which nodes are apart from the others: each of them alone, or frozen.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Apart {
    from_s: f64,
    until_s: f64,
    first: usize,
    count: usize,
    frozen: bool,
}

struct Node {
    home: RateHome,
    stock: TokenStock,
    waiting: VecDeque<usize>,
    drawn_at: Duration,
    /// Until when each other node is passed over.
    missed_until: Vec<Duration>,
    /// When an unanswered draw is given up.
    busy_until: Duration,
    /// When each other node drew here last.
    heard_at: Vec<Option<Duration>>,
}

struct World {
    nodes: Vec<Node>,
    organisation: Organisation,
    apart: Vec<Apart>,
    random: ChaCha8Rng,
    admitted_at: Vec<Duration>,
    refused: usize,
    /// Until when, and which part of the requests, is refused for overload after it took a token.
    overload: Option<(Duration, f64)>,
}

impl World {
    fn new(nodes: usize, organisation: Organisation, apart: Vec<Apart>, seed: u64) -> Self {
        let node = |_| Node {
            home: RateHome::default(),
            stock: TokenStock::default(),
            waiting: VecDeque::new(),
            drawn_at: Duration::ZERO,
            missed_until: vec![Duration::ZERO; nodes],
            busy_until: Duration::ZERO,
            heard_at: vec![None; nodes],
        };
        Self {
            nodes: (0..nodes).map(node).collect(),
            organisation,
            apart,
            random: ChaCha8Rng::seed_from_u64(seed),
            admitted_at: Vec::new(),
            refused: 0,
            overload: None,
        }
    }

    fn is_apart(&self, now: Duration, node: usize) -> Option<Apart> {
        let now_s = now.as_secs_f64();
        let covers = |it: &&Apart| {
            (it.from_s..it.until_s).contains(&now_s)
                && (it.first..it.first + it.count).contains(&node)
        };
        self.apart.iter().find(covers).copied()
    }

    fn reaches(&self, now: Duration, from: usize, to: usize) -> bool {
        from == to || (self.is_apart(now, from).is_none() && self.is_apart(now, to).is_none())
    }

    /// Runs for `length`, with `demand_per_s` requests a second over all nodes.
    fn run(&mut self, length: Duration, demand_per_s: impl Fn(f64) -> f64) {
        let mut now = Duration::ZERO;
        let count = self.nodes.len();
        while now < length {
            now += STEP;
            let expected = demand_per_s(now.as_secs_f64()) * STEP.as_secs_f64() / count as f64;
            for index in 0..count {
                if self.is_apart(now, index).is_some_and(|it| it.frozen) {
                    continue;
                }
                if self.random.random_range(0.0..1.0) < expected {
                    self.arrive(now, index);
                }
                self.draw(now, index);
                self.serve_waiting(now, index);
            }
        }
    }

    fn arrive(&mut self, now: Duration, index: usize) {
        let name = self.organisation.name.clone();
        match self.nodes[index].stock.take_token(now, &name, false) {
            TakeResult::Taken => self.begin(now, index),
            TakeResult::DrawNeeded => {
                self.nodes[index].stock.count_waiting(&name, true);
                self.nodes[index].waiting.push_back(MAX_WAIT_STEPS);
            }
            TakeResult::HomeEmpty { .. } => self.refused += 1,
        }
    }

    /// Begins a request that has its token, or gives the token back.
    fn begin(&mut self, now: Duration, index: usize) {
        let overload = self.overload.filter(|(until, _)| now < *until);
        let refused = overload.is_some_and(|(_, part)| self.random.random_range(0.0..1.0) < part);
        match refused {
            true => self.nodes[index].stock.refund(&self.organisation.name),
            false => self.admitted_at.push(now),
        }
    }

    fn serve_waiting(&mut self, now: Duration, index: usize) {
        let name = self.organisation.name.clone();
        let waiting = std::mem::take(&mut self.nodes[index].waiting);
        for left in waiting {
            let token = self.nodes[index].stock.take_token(now, &name, true);
            if token == TakeResult::Taken {
                self.begin(now, index);
            } else if left == 0 {
                self.refused += 1;
            } else {
                self.nodes[index].waiting.push_back(left - 1);
                continue;
            }
            self.nodes[index].stock.count_waiting(&name, false);
        }
    }

    fn draw(&mut self, now: Duration, index: usize) {
        let node = &mut self.nodes[index];
        if now < node.busy_until {
            return;
        }
        if node.waiting.is_empty() && now < node.drawn_at + DRAW_INTERVAL {
            return;
        }
        node.drawn_at = now;
        let wants = node.stock.due_wants(now, |_| true);
        let home = (0..self.nodes.len())
            .find(|home| *home == index || now >= self.nodes[index].missed_until[*home])
            .unwrap_or(index);
        if !self.reaches(now, index, home) {
            let node = &mut self.nodes[index];
            node.busy_until = now + MISS_TIME;
            node.missed_until[home] = now + MISS_TIME + PAUSE;
            node.stock.restore_returned(&wants);
            return;
        }
        let fleet = self.nodes.len();
        let at = &mut self.nodes[home];
        at.heard_at[index] = Some(now);
        at.heard_at[home] = Some(now);
        let recent = |it: &&Option<Duration>| it.is_some_and(|it| now <= it + CONTACT_LIFETIME);
        let contacts = at.heard_at.iter().filter(recent).count();
        at.home.set_contacts(now, contacts, fleet);
        for Want { organisation, tokens, returned } in wants {
            let home = &mut self.nodes[home].home;
            let grant = home.draw(now, &self.organisation, tokens, returned);
            self.nodes[index].stock.apply_grant(now, &organisation, grant);
        }
    }

    /// Most requests of any window over what the platform allows.
    fn worst_excess(&self) -> f64 {
        let rate_per_s = self.organisation.rate_per_s.unwrap_or_default();
        let allowed = (rate_per_s * WINDOW_S + self.organisation.burst) * OVER + SLACK;
        let window = Duration::from_secs_f64(WINDOW_S);
        let mut most = 0;
        let mut first = 0;
        for (last, at) in self.admitted_at.iter().enumerate() {
            while self.admitted_at[first] + window <= *at {
                first += 1;
            }
            most = most.max(last - first + 1);
        }
        most as f64 - allowed
    }
}

/// Guards against refusals of an organisation within its rate, because tokens lie elsewhere.
fn serves_what_is_within_the_rate(rate_per_s: f64, burst: f64, demand_part: f64) {
    let mut world = World::new(14, organisation(rate_per_s, burst), Vec::new(), 3);
    let length = Duration::from_secs(60);
    world.run(length, |_| rate_per_s * demand_part);
    let asked = world.admitted_at.len() + world.refused;
    let refused_part = world.refused as f64 / asked as f64;
    assert!(refused_part < 0.02, "{} of {asked} refused", world.refused);
}

crate::cases! { serves_what_is_within_the_rate:
    three_a_second_over_a_dozen_nodes(3.0, 6.0, 0.6),
    forty_a_second(40.0, 40.0, 0.7),
    four_hundred_a_second(400.0, 400.0, 0.85),
}

/// Guards against tokens that are lost on the way: an organisation far beyond its rate must get
/// all of it.
fn gets_its_whole_rate_beyond_it(rate_per_s: f64, burst: f64, demand_part: f64) {
    let mut world = World::new(14, organisation(rate_per_s, burst), Vec::new(), 4);
    world.run(Duration::from_secs(30), |_| rate_per_s * demand_part);
    let owed = rate_per_s * 30.0;
    let got = world.admitted_at.len() as f64;
    assert!(got > owed * 0.97, "{got} of {owed}");
    assert!(world.worst_excess() <= 0.0, "{} beyond the bound", world.worst_excess());
}

crate::cases! { gets_its_whole_rate_beyond_it:
    eight_times_a_small_rate(8.0, 8.0, 8.0),
    eight_times_a_large_rate(70.0, 70.0, 8.0),
    just_above_the_rate(40.0, 40.0, 1.2),
}

/// Guards against two homes that grant one bucket: the first home freezes while a third of the
/// nodes is alone and the organisation is far beyond its rate. Buckets that filled before a node
/// was a home broke the bound by 6 of 495 requests.
#[test]
fn a_frozen_home_and_a_cut_keep_the_bound() {
    let apart = vec![
        Apart { from_s: 4.0, until_s: 8.0, first: 0, count: 1, frozen: true },
        Apart { from_s: 5.0, until_s: 10.0, first: 9, count: 5, frozen: false },
    ];
    let mut world = World::new(14, organisation(72.0, 72.0), apart, 5);
    world.run(Duration::from_secs(20), |now_s| if now_s < 2.0 { 45.0 } else { 360.0 });
    assert!(world.worst_excess() <= 0.0, "{} beyond the bound", world.worst_excess());
}

/// Guards against tokens that pile up at the entries: while requests are refused for overload, each
/// gives its token back, and the entries must not draw more for them. On scale-1 of perth-archive
/// 83 tokens lay at 14 entries beside a full bucket, and the bound was broken by 10 of 396.
#[test]
fn tokens_given_back_do_not_pile_up() {
    for seed in 0..10 {
        let mut world = World::new(14, organisation(57.0, 57.0), Vec::new(), seed);
        world.overload = Some((Duration::from_secs(10), 0.75));
        world.run(Duration::from_secs(16), |now_s| if now_s < 10.0 { 160.0 } else { 100.0 });
        let excess = world.worst_excess();
        assert!(excess <= 0.0, "seed {seed}: {excess} beyond the bound");
    }
}

#[derive(Debug, Clone)]
struct History {
    figures: (f64, f64),
    demand_part: f64,
    apart: Vec<Apart>,
    seed: u64,
}

fn history() -> impl Strategy<Value = History> {
    let figures = prop_oneof![Just((8.0, 8.0)), Just((40.0, 20.0)), Just((120.0, 120.0))];
    let apart = (0.0..15.0f64, 0.5..6.0f64, 0usize..12, 1usize..6, any::<bool>()).prop_map(
        |(from_s, length_s, first, count, frozen)| Apart {
            from_s,
            until_s: from_s + length_s,
            first,
            count: if frozen { 1 } else { count },
            frozen,
        },
    );
    (figures, 0.5..8.0f64, prop::collection::vec(apart, 0..3), any::<u64>()).prop_map(
        |(figures, demand_part, apart, seed)| History { figures, demand_part, apart, seed },
    )
}

/// Guards against any history of cuts and freezes in which an organisation gets more than the
/// platform's bound.
#[test]
fn random_cuts_and_freezes_keep_the_bound() {
    let cases = std::env::var("MESH_RATE_CASES").ok().and_then(|text| text.parse().ok());
    let config =
        Config { cases: cases.unwrap_or(48), failure_persistence: None, ..Config::default() };
    let random = TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]);
    let mut runner = TestRunner::new_with_rng(config, random);
    let result = runner.run(&history(), |history| {
        let (rate_per_s, burst) = history.figures;
        let mut world =
            World::new(14, organisation(rate_per_s, burst), history.apart.clone(), history.seed);
        world.run(Duration::from_secs(20), |_| rate_per_s * history.demand_part);
        prop_assert!(world.worst_excess() <= 0.0, "{} beyond the bound", world.worst_excess());
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}

/// Guards against tokens that vanish with a home that does not answer.
#[test]
fn returned_tokens_survive_a_missed_home() {
    let name: Arc<str> = "bars".into();
    let mut home = RateHome::default();
    let mut stock = TokenStock::default();
    let bars = organisation(10.0, 20.0);
    home.set_contacts(Duration::ZERO, 3, 3);
    assert_eq!(stock.take_token(Duration::ZERO, &name, false), TakeResult::DrawNeeded);
    home.set_contacts(Duration::from_millis(500), 3, 3);
    let grant = home.draw(Duration::from_millis(500), &bars, 4.0, 0.0);
    assert_eq!(grant.tokens, 4.0);
    stock.apply_grant(Duration::from_millis(500), &name, grant);
    let wants = stock.due_wants(Duration::from_secs(5), |_| true);
    assert_eq!(wants, [Want { organisation: name.clone(), tokens: 0.0, returned: 4.0 }]);
    stock.restore_returned(&wants);
    assert_eq!(stock.take_token(Duration::from_secs(5), &name, false), TakeResult::Taken);
}
