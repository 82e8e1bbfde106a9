//! Time limits of nested calls.
//!
//! A configuration does not state which routes the upstreams of a route call, so the caller does.

use std::collections::{BTreeMap, HashMap, HashSet};

use serde_json::error::Category;

use super::{
    entries::{Document, Entry},
    report::{Collector, FindingKind, show_time},
};
use crate::platform::configuration::RouteSpec;

/// For each route, the routes that its requests call.
pub type Calls = BTreeMap<String, Vec<String>>;

/// Reads the calls.
pub fn read(text: &str, collector: &mut Collector) -> Option<Calls> {
    let error = match serde_json::from_str(text) {
        Ok(calls) => return Some(calls),
        Err(error) => error,
    };
    let place = format!("line {}, column {}", error.line(), error.column());
    let expected = "an object with a list of routes for each route";
    let found = match error.classify() {
        Category::Data => "another form".to_owned(),
        _ => format!("other text ({error})"),
    };
    collector.add(FindingKind::Error, "", place, expected, found);
    None
}

/// Reports routes that the configuration does not have.
pub fn check_names(document: &Document, calls: &Calls, collector: &mut Collector) {
    let names: HashSet<&str> = document.routes.iter().map(|it| &*it.name).collect();
    let is_known = |name: &str| names.contains(name) || document.is_invalid("routes", name);
    for (route, called) in calls {
        let parent = format!("/{}", route.replace('~', "~0").replace('/', "~1"));
        let called = called.iter().enumerate();
        let places = called.map(|(index, name)| (format!("{parent}/{index}"), name));
        for (place, name) in std::iter::once((parent.clone(), route)).chain(places) {
            if !is_known(name) {
                let (expected, found) = ("the name of a route", format!("{name:?}"));
                collector.add(FindingKind::Error, "", place, expected, found);
            }
        }
    }
}

/// Reports calls that may take longer than the requests that they are part of.
pub fn check_times(document: &Document, calls: &Calls, collector: &mut Collector) {
    let routes: HashMap<&str, &Entry<RouteSpec>> =
        document.routes.iter().map(|it| (&*it.name, it)).collect();
    for (caller, called) in calls {
        let Some(caller) = routes.get(&**caller) else { continue };
        for callee in called.iter().filter_map(|name| routes.get(&**name)) {
            check_call(caller, callee, collector);
        }
    }
}

fn check_call(caller: &Entry<RouteSpec>, callee: &Entry<RouteSpec>, collector: &mut Collector) {
    let id = format!("routes/{}", callee.name);
    let (outer, inner) = (caller.spec.timeout, callee.spec.timeout);
    if inner > outer {
        let outer = show_time(&outer);
        let expected =
            format!("at most {outer}, the timeout of routes/{}, which calls it", caller.name);
        let place = callee.place("spec/timeout");
        collector.add(FindingKind::Contradiction, &*id, place, expected, show_time(&inner));
    }
    let aim = |route: &Entry<RouteSpec>| route.spec.aim.unwrap_or(route.spec.timeout);
    let (outer, inner) = (aim(caller), aim(callee));
    if inner > outer && callee.spec.aim.is_some() {
        let outer = show_time(&outer);
        let expected =
            format!("at most {outer}, the aim of routes/{}, which calls it", caller.name);
        let place = callee.place("spec/aim");
        collector.add(FindingKind::Contradiction, id, place, expected, show_time(&inner));
    }
}
