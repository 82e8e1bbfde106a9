//! The plan of a run: read from JSON, checked, then made into a typed [`Plan`].

use std::{net::SocketAddr, path::Path, sync::Arc, time::Duration};

use http::Method;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::findings::{self, Collector, Input};

const DEFAULT_MAX_IN_FLIGHT: usize = 4000;
const DEFAULT_TIMEOUT_MS: u64 = 5000;
const DEFAULT_BODY_BYTES: usize = 64;
const MIN_BODY_BYTES: usize = 36; // the unique text that the answer must echo

/// A plan as it stands in the file.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct RawPlan {
    /// Callers' listeners of nodes; requests go round them.
    #[schemars(length(min = 1))]
    pub nodes: Vec<String>,
    /// Time during which requests are sent, in milliseconds.
    #[schemars(range(min = 100, max = 3_600_000))]
    pub duration_ms: u64,
    /// Seed of the arrivals.
    #[serde(default)]
    pub seed: u64,
    /// Requests in flight above which arrivals are counted as not sent.
    #[serde(default = "default_max_in_flight")]
    #[schemars(range(min = 1, max = 100_000))]
    pub max_in_flight: usize,
    /// Streams of requests.
    #[schemars(length(min = 1))]
    pub streams: Vec<RawStream>,
}

/// One stream of requests as it stands in the file.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct RawStream {
    /// Name in the report.
    #[schemars(length(min = 1, max = 63))]
    pub name: Arc<str>,
    /// Method of the requests.
    #[serde(default = "default_method")]
    pub method: String,
    /// Path of the requests.
    #[schemars(regex(pattern = "^/"))]
    pub path: Arc<str>,
    /// Key of the organisation; none for an open route.
    #[serde(default)]
    pub key: Option<Arc<str>>,
    /// Mean rate of arrivals.
    #[schemars(range(min = 0.001, max = 1_000_000.0))]
    pub rate_per_s: f64,
    /// Size of each body, in bytes.
    #[serde(default = "default_body_bytes")]
    #[schemars(range(min = 36, max = 10_000_000))]
    pub body_bytes: usize,
    /// Time after which the caller gives up, in milliseconds.
    #[serde(default = "default_timeout_ms")]
    #[schemars(range(min = 1, max = 600_000))]
    pub timeout_ms: u64,
    /// Each request carries an idempotency key, which its re-sends repeat.
    #[serde(default)]
    pub idempotency_key: bool,
    /// JSON pointer to the echoed body in the answer; no check where it is missing.
    #[serde(default)]
    pub echo: Option<String>,
    /// How callers send again.
    #[serde(default)]
    pub retry: RetryPolicy,
}

/// How callers send a request again after a refusal, an unknown outcome or a timeout.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct RetryPolicy {
    /// Further sendings at most.
    #[schemars(range(max = 100))]
    pub retries: u32,
    /// Pause before each, in milliseconds.
    pub delay_ms: u64,
    /// Wait as long as `Retry-After` says, where that is longer.
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
    /// Seed of the arrivals.
    pub seed: u64,
    /// Requests in flight above which arrivals are counted as not sent.
    pub max_in_flight: usize,
    /// Streams of requests.
    pub streams: Vec<Stream>,
}

/// A checked stream of requests.
#[derive(Debug, Clone)]
pub struct Stream {
    /// Name in the report.
    pub name: Arc<str>,
    /// Method of the requests.
    pub method: Method,
    /// Path of the requests.
    pub path: Arc<str>,
    /// Key of the organisation.
    pub key: Option<Arc<str>>,
    /// Mean rate of arrivals.
    pub rate_per_s: f64,
    /// Size of each body.
    pub body_bytes: usize,
    /// Time after which the caller gives up.
    pub timeout: Duration,
    /// Each request carries an idempotency key.
    pub idempotency_key: bool,
    /// JSON pointer to the echoed body.
    pub echo: Option<String>,
    /// How callers send again.
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

    /// Makes the typed plan of one that was checked.
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
