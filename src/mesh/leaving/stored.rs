//! Departures of upstreams in the store, which outlive all processes of the fleet.
//!
//! Each instance has one object with its recent departures. It is written before a departure is acknowledged,
//! and does not end with the registration of the instance, since messages of an upstream may arrive after its
//! node has stopped. The first hub removes objects that have not changed for a while.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use serde::{Deserialize, Serialize};
use tokio::{
    sync::{Notify, watch},
    time::sleep,
};

use crate::{
    clock,
    mesh::{
        Dialect, Node, UpstreamRecord,
        control::{FIRST_RETRY_DELAY, KIND_INSTANCES, MAX_RETRY_DELAY},
        pause::{Backoff, jittered},
    },
    names::InstanceName,
    store::{ObjectApi as _, ObjectVersion, StoreError},
};

/// Kind of the store objects that hold the departures of the instances.
const KIND_DEPARTURES: &str = "hibiscusdoor-departures";
/// Time between two checks for objects to remove. One that has not changed between two checks is removed: no
/// message of the upstream is delayed for as long.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(60);
/// Jitter of [`EXPIRY_INTERVAL`], as a fraction of it.
const EXPIRY_JITTER: f64 = 0.2;

/// Content of an object.
#[derive(Debug, Default, Serialize, Deserialize)]
struct StoredDepartures {
    departures: Vec<StoredDeparture>,
}

/// An upstream that has left or is leaving.
#[derive(Debug, Serialize, Deserialize)]
struct StoredDeparture {
    upstream: InstanceName,
    /// Whether it has sent its leave message.
    left: bool,
    /// Time of its start in milliseconds since 1970; 0 if it is unknown.
    started_unix_ms: u64,
    /// Sequence number of the heartbeat from which on it is leaving.
    sequence: u64,
}

/// Registration of an earlier build, which held the state of a leaving upstream.
#[derive(Debug, Deserialize)]
struct StoredRegistration {
    #[serde(default)]
    leaving: Option<StoredDeparture>,
}

impl From<&UpstreamRecord> for StoredDeparture {
    fn from(record: &UpstreamRecord) -> Self {
        Self {
            upstream: record.id.clone(),
            left: record.has_left,
            started_unix_ms: record.started_unix_ms,
            sequence: record.sequence,
        }
    }
}

impl From<StoredDeparture> for UpstreamRecord {
    fn from(stored: StoredDeparture) -> Self {
        let StoredDeparture { upstream, left, started_unix_ms, sequence } = stored;
        Self::leaving(upstream, left, started_unix_ms, sequence)
    }
}

/// What the store holds of the departures of this node's upstreams.
#[derive(Debug)]
pub struct DepartureLog {
    /// The departures that were written last.
    stored: watch::Sender<Vec<UpstreamRecord>>,
    /// Notified when they should be written.
    requested: Notify,
    /// Version of the object; 0 if there is none or it is unknown.
    version: AtomicU64,
}

impl Default for DepartureLog {
    fn default() -> Self {
        let (stored, requested, version) = Default::default();
        Self { stored: watch::Sender::new(stored), requested, version }
    }
}

impl DepartureLog {
    /// Requests a write of the departures, and waits until the store has this one.
    pub(super) async fn store(&self, departure: &UpstreamRecord) {
        let mut stored = self.stored.subscribe();
        if stored.borrow().contains(departure) {
            return;
        }
        self.requested.notify_one();
        // The sender lives as long as the node, so waiting cannot fail.
        let _ = stored.wait_for(|stored| stored.contains(departure)).await;
    }
}

/// Writes the departures when it is requested, and again when the store has come back from a copy.
pub async fn write_departures<D: Dialect>(node: Arc<Node<D>>) {
    let mut backoff = Backoff::new(FIRST_RETRY_DELAY, MAX_RETRY_DELAY);
    let mut era = node.era.subscribe();
    loop {
        tokio::select! {
            () = node.departures.requested.notified() => {}
            // Versions are given out again in the new era.
            _ = era.changed() => node.departures.version.store(0, Ordering::Relaxed),
        }
        loop {
            match write(&node).await {
                Ok(departures) => {
                    backoff.reset();
                    node.departures.stored.send_replace(departures);
                    break;
                }
                Err(error) => {
                    log::warn!(
                        cause:% = error;
                        "writing the departure of the upstream to the store failed; retrying"
                    );
                    sleep(backoff.next_delay()).await;
                }
            }
        }
    }
}

