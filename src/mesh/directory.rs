//! Membership: the instances of the fleet as a node knows them.
//!
//! The store keeps only the address of each instance. State that changes often, such as the upstream
//! of an instance and whether it accepts requests, is exchanged between nodes: each node sends its
//! record to a few hubs and requests the records that have changed. Records are ordered by generation
//! and sequence, so they may arrive late and by any path.

use std::{
    cmp::Ordering,
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
    net::SocketAddr,
    ops::Bound,
    sync::Arc,
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::{
    clock::Timestamp,
    mesh::Losses,
    names::{Incarnation, InstanceName, ServiceName, ZoneName},
};

/// Time without an exchange after which a hub marks an instance as silent, so that it is sent no
/// requests; nodes contact their hubs several times within it.
const SILENCE_LIMIT: Duration = Duration::from_millis(1300);

/// Location and address of an instance, as the store keeps them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct InstanceAddress {
    /// Availability zone.
    pub zone: ZoneName,
    /// Address at which other nodes reach the node of the instance.
    pub peer_address: SocketAddr,
}

/// Addresses of the instances by name. [`Members`] snapshots share the map until it changes.
pub type Addresses = Arc<BTreeMap<InstanceName, InstanceAddress>>;

/// State of a node's local upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamRecord {
    /// Id of the upstream.
    pub id: InstanceName,
    /// Requests that it can run at the same time.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub ready: bool,
    /// Whether it has announced its permanent removal.
    pub has_left: bool,
    /// Time at which the upstream started, in milliseconds since 1970. Together with `sequence`, it
    /// lets a restarted node recognise messages of the upstream that arrive late.
    pub started_unix_ms: u64,
    /// Sequence number of the upstream's last message that changed the record.
    pub sequence: u64,
    /// Requests in 1000 s that it accepts from all nodes together while it is cold; 0 while it is warm.
    pub pace_per_ks: u32,
}

impl UpstreamRecord {
    /// Record of an upstream that is leaving, or has left; its start is 0 if it is unknown.
    pub fn leaving(id: InstanceName, has_left: bool, started_unix_ms: u64, sequence: u64) -> Self {
        Self { id, slots: 0, ready: false, has_left, started_unix_ms, sequence, pace_per_ks: 0 }
    }

    /// Whether both records describe the same state, regardless of the messages that they come from.
    pub fn has_same_state(&self, other: &Self) -> bool {
        (&self.id, self.slots, self.ready, self.has_left, self.pace_per_ks)
            == (&other.id, other.slots, other.ready, other.has_left, other.pace_per_ks)
    }
}

/// Record of an instance, published by its node.
#[derive(Debug, Clone, PartialEq)]
pub struct InstanceRecord {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Generation of the node process; higher than that of any earlier process with the same name.
    pub generation: u64,
    /// Incremented with each change of the record by the same process.
    pub sequence: u64,
    /// Random id of the node process, drawn at its start.
    pub incarnation: Incarnation,
    /// Location and address of the instance.
    pub address: InstanceAddress,
    /// Whether the node is stopping: it finishes its requests and accepts no new ones.
    pub leaving: bool,
    /// Service that the upstream offers.
    pub service: ServiceName,
    /// Local upstream of the node; `None` until it has announced itself and after it has left.
    pub upstream: Option<UpstreamRecord>,
}

impl InstanceRecord {
    /// Whether the instance is removed permanently: its node stops after its upstream has left.
    fn is_gone(&self) -> bool {
        self.leaving && self.upstream.is_none()
    }

    /// Compares with another record of the same instance.
    fn compare(&self, other: &Self) -> RecordOrder {
        if self.generation == other.generation && self.incarnation != other.incarnation {
            return RecordOrder::Unordered;
        }
        match (self.generation, self.sequence).cmp(&(other.generation, other.sequence)) {
            Ordering::Less => RecordOrder::Older,
            Ordering::Equal => RecordOrder::Same,
            Ordering::Greater => RecordOrder::Newer,
        }
    }
}

