//! Which connection is closed, or which unfinished request is refused, to make room for others.
//!
//! Load pattern: hundreds of callers open connections and stop half-way, or send bodies of legal size
//! that stop just short of their end. Ordinary callers must still find a connection and memory. Those
//! that hold the most and make the least progress give way first; requests that run never do.

use std::{collections::HashMap, time::Duration};

use crate::clock::Timestamp;

/// Time without progress after which an unfinished request counts as stopped.
const STALL_TIME: Duration = Duration::from_millis(250);
/// Bytes that count as progress of a body; single bytes at short intervals do not.
const PROGRESS_BYTES: usize = 4 << 10;
/// Time for which an unfinished request waits for memory, and no other one has been finished, before the
/// newest one that waits is refused. Of 64 uploads of 4 MiB, 39 were refused while others still finished.
const MAX_MEMORY_WAIT: Duration = Duration::from_secs(1);
/// Age from which a head that is still incomplete makes room before an idle connection: a head usually
/// arrives at once.
const SLOW_HEAD_AGE: Duration = Duration::from_millis(500);

/// Number of a connection, in the order of their acceptance.
pub type ConnectionId = u64;

/// What a connection is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Activity {
    /// No complete head has been received on it, or a further one is incomplete.
    ReadingHead,
    /// It waits for the next request.
    Idle,
    /// A body is being received.
    ReadingBody,
    /// A request is not read further until there is memory for it.
    WaitingForMemory,
    /// A request is running, or an answer is being written.
    Busy,
}

#[derive(Debug)]
struct Entry {
    activity: Activity,
    /// Start of the activity.
    since: Timestamp,
    /// When the request last made progress.
    progressed_at: Timestamp,
    /// Bytes held at that time.
    progressed_bytes: usize,
    held_bytes: usize,
    is_evicted: bool,
}

impl Entry {
    /// Whether a body is being received.
    fn is_unfinished(&self) -> bool {
        matches!(self.activity, Activity::ReadingBody | Activity::WaitingForMemory)
    }
}

/// The open connections of a listener.
#[derive(Debug, Default)]
pub struct ConnectionTable {
    entries: HashMap<ConnectionId, Entry>,
    /// When a body was last received completely, or given up by its caller.
    body_ended_at: Timestamp,
    last_id: ConnectionId,
}

impl ConnectionTable {
    /// Adds a connection.
    pub fn insert(&mut self, now: Timestamp) -> ConnectionId {
        self.last_id += 1;
        let entry = Entry {
            activity: Activity::ReadingHead,
            since: now,
            progressed_at: now,
            progressed_bytes: 0,
            held_bytes: 0,
            is_evicted: false,
        };
        self.entries.insert(self.last_id, entry);
        self.last_id
    }

    /// Removes a connection that was closed.
    pub fn remove(&mut self, now: Timestamp, id: ConnectionId) {
        let removed = self.entries.remove(&id);
        if removed.is_some_and(|it| it.is_unfinished() && !it.is_evicted) {
            self.body_ended_at = self.body_ended_at.max(now);
        }
    }

    /// Number of connections that are not closed yet.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there is no connection.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Number of connections that have been chosen to make room and are not closed yet.
    pub fn evicted(&self) -> usize {
        self.entries.values().filter(|it| it.is_evicted).count()
    }

    /// Sets what a connection is doing.
    pub fn set_activity(&mut self, now: Timestamp, id: ConnectionId, activity: Activity) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        if entry.activity == activity {
            return;
        }
        let is_unfinished = matches!(activity, Activity::ReadingBody | Activity::WaitingForMemory);
        if entry.is_unfinished() && !is_unfinished && !entry.is_evicted {
            self.body_ended_at = self.body_ended_at.max(now);
        }
        let goes_on = entry.activity == Activity::WaitingForMemory;
        if !goes_on || activity != Activity::ReadingBody {
            (entry.progressed_bytes, entry.held_bytes) = (0, 0);
        }
        // The caller could not make progress while the node did not read.
        (entry.activity, entry.since, entry.progressed_at) = (activity, now, now);
    }

    /// Records that a connection was used, so that its present activity begins anew.
    pub fn record_use(&mut self, now: Timestamp, id: ConnectionId) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.since = now;
        }
    }

    /// Records that bytes of a request have arrived, and how many it holds now.
    pub fn record_progress(&mut self, now: Timestamp, id: ConnectionId, held_bytes: usize) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        entry.held_bytes = held_bytes;
        if held_bytes >= entry.progressed_bytes + PROGRESS_BYTES {
            (entry.progressed_at, entry.progressed_bytes) = (now, held_bytes);
        }
    }

    /// Chooses a connection to close for the sake of a new one: the slowest incomplete head, then the
    /// one that has been idle for the longest time, then the oldest incomplete head.
    pub fn evict_unused(&mut self, now: Timestamp) -> Option<ConnectionId> {
        let is_slow = |it: &Entry| now.saturating_sub(it.since) >= SLOW_HEAD_AGE;
        let slow_head = |it: &Entry| it.activity == Activity::ReadingHead && is_slow(it);
        let found = self
            .oldest(slow_head)
            .or_else(|| self.oldest(|it| it.activity == Activity::Idle))
            .or_else(|| self.oldest(|it| it.activity == Activity::ReadingHead))
            .or_else(|| self.stopped(now));
        self.evict(found)
    }

    /// Chooses an unfinished request to refuse for the sake of the memory that it holds: the largest of
    /// those that have stopped; if none has, and one waits for memory for too long, the newest that waits.
    pub fn evict_unfinished(&mut self, now: Timestamp) -> Option<ConnectionId> {
        let found = self.stopped(now).or_else(|| self.newest_waiting(now));
        self.evict(found)
    }

    fn evict(&mut self, found: Option<ConnectionId>) -> Option<ConnectionId> {
        let entry = self.entries.get_mut(&found?)?;
        entry.is_evicted = true;
        found
    }

    fn candidates(&self) -> impl Iterator<Item = (ConnectionId, &Entry)> {
        self.entries.iter().filter(|(_, it)| !it.is_evicted).map(|(id, entry)| (*id, entry))
    }

    fn oldest(&self, matches: impl Fn(&Entry) -> bool) -> Option<ConnectionId> {
        let matching = self.candidates().filter(|(_, it)| matches(it));
        matching.min_by_key(|(id, it)| (it.since, *id)).map(|(id, _)| id)
    }

    fn stopped(&self, now: Timestamp) -> Option<ConnectionId> {
        let stopped = self.candidates().filter(|(_, it)| {
            it.activity == Activity::ReadingBody
                && now.saturating_sub(it.progressed_at) >= STALL_TIME
        });
        stopped.max_by_key(|(id, it)| (it.held_bytes, *id)).map(|(id, _)| id)
    }

    fn newest_waiting(&self, now: Timestamp) -> Option<ConnectionId> {
        let waiting =
            || self.candidates().filter(|(_, it)| it.activity == Activity::WaitingForMemory);
        let is_overdue = waiting()
            .any(|(_, it)| now.saturating_sub(it.since.max(self.body_ended_at)) >= MAX_MEMORY_WAIT);
        waiting().map(|(id, _)| id).filter(|_| is_overdue).max()
    }
}
