//! Requests that the upstream beside the node is running, and the calls that it makes for them.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use parking_lot::Mutex;

use crate::mesh::{Call, Usage};

/// A request that the upstream is running.
#[derive(Debug)]
pub struct RunningCall {
    /// The request.
    pub call: Call,
    below: Mutex<Usage>,
    refused_below: AtomicBool,
    failed_below: AtomicBool,
}

impl RunningCall {
    /// A call that the upstream made for the request has ended.
    pub fn call_ended(&self, usage: &Usage, refused: bool, failed: bool) {
        self.below.lock().merge(usage);
        if failed {
            self.failed_below.store(true, Ordering::Relaxed);
        }
        if refused {
            self.refused_below.store(true, Ordering::Relaxed);
        }
    }

    /// What the calls below the request used.
    pub fn used_below(&self) -> Usage {
        self.below.lock().clone()
    }

    /// A call below the request has not succeeded.
    pub fn has_failed_below(&self) -> bool {
        self.failed_below.load(Ordering::Relaxed)
    }

    /// A call below the request was refused for overload.
    pub fn was_refused_below(&self) -> bool {
        self.refused_below.load(Ordering::Relaxed)
    }
}

/// Requests that the upstream beside the node is running, by id.
#[derive(Debug, Default)]
pub struct RunningCalls {
    calls: Mutex<HashMap<Arc<str>, Arc<RunningCall>>>,
}

/// Takes a request out of the running ones when it is dropped.
#[derive(Debug)]
pub struct RunningEntry<'a> {
    /// The request.
    pub call: Arc<RunningCall>,
    calls: &'a RunningCalls,
}

impl Drop for RunningEntry<'_> {
    fn drop(&mut self) {
        let mut calls = self.calls.calls.lock();
        let id = &self.call.call.request_id;
        if calls.get(id).is_some_and(|known| Arc::ptr_eq(known, &self.call)) {
            calls.remove(id);
        }
    }
}

impl RunningCalls {
    /// The upstream is about to run a request.
    pub fn begin(&self, call: Call) -> RunningEntry<'_> {
        let call = Arc::new(RunningCall {
            call,
            below: Mutex::default(),
            refused_below: AtomicBool::new(false),
            failed_below: AtomicBool::new(false),
        });
        self.calls.lock().insert(call.call.request_id.clone(), call.clone());
        RunningEntry { call, calls: self }
    }

    /// Finds a request by its id.
    pub fn find(&self, request_id: &str) -> Option<Arc<RunningCall>> {
        self.calls.lock().get(request_id).cloned()
    }

    /// Number of requests.
    pub fn len(&self) -> usize {
        self.calls.lock().len()
    }

    /// Tells whether the upstream runs nothing.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
