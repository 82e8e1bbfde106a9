//! The plan of a run: read from JSON, checked, then made into a typed [`Plan`].

use std::{net::SocketAddr, path::Path, sync::Arc, time::Duration};

use http::Method;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::findings::{self, Collector, Findings};

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

impl Plan {
    /// Reads and checks a plan.
    pub fn from_file(path: &Path) -> Result<Self, Findings> {
        let raw = findings::check_file::<RawPlan>(path)?;
        Self::from_raw(path.display().to_string(), raw)
    }

    /// Checks what the schema cannot express.
    pub fn from_raw(file: impl Into<Arc<str>>, raw: RawPlan) -> Result<Self, Findings> {
        let mut collector = Collector::new(file);
        let mut nodes = Vec::new();
        for (index, text) in raw.nodes.iter().enumerate() {
            match text.parse() {
                Ok(address) => nodes.push(address),
                Err(_) => {
                    collector.add(format!("/nodes/{index}"), "an IP address and a port", text);
                }
            }
        }
        let mut streams = Vec::new();
        for (index, stream) in raw.streams.into_iter().enumerate() {
            match Method::from_bytes(stream.method.as_bytes()) {
                Ok(method) => streams.push(Stream {
                    name: stream.name,
                    method,
                    path: stream.path,
                    key: stream.key,
                    rate_per_s: stream.rate_per_s,
                    body_bytes: stream.body_bytes.max(MIN_BODY_BYTES),
                    timeout: Duration::from_millis(stream.timeout_ms),
                    idempotency_key: stream.idempotency_key,
                    echo: stream.echo,
                    retry: stream.retry,
                }),
                Err(_) => {
                    let place = format!("/streams/{index}/method");
                    collector.add(place, "an HTTP method", stream.method);
                }
            }
        }
        collector.finish(Self {
            nodes,
            duration: Duration::from_millis(raw.duration_ms),
            seed: raw.seed,
            max_in_flight: raw.max_in_flight,
            streams,
        })
    }
}
