//! Requests that were in flight when an upstream crashed.

use std::{collections::HashMap, time::Duration};

use bytes::Bytes;
use smallvec::SmallVec;
use uuid::Uuid;

use crate::{clock::Timestamp, names::OrganisationName};

/// Crashes after which a request no longer runs, where suspects run alone before that.
const DEFAULT_MAX_CRASHES: usize = 2;
/// Crashes of an entry that are stored in place.
const INLINE_CRASHES: usize = 3;
/// How long a suspect runs alone, and how long a quarantined request is refused.
const QUARANTINE_TIME: Duration = Duration::from_secs(300);
/// Entries that are kept. Where more requests crash upstreams within the quarantine time, the
/// entry that ends first makes room.
const MAX_ENTRIES: usize = 10_000;
const HASH_PURPOSE: &str = "hibiscusdoor 2026 crash fingerprint";

/// Names requests that are alike: organisation, route and content.
pub type Fingerprint = [u8; 32];
/// Names one crash, so that a crash that is reported twice counts once.
pub type CrashId = Uuid;

/// Computes the fingerprint of a request.
///
/// A request without a body is told apart by its path: one crash would otherwise make every
/// bodyless request of a route suspect.
pub fn fingerprint(
    organisation: Option<&OrganisationName>,
    route_prefix: &str,
    method: &str,
    path: &str,
    body: &[u8],
) -> Fingerprint {
    let content = if body.is_empty() { path.as_bytes() } else { body };
    let parts = [
        organisation.map_or(&b""[..], |name| name.as_bytes()),
        route_prefix.as_bytes(),
        method.as_bytes(),
        &[u8::from(body.is_empty())],
        content,
    ];
    fingerprint_of_parts(HASH_PURPOSE, &parts)
}

/// Computes a fingerprint in which the boundaries of the parts count.
pub fn fingerprint_of_parts(purpose: &str, parts: &[&[u8]]) -> Fingerprint {
    let mut hasher = blake3::Hasher::new_derive_key(purpose);
    for part in parts {
        hasher.update(&part.len().to_le_bytes());
        hasher.update(part);
    }
    *hasher.finalize().as_bytes()
}

/// How a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineStatus {
    /// Like any other.
    Clear,
    /// Alone in its upstream.
    Suspect,
    /// Not at all for some time.
    Quarantined {
        /// Time until the quarantine ends.
        remaining: Duration,
    },
}

/// A fingerprint with its crashes, as nodes tell each other.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QuarantineEntry {
    /// The fingerprint.
    pub fingerprint: Fingerprint,
    /// The crashes, as many as make a quarantine at most.
    pub crashes: SmallVec<[CrashId; INLINE_CRASHES]>,
    /// Time until the entry ends.
    pub remaining: Duration,
}

impl QuarantineEntry {
    /// Reads an entry that another node sent; none where an id has a wrong length.
    pub fn from_parts(
        fingerprint: &[u8],
        crash_ids: &[Bytes],
        remaining: Duration,
    ) -> Option<Self> {
        let crashes = crash_ids.iter().map(|id| CrashId::from_slice(id).ok());
        Some(Self {
            fingerprint: fingerprint.try_into().ok()?,
            crashes: crashes.collect::<Option<_>>()?,
            remaining,
        })
    }

    /// The fingerprint, for a message.
    pub fn fingerprint_bytes(&self) -> Bytes {
        Bytes::copy_from_slice(&self.fingerprint)
    }

    /// The ids of the crashes, for a message.
    pub fn crash_ids(&self) -> Vec<Bytes> {
        self.crashes.iter().map(|id| Bytes::copy_from_slice(id.as_bytes())).collect()
    }
}

#[derive(Debug)]
struct Entry {
    crashes: SmallVec<[CrashId; INLINE_CRASHES]>,
    until: Timestamp,
    /// The request ran alone here without a crash; another node's report of the same crash does
    /// not make it suspect again.
    cleared: bool,
}

/// The fingerprints that a node knows.
#[derive(Debug)]
pub struct Quarantine {
    max_crashes: usize,
    entries: HashMap<Fingerprint, Entry>,
}

impl Default for Quarantine {
    fn default() -> Self {
        Self::new(DEFAULT_MAX_CRASHES)
    }
}

