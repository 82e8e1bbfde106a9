//! Entries that no request can match, and fields that have no effect.

use std::collections::{HashMap, HashSet, hash_map};

use super::{
    entries::{Document, Entry},
    report::{Collector, FindingKind},
};
use crate::platform::configuration::{RouteKind, RouteSpec};

/// Reports entries that can never match.
pub fn check(document: &Document, collector: &mut Collector) {
    check_paths(document, collector);
    check_shadowed_routes(document, collector);
    check_destinations(document, collector);
    check_services(document, collector);
    check_keys(document, collector);
    check_names("routes", &document.routes, "used by one route only", collector);
    check_names("tenants", &document.tenants, "used by one organisation only", collector);
    check_names("services", &document.services, "used by one service only", collector);
    let last_limits = document.limits.last().map(|last| last.index);
    for limits in document.limits.iter().filter(|it| Some(it.index) != last_limits) {
        let expected = "one entry of the type limits (only the last is used)";
        let found = "one of several";
        let place = limits.place("spec");
        collector.add(FindingKind::NeverApplies, "limits/", place, expected, found);
    }
}

fn route_id(route: &Entry<RouteSpec>) -> String {
    format!("routes/{}", route.name)
}

/// Hosts and paths that no request has. The nodes compare the host without its port, and ask for the exact
/// name.
fn check_paths(document: &Document, collector: &mut Collector) {
    for route in &document.routes {
        let RouteSpec { host, path_prefix, kind, .. } = &route.spec;
        let is_host_byte = |byte: u8| byte.is_ascii_alphanumeric() || b"-._".contains(&byte);
        if host.is_empty() || !host.bytes().all(is_host_byte) {
            let expected = "a host name, without scheme, wildcard, port or path";
            let found = format!("{host:?}");
            let place = route.place("spec/host");
            collector.add(FindingKind::NeverApplies, route_id(route), place, expected, found);
        }
        let is_in_no_path = |byte: u8| b"?# ".contains(&byte) || byte.is_ascii_control();
        let is_absolute = path_prefix.is_empty() || path_prefix.starts_with('/');
        if !is_absolute || path_prefix.bytes().any(is_in_no_path) {
            let expected = "a path that begins with /, without query, fragment or spaces";
            let found = format!("{path_prefix:?}");
            let place = route.place("spec/pathPrefix");
            collector.add(FindingKind::NeverApplies, route_id(route), place, expected, found);
        }
        if *kind == RouteKind::Unknown {
            let expected = "safe, unsafe or upload";
            let found = "another kind, whose requests are never retried";
            let place = route.place("spec/kind");
            collector.add(FindingKind::Error, route_id(route), place, expected, found);
        }
    }
}

/// Routes whose requests all match another one. The longest prefix takes precedence, and the earlier of
/// two equal ones: a longer prefix never hides a shorter one, except that each path begins with `/`, which
/// hides an empty prefix.
fn check_shadowed_routes(document: &Document, collector: &mut Collector) {
    let mut first: HashMap<(String, &str), &Entry<RouteSpec>> = HashMap::new();
    for route in &document.routes {
        let host = route.spec.host.to_ascii_lowercase();
        match first.entry((host, &route.spec.path_prefix)) {
            hash_map::Entry::Vacant(vacant) => {
                vacant.insert(route);
            }
            hash_map::Entry::Occupied(earlier) => {
                report_shadowed(route, earlier.get(), collector);
            }
        }
    }
    for route in document.routes.iter().filter(|it| it.spec.path_prefix.is_empty()) {
        if let Some(other) = first.get(&(route.spec.host.to_ascii_lowercase(), "/")) {
            report_shadowed(route, other, collector);
        }
    }
}

fn report_shadowed(route: &Entry<RouteSpec>, by: &Entry<RouteSpec>, collector: &mut Collector) {
    let RouteSpec { host, path_prefix, .. } = &route.spec;
    let expected = "a host and path prefix of its own";
    let found = format!("{host}{path_prefix}, which routes/{} takes first", by.name);
    let place = route.place("spec/pathPrefix");
    collector.add(FindingKind::NeverApplies, route_id(route), place, expected, found);
}

