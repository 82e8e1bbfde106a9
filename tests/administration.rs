//! `hibiscusctl` against real nodes: changes, races, lost answers and exit codes.

mod support;

use std::{
    net::SocketAddr,
    process::Command,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use hibiscusdoor::{
    control::HELP_COMMANDS,
    standin::{FaultyStore, Fleet, NodeOptions},
    store::{KIND_CONFIGURATION, NAME_CURRENT, ObjectApi as _},
};
use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
};

use crate::support::{OwnPlatform, WAIT, own_platform, programs, start_fleet};

/// A fleet with a platform inside the test process, so that the test can inject faults.
struct TestFleet {
    processes: Fleet,
    store: Arc<FaultyStore>,
    _platform: OwnPlatform,
    _folder: tempfile::TempDir,
}

/// Exit code and output of a run of the tool.
#[derive(Debug)]
struct ToolOutput {
    code: Option<i32>,
    output: String,
    errors: String,
}

impl ToolOutput {
    fn json(&self) -> Value {
        serde_json::from_str(&self.output).unwrap_or_else(|error| panic!("{error}: {self:?}"))
    }
}

async fn start_nodes(nodes: usize) -> anyhow::Result<TestFleet> {
    let (mut processes, folder) = start_fleet();
    let platform = own_platform(&mut processes).await?;
    for index in 0..nodes {
        processes
            .add_node(NodeOptions { zone: format!("zone-{index}"), ..NodeOptions::default() })?;
    }
    let joined = |state: &Value| state["table"]["rows"].as_array().map(Vec::len) == Some(nodes);
    processes.wait_for_state("all rows", WAIT, joined).await?;
    Ok(TestFleet { processes, store: platform.store.clone(), _platform: platform, _folder: folder })
}

/// Runs the tool with the node at `address`.
async fn run_at(address: SocketAddr, arguments: &[&str]) -> ToolOutput {
    let arguments: Vec<String> = arguments.iter().map(|argument| (*argument).to_owned()).collect();
    let run = move || {
        let output = Command::new(programs().join("hibiscusctl"))
            .args(["--node", &address.to_string()])
            .args(arguments)
            .output()
            .expect("the tool starts");
        ToolOutput {
            code: output.status.code(),
            output: String::from_utf8(output.stdout).expect("text"),
            errors: String::from_utf8(output.stderr).expect("text"),
        }
    };
    tokio::task::spawn_blocking(run).await.expect("the tool ends")
}

impl TestFleet {
    /// Runs a command against the node with this index.
    async fn run(&self, node: usize, arguments: &[&str]) -> ToolOutput {
        run_at(self.processes.nodes[node].addresses.operators, arguments).await
    }

    /// Runs a command that must succeed.
    async fn run_ok(&self, node: usize, arguments: &[&str]) -> ToolOutput {
        let printed = self.run(node, arguments).await;
        assert_eq!(printed.code, Some(0), "{arguments:?}: {printed:?}");
        printed
    }

    /// Reads the accepted configuration from the store.
    async fn document(&self) -> Value {
        let object = self.store.inner.get(KIND_CONFIGURATION, NAME_CURRENT).await;
        object.expect("a store").and_then(|object| object.value).unwrap_or_default()
    }
}

const CREATE_BOLE: [&str; 7] =
    ["organisation", "create", "bole", "--rate-per-s", "10", "--burst", "5"];

