//! One real node with test doubles of the object store and of its upstream.

use std::{
    fs::File,
    future::Future,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::Path,
    process::{Child, Command, Stdio},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use anyhow::Context as _;
use bytes::Bytes;
use hibiscusdoor::{
    clock::Timestamp,
    http_server::pipelined::{self, Handler, Limits},
    standin,
};
use http::{HeaderMap, HeaderValue, Method, Request, Response, request::Parts};
use serde_json::{Value, json};
use tokio::{net::TcpListener, time::sleep};
use tokio_util::sync::CancellationToken;

use super::upstream::{self, TroubledAnswer};
use crate::soak::store::Store;

/// Host of the route of the tests.
pub const HOST: &str = "crowds.example";
/// Path of the route of the tests.
pub const ROUTED_PATH: &str = "/orders/1";
/// A path without a route.
pub const UNROUTED_PATH: &str = "/nowhere";
/// Path of the readiness check.
pub const READINESS_PATH: &str = "/readiness";
/// Longest wait for a node to serve, and for one ordinary request to be answered.
pub const WAIT: Duration = Duration::from_secs(60);

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
const STORE_PORT: u16 = 7210;

/// Limits of a node and of its configuration.
#[derive(Debug, Clone, Copy)]
pub struct WorldLimits {
    pub memory_mb: u64,
    pub max_descriptors: u64,
    pub max_body_bytes: usize,
    pub route_timeout_s: u64,
}

/// Troubles that exist before the nodes start.
#[derive(Debug, Default)]
pub struct Setup {
    /// Answer of the upstream of the last node to requests for `upstream::TROUBLED_PATH`.
    pub troubled: Option<TroubledAnswer>,
    /// Objects of the store that another writer has written: kind, name and content.
    pub objects: Vec<(&'static str, &'static str, Value)>,
}

/// Addresses of a node's listeners.
#[derive(Debug, Clone, Copy)]
pub struct Addresses {
    pub callers: SocketAddr,
    pub peers: SocketAddr,
    pub readiness: SocketAddr,
    pub heartbeats: SocketAddr,
    pub operators: SocketAddr,
    pub upstream: SocketAddr,
}

/// A running node; it is killed when this is dropped.
pub struct Node {
    pub addresses: Addresses,
    /// Requests that have run at its upstream.
    pub runs: Arc<AtomicUsize>,
    process: Child,
    stop: CancellationToken,
}

impl Drop for Node {
    fn drop(&mut self) {
        self.stop.cancel();
        // The process may have ended already.
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// The store and the nodes of a test.
pub struct World {
    pub nodes: Vec<Node>,
    stop: CancellationToken,
}

impl Drop for World {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

impl World {
    /// Starts one node for each service, and waits until they serve; the route leads to the last one.
    pub async fn start(
        folder: &Path,
        network: u8,
        services: &[&str],
        limits: WorldLimits,
    ) -> anyhow::Result<Self> {
        let nodes: Vec<_> = services.iter().map(|service| (*service, limits)).collect();
        Self::start_nodes(folder, network, &nodes).await
    }

    /// The same with limits for each node; the configuration has those of the first one.
    pub async fn start_nodes(
        folder: &Path,
        network: u8,
        services: &[(&str, WorldLimits)],
    ) -> anyhow::Result<Self> {
        Self::start_with(folder, network, services, Setup::default()).await
    }

    /// The same with troubles from the start.
    pub async fn start_with(
        folder: &Path,
        network: u8,
        services: &[(&str, WorldLimits)],
        Setup { mut troubled, objects }: Setup,
    ) -> anyhow::Result<Self> {
        let stop = CancellationToken::new();
        let store_address = SocketAddr::new(loopback_address(network, 1), STORE_PORT);
        let (store, store_address) = Store::start(&store_address.to_string(), stop.clone()).await?;
        let (service, _) = services.last().context("a service")?;
        store.write("config", "main", configuration(service, services[0].1));
        for (kind, name, spec) in objects {
            store.write(kind, name, spec);
        }
        let mut nodes = Vec::new();
        for (index, (service, limits)) in services.iter().enumerate() {
            let address = loopback_address(network, u8::try_from(index)? + 2);
            let troubled = troubled.take_if(|_| index + 1 == services.len());
            let node = Node::start(folder, address, service, store_address, *limits, troubled);
            nodes.push(node.await?);
        }
        let world = Self { nodes, stop };
        world.wait_for_request().await.context("before the crowd")?;
        Ok(world)
    }

    /// The node that the crowd connects to.
    pub fn entry(&self) -> &Node {
        &self.nodes[0]
    }

    /// Sends ordinary requests until one is answered by the upstream.
    pub async fn wait_for_request(&self) -> anyhow::Result<()> {
        let url = format!("http://{}{ROUTED_PATH}", self.entry().addresses.callers);
        let headers = [("host", HOST), ("x-attempt-id", "ordinary"), ("x-deadline-ms", "5000")];
        let deadline = Instant::now() + WAIT;
        loop {
            let client = standin::new_client();
            let call = standin::http_call(&client, Method::GET, &url, &headers, "");
            let reply = tokio::time::timeout(WAIT, call).await;
            match reply {
                Ok(Ok(reply)) if reply.status == 200 => return Ok(()),
                _ if Instant::now() < deadline => sleep(CHECK_INTERVAL).await,
                Ok(Ok(reply)) => anyhow::bail!("answered {}: {:?}", reply.status, reply.body),
                Ok(Err(error)) => return Err(error),
                Err(_) => anyhow::bail!("no answer"),
            }
        }
    }
}

impl Node {
    async fn start(
        folder: &Path,
        address: IpAddr,
        service: &str,
        store: SocketAddr,
        limits: WorldLimits,
        troubled: Option<TroubledAnswer>,
    ) -> anyhow::Result<Self> {
        let at = |port: u16| SocketAddr::new(address, port);
        let addresses = Addresses {
            callers: at(7201),
            peers: at(7202),
            readiness: at(7203),
            heartbeats: at(7204),
            operators: at(7205),
            upstream: at(7206),
        };
        let name = format!("node-{address}");
        let settings = folder.join(format!("{name}.json"));
        let text = json!({
            "instance": name,
            "zone": "zone-0",
            "service": service,
            "upstream": addresses.upstream.to_string(),
            "listen": {
                "callers": addresses.callers.to_string(),
                "peers": addresses.peers.to_string(),
                "readiness": addresses.readiness.to_string(),
                "heartbeats": addresses.heartbeats.to_string(),
                "operators": addresses.operators.to_string(),
            },
            "store": { "address": store.to_string() },
            "bounds": { "revoke": "5s", "revokeFailClosed": true },
            "limits": {
                "memory_mb": limits.memory_mb,
                "max_descriptors": limits.max_descriptors,
            },
            "log": { "level": "info", "format": "json" },
        });
        std::fs::write(&settings, text.to_string())?;
        let stop = CancellationToken::new();
        let runs = Arc::new(AtomicUsize::new(0));
        let listener = TcpListener::bind(addresses.upstream).await?;
        let slots = if troubled.is_some() { upstream::SLOTS } else { 64 };
        match troubled {
            Some(answer) => {
                tokio::spawn(upstream::serve(listener, stop.clone(), upstream_id(), answer));
            }
            None => {
                let upstream = Upstream { runs: runs.clone() };
                tokio::spawn(pipelined::serve(listener, stop.clone(), stop.clone(), upstream));
            }
        }
        let heartbeat = heartbeat(service, addresses, slots);
        let output = File::create(folder.join(format!("{name}.log")))?;
        let process = Command::new(env!("CARGO_BIN_EXE_hibiscusd"))
            .args(["mesh", "--settings"])
            .arg(&settings)
            .stdin(Stdio::null())
            .stdout(output.try_clone()?)
            .stderr(output)
            .spawn()?;
        tokio::spawn(send_heartbeats(addresses.heartbeats, heartbeat, stop.clone()));
        Ok(Self { addresses, runs, process, stop })
    }

    /// Whether the process runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.process.try_wait(), Ok(None))
    }

    /// Largest resident memory of the process since its start, in KiB.
    pub fn peak_memory_kb(&self) -> anyhow::Result<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.process.id()))?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let number = line.and_then(|line| line.split_whitespace().next());
        Ok(number.context("no VmHWM")?.parse()?)
    }

    /// Most bytes that the process has reserved in its memory budget at a time.
    pub async fn peak_reserved_bytes(&self) -> anyhow::Result<u64> {
        let url = format!("http://{}/state", self.addresses.operators);
        let client = standin::new_client();
        let call = standin::http_call(&client, Method::GET, &url, &[], "");
        call.await?.json()["memory_peak_bytes"].as_u64().context("no peak in the state dump")
    }

    /// Number of open descriptors of the process.
    pub fn descriptors(&self) -> anyhow::Result<usize> {
        Ok(std::fs::read_dir(format!("/proc/{}/fd", self.process.id()))?.count())
    }
}

