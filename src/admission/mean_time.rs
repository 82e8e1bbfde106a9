//! The mean time of requests, which says nothing once no request has ended for a while.

use std::time::Duration;

use crate::clock::Timestamp;

/// Without completions for this long, the mean says nothing about the next request.
const LIFETIME: Duration = Duration::from_secs(1);

/// An exponentially weighted mean of the times of requests.
#[derive(Debug, Clone, Copy)]
pub struct MeanTime {
    weight: f64,
    mean_s: Option<f64>,
    learned_at: Timestamp,
}

impl MeanTime {
    /// Makes a mean of no request, to which each new one adds this weight.
    pub fn new(weight: f64) -> Self {
        Self { weight, mean_s: None, learned_at: Timestamp::ZERO }
    }

    /// Takes the time of a request that has ended.
    pub fn record(&mut self, now: Timestamp, time: Duration) {
        let time_s = time.as_secs_f64();
        let mean_s = self.mean_s.map_or(time_s, |mean_s| mean_s + self.weight * (time_s - mean_s));
        self.mean_s = Some(mean_s);
        self.learned_at = now;
    }

    /// The mean, however old; zero where no request has ended.
    pub fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean_s.unwrap_or(0.0))
    }

    /// The mean; zero where no request has ended lately, so that work which is refused as too slow
    /// is tried again.
    pub fn recent_mean(&self, now: Timestamp) -> Duration {
        match now < self.learned_at + LIFETIME {
            true => self.mean(),
            false => Duration::ZERO,
        }
    }
}
