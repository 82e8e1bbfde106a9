//! From whom a node fetches a newer revision, without I/O.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use crate::{clock::Timestamp, names::Revision};

/// Time for which a peer is passed over after it failed to give what evidence says it holds.
const AVOID: Duration = Duration::from_secs(2);
/// Time after which a node that no peer helps reads the platform itself.
const PEER_PATIENCE: Duration = Duration::from_secs(3);
/// Smallest time between two platform reads of one node, so that a fleet which lacks peers does
/// not load the platform. Up to as much again is added at random.
const PLATFORM_INTERVAL: Duration = Duration::from_secs(3);

/// Where the next attempt goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// Another node.
    Peer(SocketAddr),
    /// The platform.
    Platform,
}

/// Decides from whom a node fetches a newer revision.
#[derive(Debug)]
pub struct Puller {
    rng: ChaCha8Rng,
    in_flight: bool,
    behind_since: Option<Timestamp>,
    next_platform_read: Timestamp,
    avoided: HashMap<SocketAddr, Timestamp>,
    /// The last difference did not lead to the stated digest.
    wants_full_document: bool,
}

impl Puller {
    /// Makes the decisions of a node that has just started.
    pub fn new(seed: u64) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            in_flight: false,
            behind_since: None,
            next_platform_read: Timestamp::ZERO,
            avoided: HashMap::new(),
            wants_full_document: false,
        }
    }

    /// Chooses the source of the next attempt; none while there is nothing to fetch.
    ///
    /// `newest` is the newest revision that evidence shows, `holders` the live nodes that hold a
    /// newer one than this node. A node without any revision is behind even where evidence
    /// shows none: it has no evidence before it has joined.
    pub fn next_source(
        &mut self,
        now: Timestamp,
        own: Revision,
        newest: Revision,
        holders: &[SocketAddr],
    ) -> Option<Source> {
        if own >= newest && own > 0 {
            self.behind_since = None;
            self.avoided.clear();
            return None;
        }
        let behind_since = *self.behind_since.get_or_insert(now);
        if self.in_flight {
            return None;
        }
        self.avoided.retain(|_, until| *until > now);
        let usable: Vec<&SocketAddr> =
            holders.iter().filter(|address| !self.avoided.contains_key(*address)).collect();
        if !usable.is_empty() {
            self.in_flight = true;
            let index = self.rng.random_range(0..usable.len());
            return Some(Source::Peer(*usable[index]));
        }
        let is_patient = own > 0 && now < behind_since + PEER_PATIENCE;
        if is_patient || now < self.next_platform_read {
            return None;
        }
        self.in_flight = true;
        let spread = self.rng.random_range(0.0..1.0);
        self.next_platform_read = now + PLATFORM_INTERVAL.mul_f64(1.0 + spread);
        Some(Source::Platform)
    }

    /// The next attempt asks for the whole document.
    pub fn wants_full_document(&self) -> bool {
        self.wants_full_document
    }

    /// The attempt brought a newer revision.
    pub fn succeeded(&mut self) {
        self.in_flight = false;
        self.wants_full_document = false;
    }

    /// The source did not answer, or had nothing newer.
    pub fn failed(&mut self, now: Timestamp, source: Source) {
        self.in_flight = false;
        if let Source::Peer(address) = source {
            self.avoided.insert(address, now + AVOID);
        }
    }

    /// The answer did not lead to the stated digest.
    pub fn mismatched(&mut self, now: Timestamp, source: Source) {
        if self.wants_full_document {
            return self.failed(now, source);
        }
        self.in_flight = false;
        self.wants_full_document = true;
    }
}
