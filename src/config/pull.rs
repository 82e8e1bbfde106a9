//! Choice of the source from which a node fetches a newer configuration revision, without I/O.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use crate::{clock::Timestamp, names::Revision};

/// Time for which a peer is not chosen after it failed to deliver a revision that evidence shows it
/// to hold.
const PEER_AVOID_TIME: Duration = Duration::from_secs(2);
/// Time that a node waits for a revision from its peers before it reads the platform itself.
const PLATFORM_FALLBACK_DELAY: Duration = Duration::from_secs(3);
/// Minimum time between two platform reads of a node, so that a fleet without usable peers does not
/// overload the platform. Random jitter of up to the same time is added.
const MIN_PLATFORM_READ_INTERVAL: Duration = Duration::from_secs(3);

/// Source of the next fetch attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// Another node, at this address.
    Peer(SocketAddr),
    /// The platform's object API.
    Platform,
}

/// Chooses the source of each attempt to fetch a newer revision, one attempt at a time.
#[derive(Debug)]
pub struct Puller {
    rng: ChaCha8Rng,
    in_flight: bool,
    behind_since: Option<Timestamp>,
    next_platform_read: Timestamp,
    /// Peers that failed, with the time until which they are not chosen.
    avoided_until: HashMap<SocketAddr, Timestamp>,
    /// The last difference gave a document with another digest than stated, so that the next
    /// attempt fetches the full document.
    needs_full_document: bool,
}

impl Puller {
    /// Creates the state of a node that has just started; `seed` seeds its random choices.
    pub fn new(seed: u64) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            in_flight: false,
            behind_since: None,
            next_platform_read: Timestamp::ZERO,
            avoided_until: HashMap::new(),
            needs_full_document: false,
        }
    }

    /// Chooses the source of the next attempt; none if nothing is to be fetched now.
    ///
    /// `own` is the revision of this node, `newest` the newest one that evidence shows, `holders` the
    /// live nodes with a newer revision than this node. A node without any revision is behind even
    /// if evidence shows none: it has no evidence before it has joined.
    pub fn next_source(
        &mut self,
        now: Timestamp,
        own: Revision,
        newest: Revision,
        holders: &[SocketAddr],
    ) -> Option<Source> {
        if own >= newest && own > 0 {
            self.behind_since = None;
            self.avoided_until.clear();
            return None;
        }
        let behind_since = *self.behind_since.get_or_insert(now);
        if self.in_flight {
            return None;
        }
        self.avoided_until.retain(|_, until| *until > now);
        let usable: Vec<&SocketAddr> =
            holders.iter().filter(|address| !self.avoided_until.contains_key(*address)).collect();
        if !usable.is_empty() {
            self.in_flight = true;
            let index = self.rng.random_range(0..usable.len());
            return Some(Source::Peer(*usable[index]));
        }
        let waits_for_peers = own > 0 && now < behind_since + PLATFORM_FALLBACK_DELAY;
        if waits_for_peers || now < self.next_platform_read {
            return None;
        }
        self.in_flight = true;
        let jitter = self.rng.random_range(0.0..1.0);
        self.next_platform_read = now + MIN_PLATFORM_READ_INTERVAL.mul_f64(1.0 + jitter);
        Some(Source::Platform)
    }

    /// Returns whether the next attempt must request the full document instead of a difference.
    pub fn needs_full_document(&self) -> bool {
        self.needs_full_document
    }

    /// Records that the attempt delivered a newer revision.
    pub fn record_success(&mut self) {
        self.in_flight = false;
        self.needs_full_document = false;
    }

    /// Records that the source did not answer, or had no newer revision.
    pub fn record_failure(&mut self, now: Timestamp, source: Source) {
        self.in_flight = false;
        if let Source::Peer(address) = source {
            self.avoided_until.insert(address, now + PEER_AVOID_TIME);
        }
    }

    /// Records that the received difference gave a document with another digest than stated.
    ///
    /// The next attempt requests the full document; a mismatch of a full document counts as a
    /// failure of its source.
    pub fn record_mismatch(&mut self, now: Timestamp, source: Source) {
        if self.needs_full_document {
            return self.record_failure(now, source);
        }
        self.in_flight = false;
        self.needs_full_document = true;
    }
}
