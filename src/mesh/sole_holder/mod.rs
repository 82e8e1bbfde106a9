//! Proof that a node is the only one that grants the tokens of a hub number.
//!
//! Load pattern: one organisation sends many times its rate while a hub is cut off, paused or
//! restarted, so that other nodes take its place and it takes it back. Each of them is in contact with
//! most of the fleet at some time, and a request to a paused hub is answered seconds later.
//!
//! An instance counts for a holder from the sending of a request on, for [`CONTACT_LIFETIME`], and only if
//! it had used no other holder for that long. Two holders can never count the same instance at the same
//! time, so at most one of them counts more than half of the fleet. The time at which a request was sent
//! is bounded by the time at which the holder sent the reply whose time the request repeats; clocks of
//! two nodes are never compared.
//!
//! A holder in contact with most of the fleet may shorten that time by a claim: if every other instance
//! confirms that its process will not be a holder for [`CONTACT_LIFETIME`], no other holder is left that
//! could count an instance from before the claim. Until then it counts also instances that have used no
//! other holder since it sent the claim. Without this, no home granted the whole rates for a second after
//! a whole fleet had started.
//!
//! Nodes may differ in which instances are lost, and so in what is more than half of the fleet: after a
//! partition that regroups, two halves by different counts have no instance in common. So an instance
//! that turns to another holder states the fleet by which it counted with its holder before. The new one needs
//! the majority of that fleet too, until it has once been the only holder by both. The same holds for the
//! fleet of a holder that a lost instance has joined again.

use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use crate::{clock::Timestamp, names::InstanceName};

/// Time after a request of an instance for which it counts as in contact with a holder, and for which
/// it must have used no other one before. An instance makes an exchange every 250 ms at least, and the
/// proof of a request is as old as the exchange before it; a hub that is lost costs this time after its last
/// replies without the whole rate.
pub const CONTACT_LIFETIME: Duration = Duration::from_millis(900);
/// Time for which the counted instances are cached: a holder receives hundreds of requests per second.
const COUNT_INTERVAL: Duration = Duration::from_millis(50);
/// Time after which a fleet that an instance has stated no longer counts; most of its members may have
/// ended.
const STATED_FLEET_LIFETIME: Duration = Duration::from_secs(30);
/// Maximum number of stated fleets of a holder; the earliest ones give way.
const MAX_STATED_FLEETS: usize = 8;

/// What a request to a holder shows about the instance that sent it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ContactProof {
    /// Time after which the request was sent, by the holder's clock; `None` if it is unknown, as in the
    /// first request of an instance.
    pub sent_after: Option<Timestamp>,
    /// Time before the request for which the instance has used no other holder.
    pub exclusive_for: Duration,
}

impl ContactProof {
    /// Proof of a request that was sent just now by an instance that uses no other holder. Requests of
    /// builds that state nothing are treated in this way.
    pub fn assumed(now: Timestamp) -> Self {
        Self { sent_after: Some(now), exclusive_for: CONTACT_LIFETIME }
    }

    /// Whether no other holder counts the instance.
    fn is_exclusive(self) -> bool {
        self.exclusive_for >= CONTACT_LIFETIME
    }
}

/// What a holder may grant.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Standing {
    /// Fraction of the fleet that is in contact with the holder.
    pub contact_fraction: f64,
    /// Time until which the holder is provably the only one; the past if it is not proven.
    pub sole_until: Timestamp,
}

#[derive(Debug)]
struct Contact {
    received_at: Timestamp,
    proof: ContactProof,
}

impl Contact {
    fn is_recent(&self, now: Timestamp) -> bool {
        now <= self.received_at + CONTACT_LIFETIME
    }

    /// Time until which the instance counts for the holder alone, which has sent its claim at this time.
    fn counts_until(&self, claimed_at: Option<Timestamp>) -> Option<Timestamp> {
        let others_until = self.received_at.saturating_sub(self.proof.exclusive_for);
        let is_counted =
            self.proof.is_exclusive() || claimed_at.is_some_and(|at| others_until <= at);
        Some(self.proof.sent_after.filter(|_| is_counted)? + CONTACT_LIFETIME)
    }
}

/// Fleet by which an instance counted with its holder before, or the holder itself.
#[derive(Debug)]
struct StatedFleet {
    members: BTreeSet<InstanceName>,
    stated_at: Timestamp,
    is_own: bool,
}

impl StatedFleet {
    fn counts(&self, now: Timestamp) -> bool {
        now <= self.stated_at + STATED_FLEET_LIFETIME
    }
}

/// Instances in contact with a holder of one hub number.
#[derive(Debug, Default)]
pub struct HolderContacts {
    by_instance: HashMap<InstanceName, Contact>,
    standing: Option<Standing>,
    counted_until: Timestamp,
    /// When the last claim that all other instances have confirmed was sent.
    claimed_at: Option<Timestamp>,
    /// Time until which the node is no holder, since another one has claimed that.
    yielded_until: Timestamp,
    /// Fleets of which the holder needs the majority besides that of its own.
    stated: Vec<StatedFleet>,
}

