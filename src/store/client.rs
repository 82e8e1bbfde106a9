//! Client of the object API in the project's own HTTP form.

use std::{net::SocketAddr, time::Duration};

use http::{Method, StatusCode};
use prometheus_client::metrics::counter::Counter;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::store::{
    HttpExchange, Listing, Object, ObjectApi, ObjectVersion, StoreError,
    exchange::{failure, parse},
};

/// Body of a conditional write's answer.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct WriteAnswer {
    /// Version after the write, or the current version in a conflict.
    pub(super) version: ObjectVersion,
}

/// Client of the platform's object API.
#[derive(Debug, Clone)]
pub struct HttpStore {
    exchange: HttpExchange,
    timeout: Duration,
}

impl HttpStore {
    /// Makes a client; it connects when it is first used.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self { exchange: HttpExchange::new(address, timeout), timeout }
    }

    /// Counts the calls made, a watch as one.
    pub fn calls(&self) -> &Counter {
        self.exchange.calls()
    }

    async fn write(
        &self,
        method: Method,
        path: &str,
        body: Option<Value>,
    ) -> Result<ObjectVersion, StoreError> {
        let (status, body) = self.exchange.call(method, path, body, self.timeout).await?;
        match status {
            StatusCode::OK => Ok(parse::<WriteAnswer>(&body)?.version),
            StatusCode::CONFLICT => {
                Err(StoreError::Conflict { current: parse::<WriteAnswer>(&body)?.version })
            }
            _ => Err(failure(status, &body)),
        }
    }
}

impl ObjectApi for HttpStore {
    async fn get(&self, kind: &str, name: &str) -> Result<Option<Object>, StoreError> {
        let path = format!("/objects/{kind}/{name}");
        let (status, body) = self.exchange.call(Method::GET, &path, None, self.timeout).await?;
        match status {
            StatusCode::OK => parse(&body).map(Some),
            StatusCode::NOT_FOUND => Ok(None),
            _ => Err(failure(status, &body)),
        }
    }

    async fn list(&self, kind: &str) -> Result<Listing, StoreError> {
        let path = format!("/objects/{kind}");
        let (status, body) = self.exchange.call(Method::GET, &path, None, self.timeout).await?;
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
        let (status, body) = self.exchange.call(Method::GET, &path, None, limit).await?;
        if status != StatusCode::OK {
            return Err(failure(status, &body));
        }
        parse(&body)
    }
}
