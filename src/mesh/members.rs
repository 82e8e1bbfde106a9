//! The instances of the mesh as they stand in the store: nodes with the upstreams beside them.

use std::{collections::HashMap, net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::{
    mesh::UpstreamState,
    names::{Incarnation, InstanceName, ServiceName, ZoneName},
    store::{Object, ObjectVersion},
};

/// Prefix of the kinds that hold the records of instances, one kind a service.
const KIND_PREFIX: &str = "hibiscusdoor-instances.";

/// Kind of the records of a service's instances.
pub fn kind_of(service: &str) -> String {
    format!("{KIND_PREFIX}{service}")
}

/// What a node publishes of itself and its upstream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct InstanceRecord {
    /// Drawn at random by each process, so that a new process under the name is recognised.
    pub incarnation: Incarnation,
    /// Availability zone.
    pub zone: ZoneName,
    /// Where other nodes reach this one.
    pub peer_address: SocketAddr,
    /// The node finishes its work and stops.
    pub leaving: bool,
    /// The upstream beside the node, once it has announced itself.
    pub upstream: Option<UpstreamRecord>,
}

/// What a node publishes of its upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamRecord {
    /// Id of the upstream.
    pub id: InstanceName,
    /// Requests that it can run at once.
    pub slots: u32,
    /// It takes new work.
    pub ready: bool,
}

impl UpstreamRecord {
    /// Makes the record of an upstream.
    pub fn new(id: InstanceName, slots: u32, state: UpstreamState) -> Self {
        Self { id, slots, ready: state == UpstreamState::Ready }
    }
}

/// One instance of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct Member {
    /// Name of the instance.
    pub instance: InstanceName,
    /// What it publishes.
    pub record: InstanceRecord,
    /// Version of its record in the store.
    pub version: ObjectVersion,
}

impl Member {
    /// The upstream, where it takes new work.
    pub fn ready_upstream(&self) -> Option<&UpstreamRecord> {
        if self.record.leaving {
            return None;
        }
        self.record.upstream.as_ref().filter(|upstream| upstream.ready)
    }
}

/// The known instances of all services.
#[derive(Debug, Clone, Default)]
pub struct Members {
    services: HashMap<ServiceName, Vec<Arc<Member>>>,
}

impl Members {
    /// The instances of a service.
    pub fn of(&self, service: &str) -> &[Arc<Member>] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// All instances.
    pub fn all(&self) -> impl Iterator<Item = &Arc<Member>> {
        self.services.values().flatten()
    }

    /// Takes all records of a service in place of those known before.
    pub fn replace(&mut self, service: &ServiceName, objects: Vec<Object>) {
        let members = objects.into_iter().filter_map(read);
        self.services.insert(service.clone(), members.map(Arc::new).collect());
    }

    /// Takes changed records of a service; deleted ones have no value.
    pub fn apply(&mut self, service: &ServiceName, objects: Vec<Object>) {
        let members = self.services.entry(service.clone()).or_default();
        for object in objects {
            let known = members.iter().position(|member| member.instance == object.name);
            if known.is_some_and(|index| members[index].version >= object.version) {
                continue;
            }
            match (read(object.clone()), known) {
                (Some(member), Some(index)) => members[index] = Arc::new(member),
                (Some(member), None) => members.push(Arc::new(member)),
                (None, Some(index)) => drop(members.swap_remove(index)),
                (None, None) => {}
            }
        }
    }
}

fn read(object: Object) -> Option<Member> {
    let record = serde_json::from_value(object.value?)
        .inspect_err(|error| {
            log::warn!(instance:% = object.name, cause:% = error; "unreadable instance record");
        })
        .ok()?;
    Some(Member { instance: object.name, record, version: object.version })
}
