//! Settings of a node in a mesh: read from JSON, checked, and converted to typed [`MeshSettings`].

use std::{net::SocketAddr, path::Path, sync::Arc, time::Duration};

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use crate::{
    findings::{self, Collector, Findings},
    mesh::{Bounds, Dialect},
    names::{InstanceName, ServiceName, ZoneName},
    settings::{RawLog, check_log_modules, parse_address},
};

const DEFAULT_STORE_TIMEOUT_MS: u64 = 1000;

/// Settings as written in the file.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct RawMeshSettings {
    /// Name of the instance, unique in the fleet.
    #[schemars(length(min = 1, max = 63))]
    pub instance: String,
    /// Availability zone of the instance.
    #[schemars(length(min = 1, max = 63))]
    pub zone: String,
    /// Service of the node's local upstream. Heartbeats that name another one are ignored.
    #[schemars(length(min = 1, max = 63))]
    pub service: String,
    /// Address of the node's local upstream.
    #[schemars(extend("format" = "ip-address-and-port"))]
    pub upstream: String,
    /// Addresses that the node listens on.
    pub listen: RawMeshListen,
    /// Address under which other nodes reach `listen.peers`, if it differs from it, for example with
    /// port forwarding.
    #[serde(default)]
    #[schemars(extend("format" = "ip-address-and-port"))]
    pub announced_peers: Option<String>,
    /// The platform's object store.
    pub store: RawStore,
    /// Nodes from which the records of the fleet are requested while the store is unavailable.
    #[serde(default)]
    pub seeds: Vec<String>,
    /// Bounds that the platform sets, under the platform's own names.
    #[serde(default)]
    pub bounds: Map<String, Value>,
    /// Limits of the node's machine, or of the process where the platform limits it.
    #[serde(default)]
    pub limits: RawMachineLimits,
    /// Whether root requests are admitted by what their call chains can complete within the bound on retries,
    /// by fair shares of organisations within a rank, and with a `Retry-After` at which there is room.
    #[serde(default)]
    pub chain_admission: bool,
    /// Whether the node learns from the answers of its upstream how many requests a second it takes, after a
    /// start, a crash and other interruptions.
    #[serde(default)]
    pub pace: bool,
    /// Logging.
    #[serde(default)]
    pub log: RawLog,
}

/// Limits of the machine, from which the bounds on what callers and other nodes may hold are derived.
#[derive(Debug, Clone, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct RawMachineLimits {
    /// Memory that the process may use; where there is none, `MemTotal` of `/proc/meminfo`, but 160 MiB at
    /// most. Three quarters of it may hold bytes of others.
    #[serde(default)]
    #[schemars(range(min = 32, max = 1_048_576), extend("x-unit" = "MiB"))]
    pub memory_mb: Option<u64>,
    /// File descriptors that the process may open; where there is none, the limit of the process. Five
    /// eighths of them are for connections of callers, an eighth for those of other nodes.
    #[serde(default)]
    #[schemars(range(min = 128, max = 1_048_576), extend("x-unit" = "descriptors"))]
    pub max_descriptors: Option<u64>,
}

/// Listening addresses, each an IP address and a port.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct RawMeshListen {
    /// Listener for callers on this machine and for the upstream's own calls.
    #[schemars(extend("format" = "ip-address-and-port"))]
    pub callers: String,
    /// Listener for other nodes.
    #[schemars(extend("format" = "ip-address-and-port"))]
    pub peers: String,
    /// Listener for readiness checks: whether callers should send requests to this node.
    #[schemars(extend("format" = "ip-address-and-port"))]
    pub readiness: String,
    /// Listener for heartbeats of the upstream.
    #[schemars(extend("format" = "ip-address-and-port"))]
    pub heartbeats: String,
    /// Listener for metrics and the state dump.
    #[schemars(extend("format" = "ip-address-and-port"))]
    pub operators: String,
}

/// The platform's object store.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct RawStore {
    /// IP address and port.
    #[schemars(extend("format" = "ip-address-and-port"))]
    pub address: String,
    /// Time allowed for one call, in milliseconds.
    #[serde(default = "default_store_timeout_ms")]
    #[schemars(range(min = 10, max = 60_000))]
    pub timeout_ms: u64,
}

fn default_store_timeout_ms() -> u64 {
    DEFAULT_STORE_TIMEOUT_MS
}

/// Checked and typed settings.
#[derive(Debug, Clone)]
pub struct MeshSettings {
    /// File that the settings were read from.
    pub file: Arc<str>,
    /// Name of the instance.
    pub instance: InstanceName,
    /// Availability zone.
    pub zone: ZoneName,
    /// Service of the node's local upstream. Heartbeats that name another one are ignored.
    pub service: ServiceName,
    /// Address of the node's local upstream.
    pub upstream: SocketAddr,
    /// Listening addresses.
    pub listen: MeshListen,
    /// Address under which other nodes reach the listener for nodes.
    pub announced_peers: SocketAddr,
    /// Address of the object store.
    pub store: SocketAddr,
    /// Time allowed for one call to the store.
    pub store_timeout: Duration,
    /// Nodes from which the records of the fleet are requested while the store is unavailable.
    pub seeds: Vec<SocketAddr>,
    /// Bounds that the platform sets.
    pub bounds: Bounds,
    /// Limits of the machine.
    pub limits: MachineLimits,
    /// Whether root requests are admitted by their call chains, by shares and with promised returns.
    pub admits_chains: bool,
    /// Whether the pace of the upstream is learned from its answers.
    pub learns_pace: bool,
    /// Logging.
    pub log: RawLog,
}

