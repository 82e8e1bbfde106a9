//! Differences between two configurations in the terms of those who are affected.

use std::collections::{BTreeMap, HashMap, HashSet};

use super::{
    entries::{Document, Entry},
    report::{Collector, Difference, FindingKind, show_time},
};
use crate::{
    mesh::{CallerLimits, Destination},
    names::ServiceName,
    platform::configuration::{
        RouteKind, RouteSpec, ServiceSpec, TenantSpec, to_destinations, to_limits,
    },
};

/// Reports a version below the one in force: nodes ignore such a configuration.
pub fn check_version(in_force: &Document, document: &Document, collector: &mut Collector) {
    let (Some(old), Some(new)) = (in_force.version, document.version) else { return };
    if new < old {
        let expected = format!("at least {old}, the version in force, which the nodes would keep");
        collector.add(FindingKind::NeverApplies, "", "/version", expected, new);
    }
}

/// Compares a configuration with the one in force. Entries with errors are left out.
pub fn compare(in_force: &Document, document: &Document) -> Vec<Difference> {
    let mut effects = Effects::default();
    let (old, new) = (Paths::new(in_force), Paths::new(document));
    let is_left_out =
        |kind: &str, name: &str| in_force.is_invalid(kind, name) || document.is_invalid(kind, name);
    for change in changes(&in_force.routes, &document.routes) {
        if !is_left_out("routes", change.name()) {
            effects.set_subject("route", change.name());
            compare_routes(change, &old, &new, &mut effects);
        }
    }
    let users = service_users(document);
    for change in changes(&in_force.services, &document.services) {
        if !is_left_out("services", change.name()) {
            effects.set_subject("service", change.name());
            let users = users.get(change.name()).copied().unwrap_or_default();
            compare_services(change, users, &mut effects);
        }
    }
    let (old, new) = (key_holders(in_force), key_holders(document));
    for change in changes(&in_force.tenants, &document.tenants) {
        if !is_left_out("tenants", change.name()) {
            effects.set_subject("organisation", change.name());
            compare_tenants(change, &old, &new, &mut effects);
        }
    }
    compare_callers(in_force, document, &mut effects);
    effects.differences
}

/// Collects the effects on one subject after the other.
#[derive(Default)]
struct Effects {
    subject: String,
    differences: Vec<Difference>,
}

impl Effects {
    fn set_subject(&mut self, kind: &str, name: &str) {
        self.subject = format!("{kind} {name}");
    }

    fn add(&mut self, effect: impl Into<String>) {
        let effect = effect.into();
        self.differences.push(Difference { subject: self.subject.clone(), effect });
    }

    /// Adds the change of a quantity, if there is one.
    fn add_quantity<T: PartialOrd>(
        &mut self,
        quantity: &str,
        (old, new): (T, T),
        unit: &str,
        show: impl Fn(&T) -> String,
    ) {
        let verb = if new < old { "lowered" } else { "raised" };
        if new != old {
            let (old, new) = (show(&old), show(&new));
            self.add(format!("{quantity} {verb} from {old} to {new}{unit}"));
        }
    }

    /// Adds the change of an optional limit, if there is one.
    fn add_limit(&mut self, limit: &str, change: (Option<f64>, Option<f64>), unit: &str) {
        match change {
            (Some(old), Some(new)) => self.add_quantity(limit, (old, new), unit, f64::to_string),
            (None, Some(new)) => {
                self.add(format!("{limit} now limited to {new}{unit} (before: no limit)"));
            }
            (Some(old), None) => {
                self.add(format!("{limit} no longer limited (before: {old}{unit})"));
            }
            (None, None) => {}
        }
    }
}

/// `1 key`, `2 keys`.
fn count(number: usize, noun: &str) -> String {
    format!("{number} {noun}{}", if number == 1 { "" } else { "s" })
}

/// An entry of the configuration in force, of the checked one, or of both.
struct Change<'a, T> {
    old: Option<&'a Entry<T>>,
    new: Option<&'a Entry<T>>,
}

impl<T> Change<'_, T> {
    fn name(&self) -> &str {
        self.new.or(self.old).map_or("", |entry| &entry.name)
    }
}

