//! Rate limits of organisations over the whole fleet.
//!
//! Each organisation has a home: one node, chosen by rendezvous hashing over the known instances,
//! that holds its token bucket. Entry nodes draw tokens from the home ahead of demand. There is no
//! consensus and no stored state. The total admitted rate stays within the limit because only a home
//! that is provably the only one grants the whole rate (see `sole_holder`), and the homes of smaller
//! parts of the fleet grant a small fraction of their share.
//!
//! Load pattern: one organisation sends eight times its usual demand through all nodes at once,
//! while another sends three requests per second spread over a dozen nodes.

use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use crate::{
    clock::Timestamp,
    mesh::{
        CONTACT_LIFETIME, ContactProof, HolderContacts, Organisation, Standing, sync::home_hub,
    },
    names::{InstanceName, OrganisationName},
};

/// Fraction of its share of the rate that a home grants while it is not provably the only one. Another
/// part of the fleet may have the whole rate, and the bound on the requests of an organisation leaves
/// a tenth above it, of which [`EXTRA_RATE_FRACTION`] uses a part: with 0.25, homes of half the fleet
/// together would exceed it.
const MINORITY_FRACTION: f64 = 0.1;
/// Longest time until the next token that a home states.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);
/// Longest time without a request for which a home that is not the only one gains tokens: the fraction
/// of the fleet that is in contact with it is unknown after that.
const MAX_SHARED_GAIN: Duration = Duration::from_secs(2);
/// Fraction of the rate that is granted in addition to it. Tokens in transit, and tokens at an entry
/// node that receives no further request, are not used; without the addition, requests within the
/// rate are refused. The platform's bound has a larger margin than this.
const EXTRA_RATE_FRACTION: f64 = 0.04;
/// Tokens that are granted in addition to the burst, for the same reason as [`EXTRA_RATE_FRACTION`].
const EXTRA_BURST_TOKENS: f64 = 2.0;
/// Time for which an entry node draws tokens ahead of demand; shorter than the time after which an
/// unresponsive home is replaced. Tokens held by entry nodes add to the burst. The platform's bound
/// has a margin of half a second of the rate, and [`EXTRA_RATE_FRACTION`] uses a part of it.
pub(crate) const DRAW_AHEAD: Duration = Duration::from_millis(250);
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

/// Tokens of one organisation, as of the last update of the home.
#[derive(Debug)]
struct Bucket {
    /// Tokens from the time in which the home was provably the only one.
    level: f64,
    /// Tokens from other times, which a home that is not the only one may grant.
    shared_level: f64,
    rate_per_s: f64,
    burst: f64,
}

impl Bucket {
    /// Adds the tokens of a time as the only home, followed by a time in which another home may have
    /// granted tokens. Another home gains at most the rate in that time, so this one loses as much: the
    /// levels of all homes together never exceed the burst.
    fn advance(&mut self, sole: Duration, other: Duration, shared_fraction: f64) {
        self.level = (self.level + self.rate_per_s * sole.as_secs_f64()).min(self.burst);
        self.level = (self.level - self.rate_per_s * other.as_secs_f64()).max(0.0);
        if !sole.is_zero() {
            self.shared_level = 0.0;
        }
        let shared_s = other.min(MAX_SHARED_GAIN).as_secs_f64();
        let shared_burst = (self.burst * shared_fraction).max(1.0);
        self.shared_level =
            (self.shared_level + self.rate_per_s * shared_fraction * shared_s).min(shared_burst);
    }
}

/// Token buckets of the organisations that have their home at this node.
///
/// Buckets gain tokens only for time in which the node is provably the only home.
#[derive(Debug, Default)]
pub struct RateHome {
    /// Time up to which the buckets have gained tokens.
    updated_at: Timestamp,
    /// Start of the present uninterrupted time as the only home.
    sole_since: Option<Timestamp>,
    /// Time until which the node is provably the only home.
    sole_until: Timestamp,
    /// Fraction of the fleet that is in contact with the home.
    contact_fraction: f64,
    /// Time of the last request to the node as a home.
    last_used_at: Option<Timestamp>,
    buckets: HashMap<OrganisationName, Bucket>,
}

