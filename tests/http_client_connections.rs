//! Which connections to an upstream are kept, and for which requests they are used again.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use hibiscusdoor::{
    http_client::{ConnectRequest, ConnectionPool, OpenReason, PoolLimits, Reuse, SendFailure},
    memory::MemoryBudget,
};
use http::{HeaderValue, Request};
use http_body_util::Full;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};

/// Time within which an expected state is reached.
const TIMEOUT: Duration = Duration::from_secs(20);
const IDLE_TIME: Duration = Duration::from_secs(8);
/// Time for which a connection is not used after a refusal.
const PAUSE: Duration = Duration::from_millis(100);
/// Longer than [`PAUSE`].
const REST: Duration = Duration::from_millis(250);
/// Body of a usual response, which arrives in several parts.
const USUAL_BYTES: usize = 200 << 10;

/// Body of a request that is answered before it is read, or read late; larger than the buffers of a connection.
const EARLY_BODY_BYTES: usize = 16 << 20;
/// Time after the answer until the upstream reads such a body.
const EARLY_PAUSE: Duration = Duration::from_millis(150);

/// Time for which an upstream reads nothing; longer than the kernel probes a silent connection.
const UPSTREAM_PAUSE: Duration = Duration::from_secs(5);

/// Upstream that answers by the id of the request, and counts connections.
#[derive(Debug, Default)]
struct Upstream {
    accepted: AtomicUsize,
    open: AtomicUsize,
    most_open: AtomicUsize,
    /// Whether the body of a request that was answered before it arrived has been read.
    has_read_early: AtomicBool,
}

/// Reads the head of a request and returns its id.
async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    let head = String::from_utf8(head).ok()?;
    let line = head.lines().find(|line| line.starts_with("x-id: "))?;
    Some(line.trim_start_matches("x-id: ").to_owned())
}

async fn answer(stream: &mut TcpStream, id: &str) -> std::io::Result<()> {
    let (status, extra) = match id.split('-').next().unwrap_or_default() {
        "refused" | "twice" => ("503 Full", ""),
        "short" => ("200 OK", "keep-alive: timeout=1\r\n"),
        "long" => ("200 OK", "keep-alive: timeout=20, max=1000\r\n"),
        _ => ("200 OK", ""),
    };
    let body = match id.starts_with("usual") {
        true => "u".repeat(USUAL_BYTES),
        false => id.to_owned(),
    };
    if id.starts_with("endless") {
        stream.write_all(format!("HTTP/1.1 200 OK\r\nx-id: {id}\r\n\r\n").as_bytes()).await?;
        loop {
            stream.write_all(&[b'z'; 65536]).await?;
        }
    }
    if id.starts_with("delayed") {
        sleep(Duration::from_millis(20)).await;
    }
    if id.starts_with("paused") {
        sleep(UPSTREAM_PAUSE).await;
        stream.read_exact(&mut vec![0; EARLY_BODY_BYTES]).await?;
    }
    let length = body.len();
    let text =
        format!("HTTP/1.1 {status}\r\nx-id: {id}\r\n{extra}content-length: {length}\r\n\r\n{body}");
    stream.write_all(text.as_bytes()).await?;
    if id.starts_with("twice") {
        sleep(Duration::from_millis(20)).await;
        stream.write_all(text.as_bytes()).await?;
    }
    Ok(())
}

async fn start_upstream() -> (SocketAddr, Arc<Upstream>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("its address");
    let upstream = Arc::<Upstream>::default();
    let shared = upstream.clone();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let upstream = shared.clone();
            upstream.accepted.fetch_add(1, Ordering::Relaxed);
            let open = upstream.open.fetch_add(1, Ordering::Relaxed) + 1;
            upstream.most_open.fetch_max(open, Ordering::Relaxed);
            tokio::spawn(async move {
                while let Some(id) = read_request(&mut stream).await {
                    if answer(&mut stream, &id).await.is_err() {
                        break;
                    }
                    if id.starts_with("early") {
                        sleep(EARLY_PAUSE).await;
                        let mut body = vec![0; EARLY_BODY_BYTES];
                        if stream.read_exact(&mut body).await.is_err() {
                            break;
                        }
                        upstream.has_read_early.store(true, Ordering::Relaxed);
                    }
                }
                upstream.open.fetch_sub(1, Ordering::Relaxed);
            });
        }
    });
    (address, upstream)
}

