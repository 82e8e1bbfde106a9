//! Availability zones under evacuation, as a node knows them.
//!
//! Load pattern: operators evacuate a zone while all nodes send requests there, nodes restart, links to
//! the zone fail, and the store is unavailable or comes back from a copy. A node that does not know the
//! state accepts nothing. One that has known it keeps what it knows last: it may be cut off, and then
//! nobody can tell it more.
//!
//! States are ordered by the era and the version of the store at their read. A store that comes back from
//! a copy has lost evacuations that it had acknowledged; these stay in force, and are written again, so
//! that operators can end them.

use std::{collections::BTreeSet, time::Duration};

use crate::{
    clock::Timestamp,
    names::ZoneName,
    store::{ObjectVersion, StoreEra},
};

/// How much later a state of an earlier version must have been read to replace the known one: the store
/// may have come back from a copy without naming an era. It exceeds the error of the times of reads, which
/// is that of one exchange.
const REPLACING_AGE: Duration = Duration::from_secs(2);
/// Age of the known state up to which zones that another node's state of a later era lacks are carried over.
const MAX_CARRY_AGE: Duration = Duration::from_secs(30);

/// Evacuated zones at the time of a read of the store.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ZoneState {
    /// Evacuated zones.
    pub zones: BTreeSet<ZoneName>,
    /// Era of the store at the read.
    pub era: StoreEra,
    /// Version of the store at the read.
    pub version: ObjectVersion,
    /// Lower bound on the time when the read began.
    pub read_at: Timestamp,
}

/// The evacuated zones that a node knows.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Evacuations {
    known: Option<ZoneState>,
    /// Evacuated zones that the store has lost by coming back from a copy, as long as it doesn't have them
    /// again.
    lost: BTreeSet<ZoneName>,
}

impl Evacuations {
    /// Whether the state is known.
    pub fn is_known(&self) -> bool {
        self.known.is_some()
    }

    /// Whether requests may be sent to upstreams in this zone.
    pub fn accepts(&self, zone: &str) -> bool {
        self.known.as_ref().is_some_and(|known| !known.zones.contains(zone))
    }

    /// Whether any zone is evacuated.
    pub fn has_zones(&self) -> bool {
        self.known.as_ref().is_some_and(|known| !known.zones.is_empty())
    }

    /// The state that is passed on to other nodes; `None` while it is not known.
    pub fn known(&self) -> Option<&ZoneState> {
        self.known.as_ref()
    }

    /// Evacuated zones that have to be written to the store again.
    pub fn lost(&self) -> impl Iterator<Item = &ZoneName> {
        self.lost.iter()
    }

    /// Age of the newest read that the state rests on; `None` while it is not known.
    pub fn age(&self, now: Timestamp) -> Option<Duration> {
        self.known.as_ref().map(|known| now.saturating_sub(known.read_at))
    }

    /// Records the state that this node has read from the store itself; returns whether the zones have
    /// changed.
    pub fn record_read(&mut self, mut read: ZoneState) -> bool {
        let Some(known) = &self.known else {
            self.known = Some(read);
            return true;
        };
        // A store that names no era has that of its last answer that named one.
        read.era = read.era.max(known.era);
        let is_earlier = read.position() == known.position() && read.read_at < known.read_at;
        if is_earlier || read.is_outdated(known) {
            return false;
        }
        let known = known.clone();
        self.replace(&known, read, true)
    }

    /// Records the state that another node states; returns whether the zones have changed.
    pub fn record_stated(&mut self, stated: ZoneState) -> bool {
        let Some(known) = &mut self.known else {
            self.known = Some(stated);
            return true;
        };
        if stated.position() == known.position() && stated.zones == known.zones {
            known.read_at = known.read_at.max(stated.read_at);
            return false;
        }
        let is_earlier = stated.position() == known.position() && stated.read_at <= known.read_at;
        if is_earlier || stated.is_outdated(known) {
            return false;
        }
        // A node that has been cut off can't tell whether a zone was lost or its evacuation ended since.
        let was_in_contact = stated.read_at < known.read_at + MAX_CARRY_AGE;
        let known = known.clone();
        self.replace(&known, stated, was_in_contact)
    }

    /// Replaces the known state; zones that the store has lost are carried over if `carries` is set.
    fn replace(&mut self, known: &ZoneState, mut next: ZoneState, carries: bool) -> bool {
        self.lost.retain(|zone| !next.zones.contains(zone));
        // In a later version of the same era, zones are missing because their evacuations have ended. A
        // removal need not raise the version.
        let may_lack_zones = next.era > known.era || next.version < known.version;
        if may_lack_zones && carries {
            self.lost.extend(known.zones.difference(&next.zones).cloned());
        }
        next.zones.extend(self.lost.iter().cloned());
        next.read_at = next.read_at.max(known.read_at);
        let has_changed = next.zones != known.zones;
        self.known = Some(next);
        has_changed
    }
}

impl ZoneState {
    fn position(&self) -> (StoreEra, ObjectVersion) {
        (self.era, self.version)
    }

    /// Whether the known state is a later one.
    fn is_outdated(&self, known: &Self) -> bool {
        self.position() < known.position()
            && (self.era < known.era || self.read_at < known.read_at + REPLACING_AGE)
    }
}
