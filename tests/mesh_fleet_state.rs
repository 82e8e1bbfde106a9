//! A few real nodes with a stand-in for the store: acknowledged leaving, lost machines, and messages and
//! configurations that are unusual. The test itself sends the heartbeats of the upstreams.

#[path = "soak/mod.rs"]
mod fleet;

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::Arc,
    time::{Duration, Instant},
};

use fleet::store::{Store, StoreFault};
use hibiscusdoor::{
    http_server,
    standin::{HttpReply, http_call, new_client},
};
use http::{Method, StatusCode};
use parking_lot::Mutex;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use tempfile::TempDir;
use tokio::{net::TcpListener, time::sleep};
use tokio_util::sync::CancellationToken;

/// Timeout for the fleet to reach an expected state.
const WAIT: Duration = Duration::from_secs(40);
const POLL: Duration = Duration::from_millis(50);
const KIND: &str = "hibiscusdoor-instances";
const DEPARTURES: &str = "hibiscusdoor-departures";
const UPSTREAM_PORT: u16 = 7006;

struct Node {
    address: IpAddr,
    settings: PathBuf,
    log: PathBuf,
    process: Option<Child>,
}

impl Node {
    fn start(&mut self) -> anyhow::Result<()> {
        let output = std::fs::OpenOptions::new().create(true).append(true).open(&self.log)?;
        let child = Command::new(env!("CARGO_BIN_EXE_hibiscusd"))
            .args(["mesh", "--settings"])
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(output.try_clone()?)
            .stderr(output)
            .spawn()?;
        self.process = Some(child);
        Ok(())
    }

    fn kill(&mut self) -> anyhow::Result<()> {
        if let Some(mut child) = self.process.take() {
            child.kill()?;
            child.wait()?;
        }
        Ok(())
    }

    /// Waits until the process has ended.
    async fn wait_for_end(&mut self) -> anyhow::Result<()> {
        let until = Instant::now() + WAIT;
        while let Some(child) = &mut self.process
            && child.try_wait()?.is_none()
        {
            anyhow::ensure!(Instant::now() < until, "the process does not end");
            sleep(POLL).await;
        }
        Ok(())
    }

    fn signal(&self, signal: Signal) -> anyhow::Result<()> {
        if let Some(child) = &self.process {
            kill_process(Pid::from_child(child), signal)?;
        }
        Ok(())
    }

