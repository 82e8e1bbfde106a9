//! The HTTP/1.1 server that runs pipelined requests concurrently.

use std::{
    future::{Future, ready},
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use hibiscusdoor::{
    clock::Timestamp,
    http_server::{
        intake::Intake,
        pipelined::{self, Handler, Limits},
    },
    memory::MemoryBudget,
};
use http::{Request, Response, request::Parts};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
};
use tokio_util::sync::CancellationToken;

const CROWDED_CONNECTIONS: usize = 4;
const TIMEOUT: Duration = Duration::from_secs(30);
const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n";

#[derive(Debug, Clone, Copy)]
struct Echo;

impl Handler for Echo {
    fn limits(&self) -> Limits {
        Limits {
            max_header_bytes: 4096,
            max_body_bytes: 4096,
            request_timeout: TIMEOUT,
            idle_timeout: TIMEOUT,
            close_above_connections: CROWDED_CONNECTIONS,
        }
    }

    fn may_overlap(&self, _: &Parts) -> bool {
        true
    }

    fn is_closing(&self) -> bool {
        false
    }

    fn answer(
        &self,
        _: Request<Bytes>,
        _: Timestamp,
    ) -> impl Future<Output = Response<Bytes>> + Send + 'static {
        ready(Response::new(Bytes::new()))
    }
}

/// Sends a request and returns the head of its answer in lower case.
async fn send_request(stream: &mut TcpStream) -> anyhow::Result<String> {
    stream.write_all(REQUEST).await?;
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await?);
    }
    Ok(String::from_utf8(head)?.to_lowercase())
}

/// Guards against idle connections of callers that use all file descriptors of a machine, so that
/// no further connection is accepted (CONFIG on day scale-1 of the deployment tesfaye-ice, seeds
/// 181503747410 and 663232260506).
#[tokio::test]
async fn crowded_connections_are_closed_with_their_answers() -> anyhow::Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let (shutdown, abort) = (CancellationToken::new(), CancellationToken::new());
    let server = tokio::spawn(pipelined::serve(listener, shutdown.clone(), abort.clone(), Echo));
    let mut open = Vec::new();
    for number in 1..=CROWDED_CONNECTIONS + 2 {
        let mut stream = TcpStream::connect(address).await?;
        let is_closed = send_request(&mut stream).await?.contains("connection: close");
        assert_eq!(is_closed, number > CROWDED_CONNECTIONS, "connection {number}");
        if !is_closed {
            open.push(stream);
        }
    }
    shutdown.cancel();
    tokio::time::timeout(TIMEOUT, server).await??;
    Ok(())
}

const MAX_BODY_BYTES: usize = 400 << 10;
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Answers with the length of the body, and counts the requests.
#[derive(Debug, Clone, Default)]
struct Measure(Arc<AtomicUsize>);

impl Handler for Measure {
    fn limits(&self) -> Limits {
        Limits {
            max_header_bytes: 4096,
            max_body_bytes: MAX_BODY_BYTES,
            request_timeout: REQUEST_TIMEOUT,
            idle_timeout: TIMEOUT,
            close_above_connections: 100,
        }
    }

    fn may_overlap(&self, _: &Parts) -> bool {
        true
    }

    fn is_closing(&self) -> bool {
        false
    }

    fn answer(
        &self,
        request: Request<Bytes>,
        _: Timestamp,
    ) -> impl Future<Output = Response<Bytes>> + Send + 'static {
        self.0.fetch_add(1, Ordering::Relaxed);
        ready(Response::new(Bytes::from(request.body().len().to_string())))
    }
}

/// Starts a server with this budget; it ends with the test.
async fn start(memory_bytes: usize) -> anyhow::Result<(SocketAddr, Measure, Arc<MemoryBudget>)> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let (handler, memory) = (Measure::default(), Arc::new(MemoryBudget::new(memory_bytes)));
    let intake = Intake::new("callers", 100, memory.clone(), Arc::default());
    let token = CancellationToken::new();
    let server = pipelined::serve_within(listener, token.clone(), token, handler.clone(), intake);
    tokio::spawn(server);
    Ok((address, handler, memory))
}

