//! Rate and burst of organisations over all nodes.
//!
//! Each organisation has a home: one node, found by rendezvous hashing over the known instances,
//! that holds its token bucket. Entries draw tokens ahead of demand. Nothing is agreed or stored;
//! what keeps the sum within the rate is that only a home in contact with more than half of the
//! fleet has the whole rate; the smaller parts of a divided fleet have less than their share.
//!
//! Load pattern: one organisation sends eight times its usual demand through all nodes at once,
//! while another has three requests a second spread over a dozen of them.

use std::{collections::HashMap, time::Duration};

use crate::{
    clock::Timestamp,
    mesh::{Organisation, sync::home_hub},
    names::{InstanceName, OrganisationName},
};

/// Part of its share that a home grants which is in contact with half of the fleet or less: the
/// other part of the fleet has the whole rate, and the bound on an organisation's requests has
/// little room for more.
const MINORITY_PART: f64 = 0.25;
/// An instance that did not draw for this long is not in contact with its home; entries draw some
/// four times a second. While entries change from one home to another, both may be in contact with
/// most of them for this long.
pub const CONTACT_LIFETIME: Duration = Duration::from_millis(700);
/// Time for which a count of the instances in contact is kept: a home is asked hundreds of times a
/// second.
const COUNT_INTERVAL: Duration = Duration::from_millis(50);
/// A home that was not asked for this long, or was frozen, starts anew with empty buckets.
const HOME_BREAK: Duration = Duration::from_millis(700);
/// Tokens that are granted beyond the rate and the burst. Tokens under way, and those at an entry
/// to which no further request comes, serve nobody; without this, requests within the rate are
/// refused. The platform's bound leaves room for more than that.
const STRANDED_RATE_PART: f64 = 0.04;
const STRANDED_BURST: f64 = 2.0;
/// Demand that is drawn ahead; shorter than the time in which a home is missed. What lies at the
/// entries comes on top of the burst, and the platform's bound has room for half a second of the
/// rate, of which [`STRANDED_RATE_PART`] takes a part.
const DRAW_AHEAD: Duration = Duration::from_millis(250);
/// Stock beyond this multiple of what is drawn ahead goes back.
const SURPLUS: f64 = 1.5;
/// Below this stock nothing is drawn ahead; single tokens are drawn when they are needed.
const MIN_AHEAD: f64 = 1.0;
/// Time constant of the demand.
const DEMAND_MEMORY: Duration = Duration::from_millis(800);
/// Stock that was not needed for this long goes back.
const STOCK_LIFETIME: Duration = Duration::from_secs(1);
/// Longest time that an empty home is not asked again.
const MAX_DRY: Duration = Duration::from_millis(100);
const HASH_PURPOSE: &str = "hibiscusdoor 2026 home of an organisation";

/// A home's answer to one want.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Grant {
    /// Tokens that move to the asker.
    pub tokens: f64,
    /// When more can be expected, where less was granted than wanted.
    pub retry_after: Duration,
}

#[derive(Debug)]
struct Bucket {
    level: f64,
    filled_at: Timestamp,
}

/// The token buckets that a node holds for the fleet.
#[derive(Debug, Default)]
pub struct RateHome {
    /// Since when the node has been a home without a break, and when it last acted as one.
    began_at: Timestamp,
    acted_at: Option<Timestamp>,
    /// Part of the rate that this home may grant.
    part: f64,
    buckets: HashMap<OrganisationName, Bucket>,
}

impl RateHome {
    /// This many of the fleet's instances are in contact with the home.
    pub fn set_contacts(&mut self, now: Timestamp, contacts: usize, fleet: usize) {
        if self.acted_at.is_none_or(|at| now > at + HOME_BREAK) {
            // Another home, or another part of the fleet, may have granted meanwhile.
            self.buckets.clear();
            self.began_at = now;
        }
        self.acted_at = Some(now);
        let part = contacts as f64 / fleet.max(1) as f64;
        self.part = if part > 0.5 { 1.0 } else { part * MINORITY_PART };
    }

