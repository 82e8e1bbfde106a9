//! At-most-once execution, correct outcomes, silent connections and shutdown, with real processes.

mod support;

use std::{
    collections::HashSet,
    net::SocketAddr,
    process::ExitStatus,
    time::{Duration, Instant},
};

use bytes::Bytes;
use hibiscusdoor::{
    call::ContextSigner,
    membership::{Row, rendezvous},
    peers::{PeerPool, proto::CrashReport},
    settings::FleetSecret,
    standin::{FLEET_SECRET, Fleet, HttpReply, NodeOptions, http_call, new_client},
};
use http::Method;
use serde_json::json;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _, copy},
    net::{TcpListener, TcpStream},
    sync::watch,
    task::JoinSet,
    time::sleep,
};
use uuid::Uuid;

use crate::support::{WAIT, start_fleet};

const BEARER: &str = "Bearer bole.sample-secret-of-bole-bars";
const POLL_INTERVAL: Duration = Duration::from_millis(50);
const PATH: &str = "/drops/1";

/// Starts a fleet of nodes with upstreams of one service, and `extra` nodes without an upstream.
async fn start_configured_fleet(
    upstreams: usize,
    extra: usize,
    settings: serde_json::Value,
) -> anyhow::Result<(Fleet, tempfile::TempDir)> {
    let (mut fleet, folder) = start_fleet();
    fleet.settings = settings;
    fleet.log_runs = true;
    for index in 0..upstreams + extra {
        fleet.add_node(NodeOptions {
            zone: format!("zone-{}", index % 3),
            service: if index < upstreams { "drops".to_owned() } else { String::new() },
            slots: 64,
            service_time_ms: 1,
            call_path: None,
        })?;
    }
    let mut document: serde_json::Value =
        serde_json::from_str(include_str!("../sample/configuration.json"))?;
    document["organisations"][0]["rate_per_s"] = json!(100_000);
    document["organisations"][0]["burst"] = json!(100_000);
    document["classes"][0]["target"]["answer_within_ms"] = json!(10_000);
    let url = fleet.operator_url(0, "/v1/configuration");
    let body = Bytes::from(document.to_string());
    let reply = http_call(&new_client(), Method::PUT, &url, &[], body).await?;
    anyhow::ensure!(reply.status == 200, "{:?}", reply.body);
    fleet
        .wait_for_state("revision 1 and all rows", WAIT, |state| {
            let rows = state["table"]["rows"].as_array().map(Vec::as_slice).unwrap_or_default();
            let serving = rows.iter().filter(|row| !row["service"].is_null()).count();
            state["revision"] == 1 && rows.len() == upstreams + extra && serving == upstreams
        })
        .await?;
    Ok((fleet, folder))
}

async fn send(
    fleet: &Fleet,
    via: usize,
    key: Option<Uuid>,
    body: &str,
) -> anyhow::Result<HttpReply> {
    let key = key.map(|key| key.to_string());
    let mut headers = vec![("authorization", BEARER)];
    if let Some(key) = &key {
        headers.push(("idempotency-key", key.as_str()));
    }
    let url = fleet.caller_url(via, PATH);
    http_call(&new_client(), Method::POST, &url, &headers, body.to_owned()).await
}

/// Consecutive requests with new keys that must succeed through each entry node.
const CONSECUTIVE_WHOLE: usize = 8;

/// Waits until requests with new idempotency keys succeed through each of the entry nodes, whichever
/// upstream owns the key.
///
/// A node runs a new key only if it is stamped more than 2 s after the node has seen its table version
/// settle (docs/design.md, section 8), so the nodes that joined first accept keys before the last one does.
async fn wait_for_keys(fleet: &Fleet, entries: &[usize]) -> anyhow::Result<()> {
    wait_for_keys_of(fleet, entries, Uuid::now_v7).await
}

