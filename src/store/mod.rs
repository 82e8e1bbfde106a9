//! The object store that the platform offers: versioned objects, conditional updates, watches.
//!
//! [`ObjectApi`] is what the rest of the project uses. Behind it stand the store in memory, the
//! project's own HTTP form of it, and the adapters in `platform/`.

mod client;
mod exchange;
mod memory;
mod server;

use std::{future::Future, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use serde_json::Value;

pub use client::HttpStore;
pub use exchange::{HttpExchange, failure, parse};
pub use memory::MemoryStore;
pub use server::{ObjectService, serve_objects};

/// Largest value of one object.
pub const MAX_VALUE_BYTES: usize = 1 << 20;
/// Time for which the nodes hold a watch open; a longer one saves calls, but a connection that has
/// gone silent is found only when it ends.
pub const WATCH_TIMEOUT: Duration = Duration::from_secs(10);
/// Kind of the operators' configuration.
pub const KIND_CONFIGURATION: &str = "configuration";
/// Name of the one configuration object.
pub const NAME_CURRENT: &str = "current";
/// Kind of the membership tables, one object a shard.
pub const KIND_TABLES: &str = "tables";

/// Version of an object; versions rise over the whole store.
pub type ObjectVersion = u64;

/// One object of the platform.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Object {
    /// Kind of the object.
    pub kind: Arc<str>,
    /// Name within the kind.
    pub name: Arc<str>,
    /// Version of the last write.
    pub version: ObjectVersion,
    /// Content; absent in a watch's answer where the object was deleted.
    pub value: Option<Value>,
}

/// The objects of a kind.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Listing {
    /// Version of the store when it was read; a watch goes on from here.
    pub version: ObjectVersion,
    /// The objects, by name.
    pub objects: Vec<Object>,
}

/// Why a call to the platform failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// The object has another version than the caller stated.
    #[error("the object has version {current}, not the version stated")]
    Conflict {
        /// Version of the object now; 0 where there is none.
        current: ObjectVersion,
    },
    /// No answer came; a write may have taken effect, or may still take effect.
    #[error("no answer from the platform: {0}")]
    NoAnswer(String),
    /// The platform did nothing for now: it is overloaded, or the call came too often.
    #[error("the platform is unavailable: {0}")]
    Unavailable(String),
    /// The platform refused the call.
    #[error("the platform refused the call: {0}")]
    Refused(String),
    /// The changes after the stated version are no longer kept; the kind must be listed again.
    #[error("the platform no longer keeps the changes after the stated version")]
    Expired,
}

/// The platform's object API as the project uses it.
pub trait ObjectApi: Send + Sync + 'static {
    /// Reads an object.
    fn get(
        &self,
        kind: &str,
        name: &str,
    ) -> impl Future<Output = Result<Option<Object>, StoreError>> + Send;

    /// Lists the objects of a kind.
    fn list(&self, kind: &str) -> impl Future<Output = Result<Listing, StoreError>> + Send;

    /// Writes an object that has the stated version; version 0 means it must not exist.
    fn put(
        &self,
        kind: &str,
        name: &str,
        value: Value,
        if_version: ObjectVersion,
    ) -> impl Future<Output = Result<ObjectVersion, StoreError>> + Send;

    /// Deletes an object that has the stated version.
    fn delete(
        &self,
        kind: &str,
        name: &str,
        if_version: ObjectVersion,
    ) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Waits for changes of a kind after a version, at most for `wait`.
    fn watch(
        &self,
        kind: &str,
        after: ObjectVersion,
        wait: Duration,
    ) -> impl Future<Output = Result<Listing, StoreError>> + Send;
}

/// The object API that the settings name.
#[derive(Debug, Clone)]
pub enum Store {
    /// A store inside the process.
    Embedded(Arc<MemoryStore>),
    /// The platform's service.
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
