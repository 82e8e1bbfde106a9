//! Quarantine of requests that were running when their upstream crashed.

use std::{collections::HashMap, time::Duration};

use bytes::Bytes;
use smallvec::SmallVec;
use uuid::Uuid;

use crate::{clock::Timestamp, names::OrganisationName};

/// Number of crashes from which a request is quarantined. After fewer crashes it is a suspect,
/// which runs alone in its upstream.
const DEFAULT_QUARANTINE_CRASHES: usize = 2;
/// Crash ids that an entry stores without a heap allocation.
const INLINE_CRASHES: usize = 3;
/// How long after a crash a request is treated as a suspect or refused as quarantined.
const QUARANTINE_TIME: Duration = Duration::from_secs(300);
/// Limit of the number of entries. At the limit, a new entry replaces the one that expires first.
const MAX_ENTRIES: usize = 10_000;
const HASH_PURPOSE: &str = "hibiscusdoor 2026 crash fingerprint";

/// Hash of a request's organisation, route, method and content; equal requests have equal
/// fingerprints.
pub type Fingerprint = [u8; 32];
/// Id of one crash, so that a crash that is reported repeatedly counts once.
pub type CrashId = Uuid;

/// Computes the fingerprint of a request.
///
/// For a request without a body, the path is the content: otherwise one crash would make every
/// request without a body on the same route a suspect.
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

/// Hashes the parts under a purpose. Each part's length is included, so that moving a boundary
/// between parts changes the hash.
pub fn fingerprint_of_parts(purpose: &str, parts: &[&[u8]]) -> Fingerprint {
    let mut hasher = blake3::Hasher::new_derive_key(purpose);
    for part in parts {
        hasher.update(&part.len().to_le_bytes());
        hasher.update(part);
    }
    *hasher.finalize().as_bytes()
}

/// Whether and how a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineStatus {
    /// Runs like any other request.
    Clear,
    /// Runs alone in its upstream.
    Suspect,
    /// Is refused until the quarantine ends.
    Quarantined {
        /// Time until the quarantine ends.
        remaining: Duration,
    },
}

/// A fingerprint with its crashes, as nodes exchange it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QuarantineEntry {
    /// The fingerprint.
    pub fingerprint: Fingerprint,
    /// Ids of the crashes; at most as many as lead to a quarantine.
    pub crashes: SmallVec<[CrashId; INLINE_CRASHES]>,
    /// Time until the entry expires.
    pub remaining: Duration,
}

impl QuarantineEntry {
    /// Decodes an entry that another node sent; `None` if an id has a wrong length.
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

    /// Returns the fingerprint as bytes for a message.
    pub fn fingerprint_bytes(&self) -> Bytes {
        Bytes::copy_from_slice(&self.fingerprint)
    }

    /// Returns the ids of the crashes as bytes for a message.
    pub fn crash_ids(&self) -> Vec<Bytes> {
        self.crashes.iter().map(|id| Bytes::copy_from_slice(id.as_bytes())).collect()
    }
}

#[derive(Debug)]
struct Entry {
    crashes: SmallVec<[CrashId; INLINE_CRASHES]>,
    expires_at: Timestamp,
    /// Whether the request has run alone here without a crash. Another node's report of a known
    /// crash does not make it a suspect again.
    is_cleared: bool,
}

/// The suspect and quarantined fingerprints that a node knows.
#[derive(Debug)]
pub struct Quarantine {
    quarantine_crashes: usize,
    entries: HashMap<Fingerprint, Entry>,
}

impl Default for Quarantine {
    fn default() -> Self {
        Self::new(DEFAULT_QUARANTINE_CRASHES)
    }
}

impl Quarantine {
    /// Creates an empty quarantine, which quarantines a request from `quarantine_crashes` crashes on.
    pub fn new(quarantine_crashes: usize) -> Self {
        Self { quarantine_crashes, entries: HashMap::new() }
    }

