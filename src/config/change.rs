//! Changes of the configuration: what each makes of the current document, without I/O.

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

/// Changes that a document remembers. At 5,200 changes a day this covers about 17 minutes, far
/// longer than an operator's tool repeats a change whose answer was lost.
pub const MAX_RECENT_CHANGES: usize = 64;
/// Resources that one remembered change names; a larger change is taken to touch everything.
const MAX_NAMED_RESOURCES: usize = 32;
/// Name that findings give to what came over HTTP.
const REQUEST_BODY: &str = "request body";

/// Kind of a resource of the configuration.
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
    /// All kinds.
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

    /// Name of one resource of the kind.
    pub fn singular(self) -> &'static str {
        match self {
            Self::Organisation => "organisation",
            Self::Key => "key",
            Self::Class => "class",
            Self::Service => "service",
            Self::Route => "route",
        }
    }

    /// Field that names a resource.
    pub fn id_field(self) -> &'static str {
        match self {
            Self::Key => "id",
            Self::Route => "prefix",
            _ => "name",
        }
    }

    /// Finds the kind of a list.
    pub fn from_list_name(list: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.list_name() == list)
    }

    /// Checks one resource against its schema.
    pub fn check(self, text: &str) -> Result<Value, Findings> {
        fn typed<T: JsonSchema + Serialize + serde::de::DeserializeOwned>(
            text: &str,
        ) -> Result<Value, Findings> {
            let resource = findings::check::<T>(REQUEST_BODY, text)?;
            Ok(serde_json::to_value(resource).unwrap_or_default())
        }
        match self {
            Self::Organisation => typed::<Organisation>(text),
            Self::Key => typed::<Key>(text),
            Self::Class => typed::<Class>(text),
            Self::Service => typed::<Service>(text),
            Self::Route => typed::<Route>(text),
        }
    }
}

/// Names one resource, as in `organisations/bole-bars`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ResourceId {
    /// Kind of the resource.
    pub kind: ResourceKind,
    /// Name, key id or route prefix.
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

/// A change that made one of the last revisions.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct RecentChange {
    /// Id that the writer chose.
    pub change_id: Uuid,
    /// Revision that the change made.
    #[schemars(extend("x-unit" = "changes"))]
    pub revision: Revision,
    /// Resources that it created, changed or withdrew; none where there were too many to name.
    pub resources: Option<Vec<ResourceId>>,
}

impl RecentChange {
    fn touches(&self, id: &ResourceId) -> bool {
        self.resources.as_ref().is_none_or(|resources| resources.contains(id))
    }
}

/// What an operator wants of the configuration.
#[derive(Debug, Clone, PartialEq)]
pub enum Edit {
    /// Adds a resource that must not exist.
    Create(ResourceKind, Value),
    /// Puts a resource in place of an existing one of the same name.
    Change(ResourceId, Value),
    /// Takes a resource out.
    Withdraw(ResourceId),
    /// Puts a document in place of the whole configuration.
    Replace(Box<Document>),
}

/// An edit with what makes it safe to repeat and to race.
#[derive(Debug, Clone, PartialEq)]
pub struct Change {
    /// Id that the writer keeps when it repeats the change.
    pub change_id: Uuid,
    /// Revision that the edit was made from.
    pub stated_revision: Revision,
    /// The edit.
    pub edit: Edit,
}

/// What is to be done for a change.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// The change took effect before and made this revision.
    Applied(Revision),
    /// The document that is to be written in place of the current one.
    Write(Box<Document>),
}