async fn send(address: SocketAddr, length: usize, sent: usize) -> anyhow::Result<TcpStream> {
    let mut stream = TcpStream::connect(address).await?;
    let head = format!(
        "POST / HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await?;
    stream.write_all(&vec![b'x'; sent]).await?;
    Ok(stream)
}

async fn read_answer(mut stream: TcpStream) -> anyhow::Result<String> {
    let mut answer = String::new();
    tokio::time::timeout(TIMEOUT, stream.read_to_string(&mut answer)).await??;
    Ok(answer)
}

/// Guards against bodies that have stopped and keep the memory from others, and against a refusal of a
/// request that runs: the stopped ones get a true 503, and the whole one is served.
#[tokio::test]
async fn stopped_bodies_give_way_to_a_whole_one() -> anyhow::Result<()> {
    let (address, handler, memory) = start(2 << 20).await?;
    let mut stopped = Vec::new();
    for _ in 0..5 {
        stopped.push(send(address, MAX_BODY_BYTES, MAX_BODY_BYTES - 1).await?);
    }
    let answer = read_answer(send(address, MAX_BODY_BYTES, MAX_BODY_BYTES).await?).await?;
    assert!(answer.starts_with("HTTP/1.1 200 ") && answer.ends_with("\r\n409600"), "{answer}");
    assert_eq!(handler.0.load(Ordering::Relaxed), 1, "an incomplete request has run");
    for stream in stopped {
        let answer = read_answer(stream).await?;
        let refused = ["HTTP/1.1 503 ", "HTTP/1.1 408 "];
        assert!(refused.iter().any(|status| answer.starts_with(status)), "{answer}");
    }
    assert_eq!(handler.0.load(Ordering::Relaxed), 1, "an incomplete request has run");
    // Only connections that are about to close hold memory.
    assert!(memory.used_bytes() < MAX_BODY_BYTES, "{} bytes are held", memory.used_bytes());
    Ok(())
}

/// Guards against a time limit for whole requests: a body may take longer than a head while it makes
/// progress.
#[tokio::test]
async fn a_body_may_take_longer_than_a_head() -> anyhow::Result<()> {
    const PIECES: u32 = 12;
    const PIECE_BYTES: usize = 2 << 10;
    let (address, _, _) = start(2 << 20).await?;
    let length = PIECES as usize * PIECE_BYTES;
    let mut stream = send(address, length, 0).await?;
    for _ in 0..PIECES {
        tokio::time::sleep(REQUEST_TIMEOUT / 8).await;
        stream.write_all(&[b'x'; PIECE_BYTES]).await?;
    }
    let answer = read_answer(stream).await?;
    assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
    Ok(())
}

/// Guards against callers that hold a connection and its memory with single bytes.
#[tokio::test]
async fn a_body_of_single_bytes_is_refused() -> anyhow::Result<()> {
    let (address, handler, _) = start(2 << 20).await?;
    let mut stream = send(address, MAX_BODY_BYTES, 1).await?;
    let mut answer = [0; 13];
    loop {
        tokio::select! {
            read = stream.read_exact(&mut answer) => {
                read?;
                break;
            }
            () = tokio::time::sleep(REQUEST_TIMEOUT / 20) => stream.write_all(b"x").await?,
        }
    }
    assert_eq!(&answer, b"HTTP/1.1 408 ");
    assert_eq!(handler.0.load(Ordering::Relaxed), 0, "an incomplete request has run");
    Ok(())
}

/// Guards against a bound on pipelined requests that loses or reorders some of them.
#[tokio::test]
async fn pipelined_requests_are_answered_in_order() -> anyhow::Result<()> {
    const REQUESTS: usize = 500;
    let (address, handler, _) = start(2 << 20).await?;
    let mut stream = TcpStream::connect(address).await?;
    let requests: String = (0..REQUESTS)
        .map(|number| {
            let close = if number + 1 == REQUESTS { "connection: close\r\n" } else { "" };
            let body = "x".repeat(number % 7);
            format!("POST / HTTP/1.1\r\n{close}content-length: {}\r\n\r\n{body}", body.len())
        })
        .collect();
    stream.write_all(requests.as_bytes()).await?;
    let answer = read_answer(stream).await?;
    let bodies: Vec<&str> = answer.split("HTTP/1.1 200 OK").skip(1).collect();
    assert_eq!((bodies.len(), handler.0.load(Ordering::Relaxed)), (REQUESTS, REQUESTS));
    for (number, body) in bodies.iter().enumerate() {
        assert!(body.ends_with(&format!("\r\n\r\n{}", number % 7)), "{number}: {body:?}");
    }
    Ok(())
}
