//! Lost machines: which instances count as members of the fleet, and whose registrations are removed.

mod support;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use hibiscusdoor::mesh::{Addresses, InstanceAddress, Losses};

const STEP: Duration = Duration::from_millis(250);

fn name(number: usize) -> Arc<str> {
    format!("node-{number:03}").into()
}

fn address() -> InstanceAddress {
    InstanceAddress { zone: "bole".into(), peer_address: ([10, 0, 0, 1], 7000).into() }
}

fn addresses(numbers: &BTreeSet<usize>) -> Addresses {
    let named = numbers.iter().map(|number| (name(*number), address()));
    Arc::new(named.collect::<BTreeMap<_, _>>())
}

/// A fleet whose first hub is its member with the lowest number that is in use.
struct Fleet {
    now: Duration,
    registered: BTreeSet<usize>,
    live: BTreeSet<usize>,
    hub: usize,
    losses: Losses,
    removed: Vec<usize>,
}

impl Fleet {
    fn new(size: usize) -> Self {
        let all: BTreeSet<usize> = (0..size).collect();
        Self {
            now: Duration::from_secs(10),
            registered: all.clone(),
            live: all,
            hub: 0,
            losses: Losses::default(),
            removed: Vec::new(),
        }
    }

    /// Makes the exchanges of one interval with the hub, of the instances in `reached`.
    fn step(&mut self, reached: &BTreeSet<usize>) {
        self.now += STEP;
        let hub = reached.iter().copied().min().expect("a hub");
        if hub != self.hub {
            // The next hub knows the marks of the one before, and no contacts.
            self.hub = hub;
            self.losses.reset_contacts();
        }
        for number in reached.iter().filter(|number| **number != hub) {
            self.losses.record_contact(self.now, &name(*number));
        }
        let own = name(hub);
        let registered = addresses(&self.registered);
        self.losses.mark_lost(self.now, &own, &registered);
        for (lost, _) in self.losses.removable(self.now, &own, &registered) {
            let number: usize = lost[5..].parse().expect("a number");
            self.registered.remove(&number);
            self.removed.push(number);
            self.losses.forget(&lost);
        }
    }

    fn run(&mut self, length: Duration, reached: &BTreeSet<usize>) {
        let end = self.now + length;
        while self.now < end {
            self.step(reached);
        }
    }
}

/// Guards against registrations that stay after the loss of their machines, so that the fleet appears ever
/// larger and no home has contact with more than half of it. Each lost machine is replaced after a while.
fn losses_one_by_one_do_not_shrink_the_rates(
    size: usize,
    lost: usize,
    gap: Duration,
    replaced_after: Duration,
    newest_first: bool,
) {
    let mut fleet = Fleet::new(size);
    let mut starts: Vec<(Duration, usize)> = Vec::new();
    let all = fleet.live.clone();
    fleet.run(Duration::from_secs(5), &all);
    let (began, mut gone) = (fleet.now, 0);
    while fleet.now < began + gap * lost as u32 + Duration::from_secs(20) {
        if gone < lost && fleet.now >= began + gap * gone as u32 {
            let number = if newest_first { fleet.live.last() } else { fleet.live.first() };
            let number = *number.expect("a live instance");
            fleet.live.remove(&number);
            starts.push((fleet.now + replaced_after, size + gone));
            gone += 1;
        }
        for (at, number) in starts.clone() {
            if at <= fleet.now && fleet.live.insert(number) {
                fleet.registered.insert(number);
            }
        }
        starts.retain(|(at, _)| *at > fleet.now);
        let live = fleet.live.clone();
        fleet.step(&live);
    }
    assert_eq!(fleet.registered, fleet.live);
    assert_eq!(fleet.removed.len(), lost);
    assert_eq!(fleet.losses.live_count(&addresses(&fleet.registered)), size);
}

crate::cases! { losses_one_by_one_do_not_shrink_the_rates:
    forty_machines_of_fourteen_in_84_s(14, 40, Duration::from_millis(2100), Duration::from_secs(4), false),
    forty_machines_the_newest_first(14, 40, Duration::from_millis(2100), Duration::from_secs(4), true),
    six_machines_of_three(3, 6, Duration::from_millis(3600), Duration::from_millis(600), false),
    six_machines_of_three_the_newest_first(3, 6, Duration::from_millis(3600), Duration::from_millis(600), true),
}

