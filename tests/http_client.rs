//! The client of upstreams, against upstreams that send bytes without end, and copies of answers.

mod support;

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use hibiscusdoor::{
    http_client::{ConnectRequest, ConnectionPool, PoolLimits, Reuse, SendFailure},
    memory::MemoryBudget,
};
use http::{HeaderValue, Request, response::Parts};
use http_body_util::Full;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};

const MAX_BODY_BYTES: usize = 1 << 20;
const MAX_TOTAL_BYTES: usize = 2 << 20;
/// Deadline of the requests.
const DEADLINE: Duration = Duration::from_millis(500);
/// Time within which a request must have ended.
const TIMEOUT: Duration = Duration::from_secs(10);
const IDLE_TIME: Duration = Duration::from_secs(5);
/// Time for which a connection is not used after a refusal.
const PAUSE: Duration = Duration::from_millis(100);
const ANSWER: &str = "HTTP/1.1 200 OK\r\nx-id: ";

fn pool() -> ConnectionPool {
    let limits =
        PoolLimits { max_idle: 8, max_idle_time: IDLE_TIME, max_body_bytes: MAX_BODY_BYTES };
    ConnectionPool::new(limits, Arc::new(MemoryBudget::new(MAX_TOTAL_BYTES)))
}

fn request(id: &str) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::default());
    request.headers_mut().insert("host", HeaderValue::from_static("a"));
    request.headers_mut().insert("x-id", HeaderValue::from_str(id).expect("a header value"));
    request
}

/// Accepts only the answer with this id.
fn has_id(id: &str) -> impl FnOnce(&Parts, bool) -> Result<Reuse, String> + use<> {
    let id = id.to_owned();
    move |parts, _| match parts.headers.get("x-id") {
        Some(found) if found.as_bytes() == id.as_bytes() => match parts.status.is_success() {
            true => Ok(Reuse::Keep),
            false => Ok(Reuse::KeepForOthers(id.into())),
        },
        found => Err(format!("the answer belongs to {found:?}")),
    }
}

/// Sends a request until its deadline; `Err` with the reason if there is no complete answer.
async fn send(pool: &ConnectionPool, address: SocketAddr, id: &str) -> Result<Bytes, String> {
    send_within(pool, address, id, IDLE_TIME).await
}

/// The same on a connection that was idle for less than this time.
async fn send_within(
    pool: &ConnectionPool,
    address: SocketAddr,
    id: &str,
    max_idle_time: Duration,
) -> Result<Bytes, String> {
    let connect =
        ConnectRequest { address, max_idle_time, refusal_pause: PAUSE, request_id: Some(id) };
    let connection = pool.connect(connect).await.map_err(|error| error.to_string())?;
    match timeout(DEADLINE, pool.send(connection, request(id), has_id(id))).await {
        Ok(Ok(answer)) => Ok(answer.body),
        Ok(Err(SendFailure::Incomplete(detail) | SendFailure::Unsent(_, detail))) => Err(detail),
        Err(_) => Err("deadline".to_owned()),
    }
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

/// Starts an upstream that answers each request with `start`, and then sends `rest` again and again
/// with a pause until the client closes. A request with the id `good` gets a complete answer.
async fn endless_upstream(
    start: &'static str,
    rest: &'static str,
    pause: Duration,
) -> anyhow::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                while let Some(id) = read_request(&mut stream).await {
                    if id == "good" {
                        let answer = format!("{ANSWER}{id}\r\ncontent-length: 4\r\n\r\ngood");
                        if stream.write_all(answer.as_bytes()).await.is_err() {
                            return;
                        }
                        continue;
                    }
                    let start = start.replace("ID", &id);
                    let mut sent = stream.write_all(start.as_bytes()).await;
                    while sent.is_ok() {
                        sent = stream.write_all(rest.as_bytes()).await;
                        sleep(pause).await;
                    }
                }
            });
        }
    });
    Ok(address)
}

/// Guards against an upstream that sends bytes without end and so takes memory, time or the
/// connection of other requests. Four such requests run beside good ones.
fn bytes_without_end_are_bounded(start: &'static str, rest: &'static str, pause: Duration) {
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    runtime.expect("a runtime").block_on(async {
        let address = endless_upstream(start, rest, pause).await.expect("an upstream");
        let pool = pool();
        let began = Instant::now();
        let endless = async {
            let (first, second, third, fourth) = tokio::join!(
                send(&pool, address, "a"),
                send(&pool, address, "b"),
                send(&pool, address, "c"),
                send(&pool, address, "d"),
            );
            [first, second, third, fourth]
        };
        let good = async {
            for _ in 0..5 {
                assert_eq!(send(&pool, address, "good").await, Ok(Bytes::from_static(b"good")));
            }
        };
        let (endless, ()) = timeout(TIMEOUT, async { tokio::join!(endless, good) })
            .await
            .expect("the requests end");
        for answer in endless {
            assert!(answer.is_err(), "{answer:?}");
        }
        assert!(began.elapsed() < TIMEOUT);
        // No connection with such bytes is used again.
        assert_eq!(send(&pool, address, "good").await, Ok(Bytes::from_static(b"good")));
    });
}

