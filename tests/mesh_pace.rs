//! Cold upstreams: what the guard starts, what the entry nodes place there, and which root requests begin.

use std::{
    collections::{BinaryHeap, VecDeque},
    time::Duration,
};

use hibiscusdoor::{
    admission::{
        Action, Admission, Arrival, ColdPace, ColdRate, Completion, Pace, SlotLimit, Ticket,
    },
    clock::Timestamp,
    config::Importance,
    mesh::{
        Dialect as _,
        pace::{PacedCandidate, PacedRoots, ServicePace, pick_paced},
    },
    names::ServiceName,
    platform::OperatorsPlatform,
};
use http::{HeaderMap, HeaderValue};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use serde_json::json;

mod support;

/// Figures of a service with cold upstreams: 14 requests a second, of which 1.5 times as many and 8 more
/// are tolerated, for 3 s.
const RATE: ColdRate =
    ColdRate { per_s: 14.0, max_in_second: 29.0, duration: Duration::from_secs(3) };
const STEP: Duration = Duration::from_millis(5);
const SLOTS: u32 = 100;
const WORK: Duration = Duration::from_millis(100);
/// Factor by which a cold upstream is slower.
const COLD_SLOWNESS: u32 = 3;
/// Time after which a crashed upstream is back.
const DOWNTIME: Duration = Duration::from_secs(1);

fn millis(ms: u64) -> Timestamp {
    Duration::from_millis(ms)
}

/// An upstream that crashes if it receives more requests in a second than it tolerates while it is cold.
#[derive(Default)]
struct Upstream {
    cold_since: Timestamp,
    cold_until: Timestamp,
    down_until: Timestamp,
    /// Requests of the last second, as long as they arrived in a cold state.
    received: VecDeque<Timestamp>,
    crashes: u32,
}

impl Upstream {
    fn become_cold(&mut self, now: Timestamp) {
        self.cold_since = now;
        self.cold_until = now + RATE.duration;
        self.received.clear();
    }

    fn is_cold(&self, now: Timestamp) -> bool {
        now < self.cold_until
    }

    /// Receives a request; returns whether it runs.
    fn receive(&mut self, now: Timestamp) -> bool {
        if now < self.down_until {
            return false;
        }
        if self.is_cold(now) {
            self.received.push_back(now);
            while self.received.front().is_some_and(|at| now >= *at + Duration::from_secs(1)) {
                self.received.pop_front();
            }
            if self.received.len() as f64 > RATE.max_in_second {
                self.crashes += 1;
                self.down_until = now + DOWNTIME;
                self.become_cold(self.down_until);
                return false;
            }
        }
        true
    }

    fn work(&self, now: Timestamp) -> Duration {
        if self.is_cold(now) { WORK * COLD_SLOWNESS } else { WORK }
    }
}

/// A guard with its upstream. Requests carry the number of their entry node.
struct Site {
    admission: Admission<SlotLimit>,
    upstream: Upstream,
    /// Ends of running requests.
    running: BinaryHeap<std::cmp::Reverse<Timestamp>>,
    next_ticket: u64,
    served: u32,
    refused: u32,
}

impl Site {
    fn new(now: Timestamp, rate: Option<ColdRate>) -> Self {
        let mut admission = Admission::new(now, SLOTS);
        admission.pace_mut().cold_mut().set_rate(rate);
        Self {
            admission,
            upstream: Upstream::default(),
            running: BinaryHeap::new(),
            next_ticket: 0,
            served: 0,
            refused: 0,
        }
    }

    /// The upstream is cold from now on; the guard hears of it after `delay`.
    fn hear(&mut self, now: Timestamp, is_current: bool) {
        let remaining = self.upstream.cold_until.saturating_sub(now);
        self.admission.pace_mut().cold_mut().record_statement(now, remaining, is_current);
    }

