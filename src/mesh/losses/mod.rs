//! Instances that were lost without a planned stop: they no longer count as a part of the fleet, and
//! their registrations are removed.
//!
//! Load pattern: machines end one after the other without notice, each replaced by a new one at another
//! address, until more registered instances are gone than are left; or a part of the fleet is cut off
//! and each part takes the other one for lost.
//!
//! Only the first hub decides, and only while it is in contact with more than half of the registered
//! instances that are not lost already. A smaller part of a partitioned fleet therefore never takes the
//! rest for lost, and losses that come one by one never leave the hub without a majority. The contacts
//! that make up the majority are later than the beginning of the silence that they judge: otherwise a
//! part that was cut off would count the last exchanges of some of the others, and lose the others.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use crate::{
    clock::Timestamp,
    mesh::{Addresses, InstanceAddress},
    names::InstanceName,
};

/// Silence after which an instance is lost. Nodes contact the first hub several times a second.
const LOST_AFTER: Duration = Duration::from_secs(2);
/// The same for an instance that has never contacted this hub. The others turn to a new hub within a
/// second; a longer time would mark nothing while one first hub after the other is lost, one every 2 s.
const LOST_UNHEARD_AFTER: Duration = Duration::from_millis(1500);
/// Time after an exchange for which an instance is in contact. It is shorter than [`LOST_AFTER`] by more
/// than the times of the last exchanges of the instances of a part differ when it is cut off.
const CONTACT_LIFETIME: Duration = Duration::from_secs(1);
/// Time in which all instances turn to a new hub.
const TURN_TIME: Duration = Duration::from_secs(1);
/// Time as a lost instance after which the registration is removed, so that silence lasts 8 s in all. In
/// a fleet of three that loses a machine every 3.6 s, at most two lost ones stay registered at a time.
const REMOVE_AFTER: Duration = Duration::from_secs(6);

#[derive(Debug)]
struct Watched {
    /// Start of the time in which the hub has expected exchanges of the instance.
    since: Timestamp,
    /// Last exchange with the instance since the node became the first hub.
    heard_at: Option<Timestamp>,
}

/// Lost instances as a node knows them, and what the first hub decides them from.
#[derive(Debug, Default)]
pub struct Losses {
    watched: HashMap<InstanceName, Watched>,
    /// Start of the time in which the hub has been in contact with a majority.
    majority_since: Option<Timestamp>,
    /// Lost instances, with the time since when they are lost.
    lost: BTreeMap<InstanceName, Timestamp>,
}

impl Losses {
    /// Records an exchange with an instance; returns whether it was lost.
    pub fn record_contact(&mut self, now: Timestamp, instance: &str) -> bool {
        match self.watched.get_mut(instance) {
            Some(watched) => watched.heard_at = Some(now),
            None => {
                let watched = Watched { since: now, heard_at: Some(now) };
                self.watched.insert(instance.into(), watched);
            }
        }
        self.lost.remove(instance).is_some()
    }

    /// Forgets all exchanges when the node starts to act as the first hub: until then, instances had
    /// no reason to contact it. Instances that are lost stay so.
    pub fn reset_contacts(&mut self) {
        self.watched.clear();
        self.majority_since = None;
    }

    /// Number of registered instances, without the lost ones.
    pub fn live_count(&self, registered: &Addresses) -> usize {
        self.live_names(registered).count()
    }

