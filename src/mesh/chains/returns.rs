//! Promises to refused callers that they find room when they return.
//!
//! Load pattern: more root requests arrive than a full service can do, and refused callers return when
//! their answer tells them to. With a random time they compete with all new requests, and most are
//! refused again. Therefore a part of what is admitted of each route and organisation is promised to
//! returning callers: each is told the first time that is not promised to others, and a request that
//! arrives when a return is due is admitted. Callers are not told apart, as a return has a new id; it
//! differs from a new request by the time that its caller still has.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use crate::{clock::Timestamp, mesh::chains::RecentDecisions, names::OrganisationName};

/// Recent requests below which nothing is known about what is admitted.
const MIN_REQUESTS: f64 = 4.0;
/// Fraction of the admitted requests that is promised; the rest is for new requests.
const PROMISED_FRACTION: f64 = 0.5;
/// Time before and after a promised return in which a request counts as it.
const EARLY: Duration = Duration::from_millis(20);
const LATE: Duration = Duration::from_millis(250);
/// Time by which the remaining time of a return may exceed the expected one.
const REMAINING_TOLERANCE: Duration = Duration::from_millis(30);
/// Callers honour a Retry-After of at most their remaining time divided by this.
const USABLE_TIME_DIVISOR: u32 = 3;
/// Number of routes and organisations above which those without recent requests are dropped.
const EVICTION_THRESHOLD: usize = 512;

/// Advice to a refused caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReturnAdvice {
    /// Nothing is known about the room for its return.
    Unknown,
    /// There is room after this time.
    After(Duration),
    /// There is no room within the time that is of use to the caller.
    NoRoom,
}

/// Requests of one route and organisation.
#[derive(Debug, Default)]
struct Line {
    decisions: RecentDecisions,
    /// Time from which nothing is promised yet.
    free_from: Timestamp,
    /// Promised returns that are not due or have just become due, in order, with the time that their
    /// callers will then still have.
    due: VecDeque<(Timestamp, Duration)>,
}

impl Line {
    fn advance_to(&mut self, now: Timestamp) {
        self.decisions.advance_to(now);
        while self.due.front().is_some_and(|(due, _)| *due + LATE < now) {
            self.due.pop_front();
        }
    }
}

/// Promises of one entry node, by route and organisation.
#[derive(Debug, Default)]
pub struct ReturnPromises {
    lines: HashMap<(Arc<str>, Option<OrganisationName>), Line>,
}

impl ReturnPromises {
    /// Records the final decision on a request.
    pub fn record(
        &mut self,
        now: Timestamp,
        route: &Arc<str>,
        organisation: Option<&OrganisationName>,
        is_admitted: bool,
    ) {
        if self.lines.len() > EVICTION_THRESHOLD {
            self.lines.retain(|_, it| it.decisions.is_recent(now) || !it.due.is_empty());
        }
        let line = self.lines.entry((route.clone(), organisation.cloned())).or_default();
        line.advance_to(now);
        line.decisions.record(now, 1.0, is_admitted);
    }

    /// Promises the first free time to a refused caller, at least `earliest` from now and within the part
    /// of the time until its deadline that it may wait.
    pub fn promise(
        &mut self,
        now: Timestamp,
        route: &Arc<str>,
        organisation: Option<&OrganisationName>,
        earliest: Duration,
        deadline: Timestamp,
    ) -> ReturnAdvice {
        let Some(line) = self.lines.get_mut(&(route.clone(), organisation.cloned())) else {
            return ReturnAdvice::Unknown;
        };
        line.advance_to(now);
        let RecentDecisions { requested, admitted, .. } = line.decisions;
        let promised = PROMISED_FRACTION * admitted;
        // Of a few requests, half of those admitted may be less than one.
        let is_small = promised < 1.0 && admitted * 2.0 > requested;
        if requested < MIN_REQUESTS || is_small {
            return ReturnAdvice::Unknown;
        }
        let promised_per_s = promised / RecentDecisions::TIME_CONSTANT.as_secs_f64();
        let latest = deadline.saturating_sub(now) / USABLE_TIME_DIVISOR;
        let at = line.free_from.max(now + earliest);
        if at > now + latest || promised < 1.0 {
            return ReturnAdvice::NoRoom;
        }
        line.free_from = at + Duration::from_secs_f64(1.0 / promised_per_s);
        line.due.push_back((at, deadline.saturating_sub(at)));
        ReturnAdvice::After(at - now)
    }

    /// Takes a promised return that is due; a request of the route and organisation must then be
    /// admitted.
    pub fn claim(
        &mut self,
        now: Timestamp,
        route: &Arc<str>,
        organisation: Option<&OrganisationName>,
        deadline: Timestamp,
    ) -> bool {
        let Some(line) = self.lines.get_mut(&(route.clone(), organisation.cloned())) else {
            return false;
        };
        line.advance_to(now);
        let remaining = deadline.saturating_sub(now);
        let position = line
            .due
            .iter()
            .take_while(|(due, _)| *due <= now + EARLY)
            .position(|(_, expected)| remaining <= *expected + REMAINING_TOLERANCE);
        position.is_some_and(|position| line.due.remove(position).is_some())
    }
}
