//! The watch that the readers of a zone hold at the platform.

use std::{sync::Arc, time::Duration};

use serde_json::Value;

use crate::{
    clock::{self, Timestamp},
    node::Shared,
    store::{Listing, ObjectApi as _, ObjectVersion, Store, StoreError, WATCH_TIMEOUT},
};

/// Time between two looks at whether this node is a reader; a small part of the second that
/// evidence takes.
const READER_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Pause after a watch failed. The platform counts every call, and peers tell changes meanwhile.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Follows one object of the platform while this node is one of the readers of its zone.
pub struct Watch {
    shared: Arc<Shared>,
    kind: &'static str,
    name: Arc<str>,
    after: ObjectVersion,
}

impl Watch {
    /// Makes a watch that first returns the present value.
    pub fn new(shared: Arc<Shared>, kind: &'static str, name: impl Into<Arc<str>>) -> Self {
        Self { shared, kind, name: name.into(), after: 0 }
    }

    /// Waits for the next value; returns it with the time before the call that read it.
    pub async fn next(&mut self) -> (Timestamp, Value) {
        loop {
            while !self.is_reader() {
                tokio::time::sleep(READER_CHECK_INTERVAL).await;
            }
            let began = clock::now();
            let listing = match self.read().await {
                Ok(listing) => listing,
                Err(error) => {
                    log::warn!("watching {}/{} failed: {error}", self.kind, self.name);
                    tokio::time::sleep(RETRY_DELAY).await;
                    continue;
                }
            };
            self.after = listing.version;
            let object = listing.objects.into_iter().find(|object| object.name == self.name);
            if let Some(value) = object.and_then(|object| object.value) {
                return (began, value);
            }
        }
    }

    /// An embedded store has no other node that reads for this one.
    fn is_reader(&self) -> bool {
        matches!(self.shared.platform, Store::Embedded(_)) || self.shared.evidence.load().is_reader
    }

    async fn read(&self) -> Result<Listing, StoreError> {
        let platform = &self.shared.platform;
        match platform.watch(self.kind, self.after, WATCH_TIMEOUT).await {
            Err(StoreError::Expired) => platform.list(self.kind).await,
            result => result,
        }
    }
}
