//! Differences between two revisions, which nodes send each other instead of whole documents.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::{
    config::{Document, MAX_RECENT_CHANGES, RecentChange, ResourceId},
    names::Revision,
};

/// BLAKE3 digest of a document.
pub type Digest = [u8; 32];

/// The changes between two revisions.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Difference {
    /// Revision of the document that the difference applies to.
    pub from: Revision,
    /// Changes after revision `from`, by ascending revision.
    pub changes: Vec<RecentChange>,
    /// Resources that were created or changed, with their current values.
    pub present: Vec<(ResourceId, Value)>,
    /// Resources that were withdrawn since `from`.
    pub withdrawn: Vec<ResourceId>,
}

impl Document {
    /// Computes the digest of the document, with which a node detects that a difference was lost or
    /// misapplied.
    pub fn digest(&self) -> Digest {
        // Lists are kept sorted and the fields have a fixed order.
        let bytes = serde_json::to_vec(self).unwrap_or_default();
        *blake3::hash(&bytes).as_bytes()
    }

    /// Returns the difference from an older revision.
    ///
    /// Returns none if the document no longer records all changes since `from`, or if one of them
    /// affected too many resources to list them.
    pub fn difference_since(&self, from: Revision) -> Option<Difference> {
        let changes: Vec<RecentChange> =
            self.recent_changes.iter().filter(|change| change.revision > from).cloned().collect();
        let revision_gap = self.revision.checked_sub(from)?;
        if from == 0 || changes.len() as u64 != revision_gap {
            return None;
        }
        let lists: Option<Vec<&Vec<ResourceId>>> =
            changes.iter().map(|change| change.resources.as_ref()).collect();
        let affected: BTreeSet<&ResourceId> = lists?.into_iter().flatten().collect();
        let mut resources = self.resources();
        let (mut present, mut withdrawn) = (Vec::new(), Vec::new());
        for id in affected {
            match resources.remove(id) {
                Some(value) => present.push((id.clone(), value)),
                None => withdrawn.push(id.clone()),
            }
        }
        Some(Difference { from, changes, present, withdrawn })
    }

    /// Applies a difference and returns the newer document.
    ///
    /// Returns none if the difference does not start at the revision of this document, or if its
    /// result is not a document.
    pub fn with_difference(&self, difference: Difference) -> Option<Self> {
        let newest = difference.changes.last()?.revision;
        if difference.from != self.revision || newest <= self.revision {
            return None;
        }
        let mut value = serde_json::to_value(self).ok()?;
        for (id, resource) in difference.present {
            let items = value.get_mut(id.kind.list_name())?.as_array_mut()?;
            items.retain(|item| !has_name_of(item, &id));
            items.push(resource);
        }
        for id in difference.withdrawn {
            let items = value.get_mut(id.kind.list_name())?.as_array_mut()?;
            items.retain(|item| !has_name_of(item, &id));
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

fn has_name_of(item: &Value, id: &ResourceId) -> bool {
    item.get(id.kind.id_field()).and_then(Value::as_str) == Some(&*id.name)
}
