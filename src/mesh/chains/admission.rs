//! Admission of call chains that use a service which refuses a part of its requests.
//!
//! Load pattern: see the parent module. Each entry node has an account of retries for each service.
//! It holds the ratio of the bound for the calls of its chains in the last window and a share of the slack,
//! less the retries of these calls in the same time. A chain begins if the account holds more than is set
//! aside from it, and what its retries are expected to need is held until its end.
//! Chains compete by their retry rank: of the account, more is set aside from those of higher rank.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use crate::{
    clock::Timestamp,
    mesh::{RetryBound, ServiceRefusals, Usage, retry_budget::SLICES_PER_WINDOW},
    names::ServiceName,
};

/// Fraction of the bound that is used, as retries of requests above a call also count.
const USED_RATIO_FRACTION: f64 = 0.83;
/// Fraction of the slack that is used: nodes' views of the size of the fleet differ at times.
const USED_SLACK_FRACTION: f64 = 0.4;
/// Factor of the expected retries of a chain that are reserved, so that its last calls find some.
const RESERVED_FACTOR: f64 = 1.1;
/// Fraction of the account that is set aside from a chain, as a multiple of its retry rank, and its
/// maximum. Retries for urgent chains must last for the whole time in which the service refuses
/// requests, so the others get what is added while the account is nearly full.
const SET_ASIDE_PER_RANK: f64 = 1.8;
const MAX_SET_ASIDE: f64 = 0.95;
/// Retry rank of chains of a route or an organisation that is below its floor.
const FLOOR_RANK: f64 = 0.5;
/// Probability of completing without retries from which a chain begins without a reservation.
const MIN_SUCCESS: f64 = 1.0 / 3.0;
/// Time after which a chain begins although it cannot be expected to complete, so that the entry
/// node learns when the service has recovered.
const PROBE_INTERVAL: Duration = Duration::from_millis(1500);
/// Largest refused share that is assumed; no number of retries completes a chain at a share of 1.
const MAX_SHARE: f64 = 0.95;

/// Retries that are reserved for a call chain; passed on to all its calls.
#[derive(Debug, Clone, PartialEq)]
pub struct RetryReservation {
    /// Service whose calls may be retried.
    pub service: ServiceName,
    /// Reserved retries for each call of the service.
    pub retries_per_call: f64,
    /// Retries that the entry node holds in its account until the chain ends; 0 at other nodes.
    pub held: f64,
}

/// Decision on a call chain.
#[derive(Debug, Clone, PartialEq)]
pub enum ChainVerdict {
    /// The chain begins, with the retries that were reserved for it.
    Begin(Option<Arc<RetryReservation>>),
    /// The chain cannot be expected to complete.
    Refuse {
        /// Service that refuses a part of its requests.
        service: ServiceName,
        /// Share that it refuses.
        refused_share: f64,
    },
}

/// Retries of one service that this entry node may reserve.
#[derive(Debug)]
struct Account {
    /// Calls and retries of ended chains in the slices of the last window, by the number of the slice.
    slices: VecDeque<(u64, f64, f64)>,
    /// Retries that are held for running chains.
    held: f64,
    probed_at: Timestamp,
}

impl Account {
    fn new(now: Timestamp) -> Self {
        Self { slices: VecDeque::new(), held: 0.0, probed_at: now }
    }

    /// Retries that the calls of the last window permit, and those of them that are left.
    fn allowance(&mut self, slice: u64, share: &Share) -> (f64, f64) {
        self.drop_old(slice);
        let (calls, retries) = self
            .slices
            .iter()
            .fold((0.0, 0.0), |sum, (_, calls, retries)| (sum.0 + calls, sum.1 + retries));
        let allowed = share.ratio * calls + share.slack;
        (allowed, allowed - retries - self.held)
    }

    fn add(&mut self, slice: u64, calls: f64, retries: f64) {
        self.drop_old(slice);
        match self.slices.back_mut() {
            Some((last, all_calls, all_retries)) if *last == slice => {
                *all_calls += calls;
                *all_retries += retries;
            }
            _ => self.slices.push_back((slice, calls, retries)),
        }
    }

    /// Drops slices that are older than the window.
    fn drop_old(&mut self, slice: u64) {
        while self
            .slices
            .front()
            .is_some_and(|(first, ..)| first + u64::from(SLICES_PER_WINDOW) < slice)
        {
            self.slices.pop_front();
        }
    }
}

