//! An HTTP/1.1 and HTTP/2 server that joins the tasks of all its connections before it returns.

pub mod intake;
pub(crate) mod linger;
pub mod pipelined;
mod stalled;
mod stream;
pub mod usage;

use std::{convert::Infallible, future::Future, io, pin::pin, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{
    HeaderValue, Request, Response, StatusCode, Version,
    header::{CONNECTION, CONTENT_TYPE},
};
use http_body_util::Full;
use hyper::{
    body::{Body as _, Incoming},
    service::service_fn,
};
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::conn::auto,
};
use serde::Serialize;
use tokio::{
    net::{TcpListener, TcpStream},
    task::JoinSet,
    time::sleep,
};
use tokio_util::sync::CancellationToken;

use crate::clock;
use intake::{Activity, Intake, Misuse, Ticket};
use linger::LingeringStream;
use stalled::StalledWriteTimeout;
use stream::{WatchedStream, has_unread_bytes};
use usage::{CloseTimes, ConnectionUsage};

/// Time that a client has to send the headers of an HTTP/1.1 request; also the interval of
/// keep-alive pings on HTTP/2 connections.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
/// Time within which a client must accept some bytes of an answer. Without the limit, a client that
/// stops reading would hold its connection, and the answer in memory, forever.
const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Times after which connections without a running request are closed at a shutdown. A client that has
/// begun has the time that it always has; hundreds of milliseconds pass between the connect and the request
/// of a caller on a busy machine.
const CLOSE_TIMES: CloseTimes = CloseTimes { head: HEADER_TIMEOUT, idle: Duration::from_secs(1) };
/// Interval at which a connection that may not be closed yet is looked at again during a shutdown.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Pause after an accept error, which is mostly caused by a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Buffer of an HTTP/1.1 connection within bounds; it limits the head of a request, too.
const MAX_HTTP1_BUFFER_BYTES: usize = 32 << 10;
/// Concurrent requests, window and list of header fields of an HTTP/2 connection within bounds.
const MAX_HTTP2_STREAMS: u32 = 8;
const HTTP2_WINDOW_BYTES: u32 = 64 << 10;
const MAX_HTTP2_HEADER_BYTES: u32 = 16 << 10;

/// Serves `listener` until `shutdown` is cancelled, then waits for the requests in flight.
pub async fn serve<H, F>(listener: TcpListener, shutdown: CancellationToken, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    serve_until(listener, shutdown, CancellationToken::new(), handler).await;
}

/// Like [`serve`], but aborts the remaining connections when `abort` is cancelled.
pub async fn serve_until<H, F>(
    listener: TcpListener,
    shutdown: CancellationToken,
    abort: CancellationToken,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    serve_connections(listener, shutdown, abort, handler, builder(), Intake::unlimited()).await;
}

/// Like [`serve_until`], within bounds on connections and their buffers.
pub async fn serve_within<H, F>(
    listener: TcpListener,
    shutdown: CancellationToken,
    abort: CancellationToken,
    handler: H,
    intake: Arc<Intake>,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    let mut builder = builder();
    builder.http1().max_buf_size(MAX_HTTP1_BUFFER_BYTES);
    builder
        .http2()
        .max_concurrent_streams(MAX_HTTP2_STREAMS)
        .initial_stream_window_size(HTTP2_WINDOW_BYTES)
        .initial_connection_window_size(HTTP2_WINDOW_BYTES)
        .max_header_list_size(MAX_HTTP2_HEADER_BYTES);
    serve_connections(listener, shutdown, abort, handler, builder, intake).await;
}

fn builder() -> auto::Builder<TokioExecutor> {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder.http1().timer(TokioTimer::new()).header_read_timeout(HEADER_TIMEOUT);
    builder.http2().timer(TokioTimer::new()).keep_alive_interval(Some(HEADER_TIMEOUT));
    builder
}

async fn serve_connections<H, F>(
    listener: TcpListener,
    shutdown: CancellationToken,
    abort: CancellationToken,
    handler: H,
    builder: auto::Builder<TokioExecutor>,
    intake: Arc<Intake>,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    let mut connections = JoinSet::new();
    accept_within(listener, &shutdown, &intake, |stream, ticket| {
        while connections.try_join_next().is_some() {}
        let served = serve_stream(stream, &builder, &shutdown, &handler, &intake, ticket);
        connections.spawn(served);
    })
    .await;
    let finish_requests = async { while connections.join_next().await.is_some() {} };
    tokio::select! {
        () = finish_requests => return,
        () = abort.cancelled() => {}
    }
    connections.shutdown().await;
}

