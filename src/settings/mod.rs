//! Settings of `hibiscusd`: parsed from a JSON file, validated and converted to [`Settings`].

use std::{net::SocketAddr, path::Path, sync::Arc, time::Duration};

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::{
    findings::{self, Collector, Findings, Input},
    names::{InstanceName, ZoneName},
    telemetry::OWN_MODULES,
};

const DEFAULT_MAX_BODY_BYTES: u64 = 1 << 20;
const DEFAULT_DRAIN_TIMEOUT_MS: u64 = 30_000;
const DEFAULT_DEADLINE_MS: u64 = 10_000;
const DEFAULT_SHARD: &str = "main";

/// Settings as written in the file.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct RawSettings {
    /// Name of the instance. It must be unique in the fleet, since other nodes identify this node
    /// by it.
    #[schemars(length(min = 1, max = 63))]
    pub instance: String,
    /// Availability zone that the instance runs in.
    #[schemars(length(min = 1, max = 63))]
    pub zone: String,
    /// Addresses that the node listens on. Each must be a different one, except with port 0, which
    /// lets the operating system choose a port.
    pub listen: RawListen,
    /// Object API that holds the configuration and the membership table.
    pub platform: RawPlatform,
    /// Secret of the fleet, the same on all its nodes. The nodes authenticate each other and hash
    /// callers' keys with keys derived from it.
    #[schemars(length(min = 32, max = 256))]
    pub fleet_secret: String,
    /// Shard of the fleet that the node joins: all nodes with the same shard name share one
    /// membership table.
    #[serde(default = "default_shard")]
    #[schemars(length(min = 1, max = 63))]
    pub shard: String,
    /// Weight of the instance when the rates of organisations are divided among the instances. An
    /// instance gets the share of its weight in the sum of all weights; with equal weights all get
    /// the same share.
    #[serde(default = "default_weight")]
    #[schemars(range(min = 1, max = 1000), extend("x-unit" = "relative to other instances"))]
    pub weight: u32,
    /// Limits on request size and time.
    #[serde(default)]
    pub limits: RawLimits,
    /// Level and format of the log.
    #[serde(default)]
    pub log: RawLog,
}

/// Listening addresses, each an IP address and a port.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct RawListen {
    /// Address for requests of callers.
    #[schemars(extend("format" = "ip-address-and-port"))]
    pub callers: String,
    /// Address for the local upstream: its announcement, its load reports and the calls that it makes.
    /// It must be a loopback address.
    #[schemars(extend("format" = "ip-address-and-port"))]
    pub upstream: String,
    /// Address for other nodes, which read it from the membership table. It must be an address that
    /// they can reach, not `0.0.0.0` or `::`.
    #[schemars(extend("format" = "ip-address-and-port"))]
    pub peers: String,
    /// Address for operators: administration API, metrics and state dump.
    #[schemars(extend("format" = "ip-address-and-port"))]
    pub operators: String,
}

/// Object API that holds the configuration and the membership table.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum RawPlatform {
    /// In-memory store of this process, for a single node without a fleet.
    Embedded {
        /// Configuration file that is loaded into the store at startup. Without it the store starts
        /// empty, and the configuration is set through the administration API.
        configuration: Option<String>,
    },
    /// Object API of the platform, over HTTP.
    Http {
        /// Address of the object API.
        #[schemars(extend("format" = "ip-address-and-port"))]
        address: String,
        /// Timeout of one call to the object API, in milliseconds.
        #[serde(default = "default_platform_timeout_ms")]
        #[schemars(range(min = 10, max = 60_000))]
        timeout_ms: u64,
    },
}

/// Limits on request size and time.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct RawLimits {
    /// Largest accepted body of a request or response, in bytes. A request with a larger body is
    /// rejected without being run.
    #[schemars(range(min = 1024, max = 67_108_864))]
    pub max_body_bytes: u64,
    /// Longest duration of a shutdown, in milliseconds: requests in flight may finish within it,
    /// the connections that remain are then cut.
    #[schemars(range(min = 100, max = 600_000))]
    pub drain_timeout_ms: u64,
    /// Time after its arrival at which a request expires, in milliseconds, if the configuration
    /// lacks its class; otherwise `answer_within_ms` of the class applies.
    #[schemars(range(min = 1, max = 600_000))]
    pub default_deadline_ms: u64,
}