/// The entry node's share of the bound on retries.
struct Share {
    ratio: f64,
    slack: f64,
}

/// Decides which call chains begin while a service that they use refuses a part of its requests.
#[derive(Debug)]
pub struct ChainAdmission {
    bound: RetryBound,
    accounts: HashMap<ServiceName, Account>,
}

impl ChainAdmission {
    /// Creates empty accounts.
    pub fn new(bound: RetryBound) -> Self {
        Self { bound, accounts: HashMap::new() }
    }

    /// Replaces the bound.
    pub fn set_bound(&mut self, bound: RetryBound) {
        self.bound = bound;
    }

    /// Decides on a chain, and holds the retries that are reserved for it.
    ///
    /// `usage` is the mean use of services by requests of its route, `retry_rank` its rank among the
    /// chains that compete for retries, and `is_below_floor` states that its route or organisation is
    /// below its floor.
    pub fn try_begin(
        &mut self,
        now: Timestamp,
        usage: &Usage,
        refusals: &ServiceRefusals,
        fleet_size: usize,
        retry_rank: f64,
        is_below_floor: bool,
    ) -> ChainVerdict {
        let (share, slice) = (self.share(fleet_size), self.bound.slice_at(now));
        let retry_rank = if is_below_floor { retry_rank.min(FLOOR_RANK) } else { retry_rank };
        let mut reservation: Option<RetryReservation> = None;
        for used in &usage.services {
            let refused_share = refusals.share(now, &used.service).min(MAX_SHARE);
            if refused_share <= 0.0 || used.requests <= 0.0 {
                continue;
            }
            let account = account_of(&mut self.accounts, &used.service, now);
            let (allowed, available) = account.allowance(slice, &share);
            let set_aside = (SET_ASIDE_PER_RANK * retry_rank).min(MAX_SET_ASIDE) * allowed;
            if available > set_aside {
                let retries_per_call = RESERVED_FACTOR * refused_share / (1.0 - refused_share);
                // The calls themselves will add to the account.
                let held = (retries_per_call - share.ratio).max(0.0) * used.requests;
                // Only one reservation is passed on, that of the scarcest retries.
                if reservation.as_ref().is_none_or(|known| held > known.held) {
                    let service = used.service.clone();
                    reservation = Some(RetryReservation { service, retries_per_call, held });
                }
                continue;
            }
            if (1.0 - refused_share).powf(used.requests) >= MIN_SUCCESS {
                continue;
            }
            if now >= account.probed_at + PROBE_INTERVAL {
                account.probed_at = now;
                continue;
            }
            return ChainVerdict::Refuse { service: used.service.clone(), refused_share };
        }
        if let Some(reservation) = &reservation {
            account_of(&mut self.accounts, &reservation.service, now).held += reservation.held;
        }
        ChainVerdict::Begin(reservation.map(Arc::new))
    }

    /// Records the end of a chain: its calls and their retries, by its use of services. If its caller
    /// has gone before, what was held counts as used.
    pub fn record_end(
        &mut self,
        now: Timestamp,
        usage: &Usage,
        reservation: Option<&RetryReservation>,
    ) {
        let slice = self.bound.slice_at(now);
        if let Some(reservation) = reservation {
            self.refund(reservation);
        }
        for used in &usage.services {
            let account = account_of(&mut self.accounts, &used.service, now);
            account.add(slice, used.requests, (used.arrivals - used.requests).max(0.0));
        }
    }

    /// Returns the retries that are held for a chain.
    pub fn refund(&mut self, reservation: &RetryReservation) {
        if let Some(account) = self.accounts.get_mut(&reservation.service) {
            account.held -= reservation.held;
        }
    }

    fn share(&self, fleet_size: usize) -> Share {
        Share {
            ratio: self.bound.ratio * USED_RATIO_FRACTION,
            slack: self.bound.slack * USED_SLACK_FRACTION / fleet_size.max(1) as f64,
        }
    }
}

fn account_of<'a>(
    accounts: &'a mut HashMap<ServiceName, Account>,
    service: &ServiceName,
    now: Timestamp,
) -> &'a mut Account {
    if !accounts.contains_key(service) {
        accounts.insert(service.clone(), Account::new(now));
    }
    accounts.get_mut(service).expect("the account has been inserted")
}