/// Like [`wait_for_keys`], with the keys that `new_key` makes.
async fn wait_for_keys_of(
    fleet: &Fleet,
    entries: &[usize],
    mut new_key: impl FnMut() -> Uuid,
) -> anyhow::Result<()> {
    let until = Instant::now() + WAIT;
    let serving: Vec<usize> =
        (0..fleet.nodes.len()).filter(|index| fleet.nodes[*index].upstream.is_some()).collect();
    for via in entries {
        let mut consecutive_whole = 0;
        let mut ran_by = HashSet::new();
        while consecutive_whole < CONSECUTIVE_WHOLE || ran_by.len() < serving.len() {
            anyhow::ensure!(
                Instant::now() < until,
                "requests with new keys do not succeed through node {via} within {WAIT:?}; \
                 {consecutive_whole} in succession did, run by the upstreams of nodes {ran_by:?}"
            );
            let key = new_key();
            let body = format!("wait {key}");
            let reply = send(fleet, *via, Some(key), &body).await?;
            if reply.header("hibiscus-outcome") == "whole" {
                consecutive_whole += 1;
                let ran = |index: &usize| fleet.logged_bodies(*index).contains(&body);
                ran_by.extend(serving.iter().copied().filter(ran));
            } else {
                consecutive_whole = 0;
                ran_by.clear();
            }
            sleep(POLL_INTERVAL / 5).await;
        }
    }
    Ok(())
}

fn run_count(fleet: &Fleet, body: &str) -> usize {
    let count = |index| fleet.logged_bodies(index).iter().filter(|line| *line == body).count();
    (0..fleet.nodes.len()).map(count).sum()
}

/// Waits until an upstream has begun to run a request with this body; returns the index of its
/// node.
async fn wait_for_run(fleet: &Fleet, body: &str) -> anyhow::Result<usize> {
    let until = Instant::now() + WAIT;
    loop {
        let found = (0..fleet.nodes.len())
            .find(|index| fleet.logged_bodies(*index).iter().any(|line| line == body));
        match found {
            Some(index) => return Ok(index),
            None => anyhow::ensure!(
                Instant::now() < until,
                "no upstream has run {body:?} within {WAIT:?}"
            ),
        }
        sleep(POLL_INTERVAL / 5).await;
    }
}

async fn wait_for_exit(
    fleet: &mut Fleet,
    index: usize,
    limit: Duration,
) -> anyhow::Result<ExitStatus> {
    let until = Instant::now() + limit;
    loop {
        if let Some(status) = fleet.nodes[index].daemon.try_wait()? {
            return Ok(status);
        }
        anyhow::ensure!(Instant::now() < until, "the daemon did not exit within {limit:?}");
        sleep(POLL_INTERVAL).await;
    }
}

/// Guards against a second run of a request when the owner of its key is killed while running it
/// and the caller retries through another node.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn key_of_a_killed_owner_runs_at_most_once() -> anyhow::Result<()> {
    let (mut fleet, _folder) = start_configured_fleet(4, 1, json!({})).await?;
    wait_for_keys(&fleet, &[4]).await?;
    let key = Uuid::now_v7();
    let body = "order 17 standin:late=3000";
    let first = tokio::spawn({
        let url = fleet.caller_url(4, PATH);
        async move {
            let key = key.to_string();
            let headers = [("authorization", BEARER), ("idempotency-key", key.as_str())];
            http_call(&new_client(), Method::POST, &url, &headers, body).await
        }
    });
    let owner = wait_for_run(&fleet, body).await?;
    fleet.kill_node(owner)?;
    let first = first.await??;
    assert_eq!(first.header("hibiscus-outcome"), "unknown", "{}", first.json());

    let via = (0..4).find(|index| *index != owner).expect("a live node");
    let until = Instant::now() + WAIT;
    loop {
        let reply = send(&fleet, via, Some(key), body).await?;
        let answer = reply.json();
        let outcome = reply.header("hibiscus-outcome");
        assert_ne!(outcome, "whole", "{answer}");
        assert_ne!(reply.header("hibiscus-scope"), "request", "{answer}");
        if answer["reason"] == "key_history_unknown" {
            assert_eq!((reply.status.as_u16(), outcome), (502, "unknown"));
            break;
        }
        assert!(Instant::now() < until, "no successor answers: {answer}");
        sleep(POLL_INTERVAL).await;
    }
    assert_eq!(run_count(&fleet, body), 1);
    Ok(())
}