    fn start(&mut self, now: Timestamp, actions: impl IntoIterator<Item = Action>) -> u32 {
        let mut refused = 0;
        for action in actions {
            match action {
                Action::Start(_) => {
                    let runs = self.upstream.receive(now);
                    let work = if runs { self.upstream.work(now) } else { STEP };
                    self.running.push(std::cmp::Reverse(now + work));
                    self.served += u32::from(runs);
                }
                Action::Refuse(..) => refused += 1,
                Action::Wait(..) => {}
            }
        }
        self.refused += refused;
        refused
    }

    /// Ends requests that are ready, and starts those that have waited for a token.
    fn advance(&mut self, now: Timestamp) {
        while self.running.peek().is_some_and(|ends| ends.0 <= now) {
            self.running.pop();
            let completion = Completion::Answered { own_time: WORK, total_time: WORK };
            let actions = self.admission.on_completion(now, completion);
            self.start(now, actions);
        }
        let actions = self.admission.on_token(now);
        self.start(now, actions);
    }

    /// Whether the request starts or waits.
    fn arrive(&mut self, now: Timestamp) -> bool {
        self.next_ticket += 1;
        let arrival = Arrival {
            ticket: Ticket(self.next_ticket),
            importance: Importance(1),
            organisation: None,
            is_nested_call: false,
            deadline: now + Duration::from_millis(500),
            own_time: None,
        };
        let actions = self.admission.on_arrival(now, arrival);
        self.start(now, actions) == 0
    }
}

fn steps(from_ms: u64, until_ms: u64) -> impl Iterator<Item = Timestamp> {
    (from_ms..until_ms).step_by(STEP.as_millis() as usize).map(millis)
}

/// Guards against an upstream that crashes under overload while it is cold: at the start, and in a cold
/// state that begins again under full load, of which the guard hears after a delay. What was sent in the
/// delay can't be taken back; after it nothing may be sent before the second is within the bound.
fn a_cold_upstream_is_not_overloaded((hear_after_ms, has_pace, crashes): (u64, bool, bool)) {
    let mut site = Site::new(millis(1000), has_pace.then_some(RATE));
    site.upstream.become_cold(millis(1000));
    site.hear(millis(1000), true);
    for now in steps(1000, 16_000) {
        // Cold again at 7 s and at 8 s, before the first of both has ended.
        for at_ms in [7_000, 8_000] {
            if now == millis(at_ms) {
                site.upstream.become_cold(now);
            }
            if now == millis(at_ms + hear_after_ms) {
                site.hear(now, true);
            }
        }
        site.advance(now);
        for _ in 0..2 {
            site.arrive(now);
        }
    }
    assert_eq!(site.upstream.crashes > 0, crashes, "{} crashes", site.upstream.crashes);
    if !crashes {
        // 15 s, of which 3 and 4 are cold: 14 and 400 requests a second.
        assert!(site.served > 7 * 12 + 5 * 350, "{} requests served", site.served);
    }
}

crate::cases! { a_cold_upstream_is_not_overloaded:
    that_is_heard_of_at_once((0, true, false)),
    that_is_heard_of_after_50_ms((50, true, false)),
    that_has_no_pace((0, false, true)),
}

/// Guards against the requests of two processes of a node that together exceed the bound: the later one
/// doesn't know what the earlier one has sent.
#[test]
fn a_restarted_node_keeps_the_bound() {
    let mut upstream = Upstream::default();
    upstream.become_cold(millis(1000));
    let mut site = Site::new(millis(1000), Some(RATE));
    site.upstream.cold_until = upstream.cold_until;
    site.hear(millis(1000), true);
    for now in steps(1000, 4000) {
        if now.as_millis().is_multiple_of(700) {
            // The process is killed; the next one hears of the cold state by a health answer.
            site = Site::new(now, Some(RATE));
            site.upstream.cold_until = upstream.cold_until;
            site.hear(now, true);
        }
        std::mem::swap(&mut site.upstream, &mut upstream);
        site.advance(now);
        site.arrive(now);
        std::mem::swap(&mut site.upstream, &mut upstream);
    }
    assert_eq!(upstream.crashes, 0);
}

