//! Counters and log lines of what callers do beyond the bounds.

use std::{collections::HashMap, time::Duration};

use parking_lot::Mutex;
use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family},
};

use crate::clock::Timestamp;

/// Time between two log lines about one kind of misuse.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

/// Kind of misuse.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Misuse {
    /// More connections than the bound; one that was not in use was closed.
    Connections,
    /// A head did not arrive within the time limit.
    SlowHead,
    /// A body stopped, or arrived below the minimum rate.
    SlowBody,
    /// An unfinished request was refused, since its memory was needed.
    Memory,
    /// A head over the limit.
    LargeHead,
    /// A body over the limit.
    LargeBody,
    /// Bytes that are not a request.
    Malformed,
    /// The caller did not read an answer within the time limit.
    UnreadAnswers,
}

impl Misuse {
    /// All kinds.
    pub const ALL: [Self; 8] = [
        Self::Connections,
        Self::SlowHead,
        Self::SlowBody,
        Self::Memory,
        Self::LargeHead,
        Self::LargeBody,
        Self::Malformed,
        Self::UnreadAnswers,
    ];

    /// Name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Connections => "connections",
            Self::SlowHead => "slow-head",
            Self::SlowBody => "slow-body",
            Self::Memory => "memory",
            Self::LargeHead => "large-head",
            Self::LargeBody => "large-body",
            Self::Malformed => "malformed",
            Self::UnreadAnswers => "unread-answers",
        }
    }
}

/// Labels of the counter.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct MisuseLabels {
    listener: &'static str,
    kind: &'static str,
}

/// Counts misuse by listener and kind, and logs it with one line per kind every few seconds.
#[derive(Debug, Default)]
pub struct MisuseCounters {
    counters: Family<MisuseLabels, Counter>,
    lines: Mutex<HashMap<MisuseLabels, LastLine>>,
}

#[derive(Debug, Default)]
struct LastLine {
    logged_at: Option<Timestamp>,
    /// Cases since that line.
    since: u64,
}

impl MisuseCounters {
    /// The counters, for registration.
    pub fn counters(&self) -> Family<MisuseLabels, Counter> {
        self.counters.clone()
    }

    /// Adds the counters of a listener, so that they are exported before the first case.
    pub fn add_listener(&self, listener: &'static str) {
        for misuse in Misuse::ALL {
            drop(self.counters.get_or_create(&MisuseLabels { listener, kind: misuse.as_str() }));
        }
    }

    /// Counts one case; returns the number of cases that a log line reports if one was written.
    pub fn record(&self, now: Timestamp, listener: &'static str, misuse: Misuse) -> Option<u64> {
        let labels = MisuseLabels { listener, kind: misuse.as_str() };
        self.counters.get_or_create(&labels).inc();
        let mut lines = self.lines.lock();
        let line = lines.entry(labels).or_default();
        line.since += 1;
        if line.logged_at.is_some_and(|at| now < at + LOG_INTERVAL) {
            return None;
        }
        line.logged_at = Some(now);
        let cases = std::mem::take(&mut line.since);
        drop(lines);
        log::warn!(
            listener = listener, kind = misuse.as_str(), cases = cases;
            "callers exceed the bounds of a listener; cases since the last line of this kind"
        );
        Some(cases)
    }
}
