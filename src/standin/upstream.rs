//! An upstream stand-in: configurable slots, service time and calls to other services; crashes and
//! delays on request.

use std::{io::Write as _, net::SocketAddr, path::PathBuf, sync::Arc, time::Duration};

use anyhow::Context as _;
use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde_json::json;
use tokio::{net::TcpListener, sync::Semaphore};
use tokio_util::sync::CancellationToken;

use crate::{call::headers, http_server};

const ANNOUNCE_RETRY_DELAY: Duration = Duration::from_millis(200);
/// A request with this text in its body crashes the stand-in.
const CRASH_MARK: &str = "standin:crash";
/// A request with this text in its body is never answered.
const HANG_MARK: &str = "standin:hang";
/// The number after this text in a body is an additional delay of the answer, in milliseconds.
const DELAY_MARK: &str = "standin:late=";
/// A request with this header crashes the stand-in.
const CRASH_HEADER: &str = "x-standin-crash";

/// Options of the upstream stand-in.
#[derive(Debug, Clone)]
pub struct UpstreamOptions {
    /// Service that the stand-in announces.
    pub service: Arc<str>,
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Address of the local node's listener for its upstream.
    pub node: SocketAddr,
    /// Requests that the stand-in runs at the same time.
    pub slots: u32,
    /// Time that a request occupies a slot, without nested calls.
    pub service_time: Duration,
    /// Path that the stand-in calls through its node during each request.
    pub call_path: Option<Arc<str>>,
    /// File to which the body of each request is appended, as one line, before the request runs.
    pub run_log: Option<PathBuf>,
}

struct Standin {
    options: UpstreamOptions,
    slots: Semaphore,
    client: Client<HttpConnector, Full<Bytes>>,
}

/// Runs the upstream stand-in until `shutdown` is cancelled.
pub async fn run_upstream(
    options: UpstreamOptions,
    shutdown: CancellationToken,
) -> anyhow::Result<()> {
    let listener = TcpListener::bind(options.listen)
        .await
        .with_context(|| format!("binding {}", options.listen))?;
    let address = listener.local_addr()?;
    println!("{address}");
    let standin = Arc::new(Standin {
        slots: Semaphore::new(options.slots as usize),
        client: Client::builder(TokioExecutor::new()).build_http(),
        options,
    });
    let announcer = tokio::spawn(announce(standin.clone(), address, shutdown.clone()));
    http_server::serve(listener, shutdown, move |request| {
        let standin = standin.clone();
        async move { standin.answer(request).await }
    })
    .await;
    announcer.await.context("the task that announces the stand-in failed")
}

/// Announces the stand-in to its node, again and again until the node accepts.
async fn announce(standin: Arc<Standin>, address: SocketAddr, shutdown: CancellationToken) {
    let body = json!({
        "service": standin.options.service,
        "address": address,
        "slots": standin.options.slots,
    });
    while !shutdown.is_cancelled() {
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{}/announce", standin.options.node))
            .body(Full::new(Bytes::from(body.to_string())));
        let Ok(request) = request else { return };
        match standin.client.request(request).await {
            Ok(response) if response.status() == StatusCode::OK => return,
            Ok(response) => {
                log::warn!(
                    "the node at {} refused the announcement with {}; retrying in \
                     {ANNOUNCE_RETRY_DELAY:?}",
                    standin.options.node,
                    response.status()
                )
            }
            Err(error) => log::debug!(
                "announcing to the node at {} failed: {error}; retrying in {ANNOUNCE_RETRY_DELAY:?}",
                standin.options.node
            ),
        }
        tokio::time::sleep(ANNOUNCE_RETRY_DELAY).await;
    }
}

impl Standin {
    async fn answer(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        if request.headers().contains_key(CRASH_HEADER) {
            std::process::abort();
        }
        let (parts, body) = request.into_parts();
        let Ok(body) = body.collect().await else {
            return http_server::text(StatusCode::BAD_REQUEST, "the body is not whole");
        };
        let body = body.to_bytes();
        let Ok(_slot) = self.slots.acquire().await else {
            return http_server::text(StatusCode::SERVICE_UNAVAILABLE, "closing");
        };
        let text = String::from_utf8_lossy(&body);
        self.log_run(&text);
        apply_marks(&text).await;
        if !self.options.service_time.is_zero() {
            tokio::time::sleep(self.options.service_time).await;
        }
        let mut answer = json!({
            "service": self.options.service,
            "path": parts.uri.path(),
            "body": String::from_utf8_lossy(&body),
            "organisation": header_text(&parts.headers, headers::ORGANISATION),
        });
        if let Some(path) = &self.options.call_path {
            match self.call_path(path, &parts.headers, body).await {
                Ok((status, value)) if status.is_success() => answer["inner"] = value,
                Ok((status, value)) => return http_server::json(status, &value),
                Err(error) => {
                    return http_server::text(StatusCode::BAD_GATEWAY, &error.to_string());
                }
            }
        }
        http_server::json(StatusCode::OK, &answer)
    }

    /// Appends the body to the run log. Called before the request runs, so that the log contains it
    /// even if the request crashes the stand-in.
    fn log_run(&self, body: &str) {
        let Some(path) = &self.options.run_log else { return };
        let file = std::fs::File::options().create(true).append(true).open(path);
        let line = format!("{}\n", body.replace('\n', " "));
        if let Err(error) = file.and_then(|mut file| file.write_all(line.as_bytes())) {
            log::error!(
                "writing the run log {} failed: {error}; the log lacks this request",
                path.display()
            );
        }
    }

    /// Calls a path through the node, in the call context of the request that is running.
    async fn call_path(
        &self,
        path: &str,
        parent_headers: &http::HeaderMap,
        body: Bytes,
    ) -> anyhow::Result<(StatusCode, serde_json::Value)> {
        let mut request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{}{path}", self.options.node));
        if let Some(context) = parent_headers.get(headers::CONTEXT) {
            request = request.header(headers::CONTEXT, context);
        }
        let response = self.client.request(request.body(Full::new(body))?).await?;
        let status = response.status();
        let body = response.into_body().collect().await?.to_bytes();
        Ok((status, serde_json::from_slice(&body)?))
    }
}

/// Crashes, hangs or delays if the body contains the mark for it.
async fn apply_marks(body: &str) {
    if body.contains(CRASH_MARK) {
        std::process::abort();
    }
    if body.contains(HANG_MARK) {
        std::future::pending::<()>().await;
    }
    if let Some((_, rest)) = body.split_once(DELAY_MARK) {
        let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
        tokio::time::sleep(Duration::from_millis(digits.parse().unwrap_or(0))).await;
    }
}

fn header_text(map: &http::HeaderMap, name: http::HeaderName) -> Option<&str> {
    map.get(name).and_then(|value| value.to_str().ok())
}