/// Why a change is refused.
#[derive(Debug, Clone, PartialEq, thiserror::Error, Serialize, Deserialize)]
#[serde(tag = "error", rename_all = "snake_case")]
pub enum ChangeError {
    /// Another edit came first.
    #[error("{}", describe_conflict(*stated_revision, *current_revision, changed.as_deref()))]
    Conflict {
        /// Revision that the edit started from.
        stated_revision: Revision,
        /// Revision that is accepted now.
        current_revision: Revision,
        /// Resources in the way that changed in between; none where that is not known any more.
        changed: Option<Vec<ResourceId>>,
    },
    /// The resource to create exists.
    #[error("{resource} exists already")]
    Exists {
        /// The resource.
        resource: ResourceId,
    },
    /// The resource to change or withdraw does not exist.
    #[error("{resource} does not exist")]
    Missing {
        /// The resource.
        resource: ResourceId,
    },
    /// The result would not be a valid configuration.
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

/// Decides what a change makes of the current document.
pub fn evaluate_change(
    current: &Document,
    change: &Change,
    hasher: &KeyHasher,
) -> Result<Decision, ChangeError> {
    let earlier = current.recent_changes.iter().find(|it| it.change_id == change.change_id);
    if let Some(earlier) = earlier {
        return Ok(Decision::Applied(earlier.revision));
    }
    check_stated_revision(current, change)?;
    let mut next = edited(current, &change.edit)?;
    next.hash_secrets(hasher);
    next.sort();
    next.revision = current.revision + 1;
    let mut touched = current.changed_resources(&next);
    if let Edit::Change(id, _) = &change.edit
        && touched.is_empty()
    {
        // An edit that changes nothing still counts as an edit of the resource.
        touched.push(id.clone());
    }
    next.recent_changes = current.recent_changes.clone();
    next.recent_changes.push(RecentChange {
        change_id: change.change_id,
        revision: next.revision,
        resources: (touched.len() <= MAX_NAMED_RESOURCES).then_some(touched),
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
    let since: Vec<&RecentChange> =
        current.recent_changes.iter().filter(|it| it.revision > stated_revision).collect();
    let missing = current.revision.saturating_sub(stated_revision);
    let is_known = stated_revision < current.revision && since.len() as u64 == missing;
    let id = match &change.edit {
        // What exists is found without the history.
        Edit::Create(..) if stated_revision < current.revision => return Ok(()),
        Edit::Change(id, _) | Edit::Withdraw(id) => Some(id),
        _ => None,
    };
    match id {
        _ if !is_known => conflict(None),
        Some(id) if since.iter().any(|it| it.touches(id)) => conflict(Some(vec![id.clone()])),
        Some(_) => Ok(()),
        None => {
            let named = since.iter().map(|it| it.resources.clone());
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

fn edited(current: &Document, edit: &Edit) -> Result<Document, ChangeError> {
    if let Edit::Replace(document) = edit {
        return Ok((**document).clone());
    }
    let mut value = serde_json::to_value(current).unwrap_or_default();
    match edit {
        Edit::Create(kind, resource) => {
            let name = id_of(*kind, resource);
            if position(&value, *kind, name).is_some() {
                let resource = ResourceId { kind: *kind, name: name.into() };
                return Err(ChangeError::Exists { resource });
            }
            list(&mut value, *kind).push(resource.clone());
        }
        Edit::Change(id, resource) => {
            let at = position(&value, id.kind, &id.name);
            let at = at.ok_or_else(|| ChangeError::Missing { resource: id.clone() })?;
            list(&mut value, id.kind)[at] = resource.clone();
        }
        Edit::Withdraw(id) => {
            let at = position(&value, id.kind, &id.name);
            let at = at.ok_or_else(|| ChangeError::Missing { resource: id.clone() })?;
            list(&mut value, id.kind).remove(at);
        }
        Edit::Replace(_) => {}
    }
    check_value::<Document>(REQUEST_BODY, value).map_err(ChangeError::Invalid)
}

fn id_of(kind: ResourceKind, resource: &Value) -> &str {
    resource.get(kind.id_field()).and_then(Value::as_str).unwrap_or_default()
}

fn position(document: &Value, kind: ResourceKind, name: &str) -> Option<usize> {
    let items = document.get(kind.list_name())?.as_array()?;
    items.iter().position(|item| id_of(kind, item) == name)
}

fn list(document: &mut Value, kind: ResourceKind) -> &mut Vec<Value> {
    let list = &mut document[kind.list_name()];
    if !list.is_array() {
        *list = Value::Array(Vec::new());
    }
    list.as_array_mut().expect("a list was put there")
}

impl Document {
    /// Brings all lists into the order of their names, so that equal documents have equal digests.
    pub fn sort(&mut self) {
        self.organisations.sort_by(|a, b| a.name.cmp(&b.name));
        self.keys.sort_by(|a, b| a.id.cmp(&b.id));
        self.classes.sort_by(|a, b| a.name.cmp(&b.name));
        self.services.sort_by(|a, b| a.name.cmp(&b.name));
        self.routes.sort_by(|a, b| a.prefix.cmp(&b.prefix));
    }

    /// The resources by their names.
    pub fn resources(&self) -> BTreeMap<ResourceId, Value> {
        let value = serde_json::to_value(self).unwrap_or_default();
        let mut resources = BTreeMap::new();
        for kind in ResourceKind::ALL {
            let items = value.get(kind.list_name()).and_then(Value::as_array);
            for item in items.into_iter().flatten() {
                let id = ResourceId { kind, name: id_of(kind, item).into() };
                resources.insert(id, item.clone());
            }
        }
        resources
    }

    /// The resources that differ between two documents.
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
