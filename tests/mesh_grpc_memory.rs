//! gRPC calls of other nodes that keep no limits: the node lives, stays within the memory of its machine,
//! and still serves others.
//!
//! The tests check no times. They run one after the other, since each of them loads the machine.

mod crowds_world;
#[path = "soak/mod.rs"]
mod soak;

use std::{
    convert::Infallible,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use anyhow::Context as _;
use bytes::{BufMut as _, Bytes, BytesMut};
use crowds_world::node::{HOST, ROUTED_PATH, WAIT, World, WorldLimits};
use futures::{StreamExt as _, stream};
use hibiscusdoor::{mesh::proto::ForwardRequest, standin};
use http::{Method, Request, Version};
use http_body_util::StreamBody;
use hyper::{body::Frame, client::conn::http2};
use hyper_util::rt::{TokioExecutor, TokioIo};
use prost::Message as _;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
    sync::Mutex,
    task::JoinSet,
    time::sleep,
};

/// Held by the running test.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

/// Limits of the node that the calls are sent to.
const LIMITS: WorldLimits = WorldLimits {
    memory_mb: 96,
    max_descriptors: 256,
    max_body_bytes: 8 << 20,
    route_timeout_s: 3,
};
const FORWARD: &str = "/hibiscusdoor.mesh.v1.Mesh/Forward";
const SYNC: &str = "/hibiscusdoor.mesh.v1.Mesh/Sync";
/// Size of the parts in which a message is sent.
const PART_BYTES: usize = 16 << 10;
/// Time without progress of any call after which the calls are not waited for any more.
const STALL_TIME: Duration = Duration::from_secs(3);
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Memory that a node without calls may have reserved, for connections.
const MAX_IDLE_BYTES: f64 = 1048576.0;

/// Calls of another node.
#[derive(Clone)]
struct Script {
    path: &'static str,
    /// Message with its prefix, or the start of it.
    message: Bytes,
    /// Whether the stream ends with the message; otherwise it stays open.
    ends: bool,
    connections: usize,
    calls_per_connection: usize,
}

/// A message of gRPC with a body of this size.
fn message(body_bytes: usize) -> Bytes {
    let request = ForwardRequest {
        request_id: "peer-call".to_owned(),
        service: "orders".to_owned(),
        method: "POST".to_owned(),
        authority: HOST.to_owned(),
        path: ROUTED_PATH.to_owned(),
        body: vec![b'x'; body_bytes].into(),
        remaining_ms: 30_000,
        idempotent: true,
        route: "orders".to_owned(),
        ..ForwardRequest::default()
    };
    let length = u32::try_from(request.encoded_len()).expect("a length of four bytes");
    let mut bytes = BytesMut::new();
    bytes.put_u8(0);
    bytes.put_u32(length);
    request.encode(&mut bytes).expect("a buffer that grows");
    bytes.freeze()
}

/// The same without its last byte.
fn cut_message(body_bytes: usize) -> Bytes {
    let message = message(body_bytes);
    message.slice(..message.len() - 1)
}

/// The prefix of a message of 64 MiB.
fn announced_message() -> Bytes {
    let mut prefix = BytesMut::from(&[0][..]);
    prefix.put_u32(64 << 20);
    prefix.freeze()
}

/// A message that consists of empty fields with this tag, each of two bytes.
fn empty_fields(tag: u8, fields: usize) -> Bytes {
    let mut message = BytesMut::from(&[0][..]);
    message.put_u32(u32::try_from(2 * fields).expect("a length of four bytes"));
    for _ in 0..fields {
        message.put_slice(&[tag, 0]);
    }
    message.freeze()
}

/// The parts of a message, which are counted as they are sent.
fn body(
    script: &Script,
    sent: Arc<AtomicUsize>,
) -> impl futures::Stream<Item = Result<Frame<Bytes>, Infallible>> + Send + 'static {
    let (message, ends) = (script.message.clone(), script.ends);
    let starts = (0..message.len()).step_by(PART_BYTES);
    let parts = stream::iter(starts).map(move |start| {
        sent.fetch_add(1, Ordering::Relaxed);
        let end = (start + PART_BYTES).min(message.len());
        Ok(Frame::data(message.slice(start..end)))
    });
    let rest = match ends {
        true => stream::empty().left_stream(),
        false => stream::pending().right_stream(),
    };
    parts.chain(rest)
}