    /// Moves tokens to an entry; `returned` come back from it.
    pub fn draw(
        &mut self,
        now: Timestamp,
        organisation: &Organisation,
        wanted: f64,
        returned: f64,
    ) -> Grant {
        let Some(rate_per_s) = organisation.rate_per_s else {
            return Grant { tokens: wanted, retry_after: Duration::ZERO };
        };
        let rate_per_s = rate_per_s * (1.0 + STRANDED_RATE_PART) * self.part;
        let burst = ((organisation.burst + STRANDED_BURST) * self.part).max(1.0);
        // A bucket that nobody asked for has been filling since the node became a home.
        let began_at = self.began_at;
        let bucket = self
            .buckets
            .entry(organisation.name.clone())
            .or_insert(Bucket { level: 0.0, filled_at: began_at });
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

/// Number of a hub.
pub type HubNumber = usize;

#[derive(Debug, Default)]
struct NumberedHome {
    home: RateHome,
    /// When each instance asked last.
    asked_at: HashMap<InstanceName, Timestamp>,
    contacts: usize,
    counted_until: Timestamp,
}

/// The homes that a node is, by the number of the hub that it is taken for.
///
/// Load pattern: one node misses an answer of a hub under load and turns to the next in rank, which is
/// in contact with the whole fleet as a hub of another number. As a home of this number it has heard of
/// that one node only, and must not grant a second whole rate.
#[derive(Debug, Default)]
pub struct RateHomes {
    homes: HashMap<HubNumber, NumberedHome>,
}

impl RateHomes {
    /// An instance of a fleet of this many asks the node as the hub of a number.
    pub fn record_contact(
        &mut self,
        now: Timestamp,
        number: HubNumber,
        by: &InstanceName,
        fleet: usize,
    ) -> &mut RateHome {
        let numbered = self.homes.entry(number).or_default();
        numbered.asked_at.insert(by.clone(), now);
        if now >= numbered.counted_until {
            numbered.asked_at.retain(|_, at| now <= *at + CONTACT_LIFETIME);
            numbered.contacts = numbered.asked_at.len();
            numbered.counted_until = now + COUNT_INTERVAL;
        }
        numbered.home.set_contacts(now, numbered.contacts, fleet);
        &mut numbered.home
    }

    /// Parts of the rates that the node grants now, by the number of the hub.
    pub fn granted_fractions(&self, now: Timestamp) -> Vec<(HubNumber, f64)> {
        let acting = self.homes.iter().filter_map(|(number, numbered)| {
            let home = &numbered.home;
            let acts = home.acted_at.is_some_and(|at| now <= at + HOME_BREAK);
            acts.then_some((*number, home.part))
        });
        acting.collect()
    }
}

/// What an entry wants of a home.
#[derive(Debug, Clone, PartialEq)]
pub struct Want {
    /// The organisation.
    pub organisation: OrganisationName,
    /// Tokens wanted.
    pub tokens: f64,
    /// Tokens that go back.
    pub returned: f64,
}

#[derive(Debug)]
struct Account {
    homes: HomeLookup,
    stock: f64,
    /// Requests that wait for a token.
    waiting: u32,
    demand_per_s: f64,
    counted_at: Timestamp,
    last_taken: Timestamp,
    dry_until: Timestamp,
    /// When the home may have a token again.
    token_at: Timestamp,
}

/// Decides which hub is the home of an organisation.
pub type OrganisationHash = u64;

/// The number that decides which hub is the home of an organisation.
pub fn organisation_hash(organisation: &str) -> OrganisationHash {
    let mut hasher = blake3::Hasher::new_derive_key(HASH_PURPOSE);
    hasher.update(organisation.as_bytes());
    let hash = hasher.finalize();
    let (bytes, _) = hash.as_bytes().split_first_chunk().expect("a hash has 32 bytes");
    OrganisationHash::from_le_bytes(*bytes)
}

/// Where the home of an organisation is; it is worked out when the number of hubs changes.
#[derive(Debug)]
pub struct HomeLookup {
    home: OrganisationHash,
    /// The number of hubs, and the hub that is the home among them.
    known: Option<(usize, HubNumber)>,
}

impl HomeLookup {
    /// Number of the hub that is the home among this many.
    pub fn home_hub(&mut self, hubs: usize) -> HubNumber {
        match self.known {
            Some((known, hub)) if known == hubs => hub,
            _ => {
                let hub = home_hub(self.home, hubs);
                self.known = Some((hubs, hub));
                hub
            }
        }
    }
}

/// What came of asking for a token.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum TakeResult {
    /// It was taken.
    Taken,
    /// One must be drawn first.
    DrawNeeded,
    /// The home is empty.
    HomeEmpty {
        /// When the organisation may have one.
        retry_after: Duration,
    },
}

/// The tokens that an entry has drawn.
#[derive(Debug, Default)]
pub struct TokenStock {
    accounts: HashMap<OrganisationName, Account>,
}

impl TokenStock {
    /// Takes a token for a request; `is_repeat` where the same request asked before.
    pub fn take_token(
        &mut self,
        now: Timestamp,
        organisation: &OrganisationName,
        is_repeat: bool,
    ) -> TakeResult {
        let account = match self.accounts.get_mut(organisation) {
            Some(account) => account,
            None => {
                let account = Account::new(organisation_hash(organisation));
                self.accounts.entry(organisation.clone()).or_insert(account)
            }
        };
        if !is_repeat {
            account.count(now);
        }
        if account.stock >= 1.0 {
            account.stock -= 1.0;
            account.last_taken = now;
            return TakeResult::Taken;
        }
        match now < account.dry_until {
            true => TakeResult::HomeEmpty { retry_after: account.token_at.saturating_sub(now) },
            false => TakeResult::DrawNeeded,
        }
    }

