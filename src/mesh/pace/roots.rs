//! Admission of root requests to services whose upstreams are all cold.
//!
//! Load pattern: after a loss of power, all upstreams of a service are cold for some seconds, and the
//! refused callers come back, so that three times the usual load arrives. Admission by load needs
//! measured requests and some seconds to settle; here the capacity is known at once, since the upstreams
//! name it. Each entry node takes its share of the sum of the paces: at first an equal
//! one, then more with each chain that is not refused below, and less at once with one that is: callers may
//! reach only a few entry nodes.

use std::{collections::HashMap, time::Duration};

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use crate::{clock::Timestamp, names::ServiceName};

/// Factor of a step up of the share with each chain that was not refused, until the first refusal, and
/// after it. With the factor of a step down, one chain in six is refused in the long run.
const FIRST_STEP_UP: f64 = 2.0;
const STEP_UP: f64 = 1.1;
/// Factor of a step down with each chain that was refused.
const STEP_DOWN: f64 = 0.6;
/// Tokens that may be saved up, as time at the share.
const MAX_SAVED: Duration = Duration::from_millis(300);
/// Tokens that the least urgent request leaves to others, as time at the share.
const RESERVED_FOR_URGENT: Duration = Duration::from_millis(200);
/// Part of a token that may be missing, so that rounding refuses no caller that comes back in time.
const TOLERANCE: f64 = 1e-3;
/// Time without a request after which a share begins anew.
const LIFETIME: Duration = Duration::from_secs(2);
/// Time after the end of the cold state over which refused callers are asked to come back.
const RETURN_SPREAD: Duration = Duration::from_millis(500);

/// What the upstreams of a service accept while all of them are cold.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServicePace {
    /// Sum of the paces, in requests per second.
    pub per_s: f64,
    /// Time after which an upstream is expected to be warm; `None` if unknown.
    pub remaining: Option<Duration>,
}

/// Refusal of a root request, since a service of its chain has no room.
#[derive(Debug, Clone, PartialEq)]
pub struct PacedRefusal {
    /// The service.
    pub service: ServiceName,
    /// Time after which there is room for one more request.
    pub retry_after: Duration,
}

#[derive(Debug)]
struct Share {
    /// Part of the sum of the paces that this entry node uses.
    fraction: f64,
    per_s: f64,
    tokens: f64,
    updated_at: Timestamp,
    /// Whether a request was refused here for want of tokens since the last result.
    was_short: bool,
    /// Whether a chain was refused below since the share began.
    was_refused: bool,
    /// Time up to which refused callers were asked to come back.
    promised_until: Timestamp,
}

/// The shares of this entry node in the paces of services.
#[derive(Debug)]
pub struct PacedRoots {
    shares: HashMap<ServiceName, Share>,
    random: ChaCha8Rng,
}

impl PacedRoots {
    /// Creates the state without shares; `seed` initialises the random generator.
    pub fn new(seed: u64) -> Self {
        Self { shares: HashMap::new(), random: ChaCha8Rng::seed_from_u64(seed) }
    }

    /// Decides on a root request that makes this number of requests to each of these services.
    ///
    /// `urgency` is 1 for the most urgent rank and 0 for the least, `entries` the number of entry nodes.
    pub fn try_admit(
        &mut self,
        now: Timestamp,
        uses: &[(ServiceName, f64, ServicePace)],
        urgency: f64,
        entries: usize,
    ) -> Result<(), PacedRefusal> {
        for (service, requests, pace) in uses {
            let share = self.share(now, service, *requests, pace, entries);
            let reserved_s = RESERVED_FOR_URGENT.as_secs_f64() * (1.0 - urgency);
            let missing = reserved_s * share.per_s - share.tokens;
            if missing <= TOLERANCE {
                continue;
            }
            share.was_short = true;
            let in_turn = share.promised_until.max(now + to_time(missing, share.per_s));
            share.promised_until = in_turn + to_time(*requests, share.per_s);
            let mut retry_after = in_turn.saturating_sub(now);
            if let Some(remaining) = pace.remaining {
                let spread = RETURN_SPREAD.mul_f64(self.random.random_range(0.0..1.0));
                retry_after = retry_after.min(remaining + spread);
            }
            return Err(PacedRefusal { service: service.clone(), retry_after });
        }
        for (service, requests, _) in uses {
            if let Some(share) = self.shares.get_mut(service) {
                share.tokens -= requests;
            }
        }
        Ok(())
    }

    /// Returns the charge of a root request that did not begin.
    pub fn refund(&mut self, service: &ServiceName, requests: f64) {
        if let Some(share) = self.shares.get_mut(service) {
            share.tokens += requests;
        }
    }

    /// Records whether a chain that used a service was refused in it.
    pub fn record_result(&mut self, service: &ServiceName, was_refused: bool) {
        let Some(share) = self.shares.get_mut(service) else { return };
        if was_refused {
            share.was_refused = true;
            share.fraction *= STEP_DOWN;
        } else if share.was_short {
            share.fraction *= if share.was_refused { STEP_UP } else { FIRST_STEP_UP };
        }
        share.was_short = false;
    }

    /// Requests per second that root requests may make to services whose upstreams are all cold.
    pub fn shares(&self, now: Timestamp) -> impl Iterator<Item = (&ServiceName, f64)> {
        let current = self.shares.iter().filter(move |(_, it)| now < it.updated_at + LIFETIME);
        current.map(|(service, share)| (service, share.per_s))
    }

    fn share(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        requests: f64,
        pace: &ServicePace,
        entries: usize,
    ) -> &mut Share {
        self.shares.retain(|_, share| now < share.updated_at + LIFETIME);
        let least = 1.0 / entries.max(1) as f64;
        let random = &mut self.random;
        let share = self.shares.entry(service.clone()).or_insert_with(|| Share {
            fraction: least,
            per_s: 0.0,
            // Entry nodes begin at random points of the time that one request takes: otherwise each of
            // many nodes with small shares would admit a chain at once.
            tokens: -requests * random.random_range(0.0..1.0),
            updated_at: now,
            was_short: false,
            was_refused: false,
            promised_until: Timestamp::ZERO,
        });
        share.fraction = share.fraction.clamp(least * STEP_DOWN, 1.0);
        share.per_s = pace.per_s * share.fraction;
        let elapsed = now.saturating_sub(share.updated_at);
        share.updated_at = now;
        let capacity = 1.0 + share.per_s * MAX_SAVED.as_secs_f64();
        share.tokens = (share.tokens + share.per_s * elapsed.as_secs_f64()).min(capacity);
        share
    }
}

fn to_time(requests: f64, per_s: f64) -> Duration {
    Duration::try_from_secs_f64(requests.max(0.0) / per_s).unwrap_or(Duration::MAX / 4)
}
