//! Registration of the node's address in the store, and reading of the fleet's addresses.

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

/// Kind of the store objects that hold the instances' addresses.
const KIND_INSTANCES: &str = "hibiscusdoor-instances";
/// Delay after a failed call to the store; it doubles with each further failure up to
/// [`MAX_RETRY_DELAY`].
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(250);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);
/// Jitter of all pauses, as a fraction of each.
const PAUSE_JITTER: f64 = 0.2;
/// Time between two reads of all addresses, which drop the instances that were removed permanently.
const REFRESH_INTERVAL: Duration = Duration::from_secs(60);
/// Times between the first reads after the node's first registration: when a whole fleet starts, other
/// nodes register at about the same time.
const EARLY_REFRESH_INTERVALS: [Duration; 2] = [Duration::from_millis(700), Duration::from_secs(3)];

/// Registers the node in the store, and reads the addresses of the fleet periodically.
pub async fn register<D: Dialect>(node: Arc<Node<D>>) {
    let mut backoff = Backoff::new(FIRST_RETRY_DELAY, MAX_RETRY_DELAY);
    let mut early_refreshes = [].iter();
    loop {
        let pause = match read_and_register(&node).await {
            Ok(registration) => {
                backoff.reset();
                if registration == Registration::New {
                    early_refreshes = EARLY_REFRESH_INTERVALS.iter();
                }
                early_refreshes.next().copied().unwrap_or(REFRESH_INTERVAL)
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
        sleep(jittered(pause, PAUSE_JITTER)).await;
    }
}

/// Whether the store already had the node's address.
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
                log::warn!(
                    instance:% = object.name, cause:% = error;
                    "ignored an instance in the store with an invalid address"
                );
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
    log::info!(version = written; "registered the node's address in the store");
    Ok(Registration::New)
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