    async fn call(
        &self,
        method: Method,
        port: u16,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> anyhow::Result<HttpReply> {
        let url = format!("http://{}{path}", SocketAddr::new(self.address, port));
        http_call(&new_client(), method, &url, headers, body.to_owned()).await
    }

    async fn state(&self) -> anyhow::Result<Value> {
        Ok(self.call(Method::GET, 7005, "/state", &[], "").await?.json())
    }

    /// Waits until the state dump meets the condition.
    async fn wait_for(&self, what: &str, is_met: impl Fn(&Value) -> bool) -> anyhow::Result<Value> {
        let until = Instant::now() + WAIT;
        loop {
            let state = self.state().await;
            if let Ok(state) = &state
                && is_met(state)
            {
                return Ok(state.clone());
            }
            anyhow::ensure!(Instant::now() < until, "waited for {what}, last state {state:?}");
            sleep(POLL).await;
        }
    }

    async fn beat(&self, upstream: &str, fields: Value) -> anyhow::Result<u16> {
        let path = format!("/instances/{upstream}");
        let reply = self.call(Method::PUT, 7004, &path, &[], &fields.to_string()).await?;
        Ok(reply.status.as_u16())
    }

    async fn leave(&self, upstream: &str) -> anyhow::Result<u16> {
        let path = format!("/instances/{upstream}");
        Ok(self.call(Method::DELETE, 7004, &path, &[], "").await?.status.as_u16())
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        // The process may have ended already.
        let _ = self.kill();
    }
}

struct Fleet {
    store: Arc<Store>,
    nodes: Vec<Node>,
    stop: CancellationToken,
    _folder: TempDir,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

/// Heartbeat of the upstream beside a node.
fn heartbeat(node: &Node, service: &str, born: u64, sequence: u64) -> Value {
    json!({
        "address": SocketAddr::new(node.address, UPSTREAM_PORT).to_string(), "born": born,
        "info": { "service": service, "version": "v1", "zone": "zone-a", "slots": 5 },
        "status": { "state": "ready", "sequence": sequence, "coldRemaining": "0ms" },
    })
}

fn configuration(with_organisations: bool) -> Value {
    let mut resources = vec![
        json!({"resourceType": "routes", "metadata": {"name": "orders"}, "spec": {
            "host": "calls.example", "pathPrefix": "/", "kind": "unsafe", "timeout": "3000ms",
            "aim": "1000ms", "priority": 0, "service": "orders", "maxAttempts": 1, "public": false}}),
    ];
    for service in ["orders", "stock"] {
        resources.push(json!({"resourceType": "services", "metadata": {"name": service}, "spec": {
            "healthPath": "/health", "maxConnections": 40, "protocol": "h1", "tls": false}}));
    }
    if with_organisations {
        resources.push(json!({"resourceType": "tenants", "metadata": {"name": "bars"}, "spec": {
            "apiKeys": ["key-of-bars-0123"], "priority": 1, "ratePerS": 100, "burst": 100}}));
    }
    json!({ "version": 3, "resources": resources })
}

impl Fleet {
    /// Starts nodes with upstreams that have sent one heartbeat, and waits until all know all.
    async fn start(count: usize, case: u16) -> anyhow::Result<Self> {
        let folder = tempfile::tempdir()?;
        let stop = CancellationToken::new();
        let (store, store_address) = Store::start("127.0.0.1:0", stop.clone()).await?;
        store.write("config", "main", configuration(true));
        let network = (std::process::id() % 200 + 20) as u8;
        let address =
            |index: usize| IpAddr::V4(Ipv4Addr::new(127, network, case as u8, (index + 1) as u8));
        let mut nodes = Vec::new();
        for index in 0..count {
            let at = |port: u16| SocketAddr::new(address(index), port).to_string();
            let seeds = (0..count).filter(|seed| *seed != index);
            let seeds = seeds.map(|seed| SocketAddr::new(address(seed), 7004).to_string());
            let settings = json!({
                "instance": format!("node-{index}"), "zone": "zone-a", "service": "orders",
                "upstream": at(UPSTREAM_PORT),
                "listen": {
                    "callers": at(7001), "peers": at(7002), "readiness": at(7003),
                    "heartbeats": at(7004), "operators": at(7005),
                },
                "store": { "address": store_address.to_string() },
                "seeds": seeds.collect::<Vec<_>>(),
                "bounds": { "drain": "2s", "grace": "6s", "revoke": "5s", "revokeFailClosed": true },
                "log": { "level": "info", "format": "json" },
            });
            let path = folder.path().join(format!("node-{index}.json"));
            std::fs::write(&path, settings.to_string())?;
            let log = folder.path().join(format!("node-{index}.log"));
            let mut node = Node { address: address(index), settings: path, log, process: None };
            node.start()?;
            nodes.push(node);
        }
        let fleet = Self { store, nodes, stop, _folder: folder };
        for (index, node) in fleet.nodes.iter().enumerate() {
            node.wait_for("the start", |state| {
                state["earlier_state_known"] != false && state["configuration_version"] != 0
            })
            .await?;
            node.beat(&format!("u-{index}"), heartbeat(node, "orders", 1_000, 5)).await?;
        }
        for node in &fleet.nodes {
            node.wait_for("all in use", |state| {
                state["instances"] == count
                    && state["out_of_use"].as_array().is_some_and(Vec::is_empty)
            })
            .await?;
        }
        Ok(fleet)
    }
}

/// How the processes end after the acknowledgement of a leaving.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Killed,
    /// A planned stop, in which the node removes its registration.
    Stopped,
    /// All processes of the fleet are killed.
    AllKilled,
    /// The store comes back from a copy of before the leaving, then the process is killed.
    RestoredAndKilled,
}

/// Guards against an acknowledged leaving that is lost with the process: a late heartbeat makes the
/// restarted node use the upstream again.
async fn a_leaving_outlives_the_process(
    count: usize,
    case: u16,
    store_fault: StoreFault,
    end: End,
) -> anyhow::Result<()> {
    let mut fleet = Fleet::start(count, case).await?;
    fleet.store.set_fault(store_fault);
    let copy = fleet.store.copy();
    assert_eq!(fleet.nodes[0].leave("u-0").await?, 200);
    let ended = if end == End::AllKilled { 0..count } else { 0..1 };
    match end {
        End::Killed | End::AllKilled => {}
        End::Stopped => {
            fleet.nodes[0].signal(Signal::TERM)?;
            fleet.nodes[0].wait_for_end().await?;
        }
        End::RestoredAndKilled => {
            fleet.store.restore(copy);
            let until = Instant::now() + WAIT;
            while !fleet.store.contains(DEPARTURES, "node-0") {
                anyhow::ensure!(Instant::now() < until, "the departure is not written again");
                sleep(POLL).await;
            }
        }
    }
    for index in ended.clone() {
        fleet.nodes[index].kill()?;
    }
    for index in ended {
        fleet.nodes[index].start()?;
    }
    let node = &fleet.nodes[0];
    node.wait_for("the restart", |state| {
        state["earlier_state_known"] != false && state["instances"] == count
    })
    .await?;
    assert_eq!(node.beat("u-0", heartbeat(node, "orders", 1_000, 4)).await?, 200);
    let state = node.state().await?;
    let is_used = state["upstream"] == "u-0" && state["upstream_ready"] == true;
    assert!(!is_used, "the upstream that has left is in use again: {state}");
    // Another upstream takes the place.
    node.beat("v-0", heartbeat(node, "orders", 2_000, 1)).await?;
    node.wait_for("another upstream", |state| state["upstream"] == "v-0").await?;
    Ok(())
}

macro_rules! leavings {
    ($($name:ident($count:expr, $case:expr, $store_fault:expr, $end:expr)),+ $(,)?) => {
        $(
            #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
            async fn $name() -> anyhow::Result<()> {
                a_leaving_outlives_the_process($count, $case, $store_fault, $end).await
            }
        )+
    };
}

leavings! {
    a_leaving_that_another_node_knows_outlives_the_process(3, 1, StoreFault::None, End::Killed),
    a_leaving_without_a_store_outlives_the_process(3, 2, StoreFault::Silent, End::Killed),
    a_leaving_that_only_the_store_knows_outlives_the_process(1, 3, StoreFault::None, End::Killed),
    a_leaving_outlives_a_planned_stop(3, 8, StoreFault::None, End::Stopped),
    a_leaving_outlives_all_processes(3, 9, StoreFault::None, End::AllKilled),
    a_leaving_outlives_a_restored_store(1, 10, StoreFault::None, End::RestoredAndKilled),
}

/// Guards against an acknowledgement of a leaving that nothing but the process knows.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_leaving_that_nothing_else_knows_is_not_acknowledged() -> anyhow::Result<()> {
    let fleet = Fleet::start(1, 4).await?;
    fleet.store.set_fault(StoreFault::Unavailable);
    assert_eq!(fleet.nodes[0].leave("u-0").await?, 503);
    fleet.store.set_fault(StoreFault::None);
    assert_eq!(fleet.nodes[0].leave("u-0").await?, 200);
    Ok(())
}

