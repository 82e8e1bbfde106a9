//! The platform's object store: versioned objects, conditional writes and watches.
//!
//! The rest of the project uses the store through [`ObjectApi`]. Its implementations are the store
//! in memory, the client of the project's own HTTP API, and the adapters in `platform/`.

mod client;
mod exchange;
mod memory;
mod server;

use std::{future::Future, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use serde_json::Value;

pub use client::HttpStore;
pub use exchange::{HttpExchange, ParseBudget, parse_json, shorten, status_error};
pub use memory::MemoryStore;
pub use server::{ObjectService, serve_objects};

/// Largest size of the value of one object, as JSON.
pub const MAX_VALUE_BYTES: usize = 1 << 20;
/// Time that one watch call of a node waits for changes. A longer time saves calls, but a broken
/// connection that sends no error is detected only when the call ends.
pub const WATCH_TIMEOUT: Duration = Duration::from_secs(10);
/// Kind of the object that holds the operators' configuration.
pub const KIND_CONFIGURATION: &str = "configuration";
/// Name of the only object of the kind [`KIND_CONFIGURATION`].
pub const NAME_CURRENT: &str = "current";
/// Kind of the objects that hold the membership table, one per shard.
pub const KIND_TABLES: &str = "tables";

/// Version of an object. One counter for the whole store increases with each write.
pub type ObjectVersion = u64;

/// Era of the store: it rises when the store comes back from an earlier copy of itself. Versions go back
/// with the store and are given out again, so they are comparable only within one era. 0 where the store
/// has no eras.
pub type StoreEra = u64;

/// One object of the store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Object {
    /// Kind of the object.
    pub kind: Arc<str>,
    /// Name within the kind.
    pub name: Arc<str>,
    /// Version of the last write.
    pub version: ObjectVersion,
    /// Era of the store when the object was read.
    #[serde(default)]
    pub era: StoreEra,
    /// Content; none in the result of a watch if the object was deleted. `null` if the store has a content
    /// that cannot be read, since another writer may have written it.
    pub value: Option<Value>,
}

/// Objects of one kind: all of them, or those that changed after a version.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Listing {
    /// Version of the store when it was read; the next watch starts from it.
    pub version: ObjectVersion,
    /// The objects; [`ObjectApi::list`] orders them by name.
    pub objects: Vec<Object>,
}

/// Why a call to the object store failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// A conditional write failed: the object does not have the version that the caller expected.
    #[error("the object has version {current}, not the version stated")]
    Conflict {
        /// Current version of the object; 0 if it does not exist.
        current: ObjectVersion,
    },
    /// No usable answer was received; a write may have taken effect, or may still take effect.
    #[error("no answer from the platform: {0}")]
    NoAnswer(String),
    /// The platform did nothing, as it is overloaded or limits the rate of calls; a later call may
    /// succeed.
    #[error("the platform is unavailable: {0}")]
    Unavailable(String),
    /// The call is not valid, and the platform did nothing.
    #[error("the platform refused the call: {0}")]
    Refused(String),
    /// The changes after the version of a watch are no longer kept; the kind must be listed again.
    #[error("the platform no longer keeps the changes after the stated version")]
    Expired,
}

/// Operations of the object store.
pub trait ObjectApi: Send + Sync + 'static {
    /// Calls made since the start; 0 where the store makes none.
    fn call_count(&self) -> u64 {
        0
    }

    /// Connections opened since the start; 0 where the store has none.
    fn connection_count(&self) -> u64 {
        0
    }

    /// Last known era of the store.
    fn era(&self) -> StoreEra {
        0
    }

    /// Reads an object; none if it does not exist.
    fn get(
        &self,
        kind: &str,
        name: &str,
    ) -> impl Future<Output = Result<Option<Object>, StoreError>> + Send;

    /// Lists all objects of a kind.
    fn list(&self, kind: &str) -> impl Future<Output = Result<Listing, StoreError>> + Send;

    /// Lists all objects of a kind as they were some seconds ago at worst; cheaper than `list` where
    /// the store makes a difference.
    fn list_stale(&self, kind: &str) -> impl Future<Output = Result<Listing, StoreError>> + Send {
        self.list(kind)
    }

    /// Writes an object if its version is `if_version`, and returns its new version; `if_version` 0
    /// creates an object that must not exist yet.
    fn put(
        &self,
        kind: &str,
        name: &str,
        value: Value,
        if_version: ObjectVersion,
    ) -> impl Future<Output = Result<ObjectVersion, StoreError>> + Send;

    /// Deletes an object if its version is `if_version`.
    fn delete(
        &self,
        kind: &str,
        name: &str,
        if_version: ObjectVersion,
    ) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Waits up to `wait` for changes of a kind after a version; returns the changed objects, and
    /// none if nothing changed.
    fn watch(
        &self,
        kind: &str,
        after: ObjectVersion,
        wait: Duration,
    ) -> impl Future<Output = Result<Listing, StoreError>> + Send;
}

/// The object store that the settings select.
#[derive(Debug, Clone)]
pub enum Store {
    /// A store inside the process.
    Embedded(Arc<MemoryStore>),
    /// The platform's object store over HTTP.
    Http(Box<HttpStore>),
}

impl ObjectApi for Store {
    async fn get(&self, kind: &str, name: &str) -> Result<Option<Object>, StoreError> {
        match self {
            Self::Embedded(store) => store.get(kind, name).await,
            Self::Http(client) => client.get(kind, name).await,
        }
    }

    async fn list(&self, kind: &str) -> Result<Listing, StoreError> {
        match self {
            Self::Embedded(store) => store.list(kind).await,
            Self::Http(client) => client.list(kind).await,
        }
    }

    async fn put(
        &self,
        kind: &str,
        name: &str,
        value: Value,
        if_version: ObjectVersion,
    ) -> Result<ObjectVersion, StoreError> {
        match self {
            Self::Embedded(store) => store.put(kind, name, value, if_version).await,
            Self::Http(client) => client.put(kind, name, value, if_version).await,
        }
    }

    async fn delete(
        &self,
        kind: &str,
        name: &str,
        if_version: ObjectVersion,
    ) -> Result<(), StoreError> {
        match self {
            Self::Embedded(store) => store.delete(kind, name, if_version).await,
            Self::Http(client) => client.delete(kind, name, if_version).await,
        }
    }

    async fn watch(
        &self,
        kind: &str,
        after: ObjectVersion,
        wait: Duration,
    ) -> Result<Listing, StoreError> {
        match self {
            Self::Embedded(store) => store.watch(kind, after, wait).await,
            Self::Http(client) => client.watch(kind, after, wait).await,
        }
    }
}
