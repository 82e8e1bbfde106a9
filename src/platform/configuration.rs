//! The operators' configuration in the form that it has in the platform's store.

use std::{sync::Arc, time::Duration};

use serde::Deserialize;
use serde_json::Value;
use smallvec::smallvec;

use super::text;
use crate::{
    mesh::{CallerLimits, CatalogParts, Destination, Organisation, Route, Service},
    names::Revision,
};

#[derive(Deserialize)]
struct Document {
    version: u64,
    resources: Vec<Resource>,
}

#[derive(Deserialize)]
struct Resource {
    /// `routes`, `services`, `tenants` or `limits`.
    #[serde(rename = "resourceType")]
    kind: String,
    #[serde(default)]
    metadata: Metadata,
    #[serde(default)]
    spec: Value,
}

#[derive(Default, Deserialize)]
struct Metadata {
    #[serde(default)]
    name: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct RouteSpec {
    host: String,
    path_prefix: String,
    kind: RouteKind,
    #[serde(deserialize_with = "text::deserialize")]
    timeout: Duration,
    /// Time within which an answer is worth most; the timeout where there is none.
    #[serde(default, deserialize_with = "text::deserialize_option")]
    aim: Option<Duration>,
    /// Rank among the routes; 0 is the highest.
    #[serde(default)]
    priority: u32,
    /// The only service that answers; it takes precedence over `traffic_split`.
    service: Option<String>,
    traffic_split: Option<Vec<SplitPart>>,
    /// Upstreams that one attempt of a client may be sent to; 1 where there is no number.
    max_attempts: Option<u32>,
    /// Open to all: requests need no key.
    #[serde(default)]
    public: bool,
}

#[derive(Clone, Copy, PartialEq, Deserialize)]
#[serde(rename_all = "lowercase")]
enum RouteKind {
    /// Requests may run more than once.
    Safe,
    /// Requests may run at most once for each attempt of a client.
    Unsafe,
    /// Requests have large bodies, and may run at most once.
    Upload,
    /// A kind that this build does not know; requests may run at most once. A configuration that was
    /// rejected for one such route left a fleet without any route.
    #[serde(other)]
    Unknown,
}

#[derive(Deserialize)]
struct SplitPart {
    service: String,
    weight: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct ServiceSpec {
    /// Path of the health check; empty where there is none.
    #[serde(default)]
    health_path: String,
    /// Connections that one upstream accepts.
    #[serde(default)]
    max_connections: u32,
    /// Time for which an upstream is cold after its start.
    #[serde(default, deserialize_with = "text::deserialize_option")]
    cold_start: Option<Duration>,
    /// Requests per second that a cold upstream accepts from all nodes together; 0 means no limit.
    #[serde(default)]
    cold_per_s: f64,
}

/// An organisation, which the platform calls a tenant.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct TenantSpec {
    #[serde(default)]
    api_keys: Vec<Arc<str>>,
    /// Rank that overrides the rank of the route; 0 is the highest.
    priority: Option<u32>,
    /// Requests per second over all nodes; 0 means no limit.
    #[serde(default)]
    rate_per_s: f64,
    /// Requests that may arrive at once over all nodes.
    #[serde(default)]
    burst: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct LimitsSpec {
    max_header_bytes: Option<usize>,
    max_body_bytes: Option<usize>,
    #[serde(default, deserialize_with = "text::deserialize_option")]
    header_timeout: Option<Duration>,
    #[serde(default, deserialize_with = "text::deserialize_option")]
    idle_timeout: Option<Duration>,
}

/// Version that the operators gave a configuration document.
pub fn revision(value: &Value) -> Option<Revision> {
    value.get("version")?.as_u64()
}

/// Converts a configuration document; an error states which entry is unusable and why.
pub fn read(value: &Value) -> Result<CatalogParts, String> {
    let document = Document::deserialize(value).map_err(|error| error.to_string())?;
    let mut parts = CatalogParts { revision: document.version, ..Default::default() };
    for resource in document.resources {
        let (kind, name) = (resource.kind, resource.metadata.name);
        let to_entry_error = |error: serde_json::Error| format!("{kind}/{name}: {error}");
        match &*kind {
            "routes" => {
                let spec = RouteSpec::deserialize(resource.spec).map_err(to_entry_error)?;
                parts.routes.push(to_route(&name, spec)?);
            }
            "services" => {
                let spec = ServiceSpec::deserialize(resource.spec).map_err(to_entry_error)?;
                let service = Service {
                    health_path: spec.health_path.into(),
                    max_connections: spec.max_connections,
                    cold_start: spec.cold_start.unwrap_or_default(),
                    cold_per_s: (spec.cold_per_s > 0.0).then_some(spec.cold_per_s),
                };
                parts.services.insert(name.into(), service);
            }
            "tenants" => {
                let spec = TenantSpec::deserialize(resource.spec).map_err(to_entry_error)?;
                let organisation = Organisation {
                    name: name.into(),
                    rate_per_s: (spec.rate_per_s > 0.0).then_some(spec.rate_per_s),
                    burst: spec.burst,
                    rank: spec.priority,
                };
                parts.organisations.push((organisation, spec.api_keys));
            }
            "limits" => {
                let spec = LimitsSpec::deserialize(resource.spec).map_err(to_entry_error)?;
                parts.limits = to_limits(&spec);
            }
            _ => log::warn!(
                kind = kind;
                "ignored a configuration entry of unknown type; expected routes, services, tenants \
                 or limits"
            ),
        }
    }
    Ok(parts)
}

fn to_route(name: &str, spec: RouteSpec) -> Result<Route, String> {
    let destinations = match (spec.service, spec.traffic_split) {
        (Some(service), _) => smallvec![Destination { service: service.into(), weight: 1.0 }],
        (None, Some(split)) => {
            let destination =
                |part: SplitPart| Destination { service: part.service.into(), weight: part.weight };
            split.into_iter().filter(|part| part.weight > 0.0).map(destination).collect()
        }
        (None, None) => smallvec![],
    };
    if destinations.is_empty() {
        return Err(format!(
            "routes/{name}: expected a service, or a traffic split with a weight above 0"
        ));
    }
    if spec.kind == RouteKind::Unknown {
        log::warn!(route = name; "the route has an unknown kind; its requests are never repeated");
    }
    Ok(Route {
        name: name.into(),
        host: spec.host.to_ascii_lowercase().into(),
        prefix: spec.path_prefix.into(),
        destinations,
        idempotent: spec.kind == RouteKind::Safe,
        timeout: spec.timeout,
        answer_within: spec.aim.unwrap_or(spec.timeout),
        rank: spec.priority,
        max_attempts: spec.max_attempts.unwrap_or(1).max(1),
        open: spec.public,
    })
}

fn to_limits(spec: &LimitsSpec) -> CallerLimits {
    let defaults = CallerLimits::default();
    CallerLimits {
        max_header_bytes: spec.max_header_bytes.unwrap_or(defaults.max_header_bytes),
        max_body_bytes: spec.max_body_bytes.unwrap_or(defaults.max_body_bytes),
        header_timeout: spec.header_timeout.unwrap_or(defaults.header_timeout),
        idle_timeout: spec.idle_timeout.unwrap_or(defaults.idle_timeout),
    }
}