impl Default for RawLimits {
    fn default() -> Self {
        Self {
            max_body_bytes: DEFAULT_MAX_BODY_BYTES,
            drain_timeout_ms: DEFAULT_DRAIN_TIMEOUT_MS,
            default_deadline_ms: DEFAULT_DEADLINE_MS,
        }
    }
}

/// Level and format of the log.
#[derive(Debug, Clone, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct RawLog {
    /// Least severe level at which lines of this program are written.
    pub level: LogLevel,
    /// Format of log lines.
    pub format: LogFormat,
    /// Levels of single modules of this program, which override `level`, by module path, as in
    /// `hibiscusdoor::node::members`. Libraries always log at `warn`.
    pub modules: std::collections::BTreeMap<String, LogLevel>,
}

/// Log level.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Failures that need an operator.
    Error,
    /// Failures that the node recovers from.
    Warn,
    /// Changes of state.
    #[default]
    Info,
    /// Decisions of the node.
    Debug,
    /// Individual messages.
    Trace,
}

/// Format of log lines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// Plain text, for reading.
    #[default]
    Human,
    /// One JSON object per line.
    Json,
}

fn default_shard() -> String {
    DEFAULT_SHARD.to_owned()
}

fn default_weight() -> u32 {
    1
}

fn default_platform_timeout_ms() -> u64 {
    2000
}

/// Validated settings.
#[derive(Debug, Clone)]
pub struct Settings {
    /// File that the settings were read from.
    pub file: Arc<str>,
    /// Name of the instance.
    pub instance: InstanceName,
    /// Availability zone that the instance runs in.
    pub zone: ZoneName,
    /// Addresses that the node listens on.
    pub listen: Listen,
    /// Object API that holds the configuration and the membership table.
    pub platform: PlatformSettings,
    /// Secret shared by all nodes of the fleet.
    pub fleet_secret: FleetSecret,
    /// Shard of the fleet that the node joins; its nodes share one membership table.
    pub shard: Arc<str>,
    /// Weight of the instance when the rates of organisations are divided.
    pub weight: u32,
    /// Limits on request size and time.
    pub limits: Limits,
    /// Level and format of the log.
    pub log: RawLog,
}

/// Validated listening addresses.
#[derive(Debug, Clone, Copy)]
pub struct Listen {
    /// Listener for requests of callers.
    pub callers: SocketAddr,
    /// Listener for the local upstream, on a loopback address.
    pub upstream: SocketAddr,
    /// Listener for other nodes.
    pub peers: SocketAddr,
    /// Listener for operators.
    pub operators: SocketAddr,
}

/// Validated location of the object API.
#[derive(Debug, Clone)]
pub enum PlatformSettings {
    /// In-memory store of this process.
    Embedded {
        /// Configuration file that is loaded into the store at startup.
        configuration: Option<Arc<str>>,
    },
    /// Object API of the platform, over HTTP.
    Http {
        /// Address of the object API.
        address: SocketAddr,
        /// Timeout of one call.
        timeout: Duration,
    },
}

/// Validated limits on request size and time.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Largest accepted body of a request or response.
    pub max_body_bytes: usize,
    /// Longest duration of a shutdown, including the wait for requests in flight.
    pub drain_timeout: Duration,
    /// Time to the deadline of a request if the configuration lacks its class.
    pub default_deadline: Duration,
}

/// Key material of the fleet, from which the keys for each purpose are derived.
///
/// The `Debug` output hides it, so that it cannot leak into logs.
#[derive(Clone)]
pub struct FleetSecret([u8; 32]);

impl FleetSecret {
    /// Derives the key material from the text in the settings.
    pub fn new(text: &str) -> Self {
        Self(blake3::derive_key("hibiscusdoor 2026 fleet secret", text.as_bytes()))
    }

    /// Derives the key for one purpose, so that no key is used for two purposes.
    pub fn key_for(&self, purpose: &str) -> [u8; 32] {
        blake3::derive_key(purpose, &self.0)
    }
}

impl std::fmt::Debug for FleetSecret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("FleetSecret(..)")
    }
}

