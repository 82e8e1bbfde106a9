//! Settings of the daemon: read from JSON, checked, then made into typed [`Settings`].

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

/// Settings as they stand in the file.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct RawSettings {
    /// Name of the instance, unique in the fleet.
    #[schemars(length(min = 1, max = 63))]
    pub instance: String,
    /// Availability zone of the instance.
    #[schemars(length(min = 1, max = 63))]
    pub zone: String,
    /// Addresses that the node listens on.
    pub listen: RawListen,
    /// Where the object API is.
    pub platform: RawPlatform,
    /// Secret shared by all nodes of the fleet; at least 32 characters.
    #[schemars(length(min = 32, max = 256))]
    pub fleet_secret: String,
    /// Shard of the membership table that the node joins.
    #[serde(default = "default_shard")]
    #[schemars(length(min = 1, max = 63))]
    pub shard: String,
    /// Weight of the instance when rates are divided.
    #[serde(default = "default_weight")]
    #[schemars(range(min = 1, max = 1000), extend("x-unit" = "relative to other instances"))]
    pub weight: u32,
    /// Limits on requests.
    #[serde(default)]
    pub limits: RawLimits,
    /// Logging.
    #[serde(default)]
    pub log: RawLog,
}

/// Listening addresses, each an IP address and a port.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct RawListen {
    /// For callers.
    #[schemars(extend("format" = "ip-address-and-port"))]
    pub callers: String,
    /// For the upstream beside the node; must be a loopback address.
    #[schemars(extend("format" = "ip-address-and-port"))]
    pub upstream: String,
    /// For other nodes.
    #[schemars(extend("format" = "ip-address-and-port"))]
    pub peers: String,
    /// For operators.
    #[schemars(extend("format" = "ip-address-and-port"))]
    pub operators: String,
}

/// The platform's object API.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum RawPlatform {
    /// A store inside the process, for one node on its own.
    Embedded {
        /// Configuration file loaded at the start.
        configuration: Option<String>,
    },
    /// The platform's service.
    Http {
        /// IP address and port.
        #[schemars(extend("format" = "ip-address-and-port"))]
        address: String,
        /// Time allowed for one call, in milliseconds.
        #[serde(default = "default_platform_timeout_ms")]
        #[schemars(range(min = 10, max = 60_000))]
        timeout_ms: u64,
    },
}

/// Limits on requests.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct RawLimits {
    /// Largest body of a request or an answer, in bytes.
    #[schemars(range(min = 1024, max = 67_108_864))]
    pub max_body_bytes: u64,
    /// Time that requests in flight get to finish at shutdown, in milliseconds.
    #[schemars(range(min = 100, max = 600_000))]
    pub drain_timeout_ms: u64,
    /// Deadline of a request whose class gives none, in milliseconds.
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

/// Logging.
#[derive(Debug, Clone, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct RawLog {
    /// Lowest level of this program that is written.
    pub level: LogLevel,
    /// Form of the lines.
    pub format: LogFormat,
    /// Levels of single modules of this program, by module path, as in
    /// `hibiscusdoor::node::members`; libraries always log at `warn`.
    pub modules: std::collections::BTreeMap<String, LogLevel>,
}

/// Log level.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Failures that need a person.
    Error,
    /// Failures that the node handles.
    Warn,
    /// Changes of state.
    #[default]
    Info,
    /// Decisions.
    Debug,
    /// Single messages.
    Trace,
}

/// Form of log lines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// Text for people.
    #[default]
    Human,
    /// One JSON object a line.
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

/// Checked settings.
#[derive(Debug, Clone)]
pub struct Settings {
    /// File that the settings were read from.
    pub file: Arc<str>,
    /// Name of the instance.
    pub instance: InstanceName,
    /// Availability zone.
    pub zone: ZoneName,
    /// Listening addresses.
    pub listen: Listen,
    /// Where the object API is.
    pub platform: PlatformSettings,
    /// Secret shared by all nodes.
    pub fleet_secret: FleetSecret,
    /// Shard of the membership table.
    pub shard: Arc<str>,
    /// Weight of the instance when rates are divided.
    pub weight: u32,
    /// Limits on requests.
    pub limits: Limits,
    /// Logging.
    pub log: RawLog,
}

/// Checked listening addresses.
#[derive(Debug, Clone, Copy)]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddr,
    /// For the upstream beside the node.
    pub upstream: SocketAddr,
    /// For other nodes.
    pub peers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
}

/// Checked place of the object API.
#[derive(Debug, Clone)]
pub enum PlatformSettings {
    /// A store inside the process.
    Embedded {
        /// Configuration file loaded at the start.
        configuration: Option<Arc<str>>,
    },
    /// The platform's service.
    Http {
        /// Address of the service.
        address: SocketAddr,
        /// Time allowed for one call.
        timeout: Duration,
    },
}

/// Checked limits on requests.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Largest body of a request or an answer.
    pub max_body_bytes: usize,
    /// Time that requests in flight get to finish at shutdown.
    pub drain_timeout: Duration,
    /// Deadline of a request whose class gives none.
    pub default_deadline: Duration,
}

/// The secret that authenticates nodes to each other; its text is never shown.
#[derive(Clone)]
pub struct FleetSecret([u8; 32]);

impl FleetSecret {
    /// Derives the key material from the text of the settings.
    pub fn new(text: &str) -> Self {
        Self(blake3::derive_key("hibiscusdoor 2026 fleet secret", text.as_bytes()))
    }

    /// Derives the key for one purpose, so that no key serves two.
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

/// Adds a finding for each module of a logging section that is not the project's own.
pub fn check_log_modules(value: &Value, collector: &mut Collector) {
    let modules = value.pointer("/log/modules").and_then(Value::as_object);
    for name in modules.into_iter().flatten().map(|(name, _)| name) {
        let top = name.split("::").next().unwrap_or_default();
        if !OWN_MODULES.contains(&top) {
            // Libraries may write headers, and so keys, at the lower levels.
            let expected = format!("a module below one of {}", OWN_MODULES.join(", "));
            collector.add(format!("/log/modules/{name}"), expected, "another module");
        }
    }
}

impl Settings {
    /// Reads and checks a settings file.
    pub fn from_file(path: &Path) -> Result<Self, Findings> {
        let raw = findings::check_input_file::<RawSettings>(path)?;
        Self::from_raw(path.display().to_string(), raw)
    }

    /// Makes the typed settings.
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

/// Parses an address; adds a finding where it is none.
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
            // Other nodes learn this address from the membership table.
            collector.add(place, "an address that other nodes can reach", address);
        }
        let taken = listen[..index].iter().any(|(_, other)| other.as_ref() == Some(address));
        if taken && address.port() != 0 {
            collector.add(place, "an address of its own", format!("{address}, used twice"));
        }
    }
}