/// Requests that a cold state of this length permits, where more always wait.
fn permitted(cold: &mut ColdPace, from: Timestamp, span: Duration) -> u32 {
    let mut count = 0;
    let mut now = from;
    while now < from + span {
        while count < 10_000 && cold.time_to_token(now).is_zero() {
            cold.take(now);
            count += 1;
        }
        now += STEP;
    }
    count
}

/// Guards against a cold state that ends by a heartbeat from before it: heartbeats may be seconds late.
#[test]
fn a_late_heartbeat_does_not_end_a_cold_state() {
    let mut cold = ColdPace::default();
    cold.set_rate(Some(RATE));
    cold.assume_cold(millis(1000), RATE.duration);
    cold.record_statement(millis(1100), Duration::ZERO, false);
    assert!(permitted(&mut cold, millis(1100), Duration::from_secs(1)) <= 15);
    cold.record_statement(millis(2200), Duration::from_secs(2), true);
    cold.record_statement(millis(2300), Duration::ZERO, false);
    assert_eq!(cold.per_s(millis(2300)), Some(RATE.per_s));
    cold.record_statement(millis(2400), Duration::ZERO, true);
    assert_eq!(cold.per_s(millis(2400)), None);
}

/// Guards against a burst to an upstream that has become cold while its node was paused: the first
/// heartbeats that the node reads are from before.
#[test]
fn an_upstream_counts_as_cold_after_a_pause_of_its_node() {
    let mut cold = ColdPace::default();
    cold.set_rate(Some(RATE));
    for now in steps(1000, 2000) {
        cold.tick(now);
        assert!(cold.time_to_token(now).is_zero());
    }
    // The first request after the pause comes before the first tick.
    assert!(!cold.time_to_token(millis(6000)).is_zero());
    assert!(cold.tick(millis(6001)));
    cold.record_statement(millis(6002), Duration::ZERO, false);
    assert!(permitted(&mut cold, millis(6002), Duration::from_millis(500)) <= 8);
    assert!(!cold.tick(millis(6600)));
    cold.record_statement(millis(6600), Duration::ZERO, true);
    assert!(cold.time_to_token(millis(6600)).is_zero());
}

/// Guards against an upstream that is slowed down all the time because it closes connections for reasons
/// of its own: once it has stated that it is warm, a broken connection is no sign for a second.
#[test]
fn broken_connections_of_a_warm_upstream_do_not_slow_it_down() {
    let mut cold = ColdPace::default();
    cold.set_rate(Some(RATE));
    cold.doubt(millis(1000));
    assert_eq!(cold.per_s(millis(1010)), Some(RATE.per_s));
    cold.record_statement(millis(1020), Duration::ZERO, true);
    cold.doubt(millis(1030));
    assert_eq!(cold.per_s(millis(1030)), None);
    cold.doubt(millis(2100));
    assert_eq!(cold.per_s(millis(2100)), Some(RATE.per_s));
}

/// Guards against a named rate and a cold state that are added instead of both being kept.
#[test]
fn the_lowest_rate_applies() {
    use hibiscusdoor::admission::NamedRate;
    let mut pace = Pace::default();
    pace.cold_mut().set_rate(Some(RATE));
    pace.cold_mut().record_statement(millis(1000), RATE.duration, true);
    assert_eq!(pace.per_s(millis(1000)), Some(14.0));
    pace.named_mut().record_answer(millis(1000), NamedRate::PerSecond(5.0));
    assert_eq!(pace.per_s(millis(1000)), Some(5.0));
    assert_eq!(pace.per_s(millis(4001)), Some(5.0));
}