/// Writes the departures, if there are any, and returns them.
async fn write<D: Dialect>(node: &Node<D>) -> Result<Vec<UpstreamRecord>, StoreError> {
    let known_version = node.departures.version.load(Ordering::Relaxed);
    let (departures, written) = match put(node, known_version).await {
        // Expired.
        Err(StoreError::Conflict { current: 0 }) if known_version != 0 => put(node, 0).await?,
        // An earlier process has written departures that this one has not read.
        Err(StoreError::Conflict { .. }) => {
            for departure in read_departures(node).await? {
                node.apply_earlier_upstream(&departure);
            }
            put(node, node.departures.version.load(Ordering::Relaxed)).await?
        }
        result => result?,
    };
    node.departures.version.store(written, Ordering::Relaxed);
    Ok(departures)
}

async fn put<D: Dialect>(
    node: &Node<D>,
    version: ObjectVersion,
) -> Result<(Vec<UpstreamRecord>, ObjectVersion), StoreError> {
    let departures = node.upstream_tracker.lock().departures(clock::now());
    if departures.is_empty() {
        return Ok((departures, version));
    }
    let stored = StoredDepartures { departures: departures.iter().map(Into::into).collect() };
    let value = serde_json::to_value(stored).map_err(|error| {
        StoreError::Refused(format!("the departures have no JSON form: {error}"))
    })?;
    let written = node.store.put(KIND_DEPARTURES, &node.settings.instance, value, version).await?;
    Ok((departures, written))
}

/// Reads the departures that earlier processes of this node have stored.
pub(super) async fn read_departures<D: Dialect>(
    node: &Node<D>,
) -> Result<Vec<UpstreamRecord>, StoreError> {
    let name = &node.settings.instance;
    let (departures, registration) =
        tokio::join!(node.store.get(KIND_DEPARTURES, name), node.store.get(KIND_INSTANCES, name));
    let mut found = Vec::new();
    let departures = departures?;
    let version = departures.as_ref().map_or(0, |object| object.version);
    node.departures.version.store(version, Ordering::Relaxed);
    if let Some(object) = departures {
        match StoredDepartures::deserialize(object.value.unwrap_or_default()) {
            Ok(stored) => found.extend(stored.departures.into_iter().map(UpstreamRecord::from)),
            Err(error) => {
                log::warn!(cause:% = error; "ignored invalid departures of this node in the store");
            }
        }
    }
    if let Some(value) = registration?.and_then(|object| object.value)
        && let Ok(StoredRegistration { leaving: Some(leaving) }) =
            StoredRegistration::deserialize(value)
    {
        found.push(leaving.into());
    }
    Ok(found)
}

/// Removes the objects that have not changed between two checks, while the node is the first hub.
pub async fn remove_expired<D: Dialect>(node: Arc<Node<D>>) {
    let mut seen: HashMap<InstanceName, ObjectVersion> = HashMap::new();
    loop {
        sleep(jittered(EXPIRY_INTERVAL, EXPIRY_JITTER)).await;
        if !node.is_first_hub(clock::now()) {
            seen.clear();
            continue;
        }
        let listing = match node.store.list_stale(KIND_DEPARTURES).await {
            Ok(listing) => listing,
            Err(error) => {
                log::debug!(cause:% = error; "listing the departures in the store failed");
                continue;
            }
        };
        let before = std::mem::take(&mut seen);
        for object in listing.objects {
            if before.get(&object.name) != Some(&object.version) {
                seen.insert(object.name, object.version);
                continue;
            }
            let removed = node.store.delete(KIND_DEPARTURES, &object.name, object.version).await;
            if let Err(error) = removed {
                log::debug!(
                    instance:% = object.name, cause:% = error;
                    "removing old departures from the store failed; the next check tries again"
                );
                seen.insert(object.name, object.version);
            }
        }
    }
}
