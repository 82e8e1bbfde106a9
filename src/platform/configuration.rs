//! The operators' configuration in the form that it has in the platform's store.

use std::{sync::Arc, time::Duration};

use serde::Deserialize;
use serde_json::Value;
use smallvec::{SmallVec, smallvec};

use super::text;
use crate::{
    mesh::{CallerLimits, CatalogParts, Destination, Organisation, Route, Service},
    names::Revision,
};

/// What a route without a usable destination lacks.
pub(super) const EXPECTED_DESTINATIONS: &str =
    "a service, or a traffic split with a weight above 0";

#[derive(Deserialize)]
struct Document {
    version: u64,
    resources: Vec<Resource>,
}

#[derive(Deserialize)]
pub(super) struct Resource {
    /// `routes`, `services`, `tenants` or `limits`.
    #[serde(rename = "resourceType")]
    pub(super) kind: String,
    #[serde(default)]
    pub(super) metadata: Metadata,
    #[serde(default)]
    pub(super) spec: Value,
}

#[derive(Default, Deserialize)]
pub(super) struct Metadata {
    #[serde(default)]
    pub(super) name: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct RouteSpec {
    pub(super) host: String,
    pub(super) path_prefix: String,
    pub(super) kind: RouteKind,
    #[serde(deserialize_with = "text::deserialize")]
    pub(super) timeout: Duration,
    /// Time within which an answer is worth most; the timeout where there is none.
    #[serde(default, deserialize_with = "text::deserialize_option")]
    pub(super) aim: Option<Duration>,
    /// Rank among the routes; 0 is the highest.
    #[serde(default)]
    pub(super) priority: u32,
    /// The only service that answers; it takes precedence over `traffic_split`.
    pub(super) service: Option<String>,
    pub(super) traffic_split: Option<Vec<SplitPart>>,
    /// Upstreams that one attempt of a client may be sent to; 1 where there is no number.
    pub(super) max_attempts: Option<u32>,
    /// Open to all: requests need no key.
    #[serde(default)]
    pub(super) public: bool,
}

#[derive(Clone, Copy, PartialEq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(super) enum RouteKind {
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
pub(super) struct SplitPart {
    pub(super) service: String,
    pub(super) weight: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct ServiceSpec {
    /// Path of the health check; empty where there is none.
    #[serde(default)]
    pub(super) health_path: String,
    /// Connections that one upstream accepts.
    #[serde(default)]
    pub(super) max_connections: u32,
    /// Time for which an upstream is cold after its start.
    #[serde(default, deserialize_with = "text::deserialize_option")]
    pub(super) cold_start: Option<Duration>,
    /// Requests per second that a cold upstream accepts from all nodes together; 0 means no limit.
    #[serde(default)]
    pub(super) cold_per_s: f64,
}

/// An organisation, which the platform calls a tenant.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct TenantSpec {
    #[serde(default)]
    pub(super) api_keys: Vec<Arc<str>>,
    /// Rank that overrides the rank of the route; 0 is the highest.
    pub(super) priority: Option<u32>,
    /// Requests per second over all nodes; 0 means no limit.
    #[serde(default)]
    pub(super) rate_per_s: f64,
    /// Requests that may arrive at once over all nodes.
    #[serde(default)]
    pub(super) burst: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct LimitsSpec {
    pub(super) max_header_bytes: Option<usize>,
    pub(super) max_body_bytes: Option<usize>,
    #[serde(default, deserialize_with = "text::deserialize_option")]
    pub(super) header_timeout: Option<Duration>,
    #[serde(default, deserialize_with = "text::deserialize_option")]
    pub(super) idle_timeout: Option<Duration>,
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
                parts.routes.push(to_route(&name, &spec)?);
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

/// Services that a route sends requests to, with their weights; empty if it is unusable.
pub(super) fn to_destinations(
    service: Option<&str>,
    traffic_split: Option<&[SplitPart]>,
) -> SmallVec<[Destination; 2]> {
    match (service, traffic_split) {
        (Some(service), _) => smallvec![Destination { service: service.into(), weight: 1.0 }],
        (None, Some(split)) => {
            let destination = |part: &SplitPart| Destination {
                service: part.service.as_str().into(),
                weight: part.weight,
            };
            split.iter().filter(|part| part.weight > 0.0).map(destination).collect()
        }
        (None, None) => smallvec![],
    }
}

pub(super) fn to_route(name: &str, spec: &RouteSpec) -> Result<Route, String> {
    let destinations = to_destinations(spec.service.as_deref(), spec.traffic_split.as_deref());
    if destinations.is_empty() {
        return Err(format!("routes/{name}: expected {EXPECTED_DESTINATIONS}"));
    }
    if spec.kind == RouteKind::Unknown {
        log::warn!(route = name; "the route has an unknown kind; its requests are never repeated");
    }
    Ok(Route {
        name: name.into(),
        host: spec.host.to_ascii_lowercase().into(),
        prefix: spec.path_prefix.as_str().into(),
        destinations,
        idempotent: spec.kind == RouteKind::Safe,
        timeout: spec.timeout,
        answer_within: spec.aim.unwrap_or(spec.timeout),
        rank: spec.priority,
        max_attempts: spec.max_attempts.unwrap_or(1).max(1),
        open: spec.public,
    })
}

pub(super) fn to_limits(spec: &LimitsSpec) -> CallerLimits {
    let defaults = CallerLimits::default();
    CallerLimits {
        max_header_bytes: spec.max_header_bytes.unwrap_or(defaults.max_header_bytes),
        max_body_bytes: spec.max_body_bytes.unwrap_or(defaults.max_body_bytes),
        header_timeout: spec.header_timeout.unwrap_or(defaults.header_timeout),
        idle_timeout: spec.idle_timeout.unwrap_or(defaults.idle_timeout),
    }
}
