//! HTTP server for any implementation of [`ObjectApi`], with the project's own HTTP API.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::body::Incoming;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use super::client::WriteAnswer;
use crate::{
    http_server,
    store::{MAX_VALUE_BYTES, ObjectApi, StoreError},
};

/// Longest time that a watch call may wait for changes.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(30);

/// Answers HTTP requests to an object store.
#[derive(Debug)]
pub struct ObjectService<P> {
    objects: Arc<P>,
}

impl<P> Clone for ObjectService<P> {
    fn clone(&self) -> Self {
        Self { objects: self.objects.clone() }
    }
}

/// Serves `objects` on `listener` until `shutdown` is cancelled.
pub async fn serve_objects<P: ObjectApi>(
    listener: TcpListener,
    objects: Arc<P>,
    shutdown: CancellationToken,
) {
    let service = ObjectService::new(objects);
    http_server::serve(listener, shutdown, move |request| {
        let service = service.clone();
        async move { service.answer(request).await }
    })
    .await;
}

impl<P: ObjectApi> ObjectService<P> {
    /// Makes a service that answers from `objects`.
    pub fn new(objects: Arc<P>) -> Self {
        Self { objects }
    }

    /// Answers one request.
    pub async fn answer(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let (parts, body) = request.into_parts();
        let query = parts.uri.query().unwrap_or_default().to_owned();
        let path = parts.uri.path().to_owned();
        let segments: Vec<&str> = path.trim_matches('/').split('/').collect();
        let result = match (&parts.method, segments.as_slice()) {
            (&Method::GET, ["objects", kind, name]) => match self.objects.get(kind, name).await {
                Ok(None) => return text(StatusCode::NOT_FOUND, "no such object"),
                Ok(Some(object)) => Ok(json(StatusCode::OK, &object)),
                Err(error) => Err(error),
            },
            (&Method::GET, ["objects", kind]) => {
                self.objects.list(kind).await.map(|listing| json(StatusCode::OK, &listing))
            }
            (&Method::GET, ["watch", kind]) => {
                let after = query_number(&query, "after");
                let wait =
                    Duration::from_millis(query_number(&query, "wait-ms")).min(MAX_WATCH_WAIT);
                let listing = self.objects.watch(kind, after, wait).await;
                listing.map(|listing| json(StatusCode::OK, &listing))
            }
            (&Method::PUT, ["objects", kind, name]) => {
                let Ok(body) = Limited::new(body, MAX_VALUE_BYTES).collect().await else {
                    return text(StatusCode::PAYLOAD_TOO_LARGE, "the value is too large");
                };
                let Ok(value) = serde_json::from_slice(&body.to_bytes()) else {
                    return text(StatusCode::BAD_REQUEST, "the value is not JSON");
                };
                let version = query_number(&query, "if-version");
                write_response(self.objects.put(kind, name, value, version).await)
            }
            (&Method::DELETE, ["objects", kind, name]) => {
                let version = query_number(&query, "if-version");
                write_response(self.objects.delete(kind, name, version).await.map(|()| version))
            }
            _ => return text(StatusCode::NOT_FOUND, "no such path"),
        };
        result.unwrap_or_else(|error| error_response(&error))
    }
}

fn write_response(result: Result<u64, StoreError>) -> Result<Response<Full<Bytes>>, StoreError> {
    result.map(|version| json(StatusCode::OK, &WriteAnswer { version }))
}

fn error_response(error: &StoreError) -> Response<Full<Bytes>> {
    match error {
        StoreError::Conflict { current } => {
            json(StatusCode::CONFLICT, &WriteAnswer { version: *current })
        }
        StoreError::Refused(reason) => text(StatusCode::BAD_REQUEST, reason),
        StoreError::Expired => text(StatusCode::GONE, &error.to_string()),
        StoreError::Unavailable(reason) => text(StatusCode::SERVICE_UNAVAILABLE, reason),
        // Unlike 503, this status leaves open whether the write took effect.
        StoreError::NoAnswer(reason) => text(StatusCode::GATEWAY_TIMEOUT, reason),
    }
}

fn query_number(query: &str, name: &str) -> u64 {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let pair = pairs.find(|(key, _)| *key == name);
    pair.and_then(|(_, value)| value.parse().ok()).unwrap_or(0)
}

fn json(status: StatusCode, value: &impl Serialize) -> Response<Full<Bytes>> {
    http_server::json(status, value)
}

fn text(status: StatusCode, message: &str) -> Response<Full<Bytes>> {
    http_server::text(status, message)
}