/// Pairs the entries of two configurations by their names, in the order of the names.
fn changes<'a, T>(
    old: &'a [Entry<T>],
    new: &'a [Entry<T>],
) -> impl Iterator<Item = Change<'a, T>> + use<'a, T> {
    let mut by_name: BTreeMap<&str, Change<'a, T>> = BTreeMap::new();
    for entry in old {
        by_name.entry(&entry.name).or_insert(Change { old: None, new: None }).old = Some(entry);
    }
    for entry in new {
        by_name.entry(&entry.name).or_insert(Change { old: None, new: None }).new = Some(entry);
    }
    by_name.into_values()
}

/// The routes of a configuration by host and path prefix.
struct Paths<'a> {
    routes: HashMap<(String, &'a str), &'a str>,
}

impl<'a> Paths<'a> {
    fn new(document: &'a Document) -> Self {
        let mut routes = HashMap::new();
        for route in &document.routes {
            let host = route.spec.host.to_ascii_lowercase();
            routes.entry((host, &*route.spec.path_prefix)).or_insert(&*route.name);
        }
        Self { routes }
    }

    /// Name of the route that requests to the path prefix of `route` go to.
    fn target(&self, route: &RouteSpec) -> Option<&'a str> {
        let (host, path) = (route.host.to_ascii_lowercase(), &*route.path_prefix);
        let prefixes = (0..=path.len()).rev().filter_map(|length| path.get(..length));
        let mut found = prefixes.filter_map(|prefix| self.routes.get(&(host.clone(), prefix)));
        found.next().copied()
    }

    /// What becomes of requests to the path prefix that `route` had.
    fn describe_requests(&self, route: &RouteSpec) -> String {
        let path = show_path(route);
        match self.target(route) {
            Some(name) => format!("requests to {path} now go to route {name}"),
            None => format!("requests to {path} have no route any more"),
        }
    }
}

fn show_path(route: &RouteSpec) -> String {
    format!("{}{}", route.host.to_ascii_lowercase(), route.path_prefix)
}

fn show_destinations(route: &RouteSpec) -> String {
    let destinations = to_destinations(route.service.as_deref(), route.traffic_split.as_deref());
    let sum: f64 = destinations.iter().map(|it| it.weight).sum();
    let show = |it: &Destination| match destinations.len() {
        1 => it.service.to_string(),
        _ => format!("{} ({:.1}%)", it.service, it.weight / sum * 100.0),
    };
    destinations.iter().map(show).collect::<Vec<_>>().join(", ")
}

fn show_kind(kind: RouteKind) -> &'static str {
    match kind {
        RouteKind::Safe => "safe",
        RouteKind::Unsafe => "unsafe",
        RouteKind::Upload => "upload",
        RouteKind::Unknown => "unknown",
    }
}

fn retries(route: &RouteSpec) -> u32 {
    match route.kind {
        RouteKind::Safe => route.max_attempts.unwrap_or(1).saturating_sub(1),
        _ => 0,
    }
}

fn compare_routes(
    change: Change<'_, RouteSpec>,
    old_paths: &Paths<'_>,
    new_paths: &Paths<'_>,
    effects: &mut Effects,
) {
    let (old, new) = match (change.old, change.new) {
        (Some(old), Some(new)) => (&old.spec, &new.spec),
        (Some(old), None) => {
            return effects.add(format!("removed; {}", new_paths.describe_requests(&old.spec)));
        }
        (None, Some(new)) => {
            let (path, services) = (show_path(&new.spec), show_destinations(&new.spec));
            let before = old_paths.target(&new.spec);
            let before = before.map_or("no route".to_owned(), |name| format!("route {name}"));
            return effects
                .add(format!("added; requests to {path} now go to {services} (before: {before})"));
        }
        (None, None) => return,
    };
    let (old_path, new_path) = (show_path(old), show_path(new));
    if old_path != new_path {
        let requests = new_paths.describe_requests(old);
        effects.add(format!("moved from {old_path} to {new_path}; {requests}"));
    }
    let (before, now) = (show_destinations(old), show_destinations(new));
    if before != now {
        effects.add(format!("requests now go to {now} (before: {before})"));
    }
    if old.kind != new.kind {
        let (before, now) = (show_kind(old.kind), show_kind(new.kind));
        let consequence = match (old.kind, new.kind) {
            (_, RouteKind::Safe) => "requests may run more than once",
            (RouteKind::Safe, _) => "requests run at most once",
            _ => "requests still run at most once",
        };
        effects.add(format!("kind changed from {before} to {now}: {consequence}"));
    }
    match (retries(old), retries(new)) {
        (before, now) if before == now => {}
        (0, now) => effects.add(format!(
            "now retried up to {} (before: not retried)",
            count(now as usize, "time"),
        )),
        (before, 0) => effects
            .add(format!("no longer retried (before: up to {})", count(before as usize, "time"),)),
        (before, now) => effects.add(format!(
            "now retried up to {} (before: up to {before})",
            count(now as usize, "time"),
        )),
    }
    effects.add_quantity("timeout", (old.timeout, new.timeout), "", show_time);
    let aims = (old.aim.unwrap_or(old.timeout), new.aim.unwrap_or(new.timeout));
    effects.add_quantity("target for answers", aims, "", show_time);
    if old.priority != new.priority {
        let direction = if new.priority < old.priority { "more" } else { "less" };
        effects.add(format!(
            "priority changed from {} to {}: {direction} urgent",
            old.priority, new.priority
        ));
    }
    match (old.public, new.public) {
        (false, true) => effects.add("needs no key any more, and is charged to no rate"),
        (true, false) => effects.add("now needs a key, and is charged to its organisation's rate"),
        _ => {}
    }
}