/// Guards against verbs that have no effect or a wrong one, and against reads without JSON output.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn every_resource_is_created_changed_and_withdrawn() -> anyhow::Result<()> {
    let fleet = start_nodes(1).await?;
    let key_options = ["key", "create", "k1", "--organisation", "bole"];
    let class = ["class", "create", "urgent", "--must-get-through", "0.99"];
    let route = ["route", "create", "/drops/a", "--service", "drops", "--class", "urgent"];
    fleet.run_ok(0, &CREATE_BOLE).await;
    let created = fleet.run_ok(0, &[&["--json"], &key_options[..]].concat()).await.json();
    let key = created["key"].as_str().unwrap_or_default().to_owned();
    assert!(key.starts_with("k1.") && key.len() > 40, "{created}");
    fleet.run_ok(0, &[&class[..], &["--answer-within-ms", "250"]].concat()).await;
    fleet.run_ok(0, &["service", "create", "drops"]).await;
    fleet.run_ok(0, &[&route[..], &["--idempotency", "always"]].concat()).await;

    fleet.run_ok(0, &["organisation", "change", "bole", "--burst", "9"]).await;
    fleet.run_ok(0, &["class", "change", "urgent", "--answer-within-ms", "300"]).await;
    fleet.run_ok(0, &["route", "change", "/drops/a", "--open", "true"]).await;
    let changed = fleet.run_ok(0, &["--json", "key", "change", "k1", "--new-secret"]).await.json();
    assert_ne!(changed["key"], json!(key));

    let bole = fleet.run_ok(0, &["--json", "organisation", "show", "bole"]).await.json();
    assert_eq!(bole["resource"], json!({ "name": "bole", "rate_per_s": 10.0, "burst": 9.0 }));
    assert_eq!(bole["revision"], 9);
    let routes = fleet.run_ok(0, &["--json", "route", "list"]).await.json();
    let expected = json!([{
        "prefix": "/drops/a",
        "service": "drops",
        "class": "urgent",
        "open": true,
        "idempotency": "always",
    }]);
    assert_eq!(routes["resources"], expected);
    for kind in ["organisation", "key", "class", "service", "route"] {
        let text = fleet.run_ok(0, &[kind, "list"]).await.output;
        assert!(text.ends_with("revision 9\n") && text.lines().count() == 3, "{text}");
    }

    for (kind, name) in [
        ("route", "/drops/a"),
        ("service", "drops"),
        ("class", "urgent"),
        ("key", "k1"),
        ("organisation", "bole"),
    ] {
        fleet.run_ok(0, &[kind, "withdraw", name]).await;
    }
    let document = fleet.document().await;
    assert_eq!(document["revision"], 14);
    for list in ["organisations", "keys", "classes", "services", "routes"] {
        assert_eq!(document[list], json!([]), "{list}");
    }
    Ok(())
}

/// Guards against a change that takes effect twice, or that is reported as failed although it took
/// effect, when the platform's answer to the node is lost.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lost_answers_of_the_platform_change_nothing_twice() -> anyhow::Result<()> {
    let fleet = start_nodes(1).await?;
    fleet.run_ok(0, &CREATE_BOLE).await;
    for (revision, burst) in (2..7).zip(["2", "3", "4", "5", "6"]) {
        fleet.store.faults.lose_answers.store(1, Ordering::Relaxed);
        let change = ["--json", "organisation", "change", "bole", "--burst", burst];
        let printed = fleet.run_ok(0, &change).await;
        assert_eq!(printed.json(), json!({ "revision": revision }));
        let document = fleet.document().await;
        assert_eq!(document["revision"], revision);
    }
    Ok(())
}

/// Guards against a change that takes effect twice when the node's answers to the tool are lost and
/// another operator makes a change in between.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lost_answers_of_the_node_change_nothing_twice() -> anyhow::Result<()> {
    let fleet = start_nodes(1).await?;
    fleet.run_ok(0, &CREATE_BOLE).await;
    let node = fleet.processes.nodes[0].addresses.operators;
    let proxy = LossyProxy::start(node).await?;
    for (revision, burst) in [(2, "2"), (4, "3"), (6, "4")] {
        // The proxy forwards the answer to the read and drops two answers to the write.
        proxy.forward_first.store(1, Ordering::SeqCst);
        proxy.to_drop.store(2, Ordering::SeqCst);
        let change = ["--json", "organisation", "change", "bole", "--burst", burst];
        let (printed, other) = tokio::join!(run_at(proxy.address, &change), async {
            while fleet.document().await["revision"] != revision {
                tokio::task::yield_now().await;
            }
            fleet.run_ok(0, &["service", "create", &format!("s{burst}")]).await
        });
        assert_eq!(other.code, Some(0));
        assert_eq!(printed.code, Some(0), "{printed:?}");
        assert_eq!(printed.json(), json!({ "revision": revision }));
        assert_eq!(proxy.to_drop.load(Ordering::SeqCst), 0, "fewer than two answers were dropped");
        let document = fleet.document().await;
        assert_eq!(document["revision"], revision + 1);
        assert_eq!(document["organisations"][0]["burst"].to_string(), format!("{burst}.0"));
    }
    Ok(())
}