/// Address of one of the processes of a test; each test uses a network of its own.
fn loopback_address(network: u8, number: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, 71, network, number))
}

fn configuration(service: &str, limits: WorldLimits) -> Value {
    let timeout = format!("{}s", limits.route_timeout_s);
    json!({ "version": 1, "resources": [
        {
            "resourceType": "routes",
            "metadata": { "name": "orders" },
            "spec": {
                "host": HOST, "pathPrefix": "/orders/", "kind": "safe", "service": service,
                "timeout": timeout, "aim": "500ms", "priority": 1, "maxAttempts": 1,
                "public": true,
            },
        },
        {
            "resourceType": "services",
            "metadata": { "name": service },
            "spec": { "healthPath": "/health", "maxConnections": 500 },
        },
        {
            "resourceType": "limits",
            "metadata": {},
            "spec": {
                "maxHeaderBytes": 16384, "maxBodyBytes": limits.max_body_bytes,
                "headerTimeout": "3s", "idleTimeout": "15s",
            },
        },
    ]})
}

fn heartbeat(service: &str, addresses: Addresses, slots: u32) -> impl Fn(u64) -> Value + use<> {
    let service = service.to_owned();
    move |sequence| {
        json!({
            "address": addresses.upstream.to_string(),
            "born": 1,
            "info": { "service": service, "version": "v1", "zone": "zone-0", "slots": slots },
            "status": { "state": "ready", "sequence": sequence, "coldRemaining": "0ms" },
        })
    }
}

