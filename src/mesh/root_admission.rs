//! Admission of root requests: an entry node refuses a root request, the first of a call chain, if
//! the chain uses a service that is full.
//!
//! Load pattern: every call chain uses one service deep in the graph, and demand exceeds its
//! capacity by a third for twenty seconds. A root request needs several successive calls of that
//! service. If the service refused calls independently of each other, nearly every root request
//! would fail after most of its work was done. Therefore each entry node refuses root requests by
//! the amount of the full service that their chain uses, the least urgent first, and the calls of
//! admitted root requests pass.
//!
//! For each service an entry node keeps an allowance: the slot time per second that its root
//! requests may use. The allowance is the recent use by these requests divided by the resulting
//! load, that is, the entry node's share of the use that fills the service. It limits admission
//! only while the service is nearly full. A chain takes some time to reach the service, so the
//! use is delayed accordingly before it is compared with the load.
//!
//! Between organisations, requests of one rank are admitted by max-min fair shares: those of an
//! organisation below its share may overdraw the allowance a little further than the others.

use std::{collections::HashMap, time::Duration};

use crate::{
    clock::Timestamp,
    mesh::{OrganisationShares, Usage},
    names::{OrganisationName, ServiceName},
};

/// Load (running and queued requests divided by the concurrency limit) at which a full service is
/// kept.
const TARGET_LOAD: f64 = 0.95;
/// Load above which the allowance starts to limit admission.
const BIND_LOAD: f64 = 0.85;
/// Load at or below which the allowance stops limiting admission.
const LIFT_LOAD: f64 = 0.75;
/// Load up to which the share is not estimated, because use and load are small and noisy.
const MIN_ESTIMATION_LOAD: f64 = 0.4;
/// Age from which a load report is no longer used.
const REPORT_LIFETIME: Duration = Duration::from_millis(1500);
/// Time constant of the smoothed load, and of each of the two filter stages that delay the use.
const LOAD_TIME_CONSTANT: Duration = Duration::from_millis(350);
/// Time constant of the smoothed share.
const SHARE_TIME_CONSTANT: Duration = Duration::from_millis(1000);
/// Factor by which the allowance exceeds the share while it limits admission, so that shares follow
/// the demand.
const SHARE_PROBE_FACTOR: f64 = 1.03;
/// Limit of the unused allowance, as the time in which it accrues.
const MAX_UNUSED_ALLOWANCE: Duration = Duration::from_millis(300);
/// Limit to which the most urgent root requests may overdraw the allowance, as the time in which it
/// accrues.
const MAX_OVERDRAFT: Duration = Duration::from_millis(2000);

/// Additional overdraft for organisations below their share, as the time in which it accrues. Ranks are
/// further apart if there are at most five of them. With 250 ms, one in twenty of their requests was
/// refused.
const SHARE_OVERDRAFT: Duration = Duration::from_millis(400);
/// Number of ranks above which shares are not kept for further ones.
const MAX_RANKS: usize = 64;

/// Decision on a root request.
#[derive(Debug, Clone, PartialEq)]
pub enum RootVerdict {
    /// The request is sent to an instance.
    Admit,
    /// A service that the request's call chain uses is full.
    Refuse {
        /// The full service.
        service: ServiceName,
        /// Smoothed load of the service.
        load: f64,
    },
}

/// Use of one service by the root requests of this entry node, and the load of the service.
#[derive(Debug)]
struct Allowance {
    load: f64,
    reported_at: Timestamp,
    /// Slot time per second that root requests of this entry node use, in seconds.
    used_per_s: f64,
    /// The same, delayed by the time that a call chain takes to reach the service.
    delayed_use_per_s: f64,
    updated_at: Timestamp,
    /// Slot time per second that is this entry node's share of the use that fills the service;
    /// `None` while unknown.
    share_per_s: Option<f64>,
    /// Whether the allowance limits admission.
    is_binding: bool,
    /// Unused slot time of the allowance, in seconds; negative if overdrawn.
    available_s: f64,
    /// Shares of organisations, for each rank by its urgency.
    shares: HashMap<u64, OrganisationShares>,
}

/// Decides which root requests are admitted.
#[derive(Debug, Default)]
pub struct RootAdmission {
    allowances: HashMap<ServiceName, Allowance>,
}

impl RootAdmission {
    /// Decides on a root request and charges it to the allowances if it is admitted.
    ///
    /// `usage` is the mean use of services by requests of its route; `urgency` is 1 for the most
    /// urgent rank and 0 for the least.
    pub fn try_admit(&mut self, now: Timestamp, usage: &Usage, urgency: f64) -> RootVerdict {
        self.try_admit_for(now, usage, urgency, None)
    }

    /// The same for a request of an organisation.
    pub fn try_admit_for(
        &mut self,
        now: Timestamp,
        usage: &Usage,
        urgency: f64,
        organisation: Option<&OrganisationName>,
    ) -> RootVerdict {
        for used in &usage.services {
            let Some(allowance) = self.allowances.get_mut(&used.service) else { continue };
            allowance.advance_to(now);
            if allowance.should_refuse(now, urgency, organisation) {
                let (service, load) = (used.service.clone(), allowance.load);
                return RootVerdict::Refuse { service, load };
            }
        }
        self.charge(now, usage);
        RootVerdict::Admit
    }

