//! Floors under the admission of root requests: no route and no organisation is refused altogether
//! while others are admitted.
//!
//! Load pattern: requests of an urgent rank alone exceed the capacity of a deep service for many
//! seconds. Admission by urgency would refuse every request of the other ranks.

use std::{collections::HashMap, sync::Arc};

use crate::{clock::Timestamp, mesh::chains::RecentDecisions};

/// Fraction of the admitted part of all root requests that is admitted of each route and each
/// organisation at least. The operators' bound is a quarter.
const FLOOR_FRACTION: f64 = 0.4;
/// Recent requests of a route or an organisation below which it has no floor: the fraction would be
/// that of a few requests.
const MIN_REQUESTS: f64 = 4.0;
/// Number of routes or organisations above which those without recent requests are dropped.
const EVICTION_THRESHOLD: usize = 512;

fn admitted_fraction(decisions: &RecentDecisions) -> f64 {
    if decisions.requested > 0.0 { decisions.admitted / decisions.requested } else { 1.0 }
}

/// Recent decisions on root requests at an entry node.
#[derive(Debug, Default)]
pub struct RootFloor {
    all: RecentDecisions,
    routes: HashMap<Arc<str>, RecentDecisions>,
    organisations: HashMap<Arc<str>, RecentDecisions>,
}

impl RootFloor {
    /// Whether a request of this route and organisation must be admitted, since too few of them were.
    pub fn is_below(&self, route: &Arc<str>, organisation: Option<&Arc<str>>) -> bool {
        let least = FLOOR_FRACTION * admitted_fraction(&self.all);
        let counts = self.routes.get(route).into_iter();
        let counts = counts.chain(organisation.and_then(|it| self.organisations.get(it)));
        counts.into_iter().any(|it| it.requested >= MIN_REQUESTS && admitted_fraction(it) < least)
    }

    /// Records a decision.
    pub fn record(
        &mut self,
        now: Timestamp,
        route: &Arc<str>,
        organisation: Option<&Arc<str>>,
        is_admitted: bool,
    ) {
        self.all.record(now, 1.0, is_admitted);
        record_in(&mut self.routes, now, route, is_admitted);
        if let Some(organisation) = organisation {
            record_in(&mut self.organisations, now, organisation, is_admitted);
        }
    }
}

fn record_in(
    counts: &mut HashMap<Arc<str>, RecentDecisions>,
    now: Timestamp,
    name: &Arc<str>,
    is_admitted: bool,
) {
    if counts.len() > EVICTION_THRESHOLD {
        counts.retain(|_, it| it.is_recent(now));
    }
    match counts.get_mut(name) {
        Some(counts) => counts.record(now, 1.0, is_admitted),
        None => counts.entry(name.clone()).or_default().record(now, 1.0, is_admitted),
    }
}