/// Guards against a second run of a request that is sent through all nodes concurrently, and
/// against a retry that gets another answer than the first attempt.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn key_sent_through_all_nodes_at_once_runs_once() -> anyhow::Result<()> {
    let (fleet, _folder) = start_configured_fleet(3, 1, json!({})).await?;
    wait_for_keys(&fleet, &[0, 1, 2, 3]).await?;
    let key = Uuid::now_v7();
    let body = "order 18 standin:late=300";
    let requests = (0..12).map(|index| send(&fleet, index % 4, Some(key), body));
    let replies = futures::future::try_join_all(requests).await?;
    let whole = replies.iter().filter(|reply| reply.status == 200).count();
    let running = replies.iter().filter(|reply| reply.status == 409).count();
    assert_eq!((whole, running), (1, 11), "{:?}", statuses(&replies));
    for reply in replies.iter().filter(|reply| reply.status == 409) {
        assert_eq!(reply.json()["reason"], "in_progress");
        assert_eq!(reply.header("hibiscus-scope"), "attempt");
    }
    let answer = replies.iter().find(|reply| reply.status == 200).expect("an answer");
    let again = send(&fleet, 1, Some(key), body).await?;
    assert_eq!((again.status.as_u16(), &again.body), (200, &answer.body));
    let other = send(&fleet, 2, Some(key), "order 19").await?;
    assert_eq!((other.status.as_u16(), other.header("hibiscus-outcome")), (400, "not-run"));
    assert_eq!(other.header("hibiscus-scope"), "attempt");
    assert_eq!((run_count(&fleet, body), run_count(&fleet, "order 19")), (1, 0));
    Ok(())
}

fn statuses(replies: &[HttpReply]) -> Vec<u16> {
    replies.iter().map(|reply| reply.status.as_u16()).collect()
}

/// Guards against a request that crashes one upstream after another while its caller retries it
/// through all nodes.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_that_crashes_upstreams_is_bounded_to_two_crashes() -> anyhow::Result<()> {
    let (mut fleet, _folder) = start_configured_fleet(4, 1, json!({})).await?;
    wait_for_keys(&fleet, &[0, 1, 2, 3, 4]).await?;
    let body = "standin:crash";
    let mut reasons = HashSet::new();
    for round in 0..5 {
        for via in 0..5 {
            let reply = send(&fleet, via, None, body).await?;
            assert_ne!(reply.header("hibiscus-outcome"), "whole");
            reasons.insert(reply.json()["reason"].as_str().unwrap_or_default().to_owned());
        }
        for index in 0..4 {
            let upstream = fleet.nodes[index].upstream.as_mut().expect("an upstream");
            if upstream.try_wait()?.is_some() {
                fleet.restart_upstream(index)?;
            }
        }
        assert!(
            run_count(&fleet, body) <= 2,
            "{} crashes after round {round}",
            run_count(&fleet, body)
        );
    }
    assert_eq!(run_count(&fleet, body), 2);
    assert!(reasons.contains("quarantined"), "{reasons:?}");
    let other = send(&fleet, 0, None, "a good request").await?;
    assert_eq!(other.status, 200, "{}", other.json());
    Ok(())
}

/// Guards against a shutdown that cuts requests, including forwarded ones, or that exits with an
/// error.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn sigterm_under_load_cuts_no_request() -> anyhow::Result<()> {
    let (mut fleet, _folder) = start_configured_fleet(3, 0, json!({})).await?;
    wait_for_keys(&fleet, &[0, 1, 2]).await?;
    let (stop, stopped) = watch::channel(false);
    let mut callers = JoinSet::new();
    for number in 0..24 {
        let url = fleet.caller_url(number % 3, PATH);
        let stopped = stopped.clone();
        callers.spawn(async move {
            let client = new_client();
            let mut outcomes = Vec::new();
            while !*stopped.borrow() {
                let key = (number % 2 == 0).then(|| Uuid::now_v7().to_string());
                let mut headers = vec![("authorization", BEARER)];
                headers.extend(key.as_deref().map(|key| ("idempotency-key", key)));
                let body = format!("load {number} standin:late=40");
                match http_call(&client, Method::POST, &url, &headers, body).await {
                    Ok(reply) => {
                        let outcome = reply.header("hibiscus-outcome").to_owned();
                        outcomes.push(format!("{outcome} {}", reply.json()["reason"]));
                    }
                    Err(error) => {
                        let refused = format!("{error:#} {error:?}").contains("Connect");
                        outcomes.push(match refused {
                            true => "refused".to_owned(),
                            false => format!("cut: {error:#}"),
                        });
                        sleep(POLL_INTERVAL).await;
                    }
                }
            }
            outcomes
        });
    }
    sleep(Duration::from_secs(1)).await;
    fleet.terminate_daemon(1)?;
    let status = wait_for_exit(&mut fleet, 1, Duration::from_secs(30)).await?;
    assert!(status.success(), "{status}");
    sleep(Duration::from_secs(1)).await;
    stop.send(true)?;
    let outcomes: Vec<String> = callers.join_all().await.into_iter().flatten().collect();
    let mut counts = std::collections::BTreeMap::new();
    for outcome in &outcomes {
        *counts.entry(outcome.as_str()).or_insert(0) += 1;
    }
    println!("{counts:?}");
    let bad = |outcome: &&String| {
        !(outcome.starts_with("whole") || outcome.starts_with("not-run") || *outcome == "refused")
    };
    assert_eq!(outcomes.iter().find(bad), None, "{counts:?}");
    Ok(())
}