/// Numbers of routes that send requests to a service.
#[derive(Clone, Copy, Default)]
struct ServiceUsers {
    /// Routes all of whose services are undefined.
    without_upstream: usize,
    /// Routes that have a defined service.
    with_upstream: usize,
}

fn service_users(document: &Document) -> HashMap<ServiceName, ServiceUsers> {
    let defined: HashSet<&str> = document.services.iter().map(|it| &*it.name).collect();
    let mut users: HashMap<ServiceName, ServiceUsers> = HashMap::new();
    for route in &document.routes {
        let RouteSpec { service, traffic_split, .. } = &route.spec;
        let destinations = to_destinations(service.as_deref(), traffic_split.as_deref());
        let has_upstream = destinations.iter().any(|it| defined.contains(&*it.service));
        let services: HashSet<ServiceName> =
            destinations.into_iter().map(|it| it.service).collect();
        for service in services {
            let users = users.entry(service).or_default();
            match has_upstream {
                true => users.with_upstream += 1,
                false => users.without_upstream += 1,
            }
        }
    }
    users
}

fn compare_services(change: Change<'_, ServiceSpec>, users: ServiceUsers, effects: &mut Effects) {
    let (old, new) = match (change.old, change.new) {
        (Some(old), Some(new)) => (&old.spec, &new.spec),
        (Some(_), None) => return effects.add(describe_removed_service(users)),
        (None, Some(_)) => {
            let effect = match users.with_upstream {
                0 => "added; no route sends requests to it".to_owned(),
                1 => "added; 1 route sends requests to it".to_owned(),
                routes => format!("added; {routes} routes send requests to it"),
            };
            return effects.add(effect);
        }
        (None, None) => return,
    };
    if old.health_path != new.health_path {
        effects.add(format!(
            "health path changed from {:?} to {:?}",
            old.health_path, new.health_path
        ));
    }
    let max = |service: &ServiceSpec| {
        (service.max_connections > 0).then_some(f64::from(service.max_connections))
    };
    effects.add_limit("connections to one upstream", (max(old), max(new)), "");
    let cold_starts = (old.cold_start.unwrap_or_default(), new.cold_start.unwrap_or_default());
    effects.add_quantity("time for which an upstream is cold", cold_starts, "", show_time);
    let cold = |service: &ServiceSpec| (service.cold_per_s > 0.0).then_some(service.cold_per_s);
    effects.add_limit("rate of a cold upstream", (cold(old), cold(new)), " requests/s");
}

fn describe_removed_service(users: ServiceUsers) -> String {
    let without_upstream = match users.without_upstream {
        0 => None,
        1 => Some("1 route has no upstream".to_owned()),
        routes => Some(format!("{routes} routes have no upstream")),
    };
    let with_upstream = match users.with_upstream {
        0 => None,
        1 => Some("1 route still sends a part of its requests to it".to_owned()),
        routes => Some(format!("{routes} routes still send a part of their requests to it")),
    };
    let effects: Vec<String> = without_upstream.into_iter().chain(with_upstream).collect();
    match effects.is_empty() {
        true => "removed; no route sends requests to it".to_owned(),
        false => format!("removed; {}", effects.join(", and ")),
    }
}

/// The organisation of each key.
fn key_holders(document: &Document) -> HashMap<&str, &str> {
    let tenants = document.tenants.iter();
    tenants.flat_map(|it| it.spec.api_keys.iter().map(|key| (&**key, &*it.name))).collect()
}

