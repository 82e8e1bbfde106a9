//! The time that an upstream itself spends on a request.

use std::time::Duration;

use crate::clock::Timestamp;

/// Measures a request at an upstream without the time in which it waits for other services.
///
/// A slow service further down would otherwise look like a saturated upstream.
#[derive(Debug, Clone, Copy)]
pub struct OwnTime {
    started_at: Timestamp,
    open_calls: u32,
    waiting_since: Timestamp,
    waited: Duration,
}

impl OwnTime {
    /// The request was handed to the upstream.
    pub fn start(now: Timestamp) -> Self {
        Self { started_at: now, open_calls: 0, waiting_since: now, waited: Duration::ZERO }
    }

    /// The upstream calls another service for the request.
    pub fn call_began(&mut self, now: Timestamp) {
        if self.open_calls == 0 {
            self.waiting_since = now;
        }
        self.open_calls += 1;
    }

    /// Such a call has ended.
    pub fn call_ended(&mut self, now: Timestamp) {
        self.open_calls = self.open_calls.saturating_sub(1);
        if self.open_calls == 0 {
            self.waited += now.saturating_sub(self.waiting_since);
        }
    }

    /// Time of the upstream itself until now.
    pub fn own_time(&self, now: Timestamp) -> Duration {
        self.total_time(now).saturating_sub(self.waited)
    }

    /// Time since the request was handed over, calls to other services included.
    pub fn total_time(&self, now: Timestamp) -> Duration {
        now.saturating_sub(self.started_at)
    }
}
