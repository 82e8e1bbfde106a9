//! The operators' configuration: a few nodes read it from the store and distribute it to the others.
//!
//! Keys may be accepted only while the configuration is known to be current. The freshness proof is a
//! recent read of the store, made by this node or by one that replied to its request. The proof's age
//! counts from the start of the read; a node that receives the proof in a reply adds the time since it
//! sent its request. A read that returns an earlier configuration than the one in force proves it too:
//! nothing later was acknowledged, unless the store has lost it by coming back from a copy.

use std::{
    io::{Read as _, Write as _},
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};
use serde_json::Value;
use tokio::time::{Instant, timeout, timeout_at};

use crate::{
    clock::{self, Timestamp},
    mesh::{
        Catalog, Dialect, Node, Position,
        pause::{Backoff, jittered},
        proto, sync,
    },
    store::{ObjectApi as _, StoreError},
};

/// Age of the freshness proof at which the first hub reads the store. This age and the time of the
/// exchanges that distribute the configuration must together stay below the bound within which a change
/// must be in force.
const HUB_READ_AGE: Duration = Duration::from_millis(650);
/// Age of the proof at which any other node reads the store. It is above [`HUB_READ_AGE`], and jittered,
/// so that usually one read serves all nodes.
const READ_AGE: Duration = Duration::from_millis(1450);
/// Jitter of [`READ_AGE`], as a fraction of it.
const READ_AGE_JITTER: f64 = 0.14;
/// Longest time between two checks of the proof's age: the node may become the first hub in between.
const MAX_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Delay after a read that failed or left the proof too old; it doubles with each further one up to
/// [`MAX_RETRY_DELAY`]. Without a delay, all nodes read in a loop while the store held a configuration
/// that they did not accept.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(200);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(800);
/// Pause after a read that found no configuration, of a node that is not the first hub of others. The
/// first hub reads again after [`HUB_READ_AGE`], and its exchanges distribute what it finds. A fleet of
/// 95 nodes that each read five times a second made most of its calls of a day at its start.
const MISSING_PAUSE: Duration = Duration::from_secs(2);
/// Jitter of the delay after a failed read, as a fraction of it.
const RETRY_JITTER: f64 = 0.3;
/// Largest configuration, uncompressed, that is accepted from another node.
const MAX_CATALOG_BYTES: u64 = 64 << 20;

/// The configuration as compressed text, which is sent to other nodes.
#[derive(Debug, Clone)]
pub struct CatalogSource {
    /// Position among the configurations that the operators have written.
    pub position: Position,
    /// JSON text, compressed with DEFLATE; empty if compression failed.
    pub compressed: Bytes,
}

/// Renews the freshness proof: reads the configuration from the store when the proof is too old, and
/// requests it from nodes that report a fresher one.
pub async fn run<D: Dialect>(node: Arc<Node<D>>) {
    let mut backoff = Backoff::new(FIRST_RETRY_DELAY, MAX_RETRY_DELAY);
    let mut read_age = jittered(READ_AGE, READ_AGE_JITTER);
    let mut older = None;
    loop {
        let max_age = match node.is_first_hub(clock::now()) {
            true => HUB_READ_AGE,
            false => read_age,
        };
        let remaining = max_age.saturating_sub(node.proof.age(clock::now()));
        if !remaining.is_zero() {
            let pause = remaining.min(MAX_CHECK_INTERVAL);
            let _ = timeout(pause, node.refresh_requested.notified()).await;
            query_refresh_source(&node).await;
            continue;
        }
        read_age = jittered(READ_AGE, READ_AGE_JITTER);
        let pause = match read_store(&node, &mut older).await {
            Ok(StoreRead::Found) if node.proof.age(clock::now()) < max_age => {
                backoff.reset();
                continue;
            }
            Ok(StoreRead::Found) => jittered(backoff.next_delay(), RETRY_JITTER),
            Ok(StoreRead::Missing) => {
                let is_hub_of_others =
                    node.is_first_hub(clock::now()) && node.members.load().len() > 1;
                match is_hub_of_others {
                    true => HUB_READ_AGE,
                    false => jittered(MISSING_PAUSE, RETRY_JITTER),
                }
            }
            Err(error) => {
                log::warn!(
                    cause:% = error, proof_age_ms = current_proof_age_ms(&node);
                    "reading the configuration from the store failed; retrying after a pause"
                );
                jittered(backoff.next_delay(), RETRY_JITTER)
            }
        };
        pause_reads(&node, pause, max_age).await;
    }
}

/// Waits before the next read, at most until the proof is younger than `max_age`. Nodes that report a
/// newer configuration or a fresher proof are queried meanwhile; they do not shorten the wait.
async fn pause_reads<D: Dialect>(node: &Arc<Node<D>>, pause: Duration, max_age: Duration) {
    let until = Instant::now() + pause;
    while node.proof.age(clock::now()) >= max_age
        && timeout_at(until, node.refresh_requested.notified()).await.is_ok()
    {
        query_refresh_source(node).await;
    }
}

fn current_proof_age_ms<D: Dialect>(node: &Node<D>) -> u64 {
    clock::to_millis(node.proof.age(clock::now()))
}