/// Guards against tests that take all owners of keys for ready when only some of them were asked: a
/// node runs the keys that it gained only if they were stamped more than 2 s after its version settled,
/// and answers the others with `key_history_unknown`.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn waiting_for_keys_includes_an_owner_that_joined_last() -> anyhow::Result<()> {
    let (mut fleet, _folder) = start_configured_fleet(1, 1, json!({})).await?;
    wait_for_keys(&fleet, &[1]).await?;
    let joined = fleet.add_node(NodeOptions {
        zone: "zone-2".to_owned(),
        service: "drops".to_owned(),
        slots: 64,
        service_time_ms: 1,
        call_path: None,
    })?;
    fleet
        .wait_for_state("the row has joined", WAIT, |state| {
            let rows = state["table"]["rows"].as_array().map(Vec::as_slice).unwrap_or_default();
            rows.iter().filter(|row| !row["service"].is_null()).count() == 2
        })
        .await?;
    let url = fleet.operator_url(1, "/state");
    let state = http_call(&new_client(), Method::GET, &url, &[], "").await?.json();
    let mut rows: Vec<Row> = serde_json::from_value(state["table"]["rows"].clone())?;
    rows.retain(|row| row.service.is_some());
    let is_owned_by = |index: usize, key: &Uuid| {
        let owner = rendezvous::owner(&rows, key.as_bytes());
        owner.is_some_and(|row| *row.instance == *fleet.nodes[index].instance)
    };
    let new_key_of = |index| {
        std::iter::repeat_with(Uuid::now_v7).find(|key| is_owned_by(index, key)).expect("endless")
    };
    let mut first_keys = 0..CONSECUTIVE_WHOLE;
    wait_for_keys_of(&fleet, &[1], || match first_keys.next() {
        Some(_) => new_key_of(0),
        None => Uuid::now_v7(),
    })
    .await?;
    let reply = send(&fleet, 1, Some(new_key_of(joined)), "order 22").await?;
    assert_eq!(reply.status, 200, "{}", reply.json());
    Ok(())
}

/// Guards against losing idempotency records when their owner shuts down gracefully.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn successor_answers_from_the_records_of_a_leaver() -> anyhow::Result<()> {
    let (mut fleet, _folder) = start_configured_fleet(3, 1, json!({})).await?;
    wait_for_keys(&fleet, &[3]).await?;
    let key = Uuid::now_v7();
    let unused = Uuid::now_v7();
    let first = send(&fleet, 3, Some(key), "order 20").await?;
    assert_eq!(first.status, 200, "{}", first.json());
    let owner = wait_for_run(&fleet, "order 20").await?;
    fleet.terminate_daemon(owner)?;
    assert!(wait_for_exit(&mut fleet, owner, Duration::from_secs(30)).await?.success());
    let until = Instant::now() + WAIT;
    for (key, body) in [(key, "order 20"), (unused, "order 21")] {
        loop {
            let reply = send(&fleet, 3, Some(key), body).await?;
            assert_ne!(reply.header("hibiscus-outcome"), "unknown", "{}", reply.json());
            if reply.status == 200 {
                break;
            }
            assert!(Instant::now() < until, "{}", reply.json());
            sleep(POLL_INTERVAL).await;
        }
        assert_eq!(run_count(&fleet, body), 1);
    }
    Ok(())
}

