//! Crowds of callers that keep no limits: the node lives, stays within the memory and the descriptors
//! of its machine, and still serves others.
//!
//! The tests check no times. They run one after the other, since each of them loads the machine.

mod crowds_world;
#[path = "soak/mod.rs"]
mod soak;

use std::{fmt::Write as _, net::SocketAddr, time::Duration};

use crowds_world::{
    crowd::{self, Script},
    node::{Addresses, HOST, READINESS_PATH, ROUTED_PATH, UNROUTED_PATH, World, WorldLimits},
};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
    sync::Mutex,
};

/// Held by the running test.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

/// Limits of the node that a crowd connects to.
const LIMITS: WorldLimits = WorldLimits {
    memory_mb: 96,
    max_descriptors: 256,
    max_body_bytes: 2 << 20,
    route_timeout_s: 3,
};
/// Limits of a node that serves single requests at the limit of a figure.
const CALM_LIMITS: WorldLimits = WorldLimits {
    memory_mb: 160,
    max_descriptors: 4_100,
    max_body_bytes: 64 << 20,
    route_timeout_s: 30,
};
const DESCRIPTOR_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// A listener of a node.
type Listener = fn(&Addresses) -> SocketAddr;

const CALLERS: Listener = |it| it.callers;
const READINESS: Listener = |it| it.readiness;
const HEARTBEATS: Listener = |it| it.heartbeats;
const OPERATORS: Listener = |it| it.operators;
const PEERS: Listener = |it| it.peers;

/// Runs a crowd against a listener, and checks that the node lives, stays within its memory and its
/// descriptors, and answers an ordinary request while the connections of the crowd are still open.
async fn check_crowd(
    name: &str,
    network: u8,
    listener: Listener,
    script: Script,
    count: usize,
) -> anyhow::Result<()> {
    let _lock = ONE_AT_A_TIME.lock().await;
    let folder = tempfile::tempdir()?;
    let mut world = World::start(folder.path(), network, &["orders"], LIMITS).await?;
    let address = listener(&world.entry().addresses);
    let sending = crowd::send(address, &script, count);
    tokio::pin!(sending);
    let mut max_descriptors = 0;
    let crowd = loop {
        max_descriptors = max_descriptors.max(world.entry().descriptors().unwrap_or(0));
        tokio::select! {
            crowd = &mut sending => break crowd,
            () = tokio::time::sleep(DESCRIPTOR_CHECK_INTERVAL) => {}
        }
    };
    max_descriptors = max_descriptors.max(world.entry().descriptors()?);
    let memory_kb = world.entry().peak_memory_kb()?;
    println!(
        "crowd {name}: peak memory {} MiB of {}, descriptors {max_descriptors} of {}, \
         connections closed by the node {} of {count}",
        memory_kb >> 10,
        LIMITS.memory_mb,
        LIMITS.max_descriptors,
        crowd.closed
    );
    let served = world.wait_for_request().await;
    let memory_kb = world.entry().peak_memory_kb()?;
    drop(crowd);
    assert!(world.nodes[0].is_running(), "the process has ended");
    assert!(memory_kb < LIMITS.memory_mb << 10, "peak memory of {} MiB", memory_kb >> 10);
    assert!(max_descriptors as u64 <= LIMITS.max_descriptors, "{max_descriptors} descriptors");
    served
}

fn request_head(method: &str, path: &str, fields: &str) -> String {
    format!("{method} {path} HTTP/1.1\r\nhost: {HOST}\r\nx-attempt-id: crowd\r\n{fields}\r\n")
}

/// A body of the largest legal size that stops one byte before its end.
fn unfinished_body(path: &str) -> Script {
    let length = LIMITS.max_body_bytes;
    let head = request_head("POST", path, &format!("content-length: {length}\r\n"));
    Script {
        tail: vec![b'x'; 1023].into(),
        ..Script::new(head, vec![b'x'; 1024], length / 1024 - 1)
    }
}

