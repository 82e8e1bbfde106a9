//! HTTP calls to the platform, each with a time limit; the calls are counted.

use std::{
    net::SocketAddr,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};

use arc_swap::ArcSwap;
use bytes::Bytes;
use http::{Method, Request, Response, StatusCode, Uri, header::CONTENT_TYPE};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use prometheus_client::metrics::counter::Counter;
use serde::{Deserialize, de::DeserializeOwned};
use serde_json::Value;
use tokio::{pin, time::timeout};
use tower_service::Service;

use crate::store::{MAX_VALUE_BYTES, StoreError};

/// Largest body of an answer; a listing holds several objects.
const MAX_ANSWER_BYTES: usize = 8 * MAX_VALUE_BYTES;
/// Memory that the parsed values of one call may need. An element takes 2 bytes of an answer and 32 bytes of
/// memory: an answer of 8 MiB took 278 MiB, the pages of a listing 5.8 GiB.
const MAX_PARSED_BYTES: usize = 64 << 20;
/// The same for the value of one listed object, so that a single one does not use up what the others need.
const MAX_LISTED_VALUE_BYTES: usize = MAX_PARSED_BYTES / 16;
/// Depth down to which the frame of an answer is parsed: that of a list of objects, which are parsed one by
/// one.
const FRAME_DEPTH: usize = 2;
/// Memory of a value of JSON beside the text of a string.
const VALUE_BYTES: usize = 32;
/// Memory of a field of an object beside its value and the text of its name.
const FIELD_BYTES: usize = 64;
/// Largest part of an answer, or of a message about it, in the text of an error, which is logged.
const MAX_ERROR_TEXT_BYTES: usize = 256;
/// Idle connections are closed after this time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Time without an answer after which a read is repeated on a new connection. A read of the configuration
/// that is repeated then still brings a change into force within its bound.
const READ_REPEAT_DELAY: Duration = Duration::from_millis(150);

/// A client with its kept connections.
type PooledClient = Client<CountingConnector, Full<Bytes>>;

/// Makes HTTP calls to the platform, for every client of the object store that uses HTTP.
///
/// A kept connection may have gone silent without an error, together with all others. When a call has had no
/// answer, the connections that were open are not used again.
#[derive(Debug, Clone)]
pub struct HttpExchange {
    /// Replaced to give up its connections.
    client: Arc<ArcSwap<PooledClient>>,
    connector: CountingConnector,
    address: SocketAddr,
    calls: Counter,
}

/// Connector that counts the connections that it begins to open.
#[derive(Debug, Clone)]
struct CountingConnector {
    connector: HttpConnector,
    connections: Counter,
}

impl Service<Uri> for CountingConnector {
    type Response = <HttpConnector as Service<Uri>>::Response;
    type Error = <HttpConnector as Service<Uri>>::Error;
    type Future = <HttpConnector as Service<Uri>>::Future;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.connector.poll_ready(context)
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        self.connections.inc();
        self.connector.call(uri)
    }
}

