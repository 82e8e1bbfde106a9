//! Registration of the node's address in the store, and reading of the fleet's addresses.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use futures::future::join_all;
use serde::Deserialize as _;
use tokio::time::{sleep, timeout};

use crate::{
    clock,
    mesh::{
        Dialect, InstanceAddress, Node,
        pause::{Backoff, jittered},
        sync,
    },
    names::InstanceName,
    store::{ObjectApi as _, ObjectVersion, StoreError},
};

/// Kind of the store objects that hold the instances' addresses.
pub(super) const KIND_INSTANCES: &str = "hibiscusdoor-instances";
/// Delay after a failed call to the store; it doubles with each further failure up to
/// [`MAX_RETRY_DELAY`].
pub(super) const FIRST_RETRY_DELAY: Duration = Duration::from_millis(250);
pub(super) const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);
/// Jitter of all pauses, as a fraction of each.
const PAUSE_JITTER: f64 = 0.2;
/// Time between two reads of all addresses, which drop the instances that were removed permanently.
const REFRESH_INTERVAL: Duration = Duration::from_secs(60);
/// Time over which the nodes of a fleet check their registrations after the store has come back from a
/// copy, so that they do not all call it at its return.
const RESTORE_SPREAD: Duration = Duration::from_secs(5);
/// The same after a node is back in contact with the others, which may have removed its registration.
const CHECK_SPREAD: Duration = Duration::from_millis(500);
/// Time between two checks of the first hub for registrations to remove.
const REMOVAL_INTERVAL: Duration = Duration::from_millis(500);
/// Pauses after the registration and after the next read: when a whole fleet starts, other nodes
/// register at about the same time.
const EARLY_READ_PAUSES: [Duration; 2] = [Duration::from_millis(700), Duration::from_secs(3)];

/// Registers the node in the store, and reads the addresses of the fleet periodically.
pub async fn register<D: Dialect>(node: Arc<Node<D>>) {
    let mut backoff = Backoff::new(FIRST_RETRY_DELAY, MAX_RETRY_DELAY);
    // Reads since the registration; `None` before it, and where the store had the address.
    let mut reads: Option<usize> = None;
    let mut era = node.era.subscribe();
    let mut may_be_lost = false;
    let mut invalid = InvalidInstances::new();
    loop {
        let registration = match may_be_lost {
            true => restore_registration(&node).await,
            false => read_and_register(&node, reads, &mut invalid).await,
        };
        let pause = match registration {
            Ok(registration) => {
                backoff.reset();
                may_be_lost = false;
                reads = match registration {
                    Registration::New => Some(0),
                    Registration::Known => reads.map(|reads| reads + 1),
                };
                let early_pause = reads.and_then(|reads| EARLY_READ_PAUSES.get(reads));
                early_pause.copied().unwrap_or(REFRESH_INTERVAL)
            }
            Err(error) => {
                log::warn!(
                    cause:% = error;
                    "registering in the store failed; requesting the addresses from the seeds"
                );
                // Without the store, the seeds provide the records of the fleet.
                query_seeds(&node).await;
                backoff.next_delay()
            }
        };
        let wake = async {
            tokio::select! {
                _ = era.changed() => RESTORE_SPREAD,
                () = node.registration_check.notified() => CHECK_SPREAD,
            }
        };
        if let Ok(spread) = timeout(jittered(pause, PAUSE_JITTER), wake).await {
            may_be_lost = true;
            sleep(spread.mul_f64(rand::random())).await;
        }
    }
}

/// Removes the registrations of lost instances, while the node is the first hub.
pub async fn remove_lost<D: Dialect>(node: Arc<Node<D>>) {
    let mut backoff = Backoff::new(FIRST_RETRY_DELAY, MAX_RETRY_DELAY * 2);
    loop {
        sleep(REMOVAL_INTERVAL).await;
        let now = clock::now();
        if !node.is_first_hub(now) || !node.homes.lock().has_stated_majorities(now, 0) {
            continue;
        }
        let due = node.directory.lock().removable(now, &node.settings.instance);
        let node = &node;
        let removals = due.iter().map(|(instance, address)| async move {
            (instance, remove_registration(node, instance, address).await)
        });
        for (instance, removed) in join_all(removals).await {
            match removed {
                Ok(()) => backoff.reset(),
                Err(error) => {
                    log::warn!(
                        instance:% = instance, cause:% = error;
                        "removing the registration of a lost instance failed; retrying after a pause"
                    );
                    sleep(backoff.next_delay()).await;
                }
            }
        }
    }
}

/// Removes the registration of a lost instance, unless the instance answers or has registered at another
/// address.
async fn remove_registration<D: Dialect>(
    node: &Arc<Node<D>>,
    instance: &InstanceName,
    address: &InstanceAddress,
) -> Result<(), StoreError> {
    if sync::exchange_once(node, address).await.is_ok() {
        log::info!(instance:% = instance; "an instance that was taken for lost answers; kept it");
        let mut directory = node.directory.lock();
        if directory.record_contact(clock::now(), instance) {
            node.members.store(Arc::new(directory.members()));
        }
        return Ok(());
    }
    if let Some(object) = node.store.get(KIND_INSTANCES, instance).await?
        && let Some(value) = object.value
    {
        // A value that is no address is removed, too: no node can use it.
        let stored = InstanceAddress::deserialize(value).ok();
        if stored.is_some_and(|stored| stored != *address) {
            log::info!(instance:% = instance; "a lost instance has registered at another address");
            node.remove_instance(instance);
            return Ok(());
        }
        // The condition keeps a registration that was written after the read.
        node.store.delete(KIND_INSTANCES, instance, object.version).await?;
    }
    node.remove_instance(instance);
    log::warn!(
        instance:% = instance, address:% = address.peer_address,
        instances = node.members.load().len();
        "removed the registration of a lost instance"
    );
    Ok(())
}