/// Guards against registrations of lost machines that stay, and against an instance that was removed while
/// it was paused and does not come back.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lost_instances_are_removed_and_come_back() -> anyhow::Result<()> {
    let fleet = Fleet::start(3, 5).await?;
    for (index, others) in [(0, 1), (2, 0)] {
        let name = format!("node-{index}");
        fleet.nodes[index].signal(Signal::STOP)?;
        let until = Instant::now() + WAIT;
        while fleet.store.contains(KIND, &name) {
            anyhow::ensure!(Instant::now() < until, "the registration of {name} stays");
            sleep(POLL).await;
        }
        fleet.nodes[index].signal(Signal::CONT)?;
        let until = Instant::now() + WAIT;
        while !fleet.store.contains(KIND, &name) {
            anyhow::ensure!(Instant::now() < until, "{name} does not register again");
            sleep(POLL).await;
        }
        fleet.nodes[others]
            .wait_for("all in use", |state| {
                state["instances"] == 3
                    && state["instances_lost"] == 0
                    && state["out_of_use"].as_array().is_some_and(Vec::is_empty)
            })
            .await?;
    }
    Ok(())
}

/// Answers the health checks at the address of a node's upstream, under an id that can be changed.
async fn serve_health(node: &Node, stop: CancellationToken) -> anyhow::Result<Arc<Mutex<String>>> {
    let id = Arc::new(Mutex::new("u-0".to_owned()));
    let listener = TcpListener::bind(SocketAddr::new(node.address, UPSTREAM_PORT)).await?;
    let named = id.clone();
    tokio::spawn(http_server::serve(listener, stop, move |_| {
        let mut response = http_server::text(StatusCode::OK, "");
        for (name, text) in [("x-instance-id", named.lock().as_str()), ("x-instance-load", "0,0,5")]
        {
            response.headers_mut().insert(name, text.parse().expect("a header value"));
        }
        std::future::ready(response)
    }));
    Ok(id)
}