    /// Returns whether and how a request may run now.
    pub fn status(&self, fingerprint: &Fingerprint, now: Timestamp) -> QuarantineStatus {
        match self.entries.get(fingerprint) {
            Some(entry) if entry.expires_at > now => {
                match entry.crashes.len() >= self.quarantine_crashes {
                    true => QuarantineStatus::Quarantined { remaining: entry.expires_at - now },
                    false if entry.is_cleared => QuarantineStatus::Clear,
                    false => QuarantineStatus::Suspect,
                }
            }
            _ => QuarantineStatus::Clear,
        }
    }

    /// Records that a request was running when this node's local upstream crashed.
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

    /// Clears a suspect that ran alone without a crash of its upstream.
    pub fn clear_suspect(&mut self, fingerprint: &Fingerprint) {
        if let Some(entry) = self.entries.get_mut(fingerprint) {
            entry.is_cleared = true;
        }
    }

    /// Merges an entry that another node sent; repeated entries have no further effect. Returns
    /// whether it contained an unknown crash.
    pub fn merge(&mut self, other: &QuarantineEntry, now: Timestamp) -> bool {
        let expires_at = now + other.remaining.min(QUARANTINE_TIME);
        if expires_at <= now || other.crashes.is_empty() {
            return false;
        }
        self.expire(now);
        if !self.entries.contains_key(&other.fingerprint) && self.entries.len() >= MAX_ENTRIES {
            self.evict_first_to_expire();
        }
        let entry = self.entries.entry(other.fingerprint).or_insert_with(|| Entry {
            crashes: SmallVec::new(),
            expires_at,
            is_cleared: false,
        });
        let count_before = entry.crashes.len();
        for crash in &other.crashes {
            if !entry.crashes.contains(crash) && entry.crashes.len() < self.quarantine_crashes {
                entry.crashes.push(*crash);
            }
        }
        let has_new_crash = entry.crashes.len() > count_before;
        if has_new_crash {
            entry.is_cleared = false;
        }
        // The remaining time only shrinks as it is relayed, so an entry that circulates among nodes
        // still expires.
        entry.expires_at = entry.expires_at.max(expires_at);
        has_new_crash
    }

    /// Returns at most `limit` entries to send to other nodes, those with the most crashes first.
    pub fn entries(&self, now: Timestamp, limit: usize) -> Vec<QuarantineEntry> {
        let live = self.entries.iter().filter(|(_, entry)| entry.expires_at > now);
        let mut entries: Vec<QuarantineEntry> = live
            .map(|(fingerprint, entry)| QuarantineEntry {
                fingerprint: *fingerprint,
                crashes: entry.crashes.clone(),
                remaining: entry.expires_at - now,
            })
            .collect();
        entries.sort_by_key(|entry| std::cmp::Reverse((entry.crashes.len(), entry.remaining)));
        entries.truncate(limit);
        entries
    }

    /// Returns the entry of a fingerprint unless it has expired.
    pub fn entry(&self, fingerprint: &Fingerprint, now: Timestamp) -> Option<QuarantineEntry> {
        let entry = self.entries.get(fingerprint).filter(|entry| entry.expires_at > now)?;
        Some(QuarantineEntry {
            fingerprint: *fingerprint,
            crashes: entry.crashes.clone(),
            remaining: entry.expires_at - now,
        })
    }

    /// Number of quarantined fingerprints.
    pub fn quarantined_count(&self, now: Timestamp) -> usize {
        let is_quarantined =
            |it: &&Entry| it.expires_at > now && it.crashes.len() >= self.quarantine_crashes;
        self.entries.values().filter(is_quarantined).count()
    }

    /// Number of entries, including expired ones that have not been removed yet.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn expire(&mut self, now: Timestamp) {
        self.entries.retain(|_, entry| entry.expires_at > now);
    }

    fn evict_first_to_expire(&mut self) {
        let first = self.entries.iter().min_by_key(|(_, entry)| entry.expires_at);
        if let Some(fingerprint) = first.map(|(fingerprint, _)| *fingerprint) {
            self.entries.remove(&fingerprint);
        }
    }
}
