//! The listener for the upstream beside the node: announcements, reports and outgoing calls.

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

/// Serves the upstream until `shutdown`.
pub async fn serve(listener: TcpListener, shared: Arc<Shared>, shutdown: CancellationToken) {
    let cut = shared.stop_now.clone();
    let handler = move |request| answer(shared.clone(), request);
    http_server::serve_until(listener, shutdown, cut, handler).await;
}

async fn answer(shared: Arc<Shared>, request: Request<Incoming>) -> Response<Full<Bytes>> {
    if request.headers().contains_key(headers::CONTEXT) {
        return outgoing(&shared, request).await;
    }
    match (request.method(), request.uri().path()) {
        (&Method::POST, "/announce") => match read::<Announcement>(request).await {
            Ok(announcement) => announce(&shared, announcement),
            Err(response) => *response,
        },
        (&Method::POST, "/report") => match read::<LoadReport>(request).await {
            Ok(report) => {
                shared.upstream.report(report);
                http_server::text(StatusCode::OK, "noted")
            }
            Err(response) => *response,
        },
        (&Method::POST, "/drain") => {
            shared.upstream.drain();
            let draining = shared.clone();
            shared.once.tasks.spawn(async move {
                draining.once.hand_over(&draining).await;
                draining.announced.notify_one();
            });
            http_server::text(StatusCode::OK, "draining")
        }
        _ => http_server::text(
            StatusCode::BAD_REQUEST,
            "an outgoing call must carry the header hibiscus-context of the request being served",
        ),
    }
}

fn announce(shared: &Shared, announcement: Announcement) -> Response<Full<Bytes>> {
    if !announcement.address.ip().is_loopback() {
        let message =
            format!("/address: expected a loopback address, found {}", announcement.address);
        return http_server::text(StatusCode::BAD_REQUEST, &message);
    }
    log::info!("the upstream announces {} at {}", announcement.service, announcement.address);
    shared.gate.on_announcement(announcement.slots);
    shared.upstream.announce(announcement);
    shared.announced.notify_one();
    http_server::text(StatusCode::OK, "announced")
}

async fn outgoing(shared: &Arc<Shared>, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let context = request.headers().get(headers::CONTEXT).and_then(|value| value.to_str().ok());
    let id = context.and_then(|text| Uuid::parse_str(text).ok());
    match id.and_then(|id| shared.dispatches.find(id)) {
        Some(call) => entry::answer(shared, Origin::Upstream { call }, request).await,
        None => http_server::text(
            StatusCode::BAD_REQUEST,
            "the header hibiscus-context names no request that is running",
        ),
    }
}

async fn read<T: JsonSchema + DeserializeOwned>(
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