/// Guards against a service without a cold rate that is slowed down by what its upstreams state.
#[test]
fn a_service_without_a_cold_rate_is_not_limited() {
    let mut cold = ColdPace::default();
    cold.record_statement(millis(1000), RATE.duration, true);
    cold.assume_cold(millis(1000), RATE.duration);
    assert_eq!(cold.per_s(millis(1001)), None);
    assert!(cold.time_to_token(millis(1001)).is_zero());
}

/// Guards against a cold instance that gets more than its pace because it looks empty beside loaded ones:
/// 78 entry nodes choose independently.
#[test]
fn a_cold_instance_beside_warm_ones_gets_its_part() {
    let mut random = ChaCha8Rng::seed_from_u64(3);
    let candidates = [
        PacedCandidate::Warm(300.0),
        PacedCandidate::Cold(14.0),
        PacedCandidate::Warm(300.0),
        PacedCandidate::Warm(300.0),
    ];
    let demand = 800;
    let mut to_cold = 0;
    for _ in 0..10 * demand {
        let chosen = pick_paced(&candidates, random.random_range(0.0..1.0));
        assert!(matches!(chosen, None | Some(1)));
        to_cold += u32::from(chosen == Some(1));
    }
    let per_s = f64::from(to_cold) / 10.0;
    assert!((8.0..15.0).contains(&per_s), "{per_s} requests a second at the cold instance");
}

/// Guards against no choice at all, or always the same one, where all instances are cold.
#[test]
fn all_cold_instances_are_used_by_their_paces() {
    let mut random = ChaCha8Rng::seed_from_u64(4);
    let candidates = [PacedCandidate::Cold(10.0), PacedCandidate::Cold(30.0)];
    let mut counts = [0; 2];
    for _ in 0..4000 {
        let chosen = pick_paced(&candidates, random.random_range(0.0..1.0));
        counts[chosen.expect("one is chosen")] += 1;
    }
    assert!((800..1200).contains(&counts[0]), "{counts:?}");
    assert_eq!(pick_paced(&candidates, 1.0), Some(1));
}

/// What a replay of a whole cold service shows.
struct Replay {
    crashes: u32,
    /// Served requests by half seconds.
    served: Vec<u32>,
    /// Requests that the guards refused while the instances were cold.
    refused_by_guards: u32,
}

