//! The instances of the fleet as a node knows them.
//!
//! The store keeps only where each instance is. What changes often, the upstream of an instance
//! and whether it takes requests, passes from node to node: each node tells its record to a few
//! hubs and asks them for what has changed. A record is placed by generation and sequence, so it
//! may come late and by any way.

use std::{
    cmp::Ordering,
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    ops::Bound,
    sync::Arc,
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::{
    clock::Timestamp,
    names::{Incarnation, InstanceName, ServiceName, ZoneName},
};

/// A node that a hub has not heard for this long gets no requests; nodes ask their hubs several
/// times in it.
const SILENCE_LIMIT: Duration = Duration::from_millis(1300);

/// Where an instance is, as the store keeps it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct InstanceAddress {
    /// Availability zone.
    pub zone: ZoneName,
    /// Where other nodes reach the node.
    pub peer_address: SocketAddr,
}

/// Where the instances are, by name. Views of the fleet share it until it changes.
pub type Addresses = Arc<BTreeMap<InstanceName, InstanceAddress>>;

/// The upstream beside a node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamRecord {
    /// Id of the upstream.
    pub id: InstanceName,
    /// Requests that it can run at once.
    pub slots: u32,
    /// It takes new work.
    pub ready: bool,
    /// It has said that it leaves for good.
    pub has_left: bool,
    /// Time of its start in milliseconds since 1970, and number of its message that made the record
    /// what it is. A later process of the node tells late messages by them.
    pub started_unix_ms: u64,
    /// See `started_unix_ms`.
    pub sequence: u64,
}

impl UpstreamRecord {
    /// Tells whether two records are alike but for the message that they rest on.
    pub fn has_same_state(&self, other: &Self) -> bool {
        (&self.id, self.slots, self.ready, self.has_left)
            == (&other.id, other.slots, other.ready, other.has_left)
    }
}

/// What a node tells of itself.
#[derive(Debug, Clone, PartialEq)]
pub struct InstanceRecord {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Higher than that of any process before under the name.
    pub generation: u64,
    /// Rises with each change of one process.
    pub sequence: u64,
    /// The process, drawn at random at its start.
    pub incarnation: Incarnation,
    /// Where it is.
    pub address: InstanceAddress,
    /// The node finishes its work and stops.
    pub leaving: bool,
    /// Service of the upstream.
    pub service: ServiceName,
    /// The upstream beside the node, once it has announced itself.
    pub upstream: Option<UpstreamRecord>,
}

impl InstanceRecord {
    /// The instance goes for good: its node stops after its upstream has left.
    fn is_gone(&self) -> bool {
        self.leaving && self.upstream.is_none()
    }

    /// Compares with another record of the same instance.
    fn compare(&self, other: &Self) -> Order {
        if self.generation == other.generation && self.incarnation != other.incarnation {
            return Order::Unordered;
        }
        match (self.generation, self.sequence).cmp(&(other.generation, other.sequence)) {
            Ordering::Less => Order::Older,
            Ordering::Equal => Order::Same,
            Ordering::Greater => Order::Newer,
        }
    }
}

/// How a record stands to another one of the same instance.
enum Order {
    Older,
    Same,
    Newer,
    /// Two processes have told them under one generation.
    Unordered,
}

/// What came of a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MergeResult {
    /// It is in force.
    Applied,
    /// It was known.
    Unchanged,
    /// Another one is known that is later, or of another process under the same generation. Who
    /// told it must hear of that one, so that the instance raises its generation.
    Outdated,
}

/// One instance with what is known of it.
#[derive(Debug, Clone, PartialEq)]
pub struct Member {
    /// What it tells of itself.
    pub record: InstanceRecord,
    /// The fleet's hub has not heard of it lately.
    pub silent: bool,
}

impl Member {
    /// The upstream, where it takes new work.
    pub fn ready_upstream(&self) -> Option<&UpstreamRecord> {
        if self.record.leaving || self.silent {
            return None;
        }
        self.record.upstream.as_ref().filter(|upstream| upstream.ready)
    }
}

/// The instances in the form that the request path reads.
#[derive(Debug, Clone, Default)]
pub struct Members {
    services: HashMap<ServiceName, Vec<Arc<Member>>>,
    /// Where each instance is, by name; those of the store that told nothing yet included.
    addresses: Addresses,
}

impl Members {
    /// The instances of a service.
    pub fn for_service(&self, service: &str) -> &[Arc<Member>] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// The instances that have told of themselves.
    pub fn with_record(&self) -> impl Iterator<Item = &Arc<Member>> {
        self.services.values().flatten()
    }

    /// All instances by name.
    pub fn addresses(&self) -> &Addresses {
        &self.addresses
    }

    /// Number of instances.
    pub fn len(&self) -> usize {
        self.addresses.len()
    }

    /// Tells whether no instance is known.
    pub fn is_empty(&self) -> bool {
        self.addresses.is_empty()
    }
}

#[derive(Debug)]
struct Entry {
    member: Arc<Member>,
    /// Number of the change that made the entry what it is.
    changed: u64,
    /// When the instance itself was heard.
    heard_at: Option<Timestamp>,
}