impl RateHome {
    /// Sets the number of instances in contact with the home, in a fleet of the given size, where these
    /// use no other home.
    pub fn set_contacts(&mut self, now: Timestamp, contacts: usize, fleet_size: usize) {
        let contact_fraction = contacts as f64 / fleet_size.max(1) as f64;
        let sole_until = match contact_fraction > 0.5 {
            true => now + CONTACT_LIFETIME,
            false => Timestamp::ZERO,
        };
        self.set_standing(now, Standing { contact_fraction, sole_until });
    }

    /// Sets what the home may grant, and records that it is in use.
    pub fn set_standing(&mut self, now: Timestamp, standing: Standing) {
        self.advance(now);
        self.last_used_at = Some(now);
        self.contact_fraction = standing.contact_fraction;
        self.sole_until = standing.sole_until;
        self.sole_since = match now < self.sole_until {
            true => Some(self.sole_since.unwrap_or(now)),
            false => None,
        };
    }

    fn advance(&mut self, now: Timestamp) {
        let elapsed = now.saturating_sub(self.updated_at);
        let sole = self.sole_until.min(now).saturating_sub(self.updated_at);
        let other = elapsed - sole;
        let shared_fraction = self.contact_fraction * MINORITY_FRACTION;
        for bucket in self.buckets.values_mut() {
            bucket.advance(sole, other, shared_fraction);
        }
        if !other.is_zero() {
            self.sole_since = None;
        }
        self.updated_at = self.updated_at.max(now);
    }

