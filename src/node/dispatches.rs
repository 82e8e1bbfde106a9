//! Requests that the upstream is running, by the opaque context header it was given.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
};

use parking_lot::Mutex;
use tokio::sync::Notify;
use uuid::Uuid;

use crate::{call::CallContext, names::RequestId};

/// Id in the opaque context header; random, so that it cannot be guessed.
pub type DispatchId = Uuid;

/// One request that the upstream is running.
#[derive(Debug)]
pub struct RunningCall {
    /// Context of the request.
    pub context: CallContext,
    retries_left: AtomicU32,
}

impl RunningCall {
    /// Takes up to `wanted` retries out of the request's budget.
    pub fn take_retries(&self, wanted: u32) -> u32 {
        let mut taken = 0;
        let _ = self.retries_left.fetch_update(Ordering::AcqRel, Ordering::Acquire, |left| {
            taken = left.min(wanted);
            Some(left - taken)
        });
        taken
    }

    /// Gives back retries that were taken and not used.
    pub fn return_retries(&self, unused: u32) {
        self.retries_left.fetch_add(unused, Ordering::AcqRel);
    }

    /// Retries that nobody has taken.
    pub fn retries_left(&self) -> u32 {
        self.retries_left.load(Ordering::Acquire)
    }
}

/// Requests that the upstream is running.
#[derive(Debug, Default)]
pub struct Dispatches {
    running: Mutex<HashMap<DispatchId, Arc<RunningCall>>>,
    ended: Notify,
}

/// Removes the entry when the request ends in any way.
#[derive(Debug)]
pub struct DispatchGuard<'a> {
    dispatches: &'a Dispatches,
    /// Id for the context header.
    pub id: DispatchId,
    /// The entry.
    pub call: Arc<RunningCall>,
}

impl Dispatches {
    /// Enters a request that is about to be handed to the upstream.
    pub fn begin(&self, context: CallContext) -> DispatchGuard<'_> {
        let id = Uuid::new_v4();
        let retries_left = AtomicU32::new(context.retry_budget);
        let call = Arc::new(RunningCall { context, retries_left });
        self.running.lock().insert(id, call.clone());
        DispatchGuard { dispatches: self, id, call }
    }

    /// Finds the request that a context header names.
    pub fn find(&self, id: DispatchId) -> Option<Arc<RunningCall>> {
        self.running.lock().get(&id).cloned()
    }

    /// Tells whether the upstream is running a request of this call chain.
    pub fn runs_chain(&self, root_id: RequestId) -> bool {
        self.running.lock().values().any(|call| call.context.root_id == root_id)
    }

    /// Number of requests that the upstream is running.
    pub fn len(&self) -> usize {
        self.running.lock().len()
    }

    /// Tells whether the upstream is running nothing.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Waits until the upstream is running nothing.
    pub async fn idle(&self) {
        loop {
            let ended = self.ended.notified();
            if self.is_empty() {
                return;
            }
            ended.await;
        }
    }
}

impl Drop for DispatchGuard<'_> {
    fn drop(&mut self) {
        self.dispatches.running.lock().remove(&self.id);
        self.dispatches.ended.notify_waiters();
    }
}