/// All instances of a service are cold from 1 s to 4 s, as after a loss of power. Callers ask for 300 requests
/// a second at `entries` entry nodes, and each refused caller comes back three times.
fn replay_power_return(entries: usize, callers_at: usize, has_pace: bool) -> Replay {
    const SITES: usize = 4;
    const DEMAND_PER_STEP: f64 = 300.0 * 0.005;
    let mut random = ChaCha8Rng::seed_from_u64(9);
    let service: ServiceName = "orders".into();
    let mut sites: Vec<Site> =
        (0..SITES).map(|_| Site::new(millis(1000), has_pace.then_some(RATE))).collect();
    for site in &mut sites {
        site.upstream.become_cold(millis(1000));
        site.hear(millis(1000), true);
    }
    let mut roots: Vec<PacedRoots> =
        (0..entries).map(|index| PacedRoots::new(index as u64)).collect();
    let mut returns: BinaryHeap<std::cmp::Reverse<(Timestamp, u32)>> = BinaryHeap::new();
    let mut served = Vec::new();
    let mut refused_by_guards = 0;
    let mut due = 0.0;
    for now in steps(1000, 8000) {
        if (now - millis(1000)).as_millis().is_multiple_of(500) {
            served.push(sites.iter().map(|site| site.served).sum::<u32>());
        }
        if now == millis(4000) {
            refused_by_guards = sites.iter().map(|site| site.refused).sum();
        }
        for site in &mut sites {
            site.advance(now);
            if !site.upstream.is_cold(now) || site.upstream.down_until > now {
                site.hear(now, true);
            }
        }
        due += DEMAND_PER_STEP;
        let mut arrivals: Vec<u32> = Vec::new();
        while due >= 1.0 {
            due -= 1.0;
            arrivals.push(0);
        }
        while returns.peek().is_some_and(|it| it.0.0 <= now) {
            arrivals.push(returns.pop().expect("it was seen").0.1);
        }
        for tries in arrivals {
            let entry = random.random_range(0..callers_at);
            let paces: Vec<Option<f64>> =
                sites.iter().map(|it| it.admission.pace().cold().per_s(now)).collect();
            let sum: Option<f64> = paces.iter().copied().sum();
            let mut retry_after = None;
            if let Some(per_s) = sum {
                let remaining = Some(millis(4000).saturating_sub(now));
                let uses = [(service.clone(), 1.0, ServicePace { per_s, remaining })];
                let verdict = roots[entry].try_admit(now, &uses, 0.5, entries);
                retry_after = verdict.err().map(|refusal| refusal.retry_after);
            }
            let mut runs = false;
            if retry_after.is_none() {
                let candidates: Vec<PacedCandidate> = paces
                    .iter()
                    .map(|pace| match pace {
                        Some(per_s) => PacedCandidate::Cold(*per_s),
                        None => PacedCandidate::Warm(1000.0),
                    })
                    .collect();
                let chosen = pick_paced(&candidates, random.random_range(0.0..1.0));
                let index = chosen.unwrap_or_else(|| random.random_range(0..SITES));
                runs = sites[index].arrive(now);
                roots[entry].record_result(&service, !runs);
            }
            if !runs && tries < 3 {
                // Callers come back three times as often as they are told.
                let pause = retry_after.unwrap_or(Duration::from_millis(500)) / 3;
                returns.push(std::cmp::Reverse((now + pause.max(STEP), tries + 1)));
            }
        }
    }
    Replay {
        crashes: sites.iter().map(|site| site.upstream.crashes).sum(),
        served: served.windows(2).map(|pair| pair[1] - pair[0]).collect(),
        refused_by_guards,
    }
}

/// Guards against a fleet that does not recover from a loss of power, because its cold upstreams crash
/// again and again under the callers that come back: on one such day 313 upstreams crashed.
fn a_cold_service_recovers((entries, callers_at, floor): (usize, usize, f64)) {
    let replay = replay_power_return(entries, callers_at, true);
    assert_eq!(replay.crashes, 0);
    // Four upstreams accept 28 requests in half a second while they are cold.
    let cold = &replay.served[1..6];
    let sum: u32 = cold.iter().sum();
    assert!(f64::from(sum) >= floor * 28.0 * 5.0, "served by half seconds: {:?}", replay.served);
    assert!(cold.iter().all(|served| *served <= 40), "served: {:?}", replay.served);
    let seconds: Vec<u32> = replay.served.chunks(2).map(|halves| halves.iter().sum()).collect();
    for pair in seconds[..6].windows(2) {
        let has_room = f64::from(pair[1]) >= 0.7 * f64::from(pair[0]) || pair[1] >= 280;
        assert!(has_room, "served by half seconds: {:?}", replay.served);
    }
    assert!(replay.served[8..].iter().all(|it| *it >= 130), "served: {:?}", replay.served);
    let offered = replay.refused_by_guards + sum;
    assert!(
        f64::from(offered) < 2.0 * 28.0 * 6.0,
        "{offered} requests offered to the guards: {:?}",
        replay.served
    );
}

crate::cases! { a_cold_service_recovers:
    with_callers_at_all_of_20_entries((20, 20, 0.8)),
    with_callers_at_all_of_78_entries((78, 78, 0.7)),
    with_callers_at_5_of_78_entries((78, 5, 0.3)),
}

