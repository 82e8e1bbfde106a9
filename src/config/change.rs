//! Changes of the configuration: computes the next document from the current one, without I/O.

use std::{collections::BTreeMap, fmt, str::FromStr, sync::Arc};

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use uuid::Uuid;

use crate::{
    config::{Class, Document, Key, KeyHasher, Organisation, Route, Service},
    findings::{self, Findings, check_value},
    names::Revision,
};

/// Number of changes that a document records. At 5,200 changes a day this covers about 17 minutes,
/// far longer than an operator's tool repeats a change after a lost response.
pub const MAX_RECENT_CHANGES: usize = 64;
/// Largest number of resources that a recorded change lists; a larger change counts as a change of
/// every resource.
const MAX_NAMED_RESOURCES: usize = 32;
/// File name in findings about input received over HTTP.
const REQUEST_BODY: &str = "request body";

/// Kind of a configuration resource.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ResourceKind {
    /// An organisation.
    Organisation,
    /// A key.
    Key,
    /// A class.
    Class,
    /// A service.
    Service,
    /// A route.
    Route,
}

impl ResourceKind {
    /// All kinds, in the order of the lists in the document.
    pub const ALL: [Self; 5] =
        [Self::Organisation, Self::Key, Self::Class, Self::Service, Self::Route];

    /// Name of the list in the document, and of the collection in the administration API.
    pub fn list_name(self) -> &'static str {
        match self {
            Self::Organisation => "organisations",
            Self::Key => "keys",
            Self::Class => "classes",
            Self::Service => "services",
            Self::Route => "routes",
        }
    }

    /// Singular name of the kind, for commands and messages.
    pub fn singular(self) -> &'static str {
        match self {
            Self::Organisation => "organisation",
            Self::Key => "key",
            Self::Class => "class",
            Self::Service => "service",
            Self::Route => "route",
        }
    }

    /// Field that identifies a resource within its list.
    pub fn id_field(self) -> &'static str {
        match self {
            Self::Key => "id",
            Self::Route => "prefix",
            _ => "name",
        }
    }

    /// Returns the kind that has this list name.
    pub fn from_list_name(list: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.list_name() == list)
    }

    /// Validates the JSON text of one resource of this kind against its schema.
    pub fn check(self, text: &str) -> Result<Value, Findings> {
        fn check_as<T: JsonSchema + Serialize + serde::de::DeserializeOwned>(
            text: &str,
        ) -> Result<Value, Findings> {
            let resource = findings::check::<T>(REQUEST_BODY, text)?;
            Ok(serde_json::to_value(resource).unwrap_or_default())
        }
        match self {
            Self::Organisation => check_as::<Organisation>(text),
            Self::Key => check_as::<Key>(text),
            Self::Class => check_as::<Class>(text),
            Self::Service => check_as::<Service>(text),
            Self::Route => check_as::<Route>(text),
        }
    }
}

/// Identifies one resource, written as in `organisations/bole-bars`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ResourceId {
    /// Kind of the resource.
    pub kind: ResourceKind,
    /// Name of the resource; id of a key, prefix of a route.
    pub name: Arc<str>,
}

impl fmt::Display for ResourceId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind.list_name(), self.name)
    }
}

impl FromStr for ResourceId {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let parts = text.split_once('/');
        let kind = parts.and_then(|(list, _)| ResourceKind::from_list_name(list));
        match (kind, parts) {
            (Some(kind), Some((_, name))) => Ok(Self { kind, name: name.into() }),
            _ => Err("expected a kind and a name, as in organisations/NAME".to_owned()),
        }
    }
}

impl TryFrom<String> for ResourceId {
    type Error = String;

    fn try_from(text: String) -> Result<Self, String> {
        text.parse()
    }
}

impl From<ResourceId> for String {
    fn from(id: ResourceId) -> Self {
        id.to_string()
    }
}

impl JsonSchema for ResourceId {
    fn schema_name() -> std::borrow::Cow<'static, str> {
        "ResourceId".into()
    }

    fn json_schema(generator: &mut schemars::SchemaGenerator) -> schemars::Schema {
        String::json_schema(generator)
    }
}

/// Record of the change that created one of the latest revisions.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct RecentChange {
    /// Id of the change, chosen by its writer. A repeated change with the same id is not applied
    /// twice.
    pub change_id: Uuid,
    /// Revision that the change created.
    #[schemars(extend("x-unit" = "changes"))]
    pub revision: Revision,
    /// Resources that the change created, changed or withdrew; none if there were more than 32.
    pub resources: Option<Vec<ResourceId>>,
}

