//! State of the node's local upstream, from the heartbeats and leave messages that it sends.
//!
//! Messages may arrive late, twice, or from an earlier start of the upstream, so heartbeats are ordered
//! by the start time and the sequence number that they carry.

use std::{collections::VecDeque, time::Duration};

use crate::{
    clock::Timestamp,
    mesh::{Heartbeat, UpstreamRecord, UpstreamState},
    names::InstanceName,
};

/// Time after a leave message, from an upstream with an unknown start time, in which heartbeats under
/// its id are treated as late ones; messages may be delayed by seconds.
const LATE_MESSAGE_WINDOW: Duration = Duration::from_secs(15);

/// Time for which a departure is kept in the store; no message is delayed for as long.
const DEPARTURE_LIFETIME: Duration = Duration::from_secs(60);
/// Departures that are remembered. Upstreams that replace each other leave some seconds apart; more of them
/// come from another writer.
const MAX_DEPARTURES: usize = 8;

/// Time for which heartbeats of an apparently earlier start must arrive in order, without one of the known
/// start, before it replaces the known one; late heartbeats arrive within 5 s.
const STEPPED_CLOCK_TIME: Duration = Duration::from_secs(6);
/// Number of such heartbeats.
const STEPPED_CLOCK_HEARTBEATS: u32 = 4;
/// Time without a heartbeat after which the known upstream no longer counts as running.
const SILENCE_LIMIT: Duration = Duration::from_secs(5);

/// The node's local upstream.
#[derive(Debug, Clone, PartialEq)]
pub struct Upstream {
    /// Its last heartbeat.
    pub heartbeat: Heartbeat,
    /// End of the time in which it is slow after its start.
    pub cold_until: Timestamp,
    /// When the node first received a message that it is leaving; new requests are refused a short time
    /// later.
    pub leaving_since: Option<Timestamp>,
}

/// Effect of a message on the state of the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MessageEffect {
    /// Another upstream, or another start of the same one, has replaced the known one.
    Replaced,
    /// Whether the upstream accepts new requests, or its number of slots, has changed.
    Changed,
    /// The state is the same as before.
    Unchanged,
    /// The message was ignored: a later one has been applied before it.
    Late,
}

/// Applies the messages of the local upstream in the order in which it sent them.
#[derive(Debug, Default)]
pub struct UpstreamTracker {
    current: Option<Upstream>,
    /// When the last heartbeat of the current upstream arrived.
    heard_at: Timestamp,
    /// When the current upstream was found to have started again under its id.
    restarted_at: Option<Timestamp>,
    /// Sequence number of the heartbeat from which on the current upstream is leaving.
    leaving_sequence: u64,
    /// The last upstreams that have left, in the order of their departures.
    departures: VecDeque<Departure>,
    /// The newest upstream record that an earlier process of this node published.
    earlier: Option<UpstreamRecord>,
    /// Start that appears to be earlier than the known one and still sends heartbeats.
    rival: Option<Rival>,
}

/// Heartbeats of a start of an upstream whose clock may have stepped back.
#[derive(Debug)]
struct Rival {
    upstream: InstanceName,
    started_unix_ms: u64,
    last_sequence: u64,
    heartbeats: u32,
    first_at: Timestamp,
}

/// Departure of an upstream.
#[derive(Debug)]
struct Departure {
    upstream: InstanceName,
    start: DepartedStart,
    at: Timestamp,
}

impl Departure {
    fn to_record(&self) -> UpstreamRecord {
        let started_unix_ms = match self.start {
            DepartedStart::Known(started_unix_ms) => started_unix_ms,
            DepartedStart::Unknown(_) => 0,
        };
        UpstreamRecord::leaving(self.upstream.clone(), true, started_unix_ms, 0)
    }
}

/// Start of an upstream that has left.
#[derive(Debug, Clone, Copy)]
enum DepartedStart {
    /// The start at this time in milliseconds since 1970; earlier starts have left too.
    Known(u64),
    /// The start time is unknown; heartbeats under the id are treated as late until this time.
    Unknown(Timestamp),
}

