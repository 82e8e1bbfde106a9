//! Evidence about the table version and configuration revision that each row held, and when.

use std::net::SocketAddr;

use crate::{
    clock::Timestamp,
    membership::{Row, Table},
    names::{Incarnation, InstanceName, Revision, TableVersion},
};

/// Encoded load of a node that serves no requests.
pub const NOT_SERVING: u8 = 255;

/// Identifies the process of a row: a row belongs to one incarnation of its instance only.
pub(super) type RowId = (InstanceName, Incarnation);

/// Returns the identity of a row's process.
pub(super) fn row_id(row: &Row) -> RowId {
    (row.instance.clone(), row.incarnation)
}

/// Evidence about the process of one row.
///
/// At `evidence_at`, the process held no table version newer than `version` and no configuration
/// revision newer than `revision`; both only rise within a process.
#[derive(Debug, Clone)]
pub(super) struct EvidenceEntry {
    id: RowId,
    pub(super) is_own: bool,
    /// A later process of the same instance is known, so the row's process has ended.
    pub(super) is_superseded: bool,
    pub(super) evidence_at: Option<Timestamp>,
    /// When a request of the process last arrived here. It may have been in transit for any time, so
    /// it supports no lease.
    request_at: Option<Timestamp>,
    pub(super) version: TableVersion,
    pub(super) revision: Revision,
    pub(super) load: u8,
    /// When the row first appeared in this node's table. A new row is not considered dead before
    /// evidence about it has had time to arrive.
    listed_since: Timestamp,
}

impl EvidenceEntry {
    fn new(id: RowId, own_id: &RowId, listed_since: Timestamp) -> Self {
        Self {
            is_own: id == *own_id,
            id,
            is_superseded: false,
            evidence_at: None,
            request_at: None,
            version: 0,
            revision: 0,
            load: NOT_SERVING,
            listed_since,
        }
    }

    /// Time of the newest evidence, or of the row's first appearance in the table if that is later.
    pub(super) fn last_evidence_at(&self) -> Timestamp {
        self.evidence_at.map_or(self.listed_since, |at| at.max(self.listed_since))
    }

    /// Time of the newest evidence or request; `None` if there was neither.
    pub(super) fn heard_at(&self) -> Option<Timestamp> {
        self.evidence_at.max(self.request_at)
    }

    /// Merges a report about the row.
    ///
    /// Version and revision only rise within a process, so the largest reported values are upper
    /// bounds at every earlier time as well.
    fn merge(&mut self, report: RowReport) {
        self.version = self.version.max(report.version);
        self.revision = self.revision.max(report.revision);
        if report.evidence_at > self.evidence_at {
            self.evidence_at = report.evidence_at;
            self.load = report.load;
        }
    }
}

/// One report about a row's process, from the process itself or relayed by another node.
#[derive(Debug, Clone, Copy)]
pub(super) struct RowReport {
    pub(super) evidence_at: Option<Timestamp>,
    pub(super) version: TableVersion,
    pub(super) revision: Revision,
    pub(super) load: u8,
}

/// Selects the rows of a table's current or previous version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RowList {
    Current,
    Previous,
}

/// Evidence about the rows of the current and the previous table version.
#[derive(Debug)]
pub(super) struct EvidenceLog {
    own_id: RowId,
    entries: Vec<EvidenceEntry>,
    current: Vec<usize>,
    previous: Vec<usize>,
}

impl EvidenceLog {
    pub(super) fn new(own_id: RowId) -> Self {
        Self { own_id, entries: Vec::new(), current: Vec::new(), previous: Vec::new() }
    }

    /// Switches to a table: keeps the entries of its current and previous rows, adds the missing
    /// ones and drops all others.
    pub(super) fn set_table(&mut self, now: Timestamp, table: &Table) {
        let old = std::mem::take(&mut self.entries);
        let mut entry_index = |row: &Row| {
            let id = row_id(row);
            if let Some(index) = self.entries.iter().position(|entry| entry.id == id) {
                return index;
            }
            let entry = old.iter().find(|entry| entry.id == id).cloned();
            self.entries.push(entry.unwrap_or_else(|| EvidenceEntry::new(id, &self.own_id, now)));
            self.entries.len() - 1
        };
        self.current = table.rows.iter().map(&mut entry_index).collect();
        self.previous = table.previous_rows.iter().map(&mut entry_index).collect();
        for row in &table.rows {
            self.mark_superseded_by(&row_id(row));
        }
        // This process replaces the older one of its own instance.
        let own_id = self.own_id.clone();
        self.mark_superseded_by(&own_id);
    }

