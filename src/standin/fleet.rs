//! Fleets of real processes on the loopback interface, for tests and measurements.

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

/// Folders that a fleet uses.
#[derive(Debug, Clone)]
pub struct FleetOptions {
    /// Folder that contains the built programs.
    pub programs: PathBuf,
    /// Folder for settings files and logs.
    pub folder: PathBuf,
}

/// Options of a node and its local upstream.
#[derive(Debug, Clone, Default)]
pub struct NodeOptions {
    /// Availability zone.
    pub zone: String,
    /// Service of the upstream; if it is empty, no upstream is started.
    pub service: String,
    /// Requests that the upstream runs at the same time; at least one.
    pub slots: u32,
    /// Time that a request occupies a slot of the upstream, in milliseconds.
    pub service_time_ms: u64,
    /// Path that the upstream calls through its node during each request.
    pub call_path: Option<String>,
}

/// A started node.
#[derive(Debug)]
pub struct FleetNode {
    /// Name of the instance.
    pub instance: String,
    /// Addresses of its listeners.
    pub addresses: BoundAddresses,
    /// Process of the node, `hibiscusd`.
    pub daemon: Child,
    /// Process of the local upstream.
    pub upstream: Option<Child>,
    /// Address that the upstream listens on.
    pub upstream_address: Option<SocketAddr>,
    options: NodeOptions,
}

/// A fleet of real processes, which are killed when it is dropped.
#[derive(Debug)]
pub struct Fleet {
    options: FleetOptions,
    /// Address of the platform stand-in.
    pub platform: SocketAddr,
    platform_process: Child,
    /// The nodes, in the order in which they were added.
    pub nodes: Vec<FleetNode>,
    /// Fields that replace those of the default settings, for daemons started from now on.
    pub settings: Value,
    /// Whether upstreams started from now on log the bodies of their requests; see [`Fleet::logged_bodies`].
    pub log_runs: bool,
}

/// An HTTP answer with its complete body.
#[derive(Debug)]
pub struct HttpReply {
    /// Status code.
    pub status: StatusCode,
    /// Headers of the answer.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

impl HttpReply {
    /// Value of a header; empty if the header is missing or not text.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
    }

    /// The body as JSON; null if it is not JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }
}

