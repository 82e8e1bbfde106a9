//! The compact encoding of evidence in messages: one byte of age and one byte of load for each row.

use std::time::Duration;

use bytes::Bytes;

use crate::{
    clock::Timestamp,
    membership::evidence::{EvidenceLog, NOT_SERVING, RowList, RowReport},
    names::{Revision, TableVersion},
    peers::proto::{EvidenceReply, RowException},
};

/// Unit in which ages are encoded.
const AGE_UNIT: Duration = Duration::from_millis(20);
/// Encoded age of a row without evidence, or with evidence that is too old to encode.
const UNKNOWN_AGE: u8 = 255;

/// Table version, configuration revision and load of the node that sends the reply.
#[derive(Debug, Clone, Copy)]
pub(super) struct OwnState {
    pub(super) version: TableVersion,
    pub(super) revision: Revision,
    pub(super) load: u8,
}

/// Encodes an age, rounded up to [`AGE_UNIT`]; an age that is too large becomes [`UNKNOWN_AGE`].
fn encode_age(age: Duration) -> u8 {
    let units = age.as_nanos().div_ceil(AGE_UNIT.as_nanos());
    u8::try_from(units).unwrap_or(UNKNOWN_AGE)
}

/// Writes the evidence about the rows of the current version into a reply.
pub(super) fn encode_rows(
    reply: &mut EvidenceReply,
    now: Timestamp,
    own_state: OwnState,
    evidence_log: &EvidenceLog,
) {
    let mut ages = Vec::new();
    let mut loads = Vec::new();
    for (index, entry) in evidence_log.rows(RowList::Current).enumerate() {
        let age = match (entry.is_own, entry.evidence_at) {
            (true, _) => 0,
            (false, Some(at)) => encode_age(now.saturating_sub(at)),
            (false, None) => UNKNOWN_AGE,
        };
        ages.push(age);
        loads.push(if entry.is_own { own_state.load } else { entry.load });
        let differs = (entry.version, entry.revision) != (own_state.version, own_state.revision);
        if differs && !entry.is_own && age != UNKNOWN_AGE {
            reply.exceptions.push(RowException {
                row: u32::try_from(index).unwrap_or(u32::MAX),
                table_version: entry.version,
                revision: entry.revision,
            });
        }
    }
    reply.ages = Bytes::from(ages);
    reply.loads = Bytes::from(loads);
}

/// Decodes the report about each row of the reply's table version, with the row's index.
///
/// `sent_at` is a time before the request was sent. The replying node measured the ages later, so
/// subtracting them from `sent_at` never makes evidence look newer than it is.
pub(super) fn decode_rows(reply: &EvidenceReply, sent_at: Timestamp) -> Vec<(usize, RowReport)> {
    let mut exceptions = reply.exceptions.iter().peekable();
    let mut reports = Vec::new();
    for (index, age) in reply.ages.iter().enumerate() {
        let exception = exceptions.next_if(|exception| usize::try_from(exception.row) == Ok(index));
        if *age == UNKNOWN_AGE {
            continue;
        }
        let Some(evidence_at) = sent_at.checked_sub(AGE_UNIT * u32::from(*age)) else { continue };
        let report = RowReport {
            evidence_at: Some(evidence_at),
            version: exception.map_or(reply.table_version, |it| it.table_version),
            revision: exception.map_or(reply.revision, |it| it.revision),
            load: reply.loads.get(index).copied().unwrap_or(NOT_SERVING),
        };
        reports.push((index, report));
    }
    reports
}
