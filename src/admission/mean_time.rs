//! A mean time of requests that expires when no request has ended recently.

use std::time::Duration;

use crate::clock::Timestamp;

/// Age of the last sample after which the mean is not used to predict the next request.
const MEAN_LIFETIME: Duration = Duration::from_secs(1);

/// An exponentially weighted mean of request times.
#[derive(Debug, Clone, Copy)]
pub struct MeanTime {
    weight: f64,
    mean_s: Option<f64>,
    recorded_at: Timestamp,
}

impl MeanTime {
    /// Creates an empty mean in which each new sample has this weight, between 0 and 1.
    pub fn new(weight: f64) -> Self {
        Self { weight, mean_s: None, recorded_at: Timestamp::ZERO }
    }

    /// Adds the time of a request that has ended.
    pub fn record(&mut self, now: Timestamp, time: Duration) {
        let time_s = time.as_secs_f64();
        let mean_s = self.mean_s.map_or(time_s, |mean_s| mean_s + self.weight * (time_s - mean_s));
        self.mean_s = Some(mean_s);
        self.recorded_at = now;
    }

    /// The mean, regardless of its age; zero without samples.
    pub fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean_s.unwrap_or(0.0))
    }

    /// The mean, or zero if no request has ended recently. With zero, requests that were refused as
    /// too slow are admitted again, which yields new samples.
    pub fn recent_mean(&self, now: Timestamp) -> Duration {
        match now < self.recorded_at + MEAN_LIFETIME {
            true => self.mean(),
            false => Duration::ZERO,
        }
    }
}