async fn send_heartbeats(
    node: SocketAddr,
    heartbeat: impl Fn(u64) -> Value + Send,
    stop: CancellationToken,
) {
    let client = standin::new_client();
    let url = format!("http://{node}/instances/{}", upstream_id());
    for sequence in 1.. {
        let body = heartbeat(sequence).to_string();
        let call = standin::http_call(&client, Method::PUT, &url, &[], body);
        // The node may not listen yet.
        let _ = tokio::time::timeout(Duration::from_secs(1), call).await;
        tokio::select! {
            () = sleep(HEARTBEAT_INTERVAL) => {}
            () = stop.cancelled() => return,
        }
    }
}

fn upstream_id() -> &'static str {
    "u-1"
}

/// An upstream that answers each request at once with the length of its body.
#[derive(Debug, Clone)]
struct Upstream {
    runs: Arc<AtomicUsize>,
}

impl Handler for Upstream {
    fn limits(&self) -> Limits {
        Limits {
            max_header_bytes: 1 << 20,
            max_body_bytes: 256 << 20,
            request_timeout: WAIT,
            idle_timeout: WAIT,
            close_above_connections: 10_000,
        }
    }

    fn may_overlap(&self, _: &Parts) -> bool {
        true
    }

    fn is_closing(&self) -> bool {
        false
    }

    fn answer(
        &self,
        request: Request<Bytes>,
        _: Timestamp,
    ) -> impl Future<Output = Response<Bytes>> + Send + 'static {
        let mut headers = HeaderMap::new();
        if request.uri().path() == "/health" {
            headers.insert("x-instance-id", HeaderValue::from_static(upstream_id()));
            headers.insert("x-instance-load", HeaderValue::from_static("0,0,64"));
        } else {
            self.runs.fetch_add(1, Ordering::Relaxed);
            let id = request.headers().get("x-attempt-id").cloned();
            let id = id.unwrap_or(HeaderValue::from_static(""));
            headers.insert("x-response-seal", id.clone());
            headers.insert("x-attempt-id", id);
        }
        let mut response = Response::new(Bytes::from(request.body().len().to_string()));
        *response.headers_mut() = headers;
        std::future::ready(response)
    }
}
