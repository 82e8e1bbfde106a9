//! Listeners, tasks and shutdown of a node in a mesh.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::body::Incoming;
use tokio::{net::TcpListener, task::JoinSet, time::timeout};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::{
    clock,
    findings::{Collector, Findings},
    http_server::{self, pipelined},
    mesh::{
        Dialect, Heard, MeshSettings, Node, Upstream, UpstreamMessage, control, drawing,
        entry::Callers, peer_service,
    },
};

const MAX_HEARTBEAT_BYTES: usize = 64 << 10;
/// Part of the time until the kill that is kept for joining tasks.
const STOP_MARGIN: Duration = Duration::from_millis(500);

/// Listeners that are bound before the node starts.
#[derive(Debug)]
pub struct MeshListeners {
    callers: TcpListener,
    peers: TcpListener,
    readiness: TcpListener,
    heartbeats: TcpListener,
    operators: TcpListener,
}

impl MeshListeners {
    /// Binds all addresses of the settings and reports every one that cannot be bound.
    pub async fn bind(settings: &MeshSettings) -> Result<Self, Findings> {
        let listen = settings.listen;
        let mut collector = Collector::new(settings.file.clone());
        let places = [
            ("/listen/callers", listen.callers),
            ("/listen/peers", listen.peers),
            ("/listen/readiness", listen.readiness),
            ("/listen/heartbeats", listen.heartbeats),
            ("/listen/operators", listen.operators),
        ];
        let mut bound = Vec::with_capacity(places.len());
        for (place, address) in places {
            match TcpListener::bind(address).await {
                Ok(listener) => bound.push(listener),
                Err(error) => {
                    let found = format!("{address}: {error}");
                    collector.add(place, "an address that can be bound", found);
                }
            }
        }
        match <[TcpListener; 5]>::try_from(bound) {
            Ok([callers, peers, readiness, heartbeats, operators]) => {
                Ok(Self { callers, peers, readiness, heartbeats, operators })
            }
            Err(_) => Err(collector.into_findings()),
        }
    }
}

/// Runs a node until `shutdown`, then finishes its work and joins all its tasks.
pub async fn run<D: Dialect>(
    settings: MeshSettings,
    listeners: MeshListeners,
    shutdown: CancellationToken,
) -> anyhow::Result<()> {
    let grace = settings.bounds.grace;
    let node = Arc::new(Node::<D>::new(settings));
    let serving = TaskTracker::new();
    let (stop, cut) = (node.stop_serving.clone(), CancellationToken::new());
    let mut control_tasks = JoinSet::new();
    control_tasks.spawn(control::follow_configuration(node.clone()));
    control_tasks.spawn(control::publish(node.clone()));
    for number in 0..drawing::MAX_HOMES {
        control_tasks.spawn(drawing::run(node.clone(), number));
    }
    serving.spawn(peer_service::serve(listeners.peers, node.clone(), stop.clone()));
    serving.spawn({
        let node = node.clone();
        pipelined::serve(listeners.callers, stop.clone(), cut.clone(), Callers(node))
    });
    serving.spawn({
        let node = node.clone();
        http_server::serve(listeners.heartbeats, stop.clone(), move |request| {
            heartbeat(node.clone(), request)
        })
    });
    let asked = CancellationToken::new();
    let answering = TaskTracker::new();
    answering.spawn({
        let node = node.clone();
        http_server::serve(listeners.readiness, asked.clone(), move |request| {
            readiness(node.clone(), request)
        })
    });
    answering.spawn(http_server::serve(listeners.operators, asked.clone(), |_| async {
        http_server::text(StatusCode::OK, "")
    }));
    log::info!(
        instance:% = node.settings.instance, incarnation = node.incarnation,
        service:% = node.settings.service;
        "node has started"
    );

    shutdown.cancelled().await;
    log::info!("node is stopping");
    node.leave();
    stop.cancel();
    serving.close();
    if timeout(grace.saturating_sub(STOP_MARGIN), serving.wait()).await.is_err() {
        log::warn!(left = serving.len(); "requests did not end within the grace period");
    }
    cut.cancel();
    asked.cancel();
    answering.close();
    control_tasks.shutdown().await;
    log::info!("node has stopped");
    Ok(())
}

async fn readiness<D: Dialect>(
    node: Arc<Node<D>>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    if request.uri().path() != D::READINESS_PATH {
        return http_server::text(StatusCode::NOT_FOUND, "no such path");
    }
    match node.is_ready() {
        true => http_server::text(StatusCode::OK, "ready"),
        false => http_server::text(StatusCode::SERVICE_UNAVAILABLE, "not ready"),
    }
}

async fn heartbeat<D: Dialect>(
    node: Arc<Node<D>>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let method: Method = request.method().clone();
    let path = request.uri().path().to_owned();
    let body = match Limited::new(request.into_body(), MAX_HEARTBEAT_BYTES).collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => return http_server::text(StatusCode::BAD_REQUEST, &error.to_string()),
    };
    let message = match D::upstream_message(&method, &path, &body) {
        Ok(message) => message,
        Err(cause) => {
            log::warn!(path = path, cause = cause; "unreadable message of an upstream");
            return http_server::text(StatusCode::BAD_REQUEST, &cause);
        }
    };
    let now = clock::now();
    let (heard, upstream): (Heard, Option<Upstream>) = {
        let mut registry = node.registry.lock();
        let heard = match &message {
            UpstreamMessage::Heartbeat(heartbeat) => registry.heard(now, heartbeat.clone()),
            UpstreamMessage::Leave { upstream } => registry.left(now, upstream),
        };
        (heard, registry.current().cloned())
    };
    if heard != Heard::Unchanged {
        log::info!(heard:? = heard, message:? = message; "message of the upstream");
    }
    if matches!(heard, Heard::Replaced | Heard::Changed)
        && let Some(upstream) = upstream
    {
        node.guard.set_upstream(upstream);
        node.record_changed.notify_one();
    }
    http_server::json(StatusCode::OK, &serde_json::json!({}))
}
