//! Listener for the messages of the node's local upstream.
//!
//! Anyone who reaches the listener can send a message. A heartbeat therefore decides neither the address nor
//! the service of the upstream, which the settings state, and one that names another instance than the known
//! one counts only if the health check at that address does not contradict it.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::{
    clock, http_server,
    mesh::{
        Dialect, Heartbeat, MessageEffect, Node, Upstream, UpstreamMessage, UpstreamState, leaving,
        probe::{self, NamedInstance},
    },
};

const MAX_MESSAGE_BYTES: usize = 64 << 10;
/// Time for the body of a message, which has some hundred bytes.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// Why a message is not applied.
type Rejection = (StatusCode, String);

/// Whether a heartbeat is proved to come from the instance at the address of the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Proof {
    Proved,
    Unproved,
}

/// Checks that a heartbeat names the address and the service of the settings.
fn check_place<D: Dialect>(node: &Node<D>, heartbeat: &Heartbeat) -> Result<(), Rejection> {
    let address = node.settings.upstream;
    let service = node.live_settings.load().service.clone();
    let mut causes = Vec::new();
    if heartbeat.address != address {
        causes.push(format!("address: {}, expected {address}", heartbeat.address));
    }
    if heartbeat.service != service {
        causes.push(format!("service: {}, expected {service}", heartbeat.service));
    }
    match causes.is_empty() {
        true => Ok(()),
        false => Err((StatusCode::BAD_REQUEST, causes.join("; "))),
    }
}

/// Checks that a heartbeat which names another instance than the known one comes from the instance at the
/// address of the upstream.
async fn check_instance<D: Dialect>(
    node: &Node<D>,
    heartbeat: &Heartbeat,
) -> Result<Proof, Rejection> {
    if !node.upstream_tracker.lock().names_other(clock::now(), heartbeat) {
        return Ok(Proof::Unproved);
    }
    let named = match node.begin_instance_check(clock::now()) {
        true => probe::query_instance(node).await,
        false => NamedInstance::Unknown,
    };
    match named {
        NamedInstance::Id(id) if id == heartbeat.upstream => Ok(Proof::Proved),
        NamedInstance::Id(id) => {
            Err((StatusCode::CONFLICT, format!("the instance at the address is {id}")))
        }
        NamedInstance::Unknown if node.upstream_tracker.lock().is_heard(clock::now()) => {
            let cause = "the known upstream still runs, and its health check names no instance";
            Err((StatusCode::SERVICE_UNAVAILABLE, cause.to_owned()))
        }
        NamedInstance::Unknown | NamedInstance::NoCheck => Ok(Proof::Unproved),
    }
}

/// Checks that a leave message is not a late one of an earlier start under the same id: the present start says
/// in its health check whether it is leaving. A message that is not applied is not acknowledged either.
async fn check_leave<D: Dialect>(node: &Node<D>, upstream: &str) -> Result<(), Rejection> {
    if !node.upstream_tracker.lock().may_be_late_leave(clock::now(), upstream) {
        return Ok(());
    }
    match probe::is_healthy(node).await {
        true => Err((StatusCode::CONFLICT, "the present start does not leave".to_owned())),
        false => Ok(()),
    }
}

/// Applies a message of the upstream.
pub async fn answer<D: Dialect>(
    node: Arc<Node<D>>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let method: Method = request.method().clone();
    let path = request.uri().path().to_owned();
    let body = Limited::new(request.into_body(), MAX_MESSAGE_BYTES).collect();
    let body = match timeout(BODY_TIMEOUT, body).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) => return http_server::text(StatusCode::BAD_REQUEST, &error.to_string()),
        Err(_) => return http_server::text(StatusCode::REQUEST_TIMEOUT, "the body is incomplete"),
    };
    let message = match D::upstream_message(&method, &path, &body) {
        Ok(message) => message,
        Err(cause) => {
            log::warn!(
                path = path, cause = cause;
                "rejected an invalid message of the upstream with status 400"
            );
            return http_server::text(StatusCode::BAD_REQUEST, &cause);
        }
    };
    let checked = match &message {
        UpstreamMessage::Heartbeat(heartbeat) => match check_place(&node, heartbeat) {
            Ok(()) => check_instance(&node, heartbeat).await,
            Err(rejection) => Err(rejection),
        },
        UpstreamMessage::Leave { upstream } => {
            check_leave(&node, upstream).await.map(|()| Proof::Unproved)
        }
    };
    let proof = match checked {
        Ok(proof) => proof,
        Err((status, cause)) => {
            log::warn!(
                status = status.as_u16(), cause = cause, received:? = message;
                "ignored a message of the upstream; the known state stays"
            );
            return http_server::text(status, &cause);
        }
    };
    let now = clock::now();
    let (effect, upstream): (MessageEffect, Option<Upstream>) = {
        let mut tracker = node.upstream_tracker.lock();
        let effect = match &message {
            UpstreamMessage::Heartbeat(heartbeat) => match proof {
                Proof::Proved => tracker.apply_proved_heartbeat(now, heartbeat.clone()),
                Proof::Unproved => tracker.apply_heartbeat(now, heartbeat.clone()),
            },
            UpstreamMessage::Leave { upstream } => tracker.apply_leave(now, upstream),
        };
        (effect, tracker.current().cloned())
    };
    let heard_cold =
        matches!(message, UpstreamMessage::Heartbeat(_)) && effect != MessageEffect::Late;
    let cold_until = upstream.as_ref().map(|upstream| upstream.cold_until);
    if effect != MessageEffect::Unchanged {
        log::info!(heard:? = effect, received:? = message; "message of the upstream received");
    }
    if matches!(effect, MessageEffect::Replaced | MessageEffect::Changed)
        && let Some(upstream) = upstream
    {
        node.use_upstream(upstream);
        node.update_record();
    }
    if let Some(cold_until) = cold_until.filter(|_| heard_cold) {
        node.guard.record_cold_heartbeat(cold_until.saturating_sub(now));
        node.update_record();
    }
    let leaving = match &message {
        UpstreamMessage::Heartbeat(heartbeat) => {
            (heartbeat.state == UpstreamState::Draining).then_some(&heartbeat.upstream)
        }
        UpstreamMessage::Leave { upstream } => Some(upstream),
    };
    if let Some(upstream) = leaving {
        // Publishes also the departure of an upstream of which no heartbeat has arrived.
        node.update_record();
        if !leaving::confirm(&node, upstream).await {
            let cause = "the state could not be made known beyond this process";
            return http_server::text(StatusCode::SERVICE_UNAVAILABLE, cause);
        }
    }
    http_server::json(StatusCode::OK, &serde_json::json!({}))
}
