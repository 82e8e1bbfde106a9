//! A fleet of real processes on loopback, for tests and measurements.

use std::{
    io::{BufRead as _, BufReader},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::Arc,
    time::Duration,
};

use anyhow::{Context as _, bail};
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, StatusCode};
use http_body_util::{BodyExt as _, Full};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde_json::{Value, json};

use crate::{node::BoundAddresses, standin::FaultSettings};

const ANY_PORT: &str = "127.0.0.1:0";
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Secret of every fleet that this module starts.
pub const FLEET_SECRET: &str = "a secret for fleets of stand-ins only";

/// Where the programs and files of a fleet are.
#[derive(Debug, Clone)]
pub struct FleetOptions {
    /// Folder of the built programs.
    pub programs: PathBuf,
    /// Folder for settings files and logs.
    pub folder: PathBuf,
}

/// One node to start, with the upstream beside it.
#[derive(Debug, Clone, Default)]
pub struct NodeOptions {
    /// Availability zone.
    pub zone: String,
    /// Service of the upstream; no upstream is started where it is empty.
    pub service: String,
    /// Requests that the upstream runs at once.
    pub slots: u32,
    /// Time that a request takes in a slot, in milliseconds.
    pub service_time_ms: u64,
    /// Path that the upstream calls for each request.
    pub calls: Option<String>,
}

/// A started node.
#[derive(Debug)]
pub struct FleetNode {
    /// Name of the instance.
    pub instance: String,
    /// Addresses of its listeners.
    pub addresses: BoundAddresses,
    /// The daemon.
    pub daemon: Child,
    /// The upstream beside it.
    pub upstream: Option<Child>,
    /// Address that the upstream listens on.
    pub upstream_address: Option<SocketAddr>,
    options: NodeOptions,
}

/// A fleet of real processes; all are killed when it is dropped.
#[derive(Debug)]
pub struct Fleet {
    options: FleetOptions,
    /// Address of the platform stand-in.
    pub platform: SocketAddr,
    platform_process: Child,
    /// The nodes.
    pub nodes: Vec<FleetNode>,
    /// Fields that take the place of those in the settings of nodes started later.
    pub settings: Value,
    /// Upstreams started later write the bodies that they run to files; see [`Fleet::runs`].
    pub log_runs: bool,
}

/// A whole HTTP answer.
#[derive(Debug)]
pub struct HttpReply {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl HttpReply {
    /// A header as text; empty where it is missing.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
    }

    /// The body as JSON; null where it is not JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }
}

/// Makes one HTTP call with a client that keeps its connections.
pub async fn http_call(
    client: &Client<HttpConnector, Full<Bytes>>,
    method: Method,
    url: &str,
    headers: &[(&str, &str)],
    body: impl Into<Bytes>,
) -> anyhow::Result<HttpReply> {
    let mut request = Request::builder().method(method).uri(url).body(Full::new(body.into()))?;
    for (name, value) in headers {
        let name = HeaderName::from_bytes(name.as_bytes())?;
        request.headers_mut().insert(name, HeaderValue::from_str(value)?);
    }
    let response = client.request(request).await?;
    let (parts, body) = response.into_parts();
    let body = body.collect().await?.to_bytes();
    Ok(HttpReply { status: parts.status, headers: parts.headers, body })
}

impl Fleet {
    /// Starts the platform stand-in.
    pub fn start(options: FleetOptions) -> anyhow::Result<Self> {
        let mut process = spawn(
            &options.programs.join("hibiscus-standin"),
            &["platform", "--listen", ANY_PORT],
            &options.folder.join("platform.log"),
        )?;
        let platform = first_line(&mut process)?.trim().parse()?;
        Ok(Self {
            options,
            platform,
            platform_process: process,
            nodes: Vec::new(),
            settings: json!({}),
            log_runs: false,
        })
    }

    /// Sets the faults of the platform stand-in; returns its counters.
    pub async fn set_faults(&self, faults: &FaultSettings) -> anyhow::Result<Value> {
        let body = serde_json::to_string(faults)?;
        self.call_faults(Method::PUT, body).await
    }

    /// Counters of the platform stand-in: `calls` and `writes`.
    pub async fn platform_counters(&self) -> anyhow::Result<Value> {
        self.call_faults(Method::GET, String::new()).await
    }

