//! Reads the entries of a configuration with the parser of the nodes, and reports all errors.
//!
//! The parser stops at the first error of an entry. To report the errors of all its fields, each field is
//! parsed within an entry that is otherwise valid.

use std::{collections::HashSet, sync::Arc};

use serde::{Deserialize, de::DeserializeOwned};
use serde_json::{Map, Value, json};

use super::report::{Collector, FindingKind};
use crate::{
    names::Revision,
    platform::configuration::{
        EXPECTED_DESTINATIONS, LimitsSpec, Resource, RouteSpec, ServiceSpec, SplitPart, TenantSpec,
        to_destinations,
    },
};

/// End of the parser's message about a field that should hold a duration.
const NO_DURATION: &str = " is no time like 1500ms";

/// An entry and its index in the list of entries.
#[derive(Debug)]
pub struct Entry<T> {
    pub index: usize,
    pub name: Arc<str>,
    pub spec: T,
}

impl<T> Entry<T> {
    /// JSON pointer to a part of the entry.
    pub fn place(&self, part: &str) -> String {
        format!("/resources/{}/{part}", self.index)
    }
}

/// The entries that the parser accepts, each type in the order of the document.
#[derive(Default)]
pub struct Document {
    pub version: Option<Revision>,
    pub routes: Vec<Entry<RouteSpec>>,
    pub services: Vec<Entry<ServiceSpec>>,
    pub tenants: Vec<Entry<TenantSpec>>,
    pub limits: Vec<Entry<LimitsSpec>>,
    /// Entries with errors, as in `routes/orders`; empty text for one whose type or name is unknown.
    invalid: HashSet<String>,
}

impl Document {
    /// Whether there is an entry of this type and name with errors.
    pub fn is_invalid(&self, kind: &str, name: &str) -> bool {
        self.invalid.contains(&format!("{kind}/{name}"))
    }

    /// Whether an entry that may be of this type has errors.
    pub fn has_invalid(&self, kind: &str) -> bool {
        let is_of_kind =
            |id: &String| id.split('/').next().is_none_or(|it| it.is_empty() || it == kind);
        self.invalid.iter().any(is_of_kind)
    }
}

/// Reads a configuration; `None` if it has no list of entries.
pub fn read(text: &str, collector: &mut Collector) -> Option<Document> {
    let value: Value = match serde_json::from_str(text) {
        Ok(value) => value,
        Err(error) => {
            let place = format!("line {}, column {}", error.line(), error.column());
            let text = error.to_string();
            let fault = text.split(" at line ").next().unwrap_or_default();
            collector.add(FindingKind::Error, "", place, "JSON", format!("other text ({fault})"));
            return None;
        }
    };
    let version = value.get("version").and_then(Value::as_u64);
    if version.is_none() {
        let found = value.get("version").map_or_else(|| "none".to_owned(), Value::to_string);
        collector.add(FindingKind::Error, "", "/version", "a whole number, 0 or above", found);
    }
    let Some(resources) = value.get("resources").and_then(Value::as_array) else {
        let found = value.get("resources").map_or("none", describe_type);
        collector.add(FindingKind::Error, "", "/resources", "a list of entries", found);
        return None;
    };
    let mut document = Document { version, ..Document::default() };
    for (index, resource) in resources.iter().enumerate() {
        read_entry(index, resource, &mut document, collector);
    }
    Some(document)
}

fn read_entry(index: usize, value: &Value, document: &mut Document, collector: &mut Collector) {
    let place = format!("/resources/{index}");
    let valid = Map::from_iter([("resourceType".to_owned(), json!("limits"))]);
    let Some(resource) = parse::<Resource>("", &place, value, &valid, collector) else {
        document.invalid.insert(String::new());
        return;
    };
    let (kind, name) = (resource.kind, resource.metadata.name);
    let id = format!("{kind}/{name}");
    if name.is_empty() && matches!(&*kind, "routes" | "services" | "tenants") {
        let place = format!("{place}/metadata/name");
        collector.add(FindingKind::Error, &*id, place, "a name", "none");
    }
    let (place, name) = (format!("{place}/spec"), Arc::from(name));
    let spec = &resource.spec;
    let is_valid = match &*kind {
        "routes" => {
            let valid = json!({ "host": "a", "pathPrefix": "/", "kind": "safe", "timeout": "1s" });
            let parsed = parse(&id, &place, spec, as_fields(&valid), collector);
            // Read apart from the other fields, so that it is also checked where these have errors.
            let destinations: Option<Destinations> = Deserialize::deserialize(spec).ok();
            let is_usable = destinations.is_none_or(|it| it.is_usable());
            if !is_usable {
                collector.add(FindingKind::Error, &*id, place, EXPECTED_DESTINATIONS, "none");
            }
            push(&mut document.routes, index, name, parsed.filter(|_| is_usable))
        }
        "services" => {
            let parsed = parse(&id, &place, spec, &Map::new(), collector);
            push(&mut document.services, index, name, parsed)
        }
        "tenants" => {
            let parsed = parse(&id, &place, spec, &Map::new(), collector);
            push(&mut document.tenants, index, name, parsed)
        }
        "limits" => {
            let parsed = parse(&id, &place, spec, &Map::new(), collector);
            push(&mut document.limits, index, name, parsed)
        }
        _ => {
            let place = format!("/resources/{index}/resourceType");
            let expected = "routes, services, tenants or limits (others are ignored)";
            collector.add(FindingKind::NeverApplies, &*id, place, expected, kind);
            true
        }
    };
    if !is_valid {
        document.invalid.insert(id);
    }
}

