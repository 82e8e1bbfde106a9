//! Requests that the local upstream is running, and the results of the nested calls that it makes.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use parking_lot::Mutex;

use crate::mesh::{Call, Usage};

/// A request that the local upstream is running, with the results of its nested calls.
#[derive(Debug)]
pub struct RunningCall {
    /// The request.
    pub call: Call,
    below: Mutex<Usage>,
    refused_below: AtomicBool,
    failed_below: AtomicBool,
}

impl RunningCall {
    /// Records the end of a nested call that the upstream made for the request.
    pub fn record_nested_call(&self, usage: &Usage, refused: bool, failed: bool) {
        self.below.lock().merge(usage);
        if failed {
            self.failed_below.store(true, Ordering::Relaxed);
        }
        if refused {
            self.refused_below.store(true, Ordering::Relaxed);
        }
    }

    /// Usage of services by the nested calls that have ended.
    pub fn used_below(&self) -> Usage {
        self.below.lock().clone()
    }

    /// Whether a nested call has not succeeded.
    pub fn has_failed_below(&self) -> bool {
        self.failed_below.load(Ordering::Relaxed)
    }

    /// Whether a nested call was refused for overload.
    pub fn was_refused_below(&self) -> bool {
        self.refused_below.load(Ordering::Relaxed)
    }
}

/// Requests that the local upstream is running, by request id.
#[derive(Debug, Default)]
pub struct RunningCalls {
    calls: Mutex<HashMap<Arc<str>, Arc<RunningCall>>>,
}

/// A request registered as running; dropping it removes the request from [`RunningCalls`].
#[derive(Debug)]
pub struct RunningEntry<'a> {
    /// The running request.
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
    /// Registers a request that is about to be sent to the upstream.
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

    /// Finds a running request by its id.
    pub fn find(&self, request_id: &str) -> Option<Arc<RunningCall>> {
        self.calls.lock().get(request_id).cloned()
    }

    /// Number of running requests.
    pub fn len(&self) -> usize {
        self.calls.lock().len()
    }

    /// Whether no request is running.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
