//! Refusal at the first hop of requests whose chain leads to a service that is full.
//!
//! Load pattern: one deep service carries every chain, and demand exceeds it by a third for
//! twenty seconds. A request needs several calls of that service in a row; if each call were
//! refused there by chance, nearly every request would fail after most of its work was done. So
//! each entry holds back roots by what their chain uses of the full service, the least urgent
//! first, and calls of admitted roots pass.
//!
//! For each service an entry keeps an allowance: slot time a second that its roots may use. It is
//! what the entry's roots used lately, divided by the load that this led to, so it is the entry's
//! share of what fills the service; it binds only while the service is nearly full. A chain takes
//! some time to reach the service, so use and load are compared with the same delay.

use std::{collections::HashMap, time::Duration};

use crate::{clock::Timestamp, mesh::Usage, names::ServiceName};

/// Load (running and waiting requests over the limit) that a full service is held at.
const TARGET_LOAD: f64 = 0.95;
/// Load from which the allowance binds, and below which it is lifted.
const BIND_LOAD: f64 = 0.85;
const LIFT_LOAD: f64 = 0.75;
/// Load below which use and load are not compared: both are small and noisy.
const MIN_COMPARED_LOAD: f64 = 0.4;
/// A report that is older says nothing.
const REPORT_LIFETIME: Duration = Duration::from_millis(1500);
/// Time constant of the smoothed load, and of each of the two stages that delay the use.
const MEMORY: Duration = Duration::from_millis(350);
/// Time constant of the share.
const SHARE_MEMORY: Duration = Duration::from_millis(1000);
/// Allowance beyond the share while requests are refused, so that shares follow the demand.
const PROBE: f64 = 1.03;
/// Unused allowance that is kept.
const KEPT: Duration = Duration::from_millis(300);
/// How far the most urgent roots may overdraw the allowance.
const OVERDRAFT: Duration = Duration::from_millis(2000);

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

/// Use and load of one service as this entry sees them.
#[derive(Debug)]
struct Allowance {
    load: f64,
    reported_at: Timestamp,
    /// Slot time a second that this entry's roots used, and the same some time ago.
    used_per_s: f64,
    used_before_per_s: f64,
    used_at: Timestamp,
    /// Slot time a second that fills the service as far as this entry does; none while unknown.
    share_per_s: Option<f64>,
    binds: bool,
    /// Slot time that may be used now.
    level_s: f64,
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
            allowance.pass_time(now);
            if allowance.refuses(urgency) {
                let (service, load) = (used.service.clone(), allowance.load);
                return RootVerdict::Refuse { service, load };
            }
        }
        for used in &usage.services {
            if let Some(allowance) = self.allowances.get_mut(&used.service) {
                allowance.level_s -= used.held_s;
                allowance.used_per_s += used.held_s / MEMORY.as_secs_f64();
            }
        }
        RootVerdict::Admit
    }

    /// A reply told the load of a service as it was at `at`.
    pub fn record_load(&mut self, now: Timestamp, service: &ServiceName, load: f64, at: Timestamp) {
        match self.allowances.get_mut(service) {
            Some(allowance) if at > allowance.reported_at => {
                allowance.pass_time(now);
                allowance.follow(load, at);
            }
            Some(_) => {}
            None => drop(self.allowances.insert(service.clone(), Allowance::new(now, load, at))),
        }
    }

    /// Loads and allowances for people and programs: service, load, slot time a second.
    pub fn figures(&self) -> Vec<(ServiceName, f64, Option<f64>)> {
        let figures = self.allowances.iter();
        figures.map(|(service, it)| (service.clone(), it.load, it.per_s())).collect()
    }

    /// Newest known load of a service and when it was so.
    pub fn load_of(&self, service: &str) -> Option<(f64, Timestamp)> {
        self.allowances.get(service).map(|it| (it.load, it.reported_at))
    }
}

impl Allowance {
    fn new(now: Timestamp, load: f64, at: Timestamp) -> Self {
        Self {
            load,
            reported_at: at,
            used_per_s: 0.0,
            used_before_per_s: 0.0,
            used_at: now,
            share_per_s: None,
            binds: false,
            level_s: 0.0,
        }
    }

    /// The allowance in force; none while the service has room.
    fn per_s(&self) -> Option<f64> {
        self.share_per_s.filter(|_| self.binds).map(|share| share * TARGET_LOAD * PROBE)
    }

    fn pass_time(&mut self, now: Timestamp) {
        let elapsed = now.saturating_sub(self.used_at);
        self.used_at = self.used_at.max(now);
        let weight = weight(elapsed, MEMORY);
        self.used_before_per_s += weight * (self.used_per_s - self.used_before_per_s);
        self.used_per_s *= 1.0 - weight;
        if now > self.reported_at + REPORT_LIFETIME {
            self.binds = false;
        }
        match self.per_s() {
            Some(per_s) => {
                let most_s = per_s * KEPT.as_secs_f64();
                self.level_s = (self.level_s + per_s * elapsed.as_secs_f64()).min(most_s);
            }
            None => self.level_s = 0.0,
        }
    }

    fn refuses(&self, urgency: f64) -> bool {
        self.per_s().is_some_and(|per_s| self.level_s < -per_s * OVERDRAFT.as_secs_f64() * urgency)
    }

    fn follow(&mut self, load: f64, at: Timestamp) {
        let step = at.saturating_sub(self.reported_at);
        self.reported_at = at;
        self.load += weight(step, MEMORY) * (load - self.load);
        if self.load > MIN_COMPARED_LOAD && self.used_before_per_s > 0.0 {
            let share = self.used_before_per_s / self.load;
            self.share_per_s = Some(match self.share_per_s {
                Some(known) => known + weight(step, SHARE_MEMORY) * (share - known),
                None => share,
            });
        }
        self.binds = match self.binds {
            true => self.load > LIFT_LOAD,
            false => self.load > BIND_LOAD,
        };
    }
}

/// Weight of what is new after `elapsed` in a mean with this time constant.
fn weight(elapsed: Duration, memory: Duration) -> f64 {
    1.0 - (-elapsed.as_secs_f64() / memory.as_secs_f64()).exp()
}