    /// Marks the entries of earlier processes of an instance.
    fn mark_superseded_by(&mut self, newer: &RowId) {
        for entry in &mut self.entries {
            entry.is_superseded |= entry.id.0 == newer.0 && entry.id.1 < newer.1;
        }
    }

    /// Merges a report that a process sent about itself. A report of a process without a row shows
    /// that the earlier processes of its instance have ended.
    pub(super) fn merge_sender(&mut self, id: &RowId, report: RowReport) {
        match self.entries.iter_mut().find(|entry| entry.id == *id) {
            Some(entry) => entry.merge(report),
            None => self.mark_superseded_by(id),
        }
    }

    /// Merges the state that a process reports of itself in a request that arrived at `now`.
    pub(super) fn merge_request(&mut self, now: Timestamp, id: &RowId, report: RowReport) {
        self.merge_sender(id, report);
        if let Some(entry) = self.entries.iter_mut().find(|entry| entry.id == *id) {
            entry.request_at = Some(now);
        }
    }

    /// Merges a report that another node relayed about a row.
    pub(super) fn merge_row(&mut self, list: RowList, index: usize, report: RowReport) {
        let index = self.indices(list)[index];
        self.entries[index].merge(report);
    }

    fn indices(&self, list: RowList) -> &[usize] {
        match list {
            RowList::Current => &self.current,
            RowList::Previous => &self.previous,
        }
    }

    /// Returns the evidence about the rows of a list, in the order of the list.
    pub(super) fn rows(&self, list: RowList) -> impl Iterator<Item = &EvidenceEntry> {
        self.indices(list).iter().map(|index| &self.entries[*index])
    }

    /// Returns the evidence about a row of the current version.
    pub(super) fn current_row(&self, index: usize) -> &EvidenceEntry {
        &self.entries[self.current[index]]
    }

    /// Whether the current version has a row of this process.
    pub(super) fn has_own_row(&self) -> bool {
        self.rows(RowList::Current).any(|entry| entry.is_own)
    }

    /// Newest configuration revision that any row is known to hold.
    pub(super) fn newest_revision(&self) -> Revision {
        self.entries.iter().map(|entry| entry.revision).max().unwrap_or_default()
    }

    /// Returns the latest time for which there is evidence that a majority of the current rows
    /// satisfied `holds`. This node's own row counts as satisfying it at `now`.
    pub(super) fn majority_at(
        &self,
        now: Timestamp,
        holds: impl Fn(&EvidenceEntry) -> bool,
    ) -> Option<Timestamp> {
        let satisfied_at = |entry: &EvidenceEntry| match entry.is_own {
            true => Some(now),
            false => entry.evidence_at.filter(|_| holds(entry)),
        };
        let mut times: Vec<Timestamp> =
            self.rows(RowList::Current).filter_map(satisfied_at).collect();
        times.sort_unstable_by(|a, b| b.cmp(a));
        times.get(self.current.len() / 2).copied()
    }
}

/// Snapshot of the evidence for the other parts of the node.
#[derive(Debug, Clone, Default)]
pub struct Evidence {
    /// Newest configuration revision known, of this node or any row.
    pub newest_revision: Revision,
    /// Whether this node is one of those that watch the platform for its availability zone.
    pub is_reader: bool,
    /// Evidence about each row of the table, in table order.
    pub rows: Vec<RowEvidence>,
}

/// Evidence about one row of the table.
#[derive(Debug, Clone)]
pub struct RowEvidence {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Incarnation of the process that the row belongs to.
    pub incarnation: Incarnation,
    /// Address at which other nodes reach the node.
    pub peer_address: SocketAddr,
    /// Time of the newest evidence; `None` if there is none yet.
    pub evidence_at: Option<Timestamp>,
    /// Time of the newest evidence or request of the row's process; `None` if there was neither.
    pub heard_at: Option<Timestamp>,
    /// Newest table version that the row is known to hold.
    pub table_version: TableVersion,
    /// Newest configuration revision that the row is known to hold.
    pub revision: Revision,
    /// Load in units of 1/128; `None` if the node serves no requests.
    pub load: Option<u8>,
    /// Whether the row is not considered dead.
    pub is_alive: bool,
}

impl Evidence {
    /// Returns the addresses of the live rows that hold this configuration revision or a newer one.
    pub fn holders(&self, revision: Revision) -> impl Iterator<Item = SocketAddr> + '_ {
        let rows = self.rows.iter().filter(move |row| row.is_alive && row.revision >= revision);
        rows.map(|row| row.peer_address)
    }
}
