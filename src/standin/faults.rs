//! An object store with injected faults: it can be down or slow, and can lose the answer to a write
//! that took effect.

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

/// Faults, which a test switches on and off, and counters of calls.
#[derive(Debug, Default)]
pub struct Faults {
    /// Every call fails as unanswered.
    pub down: AtomicBool,
    /// Delay before each call is carried out, in milliseconds.
    pub delay_ms: AtomicU64,
    /// Number of further writes that take effect although their answers are lost.
    pub lose_answers: AtomicU64,
    /// Every watch fails as unanswered; reads and writes work.
    pub watches_fail: AtomicBool,
    /// Calls since the start; a watch counts as one call.
    pub calls: AtomicU64,
    /// Writes that were carried out since the start.
    pub writes: AtomicU64,
}

/// Faults in the form that `PUT /faults` accepts.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct FaultSettings {
    /// Every call fails as unanswered.
    pub down: bool,
    /// Delay before each call is carried out, in milliseconds.
    pub delay_ms: u64,
    /// Number of further writes that take effect although their answers are lost.
    pub lose_answers: u64,
}

impl Faults {
    /// Replaces the current faults by `settings`.
    pub fn set(&self, settings: FaultSettings) {
        self.down.store(settings.down, Ordering::Relaxed);
        self.delay_ms.store(settings.delay_ms, Ordering::Relaxed);
        self.lose_answers.store(settings.lose_answers, Ordering::Relaxed);
    }
}

/// A store in memory with faults.
#[derive(Debug, Default)]
pub struct FaultyStore {
    /// The store without faults.
    pub inner: MemoryStore,
    /// Faults and counters.
    pub faults: Arc<Faults>,
}

impl FaultyStore {
    /// Counts a call, delays it, and fails if the store is down.
    async fn begin_call(&self) -> Result<(), StoreError> {
        self.faults.calls.fetch_add(1, Ordering::Relaxed);
        tokio::time::sleep(Duration::from_millis(self.faults.delay_ms.load(Ordering::Relaxed)))
            .await;
        self.check_not_down()
    }

    fn check_not_down(&self) -> Result<(), StoreError> {
        if self.faults.down.load(Ordering::Relaxed) {
            return Err(StoreError::NoAnswer("the stand-in is down".to_owned()));
        }
        Ok(())
    }

    /// Counts a write and returns its result, or an error if the answer is to be lost.
    fn finish_write<T>(&self, result: Result<T, StoreError>) -> Result<T, StoreError> {
        self.faults.writes.fetch_add(1, Ordering::Relaxed);
        let decrement = |left: u64| left.checked_sub(1);
        let lost =
            self.faults.lose_answers.fetch_update(Ordering::Relaxed, Ordering::Relaxed, decrement);
        if result.is_ok() && lost.is_ok() {
            return Err(StoreError::NoAnswer("the stand-in lost the answer".to_owned()));
        }
        result
    }
}

impl ObjectApi for FaultyStore {
    async fn get(&self, kind: &str, name: &str) -> Result<Option<Object>, StoreError> {
        self.begin_call().await?;
        self.inner.get(kind, name).await
    }

    async fn list(&self, kind: &str) -> Result<Listing, StoreError> {
        self.begin_call().await?;
        self.inner.list(kind).await
    }

    async fn put(
        &self,
        kind: &str,
        name: &str,
        value: Value,
        if_version: ObjectVersion,
    ) -> Result<ObjectVersion, StoreError> {
        self.begin_call().await?;
        self.finish_write(self.inner.put(kind, name, value, if_version).await)
    }

    async fn delete(
        &self,
        kind: &str,
        name: &str,
        if_version: ObjectVersion,
    ) -> Result<(), StoreError> {
        self.begin_call().await?;
        self.finish_write(self.inner.delete(kind, name, if_version).await)
    }

    async fn watch(
        &self,
        kind: &str,
        after: ObjectVersion,
        wait: Duration,
    ) -> Result<Listing, StoreError> {
        self.begin_call().await?;
        let listing = self.inner.watch(kind, after, wait).await?;
        self.check_not_down()?;
        if self.faults.watches_fail.load(Ordering::Relaxed) {
            return Err(StoreError::NoAnswer("the stand-in answers no watch".to_owned()));
        }
        Ok(listing)
    }
}
