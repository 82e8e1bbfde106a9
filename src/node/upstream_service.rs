//! HTTP listener for the local upstream: announcements, load reports, drains and nested calls.

use std::sync::Arc;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::body::Incoming;
use schemars::JsonSchema;
use serde::de::DeserializeOwned;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use uuid::Uuid;

use crate::{
    call::headers,
    findings, http_server,
    node::{
        Announcement, LoadReport, Shared,
        entry::{self, Origin},
    },
};

const MAX_MESSAGE_BYTES: usize = 64 << 10;

/// Serves the local upstream until `shutdown` is cancelled.
pub async fn serve(listener: TcpListener, shared: Arc<Shared>, shutdown: CancellationToken) {
    let abort = shared.stop_now.clone();
    let handler = move |request| handle(shared.clone(), request);
    http_server::serve_until(listener, shutdown, abort, handler).await;
}

async fn handle(shared: Arc<Shared>, request: Request<Incoming>) -> Response<Full<Bytes>> {
    if request.headers().contains_key(headers::CONTEXT) {
        return handle_nested_call(&shared, request).await;
    }
    match (request.method(), request.uri().path()) {
        (&Method::POST, "/announce") => match read_message::<Announcement>(request).await {
            Ok(announcement) => handle_announcement(&shared, announcement),
            Err(response) => *response,
        },
        (&Method::POST, "/report") => match read_message::<LoadReport>(request).await {
            Ok(report) => {
                shared.upstream.record_report(report);
                http_server::text(StatusCode::OK, "noted")
            }
            Err(response) => *response,
        },
        (&Method::POST, "/drain") => {
            shared.upstream.start_draining();
            let draining = shared.clone();
            shared.once.tasks.spawn(async move {
                draining.once.hand_over(&draining).await;
                draining.own_row_changed.notify_one();
            });
            http_server::text(StatusCode::OK, "draining")
        }
        _ => http_server::text(
            StatusCode::BAD_REQUEST,
            "an outgoing call must carry the header hibiscus-context of the request being served",
        ),
    }
}

fn handle_announcement(shared: &Shared, announcement: Announcement) -> Response<Full<Bytes>> {
    if !announcement.address.ip().is_loopback() {
        let message =
            format!("/address: expected a loopback address, found {}", announcement.address);
        return http_server::text(StatusCode::BAD_REQUEST, &message);
    }
    log::info!(
        "the local upstream announced the service {} at {}; updating the row of this node",
        announcement.service,
        announcement.address
    );
    shared.gate.on_announcement(announcement.slots);
    shared.upstream.on_announcement(announcement);
    shared.own_row_changed.notify_one();
    http_server::text(StatusCode::OK, "announced")
}

/// Runs a nested call that the upstream makes for the request in its context header.
async fn handle_nested_call(
    shared: &Arc<Shared>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let context = request.headers().get(headers::CONTEXT).and_then(|value| value.to_str().ok());
    let id = context.and_then(|text| Uuid::parse_str(text).ok());
    match id.and_then(|id| shared.dispatches.find(id)) {
        Some(call) => entry::answer_request(shared, Origin::Upstream { call }, request).await,
        None => http_server::text(
            StatusCode::BAD_REQUEST,
            "the header hibiscus-context names no request that is running",
        ),
    }
}

/// Reads and validates a JSON message; the error is the response to send.
async fn read_message<T: JsonSchema + DeserializeOwned>(
    request: Request<Incoming>,
) -> Result<T, Box<Response<Full<Bytes>>>> {
    let body = Limited::new(request.into_body(), MAX_MESSAGE_BYTES).collect().await;
    let body = body.map_err(|error| {
        Box::new(http_server::text(StatusCode::BAD_REQUEST, &format!("unreadable body: {error}")))
    })?;
    let text = String::from_utf8_lossy(&body.to_bytes()).into_owned();
    findings::check::<T>("request body", &text)
        .map_err(|findings| Box::new(http_server::json(StatusCode::BAD_REQUEST, &findings)))
}