/// What has changed at a hub.
#[derive(Debug)]
pub struct Changes {
    /// Number of the last change.
    pub sequence: u64,
    /// The changed entries.
    pub members: Vec<Arc<Member>>,
}

/// The instances that a node knows, and what it tells others of them as a hub.
#[derive(Debug, Default)]
pub struct Directory {
    entries: BTreeMap<InstanceName, Entry>,
    /// The instances by the number of their last change.
    changes: BTreeMap<u64, InstanceName>,
    stored: Addresses,
    sequence: u64,
}

impl Directory {
    /// Takes the addresses that the store keeps. Instances that it no longer has are forgotten.
    pub fn set_stored_addresses(&mut self, mut addresses: BTreeMap<InstanceName, InstanceAddress>) {
        // An instance that was heard since may have registered after the list was read.
        self.entries.retain(|name, entry| addresses.contains_key(name) || !entry.member.silent);
        let entries = &self.entries;
        self.changes.retain(|_, name| entries.contains_key(name));
        for entry in self.entries.values().filter(|entry| !entry.member.record.is_gone()) {
            let record = &entry.member.record;
            addresses.insert(record.instance.clone(), record.address.clone());
        }
        if addresses != *self.stored {
            self.stored = Arc::new(addresses);
        }
    }

    /// Takes a record where it is newer than the known one.
    pub fn merge(&mut self, record: InstanceRecord) -> MergeResult {
        let known = self.entries.get(&record.instance);
        match known.map(|known| record.compare(&known.member.record)) {
            None | Some(Order::Newer) => {}
            Some(Order::Same) => return MergeResult::Unchanged,
            Some(Order::Older | Order::Unordered) => return MergeResult::Outdated,
        }
        let heard_at = known.and_then(|known| known.heard_at);
        let address = (!record.is_gone()).then_some(&record.address);
        if self.stored.get(&record.instance) != address {
            let stored = Arc::make_mut(&mut self.stored);
            match address {
                Some(address) => drop(stored.insert(record.instance.clone(), address.clone())),
                None => drop(stored.remove(&record.instance)),
            }
        }
        self.sequence += 1;
        let name = record.instance.clone();
        if let Some(known) = self.entries.get(&name) {
            self.changes.remove(&known.changed);
        }
        self.changes.insert(self.sequence, name.clone());
        let member = Arc::new(Member { record, silent: false });
        self.entries.insert(name, Entry { member, changed: self.sequence, heard_at });
        MergeResult::Applied
    }

    /// Takes what a hub says of an instance's silence; false where that is known.
    pub fn set_silent(&mut self, instance: &str, silent: bool) -> bool {
        let Some(entry) = self.entries.get_mut(instance) else { return false };
        if entry.member.silent == silent {
            return false;
        }
        self.sequence += 1;
        self.changes.remove(&entry.changed);
        self.changes.insert(self.sequence, entry.member.record.instance.clone());
        entry.changed = self.sequence;
        Arc::make_mut(&mut entry.member).silent = silent;
        true
    }

    /// An instance itself was heard; true where it was taken for silent.
    pub fn record_contact(&mut self, now: Timestamp, instance: &str) -> bool {
        let Some(entry) = self.entries.get_mut(instance) else { return false };
        entry.heard_at = Some(now);
        self.set_silent(instance, false)
    }

    /// The node begins to act as a hub; what it heard before says nothing of the time between.
    pub fn reset_contacts(&mut self) {
        for entry in self.entries.values_mut() {
            entry.heard_at = None;
        }
    }

    /// Looks which instances have not been heard lately; only a hub hears all. True where that
    /// has changed.
    pub fn mark_silent(&mut self, now: Timestamp, own: &str) -> bool {
        let silent: Vec<InstanceName> = self
            .entries
            .iter()
            .filter(|(name, entry)| {
                let late = entry.heard_at.is_some_and(|at| now > at + SILENCE_LIMIT);
                late && !entry.member.silent && ***name != *own
            })
            .map(|(name, _)| name.clone())
            .collect();
        for name in &silent {
            self.set_silent(name, true);
        }
        !silent.is_empty()
    }

    /// Record of an instance.
    pub fn record_of(&self, instance: &str) -> Option<&InstanceRecord> {
        self.entries.get(instance).map(|entry| &entry.member.record)
    }

    /// What has changed since a change that the asker knows of.
    pub fn changes_since(&self, known: u64) -> Changes {
        let changed = self.changes.range((Bound::Excluded(known), Bound::Unbounded));
        Changes {
            sequence: self.sequence,
            members: changed
                .filter_map(|(_, name)| Some(self.entries.get(name)?.member.clone()))
                .collect(),
        }
    }

    /// The instances in the form that the request path reads.
    pub fn members(&self) -> Members {
        let mut members = Members { addresses: self.stored.clone(), ..Default::default() };
        for entry in self.entries.values() {
            let service = entry.member.record.service.clone();
            members.services.entry(service).or_default().push(entry.member.clone());
        }
        members
    }
}
