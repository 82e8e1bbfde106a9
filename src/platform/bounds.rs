//! The platform's bounds, by the names that it gives them.

use std::time::Duration;

use serde_json::{Map, Value};

use super::text;
use crate::{findings::Collector, mesh::Bounds};

/// Reads the bounds; names that the node does not use are passed over.
pub fn read(entries: &Map<String, Value>, place: &str, collector: &mut Collector) -> Bounds {
    let mut bounds = Bounds::default();
    let mut fails_closed = true;
    for (name, value) in entries {
        let place = format!("{place}/{name}");
        let mut time = |target: &mut Duration| match value.as_str().and_then(text::duration) {
            Some(duration) => *target = duration,
            None => collector.add(&place, "a time, as in \"1500ms\"", value),
        };
        match &**name {
            "drain" => time(&mut bounds.drain),
            "grace" => time(&mut bounds.grace),
            "configApply" => time(&mut bounds.config_apply),
            "budgetWindow" => time(&mut bounds.retry_window),
            "quotaWindow" => time(&mut bounds.rate_window),
            "revoke" => {
                let mut limit = bounds.revoke.unwrap_or_default();
                time(&mut limit);
                bounds.revoke = Some(limit);
            }
            // Whether keys must be refused by a node that cannot tell if they still hold.
            "revokeFailClosed" => match value.as_bool() {
                Some(flag) => fails_closed = flag,
                None => collector.add(&place, "true or false", value),
            },
            "retryBudgetRatio" => match value.as_f64() {
                Some(ratio) if ratio >= 0.0 => bounds.retry_ratio = ratio,
                _ => collector.add(&place, "a ratio", value),
            },
            "budgetSlack" => match value.as_f64() {
                Some(slack) if slack >= 0.0 => bounds.retry_slack = slack as u32,
                _ => collector.add(&place, "a number of requests", value),
            },
            _ => {}
        }
    }
    if !fails_closed {
        bounds.revoke = None;
    }
    bounds
}
