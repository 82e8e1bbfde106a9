//! The HTTP/1.1 server that runs pipelined requests concurrently.

use std::{
    future::{Future, ready},
    time::Duration,
};

use bytes::Bytes;
use hibiscusdoor::{
    clock::Timestamp,
    http_server::pipelined::{self, Handler, Limits},
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
