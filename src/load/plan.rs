//! The load plan of a run: read from JSON, checked, then converted to a typed [`Plan`].

use std::{net::SocketAddr, path::Path, sync::Arc, time::Duration};

use http::Method;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::findings::{self, Collector, Input};

const DEFAULT_MAX_IN_FLIGHT: usize = 4000;
const DEFAULT_TIMEOUT_MS: u64 = 5000;
const DEFAULT_BODY_BYTES: usize = 64;
/// Length of the UUID that makes each body unique, so that an echo of another body is detected.
const MIN_BODY_BYTES: usize = 36;

/// A plan as written in the file.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct RawPlan {
    /// Callers' listeners of nodes; requests are sent to them in turn.
    #[schemars(length(min = 1))]
    pub nodes: Vec<String>,
    /// Time during which requests are sent, in milliseconds.
    #[schemars(range(min = 100, max = 3_600_000))]
    pub duration_ms: u64,
    /// Seed of the random arrival times.
    #[serde(default)]
    pub seed: u64,
    /// Largest number of requests in flight; arrivals beyond it are counted as not sent.
    #[serde(default = "default_max_in_flight")]
    #[schemars(range(min = 1, max = 100_000))]
    pub max_in_flight: usize,
    /// Streams of requests, sent at the same time.
    #[schemars(length(min = 1))]
    pub streams: Vec<RawStream>,
}

/// One stream of requests as written in the file.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct RawStream {
    /// Name of the stream in the report.
    #[schemars(length(min = 1, max = 63))]
    pub name: Arc<str>,
    /// Method of the requests.
    #[serde(default = "default_method")]
    pub method: String,
    /// Path of the requests.
    #[schemars(regex(pattern = "^/"))]
    pub path: Arc<str>,
    /// Key that the requests present; none for an open route.
    #[serde(default)]
    pub key: Option<Arc<str>>,
    /// Mean arrival rate.
    #[schemars(range(min = 0.001, max = 1_000_000.0))]
    pub rate_per_s: f64,
    /// Size of each request body, in bytes.
    #[serde(default = "default_body_bytes")]
    #[schemars(range(min = 36, max = 10_000_000))]
    pub body_bytes: usize,
    /// Time after which the caller gives up an attempt, in milliseconds.
    #[serde(default = "default_timeout_ms")]
    #[schemars(range(min = 1, max = 600_000))]
    pub timeout_ms: u64,
    /// Whether each request carries an idempotency key, which its retries repeat.
    #[serde(default)]
    pub idempotency_key: bool,
    /// JSON pointer to the echoed body in the answer; without one, answers are not checked.
    #[serde(default)]
    pub echo: Option<String>,
    /// Retries by the callers.
    #[serde(default)]
    pub retry: RetryPolicy,
}

/// How callers retry a request after a refusal, an unknown outcome or a timeout.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct RetryPolicy {
    /// Largest number of retries of one request.
    #[schemars(range(max = 100))]
    pub retries: u32,
    /// Delay before each retry, in milliseconds.
    pub delay_ms: u64,
    /// Whether to wait for the time that the refusal states (`retry_after_ms` or `Retry-After`), if
    /// it is longer than the delay.
    pub honour_retry_after: bool,
}

fn default_max_in_flight() -> usize {
    DEFAULT_MAX_IN_FLIGHT
}

fn default_method() -> String {
    "POST".to_owned()
}

fn default_body_bytes() -> usize {
    DEFAULT_BODY_BYTES
}

fn default_timeout_ms() -> u64 {
    DEFAULT_TIMEOUT_MS
}

/// A checked plan.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Callers' listeners of nodes.
    pub nodes: Vec<SocketAddr>,
    /// Time during which requests are sent.
    pub duration: Duration,
    /// Seed of the random arrival times.
    pub seed: u64,
    /// Largest number of requests in flight; arrivals beyond it are counted as not sent.
    pub max_in_flight: usize,
    /// Streams of requests, sent at the same time.
    pub streams: Vec<Stream>,
}

/// A checked stream of requests.
#[derive(Debug, Clone)]
pub struct Stream {
    /// Name of the stream in the report.
    pub name: Arc<str>,
    /// Method of the requests.
    pub method: Method,
    /// Path of the requests.
    pub path: Arc<str>,
    /// Key that the requests present; none for an open route.
    pub key: Option<Arc<str>>,
    /// Mean arrival rate.
    pub rate_per_s: f64,
    /// Size of each request body.
    pub body_bytes: usize,
    /// Time after which the caller gives up an attempt.
    pub timeout: Duration,
    /// Whether each request carries an idempotency key.
    pub idempotency_key: bool,
    /// JSON pointer to the echoed body in the answer; without one, answers are not checked.
    pub echo: Option<String>,
    /// Retries by the callers.
    pub retry: RetryPolicy,
}

impl Input for RawPlan {
    fn check_rules(value: &Value, collector: &mut Collector) {
        let nodes = value.pointer("/nodes").and_then(Value::as_array);
        for (index, node) in nodes.into_iter().flatten().enumerate() {
            let text = node.as_str().unwrap_or_default();
            if text.parse::<SocketAddr>().is_err() {
                collector.add(format!("/nodes/{index}"), "an IP address and a port", text);
            }
        }
        let streams = value.pointer("/streams").and_then(Value::as_array);
        for (index, stream) in streams.into_iter().flatten().enumerate() {
            let method = stream.get("method").and_then(Value::as_str).unwrap_or("POST");
            if Method::from_bytes(method.as_bytes()).is_err() {
                collector.add(format!("/streams/{index}/method"), "an HTTP method", method);
            }
        }
    }
}

impl Plan {
    /// Reads and checks a plan.
    pub fn from_file(path: &Path) -> anyhow::Result<Self> {
        Self::from_raw(findings::check_file::<RawPlan>(path)?)
    }

    /// Converts a plan that was checked to its typed form.
    pub fn from_raw(raw: RawPlan) -> anyhow::Result<Self> {
        let nodes = raw.nodes.iter().map(|text| text.parse());
        let streams = raw.streams.into_iter().map(Stream::from_raw);
        Ok(Self {
            nodes: nodes.collect::<Result<_, _>>()?,
            duration: Duration::from_millis(raw.duration_ms),
            seed: raw.seed,
            max_in_flight: raw.max_in_flight,
            streams: streams.collect::<anyhow::Result<_>>()?,
        })
    }
}

impl Stream {
    fn from_raw(raw: RawStream) -> anyhow::Result<Self> {
        Ok(Self {
            name: raw.name,
            method: Method::from_bytes(raw.method.as_bytes())?,
            path: raw.path,
            key: raw.key,
            rate_per_s: raw.rate_per_s,
            body_bytes: raw.body_bytes.max(MIN_BODY_BYTES),
            timeout: Duration::from_millis(raw.timeout_ms),
            idempotency_key: raw.idempotency_key,
            echo: raw.echo,
            retry: raw.retry,
        })
    }
}
