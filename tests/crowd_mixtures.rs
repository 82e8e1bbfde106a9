//! Whole large bodies beside many callers that keep no limits, with a route to another node: both nodes live,
//! stay within the memory and the descriptors of their machines, and still serve others.
//!
//! The tests check no times. They run one after the other, since each of them loads the machine.

mod crowds_world;
#[path = "soak/mod.rs"]
mod soak;

use std::{net::SocketAddr, time::Duration};

use crowds_world::node::{HOST, ROUTED_PATH, World, WorldLimits};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
    sync::{Mutex, watch},
    task::JoinSet,
    time::{sleep, timeout},
};

/// Held by the running test.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

/// Limits of each node. One body of the largest size fits into the part of the budget for large bodies.
const LIMITS: WorldLimits = WorldLimits {
    memory_mb: 96,
    max_descriptors: 1_024,
    max_body_bytes: 32 << 20,
    route_timeout_s: 10,
};
/// Longest wait of a caller of whole bodies for the node to read on, and for the end of the answer.
const STALL_TIME: Duration = Duration::from_secs(10);
/// Time between two bytes of a caller that sends slowly.
const SLOW_BYTE_INTERVAL: Duration = Duration::from_millis(250);
const DESCRIPTOR_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Requests that a caller sends without reading an answer.
const REQUESTS_AHEAD: usize = 400;

/// What the callers beside those of whole bodies send.
#[derive(Debug, Clone, Copy)]
enum Company {
    /// The first half of a head.
    HalfHead,
    /// Many requests, whose answers are not read.
    RequestsAhead,
    /// A head, and a byte of its body at a time.
    SlowBytes,
    /// A body of the largest size that stops one byte before its end.
    Unfinished,
    /// Each of the above in turn.
    All,
}

const COMPANIES: [Company; 4] =
    [Company::HalfHead, Company::RequestsAhead, Company::SlowBytes, Company::Unfinished];

fn head(id: &str, length: usize, fields: &str) -> Vec<u8> {
    format!(
        "POST {ROUTED_PATH} HTTP/1.1\r\nhost: {HOST}\r\nx-attempt-id: {id}\r\nx-deadline-ms: 10000\r\n\
         content-length: {length}\r\n{fields}\r\n"
    )
    .into_bytes()
}

/// Sends a whole body of the largest size.
async fn send_whole_body(address: SocketAddr, number: usize) -> std::io::Result<()> {
    let part = vec![b'x'; 64 << 10];
    let mut stream = TcpStream::connect(address).await?;
    let id = format!("whole-{number}");
    stream.write_all(&head(&id, LIMITS.max_body_bytes, "connection: close\r\n")).await?;
    let mut sent = 0;
    while sent < LIMITS.max_body_bytes
        && matches!(timeout(STALL_TIME, stream.write_all(&part)).await, Ok(Ok(())))
    {
        sent += part.len();
    }
    let mut answer = Vec::new();
    // The connection may also be reset.
    let _ = timeout(STALL_TIME, stream.read_to_end(&mut answer)).await;
    Ok(())
}

/// Keeps a connection busy until `stop`, and opens another one when the node has closed it.
async fn keep_company(
    address: SocketAddr,
    company: Company,
    number: usize,
    mut stop: watch::Receiver<bool>,
) {
    let company = match company {
        Company::All => COMPANIES[number % COMPANIES.len()],
        one => one,
    };
    let send = async {
        loop {
            // The node may be out of connections.
            let _ = send_company(address, company, number).await;
            sleep(SLOW_BYTE_INTERVAL).await;
        }
    };
    tokio::select! {
        () = send => {}
        _ = stop.wait_for(|it| *it) => {}
    }
}

