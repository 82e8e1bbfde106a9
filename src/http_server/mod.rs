//! An HTTP/1.1 and HTTP/2 server that joins the tasks of all its connections before it returns.

pub mod intake;
pub mod pipelined;
mod stalled;

use std::{
    convert::Infallible,
    future::Future,
    io,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

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
    server::{conn::auto, graceful::GracefulShutdown},
};
use serde::Serialize;
use tokio::{
    net::{TcpListener, TcpStream},
    task::JoinSet,
};
use tokio_util::sync::CancellationToken;

use intake::{Activity, Intake, Misuse, Ticket};
use stalled::StalledWriteTimeout;

/// Time that a client has to send the headers of an HTTP/1.1 request; also the interval of
/// keep-alive pings on HTTP/2 connections.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
/// Time within which a client must accept some bytes of an answer. Without the limit, a client that
/// stops reading would hold its connection, and the answer in memory, forever.
const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for which idle connections stay open after a shutdown has started, as hundreds of
/// milliseconds pass between the connect and the request of a caller on a busy machine. Answers in
/// this time close their connections, so the connections that are closed at its end were idle
/// throughout.
const IDLE_GRACE_PERIOD: Duration = Duration::from_secs(1);
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
    let graceful = GracefulShutdown::new();
    let mut connections = JoinSet::new();
    accept_within(listener, &shutdown, &intake, |stream, ticket| {
        while connections.try_join_next().is_some() {}
        let served =
            serve_stream(stream, &builder, &graceful, &shutdown, &handler, &intake, ticket);
        connections.spawn(served);
    })
    .await;
    let finish_requests = async {
        // A request that is already in transit on an idle connection still gets an answer.
        tokio::time::sleep(IDLE_GRACE_PERIOD).await;
        graceful.shutdown().await;
        while connections.join_next().await.is_some() {}
    };
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
    graceful: &GracefulShutdown,
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
    let (handler, shutdown) = (handler.clone(), shutdown.clone());
    let ticket = Arc::new(ticket);
    let (activity, intake) = (Arc::new(RequestCount::new(ticket.clone())), intake.clone());
    let service = service_fn(move |request: Request<Incoming>| {
        let supports_close_header = request.version() <= Version::HTTP_11;
        let running = activity.begin(!request.body().is_end_stream());
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
    });
    let stream = TokioIo::new(StalledWriteTimeout::new(stream, WRITE_STALL_TIMEOUT));
    let connection = builder.serve_connection(stream, service).into_owned();
    let connection = graceful.watch(connection);
    async move {
        tokio::select! {
            ended = connection => {
                let Err(error) = ended else { return };
                if error.downcast_ref::<hyper::Error>().is_some_and(hyper::Error::is_timeout) {
                    intake.record(Misuse::SlowHead);
                }
                log::debug!("connection ended: {error}");
            }
            () = ticket.evicted() => {}
        }
    }
}

/// Counts the running requests of a connection, and reports what it is doing.
struct RequestCount {
    ticket: Arc<Ticket>,
    running: AtomicUsize,
}

impl RequestCount {
    fn new(ticket: Arc<Ticket>) -> Self {
        Self { ticket, running: AtomicUsize::new(0) }
    }

    /// Counts a request until the returned value is dropped.
    fn begin(self: &Arc<Self>, has_body: bool) -> RunningRequest {
        self.running.fetch_add(1, Ordering::AcqRel);
        let activity = if has_body { Activity::ReadingBody } else { Activity::Busy };
        self.ticket.set_activity(activity);
        RunningRequest(self.clone())
    }
}

struct RunningRequest(Arc<RequestCount>);

impl Drop for RunningRequest {
    fn drop(&mut self) {
        if self.0.running.fetch_sub(1, Ordering::AcqRel) == 1 {
            self.0.ticket.set_activity(Activity::Idle);
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
