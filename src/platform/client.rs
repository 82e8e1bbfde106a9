//! Client of the platform's object API over HTTP.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, Request, StatusCode, header::CONTENT_TYPE};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use prometheus_client::metrics::counter::Counter;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_json::Value;
use tokio::time::timeout;

use crate::platform::{
    Listing, MAX_VALUE_BYTES, Object, ObjectApi, ObjectVersion, PlatformError, WATCH_TIMEOUT,
};

const MAX_ANSWER_BYTES: usize = 8 * MAX_VALUE_BYTES;

/// Body of a conditional write's answer.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct WriteAnswer {
    /// Version after the write, or the current version in a conflict.
    pub(super) version: ObjectVersion,
}

/// Client of the platform's object API.
#[derive(Debug, Clone)]
pub struct HttpPlatform {
    client: Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
    timeout: Duration,
    calls: Counter,
}

impl HttpPlatform {
    /// Makes a client; it connects when it is first used.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(timeout));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(Duration::from_secs(30))
            .build(connector);
        Self { client, address, timeout, calls: Counter::default() }
    }

    /// Counts the calls made, a watch as one.
    pub fn calls(&self) -> &Counter {
        &self.calls
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<Value>,
        limit: Duration,
    ) -> Result<(StatusCode, Bytes), PlatformError> {
        self.calls.inc();
        let bytes = body.map_or_else(Bytes::new, |value| Bytes::from(value.to_string()));
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(bytes))
            .map_err(|error| PlatformError::Refused(error.to_string()))?;
        let exchange = async {
            let response = self.client.request(request).await.map_err(no_answer)?;
            let status = response.status();
            let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES);
            let body = body.collect().await.map_err(no_answer)?;
            Ok((status, body.to_bytes()))
        };
        match timeout(limit, exchange).await {
            Ok(answer) => answer,
            Err(_) => Err(PlatformError::NoAnswer(format!("no answer within {limit:?}"))),
        }
    }

    async fn write(
        &self,
        method: Method,
        path: &str,
        body: Option<Value>,
    ) -> Result<ObjectVersion, PlatformError> {
        let (status, body) = self.call(method, path, body, self.timeout).await?;
        match status {
            StatusCode::OK => Ok(parse::<WriteAnswer>(&body)?.version),
            StatusCode::CONFLICT => {
                Err(PlatformError::Conflict { current: parse::<WriteAnswer>(&body)?.version })
            }
            _ => Err(failure(status, &body)),
        }
    }
}

impl ObjectApi for HttpPlatform {
    async fn get(&self, kind: &str, name: &str) -> Result<Option<Object>, PlatformError> {
        let path = format!("/objects/{kind}/{name}");
        let (status, body) = self.call(Method::GET, &path, None, self.timeout).await?;
        match status {
            StatusCode::OK => parse(&body).map(Some),
            StatusCode::NOT_FOUND => Ok(None),
            _ => Err(failure(status, &body)),
        }
    }

    async fn list(&self, kind: &str) -> Result<Listing, PlatformError> {
        let path = format!("/objects/{kind}");
        let (status, body) = self.call(Method::GET, &path, None, self.timeout).await?;
        if status != StatusCode::OK {
            return Err(failure(status, &body));
        }
        parse(&body)
    }

    async fn put(
        &self,
        kind: &str,
        name: &str,
        value: Value,
        if_version: ObjectVersion,
    ) -> Result<ObjectVersion, PlatformError> {
        let path = format!("/objects/{kind}/{name}?if-version={if_version}");
        self.write(Method::PUT, &path, Some(value)).await
    }

    async fn delete(
        &self,
        kind: &str,
        name: &str,
        if_version: ObjectVersion,
    ) -> Result<(), PlatformError> {
        let path = format!("/objects/{kind}/{name}?if-version={if_version}");
        self.write(Method::DELETE, &path, None).await.map(drop)
    }

    async fn watch(&self, kind: &str, after: ObjectVersion) -> Result<Listing, PlatformError> {
        let path = format!("/watch/{kind}?after={after}");
        let limit = WATCH_TIMEOUT + self.timeout;
        let (status, body) = self.call(Method::GET, &path, None, limit).await?;
        if status != StatusCode::OK {
            return Err(failure(status, &body));
        }
        parse(&body)
    }
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, PlatformError> {
    serde_json::from_slice(body)
        .map_err(|error| PlatformError::NoAnswer(format!("unreadable answer: {error}")))
}

fn no_answer(error: impl std::fmt::Display) -> PlatformError {
    PlatformError::NoAnswer(error.to_string())
}

fn failure(status: StatusCode, body: &[u8]) -> PlatformError {
    let text = format!("status {status}: {}", String::from_utf8_lossy(body));
    if status.is_client_error() {
        return PlatformError::Refused(text);
    }
    PlatformError::NoAnswer(text)
}