/// Makes an exchange with the node that last reported a newer configuration or a fresher proof.
async fn query_refresh_source<D: Dialect>(node: &Arc<Node<D>>) {
    let Some(instance) = node.take_refresh_source() else { return };
    let Some(address) = node.members.load().addresses().get(&instance).cloned() else { return };
    if let Err(cause) = sync::exchange_once(node, &address).await {
        log::debug!(
            instance:% = instance, cause = cause;
            "exchange with the node that reported a newer configuration or proof failed"
        );
    }
}

/// Whether the store has a configuration.
enum StoreRead {
    Found,
    Missing,
}

/// Reads the configuration from the store; `older` is the last one read that is earlier than the one in
/// force, so that it is reported once.
async fn read_store<D: Dialect>(
    node: &Node<D>,
    older: &mut Option<Position>,
) -> Result<StoreRead, StoreError> {
    let (kind, name) = D::CONFIGURATION;
    let began = clock::now();
    let Some(object) = node.store.get(kind, name).await? else {
        return Ok(StoreRead::Missing);
    };
    node.record_era(object.era);
    let Some(value) = object.value else {
        log::warn!(
            "the configuration object in the store has been deleted; the one in force stays"
        );
        return Ok(StoreRead::Found);
    };
    if value.is_null() {
        return Err(StoreError::NoAnswer("the configuration cannot be read".to_owned()));
    }
    let position = Position {
        revision: D::revision(&value).unwrap_or_default(),
        era: object.era,
        version: object.version,
    };
    let in_force = node.position();
    if position > in_force {
        apply_configuration(node, Some(began), &value, position, None);
        return Ok(StoreRead::Found);
    }
    if position < in_force && *older != Some(position) {
        *older = Some(position);
        log::warn!(
            read:? = position, in_force:? = in_force;
            "the store holds an earlier configuration than the one in force, which stays"
        );
    }
    node.proof.record_read(began);
    Ok(StoreRead::Found)
}

/// Applies the configuration and the freshness proof in the reply to a request sent at `sent_at`.
pub fn apply_peer_configuration<D: Dialect>(
    node: &Node<D>,
    sent_at: Timestamp,
    reply: &proto::SyncReply,
) {
    let peer_position = reply.position.map(Position::from);
    let began = sync::proof_read_at(sent_at, reply.proof_age_ms);
    if let Some(position) = peer_position {
        node.record_era(position.era);
        if position <= node.position() {
            // What was the latest at the peer's read is not later than what is in force here.
            if let Some(began) = began {
                node.proof.record_read(began);
            }
            return;
        }
    }
    if reply.catalog.is_empty() {
        return;
    }
    let mut text = Vec::new();
    let read = DeflateDecoder::new(&*reply.catalog).take(MAX_CATALOG_BYTES).read_to_end(&mut text);
    let value: Value =
        match read.map_err(serde_json::Error::io).and_then(|_| serde_json::from_slice(&text)) {
            Ok(value) => value,
            Err(error) => {
                log::error!(
                    cause:% = error;
                    "ignored the configuration of another node: it is not valid compressed JSON"
                );
                return;
            }
        };
    // A node of an earlier build states no position, and its proof may rest on a version that the store
    // has given out twice.
    let (position, began) = match peer_position {
        Some(position) => (position, began),
        None => {
            let revision = D::revision(&value).unwrap_or_default();
            (Position { revision, era: 0, version: reply.catalog_version }, None)
        }
    };
    apply_configuration(node, began, &value, position, Some(reply.catalog.clone()));
}

/// Puts a configuration in force at this node if it is newer, and records the freshness proof of the
/// read that began at `began` if it or a later one is in force afterwards.
fn apply_configuration<D: Dialect>(
    node: &Node<D>,
    began: Option<Timestamp>,
    value: &Value,
    position: Position,
    compressed: Option<Bytes>,
) {
    let parts = match D::catalog(value, position.version) {
        Ok(parts) => parts,
        Err(cause) => {
            log::error!(
                position:? = position, cause = cause;
                "ignored an invalid configuration; the one in force stays"
            );
            return;
        }
    };
    let compressed = match compressed.map_or_else(|| compress(value), Ok) {
        Ok(compressed) => compressed,
        Err(error) => {
            log::error!(
                position:? = position, cause:% = error;
                "compressing the configuration failed; other nodes must read it from the store"
            );
            Bytes::new()
        }
    };
    let source = CatalogSource { position, compressed };
    let catalog = Catalog::new(parts);
    let (revision, routes) = (catalog.revision, catalog.route_count());
    let bytes = source.compressed.len();
    if node.adopt_catalog(catalog, source) {
        log::info!(
            revision = revision, version = position.version, era = position.era, routes = routes,
            compressed_bytes = bytes,
            proof_age_ms = current_proof_age_ms(node);
            "configuration is in force here"
        );
    }
    if let Some(began) = began.filter(|_| position <= node.position()) {
        node.proof.record_read(began);
    }
}

fn compress(value: &Value) -> std::io::Result<Bytes> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::default());
    encoder.write_all(value.to_string().as_bytes())?;
    Ok(encoder.finish()?.into())
}
