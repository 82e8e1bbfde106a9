//! What a node knows of the versions that rows hold, and how old that knowledge is.

use std::net::SocketAddr;

use crate::{
    clock::Timestamp,
    membership::{Row, Table},
    names::{Incarnation, InstanceName, Revision, TableVersion},
};

/// Load byte of a row that serves nothing.
pub const NOT_SERVING: u8 = 255;

/// Identifies a process: a row answers for one incarnation only.
pub(super) type RowId = (InstanceName, Incarnation);

/// Returns the process that a row stands for.
pub(super) fn id_of(row: &Row) -> RowId {
    (row.instance.clone(), row.incarnation)
}

/// What is known of one row.
///
/// At `at`, the row held no table version newer than `version` and no configuration revision
/// newer than `revision`; both only rise in a process.
#[derive(Debug, Clone)]
pub(super) struct Known {
    id: RowId,
    pub(super) is_own: bool,
    /// A later process runs under the row's instance, so the row's process has ended.
    pub(super) is_superseded: bool,
    pub(super) at: Option<Timestamp>,
    pub(super) version: TableVersion,
    pub(super) revision: Revision,
    pub(super) load: u8,
    /// When the row first stood in a table here; a new row gets time to be heard of.
    since: Timestamp,
}

impl Known {
    fn new(id: RowId, own: &RowId, since: Timestamp) -> Self {
        Self {
            is_own: id == *own,
            id,
            is_superseded: false,
            at: None,
            version: 0,
            revision: 0,
            load: NOT_SERVING,
            since,
        }
    }

    /// Time from which the row's silence counts.
    pub(super) fn heard(&self) -> Timestamp {
        self.at.map_or(self.since, |at| at.max(self.since))
    }

    /// Takes in a statement about the row.
    ///
    /// Version and revision only rise in a process, so the largest ones bound it at any earlier
    /// time as well.
    fn note(&mut self, statement: Statement) {
        self.version = self.version.max(statement.version);
        self.revision = self.revision.max(statement.revision);
        if statement.at > self.at {
            self.at = statement.at;
            self.load = statement.load;
        }
    }
}

/// One statement about a row: its own, or relayed by another.
#[derive(Debug, Clone, Copy)]
pub(super) struct Statement {
    pub(super) at: Option<Timestamp>,
    pub(super) version: TableVersion,
    pub(super) revision: Revision,
    pub(super) load: u8,
}

/// Which of the two row lists of a table is meant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum List {
    Current,
    Previous,
}

/// Evidence about the rows of the current and the previous version.
#[derive(Debug)]
pub(super) struct Book {
    own: RowId,
    entries: Vec<Known>,
    current: Vec<usize>,
    previous: Vec<usize>,
}

impl Book {
    pub(super) fn new(own: RowId) -> Self {
        Self { own, entries: Vec::new(), current: Vec::new(), previous: Vec::new() }
    }

    /// Keeps entries for exactly the rows of a table and of its previous version.
    pub(super) fn follow(&mut self, now: Timestamp, table: &Table) {
        let old = std::mem::take(&mut self.entries);
        let mut place = |row: &Row| {
            let id = id_of(row);
            if let Some(index) = self.entries.iter().position(|known| known.id == id) {
                return index;
            }
            let known = old.iter().find(|known| known.id == id).cloned();
            self.entries.push(known.unwrap_or_else(|| Known::new(id, &self.own, now)));
            self.entries.len() - 1
        };
        self.current = table.rows.iter().map(&mut place).collect();
        self.previous = table.previous_rows.iter().map(&mut place).collect();
        for row in &table.rows {
            self.supersede(&id_of(row));
        }
        // This process replaces the older one of its own instance.
        let own = self.own.clone();
        self.supersede(&own);
    }

    fn supersede(&mut self, newer: &RowId) {
        for known in &mut self.entries {
            known.is_superseded |= known.id.0 == newer.0 && known.id.1 < newer.1;
        }
    }

    /// Takes in what a process says of itself.
    pub(super) fn note_sender(&mut self, id: &RowId, statement: Statement) {
        match self.entries.iter_mut().find(|known| known.id == *id) {
            Some(known) => known.note(statement),
            None => self.supersede(id),
        }
    }

    /// Takes in what another node says of a row.
    pub(super) fn note_row(&mut self, list: List, index: usize, statement: Statement) {
        let index = self.list(list)[index];
        self.entries[index].note(statement);
    }

    fn list(&self, list: List) -> &[usize] {
        match list {
            List::Current => &self.current,
            List::Previous => &self.previous,
        }
    }

    /// What is known of the rows of a list, in its order.
    pub(super) fn rows(&self, list: List) -> impl Iterator<Item = &Known> {
        self.list(list).iter().map(|index| &self.entries[*index])
    }

    /// What is known of a row of the current list.
    pub(super) fn current(&self, index: usize) -> &Known {
        &self.entries[self.current[index]]
    }

    /// The current list has the own process.
    pub(super) fn has_own_row(&self) -> bool {
        self.rows(List::Current).any(|known| known.is_own)
    }

    /// Newest revision that any row holds.
    pub(super) fn newest_revision(&self) -> Revision {
        self.entries.iter().map(|known| known.revision).max().unwrap_or_default()
    }

    /// Latest time at which a majority of the current rows satisfied `holds`; the own row
    /// satisfies it at `now`.
    pub(super) fn majority_at(
        &self,
        now: Timestamp,
        holds: impl Fn(&Known) -> bool,
    ) -> Option<Timestamp> {
        let at = |known: &Known| match known.is_own {
            true => Some(now),
            false => known.at.filter(|_| holds(known)),
        };
        let mut times: Vec<Timestamp> = self.rows(List::Current).filter_map(at).collect();
        times.sort_unstable_by(|a, b| b.cmp(a));
        times.get(self.current.len() / 2).copied()
    }
}

/// What other parts of a node read of the evidence.
#[derive(Debug, Clone, Default)]
pub struct Evidence {
    /// Newest configuration revision seen, here or at any row.
    pub newest_revision: Revision,
    /// This node holds watches at the platform for its availability zone.
    pub is_reader: bool,
    /// The rows of the table, in its order.
    pub rows: Vec<RowEvidence>,
}

/// What is known of one row.
#[derive(Debug, Clone)]
pub struct RowEvidence {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Process that runs under the name.
    pub incarnation: Incarnation,
    /// Address for other nodes.
    pub peer_address: SocketAddr,
    /// Time of the newest evidence; none where nothing is known.
    pub at: Option<Timestamp>,
    /// Newest table version that the row is known to hold.
    pub table_version: TableVersion,
    /// Newest configuration revision that the row is known to hold.
    pub revision: Revision,
    /// Load in 1/128; none where the row serves nothing.
    pub load: Option<u8>,
    /// The row is not believed dead.
    pub alive: bool,
}

impl Evidence {
    /// Addresses of the live rows that hold a configuration revision or a newer one.
    pub fn holders(&self, revision: Revision) -> impl Iterator<Item = SocketAddr> + '_ {
        let rows = self.rows.iter().filter(move |row| row.alive && row.revision >= revision);
        rows.map(|row| row.peer_address)
    }
}
