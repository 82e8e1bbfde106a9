//! Metrics of the process, in the OpenMetrics text format.

use std::collections::HashMap;

use parking_lot::RwLock;
use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{counter::Counter, family::Family},
    registry::Registry,
};
use serde::{Deserialize, Serialize};

use crate::{
    call::Outcome,
    config::Configuration,
    names::{ClassName, OrganisationName},
};

/// Label of what is not in the configuration.
const OTHER: &str = "other";
/// Label of requests on open routes.
const NO_ORGANISATION: &str = "none";

/// Labels of a finished request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RequestLabels {
    class: ClassName,
    organisation: OrganisationName,
    outcome: &'static str,
    reason: &'static str,
}

/// Requests that ended in one way, for the state dump.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestCount {
    /// Class, or `other`.
    pub class: ClassName,
    /// Organisation, `none` on open routes, or `other`.
    pub organisation: OrganisationName,
    /// `whole`, `not-run` or `unknown`.
    pub outcome: String,
    /// Why it was refused, or why its outcome is unknown; empty for whole answers.
    pub reason: String,
    /// Number of requests since the start.
    pub count: u64,
}

/// What a request was of, as far as the node found out.
#[derive(Debug, Clone, Copy, Default)]
pub struct RequestOrigin<'a> {
    /// Class of the request.
    pub class: Option<&'a str>,
    /// Organisation whose key it carried; the outer option is empty before the key is checked.
    pub organisation: Option<Option<&'a str>>,
}

/// Labels of an evidence pull: `asked` or `answered` by this node.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct PullLabels {
    part: &'static str,
}

/// Labels of message bytes.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct BytesLabels {
    direction: &'static str,
}

/// Metrics of the process.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    requests: Family<RequestLabels, Counter>,
    // The metrics library does not list the members of a family.
    counted: RwLock<HashMap<RequestLabels, Counter>>,
    evidence_pulls: Family<PullLabels, Counter>,
    evidence_bytes: Family<BytesLabels, Counter>,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("hibiscusdoor");
        let requests = Family::default();
        registry.register(
            "requests",
            "Requests answered to callers and to the upstream, by class, organisation, outcome \
             and reason",
            requests.clone(),
        );
        let evidence_pulls = Family::default();
        registry.register(
            "evidence_pulls",
            "Evidence pulls that were answered, by this node's part in them",
            evidence_pulls.clone(),
        );
        let evidence_bytes = Family::default();
        registry.register(
            "evidence_message_bytes",
            "Bytes of evidence messages, without framing",
            evidence_bytes.clone(),
        );
        Self { registry, requests, counted: RwLock::default(), evidence_pulls, evidence_bytes }
    }
}

impl Metrics {
    /// Counts a finished request of which nothing else is known.
    pub fn count_outcome(&self, outcome: &Outcome) {
        self.count_request(&Configuration::default(), RequestOrigin::default(), outcome);
    }

    /// Counts a finished request.
    ///
    /// Names that the configuration does not have become `other`, so that the number of series
    /// is bounded by the configuration and not by what callers send.
    pub fn count_request(
        &self,
        configuration: &Configuration,
        origin: RequestOrigin<'_>,
        outcome: &Outcome,
    ) {
        let (outcome, reason) = match outcome {
            Outcome::Whole(_) => ("whole", ""),
            Outcome::NotRun(not_run) => ("not-run", not_run.reason.as_str()),
            Outcome::Unknown(unknown) => ("unknown", unknown.reason.as_str()),
        };
        let class = origin.class.filter(|name| configuration.class(name).is_some());
        let organisation = match origin.organisation {
            Some(None) => NO_ORGANISATION,
            Some(Some(name)) if configuration.organisation(name).is_some() => name,
            _ => OTHER,
        };
        let labels = RequestLabels {
            class: class.unwrap_or(OTHER).into(),
            organisation: organisation.into(),
            outcome,
            reason,
        };
        if let Some(counter) = self.counted.read().get(&labels) {
            counter.inc();
            return;
        }
        let counter = self.requests.get_or_create(&labels).clone();
        counter.inc();
        self.counted.write().insert(labels, counter);
    }

    /// Drops the series of classes and organisations that a new revision does not have.
    pub fn forget_withdrawn(&self, configuration: &Configuration) {
        let mut counted = self.counted.write();
        counted.retain(|labels, _| {
            let is_known =
                |name: &str, known: bool| known || name == OTHER || name == NO_ORGANISATION;
            let keep = is_known(&labels.class, configuration.class(&labels.class).is_some())
                && is_known(
                    &labels.organisation,
                    configuration.organisation(&labels.organisation).is_some(),
                );
            if !keep {
                self.requests.remove(labels);
            }
            keep
        });
    }

    /// Requests since the start, by class, organisation, outcome and reason.
    pub fn request_counts(&self) -> Vec<RequestCount> {
        let counted = self.counted.read();
        let counts = counted.iter().map(|(labels, counter)| RequestCount {
            class: labels.class.clone(),
            organisation: labels.organisation.clone(),
            outcome: labels.outcome.to_owned(),
            reason: labels.reason.to_owned(),
            count: counter.get(),
        });
        let mut counts: Vec<RequestCount> = counts.collect();
        counts.sort_by(|a, b| {
            let key = |it: &RequestCount| {
                (it.class.clone(), it.organisation.clone(), it.outcome.clone(), it.reason.clone())
            };
            key(a).cmp(&key(b))
        });
        counts
    }

    /// Counts an evidence pull that this node `asked` or `answered`.
    pub fn count_evidence(&self, part: &'static str, received_bytes: usize, sent_bytes: usize) {
        self.evidence_pulls.get_or_create(&PullLabels { part }).inc();
        for (direction, bytes) in [("received", received_bytes), ("sent", sent_bytes)] {
            let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
            self.evidence_bytes.get_or_create(&BytesLabels { direction }).inc_by(bytes);
        }
    }

    /// Adds the counter of platform calls.
    pub fn register_platform_calls(&mut self, calls: Counter) {
        self.registry.register(
            "platform_calls",
            "Calls made to the platform, a watch counted as one",
            calls,
        );
    }

    /// Renders all metrics.
    pub fn render(&self) -> String {
        let mut text = String::new();
        if let Err(error) = encode(&mut text, &self.registry) {
            log::error!("rendering metrics failed: {error}");
        }
        text
    }
}
