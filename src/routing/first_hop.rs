//! Refusal at the first hop of what a service deeper in the chain would shed.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use crate::{
    clock::Timestamp,
    config::Importance,
    names::{OrganisationName, ServiceName},
};

/// A pressure that is older is taken for gone.
const PRESSURE_LIFETIME: Duration = Duration::from_millis(500);
/// Part of the requests below the pressure that pass, to find out when it is gone.
const PROBE_PART: f64 = 0.02;
/// Requests let through for each one that is accepted, while a chain refuses.
const PASS_FACTOR: f64 = 1.25;
/// Requests that pass in addition, so that a lane with few requests is not cut off by chance.
const PASS_EXTRA: f64 = 2.0;
/// Time constant of the counts.
const COUNT_DECAY: Duration = Duration::from_millis(500);
/// Without a refusal for this long, a lane is open again.
const REFUSAL_LIFETIME: Duration = Duration::from_millis(200);
/// Lanes that were not used for this long are forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(60);
const MAX_LANES: usize = 4096;

/// What a service sheds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pressure {
    /// The service.
    pub service: ServiceName,
    /// Importance below which it sheds; 0 where it does not.
    pub shed_below: Importance,
}

/// What to do with a root request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// Send it on.
    Admit,
    /// Refuse it: a service of its chain would shed it.
    Refuse,
}

/// Requests of one organisation in one class on one route.
#[derive(Debug, Clone, Copy)]
struct Lane {
    requests: f64,
    accepted: f64,
    counted_at: Timestamp,
    refused_at: Option<Timestamp>,
}

type LaneKey = (Arc<str>, Importance, Option<OrganisationName>);

/// What an entry node has learnt of the chains behind its routes.
///
/// Two rules act together. Classes that a service sheds as a whole are refused by importance.
/// The class that a service serves in part is refused for each organisation in proportion to
/// what the chain accepted from it, so an organisation within its fair share is not refused.
#[derive(Debug)]
pub struct FirstHopAdmission {
    chains: BTreeMap<Arc<str>, BTreeMap<ServiceName, (Importance, Timestamp)>>,
    lanes: BTreeMap<LaneKey, Lane>,
    random: ChaCha8Rng,
}

impl FirstHopAdmission {
    /// Makes a memory that has learnt nothing.
    pub fn new(seed: u64) -> Self {
        Self {
            chains: BTreeMap::new(),
            lanes: BTreeMap::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Decides on a root request.
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
        let refusing = lane.refused_at.is_some_and(|at| now < at + REFUSAL_LIFETIME);
        let excess = lane.requests - PASS_FACTOR * lane.accepted - PASS_EXTRA;
        if refusing && chance < excess / lane.requests {
            lane.requests += 1.0;
            return Verdict::Refuse;
        }
        let shed = self.chains.get(route).is_some_and(|chain| {
            chain.values().any(|(below, at)| importance < *below && now < *at + PRESSURE_LIFETIME)
        });
        match shed && chance >= PROBE_PART {
            true => Verdict::Refuse,
            false => Verdict::Admit,
        }
    }

    /// A root request that passed has ended.
    pub fn record_root_end(
        &mut self,
        now: Timestamp,
        route: &Arc<str>,
        importance: Importance,
        organisation: &Option<OrganisationName>,
        refused: bool,
    ) {
        let lane = self.lane(now, (route.clone(), importance, organisation.clone()));
        // Counted at the end like the answers, or requests under way would look refused.
        lane.requests += 1.0;
        match refused {
            true => lane.refused_at = Some(now),
            false => lane.accepted += 1.0,
        }
    }

    /// A reply on a route carried pressures.
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

    fn lane(&mut self, now: Timestamp, key: LaneKey) -> &mut Lane {
        if self.lanes.len() >= MAX_LANES {
            self.lanes.retain(|_, lane| now < lane.counted_at + FORGET_AFTER);
        }
        let lane = self.lanes.entry(key).or_insert(Lane {
            requests: 0.0,
            accepted: 0.0,
            counted_at: now,
            refused_at: None,
        });
        let age = now.saturating_sub(lane.counted_at).as_secs_f64();
        let keep = (-age / COUNT_DECAY.as_secs_f64()).exp();
        lane.requests *= keep;
        lane.accepted *= keep;
        lane.counted_at = now;
        lane
    }
}
