//! Why connections to an upstream are opened: counts by reason and a summary in the log.

use std::{
    collections::VecDeque,
    sync::atomic::{AtomicUsize, Ordering},
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family},
};
use tokio::sync::Notify;

/// Time between two lines of the log with the reasons.
const LOG_INTERVAL: Duration = Duration::from_secs(5);
/// Time for which a new connection counts as the replacement of one that was closed.
const REPLACEMENT_TIME: Duration = Duration::from_secs(10);
/// Maximum number of closed connections that are remembered.
const MAX_REMEMBERED: usize = 1024;

/// Why a new connection is opened. All but the first one are also reasons why a connection is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OpenReason {
    /// More requests run at the same time than before.
    NoneIdle,
    /// The idle connections were unused for too long.
    IdleTooLong,
    /// The upstream has closed a connection, or sent bytes on it that belong to no request.
    ClosedByUpstream,
    /// A request was cancelled or reached its deadline before its response was complete.
    Cancelled,
    /// The connection has carried a refusal, and is not used again yet.
    Refusal,
    /// The response was invalid or incomplete.
    InvalidResponse,
    /// The idle connections were not ready in time after their last response.
    NotReady,
    /// More connections were open than the pool or the upstream permits.
    Surplus,
    /// The upstream was replaced by another one.
    OtherUpstream,
}

impl OpenReason {
    /// All reasons, in the order of their declaration.
    pub const ALL: [Self; 9] = [
        Self::NoneIdle,
        Self::IdleTooLong,
        Self::ClosedByUpstream,
        Self::Cancelled,
        Self::Refusal,
        Self::InvalidResponse,
        Self::NotReady,
        Self::Surplus,
        Self::OtherUpstream,
    ];

    /// Name in metrics and the log.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoneIdle => "none-idle",
            Self::IdleTooLong => "idle-too-long",
            Self::ClosedByUpstream => "closed-by-upstream",
            Self::Cancelled => "cancelled",
            Self::Refusal => "refusal",
            Self::InvalidResponse => "invalid-response",
            Self::NotReady => "not-ready",
            Self::Surplus => "surplus",
            Self::OtherUpstream => "other-upstream",
        }
    }
}

/// Labels of the metric.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OpenLabels {
    reason: &'static str,
}

/// Counts of opened connections by reason.
pub type OpenCounts = Family<OpenLabels, Counter>;

/// Connections that were opened since the last line in the log.
#[derive(Debug, Default)]
struct Summary {
    logged_at: Option<Instant>,
    by_reason: [u64; OpenReason::ALL.len()],
}

/// The open connections of a pool, and why they were opened.
#[derive(Debug, Default)]
pub struct OpenConnections {
    open: AtomicUsize,
    /// Closed connections that no new one has replaced yet, with the times.
    closed: Mutex<VecDeque<(OpenReason, Instant)>>,
    counts: OpenCounts,
    summary: Mutex<Summary>,
    /// Notified when a connection is closed or becomes idle.
    pub released: Notify,
}

impl OpenConnections {
    /// Number of open connections.
    pub fn len(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Counts of opened connections by reason.
    pub fn counts(&self) -> &OpenCounts {
        &self.counts
    }

    /// Number of connections that were opened for this reason.
    pub fn count(&self, reason: OpenReason) -> u64 {
        self.counts.get_or_create(&OpenLabels { reason: reason.as_str() }).get()
    }

    /// Counts a connection that is to be opened, if fewer than `max_open` are open.
    pub fn begin(&self, max_open: usize) -> bool {
        let update = |open: usize| (open < max_open).then_some(open + 1);
        self.open.try_update(Ordering::Relaxed, Ordering::Relaxed, update).is_ok()
    }

    /// Records that a connection was closed, or that its opening failed where there is no reason.
    pub fn end(&self, reason: Option<OpenReason>) {
        self.open.fetch_sub(1, Ordering::Relaxed);
        if let Some(reason) = reason {
            let mut closed = self.closed.lock();
            if closed.len() == MAX_REMEMBERED {
                closed.pop_front();
            }
            closed.push_back((reason, Instant::now()));
        }
        self.released.notify_one();
    }

    /// Records that a connection was opened; `unusable` says why the idle ones could not be used.
    /// Without them, the reason is that of the connection that was closed first and not replaced.
    pub fn record_open(&self, unusable: Option<OpenReason>) {
        let now = Instant::now();
        let reason = unusable.unwrap_or_else(|| {
            let mut closed = self.closed.lock();
            while closed.front().is_some_and(|(_, at)| now - *at >= REPLACEMENT_TIME) {
                closed.pop_front();
            }
            closed.pop_front().map_or(OpenReason::NoneIdle, |(reason, _)| reason)
        });
        self.counts.get_or_create(&OpenLabels { reason: reason.as_str() }).inc();
        let mut summary = self.summary.lock();
        summary.by_reason[reason as usize] += 1;
        if summary.logged_at.is_some_and(|at| now - at < LOG_INTERVAL) {
            return;
        }
        summary.logged_at = Some(now);
        let by_reason = std::mem::take(&mut summary.by_reason);
        drop(summary);
        let reasons: Vec<String> = OpenReason::ALL
            .iter()
            .zip(by_reason)
            .filter(|(_, count)| *count > 0)
            .map(|(reason, count)| format!("{} {count}", reason.as_str()))
            .collect();
        log::info!(
            opened = by_reason.iter().sum::<u64>(), reasons = reasons.join(", "),
            open = self.len();
            "connections to the upstream opened since the last such line"
        );
    }
}
