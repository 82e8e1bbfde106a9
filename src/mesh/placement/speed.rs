//! The current speed of the local upstream, from the relative service time that its answers report.
//!
//! Load pattern: a machine is slowed down 2.5 times for 600 ms, several times a minute. The mean time of
//! its requests follows only after some of them have ended; the relative service time follows at once.

use std::time::Duration;

use crate::clock::Timestamp;

/// Weight of a new answer in the means; that of the mean time of the requests themselves.
const MEAN_WEIGHT: f64 = 0.05;
/// Time after which a reported figure is no longer used.
const FIGURE_LIFETIME: Duration = Duration::from_secs(1);
/// Range of the relative service times that are believed.
const RELATIVE_TIMES: std::ops::RangeInclusive<f64> = 0.1..=20.0;

/// Speed of an upstream that reports its relative service time.
#[derive(Debug, Default)]
pub struct UpstreamSpeed {
    figures: Option<Figures>,
}

#[derive(Debug, Clone, Copy)]
struct Figures {
    current: f64,
    /// Mean over the answers that the mean time of requests contains.
    mean: f64,
    /// Fraction of the time of requests that the upstream itself needs, and not its nested calls.
    own_fraction: f64,
    reported_at: Timestamp,
}

impl UpstreamSpeed {
    /// Records the relative service time that an answer reports (1 means as usual), the time that the
    /// request held its slot, and the time of its nested calls.
    pub fn record(&mut self, now: Timestamp, relative: f64, held: Duration, below: Duration) {
        if !RELATIVE_TIMES.contains(&relative) {
            return;
        }
        let held_s = held.as_secs_f64().max(1e-6);
        let own_fraction = (1.0 - below.as_secs_f64() / held_s).clamp(0.0, 1.0);
        let blend = |mean: f64, new: f64| mean + MEAN_WEIGHT * (new - mean);
        self.figures = Some(match self.figures {
            Some(known) => Figures {
                current: relative,
                mean: blend(known.mean, relative),
                own_fraction: blend(known.own_fraction, own_fraction),
                reported_at: now,
            },
            None => Figures { current: relative, mean: relative, own_fraction, reported_at: now },
        });
    }

    /// Expected time of a request that starts now, relative to the mean time of the last requests;
    /// `None` if the upstream does not report its speed.
    pub fn relative_time(&self, now: Timestamp) -> Option<f64> {
        let known = self.figures?;
        if now >= known.reported_at + FIGURE_LIFETIME {
            return Some(1.0);
        }
        Some(1.0 + known.own_fraction * (known.current / known.mean - 1.0))
    }
}
