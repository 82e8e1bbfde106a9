//! A fleet of real nodes on loopback addresses, each with an upstream, callers and links that can
//! fail.

use std::{
    collections::HashMap,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use anyhow::Context as _;
use hibiscusdoor::standin;
use http::Method;
use parking_lot::Mutex;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::json;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use super::{
    callers::Caller,
    plan::{self, Fault, ORGANISATIONS},
    proxy::{LinkFault, Proxy},
    record::{KeyState, Record},
    store::{Store, StoreFault},
    upstream::{Upstream, UpstreamConfig, UpstreamFault},
};

/// Ports of the listeners of a node and of its proxies. Each node has its own address.
const CALLERS_PORT: u16 = 7101;
const PEERS_PORT: u16 = 7102;
const READINESS_PORT: u16 = 7103;
const HEARTBEATS_PORT: u16 = 7104;
const OPERATORS_PORT: u16 = 7105;
const UPSTREAM_PORT: u16 = 7106;
const PEERS_PROXY_PORT: u16 = 7107;
const UPSTREAM_PROXY_PORT: u16 = 7108;
const STORE_PROXY_PORT: u16 = 7109;
const STORE_PORT: u16 = 7110;
/// Time between two heartbeats of an upstream, unless a test sets another.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
/// Pause before an upstream or a node is restarted.
const RESTART_DELAY: Duration = Duration::from_millis(300);
/// Limit that an upstream names; its node receives several times as many requests.
const NAMED_LIMIT_PER_S: f64 = 3.0;
/// Time after SIGTERM until a node that still runs is killed.
const NODE_STOP_TIMEOUT: Duration = Duration::from_secs(6);
/// Longest wait until the fleet serves requests, at the start and after the last fault. This is the
/// platform's bound on recovery.
const RECOVERY_LIMIT: Duration = Duration::from_secs(15);
/// Fraction of the requests that a working fleet must serve. It is low because one organisation
/// exceeds its rate and keys may have been withdrawn.
const MIN_SERVED_RATIO: f64 = 0.25;
/// Interval over which the fraction of served requests is measured.
const SERVED_CHECK_INTERVAL: Duration = Duration::from_secs(1);
const CALLERS_PER_NODE: usize = 3;
/// Number of keys of an organisation at the start.
const KEYS_PER_ORGANISATION: usize = 3;

/// The keys that callers use, by organisation. Withdrawn keys stay in the list, so callers continue
/// to send them.
#[derive(Debug, Clone, Default)]
pub struct Keys(Arc<Mutex<HashMap<String, Vec<String>>>>);

impl Keys {
    /// Returns one of an organisation's keys, withdrawn ones included.
    pub fn pick(&self, organisation: &str, number: usize) -> String {
        let keys = self.0.lock();
        let own = &keys[organisation];
        own[number % own.len()].clone()
    }
}

struct Node {
    address: IpAddr,
    settings: PathBuf,
    log: PathBuf,
    process: Mutex<Option<Child>>,
    /// Proxies in front of the node's listener for peers, its upstream and the store.
    peers: Arc<Proxy>,
    to_upstream: Arc<Proxy>,
    to_store: Arc<Proxy>,
    upstream: Mutex<Arc<Upstream>>,
    upstream_config: UpstreamConfig,
}

/// The fleet, its store and the record of the run.
pub struct World {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    nodes: Vec<Node>,
    keys: Keys,
    withdrawn: Mutex<Vec<String>>,
    /// Requests per second that cold upstreams accept by the configuration.
    cold_per_s: Mutex<Option<f64>>,
    version: AtomicU64,
    next_upstream: AtomicU64,
    stop: CancellationToken,
}

impl Drop for World {
    fn drop(&mut self) {
        self.stop.cancel();
        for node in &self.nodes {
            if let Some(mut child) = node.process.lock().take() {
                // The process may have ended already.
                let _ = child.kill();
                let _ = child.wait();
            }
        }
    }
}

impl World {
    /// Starts a fleet of `count` nodes; `network` selects a range of addresses that no other fleet
    /// uses.
    pub async fn start(
        program: &Path,
        folder: &Path,
        count: usize,
        network: u16,
    ) -> anyhow::Result<Arc<Self>> {
        Self::start_with_heartbeats(program, folder, count, network, HEARTBEAT_INTERVAL).await
    }

    /// Starts a fleet as `start` does, with these bounds of the platform in addition.
    pub async fn start_with_bounds(
        program: &Path,
        folder: &Path,
        count: usize,
        network: u16,
        bounds: serde_json::Value,
    ) -> anyhow::Result<Arc<Self>> {
        Self::start_fleet(program, folder, count, network, HEARTBEAT_INTERVAL, bounds).await
    }

    /// Starts a fleet as `start` does, with this time between two heartbeats of an upstream.
    pub async fn start_with_heartbeats(
        program: &Path,
        folder: &Path,
        count: usize,
        network: u16,
        heartbeat_interval: Duration,
    ) -> anyhow::Result<Arc<Self>> {
        Self::start_fleet(program, folder, count, network, heartbeat_interval, json!({})).await
    }

    async fn start_fleet(
        program: &Path,
        folder: &Path,
        count: usize,
        network: u16,
        heartbeat_interval: Duration,
        bounds: serde_json::Value,
    ) -> anyhow::Result<Arc<Self>> {
        let record = Arc::new(Record::default());
        let stop = CancellationToken::new();
        let store_address = SocketAddr::new(loopback_address(network, 0), STORE_PORT).to_string();
        let (store, store_address) = Store::start(&store_address, stop.clone()).await?;
        let keys = Keys::default();
        for name in ORGANISATIONS {
            let own: Vec<String> =
                (0..KEYS_PER_ORGANISATION).map(|number| format!("key-{name}-{number}")).collect();
            for key in &own {
                let state = KeyState { withdrawn_at: None };
                record.keys.lock().insert(key.clone(), state);
            }
            keys.0.lock().insert(name.to_owned(), own);
        }
        let mut nodes = Vec::new();
        let services = plan::services();
        for index in 0..count {
            let address = loopback_address(network, index + 1);
            let at = |port| SocketAddr::new(address, port);
            let upstream_config = UpstreamConfig {
                plan: services[index % services.len()].clone(),
                zone: format!("zone-{}", index / services.len() % 3),
                listen: at(UPSTREAM_PORT),
                announced: at(UPSTREAM_PROXY_PORT),
                heartbeat_interval,
                node_heartbeats: at(HEARTBEATS_PORT),
                node_callers: at(CALLERS_PORT),
            };
            let peers = Proxy::start(at(PEERS_PROXY_PORT), at(PEERS_PORT), stop.clone()).await?;
            let to_upstream = Proxy::start_recording(
                at(UPSTREAM_PROXY_PORT),
                at(UPSTREAM_PORT),
                Some(record.clone()),
                stop.clone(),
            )
            .await?;
            let to_store = Proxy::start(at(STORE_PROXY_PORT), store_address, stop.clone()).await?;
            let settings = folder.join(format!("node-{index}.json"));
            std::fs::write(&settings, settings_text(index, &upstream_config, address, &bounds)?)?;
            let upstream =
                Upstream::start(format!("u-{index}-0"), upstream_config.clone(), record.clone())
                    .await?;
            let log = folder.join(format!("node-{index}.log"));
            let process = Mutex::new(Some(start_node(program, &settings, &log)?));
            let upstream = Mutex::new(upstream);
            nodes.push(Node {
                address,
                settings,
                log,
                process,
                peers,
                to_upstream,
                to_store,
                upstream,
                upstream_config,
            });
        }
        let world = Arc::new(Self {
            record,
            store,
            nodes,
            keys,
            withdrawn: Mutex::default(),
            cold_per_s: Mutex::default(),
            version: AtomicU64::new(0),
            next_upstream: AtomicU64::new(1),
            stop,
        });
        world.write_configuration();
        Ok(world)
    }

    /// Starts the callers of all nodes.
    pub fn start_callers(&self, seed: u64) {
        for (index, node) in self.nodes.iter().enumerate() {
            for number in 0..CALLERS_PER_NODE {
                let caller = Caller {
                    node: index,
                    address: SocketAddr::new(node.address, CALLERS_PORT),
                    keys: self.keys.clone(),
                    record: self.record.clone(),
                    seed: seed ^ (index * CALLERS_PER_NODE + number) as u64,
                    number,
                };
                tokio::spawn(caller.run(self.stop.clone()));
            }
        }
    }

    /// Waits until the fleet serves enough of the requests of its callers.
    pub async fn wait_until_serving(&self) -> anyhow::Result<()> {
        let deadline = Instant::now() + RECOVERY_LIMIT;
        let mut ratio = 0.0;
        while Instant::now() < deadline {
            let since = Instant::now();
            sleep(SERVED_CHECK_INTERVAL).await;
            ratio = self.record.served_ratio(since);
            if ratio >= MIN_SERVED_RATIO {
                return Ok(());
            }
        }
        anyhow::bail!(
            "the fleet served a fraction of {ratio:.2} of the requests in the last second, expected at \
             least {MIN_SERVED_RATIO} within 15 s"
        )
    }

    /// Stops the callers, and waits 200 ms for responses to requests in progress.
    pub async fn stop_callers(&self) {
        self.stop.cancel();
        sleep(Duration::from_millis(200)).await;
    }

    /// Writes a new configuration without the withdrawn keys to the store.
    pub fn write_configuration(&self) {
        self.version.fetch_add(1, Ordering::Relaxed);
        self.write_configuration_again();
    }

    /// Writes the last configuration again, with the same version of the operators, as after the store has
    /// lost it.
    pub fn write_configuration_again(&self) {
        let version = self.version.load(Ordering::Relaxed);
        let withdrawn = self.withdrawn.lock().clone();
        let mut keys_in_force = self.keys.0.lock().clone();
        for keys in keys_in_force.values_mut() {
            keys.retain(|key| !withdrawn.contains(key));
        }
        let mut configuration = plan::configuration(version, &keys_in_force);
        if let Some(per_s) = *self.cold_per_s.lock() {
            let resources = configuration["resources"].as_array_mut().into_iter().flatten();
            for service in resources.filter(|it| it["resourceType"] == "services") {
                service["spec"]["coldStart"] = json!("3s");
                service["spec"]["coldPerS"] = json!(per_s);
            }
        }
        self.store.write("config", "main", configuration);
        let now = Instant::now();
        for key in &withdrawn {
            if let Some(state) = self.record.keys.lock().get_mut(key) {
                state.withdrawn_at.get_or_insert(now);
            }
        }
    }

    /// Writes a configuration in which cold upstreams accept this many requests per second.
    pub fn configure_cold_rate(&self, per_s: f64) {
        *self.cold_per_s.lock() = Some(per_s);
        self.write_configuration();
    }

    /// Returns a key of an organisation.
    pub fn key(&self, organisation: &str) -> String {
        self.keys.pick(organisation, 0)
    }

    /// Returns the present upstream of a node.
    pub fn upstream(&self, index: usize) -> Arc<Upstream> {
        self.nodes[index].upstream.lock().clone()
    }

    /// Returns the state dump of a node.
    pub async fn state(&self, index: usize) -> anyhow::Result<serde_json::Value> {
        let url = format!("http://{}/state", self.operators(index));
        Ok(standin::http_call(&standin::new_client(), Method::GET, &url, &[], "").await?.json())
    }

    /// Waits until all nodes have the last configuration in force; returns the time that it took.
    pub async fn wait_until_in_force(&self) -> anyhow::Result<Duration> {
        let since = Instant::now();
        let version = self.version.load(Ordering::Relaxed);
        for index in 0..self.nodes.len() {
            while self.state(index).await.is_ok_and(|state| state["revision"] != version) {
                anyhow::ensure!(
                    since.elapsed() < RECOVERY_LIMIT,
                    "node {index} does not put version {version} in force: {}",
                    self.state(index).await?
                );
                sleep(Duration::from_millis(20)).await;
            }
        }
        Ok(since.elapsed())
    }

    /// Injects a fault, and ends it after its duration.
    pub async fn inject_fault(self: Arc<Self>, program: &Path, fault: Fault) -> anyhow::Result<()> {
        match fault {
            Fault::StopNode(index) => return self.stop_node(program, index).await,
            Fault::HangUp(index) => return self.signal(index, Signal::HUP),
            Fault::WithdrawKey(number) => {
                self.withdraw_key(number);
                return Ok(());
            }
            Fault::ChangeConfiguration => {
                self.write_configuration();
                return Ok(());
            }
            _ => {}
        }
        self.record.record_disturbance(None);
        let node = |index: usize| &self.nodes[index % self.nodes.len()];
        match fault {
            Fault::KillNode(index) => self.kill_node(program, index).await?,
            Fault::PauseNode(index, span) => {
                self.signal(index, Signal::STOP)?;
                sleep(span).await;
                self.signal(index, Signal::CONT)?;
            }
            Fault::DelayPeers(index, delay) => {
                hold_link_fault(&node(index).peers, LinkFault::Delay(delay), delay * 10).await;
            }
            Fault::SilencePeers(index, span) => {
                hold_link_fault(&node(index).peers, LinkFault::Silent, span).await;
            }
            Fault::NoPeerAnswers(index, span) => {
                hold_link_fault(&node(index).peers, LinkFault::NoAnswers, span).await;
            }
            Fault::ResetPeers(index) => node(index).peers.reset(),
            Fault::SilenceConnections(index) => {
                let node = node(index);
                for proxy in [&node.peers, &node.to_upstream, &node.to_store] {
                    proxy.silence_connections();
                }
            }
            Fault::CutFromStore(index, span) => {
                hold_link_fault(&node(index).to_store, LinkFault::Silent, span).await;
            }
            Fault::ResetUpstream(index) => node(index).to_upstream.reset(),
            Fault::SilenceUpstream(index, span) => {
                hold_link_fault(&node(index).to_upstream, LinkFault::Silent, span).await;
            }
            Fault::CrashUpstream(index) => {
                node(index).upstream.lock().crash();
                self.start_upstream(index).await?;
            }
            Fault::DrainUpstream(index) => {
                let leaving = node(index).upstream.lock().clone();
                leaving.drain().await;
                self.start_upstream(index).await?;
            }
            Fault::LeaveByAnswers(index) => {
                let leaving = node(index).upstream.lock().clone();
                leaving.leave_by_answers().await;
                self.start_upstream(index).await?;
            }
            Fault::SlowUpstream(index, span) => {
                self.hold_upstream_fault(index, UpstreamFault::Slow(span / 4), span).await;
            }
            Fault::SheddingUpstream(index, span) => {
                self.hold_upstream_fault(index, UpstreamFault::Sheds, span).await;
            }
            Fault::CrossingUpstream(index, span) => {
                self.hold_upstream_fault(index, UpstreamFault::MisdeliversAnswers, span).await;
            }
            Fault::LimitUpstream(index, span) => {
                let upstream = node(index).upstream.lock().clone();
                upstream.name_limit(NAMED_LIMIT_PER_S, span).await;
            }
            Fault::RestoreStore(span) => {
                let copy = self.store.copy();
                sleep(span).await;
                self.hold_store_fault(StoreFault::Silent, span / 4).await;
                self.store.restore(copy);
                self.write_configuration_again();
            }
            Fault::StoreUnavailable(span) => {
                self.hold_store_fault(StoreFault::Unavailable, span).await
            }
            Fault::StoreSilent(span) => self.hold_store_fault(StoreFault::Silent, span).await,
            Fault::StoreSlow(delay) => {
                self.hold_store_fault(StoreFault::Slow(delay), delay * 10).await
            }
            Fault::StoreLosesWrites(span) => {
                self.hold_store_fault(StoreFault::LosesWrites, span).await
            }
            Fault::StopNode(_)
            | Fault::HangUp(_)
            | Fault::WithdrawKey(_)
            | Fault::ChangeConfiguration => {}
        }
        self.record.record_disturbance(None);
        Ok(())
    }

    async fn hold_store_fault(&self, fault: StoreFault, span: Duration) {
        self.store.set_fault(fault);
        sleep(span).await;
        self.store.set_fault(StoreFault::None);
    }

    async fn hold_upstream_fault(&self, index: usize, fault: UpstreamFault, span: Duration) {
        let upstream = self.nodes[index % self.nodes.len()].upstream.lock().clone();
        upstream.set_fault(fault);
        sleep(span).await;
        upstream.set_fault(UpstreamFault::None);
    }

    async fn start_upstream(&self, index: usize) -> anyhow::Result<()> {
        sleep(RESTART_DELAY).await;
        let node = &self.nodes[index % self.nodes.len()];
        let number = self.next_upstream.fetch_add(1, Ordering::Relaxed);
        let id = format!("u-{}-{number}", index % self.nodes.len());
        // Another fault may have started an upstream on this address already.
        if let Ok(upstream) =
            Upstream::start(id, node.upstream_config.clone(), self.record.clone()).await
        {
            *node.upstream.lock() = upstream;
        }
        Ok(())
    }

    /// Withdraws the next key of an organisation, unless it is the last.
    fn withdraw_key(&self, number: usize) {
        let name = ORGANISATIONS[number % ORGANISATIONS.len()];
        let mut withdrawn = self.withdrawn.lock();
        let prefix = format!("key-{name}-");
        let withdrawn_count = withdrawn.iter().filter(|key| key.starts_with(&prefix)).count();
        // Each organisation keeps one key, so that its requests still test more than the refusal.
        if withdrawn_count + 1 < KEYS_PER_ORGANISATION {
            withdrawn.push(format!("{prefix}{withdrawn_count}"));
        }
        drop(withdrawn);
        self.write_configuration();
    }

    fn signal(&self, index: usize, signal: Signal) -> anyhow::Result<()> {
        let process = self.nodes[index % self.nodes.len()].process.lock();
        let Some(child) = process.as_ref() else { return Ok(()) };
        let pid = Pid::from_raw(child.id().cast_signed())
            .context("the process of the node has no valid id")?;
        kill_process(pid, signal)?;
        Ok(())
    }

    async fn kill_node(&self, program: &Path, index: usize) -> anyhow::Result<()> {
        let node = &self.nodes[index % self.nodes.len()];
        let Some(mut child) = node.process.lock().take() else { return Ok(()) };
        child.kill()?;
        child.wait()?;
        self.restart_node(program, node).await
    }

    /// Stops a node as planned (SIGTERM) and restarts it.
    async fn stop_node(&self, program: &Path, index: usize) -> anyhow::Result<()> {
        let node = &self.nodes[index % self.nodes.len()];
        self.record.stops.lock().push((index % self.nodes.len(), Instant::now()));
        self.signal(index, Signal::TERM)?;
        let Some(mut child) = node.process.lock().take() else { return Ok(()) };
        let until = Instant::now() + NODE_STOP_TIMEOUT;
        while child.try_wait()?.is_none() {
            if Instant::now() > until {
                child.kill()?;
                child.wait()?;
                break;
            }
            sleep(Duration::from_millis(20)).await;
        }
        self.restart_node(program, node).await
    }

    async fn restart_node(&self, program: &Path, node: &Node) -> anyhow::Result<()> {
        sleep(RESTART_DELAY).await;
        *node.process.lock() = Some(start_node(program, &node.settings, &node.log)?);
        Ok(())
    }

    /// Makes each request at the upstream of a node take this much longer.
    pub fn slow_upstream(&self, index: usize, extra: Duration) {
        self.nodes[index].upstream.lock().set_fault(UpstreamFault::Slow(extra));
    }

    /// Makes the open connections of other nodes to a node go silent for good; new ones work.
    pub fn silence_peers(&self, index: usize) {
        self.nodes[index].peers.silence_connections();
    }

    /// Returns the address of a node's listener for callers.
    pub fn callers(&self, index: usize) -> SocketAddr {
        SocketAddr::new(self.nodes[index].address, CALLERS_PORT)
    }

    /// Returns the address of a node's listener for operators.
    pub fn operators(&self, index: usize) -> SocketAddr {
        SocketAddr::new(self.nodes[index].address, OPERATORS_PORT)
    }

    /// Returns the nodes with a process that ended although no fault killed or stopped it.
    pub fn ended_nodes(&self) -> Vec<usize> {
        let mut ended = Vec::new();
        for (index, node) in self.nodes.iter().enumerate() {
            let mut process = node.process.lock();
            if process.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(Some(_)))) {
                ended.push(index);
            }
        }
        ended
    }
}

