//! What one node sends another to bring it from an older revision to its own.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::{
    config::{Document, MAX_RECENT_CHANGES, RecentChange, ResourceId},
    names::Revision,
};

/// Digest of a document.
pub type Digest = [u8; 32];

/// The changes between two revisions.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Difference {
    /// Revision that it applies to.
    pub from: Revision,
    /// The changes after `from`, in their order.
    pub changes: Vec<RecentChange>,
    /// Resources that were created or changed, as they stand now.
    pub present: Vec<(ResourceId, Value)>,
    /// Resources that were withdrawn.
    pub withdrawn: Vec<ResourceId>,
}

impl Document {
    /// Digest of the document, by which a node finds out that a difference was lost or misapplied.
    pub fn digest(&self) -> Digest {
        // Lists are kept sorted and the fields have a fixed order.
        let bytes = serde_json::to_vec(self).unwrap_or_default();
        *blake3::hash(&bytes).as_bytes()
    }

    /// The difference from an older revision; none where the document no longer remembers all
    /// changes since then, or one of them touched too much.
    pub fn difference_since(&self, from: Revision) -> Option<Difference> {
        let changes: Vec<RecentChange> =
            self.recent_changes.iter().filter(|change| change.revision > from).cloned().collect();
        let missing = self.revision.checked_sub(from)?;
        if from == 0 || changes.len() as u64 != missing {
            return None;
        }
        let lists: Option<Vec<&Vec<ResourceId>>> =
            changes.iter().map(|change| change.resources.as_ref()).collect();
        let touched: BTreeSet<&ResourceId> = lists?.into_iter().flatten().collect();
        let mut resources = self.resources();
        let (mut present, mut withdrawn) = (Vec::new(), Vec::new());
        for id in touched {
            match resources.remove(id) {
                Some(value) => present.push((id.clone(), value)),
                None => withdrawn.push(id.clone()),
            }
        }
        Some(Difference { from, changes, present, withdrawn })
    }

    /// Makes the newer document; none where the difference does not fit this one.
    pub fn with_difference(&self, difference: Difference) -> Option<Self> {
        let newest = difference.changes.last()?.revision;
        if difference.from != self.revision || newest <= self.revision {
            return None;
        }
        let mut value = serde_json::to_value(self).ok()?;
        for (id, resource) in difference.present {
            let items = value.get_mut(id.kind.list_name())?.as_array_mut()?;
            items.retain(|item| !is_named(item, &id));
            items.push(resource);
        }
        for id in difference.withdrawn {
            let items = value.get_mut(id.kind.list_name())?.as_array_mut()?;
            items.retain(|item| !is_named(item, &id));
        }
        let mut next: Self = serde_json::from_value(value).ok()?;
        next.sort();
        next.revision = newest;
        next.recent_changes.extend(difference.changes);
        let excess = next.recent_changes.len().saturating_sub(MAX_RECENT_CHANGES);
        next.recent_changes.drain(..excess);
        Some(next)
    }
}

fn is_named(item: &Value, id: &ResourceId) -> bool {
    item.get(id.kind.id_field()).and_then(Value::as_str) == Some(&*id.name)
}
