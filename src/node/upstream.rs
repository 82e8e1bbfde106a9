//! The link to the upstream beside the node.

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicBool, Ordering},
    time::Duration,
};

use arc_swap::ArcSwapOption;
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::{
    call::{Answer, headers},
    names::ServiceName,
};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// What an upstream says of itself when it starts to serve.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Service that it offers.
    #[schemars(length(min = 1, max = 63))]
    pub service: ServiceName,
    /// Address that it listens on.
    #[schemars(with = "String")]
    pub address: SocketAddr,
    /// Requests that it can run at once; a hint.
    #[schemars(range(min = 1, max = 100_000))]
    pub slots: u32,
}

/// What an upstream says of its load; a hint that may lag or be false.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct LoadReport {
    /// Requests that it is running.
    pub in_flight: u32,
    /// Requests that wait in it.
    pub queued: u32,
}

/// Why a request to the upstream has no whole answer.
#[derive(Debug, thiserror::Error)]
pub enum UpstreamError {
    /// No connection could be made, so nothing was sent.
    #[error("no connection to the upstream: {0}")]
    NotConnected(String),
    /// The connection broke, or the answer was cut or too large.
    #[error("no whole answer from the upstream: {0}")]
    NotWhole(String),
}

/// The link to the upstream beside the node.
#[derive(Debug)]
pub struct UpstreamLink {
    announced: ArcSwapOption<Announcement>,
    report: ArcSwapOption<LoadReport>,
    draining: AtomicBool,
    client: Client<HttpConnector, Full<Bytes>>,
    max_body_bytes: usize,
}

impl UpstreamLink {
    /// Makes a link without an upstream.
    pub fn new(max_body_bytes: usize) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(POOL_IDLE_TIMEOUT)
            // A second sending of a request that may have run is not the client's to decide.
            .retry_canceled_requests(false)
            .build(connector);
        Self {
            announced: ArcSwapOption::empty(),
            report: ArcSwapOption::empty(),
            draining: AtomicBool::new(false),
            client,
            max_body_bytes,
        }
    }

    /// Takes a new upstream.
    pub fn announce(&self, announcement: Announcement) {
        self.draining.store(false, Ordering::Release);
        self.announced.store(Some(announcement.into()));
    }

    /// Keeps the last load report.
    pub fn report(&self, report: LoadReport) {
        self.report.store(Some(report.into()));
    }

    /// The upstream wants no new work.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Release);
    }

    /// The upstream has crashed or closed; it must announce itself again.
    pub fn lost(&self) {
        self.announced.store(None);
    }

    /// The upstream, where there is one that takes new work.
    pub fn serving(&self) -> Option<std::sync::Arc<Announcement>> {
        if self.draining.load(Ordering::Acquire) {
            return None;
        }
        self.announced.load_full()
    }

    /// The upstream has asked for no new work and has not announced itself since.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// The last load report.
    pub fn last_report(&self) -> Option<LoadReport> {
        self.report.load().as_deref().copied()
    }

    /// Sends one request and reads its whole answer.
    pub async fn send(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        headers: HeaderMap,
        body: Bytes,
    ) -> Result<Answer, UpstreamError> {
        let mut request = Request::new(Full::new(body));
        *request.method_mut() = method;
        *request.uri_mut() = format!("http://{address}{path}")
            .parse()
            .map_err(|error| UpstreamError::NotConnected(format!("bad path: {error}")))?;
        *request.headers_mut() = headers;
        let response =
            self.client.request(request).await.map_err(|error| match error.is_connect() {
                true => UpstreamError::NotConnected(error.to_string()),
                false => UpstreamError::NotWhole(error.to_string()),
            })?;
        let (parts, body) = response.into_parts();
        let body = Limited::new(body, self.max_body_bytes).collect().await;
        let body = body.map_err(|error| UpstreamError::NotWhole(error.to_string()))?;
        Ok(Answer { status: parts.status, headers: parts.headers, body: body.to_bytes() })
    }
}

/// Adds the headers that tell an upstream what it runs and for whom.
pub fn upstream_headers(
    mut map: HeaderMap,
    request_id: &str,
    organisation: Option<&str>,
    context: &str,
    remaining: Duration,
) -> HeaderMap {
    let mut set = |name, text: &str| {
        if let Ok(value) = HeaderValue::from_str(text) {
            map.insert(name, value);
        }
    };
    set(headers::REQUEST_ID, request_id);
    set(headers::CONTEXT, context);
    set(headers::DEADLINE_MS, &remaining.as_millis().to_string());
    if let Some(organisation) = organisation {
        set(headers::ORGANISATION, organisation);
    }
    map
}