impl Quarantine {
    /// Makes an empty quarantine of requests that were in flight at this many crashes.
    pub fn new(max_crashes: usize) -> Self {
        Self { max_crashes, entries: HashMap::new() }
    }

    /// How a request may run now.
    pub fn status(&self, fingerprint: &Fingerprint, now: Timestamp) -> QuarantineStatus {
        match self.entries.get(fingerprint) {
            Some(entry) if entry.until > now => match entry.crashes.len() >= self.max_crashes {
                true => QuarantineStatus::Quarantined { remaining: entry.until - now },
                false if entry.cleared => QuarantineStatus::Clear,
                false => QuarantineStatus::Suspect,
            },
            _ => QuarantineStatus::Clear,
        }
    }

    /// A request was in flight when the upstream beside this node crashed.
    pub fn record_crash(&mut self, fingerprint: Fingerprint, crash: CrashId, now: Timestamp) {
        self.merge(
            &QuarantineEntry {
                fingerprint,
                crashes: SmallVec::from_slice(&[crash]),
                remaining: QUARANTINE_TIME,
            },
            now,
        );
    }

    /// A suspect ran alone and its upstream did not crash.
    pub fn clear_suspect(&mut self, fingerprint: &Fingerprint) {
        if let Some(entry) = self.entries.get_mut(fingerprint) {
            entry.cleared = true;
        }
    }

    /// Takes in what another node knows; the same entry may come any number of times. Returns whether
    /// it told of a crash that was not known.
    pub fn merge(&mut self, other: &QuarantineEntry, now: Timestamp) -> bool {
        let until = now + other.remaining.min(QUARANTINE_TIME);
        if until <= now || other.crashes.is_empty() {
            return false;
        }
        self.expire(now);
        if !self.entries.contains_key(&other.fingerprint) && self.entries.len() >= MAX_ENTRIES {
            self.make_room();
        }
        let entry = self.entries.entry(other.fingerprint).or_insert_with(|| Entry {
            crashes: SmallVec::new(),
            until,
            cleared: false,
        });
        let before = entry.crashes.len();
        for crash in &other.crashes {
            if !entry.crashes.contains(crash) && entry.crashes.len() < self.max_crashes {
                entry.crashes.push(*crash);
            }
        }
        let is_news = entry.crashes.len() > before;
        if is_news {
            entry.cleared = false;
        }
        // Relayed times only shrink, so an entry that goes round among nodes still ends.
        entry.until = entry.until.max(until);
        is_news
    }

    /// What other nodes need to know, the most crashes first, at most `limit` entries.
    pub fn entries(&self, now: Timestamp, limit: usize) -> Vec<QuarantineEntry> {
        let live = self.entries.iter().filter(|(_, entry)| entry.until > now);
        let mut entries: Vec<QuarantineEntry> = live
            .map(|(fingerprint, entry)| QuarantineEntry {
                fingerprint: *fingerprint,
                crashes: entry.crashes.clone(),
                remaining: entry.until - now,
            })
            .collect();
        entries.sort_by_key(|entry| std::cmp::Reverse((entry.crashes.len(), entry.remaining)));
        entries.truncate(limit);
        entries
    }

    /// The entry of one fingerprint.
    pub fn entry(&self, fingerprint: &Fingerprint, now: Timestamp) -> Option<QuarantineEntry> {
        let entry = self.entries.get(fingerprint).filter(|entry| entry.until > now)?;
        Some(QuarantineEntry {
            fingerprint: *fingerprint,
            crashes: entry.crashes.clone(),
            remaining: entry.until - now,
        })
    }

    /// Number of requests that must not run.
    pub fn quarantined_count(&self, now: Timestamp) -> usize {
        let quarantined = |it: &&Entry| it.until > now && it.crashes.len() >= self.max_crashes;
        self.entries.values().filter(quarantined).count()
    }

    /// Number of entries, ended ones included until the next change.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Tells whether there is no entry.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn expire(&mut self, now: Timestamp) {
        self.entries.retain(|_, entry| entry.until > now);
    }

    fn make_room(&mut self) {
        let first = self.entries.iter().min_by_key(|(_, entry)| entry.until);
        if let Some(fingerprint) = first.map(|(fingerprint, _)| *fingerprint) {
            self.entries.remove(&fingerprint);
        }
    }
}
