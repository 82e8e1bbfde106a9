//! An HTTP/1.1 and HTTP/2 server that joins the tasks of all its connections before it returns.

pub mod pipelined;
mod stalled;

use std::{convert::Infallible, future::Future, io, time::Duration};

use bytes::Bytes;
use http::{
    HeaderValue, Request, Response, StatusCode, Version,
    header::{CONNECTION, CONTENT_TYPE},
};
use http_body_util::Full;
use hyper::{body::Incoming, service::service_fn};
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
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder.http1().timer(TokioTimer::new()).header_read_timeout(HEADER_TIMEOUT);
    builder.http2().timer(TokioTimer::new()).keep_alive_interval(Some(HEADER_TIMEOUT));
    let graceful = GracefulShutdown::new();
    let mut connections = JoinSet::new();
    accept_until(listener, &shutdown, |stream| {
        while connections.try_join_next().is_some() {}
        connections.spawn(serve_stream(stream, &builder, &graceful, &shutdown, &handler));
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
/// kernel's queue, which closing the listener would reset.
pub(crate) async fn accept_until(
    listener: TcpListener,
    shutdown: &CancellationToken,
    mut start: impl FnMut(TcpStream),
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = shutdown.cancelled() => break,
        };
        match accepted {
            Ok((stream, _)) => start(stream),
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
        start(stream);
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
) -> impl Future<Output = ()> + Send + use<H, F>
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    let _ = stream.set_nodelay(true);
    let (handler, shutdown) = (handler.clone(), shutdown.clone());
    let service = service_fn(move |request: Request<Incoming>| {
        let supports_close_header = request.version() <= Version::HTTP_11;
        let answer = handler(request);
        let shutdown = shutdown.clone();
        async move {
            let mut answer = answer.await;
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
        if let Err(error) = connection.await {
            log::debug!("connection ended: {error}");
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