impl HolderContacts {
    /// Records a request of an instance, in a fleet of the given size; a size of 0 is unknown, and
    /// proves nothing.
    pub fn record(
        &mut self,
        now: Timestamp,
        requester: &InstanceName,
        proof: ContactProof,
        fleet_size: usize,
    ) -> Standing {
        let contact = Contact { received_at: now, proof };
        self.by_instance.insert(requester.clone(), contact);
        match self.standing {
            Some(standing) if now < self.counted_until && now < standing.sole_until => standing,
            _ => self.count(now, fleet_size),
        }
    }

    /// Records the fleet by which an instance counted with its holder before, where it is not this
    /// holder's. The next request of any instance is counted with it.
    pub fn record_stated_fleet(&mut self, now: Timestamp, members: BTreeSet<InstanceName>) {
        self.stated.retain(|it| it.members != members);
        if self.stated.len() >= MAX_STATED_FLEETS {
            self.stated.remove(0);
        }
        self.stated.push(StatedFleet { members, stated_at: now, is_own: false });
        self.claimed_at = None;
        self.counted_until = Timestamp::ZERO;
    }

    /// Records the fleet of a holder in use before lost instances have joined it again.
    pub fn record_outgrown_fleet(&mut self, now: Timestamp, members: &BTreeSet<InstanceName>) {
        let is_in_use = self.by_instance.values().any(|contact| contact.is_recent(now));
        if is_in_use && !self.stated.iter().any(|it| it.is_own) {
            let members = members.clone();
            self.stated.push(StatedFleet { members, stated_at: now, is_own: true });
            self.counted_until = Timestamp::ZERO;
        }
    }

    /// Whether the holder is in contact with most of each fleet that an instance has stated.
    pub fn has_stated_majorities(&self, now: Timestamp) -> bool {
        let is_recent = |name: &InstanceName| {
            self.by_instance.get(name).is_some_and(|contact| contact.is_recent(now))
        };
        self.stated.iter().filter(|it| it.counts(now)).all(|fleet| {
            let in_contact = fleet.members.iter().filter(|name| is_recent(name)).count();
            in_contact * 2 > fleet.members.len()
        })
    }

    /// Forgets an instance that turns to another holder.
    pub fn release(&mut self, now: Timestamp, requester: &str, fleet_size: usize) -> Standing {
        self.by_instance.remove(requester);
        self.count(now, fleet_size)
    }

    /// Whether a claim may make the node the only holder: it is in contact with most of the fleet, and is
    /// not the only holder yet. Lost instances confirm no claim, so there is none while others count one of them.
    pub fn can_claim(&self, now: Timestamp) -> bool {
        let has_majority = |it: &Standing| it.contact_fraction > 0.5 && now >= it.sole_until;
        now >= self.yielded_until
            && self.stated.is_empty()
            && self.standing.as_ref().is_some_and(has_majority)
    }

    /// Records that all other instances have confirmed a claim that was sent at this time.
    pub fn confirm_claim(
        &mut self,
        now: Timestamp,
        sent_at: Timestamp,
        fleet_size: usize,
    ) -> Standing {
        self.claimed_at = Some(sent_at);
        self.count(now, fleet_size)
    }

    /// Makes the node no holder for [`CONTACT_LIFETIME`], unless most of the fleet is in contact with it;
    /// returns whether it did.
    pub fn yield_to_claim(&mut self, now: Timestamp, fleet_size: usize) -> bool {
        let standing = self.count(now, fleet_size);
        if standing.contact_fraction > 0.5 || now < standing.sole_until {
            return false;
        }
        self.claimed_at = None;
        self.yielded_until = now + CONTACT_LIFETIME;
        true
    }

    fn count(&mut self, now: Timestamp, fleet_size: usize) -> Standing {
        self.by_instance.retain(|_, contact| contact.is_recent(now));
        self.claimed_at = self.claimed_at.filter(|at| now < *at + CONTACT_LIFETIME);
        self.stated.retain(|it| it.counts(now));
        let contact_fraction = match fleet_size {
            0 => 0.0,
            size => (self.by_instance.len() as f64 / size as f64).min(1.0),
        };
        let claimed_until = self.claimed_at.map(|at| at + CONTACT_LIFETIME);
        let by_claim = claimed_until
            .map(|until| self.majorities_until(self.claimed_at, fleet_size).min(until));
        let sole_until = match now < self.yielded_until {
            true => Timestamp::ZERO,
            false => by_claim.unwrap_or_default().max(self.majorities_until(None, fleet_size)),
        };
        if now < sole_until {
            self.stated.clear();
        }
        let standing = Standing { contact_fraction, sole_until };
        self.standing = Some(standing);
        self.counted_until = now + COUNT_INTERVAL;
        standing
    }

