//! The configuration document, as operators write it and as the platform stores it.

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
    /// Revision of the document, increased by one with every accepted change. The administration
    /// API sets it; in a file that is applied, it is the revision that the edit is based on.
    #[schemars(extend("x-unit" = "changes"))]
    pub revision: Revision,
    /// Latest changes, at most 64. They show whether a change was applied when its writer repeats it
    /// after a lost response. Set by the administration API.
    pub recent_changes: Vec<RecentChange>,
    /// Organisations with their request rates.
    pub organisations: Vec<Organisation>,
    /// Keys by which callers authenticate, each belonging to an organisation.
    pub keys: Vec<Key>,
    /// Classes of requests with their targets.
    pub classes: Vec<Class>,
    /// Services that upstreams may announce.
    pub services: Vec<Service>,
    /// Routes from request paths to services.
    pub routes: Vec<Route>,
}

impl Document {
    /// Replaces the secret of each key by its hash.
    pub fn hash_secrets(&mut self, hasher: &KeyHasher) {
        for key in &mut self.keys {
            if let Some(secret) = key.secret.take() {
                key.hash = Some(hasher.hash(&key.id, &secret).to_hex().to_string());
            }
        }
    }
}

/// An organisation with the rate limit of its callers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Name, unique.
    #[schemars(length(min = 1, max = 63), regex(pattern = "^[A-Za-z0-9][A-Za-z0-9_-]*$"))]
    pub name: OrganisationName,
    /// Admitted requests per second, over the whole fleet. Requests above the rate and the burst
    /// wait or are refused.
    #[schemars(range(min = 0.001, max = 10_000_000.0))]
    pub rate_per_s: f64,
    /// Requests that may be admitted at once after a pause, over the whole fleet.
    #[schemars(range(min = 1.0, max = 10_000_000.0), extend("x-unit" = "requests"))]
    pub burst: f64,
}

/// A key of an organisation; the stored document contains only its hash.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// Public id of the key, unique: the part before the dot in `<id>.<secret>`.
    #[schemars(length(min = 1, max = 63), regex(pattern = "^[A-Za-z0-9][A-Za-z0-9_-]*$"))]
    pub id: KeyId,
    /// Organisation that the key belongs to. Requests with the key are charged to its rate.
    pub organisation: OrganisationName,
    /// Keyed BLAKE3 hash of id and secret, in hexadecimal. A key has either `hash` or `secret`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(length(min = 64, max = 64), extend("x-unit" = "hexadecimal digits"))]
    pub hash: Option<String>,
    /// Secret part of the key, after the dot. It is accepted in a file that is applied, and replaced
    /// by `hash` before the document is stored.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(length(min = 20, max = 200))]
    pub secret: Option<String>,
}

/// A class of requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Name, unique.
    #[schemars(length(min = 1, max = 63), regex(pattern = "^[A-Za-z0-9][A-Za-z0-9_-]*$"))]
    pub name: ClassName,
    /// Service level of the class; the importance of its requests under overload is derived from it.
    pub target: Target,
}

/// Service level of a class.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Fraction of the requests that must be admitted and answered. Under overload, classes with a
    /// smaller fraction are shed first.
    #[schemars(range(min = 0.0, max = 1.0), extend("x-unit" = "fraction"))]
    pub must_get_through: f64,
    /// Time after the arrival of a request within which a response is useful, in milliseconds. It
    /// is the deadline of the request and of all calls made for it.
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

/// A route from a path prefix to a service; the longest matching prefix applies.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Path prefix, unique, matched at segment boundaries: `/a` matches `/a` and `/a/b`, not `/ab`.
    #[schemars(regex(pattern = "^/[A-Za-z0-9._~!$&'()*+,;=:@%/-]*$"))]
    pub prefix: String,
    /// Service that runs the requests.
    pub service: ServiceName,
    /// Class of the requests.
    pub class: ClassName,
    /// Whether the route is open: requests need no key and are charged to no organisation's rate.
    #[serde(default)]
    pub open: bool,
    /// Requests that may run more than once, and so may be retried after an unknown outcome.
    #[serde(default)]
    pub idempotency: Idempotency,
}

/// Requests of a route that may run more than once.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Idempotency {
    /// Requests with an idempotent method, such as GET, HEAD, OPTIONS, PUT and DELETE.
    #[default]
    ByMethod,
    /// Every request.
    Always,
    /// No request.
    Never,
}

impl Input for Document {
    fn check_rules(value: &Value, collector: &mut Collector) {
        let organisations = check_unique(value, collector, "organisations", "name");
        let classes = check_unique(value, collector, "classes", "name");
        let services = check_unique(value, collector, "services", "name");
        check_unique(value, collector, "keys", "id");
        for (index, key) in items(value, "keys").enumerate() {
            let place = format!("/keys/{index}");
            let organisation = key.get("organisation").and_then(Value::as_str);
            if organisation.is_some_and(|name| !organisations.contains(name)) {
                // The text is not quoted: it may be a secret in the wrong field.
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

/// Checks the rules that the schema cannot express: names are unique, references exist, and each key
/// has a valid hash or a secret.
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

/// Adds a finding for every repeated name in a list, and returns the names.
fn check_unique<'a>(
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
