//! A store that can be down or slow and can lose the answer of a write that took effect.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::store::{Listing, MemoryStore, Object, ObjectApi, ObjectVersion, StoreError};

/// Faults that a test switches on and off.
#[derive(Debug, Default)]
pub struct Faults {
    /// No call is answered.
    pub down: AtomicBool,
    /// Delay before each answer, in milliseconds.
    pub delay_ms: AtomicU64,
    /// Number of writes whose answers will be lost.
    pub lose_answers: AtomicU64,
    /// No watch is answered, while reads and writes are.
    pub watches_fail: AtomicBool,
    /// Calls so far, a watch counted as one.
    pub calls: AtomicU64,
    /// Writes so far.
    pub writes: AtomicU64,
}

/// Faults as they are stated over HTTP.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct FaultSettings {
    /// No call is answered.
    pub down: bool,
    /// Delay before each answer, in milliseconds.
    pub delay_ms: u64,
    /// Number of writes whose answers will be lost.
    pub lose_answers: u64,
}

impl Faults {
    /// Takes the stated faults in place of those in force.
    pub fn set(&self, settings: FaultSettings) {
        self.down.store(settings.down, Ordering::Relaxed);
        self.delay_ms.store(settings.delay_ms, Ordering::Relaxed);
        self.lose_answers.store(settings.lose_answers, Ordering::Relaxed);
    }
}

/// A store with faults.
#[derive(Debug, Default)]
pub struct FaultyStore {
    /// The store behind.
    pub store: MemoryStore,
    /// The faults.
    pub faults: Arc<Faults>,
}

impl FaultyStore {
    async fn enter(&self) -> Result<(), StoreError> {
        self.faults.calls.fetch_add(1, Ordering::Relaxed);
        tokio::time::sleep(Duration::from_millis(self.faults.delay_ms.load(Ordering::Relaxed)))
            .await;
        self.check_up()
    }

    fn check_up(&self) -> Result<(), StoreError> {
        if self.faults.down.load(Ordering::Relaxed) {
            return Err(StoreError::NoAnswer("the stand-in is down".to_owned()));
        }
        Ok(())
    }

    fn written<T>(&self, result: Result<T, StoreError>) -> Result<T, StoreError> {
        self.faults.writes.fetch_add(1, Ordering::Relaxed);
        let take = |left: u64| left.checked_sub(1);
        let lost =
            self.faults.lose_answers.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take);
        if result.is_ok() && lost.is_ok() {
            return Err(StoreError::NoAnswer("the stand-in lost the answer".to_owned()));
        }
        result
    }
}

impl ObjectApi for FaultyStore {
    async fn get(&self, kind: &str, name: &str) -> Result<Option<Object>, StoreError> {
        self.enter().await?;
        self.store.get(kind, name).await
    }

    async fn list(&self, kind: &str) -> Result<Listing, StoreError> {
        self.enter().await?;
        self.store.list(kind).await
    }

    async fn put(
        &self,
        kind: &str,
        name: &str,
        value: Value,
        if_version: ObjectVersion,
    ) -> Result<ObjectVersion, StoreError> {
        self.enter().await?;
        self.written(self.store.put(kind, name, value, if_version).await)
    }

    async fn delete(
        &self,
        kind: &str,
        name: &str,
        if_version: ObjectVersion,
    ) -> Result<(), StoreError> {
        self.enter().await?;
        self.written(self.store.delete(kind, name, if_version).await)
    }

    async fn watch(
        &self,
        kind: &str,
        after: ObjectVersion,
        wait: Duration,
    ) -> Result<Listing, StoreError> {
        self.enter().await?;
        let listing = self.store.watch(kind, after, wait).await?;
        self.check_up()?;
        if self.faults.watches_fail.load(Ordering::Relaxed) {
            return Err(StoreError::NoAnswer("the stand-in answers no watch".to_owned()));
        }
        Ok(listing)
    }
}
