//! A fleet of real nodes on loopback, each with its upstream, callers and links that can fail.

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
use parking_lot::Mutex;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::json;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use super::{
    callers::Caller,
    plan::{self, Fault, ORGANISATIONS},
    proxy::{LinkFault, Proxy},
    record::{KeyHistory, Record},
    store::{Store, StoreFault},
    upstream::{Place, Upstream, UpstreamFault},
};

/// Ports of a node's listeners and of the proxies before it, on an address of its own.
const CALLERS: u16 = 7101;
const PEERS: u16 = 7102;
const READINESS: u16 = 7103;
const HEARTBEATS: u16 = 7104;
const OPERATORS: u16 = 7105;
const UPSTREAM: u16 = 7106;
const PEERS_PROXY: u16 = 7107;
const UPSTREAM_PROXY: u16 = 7108;
const STORE_PROXY: u16 = 7109;
const STORE: u16 = 7110;
/// Time between two heartbeats of an upstream.
const HEARTBEAT: Duration = Duration::from_millis(300);
/// Pause before an upstream or a node is started again.
const RESTART_DELAY: Duration = Duration::from_millis(300);
/// Time that a node may take to stop.
const GRACE: Duration = Duration::from_secs(6);
const CALLERS_A_NODE: usize = 3;
/// Keys of an organisation at the start.
const KEYS: usize = 3;

/// The keys in force, as callers know them; they go on with one for a while after its withdrawal.
#[derive(Debug, Clone, Default)]
pub struct Keys(Arc<Mutex<HashMap<String, Vec<String>>>>);

impl Keys {
    /// One of an organisation's keys, withdrawn ones included.
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
    peers: Arc<Proxy>,
    to_upstream: Arc<Proxy>,
    to_store: Arc<Proxy>,
    upstream: Mutex<Arc<Upstream>>,
    place: Place,
}

/// The fleet with all that it is made of.
pub struct World {
    pub record: Arc<Record>,
    store: Arc<Store>,
    nodes: Vec<Node>,
    keys: Keys,
    withdrawn: Mutex<Vec<String>>,
    version: AtomicU64,
    next_upstream: AtomicU64,
    stop: CancellationToken,
}

impl Drop for World {
    fn drop(&mut self) {
        self.stop.cancel();
        for node in &self.nodes {
            if let Some(mut child) = node.process.lock().take() {
                // It may have ended already.
                let _ = child.kill();
                let _ = child.wait();
            }
        }
    }
}

impl World {
    /// Starts a fleet of `count` nodes; `network` keeps its addresses apart from those of others.
    pub async fn start(
        program: &Path,
        folder: &Path,
        count: usize,
        network: u16,
    ) -> anyhow::Result<Arc<Self>> {
        Self::start_with_heartbeats(program, folder, count, network, HEARTBEAT).await
    }

