//! Discovery of the local upstream after the start of a node.
//!
//! Upstreams send heartbeats every second or two, so a restarted node would have no upstream until the
//! next one arrives. It requests the upstream's health instead; the answer carries the upstream's id.
//! The first heartbeat replaces the state found in this way.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderValue, Request, StatusCode, header};
use http_body_util::Full;
use tokio::time::{sleep, timeout};

use crate::{
    clock,
    mesh::{Dialect, Heartbeat, Node, UpstreamState},
};

/// Time between two health requests, and between two checks for a configuration, which contains the
/// path of the health check.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout of one health request.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of health requests; after them, the node waits for a heartbeat. An upstream that starts
/// together with its machine does not listen yet, and each request costs the upstream some milliseconds.
const MAX_PROBES: u32 = 5;

/// Requests the upstream's health until the upstream is known, at most [`MAX_PROBES`] times.
pub async fn run<D: Dialect>(node: Arc<Node<D>>) {
    let mut probes = 0;
    while probes < MAX_PROBES && node.guard.upstream().is_none() {
        if let Some(path) = health_path(&node).filter(|_| node.is_state_known()) {
            probes += 1;
            match timeout(PROBE_TIMEOUT, query_health(&node, &path)).await {
                Ok(Ok(heartbeat)) => return apply_found(&node, heartbeat),
                Ok(Err(cause)) => {
                    log::debug!(cause = cause; "health request to the upstream failed")
                }
                Err(_) => log::debug!(
                    "the upstream did not answer the health request within {PROBE_TIMEOUT:?}"
                ),
            }
        }
        sleep(PROBE_INTERVAL).await;
    }
}

fn health_path<D: Dialect>(node: &Node<D>) -> Option<Arc<str>> {
    let catalog = node.catalog.load_full()?;
    let service = catalog.service(&node.own_service())?;
    (!service.health_path.is_empty()).then(|| service.health_path.clone())
}

async fn query_health<D: Dialect>(node: &Node<D>, path: &str) -> Result<Heartbeat, String> {
    let address = node.settings.upstream;
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = path.parse().map_err(|error| format!("unusable path: {error}"))?;
    let host = HeaderValue::from_str(&address.to_string()).map_err(|error| error.to_string())?;
    request.headers_mut().insert(header::HOST, host);
    let answer = node.guard.query_upstream(address, request).await?;
    if answer.status != StatusCode::OK {
        return Err(format!("the health check answered status {}, expected 200", answer.status));
    }
    let (upstream, load) =
        D::health_head(&answer.headers).ok_or("the health answer carries no upstream id")?;
    Ok(Heartbeat {
        upstream,
        address,
        service: node.own_service(),
        zone: node.settings.zone.clone(),
        slots: load.ok_or("the health answer carries no number of slots")?.slots,
        state: UpstreamState::Ready,
        sequence: 0,
        // Earlier than any heartbeat, so that the first one replaces this state.
        started_unix_ms: 0,
        cold: Duration::ZERO,
    })
}

fn apply_found<D: Dialect>(node: &Node<D>, heartbeat: Heartbeat) {
    let upstream = {
        let mut tracker = node.upstream_tracker.lock();
        // Heartbeats take precedence.
        if tracker.current().is_some() {
            return;
        }
        log::info!(
            upstream:% = heartbeat.upstream, slots = heartbeat.slots;
            "found the upstream by a health request"
        );
        tracker.apply_heartbeat(clock::now(), heartbeat);
        tracker.current().cloned()
    };
    if let Some(upstream) = upstream {
        node.use_upstream(upstream);
        node.update_record();
    }
}