/// Guards against a heartbeat of another writer that replaces the upstream of a node or changes the service
/// that the node names to other upstreams as the caller's.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn heartbeats_of_other_writers_are_ignored() -> anyhow::Result<()> {
    let fleet = Fleet::start(1, 6).await?;
    let node = &fleet.nodes[0];
    let named = serve_health(node, fleet.stop.clone()).await?;
    let other = |pointer: &str, value: Value| {
        let mut fields = heartbeat(node, "orders", 9_000, 1);
        *fields.pointer_mut(pointer).expect("a field") = value;
        fields
    };
    let without = |parent: &str, field: &str| {
        let mut fields = heartbeat(node, "orders", 9_000, 1);
        let parent = fields.pointer_mut(parent).and_then(Value::as_object_mut);
        parent.expect("an object").remove(field).expect("a field");
        fields
    };
    let unusable = [
        heartbeat(node, "unheard", 9_000, 1),
        heartbeat(node, "stock", 9_000, 1),
        json!("no heartbeat"),
        other("/address", json!("127.0.0.1:9")),
        other("/status", json!({})),
        other("/info/slots", json!("many")),
        other("/info/slots", json!(0)),
        other("/info/version", json!(7)),
        other("/info/zone", json!(["zone-a"])),
        other("/status/state", json!("resting")),
        without("", "born"),
        without("/info", "version"),
        without("/info", "zone"),
        without("/status", "sequence"),
        without("/status", "coldRemaining"),
    ];
    let check_unchanged = async |fields: &Value| {
        let state = node.state().await?;
        assert_eq!(
            (&state["upstream"], &state["service"], &state["upstream_ready"]),
            (&json!("u-0"), &json!("orders"), &json!(true)),
            "after {fields}"
        );
        anyhow::Ok(())
    };
    for fields in unusable {
        assert_eq!(node.beat("w-0", fields.clone()).await?, 400, "{fields}");
        check_unchanged(&fields).await?;
    }
    // Whole, but the instance at the address is another one.
    let fields = heartbeat(node, "orders", 9_000, 1);
    assert_eq!(node.beat("w-0", fields.clone()).await?, 409);
    check_unchanged(&fields).await?;
    // An instance that the address names is used, also after its clock has stepped back.
    "v-0".clone_into(&mut named.lock());
    let until = Instant::now() + WAIT;
    while node.beat("v-0", heartbeat(node, "orders", 500, 1)).await? != 200 {
        anyhow::ensure!(Instant::now() < until, "the new upstream is not used");
        sleep(POLL).await;
    }
    node.wait_for("another upstream", |state| state["upstream"] == "v-0").await?;
    Ok(())
}

/// Guards against a leave message of an earlier start that arrives late and takes the present start, under the same
/// id, out of use for good.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_late_leave_message_does_not_end_a_later_start() -> anyhow::Result<()> {
    let fleet = Fleet::start(1, 11).await?;
    let node = &fleet.nodes[0];
    let stop_health = CancellationToken::new();
    serve_health(node, stop_health.clone()).await?;
    assert_eq!(node.beat("u-0", heartbeat(node, "orders", 2_000, 1)).await?, 200);
    assert_eq!(node.leave("u-0").await?, 409);
    assert_eq!(node.state().await?["upstream_ready"], true);
    // The present start leaves once its health check no longer says that it accepts requests.
    stop_health.cancel();
    let until = Instant::now() + WAIT;
    while node.leave("u-0").await? != 200 {
        anyhow::ensure!(Instant::now() < until, "the leaving is not acknowledged");
        sleep(POLL).await;
    }
    assert_eq!(node.state().await?["upstream_ready"], false);
    Ok(())
}

/// Guards against status 401 for all requests where the configuration has no organisations.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn without_organisations_no_request_needs_a_key() -> anyhow::Result<()> {
    let fleet = Fleet::start(1, 7).await?;
    let node = &fleet.nodes[0];
    let headers =
        [("host", "calls.example"), ("x-attempt-id", "00000a0000000001"), ("x-deadline-ms", "500")];
    // Within the first second, keys are not decided on.
    let until = Instant::now() + WAIT;
    while node.call(Method::GET, 7001, "/x", &headers, "").await?.status.as_u16() != 401 {
        anyhow::ensure!(Instant::now() < until, "a request without a key is not refused");
        sleep(POLL).await;
    }
    let mut without = configuration(false);
    without["version"] = json!(4);
    let version = fleet.store.write("config", "main", without);
    node.wait_for("the configuration", |state| state["configuration_version"] == version).await?;
    let reply = node.call(Method::GET, 7001, "/x", &headers, "").await?;
    assert_ne!(reply.status.as_u16(), 401);
    Ok(())
}