impl Input for RawSettings {
    fn check_rules(value: &Value, collector: &mut Collector) {
        let listen = ["callers", "upstream", "peers", "operators"].map(|name| {
            let place = format!("/listen/{name}");
            let text = value.pointer(&place).and_then(Value::as_str);
            (place, text.and_then(|text| text.parse::<SocketAddr>().ok()))
        });
        check_listen(collector, &listen);
        check_log_modules(value, collector);
    }
}

/// Adds a finding for each entry of `log.modules` that is not a module of this project.
pub fn check_log_modules(value: &Value, collector: &mut Collector) {
    let modules = value.pointer("/log/modules").and_then(Value::as_object);
    for name in modules.into_iter().flatten().map(|(name, _)| name) {
        let top = name.split("::").next().unwrap_or_default();
        if !OWN_MODULES.contains(&top) {
            // At lower levels, libraries may log headers, which contain keys.
            let expected = format!("a module below one of {}", OWN_MODULES.join(", "));
            collector.add(format!("/log/modules/{name}"), expected, "another module");
        }
    }
}

impl Settings {
    /// Reads and validates a settings file.
    pub fn from_file(path: &Path) -> Result<Self, Findings> {
        let raw = findings::check_input_file::<RawSettings>(path)?;
        Self::from_raw(path.display().to_string(), raw)
    }

    /// Converts settings that match the schema; `file` names their source in findings.
    pub fn from_raw(file: impl Into<Arc<str>>, raw: RawSettings) -> Result<Self, Findings> {
        let file = file.into();
        let mut collector = Collector::new(file.clone());
        let listen = Listen {
            callers: parse_address(&mut collector, "/listen/callers", &raw.listen.callers),
            upstream: parse_address(&mut collector, "/listen/upstream", &raw.listen.upstream),
            peers: parse_address(&mut collector, "/listen/peers", &raw.listen.peers),
            operators: parse_address(&mut collector, "/listen/operators", &raw.listen.operators),
        };
        let platform = match raw.platform {
            RawPlatform::Embedded { configuration } => {
                PlatformSettings::Embedded { configuration: configuration.map(Arc::from) }
            }
            RawPlatform::Http { address: text, timeout_ms } => PlatformSettings::Http {
                address: parse_address(&mut collector, "/platform/address", &text),
                timeout: Duration::from_millis(timeout_ms),
            },
        };
        collector.finish(Self {
            file,
            instance: raw.instance.into(),
            zone: raw.zone.into(),
            listen,
            platform,
            fleet_secret: FleetSecret::new(&raw.fleet_secret),
            shard: raw.shard.into(),
            weight: raw.weight,
            limits: Limits {
                max_body_bytes: usize::try_from(raw.limits.max_body_bytes).unwrap_or(usize::MAX),
                drain_timeout: Duration::from_millis(raw.limits.drain_timeout_ms),
                default_deadline: Duration::from_millis(raw.limits.default_deadline_ms),
            },
            log: raw.log,
        })
    }
}

/// Parses an IP address with a port.
///
/// Adds a finding if `text` is not valid, and returns a placeholder so that checking goes on.
pub fn parse_address(collector: &mut Collector, place: &str, text: &str) -> SocketAddr {
    match text.parse() {
        Ok(address) => address,
        Err(_) => {
            collector.add(place, "an IP address and a port, as in 127.0.0.1:7000", text);
            SocketAddr::from(([127, 0, 0, 1], 0))
        }
    }
}

fn check_listen(collector: &mut Collector, listen: &[(String, Option<SocketAddr>)]) {
    for (index, (place, address)) in listen.iter().enumerate() {
        let Some(address) = address else { continue };
        if place == "/listen/upstream" && !address.ip().is_loopback() {
            collector.add(place, "a loopback address", address);
        }
        if place == "/listen/peers" && address.ip().is_unspecified() {
            // Other nodes connect to this address, which they read from the membership table.
            collector.add(place, "an address that other nodes can reach", address);
        }
        let is_used = listen[..index].iter().any(|(_, other)| other.as_ref() == Some(address));
        if is_used && address.port() != 0 {
            collector.add(place, "an address of its own", format!("{address}, used twice"));
        }
    }
}