/// Limits of the machine; `None` where the settings do not state one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MachineLimits {
    /// Memory that the process may use.
    pub memory_bytes: Option<usize>,
    /// File descriptors that the process may open.
    pub max_descriptors: Option<usize>,
}

/// Settings that may change while the node runs.
#[derive(Debug, Clone, PartialEq)]
pub struct LiveSettings {
    /// Service of the node's local upstream. Heartbeats that name another one are ignored.
    pub service: ServiceName,
    /// Nodes from which the records of the fleet are requested while the store is unavailable.
    pub seeds: Vec<SocketAddr>,
    /// Bounds that the platform sets.
    pub bounds: Bounds,
    /// Whether root requests are admitted by their call chains, by shares and with promised returns.
    pub admits_chains: bool,
    /// Whether the pace of the upstream is learned from its answers.
    pub learns_pace: bool,
}

impl LiveSettings {
    /// Copies the changeable settings from those of a file.
    pub fn from_settings(settings: &MeshSettings) -> Self {
        Self {
            service: settings.service.clone(),
            seeds: settings.seeds.clone(),
            bounds: settings.bounds,
            admits_chains: settings.admits_chains,
            learns_pace: settings.learns_pace,
        }
    }
}

/// Checked listening addresses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MeshListen {
    /// Listener for callers on this machine and for the upstream's own calls.
    pub callers: SocketAddr,
    /// Listener for other nodes.
    pub peers: SocketAddr,
    /// Listener for readiness checks: whether callers should send requests to this node.
    pub readiness: SocketAddr,
    /// Listener for heartbeats of the upstream.
    pub heartbeats: SocketAddr,
    /// Listener for metrics and the state dump.
    pub operators: SocketAddr,
}

impl MeshSettings {
    /// Reads and checks a settings file.
    pub fn from_file<D: Dialect>(path: &Path) -> Result<Self, Findings> {
        let raw = findings::check_file_with::<RawMeshSettings>(path, |value, collector| {
            check_log_modules(value, collector);
            if let Some(bounds) = value["bounds"].as_object() {
                D::bounds(bounds, "/bounds", collector);
            }
            let seeds = value["seeds"].as_array().into_iter().flatten().enumerate();
            for (index, seed) in seeds.filter_map(|(index, seed)| Some((index, seed.as_str()?))) {
                parse_address(collector, &format!("/seeds/{index}"), seed);
            }
        })?;
        Self::from_raw::<D>(path.display().to_string(), raw)
    }

    /// Whether name, zone and addresses are equal; changes of these need a restart.
    pub fn has_same_identity(&self, other: &Self) -> bool {
        self.instance == other.instance
            && self.zone == other.zone
            && self.listen == other.listen
            && self.announced_peers == other.announced_peers
            && self.upstream == other.upstream
            && self.store == other.store
    }

    /// Checks the values and converts them to typed settings; `file` names the source in findings.
    pub fn from_raw<D: Dialect>(
        file: impl Into<Arc<str>>,
        raw: RawMeshSettings,
    ) -> Result<Self, Findings> {
        let file = file.into();
        let mut collector = Collector::new(file.clone());
        let mut address = |place: &str, text: &str| parse_address(&mut collector, place, text);
        let upstream = address("/upstream", &raw.upstream);
        let listen = MeshListen {
            callers: address("/listen/callers", &raw.listen.callers),
            peers: address("/listen/peers", &raw.listen.peers),
            readiness: address("/listen/readiness", &raw.listen.readiness),
            heartbeats: address("/listen/heartbeats", &raw.listen.heartbeats),
            operators: address("/listen/operators", &raw.listen.operators),
        };
        let announced_peers = match &raw.announced_peers {
            Some(text) => address("/announced_peers", text),
            None => listen.peers,
        };
        let store = address("/store/address", &raw.store.address);
        let seeds = raw.seeds.iter().enumerate();
        let seeds = seeds.map(|(index, text)| {
            // Seeds are given as the addresses of heartbeat listeners. All nodes use the same ports, so
            // the listener for nodes has this node's port.
            let mut seed = address(&format!("/seeds/{index}"), text);
            seed.set_port(listen.peers.port());
            seed
        });
        let seeds = seeds.collect();
        let bounds = D::bounds(&raw.bounds, "/bounds", &mut collector);
        // The schema limits both numbers, so that they are in range on all platforms.
        let to_usize = |number: u64| usize::try_from(number).unwrap_or(usize::MAX);
        let limits = MachineLimits {
            memory_bytes: raw.limits.memory_mb.map(|mb| to_usize(mb << 20)),
            max_descriptors: raw.limits.max_descriptors.map(to_usize),
        };
        collector.finish(Self {
            file,
            instance: raw.instance.into(),
            zone: raw.zone.into(),
            service: raw.service.into(),
            upstream,
            listen,
            announced_peers,
            store,
            store_timeout: Duration::from_millis(raw.store.timeout_ms),
            seeds,
            bounds,
            limits,
            admits_chains: raw.chain_admission,
            learns_pace: raw.pace,
            log: raw.log,
        })
    }
}