const FAST: Duration = Duration::ZERO;
const SLOW: Duration = Duration::from_millis(5);

crate::cases! { bytes_without_end_are_bounded:
    in_a_line_of_the_head("HTTP/1.1 200 OK\r\nx-id: ", "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa", FAST),
    in_lines_of_the_head("HTTP/1.1 200 OK\r\nx-id: ID\r\n", "x-more: and more\r\n", FAST),
    slowly_in_the_head("HTTP/1.1 200 OK\r\nx-id: ID\r\n", "x-more: and more\r\n", SLOW),
    in_a_body_without_length("HTTP/1.1 200 OK\r\nx-id: ID\r\n\r\n", "bytes and more bytes, ", FAST),
    slowly_in_a_body("HTTP/1.1 200 OK\r\nx-id: ID\r\n\r\n", "bytes", SLOW),
    in_chunks_of_one_byte(
        "HTTP/1.1 200 OK\r\nx-id: ID\r\ntransfer-encoding: chunked\r\n\r\n",
        "1\r\na\r\n",
        FAST,
    ),
    in_an_extension_of_a_chunk(
        "HTTP/1.1 200 OK\r\nx-id: ID\r\ntransfer-encoding: chunked\r\n\r\n5",
        ";extension=and-more",
        FAST,
    ),
    in_the_trailer(
        "HTTP/1.1 200 OK\r\nx-id: ID\r\ntransfer-encoding: chunked\r\n\r\n0\r\n",
        "x-more: and more\r\n",
        FAST,
    ),
    in_interim_answers("", "HTTP/1.1 102 Processing\r\n\r\n", FAST),
}

/// Starts an upstream that sends a second copy of each answer after a pause.
async fn copying_upstream(pause: Duration) -> anyhow::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                while let Some(id) = read_request(&mut stream).await {
                    let answer =
                        format!("{ANSWER}{id}\r\ncontent-length: {}\r\n\r\n{id}", id.len());
                    for _ in 0..2 {
                        if stream.write_all(answer.as_bytes()).await.is_err() {
                            return;
                        }
                        sleep(pause).await;
                    }
                }
            });
        }
    });
    Ok(address)
}

/// Guards against a second copy of an answer that is taken for the answer to the next request on the
/// connection, whenever the copy arrives.
fn a_copy_belongs_to_no_other_request(pause: Duration) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(async {
        let address = copying_upstream(pause).await.expect("an upstream");
        let pool = pool();
        for number in 0..40_u64 {
            let id = format!("id-{number}");
            if let Ok(body) = send(&pool, address, &id).await {
                assert_eq!(body, Bytes::from(id));
            }
            sleep(Duration::from_millis(number % 4)).await;
        }
    });
}

crate::cases! { a_copy_belongs_to_no_other_request:
    at_once(Duration::ZERO),
    after_a_millisecond(Duration::from_millis(1)),
    after_three_milliseconds(Duration::from_millis(3)),
}

/// Whole answers that an upstream cuts off at every byte.
const WHOLE_ANSWERS: [&str; 2] = [
    "HTTP/1.1 200 OK\r\nx-id: a\r\ncontent-length: 5\r\n\r\nhello",
    "HTTP/1.1 200 OK\r\nx-id: a\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
];

/// Guards against an answer that broke off, in its head or its body, and counts as complete: callers of
/// another operator's system got a success with an empty body.
#[tokio::test]
async fn an_answer_that_breaks_off_is_not_complete() -> anyhow::Result<()> {
    for whole in WHOLE_ANSWERS {
        for length in 0..=whole.len() {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            let address = listener.local_addr()?;
            let upstream = tokio::spawn(async move {
                let (mut stream, _) = listener.accept().await?;
                read_request(&mut stream).await;
                stream.write_all(&whole.as_bytes()[..length]).await?;
                stream.shutdown().await
            });
            let answer = send(&pool(), address, "a").await;
            let is_whole = length == whole.len();
            assert_eq!(answer.is_ok(), is_whole, "{length} bytes of {whole:?}: {answer:?}");
            upstream.await??;
        }
    }
    Ok(())
}