    /// The same with this time between two heartbeats.
    pub async fn start_with_heartbeats(
        program: &Path,
        folder: &Path,
        count: usize,
        network: u16,
        heartbeat: Duration,
    ) -> anyhow::Result<Arc<Self>> {
        let record = Arc::new(Record::default());
        let stop = CancellationToken::new();
        let store_address = SocketAddr::new(machine(network, 0), STORE).to_string();
        let (store, store_address) = Store::start(&store_address, stop.clone()).await?;
        let keys = Keys::default();
        for name in ORGANISATIONS {
            let own: Vec<String> = (0..KEYS).map(|number| format!("key-{name}-{number}")).collect();
            for key in &own {
                let history = KeyHistory { withdrawn_at: None };
                record.keys.lock().insert(key.clone(), history);
            }
            keys.0.lock().insert(name.to_owned(), own);
        }
        let mut nodes = Vec::new();
        let services = plan::services();
        for index in 0..count {
            let address = machine(network, index + 1);
            let at = |port| SocketAddr::new(address, port);
            let place = Place {
                plan: services[index % services.len()].clone(),
                zone: format!("zone-{}", index / services.len() % 3),
                listen: at(UPSTREAM),
                told: at(UPSTREAM_PROXY),
                heartbeat,
                control: at(HEARTBEATS),
                outbound: at(CALLERS),
            };
            let peers = Proxy::start(at(PEERS_PROXY), at(PEERS), stop.clone()).await?;
            let to_upstream = Proxy::start(at(UPSTREAM_PROXY), at(UPSTREAM), stop.clone()).await?;
            let to_store = Proxy::start(at(STORE_PROXY), store_address, stop.clone()).await?;
            let settings = folder.join(format!("node-{index}.json"));
            std::fs::write(&settings, settings_text(index, &place, address)?)?;
            let upstream =
                Upstream::start(format!("u-{index}-0"), place.clone(), record.clone()).await?;
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
                place,
            });
        }
        let world = Arc::new(Self {
            record,
            store,
            nodes,
            keys,
            withdrawn: Mutex::default(),
            version: AtomicU64::new(0),
            next_upstream: AtomicU64::new(1),
            stop,
        });
        world.write_configuration();
        Ok(world)
    }

    /// Starts the callers of all nodes.
    pub fn start_callers(&self, seed: u64) {
        for (node, at) in self.nodes.iter().enumerate() {
            for number in 0..CALLERS_A_NODE {
                let caller = Caller {
                    node,
                    address: SocketAddr::new(at.address, CALLERS),
                    keys: self.keys.clone(),
                    record: self.record.clone(),
                    seed: seed ^ (node * CALLERS_A_NODE + number) as u64,
                    number,
                };
                tokio::spawn(caller.run(self.stop.clone()));
            }
        }
    }

    /// Ends the callers; answers that are under way still come.
    pub async fn stop_callers(&self) {
        self.stop.cancel();
        sleep(Duration::from_millis(200)).await;
    }

    fn write_configuration(&self) {
        let version = self.version.fetch_add(1, Ordering::Relaxed) + 1;
        let withdrawn = self.withdrawn.lock().clone();
        let mut in_force = self.keys.0.lock().clone();
        for keys in in_force.values_mut() {
            keys.retain(|key| !withdrawn.contains(key));
        }
        self.store.write("config", "main", plan::configuration(version, &in_force));
        let now = Instant::now();
        for key in &withdrawn {
            if let Some(history) = self.record.keys.lock().get_mut(key) {
                history.withdrawn_at.get_or_insert(now);
            }
        }
    }

    /// Strikes with a fault, and heals it after its time.
    pub async fn strike(self: Arc<Self>, program: &Path, fault: Fault) -> anyhow::Result<()> {
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
        self.record.disturb(None);
        let node = |index: usize| &self.nodes[index % self.nodes.len()];
        match fault {
            Fault::KillNode(index) => self.kill_node(program, index).await?,
            Fault::PauseNode(index, span) => {
                self.signal(index, Signal::STOP)?;
                sleep(span).await;
                self.signal(index, Signal::CONT)?;
            }
            Fault::DelayPeers(index, delay) => {
                hold(&node(index).peers, LinkFault::Delay(delay), delay * 10).await;
            }
            Fault::SilencePeers(index, span) => {
                hold(&node(index).peers, LinkFault::Silent, span).await;
            }
            Fault::NoPeerAnswers(index, span) => {
                hold(&node(index).peers, LinkFault::NoAnswers, span).await;
            }
            Fault::ResetPeers(index) => node(index).peers.reset(),
            Fault::CutFromStore(index, span) => {
                hold(&node(index).to_store, LinkFault::Silent, span).await;
            }
            Fault::ResetUpstream(index) => node(index).to_upstream.reset(),
            Fault::SilenceUpstream(index, span) => {
                hold(&node(index).to_upstream, LinkFault::Silent, span).await;
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
            Fault::SlowUpstream(index, span) => {
                self.hold_upstream(index, UpstreamFault::Slow(span / 4), span).await;
            }
            Fault::SheddingUpstream(index, span) => {
                self.hold_upstream(index, UpstreamFault::Sheds, span).await;
            }
            Fault::CrossingUpstream(index, span) => {
                self.hold_upstream(index, UpstreamFault::Crosses, span).await;
            }
            Fault::StoreUnavailable(span) => self.hold_store(StoreFault::Unavailable, span).await,
            Fault::StoreSilent(span) => self.hold_store(StoreFault::Silent, span).await,
            Fault::StoreSlow(delay) => self.hold_store(StoreFault::Slow(delay), delay * 10).await,
            Fault::StoreLosesWrites(span) => self.hold_store(StoreFault::LosesWrites, span).await,
            Fault::StopNode(_)
            | Fault::HangUp(_)
            | Fault::WithdrawKey(_)
            | Fault::ChangeConfiguration => {}
        }
        self.record.disturb(None);
        Ok(())
    }

    async fn hold_store(&self, fault: StoreFault, span: Duration) {
        self.store.set_fault(fault);
        sleep(span).await;
        self.store.set_fault(StoreFault::None);
    }

    async fn hold_upstream(&self, index: usize, fault: UpstreamFault, span: Duration) {
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
        // Another fault may have started one there already.
        if let Ok(upstream) = Upstream::start(id, node.place.clone(), self.record.clone()).await {
            *node.upstream.lock() = upstream;
        }
        Ok(())
    }

    fn withdraw_key(&self, number: usize) {
        let name = ORGANISATIONS[number % ORGANISATIONS.len()];
        let mut withdrawn = self.withdrawn.lock();
        let prefix = format!("key-{name}-");
        let gone = withdrawn.iter().filter(|key| key.starts_with(&prefix)).count();
        // Each organisation keeps a key, or its requests would say nothing any more.
        if gone + 1 < KEYS {
            withdrawn.push(format!("{prefix}{gone}"));
        }
        drop(withdrawn);
        self.write_configuration();
    }

    fn signal(&self, index: usize, signal: Signal) -> anyhow::Result<()> {
        let process = self.nodes[index % self.nodes.len()].process.lock();
        let Some(child) = process.as_ref() else { return Ok(()) };
        let pid = Pid::from_raw(child.id().cast_signed()).context("a process without an id")?;
        kill_process(pid, signal)?;
        Ok(())
    }

    async fn kill_node(&self, program: &Path, index: usize) -> anyhow::Result<()> {
        let node = &self.nodes[index % self.nodes.len()];
        let Some(mut child) = node.process.lock().take() else { return Ok(()) };
        child.kill()?;
        child.wait()?;
        self.start_again(program, node).await
    }

    async fn stop_node(&self, program: &Path, index: usize) -> anyhow::Result<()> {
        let node = &self.nodes[index % self.nodes.len()];
        self.record.stops.lock().push((index % self.nodes.len(), Instant::now()));
        self.signal(index, Signal::TERM)?;
        let Some(mut child) = node.process.lock().take() else { return Ok(()) };
        let until = Instant::now() + GRACE;
        while child.try_wait()?.is_none() {
            if Instant::now() > until {
                child.kill()?;
                child.wait()?;
                break;
            }
            sleep(Duration::from_millis(20)).await;
        }
        self.start_again(program, node).await
    }

    async fn start_again(&self, program: &Path, node: &Node) -> anyhow::Result<()> {
        sleep(RESTART_DELAY).await;
        *node.process.lock() = Some(start_node(program, &node.settings, &node.log)?);
        Ok(())
    }

    /// Address of a node's listener for operators.
    pub fn operators(&self, index: usize) -> SocketAddr {
        SocketAddr::new(self.nodes[index].address, OPERATORS)
    }

    /// Nodes whose process has ended by itself.
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

async fn hold(proxy: &Proxy, fault: LinkFault, span: Duration) {
    proxy.set_fault(fault);
    sleep(span).await;
    proxy.set_fault(LinkFault::None);
}

/// Address of a machine: all of 127.0.0.0/8 is loopback, so each has one of its own.
fn machine(network: u16, index: usize) -> IpAddr {
    let [high, low] = network.to_be_bytes();
    let index = u8::try_from(index + 1).unwrap_or(u8::MAX);
    IpAddr::V4(Ipv4Addr::new(127, high.max(1), low, index))
}

fn settings_text(index: usize, place: &Place, address: IpAddr) -> anyhow::Result<String> {
    let at = |port: u16| SocketAddr::new(address, port).to_string();
    Ok(serde_json::to_string_pretty(&json!({
        "instance": format!("node-{index}"),
        "zone": place.zone,
        "service": place.plan.name,
        "upstream": at(UPSTREAM_PROXY),
        "listen": {
            "callers": at(CALLERS),
            "peers": at(PEERS),
            "readiness": at(READINESS),
            "heartbeats": at(HEARTBEATS),
            "operators": at(OPERATORS),
        },
        "announced_peers": at(PEERS_PROXY),
        "store": { "address": at(STORE_PROXY) },
        "bounds": {
            "drain": "2s", "grace": "6s", "configApply": "2s", "revoke": "5s",
            "revokeFailClosed": true, "retryBudgetRatio": 0.2, "budgetWindow": "10s",
            "budgetSlack": 50, "quotaWindow": "5s",
        },
        "log": { "level": "info", "format": "json" },
    }))?)
}

fn start_node(program: &Path, settings: &Path, log: &Path) -> anyhow::Result<Child> {
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