/// A body of the largest legal size, in chunks of 1 KiB, without the last chunk.
fn unfinished_chunks(path: &str) -> Script {
    let head = request_head("POST", path, "transfer-encoding: chunked\r\n");
    let chunk = format!("400\r\n{}\r\n", "x".repeat(1024));
    Script::new(head, chunk, LIMITS.max_body_bytes / 1024)
}

/// A body in chunks of one byte without the last chunk.
fn tiny_chunks(path: &str) -> Script {
    let head = request_head("POST", path, "transfer-encoding: chunked\r\n");
    Script::new(head, "1\r\nx\r\n".repeat(256), 512)
}

/// A body in one large chunk that stops half-way.
fn unfinished_chunk(path: &str) -> Script {
    let length = LIMITS.max_body_bytes;
    let head = request_head("POST", path, "transfer-encoding: chunked\r\n");
    Script::new(format!("{head}{length:x}\r\n"), vec![b'x'; 1024], length / 1024 - 1)
}

/// A body that is far over the limit.
fn oversized_body(path: &str) -> Script {
    let head = request_head("POST", path, "content-length: 1073741824\r\n");
    Script::new(head, vec![b'x'; 64 << 10], 256)
}

/// A body in chunks that is far over the limit.
fn oversized_chunks(path: &str) -> Script {
    let head = request_head("POST", path, "transfer-encoding: chunked\r\n");
    let chunk = format!("10000\r\n{}\r\n", "x".repeat(64 << 10));
    Script::new(head, chunk, 256)
}

/// Short fields that together fill a head of the largest legal size.
fn short_fields(name_prefix: &str) -> String {
    let mut fields = String::new();
    for number in 0.. {
        let field = format!("{name_prefix}{number:x}:\r\n");
        if fields.len() + field.len() > (16 << 10) - 300 {
            break;
        }
        fields.push_str(&field);
    }
    fields
}

/// Requests with very many short header fields, one after the other.
fn many_fields(path: &str) -> Script {
    let request = request_head("GET", path, &short_fields("a"));
    Script { reads: true, ..Script::new("", request, 20) }
}

/// Pipelined requests with very many short header fields; no answer is read.
fn many_fields_unread(path: &str) -> Script {
    Script::new("", request_head("GET", path, &short_fields("a")), 200)
}

/// Pipelined requests; no answer is read.
fn unread_pipeline(path: &str) -> Script {
    Script::new("", request_head("GET", path, "").repeat(10), 300)
}

/// Pipelined requests with large bodies; no answer is read.
fn unread_uploads(path: &str) -> Script {
    let fields = format!("content-length: {}\r\n", 64 << 10);
    let request = [request_head("POST", path, &fields).into_bytes(), vec![b'x'; 64 << 10]].concat();
    Script::new("", request, 32)
}

/// The first half of a head.
fn half_head(path: &str) -> Script {
    Script::new(format!("GET {path} HTTP/1.1\r\nhost: {HOST}\r\nx-a"), "", 0)
}

/// The first half of a body of some KiB.
fn half_body(path: &str) -> Script {
    Script::new(request_head("PUT", path, "content-length: 65536\r\n"), vec![b' '; 1024], 32)
}

/// A head that never ends.
fn endless_head(path: &str) -> Script {
    let head = format!("GET {path} HTTP/1.1\r\nhost: {HOST}\r\nx-a: ");
    Script::new(head, vec![b'x'; 1024], 2048)
}

/// A frame of a link that announces 64 MiB, without its end.
fn half_frame() -> Script {
    let mut head = b"HIBLINK1".to_vec();
    head.extend_from_slice(&(64_u32 << 20).to_be_bytes());
    Script::new(head, vec![0; 1024], 32)
}

/// The start of an HTTP/2 connection without any frame.
fn half_http2() -> Script {
    Script::new("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", "", 0)
}

macro_rules! crowds {
    ($($name:ident($network:expr, $listener:expr, $script:expr, $count:expr)),+ $(,)?) => {
        $(
            #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
            async fn $name() -> anyhow::Result<()> {
                check_crowd(stringify!($name), $network, $listener, $script, $count).await
            }
        )+
    };
}