impl UpstreamTracker {
    /// The current upstream, also while it is leaving.
    pub fn current(&self) -> Option<&Upstream> {
        self.current.as_ref()
    }

    /// Record of an upstream that has left, or was leaving when an earlier process of this node ended, while
    /// no other one is known.
    pub fn leaving_record(&self) -> Option<UpstreamRecord> {
        if self.current.is_some() {
            return None;
        }
        let departed = self.departures.back().map(Departure::to_record);
        departed.or_else(|| self.earlier.clone().filter(|earlier| !earlier.ready))
    }

    /// What must be known to a process that starts after this one: the recent departures, and the upstream
    /// that is leaving.
    pub fn departures(&self, now: Timestamp) -> Vec<UpstreamRecord> {
        let recent = self.departures.iter().filter(|it| now < it.at + DEPARTURE_LIFETIME);
        let draining = self.current.as_ref().filter(|it| !it.is_ready() && !self.has_left(now));
        let draining = draining.map(|it| {
            let Heartbeat { upstream, started_unix_ms, .. } = &it.heartbeat;
            UpstreamRecord::leaving(
                upstream.clone(),
                false,
                *started_unix_ms,
                self.leaving_sequence,
            )
        });
        let earlier = self.earlier.as_ref().filter(|it| !it.ready && draining.is_none());
        let earlier = earlier.map(|it| UpstreamRecord { pace_per_ks: 0, slots: 0, ..it.clone() });
        recent.map(Departure::to_record).chain(earlier).chain(draining).collect()
    }

    /// Applies a heartbeat, unless it is late.
    pub fn apply_heartbeat(&mut self, now: Timestamp, heartbeat: Heartbeat) -> MessageEffect {
        let position = (heartbeat.started_unix_ms, heartbeat.sequence);
        if self.has_departed(now, &heartbeat) {
            return MessageEffect::Late;
        }
        if self.precedes_earlier_record(&heartbeat) {
            return self.apply_apparently_earlier(now, heartbeat);
        }
        let Some(known) = &self.current else {
            self.set_current(now, heartbeat);
            return MessageEffect::Replaced;
        };
        let known_position = (known.heartbeat.started_unix_ms, known.heartbeat.sequence);
        let same_start =
            known.heartbeat.upstream == heartbeat.upstream && position.0 == known_position.0;
        if same_start && position < known_position {
            return MessageEffect::Late;
        }
        if !same_start && position.0 <= known_position.0 {
            return self.apply_apparently_earlier(now, heartbeat);
        }
        self.rival = None;
        if !same_start {
            self.set_current(now, heartbeat);
            return MessageEffect::Replaced;
        }
        let before = &known.heartbeat;
        let changed = before.state != heartbeat.state || before.slots != heartbeat.slots;
        self.set_current(now, heartbeat);
        if changed { MessageEffect::Changed } else { MessageEffect::Unchanged }
    }

    /// Whether a heartbeat names another upstream than the known one, which has not left.
    pub fn names_other(&self, now: Timestamp, heartbeat: &Heartbeat) -> bool {
        let current = self.current.as_ref().filter(|_| !self.has_left(now));
        current.is_some_and(|known| known.heartbeat.upstream != heartbeat.upstream)
            && !self.has_departed(now, heartbeat)
    }

    /// Whether the known upstream has sent a heartbeat recently.
    pub fn is_heard(&self, now: Timestamp) -> bool {
        self.current.is_some() && now < self.heard_at + SILENCE_LIMIT
    }

    /// Applies a heartbeat of an upstream that is proved to be the one beside the node, whatever the order
    /// of the times at which it and the known one have started.
    pub fn apply_proved_heartbeat(
        &mut self,
        now: Timestamp,
        heartbeat: Heartbeat,
    ) -> MessageEffect {
        if self.has_departed(now, &heartbeat) || self.precedes_earlier_record(&heartbeat) {
            return self.apply_heartbeat(now, heartbeat);
        }
        self.rival = None;
        self.set_current(now, heartbeat);
        MessageEffect::Replaced
    }

