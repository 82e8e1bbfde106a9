//! Refusal at the first hop of requests whose chain leads to a service that is full.
//!
//! Load pattern: one deep service carries every chain, and demand exceeds it by a third for
//! twenty seconds. A request needs several calls of that service in a row; if each call were
//! refused there by chance, nearly every request would fail after most of its work was done. So
//! each entry holds back roots by what their chain uses of the full service, the least urgent
//! first, and calls of admitted roots pass.
//!
//! For each service an entry keeps an allowance: slot time a second that its roots may use. The
//! allowance binds only while the service is nearly full. It follows the load that replies report
//! in such a way that the service stays busy and its queue short.

use std::{collections::HashMap, time::Duration};

use crate::{clock::Timestamp, mesh::Usage, names::ServiceName};

/// Load (running and waiting requests over the limit) that a full service is held at.
const TARGET_LOAD: f64 = 0.95;
/// Load from which the allowance binds, and below which it is lifted.
const BIND_LOAD: f64 = 0.88;
const LIFT_LOAD: f64 = 0.72;
/// Change of the allowance a second for each unit of load beyond the target, and below it.
const DECREASE_PER_S: f64 = 1.6;
const INCREASE_PER_S: f64 = 1.2;
/// Longest time between two reports that counts for a change.
const MAX_STEP: Duration = Duration::from_millis(200);
/// A report that is older says nothing.
const REPORT_LIFETIME: Duration = Duration::from_millis(1500);
/// Time constant of the smoothed load.
const LOAD_MEMORY: Duration = Duration::from_millis(120);
/// Time constant of what this entry's roots use.
const USE_MEMORY: Duration = Duration::from_millis(700);
/// Allowance beyond what was used lately, so that it does not grow without bound while demand is
/// low.
const MAX_OVER_USED: f64 = 1.3;
/// Unused allowance that is kept, and how far the most urgent roots may overdraw it.
const KEPT: Duration = Duration::from_millis(250);
const OVERDRAFT: Duration = Duration::from_millis(500);
/// What to do with a root request.
#[derive(Debug, Clone, PartialEq)]
pub enum RootVerdict {
    /// Send it on.
    Admit,
    /// A service of its chain is full.
    Refuse {
        /// The service.
        service: ServiceName,
        /// Its load.
        load: f64,
    },
}

#[derive(Debug)]
struct Allowance {
    load: f64,
    reported_at: Timestamp,
    /// Slot time a second; none while the service has room.
    per_s: Option<f64>,
    /// Slot time that may be used now.
    level_s: f64,
    used_per_s: f64,
    updated_at: Timestamp,
}

/// Decides which root requests begin.
#[derive(Debug, Default)]
pub struct RootAdmission {
    allowances: HashMap<ServiceName, Allowance>,
}

impl RootAdmission {
    /// Decides on a root request whose route uses `usage` on the mean; `urgency` is 1 for the most
    /// urgent rank and 0 for the least.
    pub fn check(&mut self, now: Timestamp, usage: &Usage, urgency: f64) -> RootVerdict {
        for used in &usage.services {
            let Some(allowance) = self.allowances.get_mut(&used.service) else { continue };
            allowance.refill(now);
            if allowance.refuses(urgency) {
                let (service, load) = (used.service.clone(), allowance.load);
                return RootVerdict::Refuse { service, load };
            }
        }
        for used in &usage.services {
            if let Some(allowance) = self.allowances.get_mut(&used.service) {
                allowance.level_s -= used.held_s;
                allowance.used_per_s += used.held_s / USE_MEMORY.as_secs_f64();
            }
        }
        RootVerdict::Admit
    }

    /// A reply told the load of a service as it was at `at`.
    pub fn reported(&mut self, now: Timestamp, service: &ServiceName, load: f64, at: Timestamp) {
        let Some(allowance) = self.allowances.get_mut(service) else {
            let allowance = Allowance {
                load,
                reported_at: at,
                per_s: None,
                level_s: 0.0,
                used_per_s: 0.0,
                updated_at: now,
            };
            self.allowances.insert(service.clone(), allowance);
            return;
        };
        if at <= allowance.reported_at {
            return;
        }
        allowance.refill(now);
        allowance.follow(load, at);
    }

    /// Loads and allowances for people and programs: service, load, slot time a second.
    pub fn figures(&self) -> Vec<(ServiceName, f64, Option<f64>)> {
        let figures = self.allowances.iter();
        figures.map(|(service, it)| (service.clone(), it.load, it.per_s)).collect()
    }

    /// Newest known load of a service and when it was so.
    pub fn load_of(&self, service: &str) -> Option<(f64, Timestamp)> {
        self.allowances.get(service).map(|it| (it.load, it.reported_at))
    }
}

impl Allowance {
    fn refill(&mut self, now: Timestamp) {
        let elapsed_s = now.saturating_sub(self.updated_at).as_secs_f64();
        self.updated_at = self.updated_at.max(now);
        self.used_per_s *= (-elapsed_s / USE_MEMORY.as_secs_f64()).exp();
        if now > self.reported_at + REPORT_LIFETIME {
            self.per_s = None;
        }
        match self.per_s {
            Some(per_s) => {
                let most_s = per_s * KEPT.as_secs_f64();
                self.level_s = (self.level_s + per_s * elapsed_s).min(most_s);
            }
            None => self.level_s = 0.0,
        }
    }

    fn refuses(&self, urgency: f64) -> bool {
        self.per_s.is_some_and(|per_s| self.level_s < -per_s * OVERDRAFT.as_secs_f64() * urgency)
    }

    fn follow(&mut self, load: f64, at: Timestamp) {
        let step = at.saturating_sub(self.reported_at);
        self.reported_at = at;
        let step_s = step.min(MAX_STEP).as_secs_f64();
        let weight = 1.0 - (-step_s / LOAD_MEMORY.as_secs_f64()).exp();
        self.load += weight * (load - self.load);
        match self.per_s {
            None if self.load > BIND_LOAD => {
                self.per_s = Some(self.used_per_s * (TARGET_LOAD / self.load).min(1.0));
            }
            None => {}
            Some(_) if self.load < LIFT_LOAD => self.per_s = None,
            Some(per_s) => {
                let beyond = self.load - TARGET_LOAD;
                let rate = if beyond > 0.0 { DECREASE_PER_S } else { INCREASE_PER_S };
                let changed = per_s * (1.0 - rate * beyond.clamp(-1.0, 1.0) * step_s);
                let most = (self.used_per_s * MAX_OVER_USED).max(per_s);
                self.per_s = Some(changed.min(most));
            }
        }
    }
}
