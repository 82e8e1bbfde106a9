//! Rate limits of organisations over all nodes of a mesh, on a virtual clock.
//!
//! The seeds are fixed. `MESH_RATE_CASES=N` sets the number of random histories.

mod support;

use std::{collections::VecDeque, sync::Arc, time::Duration};

use hibiscusdoor::mesh::{
    ContactProof, HolderUse, Organisation, RateHome, RateHomes, TakeTokenResult, TokenStock, Want,
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

const STEP: Duration = Duration::from_millis(5);
/// Timeout of a draw from a home.
const DRAW_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for which a home is passed over after a timeout.
const MISSED_HOME_PAUSE: Duration = Duration::from_secs(1);
/// Time between two draws of an entry node without waiting requests.
const DRAW_INTERVAL: Duration = Duration::from_millis(250);
/// Window of the platform's bound: in any window, an organisation may run at most 20 requests more than
/// 1.1 times its rate and burst.
const WINDOW_S: f64 = 5.0;
const ALLOWED_FACTOR: f64 = 1.1;
const ALLOWED_EXTRA_REQUESTS: f64 = 20.0;
/// Maximum time that a request waits for a token, in steps.
const MAX_WAIT_STEPS: usize = 24;

fn organisation(rate_per_s: f64, burst: f64) -> Organisation {
    Organisation { name: "bars".into(), rate_per_s: Some(rate_per_s), burst, rank: None }
}

/// Period in which each node of a range is cut off from all other nodes or is frozen.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Isolation {
    from_s: f64,
    until_s: f64,
    first: usize,
    count: usize,
    frozen: bool,
}

struct Node {
    homes: RateHomes,
    holder_use: HolderUse,
    /// Time of the last answer of each other node as a home, by that node's clock.
    answered_at: Vec<Option<Duration>>,
    stock: TokenStock,
    waiting: VecDeque<usize>,
    drawn_at: Duration,
    /// Time until which each other node is passed over as a home.
    missed_until: Vec<Duration>,
    /// Time at which the present draw times out.
    draw_timeout_at: Duration,
}

struct Simulation {
    nodes: Vec<Node>,
    organisation: Organisation,
    isolations: Vec<Isolation>,
    random: ChaCha8Rng,
    admitted_at: Vec<Duration>,
    refused: usize,
    /// Time until which requests are refused for overload after they took a token, and the fraction
    /// that is refused.
    overload: Option<(Duration, f64)>,
}

impl Simulation {
    fn new(
        nodes: usize,
        organisation: Organisation,
        isolations: Vec<Isolation>,
        seed: u64,
    ) -> Self {
        let node = |_| Node {
            homes: RateHomes::default(),
            holder_use: HolderUse::new(Duration::ZERO),
            answered_at: vec![None; nodes],
            stock: TokenStock::default(),
            waiting: VecDeque::new(),
            drawn_at: Duration::ZERO,
            missed_until: vec![Duration::ZERO; nodes],
            draw_timeout_at: Duration::ZERO,
        };
        Self {
            nodes: (0..nodes).map(node).collect(),
            organisation,
            isolations,
            random: ChaCha8Rng::seed_from_u64(seed),
            admitted_at: Vec::new(),
            refused: 0,
            overload: None,
        }
    }

    fn isolation_of(&self, now: Duration, node: usize) -> Option<Isolation> {
        let now_s = now.as_secs_f64();
        let covers = |it: &&Isolation| {
            (it.from_s..it.until_s).contains(&now_s)
                && (it.first..it.first + it.count).contains(&node)
        };
        self.isolations.iter().find(covers).copied()
    }

    fn reaches(&self, now: Duration, from: usize, to: usize) -> bool {
        from == to
            || (self.isolation_of(now, from).is_none() && self.isolation_of(now, to).is_none())
    }

