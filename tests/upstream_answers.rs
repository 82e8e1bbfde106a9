//! Upstreams in trouble that answer with more bytes than a node can hold: the node lives, stays within the
//! memory of its machine, and still serves others.
//!
//! The tests check no times. They run one after the other, since each of them loads the machine.

mod crowds_world;
#[path = "soak/mod.rs"]
mod soak;

use std::{net::SocketAddr, time::Duration};

use crowds_world::{
    node::{HOST, Setup, World, WorldLimits},
    upstream::{TROUBLED_PATH, TroubledAnswer},
};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
    sync::Mutex,
    task::JoinSet,
    time::timeout,
};

/// Held by the running test.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

/// Limits of each node.
const LIMITS: WorldLimits = WorldLimits {
    memory_mb: 96,
    max_descriptors: 1_024,
    max_body_bytes: 2 << 20,
    route_timeout_s: 3,
};
/// Requests that each caller sends, one after the other.
const ROUNDS: usize = 4;
/// Longest wait of a caller for the end of an answer.
const ANSWER_TIME: Duration = Duration::from_secs(10);
/// Time for which a caller that does not read keeps its connection open.
const UNREAD_TIME: Duration = Duration::from_secs(2);

/// Services of the nodes: the entry node, and the node beside the upstream in trouble.
const ONE_NODE: &[&str] = &["orders"];
const TWO_NODES: &[&str] = &["front", "orders"];

/// What callers do with their answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Reading {
    All,
    Nothing,
}

/// Sends requests that get the answers of the upstream in trouble.
async fn call(address: SocketAddr, number: usize, reading: Reading) {
    for round in 0..ROUNDS {
        let Ok(mut stream) = TcpStream::connect(address).await else { continue };
        let head = format!(
            "GET {TROUBLED_PATH} HTTP/1.1\r\nhost: {HOST}\r\nx-attempt-id: {number}-{round}\r\n\
             x-deadline-ms: 3000\r\nconnection: close\r\n\r\n"
        );
        if stream.write_all(head.as_bytes()).await.is_err() {
            continue;
        }
        match reading {
            Reading::All => {
                let mut answer = Vec::new();
                // The connection may also be reset, or stay open.
                let _ = timeout(ANSWER_TIME, stream.read_to_end(&mut answer)).await;
            }
            Reading::Nothing => tokio::time::sleep(UNREAD_TIME).await,
        }
    }
}

/// Lets many callers ask the upstream in trouble, and checks that all nodes live, stay within the memory
/// of their machines, and serve an ordinary request.
async fn check_answers(
    name: &str,
    network: u8,
    services: &[&str],
    answer: TroubledAnswer,
    callers: usize,
    reading: Reading,
) -> anyhow::Result<()> {
    let _lock = ONE_AT_A_TIME.lock().await;
    let folder = tempfile::tempdir()?;
    let setup = Setup { troubled: Some(answer), ..Setup::default() };
    let nodes: Vec<_> = services.iter().map(|service| (*service, LIMITS)).collect();
    let mut world = World::start_with(folder.path(), network, &nodes, setup).await?;
    let address = world.entry().addresses.callers;
    let mut tasks = JoinSet::new();
    for number in 0..callers {
        tasks.spawn(call(address, number, reading));
    }
    tasks.join_all().await;
    let served = world.wait_for_request().await;
    for node in &mut world.nodes {
        let memory_kb = node.peak_memory_kb()?;
        let reserved_bytes = node.peak_reserved_bytes().await?;
        println!(
            "answers {name}: peak memory {} MiB of {}, reserved {} MiB",
            memory_kb >> 10,
            LIMITS.memory_mb,
            reserved_bytes >> 20
        );
        assert!(node.is_running(), "a process has ended");
        assert!(memory_kb < LIMITS.memory_mb << 10, "peak memory of {} MiB", memory_kb >> 10);
    }
    served
}

macro_rules! answers {
    ($($name:ident($network:expr, $services:expr, $answer:expr, $callers:expr, $reading:expr)),+ $(,)?) => {
        $(
            #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
            async fn $name() -> anyhow::Result<()> {
                let (answer, callers) = ($answer, $callers);
                check_answers(stringify!($name), $network, $services, answer, callers, $reading).await
            }
        )+
    };
}

/// A body without a length that does not end, in parts of this size.
fn endless_body(part_bytes: usize) -> TroubledAnswer {
    TroubledAnswer::endless("\r\n", vec![b'z'; part_bytes])
}

/// Chunks that do not end.
fn endless_chunks(chunk_bytes: usize) -> TroubledAnswer {
    let chunk = format!("{chunk_bytes:x}\r\n{}\r\n", "z".repeat(chunk_bytes));
    TroubledAnswer::endless("transfer-encoding: chunked\r\n\r\n", chunk)
}

/// A body that stops before its stated length.
fn unfinished_body(length: usize) -> TroubledAnswer {
    let fields = format!("content-length: {length}\r\n\r\n");
    let part = vec![b'z'; 16 << 10];
    TroubledAnswer { repeat: length / part.len() - 1, ..TroubledAnswer::endless(&fields, part) }
}

/// A head that does not end.
fn endless_head() -> TroubledAnswer {
    TroubledAnswer::endless("x-a: ", vec![b'z'; 64 << 10])
}

/// A complete answer of this size.
fn large_body(length: usize) -> TroubledAnswer {
    let fields = format!("content-length: {length}\r\n\r\n");
    TroubledAnswer { repeat: 1, ..TroubledAnswer::endless(&fields, vec![b'z'; length]) }
}

// Guard against nodes that are killed for their memory while an upstream sends bytes without end. The
// growing buffers of the answers left holes in the heap of the allocator, and the read buffers of their
// connections were not counted: a node of 160 MB exceeded its memory with 200 callers.
answers! {
    endless_bodies(141, ONE_NODE, endless_body(64 << 10), 200, Reading::All),
    endless_bodies_in_small_parts(142, ONE_NODE, endless_body(8 << 10), 200, Reading::All),
    endless_bodies_in_large_parts(143, ONE_NODE, endless_body(1 << 20), 200, Reading::All),
    endless_bodies_of_few_callers(144, ONE_NODE, endless_body(64 << 10), 30, Reading::All),
    endless_bodies_for_many_callers(145, ONE_NODE, endless_body(64 << 10), 380, Reading::All),
    endless_bodies_at_another_node(146, TWO_NODES, endless_body(64 << 10), 200, Reading::All),
    endless_chunked_bodies(147, ONE_NODE, endless_chunks(16 << 10), 200, Reading::All),
    endless_bodies_in_tiny_chunks(148, ONE_NODE, endless_chunks(64), 60, Reading::All),
    unfinished_bodies(149, ONE_NODE, unfinished_body(16 << 20), 200, Reading::All),
    unfinished_bodies_of_usual_size(150, ONE_NODE, unfinished_body(256 << 10), 200, Reading::All),
    endless_heads(151, ONE_NODE, endless_head(), 200, Reading::All),
}

// Guard against nodes that are killed for their memory by complete answers that callers of another node do
// not read: the copies that waited for a link to be written were not reserved.
answers! {
    unread_answers(152, ONE_NODE, large_body(1 << 20), 150, Reading::Nothing),
    unread_answers_of_another_node(153, TWO_NODES, large_body(1 << 20), 150, Reading::Nothing),
    unread_large_answers_of_another_node(154, TWO_NODES, large_body(8 << 20), 40, Reading::Nothing),
    large_answers_of_another_node(155, TWO_NODES, large_body(1 << 20), 150, Reading::All),
}
