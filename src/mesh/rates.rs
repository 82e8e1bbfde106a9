//! Rate limits of organisations over the whole fleet.
//!
//! Each organisation has a home: one node, chosen by rendezvous hashing over the known instances,
//! that holds its token bucket. Entry nodes draw tokens from the home ahead of demand. There is no
//! consensus and no stored state. The total admitted rate stays within the limit because only a home
//! in contact with more than half of the fleet grants the whole rate, and in a network partition
//! the homes of the smaller parts grant less than their share.
//!
//! Load pattern: one organisation sends eight times its usual demand through all nodes at once,
//! while another sends three requests per second spread over a dozen nodes.

use std::{collections::HashMap, time::Duration};

use crate::{
    clock::Timestamp,
    mesh::{Organisation, sync::home_hub},
    names::{InstanceName, OrganisationName},
};

/// Fraction of its share of the rate that a home grants while it is in contact with at most half of
/// the fleet. The rest of the fleet may have the whole rate, and the bound on the requests of an
/// organisation leaves little margin above it.
const MINORITY_FRACTION: f64 = 0.25;
/// Time since the last draw of an instance after which it no longer counts as in contact with a home;
/// entry nodes draw about four times per second. While entry nodes change from one home to another,
/// both homes may be in contact with most of them for this long.
pub const CONTACT_LIFETIME: Duration = Duration::from_millis(700);
/// Time for which the number of instances in contact is cached: a home receives hundreds of requests
/// per second.
const CONTACT_COUNT_INTERVAL: Duration = Duration::from_millis(50);
/// Time without a request, or in which the process was paused, after which a home starts again with
/// empty buckets: another home may have granted tokens in the meantime.
const HOME_IDLE_LIMIT: Duration = Duration::from_millis(700);
/// Fraction of the rate that is granted in addition to it. Tokens in transit, and tokens at an entry
/// node that receives no further request, are not used; without the addition, requests within the
/// rate are refused. The platform's bound has a larger margin than this.
const EXTRA_RATE_FRACTION: f64 = 0.04;
/// Tokens that are granted in addition to the burst, for the same reason as [`EXTRA_RATE_FRACTION`].
const EXTRA_BURST_TOKENS: f64 = 2.0;
/// Time for which an entry node draws tokens ahead of demand; shorter than the time after which an
/// unresponsive home is replaced. Tokens held by entry nodes add to the burst. The platform's bound
/// has a margin of half a second of the rate, and [`EXTRA_RATE_FRACTION`] uses a part of it.
const DRAW_AHEAD: Duration = Duration::from_millis(250);
/// Stock above this multiple of the target is returned to the home.
const MAX_STOCK_FACTOR: f64 = 1.5;
/// Number of tokens below which nothing is drawn ahead; single tokens are then drawn on demand.
const MIN_DRAW_AHEAD_TOKENS: f64 = 1.0;
/// Time constant of the moving average of demand.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_millis(800);
/// Time without a taken token after which the whole stock is returned to the home.
const STOCK_IDLE_LIMIT: Duration = Duration::from_secs(1);
/// Maximum time without requests to an empty home.
const MAX_EMPTY_PAUSE: Duration = Duration::from_millis(100);
const HASH_PURPOSE: &str = "hibiscusdoor 2026 home of an organisation";

/// Response of a home to one [`Want`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Grant {
    /// Tokens that are transferred to the requesting node.
    pub tokens: f64,
    /// Time until the next token can be expected, if fewer tokens were granted than requested;
    /// otherwise zero.
    pub retry_after: Duration,
}

#[derive(Debug)]
struct Bucket {
    level: f64,
    filled_at: Timestamp,
}

/// Token buckets of the organisations that have their home at this node.
#[derive(Debug, Default)]
pub struct RateHome {
    /// Start of the period in which the node has been a home without interruption.
    active_since: Timestamp,
    /// Time of the last request to the node as a home.
    last_used_at: Option<Timestamp>,
    /// Fraction of the rate that the home may grant, from 0 to 1.
    granted_fraction: f64,
    buckets: HashMap<OrganisationName, Bucket>,
}

