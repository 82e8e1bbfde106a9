//! Shares of organisations in what a full service can do for requests of one rank.
//!
//! Load pattern: one organisation sends seven times its usual load, so that a service deep in the call
//! graph is full. If requests of one rank are refused at random, every other organisation loses as
//! large a part of its requests as that one.

use std::{collections::HashMap, time::Duration};

use crate::{clock::Timestamp, mesh::chains::RecentDecisions, names::OrganisationName};

/// Time after which the level is computed again.
const LEVEL_LIFETIME: Duration = Duration::from_millis(50);
/// Fraction of the demand that is admitted from which no organisation is limited to a share.
const SATISFIED_FRACTION: f64 = 0.98;
/// Fraction of the level below which an organisation has not received its share.
const SHARE_TOLERANCE: f64 = 0.95;
/// Number of organisations above which those without recent requests are dropped.
const EVICTION_THRESHOLD: usize = 512;

/// Max-min fair shares of organisations in the slot time that is admitted.
#[derive(Debug, Default)]
pub struct OrganisationShares {
    /// Slot time that the requests of each organisation asked for and were admitted to.
    organisations: HashMap<Option<OrganisationName>, RecentDecisions>,
    /// Largest share of an organisation; `None` while nearly all that is demanded is admitted.
    level: Option<f64>,
    level_at: Timestamp,
}

impl OrganisationShares {
    /// Records a decision on a request that needs `held_s` seconds of slot time.
    pub fn record(
        &mut self,
        now: Timestamp,
        organisation: Option<&OrganisationName>,
        held_s: f64,
        is_admitted: bool,
    ) {
        if self.organisations.len() > EVICTION_THRESHOLD {
            self.organisations.retain(|_, it| it.is_recent(now));
        }
        let used = self.organisations.entry(organisation.cloned()).or_default();
        used.record(now, held_s, is_admitted);
    }

    /// Whether an organisation has received less than its share while requests were refused.
    pub fn is_below_share(
        &mut self,
        now: Timestamp,
        organisation: Option<&OrganisationName>,
    ) -> bool {
        if now >= self.level_at + LEVEL_LIFETIME {
            self.level_at = now;
            self.level = self.fair_level(now);
        }
        let Some(level) = self.level else { return false };
        let used = self.organisations.get(&organisation.cloned());
        used.is_none_or(|it| it.admitted < level * SHARE_TOLERANCE)
    }

    /// The share at which all that was admitted is used up if no organisation receives more than
    /// either its demand or this share.
    fn fair_level(&mut self, now: Timestamp) -> Option<f64> {
        let mut demands = Vec::with_capacity(self.organisations.len());
        let (mut demanded, mut admitted) = (0.0, 0.0);
        for used in self.organisations.values_mut() {
            used.advance_to(now);
            demanded += used.requested;
            admitted += used.admitted;
            demands.push(used.requested);
        }
        if demands.len() < 2 || admitted >= SATISFIED_FRACTION * demanded {
            return None;
        }
        demands.sort_unstable_by(f64::total_cmp);
        let mut left = admitted;
        for (index, demand) in demands.iter().enumerate() {
            let level = left / (demands.len() - index) as f64;
            if *demand >= level {
                return Some(level);
            }
            left -= demand;
        }
        None
    }
}
