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

use crate::{
    admission::{Completion, OwnTime},
    call::CallContext,
    clock::{self, Timestamp},
    names::RequestId,
    routing::Pressure,
};

/// Id in the opaque context header; random, so that it cannot be guessed.
pub type DispatchId = Uuid;

/// One request that the upstream is running.
#[derive(Debug)]
pub struct RunningCall {
    /// Context of the request.
    pub context: CallContext,
    retries_left: AtomicU32,
    below: Mutex<Below>,
}

/// What the calls that a request made have shown.
#[derive(Debug)]
struct Below {
    own_time: OwnTime,
    pressures: Vec<Pressure>,
    refused: bool,
}

/// An outgoing call of a running request; it ends when this is dropped.
#[derive(Debug)]
pub struct OutgoingCall<'a>(&'a RunningCall);

impl Drop for OutgoingCall<'_> {
    fn drop(&mut self) {
        self.0.below.lock().own_time.call_ended(clock::now());
    }
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

    /// The upstream calls another service for this request.
    pub fn begin_outgoing(&self) -> OutgoingCall<'_> {
        self.below.lock().own_time.call_began(clock::now());
        OutgoingCall(self)
    }

    /// A reply of a service below carried pressures.
    pub fn learn(&self, pressures: &[Pressure]) {
        let mut below = self.below.lock();
        for pressure in pressures {
            match below.pressures.iter_mut().find(|known| known.service == pressure.service) {
                Some(known) => known.shed_below = pressure.shed_below,
                None => below.pressures.push(pressure.clone()),
            }
        }
    }

    /// Pressures of the services below.
    pub fn pressures(&self) -> Vec<Pressure> {
        self.below.lock().pressures.clone()
    }

    /// A call that the request made was refused for overload.
    pub fn refused_below(&self) {
        self.below.lock().refused = true;
    }

    /// Tells whether a call that the request made was refused for overload.
    pub fn was_refused_below(&self) -> bool {
        self.below.lock().refused
    }

    /// What to tell the gate when the upstream has answered.
    pub fn completion(&self, now: Timestamp) -> Completion {
        let own_time = self.below.lock().own_time;
        Completion::Answered {
            own_time: own_time.own_time(now),
            total_time: own_time.total_time(now),
        }
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
        let below =
            Below { own_time: OwnTime::start(clock::now()), pressures: Vec::new(), refused: false };
        let call = Arc::new(RunningCall { context, retries_left, below: Mutex::new(below) });
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