/// Guards against two operators who both succeed in changing one object from the same revision, and
/// against conflicts between operators who edit different objects.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn one_of_two_racing_operators_gets_the_conflict() -> anyhow::Result<()> {
    let fleet = start_nodes(2).await?;
    fleet.run_ok(0, &CREATE_BOLE).await;
    for round in 0..5 {
        let revision = fleet.document().await["revision"].as_u64().unwrap_or_default();
        let stated = revision.to_string();
        let bursts = [(round + 20).to_string(), (round + 40).to_string()];
        let race = |node: usize| {
            let change = ["organisation", "change", "bole", "--burst", &*bursts[node]];
            let arguments = [&change[..], &["--revision", &*stated]].concat();
            let fleet = &fleet;
            async move { fleet.run(node, &arguments).await }
        };
        let (first, second) = tokio::join!(race(0), race(1));
        let mut codes = [first.code, second.code];
        codes.sort();
        assert_eq!(codes, [Some(0), Some(1)], "{first:?} {second:?}");
        let (loser, winner) =
            if first.code == Some(1) { (&first, &bursts[1]) } else { (&second, &bursts[0]) };
        let expected = format!(
            "conflict: the edit starts from revision {revision}, but revision {} is accepted; \
             organisations/bole changed in between\n",
            revision + 1
        );
        assert_eq!(loser.errors, expected);
        let burst = &fleet.document().await["organisations"][0]["burst"];
        assert_eq!(burst.to_string(), format!("{winner}.0"));
    }
    let names: Vec<String> = (0..8).map(|index| format!("service-{index}")).collect();
    let creations = names.iter().enumerate().map(|(index, name)| {
        let fleet = &fleet;
        async move { fleet.run(index % 2, &["service", "create", name]).await }
    });
    for printed in futures::future::join_all(creations).await {
        assert_eq!(printed.code, Some(0), "{printed:?}");
    }
    assert_eq!(fleet.document().await["services"].as_array().map(Vec::len), Some(8));
    Ok(())
}

/// Guards against a file that undoes a later edit that its author has not seen, and against a
/// conflict that does not name the changed object.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn outdated_file_gets_a_conflict_that_names_revisions_and_objects() -> anyhow::Result<()> {
    let fleet = start_nodes(1).await?;
    let folder = tempfile::tempdir()?;
    let file = folder.path().join("configuration.json").display().to_string();
    fleet.run_ok(0, &CREATE_BOLE).await;
    std::fs::write(&file, fleet.run_ok(0, &["get"]).await.output)?;
    fleet.run_ok(0, &["service", "create", "drops"]).await;
    let printed = fleet.run(0, &["apply", &file]).await;
    assert_eq!(printed.code, Some(1), "{printed:?}");
    let expected = format!(
        "{file}: conflict: the edit starts from revision 1, but revision 2 is accepted; \
         services/drops changed in between\n"
    );
    assert_eq!(printed.errors, expected);
    std::fs::write(&file, fleet.run_ok(0, &["get"]).await.output)?;
    let printed = fleet.run_ok(0, &["--json", "apply", &file, "--wait"]).await;
    assert_eq!(printed.json(), json!({ "revision": 3, "without_right": [] }));
    fleet.processes.wait_for_state("revision 3", WAIT, |state| state["revision"] == 3).await
}

