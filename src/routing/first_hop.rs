//! Refusal at the first hop of root requests that a service deeper in the call chain would shed.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use crate::{
    clock::Timestamp,
    config::Importance,
    names::{OrganisationName, ServiceName},
};

/// Age after which a reported pressure is considered to have ended.
const PRESSURE_LIFETIME: Duration = Duration::from_millis(500);
/// Fraction of requests below the pressure's importance that are admitted, to detect when the
/// pressure ends.
const PROBE_FRACTION: f64 = 0.02;
/// Requests admitted per request that the call chain accepts, while the chain refuses some.
const ADMIT_FACTOR: f64 = 1.25;
/// Requests admitted in addition to those of [`ADMIT_FACTOR`], so that a lane with few requests is
/// not refused entirely by chance.
const FREE_REQUESTS: f64 = 2.0;
/// Time constant with which the request counts decay.
const COUNT_TIME_CONSTANT: Duration = Duration::from_millis(500);
/// Time since the last refusal after which all requests of a lane are admitted again.
const REFUSAL_LIFETIME: Duration = Duration::from_millis(200);
/// Idle time after which a lane may be removed.
const LANE_LIFETIME: Duration = Duration::from_secs(60);
/// Number of lanes at which idle ones are removed.
const MAX_LANES: usize = 4096;

/// The importance below which a service sheds requests, as reported in replies.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pressure {
    /// Name of the service.
    pub service: ServiceName,
    /// Importance below which the service sheds requests; 0 if it sheds none.
    pub shed_below: Importance,
}

/// Decision on a root request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// Forward the request.
    Admit,
    /// Refuse the request, since a service in its call chain would shed it.
    Refuse,
}

/// Decaying counts of the requests of one organisation with one importance on one route.
#[derive(Debug, Clone, Copy)]
struct Lane {
    requests: f64,
    accepted: f64,
    counted_at: Timestamp,
    refused_at: Option<Timestamp>,
}

/// Route, importance and organisation.
type LaneKey = (Arc<str>, Importance, Option<OrganisationName>);

/// Decides at an entry node which root requests to refuse, based on replies from the call chains
/// behind its routes.
///
/// Two rules are combined. Classes that a service sheds entirely are refused by importance. For the
/// class that a service serves in part, requests are refused per organisation in proportion to what
/// the chain accepted from it, so an organisation within its fair share is not refused.
#[derive(Debug)]
pub struct FirstHopAdmission {
    /// Last reported pressure of each service in the call chains of a route, with the time of the
    /// report.
    chains: BTreeMap<Arc<str>, BTreeMap<ServiceName, (Importance, Timestamp)>>,
    lanes: BTreeMap<LaneKey, Lane>,
    random: ChaCha8Rng,
}

impl FirstHopAdmission {
    /// Creates the state of an entry node that has received no replies yet.
    pub fn new(seed: u64) -> Self {
        Self {
            chains: BTreeMap::new(),
            lanes: BTreeMap::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Decides whether to admit a root request.
    pub fn check(
        &mut self,
        now: Timestamp,
        route: &Arc<str>,
        importance: Importance,
        organisation: &Option<OrganisationName>,
    ) -> Verdict {
        let chance: f64 = self.random.random_range(0.0..1.0);
        let key = (route.clone(), importance, organisation.clone());
        let lane = self.lane(now, key);
        let is_refusing = lane.refused_at.is_some_and(|at| now < at + REFUSAL_LIFETIME);
        let excess = lane.requests - ADMIT_FACTOR * lane.accepted - FREE_REQUESTS;
        if is_refusing && chance < excess / lane.requests {
            lane.requests += 1.0;
            return Verdict::Refuse;
        }
        let is_shed = self.chains.get(route).is_some_and(|chain| {
            chain.values().any(|(below, at)| importance < *below && now < *at + PRESSURE_LIFETIME)
        });
        match is_shed && chance >= PROBE_FRACTION {
            true => Verdict::Refuse,
            false => Verdict::Admit,
        }
    }

    /// Records the end of an admitted root request; `is_refused` means refused by the call chain.
    pub fn record_root_end(
        &mut self,
        now: Timestamp,
        route: &Arc<str>,
        importance: Importance,
        organisation: &Option<OrganisationName>,
        is_refused: bool,
    ) {
        let lane = self.lane(now, (route.clone(), importance, organisation.clone()));
        // Requests are counted when they end, as accepted ones are; otherwise requests in flight
        // would count as refused.
        lane.requests += 1.0;
        match is_refused {
            true => lane.refused_at = Some(now),
            false => lane.accepted += 1.0,
        }
    }

    /// Stores the pressures that a reply on a route carried.
    pub fn record_pressures(&mut self, now: Timestamp, route: &Arc<str>, pressures: &[Pressure]) {
        let chain = self.chains.entry(route.clone()).or_default();
        for pressure in pressures {
            match chain.get_mut(&pressure.service) {
                Some(known) => *known = (pressure.shed_below, now),
                None => {
                    chain.insert(pressure.service.clone(), (pressure.shed_below, now));
                }
            }
        }
    }

    /// The lane of this key, with its counts decayed to `now`.
    fn lane(&mut self, now: Timestamp, key: LaneKey) -> &mut Lane {
        if self.lanes.len() >= MAX_LANES {
            self.lanes.retain(|_, lane| now < lane.counted_at + LANE_LIFETIME);
        }
        let lane = self.lanes.entry(key).or_insert(Lane {
            requests: 0.0,
            accepted: 0.0,
            counted_at: now,
            refused_at: None,
        });
        let age_s = now.saturating_sub(lane.counted_at).as_secs_f64();
        let decay = (-age_s / COUNT_TIME_CONSTANT.as_secs_f64()).exp();
        lane.requests *= decay;
        lane.accepted *= decay;
        lane.counted_at = now;
        lane
    }
}