// Guard against processes that are killed for their memory, or run out of descriptors, while callers
// keep no limits: 150 callers with bodies that stop one byte short took a node of 160 MB to 316 MB,
// pipelined requests whose answers they did not read to 368 MB.
crowds! {
    unfinished_bodies_with_a_route(1, CALLERS, unfinished_body(ROUTED_PATH), 64),
    unfinished_bodies_without_a_route(2, CALLERS, unfinished_body(UNROUTED_PATH), 64),
    unfinished_bodies_at_readiness(3, READINESS, unfinished_body(READINESS_PATH), 64),
    unfinished_chunks_with_a_route(4, CALLERS, unfinished_chunks(ROUTED_PATH), 64),
    unfinished_chunks_without_a_route(5, CALLERS, unfinished_chunks(UNROUTED_PATH), 64),
    unfinished_chunks_at_readiness(6, READINESS, unfinished_chunks(READINESS_PATH), 64),
    tiny_chunks_with_a_route(7, CALLERS, tiny_chunks(ROUTED_PATH), 32),
    tiny_chunks_without_a_route(8, CALLERS, tiny_chunks(UNROUTED_PATH), 32),
    unfinished_large_chunks_with_a_route(9, CALLERS, unfinished_chunk(ROUTED_PATH), 64),
    oversized_bodies_with_a_route(10, CALLERS, oversized_body(ROUTED_PATH), 64),
    oversized_bodies_without_a_route(11, CALLERS, oversized_body(UNROUTED_PATH), 64),
    oversized_bodies_at_readiness(12, READINESS, oversized_body(READINESS_PATH), 64),
    oversized_chunks_with_a_route(13, CALLERS, oversized_chunks(ROUTED_PATH), 64),
    oversized_chunks_without_a_route(14, CALLERS, oversized_chunks(UNROUTED_PATH), 64),
    many_fields_with_a_route(15, CALLERS, many_fields(ROUTED_PATH), 32),
    many_fields_without_a_route(16, CALLERS, many_fields(UNROUTED_PATH), 32),
    many_fields_at_readiness(17, READINESS, many_fields(READINESS_PATH), 32),
    many_unread_fields_with_a_route(18, CALLERS, many_fields_unread(ROUTED_PATH), 32),
    many_unread_fields_without_a_route(19, CALLERS, many_fields_unread(UNROUTED_PATH), 32),
    unread_pipelines_with_a_route(20, CALLERS, unread_pipeline(ROUTED_PATH), 64),
    unread_pipelines_without_a_route(21, CALLERS, unread_pipeline(UNROUTED_PATH), 64),
    unread_pipelines_at_readiness(22, READINESS, unread_pipeline(READINESS_PATH), 64),
    unread_uploads_with_a_route(23, CALLERS, unread_uploads(ROUTED_PATH), 64),
    unread_uploads_without_a_route(24, CALLERS, unread_uploads(UNROUTED_PATH), 64),
    half_heads_with_a_route(25, CALLERS, half_head(ROUTED_PATH), 400),
    half_heads_without_a_route(26, CALLERS, half_head(UNROUTED_PATH), 400),
    half_heads_at_readiness(27, READINESS, half_head(READINESS_PATH), 400),
    half_heads_at_heartbeats(28, HEARTBEATS, half_head("/instances/u-1"), 400),
    half_heads_at_operators(29, OPERATORS, half_head("/metrics"), 400),
    half_heads_at_peers(30, PEERS, half_head("/"), 400),
    endless_heads_with_a_route(31, CALLERS, endless_head(ROUTED_PATH), 64),
    endless_heads_at_readiness(32, READINESS, endless_head(READINESS_PATH), 64),
    half_bodies_at_heartbeats(33, HEARTBEATS, half_body("/instances/u-2"), 400),
    half_bodies_at_operators(34, OPERATORS, half_body("/state"), 400),
    half_frames_at_peers(35, PEERS, half_frame(), 400),
    half_http2_at_peers(36, PEERS, half_http2(), 400),
    unread_state_at_operators(37, OPERATORS, unread_pipeline("/state"), 64),
}

