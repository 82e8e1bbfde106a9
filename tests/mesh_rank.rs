//! The order of requests by the ranks of their organisation and route, and the floors under it.

mod support;

use std::{sync::Arc, time::Duration};

use hibiscusdoor::mesh::{ProcessorLimit, Rank, RankOrder, RootFloor};

fn rank(organisation: u32, route: u32) -> Rank {
    Rank { organisation, route }
}

/// Guards against roots of all routes that compete as equals because their organisations have the
/// same rank, and against a route's rank that goes before that of an organisation.
fn the_first_is_more_urgent(first: Rank, second: Rank) {
    assert!(first < second);
    assert!(first.importance() > second.importance());
    let order = RankOrder::new([1, 2].into_iter(), [0, 2, 70_000].into_iter());
    assert!(order.urgency(first) >= order.urgency(second));
}

crate::cases! { the_first_is_more_urgent:
    of_two_routes(rank(1, 0), rank(1, 2)),
    of_two_organisations(rank(1, 2), rank(2, 0)),
    of_two_organisations_with_one_route(rank(1, 2), rank(2, 2)),
    of_ranks_outside_the_configuration(rank(0, 0), rank(9, 9)),
}

fn urgency_of(order: &RankOrder, rank: Rank, expected: f64) {
    let urgency = order.urgency(rank);
    assert!((urgency - expected).abs() < 1e-9, "{urgency}, expected {expected}");
}

/// Guards against an urgency that depends on the numbers chosen as ranks, and on ranks that no
/// organisation has.
#[test]
fn urgency_covers_the_whole_range() {
    let order = RankOrder::new([1, 1, 1].into_iter(), [0, 2, 2].into_iter());
    urgency_of(&order, rank(1, 0), 1.0);
    urgency_of(&order, rank(1, 2), 0.0);
    let order = RankOrder::new([0, 5].into_iter(), [0, 900].into_iter());
    urgency_of(&order, rank(0, 0), 1.0);
    urgency_of(&order, rank(0, 900), 2.0 / 3.0);
    urgency_of(&order, rank(5, 900), 0.0);
    urgency_of(&RankOrder::default(), rank(0, 0), 1.0);
}

/// Replays a day of twice the usual load: urgent requests alone fill the service, so that admission
/// by urgency admits no other. Guards against a route that is served less than a quarter as often as
/// all, and against a floor so high that the urgent ones lose more than they must.
#[test]
fn a_route_of_the_last_rank_is_not_starved() {
    let (urgent, other): (Arc<str>, Arc<str>) = ("reserve".into(), "browse".into());
    let mut floor = RootFloor::default();
    let mut admitted = [0.0, 0.0];
    let (steps, step) = (4_000_u32, Duration::from_millis(5));
    for number in 0..steps {
        let now = step * number;
        // Admission by urgency admits four of five urgent requests and no others.
        let (route, kind, is_admitted) = match number % 2 {
            0 => (&urgent, 0, number % 10 != 0),
            _ => (&other, 1, false),
        };
        let is_admitted = is_admitted || floor.is_below(route, None);
        floor.record(now, route, None, is_admitted);
        admitted[kind] += f64::from(u8::from(is_admitted));
    }
    let fractions = admitted.map(|count| count / f64::from(steps / 2));
    let all = (fractions[0] + fractions[1]) / 2.0;
    assert!(fractions[1] > 0.25 * all, "{fractions:?}");
    assert!(fractions[1] < 0.5 * all, "{fractions:?}");
}

/// Guards against an organisation that is refused altogether because others go before it.
#[test]
fn an_organisation_of_the_last_rank_is_not_starved() {
    let route: Arc<str> = "browse".into();
    let (first, last): (Arc<str>, Arc<str>) = ("first".into(), "last".into());
    let mut floor = RootFloor::default();
    let mut admitted = 0;
    for number in 0..1_000_u32 {
        let now = Duration::from_millis(10) * number;
        floor.record(now, &route, Some(&first), true);
        let is_admitted = floor.is_below(&route, Some(&last));
        floor.record(now, &route, Some(&last), is_admitted);
        admitted += u32::from(is_admitted);
    }
    assert!((150..500).contains(&admitted), "{admitted} of 1000 were admitted");
}

/// Replays a node whose timers are late in proportion to the requests that run at once. Guards
/// against a limit that stays above what the node can do, one that falls far below it, and one that
/// does not recover after the load.
#[test]
fn a_choked_node_takes_as_many_as_it_can_do() {
    let mut limit = ProcessorLimit::default();
    let mut factors = Vec::new();
    for _ in 0..400 {
        // Above 0.5 of the slots, the node no longer keeps up.
        let factor = limit.record_delay(Duration::ZERO);
        let delay_ms = if factor > 0.5 { 60 } else { 5 };
        factors.push(limit.record_delay(Duration::from_millis(delay_ms)));
    }
    let settled = &factors[200..];
    let mean = settled.iter().sum::<f64>() / settled.len() as f64;
    assert!((0.35..0.55).contains(&mean), "mean factor {mean}");
    for _ in 0..50 {
        limit.record_delay(Duration::ZERO);
    }
    assert!(limit.record_delay(Duration::ZERO) >= 1.0);
}

/// Guards against taking a single pause of the process for a lack of processor time.
#[test]
fn a_single_pause_changes_little() {
    let mut limit = ProcessorLimit::default();
    let factor = limit.record_delay(Duration::from_secs(8));
    assert!(factor > 0.7, "factor {factor}");
}
