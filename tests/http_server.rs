//! Shutdown of the HTTP servers under load.

use std::{
    future::Future,
    io::{Read as _, Write as _},
    net::SocketAddr,
    time::Duration,
};

use bytes::Bytes;
use hibiscusdoor::{
    clock::Timestamp,
    http_server::{
        self,
        pipelined::{self, Handler, Limits},
        text,
    },
    standin::{http_call, new_client},
};
use http::{Method, Request, Response, StatusCode, request::Parts};
use hyper::body::Incoming;
use tokio::{net::TcpListener, task::JoinSet, time::sleep};
use tokio_util::sync::CancellationToken;

/// Callers that send one request after another, each on its own connection.
const CALLERS: usize = 64;
/// Upper limit of the pause of a caller between an answer and its next request.
const MAX_PAUSE_MS: u64 = 12;
const SERVICE_TIME: Duration = Duration::from_millis(4);
const TIME_BEFORE_SHUTDOWN: Duration = Duration::from_millis(200);
/// Time within which the server must finish after the start of its shutdown.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(10);

async fn answer_after_service_time(
    _: Request<Incoming>,
) -> http::Response<http_body_util::Full<Bytes>> {
    sleep(SERVICE_TIME).await;
    text(StatusCode::OK, "done")
}

/// Sends requests until the server refuses the connection; returns the number of answers, or the
/// error that ended a request.
async fn call_until_refused(url: String, number: usize) -> Result<u64, String> {
    let client = new_client();
    let mut answers = 0;
    loop {
        match http_call(&client, Method::GET, &url, &[], "").await {
            Ok(_) => answers += 1,
            Err(error) => {
                let error = match error.downcast_ref::<hyper_util::client::legacy::Error>() {
                    Some(cause) if cause.is_connect() => return Ok(answers),
                    _ => error,
                };
                return Err(format!("caller {number}, after {answers} answers: {error:#}"));
            }
        }
        sleep(Duration::from_millis((number as u64 * 7 + answers) % MAX_PAUSE_MS)).await;
    }
}

/// Guards against a shutdown that closes connections as idle while their callers are sending the
/// next request.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn shutdown_cuts_no_request_on_a_connection_in_use() -> anyhow::Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let url = format!("http://{}/", listener.local_addr()?);
    let shutdown = CancellationToken::new();
    let server =
        tokio::spawn(http_server::serve(listener, shutdown.clone(), answer_after_service_time));
    let mut callers = JoinSet::new();
    for number in 0..CALLERS {
        callers.spawn(call_until_refused(url.clone(), number));
    }
    sleep(TIME_BEFORE_SHUTDOWN).await;
    shutdown.cancel();
    tokio::time::timeout(SHUTDOWN_TIMEOUT, server).await??;
    let results = callers.join_all().await;
    let errors: Vec<&String> = results.iter().filter_map(|result| result.as_ref().err()).collect();
    assert!(errors.is_empty(), "{} of {CALLERS} callers lost a request: {errors:?}", errors.len());
    let answers: u64 = results.iter().flatten().sum();
    assert!(answers > CALLERS as u64, "{answers} answers");
    Ok(())
}

/// Connections that wait in the kernel's queue when the shutdown starts.
const QUEUED_CONNECTIONS: usize = 8;
const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
/// Times that a test yields to let the server wait for its next event.
const YIELDS: usize = 8;

#[derive(Debug, Clone, Copy)]
struct Answering;

impl Handler for Answering {
    fn limits(&self) -> Limits {
        Limits {
            max_header_bytes: 4096,
            max_body_bytes: 4096,
            request_timeout: SHUTDOWN_TIMEOUT,
            idle_timeout: SHUTDOWN_TIMEOUT,
            close_above_connections: CALLERS,
        }
    }

    fn may_overlap(&self, _: &Parts) -> bool {
        true
    }

    fn is_closing(&self) -> bool {
        true
    }