impl HttpExchange {
    /// Makes an exchange that connects when it is first used.
    pub fn new(address: SocketAddr, connect_timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(connect_timeout));
        connector.set_nodelay(true);
        let connector = CountingConnector { connector, connections: Counter::default() };
        let client = Arc::new(ArcSwap::new(pooled_client(&connector)));
        Self { client, connector, address, calls: Counter::default() }
    }

    /// Counter of the calls made; a watch counts as one call.
    pub fn call_counter(&self) -> &Counter {
        &self.calls
    }

    /// Number of connections opened since the start, with those that failed.
    pub fn connection_count(&self) -> u64 {
        self.connector.connections.get()
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
        let client = self.client.load_full();
        let answer = self.call_with(&client, method, path, body, limit).await;
        if answer.is_err() {
            self.replace(&client, pooled_client(&self.connector));
        }
        answer
    }

    /// Reads `path`. A read that has no answer after a short time is repeated on a new connection,
    /// and the first answer counts.
    pub async fn read(&self, path: &str, limit: Duration) -> Result<Response<Bytes>, StoreError> {
        let kept = self.client.load_full();
        let first = self.call_with(&kept, Method::GET, path, None, limit);
        pin!(first);
        if let Ok(answer) = timeout(READ_REPEAT_DELAY, &mut first).await {
            return answer;
        }
        let new = pooled_client(&self.connector);
        let limit = limit.saturating_sub(READ_REPEAT_DELAY);
        let second = self.call_with(&new, Method::GET, path, None, limit);
        pin!(second);
        let (answer, is_first) = tokio::select! {
            answer = &mut first => match answer {
                Ok(answer) => (Ok(answer), true),
                Err(_) => (second.await, false),
            },
            answer = &mut second => match answer {
                Ok(answer) => (Ok(answer), false),
                Err(_) => (first.await, true),
            },
        };
        if !is_first || answer.is_err() {
            log::debug!(
                path = path;
                "a read of the store had no answer in time; its connections are not used again"
            );
            self.replace(&kept, new.clone());
        }
        answer
    }

    /// Uses another client from now on, unless another call has replaced this one already.
    fn replace(&self, client: &Arc<PooledClient>, new: Arc<PooledClient>) {
        self.client.compare_and_swap(client, new);
    }

    async fn call_with(
        &self,
        client: &PooledClient,
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
                client.request(request).await.map_err(|error| no_answer_error(&error))?;
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

/// Makes a client without connections.
fn pooled_client(connector: &CountingConnector) -> Arc<PooledClient> {
    let client = Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .build(connector.clone());
    Arc::new(client)
}

/// Memory that the parsed answers of one call may still need.
#[derive(Debug)]
pub struct ParseBudget {
    left_bytes: usize,
    /// The same for the value of one object.
    max_value_bytes: usize,
}

impl Default for ParseBudget {
    fn default() -> Self {
        Self { left_bytes: MAX_PARSED_BYTES, max_value_bytes: MAX_PARSED_BYTES }
    }
}

impl ParseBudget {
    /// Budget of a call that lists objects.
    pub fn for_listing() -> Self {
        Self { max_value_bytes: MAX_LISTED_VALUE_BYTES, ..Self::default() }
    }

    /// Parses the JSON body of a further answer.
    pub fn parse_json<T: DeserializeOwned>(&mut self, body: &[u8]) -> Result<T, StoreError> {
        self.use_bytes(estimate_parsed_bytes(body, usize::MAX))?;
        serde_json::from_slice(body).map_err(unreadable_error)
    }

    /// Parses an answer whose objects, or their values, are left as texts.
    pub fn parse_frame<'a, T: Deserialize<'a>>(&mut self, text: &'a str) -> Result<T, StoreError> {
        self.use_bytes(estimate_parsed_bytes(text.as_bytes(), FRAME_DEPTH))?;
        serde_json::from_str(text).map_err(unreadable_error)
    }

    /// Parses the value of one object; the inner error concerns this object only.
    pub fn parse_value(&mut self, text: &str) -> Result<Result<Value, String>, StoreError> {
        let parsed_bytes = estimate_parsed_bytes(text.as_bytes(), usize::MAX);
        if parsed_bytes > self.max_value_bytes {
            let max_bytes = self.max_value_bytes;
            return Ok(Err(format!("the values exceed the limit of {max_bytes} bytes of memory")));
        }
        self.use_bytes(parsed_bytes)?;
        Ok(serde_json::from_str(text).map_err(|error| shorten(&error.to_string())))
    }

    fn use_bytes(&mut self, parsed_bytes: usize) -> Result<(), StoreError> {
        self.left_bytes = self.left_bytes.checked_sub(parsed_bytes).ok_or_else(|| {
            StoreError::NoAnswer(format!(
                "the values of the answer exceed the limit of {MAX_PARSED_BYTES} bytes of memory"
            ))
        })?;
        Ok(())
    }
}

fn unreadable_error(error: serde_json::Error) -> StoreError {
    // The message of a value of another type repeats the value.
    StoreError::NoAnswer(format!("unreadable answer: {}", shorten(&error.to_string())))
}

/// Parses the JSON body of an answer.
pub fn parse_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, StoreError> {
    ParseBudget::default().parse_json(body)
}

/// Memory that the values of a JSON text down to `max_depth` need at most, without the growth of their
/// buffers.
fn estimate_parsed_bytes(body: &[u8], max_depth: usize) -> usize {
    let (mut bytes, mut in_string, mut is_escaped) = (body.len(), false, false);
    let mut depth = 0_usize;
    for byte in body {
        match byte {
            _ if is_escaped => is_escaped = false,
            b'\\' if in_string => is_escaped = true,
            b'"' => in_string = !in_string,
            _ if in_string => {}
            b'[' | b'{' => {
                depth += 1;
                bytes += if depth <= max_depth { VALUE_BYTES } else { 0 };
            }
            b']' | b'}' => depth = depth.saturating_sub(1),
            b',' if depth <= max_depth => bytes += VALUE_BYTES,
            b':' if depth <= max_depth => bytes += FIELD_BYTES,
            _ => {}
        }
    }
    bytes
}

/// The start of a text, for a message of bounded size.
pub fn shorten(text: &str) -> String {
    match text.len() <= MAX_ERROR_TEXT_BYTES {
        true => text.to_owned(),
        false => {
            let start = &text[..text.floor_char_boundary(MAX_ERROR_TEXT_BYTES)];
            format!("{start}... ({} bytes)", text.len())
        }
    }
}

/// Makes the error for an HTTP status that the caller does not handle itself.
pub fn status_error(status: StatusCode, body: &[u8]) -> StoreError {
    // A character that is no UTF-8 takes three bytes of the text.
    let start = &body[..body.len().min(MAX_ERROR_TEXT_BYTES)];
    let text = format!("status {status}: {}", shorten(&String::from_utf8_lossy(start)));
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
    StoreError::NoAnswer(shorten(&text))
}