impl RateHome {
    /// Sets the number of instances in contact with the home, in a fleet of the given size, and records
    /// that the home is in use.
    pub fn set_contacts(&mut self, now: Timestamp, contacts: usize, fleet_size: usize) {
        if self.last_used_at.is_none_or(|at| now > at + HOME_IDLE_LIMIT) {
            // Another home, or another part of the fleet, may have granted tokens in the meantime.
            self.buckets.clear();
            self.active_since = now;
        }
        self.last_used_at = Some(now);
        let contact_fraction = contacts as f64 / fleet_size.max(1) as f64;
        self.granted_fraction =
            if contact_fraction > 0.5 { 1.0 } else { contact_fraction * MINORITY_FRACTION };
    }

    /// Grants tokens to an entry node, after adding those that it has returned to the bucket.
    pub fn grant_tokens(
        &mut self,
        now: Timestamp,
        organisation: &Organisation,
        wanted: f64,
        returned: f64,
    ) -> Grant {
        let Some(rate_per_s) = organisation.rate_per_s else {
            return Grant { tokens: wanted, retry_after: Duration::ZERO };
        };
        let rate_per_s = rate_per_s * (1.0 + EXTRA_RATE_FRACTION) * self.granted_fraction;
        let burst = ((organisation.burst + EXTRA_BURST_TOKENS) * self.granted_fraction).max(1.0);
        // A new bucket has been filling since the node became a home.
        let active_since = self.active_since;
        let bucket = self
            .buckets
            .entry(organisation.name.clone())
            .or_insert(Bucket { level: 0.0, filled_at: active_since });
        let elapsed_s = now.saturating_sub(bucket.filled_at).as_secs_f64();
        bucket.filled_at = now;
        bucket.level = (bucket.level + returned + rate_per_s * elapsed_s).min(burst);
        let tokens = wanted.min(bucket.level.floor()).max(0.0);
        bucket.level -= tokens;
        let missing = (wanted - tokens).min(1.0);
        let retry_after = match missing > 0.0 {
            true => Duration::from_secs_f64(((1.0 - bucket.level) / rate_per_s).clamp(0.0, 60.0)),
            false => Duration::ZERO,
        };
        Grant { tokens, retry_after }
    }
}

/// Number of a hub, counted from 0.
pub type HubNumber = usize;

#[derive(Debug, Default)]
struct NumberedHome {
    home: RateHome,
    /// Time of the last request of each instance.
    last_request_at: HashMap<InstanceName, Timestamp>,
    /// Number of instances in contact, valid until `counted_until`.
    contacts: usize,
    counted_until: Timestamp,
}

/// Homes that a node acts as, by the hub number for which instances address it.
///
/// Load pattern: a request of one node to an overloaded hub times out, and the node turns to the next
/// instance in the ranking, which is in contact with the whole fleet as the hub of another number. For
/// the hub number in the request it has contact with this one node only, and must not grant the whole
/// rate a second time.
#[derive(Debug, Default)]
pub struct RateHomes {
    homes: HashMap<HubNumber, NumberedHome>,
}

impl RateHomes {
    /// Records a request of the instance `requester` to the node as the hub `number`, in a fleet of the
    /// given size, and returns the home for that number.
    pub fn record_contact(
        &mut self,
        now: Timestamp,
        number: HubNumber,
        requester: &InstanceName,
        fleet_size: usize,
    ) -> &mut RateHome {
        let numbered = self.homes.entry(number).or_default();
        numbered.last_request_at.insert(requester.clone(), now);
        if now >= numbered.counted_until {
            numbered.last_request_at.retain(|_, at| now <= *at + CONTACT_LIFETIME);
            numbered.contacts = numbered.last_request_at.len();
            numbered.counted_until = now + CONTACT_COUNT_INTERVAL;
        }
        numbered.home.set_contacts(now, numbered.contacts, fleet_size);
        &mut numbered.home
    }