    /// Fraction of the rate that the home grants at this time, from 0 to 1.
    fn granted_fraction(&self, now: Timestamp) -> f64 {
        if now < self.sole_until { 1.0 } else { self.contact_fraction * MINORITY_FRACTION }
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
        self.advance(now);
        let rate_per_s = rate_per_s * (1.0 + EXTRA_RATE_FRACTION);
        let burst = organisation.burst + EXTRA_BURST_TOKENS;
        let granted_per_s = rate_per_s * self.granted_fraction(now);
        let is_sole = now < self.sole_until;
        // A new bucket has been filling since the node became the only home.
        let sole = self.sole_since.map_or(Duration::ZERO, |since| now.saturating_sub(since));
        let bucket = self.buckets.entry(organisation.name.clone()).or_insert_with(|| Bucket {
            level: rate_per_s * sole.as_secs_f64(),
            shared_level: 0.0,
            rate_per_s,
            burst,
        });
        (bucket.rate_per_s, bucket.burst) = (rate_per_s, burst);
        bucket.level = (bucket.level + returned).min(burst);
        let level = if is_sole { &mut bucket.level } else { &mut bucket.shared_level };
        let tokens = wanted.min(level.floor()).max(0.0);
        *level -= tokens;
        let missing = (wanted - tokens).min(1.0);
        let retry_after = match missing > 0.0 {
            true if granted_per_s > 0.0 => {
                let longest = match !is_sole && self.contact_fraction > 0.5 {
                    // Most of the fleet has turned to this home; it grants the whole rate soon.
                    true => CONTACT_LIFETIME,
                    false => MAX_RETRY_AFTER,
                };
                let wait_s = (1.0 - *level) / granted_per_s;
                Duration::from_secs_f64(wait_s.clamp(0.0, longest.as_secs_f64()))
            }
            // A home that does not know the fleet yet has no rate to tell the time by.
            true => CONTACT_LIFETIME,
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
    contacts: HolderContacts,
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
    /// given size, and returns the home for that number. The instance uses no other home for the number.
    pub fn record_contact(
        &mut self,
        now: Timestamp,
        number: HubNumber,
        requester: &InstanceName,
        fleet_size: usize,
    ) -> &mut RateHome {
        let proof = ContactProof::assumed(now);
        self.record_proven_contact(now, number, requester, proof, fleet_size)
    }

    /// Like [`Self::record_contact`], with what the request proves about the homes that the instance
    /// uses.
    pub fn record_proven_contact(
        &mut self,
        now: Timestamp,
        number: HubNumber,
        requester: &InstanceName,
        proof: ContactProof,
        fleet_size: usize,
    ) -> &mut RateHome {
        let numbered = self.homes.entry(number).or_default();
        let standing = numbered.contacts.record(now, requester, proof, fleet_size);
        numbered.home.set_standing(now, standing);
        &mut numbered.home
    }

    /// Records that an instance turns to another home for this number; it no longer counts for this node's.
    pub fn release(
        &mut self,
        now: Timestamp,
        number: HubNumber,
        requester: &str,
        fleet_size: usize,
    ) {
        if let Some(numbered) = self.homes.get_mut(&number) {
            let standing = numbered.contacts.release(now, requester, fleet_size);
            numbered.home.set_standing(now, standing);
        }
    }

    /// Records that an instance that uses the node as a home for this number counted with its home before by
    /// another fleet.
    pub fn record_stated_fleet(
        &mut self,
        now: Timestamp,
        number: HubNumber,
        members: BTreeSet<InstanceName>,
    ) {
        self.homes.entry(number).or_default().contacts.record_stated_fleet(now, members);
    }

    /// Records the fleet as the node counted it before lost instances have joined it again.
    pub fn record_outgrown_fleet(&mut self, now: Timestamp, members: &BTreeSet<InstanceName>) {
        for numbered in self.homes.values_mut() {
            numbered.contacts.record_outgrown_fleet(now, members);
        }
    }

    /// Whether the node is in contact with most of each fleet that an instance has stated for this number.
    pub fn has_stated_majorities(&self, now: Timestamp, number: HubNumber) -> bool {
        self.homes.get(&number).is_none_or(|numbered| numbered.contacts.has_stated_majorities(now))
    }

    /// Whether the node is provably the only home for this number.
    pub fn is_sole(&self, now: Timestamp, number: HubNumber) -> bool {
        self.homes.get(&number).is_some_and(|numbered| now < numbered.home.sole_until)
    }

    /// Whether a claim may make the node's home for this number the only one.
    pub fn can_claim(&self, now: Timestamp, number: HubNumber) -> bool {
        self.homes.get(&number).is_some_and(|numbered| numbered.contacts.can_claim(now))
    }

    /// Records that all other instances have confirmed a claim for this number, sent at `sent_at`.
    pub fn confirm_claim(
        &mut self,
        now: Timestamp,
        number: HubNumber,
        sent_at: Timestamp,
        fleet_size: usize,
    ) {
        let numbered = self.homes.entry(number).or_default();
        let standing = numbered.contacts.confirm_claim(now, sent_at, fleet_size);
        numbered.home.set_standing(now, standing);
    }

    /// Gives up the node's home for this number for a claim of another node, unless most of the fleet uses
    /// it; returns whether it did.
    pub fn yield_to_claim(&mut self, now: Timestamp, number: HubNumber, fleet_size: usize) -> bool {
        let numbered = self.homes.entry(number).or_default();
        now >= numbered.home.sole_until && numbered.contacts.yield_to_claim(now, fleet_size)
    }

    /// Fraction of the rates that the node grants now, for each hub number.
    pub fn granted_fractions(&self, now: Timestamp) -> Vec<(HubNumber, f64)> {
        let active = self.homes.iter().filter_map(|(number, numbered)| {
            let home = &numbered.home;
            let is_active = home.last_used_at.is_some_and(|at| now <= at + CONTACT_LIFETIME);
            is_active.then_some((*number, home.granted_fraction(now)))
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
