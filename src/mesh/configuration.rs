//! The operators' configuration: read from the store by few nodes, passed on by the others.
//!
//! A key may be accepted only while the configuration is known to be current. What proves that is
//! a read of the store that began lately, the node's own or that of a node that answered a
//! question; the age counts from before the read, and adds up on the way.

use std::{
    io::{Read as _, Write as _},
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};
use serde_json::Value;
use tokio::time::{sleep, timeout};

use crate::{
    clock::{self, Timestamp},
    mesh::{
        Catalog, Dialect, Node,
        pause::{Backoff, jittered},
        sync,
    },
    store::{ObjectApi as _, ObjectVersion, StoreError},
};

/// Age of the proof at which the first hub reads the store; with the exchange between nodes it
/// must stay below the bound in which a change is in force.
const HUB_READ_AGE: Duration = Duration::from_millis(650);
/// Age at which any other node does, and the part by which it varies, so that one read serves all.
const READ_AGE: Duration = Duration::from_millis(1450);
const READ_AGE_SPREAD: f64 = 0.14;
/// Time between two looks at the age.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Pause after a failed read; it doubles up to the longest.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(200);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(800);
/// Part by which that varies.
const RETRY_SPREAD: f64 = 0.3;
/// Largest configuration that is accepted from another node.
const MAX_CATALOG_BYTES: u64 = 64 << 20;

/// The configuration as it lies in the store, for other nodes.
#[derive(Debug, Clone)]
pub struct CatalogSource {
    /// Version of the object in the store.
    pub version: ObjectVersion,
    /// JSON text, compressed.
    pub compressed: Bytes,
}

/// Reads the configuration whenever its proof has become old.
pub async fn run<D: Dialect>(node: Arc<Node<D>>) {
    let mut backoff = Backoff::new(FIRST_RETRY_DELAY, MAX_RETRY_DELAY);
    let mut read_age = jittered(READ_AGE, READ_AGE_SPREAD);
    loop {
        let due = match node.is_first_hub(clock::now()) {
            true => HUB_READ_AGE,
            false => read_age,
        };
        if node.proof.age(clock::now()) < due {
            let _ = timeout(CHECK_INTERVAL, node.refresh_requested.notified()).await;
            ask_refresh_source(&node).await;
            continue;
        }
        read_age = jittered(READ_AGE, READ_AGE_SPREAD);
        match read(&node).await {
            Ok(()) => backoff.reset(),
            Err(error) => {
                log::warn!(
                    cause:% = error, proof_age_ms = age_ms(&node);
                    "reading the configuration failed"
                );
                let pause = jittered(backoff.next_delay(), RETRY_SPREAD);
                let _ = timeout(pause, node.refresh_requested.notified()).await;
                ask_refresh_source(&node).await;
            }
        }
    }
}

fn age_ms<D: Dialect>(node: &Node<D>) -> u64 {
    clock::millis(node.proof.age(clock::now()))
}

/// Asks a node that claims to know of a newer read or a newer configuration.
async fn ask_refresh_source<D: Dialect>(node: &Arc<Node<D>>) {
    let Some(instance) = node.take_refresh_source() else { return };
    let Some(address) = node.members.load().addresses().get(&instance).cloned() else { return };
    if let Err(cause) = sync::exchange_once(node, &address).await {
        log::debug!(instance:% = instance, cause = cause; "a node with a newer proof does not answer");
    }
}

async fn read<D: Dialect>(node: &Node<D>) -> Result<(), StoreError> {
    let (kind, name) = D::CONFIGURATION;
    let began = clock::now();
    let Some(object) = node.store.get(kind, name).await? else {
        sleep(FIRST_RETRY_DELAY).await;
        return Ok(());
    };
    match object.value {
        Some(_) if object.version == node.catalog_version() => node.proof.record_read(began),
        Some(value) => take(node, began, &value, object.version, None),
        None => log::warn!("the configuration has been deleted"),
    }
    Ok(())
}

/// Takes what another node answered to a question that was asked at `asked`.
pub fn apply_peer_configuration<D: Dialect>(
    node: &Node<D>,
    asked: Timestamp,
    compressed: &Bytes,
    version: ObjectVersion,
    proof_age_ms: u32,
) {
    let Some(began) = sync::proof_read_at(asked, proof_age_ms) else { return };
    if version == node.catalog_version() {
        node.proof.record_read(began);
        return;
    }
    if version < node.catalog_version() || compressed.is_empty() {
        return;
    }
    let mut text = Vec::new();
    let read = DeflateDecoder::new(&**compressed).take(MAX_CATALOG_BYTES).read_to_end(&mut text);
    match read.map_err(serde_json::Error::io).and_then(|_| serde_json::from_slice(&text)) {
        Ok(value) => take(node, began, &value, version, Some(compressed.clone())),
        Err(error) => log::error!(cause:% = error; "unreadable configuration of another node"),
    }
}

/// Puts a configuration in force here where it is newer.
fn take<D: Dialect>(
    node: &Node<D>,
    began: Timestamp,
    value: &Value,
    version: ObjectVersion,
    compressed: Option<Bytes>,
) {
    let parts = match D::catalog(value, version) {
        Ok(parts) => parts,
        Err(cause) => {
            log::error!(version = version, cause = cause; "unusable configuration");
            return;
        }
    };
    let compressed = match compressed.map_or_else(|| compress(value), Ok) {
        Ok(compressed) => compressed,
        Err(error) => {
            log::error!(version = version, cause:% = error; "the configuration cannot be passed on");
            Bytes::new()
        }
    };
    let source = CatalogSource { version, compressed };
    let catalog = Catalog::new(parts);
    let (revision, routes) = (catalog.revision, catalog.route_count());
    let bytes = source.compressed.len();
    if node.adopt_catalog(catalog, source) {
        log::info!(
            revision = revision, version = version, routes = routes, compressed_bytes = bytes,
            proof_age_ms = age_ms(node);
            "configuration is in force here"
        );
    }
    if version == node.catalog_version() {
        node.proof.record_read(began);
    }
}

fn compress(value: &Value) -> std::io::Result<Bytes> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::default());
    encoder.write_all(value.to_string().as_bytes())?;
    Ok(encoder.finish()?.into())
}
