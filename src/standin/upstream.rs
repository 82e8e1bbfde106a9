//! A stand-in for an upstream: slots, service time, calls to other services, crashes.

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
/// A body with this text crashes the stand-in.
const CRASH_MARK: &str = "standin:crash";
/// A body with this text is never answered.
const HANG_MARK: &str = "standin:hang";
/// The number after this text in a body delays the answer, in milliseconds.
const LATE_MARK: &str = "standin:late=";
/// A request with this header crashes the stand-in.
const CRASH_HEADER: &str = "x-standin-crash";

/// Options of the stand-in.
#[derive(Debug, Clone)]
pub struct UpstreamOptions {
    /// Service that it announces.
    pub service: Arc<str>,
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Upstream listener of the node beside it.
    pub node: SocketAddr,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Time that a request takes in a slot.
    pub service_time: Duration,
    /// Path that it calls through its node for each request.
    pub calls: Option<Arc<str>>,
    /// File that gets one line a request, its body, before the request runs.
    pub run_log: Option<PathBuf>,
}

struct Standin {
    options: UpstreamOptions,
    slots: Semaphore,
    client: Client<HttpConnector, Full<Bytes>>,
}

/// Runs the stand-in until `shutdown`.
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
    announcer.await.context("the announcing task failed")
}

/// Announces the stand-in until the node has taken it.
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
            Ok(response) => log::warn!("the node refused the announcement: {}", response.status()),
            Err(error) => log::debug!("announcing failed: {error}"),
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
        misbehave(&text).await;
        if !self.options.service_time.is_zero() {
            tokio::time::sleep(self.options.service_time).await;
        }
        let mut answer = json!({
            "service": self.options.service,
            "path": parts.uri.path(),
            "body": String::from_utf8_lossy(&body),
            "organisation": header(&parts.headers, headers::ORGANISATION),
        });
        if let Some(path) = &self.options.calls {
            match self.call(path, &parts.headers, body).await {
                Ok((status, value)) if status.is_success() => answer["inner"] = value,
                Ok((status, value)) => return http_server::json(status, &value),
                Err(error) => {
                    return http_server::text(StatusCode::BAD_GATEWAY, &error.to_string());
                }
            }
        }
        http_server::json(StatusCode::OK, &answer)
    }

    /// Writes the line before the request runs, so that a crash cannot hide the run.
    fn log_run(&self, body: &str) {
        let Some(path) = &self.options.run_log else { return };
        let file = std::fs::File::options().create(true).append(true).open(path);
        let line = format!("{}\n", body.replace('\n', " "));
        if let Err(error) = file.and_then(|mut file| file.write_all(line.as_bytes())) {
            log::error!("writing {} failed: {error}", path.display());
        }
    }

    async fn call(
        &self,
        path: &str,
        parent: &http::HeaderMap,
        body: Bytes,
    ) -> anyhow::Result<(StatusCode, serde_json::Value)> {
        let mut request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{}{path}", self.options.node));
        if let Some(context) = parent.get(headers::CONTEXT) {
            request = request.header(headers::CONTEXT, context);
        }
        let response = self.client.request(request.body(Full::new(body))?).await?;
        let status = response.status();
        let body = response.into_body().collect().await?.to_bytes();
        Ok((status, serde_json::from_slice(&body)?))
    }
}

/// Does what a mark in the body asks for.
async fn misbehave(body: &str) {
    if body.contains(CRASH_MARK) {
        std::process::abort();
    }
    if body.contains(HANG_MARK) {
        std::future::pending::<()>().await;
    }
    if let Some((_, rest)) = body.split_once(LATE_MARK) {
        let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
        tokio::time::sleep(Duration::from_millis(digits.parse().unwrap_or(0))).await;
    }
}

fn header(map: &http::HeaderMap, name: http::HeaderName) -> Option<&str> {
    map.get(name).and_then(|value| value.to_str().ok())
}