fn keys(entry: Option<&Entry<TenantSpec>>) -> HashSet<&str> {
    entry.into_iter().flat_map(|it| it.spec.api_keys.iter().map(|key| &**key)).collect()
}

fn compare_tenants(
    change: Change<'_, TenantSpec>,
    old_holders: &HashMap<&str, &str>,
    new_holders: &HashMap<&str, &str>,
    effects: &mut Effects,
) {
    let name = change.name();
    let rate = |tenant: &TenantSpec| (tenant.rate_per_s > 0.0).then_some(tenant.rate_per_s);
    let (old_keys, new_keys) = (keys(change.old), keys(change.new));
    match (change.old, change.new) {
        (Some(_), None) => effects.add("removed"),
        (None, Some(new)) => {
            let limit = match rate(&new.spec) {
                Some(rate) => format!("{rate} requests/s and a burst of {}", new.spec.burst),
                None => "no limit on its rate".to_owned(),
            };
            effects.add(format!("added, with {limit}"));
        }
        (Some(old), Some(new)) => {
            let (old, new) = (&old.spec, &new.spec);
            effects.add_limit("rate", (rate(old), rate(new)), " requests/s");
            if rate(old).is_some() && rate(new).is_some() {
                effects.add_quantity("burst", (old.burst, new.burst), " requests", f64::to_string);
            }
            if old.priority != new.priority {
                let show = |priority: Option<u32>| {
                    priority.map_or_else(|| "that of the route".to_owned(), |it| it.to_string())
                };
                let (before, now) = (show(old.priority), show(new.priority));
                effects.add(format!("priority changed from {before} to {now} (0 is the highest)"));
            }
        }
        (None, None) => {}
    }
    compare_keys(name, (&old_keys, &new_keys), (old_holders, new_holders), effects);
}

/// Adds the effects on the keys of an organisation; a key itself is never quoted.
fn compare_keys(
    name: &str,
    (old_keys, new_keys): (&HashSet<&str>, &HashSet<&str>),
    (old_holders, new_holders): (&HashMap<&str, &str>, &HashMap<&str, &str>),
    effects: &mut Effects,
) {
    let mut withdrawn = 0;
    let mut moved: BTreeMap<&str, usize> = BTreeMap::new();
    for key in old_keys.difference(new_keys) {
        match new_holders.get(key) {
            Some(holder) if *holder != name => *moved.entry(holder).or_default() += 1,
            _ => withdrawn += 1,
        }
    }
    if withdrawn > 0 {
        effects.add(format!("{} withdrawn, and refused from now on", count(withdrawn, "key")));
    }
    for (holder, keys) in moved {
        let keys = count(keys, "key");
        effects.add(format!("{keys} moved to organisation {holder}, whose rate is charged"));
    }
    let is_new = |key: &&&str| old_holders.get(**key).is_none_or(|holder| *holder == name);
    let added = new_keys.difference(old_keys).filter(is_new).count();
    if added > 0 {
        effects.add(format!("{} added", count(added, "key")));
    }
}

/// Effects on all callers.
fn compare_callers(in_force: &Document, document: &Document, effects: &mut Effects) {
    effects.subject = "all callers".to_owned();
    let has_invalid = |kind| in_force.has_invalid(kind) || document.has_invalid(kind);
    if !has_invalid("tenants") {
        match (in_force.tenants.is_empty(), document.tenants.is_empty()) {
            (true, false) => effects.add("requests now need a key, except on public routes"),
            (false, true) => effects.add("requests need no key any more: no organisation is left"),
            _ => {}
        }
    }
    if has_invalid("limits") {
        return;
    }
    let limits = |document: &Document| {
        document.limits.last().map_or_else(CallerLimits::default, |entry| to_limits(&entry.spec))
    };
    let (old, new) = (limits(in_force), limits(document));
    let heads = (old.max_header_bytes, new.max_header_bytes);
    effects.add_quantity("largest request head", heads, " bytes", usize::to_string);
    let bodies = (old.max_body_bytes, new.max_body_bytes);
    effects.add_quantity("largest request body", bodies, " bytes", usize::to_string);
    let times = (old.header_timeout, new.header_timeout);
    effects.add_quantity("time for a request head", times, "", show_time);
    let times = (old.idle_timeout, new.idle_timeout);
    effects.add_quantity("time of an idle connection", times, "", show_time);
}