/// Sends a request to the first of these nodes and checks that it is answered with 200 and this body, and
/// that all nodes stay within their memory.
async fn check_calm_request(
    name: &str,
    network: u8,
    services: &[&str],
    request: &[&[u8]],
    expected_body: &str,
) -> anyhow::Result<()> {
    let _lock = ONE_AT_A_TIME.lock().await;
    let folder = tempfile::tempdir()?;
    let world = World::start(folder.path(), network, services, CALM_LIMITS).await?;
    let mut stream = TcpStream::connect(world.entry().addresses.callers).await?;
    for part in request {
        stream.write_all(part).await?;
    }
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await?;
    let answer = String::from_utf8_lossy(&answer);
    let mut text = format!("calm {name}: peak memory");
    for node in &world.nodes {
        write!(text, " {} MiB", node.peak_memory_kb()? >> 10)?;
    }
    println!("{text} of {}", CALM_LIMITS.memory_mb);
    assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
    assert!(answer.ends_with(&format!("\r\n\r\n{expected_body}")), "{answer}");
    for node in &world.nodes {
        let memory_kb = node.peak_memory_kb()?;
        assert!(memory_kb < CALM_LIMITS.memory_mb << 10, "peak memory {} MiB", memory_kb >> 10);
    }
    Ok(())
}

const CLOSE: &str = "connection: close\r\nx-deadline-ms: 30000\r\n";

/// Guards against bounds that refuse a body of the largest legal size without load, at the node itself
/// and forwarded to another one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_body_of_the_largest_size_is_served() -> anyhow::Result<()> {
    let length = CALM_LIMITS.max_body_bytes;
    let fields = format!("{CLOSE}content-length: {length}\r\n");
    let (head, body) = (request_head("POST", ROUTED_PATH, &fields), vec![b'x'; length]);
    let request = [head.as_bytes(), &body];
    check_calm_request("body", 101, &["orders"], &request, &length.to_string()).await
}

/// See [`a_body_of_the_largest_size_is_served`].
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_body_of_the_largest_size_is_forwarded() -> anyhow::Result<()> {
    let length = CALM_LIMITS.max_body_bytes;
    let fields = format!("{CLOSE}content-length: {length}\r\n");
    let (head, body) = (request_head("POST", ROUTED_PATH, &fields), vec![b'x'; length]);
    let request = [head.as_bytes(), &body];
    let services = ["front", "orders"];
    check_calm_request("forwarded body", 102, &services, &request, &length.to_string()).await
}

/// Guards against chunks that are not read: a body of 1 MiB in one chunk got 408 after 3 s.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_body_in_one_chunk_is_served() -> anyhow::Result<()> {
    let length = CALM_LIMITS.max_body_bytes;
    let fields = format!("{CLOSE}transfer-encoding: chunked\r\n");
    let head = format!("{}{length:x}\r\n", request_head("POST", ROUTED_PATH, &fields));
    let body = vec![b'x'; length];
    let request = [head.as_bytes(), &body, b"\r\n0\r\n\r\n"];
    check_calm_request("one chunk", 103, &["orders"], &request, &length.to_string()).await
}

/// Guards against bounds on chunks that refuse a body in many small ones.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_body_in_tiny_chunks_is_served() -> anyhow::Result<()> {
    let fields = format!("{CLOSE}transfer-encoding: chunked\r\n");
    let head = request_head("POST", ROUTED_PATH, &fields);
    let chunks = "1\r\nx\r\n".repeat(1 << 20);
    let request = [head.as_bytes(), chunks.as_bytes(), b"0\r\n\r\n"];
    check_calm_request("tiny chunks", 104, &["orders"], &request, "1048576").await
}

/// Guards against a bound on header fields below what the largest head permits: more than 96 fields got
/// 431.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_head_of_short_fields_is_served() -> anyhow::Result<()> {
    let head = request_head("GET", ROUTED_PATH, &format!("{CLOSE}{}", short_fields("a")));
    check_calm_request("short fields", 105, &["orders"], &[head.as_bytes()], "0").await
}
