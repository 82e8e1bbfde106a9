//! Requests that the local upstream is running, by the id in the opaque context header that the
//! node sends to it.

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

use crate::{
    admission::{Completion, OwnTime},
    call::CallContext,
    clock::{self, Timestamp},
    names::RequestId,
    routing::Pressure,
};

/// Id in the opaque context header of a request; random, so that it cannot be guessed.
pub type DispatchId = Uuid;

/// A request that the local upstream is running.
#[derive(Debug)]
pub struct RunningCall {
    /// Call context of the request.
    pub context: CallContext,
    retries_left: AtomicU32,
    nested: Mutex<NestedCalls>,
}

/// Times and results of the nested calls of a request.
#[derive(Debug)]
struct NestedCalls {
    own_time: OwnTime,
    pressures: Vec<Pressure>,
    refused: bool,
}

/// Guard of a nested call of a running request; the call ends when this is dropped.
#[derive(Debug)]
pub struct NestedCall<'a>(&'a RunningCall);

impl Drop for NestedCall<'_> {
    fn drop(&mut self) {
        self.0.nested.lock().own_time.record_call_end(clock::now());
    }
}

impl RunningCall {
    /// Takes up to `wanted` retries from the budget of the request and returns their number.
    pub fn take_retries(&self, wanted: u32) -> u32 {
        let mut taken = 0;
        let _ = self.retries_left.fetch_update(Ordering::AcqRel, Ordering::Acquire, |left| {
            taken = left.min(wanted);
            Some(left - taken)
        });
        taken
    }

    /// Returns unused retries to the budget of the request.
    pub fn return_retries(&self, unused: u32) {
        self.retries_left.fetch_add(unused, Ordering::AcqRel);
    }

    /// Number of retries left in the budget of the request.
    pub fn retries_left(&self) -> u32 {
        self.retries_left.load(Ordering::Acquire)
    }

    /// Records that the upstream makes a nested call for this request; the call lasts until the
    /// guard is dropped.
    pub fn begin_nested_call(&self) -> NestedCall<'_> {
        self.nested.lock().own_time.record_call_start(clock::now());
        NestedCall(self)
    }

    /// Records the pressures that a reply to a nested call carried.
    pub fn record_pressures(&self, pressures: &[Pressure]) {
        let mut nested = self.nested.lock();
        for pressure in pressures {
            match nested.pressures.iter_mut().find(|known| known.service == pressure.service) {
                Some(known) => known.shed_below = pressure.shed_below,
                None => nested.pressures.push(pressure.clone()),
            }
        }
    }

    /// Returns the last pressures of the services below this one in the call chain.
    pub fn pressures(&self) -> Vec<Pressure> {
        self.nested.lock().pressures.clone()
    }

    /// Records that a nested call of the request was refused for overload.
    pub fn record_refusal_below(&self) {
        self.nested.lock().refused = true;
    }

    /// Returns whether a nested call of the request was refused for overload.
    pub fn was_refused_below(&self) -> bool {
        self.nested.lock().refused
    }

    /// Returns the processing times to report to the gate once the upstream has answered.
    pub fn completion(&self, now: Timestamp) -> Completion {
        let own_time = self.nested.lock().own_time;
        Completion::Answered {
            own_time: own_time.own_time(now),
            total_time: own_time.total_time(now),
        }
    }
}

/// Requests that the local upstream is running.
#[derive(Debug, Default)]
pub struct Dispatches {
    running: Mutex<HashMap<DispatchId, Arc<RunningCall>>>,
    ended: Notify,
}

/// Guard of a running request; removes its entry when dropped.
#[derive(Debug)]
pub struct DispatchGuard<'a> {
    dispatches: &'a Dispatches,
    /// Id that is sent in the context header.
    pub id: DispatchId,
    /// Entry of the request.
    pub call: Arc<RunningCall>,
}

impl Dispatches {
    /// Adds a request that is about to be sent to the upstream.
    pub fn begin(&self, context: CallContext) -> DispatchGuard<'_> {
        let id = Uuid::new_v4();
        let retries_left = AtomicU32::new(context.retry_budget);
        let nested = NestedCalls {
            own_time: OwnTime::start(clock::now()),
            pressures: Vec::new(),
            refused: false,
        };
        let call = Arc::new(RunningCall { context, retries_left, nested: Mutex::new(nested) });
        self.running.lock().insert(id, call.clone());
        DispatchGuard { dispatches: self, id, call }
    }

    /// Returns the running request with the id from a context header.
    pub fn find(&self, id: DispatchId) -> Option<Arc<RunningCall>> {
        self.running.lock().get(&id).cloned()
    }

    /// Returns whether the upstream is running a request of this call chain.
    pub fn is_running_chain(&self, root_id: RequestId) -> bool {
        self.running.lock().values().any(|call| call.context.root_id == root_id)
    }

    /// Number of requests that the upstream is running.
    pub fn len(&self) -> usize {
        self.running.lock().len()
    }

    /// Returns whether the upstream is running no request.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Waits until the upstream is running no request.
    pub async fn wait_until_idle(&self) {
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
