//! What is known of the upstream beside the node, from its own messages.
//!
//! Messages may come late, twice, or from an earlier start of the upstream, so each is placed by
//! the time of the start and the sequence number that it carries.

use std::time::Duration;

use crate::{
    clock::Timestamp,
    mesh::{Heartbeat, UpstreamState},
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
pub enum Heard {
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
pub struct Registry {
    current: Option<Upstream>,
    /// The upstream that left last, by id.
    departed: Option<(InstanceName, DepartedStart)>,
}

/// Which start of an upstream has left.
#[derive(Debug, Clone, Copy)]
enum DepartedStart {
    /// The one at this time, and those before it.
    Known(u64),
    /// No heartbeat of it was heard here; messages under its id are late ones until this time.
    Unknown(Timestamp),
}

impl Registry {
    /// The upstream, also while it is leaving.
    pub fn current(&self) -> Option<&Upstream> {
        self.current.as_ref()
    }

    /// Takes a heartbeat.
    pub fn heard(&mut self, now: Timestamp, heartbeat: Heartbeat) -> Heard {
        let start = (heartbeat.started_unix_ms, heartbeat.sequence);
        if self.has_departed(now, &heartbeat) {
            return Heard::Late;
        }
        let Some(known) = &self.current else {
            self.place(now, heartbeat);
            return Heard::Replaced;
        };
        let known_start = (known.heartbeat.started_unix_ms, known.heartbeat.sequence);
        let same = known.heartbeat.upstream == heartbeat.upstream && start.0 == known_start.0;
        if start < known_start || (!same && start.0 <= known_start.0) {
            return Heard::Late;
        }
        if !same {
            self.place(now, heartbeat);
            return Heard::Replaced;
        }
        let before = &known.heartbeat;
        let changed = before.state != heartbeat.state || before.slots != heartbeat.slots;
        self.place(now, heartbeat);
        if changed { Heard::Changed } else { Heard::Unchanged }
    }

    /// The upstream has left; it still serves for a short time.
    pub fn left(&mut self, now: Timestamp, upstream: &str) -> Heard {
        let is_current =
            self.current.as_ref().is_some_and(|it| *it.heartbeat.upstream == *upstream);
        if !is_current && self.has_left(now) {
            // What is known of the departure of the present one must not be lost.
            return Heard::Late;
        }
        let known = self.current.as_mut().filter(|it| *it.heartbeat.upstream == *upstream);
        let start = match known.as_ref().map(|known| known.heartbeat.started_unix_ms) {
            Some(started_unix_ms) if started_unix_ms > 0 => DepartedStart::Known(started_unix_ms),
            _ => DepartedStart::Unknown(now + LATE_MESSAGES),
        };
        self.departed = Some((upstream.into(), start));
        let Some(known) = known else { return Heard::Late };
        known.leaving_since.get_or_insert(now);
        Heard::Changed
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