/// Order of a record relative to another one of the same instance.
enum RecordOrder {
    Older,
    Same,
    Newer,
    /// The records come from two processes with the same generation.
    Unordered,
}

/// Result of merging a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MergeResult {
    /// The record replaced an older one or is the first of the instance.
    Applied,
    /// The record was known.
    Unchanged,
    /// A newer record, or one of another process with the same generation, is known. It must be sent
    /// to the node that sent the outdated one, so that the instance raises its generation.
    Outdated,
}

/// Instance with its record and its liveness.
#[derive(Debug, Clone, PartialEq)]
pub struct Member {
    /// Last record of the instance.
    pub record: InstanceRecord,
    /// Whether the fleet's first hub has had no exchange with the instance within the limit.
    pub silent: bool,
}

impl Member {
    /// The upstream of the instance, if it accepts new requests.
    pub fn ready_upstream(&self) -> Option<&UpstreamRecord> {
        if self.record.leaving || self.silent {
            return None;
        }
        self.record.upstream.as_ref().filter(|upstream| upstream.ready)
    }
}

/// Snapshot of the instances for the request path.
#[derive(Debug, Clone, Default)]
pub struct Members {
    services: HashMap<ServiceName, Vec<Arc<Member>>>,
    /// Includes instances that are in the store but have not published a record yet.
    addresses: Addresses,
    /// Whether any upstream is cold.
    has_cold: bool,
    /// Instances whose nodes are stopping.
    leaving: HashSet<InstanceName>,
    live_count: usize,
}

impl Members {
    /// Whether the pace of any upstream is limited, since it is cold.
    pub fn has_cold(&self) -> bool {
        self.has_cold
    }

    /// Instances of a service.
    pub fn for_service(&self, service: &str) -> &[Arc<Member>] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// Instances that have published a record.
    pub fn with_record(&self) -> impl Iterator<Item = &Arc<Member>> {
        self.services.values().flatten()
    }

    /// Addresses of all instances, including those without a record.
    pub fn addresses(&self) -> &Addresses {
        &self.addresses
    }

    /// Number of instances, including those without a record.
    pub fn len(&self) -> usize {
        self.addresses.len()
    }

    /// Number of instances without the lost ones: the size of the fleet, for all that is divided among
    /// its members.
    pub fn live_len(&self) -> usize {
        self.live_count
    }

    /// Whether the node of an instance is stopping.
    pub fn is_leaving(&self, instance: &str) -> bool {
        self.leaving.contains(instance)
    }

    /// Whether no instance is known.
    pub fn is_empty(&self) -> bool {
        self.addresses.is_empty()
    }
}

#[derive(Debug)]
struct DirectoryEntry {
    member: Arc<Member>,
    /// Sequence number of the entry's last change.
    change_sequence: u64,
    /// Time of the last exchange with the instance itself, if any.
    last_contact_at: Option<Timestamp>,
}

/// Changes of a directory since a given change.
#[derive(Debug)]
pub struct Changes {
    /// Sequence number of the last change.
    pub sequence: u64,
    /// Instances that have changed, in their present state.
    pub members: Vec<Arc<Member>>,
}

/// Instances that a node knows, with a log of changes that it serves to other nodes as a hub.
#[derive(Debug, Default)]
pub struct Directory {
    entries: BTreeMap<InstanceName, DirectoryEntry>,
    /// Instances by the sequence number of their last change.
    changes: BTreeMap<u64, InstanceName>,
    /// Addresses from the store, updated by records.
    addresses: Addresses,
    losses: Losses,
    /// Sequence number of the last change.
    sequence: u64,
}

