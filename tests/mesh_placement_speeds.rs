//! Choice among instances of varying speed by many entry nodes, on a virtual clock.

mod support;

use std::{cmp::Reverse, collections::BinaryHeap, sync::Arc, time::Duration};

use hibiscusdoor::{
    mesh::{AttemptResult, Candidate, LoadReport, Placement, UpstreamSpeed},
    names::InstanceName,
};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

const ROUTE: &str = "stock";
const ENTRY_NODES: usize = 78;
const SLOTS: u32 = 48;
const WORK: Duration = Duration::from_millis(40);
const ANSWER_WITHIN: Duration = Duration::from_millis(300);
const DURATION: Duration = Duration::from_secs(10);
/// Time in which the entry nodes gather statistics; requests in it are not counted.
const WARM_UP: Duration = Duration::from_secs(2);
/// Time in which the first instance is slowed down, where it is.
const SLOW_FROM: Duration = Duration::from_millis(5000);
const SLOW_UNTIL: Duration = Duration::from_millis(5600);
const SLOWNESS: f64 = 2.5;

/// A load that is replayed.
#[derive(Debug, Clone, Copy)]
struct Load {
    speeds: [f64; 3],
    /// Requests per second as a fraction of what the instances can run.
    fraction: f64,
    /// Time between two reports of an instance that reach an entry node.
    report_interval: Duration,
    /// Whether the first instance is slowed down for some time.
    is_slowed: bool,
    /// Whether the instances report their relative service time.
    reports_speed: bool,
    /// Whether the entry nodes are spread over the availability zones of the three instances, with this
    /// latency between them.
    zone_latency: Option<Duration>,
}

#[derive(Debug)]
struct Instance {
    speed: f64,
    running: u32,
    queue: std::collections::VecDeque<(usize, Duration)>,
    mean_s: f64,
    measured: UpstreamSpeed,
}

#[derive(Debug, Default)]
struct Counts {
    sent_to: [u32; 3],
    /// Requests that arrived while the first instance was slow.
    sent_while_slow: [u32; 3],
    /// Requests from 0.5 s after that time, for one second.
    sent_after: [u32; 3],
    total: u32,
    late: u32,
    same_zone: u32,
}

impl Counts {
    /// Requests of the busiest instance by its speed, divided by the mean of all.
    fn busiest_by_mean(&self, speeds: [f64; 3]) -> f64 {
        let loads: Vec<f64> =
            self.sent_to.iter().zip(speeds).map(|(sent, speed)| f64::from(*sent) / speed).collect();
        let mean = f64::from(self.total) / speeds.iter().sum::<f64>();
        loads.into_iter().fold(0.0, f64::max) / mean
    }
}

/// End of a request: time, instance, entry node, time of its arrival and of its start.
type End = Reverse<(Duration, usize, usize, Duration, Duration)>;

fn slowness(load: &Load, index: usize, now: Duration) -> f64 {
    let is_slow = load.is_slowed && index == 0 && (SLOW_FROM..SLOW_UNTIL).contains(&now);
    if is_slow { SLOWNESS } else { 1.0 }
}

fn replay(load: Load, seed: u64) -> Counts {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let names: Vec<InstanceName> = (0..3).map(|index| format!("i{index}").into()).collect();
    let route: Arc<str> = ROUTE.into();
    let mut nodes: Vec<Placement> =
        (0..ENTRY_NODES as u64).map(|node| Placement::new(seed * 1000 + node)).collect();
    let mut reported_at = vec![[None; 3]; ENTRY_NODES];
    let mut instances: Vec<Instance> = load
        .speeds
        .iter()
        .map(|speed| Instance {
            speed: *speed,
            running: 0,
            queue: Default::default(),
            mean_s: WORK.as_secs_f64() / speed,
            measured: UpstreamSpeed::default(),
        })
        .collect();
    let capacity_per_s = f64::from(SLOTS) * load.speeds.iter().sum::<f64>() / WORK.as_secs_f64();
    let per_s = capacity_per_s * load.fraction;
    let mut ends: BinaryHeap<End> = BinaryHeap::new();
    let mut counts = Counts::default();
    let mut now = Duration::ZERO;
    while now < DURATION {
        now += Duration::from_secs_f64(random.random_range(0.0..2.0) / per_s);
        while ends.peek().is_some_and(|Reverse(end)| end.0 <= now) {
            let Some(Reverse((at, index, node, arrived, started))) = ends.pop() else { break };
            let instance = &mut instances[index];
            instance.running -= 1;
            let held = at - started;
            instance.mean_s += 0.05 * (held.as_secs_f64() - instance.mean_s);
            let relative = slowness(&load, index, at);
            instance.measured.record(at, relative, held, Duration::ZERO);
            if let Some((waiting_node, arrived)) = instance.queue.pop_front() {
                instance.running += 1;
                ends.push(end_of(&load, instance, index, waiting_node, arrived, at, &mut random));
            }
            let report = LoadReport {
                running: instance.running,
                waiting: instance.queue.len() as u32,
                limit: SLOTS,
                mean_s: instance.mean_s,
                route_mean_s: instance.mean_s,
                named_rate_per_s: None,
                pace: None,
                relative_time: instance.measured.relative_time(at).filter(|_| load.reports_speed),
            };
            let last: Option<Duration> = reported_at[node][index];
            let is_due = last.is_none_or(|last| at >= last + load.report_interval);
            if is_due {
                reported_at[node][index] = Some(at);
            }
            let report = is_due.then_some(report);
            let result = AttemptResult::Answered;
            nodes[node].attempt_finished(at, &names[index], &route, result, report);
            let network = load.zone_latency.filter(|_| node % 3 != index).unwrap_or_default() * 2;
            nodes[node].record_network_time(&names[index], network);
            if arrived > WARM_UP {
                counts.late += u32::from(at + network - arrived > ANSWER_WITHIN);
            }
        }
        let node = random.random_range(0..ENTRY_NODES);
        let candidates: Vec<Candidate<'_>> = names
            .iter()
            .enumerate()
            .map(|(index, instance)| Candidate {
                instance,
                is_same_zone: load.zone_latency.is_some() && node % 3 == index,
                slots: SLOTS,
                pace_per_ks: 0,
            })
            .collect();
        let chosen = nodes[node].choose(now, ROUTE, ANSWER_WITHIN, &candidates);
        let index = chosen.expect("there are candidates");
        nodes[node].attempt_started(now, &names[index]);
        let instance = &mut instances[index];
        if instance.running < SLOTS {
            instance.running += 1;
            ends.push(end_of(&load, instance, index, node, now, now, &mut random));
        } else {
            instance.queue.push_back((node, now));
        }
        if now > WARM_UP {
            counts.sent_to[index] += 1;
            counts.total += 1;
            counts.same_zone += u32::from(candidates[index].is_same_zone);
        }
        if (SLOW_FROM + Duration::from_millis(100)..SLOW_UNTIL).contains(&now) {
            counts.sent_while_slow[index] += 1;
        }
        let after = SLOW_UNTIL + Duration::from_millis(500);
        if (after..after + Duration::from_secs(1)).contains(&now) {
            counts.sent_after[index] += 1;
        }
    }
    counts
}