fn check_destinations(document: &Document, collector: &mut Collector) {
    let defined: HashSet<&str> = document.services.iter().map(|it| &*it.name).collect();
    let is_undefined =
        |service: &str| !defined.contains(service) && !document.is_invalid("services", service);
    let mut report_undefined = |route: &Entry<RouteSpec>, part: &str, service: &str| {
        if is_undefined(service) {
            let expected = "a service with an entry of the type services";
            let found = format!("{service:?}, which has none");
            let place = route.place(part);
            collector.add(FindingKind::NeverApplies, route_id(route), place, expected, found);
        }
    };
    for route in &document.routes {
        if let Some(service) = &route.spec.service {
            report_undefined(route, "spec/service", service);
        }
        let split = route.spec.traffic_split.iter().flatten().enumerate();
        for (index, part) in split.filter(|_| route.spec.service.is_none()) {
            report_undefined(route, &format!("spec/trafficSplit/{index}/service"), &part.service);
        }
    }
    for route in &document.routes {
        let RouteSpec { service, traffic_split, .. } = &route.spec;
        if service.is_some() && traffic_split.is_some() {
            let expected = "a service or a traffic split (the service takes precedence)";
            let place = route.place("spec/trafficSplit");
            collector.add(FindingKind::NeverApplies, route_id(route), place, expected, "both");
        }
        for (index, part) in traffic_split.iter().flatten().enumerate() {
            if part.weight < 0.0 {
                let place = route.place(&format!("spec/trafficSplit/{index}/weight"));
                let (kind, expected) = (FindingKind::NeverApplies, "a weight of 0 or above");
                collector.add(kind, route_id(route), place, expected, part.weight);
            }
        }
    }
}

/// Services that no route names. A service with the weight 0 counts as named: it may be prepared for a
/// later change.
fn check_services(document: &Document, collector: &mut Collector) {
    if document.has_invalid("routes") {
        return;
    }
    let split = |route: &RouteSpec| {
        let parts = route.traffic_split.iter().flatten();
        parts.map(|part| part.service.clone()).collect::<Vec<_>>()
    };
    let named: HashSet<String> = document
        .routes
        .iter()
        .flat_map(|route| route.spec.service.iter().cloned().chain(split(&route.spec)))
        .collect();
    for service in document.services.iter().filter(|it| !named.contains(&*it.name)) {
        let id = format!("services/{}", service.name);
        let place = service.place("metadata/name");
        collector.add(FindingKind::NeverApplies, id, place, "a service that a route names", "none");
    }
}

/// Organisations that no key belongs to. A key of two organisations belongs to the later one.
fn check_keys(document: &Document, collector: &mut Collector) {
    let mut holders = HashMap::new();
    for tenant in &document.tenants {
        for key in &tenant.spec.api_keys {
            holders.insert(&**key, tenant);
        }
    }
    let mut seen = HashSet::new();
    for tenant in &document.tenants {
        let id = format!("tenants/{}", tenant.name);
        if tenant.spec.api_keys.is_empty() {
            let place = tenant.place("spec/apiKeys");
            let expected = "one key or more, by which its requests are recognised";
            collector.add(FindingKind::NeverApplies, &*id, place, expected, "none");
        }
        // Keys are secret: a finding gives their place only.
        for (index, key) in tenant.spec.api_keys.iter().enumerate() {
            let place = tenant.place(&format!("spec/apiKeys/{index}"));
            let is_repeated = !seen.insert((tenant.index, &**key));
            let found = match holders.get(&**key) {
                _ if key.is_empty() => "an empty one".to_owned(),
                Some(holder) if holder.index != tenant.index => format!(
                    "one that also belongs to tenants/{}, which takes precedence",
                    holder.name
                ),
                _ if is_repeated => "a repeated one".to_owned(),
                _ => continue,
            };
            let expected = "a key of its own";
            collector.add(FindingKind::NeverApplies, &*id, place, expected, found);
        }
    }
}

/// Names that several entries of one type have: the later entry takes the place of the earlier one, and
/// routes and organisations with one name share their measured load and their tokens.
fn check_names<T>(kind: &str, entries: &[Entry<T>], expected: &str, collector: &mut Collector) {
    let mut first = HashMap::new();
    for entry in entries.iter().filter(|it| !it.name.is_empty()) {
        let earlier = *first.entry(&*entry.name).or_insert(entry.index);
        if earlier != entry.index {
            let id = format!("{kind}/{}", entry.name);
            let found = format!("the name of /resources/{earlier}");
            let place = entry.place("metadata/name");
            let expected = format!("a name {expected}");
            collector.add(FindingKind::Contradiction, id, place, expected, found);
        }
    }
}