/// Guards against wrong exit codes, on which operators' scripts rely.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn exit_codes_tell_failure_from_wrong_input() -> anyhow::Result<()> {
    let fleet = start_nodes(1).await?;
    fleet.run_ok(0, &CREATE_BOLE).await;
    let cases: [(&[&str], i32); 14] = [
        (&["status"], 0),
        (&["--json", "status"], 0),
        (&["nodes"], 0),
        (&["--json", "upstreams"], 0),
        (&["state"], 0),
        (&CREATE_BOLE, 1),
        (&["organisation", "show", "nobody"], 1),
        (&["organisation", "withdraw", "nobody"], 1),
        (&["organisation", "change", "bole"], 2),
        (&["organisation", "change", "bole", "--burst", "-1"], 2),
        (&["organisation", "create", "a b", "--rate-per-s", "1", "--burst", "1"], 2),
        (&["key", "create", "k1", "--organisation", "nobody"], 2),
        (&["frobnicate"], 2),
        (&["status", "extra"], 2),
    ];
    for (arguments, code) in cases {
        let printed = fleet.run(0, arguments).await;
        assert_eq!(printed.code, Some(code), "{arguments:?}: {printed:?}");
        let text = if code == 0 { &printed.output } else { &printed.errors };
        assert!(!text.is_empty(), "{arguments:?} prints nothing");
    }
    let unused = std::net::TcpListener::bind("127.0.0.1:0")?.local_addr()?;
    assert_eq!(run_at(unused, &["get"]).await.code, Some(1));
    for command in HELP_COMMANDS {
        let printed = fleet.run_ok(0, &[command, "--help"]).await;
        let title = format!("hibiscusctl {command}: ");
        assert!(printed.output.starts_with(&title), "{printed:?}");
    }
    let help = fleet.run_ok(0, &["--help"]).await.output;
    assert!(HELP_COMMANDS.iter().all(|command| help.contains(command)), "{help}");
    Ok(())
}

/// Forwards calls to a node and drops some answers after the node has acted on the call.
struct LossyProxy {
    address: SocketAddr,
    /// Answers that are still forwarded before the first one is dropped.
    forward_first: Arc<AtomicUsize>,
    /// Answers that are still to be dropped.
    to_drop: Arc<AtomicUsize>,
    task: tokio::task::JoinHandle<()>,
}

impl LossyProxy {
    async fn start(node: SocketAddr) -> anyhow::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (forward_first, to_drop) =
            (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
        let (forward_count, drop_count) = (forward_first.clone(), to_drop.clone());
        let task = tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                tokio::spawn(proxy_connection(
                    client,
                    node,
                    forward_count.clone(),
                    drop_count.clone(),
                ));
            }
        });
        Ok(Self { address, forward_first, to_drop, task })
    }
}

impl Drop for LossyProxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Copies the bytes of one connection in both directions; ends it instead of forwarding an answer
/// that is to be dropped.
async fn proxy_connection(
    client: TcpStream,
    node: SocketAddr,
    forward_first: Arc<AtomicUsize>,
    to_drop: Arc<AtomicUsize>,
) -> std::io::Result<()> {
    let server = TcpStream::connect(node).await?;
    let (mut client_read, mut client_write) = client.into_split();
    let (mut server_read, mut server_write) = server.into_split();
    let upward =
        tokio::spawn(async move { tokio::io::copy(&mut client_read, &mut server_write).await });
    let mut answer = vec![0; 64 << 10];
    loop {
        let length = server_read.read(&mut answer).await?;
        if length == 0 {
            break;
        }
        let decrement = |left: usize| left.checked_sub(1);
        let forwards =
            forward_first.fetch_update(Ordering::SeqCst, Ordering::SeqCst, decrement).is_ok();
        if !forwards && to_drop.fetch_update(Ordering::SeqCst, Ordering::SeqCst, decrement).is_ok()
        {
            break;
        }
        client_write.write_all(&answer[..length]).await?;
    }
    upward.abort();
    Ok(())
}