/// Runs the calls of one connection; returns the number of those that were answered.
async fn run_connection(
    address: SocketAddr,
    script: Script,
    sent: Arc<AtomicUsize>,
    answered: Arc<AtomicUsize>,
) -> anyhow::Result<()> {
    let stream = TcpStream::connect(address).await?;
    let (sender, connection) = http2::handshake(TokioExecutor::new(), TokioIo::new(stream)).await?;
    let mut tasks = JoinSet::new();
    tasks.spawn(async move {
        // The node may close the connection.
        let _ = connection.await;
    });
    for _ in 0..script.calls_per_connection {
        let mut sender = sender.clone();
        let request = Request::builder()
            .method("POST")
            .uri(format!("http://{address}{}", script.path))
            .version(Version::HTTP_2)
            .header("content-type", "application/grpc")
            .header("te", "trailers")
            .body(StreamBody::new(Box::pin(body(&script, sent.clone()))))?;
        let answered = answered.clone();
        tasks.spawn(async move {
            if let Ok(response) = sender.send_request(request).await {
                answered.fetch_add(1, Ordering::Relaxed);
                // The answer is read to its end.
                let _ = http_body_util::BodyExt::collect(response.into_body()).await;
            }
        });
    }
    while tasks.join_next().await.is_some() {}
    Ok(())
}

/// Runs calls against a node, and checks that it lives, stays within its memory, and answers an ordinary
/// request while the calls are still open.
async fn check_calls(name: &str, network: u8, script: Script) -> anyhow::Result<()> {
    let _lock = ONE_AT_A_TIME.lock().await;
    let folder = tempfile::tempdir()?;
    let mut world = World::start(folder.path(), network, &["orders"], LIMITS).await?;
    let address = world.entry().addresses.peers;
    let (sent, answered) = (Arc::<AtomicUsize>::default(), Arc::<AtomicUsize>::default());
    let mut connections = JoinSet::new();
    for _ in 0..script.connections {
        connections.spawn(run_connection(address, script.clone(), sent.clone(), answered.clone()));
    }
    let mut seen = (0, 0);
    let mut waited = Duration::ZERO;
    while waited < STALL_TIME && world.nodes[0].is_running() {
        sleep(CHECK_INTERVAL).await;
        waited += CHECK_INTERVAL;
        let now = (sent.load(Ordering::Relaxed), answered.load(Ordering::Relaxed));
        if now != seen {
            (seen, waited) = (now, Duration::ZERO);
        }
    }
    let calls = script.connections * script.calls_per_connection;
    let parts = calls * script.message.len().div_ceil(PART_BYTES);
    println!(
        "calls {name}: peak memory {} MiB of {}, parts taken {} of {parts}, calls answered {} of {calls}",
        world.entry().peak_memory_kb().unwrap_or(0) >> 10,
        LIMITS.memory_mb,
        seen.0,
        seen.1,
    );
    assert!(world.nodes[0].is_running(), "the process has ended");
    let served = world.wait_for_request().await;
    let memory_kb = world.entry().peak_memory_kb()?;
    drop(connections);
    wait_until_released(&world).await?;
    assert!(world.nodes[0].is_running(), "the process has ended");
    assert!(memory_kb < LIMITS.memory_mb << 10, "peak memory of {} MiB", memory_kb >> 10);
    served
}

