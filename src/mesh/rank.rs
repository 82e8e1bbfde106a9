//! The order in which requests give way to each other when there is not room for all of them.

use crate::config::Importance;

/// Rank of a call chain: that of its organisation goes before that of its route. The least value is
/// the most urgent.
///
/// Load pattern: all organisations have the same rank while a deep service is full. By the rank of
/// the organisation alone, a request with four deep calls and a rank of 0 fared worse than one with
/// a single deep call and a rank of 2.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Rank of the organisation, or of the route where the organisation has none.
    pub organisation: u32,
    /// Rank of the route of the root request.
    pub route: u32,
}

impl Rank {
    /// Importance in the queue before an upstream, which has half of its bits for each part.
    pub fn importance(self) -> Importance {
        let part = |rank: u32| rank.min(u32::from(u16::MAX));
        Importance(u32::MAX - (part(self.organisation) << u16::BITS | part(self.route)))
    }
}

/// The ranks of a configuration, by which the urgency of a rank is measured.
#[derive(Debug, Clone, Default)]
pub struct RankOrder {
    organisations: Vec<u32>,
    routes: Vec<u32>,
}

impl RankOrder {
    /// Orders the ranks of organisations and of routes.
    pub fn new(
        organisations: impl Iterator<Item = u32>,
        routes: impl Iterator<Item = u32>,
    ) -> Self {
        let sorted = |mut ranks: Vec<u32>| {
            ranks.sort_unstable();
            ranks.dedup();
            ranks
        };
        Self { organisations: sorted(organisations.collect()), routes: sorted(routes.collect()) }
    }

    /// Urgency of a rank among those of the configuration, from 1 (most urgent) to 0.
    pub fn urgency(&self, rank: Rank) -> f64 {
        let place = |ranks: &[u32], rank: u32| ranks.partition_point(|it| *it < rank);
        let routes = self.routes.len().max(1);
        let last = (self.organisations.len().max(1) * routes - 1) as f64;
        let place = place(&self.organisations, rank.organisation) * routes
            + place(&self.routes, rank.route).min(routes - 1);
        if last > 0.0 { (1.0 - place as f64 / last).max(0.0) } else { 1.0 }
    }
}