    /// A request waits for a token, or no longer does.
    pub fn count_waiting(&mut self, organisation: &OrganisationName, begins: bool) {
        if let Some(account) = self.accounts.get_mut(organisation) {
            match begins {
                true => account.waiting += 1,
                false => account.waiting = account.waiting.saturating_sub(1),
            }
        }
    }

    /// Requests that wait for a token.
    pub fn waiting(&self, organisation: &OrganisationName) -> u32 {
        self.accounts.get(organisation).map_or(0, |account| account.waiting)
    }

    /// Puts a token back, since the request has not run; it was no demand for tokens.
    pub fn refund(&mut self, organisation: &OrganisationName) {
        if let Some(account) = self.accounts.get_mut(organisation) {
            account.stock += 1.0;
            account.demand_per_s =
                (account.demand_per_s - 1.0 / DEMAND_MEMORY.as_secs_f64()).max(0.0);
        }
    }

    /// What is to be drawn now, for the organisations whose homes `homed` takes.
    pub fn due_wants(
        &mut self,
        now: Timestamp,
        homed: impl Fn(&mut HomeLookup) -> bool,
    ) -> Vec<Want> {
        let mut wants = Vec::new();
        for (organisation, account) in &mut self.accounts {
            if !homed(&mut account.homes) {
                continue;
            }
            account.decay(now);
            let ahead = account.demand_per_s * DRAW_AHEAD.as_secs_f64();
            let ahead = if ahead >= MIN_AHEAD { ahead } else { 0.0 };
            let target = f64::from(account.waiting) + ahead;
            let idle = now > account.last_taken + STOCK_LIFETIME;
            let returned = match idle {
                true => account.stock,
                false => (account.stock - target * SURPLUS - 1.0).max(0.0).floor(),
            };
            account.stock -= returned;
            let missing = (target - account.stock).ceil();
            let due = missing >= 1.0 && now >= account.dry_until;
            // Half of the stock is left when more is drawn, so that draws stay few.
            let low = account.waiting > 0 || account.stock < target * 0.5;
            let tokens = if due && low { missing } else { 0.0 };
            if tokens > 0.0 || returned > 0.0 {
                wants.push(Want { organisation: organisation.clone(), tokens, returned });
            }
        }
        wants
    }

    /// Wants did not reach a home, so what they return stays here.
    pub fn restore_returned(&mut self, wants: &[Want]) {
        for want in wants {
            if let Some(account) = self.accounts.get_mut(&want.organisation) {
                account.stock += want.returned;
            }
        }
    }

    /// A home has answered a want.
    pub fn apply_grant(&mut self, now: Timestamp, organisation: &OrganisationName, grant: Grant) {
        let Some(account) = self.accounts.get_mut(organisation) else { return };
        account.stock += grant.tokens;
        account.token_at = now + grant.retry_after;
        account.dry_until = now + grant.retry_after.min(MAX_DRY);
    }
}

impl Account {
    fn new(home: OrganisationHash) -> Self {
        Self {
            homes: HomeLookup { home, known: None },
            stock: 0.0,
            waiting: 0,
            demand_per_s: 0.0,
            counted_at: Timestamp::ZERO,
            last_taken: Timestamp::ZERO,
            dry_until: Timestamp::ZERO,
            token_at: Timestamp::ZERO,
        }
    }

    fn count(&mut self, now: Timestamp) {
        self.decay(now);
        self.demand_per_s += 1.0 / DEMAND_MEMORY.as_secs_f64();
    }

    fn decay(&mut self, now: Timestamp) {
        let elapsed_s = now.saturating_sub(self.counted_at).as_secs_f64();
        self.demand_per_s *= (-elapsed_s / DEMAND_MEMORY.as_secs_f64()).exp();
        self.counted_at = self.counted_at.max(now);
    }
}
