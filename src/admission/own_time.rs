//! The time that an upstream itself spends on a request, without nested calls.

use std::time::Duration;

use crate::clock::Timestamp;

/// Measures the time of a request at an upstream, excluding the time in which it waits for calls to
/// other services.
///
/// With that time included, an upstream that calls a slow service would appear saturated.
#[derive(Debug, Clone, Copy)]
pub struct OwnTime {
    started_at: Timestamp,
    open_calls: u32,
    waiting_since: Timestamp,
    waited_for_calls: Duration,
}

impl OwnTime {
    /// Starts the measurement when the request is forwarded to the upstream.
    pub fn start(now: Timestamp) -> Self {
        Self {
            started_at: now,
            open_calls: 0,
            waiting_since: now,
            waited_for_calls: Duration::ZERO,
        }
    }

    /// Records that the upstream starts a call to another service for this request.
    pub fn record_call_start(&mut self, now: Timestamp) {
        if self.open_calls == 0 {
            self.waiting_since = now;
        }
        self.open_calls += 1;
    }

    /// Records that a call to another service has ended.
    pub fn record_call_end(&mut self, now: Timestamp) {
        self.open_calls = self.open_calls.saturating_sub(1);
        if self.open_calls == 0 {
            self.waited_for_calls += now.saturating_sub(self.waiting_since);
        }
    }

    /// Time that the upstream itself has spent until `now`.
    pub fn own_time(&self, now: Timestamp) -> Duration {
        self.total_time(now).saturating_sub(self.waited_for_calls)
    }

    /// Time since the request was forwarded, including calls to other services.
    pub fn total_time(&self, now: Timestamp) -> Duration {
        now.saturating_sub(self.started_at)
    }
}