/// Guards against a shutdown that exceeds the drain timeout because the platform is down, a caller
/// is silent or a request does not end.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn shutdown_ends_within_the_drain_timeout_whatever_is_silent() -> anyhow::Result<()> {
    let settings = json!({ "limits": { "drain_timeout_ms": 5000 } });
    let (mut fleet, folder) = start_configured_fleet(2, 0, settings).await?;
    wait_for_keys(&fleet, &[0]).await?;
    let mut silent = TcpStream::connect(fleet.nodes[0].addresses.callers).await?;
    silent.write_all(b"POST /drops/1 HTTP/1.1\r\nhost: a\r\nauthorization: ").await?;
    let hanging = tokio::spawn({
        let url = fleet.caller_url(0, PATH);
        let headers = [("authorization", BEARER)];
        async move {
            http_call(&new_client(), Method::POST, &url, &headers, "standin:hang").await.is_ok()
        }
    });
    wait_for_run(&fleet, "standin:hang").await?;
    fleet.kill_platform()?;
    let begun = Instant::now();
    fleet.terminate_daemon(0)?;
    fleet.terminate_daemon(1)?;
    for index in 0..2 {
        let status = wait_for_exit(&mut fleet, index, Duration::from_secs(8)).await?;
        assert!(status.success(), "{status}");
    }
    let elapsed = begun.elapsed();
    if elapsed >= Duration::from_millis(5500) {
        for node in &fleet.nodes {
            let log = folder.path().join(format!("{}.log", node.instance));
            println!("{}", std::fs::read_to_string(log)?);
        }
    }
    assert!(elapsed < Duration::from_millis(5500), "{elapsed:?}");
    let _ = hanging.await?;
    Ok(())
}

/// Guards against ignoring a second SIGTERM while the node drains.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn second_sigterm_ends_the_process_at_once() -> anyhow::Result<()> {
    let (mut fleet, _folder) = start_configured_fleet(1, 0, json!({})).await?;
    wait_for_keys(&fleet, &[0]).await?;
    let url = fleet.caller_url(0, PATH);
    let hanging = tokio::spawn(async move {
        let headers = [("authorization", BEARER)];
        http_call(&new_client(), Method::POST, &url, &headers, "standin:hang").await.is_ok()
    });
    wait_for_run(&fleet, "standin:hang").await?;
    fleet.terminate_daemon(0)?;
    fleet.wait_for_state("the node is draining", WAIT, |state| state["draining"] == true).await?;
    fleet.terminate_daemon(0)?;
    let status = wait_for_exit(&mut fleet, 0, Duration::from_secs(3)).await?;
    assert_eq!(status.code(), Some(1));
    assert!(!hanging.await?);
    Ok(())
}

/// Guards against sending new requests to a draining upstream, and against a drain that cuts the
/// requests it is running.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn draining_upstream_finishes_its_work_and_gets_no_more() -> anyhow::Result<()> {
    let (fleet, _folder) = start_configured_fleet(2, 0, json!({})).await?;
    wait_for_keys(&fleet, &[0, 1]).await?;
    let body = "long standin:late=4000";
    let long = tokio::spawn({
        let url = fleet.caller_url(0, PATH);
        let headers = [("authorization", BEARER)];
        async move { http_call(&new_client(), Method::POST, &url, &headers, body).await }
    });
    let drained = wait_for_run(&fleet, body).await?;
    let url = format!("http://{}/drain", fleet.nodes[drained].addresses.upstream);
    let reply = http_call(&new_client(), Method::POST, &url, &[], "").await?;
    assert_eq!(reply.status, 200);
    sleep(Duration::from_secs(3)).await;
    for number in 0..20 {
        let reply = send(&fleet, number % 2, None, "after the drain").await?;
        assert_eq!(reply.status, 200, "{}", reply.json());
    }
    assert!(!fleet.logged_bodies(drained).iter().any(|line| line == "after the drain"));
    assert_eq!(long.await??.status, 200);
    Ok(())
}

/// A TCP relay that can stop forwarding bytes without closing the connections.
struct Relay {
    address: SocketAddr,
    /// Every change silences the connections that are open at that time.
    passing: watch::Sender<bool>,
    tasks: JoinSet<()>,
}

