//! Settings of a node in a mesh: read from JSON, checked, then made into typed [`MeshSettings`].

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

/// Settings as they stand in the file.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct RawMeshSettings {
    /// Name of the instance, unique in the fleet.
    #[schemars(length(min = 1, max = 63))]
    pub instance: String,
    /// Availability zone of the instance.
    #[schemars(length(min = 1, max = 63))]
    pub zone: String,
    /// Service of the upstream beside the node.
    #[schemars(length(min = 1, max = 63))]
    pub service: String,
    /// Address of the upstream beside the node.
    #[schemars(extend("format" = "ip-address-and-port"))]
    pub upstream: String,
    /// Addresses that the node listens on.
    pub listen: RawMeshListen,
    /// Address that other nodes are told for `listen.peers`, where it is another one, as behind a
    /// port forwarding.
    #[serde(default)]
    #[schemars(extend("format" = "ip-address-and-port"))]
    pub announced_peers: Option<String>,
    /// The platform's object store.
    pub store: RawStore,
    /// Nodes that may be asked for the others while the store is away.
    #[serde(default)]
    pub seeds: Vec<String>,
    /// Bounds that the platform sets, by its own names for them.
    #[serde(default)]
    pub bounds: Map<String, Value>,
    /// Logging.
    #[serde(default)]
    pub log: RawLog,
}

/// Listening addresses, each an IP address and a port.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct RawMeshListen {
    /// For callers on this machine, and for the upstream's own calls.
    #[schemars(extend("format" = "ip-address-and-port"))]
    pub callers: String,
    /// For other nodes.
    #[schemars(extend("format" = "ip-address-and-port"))]
    pub peers: String,
    /// For questions whether callers should come here.
    #[schemars(extend("format" = "ip-address-and-port"))]
    pub readiness: String,
    /// For heartbeats of the upstream.
    #[schemars(extend("format" = "ip-address-and-port"))]
    pub heartbeats: String,
    /// For metrics and the state dump.
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

/// Checked settings.
#[derive(Debug, Clone)]
pub struct MeshSettings {
    /// File that the settings were read from.
    pub file: Arc<str>,
    /// Name of the instance.
    pub instance: InstanceName,
    /// Availability zone.
    pub zone: ZoneName,
    /// Service of the upstream beside the node.
    pub service: ServiceName,
    /// Address of the upstream beside the node.
    pub upstream: SocketAddr,
    /// Listening addresses.
    pub listen: MeshListen,
    /// Address that other nodes are told for the listener for nodes.
    pub announced_peers: SocketAddr,
    /// Address of the object store.
    pub store: SocketAddr,
    /// Time allowed for one call to the store.
    pub store_timeout: Duration,
    /// Nodes that may be asked for the others while the store is away.
    pub seeds: Vec<SocketAddr>,
    /// Bounds that the platform sets.
    pub bounds: Bounds,
    /// Logging.
    pub log: RawLog,
}

/// Settings that may change while the node runs.
#[derive(Debug, Clone, PartialEq)]
pub struct LiveSettings {
    /// Service of the upstream beside the node.
    pub service: ServiceName,
    /// Nodes that may be asked for the others while the store is away.
    pub seeds: Vec<SocketAddr>,
    /// Bounds that the platform sets.
    pub bounds: Bounds,
}

impl LiveSettings {
    /// Takes them from the settings of a file.
    pub fn from_settings(settings: &MeshSettings) -> Self {
        Self {
            service: settings.service.clone(),
            seeds: settings.seeds.clone(),
            bounds: settings.bounds,
        }
    }
}

/// Checked listening addresses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MeshListen {
    /// For callers on this machine, and for the upstream's own calls.
    pub callers: SocketAddr,
    /// For other nodes.
    pub peers: SocketAddr,
    /// For questions whether callers should come here.
    pub readiness: SocketAddr,
    /// For heartbeats of the upstream.
    pub heartbeats: SocketAddr,
    /// For metrics and the state dump.
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

    /// Tells whether name, zone and addresses are the same; they cannot change in a process.
    pub fn has_same_identity(&self, other: &Self) -> bool {
        self.instance == other.instance
            && self.zone == other.zone
            && self.listen == other.listen
            && self.announced_peers == other.announced_peers
            && self.upstream == other.upstream
            && self.store == other.store
    }

    /// Makes the typed settings.
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
            // A seed names a node by its listener for heartbeats; all nodes use the same ports.
            let mut seed = address(&format!("/seeds/{index}"), text);
            seed.set_port(listen.peers.port());
            seed
        });
        let seeds = seeds.collect();
        let bounds = D::bounds(&raw.bounds, "/bounds", &mut collector);
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
            log: raw.log,
        })
    }
}
