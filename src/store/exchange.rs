//! One HTTP call to the platform: connection, time limit, count.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, Request, StatusCode, header::CONTENT_TYPE};
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

const MAX_ANSWER_BYTES: usize = 8 * MAX_VALUE_BYTES;
/// Idle connections are closed after this time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Makes calls to the platform's HTTP service, whatever form of the object API it speaks.
#[derive(Debug, Clone)]
pub struct HttpExchange {
    client: Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
    calls: Counter,
}

impl HttpExchange {
    /// Makes an exchange; it connects when it is first used.
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

    /// Counts the calls made, a watch as one.
    pub fn calls(&self) -> &Counter {
        &self.calls
    }

    /// Makes one call; a call without an answer within `limit` closes its connection.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<Value>,
        limit: Duration,
    ) -> Result<(StatusCode, Bytes), StoreError> {
        self.calls.inc();
        let bytes = body.map_or_else(Bytes::new, |value| Bytes::from(value.to_string()));
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(bytes))
            .map_err(|error| StoreError::Refused(error.to_string()))?;
        let exchange = async {
            let response = self.client.request(request).await.map_err(|error| no_answer(&error))?;
            let status = response.status();
            let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES);
            let body = body.collect().await.map_err(|error| no_answer(&*error))?;
            Ok((status, body.to_bytes()))
        };
        match timeout(limit, exchange).await {
            Ok(answer) => answer,
            Err(_) => Err(StoreError::NoAnswer(format!("no answer within {limit:?}"))),
        }
    }
}

/// Reads the JSON body of an answer.
pub fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, StoreError> {
    serde_json::from_slice(body)
        .map_err(|error| StoreError::NoAnswer(format!("unreadable answer: {error}")))
}

/// Makes the error of an answer whose status has no other meaning to the caller.
pub fn failure(status: StatusCode, body: &[u8]) -> StoreError {
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

fn no_answer(error: &(dyn std::error::Error + 'static)) -> StoreError {
    // The library's own text names only the stage; the cause says what happened.
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    StoreError::NoAnswer(text)
}