impl RecentChange {
    fn affects(&self, id: &ResourceId) -> bool {
        self.resources.as_ref().is_none_or(|resources| resources.contains(id))
    }
}

/// Edit of the configuration that an operator requests.
#[derive(Debug, Clone, PartialEq)]
pub enum Edit {
    /// Adds a resource that must not exist yet.
    Create(ResourceKind, Value),
    /// Replaces an existing resource of the same name.
    Change(ResourceId, Value),
    /// Removes a resource.
    Withdraw(ResourceId),
    /// Replaces the whole configuration.
    Replace(Box<Document>),
}

/// An edit with a change id, which makes repeats safe, and a base revision, which makes concurrent
/// edits safe.
#[derive(Debug, Clone, PartialEq)]
pub struct Change {
    /// Id of the change; the writer uses the same one when it repeats the change.
    pub change_id: Uuid,
    /// Revision that the edit is based on.
    pub stated_revision: Revision,
    /// The edit.
    pub edit: Edit,
}

/// Result of evaluating a change.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// The change was applied earlier and created this revision; nothing is to be written.
    AlreadyApplied(Revision),
    /// The document to write in place of the current one.
    Write(Box<Document>),
}

/// Reason for rejecting a change.
#[derive(Debug, Clone, PartialEq, thiserror::Error, Serialize, Deserialize)]
#[serde(tag = "error", rename_all = "snake_case")]
pub enum ChangeError {
    /// Another edit of the same resources was accepted after the stated revision, or the recorded
    /// changes do not cover the time since that revision.
    #[error("{}", describe_conflict(*stated_revision, *current_revision, changed.as_deref()))]
    Conflict {
        /// Revision that the rejected edit is based on.
        stated_revision: Revision,
        /// Current revision.
        current_revision: Revision,
        /// Conflicting resources that changed since the stated revision; none if the changes since
        /// then are not all recorded.
        changed: Option<Vec<ResourceId>>,
    },
    /// The resource to create already exists.
    #[error("{resource} exists already")]
    Exists {
        /// Id of the existing resource.
        resource: ResourceId,
    },
    /// The resource to change or withdraw does not exist.
    #[error("{resource} does not exist")]
    Missing {
        /// Id of the missing resource.
        resource: ResourceId,
    },
    /// The edited configuration would be invalid.
    #[error(transparent)]
    Invalid(Findings),
}

fn describe_conflict(
    stated: Revision,
    current: Revision,
    changed: Option<&[ResourceId]>,
) -> String {
    let changed = match changed {
        Some(resources) => {
            let names: Vec<String> = resources.iter().map(ResourceId::to_string).collect();
            format!("{} changed in between", names.join(", "))
        }
        None => "what changed in between is not known any more".to_owned(),
    };
    format!(
        "conflict: the edit starts from revision {stated}, but revision {current} is accepted; \
         {changed}"
    )
}

/// Checks a change against the current document and computes the next document.
pub fn evaluate_change(
    current: &Document,
    change: &Change,
    hasher: &KeyHasher,
) -> Result<Decision, ChangeError> {
    let earlier = current.recent_changes.iter().find(|it| it.change_id == change.change_id);
    if let Some(earlier) = earlier {
        return Ok(Decision::AlreadyApplied(earlier.revision));
    }
    check_stated_revision(current, change)?;
    let mut next = apply_edit(current, &change.edit)?;
    next.hash_secrets(hasher);
    next.sort();
    next.revision = current.revision + 1;
    let mut affected = current.changed_resources(&next);
    if let Edit::Change(id, _) = &change.edit
        && affected.is_empty()
    {
        // An edit without effect still counts as an edit of the resource.
        affected.push(id.clone());
    }
    next.recent_changes = current.recent_changes.clone();
    next.recent_changes.push(RecentChange {
        change_id: change.change_id,
        revision: next.revision,
        resources: (affected.len() <= MAX_NAMED_RESOURCES).then_some(affected),
    });
    let excess = next.recent_changes.len().saturating_sub(MAX_RECENT_CHANGES);
    next.recent_changes.drain(..excess);
    Ok(Decision::Write(Box::new(next)))
}

