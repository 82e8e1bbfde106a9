//! The configuration document as operators write it and as the platform keeps it.

use std::collections::HashSet;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::{
    config::{KeyHasher, RecentChange},
    findings::{Collector, Findings, Input},
    names::{ClassName, KeyId, OrganisationName, Revision, ServiceName},
};

/// The whole configuration.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Document {
    /// Rises by one with every accepted change; set by the administration API.
    #[schemars(extend("x-unit" = "changes"))]
    pub revision: Revision,
    /// The last changes, by which a writer whose answer was lost finds out whether it won; set by
    /// the administration API.
    pub recent_changes: Vec<RecentChange>,
    /// Organisations with their rates.
    pub organisations: Vec<Organisation>,
    /// Keys that callers present.
    pub keys: Vec<Key>,
    /// Classes of work with their targets.
    pub classes: Vec<Class>,
    /// Services that upstreams may announce.
    pub services: Vec<Service>,
    /// Routes from paths to services.
    pub routes: Vec<Route>,
}

impl Document {
    /// Replaces the secrets of keys by their hashes.
    pub fn hash_secrets(&mut self, hasher: &KeyHasher) {
        for key in &mut self.keys {
            if let Some(secret) = key.secret.take() {
                key.hash = Some(hasher.hash(&key.id, &secret).to_hex().to_string());
            }
        }
    }
}

/// An organisation whose callers present keys.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Name, unique.
    #[schemars(length(min = 1, max = 63), regex(pattern = "^[A-Za-z0-9][A-Za-z0-9_-]*$"))]
    pub name: OrganisationName,
    /// Requests a second over the whole fleet.
    #[schemars(range(min = 0.001, max = 10_000_000.0))]
    pub rate_per_s: f64,
    /// Requests that may come at once over the whole fleet.
    #[schemars(range(min = 1.0, max = 10_000_000.0), extend("x-unit" = "requests"))]
    pub burst: f64,
}

/// A key; the document that is kept holds its hash only.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// Public id, the part of the key before the dot.
    #[schemars(length(min = 1, max = 63), regex(pattern = "^[A-Za-z0-9][A-Za-z0-9_-]*$"))]
    pub id: KeyId,
    /// Organisation that requests with this key run for.
    pub organisation: OrganisationName,
    /// Keyed hash of the key, in hexadecimal.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(length(min = 64, max = 64), extend("x-unit" = "hexadecimal digits"))]
    pub hash: Option<String>,
    /// Secret part of the key in a file that is applied; replaced by `hash` before it is kept.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(length(min = 20, max = 200))]
    pub secret: Option<String>,
}

/// A class of work.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Name, unique.
    #[schemars(length(min = 1, max = 63), regex(pattern = "^[A-Za-z0-9][A-Za-z0-9_-]*$"))]
    pub name: ClassName,
    /// What the class must reach.
    pub target: Target,
}

/// The target of a class.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Fraction of the requests that must get through.
    #[schemars(range(min = 0.0, max = 1.0), extend("x-unit" = "fraction"))]
    pub must_get_through: f64,
    /// Latest useful answer after the request came in, in milliseconds.
    #[schemars(range(min = 1, max = 600_000))]
    pub answer_within_ms: u64,
}

/// A service that upstreams may announce.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name, unique.
    #[schemars(length(min = 1, max = 63), regex(pattern = "^[A-Za-z0-9][A-Za-z0-9_-]*$"))]
    pub name: ServiceName,
}

/// A route; the longest matching prefix wins.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Path prefix, matched at segment boundaries.
    #[schemars(regex(pattern = "^/[A-Za-z0-9._~!$&'()*+,;=:@%/-]*$"))]
    pub prefix: String,
    /// Service that answers.
    pub service: ServiceName,
    /// Class of the requests.
    pub class: ClassName,
    /// Open to all: no key is needed and no rate is charged.
    #[serde(default)]
    pub open: bool,
    /// Which requests may run more than once.
    #[serde(default)]
    pub idempotency: Idempotency,
}

/// Which requests of a route may run more than once.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Idempotency {
    /// GET, HEAD, OPTIONS, PUT and DELETE.
    #[default]
    ByMethod,
    /// Every request.
    Always,
    /// No request.
    Never,
}

impl Input for Document {
    fn check_rules(value: &Value, collector: &mut Collector) {
        let organisations = unique(value, collector, "organisations", "name");
        let classes = unique(value, collector, "classes", "name");
        let services = unique(value, collector, "services", "name");
        unique(value, collector, "keys", "id");
        for (index, key) in items(value, "keys").enumerate() {
            let place = format!("/keys/{index}");
            let organisation = key.get("organisation").and_then(Value::as_str);
            if organisation.is_some_and(|name| !organisations.contains(name)) {
                // The text is not repeated: it may be a secret in the wrong field.
                let found = "a name that no organisation has";
                collector.add(
                    format!("{place}/organisation"),
                    "the name of an organisation",
                    found,
                );
            }
            check_key_material(collector, &place, key);
        }
        let mut prefixes = HashSet::new();
        for (index, route) in items(value, "routes").enumerate() {
            let place = format!("/routes/{index}");
            let text = |field: &str| route.get(field).and_then(Value::as_str);
            if let Some(prefix) = text("prefix")
                && !prefixes.insert(prefix.trim_end_matches('/'))
            {
                collector.add(format!("{place}/prefix"), "a prefix used once", prefix);
            }
            if let Some(service) = text("service").filter(|name| !services.contains(name)) {
                collector.add(format!("{place}/service"), "the name of a service", service);
            }
            if let Some(class) = text("class").filter(|name| !classes.contains(name)) {
                collector.add(format!("{place}/class"), "the name of a class", class);
            }
        }
    }
}

/// Checks what the schema cannot express: names are unique and references exist.
pub fn check_document(file: &str, document: &Document) -> Result<(), Findings> {
    let mut collector = Collector::new(file);
    let value = serde_json::to_value(document).unwrap_or_default();
    Document::check_rules(&value, &mut collector);
    collector.finish(())
}

fn check_key_material(collector: &mut Collector, place: &str, key: &Value) {
    let text = |field: &str| key.get(field).and_then(Value::as_str);
    match (text("hash"), text("secret")) {
        (Some(_), Some(_)) => {
            collector.add(place, "either \"hash\" or \"secret\"", "both");
        }
        (None, None) if key.get("hash").is_none() && key.get("secret").is_none() => {
            collector.add(place, "either \"hash\" or \"secret\"", "none");
        }
        (Some(hash), None) if blake3::Hash::from_hex(hash).is_err() => {
            collector.add(format!("{place}/hash"), "64 hexadecimal digits", "other text");
        }
        _ => {}
    }
}

fn items<'a>(value: &'a Value, list: &str) -> impl Iterator<Item = &'a Value> {
    value.get(list).and_then(Value::as_array).into_iter().flatten()
}

fn unique<'a>(
    value: &'a Value,
    collector: &mut Collector,
    list: &str,
    field: &str,
) -> HashSet<&'a str> {
    let mut seen = HashSet::new();
    for (index, item) in items(value, list).enumerate() {
        let Some(name) = item.get(field).and_then(Value::as_str) else { continue };
        if !seen.insert(name) {
            collector.add(
                format!("/{list}/{index}/{field}"),
                "a name used once",
                "a name used before",
            );
        }
    }
    seen
}