    /// Applies a heartbeat that appears to come from an earlier start than the known one. It is a late one,
    /// unless heartbeats of that start go on while the known one sends none: then the clock has stepped
    /// back between two starts, and an order by time would ignore the upstream for good.
    fn apply_apparently_earlier(&mut self, now: Timestamp, heartbeat: Heartbeat) -> MessageEffect {
        let is_rival = |rival: &Rival| {
            rival.upstream == heartbeat.upstream
                && rival.started_unix_ms == heartbeat.started_unix_ms
        };
        let Some(rival) = self.rival.as_mut().filter(|rival| is_rival(rival)) else {
            self.rival = Some(Rival {
                upstream: heartbeat.upstream,
                started_unix_ms: heartbeat.started_unix_ms,
                last_sequence: heartbeat.sequence,
                heartbeats: 1,
                first_at: now,
            });
            return MessageEffect::Late;
        };
        if heartbeat.sequence <= rival.last_sequence {
            return MessageEffect::Late;
        }
        rival.last_sequence = heartbeat.sequence;
        rival.heartbeats += 1;
        if rival.heartbeats < STEPPED_CLOCK_HEARTBEATS || now < rival.first_at + STEPPED_CLOCK_TIME
        {
            return MessageEffect::Late;
        }
        self.rival = None;
        self.earlier = None;
        self.set_current(now, heartbeat);
        MessageEffect::Replaced
    }

    /// Whether a leave message may be a late one of an earlier start under the same id, as it states no start.
    pub fn may_be_late_leave(&self, now: Timestamp, upstream: &str) -> bool {
        let current = self.current.as_ref().filter(|it| it.is_ready());
        current.is_some_and(|it| *it.heartbeat.upstream == *upstream)
            && self.restarted_at.is_some_and(|at| now < at + LATE_MESSAGE_WINDOW)
    }

    /// Applies a leave message; the upstream still serves for a short time.
    pub fn apply_leave(&mut self, now: Timestamp, upstream: &str) -> MessageEffect {
        let known = self.current.as_ref().filter(|it| *it.heartbeat.upstream == *upstream);
        let started_unix_ms = known.map_or(0, |known| known.heartbeat.started_unix_ms);
        self.record_departure(now, upstream, started_unix_ms)
    }

    /// Records the departure of an upstream with this start time, 0 if it is unknown.
    fn record_departure(
        &mut self,
        now: Timestamp,
        upstream: &str,
        started_unix_ms: u64,
    ) -> MessageEffect {
        let start = match started_unix_ms {
            0 => DepartedStart::Unknown(now + LATE_MESSAGE_WINDOW),
            _ => DepartedStart::Known(started_unix_ms),
        };
        let is_covered = |it: &Departure| match (it.start, start) {
            (DepartedStart::Known(known), DepartedStart::Known(started)) => known <= started,
            (DepartedStart::Unknown(known), DepartedStart::Unknown(until)) => known <= until,
            _ => false,
        };
        self.departures.retain(|it| *it.upstream != *upstream || !is_covered(it));
        self.departures.push_back(Departure { upstream: upstream.into(), start, at: now });
        if self.departures.len() > MAX_DEPARTURES {
            // Anyone can send a leave message under an id that was never heard of.
            let is_unheard = |it: &Departure| matches!(it.start, DepartedStart::Unknown(_));
            let surplus = self.departures.iter().position(is_unheard).unwrap_or(0);
            self.departures.remove(surplus);
        }
        let has_left = self.has_left(now);
        let current = self.current.as_mut().filter(|it| *it.heartbeat.upstream == *upstream);
        let Some(current) = current.filter(|_| has_left) else { return MessageEffect::Late };
        current.leaving_since.get_or_insert(now);
        MessageEffect::Changed
    }

