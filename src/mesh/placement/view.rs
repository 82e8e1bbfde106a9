//! What an entry node knows of the load and the speed of one instance, from reports that age.
//!
//! Load pattern: the speed of an instance changes for some 600 ms, and an entry node hears of an instance
//! only with the answers of its own requests, so that its view may be a second old. A report describes
//! the moment; after that, the mean of the last seconds is the better estimate.

use std::time::Duration;

use crate::{
    clock::Timestamp,
    mesh::{LoadReport, placement::REPORT_LIFETIME},
};

/// Time constant with which the last report loses its weight against the mean.
const REPORT_TIME_CONSTANT: Duration = Duration::from_millis(300);
/// Time constant of the mean.
const MEAN_TIME_CONSTANT: Duration = Duration::from_secs(3);

/// Largest occupied fraction in the mean. A long queue is a state of the moment: in the mean, it would
/// keep an instance unused for seconds after the queue has ended.
const MAX_MEAN_OCCUPIED: f64 = 1.1;

/// Occupied fraction of the limit, and relative time of a request.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Sample {
    /// Running and waiting requests divided by the limit.
    occupied: f64,
    /// Time that a request which starts now holds a slot, in seconds.
    held_s: f64,
}

impl Sample {
    fn towards(self, other: Self, weight: f64) -> Self {
        let blend = |from: f64, to: f64| from + weight * (to - from);
        Self {
            occupied: blend(self.occupied, other.occupied),
            held_s: blend(self.held_s, other.held_s),
        }
    }
}

/// View of an instance whose upstream reports its relative service time.
#[derive(Debug, Clone, Copy)]
pub struct View {
    last: Sample,
    mean: Sample,
    reported_at: Timestamp,
    limit: f64,
}

impl View {
    /// Adds a report to the view; `None` if the report has no relative service time.
    pub fn update(before: Option<Self>, now: Timestamp, report: &LoadReport) -> Option<Self> {
        let relative_time = report.relative_time?;
        let limit = f64::from(report.limit.max(1));
        let last = Sample {
            occupied: (f64::from(report.running) + f64::from(report.waiting)) / limit,
            held_s: report.mean_s * relative_time,
        };
        let bounded = Sample { occupied: last.occupied.min(MAX_MEAN_OCCUPIED), ..last };
        let mean = before.map_or(bounded, |before| {
            let age = now.saturating_sub(before.reported_at);
            // Reports of one moment count as one.
            before.mean.towards(bounded, 1.0 - decay(age, MEAN_TIME_CONSTANT))
        });
        Some(Self { last, mean, reported_at: now, limit })
    }

    /// Whether the last report still describes the instance at all.
    pub fn is_recent(&self, now: Timestamp) -> bool {
        now < self.reported_at + 10 * REPORT_LIFETIME
    }

    /// Running and waiting requests divided by the limit, with the requests that this node has sent since
    /// the last report.
    pub fn occupied(&self, now: Timestamp, sent_since: u32) -> f64 {
        self.estimate(now).occupied + f64::from(sent_since) / self.limit
    }

    /// Requests per second that the instance can run.
    pub fn capacity_per_s(&self, now: Timestamp) -> f64 {
        self.limit / self.estimate(now).held_s.max(1e-4)
    }

    /// Time of a request that starts now, relative to the mean time that the report states.
    pub fn relative_time(&self, now: Timestamp, mean_s: f64) -> f64 {
        if mean_s > 0.0 { self.estimate(now).held_s / mean_s } else { 1.0 }
    }

    fn estimate(&self, now: Timestamp) -> Sample {
        let weight = decay(now.saturating_sub(self.reported_at), REPORT_TIME_CONSTANT);
        self.mean.towards(self.last, weight)
    }
}

fn decay(age: Duration, time_constant: Duration) -> f64 {
    (-age.as_secs_f64() / time_constant.as_secs_f64()).exp()
}
