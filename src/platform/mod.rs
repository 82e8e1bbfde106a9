//! The platform's object API: versioned objects, conditional updates, watches.

mod client;
mod memory;
mod server;

use std::{future::Future, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use serde_json::Value;

pub use client::HttpPlatform;
pub use memory::MemoryStore;
pub use server::{ObjectService, serve_objects};

/// Largest value of one object.
pub const MAX_VALUE_BYTES: usize = 1 << 20;
/// Longest time that the service holds a watch open.
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
pub enum PlatformError {
    /// The object has another version than the caller stated.
    #[error("the object has version {current}, not the version stated")]
    Conflict {
        /// Version of the object now; 0 where there is none.
        current: ObjectVersion,
    },
    /// No answer came; a write may have taken effect.
    #[error("no answer from the platform: {0}")]
    NoAnswer(String),
    /// The platform refused the call.
    #[error("the platform refused the call: {0}")]
    Refused(String),
}

/// The platform's object API as the project uses it.
pub trait ObjectApi: Send + Sync + 'static {
    /// Reads an object.
    fn get(
        &self,
        kind: &str,
        name: &str,
    ) -> impl Future<Output = Result<Option<Object>, PlatformError>> + Send;

    /// Lists the objects of a kind.
    fn list(&self, kind: &str) -> impl Future<Output = Result<Listing, PlatformError>> + Send;

    /// Writes an object that has the stated version; version 0 means it must not exist.
    fn put(
        &self,
        kind: &str,
        name: &str,
        value: Value,
        if_version: ObjectVersion,
    ) -> impl Future<Output = Result<ObjectVersion, PlatformError>> + Send;

    /// Deletes an object that has the stated version.
    fn delete(
        &self,
        kind: &str,
        name: &str,
        if_version: ObjectVersion,
    ) -> impl Future<Output = Result<(), PlatformError>> + Send;

    /// Waits for changes of a kind after a version, at most [`WATCH_TIMEOUT`].
    fn watch(
        &self,
        kind: &str,
        after: ObjectVersion,
    ) -> impl Future<Output = Result<Listing, PlatformError>> + Send;
}

/// The object API that the settings name.
#[derive(Debug, Clone)]
pub enum Platform {
    /// A store inside the process.
    Embedded(Arc<MemoryStore>),
    /// The platform's service.
    Http(Box<HttpPlatform>),
}

impl ObjectApi for Platform {
    async fn get(&self, kind: &str, name: &str) -> Result<Option<Object>, PlatformError> {
        match self {
            Self::Embedded(store) => store.get(kind, name).await,
            Self::Http(client) => client.get(kind, name).await,
        }
    }

    async fn list(&self, kind: &str) -> Result<Listing, PlatformError> {
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
    ) -> Result<ObjectVersion, PlatformError> {
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
    ) -> Result<(), PlatformError> {
        match self {
            Self::Embedded(store) => store.delete(kind, name, if_version).await,
            Self::Http(client) => client.delete(kind, name, if_version).await,
        }
    }

    async fn watch(&self, kind: &str, after: ObjectVersion) -> Result<Listing, PlatformError> {
        match self {
            Self::Embedded(store) => store.watch(kind, after).await,
            Self::Http(client) => client.watch(kind, after).await,
        }
    }
}
