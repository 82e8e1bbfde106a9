//! Client of the object store over the project's own HTTP API.

use std::{net::SocketAddr, time::Duration};

use http::{Method, StatusCode};
use prometheus_client::metrics::counter::Counter;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::store::{
    HttpExchange, Listing, Object, ObjectApi, ObjectVersion, StoreError,
    exchange::{parse_json, status_error},
};

/// Body of the answer to a conditional write.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct WriteAnswer {
    /// Version after the write; after a conflict, the current version.
    pub(super) version: ObjectVersion,
}

/// Client of an object store that serves the project's own HTTP API.
#[derive(Debug, Clone)]
pub struct HttpStore {
    exchange: HttpExchange,
    timeout: Duration,
}

impl HttpStore {
    /// Makes a client that connects when it is first used. `timeout` limits each call; a watch may
    /// take its own waiting time in addition.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self { exchange: HttpExchange::new(address, timeout), timeout }
    }

    /// Counter of the calls made; a watch counts as one call.
    pub fn call_counter(&self) -> &Counter {
        self.exchange.call_counter()
    }

    async fn write(
        &self,
        method: Method,
        path: &str,
        body: Option<Value>,
    ) -> Result<ObjectVersion, StoreError> {
        let (parts, body) =
            self.exchange.call(method, path, body, self.timeout).await?.into_parts();
        match parts.status {
            StatusCode::OK => Ok(parse_json::<WriteAnswer>(&body)?.version),
            StatusCode::CONFLICT => {
                Err(StoreError::Conflict { current: parse_json::<WriteAnswer>(&body)?.version })
            }
            _ => Err(status_error(parts.status, &body)),
        }
    }
}

impl ObjectApi for HttpStore {
    async fn get(&self, kind: &str, name: &str) -> Result<Option<Object>, StoreError> {
        let answer = self.exchange.read(&format!("/objects/{kind}/{name}"), self.timeout).await?;
        let (status, body) = (answer.status(), answer.body());
        match status {
            StatusCode::OK => parse_json(body).map(Some),
            StatusCode::NOT_FOUND => Ok(None),
            _ => Err(status_error(status, body)),
        }
    }

    async fn list(&self, kind: &str) -> Result<Listing, StoreError> {
        let path = format!("/objects/{kind}");
        let answer = self.exchange.call(Method::GET, &path, None, self.timeout).await?;
        let (status, body) = (answer.status(), answer.body());
        if status != StatusCode::OK {
            return Err(status_error(status, body));
        }
        parse_json(body)
    }

    async fn put(
        &self,
        kind: &str,
        name: &str,
        value: Value,
        if_version: ObjectVersion,
    ) -> Result<ObjectVersion, StoreError> {
        let path = format!("/objects/{kind}/{name}?if-version={if_version}");
        self.write(Method::PUT, &path, Some(value)).await
    }

    async fn delete(
        &self,
        kind: &str,
        name: &str,
        if_version: ObjectVersion,
    ) -> Result<(), StoreError> {
        let path = format!("/objects/{kind}/{name}?if-version={if_version}");
        self.write(Method::DELETE, &path, None).await.map(drop)
    }

    async fn watch(
        &self,
        kind: &str,
        after: ObjectVersion,
        wait: Duration,
    ) -> Result<Listing, StoreError> {
        let path = format!("/watch/{kind}?after={after}&wait-ms={}", wait.as_millis());
        let limit = wait + self.timeout;
        let answer = self.exchange.call(Method::GET, &path, None, limit).await?;
        let (status, body) = (answer.status(), answer.body());
        if status != StatusCode::OK {
            return Err(status_error(status, body));
        }
        parse_json(body)
    }
}