fn end_of(
    load: &Load,
    instance: &Instance,
    index: usize,
    node: usize,
    arrived: Duration,
    now: Duration,
    random: &mut ChaCha8Rng,
) -> End {
    let work = WORK.mul_f64(random.random_range(0.7..1.3) / instance.speed);
    let ends_at = now + work.mul_f64(slowness(load, index, now));
    Reverse((ends_at, index, node, arrived, now))
}

const MIXED: Load = Load {
    speeds: [0.6, 1.0, 1.4],
    fraction: 0.75,
    report_interval: Duration::from_secs(1),
    is_slowed: false,
    reports_speed: true,
    zone_latency: None,
};
const EQUAL: Load =
    Load { speeds: [1.0; 3], report_interval: Duration::ZERO, is_slowed: true, ..MIXED };

/// Guards against entry nodes that all choose the instance that looked best in their last report: the
/// busiest instance of a service had 1.4 to 4.1 times the mean load.
fn load_is_divided_by_speed(load: Load) {
    for seed in 0..3 {
        let counts = replay(load, seed);
        let ratio = counts.busiest_by_mean(load.speeds);
        println!("seed {seed}: busiest by mean {ratio:.3}, {counts:?}");
        assert!(ratio < 1.15, "seed {seed}: busiest by mean {ratio:.3}, {counts:?}");
        assert!(counts.late * 100 < counts.total, "seed {seed}: late answers: {counts:?}");
    }
}

crate::cases! { load_is_divided_by_speed:
    with_reports_a_second_old(MIXED),
    with_reports_a_second_old_and_little_to_do(Load { fraction: 0.4, ..MIXED }),
    with_reports_a_second_old_at_nine_tenths(Load { fraction: 0.9, ..MIXED }),
    with_current_reports(Load { report_interval: Duration::ZERO, ..MIXED }),
    across_near_zones(Load { zone_latency: Some(Duration::from_micros(500)), ..MIXED }),
}

/// Guards against an instance that is slowed down 2.5 times for 600 ms, gets its usual load and answers
/// late, and against avoiding it for long afterwards.
fn a_slowed_instance_gets_less(load: Load) {
    for seed in 0..3 {
        let counts = replay(load, seed);
        let part = |sent: [u32; 3]| f64::from(sent[0]) / f64::from(sent.iter().sum::<u32>());
        let (slow, after) = (part(counts.sent_while_slow), part(counts.sent_after));
        println!("seed {seed}: slow {slow:.2}, after {after:.2}, {counts:?}");
        assert!(slow < 0.25, "seed {seed}: a fraction of {slow:.2} while slow: {counts:?}");
        assert!(after > 0.27, "seed {seed}: a fraction of {after:.2} afterwards: {counts:?}");
        assert!(counts.late * 100 < counts.total, "seed {seed}: late answers: {counts:?}");
    }
}

crate::cases! { a_slowed_instance_gets_less:
    with_room_elsewhere(Load { fraction: 0.6, ..EQUAL }),
    with_little_room_elsewhere(EQUAL),
}

/// Guards against requests that leave the availability zone while it has spare capacity, where the
/// latency to other zones is considerable.
#[test]
fn requests_stay_in_a_zone_with_spare_capacity() {
    let latency = Some(Duration::from_micros(3500));
    for seed in 0..3 {
        let load = Load {
            fraction: 0.4,
            zone_latency: latency,
            is_slowed: false,
            report_interval: Duration::from_millis(200),
            ..EQUAL
        };
        let counts = replay(load, seed);
        println!("seed {seed}: {counts:?}");
        assert!(counts.same_zone * 10 > counts.total * 9, "seed {seed}: {counts:?}");
    }
}
