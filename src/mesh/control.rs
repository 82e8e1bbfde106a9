//! Tasks that keep the node's view of the store current and publish its own record.

use std::{sync::Arc, time::Duration};

use rand::RngExt as _;
use tokio::task::JoinSet;

use crate::{
    clock,
    mesh::{
        Catalog, Dialect, InstanceRecord, Node, UpstreamRecord, UpstreamState, members::kind_of,
    },
    names::ServiceName,
    store::{ObjectApi as _, ObjectVersion, StoreError},
};

/// Time between two reads of the configuration; with the time for one call it must stay below
/// the bound in which a change is in force.
const CONFIGURATION_INTERVAL: Duration = Duration::from_millis(1000);
/// Longest wait of one watch; a connection that has gone silent is found when it ends.
const WATCH_WAIT: Duration = Duration::from_secs(10);
/// Pause after a call to the store failed.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// Pause after a change of the records, so that changes that come together are read together.
const SETTLE_DELAY: Duration = Duration::from_millis(50);

/// Reads the configuration again and again.
pub async fn follow_configuration<D: Dialect>(node: Arc<Node<D>>) {
    let (kind, name) = D::CONFIGURATION;
    let mut known: ObjectVersion = 0;
    let mut following = JoinSet::new();
    let mut followed: Vec<ServiceName> = Vec::new();
    loop {
        let began = clock::now();
        let read = node.store.get(kind, name).await;
        let pause = match read {
            Ok(Some(object)) if object.version == known => {
                node.proof.shown(began);
                CONFIGURATION_INTERVAL
            }
            Ok(Some(object)) if object.version > known => {
                match object.value.as_ref().map(|value| D::catalog(value, object.version)) {
                    Some(Ok(parts)) => {
                        let catalog = Catalog::new(parts);
                        log::info!(
                            revision = catalog.revision, version = object.version,
                            routes = catalog.route_count();
                            "configuration is in force here"
                        );
                        known = object.version;
                        for service in catalog.service_names() {
                            if !followed.contains(service) {
                                followed.push(service.clone());
                                following.spawn(follow_service(node.clone(), service.clone()));
                            }
                        }
                        node.catalog.store(Some(Arc::new(catalog)));
                        node.proof.shown(began);
                    }
                    Some(Err(cause)) => {
                        log::error!(version = object.version, cause = cause; "unusable configuration");
                    }
                    None => log::warn!("the configuration has been deleted"),
                }
                CONFIGURATION_INTERVAL
            }
            Ok(_) => RETRY_DELAY,
            Err(error) => {
                log::warn!(cause:% = error; "reading the configuration failed");
                RETRY_DELAY
            }
        };
        tokio::time::sleep(jittered(pause)).await;
    }
}

/// Keeps the records of a service's instances current.
async fn follow_service<D: Dialect>(node: Arc<Node<D>>, service: ServiceName) {
    let kind = kind_of(&service);
    'list: loop {
        let listing = match node.store.list(&kind).await {
            Ok(listing) => listing,
            Err(error) => {
                log::warn!(service:% = service, cause:% = error; "listing instances failed");
                tokio::time::sleep(jittered(RETRY_DELAY)).await;
                continue;
            }
        };
        let mut after = listing.version;
        update(&node, |members| members.replace(&service, listing.objects));
        loop {
            match node.store.watch(&kind, after, WATCH_WAIT).await {
                Ok(changes) => {
                    after = after.max(changes.version);
                    if !changes.objects.is_empty() {
                        update(&node, |members| members.apply(&service, changes.objects));
                        tokio::time::sleep(jittered(SETTLE_DELAY)).await;
                    }
                }
                Err(StoreError::Expired) => continue 'list,
                Err(error) => {
                    log::warn!(service:% = service, cause:% = error; "watching instances failed");
                    tokio::time::sleep(jittered(RETRY_DELAY)).await;
                    // Changes may have been missed by a watch that was cut.
                    continue 'list;
                }
            }
        }
    }
}

fn update<D: Dialect>(node: &Node<D>, change: impl FnOnce(&mut crate::mesh::Members)) {
    let mut members = crate::mesh::Members::clone(&node.members.load());
    change(&mut members);
    node.members.store(Arc::new(members));
}

/// Publishes the node's own record whenever it changes.
pub async fn publish<D: Dialect>(node: Arc<Node<D>>) {
    let mut published: Option<(ServiceName, InstanceRecord)> = None;
    let mut version: ObjectVersion = 0;
    loop {
        let wanted = own_record(&node);
        if published.as_ref() == Some(&wanted) {
            node.record_changed.notified().await;
            continue;
        }
        let (service, record) = &wanted;
        let value = match serde_json::to_value(record) {
            Ok(value) => value,
            Err(error) => {
                log::error!(cause:% = error; "the instance record has no JSON form");
                return;
            }
        };
        let kind = kind_of(service);
        match node.store.put(&kind, &node.settings.instance, value, version).await {
            Ok(written) => {
                log::info!(version = written, leaving = record.leaving; "instance record published");
                version = written;
                published = Some(wanted);
            }
            Err(StoreError::Conflict { current }) => version = current,
            Err(error) => {
                log::warn!(cause:% = error; "publishing the instance record failed");
                tokio::time::sleep(jittered(RETRY_DELAY)).await;
            }
        }
    }
}

fn own_record<D: Dialect>(node: &Node<D>) -> (ServiceName, InstanceRecord) {
    let registry = node.registry.lock();
    let upstream = registry.current();
    let service = upstream.map_or(&node.settings.service, |it| &it.heartbeat.service);
    let record = InstanceRecord {
        incarnation: node.incarnation,
        zone: node.settings.zone.clone(),
        peer_address: node.settings.listen.peers,
        leaving: node.is_leaving(),
        upstream: upstream.map(|upstream| {
            let state =
                if upstream.is_ready() { UpstreamState::Ready } else { UpstreamState::Draining };
            let heartbeat = &upstream.heartbeat;
            UpstreamRecord::new(heartbeat.upstream.clone(), heartbeat.slots, state)
        }),
    };
    (service.clone(), record)
}

/// Spreads calls of nodes that began at the same moment.
fn jittered(pause: Duration) -> Duration {
    pause.mul_f64(rand::rng().random_range(0.85..1.15))
}
