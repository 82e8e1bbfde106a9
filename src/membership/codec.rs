//! The compact form of evidence on the wire: one byte of age and one byte of load a row.

use std::time::Duration;

use bytes::Bytes;

use crate::{
    clock::Timestamp,
    membership::evidence::{Book, List, NOT_SERVING, Statement},
    names::{Revision, TableVersion},
    peers::proto::{EvidenceReply, RowException},
};

const AGE_UNIT: Duration = Duration::from_millis(20);
const UNKNOWN_AGE: u8 = 255;

/// Version and revision that the answering node itself holds.
#[derive(Debug, Clone, Copy)]
pub(super) struct Held {
    pub(super) version: TableVersion,
    pub(super) revision: Revision,
    pub(super) load: u8,
}

/// Rounds an age up to the unit of the wire; too great an age is unknown.
fn encode_age(age: Duration) -> u8 {
    let units = age.as_nanos().div_ceil(AGE_UNIT.as_nanos());
    u8::try_from(units).unwrap_or(UNKNOWN_AGE)
}

/// Writes what is known of the rows of the current list into a reply.
pub(super) fn encode_rows(reply: &mut EvidenceReply, now: Timestamp, held: Held, book: &Book) {
    let mut ages = Vec::new();
    let mut loads = Vec::new();
    for (index, known) in book.rows(List::Current).enumerate() {
        let age = match (known.is_own, known.at) {
            (true, _) => 0,
            (false, Some(at)) => encode_age(now.saturating_sub(at)),
            (false, None) => UNKNOWN_AGE,
        };
        ages.push(age);
        loads.push(if known.is_own { held.load } else { known.load });
        let differs = (known.version, known.revision) != (held.version, held.revision);
        if differs && !known.is_own && age != UNKNOWN_AGE {
            reply.exceptions.push(RowException {
                row: u32::try_from(index).unwrap_or(u32::MAX),
                table_version: known.version,
                revision: known.revision,
            });
        }
    }
    reply.ages = Bytes::from(ages);
    reply.loads = Bytes::from(loads);
}

/// Reads what a reply says of each row of its table version, by the row's index.
///
/// `sent_at` is the time before the question was sent: the answering node measured the ages
/// later, so counting them from there makes no evidence younger than it is.
pub(super) fn decode_rows(reply: &EvidenceReply, sent_at: Timestamp) -> Vec<(usize, Statement)> {
    let mut exceptions = reply.exceptions.iter().peekable();
    let mut statements = Vec::new();
    for (index, age) in reply.ages.iter().enumerate() {
        let exception = exceptions.next_if(|exception| usize::try_from(exception.row) == Ok(index));
        if *age == UNKNOWN_AGE {
            continue;
        }
        let Some(at) = sent_at.checked_sub(AGE_UNIT * u32::from(*age)) else { continue };
        let statement = Statement {
            at: Some(at),
            version: exception.map_or(reply.table_version, |it| it.table_version),
            revision: exception.map_or(reply.revision, |it| it.revision),
            load: reply.loads.get(index).copied().unwrap_or(NOT_SERVING),
        };
        statements.push((index, statement));
    }
    statements
}