    fn live_names<'a>(
        &'a self,
        registered: &'a Addresses,
    ) -> impl Iterator<Item = &'a InstanceName> {
        registered.keys().filter(|name| !self.lost.contains_key(*name))
    }

    /// Whether the first hub `own` is in contact with more than half of the registered instances, without
    /// the lost ones.
    pub fn has_majority(&self, now: Timestamp, own: &str, registered: &Addresses) -> bool {
        self.has_majority_after(now.saturating_sub(CONTACT_LIFETIME), own, registered)
    }

    /// Whether the first hub `own` has heard more than half of the registered instances at this time or
    /// later, without the lost ones.
    fn has_majority_after(&self, earliest: Timestamp, own: &str, registered: &Addresses) -> bool {
        let live = self.live_names(registered);
        let heard = live.filter(|name| ***name == *own || self.is_heard_after(earliest, name));
        heard.count() * 2 > self.live_count(registered)
    }

    fn is_heard_after(&self, earliest: Timestamp, instance: &str) -> bool {
        let heard_at = self.watched.get(instance).and_then(|watched| watched.heard_at);
        heard_at.is_some_and(|at| at >= earliest)
    }

    /// Marks instances as lost that the first hub `own` has not heard of; returns those.
    pub fn mark_lost(
        &mut self,
        now: Timestamp,
        own: &str,
        registered: &Addresses,
    ) -> Vec<InstanceName> {
        self.watched.retain(|name, _| registered.contains_key(name));
        self.lost.retain(|name, _| registered.contains_key(name));
        for name in registered.keys() {
            if !self.watched.contains_key(name) {
                self.watched.insert(name.clone(), Watched { since: now, heard_at: None });
            }
        }
        if !self.has_majority(now, own, registered) {
            self.majority_since = None;
            return Vec::new();
        }
        // Where the others have just turned to this hub, the one before may still count on them.
        if now < *self.majority_since.get_or_insert(now) + CONTACT_LIFETIME {
            return Vec::new();
        }
        let is_late = |watched: &Watched| match watched.heard_at {
            Some(heard_at) => now > heard_at + LOST_AFTER,
            None => {
                let earliest = now.saturating_sub(CONTACT_LIFETIME).max(watched.since + TURN_TIME);
                now > watched.since + LOST_UNHEARD_AFTER
                    && self.has_majority_after(earliest, own, registered)
            }
        };
        let late = self.watched.iter().filter(|(name, watched)| {
            ***name != *own && !self.lost.contains_key(*name) && is_late(watched)
        });
        let late: Vec<InstanceName> = late.map(|(name, _)| name.clone()).collect();
        self.lost.extend(late.iter().map(|name| (name.clone(), now)));
        late
    }

    /// Instances whose registrations the first hub `own` removes.
    pub fn removable(
        &self,
        now: Timestamp,
        own: &str,
        registered: &Addresses,
    ) -> Vec<(InstanceName, InstanceAddress)> {
        if !self.has_majority(now, own, registered) {
            return Vec::new();
        }
        let due = self.lost.iter().filter(|(name, since)| {
            ***name != *own && now >= **since + REMOVE_AFTER && self.watched.contains_key(*name)
        });
        due.filter_map(|(name, _)| Some((name.clone(), registered.get(name)?.clone()))).collect()
    }

    /// Applies what the first hub has decided about an instance: the time for which it is lost, or `None`
    /// if it is not; returns whether this is a change. An instance in contact is not lost: the decision may
    /// come from the hub of another part of the fleet.
    pub fn apply(&mut self, now: Timestamp, instance: &str, lost_for: Option<Duration>) -> bool {
        let earliest = now.saturating_sub(CONTACT_LIFETIME);
        match lost_for {
            None => self.lost.remove(instance).is_some(),
            Some(_) if self.is_heard_after(earliest, instance) => false,
            Some(lost_for) => {
                let since = now.saturating_sub(lost_for);
                self.lost.insert(instance.into(), since).is_none()
            }
        }
    }

    /// The registered instances without the lost ones.
    pub fn live(&self, registered: &Addresses) -> BTreeSet<InstanceName> {
        self.live_names(registered).cloned().collect()
    }

    /// The registered instances without these lost ones, unless that is the fleet as this node counts it.
    pub fn fleet_without(
        &self,
        lost: &BTreeSet<InstanceName>,
        registered: &Addresses,
    ) -> Option<BTreeSet<InstanceName>> {
        let is_counted = |name: &&InstanceName| !lost.contains(*name);
        let is_same =
            registered.keys().all(|name| is_counted(&name) != self.lost.contains_key(name));
        (!is_same).then(|| registered.keys().filter(is_counted).cloned().collect())
    }

    /// The lost instances.
    pub fn lost(&self) -> impl Iterator<Item = &InstanceName> {
        self.lost.keys()
    }

    /// Whether any instance is lost.
    pub fn has_any(&self) -> bool {
        !self.lost.is_empty()
    }

    /// Time for which an instance is lost; `None` if it is not.
    pub fn lost_for(&self, now: Timestamp, instance: &str) -> Option<Duration> {
        self.lost.get(instance).map(|since| now.saturating_sub(*since))
    }

    /// Forgets an instance that is no longer registered.
    pub fn forget(&mut self, instance: &str) {
        self.watched.remove(instance);
        self.lost.remove(instance);
    }
}