fn pool(max_idle_time: Duration) -> ConnectionPool {
    let limits = PoolLimits { max_idle: 512, max_idle_time, max_body_bytes: 32 << 20 };
    ConnectionPool::new(limits, Arc::new(MemoryBudget::new(16 << 20)))
}

/// Sends a request; `Err` with the reason if there is no complete answer to it.
async fn send(pool: &ConnectionPool, address: SocketAddr, id: &str) -> Result<Bytes, String> {
    send_within(pool, address, id, Duration::MAX).await
}

async fn send_within(
    pool: &ConnectionPool,
    address: SocketAddr,
    id: &str,
    max_idle_time: Duration,
) -> Result<Bytes, String> {
    send_body(pool, address, id, max_idle_time, Bytes::new()).await
}

async fn send_body(
    pool: &ConnectionPool,
    address: SocketAddr,
    id: &str,
    max_idle_time: Duration,
    body: Bytes,
) -> Result<Bytes, String> {
    let connect =
        ConnectRequest { address, max_idle_time, refusal_pause: PAUSE, request_id: Some(id) };
    let connection = pool.connect(connect).await.map_err(|error| error.to_string())?;
    let mut request = Request::new(Full::new(body));
    request.headers_mut().insert("host", HeaderValue::from_static("a"));
    request.headers_mut().insert("x-id", HeaderValue::from_str(id).expect("a header value"));
    let expected: Arc<str> = id.into();
    let sent = pool.send(connection, request, move |parts, _| {
        match parts.headers.get("x-id").is_some_and(|it| it.as_bytes() == expected.as_bytes()) {
            true if parts.status.is_success() => Ok(Reuse::Keep),
            true => Ok(Reuse::KeepForOthers(expected)),
            false => Err("the answer belongs to another request".to_owned()),
        }
    });
    sent.await.map(|answer| answer.body).map_err(|failure| match failure {
        SendFailure::Incomplete(detail) | SendFailure::Unsent(_, detail) => detail,
    })
}

/// Guards against a new connection after each refusal: on a heavy day, 80,974 connections were opened for
/// 586,000 requests.
#[tokio::test]
async fn a_refusal_keeps_its_connection() {
    let (address, upstream) = start_upstream().await;
    let pool = pool(IDLE_TIME);
    for number in 0..4 {
        send(&pool, address, &format!("refused-{number}")).await.expect("a refusal");
        sleep(REST).await;
        send(&pool, address, &format!("good-{number}")).await.expect("an answer");
    }
    assert_eq!(upstream.accepted.load(Ordering::Relaxed), 1);
}

/// Guards against a late copy of a refusal that counts as the refusal of the same request when it is sent
/// again.
#[tokio::test]
async fn a_refused_request_does_not_use_the_connection_again() {
    let (address, upstream) = start_upstream().await;
    let pool = pool(IDLE_TIME);
    send(&pool, address, "refused-a").await.expect("a refusal");
    sleep(REST).await;
    send(&pool, address, "refused-a").await.expect("a refusal");
    assert_eq!(upstream.accepted.load(Ordering::Relaxed), 2);
}

/// Guards against a connection that is used while a copy of a refusal may still arrive in it.
#[tokio::test]
async fn a_second_refusal_closes_the_connection() {
    let (address, upstream) = start_upstream().await;
    let pool = pool(IDLE_TIME);
    send(&pool, address, "twice-a").await.expect("a refusal");
    send(&pool, address, "good-a").await.expect("an answer on another connection");
    sleep(REST).await;
    for number in 0..3 {
        send(&pool, address, &format!("good-{number}")).await.expect("an answer");
    }
    assert_eq!(upstream.accepted.load(Ordering::Relaxed), 2);
    assert_eq!(pool.opened_for(OpenReason::InvalidResponse), 0);
}

/// Guards against requests on connections that the upstream is about to close, and against closing those
/// that it keeps for longer.
#[tokio::test]
async fn the_idle_time_that_the_upstream_states_is_kept() {
    let (address, upstream) = start_upstream().await;
    let pool = pool(Duration::from_millis(200));
    send(&pool, address, "long-a").await.expect("an answer");
    sleep(Duration::from_millis(600)).await;
    send(&pool, address, "short-a").await.expect("an answer");
    assert_eq!(upstream.accepted.load(Ordering::Relaxed), 1);
    sleep(Duration::from_millis(600)).await;
    send(&pool, address, "short-b").await.expect("an answer");
    assert_eq!(upstream.accepted.load(Ordering::Relaxed), 2);
}

