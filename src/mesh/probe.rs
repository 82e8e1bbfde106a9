//! The search for the upstream beside a node that has just started.
//!
//! Heartbeats come every second or two, and a node that was restarted would have no upstream until
//! the next one. It asks the upstream for its health instead, which tells its id. The first
//! heartbeat takes the place of what was found.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderValue, Request, StatusCode, header};
use http_body_util::Full;
use tokio::time::{sleep, timeout};

use crate::{
    clock,
    mesh::{Dialect, Heartbeat, Node, UpstreamState},
};

/// Time between two looks whether there is a configuration, which names the path to ask, and between
/// two questions.
const INTERVAL: Duration = Duration::from_millis(100);
/// Time for one answer.
const TIMEOUT: Duration = Duration::from_millis(500);
/// Questions before the node waits for a heartbeat: an upstream that starts with its machine is not
/// there yet, and each question takes the upstream some milliseconds.
const MAX_QUESTIONS: u32 = 5;

/// Asks for the upstream until it is known.
pub async fn run<D: Dialect>(node: Arc<Node<D>>) {
    let mut questions = 0;
    while questions < MAX_QUESTIONS && node.guard.upstream().is_none() {
        if let Some(path) = health_path(&node) {
            questions += 1;
            match timeout(TIMEOUT, ask(&node, &path)).await {
                Ok(Ok(heartbeat)) => return found(&node, heartbeat),
                Ok(Err(cause)) => log::debug!(cause = cause; "the upstream does not tell its id"),
                Err(_) => log::debug!("the upstream does not answer"),
            }
        }
        sleep(INTERVAL).await;
    }
}

fn health_path<D: Dialect>(node: &Node<D>) -> Option<Arc<str>> {
    let catalog = node.catalog.load_full()?;
    let service = catalog.service(&node.own_service())?;
    (!service.health_path.is_empty()).then(|| service.health_path.clone())
}

async fn ask<D: Dialect>(node: &Node<D>, path: &str) -> Result<Heartbeat, String> {
    let address = node.settings.upstream;
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = path.parse().map_err(|error| format!("unusable path: {error}"))?;
    let host = HeaderValue::from_str(&address.to_string()).map_err(|error| error.to_string())?;
    request.headers_mut().insert(header::HOST, host);
    let answer = node.guard.query_upstream(address, request).await?;
    if answer.status != StatusCode::OK {
        return Err(format!("status {}", answer.status));
    }
    let (upstream, load) = D::health_head(&answer.headers).ok_or("no id in the answer")?;
    Ok(Heartbeat {
        upstream,
        address,
        service: node.own_service(),
        zone: node.settings.zone.clone(),
        slots: load.ok_or("no number of slots in the answer")?.slots,
        state: UpstreamState::Ready,
        sequence: 0,
        // Any heartbeat is of a later time.
        started_unix_ms: 0,
        cold: Duration::ZERO,
    })
}

fn found<D: Dialect>(node: &Node<D>, heartbeat: Heartbeat) {
    let upstream = {
        let mut tracker = node.upstream_tracker.lock();
        // A message of the upstream itself goes before.
        if tracker.current().is_some() {
            return;
        }
        log::info!(upstream:% = heartbeat.upstream, slots = heartbeat.slots; "found the upstream by its health");
        tracker.apply_heartbeat(clock::now(), heartbeat);
        tracker.current().cloned()
    };
    if let Some(upstream) = upstream {
        node.guard.set_upstream(upstream);
        node.update_record();
    }
}
