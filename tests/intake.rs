//! Which connections and unfinished requests give way to others, replayed without a network.

use std::{sync::Arc, time::Duration};

use hibiscusdoor::{
    http_server::intake::{Activity, ConnectionId, ConnectionTable, Misuse, MisuseCounters},
    memory::{
        MemoryBudget, ResidentMemory, budget_bytes, budget_bytes_beside, parse_memory_total,
        reserved_bytes,
    },
    mesh::ListenerBounds,
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn connection(table: &mut ConnectionTable, at_ms: u64, activity: Activity) -> ConnectionId {
    let id = table.insert(ms(at_ms));
    table.set_activity(ms(at_ms), id, activity);
    id
}

/// Guards against a crowd of half heads that takes all connections: it gives way before connections that
/// are idle, and those before requests that run.
#[test]
fn slow_heads_make_room_first() {
    let mut table = ConnectionTable::default();
    let idle = connection(&mut table, 0, Activity::Idle);
    let busy = connection(&mut table, 0, Activity::Busy);
    let slow = connection(&mut table, 1_000, Activity::ReadingHead);
    let fresh = connection(&mut table, 5_000, Activity::ReadingHead);
    let now = ms(5_100);
    let evicted: Vec<_> = (0..4).map(|_| table.evict_unused(now)).collect();
    assert_eq!(evicted, [Some(slow), Some(idle), Some(fresh), None], "{busy} must stay");
    assert_eq!(table.evicted(), 3);
}

/// Guards against uploads of ordinary callers that are refused while others hold the memory for bodies
/// that have stopped.
#[test]
fn stopped_bodies_are_refused_first_and_the_largest_of_them() {
    let mut table = ConnectionTable::default();
    let moving = connection(&mut table, 0, Activity::ReadingBody);
    let small = connection(&mut table, 0, Activity::ReadingBody);
    let large = connection(&mut table, 0, Activity::ReadingBody);
    let waiting = connection(&mut table, 0, Activity::ReadingBody);
    table.record_progress(ms(0), small, 1 << 20);
    table.record_progress(ms(0), large, 2 << 20);
    table.record_progress(ms(900), moving, 4 << 20);
    table.set_activity(ms(10), waiting, Activity::WaitingForMemory);
    let now = ms(1_000);
    assert_eq!(table.evict_unfinished(now), Some(large));
    assert_eq!(table.evict_unfinished(now), Some(small));
    assert_eq!(table.evict_unfinished(now), None, "{moving} moves, {waiting} waits for the node");
}

/// Guards against bodies that all wait for each other's memory forever.
#[test]
fn the_newest_of_those_that_wait_for_memory_is_refused() {
    let mut table = ConnectionTable::default();
    let old = connection(&mut table, 0, Activity::WaitingForMemory);
    let new = connection(&mut table, 500, Activity::WaitingForMemory);
    assert_eq!(table.evict_unfinished(ms(900)), None, "reading has only just stopped");
    assert_eq!(table.evict_unfinished(ms(1_000)), Some(new), "{old} came first");
}

/// Guards against uploads that are refused although others finish one after the other: 39 of 64 were.
#[test]
fn none_that_waits_is_refused_while_others_finish() {
    let mut table = ConnectionTable::default();
    let waiting = connection(&mut table, 0, Activity::WaitingForMemory);
    for number in 1..=10 {
        let other = connection(&mut table, 0, Activity::ReadingBody);
        table.set_activity(ms(number * 500), other, Activity::Busy);
        assert_eq!(table.evict_unfinished(ms(number * 500 + 100)), None, "{number}");
    }
    assert_eq!(table.evict_unfinished(ms(6_000)), Some(waiting));
}

/// Guards against a body that counts as moving because of single bytes at short intervals.
#[test]
fn single_bytes_are_no_progress() {
    let mut table = ConnectionTable::default();
    let dripping = connection(&mut table, 0, Activity::ReadingBody);
    for number in 0..10 {
        table.record_progress(ms(number * 100), dripping, 4096 + number as usize);
    }
    assert_eq!(table.evict_unfinished(ms(1_000)), Some(dripping));
}

/// Guards against a body that is refused as stopped although the node did not read it.
#[test]
fn time_without_memory_is_not_the_callers() {
    let mut table = ConnectionTable::default();
    let body = connection(&mut table, 0, Activity::ReadingBody);
    table.record_progress(ms(0), body, 1 << 20);
    table.set_activity(ms(10), body, Activity::WaitingForMemory);
    table.set_activity(ms(900), body, Activity::ReadingBody);
    assert_eq!(table.evict_unfinished(ms(1_000)), None);
}

/// Guards against a log with a line for each case of a kind.
#[test]
fn misuse_is_logged_once_in_some_seconds() {
    let counters = MisuseCounters::default();
    let cases = |at_ms| counters.record(ms(at_ms), "callers", Misuse::SlowBody);
    assert_eq!(cases(0), Some(1));
    for number in 1..100 {
        assert_eq!(cases(number), None);
    }
    assert_eq!(cases(6_000), Some(100));
    assert_eq!(counters.record(ms(6_000), "callers", Misuse::Malformed), Some(1));
}

/// Guards against bytes that outlive their reservation.
#[test]
fn a_reservation_lasts_as_long_as_its_bytes() {
    let memory = Arc::new(MemoryBudget::new(100));
    let reservation = memory.reserve(60).expect("there is room");
    let bytes = reserved_bytes(vec![0; 60].into(), reservation);
    let part = bytes.slice(10..20);
    drop(bytes);
    assert_eq!((memory.used_bytes(), memory.reserve(60).is_none()), (60, true));
    drop(part);
    assert_eq!(memory.used_bytes(), 0);
    assert_eq!(memory.peak_bytes(), 60);
    let forced = memory.reserve_always(150);
    assert_eq!(memory.peak_bytes(), 150);
    assert!(memory.reserve(1).is_none());
    drop(forced);
    assert_eq!(memory.used_bytes(), 0);
}

/// Guards against a machine's memory that is misread, and a budget that leaves nothing to the program.
#[test]
fn the_budget_follows_the_memory_of_the_machine() {
    let text = "MemFree:        1 kB\nMemTotal:       163840 kB\nBuffers: 2 kB\n";
    assert_eq!(parse_memory_total(text), Some(160 << 20));
    assert_eq!(parse_memory_total("MemTotal: many kB\n"), None);
    assert_eq!(parse_memory_total(""), None);
    assert_eq!(budget_bytes(160 << 20), 120 << 20);
    assert_eq!(budget_bytes(260 << 20), 195 << 20);
    // The program itself needs the same memory on a smaller machine.
    assert_eq!(budget_bytes(96 << 20), 56 << 20);
    assert_eq!(budget_bytes(32 << 20), 8 << 20);
    // A small program leaves the same budget, and a large one its growth under load.
    assert_eq!(budget_bytes_beside(96 << 20, 15 << 20), 56 << 20);
    assert_eq!(budget_bytes_beside(96 << 20, 30 << 20), 42 << 20);
    assert_eq!(budget_bytes_beside(260 << 20, 30 << 20), 195 << 20);
}

/// Guards against memory that the budget does not count and that no figure shows.
#[test]
fn the_resident_memory_is_read() {
    let text = "VmPeak:\t 900 kB\nVmHWM:\t    30 kB\nVmRSS:\t    20 kB\n";
    let resident = ResidentMemory { current_bytes: 20 << 10, peak_bytes: 30 << 10 };
    assert_eq!(ResidentMemory::parse(text), Some(resident));
    assert_eq!(ResidentMemory::parse("VmRSS:\t    20 kB\n"), None);
    let own = ResidentMemory::read().expect("the memory of this process");
    assert!(own.current_bytes > 0 && own.peak_bytes >= own.current_bytes, "{own:?}");
}

/// Guards against listeners that together use all descriptors.
#[test]
fn the_listeners_leave_descriptors_to_the_upstream() {
    for max_descriptors in [256, 4_100, 8_192] {
        let bounds = ListenerBounds::from_descriptors(max_descriptors);
        let listeners = bounds.callers + bounds.peers + 3 * bounds.auxiliary;
        assert!(listeners <= max_descriptors / 8 * 7, "{bounds:?} of {max_descriptors}");
    }
}