    /// Charges a root request to the allowances, whatever is left of them.
    pub fn charge(&mut self, now: Timestamp, usage: &Usage) {
        for used in &usage.services {
            if let Some(allowance) = self.allowances.get_mut(&used.service) {
                allowance.advance_to(now);
                allowance.available_s -= used.held_s;
                allowance.used_per_s += used.held_s / LOAD_TIME_CONSTANT.as_secs_f64();
            }
        }
    }

    /// Records the final decision on a request of an organisation.
    pub fn record_decision(
        &mut self,
        now: Timestamp,
        usage: &Usage,
        urgency: f64,
        organisation: Option<&OrganisationName>,
        is_admitted: bool,
    ) {
        for used in &usage.services {
            let Some(allowance) = self.allowances.get_mut(&used.service) else { continue };
            let key = urgency.to_bits();
            if allowance.shares.len() < MAX_RANKS || allowance.shares.contains_key(&key) {
                let shares = allowance.shares.entry(key).or_default();
                shares.record(now, organisation, used.held_s, is_admitted);
            }
        }
    }

    /// Records the load of a service at the time `at`; a load older than the last one is ignored.
    pub fn record_load(&mut self, now: Timestamp, service: &ServiceName, load: f64, at: Timestamp) {
        match self.allowances.get_mut(service) {
            Some(allowance) if at > allowance.reported_at => {
                allowance.advance_to(now);
                allowance.record_load(load, at);
            }
            Some(_) => {}
            None => drop(self.allowances.insert(service.clone(), Allowance::new(now, load, at))),
        }
    }

    /// Each service with its load and, while admission is limited, the allowance in slot seconds per
    /// second.
    pub fn service_loads(&self) -> Vec<(ServiceName, f64, Option<f64>)> {
        let allowances = self.allowances.iter();
        allowances.map(|(service, it)| (service.clone(), it.load, it.allowance_per_s())).collect()
    }

    /// Smoothed load of a service and the time of its last report.
    pub fn service_load(&self, service: &str) -> Option<(f64, Timestamp)> {
        self.allowances.get(service).map(|it| (it.load, it.reported_at))
    }
}

impl Allowance {
    fn new(now: Timestamp, load: f64, at: Timestamp) -> Self {
        Self {
            load,
            reported_at: at,
            used_per_s: 0.0,
            delayed_use_per_s: 0.0,
            updated_at: now,
            share_per_s: None,
            is_binding: false,
            available_s: 0.0,
            shares: HashMap::new(),
        }
    }

    /// The allowance in slot seconds per second; `None` while it does not limit admission.
    fn allowance_per_s(&self) -> Option<f64> {
        self.share_per_s
            .filter(|_| self.is_binding)
            .map(|share| share * TARGET_LOAD * SHARE_PROBE_FACTOR)
    }

    /// Updates decayed use and accrued allowance to `now`.
    fn advance_to(&mut self, now: Timestamp) {
        let elapsed = now.saturating_sub(self.updated_at);
        self.updated_at = self.updated_at.max(now);
        let weight = weight(elapsed, LOAD_TIME_CONSTANT);
        self.delayed_use_per_s += weight * (self.used_per_s - self.delayed_use_per_s);
        self.used_per_s *= 1.0 - weight;
        if now > self.reported_at + REPORT_LIFETIME {
            self.is_binding = false;
        }
        match self.allowance_per_s() {
            Some(per_s) => {
                let max_s = per_s * MAX_UNUSED_ALLOWANCE.as_secs_f64();
                self.available_s = (self.available_s + per_s * elapsed.as_secs_f64()).min(max_s);
            }
            None => self.available_s = 0.0,
        }
    }

    fn should_refuse(
        &mut self,
        now: Timestamp,
        urgency: f64,
        organisation: Option<&OrganisationName>,
    ) -> bool {
        let Some(per_s) = self.allowance_per_s() else { return false };
        let overdraft_s = per_s * MAX_OVERDRAFT.as_secs_f64() * urgency;
        if self.available_s >= -overdraft_s {
            return false;
        }
        let shares = self.shares.get_mut(&urgency.to_bits());
        let is_below_share = shares.is_some_and(|it| it.is_below_share(now, organisation));
        !is_below_share || self.available_s < -overdraft_s - per_s * SHARE_OVERDRAFT.as_secs_f64()
    }

    fn record_load(&mut self, load: f64, at: Timestamp) {
        let allowance_before = self.allowance_per_s();
        let elapsed = at.saturating_sub(self.reported_at);
        self.reported_at = at;
        self.load += weight(elapsed, LOAD_TIME_CONSTANT) * (load - self.load);
        if self.load > MIN_ESTIMATION_LOAD && self.delayed_use_per_s > 0.0 {
            let share = self.delayed_use_per_s / self.load;
            self.share_per_s = Some(match self.share_per_s {
                Some(known) => known + weight(elapsed, SHARE_TIME_CONSTANT) * (share - known),
                None => share,
            });
        }
        self.is_binding = match self.is_binding {
            true => self.load > LIFT_LOAD,
            false => self.load > BIND_LOAD,
        };
        // An overdraft is limited by the time in which it accrues, so it shrinks with the allowance where
        // shares are kept.
        if !self.shares.is_empty()
            && let (Some(before), Some(after)) = (allowance_before, self.allowance_per_s())
            && after < before
            && self.available_s < 0.0
        {
            self.available_s *= after / before;
        }
    }
}

/// Weight of a new sample after `elapsed` in an exponential moving average.
fn weight(elapsed: Duration, time_constant: Duration) -> f64 {
    1.0 - (-elapsed.as_secs_f64() / time_constant.as_secs_f64()).exp()
}