    /// Fraction of the rates that the node grants now, for each hub number.
    pub fn granted_fractions(&self, now: Timestamp) -> Vec<(HubNumber, f64)> {
        let active = self.homes.iter().filter_map(|(number, numbered)| {
            let home = &numbered.home;
            let is_active = home.last_used_at.is_some_and(|at| now <= at + HOME_IDLE_LIMIT);
            is_active.then_some((*number, home.granted_fraction))
        });
        active.collect()
    }
}

/// Request of an entry node to a home for tokens of one organisation.
#[derive(Debug, Clone, PartialEq)]
pub struct Want {
    /// Organisation of the token bucket.
    pub organisation: OrganisationName,
    /// Number of tokens requested.
    pub tokens: f64,
    /// Number of unused tokens that are returned to the home.
    pub returned: f64,
}

#[derive(Debug)]
struct Account {
    home_lookup: HomeLookup,
    /// Tokens at hand.
    stock: f64,
    /// Requests that wait for a token.
    waiting: u32,
    demand_per_s: f64,
    demand_at: Timestamp,
    last_taken_at: Timestamp,
    /// Time until which no tokens are requested, because the home is empty.
    empty_until: Timestamp,
    /// Time at which the home is expected to have a token again.
    next_token_at: Timestamp,
}

/// Hash of an organisation's name, which determines the hub that is its home.
pub type OrganisationHash = u64;

/// Hashes the name of an organisation to find its home.
pub fn organisation_hash(organisation: &str) -> OrganisationHash {
    let mut hasher = blake3::Hasher::new_derive_key(HASH_PURPOSE);
    hasher.update(organisation.as_bytes());
    let hash = hasher.finalize();
    let (bytes, _) = hash.as_bytes().split_first_chunk().expect("a hash has 32 bytes");
    OrganisationHash::from_le_bytes(*bytes)
}

/// Cached choice of an organisation's home, recomputed when the number of hubs changes.
#[derive(Debug)]
pub struct HomeLookup {
    organisation: OrganisationHash,
    /// Number of hubs for which the home was computed, and the number of the hub that is the home.
    cached: Option<(usize, HubNumber)>,
}

impl HomeLookup {
    /// Number of the hub that is the home, among `hubs` hubs.
    pub fn home_hub(&mut self, hubs: usize) -> HubNumber {
        match self.cached {
            Some((cached_hubs, hub)) if cached_hubs == hubs => hub,
            _ => {
                let hub = home_hub(self.organisation, hubs);
                self.cached = Some((hubs, hub));
                hub
            }
        }
    }
}

/// Result of [`TokenStock::take_token`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum TakeTokenResult {
    /// A token was taken from the stock.
    Taken,
    /// The stock is empty; a token must be drawn from the home first.
    DrawNeeded,
    /// Both the stock and the home are empty.
    HomeEmpty {
        /// Time until the home is expected to have a token.
        retry_after: Duration,
    },
}

/// Tokens that an entry node has drawn from homes, by organisation.
#[derive(Debug, Default)]
pub struct TokenStock {
    accounts: HashMap<OrganisationName, Account>,
}

impl TokenStock {
    /// Takes a token for a request. `is_repeat` is true if the same request has tried before, so that
    /// it is not counted as demand again.
    pub fn take_token(
        &mut self,
        now: Timestamp,
        organisation: &OrganisationName,
        is_repeat: bool,
    ) -> TakeTokenResult {
        let account = match self.accounts.get_mut(organisation) {
            Some(account) => account,
            None => {
                let account = Account::new(organisation_hash(organisation));
                self.accounts.entry(organisation.clone()).or_insert(account)
            }
        };
        if !is_repeat {
            account.count_request(now);
        }
        if account.stock >= 1.0 {
            account.stock -= 1.0;
            account.last_taken_at = now;
            return TakeTokenResult::Taken;
        }
        match now < account.empty_until {
            true => TakeTokenResult::HomeEmpty {
                retry_after: account.next_token_at.saturating_sub(now),
            },
            false => TakeTokenResult::DrawNeeded,
        }
    }

    /// Counts a request that starts (`begins`) or stops waiting for a token.
    pub fn count_waiting(&mut self, organisation: &OrganisationName, begins: bool) {
        if let Some(account) = self.accounts.get_mut(organisation) {
            match begins {
                true => account.waiting += 1,
                false => account.waiting = account.waiting.saturating_sub(1),
            }
        }
    }

