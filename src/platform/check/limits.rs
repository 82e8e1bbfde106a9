//! Limits that contradict each other, or the memory of a machine.

use std::time::Duration;

use super::{
    CheckOptions,
    entries::{Document, Entry},
    report::{Collector, FindingKind, show_time},
};
use crate::{
    http_server::pipelined::{LARGE_REQUEST_EIGHTHS, SMALL_REQUEST_EIGHTHS},
    memory::budget_bytes,
    mesh::{CallerLimits, DRAW_AHEAD},
    platform::configuration::{RouteKind, RouteSpec, TenantSpec, to_limits},
};

/// Fraction of a service's requests for which the retry budget must suffice if each of them uses all its
/// attempts: one instance of twenty may fail all its requests, and those that fail everywhere must not
/// take the retries of the others.
const MIN_COVERED_FRACTION: f64 = 0.05;

/// Reports limits that contradict each other.
pub fn check(document: &Document, options: &CheckOptions<'_>, collector: &mut Collector) {
    for route in &document.routes {
        check_times(route, collector);
        check_attempts(route, options.retry_ratio, collector);
    }
    for tenant in &document.tenants {
        check_rate(tenant, collector);
    }
    check_caller_limits(document, options.memory_bytes, collector);
}

fn check_times(route: &Entry<RouteSpec>, collector: &mut Collector) {
    let RouteSpec { timeout, aim, .. } = route.spec;
    let mut add = |place: &str, expected: String, found: Duration| {
        let (id, found) = (format!("routes/{}", route.name), show_time(&found));
        collector.add(FindingKind::Contradiction, id, route.place(place), expected, found);
    };
    if timeout.is_zero() {
        add("spec/timeout", "a time above 0, or no request has time to run".to_owned(), timeout);
    }
    let Some(aim) = aim else { return };
    if aim.is_zero() {
        add("spec/aim", "a time above 0, or each answer is late".to_owned(), aim);
    }
    if aim > timeout {
        add("spec/aim", format!("at most the timeout, {}", show_time(&timeout)), aim);
    }
}

/// Attempts of a request that may run more than once, against the retries that the budget permits.
fn check_attempts(route: &Entry<RouteSpec>, retry_ratio: f64, collector: &mut Collector) {
    let attempts = route.spec.max_attempts.unwrap_or(1);
    let id = || format!("routes/{}", route.name);
    let place = || route.place("spec/maxAttempts");
    if attempts == 0 {
        let expected = "at least 1 (0 is taken as 1)";
        collector.add(FindingKind::Contradiction, id(), place(), expected, attempts);
    }
    let max_attempts = 1.0 + (retry_ratio / MIN_COVERED_FRACTION + 1e-9).floor();
    if route.spec.kind == RouteKind::Safe && f64::from(attempts) > max_attempts {
        let expected = format!(
            "at most {max_attempts}: the budget of {retry_ratio} retries per request must suffice for \
             {} in 100 requests",
            MIN_COVERED_FRACTION * 100.0,
        );
        let covered = retry_ratio / f64::from(attempts - 1) * 100.0;
        let found = format!("{attempts}, for which it suffices for {covered:.1} in 100");
        collector.add(FindingKind::Contradiction, id(), place(), expected, found);
    }
}

fn check_rate(tenant: &Entry<TenantSpec>, collector: &mut Collector) {
    let TenantSpec { rate_per_s, burst, .. } = tenant.spec;
    let mut add = |part: &str, expected: String, found: f64| {
        let id = format!("tenants/{}", tenant.name);
        collector.add(FindingKind::Contradiction, id, tenant.place(part), expected, found);
    };
    if rate_per_s < 0.0 {
        let expected = "0 or above (a negative rate is no limit)";
        add("spec/ratePerS", expected.to_owned(), rate_per_s);
    }
    if burst < 0.0 {
        return add("spec/burst", "0 or above".to_owned(), burst);
    }
    if rate_per_s <= 0.0 {
        if burst > 0.0 {
            let expected = "0, as a burst without a rate has no effect";
            add("spec/burst", expected.to_owned(), burst);
        }
        return;
    }
    // Nodes draw tokens ahead for this time, which a smaller bucket cannot hold.
    let min_burst = (rate_per_s * DRAW_AHEAD.as_secs_f64()).max(1.0);
    if burst < min_burst {
        let expected = format!(
            "at least {min_burst}: one request, and the {DRAW_AHEAD:?} of the rate of {rate_per_s} \
             requests/s that nodes draw ahead"
        );
        add("spec/burst", expected, burst);
    }
}

fn check_caller_limits(
    document: &Document,
    memory_bytes: Option<usize>,
    collector: &mut Collector,
) {
    let entry = document.limits.last();
    let limits = entry.map_or_else(CallerLimits::default, |it| to_limits(&it.spec));
    let place = |field: &str| match entry {
        Some(entry) => entry.place(&format!("spec/{field}")),
        None => "/resources".to_owned(),
    };
    let mut add = |field: &str, expected: String, found: String| {
        collector.add(FindingKind::Contradiction, "limits/", place(field), expected, found);
    };
    if limits.max_header_bytes == 0 {
        add("maxHeaderBytes", "above 0, or each request is refused".to_owned(), "0".to_owned());
    }
    let upload = document.routes.iter().find(|it| it.spec.kind == RouteKind::Upload);
    if let Some(upload) = upload.filter(|_| limits.max_body_bytes == 0) {
        let expected = format!("above 0, as routes/{} takes uploads", upload.name);
        add("maxBodyBytes", expected, "0".to_owned());
    }
    for (field, time) in
        [("headerTimeout", limits.header_timeout), ("idleTimeout", limits.idle_timeout)]
    {
        if time.is_zero() {
            add(field, "a time above 0".to_owned(), show_time(&time));
        }
    }
    let Some(memory_bytes) = memory_bytes else { return };
    for (field, limit_bytes, eighths) in [
        ("maxHeaderBytes", limits.max_header_bytes, SMALL_REQUEST_EIGHTHS),
        ("maxBodyBytes", limits.max_body_bytes, LARGE_REQUEST_EIGHTHS),
    ] {
        let max_bytes = budget_bytes(memory_bytes) / 8 * eighths;
        if limit_bytes > max_bytes {
            let memory_mb = memory_bytes >> 20;
            let expected =
                format!("at most {max_bytes}, what a machine of {memory_mb} MB can hold of them");
            add(field, expected, limit_bytes.to_string());
        }
    }
}