fn check_stated_revision(current: &Document, change: &Change) -> Result<(), ChangeError> {
    let stated_revision = change.stated_revision;
    if stated_revision == current.revision {
        return Ok(());
    }
    let conflict = |changed| {
        Err(ChangeError::Conflict { stated_revision, current_revision: current.revision, changed })
    };
    let later_changes: Vec<&RecentChange> =
        current.recent_changes.iter().filter(|it| it.revision > stated_revision).collect();
    let revision_gap = current.revision.saturating_sub(stated_revision);
    let is_gap_recorded =
        stated_revision < current.revision && later_changes.len() as u64 == revision_gap;
    let id = match &change.edit {
        // Whether the resource exists is checked later, and that needs no history.
        Edit::Create(..) if stated_revision < current.revision => return Ok(()),
        Edit::Change(id, _) | Edit::Withdraw(id) => Some(id),
        _ => None,
    };
    match id {
        _ if !is_gap_recorded => conflict(None),
        Some(id) if later_changes.iter().any(|it| it.affects(id)) => {
            conflict(Some(vec![id.clone()]))
        }
        Some(_) => Ok(()),
        None => {
            let named = later_changes.iter().map(|it| it.resources.clone());
            let named: Option<Vec<Vec<ResourceId>>> = named.collect();
            let changed = named.map(|lists| {
                let mut resources: Vec<ResourceId> = lists.into_iter().flatten().collect();
                resources.sort();
                resources.dedup();
                resources
            });
            conflict(changed)
        }
    }
}

/// Applies an edit to a document, and validates the result unless the edit replaces the whole
/// document.
fn apply_edit(current: &Document, edit: &Edit) -> Result<Document, ChangeError> {
    if let Edit::Replace(document) = edit {
        return Ok((**document).clone());
    }
    let mut value = serde_json::to_value(current).unwrap_or_default();
    match edit {
        Edit::Create(kind, resource) => {
            let name = name_of(*kind, resource);
            if position_of(&value, *kind, name).is_some() {
                let resource = ResourceId { kind: *kind, name: name.into() };
                return Err(ChangeError::Exists { resource });
            }
            resources_mut(&mut value, *kind).push(resource.clone());
        }
        Edit::Change(id, resource) => {
            let index = position_of(&value, id.kind, &id.name);
            let index = index.ok_or_else(|| ChangeError::Missing { resource: id.clone() })?;
            resources_mut(&mut value, id.kind)[index] = resource.clone();
        }
        Edit::Withdraw(id) => {
            let index = position_of(&value, id.kind, &id.name);
            let index = index.ok_or_else(|| ChangeError::Missing { resource: id.clone() })?;
            resources_mut(&mut value, id.kind).remove(index);
        }
        Edit::Replace(_) => {}
    }
    check_value::<Document>(REQUEST_BODY, value).map_err(ChangeError::Invalid)
}

fn name_of(kind: ResourceKind, resource: &Value) -> &str {
    resource.get(kind.id_field()).and_then(Value::as_str).unwrap_or_default()
}

fn position_of(document: &Value, kind: ResourceKind, name: &str) -> Option<usize> {
    let items = document.get(kind.list_name())?.as_array()?;
    items.iter().position(|item| name_of(kind, item) == name)
}

/// Returns the list of a kind of resource in a document; creates it if it is missing.
fn resources_mut(document: &mut Value, kind: ResourceKind) -> &mut Vec<Value> {
    let list = &mut document[kind.list_name()];
    if !list.is_array() {
        *list = Value::Array(Vec::new());
    }
    list.as_array_mut().expect("the value was set to an array above")
}

impl Document {
    /// Sorts all lists by name, so that equal documents have equal digests.
    pub fn sort(&mut self) {
        self.organisations.sort_by(|a, b| a.name.cmp(&b.name));
        self.keys.sort_by(|a, b| a.id.cmp(&b.id));
        self.classes.sort_by(|a, b| a.name.cmp(&b.name));
        self.services.sort_by(|a, b| a.name.cmp(&b.name));
        self.routes.sort_by(|a, b| a.prefix.cmp(&b.prefix));
    }

    /// Returns all resources by id.
    pub fn resources(&self) -> BTreeMap<ResourceId, Value> {
        let value = serde_json::to_value(self).unwrap_or_default();
        let mut resources = BTreeMap::new();
        for kind in ResourceKind::ALL {
            let items = value.get(kind.list_name()).and_then(Value::as_array);
            for item in items.into_iter().flatten() {
                let id = ResourceId { kind, name: name_of(kind, item).into() };
                resources.insert(id, item.clone());
            }
        }
        resources
    }

    /// Returns the resources that differ between two documents, or exist in only one, sorted by id.
    pub fn changed_resources(&self, other: &Self) -> Vec<ResourceId> {
        let (old, new) = (self.resources(), other.resources());
        let mut changed: Vec<ResourceId> = old
            .iter()
            .filter(|(id, value)| new.get(id) != Some(value))
            .map(|(id, _)| id.clone())
            .chain(new.keys().filter(|id| !old.contains_key(id)).cloned())
            .collect();
        changed.sort();
        changed
    }
}