async fn send_company(address: SocketAddr, company: Company, number: usize) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(address).await?;
    let id = format!("company-{number}");
    match company {
        Company::HalfHead | Company::All => stream.write_all(b"GET / HTTP/1.1\r\nx-a").await?,
        Company::RequestsAhead => {
            stream.write_all(&head(&id, 0, "").repeat(REQUESTS_AHEAD)).await?
        }
        Company::SlowBytes => {
            stream.write_all(&head(&id, 4096, "")).await?;
            loop {
                sleep(SLOW_BYTE_INTERVAL).await;
                stream.write_all(b"x").await?;
            }
        }
        Company::Unfinished => {
            stream.write_all(&head(&id, LIMITS.max_body_bytes, "")).await?;
            stream.write_all(&vec![b'x'; LIMITS.max_body_bytes - 1]).await?;
        }
    }
    // Ends when the node closes the connection; nothing is read before.
    loop {
        sleep(SLOW_BYTE_INTERVAL).await;
        if matches!(stream.try_write(b"x"), Err(error) if error.kind() != std::io::ErrorKind::WouldBlock)
        {
            return Ok(());
        }
    }
}

/// Lets `whole` callers send whole bodies beside `others`, and checks both nodes.
async fn check_mixture(
    name: &str,
    network: u8,
    company: Company,
    whole: usize,
    others: usize,
) -> anyhow::Result<()> {
    let _lock = ONE_AT_A_TIME.lock().await;
    let folder = tempfile::tempdir()?;
    let mut world = World::start(folder.path(), network, &["front", "orders"], LIMITS).await?;
    let address = world.entry().addresses.callers;
    let stop = watch::Sender::new(false);
    let (mut bodies, mut companions) = (JoinSet::new(), JoinSet::new());
    for number in 0..others {
        companions.spawn(keep_company(address, company, number, stop.subscribe()));
    }
    for number in 0..whole {
        bodies.spawn(send_whole_body(address, number));
    }
    let mut max_descriptors = 0;
    while !bodies.is_empty() {
        max_descriptors = max_descriptors.max(world.entry().descriptors().unwrap_or(0));
        // Callers whose connection was reset have ended with an error.
        let _ = timeout(DESCRIPTOR_CHECK_INTERVAL, bodies.join_next()).await;
    }
    let served = world.wait_for_request().await;
    stop.send_replace(true);
    companions.join_all().await;
    for node in &mut world.nodes {
        assert!(node.is_running(), "a process has ended");
        let memory_kb = node.peak_memory_kb()?;
        let reserved_bytes = node.peak_reserved_bytes().await?;
        println!(
            "mixture {name}: peak memory {} MiB of {}, reserved {} MiB, descriptors {max_descriptors}",
            memory_kb >> 10,
            LIMITS.memory_mb,
            reserved_bytes >> 20
        );
        assert!(memory_kb < LIMITS.memory_mb << 10, "peak memory of {} MiB", memory_kb >> 10);
    }
    assert!(max_descriptors as u64 <= LIMITS.max_descriptors, "{max_descriptors} descriptors");
    served
}

macro_rules! mixtures {
    ($($name:ident($network:expr, $company:expr, $whole:expr, $others:expr)),+ $(,)?) => {
        $(
            #[tokio::test(flavor = "multi_thread", worker_threads = 4)]
            async fn $name() -> anyhow::Result<()> {
                check_mixture(stringify!($name), $network, $company, $whole, $others).await
            }
        )+
    };
}

// Guard against processes that are killed for their memory while whole bodies are passed on: each was held
// twice beyond the budget, and the requests of other callers were not reserved.
mixtures! {
    whole_bodies_alone(120, Company::HalfHead, 12, 0),
    whole_bodies_beside_half_heads(121, Company::HalfHead, 12, 72),
    whole_bodies_beside_requests_ahead(122, Company::RequestsAhead, 12, 72),
    whole_bodies_beside_slow_callers(123, Company::SlowBytes, 12, 192),
    whole_bodies_beside_unfinished_ones(124, Company::Unfinished, 12, 24),
    whole_bodies_beside_all_kinds(125, Company::All, 12, 160),
}