/// Adds an entry if it was parsed; returns whether it was.
fn push<T>(entries: &mut Vec<Entry<T>>, index: usize, name: Arc<str>, spec: Option<T>) -> bool {
    let is_valid = spec.is_some();
    entries.extend(spec.map(|spec| Entry { index, name, spec }));
    is_valid
}

/// The fields that name the destinations of a route.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Destinations {
    service: Option<String>,
    traffic_split: Option<Vec<SplitPart>>,
}

impl Destinations {
    fn is_usable(&self) -> bool {
        !to_destinations(self.service.as_deref(), self.traffic_split.as_deref()).is_empty()
    }
}

fn as_fields(value: &Value) -> &Map<String, Value> {
    value.as_object().expect("the valid fields are an object")
}

/// Parses a value as the nodes do; reports the errors of all its fields if it is not valid. `valid` are
/// valid values of all required fields.
fn parse<T: DeserializeOwned>(
    id: &str,
    place: &str,
    value: &Value,
    valid: &Map<String, Value>,
    collector: &mut Collector,
) -> Option<T> {
    // The parser also takes a list for an object, which is never meant.
    let Some(fields) = value.as_object() else {
        collector.add(FindingKind::Error, id, place, "an object", describe_type(value));
        return None;
    };
    let error = match T::deserialize(value) {
        Ok(parsed) => return Some(parsed),
        Err(error) => error,
    };
    let mut is_explained = false;
    for name in valid.keys().filter(|name| !fields.contains_key(*name)) {
        is_explained = true;
        collector.add(FindingKind::Error, id, place, format!("the field \"{name}\""), "none");
    }
    for (name, value) in fields {
        let mut probe = valid.clone();
        probe.insert(name.clone(), value.clone());
        if let Err(error) = T::deserialize(Value::Object(probe)) {
            is_explained = true;
            let place = format!("{place}/{}", name.replace('~', "~0").replace('/', "~1"));
            let (expected, found) = describe_error(name, value, &error);
            collector.add(FindingKind::Error, id, place, expected, found);
        }
    }
    if !is_explained {
        let found = format!("another value ({error})");
        collector.add(FindingKind::Error, id, place, "a valid entry", found);
    }
    None
}

/// Describes the expected and the found value of a field; never quotes a key.
fn describe_error(name: &str, value: &Value, error: &serde_json::Error) -> (String, String) {
    if name == "apiKeys" {
        let found = match value {
            Value::Array(_) => "a list with other values",
            other => describe_type(other),
        };
        return ("a list of texts".to_owned(), found.to_owned());
    }
    let text = error.to_string();
    if let Some(found) = text.strip_suffix(NO_DURATION) {
        return ("a time, as in \"1500ms\"".to_owned(), found.to_owned());
    }
    let parts = text
        .strip_prefix("invalid type: ")
        .or_else(|| text.strip_prefix("invalid value: "))
        .and_then(|rest| rest.rsplit_once(", expected "));
    match parts {
        Some((found, expected)) => {
            let expected = match expected {
                "u32" | "u64" | "usize" => "a whole number, 0 or above",
                "f64" => "a number",
                other => other,
            };
            (expected.to_owned(), found.to_owned())
        }
        None => ("a valid value".to_owned(), format!("another value ({text})")),
    }
}

fn describe_type(value: &Value) -> &'static str {
    match value {
        Value::Null => "null",
        Value::Bool(_) => "true or false",
        Value::Number(_) => "a number",
        Value::String(_) => "a text",
        Value::Array(_) => "a list",
        Value::Object(_) => "an object",
    }
}