/// Instances with an invalid address in the last list, with the versions of their objects.
type InvalidInstances = BTreeMap<InstanceName, ObjectVersion>;

/// Whether the store already had the node's address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Registration {
    New,
    Known,
}

/// Reads the addresses of the fleet and writes the node's own if the store does not have it; `reads`
/// counts the reads since it was written.
///
/// The addresses are read first, since a node that knows others is reached by them even where the
/// store takes no write. A list that is some seconds old does no harm: the records of all instances
/// come from the hubs, and a conflict tells the version of an earlier registration. A node that still
/// knows no other may have started with the whole fleet, and needs the present list.
async fn read_and_register<D: Dialect>(
    node: &Node<D>,
    reads: Option<usize>,
    invalid: &mut InvalidInstances,
) -> Result<Registration, StoreError> {
    let is_alone = reads == Some(0) && node.members.load().len() <= 1;
    let listing = match is_alone {
        true => node.store.list(KIND_INSTANCES).await?,
        false => node.store.list_stale(KIND_INSTANCES).await?,
    };
    let own_name = &node.settings.instance;
    let own = node.own_record().address;
    let mut version: ObjectVersion = 0;
    let mut addresses: BTreeMap<InstanceName, InstanceAddress> = BTreeMap::new();
    let reported = std::mem::take(invalid);
    for object in listing.objects {
        let Some(value) = object.value else { continue };
        if object.name == *own_name {
            version = object.version;
        }
        // The client of the store has logged a value that it cannot read.
        if value.is_null() {
            continue;
        }
        match serde_json::from_value(value) {
            Ok(address) => drop(addresses.insert(object.name, address)),
            Err(error) => {
                if reported.get(&object.name) != Some(&object.version) {
                    log::warn!(
                        kind = KIND_INSTANCES, instance:% = object.name, cause:% = error;
                        "ignored an instance in the store with an invalid address"
                    );
                }
                invalid.insert(object.name, object.version);
            }
        }
    }
    let is_listed = addresses.get(own_name) == Some(&own);
    addresses.insert(own_name.clone(), own.clone());
    node.set_stored_addresses(addresses);
    node.drop_unknown_peers();
    // The early reads may return a state from before the registration.
    if is_listed || reads.is_some_and(|reads| reads < EARLY_READ_PAUSES.len()) {
        return Ok(Registration::Known);
    }
    write_address(node, version).await?;
    Ok(Registration::New)
}

/// Writes the node's address again if the store has lost it by coming back from a copy.
///
/// It reads only the node's own object: a list may be one from before the loss.
async fn restore_registration<D: Dialect>(node: &Node<D>) -> Result<Registration, StoreError> {
    let stored = node.store.get(KIND_INSTANCES, &node.settings.instance).await?;
    let own = node.own_record().address;
    let is_stored = stored.as_ref().and_then(|it| it.value.as_ref()).is_some_and(|value| {
        InstanceAddress::deserialize(value).is_ok_and(|address| address == own)
    });
    if is_stored {
        return Ok(Registration::Known);
    }
    write_address(node, stored.map_or(0, |it| it.version)).await?;
    Ok(Registration::New)
}

/// Writes the node's address in place of the object with this version; 0 if there is none.
async fn write_address<D: Dialect>(
    node: &Node<D>,
    version: ObjectVersion,
) -> Result<(), StoreError> {
    let own_name = &node.settings.instance;
    let value = serde_json::to_value(node.own_record().address).map_err(|error| {
        StoreError::Refused(format!("the registration has no JSON form: {error}"))
    })?;
    let written = match node.store.put(KIND_INSTANCES, own_name, value.clone(), version).await {
        Err(StoreError::Conflict { current }) if current != version => {
            node.store.put(KIND_INSTANCES, own_name, value, current).await?
        }
        result => result?,
    };
    log::info!(version = written; "registered the node's address in the store");
    Ok(())
}

async fn query_seeds<D: Dialect>(node: &Arc<Node<D>>) {
    for seed in &node.live_settings.load_full().seeds {
        let address = InstanceAddress { zone: node.settings.zone.clone(), peer_address: *seed };
        if let Err(cause) = sync::exchange_once(node, &address).await {
            log::debug!(seed:% = seed, cause = cause; "exchange with the seed failed");
        }
    }
}

/// Removes the node's address from the store, since its instance is removed permanently.
pub async fn deregister<D: Dialect>(node: &Node<D>) {
    let name = &node.settings.instance;
    let removed = async {
        let Some(object) = node.store.get(KIND_INSTANCES, name).await? else { return Ok(()) };
        node.store.delete(KIND_INSTANCES, name, object.version).await
    };
    match removed.await {
        Ok(()) => log::info!("removed the node's address from the store"),
        Err(error) => {
            log::warn!(
                cause:% = error;
                "removing the node's address from the store failed; it stays there"
            )
        }
    }
}