/// Sets the fault of a link for a time.
async fn hold_link_fault(proxy: &Proxy, fault: LinkFault, span: Duration) {
    proxy.set_fault(fault);
    sleep(span).await;
    proxy.set_fault(LinkFault::None);
}

/// Returns the loopback address of a node (the store has index 0). All of 127.0.0.0/8 is loopback,
/// so each node can have its own.
fn loopback_address(network: u16, index: usize) -> IpAddr {
    let [high, low] = network.to_be_bytes();
    let index = u8::try_from(index + 1).unwrap_or(u8::MAX);
    IpAddr::V4(Ipv4Addr::new(127, high.max(1), low, index))
}

fn settings_text(
    index: usize,
    upstream_config: &UpstreamConfig,
    address: IpAddr,
    bounds: &serde_json::Value,
) -> anyhow::Result<String> {
    let at = |port: u16| SocketAddr::new(address, port).to_string();
    let mut settings = json!({
        "instance": format!("node-{index}"),
        "zone": upstream_config.zone,
        "service": upstream_config.plan.name,
        "upstream": at(UPSTREAM_PROXY_PORT),
        "listen": {
            "callers": at(CALLERS_PORT),
            "peers": at(PEERS_PORT),
            "readiness": at(READINESS_PORT),
            "heartbeats": at(HEARTBEATS_PORT),
            "operators": at(OPERATORS_PORT),
        },
        "announced_peers": at(PEERS_PROXY_PORT),
        "store": { "address": at(STORE_PROXY_PORT) },
        "bounds": {
            "drain": "2s", "grace": "6s", "configApply": "2s", "revoke": "5s",
            "revokeFailClosed": true, "retryBudgetRatio": 0.2, "budgetWindow": "10s",
            "budgetSlack": 50, "quotaWindow": "5s",
        },
        "log": { "level": "info", "format": "json" },
    });
    for (name, value) in bounds.as_object().into_iter().flatten() {
        settings["bounds"][name] = value.clone();
    }
    Ok(serde_json::to_string_pretty(&settings)?)
}

/// Starts a node. Where `SOAK_OLD_PROGRAM` names the program of an earlier build, every second process
/// runs it, as in a fleet under upgrade.
fn start_node(program: &Path, settings: &Path, log: &Path) -> anyhow::Result<Child> {
    static STARTED: AtomicU64 = AtomicU64::new(0);
    let is_second = STARTED.fetch_add(1, Ordering::Relaxed) % 2 == 1;
    let old_program = std::env::var_os("SOAK_OLD_PROGRAM").filter(|_| is_second).map(PathBuf::from);
    let program = old_program.as_deref().unwrap_or(program);
    let output = std::fs::OpenOptions::new().create(true).append(true).open(log)?;
    let child = Command::new(program)
        .args(["mesh", "--settings"])
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(output.try_clone()?)
        .stderr(output)
        .spawn()?;
    Ok(child)
}