impl Directory {
    /// Replaces the addresses by those from the store. Silent instances that the store no longer has are
    /// removed.
    pub fn set_stored_addresses(&mut self, mut addresses: BTreeMap<InstanceName, InstanceAddress>) {
        // An instance that is not silent may have registered after the list was read.
        self.entries.retain(|name, entry| addresses.contains_key(name) || !entry.member.silent);
        let entries = &self.entries;
        self.changes.retain(|_, name| entries.contains_key(name));
        for entry in self.entries.values().filter(|entry| !entry.member.record.is_gone()) {
            let record = &entry.member.record;
            addresses.insert(record.instance.clone(), record.address.clone());
        }
        if addresses != *self.addresses {
            self.addresses = Arc::new(addresses);
        }
    }

    /// Applies a record if it is newer than the known one of the instance.
    pub fn merge(&mut self, record: InstanceRecord) -> MergeResult {
        let known = self.entries.get(&record.instance);
        match known.map(|known| record.compare(&known.member.record)) {
            None | Some(RecordOrder::Newer) => {}
            Some(RecordOrder::Same) => return MergeResult::Unchanged,
            Some(RecordOrder::Older | RecordOrder::Unordered) => return MergeResult::Outdated,
        }
        let last_contact_at = known.and_then(|known| known.last_contact_at);
        let address = (!record.is_gone()).then_some(&record.address);
        if self.addresses.get(&record.instance) != address {
            let addresses = Arc::make_mut(&mut self.addresses);
            match address {
                Some(address) => drop(addresses.insert(record.instance.clone(), address.clone())),
                None => drop(addresses.remove(&record.instance)),
            }
        }
        self.sequence += 1;
        let name = record.instance.clone();
        if let Some(known) = self.entries.get(&name) {
            self.changes.remove(&known.change_sequence);
        }
        self.changes.insert(self.sequence, name.clone());
        let member = Arc::new(Member { record, silent: false });
        self.entries.insert(
            name,
            DirectoryEntry { member, change_sequence: self.sequence, last_contact_at },
        );
        MergeResult::Applied
    }

    /// Marks an instance as silent or not; returns whether this is a change.
    pub fn set_silent(&mut self, instance: &str, silent: bool) -> bool {
        let Some(entry) = self.entries.get_mut(instance) else { return false };
        if entry.member.silent == silent {
            return false;
        }
        Arc::make_mut(&mut entry.member).silent = silent;
        self.record_change(instance);
        true
    }

    /// Gives an instance the next sequence number, so that it is sent to other nodes again.
    fn record_change(&mut self, instance: &str) {
        let Some(entry) = self.entries.get_mut(instance) else { return };
        self.sequence += 1;
        self.changes.remove(&entry.change_sequence);
        self.changes.insert(self.sequence, entry.member.record.instance.clone());
        entry.change_sequence = self.sequence;
    }

    /// Records an exchange with an instance itself; returns whether it was marked as silent or lost.
    pub fn record_contact(&mut self, now: Timestamp, instance: &str) -> bool {
        let Some(entry) = self.entries.get_mut(instance) else { return false };
        entry.last_contact_at = Some(now);
        let was_lost = self.losses.record_contact(now, instance);
        if was_lost {
            self.record_change(instance);
        }
        self.set_silent(instance, false) || was_lost
    }

    /// Marks instances as lost that the first hub `own` has not heard of; returns those.
    pub fn mark_lost(&mut self, now: Timestamp, own: &str) -> Vec<InstanceName> {
        let late = self.losses.mark_lost(now, own, &self.addresses);
        for name in &late {
            self.record_change(name);
        }
        late
    }

    /// Applies what the first hub has decided about an instance: the time for which it is lost, or `None`
    /// if it is not; returns whether this is a change.
    pub fn set_lost(&mut self, now: Timestamp, instance: &str, lost_for: Option<Duration>) -> bool {
        self.losses.apply(now, instance, lost_for)
    }