/// Accepts connections and passes them to `start` until `shutdown`, then those that are waiting in the
/// kernel's queue, which closing the listener would reset. Connections beyond the bound wait in that queue
/// until one has been closed.
pub(crate) async fn accept_within(
    listener: TcpListener,
    shutdown: &CancellationToken,
    intake: &Arc<Intake>,
    mut start: impl FnMut(TcpStream, Ticket),
) {
    loop {
        let accepted = tokio::select! {
            accepted = async {
                intake.wait_for_room().await;
                listener.accept().await
            } => accepted,
            () = shutdown.cancelled() => break,
        };
        match accepted {
            Ok((stream, _)) => start(stream, intake.register()),
            Err(error) => {
                log::warn!(
                    cause:% = error;
                    "accepting a connection failed; retrying in {ACCEPT_RETRY_DELAY:?}"
                );
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    for stream in accept_queued(listener) {
        start(stream, intake.register());
    }
}

/// Closes the listener and returns the connections that were waiting in the kernel's queue, which
/// closing it would reset.
///
/// The runtime accepts only connections that it has been notified of. The others are accepted here
/// by calling the kernel directly; a rolling restart cut 1 of 1,002 requests without this.
fn accept_queued(listener: TcpListener) -> Vec<TcpStream> {
    let mut streams = Vec::new();
    let listener = match listener.into_std() {
        Ok(listener) => listener,
        Err(error) => {
            log::warn!(cause:% = error; "accepting the queued connections failed");
            return streams;
        }
    };
    loop {
        let accepted = listener.accept().and_then(|(stream, _)| {
            stream.set_nonblocking(true)?;
            TcpStream::from_std(stream)
        });
        match accepted {
            Ok(stream) => streams.push(stream),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return streams,
            // The peer has closed this connection; there may be others.
            Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {}
            Err(error) => {
                log::warn!(cause:% = error; "accepting the queued connections failed");
                return streams;
            }
        }
    }
}

fn serve_stream<H, F>(
    stream: TcpStream,
    builder: &auto::Builder<TokioExecutor>,
    shutdown: &CancellationToken,
    handler: &H,
    intake: &Arc<Intake>,
    ticket: Ticket,
) -> impl Future<Output = ()> + Send + use<H, F>
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    let _ = stream.set_nodelay(true);
    let stream = Arc::new(stream);
    let usage = Arc::new(ConnectionUsage::new(clock::now()));
    let ticket = Arc::new(ticket);
    let service = service_fn({
        let (handler, shutdown) = (handler.clone(), shutdown.clone());
        let (ticket, usage) = (ticket.clone(), usage.clone());
        move |request: Request<Incoming>| {
            let supports_close_header = request.version() <= Version::HTTP_11;
            let running = RunningRequest::begin(&request, ticket.clone(), usage.clone());
            let answer = handler(request);
            let shutdown = shutdown.clone();
            async move {
                let mut answer = answer.await;
                drop(running);
                if supports_close_header && shutdown.is_cancelled() {
                    answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                }
                Ok::<_, Infallible>(answer)
            }
        }
    });
    let watched = WatchedStream::new(stream.clone(), usage.clone());
    let watched = LingeringStream::new(StalledWriteTimeout::new(watched, WRITE_STALL_TIMEOUT));
    let connection = builder.serve_connection(TokioIo::new(watched), service).into_owned();
    let (intake, shutdown) = (intake.clone(), shutdown.clone());
    async move {
        let mut connection = pin!(connection);
        let mut closable = pin!(wait_until_closable(&stream, &usage, &shutdown));
        let mut is_closing = false;
        loop {
            tokio::select! {
                biased;
                ended = connection.as_mut() => {
                    let Err(error) = ended else { return };
                    if error.downcast_ref::<hyper::Error>().is_some_and(hyper::Error::is_timeout) {
                        intake.record(Misuse::SlowHead);
                    }
                    log::debug!("connection ended: {error}");
                    return;
                }
                () = ticket.evicted() => return,
                () = closable.as_mut(), if !is_closing => {
                    is_closing = true;
                    connection.as_mut().graceful_shutdown();
                }
            }
        }
    }
}

/// Waits until `shutdown`, and then until the connection may be closed without an answer. It must be closed
/// at once then: a request may arrive at any time.
async fn wait_until_closable(
    stream: &TcpStream,
    usage: &ConnectionUsage,
    shutdown: &CancellationToken,
) {
    shutdown.cancelled().await;
    let shutdown_at = clock::now();
    loop {
        let now = clock::now();
        let wait = match usage.may_close_at(shutdown_at, CLOSE_TIMES) {
            Some(at) if at > now => at - now,
            Some(_) if usage.is_http2() || !has_unread_bytes(stream) => return,
            // It will be closed with an answer, or the bytes are about to be read.
            _ => CLOSE_CHECK_INTERVAL,
        };
        sleep(wait).await;
    }
}

/// A request that is running on a connection, until it is dropped.
struct RunningRequest {
    ticket: Arc<Ticket>,
    usage: Arc<ConnectionUsage>,
}

impl RunningRequest {
    fn begin(
        request: &Request<Incoming>,
        ticket: Arc<Ticket>,
        usage: Arc<ConnectionUsage>,
    ) -> Self {
        usage.begin_request(request.version() == Version::HTTP_2);
        let has_body = !request.body().is_end_stream();
        ticket.set_activity(if has_body { Activity::ReadingBody } else { Activity::Busy });
        Self { ticket, usage }
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        if self.usage.end_request(clock::now()) {
            self.ticket.set_activity(Activity::Idle);
        }
    }
}

/// Makes a JSON response.
pub fn json(status: StatusCode, value: &impl Serialize) -> Response<Full<Bytes>> {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// Makes a plain-text response.
pub fn text(status: StatusCode, message: &str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(format!("{message}\n"))));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("text/plain; charset=utf-8"));
    response
}