impl Relay {
    async fn start(target: SocketAddr) -> anyhow::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (passing, watching) = watch::channel(true);
        let mut tasks = JoinSet::new();
        tasks.spawn(async move {
            let mut connections = JoinSet::new();
            while let Ok((caller, _)) = listener.accept().await {
                let Ok(node) = TcpStream::connect(target).await else { return };
                let mut watching = watching.clone();
                watching.mark_unchanged();
                connections.spawn(async move {
                    let (mut from_caller, mut to_caller) = caller.into_split();
                    let (mut from_node, mut to_node) = node.into_split();
                    tokio::select! {
                        _ = copy(&mut from_caller, &mut to_node) => return,
                        _ = copy(&mut from_node, &mut to_caller) => return,
                        _ = watching.changed() => {}
                    }
                    // Both ends stay open; connections made later are forwarded again.
                    std::future::pending::<()>().await;
                });
            }
        });
        Ok(Self { address, passing, tasks })
    }

    fn silence_open_connections(&self) {
        self.passing.send_modify(|passing| *passing = false);
    }
}

/// Guards against using a silent connection for non-idempotent requests, and against calls that
/// wait long for such a connection.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn silent_connection_between_nodes_is_not_used() -> anyhow::Result<()> {
    let (fleet, _folder) = start_configured_fleet(1, 0, json!({})).await?;
    let mut relay = Relay::start(fleet.nodes[0].addresses.peers).await?;
    let signer = ContextSigner::new(&FleetSecret::new(FLEET_SECRET));
    let pool = PeerPool::new(signer.peer_token().clone());
    let mut first = pool.live_client(relay.address).await?;
    first.report_crash(CrashReport::default()).await?;

    relay.silence_open_connections();
    let begun = Instant::now();
    let waiting = first.report_crash(CrashReport::default()).await;
    let found_after = begun.elapsed();
    let status = waiting.expect_err("a silent connection gives no answer");
    assert!(found_after < Duration::from_millis(1500), "found after {found_after:?}");
    assert!(
        !hibiscusdoor::peers::is_connect_failure(&status),
        "the call may have arrived: {status}"
    );

    let _ = pool.live_client(relay.address).await?;
    sleep(Duration::from_millis(1100)).await;
    relay.silence_open_connections();
    let begun = Instant::now();
    let mut client = pool.live_client(relay.address).await?;
    client.report_crash(CrashReport::default()).await?;
    println!("silent call ended after {found_after:?}, new connection after {:?}", begun.elapsed());
    assert!(begun.elapsed() < Duration::from_millis(1500), "{:?}", begun.elapsed());
    relay.tasks.shutdown().await;
    Ok(())
}

/// Guards against reporting an unknown outcome when the connection was refused, and against
/// reporting "not run" when the call may have arrived.
#[tokio::test]
async fn refused_connection_to_a_node_is_known_as_not_sent() -> anyhow::Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    drop(listener);
    let pool = PeerPool::new("token".into());
    let status = pool.client(address).report_crash(CrashReport::default()).await;
    assert!(hibiscusdoor::peers::is_connect_failure(&status.expect_err("nobody listens")));

    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let closer = tokio::spawn(async move {
        if let Ok((mut stream, _)) = listener.accept().await {
            let mut bytes = [0; 1024];
            let _ = stream.read(&mut bytes).await;
        }
    });
    let status = pool.client(address).report_crash(CrashReport::default()).await;
    assert!(!hibiscusdoor::peers::is_connect_failure(&status.expect_err("closed at once")));
    closer.await?;
    Ok(())
}

/// Response of a scripted upstream with the id of another request.
const ANSWER_OF_OTHER_REQUEST: &str = "HTTP/1.1 200 OK\r\n\
     hibiscus-request-id: 0190a2b0-0000-7000-8000-000000000000\r\n\
     content-length: 2\r\n\r\nok";