    /// Simulates `length`, with `demand_per_s` requests per second over all nodes.
    fn run(&mut self, length: Duration, demand_per_s: impl Fn(f64) -> f64) {
        let mut now = Duration::ZERO;
        let count = self.nodes.len();
        while now < length {
            now += STEP;
            let expected = demand_per_s(now.as_secs_f64()) * STEP.as_secs_f64() / count as f64;
            for index in 0..count {
                if self.isolation_of(now, index).is_some_and(|it| it.frozen) {
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
            TakeTokenResult::Taken => self.start_request(now, index),
            TakeTokenResult::DrawNeeded => {
                self.nodes[index].stock.count_waiting(&name, true);
                self.nodes[index].waiting.push_back(MAX_WAIT_STEPS);
            }
            TakeTokenResult::HomeEmpty { .. } => self.refused += 1,
        }
    }

    /// Starts a request that has its token, or refuses it for overload and refunds the token.
    fn start_request(&mut self, now: Duration, index: usize) {
        let overload = self.overload.filter(|(until, _)| now < *until);
        let refused =
            overload.is_some_and(|(_, fraction)| self.random.random_range(0.0..1.0) < fraction);
        match refused {
            true => self.nodes[index].stock.refund(&self.organisation.name),
            false => self.admitted_at.push(now),
        }
    }

    fn serve_waiting(&mut self, now: Duration, index: usize) {
        let name = self.organisation.name.clone();
        let waiting = std::mem::take(&mut self.nodes[index].waiting);
        for steps_left in waiting {
            let token = self.nodes[index].stock.take_token(now, &name, true);
            if token == TakeTokenResult::Taken {
                self.start_request(now, index);
            } else if steps_left == 0 {
                self.refused += 1;
            } else {
                self.nodes[index].waiting.push_back(steps_left - 1);
                continue;
            }
            self.nodes[index].stock.count_waiting(&name, false);
        }
    }

    fn draw(&mut self, now: Duration, index: usize) {
        let node = &mut self.nodes[index];
        if now < node.draw_timeout_at {
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
        let home_name: Arc<str> = format!("node-{home}").into();
        let holder_use = &mut self.nodes[index].holder_use;
        let exclusive_for = match home == index {
            true => holder_use.begin_own(now, &home_name),
            false => holder_use.begin(now, &home_name),
        };
        if !self.reaches(now, index, home) {
            let node = &mut self.nodes[index];
            node.holder_use.end(now + DRAW_TIMEOUT, false);
            node.draw_timeout_at = now + DRAW_TIMEOUT;
            node.missed_until[home] = now + DRAW_TIMEOUT + MISSED_HOME_PAUSE;
            node.stock.restore_returned(&wants);
            return;
        }
        let fleet = self.nodes.len();
        let sent_after =
            if index == home { Some(now) } else { self.nodes[index].answered_at[home] };
        let proof = ContactProof { sent_after, exclusive_for };
        let requester: Arc<str> = format!("node-{index}").into();
        self.nodes[index].answered_at[home] = Some(now);
        self.nodes[index].holder_use.end(now, true);
        self.nodes[home].homes.record_proven_contact(now, 0, &requester, proof, fleet);
        for Want { organisation, tokens, returned } in wants {
            let homes = &mut self.nodes[home].homes;
            let home = homes.record_proven_contact(now, 0, &requester, proof, fleet);
            let grant = home.grant_tokens(now, &self.organisation, tokens, returned);
            self.nodes[index].stock.apply_grant(now, &organisation, grant);
        }
    }

    /// Largest excess of requests over the platform's bound in any window.
    fn max_excess(&self) -> f64 {
        let rate_per_s = self.organisation.rate_per_s.unwrap_or_default();
        let allowed = (rate_per_s * WINDOW_S + self.organisation.burst) * ALLOWED_FACTOR
            + ALLOWED_EXTRA_REQUESTS;
        let window = Duration::from_secs_f64(WINDOW_S);
        let mut max_requests = 0;
        let mut first = 0;
        for (last, at) in self.admitted_at.iter().enumerate() {
            while self.admitted_at[first] + window <= *at {
                first += 1;
            }
            max_requests = max_requests.max(last - first + 1);
        }
        max_requests as f64 - allowed
    }
}

/// Guards against refusals of an organisation within its rate because other entry nodes hold its
/// tokens.
fn serves_what_is_within_the_rate(rate_per_s: f64, burst: f64, demand_factor: f64) {
    let mut simulation = Simulation::new(14, organisation(rate_per_s, burst), Vec::new(), 3);
    let length = Duration::from_secs(62);
    // A home grants the whole rate some 1.2 s after its start (see mesh_sole_holder.rs).
    simulation.run(length, |now_s| if now_s < 2.0 { 0.0 } else { rate_per_s * demand_factor });
    let total = simulation.admitted_at.len() + simulation.refused;
    let refused_fraction = simulation.refused as f64 / total as f64;
    assert!(refused_fraction < 0.02, "{} of {total} refused", simulation.refused);
}

crate::cases! { serves_what_is_within_the_rate:
    three_a_second_over_a_dozen_nodes(3.0, 6.0, 0.6),
    forty_a_second(40.0, 40.0, 0.7),
    four_hundred_a_second(400.0, 400.0, 0.85),
}

/// Guards against lost tokens: an organisation with more demand than its rate must be admitted at the
/// whole rate.
fn gets_its_whole_rate_beyond_it(rate_per_s: f64, burst: f64, demand_factor: f64) {
    let mut simulation = Simulation::new(14, organisation(rate_per_s, burst), Vec::new(), 4);
    simulation.run(Duration::from_secs(30), |_| rate_per_s * demand_factor);
    let expected = rate_per_s * 30.0;
    let got = simulation.admitted_at.len() as f64;
    assert!(got > expected * 0.97, "{got} of {expected} requests admitted");
    assert!(simulation.max_excess() <= 0.0, "{} beyond the bound", simulation.max_excess());
}

crate::cases! { gets_its_whole_rate_beyond_it:
    eight_times_a_small_rate(8.0, 8.0, 8.0),
    eight_times_a_large_rate(70.0, 70.0, 8.0),
    just_above_the_rate(40.0, 40.0, 1.2),
}

/// Guards against two homes that grant the same tokens: the first home is frozen while a third of the
/// nodes is isolated and the organisation is far over its rate. When buckets started to fill before
/// the node became a home, the bound was exceeded by 6 of 495 requests.
#[test]
fn a_frozen_home_and_a_cut_keep_the_bound() {
    let isolations = vec![
        Isolation { from_s: 4.0, until_s: 8.0, first: 0, count: 1, frozen: true },
        Isolation { from_s: 5.0, until_s: 10.0, first: 9, count: 5, frozen: false },
    ];
    let mut simulation = Simulation::new(14, organisation(72.0, 72.0), isolations, 5);
    simulation.run(Duration::from_secs(20), |now_s| if now_s < 2.0 { 45.0 } else { 360.0 });
    assert!(simulation.max_excess() <= 0.0, "{} beyond the bound", simulation.max_excess());
}

/// Guards against tokens that accumulate at the entry nodes: while requests are refused for overload,
/// their tokens are refunded, and the entry nodes must not draw more for them. On day
/// scale-1 of the deployment perth-archive, 14 entry nodes held 83 tokens while the bucket was full, and
/// the bound was exceeded by 10 of 396 requests.
#[test]
fn tokens_given_back_do_not_pile_up() {
    for seed in 0..10 {
        let mut simulation = Simulation::new(14, organisation(57.0, 57.0), Vec::new(), seed);
        simulation.overload = Some((Duration::from_secs(10), 0.75));
        simulation.run(Duration::from_secs(16), |now_s| if now_s < 10.0 { 160.0 } else { 100.0 });
        let excess = simulation.max_excess();
        assert!(excess <= 0.0, "seed {seed}: {excess} beyond the bound");
    }
}

#[derive(Debug, Clone)]
struct History {
    /// Rate per second and burst of the organisation.
    limits: (f64, f64),
    /// Demand as a multiple of the rate.
    demand_factor: f64,
    isolations: Vec<Isolation>,
    seed: u64,
}

fn history() -> impl Strategy<Value = History> {
    let limits = prop_oneof![Just((8.0, 8.0)), Just((40.0, 20.0)), Just((120.0, 120.0))];
    let isolation = (0.0..15.0f64, 0.5..6.0f64, 0usize..12, 1usize..6, any::<bool>()).prop_map(
        |(from_s, length_s, first, count, frozen)| Isolation {
            from_s,
            until_s: from_s + length_s,
            first,
            count: if frozen { 1 } else { count },
            frozen,
        },
    );
    (limits, 0.5..8.0f64, prop::collection::vec(isolation, 0..3), any::<u64>()).prop_map(
        |(limits, demand_factor, isolations, seed)| History {
            limits,
            demand_factor,
            isolations,
            seed,
        },
    )
}

/// Guards against histories of isolated and frozen nodes in which an organisation exceeds the
/// platform's bound.
#[test]
fn random_cuts_and_freezes_keep_the_bound() {
    let cases = std::env::var("MESH_RATE_CASES").ok().and_then(|text| text.parse().ok());
    let config =
        Config { cases: cases.unwrap_or(48), failure_persistence: None, ..Config::default() };
    let random = TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]);
    let mut runner = TestRunner::new_with_rng(config, random);
    let result = runner.run(&history(), |history| {
        let (rate_per_s, burst) = history.limits;
        let mut simulation = Simulation::new(
            14,
            organisation(rate_per_s, burst),
            history.isolations.clone(),
            history.seed,
        );
        simulation.run(Duration::from_secs(20), |_| rate_per_s * history.demand_factor);
        prop_assert!(
            simulation.max_excess() <= 0.0,
            "{} beyond the bound",
            simulation.max_excess()
        );
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}

/// Guards against losing returned tokens when the home does not answer.
#[test]
fn returned_tokens_survive_a_missed_home() {
    let name: Arc<str> = "bars".into();
    let mut home = RateHome::default();
    let mut stock = TokenStock::default();
    let bars = organisation(10.0, 20.0);
    home.set_contacts(Duration::ZERO, 3, 3);
    assert_eq!(stock.take_token(Duration::ZERO, &name, false), TakeTokenResult::DrawNeeded);
    home.set_contacts(Duration::from_millis(500), 3, 3);
    let grant = home.grant_tokens(Duration::from_millis(500), &bars, 4.0, 0.0);
    assert_eq!(grant.tokens, 4.0);
    stock.apply_grant(Duration::from_millis(500), &name, grant);
    let wants = stock.due_wants(Duration::from_secs(5), |_| true);
    assert_eq!(wants, [Want { organisation: name.clone(), tokens: 0.0, returned: 4.0 }]);
    stock.restore_returned(&wants);
    assert_eq!(stock.take_token(Duration::from_secs(5), &name, false), TakeTokenResult::Taken);
}
