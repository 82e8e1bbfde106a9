//! The measurements of a run and its report.

use std::{collections::BTreeMap, fmt, sync::Arc, time::Duration};

use hdrhistogram::Histogram;
use serde::Serialize;

const HISTOGRAM_DIGITS: u8 = 3;

/// Result of one request for its caller, after the last attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Ending {
    /// A complete response with a success status; where echoes are checked, it echoes its own body.
    Whole,
    /// An answer that is truncated or belongs to another request.
    WrongAnswer,
    /// Refused without running.
    NotRun,
    /// Unknown outcome: the request may have run.
    Unknown,
    /// The attempt timed out or its connection failed.
    NoAnswer,
}

/// Counts and latencies of one stream, recorded during the run.
#[derive(Debug)]
pub(super) struct Recorder {
    arrivals: u64,
    not_sent: u64,
    attempts: u64,
    max_attempts: u32,
    endings: BTreeMap<&'static str, u64>,
    reasons: BTreeMap<String, u64>,
    whole_by_second: Vec<u64>,
    latency_us: Histogram<u64>,
}

impl Recorder {
    pub(super) fn new() -> Self {
        Self {
            arrivals: 0,
            not_sent: 0,
            attempts: 0,
            max_attempts: 0,
            endings: BTreeMap::new(),
            reasons: BTreeMap::new(),
            whole_by_second: Vec::new(),
            latency_us: Histogram::new(HISTOGRAM_DIGITS).expect("three digits are supported"),
        }
    }

    pub(super) fn record_not_sent(&mut self) {
        self.arrivals += 1;
        self.not_sent += 1;
    }

    /// Records a finished request. Its latency counts from when it was due, not from when it was
    /// sent, so that a delayed start counts as latency.
    pub(super) fn record_finished(
        &mut self,
        ending: Ending,
        attempts: u32,
        since_due: Duration,
        since_start: Duration,
    ) {
        self.arrivals += 1;
        self.attempts += u64::from(attempts);
        self.max_attempts = self.max_attempts.max(attempts);
        *self.endings.entry(ending.name()).or_default() += 1;
        if ending != Ending::Whole {
            return;
        }
        let second = usize::try_from(since_start.as_secs()).unwrap_or(usize::MAX);
        if self.whole_by_second.len() <= second {
            self.whole_by_second.resize(second + 1, 0);
        }
        self.whole_by_second[second] += 1;
        let latency_us = u64::try_from(since_due.as_micros()).unwrap_or(u64::MAX);
        self.latency_us.saturating_record(latency_us);
    }

    pub(super) fn record_reason(&mut self, reason: String) {
        *self.reasons.entry(reason).or_default() += 1;
    }

    pub(super) fn to_report(&self, name: &Arc<str>, duration: Duration) -> StreamReport {
        let whole = self.endings.get(Ending::Whole.name()).copied().unwrap_or(0);
        let finished = self.arrivals - self.not_sent;
        let quantile_ms = |quantile| self.latency_us.value_at_quantile(quantile) as f64 / 1000.0;
        StreamReport {
            name: name.clone(),
            arrivals: self.arrivals,
            not_sent: self.not_sent,
            endings: self.endings.clone(),
            reasons: self.reasons.clone(),
            goodput_per_s: whole as f64 / duration.as_secs_f64(),
            mean_attempts: self.attempts as f64 / finished.max(1) as f64,
            max_attempts: self.max_attempts,
            p50_ms: quantile_ms(0.5),
            p99_ms: quantile_ms(0.99),
            max_ms: self.latency_us.max() as f64 / 1000.0,
            whole_by_second: self.whole_by_second.clone(),
        }
    }
}

impl Ending {
    fn name(self) -> &'static str {
        match self {
            Self::Whole => "whole",
            Self::WrongAnswer => "wrong_answer",
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
            Self::NoAnswer => "no_answer",
        }
    }
}

/// Report of a run.
#[derive(Debug, Serialize)]
pub struct Report {
    /// Time during which requests were sent, in milliseconds.
    pub duration_ms: u64,
    /// The streams, in the order of the plan.
    pub streams: Vec<StreamReport>,
}

/// Report of one stream.
#[derive(Debug, Serialize)]
pub struct StreamReport {
    /// Name of the stream.
    pub name: Arc<str>,
    /// Requests that were due, sent or not.
    pub arrivals: u64,
    /// Requests that were not sent, since too many were in flight.
    pub not_sent: u64,
    /// Requests that were sent, by their result for the caller.
    pub endings: BTreeMap<&'static str, u64>,
    /// Attempts that were refused or had an unknown outcome, by reason.
    pub reasons: BTreeMap<String, u64>,
    /// Complete responses per second.
    pub goodput_per_s: f64,
    /// Mean number of attempts of the requests that were sent.
    #[serde(rename = "mean_sendings")]
    pub mean_attempts: f64,
    /// Largest number of attempts of one request.
    #[serde(rename = "max_sendings")]
    pub max_attempts: u32,
    /// Median time from when a request was due to its complete response, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of that time, in milliseconds.
    pub p99_ms: f64,
    /// Maximum of that time, in milliseconds.
    pub max_ms: f64,
    /// Complete responses in each second of the run.
    pub whole_by_second: Vec<u64>,
}

impl StreamReport {
    /// Number of requests with a result, by its name in [`Self::endings`].
    pub fn ending_count(&self, ending: &str) -> u64 {
        self.endings.get(ending).copied().unwrap_or(0)
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<24} {:>8} {:>8} {:>8} {:>8} {:>8} {:>6} {:>10} {:>9} {:>8} {:>8}",
            "stream",
            "arrivals",
            "whole",
            "not-run",
            "unknown",
            "noanswer",
            "wrong",
            "goodput/s",
            "sendings",
            "p50 ms",
            "p99 ms"
        )?;
        for stream in &self.streams {
            writeln!(
                f,
                "{:<24} {:>8} {:>8} {:>8} {:>8} {:>8} {:>6} {:>10.1} {:>9.2} {:>8.2} {:>8.2}",
                stream.name,
                stream.arrivals,
                stream.ending_count("whole"),
                stream.ending_count("not_run"),
                stream.ending_count("unknown"),
                stream.ending_count("no_answer") + stream.not_sent,
                stream.ending_count("wrong_answer"),
                stream.goodput_per_s,
                stream.mean_attempts,
                stream.p50_ms,
                stream.p99_ms,
            )?;
        }
        Ok(())
    }
}