/// Waits until the node has returned the memory of the calls, which have ended.
async fn wait_until_released(world: &World) -> anyhow::Result<()> {
    let url = format!("http://{}/metrics", world.entry().addresses.operators);
    let deadline = Instant::now() + WAIT;
    loop {
        let client = standin::new_client();
        let reply = standin::http_call(&client, Method::GET, &url, &[], "").await?;
        let text = String::from_utf8_lossy(&reply.body);
        let used = text.lines().find_map(|it| it.strip_prefix("hibiscusdoor_memory_used_bytes "));
        let used_bytes: f64 = used.context("no metric")?.trim().parse()?;
        if used_bytes < MAX_IDLE_BYTES {
            return Ok(());
        }
        anyhow::ensure!(Instant::now() < deadline, "{used_bytes} bytes are still reserved");
        sleep(CHECK_INTERVAL).await;
    }
}

/// Guards against a body that runs twice or is reported as possibly run, 502, because the node that it was
/// forwarded to has no memory for it: that node refuses it before its upstream receives anything.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_body_that_the_other_node_cannot_hold_has_not_run() -> anyhow::Result<()> {
    let _lock = ONE_AT_A_TIME.lock().await;
    let folder = tempfile::tempdir()?;
    let entry = WorldLimits { max_body_bytes: 24 << 20, route_timeout_s: 30, ..LIMITS };
    // Five eighths of three quarters of 32 MiB hold no body of 20 MiB.
    let guard = WorldLimits { memory_mb: 32, ..entry };
    let nodes = [("front", entry), ("orders", guard)];
    let world = World::start_nodes(folder.path(), 160, &nodes).await?;
    let runs = || world.nodes[1].runs.load(Ordering::Relaxed);
    let runs_before = runs();
    let head = format!(
        "POST {ROUTED_PATH} HTTP/1.1\r\nhost: {HOST}\r\nx-attempt-id: large\r\n\
         x-deadline-ms: 30000\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
        20 << 20
    );
    let mut stream = TcpStream::connect(world.entry().addresses.callers).await?;
    stream.write_all(head.as_bytes()).await?;
    stream.write_all(&vec![b'x'; 20 << 20]).await?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await?;
    let answer = String::from_utf8_lossy(&answer);
    println!("body of 20 MiB: {answer}");
    assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
    assert_eq!(runs(), runs_before);
    world.wait_for_request().await
}

macro_rules! calls {
    ($($name:ident($network:expr, $path:expr, $message:expr, $ends:expr, $connections:expr, $calls:expr)),+ $(,)?) => {
        $(
            #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
            async fn $name() -> anyhow::Result<()> {
                let script = Script {
                    path: $path,
                    message: $message,
                    ends: $ends,
                    connections: $connections,
                    calls_per_connection: $calls,
                };
                check_calls(stringify!($name), $network, script).await
            }
        )+
    };
}

// Guard against a node that is killed for its memory by the gRPC calls of other nodes: their messages were
// collected in memory without a reservation.
calls! {
    large_forward_calls_that_stop_short(150, FORWARD, cut_message(4 << 20), false, 8, 8),
    large_exchanges_that_stop_short(151, SYNC, cut_message(4 << 20), false, 8, 8),
    small_forward_calls_that_stop_short(152, FORWARD, cut_message(60 << 10), false, 16, 100),
    large_forward_calls_without_end(153, FORWARD, message(4 << 20), false, 8, 8),
    announced_forward_calls(154, FORWARD, announced_message(), false, 16, 100),
    large_complete_forward_calls(155, FORWARD, message(4 << 20), true, 8, 8),
}

/// Tags of headers in `ForwardRequest` and of records in `SyncRequest`.
const HEADERS_TAG: u8 = 0x32;
const LATER_TAG: u8 = 0x4a;

// Guard against one message whose decoded fields take a multiple of its size: an empty header takes 2 bytes
// of a message and 56 bytes of memory, an empty record some 250.
calls! {
    forward_call_of_empty_headers(156, FORWARD, empty_fields(HEADERS_TAG, 4 << 20), true, 1, 1),
    forward_call_of_empty_headers_without_end(157, FORWARD, empty_fields(HEADERS_TAG, 4 << 20), false, 1, 1),
    exchange_of_empty_records(158, SYNC, empty_fields(LATER_TAG, 1 << 20), true, 1, 1),
    exchanges_of_empty_records_without_end(159, SYNC, empty_fields(LATER_TAG, 1 << 18), false, 8, 8),
}
