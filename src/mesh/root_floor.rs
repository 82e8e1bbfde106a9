//! Floors under the admission of root requests: no route and no organisation is refused altogether
//! while others are admitted.
//!
//! Load pattern: requests of an urgent rank alone exceed the capacity of a deep service for many
//! seconds. Admission by urgency would refuse every request of the other ranks.

use std::{collections::HashMap, sync::Arc, time::Duration};

use crate::clock::Timestamp;

/// Fraction of the admitted part of all root requests that is admitted of each route and each
/// organisation at least. The operators' bound is a quarter.
const FLOOR_FRACTION: f64 = 0.4;
/// Time constant with which counts decay.
const TIME_CONSTANT: Duration = Duration::from_secs(3);
/// Recent requests of a route or an organisation below which it has no floor: the fraction would be
/// that of a few requests.
const MIN_REQUESTS: f64 = 4.0;
/// Number of routes or organisations above which those without recent requests are dropped.
const EVICTION_THRESHOLD: usize = 512;

/// Recent requests and the admitted ones among them, with exponential decay.
#[derive(Debug, Clone, Copy, Default)]
struct Counts {
    requests: f64,
    admitted: f64,
    updated_at: Timestamp,
}

impl Counts {
    fn advance_to(&mut self, now: Timestamp) {
        let elapsed_s = now.saturating_sub(self.updated_at).as_secs_f64();
        let factor = (-elapsed_s / TIME_CONSTANT.as_secs_f64()).exp();
        self.requests *= factor;
        self.admitted *= factor;
        self.updated_at = self.updated_at.max(now);
    }

    fn record(&mut self, now: Timestamp, is_admitted: bool) {
        self.advance_to(now);
        self.requests += 1.0;
        self.admitted += f64::from(u8::from(is_admitted));
    }

    fn admitted_fraction(&self) -> f64 {
        if self.requests > 0.0 { self.admitted / self.requests } else { 1.0 }
    }
}

/// Recent decisions on root requests at an entry node.
#[derive(Debug, Default)]
pub struct RootFloor {
    all: Counts,
    routes: HashMap<Arc<str>, Counts>,
    organisations: HashMap<Arc<str>, Counts>,
}

impl RootFloor {
    /// Whether a request of this route and organisation must be admitted, since too few of them were.
    pub fn is_below(&self, route: &Arc<str>, organisation: Option<&Arc<str>>) -> bool {
        let least = FLOOR_FRACTION * self.all.admitted_fraction();
        let counts = self.routes.get(route).into_iter();
        let counts = counts.chain(organisation.and_then(|it| self.organisations.get(it)));
        counts.into_iter().any(|it| it.requests >= MIN_REQUESTS && it.admitted_fraction() < least)
    }

    /// Records a decision.
    pub fn record(
        &mut self,
        now: Timestamp,
        route: &Arc<str>,
        organisation: Option<&Arc<str>>,
        is_admitted: bool,
    ) {
        self.all.record(now, is_admitted);
        record_in(&mut self.routes, now, route, is_admitted);
        if let Some(organisation) = organisation {
            record_in(&mut self.organisations, now, organisation, is_admitted);
        }
    }
}

fn record_in(
    counts: &mut HashMap<Arc<str>, Counts>,
    now: Timestamp,
    name: &Arc<str>,
    is_admitted: bool,
) {
    if counts.len() > EVICTION_THRESHOLD {
        counts.retain(|_, it| now < it.updated_at + TIME_CONSTANT);
    }
    match counts.get_mut(name) {
        Some(counts) => counts.record(now, is_admitted),
        None => counts.entry(name.clone()).or_default().record(now, is_admitted),
    }
}
