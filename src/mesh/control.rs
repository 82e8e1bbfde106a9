//! The node's own entry in the store, and the addresses of the others.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use tokio::time::sleep;

use crate::{
    mesh::{
        Dialect, InstanceAddress, Node,
        pause::{Backoff, jittered},
        sync,
    },
    names::InstanceName,
    store::{ObjectApi as _, ObjectVersion, StoreError},
};

/// Kind of the objects that tell where each instance is.
const KIND_INSTANCES: &str = "hibiscusdoor-instances";
/// Pause after a call to the store failed; it doubles up to the longest.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(250);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);
/// Part by which pauses vary.
const PAUSE_SPREAD: f64 = 0.2;
/// Time between two readings of all addresses: instances that are gone for good disappear by it.
const REFRESH_INTERVAL: Duration = Duration::from_secs(60);
/// The same after the node has registered for the first time: others may have done so at the same
/// moment, when a whole fleet starts.
const EARLY_REFRESHES: [Duration; 2] = [Duration::from_millis(700), Duration::from_secs(3)];

/// Registers the node in the store and keeps the addresses of the fleet.
pub async fn register<D: Dialect>(node: Arc<Node<D>>) {
    let mut backoff = Backoff::new(FIRST_RETRY_DELAY, MAX_RETRY_DELAY);
    let mut early_refreshes = [].iter();
    loop {
        let pause = match read_and_register(&node).await {
            Ok(registration) => {
                backoff.reset();
                if registration == Registration::New {
                    early_refreshes = EARLY_REFRESHES.iter();
                }
                early_refreshes.next().copied().unwrap_or(REFRESH_INTERVAL)
            }
            Err(error) => {
                log::warn!(cause:% = error; "registering in the store failed");
                // Without the store, the seeds tell of the others.
                ask_seeds(&node).await;
                backoff.next_delay()
            }
        };
        sleep(jittered(pause, PAUSE_SPREAD)).await;
    }
}

/// Whether the store had the node's address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Registration {
    New,
    Known,
}

async fn read_and_register<D: Dialect>(node: &Node<D>) -> Result<Registration, StoreError> {
    let listing = node.store.list(KIND_INSTANCES).await?;
    let own_name = &node.settings.instance;
    let own = node.own_record().address;
    let mut version: ObjectVersion = 0;
    let mut addresses: BTreeMap<InstanceName, InstanceAddress> = BTreeMap::new();
    for object in listing.objects {
        let Some(value) = object.value else { continue };
        if object.name == *own_name {
            version = object.version;
        }
        match serde_json::from_value(value) {
            Ok(address) => drop(addresses.insert(object.name, address)),
            Err(error) => {
                log::warn!(instance:% = object.name, cause:% = error; "unreadable address");
            }
        }
    }
    let is_registered = addresses.get(own_name) == Some(&own);
    addresses.insert(own_name.clone(), own.clone());
    node.set_stored_addresses(addresses);
    if is_registered {
        return Ok(Registration::Known);
    }
    let value = serde_json::to_value(&own)
        .map_err(|error| StoreError::Refused(format!("the address has no JSON form: {error}")))?;
    let written = node.store.put(KIND_INSTANCES, own_name, value, version).await?;
    log::info!(version = written; "registered in the store");
    Ok(Registration::New)
}

async fn ask_seeds<D: Dialect>(node: &Arc<Node<D>>) {
    for seed in &node.live_settings.load_full().seeds {
        let address = InstanceAddress { zone: node.settings.zone.clone(), peer_address: *seed };
        if let Err(cause) = sync::exchange_once(node, &address).await {
            log::debug!(seed:% = seed, cause = cause; "a seed does not answer");
        }
    }
}

/// Removes the node's entry, since its instance goes for good.
pub async fn deregister<D: Dialect>(node: &Node<D>) {
    let name = &node.settings.instance;
    let removed = async {
        let Some(object) = node.store.get(KIND_INSTANCES, name).await? else { return Ok(()) };
        node.store.delete(KIND_INSTANCES, name, object.version).await
    };
    match removed.await {
        Ok(()) => log::info!("removed from the store"),
        Err(error) => log::warn!(cause:% = error; "removing the entry in the store failed"),
    }
}