/// Guards against forwarding a response as complete when it is truncated, belongs to another
/// request, or has a body without a length, so that truncation could not be detected.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn broken_answer_of_an_upstream_is_never_whole() -> anyhow::Result<()> {
    let (fleet, _folder) = start_configured_fleet(0, 1, json!({})).await?;
    let answers = [
        "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\ncut",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n64\r\ncut",
        "HTTP/1.1 200 OK\r\n\r\nno length",
        "HTTP/1.1 200 OK\r\ncontent-le",
        "",
        ANSWER_OF_OTHER_REQUEST,
    ];
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let upstream = tokio::spawn(async move {
        for answer in answers {
            loop {
                let (mut stream, _) = listener.accept().await?;
                let mut bytes = [0; 4096];
                // Connections without a request only probe whether the upstream is listening.
                if stream.read(&mut bytes).await? > 0 {
                    stream.write_all(answer.as_bytes()).await?;
                    break;
                }
            }
        }
        while listener.accept().await.is_ok() {}
        anyhow::Ok(())
    });
    let announcement = json!({ "service": "drops", "address": address, "slots": 8 }).to_string();
    let url = format!("http://{}/announce", fleet.nodes[0].addresses.upstream);
    let reply = http_call(&new_client(), Method::POST, &url, &[], announcement).await?;
    assert_eq!(reply.status, 200);
    fleet
        .wait_for_state("the row has the service", WAIT, |state| {
            state["table"]["rows"][0]["service"] == "drops"
        })
        .await?;
    for answer in answers {
        let reply = send(&fleet, 0, None, "a request").await?;
        let text = format!("{answer:?}: {} {}", reply.status, reply.json());
        assert_eq!(reply.status, 502, "{text}");
        assert_eq!(reply.header("hibiscus-outcome"), "unknown", "{text}");
        assert_eq!(reply.json()["reason"], "upstream_failed", "{text}");
    }
    upstream.abort();
    Ok(())
}

/// Guards against invalid input that ends the process or gets no response with a reason.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bad_input_gets_a_clear_answer_and_the_process_goes_on() -> anyhow::Result<()> {
    let (fleet, _folder) = start_configured_fleet(1, 0, json!({})).await?;
    wait_for_keys(&fleet, &[0]).await?;
    let url = fleet.caller_url(0, PATH);
    let client = new_client();
    let future_key = Uuid::new_v7(uuid::Timestamp::from_unix(uuid::NoContext, 9_999_999_999, 0));
    let cases = [
        (vec![("authorization", BEARER)], "x".repeat(2 << 20), 413, "too_large"),
        (vec![("authorization", "Bearer nodot")], "a".to_owned(), 401, "unknown_key"),
        (
            vec![("authorization", BEARER), ("idempotency-key", "17")],
            "a".to_owned(),
            400,
            "bad_request",
        ),
        (
            vec![
                ("authorization", BEARER),
                ("idempotency-key", "6f3b5c9e-8f5b-4d0e-9c39-3d1f8a1d2b11"),
            ],
            "a".to_owned(),
            400,
            "bad_request",
        ),
    ];
    for (headers, body, status, reason) in cases {
        let reply = http_call(&client, Method::POST, &url, &headers, body).await?;
        assert_eq!((reply.status.as_u16(), &reply.json()["reason"]), (status, &json!(reason)));
        assert_eq!(reply.header("hibiscus-outcome"), "not-run");
    }
    let reply = send(&fleet, 0, Some(future_key), "a").await?;
    assert_eq!((reply.status.as_u16(), &reply.json()["reason"]), (400, &json!("bad_request")));
    let old_key = Uuid::new_v7(uuid::Timestamp::from_unix(uuid::NoContext, 1_000_000_000, 0));
    let reply = send(&fleet, 0, Some(old_key), "a").await?;
    assert_eq!(
        (reply.status.as_u16(), &reply.json()["reason"]),
        (502, &json!("key_history_unknown"))
    );

    let mut cut = TcpStream::connect(fleet.nodes[0].addresses.callers).await?;
    let head = format!(
        "POST {PATH} HTTP/1.1\r\nhost: a\r\nauthorization: {BEARER}\r\ncontent-length: 100\r\n\r\ncut"
    );
    cut.write_all(head.as_bytes()).await?;
    cut.shutdown().await?;
    let mut answer = String::new();
    cut.read_to_string(&mut answer).await?;
    assert!(answer.is_empty() || answer.starts_with("HTTP/1.1 400"), "{answer}");
    assert_eq!(run_count(&fleet, "a") + run_count(&fleet, "cut"), 0);
    let reply = send(&fleet, 0, None, "a good request").await?;
    assert_eq!(reply.status, 200);
    Ok(())
}
