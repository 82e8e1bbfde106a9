//! Which rows the table should have: what nodes ask for, without the rows that are dead.

use std::collections::BTreeMap;

use crate::{
    clock::Timestamp,
    membership::{Row, Table},
    names::{Incarnation, InstanceName},
};

/// What a process wants of its own row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Wish {
    pub(super) incarnation: Incarnation,
    /// The row that it wants; none where it leaves.
    pub(super) row: Option<Row>,
}

impl Wish {
    /// The table already has what the process wants.
    pub(super) fn is_met(&self, instance: &str, table: &Table) -> bool {
        match (&self.row, table.row(instance)) {
            (Some(row), Some(existing)) => {
                row == existing || existing.incarnation > self.incarnation
            }
            (Some(_), None) => false,
            (None, Some(existing)) => existing.incarnation != self.incarnation,
            (None, None) => true,
        }
    }
}

/// Wishes of other processes, each kept while it is repeated.
#[derive(Debug, Default)]
pub(super) struct Wishes {
    by_instance: BTreeMap<InstanceName, (Wish, Timestamp)>,
}

impl Wishes {
    /// Takes in a wish that holds until a time.
    pub(super) fn note(&mut self, instance: InstanceName, wish: Wish, until: Timestamp) {
        let newer = self.by_instance.get(&instance);
        if newer.is_none_or(|(existing, _)| existing.incarnation <= wish.incarnation) {
            self.by_instance.insert(instance, (wish, until));
        }
    }

    /// Forgets wishes that are met or were not repeated.
    pub(super) fn expire(&mut self, now: Timestamp, table: &Table) {
        self.by_instance
            .retain(|instance, (wish, until)| now < *until && !wish.is_met(instance, table));
    }

    /// The wishes that stand.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&InstanceName, &Wish)> {
        self.by_instance.iter().map(|(instance, (wish, _))| (instance, wish))
    }
}

/// The rows that the table should have; none where it has them already.
pub(super) fn plan<'a>(
    table: &Table,
    wishes: impl Iterator<Item = (&'a InstanceName, &'a Wish)>,
    is_dead: impl Fn(usize) -> bool,
) -> Option<Vec<Row>> {
    let live = table.rows.iter().enumerate().filter(|(index, _)| !is_dead(*index));
    let mut by_instance: BTreeMap<&InstanceName, &Row> =
        live.map(|(_, row)| (&row.instance, row)).collect();
    let mut changed = by_instance.len() != table.rows.len();
    for (instance, wish) in wishes.filter(|(instance, wish)| !wish.is_met(instance, table)) {
        changed = true;
        match &wish.row {
            Some(row) => by_instance.insert(instance, row),
            None => by_instance.remove(instance),
        };
    }
    changed.then(|| by_instance.into_values().cloned().collect())
}