    /// Time until which more than half of the fleet, and of each stated one, counts for the holder alone.
    fn majorities_until(&self, claimed_at: Option<Timestamp>, fleet_size: usize) -> Timestamp {
        let of_stated = self.stated.iter().map(|fleet| {
            let is_member = |name: &InstanceName| fleet.members.contains(name);
            self.majority_until(claimed_at, fleet.members.len(), is_member)
        });
        let of_all = self.majority_until(claimed_at, fleet_size, |_| true);
        of_stated.fold(of_all, Timestamp::min)
    }

    /// Time until which more than half of a fleet of this size, with these members, counts for the holder
    /// alone.
    fn majority_until(
        &self,
        claimed_at: Option<Timestamp>,
        fleet_size: usize,
        is_member: impl Fn(&InstanceName) -> bool,
    ) -> Timestamp {
        let contacts = self.by_instance.iter().filter(|(name, _)| is_member(name));
        let mut counted: Vec<Timestamp> =
            contacts.filter_map(|(_, contact)| contact.counts_until(claimed_at)).collect();
        let majority = fleet_size / 2 + 1;
        // As long as the last of the majority counts, all others of it count too.
        match fleet_size > 0 && counted.len() >= majority {
            true => *counted.select_nth_unstable_by(majority - 1, |a, b| b.cmp(a)).1,
            false => Timestamp::ZERO,
        }
    }
}

/// Exchanges of a node with one holder.
#[derive(Debug, Default, Clone, Copy)]
struct HolderExchanges {
    /// Time of the holder's last reply.
    replied_at: Option<Timestamp>,
    /// Time of the latest reply that a request has repeated; the holder may count the instance for
    /// [`CONTACT_LIFETIME`] after it.
    repeated_at: Option<Timestamp>,
    /// The same for requests without a reply, which may still arrive.
    unanswered_at: Option<Timestamp>,
}

/// The holders that a node has used for one hub number.
///
/// A holder counts an instance until [`CONTACT_LIFETIME`] after the reply that a request of the instance
/// repeats. So a holder is in use until the last reply that was repeated to it, not until the end of the
/// last attempt to reach it; one that has never replied was not used at all.
#[derive(Debug)]
pub struct HolderUse {
    /// Start of the process. An earlier process may have used any holder until then.
    started_at: Timestamp,
    holder: Option<InstanceName>,
    exchanges: HashMap<InstanceName, HolderExchanges>,
}

impl HolderUse {
    /// State of a process that has started at this time.
    pub fn new(started_at: Timestamp) -> Self {
        Self { started_at, holder: None, exchanges: HashMap::new() }
    }

    /// Records that the node begins an exchange with a holder, and returns the time for which it has used
    /// no other one. The request repeats the time of the holder's last reply.
    pub fn begin(&mut self, now: Timestamp, holder: &InstanceName) -> Duration {
        let exchanges = self.exchanges.entry(holder.clone()).or_default();
        exchanges.repeated_at = exchanges.repeated_at.max(exchanges.replied_at);
        self.select(now, holder)
    }

    /// Like [`Self::begin`] for the node's own instance, which needs no reply.
    pub fn begin_own(&mut self, now: Timestamp, own: &InstanceName) -> Duration {
        self.exchanges.entry(own.clone()).or_default().repeated_at = Some(now);
        self.select(now, own)
    }

    fn select(&mut self, now: Timestamp, holder: &InstanceName) -> Duration {
        self.holder = Some(holder.clone());
        let is_recent = |at: Option<Timestamp>| at.is_some_and(|at| now <= at + CONTACT_LIFETIME);
        self.exchanges.retain(|name, exchanges| {
            name == holder || is_recent(exchanges.repeated_at.max(exchanges.replied_at))
        });
        let others = self.exchanges.iter().filter(|(name, _)| *name != holder);
        let others_until = others.filter_map(|(_, exchanges)| exchanges.repeated_at).max();
        now.saturating_sub(others_until.unwrap_or_default().max(self.started_at))
    }

    /// Records the end of the exchange that has begun last. A request without a reply may still arrive.
    pub fn end(&mut self, now: Timestamp, is_answered: bool) {
        let Some(holder) = &self.holder else { return };
        let Some(exchanges) = self.exchanges.get_mut(holder) else { return };
        match is_answered {
            true => exchanges.replied_at = Some(now),
            false => exchanges.unanswered_at = exchanges.repeated_at,
        }
    }

    /// The holder in use, if it may count the instance and `next` is another one: a notice to it saves the
    /// time until it no longer does.
    pub fn replaced_by(&self, now: Timestamp, next: &InstanceName) -> Option<InstanceName> {
        let holder = self.holder.as_ref().filter(|holder| *holder != next)?;
        let repeated_at = self.exchanges.get(holder)?.repeated_at?;
        (now <= repeated_at + CONTACT_LIFETIME).then(|| holder.clone())
    }

    /// Records that a holder has confirmed that it no longer counts the instance.
    pub fn confirm_release(&mut self, holder: &InstanceName) {
        if let Some(exchanges) = self.exchanges.get_mut(holder) {
            exchanges.repeated_at = exchanges.unanswered_at;
        }
    }
}