    async fn call_faults(&self, method: Method, body: String) -> anyhow::Result<Value> {
        let url = format!("http://{}/faults", self.platform);
        let reply = http_call(&new_client(), method, &url, &[], body).await?;
        anyhow::ensure!(reply.status == StatusCode::OK, "/faults: {:?}", reply.body);
        Ok(reply.json())
    }

    /// Starts a node and the upstream beside it; returns its index.
    pub fn add_node(&mut self, options: NodeOptions) -> anyhow::Result<usize> {
        let index = self.nodes.len();
        let instance = format!("i{index:02}");
        let (daemon, addresses) = self.start_daemon(&instance, &options)?;
        let node = self.with_upstream(instance, addresses, daemon, options)?;
        self.nodes.push(node);
        Ok(index)
    }

    /// Starts the daemon of a node again, with the upstream beside it.
    pub fn restart_node(&mut self, index: usize) -> anyhow::Result<()> {
        self.kill_node(index)?;
        let (instance, options) = {
            let node = &self.nodes[index];
            (node.instance.clone(), node.options.clone())
        };
        let (daemon, addresses) = self.start_daemon(&instance, &options)?;
        self.nodes[index] = self.with_upstream(instance, addresses, daemon, options)?;
        Ok(())
    }

    /// Kills the daemon and the upstream of a node.
    pub fn kill_node(&mut self, index: usize) -> anyhow::Result<()> {
        let node = &mut self.nodes[index];
        end(&mut node.daemon)?;
        if let Some(upstream) = &mut node.upstream {
            end(upstream)?;
        }
        Ok(())
    }

    /// Starts another upstream beside a node whose upstream ended.
    pub fn restart_upstream(&mut self, index: usize) -> anyhow::Result<()> {
        if let Some(upstream) = &mut self.nodes[index].upstream {
            end(upstream)?;
        }
        let (upstream, address) = self.start_upstream(&self.nodes[index])?;
        self.nodes[index].upstream = Some(upstream);
        self.nodes[index].upstream_address = Some(address);
        Ok(())
    }

    /// The bodies that the upstream of an instance ran, also those before it ended.
    pub fn runs(&self, index: usize) -> Vec<String> {
        let log = std::fs::read_to_string(self.run_log(&self.nodes[index].instance));
        log.unwrap_or_default().lines().map(str::to_owned).collect()
    }

    /// Kills the platform stand-in.
    pub fn kill_platform(&mut self) -> anyhow::Result<()> {
        end(&mut self.platform_process)
    }

    /// Sends SIGTERM to a daemon.
    pub fn terminate_daemon(&self, index: usize) -> anyhow::Result<()> {
        signal(&self.nodes[index].daemon, rustix::process::Signal::TERM)
    }

    /// Freezes a daemon.
    pub fn freeze_daemon(&self, index: usize) -> anyhow::Result<()> {
        signal(&self.nodes[index].daemon, rustix::process::Signal::STOP)
    }

    /// Lets a frozen daemon go on.
    pub fn thaw_daemon(&self, index: usize) -> anyhow::Result<()> {
        signal(&self.nodes[index].daemon, rustix::process::Signal::CONT)
    }

    /// URL of a path at the callers' listener of a node.
    pub fn caller_url(&self, index: usize, path: &str) -> String {
        format!("http://{}{path}", self.nodes[index].addresses.callers)
    }

    /// URL of a path at the operators' listener of a node.
    pub fn operator_url(&self, index: usize, path: &str) -> String {
        format!("http://{}{path}", self.nodes[index].addresses.operators)
    }

    /// Waits until `condition` holds for every node's state dump.
    pub async fn wait_for_state(
        &self,
        what: &str,
        limit: Duration,
        condition: impl Fn(&Value) -> bool,
    ) -> anyhow::Result<()> {
        let client = new_client();
        let indices: Vec<usize> = (0..self.nodes.len()).collect();
        let wait = async {
            for index in indices {
                loop {
                    let url = self.operator_url(index, "/state");
                    let reply = http_call(&client, Method::GET, &url, &[], Bytes::new()).await;
                    if reply.is_ok_and(|reply| condition(&reply.json())) {
                        break;
                    }
                    tokio::time::sleep(POLL_INTERVAL).await;
                }
            }
        };
        match tokio::time::timeout(limit, wait).await {
            Ok(()) => Ok(()),
            Err(_) => bail!("after {limit:?} this does not hold on every node: {what}"),
        }
    }

