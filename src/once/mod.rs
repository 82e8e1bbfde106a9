//! At most once: records of idempotency keys at the row that owns them, handover of the records,
//! and the quarantine of requests that crash upstreams.
//!
//! All types here are decisions without I/O. They are given the time, and the view of the
//! membership table where ownership matters.

mod history;
mod quarantine;
mod records;

pub use history::{History, RowIdentity};
pub use quarantine::{
    CrashId, Fingerprint, Quarantine, QuarantineEntry, QuarantineStatus, fingerprint,
    fingerprint_of_parts,
};
pub use records::{
    CLOCK_ALLOWANCE, Claim, ClaimContext, ClaimRefusal, HandedRecord, Handover, KEY_WINDOW,
    KeyRecords, KeyedRequest, RecordLimits, RecordedOutcome, RunToken, key_timestamp,
};