    fn answer(
        &self,
        _: Request<Bytes>,
        _: Timestamp,
    ) -> impl Future<Output = Response<Bytes>> + Send + 'static {
        std::future::ready(Response::new(Bytes::from_static(b"done")))
    }
}

/// Connects without yielding to the runtime, so that the connections stay in the kernel's queue and
/// the runtime has not been notified of them.
fn connect_and_send(address: SocketAddr) -> anyhow::Result<Vec<std::net::TcpStream>> {
    let connect = |_| {
        let mut stream = std::net::TcpStream::connect(address)?;
        stream.write_all(REQUEST)?;
        Ok(stream)
    };
    (0..QUEUED_CONNECTIONS).map(connect).collect()
}

/// Reads the answers of all connections; the number of those that were cut.
async fn count_cut(streams: Vec<std::net::TcpStream>) -> anyhow::Result<usize> {
    let read_all = move || {
        let is_answered = |mut stream: std::net::TcpStream| {
            let mut answer = String::new();
            let read = stream.set_read_timeout(Some(SHUTDOWN_TIMEOUT)).and_then(|()| {
                // Both servers close the connection after the answer.
                stream.read_to_string(&mut answer)
            });
            read.is_ok() && answer.starts_with("HTTP/1.1 200")
        };
        streams.into_iter().map(is_answered).filter(|answered| !answered).count()
    };
    Ok(tokio::task::spawn_blocking(read_all).await?)
}

/// Guards against a shutdown that resets connections which the kernel has accepted and the runtime
/// has not been notified of: 1 of 1002 requests of a rolling restart got "connection reset by peer".
#[tokio::test]
async fn shutdown_answers_connections_in_the_queue_of_the_kernel() -> anyhow::Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let shutdown = CancellationToken::new();
    let server =
        tokio::spawn(http_server::serve(listener, shutdown.clone(), answer_after_service_time));
    for _ in 0..YIELDS {
        tokio::task::yield_now().await;
    }
    let streams = connect_and_send(address)?;
    shutdown.cancel();
    assert_eq!(count_cut(streams).await?, 0, "of {QUEUED_CONNECTIONS} were cut");
    tokio::time::timeout(SHUTDOWN_TIMEOUT, server).await??;
    Ok(())
}

/// Guards against the same fault in the server that runs pipelined requests.
#[tokio::test]
async fn pipelined_shutdown_answers_connections_in_the_queue_of_the_kernel() -> anyhow::Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let (shutdown, abort) = (CancellationToken::new(), CancellationToken::new());
    let server = tokio::spawn(pipelined::serve(listener, shutdown.clone(), abort, Answering));
    for _ in 0..YIELDS {
        tokio::task::yield_now().await;
    }
    let streams = connect_and_send(address)?;
    shutdown.cancel();
    assert_eq!(count_cut(streams).await?, 0, "of {QUEUED_CONNECTIONS} were cut");
    tokio::time::timeout(SHUTDOWN_TIMEOUT, server).await??;
    Ok(())
}

/// Guards against a shutdown that closes a connection on which the half of a request has been read.
#[tokio::test]
async fn pipelined_shutdown_reads_a_started_request_to_its_end() -> anyhow::Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let (shutdown, abort) = (CancellationToken::new(), CancellationToken::new());
    let server = tokio::spawn(pipelined::serve(listener, shutdown.clone(), abort, Answering));
    let (first, rest) = REQUEST.split_at(REQUEST.len() / 2);
    let mut stream = std::net::TcpStream::connect(address)?;
    stream.write_all(first)?;
    sleep(TIME_BEFORE_SHUTDOWN).await;
    shutdown.cancel();
    sleep(TIME_BEFORE_SHUTDOWN).await;
    stream.write_all(rest)?;
    assert_eq!(count_cut(vec![stream]).await?, 0, "the request was cut");
    tokio::time::timeout(SHUTDOWN_TIMEOUT, server).await??;
    Ok(())
}
