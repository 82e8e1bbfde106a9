//! The bounds that the platform sets, read by their names on the platform.

use std::time::Duration;

use serde_json::{Map, Value};

use super::text;
use crate::{findings::Collector, mesh::Bounds};

/// Reads the bounds at `place` of a document; ignores names that the node does not use.
pub fn read(entries: &Map<String, Value>, place: &str, collector: &mut Collector) -> Bounds {
    let mut bounds = Bounds::default();
    let mut must_fail_closed = true;
    for (name, value) in entries {
        let place = format!("{place}/{name}");
        let mut read_time =
            |target: &mut Duration| match value.as_str().and_then(text::parse_duration) {
                Some(duration) => *target = duration,
                None => collector.add(&place, "a time, as in \"1500ms\"", value),
            };
        match &**name {
            // Time after which a leaving upstream must get no new request.
            "drain" => read_time(&mut bounds.drain),
            // Time that a stopped process has until it is killed.
            "grace" => read_time(&mut bounds.grace),
            // Time in which a change of the configuration must come into force.
            "configApply" => read_time(&mut bounds.config_apply),
            // Window of the bound on retries.
            "budgetWindow" => read_time(&mut bounds.retry_window),
            // Window of the bound on an organisation's rate.
            "quotaWindow" => read_time(&mut bounds.rate_window),
            // Time after which a withdrawn key must be refused.
            "revoke" => {
                let mut limit = bounds.revoke.unwrap_or_default();
                read_time(&mut limit);
                bounds.revoke = Some(limit);
            }
            // Whether a node must refuse keys when it cannot check that they are still in force.
            "revokeFailClosed" => match value.as_bool() {
                Some(flag) => must_fail_closed = flag,
                None => collector.add(&place, "true or false", value),
            },
            // Bound on retries, as a fraction of the requests.
            "retryBudgetRatio" => match value.as_f64() {
                Some(ratio) if ratio >= 0.0 => bounds.retry_ratio = ratio,
                _ => collector.add(&place, "a ratio", value),
            },
            // Retries that a window allows in addition to the ratio.
            "budgetSlack" => match value.as_f64() {
                Some(slack) if slack >= 0.0 => bounds.retry_slack = slack as u32,
                _ => collector.add(&place, "a number of requests", value),
            },
            // Requests that a cold target may get in a second, as a multiple of its cold rate.
            "coldOver" => match value.as_f64() {
                Some(factor) if factor > 0.0 => bounds.cold_over = factor,
                _ => collector.add(&place, "a factor above 0", value),
            },
            // Requests that it may get in addition in a second.
            "coldSlack" => match value.as_f64() {
                Some(slack) if slack >= 0.0 => bounds.cold_slack = slack,
                _ => collector.add(&place, "a number of requests", value),
            },
            // Time after which an evacuated zone must get no request.
            "evacuate" => {
                let mut limit = bounds.evacuate.unwrap_or_default();
                read_time(&mut limit);
                bounds.evacuate = (!limit.is_zero()).then_some(limit);
            }
            _ => {}
        }
    }
    if !must_fail_closed {
        bounds.revoke = None;
    }
    bounds
}
