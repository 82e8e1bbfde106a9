//! The platform stand-in: the object API with injected faults, and `/faults` to set them.

use std::sync::{Arc, atomic::Ordering};

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;
use serde_json::json;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::{
    http_server,
    standin::{FaultSettings, Faults, FaultyStore},
    store::ObjectService,
};

/// Serves the object API and `GET/PUT /faults` until `shutdown` is cancelled.
pub async fn run_platform(listener: TcpListener, shutdown: CancellationToken) {
    let store = Arc::new(FaultyStore::default());
    let faults = store.faults.clone();
    let objects = ObjectService::new(store);
    http_server::serve(listener, shutdown, move |request| {
        let (objects, faults) = (objects.clone(), faults.clone());
        async move {
            match request.uri().path() {
                "/faults" => answer_faults(&faults, request).await,
                _ => objects.answer(request).await,
            }
        }
    })
    .await;
}

/// Sets the faults from the body of a PUT request; answers with the counters of calls and writes.
async fn answer_faults(faults: &Faults, request: Request<Incoming>) -> Response<Full<Bytes>> {
    if request.method() == Method::PUT {
        let body = request.into_body().collect().await.map(|body| body.to_bytes());
        let settings = body.ok().and_then(|body| serde_json::from_slice(&body).ok());
        let Some(settings) = settings else {
            let schema = schemars::schema_for!(FaultSettings);
            let text = format!("expected a body of the form {}", schema.as_value());
            return http_server::text(StatusCode::BAD_REQUEST, &text);
        };
        faults.set(settings);
    }
    http_server::json(
        StatusCode::OK,
        &json!({
            "calls": faults.calls.load(Ordering::Relaxed),
            "writes": faults.writes.load(Ordering::Relaxed),
        }),
    )
}
