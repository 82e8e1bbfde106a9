//! Watch of a platform object. Only the readers of an availability zone, a few of its nodes, watch
//! the platform; the other nodes get changes from peers.

use std::{sync::Arc, time::Duration};

use serde_json::Value;

use crate::{
    clock::{self, Timestamp},
    node::Shared,
    store::{Listing, ObjectApi as _, ObjectVersion, Store, StoreError, WATCH_TIMEOUT},
};

/// Interval at which a node checks whether it is a reader; short compared with the second that
/// evidence takes to spread.
const READER_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Delay after a failed watch. Calls to the platform are kept few, and peers report changes in
/// the meantime.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Watches one object of the platform while this node is one of the readers of its zone.
pub struct Watch {
    shared: Arc<Shared>,
    kind: &'static str,
    name: Arc<str>,
    last_version: ObjectVersion,
}

impl Watch {
    /// Creates a watch that first returns the current value.
    pub fn new(shared: Arc<Shared>, kind: &'static str, name: impl Into<Arc<str>>) -> Self {
        Self { shared, kind, name: name.into(), last_version: 0 }
    }

    /// Waits for the next value and returns it with the time immediately before the call that read
    /// it.
    pub async fn next(&mut self) -> (Timestamp, Value) {
        loop {
            while !self.is_reader() {
                tokio::time::sleep(READER_CHECK_INTERVAL).await;
            }
            let began = clock::now();
            let listing = match self.read_listing().await {
                Ok(listing) => listing,
                Err(error) => {
                    log::warn!(
                        "watching {}/{} at the platform failed: {error}; trying again in \
                         {RETRY_DELAY:?}",
                        self.kind,
                        self.name
                    );
                    tokio::time::sleep(RETRY_DELAY).await;
                    continue;
                }
            };
            self.last_version = listing.version;
            let object = listing.objects.into_iter().find(|object| object.name == self.name);
            if let Some(value) = object.and_then(|object| object.value) {
                return (began, value);
            }
        }
    }

    /// Returns whether this node reads from the platform. With an embedded store it always does,
    /// since no other node can read that store.
    fn is_reader(&self) -> bool {
        matches!(self.shared.platform, Store::Embedded(_)) || self.shared.evidence.load().is_reader
    }

    /// Watches the kind from the last version; lists it if the store no longer has that version.
    async fn read_listing(&self) -> Result<Listing, StoreError> {
        let platform = &self.shared.platform;
        match platform.watch(self.kind, self.last_version, WATCH_TIMEOUT).await {
            Err(StoreError::Expired) => platform.list(self.kind).await,
            result => result,
        }
    }
}
