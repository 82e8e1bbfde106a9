//! Requests that crash the upstreams which run them, bounded over the whole fleet.
//!
//! Such a request comes again at any node, and each time one more upstream goes down with all that it
//! runs. A node that sees its upstream crash reports what was running there to the fleet's first hub,
//! under one id for the crash; the hub tells every node which requests were there at three crashes,
//! and those are refused without a run.
//!
//! Load pattern: upstreams crash for reasons of their own while popular requests run at all of them.
//! A request that ended without a crash at the same upstream shortly before is not reported, so that
//! crashes do not shut out what everyone asks for.

use std::{collections::HashSet, time::Duration};

use crate::{
    clock::Timestamp,
    mesh::{Call, request::BufferedRequest},
    once::{
        CrashId, Fingerprint, Quarantine, QuarantineEntry, QuarantineStatus, fingerprint_of_parts,
    },
};

/// Crashes after which a request no longer runs. One or two may happen by chance while it runs.
const MAX_CRASHES: usize = 3;
/// Time in which a request that has ended well is not taken for the cause of a crash.
const SURVIVED_TIME: Duration = Duration::from_secs(20);
/// Requests that are remembered for half of that time; 16 bytes each.
const MAX_SURVIVED: usize = 8_192;
/// Bytes at each end of a body that tell requests apart, besides its length: hashing whole bodies of
/// megabytes would take milliseconds each.
const BODY_PART: usize = 2_048;
/// Entries in one message; what runs in one upstream fits.
const MAX_SENT: usize = 512;
const HASH_PURPOSE: &str = "hibiscusdoor 2026 request of a mesh";

/// Part of a fingerprint that tells which requests have survived.
type ShortFingerprint = u128;

/// Names requests that are alike: organisation, route, method, path and body.
pub fn fingerprint(call: &Call, request: &BufferedRequest) -> Fingerprint {
    let body = &request.body;
    let head = &body[..body.len().min(BODY_PART)];
    let tail = &body[body.len().saturating_sub(BODY_PART)..];
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

/// What a node knows of requests that were running at crashes.
#[derive(Debug)]
pub struct Crashes {
    quarantine: Quarantine,
    /// Requests that have ended well, in this half of the time and in the one before.
    survived: [HashSet<ShortFingerprint>; 2],
    turned_at: Timestamp,
    /// Rises whenever the quarantine changes.
    changes: u64,
}

impl Default for Crashes {
    fn default() -> Self {
        Self {
            quarantine: Quarantine::new(MAX_CRASHES),
            survived: Default::default(),
            turned_at: Timestamp::ZERO,
            changes: 0,
        }
    }
}

impl Crashes {
    /// A request has ended, and the upstream lives.
    pub fn record_survival(&mut self, now: Timestamp, fingerprint: &Fingerprint) {
        if now >= self.turned_at + SURVIVED_TIME / 2 {
            self.turned_at = now;
            self.survived.swap(0, 1);
            self.survived[0].clear();
        }
        if self.survived[0].len() < MAX_SURVIVED {
            self.survived[0].insert(short(fingerprint));
        }
    }

    /// The upstream has crashed while it ran a request.
    pub fn record_crash(&mut self, now: Timestamp, fingerprint: &Fingerprint, crash: CrashId) {
        let is_recent = now < self.turned_at + SURVIVED_TIME;
        if is_recent && self.survived.iter().any(|it| it.contains(&short(fingerprint))) {
            return;
        }
        self.quarantine.record_crash(*fingerprint, crash, now);
        self.changes += 1;
    }

    /// For how much longer a request must not run.
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

    /// Tells whether no request was running at a crash, so that none needs a look.
    pub fn is_empty(&self) -> bool {
        self.quarantine.is_empty()
    }

    /// Number of the last change, and what there is to tell a hub.
    pub fn reports(&self, now: Timestamp) -> (u64, Vec<QuarantineEntry>) {
        (self.changes, self.quarantine.entries(now, MAX_SENT))
    }

    /// Number of the last change, and the requests that must not run.
    pub fn verdicts(&self, now: Timestamp) -> (u64, Vec<QuarantineEntry>) {
        let (changes, mut entries) = self.reports(now);
        entries.retain(|entry| entry.crashes.len() >= MAX_CRASHES);
        (changes, entries)
    }

    /// Number of the last change.
    pub fn change_number(&self) -> u64 {
        self.changes
    }

    /// Number of requests that must not run.
    pub fn quarantined_count(&self, now: Timestamp) -> usize {
        self.quarantine.quarantined_count(now)
    }

    /// Takes what another node knows.
    pub fn merge(&mut self, now: Timestamp, entries: &[QuarantineEntry]) {
        for entry in entries {
            // An entry that is known is no change: nodes and their hub would tell it without end.
            self.changes += u64::from(self.quarantine.merge(entry, now));
        }
    }
}

fn short(fingerprint: &Fingerprint) -> ShortFingerprint {
    let (bytes, _) = fingerprint.split_first_chunk().expect("a fingerprint has 32 bytes");
    ShortFingerprint::from_le_bytes(*bytes)
}