/// Guards against a request that must not run twice on a connection that was idle for long, and against
/// closing that connection, which other requests may use.
#[tokio::test]
async fn an_older_connection_stays_for_requests_that_may_use_it() {
    let (address, upstream) = start_upstream().await;
    let pool = pool(IDLE_TIME);
    send(&pool, address, "good-a").await.expect("an answer");
    sleep(REST).await;
    send_within(&pool, address, "good-b", REST).await.expect("an answer");
    assert_eq!(upstream.accepted.load(Ordering::Relaxed), 2);
    assert_eq!(pool.idle_count(), 2);
}

/// Guards against more connections than the upstream accepts.
#[tokio::test]
async fn no_more_connections_than_the_upstream_accepts() {
    let (address, upstream) = start_upstream().await;
    let pool = pool(IDLE_TIME);
    pool.set_max_open(Some(3));
    let ids: Vec<String> = (0..9).map(|number| format!("delayed-{number}")).collect();
    let answers = futures::future::join_all(ids.iter().map(|id| send(&pool, address, id))).await;
    for answer in answers {
        answer.expect("an answer");
    }
    assert_eq!(upstream.most_open.load(Ordering::Relaxed), 3);
    assert_eq!(upstream.accepted.load(Ordering::Relaxed), 3);
}

/// Guards against closing a sound connection that is not ready 10 ms after its last response: a node that
/// is short of processor time, or that still sends the body of an answered request, needs longer.
#[tokio::test]
async fn a_connection_that_is_not_ready_yet_is_kept() {
    let (address, upstream) = start_upstream().await;
    let pool = pool(IDLE_TIME);
    let body = Bytes::from(vec![b'b'; EARLY_BODY_BYTES]);
    send_body(&pool, address, "early-a", Duration::MAX, body).await.expect("an early answer");
    send(&pool, address, "good-a").await.expect("an answer on another connection");
    assert_eq!(upstream.accepted.load(Ordering::Relaxed), 2);
    let are_idle = async {
        while pool.idle_count() < 2 || !upstream.has_read_early.load(Ordering::Relaxed) {
            sleep(Duration::from_millis(10)).await;
        }
    };
    timeout(TIMEOUT, are_idle).await.expect("both connections are idle");
    sleep(REST).await;
    let both = [send(&pool, address, "delayed-a"), send(&pool, address, "delayed-b")];
    for answer in futures::future::join_all(both).await {
        answer.expect("an answer");
    }
    let opened = OpenReason::ALL.map(|reason| (reason, pool.opened_for(reason)));
    assert_eq!(upstream.accepted.load(Ordering::Relaxed), 2, "opened for {opened:?}");
}

/// Guards against requests that are given up while the process of the upstream is paused: a limit for
/// unacknowledged bytes also ends a connection whose other end does not read.
#[tokio::test]
async fn a_body_that_a_paused_upstream_reads_late_is_answered() {
    let (address, upstream) = start_upstream().await;
    let pool = pool(IDLE_TIME);
    let body = Bytes::from(vec![b'b'; EARLY_BODY_BYTES]);
    send_body(&pool, address, "paused-a", Duration::MAX, body).await.expect("an answer");
    assert_eq!(upstream.accepted.load(Ordering::Relaxed), 1);
}

/// Guards against responses of usual size that fail while other ones do not end: the limit on the sum of
/// all bodies failed whichever body reached it.
#[tokio::test]
async fn usual_responses_pass_beside_endless_ones() {
    let (address, _upstream) = start_upstream().await;
    let pool = Arc::new(pool(IDLE_TIME));
    let endless: Vec<_> = (0..20)
        .map(|number| {
            let pool = pool.clone();
            tokio::spawn(async move {
                for round in 0.. {
                    let id = format!("endless-{number}-{round}");
                    assert!(send(&pool, address, &id).await.is_err());
                }
            })
        })
        .collect();
    for number in 0..20 {
        let body = send(&pool, address, &format!("usual-{number}")).await;
        assert_eq!(body.map(|it| it.len()), Ok(USUAL_BYTES), "request {number}");
    }
    for task in endless {
        assert!(!task.is_finished(), "an endless response was complete");
        task.abort();
    }
}
