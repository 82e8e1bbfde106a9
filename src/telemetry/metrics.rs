//! Metrics of the process, in the OpenMetrics text format.

use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{counter::Counter, family::Family},
    registry::Registry,
};

use crate::call::Outcome;

/// Labels of a finished request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabels {
    outcome: &'static str,
    reason: &'static str,
}

/// Metrics of the process.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    requests: Family<OutcomeLabels, Counter>,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("hibiscusdoor");
        let requests = Family::default();
        registry.register(
            "requests",
            "Requests answered to callers and to the upstream, by outcome and reason",
            requests.clone(),
        );
        Self { registry, requests }
    }
}

impl Metrics {
    /// Counts a finished request.
    pub fn count_outcome(&self, outcome: &Outcome) {
        let (outcome, reason) = match outcome {
            Outcome::Whole(_) => ("whole", ""),
            Outcome::NotRun(not_run) => ("not-run", not_run.reason.as_str()),
            Outcome::Unknown(unknown) => ("unknown", unknown.reason.as_str()),
        };
        self.requests.get_or_create(&OutcomeLabels { outcome, reason }).inc();
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