    /// Time for which an instance is lost; `None` if it is not.
    pub fn lost_for(&self, now: Timestamp, instance: &str) -> Option<Duration> {
        self.losses.lost_for(now, instance)
    }

    /// The lost instances.
    pub fn lost(&self) -> impl Iterator<Item = &InstanceName> {
        self.losses.lost()
    }

    /// The instances without the lost ones.
    pub fn live(&self) -> BTreeSet<InstanceName> {
        self.losses.live(&self.addresses)
    }

    /// The fleet without these lost instances, unless that is the fleet as this node counts it.
    pub fn fleet_without(&self, lost: &BTreeSet<InstanceName>) -> Option<BTreeSet<InstanceName>> {
        self.losses.fleet_without(lost, &self.addresses)
    }

    /// Whether any instance is marked as silent or lost.
    pub fn has_marks(&self) -> bool {
        self.losses.has_any() || self.entries.values().any(|entry| entry.member.silent)
    }

    /// Whether the first hub `own` is in contact with more than half of the fleet.
    pub fn has_majority(&self, now: Timestamp, own: &str) -> bool {
        self.losses.has_majority(now, own, &self.addresses)
    }

    /// Instances whose registrations the first hub `own` removes.
    pub fn removable(&self, now: Timestamp, own: &str) -> Vec<(InstanceName, InstanceAddress)> {
        self.losses.removable(now, own, &self.addresses)
    }

    /// Removes an instance whose registration was removed.
    pub fn remove(&mut self, instance: &str) {
        if let Some(entry) = self.entries.remove(instance) {
            self.changes.remove(&entry.change_sequence);
        }
        Arc::make_mut(&mut self.addresses).remove(instance);
        self.losses.forget(instance);
    }

    /// Clears the times of the last exchanges when the node starts to act as a hub: until then,
    /// instances had no reason to contact it.
    pub fn reset_contacts(&mut self) {
        for entry in self.entries.values_mut() {
            entry.last_contact_at = None;
        }
        self.losses.reset_contacts();
    }

    /// Marks as silent all instances without an exchange for `SILENCE_LIMIT`, except the node's own
    /// instance `own`; returns whether any was marked. Only a hub may call it, since only a hub is in
    /// contact with all instances.
    pub fn mark_silent(&mut self, now: Timestamp, own: &str) -> bool {
        let silent: Vec<InstanceName> = self
            .entries
            .iter()
            .filter(|(name, entry)| {
                let is_late = entry.last_contact_at.is_some_and(|at| now > at + SILENCE_LIMIT);
                is_late && !entry.member.silent && ***name != *own
            })
            .map(|(name, _)| name.clone())
            .collect();
        for name in &silent {
            self.set_silent(name, true);
        }
        !silent.is_empty()
    }

    /// Last known record of an instance.
    pub fn record_of(&self, instance: &str) -> Option<&InstanceRecord> {
        self.entries.get(instance).map(|entry| &entry.member.record)
    }

    /// Changes after the change with the sequence number `known`.
    pub fn changes_since(&self, known: u64) -> Changes {
        let changed = self.changes.range((Bound::Excluded(known), Bound::Unbounded));
        Changes {
            sequence: self.sequence,
            members: changed
                .filter_map(|(_, name)| Some(self.entries.get(name)?.member.clone()))
                .collect(),
        }
    }

    /// Takes a snapshot for the request path.
    pub fn members(&self) -> Members {
        let mut members = Members {
            addresses: self.addresses.clone(),
            live_count: self.losses.live_count(&self.addresses),
            ..Default::default()
        };
        for entry in self.entries.values() {
            if entry.member.record.leaving {
                members.leaving.insert(entry.member.record.instance.clone());
            }
            let service = entry.member.record.service.clone();
            members.has_cold |=
                entry.member.ready_upstream().is_some_and(|upstream| upstream.pace_per_ks > 0);
            members.services.entry(service).or_default().push(entry.member.clone());
        }
        members
    }
}