    /// Applies a record of the upstream that an earlier process of this node published.
    pub fn apply_earlier_record(
        &mut self,
        now: Timestamp,
        earlier: &UpstreamRecord,
    ) -> MessageEffect {
        if earlier.has_left {
            return match self.is_departure_known(earlier) {
                true => MessageEffect::Unchanged,
                false => self.record_departure(now, &earlier.id, earlier.started_unix_ms),
            };
        }
        let position = |it: &UpstreamRecord| (it.started_unix_ms, it.sequence);
        if self.earlier.as_ref().is_none_or(|known| position(known) < position(earlier)) {
            self.earlier = Some(earlier.clone());
        }
        match &mut self.current {
            Some(current) if !earlier.ready && precedes_record(&current.heartbeat, earlier) => {
                current.leaving_since.get_or_insert(now);
                self.leaving_sequence = earlier.sequence;
                MessageEffect::Changed
            }
            _ => MessageEffect::Unchanged,
        }
    }

    /// Whether a heartbeat is older than the record of an earlier process of this node.
    ///
    /// Only a record of an upstream that was not ready counts: otherwise an older heartbeat is harmless,
    /// since it cannot undo a departure.
    fn precedes_earlier_record(&self, heartbeat: &Heartbeat) -> bool {
        self.earlier.as_ref().is_some_and(|it| !it.ready && precedes_record(heartbeat, it))
    }

    /// Whether the current upstream has announced that it is removed permanently.
    pub fn has_left(&self, now: Timestamp) -> bool {
        self.current.as_ref().is_some_and(|current| self.has_departed(now, &current.heartbeat))
    }

    fn has_departed(&self, now: Timestamp, heartbeat: &Heartbeat) -> bool {
        self.departures.iter().any(|departure| {
            departure.upstream == heartbeat.upstream
                && match departure.start {
                    DepartedStart::Known(started_unix_ms) => {
                        heartbeat.started_unix_ms <= started_unix_ms
                    }
                    DepartedStart::Unknown(until) => now < until,
                }
        })
    }

    fn is_departure_known(&self, record: &UpstreamRecord) -> bool {
        self.departures
            .iter()
            .map(Departure::to_record)
            .any(|known| known.id == record.id && known.started_unix_ms >= record.started_unix_ms)
    }

    fn set_current(&mut self, now: Timestamp, heartbeat: Heartbeat) {
        let known = self.current.as_ref().filter(|known| {
            known.heartbeat.upstream == heartbeat.upstream
                && known.heartbeat.started_unix_ms == heartbeat.started_unix_ms
        });
        self.restarted_at = match &self.current {
            Some(before) if before.heartbeat.upstream != heartbeat.upstream => None,
            // The start of an upstream that was found by a health request is unknown.
            Some(before)
                if known.is_none()
                    && before.heartbeat.started_unix_ms != 0
                    && before.heartbeat.started_unix_ms != heartbeat.started_unix_ms =>
            {
                Some(now)
            }
            _ => self.restarted_at,
        };
        let leaving_since = match heartbeat.state {
            UpstreamState::Ready => None,
            UpstreamState::Draining => {
                Some(known.and_then(|known| known.leaving_since).unwrap_or(now))
            }
        };
        if leaving_since.is_some() && known.is_none_or(Upstream::is_ready) {
            self.leaving_sequence = heartbeat.sequence;
        }
        let cold_until = now + heartbeat.cold;
        self.heard_at = now;
        self.current = Some(Upstream { heartbeat, cold_until, leaving_since });
    }
}

/// Whether a heartbeat was sent before the message that this record of the same upstream was made from.
fn precedes_record(heartbeat: &Heartbeat, record: &UpstreamRecord) -> bool {
    heartbeat.upstream == record.id
        && (heartbeat.started_unix_ms, heartbeat.sequence)
            < (record.started_unix_ms, record.sequence)
}

impl Upstream {
    /// Whether a new request may be sent: the upstream is not leaving, or announced it less than `grace`
    /// ago.
    pub fn accepts_requests(&self, now: Timestamp, grace: Duration) -> bool {
        self.leaving_since.is_none_or(|since| now < since + grace)
    }

    /// Whether other nodes should send requests to the upstream: it is not leaving.
    pub fn is_ready(&self) -> bool {
        self.leaving_since.is_none()
    }
}
