//! An object store in memory, used as the embedded store and in the stand-in for the platform.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use parking_lot::Mutex;
use serde_json::Value;
use tokio::{sync::watch, time::timeout};

use crate::store::{Listing, MAX_VALUE_BYTES, Object, ObjectApi, ObjectVersion, StoreError};

type ObjectId = (Arc<str>, Arc<str>);

#[derive(Debug, Default)]
struct Objects {
    version: ObjectVersion,
    // Deleted objects remain as entries without a value, so that a watch can report them.
    by_id: BTreeMap<ObjectId, Object>,
}

/// An object store in memory.
#[derive(Debug)]
pub struct MemoryStore {
    objects: Mutex<Objects>,
    changed: watch::Sender<ObjectVersion>,
}

impl Default for MemoryStore {
    fn default() -> Self {
        Self { objects: Mutex::default(), changed: watch::Sender::new(0) }
    }
}

impl MemoryStore {
    fn write(
        &self,
        kind: &str,
        name: &str,
        value: Option<Value>,
        if_version: ObjectVersion,
    ) -> Result<ObjectVersion, StoreError> {
        let mut objects = self.objects.lock();
        let id = (Arc::from(kind), Arc::from(name));
        let existing = objects.by_id.get(&id).filter(|object| object.value.is_some());
        let current = existing.map_or(0, |object| object.version);
        if current != if_version {
            return Err(StoreError::Conflict { current });
        }
        objects.version += 1;
        let version = objects.version;
        let object = Object { kind: id.0.clone(), name: id.1.clone(), version, era: 0, value };
        objects.by_id.insert(id, object);
        drop(objects);
        self.changed.send_replace(version);
        Ok(version)
    }

    fn objects_after(&self, kind: &str, after: ObjectVersion, include_deleted: bool) -> Listing {
        let objects = self.objects.lock();
        let matching = objects.by_id.values().filter(|object| {
            *object.kind == *kind
                && object.version > after
                && (include_deleted || object.value.is_some())
        });
        Listing { version: objects.version, objects: matching.cloned().collect() }
    }
}

impl ObjectApi for MemoryStore {
    async fn get(&self, kind: &str, name: &str) -> Result<Option<Object>, StoreError> {
        let objects = self.objects.lock();
        let object = objects.by_id.get(&(Arc::from(kind), Arc::from(name)));
        Ok(object.filter(|object| object.value.is_some()).cloned())
    }

    async fn list(&self, kind: &str) -> Result<Listing, StoreError> {
        Ok(self.objects_after(kind, 0, false))
    }

    async fn put(
        &self,
        kind: &str,
        name: &str,
        value: Value,
        if_version: ObjectVersion,
    ) -> Result<ObjectVersion, StoreError> {
        let size_bytes = value.to_string().len();
        if size_bytes > MAX_VALUE_BYTES {
            return Err(StoreError::Refused(format!(
                "the value has {size_bytes} bytes, more than {MAX_VALUE_BYTES}"
            )));
        }
        self.write(kind, name, Some(value), if_version)
    }

    async fn delete(
        &self,
        kind: &str,
        name: &str,
        if_version: ObjectVersion,
    ) -> Result<(), StoreError> {
        self.write(kind, name, None, if_version).map(drop)
    }

    async fn watch(
        &self,
        kind: &str,
        after: ObjectVersion,
        limit: Duration,
    ) -> Result<Listing, StoreError> {
        let mut changed = self.changed.subscribe();
        let next_changes = async {
            loop {
                changed.borrow_and_update();
                let listing = self.objects_after(kind, after, true);
                if !listing.objects.is_empty() || changed.changed().await.is_err() {
                    return listing;
                }
            }
        };
        Ok(timeout(limit, next_changes)
            .await
            .unwrap_or_else(|_| self.objects_after(kind, after, true)))
    }
}
