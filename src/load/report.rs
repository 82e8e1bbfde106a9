//! What a run measured.

use std::{collections::BTreeMap, fmt, sync::Arc, time::Duration};

use hdrhistogram::Histogram;
use serde::Serialize;

const PRECISION_DIGITS: u8 = 3;

/// How one request ended for its caller, after its last sending.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Ending {
    /// A whole answer of its own.
    Whole,
    /// An answer that is cut or belongs to another request.
    WrongAnswer,
    /// Refused, not run.
    NotRun,
    /// Outcome unknown.
    Unknown,
    /// The caller gave up or its connection broke.
    NoAnswer,
}

/// Counts and times of one stream while it runs.
#[derive(Debug)]
pub(super) struct Recorder {
    arrivals: u64,
    not_sent: u64,
    sendings: u64,
    max_sendings: u32,
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
            sendings: 0,
            max_sendings: 0,
            endings: BTreeMap::new(),
            reasons: BTreeMap::new(),
            whole_by_second: Vec::new(),
            latency_us: Histogram::new(PRECISION_DIGITS).expect("three digits are supported"),
        }
    }

    pub(super) fn not_sent(&mut self) {
        self.arrivals += 1;
        self.not_sent += 1;
    }

    /// Counts a finished request; its time counts from when it was due, not from its sending.
    pub(super) fn finished(
        &mut self,
        ending: Ending,
        sendings: u32,
        since_due: Duration,
        since_start: Duration,
    ) {
        self.arrivals += 1;
        self.sendings += u64::from(sendings);
        self.max_sendings = self.max_sendings.max(sendings);
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

    pub(super) fn reason(&mut self, reason: String) {
        *self.reasons.entry(reason).or_default() += 1;
    }

    pub(super) fn report(&self, name: &Arc<str>, duration: Duration) -> StreamReport {
        let whole = self.endings.get(Ending::Whole.name()).copied().unwrap_or(0);
        let finished = self.arrivals - self.not_sent;
        let milliseconds = |quantile| self.latency_us.value_at_quantile(quantile) as f64 / 1000.0;
        StreamReport {
            name: name.clone(),
            arrivals: self.arrivals,
            not_sent: self.not_sent,
            endings: self.endings.clone(),
            reasons: self.reasons.clone(),
            goodput_per_s: whole as f64 / duration.as_secs_f64(),
            mean_sendings: self.sendings as f64 / finished.max(1) as f64,
            max_sendings: self.max_sendings,
            p50_ms: milliseconds(0.5),
            p99_ms: milliseconds(0.99),
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

/// What a run measured.
#[derive(Debug, Serialize)]
pub struct Report {
    /// Time during which requests were sent, in milliseconds.
    pub duration_ms: u64,
    /// The streams, in the order of the plan.
    pub streams: Vec<StreamReport>,
}

/// What one stream measured.
#[derive(Debug, Serialize)]
pub struct StreamReport {
    /// Name of the stream.
    pub name: Arc<str>,
    /// Requests that were due.
    pub arrivals: u64,
    /// Requests that were due while too many were in flight.
    pub not_sent: u64,
    /// Requests by how they ended for the caller.
    pub endings: BTreeMap<&'static str, u64>,
    /// Refusals and unknown outcomes by reason, re-sends included.
    pub reasons: BTreeMap<String, u64>,
    /// Whole answers a second.
    pub goodput_per_s: f64,
    /// Sendings for each request that was sent, in the mean.
    pub mean_sendings: f64,
    /// Most sendings of one request.
    pub max_sendings: u32,
    /// Median time from when a request was due to its whole answer, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of that time, in milliseconds.
    pub p99_ms: f64,
    /// Longest such time, in milliseconds.
    pub max_ms: f64,
    /// Whole answers in each second of the run.
    pub whole_by_second: Vec<u64>,
}

impl StreamReport {
    /// Number of requests that ended in a way.
    pub fn ended(&self, ending: &str) -> u64 {
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
                stream.ended("whole"),
                stream.ended("not_run"),
                stream.ended("unknown"),
                stream.ended("no_answer") + stream.not_sent,
                stream.ended("wrong_answer"),
                stream.goodput_per_s,
                stream.mean_sendings,
                stream.p50_ms,
                stream.p99_ms,
            )?;
        }
        Ok(())
    }
}
