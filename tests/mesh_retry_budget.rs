//! Bound on retries over all nodes of a mesh.

mod support;

use std::{collections::HashMap, time::Duration};

use hibiscusdoor::{
    mesh::{RetryBound, RetryBudget, Usage},
    names::ServiceName,
};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

const NODES: usize = 12;
const BOUND: RetryBound = RetryBound { ratio: 0.2, window: Duration::from_secs(10), slack: 48.0 };
const STEP: Duration = Duration::from_millis(10);

/// Services of a call chain from its first to its last, with the number of calls to each for one root
/// request.
const CHAIN: [(&str, f64); 4] = [("orders", 1.0), ("drops", 1.0), ("topups", 1.0), ("fleet", 4.0)];

/// Use of services by a request at a level of the chain and the calls below it.
fn usage_from(level: usize) -> Usage {
    let mut usage = Usage::default();
    for (service, calls) in &CHAIN[level..] {
        usage.add(&(*service).into(), 0.05, calls / CHAIN[level].1);
    }
    usage
}

/// Requests and retries, by service and time step.
#[derive(Default)]
struct Counts(HashMap<(&'static str, usize), (f64, f64)>);

impl Counts {
    /// Largest excess of retries over the bound in any window, with the retries of that window. The
    /// requests are counted in the window, the one before it or the one half a window before it, whichever
    /// has most.
    fn max_excess(&self, service: &str, steps: usize) -> (f64, f64) {
        let window = (BOUND.window.as_millis() / STEP.as_millis()) as usize;
        let sum = |start: usize| {
            let mut sums = (0.0, 0.0);
            for ((_, _), (requests, retries)) in self
                .0
                .iter()
                .filter(|((it, at), _)| *it == service && (start..start + window).contains(at))
            {
                sums.0 += requests;
                sums.1 += retries;
            }
            sums
        };
        let mut highest = (f64::NEG_INFINITY, 0.0);
        for start in (0..steps.saturating_sub(window)).step_by(20) {
            let earlier =
                [window / 2, window].map(|by| start.checked_sub(by).map_or(0.0, |it| sum(it).0));
            let (requests, retries) = sum(start);
            let requests = earlier.into_iter().fold(requests, f64::max);
            let excess = retries - (BOUND.ratio * requests + BOUND.slack);
            if excess > highest.0 {
                highest = (excess, retries);
            }
        }
        highest
    }
}

/// Guards against more retries than the bound when every node retries each request, at every level of
/// the call chain at the same time; a retry also repeats the calls below it.
fn all_nodes_repeat_all_they_may(requests_per_s: f64, seed: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut budgets: Vec<RetryBudget> = (0..NODES).map(|_| RetryBudget::new(BOUND)).collect();
    let mut counts = Counts::default();
    let steps = 4000;
    for step in 0..steps {
        let now = STEP * step as u32;
        for (level, (service, calls)) in CHAIN.iter().enumerate() {
            let name: ServiceName = (*service).into();
            let mut due = requests_per_s * calls * STEP.as_secs_f64();
            while due > random.random_range(0.0..1.0) {
                due -= 1.0;
                let budget = &mut budgets[random.random_range(0..NODES)];
                let usage = usage_from(level);
                budget.record_request(now, &name, level as u32, Some(&usage));
                counts.0.entry((*service, step)).or_default().0 += 1.0;
                if budget.take_retry(now, &name, Some(&usage), NODES, 0.0) {
                    for used in &usage.services {
                        let (service, _) =
                            CHAIN.iter().find(|(it, _)| **it == *used.service).expect("known");
                        counts.0.entry((service, step)).or_default().1 += used.arrivals;
                    }
                }
            }
        }
    }
    for (service, _) in CHAIN {
        let (excess, retries) = counts.max_excess(service, steps);
        assert!(excess <= 0.0, "{service}: {excess:.1} more than the bound with {retries} retries");
    }
}

crate::cases! { all_nodes_repeat_all_they_may:
    at_two_hundred_a_second(200.0, 1),
    at_twenty_a_second(20.0, 2),
    at_two_a_second(2.0, 3),
}

/// Guards against retries that exceed the bound in the window around a fault of eight seconds: those of
/// the requests of the whole window before were all permitted at once, and then nine of ten requests no
/// longer came.
#[test]
fn the_bound_holds_when_requests_become_fewer() {
    let mut budgets: Vec<RetryBudget> = (0..NODES).map(|_| RetryBudget::new(BOUND)).collect();
    let mut counts = Counts::default();
    let steps = 3000;
    for step in 0..steps {
        let now = STEP * step as u32;
        let requests = if (1500..2300).contains(&step) { 12 } else { 120 };
        for request in 0..requests {
            let budget = &mut budgets[request % NODES];
            let name: ServiceName = "fleet".into();
            budget.record_request(now, &name, 3, None);
            counts.0.entry(("fleet", step)).or_default().0 += 1.0;
            // All requests fail in this time.
            while (1480..2300).contains(&step) && budget.take_retry(now, &name, None, NODES, 0.0) {
                counts.0.entry(("fleet", step)).or_default().1 += 1.0;
            }
        }
    }
    let (excess, retries) = counts.max_excess("fleet", steps);
    assert!(excess <= 0.0, "{excess:.1} more than the bound with {retries} retries");
    assert!(retries > 1000.0, "{retries} retries");
}

/// Guards against a budget that is too small for retries of single failures.
#[test]
fn single_failures_are_repeated() {
    let mut budget = RetryBudget::new(BOUND);
    let name: ServiceName = "orders".into();
    let mut retried = 0;
    for request in 0..1000u32 {
        let now = Duration::from_millis(50) * request;
        budget.record_request(now, &name, 0, None);
        if request % 20 == 0 && budget.take_retry(now, &name, None, NODES, 0.0) {
            retried += 1;
        }
    }
    assert_eq!(retried, 50);
}

/// Simulates chains of five successive calls to a service that refuses more than half of the requests
/// that reach it; returns the retry rank of each chain and whether it completed.
fn chains_at_a_refusing_service(retry_rank: impl Fn(&mut ChaCha8Rng) -> f64) -> Vec<(f64, bool)> {
    let mut random = ChaCha8Rng::seed_from_u64(4);
    let mut budget = RetryBudget::new(BOUND);
    let name: ServiceName = "fleet".into();
    let mut chains = Vec::new();
    for chain in 0..6000u32 {
        let rank = retry_rank(&mut random);
        let served = |call: u32| {
            let now = Duration::from_millis(5) * chain + Duration::from_millis(1) * call;
            budget.record_request(now, &name, 3, None);
            let mut served = random.random_range(0.0..1.0) < 0.45;
            while !served && budget.take_retry(now, &name, None, 1, rank) {
                served = random.random_range(0.0..1.0) < 0.45;
            }
            served
        };
        chains.push((rank, (0..5).all(served)));
    }
    chains
}

/// Guards against spreading a short supply of retries over all chains, so that hardly any completes.
/// Chains with the lowest retry ranks have the strongest claims and must get the retries.
#[test]
fn scarce_repeats_go_to_the_strongest_claims() {
    let complete = |chains: &[(f64, bool)]| chains.iter().filter(|(_, it)| *it).count();
    let unranked = chains_at_a_refusing_service(|_| 0.0);
    let ranked = chains_at_a_refusing_service(|random| random.random_range(0.0..1.0));
    let (before, after) = (complete(&unranked), complete(&ranked));
    assert!(after * 10 > before * 13, "{after} chains complete with retry ranks, {before} without");
    let first: Vec<_> = ranked.into_iter().filter(|(rank, _)| *rank < 0.02).collect();
    assert!(complete(&first) * 10 > first.len() * 8, "{} of {}", complete(&first), first.len());
}
