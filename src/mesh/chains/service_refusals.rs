//! The share of requests that each service refuses without running them, as known to a node.

use std::{collections::HashMap, time::Duration};

use crate::{clock::Timestamp, names::ServiceName};

/// Time constant of the smoothed share.
const TIME_CONSTANT: Duration = Duration::from_millis(150);
/// Share of a service from which call chains are affected. A lower one is within the reach of the
/// bound on retries, or comes from a single instance that the placement then avoids.
const MIN_SHARE: f64 = 0.15;
/// Time for which the share must have been that high. The guards have measured it for some hundred
/// milliseconds before they report it.
const MIN_DURATION: Duration = Duration::from_millis(50);
/// Age from which a report is no longer used.
const REPORT_LIFETIME: Duration = Duration::from_secs(3);

#[derive(Debug, Clone, Copy)]
struct Known {
    share: f64,
    reported_at: Timestamp,
    /// Time since which the share affects call chains.
    high_since: Option<Timestamp>,
}

/// The refused share of each service, from the reports of its guards and of other nodes.
#[derive(Debug, Default)]
pub struct ServiceRefusals {
    services: HashMap<ServiceName, Known>,
}

impl ServiceRefusals {
    /// Records a report that was made at `at`; one older than the last is ignored. Returns whether the
    /// service affects call chains from now on if that may have changed.
    pub fn record(&mut self, service: &ServiceName, share: f64, at: Timestamp) -> Option<bool> {
        let Some(known) = self.services.get_mut(service) else {
            let high_since = (share >= MIN_SHARE).then_some(at);
            let known = Known { share, reported_at: at, high_since };
            self.services.insert(service.clone(), known);
            return high_since.map(|_| true);
        };
        if at < known.reported_at {
            return None;
        }
        let elapsed = at.saturating_sub(known.reported_at);
        let weight = 1.0 - (-elapsed.as_secs_f64() / TIME_CONSTANT.as_secs_f64()).exp();
        known.reported_at = at;
        known.share += weight * (share - known.share);
        match (known.share >= MIN_SHARE, known.high_since) {
            (true, None) => {
                known.high_since = Some(at);
                Some(true)
            }
            (false, Some(_)) => {
                known.high_since = None;
                Some(false)
            }
            _ => None,
        }
    }

    /// Share of requests that the service refuses; 0 unless it has been high for some time.
    pub fn share(&self, now: Timestamp, service: &str) -> f64 {
        let Some(known) = self.services.get(service) else { return 0.0 };
        let is_high = known.high_since.is_some_and(|since| now >= since + MIN_DURATION);
        match is_high && now < known.reported_at + REPORT_LIFETIME {
            true => known.share,
            false => 0.0,
        }
    }

    /// Smoothed share of a service and the time of its last report, to be passed on to other nodes.
    pub fn last_report(&self, service: &str) -> Option<(f64, Timestamp)> {
        self.services.get(service).map(|it| (it.share, it.reported_at))
    }

    /// Each service whose refusals affect call chains, with the refused share.
    pub fn affecting(&self, now: Timestamp) -> Vec<(ServiceName, f64)> {
        let shares =
            self.services.keys().map(|service| (service.clone(), self.share(now, service)));
        shares.filter(|(_, share)| *share > 0.0).collect()
    }
}
