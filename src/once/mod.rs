//! At-most-once execution of requests with idempotency keys, and the quarantine of requests that
//! crash upstreams.
//!
//! One node owns each key and records the outcome of its request. A node that leaves hands its
//! records over to the next owners. All types here decide without I/O: the caller passes the time,
//! and the view of the membership table where ownership matters.

mod history;
mod quarantine;
mod records;

pub use history::{History, RowIdentity};
pub use quarantine::{
    CrashId, Fingerprint, Quarantine, QuarantineEntry, QuarantineStatus, fingerprint,
    fingerprint_of_parts,
};
pub use records::{
    CLOCK_ALLOWANCE, Claim, ClaimContext, ClaimRefusal, HandedOverRecord, Handover, KEY_WINDOW,
    KeyRecords, KeyedRequest, RecordLimits, RecordedOutcome, RunToken, key_timestamp,
};
