//! What is known of the upstream beside the node, from its own messages.
//!
//! Messages may come late, twice, or from an earlier start of the upstream, so each is placed by
//! the time of the start and the sequence number that it carries.

use std::time::Duration;

use crate::{
    clock::Timestamp,
    mesh::{Heartbeat, UpstreamRecord, UpstreamState},
    names::InstanceName,
};

/// Time after the departure of an upstream that was not heard of before in which messages under its id
/// are taken for late ones; they may be seconds late.
const LATE_MESSAGES: Duration = Duration::from_secs(15);

/// The upstream beside the node.
#[derive(Debug, Clone, PartialEq)]
pub struct Upstream {
    /// What it said last.
    pub heartbeat: Heartbeat,
    /// Until when it is slow after its start.
    pub cold_until: Timestamp,
    /// When it was first heard of as leaving; it gets no new request soon after.
    pub leaving_since: Option<Timestamp>,
}

/// What a message changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MessageEffect {
    /// Another upstream, or another start of it, has taken the place.
    Replaced,
    /// The upstream takes new work or no longer does, or has another number of slots.
    Changed,
    /// Nothing.
    Unchanged,
    /// The message was overtaken by a later one.
    Late,
}

/// Places the messages of the upstream beside the node.
#[derive(Debug, Default)]
pub struct UpstreamTracker {
    current: Option<Upstream>,
    /// The upstream that left last, by id.
    departed: Option<(InstanceName, DepartedStart)>,
    /// The last message that an earlier process of the node made a record of.
    earlier: Option<UpstreamRecord>,
}

/// Which start of an upstream has left.
#[derive(Debug, Clone, Copy)]
enum DepartedStart {
    /// The one at this time, and those before it.
    Known(u64),
    /// No heartbeat of it was heard here; messages under its id are late ones until this time.
    Unknown(Timestamp),
}

impl UpstreamTracker {
    /// The upstream, also while it is leaving.
    pub fn current(&self) -> Option<&Upstream> {
        self.current.as_ref()
    }

    /// Takes a heartbeat.
    pub fn apply_heartbeat(&mut self, now: Timestamp, heartbeat: Heartbeat) -> MessageEffect {
        let start = (heartbeat.started_unix_ms, heartbeat.sequence);
        if self.has_departed(now, &heartbeat) || self.was_overtaken(&heartbeat) {
            return MessageEffect::Late;
        }
        let Some(known) = &self.current else {
            self.place(now, heartbeat);
            return MessageEffect::Replaced;
        };
        let known_start = (known.heartbeat.started_unix_ms, known.heartbeat.sequence);
        let same = known.heartbeat.upstream == heartbeat.upstream && start.0 == known_start.0;
        if start < known_start || (!same && start.0 <= known_start.0) {
            return MessageEffect::Late;
        }
        if !same {
            self.place(now, heartbeat);
            return MessageEffect::Replaced;
        }
        let before = &known.heartbeat;
        let changed = before.state != heartbeat.state || before.slots != heartbeat.slots;
        self.place(now, heartbeat);
        if changed { MessageEffect::Changed } else { MessageEffect::Unchanged }
    }

    /// The upstream has left; it still serves for a short time.
    pub fn apply_leave(&mut self, now: Timestamp, upstream: &str) -> MessageEffect {
        let is_current =
            self.current.as_ref().is_some_and(|it| *it.heartbeat.upstream == *upstream);
        if !is_current && self.has_left(now) {
            // What is known of the departure of the present one must not be lost.
            return MessageEffect::Late;
        }
        let known = self.current.as_ref().filter(|it| *it.heartbeat.upstream == *upstream);
        let started_unix_ms = known.map_or(0, |known| known.heartbeat.started_unix_ms);
        self.depart(now, upstream, started_unix_ms)
    }

    /// Takes the departure of an upstream that was started at this time, 0 where that is not known.
    fn depart(&mut self, now: Timestamp, upstream: &str, started_unix_ms: u64) -> MessageEffect {
        let start = match started_unix_ms {
            0 => DepartedStart::Unknown(now + LATE_MESSAGES),
            _ => DepartedStart::Known(started_unix_ms),
        };
        self.departed = Some((upstream.into(), start));
        if !self.has_left(now) {
            return MessageEffect::Late;
        }
        let Some(current) = &mut self.current else { return MessageEffect::Late };
        current.leaving_since.get_or_insert(now);
        MessageEffect::Changed
    }

    /// An earlier process of the node has told this of the upstream.
    pub fn apply_earlier_record(
        &mut self,
        now: Timestamp,
        earlier: &UpstreamRecord,
    ) -> MessageEffect {
        if earlier.has_left {
            return match self.has_left(now) {
                true => MessageEffect::Unchanged,
                false => self.depart(now, &earlier.id, earlier.started_unix_ms),
            };
        }
        let position = |it: &UpstreamRecord| (it.started_unix_ms, it.sequence);
        if self.earlier.as_ref().is_none_or(|known| position(known) < position(earlier)) {
            self.earlier = Some(earlier.clone());
        }
        match &mut self.current {
            Some(current) if !earlier.ready && is_overtaken(&current.heartbeat, earlier) => {
                current.leaving_since.get_or_insert(now);
                MessageEffect::Changed
            }
            _ => MessageEffect::Unchanged,
        }
    }

    fn was_overtaken(&self, heartbeat: &Heartbeat) -> bool {
        // Of a message that is not newer only one that would undo a departure does harm.
        self.earlier.as_ref().is_some_and(|it| !it.ready && is_overtaken(heartbeat, it))
    }

    /// The upstream has said that it leaves for good.
    pub fn has_left(&self, now: Timestamp) -> bool {
        self.current.as_ref().is_some_and(|current| self.has_departed(now, &current.heartbeat))
    }

    fn has_departed(&self, now: Timestamp, heartbeat: &Heartbeat) -> bool {
        self.departed.as_ref().is_some_and(|(upstream, start)| {
            *upstream == heartbeat.upstream
                && match start {
                    DepartedStart::Known(started_unix_ms) => {
                        heartbeat.started_unix_ms <= *started_unix_ms
                    }
                    DepartedStart::Unknown(until) => now < *until,
                }
        })
    }

    fn place(&mut self, now: Timestamp, heartbeat: Heartbeat) {
        let known = self.current.as_ref().filter(|known| {
            known.heartbeat.upstream == heartbeat.upstream
                && known.heartbeat.started_unix_ms == heartbeat.started_unix_ms
        });
        let leaving_since = match heartbeat.state {
            UpstreamState::Ready => None,
            UpstreamState::Draining => {
                Some(known.and_then(|known| known.leaving_since).unwrap_or(now))
            }
        };
        let cold_until = now + heartbeat.cold;
        self.current = Some(Upstream { heartbeat, cold_until, leaving_since });
    }
}

/// Tells whether a message of an upstream came before the one that a record of it rests on.
fn is_overtaken(heartbeat: &Heartbeat, record: &UpstreamRecord) -> bool {
    heartbeat.upstream == record.id
        && (heartbeat.started_unix_ms, heartbeat.sequence)
            < (record.started_unix_ms, record.sequence)
}

impl Upstream {
    /// Tells whether a new request may be sent, `grace` after the upstream said that it leaves.
    pub fn takes_requests(&self, now: Timestamp, grace: Duration) -> bool {
        self.leaving_since.is_none_or(|since| now < since + grace)
    }

    /// Tells whether other nodes should send requests here.
    pub fn is_ready(&self) -> bool {
        self.leaving_since.is_none()
    }
}
