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
    requests: Family<OutcomeLabels, Counter>,
    evidence_pulls: Family<PullLabels, Counter>,
    evidence_bytes: Family<BytesLabels, Counter>,
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
        Self { registry, requests, evidence_pulls, evidence_bytes }
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
