//! The operators' listener of a node: administration API, metrics and state dump.

mod configuration;
mod state;
mod status;

use std::sync::Arc;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

pub use configuration::{ApplyResult, ResourceList, ResourceRead};
pub use state::{AccountFigures, LoanFigures, NodeStatus, RetryFigures, STATE_FORMAT, StateDump};
pub use status::{FleetRevisions, FleetStatus, RowRevision, RowStatus};

use crate::{http_server, node::Shared};

/// Serves the operators' listener until `shutdown` is cancelled; connections left at `stop_now` are cut.
pub async fn serve(listener: TcpListener, shared: Arc<Shared>, shutdown: CancellationToken) {
    let abort = shared.stop_now.clone();
    let handler = move |request| answer(shared.clone(), request);
    http_server::serve_until(listener, shutdown, abort, handler).await;
}

async fn answer(shared: Arc<Shared>, request: Request<Incoming>) -> Response<Full<Bytes>> {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/healthz") => http_server::text(StatusCode::OK, "ok"),
        (&Method::GET, "/metrics") => {
            let text = shared.metrics.render(&NodeStatus::capture(&shared));
            http_server::text(StatusCode::OK, text.trim_end())
        }
        (&Method::GET, "/state") => http_server::json(StatusCode::OK, &StateDump::capture(&shared)),
        (&Method::GET, "/v1/status") => {
            http_server::json(StatusCode::OK, &status::collect_fleet_status(&shared).await)
        }
        (&Method::GET, "/v1/revisions") => {
            http_server::json(StatusCode::OK, &status::known_revisions(&shared))
        }
        (&Method::GET, "/v1/nodes") => {
            http_server::json(StatusCode::OK, &*shared.view.load().table)
        }
        _ => match configuration::answer(&shared, request).await {
            Some(response) => response,
            None => http_server::text(StatusCode::NOT_FOUND, "no such path"),
        },
    }
}
