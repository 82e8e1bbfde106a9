//! HTTP calls to the platform, each with a time limit; the calls are counted.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode, header::CONTENT_TYPE};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use prometheus_client::metrics::counter::Counter;
use serde::de::DeserializeOwned;
use serde_json::Value;
use tokio::time::timeout;

use crate::store::{MAX_VALUE_BYTES, StoreError};

/// Largest body of an answer; a listing holds several objects.
const MAX_ANSWER_BYTES: usize = 8 * MAX_VALUE_BYTES;
/// Idle connections are closed after this time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Makes HTTP calls to the platform, for every client of the object store that uses HTTP.
#[derive(Debug, Clone)]
pub struct HttpExchange {
    client: Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
    calls: Counter,
}

impl HttpExchange {
    /// Makes an exchange that connects when it is first used.
    pub fn new(address: SocketAddr, connect_timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(connect_timeout));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .build(connector);
        Self { client, address, calls: Counter::default() }
    }

    /// Counter of the calls made; a watch counts as one call.
    pub fn call_counter(&self) -> &Counter {
        &self.calls
    }

    /// Makes one call. If no complete answer is received within `limit`, the call fails and its
    /// connection is closed.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<Value>,
        limit: Duration,
    ) -> Result<Response<Bytes>, StoreError> {
        self.calls.inc();
        let bytes = body.map_or_else(Bytes::new, |value| Bytes::from(value.to_string()));
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(bytes))
            .map_err(|error| StoreError::Refused(error.to_string()))?;
        let exchange = async {
            let response =
                self.client.request(request).await.map_err(|error| no_answer_error(&error))?;
            let (parts, body) = response.into_parts();
            let body = Limited::new(body, MAX_ANSWER_BYTES);
            let body = body.collect().await.map_err(|error| no_answer_error(&*error))?;
            Ok(Response::from_parts(parts, body.to_bytes()))
        };
        match timeout(limit, exchange).await {
            Ok(answer) => answer,
            Err(_) => Err(StoreError::NoAnswer(format!("no answer within {limit:?}"))),
        }
    }
}

/// Parses the JSON body of an answer.
pub fn parse_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, StoreError> {
    serde_json::from_slice(body)
        .map_err(|error| StoreError::NoAnswer(format!("unreadable answer: {error}")))
}

/// Makes the error for an HTTP status that the caller does not handle itself.
pub fn status_error(status: StatusCode, body: &[u8]) -> StoreError {
    let text = format!("status {status}: {}", String::from_utf8_lossy(body));
    match status {
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
            StoreError::Unavailable(text)
        }
        StatusCode::GONE => StoreError::Expired,
        _ if status.is_client_error() => StoreError::Refused(text),
        _ => StoreError::NoAnswer(text),
    }
}

fn no_answer_error(error: &(dyn std::error::Error + 'static)) -> StoreError {
    // The text of the outer error names only the stage that failed; its sources say why.
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    StoreError::NoAnswer(text)
}