/// Makes one HTTP call and reads the complete answer.
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
    /// Creates a fleet without nodes and starts its platform stand-in.
    pub fn start(options: FleetOptions) -> anyhow::Result<Self> {
        let mut process = spawn(
            &options.programs.join("hibiscus-standin"),
            &["platform", "--listen", ANY_PORT],
            &options.folder.join("platform.log"),
        )?;
        let platform = read_first_line(&mut process)?.trim().parse()?;
        Ok(Self {
            options,
            platform,
            platform_process: process,
            nodes: Vec::new(),
            settings: json!({}),
            log_runs: false,
        })
    }

    /// Sets the faults of the platform stand-in; returns its counters `calls` and `writes`.
    pub async fn set_faults(&self, faults: &FaultSettings) -> anyhow::Result<Value> {
        let body = serde_json::to_string(faults)?;
        self.call_faults(Method::PUT, body).await
    }

    /// Reads the counters of the platform stand-in: `calls` and `writes`.
    pub async fn platform_counters(&self) -> anyhow::Result<Value> {
        self.call_faults(Method::GET, String::new()).await
    }

    async fn call_faults(&self, method: Method, body: String) -> anyhow::Result<Value> {
        let url = format!("http://{}/faults", self.platform);
        let reply = http_call(&new_client(), method, &url, &[], body).await?;
        anyhow::ensure!(
            reply.status == StatusCode::OK,
            "/faults answered {}: {:?}",
            reply.status,
            reply.body
        );
        Ok(reply.json())
    }

    /// Starts a node and its local upstream; returns the index of the node.
    pub fn add_node(&mut self, options: NodeOptions) -> anyhow::Result<usize> {
        let index = self.nodes.len();
        let instance = format!("i{index:02}");
        let (daemon, addresses) = self.start_daemon(&instance, &options)?;
        let node = self.start_node_upstream(instance, addresses, daemon, options)?;
        self.nodes.push(node);
        Ok(index)
    }

    /// Kills the daemon and the upstream of a node and starts both again.
    pub fn restart_node(&mut self, index: usize) -> anyhow::Result<()> {
        self.kill_node(index)?;
        let (instance, options) = {
            let node = &self.nodes[index];
            (node.instance.clone(), node.options.clone())
        };
        let (daemon, addresses) = self.start_daemon(&instance, &options)?;
        self.nodes[index] = self.start_node_upstream(instance, addresses, daemon, options)?;
        Ok(())
    }

    /// Kills the daemon and the upstream of a node.
    pub fn kill_node(&mut self, index: usize) -> anyhow::Result<()> {
        let node = &mut self.nodes[index];
        kill_and_wait(&mut node.daemon)?;
        if let Some(upstream) = &mut node.upstream {
            kill_and_wait(upstream)?;
        }
        Ok(())
    }

    /// Kills the upstream of a node, unless it has ended, and starts another one.
    pub fn restart_upstream(&mut self, index: usize) -> anyhow::Result<()> {
        if let Some(upstream) = &mut self.nodes[index].upstream {
            kill_and_wait(upstream)?;
        }
        let (upstream, address) = self.start_upstream(&self.nodes[index])?;
        self.nodes[index].upstream = Some(upstream);
        self.nodes[index].upstream_address = Some(address);
        Ok(())
    }

    /// The bodies of the requests that the upstreams of a node have run, including processes that
    /// have ended. Needs [`Fleet::log_runs`].
    pub fn logged_bodies(&self, index: usize) -> Vec<String> {
        let log = std::fs::read_to_string(self.run_log(&self.nodes[index].instance));
        log.unwrap_or_default().lines().map(str::to_owned).collect()
    }

    /// Kills the platform stand-in.
    pub fn kill_platform(&mut self) -> anyhow::Result<()> {
        kill_and_wait(&mut self.platform_process)
    }

    /// Sends SIGTERM to a daemon.
    pub fn terminate_daemon(&self, index: usize) -> anyhow::Result<()> {
        send_signal(&self.nodes[index].daemon, rustix::process::Signal::TERM)
    }

    /// Pauses a daemon with SIGSTOP.
    pub fn pause_daemon(&self, index: usize) -> anyhow::Result<()> {
        send_signal(&self.nodes[index].daemon, rustix::process::Signal::STOP)
    }

    /// Resumes a paused daemon with SIGCONT.
    pub fn resume_daemon(&self, index: usize) -> anyhow::Result<()> {
        send_signal(&self.nodes[index].daemon, rustix::process::Signal::CONT)
    }

    /// URL of a path on the callers' listener of a node.
    pub fn caller_url(&self, index: usize, path: &str) -> String {
        format!("http://{}{path}", self.nodes[index].addresses.callers)
    }

    /// URL of a path on the operators' listener of a node.
    pub fn operator_url(&self, index: usize, path: &str) -> String {
        format!("http://{}{path}", self.nodes[index].addresses.operators)
    }

    /// Waits until `condition` has held for the state dump of each node, one node after the other.
    /// `what` describes it in the error after `limit`.
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
            Err(_) => bail!("condition does not hold on every node after {limit:?}: {what}"),
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
        let addresses = serde_json::from_str(&read_first_line(&mut daemon)?)?;
        Ok((daemon, addresses))
    }

    /// Starts the upstream of a started daemon, if it has one.
    fn start_node_upstream(
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
        if let Some(path) = &options.call_path {
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
        let address = read_first_line(&mut upstream)?.trim().parse()?;
        Ok((upstream, address))
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for index in 0..self.nodes.len() {
            let _ = self.kill_node(index);
        }
        let _ = kill_and_wait(&mut self.platform_process);
    }
}

/// An HTTP client that several tasks can share; it keeps its connections open.
pub type HttpClient = Arc<Client<HttpConnector, Full<Bytes>>>;

/// Creates an HTTP client that sends small requests without delay (`TCP_NODELAY`).
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

/// Reads the line that a process prints when it is ready.
fn read_first_line(process: &mut Child) -> anyhow::Result<String> {
    let output =
        process.stdout.take().context("the standard output of the process is not available")?;
    let mut line = String::new();
    BufReader::new(output).read_line(&mut line)?;
    if line.is_empty() {
        bail!("the process ended before it printed its address: {}", process.wait()?);
    }
    Ok(line)
}

fn kill_and_wait(process: &mut Child) -> anyhow::Result<()> {
    // SIGKILL ends a paused process too, unlike other signals.
    process.kill()?;
    process.wait()?;
    Ok(())
}

fn send_signal(process: &Child, signal: rustix::process::Signal) -> anyhow::Result<()> {
    let id = i32::try_from(process.id()).ok().and_then(rustix::process::Pid::from_raw);
    rustix::process::kill_process(id.context("the process id is not valid")?, signal)?;
    Ok(())
}