    /// Number of requests that wait for a token.
    pub fn waiting(&self, organisation: &OrganisationName) -> u32 {
        self.accounts.get(organisation).map_or(0, |account| account.waiting)
    }

    /// Refunds a token of a request that has not run, and takes the request out of the demand.
    pub fn refund(&mut self, organisation: &OrganisationName) {
        if let Some(account) = self.accounts.get_mut(organisation) {
            account.stock += 1.0;
            account.demand_per_s =
                (account.demand_per_s - 1.0 / DEMAND_TIME_CONSTANT.as_secs_f64()).max(0.0);
        }
    }

    /// Tokens to request and to return now, for the organisations that `is_selected` accepts by
    /// their home. Returned tokens are taken from the stock.
    pub fn due_wants(
        &mut self,
        now: Timestamp,
        is_selected: impl Fn(&mut HomeLookup) -> bool,
    ) -> Vec<Want> {
        let mut wants = Vec::new();
        for (organisation, account) in &mut self.accounts {
            if !is_selected(&mut account.home_lookup) {
                continue;
            }
            account.decay_demand(now);
            let draw_ahead = account.demand_per_s * DRAW_AHEAD.as_secs_f64();
            let draw_ahead = if draw_ahead >= MIN_DRAW_AHEAD_TOKENS { draw_ahead } else { 0.0 };
            let target = f64::from(account.waiting) + draw_ahead;
            let is_idle = now > account.last_taken_at + STOCK_IDLE_LIMIT;
            let returned = match is_idle {
                true => account.stock,
                false => (account.stock - target * MAX_STOCK_FACTOR - 1.0).max(0.0).floor(),
            };
            account.stock -= returned;
            let missing = (target - account.stock).ceil();
            let is_due = missing >= 1.0 && now >= account.empty_until;
            // Draws are delayed until the stock is below half of the target, to keep them few.
            let is_low = account.waiting > 0 || account.stock < target * 0.5;
            let tokens = if is_due && is_low { missing } else { 0.0 };
            if tokens > 0.0 || returned > 0.0 {
                wants.push(Want { organisation: organisation.clone(), tokens, returned });
            }
        }
        wants
    }

    /// Puts returned tokens back into the stock, after a failed exchange with the home.
    pub fn restore_returned(&mut self, wants: &[Want]) {
        for want in wants {
            if let Some(account) = self.accounts.get_mut(&want.organisation) {
                account.stock += want.returned;
            }
        }
    }

    /// Adds granted tokens to the stock, and records when the home has the next one.
    pub fn apply_grant(&mut self, now: Timestamp, organisation: &OrganisationName, grant: Grant) {
        let Some(account) = self.accounts.get_mut(organisation) else { return };
        account.stock += grant.tokens;
        account.next_token_at = now + grant.retry_after;
        account.empty_until = now + grant.retry_after.min(MAX_EMPTY_PAUSE);
    }
}

impl Account {
    fn new(organisation: OrganisationHash) -> Self {
        Self {
            home_lookup: HomeLookup { organisation, cached: None },
            stock: 0.0,
            waiting: 0,
            demand_per_s: 0.0,
            demand_at: Timestamp::ZERO,
            last_taken_at: Timestamp::ZERO,
            empty_until: Timestamp::ZERO,
            next_token_at: Timestamp::ZERO,
        }
    }

    /// Counts one request as demand.
    fn count_request(&mut self, now: Timestamp) {
        self.decay_demand(now);
        self.demand_per_s += 1.0 / DEMAND_TIME_CONSTANT.as_secs_f64();
    }

    /// Decays the demand since the last update.
    fn decay_demand(&mut self, now: Timestamp) {
        let elapsed_s = now.saturating_sub(self.demand_at).as_secs_f64();
        self.demand_per_s *= (-elapsed_s / DEMAND_TIME_CONSTANT.as_secs_f64()).exp();
        self.demand_at = self.demand_at.max(now);
    }
}
