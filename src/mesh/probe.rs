//! Discovery of the local upstream after the start of a node.
//!
//! Upstreams send heartbeats every second or two, so a restarted node would have no upstream until the
//! next one arrives. It requests the upstream's health instead; the answer carries the upstream's id.
//! The first heartbeat replaces the state found in this way.
//!
//! Health requests also tell whether the upstream is cold, after a crash and at signs that it may have
//! become cold again, since it may lose its caches between two heartbeats.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderValue, Request, StatusCode, header};
use http_body_util::Full;
use tokio::time::{Instant, sleep, timeout};

use crate::{
    call::Answer,
    clock,
    mesh::{Dialect, HealthHead, Heartbeat, Node, UpstreamState},
    names::InstanceName,
};

/// Time between two health requests, and between two checks for a configuration, which contains the
/// path of the health check.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout of one health request.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of health requests; after them, the node waits for a heartbeat. An upstream that starts
/// together with its machine does not listen yet, and each request costs the upstream some milliseconds.
const MAX_PROBES: u32 = 5;

/// Time between two checks whether the upstream is cold.
const COLD_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two such checks where the service has no cold rate.
const COLD_IDLE_INTERVAL: Duration = Duration::from_millis(500);
/// Shortest time between two health requests to an upstream that may be cold; each one costs it 6 ms of a
/// slot.
const COLD_PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Time after a cold state or a sign of a crash in which health requests are made: an upstream that has
/// just been cold may be cold again.
const COLD_PROBE_TIME: Duration = Duration::from_secs(5);

/// Requests the upstream's health until the upstream is known, at most [`MAX_PROBES`] times.
pub async fn run<D: Dialect>(node: Arc<Node<D>>) {
    let mut probes = 0;
    while probes < MAX_PROBES && node.guard.upstream().is_none() {
        if let Some(path) = health_path(&node).filter(|_| node.is_state_known()) {
            probes += 1;
            match timeout(PROBE_TIMEOUT, query_health(&node, &path)).await {
                Ok(Ok(head)) => match to_heartbeat(&node, head) {
                    Ok(heartbeat) => return apply_found(&node, heartbeat),
                    Err(cause) => log::debug!(cause = cause; "unusable answer to a health request"),
                },
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

/// Whether the health check of the upstream says that it accepts requests, and so is not leaving.
pub async fn is_healthy<D: Dialect>(node: &Node<D>) -> bool {
    let Some(path) = health_path(node) else { return false };
    matches!(timeout(PROBE_TIMEOUT, query_health(node, &path)).await, Ok(Ok(_)))
}

/// Which instance the health check at the address of the upstream names.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NamedInstance {
    /// The configuration has no health check for the service, or has not been read yet.
    NoCheck,
    /// No usable answer.
    Unknown,
    /// The instance of this id.
    Id(InstanceName),
}

/// Asks which instance answers at the address of the upstream. The answer also counts if it says that the
/// instance is not healthy.
pub async fn query_instance<D: Dialect>(node: &Node<D>) -> NamedInstance {
    let Some(path) = health_path(node) else { return NamedInstance::NoCheck };
    let cause = match timeout(PROBE_TIMEOUT, send_health_request(node, &path)).await {
        Ok(Ok(answer)) => match D::health_head(&answer.headers) {
            Some(head) => return NamedInstance::Id(head.upstream),
            None => format!("status {} without an instance id", answer.status),
        },
        Ok(Err(cause)) => cause,
        Err(_) => format!("no answer within {PROBE_TIMEOUT:?}"),
    };
    log::debug!(cause = cause; "the health check did not name the instance beside this node");
    NamedInstance::Unknown
}

fn health_path<D: Dialect>(node: &Node<D>) -> Option<Arc<str>> {
    let catalog = node.catalog.load_full()?;
    let service = catalog.service(&node.own_service())?;
    (!service.health_path.is_empty()).then(|| service.health_path.clone())
}

async fn send_health_request<D: Dialect>(node: &Node<D>, path: &str) -> Result<Answer, String> {
    let address = node.settings.upstream;
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = path.parse().map_err(|error| format!("unusable path: {error}"))?;
    let host = HeaderValue::from_str(&address.to_string()).map_err(|error| error.to_string())?;
    request.headers_mut().insert(header::HOST, host);
    node.guard.query_upstream(address, request).await
}

async fn query_health<D: Dialect>(node: &Node<D>, path: &str) -> Result<HealthHead, String> {
    let answer = send_health_request(node, path).await?;
    if answer.status != StatusCode::OK {
        return Err(format!("the health check answered status {}, expected 200", answer.status));
    }
    D::health_head(&answer.headers)
        .ok_or_else(|| "the health answer carries no upstream id".to_owned())
}

/// State of the upstream as a health answer shows it. If the answer does not state whether the upstream is
/// cold, it counts as cold until the first heartbeat.
fn to_heartbeat<D: Dialect>(node: &Node<D>, head: HealthHead) -> Result<Heartbeat, String> {
    let cold = head.cold.or_else(|| Some(node.guard.cold_rate()?.duration));
    Ok(Heartbeat {
        upstream: head.upstream,
        address: node.settings.upstream,
        service: node.own_service(),
        zone: node.settings.zone.clone(),
        slots: head.load.ok_or("the health answer carries no number of slots")?.slots,
        state: UpstreamState::Ready,
        sequence: 0,
        // Earlier than any heartbeat, so that the first one replaces this state.
        started_unix_ms: 0,
        cold: cold.unwrap_or_default(),
    })
}

/// Requests the upstream's health while it may be cold, and publishes changes of its pace.
pub async fn watch_cold<D: Dialect>(node: Arc<Node<D>>) {
    let mut probed_at: Option<Instant> = None;
    let mut probe_until = Instant::now();
    let mut was_cold = false;
    loop {
        let interval = match node.guard.cold_rate() {
            Some(_) => COLD_CHECK_INTERVAL,
            None => COLD_IDLE_INTERVAL,
        };
        let is_notified = timeout(interval, node.guard.cold_sign.notified()).await.is_ok();
        let was_paused = node.guard.tick_cold() && node.guard.cold_rate().is_some();
        if was_paused {
            log::warn!(
                "the process was paused; its upstream counts as cold until it states its state"
            );
        }
        let has_sign = is_notified || was_paused;
        let pace = node.guard.cold_pace();
        let now = Instant::now();
        if pace.is_some() != was_cold {
            was_cold = pace.is_some();
            log::info!(
                per_s = pace.map(|it| it.per_s),
                remaining_ms = pace.map_or(0, |it| clock::to_millis(it.remaining));
                "the upstream has become {}", if was_cold { "cold" } else { "warm" }
            );
            probe_until = now + COLD_PROBE_TIME;
        }
        node.update_record();
        if has_sign {
            probe_until = probe_until.max(now + COLD_PROBE_TIME);
        }
        let is_due = probed_at.is_none_or(|at| now >= at + COLD_PROBE_INTERVAL);
        if !is_due || now >= probe_until || node.guard.cold_rate().is_none() {
            continue;
        }
        let Some(path) = health_path(&node) else { continue };
        probed_at = Some(now);
        let cause = match timeout(PROBE_TIMEOUT, query_health(&node, &path)).await {
            Ok(Ok(head)) => {
                if let Some(cold) = head.cold {
                    node.guard.record_cold_answer(cold);
                }
                continue;
            }
            Ok(Err(cause)) => cause,
            Err(_) => format!("no answer within {PROBE_TIMEOUT:?}"),
        };
        log::debug!(cause = cause; "health request to an upstream that may be cold failed");
    }
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