/// Guards against a smaller part of a partitioned fleet that removes the rest, and against a larger part
/// that shrinks below half step by step.
fn a_minority_removes_nothing(size: usize, parts: &[usize], removed: usize) {
    let mut fleet = Fleet::new(size);
    let all = fleet.live.clone();
    fleet.run(Duration::from_secs(5), &all);
    for part in parts {
        let reached: BTreeSet<usize> = (0..*part).collect();
        fleet.run(Duration::from_secs(30), &reached);
    }
    assert_eq!(fleet.removed.len(), removed, "{:?}", fleet.removed);
}

crate::cases! { a_minority_removes_nothing:
    of_a_third(14, &[5], 0),
    of_exactly_half(14, &[7], 0),
    of_one_alone(14, &[1], 0),
    of_one_of_two(2, &[1], 0),
    unlike_a_majority(14, &[8], 6),
    of_what_was_a_majority(14, &[8, 4], 6),
}

/// Guards against removal after a short silence, such as a restart of a node.
#[test]
fn a_short_silence_removes_nothing() {
    let mut fleet = Fleet::new(5);
    let all = fleet.live.clone();
    fleet.run(Duration::from_secs(5), &all);
    let most: BTreeSet<usize> = (0..4).collect();
    for _ in 0..5 {
        fleet.run(Duration::from_millis(7_000), &most);
        fleet.run(Duration::from_millis(500), &all);
    }
    assert_eq!(fleet.removed, Vec::<usize>::new());
    assert_eq!(fleet.losses.live_count(&addresses(&fleet.registered)), 5);
}

/// Guards against a smaller part that takes the others for lost one after the other, since the time of
/// the last exchange differs between them.
fn a_minority_never_loses_the_others_in_steps(size: usize, part: usize, spread: Duration) {
    let registered = addresses(&(0..size).collect());
    let (own, mut losses) = (name(0), Losses::default());
    let cut_at = Duration::from_secs(10);
    let heard = |number: usize| cut_at - spread * number as u32 / size as u32;
    for number in 1..size {
        losses.record_contact(heard(number), &name(number));
    }
    let mut now = cut_at;
    while now < cut_at + Duration::from_secs(20) {
        now += Duration::from_millis(25);
        for number in 1..part {
            losses.record_contact(now, &name(number));
        }
        assert_eq!(losses.mark_lost(now, &own, &registered), Vec::new(), "at {now:?}");
    }
}

crate::cases! { a_minority_never_loses_the_others_in_steps:
    of_five_in_fourteen(14, 5, Duration::from_millis(290)),
    of_five_in_fourteen_with_late_exchanges(14, 5, Duration::from_millis(900)),
    of_half(14, 7, Duration::from_millis(600)),
    of_one_in_three(3, 1, Duration::from_millis(600)),
}

/// The same for a hub that has taken over just before its part is cut off, and has not heard of all.
#[test]
fn a_new_hub_of_a_minority_never_loses_the_others() {
    let registered = addresses(&(0..14).collect());
    let (own, mut losses) = (name(0), Losses::default());
    let start = Duration::from_secs(10);
    for step in 0..200 {
        let now = start + Duration::from_millis(25) * step;
        let reached = if step < 28 { 9 } else { 5 };
        for number in 1..reached {
            losses.record_contact(now, &name(number));
        }
        assert_eq!(losses.mark_lost(now, &own, &registered), Vec::new(), "at {now:?}");
    }
}

/// Guards against a hub that takes over, after a partition, what the other hub has decided about its own
/// part, and so has a majority of what is left.
#[test]
fn an_instance_in_contact_is_not_lost_by_the_decision_of_another_hub() {
    let registered = addresses(&(0..14).collect());
    let (mut losses, now) = (Losses::default(), Duration::from_secs(10));
    for number in 1..5 {
        losses.record_contact(now, &name(number));
    }
    for number in 1..5 {
        let is_change = losses.apply(now, &name(number), Some(Duration::from_secs(3)));
        assert!(!is_change, "{number}");
    }
    assert_eq!(losses.live_count(&registered), 14);
    let later = now + Duration::from_secs(2);
    assert!(losses.apply(later, &name(4), Some(Duration::from_secs(5))));
    assert_eq!(losses.live_count(&registered), 13);
}
