//! Quarantine of requests that crash upstreams, over the whole fleet.
//!
//! Such a request may be retried at any node, and each time it takes down one more upstream together
//! with all other requests that run there. A node that detects a crash of its upstream reports the
//! requests that were running to the first hub of the fleet, under one id for the crash. The hub
//! informs every node of the requests that were running at three crashes, and nodes refuse these
//! without running them.
//!
//! Load pattern: upstreams crash for other reasons while popular requests run at all of them. A
//! request that has recently ended without a crash at the same upstream is not reported, so that
//! crashes do not quarantine popular requests.

use std::{collections::HashSet, time::Duration};

use crate::{
    clock::Timestamp,
    mesh::{Call, request::BufferedRequest},
    once::{
        CrashId, Fingerprint, Quarantine, QuarantineEntry, QuarantineStatus, fingerprint_of_parts,
    },
};

/// Number of crashes from which a request is quarantined. One or two crashes may coincide with a
/// request by chance.
const QUARANTINE_CRASHES: usize = 3;
/// Time for which a request that has ended without a crash is not regarded as the cause of one.
const SURVIVAL_LIFETIME: Duration = Duration::from_secs(20);
/// Maximum number of requests that are stored as ended without a crash, for each half of
/// [`SURVIVAL_LIFETIME`], at 16 bytes each.
const MAX_SURVIVORS: usize = 8_192;
/// Bytes at each end of a body that are hashed, in addition to its length: hashing bodies of
/// megabytes in full would take milliseconds each.
const HASHED_BODY_BYTES: usize = 2_048;
/// Maximum number of entries in one message; all requests that one upstream runs fit.
const MAX_MESSAGE_ENTRIES: usize = 512;
const HASH_PURPOSE: &str = "hibiscusdoor 2026 request of a mesh";

/// Prefix of a fingerprint, sufficient to recognise survivors.
type ShortFingerprint = u128;

/// Identifies equal requests by organisation, route, method, path, and length, start and end of the
/// body.
pub fn fingerprint(call: &Call, request: &BufferedRequest) -> Fingerprint {
    let body = &request.body;
    let head = &body[..body.len().min(HASHED_BODY_BYTES)];
    let tail = &body[body.len().saturating_sub(HASHED_BODY_BYTES)..];
    let organisation = call.organisation.as_deref().unwrap_or_default();
    let parts = [
        organisation.as_bytes(),
        call.route.as_bytes(),
        request.method.as_str().as_bytes(),
        request.path.as_bytes(),
        &body.len().to_le_bytes()[..],
        head,
        tail,
    ];
    fingerprint_of_parts(HASH_PURPOSE, &parts)
}

/// Requests that were running when upstreams crashed, as known to a node.
#[derive(Debug)]
pub struct Crashes {
    quarantine: Quarantine,
    /// Requests that have ended without a crash in the current and in the previous half of
    /// [`SURVIVAL_LIFETIME`].
    survivors: [HashSet<ShortFingerprint>; 2],
    /// Start of the current half.
    half_started_at: Timestamp,
    /// Incremented whenever the quarantine changes.
    change_number: u64,
}

impl Default for Crashes {
    fn default() -> Self {
        Self {
            quarantine: Quarantine::new(QUARANTINE_CRASHES),
            survivors: Default::default(),
            half_started_at: Timestamp::ZERO,
            change_number: 0,
        }
    }
}

impl Crashes {
    /// Records that a request has ended without a crash of the upstream.
    pub fn record_survival(&mut self, now: Timestamp, fingerprint: &Fingerprint) {
        if now >= self.half_started_at + SURVIVAL_LIFETIME / 2 {
            self.half_started_at = now;
            self.survivors.swap(0, 1);
            self.survivors[0].clear();
        }
        if self.survivors[0].len() < MAX_SURVIVORS {
            self.survivors[0].insert(to_short(fingerprint));
        }
    }

    /// Records that the upstream crashed while it was running a request.
    pub fn record_crash(&mut self, now: Timestamp, fingerprint: &Fingerprint, crash: CrashId) {
        let is_recent = now < self.half_started_at + SURVIVAL_LIFETIME;
        if is_recent && self.survivors.iter().any(|it| it.contains(&to_short(fingerprint))) {
            return;
        }
        self.quarantine.record_crash(*fingerprint, crash, now);
        self.change_number += 1;
    }

    /// Remaining time for which a request must not run; `None` if it is not in quarantine.
    pub fn quarantine_remaining(
        &self,
        now: Timestamp,
        fingerprint: &Fingerprint,
    ) -> Option<Duration> {
        match self.quarantine.status(fingerprint, now) {
            QuarantineStatus::Quarantined { remaining } => Some(remaining),
            QuarantineStatus::Clear | QuarantineStatus::Suspect => None,
        }
    }

    /// Whether no crash is recorded, so that requests need not be checked.
    pub fn is_empty(&self) -> bool {
        self.quarantine.is_empty()
    }

    /// Number of the last change, and the crash records to report to a hub.
    pub fn crash_reports(&self, now: Timestamp) -> (u64, Vec<QuarantineEntry>) {
        (self.change_number, self.quarantine.entries(now, MAX_MESSAGE_ENTRIES))
    }

    /// Number of the last change, and the records of the requests that must not run.
    pub fn quarantine_verdicts(&self, now: Timestamp) -> (u64, Vec<QuarantineEntry>) {
        let (change_number, mut entries) = self.crash_reports(now);
        entries.retain(|entry| entry.crashes.len() >= QUARANTINE_CRASHES);
        (change_number, entries)
    }

    /// Number of the last change.
    pub fn change_number(&self) -> u64 {
        self.change_number
    }

    /// Number of requests that must not run.
    pub fn quarantined_count(&self, now: Timestamp) -> usize {
        self.quarantine.quarantined_count(now)
    }

    /// Merges crash records received from another node.
    pub fn merge(&mut self, now: Timestamp, entries: &[QuarantineEntry]) {
        for entry in entries {
            // A known entry does not count as a change: otherwise the nodes and their hub would send it
            // to each other endlessly.
            self.change_number += u64::from(self.quarantine.merge(entry, now));
        }
    }
}

fn to_short(fingerprint: &Fingerprint) -> ShortFingerprint {
    let (bytes, _) = fingerprint.split_first_chunk().expect("a fingerprint has 32 bytes");
    ShortFingerprint::from_le_bytes(*bytes)
}
