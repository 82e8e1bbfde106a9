//! HTTP listener for callers.

use std::sync::Arc;

use bytes::Bytes;
use http::{
    HeaderMap, HeaderValue, Request, Response, Version,
    header::{AUTHORIZATION, CONNECTION},
};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::{
    call::headers,
    http_server,
    node::{
        Lifecycle, Shared,
        entry::{self, Origin},
    },
};

const BEARER: &str = "Bearer ";

/// Serves callers until `shutdown` is cancelled; connections left at `stop_now` are cut.
pub async fn serve(listener: TcpListener, shared: Arc<Shared>, shutdown: CancellationToken) {
    let abort = shared.stop_now.clone();
    let handler = move |request| handle(shared.clone(), request);
    http_server::serve_until(listener, shutdown, abort, handler).await;
}

async fn handle(shared: Arc<Shared>, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let version = request.version();
    let origin = Origin::Caller { key: presented_key(request.headers()) };
    let mut response = entry::answer_request(&shared, origin, request).await;
    if version == Version::HTTP_11 && shared.lifecycle() != Lifecycle::Serving {
        // A caller that keeps the connection open could send a request just when the node closes
        // it, and could not know whether that request ran.
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

fn presented_key(map: &HeaderMap) -> Option<Arc<str>> {
    let bearer = map.get(AUTHORIZATION).and_then(|value| value.to_str().ok());
    let key = bearer
        .and_then(|value| value.strip_prefix(BEARER))
        .or_else(|| map.get(headers::API_KEY).and_then(|value| value.to_str().ok()));
    key.map(|key| Arc::from(key.trim()))
}