/// Guards against a late second copy of a refusal that counts as the refusal of the same request when it
/// is sent once more: the caller is told that it has not run while it runs.
#[tokio::test]
async fn a_copy_of_a_refusal_does_not_refuse_the_request_sent_again() -> anyhow::Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let upstream = tokio::spawn(async move {
        let refusal = "HTTP/1.1 503 Full\r\nx-id: a\r\ncontent-length: 0\r\n\r\n";
        let success = "HTTP/1.1 200 OK\r\nx-id: a\r\ncontent-length: 3\r\n\r\nran";
        let (mut first, _) = listener.accept().await?;
        read_request(&mut first).await;
        first.write_all(refusal.as_bytes()).await?;
        // The copy is written when the next request has arrived, on whichever connection.
        let mut second = tokio::select! {
            Some(_) = read_request(&mut first) => None,
            accepted = listener.accept() => Some(accepted?.0),
        };
        if let Some(second) = &mut second {
            read_request(second).await;
        }
        let _ = first.write_all(refusal.as_bytes()).await;
        let answering = second.as_mut().unwrap_or(&mut first);
        answering.write_all(success.as_bytes()).await
    });
    let pool = pool();
    assert_eq!(send(&pool, address, "a").await, Ok(Bytes::new()), "the refusal");
    assert_eq!(send(&pool, address, "a").await, Ok(Bytes::from_static(b"ran")));
    upstream.await??;
    Ok(())
}

/// Starts an upstream that answers each request with this start of a response and a body of four bytes. A
/// request with the id `good` gets a complete answer.
async fn upstream_with_status(start: &'static str) -> anyhow::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                while let Some(id) = read_request(&mut stream).await {
                    let start = if id == "good" { "HTTP/1.1 200 OK" } else { start };
                    let body = if id == "good" { "good" } else { "evil" };
                    let answer =
                        format!("{start}\r\nx-id: {id}\r\ncontent-length: 4\r\n\r\n{body}");
                    if stream.write_all(answer.as_bytes()).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    Ok(address)
}

/// Runs a case in a runtime of its own.
fn run_case(name: &str, case: impl Future<Output = anyhow::Result<()>>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(case).expect(name);
}

/// Guards against a response that is handed on as an answer although its status ends no request: a client gets
/// a status that HTTP does not define, or takes what follows for another protocol. The next request gets its own
/// answer.
fn a_status_is_no_answer(start: &'static str) {
    run_case(start, async {
        let address = upstream_with_status(start).await?;
        let pool = pool();
        let answer = send(&pool, address, "troubled").await;
        anyhow::ensure!(answer.is_err(), "{answer:?}");
        anyhow::ensure!(pool.idle_count() == 0, "the connection is used again");
        anyhow::ensure!(send(&pool, address, "good").await.as_deref() == Ok(&b"good"[..]));
        Ok(())
    });
}

crate::cases! { a_status_is_no_answer:
    of_zeros("HTTP/1.1 000 None"),
    of_one_zero("HTTP/1.1 0 None"),
    below_the_first_one("HTTP/1.1 099 None"),
    of_four_digits("HTTP/1.1 1000 None"),
    of_letters("HTTP/1.1 abc None"),
    with_a_sign("HTTP/1.1 +200 OK"),
    that_changes_the_protocol("HTTP/1.1 101 Switching Protocols"),
    that_changes_the_protocol_to_a_named_one(
        "HTTP/1.1 101 Switching Protocols\r\nconnection: upgrade\r\nupgrade: other"),
    that_follows_an_interim_response("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 101 Switching Protocols"),
    of_zeros_after_an_interim_response("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 None"),
    above_the_last_class("HTTP/1.1 600 None"),
    of_nines("HTTP/1.1 999 None"),
}

/// Guards against a body that a status does not permit and that is taken for the answer to the next request.
fn a_body_that_the_status_does_not_permit_is_no_answer(start: &'static str) {
    run_case(start, async {
        let address = upstream_with_status(start).await?;
        let pool = pool();
        // The response itself may be an answer without a body.
        let _ = send(&pool, address, "troubled").await;
        anyhow::ensure!(send(&pool, address, "good").await.as_deref() == Ok(&b"good"[..]));
        Ok(())
    });
}

crate::cases! { a_body_that_the_status_does_not_permit_is_no_answer:
    with_no_content("HTTP/1.1 204 No Content"),
    with_not_modified("HTTP/1.1 304 Not Modified"),
}

/// Guards against a status in a message of another node that is handed on although it ends no request.
#[test]
fn statuses_of_other_nodes_are_checked() {
    let is_final = |status| hibiscusdoor::call::final_status(status).is_some();
    for status in [200, 204, 304, 404, 421, 500, 599] {
        assert!(is_final(status), "{status}");
    }
    for status in [0, 1, 99, 100, 101, 199, 600, 999, 1000, 65_736, u32::MAX] {
        assert!(!is_final(status), "{status}");
    }
}