    fn start_daemon(
        &self,
        instance: &str,
        options: &NodeOptions,
    ) -> anyhow::Result<(Child, BoundAddresses)> {
        let mut settings = json!({
            "instance": instance,
            "zone": options.zone,
            "listen": {
                "callers": ANY_PORT,
                "upstream": ANY_PORT,
                "peers": ANY_PORT,
                "operators": ANY_PORT,
            },
            "platform": { "kind": "http", "address": self.platform },
            "fleet_secret": FLEET_SECRET,
        });
        for (field, value) in self.settings.as_object().into_iter().flatten() {
            settings[field] = value.clone();
        }
        let file = self.options.folder.join(format!("{instance}.json"));
        std::fs::write(&file, settings.to_string())?;
        let mut daemon = spawn(
            &self.options.programs.join("hibiscusd"),
            &["--settings", &file.display().to_string()],
            &self.options.folder.join(format!("{instance}.log")),
        )?;
        let addresses = serde_json::from_str(&first_line(&mut daemon)?)?;
        Ok((daemon, addresses))
    }

    fn with_upstream(
        &self,
        instance: String,
        addresses: BoundAddresses,
        daemon: Child,
        options: NodeOptions,
    ) -> anyhow::Result<FleetNode> {
        let mut node = FleetNode {
            instance,
            addresses,
            daemon,
            upstream: None,
            upstream_address: None,
            options,
        };
        if !node.options.service.is_empty() {
            let (upstream, address) = self.start_upstream(&node)?;
            node.upstream = Some(upstream);
            node.upstream_address = Some(address);
        }
        Ok(node)
    }

    fn run_log(&self, instance: &str) -> PathBuf {
        self.options.folder.join(format!("{instance}-runs.log"))
    }

    fn start_upstream(&self, node: &FleetNode) -> anyhow::Result<(Child, SocketAddr)> {
        let options = &node.options;
        let node_address = node.addresses.upstream.to_string();
        let slots = options.slots.max(1).to_string();
        let service_time = options.service_time_ms.to_string();
        let mut arguments = vec!["upstream", "--service", &options.service, "--listen", ANY_PORT];
        arguments.extend(["--node", &node_address, "--slots", &slots]);
        arguments.extend(["--service-time-ms", &service_time]);
        if let Some(path) = &options.calls {
            arguments.extend(["--calls", path]);
        }
        let run_log = self.run_log(&node.instance).display().to_string();
        if self.log_runs {
            arguments.extend(["--run-log", &run_log]);
        }
        let mut upstream = spawn(
            &self.options.programs.join("hibiscus-standin"),
            &arguments,
            &self.options.folder.join(format!("{}-upstream.log", node.instance)),
        )?;
        let address = first_line(&mut upstream)?.trim().parse()?;
        Ok((upstream, address))
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for index in 0..self.nodes.len() {
            let _ = self.kill_node(index);
        }
        let _ = end(&mut self.platform_process);
    }
}

/// An HTTP client that several tasks share.
pub type HttpClient = Arc<Client<HttpConnector, Full<Bytes>>>;

/// Makes an HTTP client.
pub fn new_client() -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    Arc::new(Client::builder(TokioExecutor::new()).build(connector))
}

fn spawn(program: &Path, arguments: &[&str], log: &Path) -> anyhow::Result<Child> {
    let log = std::fs::File::options().create(true).append(true).open(log)?;
    Command::new(program)
        .args(arguments)
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(log)
        .spawn()
        .with_context(|| format!("starting {}", program.display()))
}

fn first_line(process: &mut Child) -> anyhow::Result<String> {
    let output = process.stdout.take().context("the process has no output")?;
    let mut line = String::new();
    BufReader::new(output).read_line(&mut line)?;
    if line.is_empty() {
        bail!("the process ended before it was ready: {:?}", process.wait()?);
    }
    Ok(line)
}

fn end(process: &mut Child) -> anyhow::Result<()> {
    // A frozen process does not act on other signals, but SIGKILL ends it.
    process.kill()?;
    process.wait()?;
    Ok(())
}

fn signal(process: &Child, signal: rustix::process::Signal) -> anyhow::Result<()> {
    let id = i32::try_from(process.id()).ok().and_then(rustix::process::Pid::from_raw);
    rustix::process::kill_process(id.context("the process has no id")?, signal)?;
    Ok(())
}