/// Guards against callers that are told a time at which there is no room: 20 that were refused at the same
/// moment, by requests with one or several calls, come back when they were told to.
fn a_caller_finds_room_when_it_was_told((requests, urgency): (f64, f64)) {
    let service: ServiceName = "orders".into();
    let pace = ServicePace { per_s: 56.0, remaining: Some(Duration::from_secs(60)) };
    let uses = [(service, requests, pace)];
    let mut roots = PacedRoots::new(5);
    let begin = millis(1000);
    let mut returns: BinaryHeap<std::cmp::Reverse<Timestamp>> = BinaryHeap::new();
    while returns.len() < 20 {
        if let Err(refusal) = roots.try_admit(begin, &uses, urgency, 4) {
            returns.push(std::cmp::Reverse(begin + refusal.retry_after));
        }
    }
    let mut last = begin;
    while let Some(std::cmp::Reverse(at)) = returns.pop() {
        assert_eq!(roots.try_admit(at, &uses, urgency, 4), Ok(()), "{at:?}");
        last = at;
    }
    // A quarter of the pace is this entry's share.
    let expected_s = 20.0 * requests / 14.0;
    assert!((last - begin).as_secs_f64() < expected_s + 1.0, "the last is told {last:?}");
}

crate::cases! { a_caller_finds_room_when_it_was_told:
    with_one_call((1.0, 0.0)),
    with_one_call_of_an_urgent_chain((1.0, 1.0)),
    with_eight_calls((8.0, 0.5)),
}

/// The replay itself: without a pace the upstreams crash.
#[test]
fn the_replay_crashes_upstreams_without_a_pace() {
    assert!(replay_power_return(20, 20, false).crashes > 0);
}

/// Guards against figures of cold upstreams that are not read from the configuration and the bounds, and
/// against a service without them that is limited.
#[test]
fn the_configuration_names_cold_rates() {
    let service = |name: &str, spec: serde_json::Value| json!({ "resourceType": "services", "metadata": { "name": name }, "spec": spec });
    let document = json!({ "version": 1, "resources": [
        service("cold", json!({ "coldStart": "3s", "coldPerS": 14 })),
        service("zero", json!({ "coldStart": "3s", "coldPerS": 0 })),
        service("none", json!({ "maxConnections": 5 })),
    ]});
    let parts = OperatorsPlatform::catalog(&document, 1).expect("a valid configuration");
    assert_eq!(parts.services["cold"].cold_per_s, Some(14.0));
    assert_eq!(parts.services["cold"].cold_start, Duration::from_secs(3));
    assert_eq!(parts.services["zero"].cold_per_s, None);
    assert_eq!(parts.services["none"].cold_per_s, None);
    let entries = json!({ "coldOver": 1.25, "coldSlack": 4, "evacuate": "5s" });
    let mut collector = hibiscusdoor::findings::Collector::new("test");
    let entries = entries.as_object().expect("an object");
    let bounds = OperatorsPlatform::bounds(entries, "/bounds", &mut collector);
    assert_eq!((bounds.cold_over, bounds.cold_slack), (1.25, 4.0));
    assert_eq!(bounds.evacuate, Some(Duration::from_secs(5)));
}

/// Guards against a cold state in a health answer that is not read, or read from an invalid text.
fn a_health_answer_states_the_cold_state((text, expected): (Option<&str>, Option<u64>)) {
    let mut headers = HeaderMap::new();
    headers.insert("x-instance-id", HeaderValue::from_static("u-1"));
    if let Some(text) = text {
        headers.insert("x-cold-ms", HeaderValue::from_str(text).expect("a valid header value"));
    }
    let head = OperatorsPlatform::health_head(&headers).expect("the answer names the upstream");
    assert_eq!(head.cold, expected.map(Duration::from_millis));
}

crate::cases! { a_health_answer_states_the_cold_state:
    that_is_absent((None, None)),
    that_has_ended((Some("0"), Some(0))),
    that_lasts((Some("2900"), Some(2900))),
    that_is_negative((Some("-5"), None)),
    that_is_no_number((Some("soon"), None)),
}
