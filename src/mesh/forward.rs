//! Forwarding of requests to the node of the chosen instance, and evaluation of its reply.

use std::{sync::Arc, time::Duration};

use tokio::time::timeout;

use crate::{
    admission::PaceReport,
    call::{Answer, Forwarding, NotRun, Outcome, Reason, Undispatched, final_status},
    clock, memory,
    mesh::{
        Call, Dialect, GuardResult, LoadReport, Member, Node, ServiceUse, Usage,
        grpc::{self, ReplyHold},
        guard::ANSWER_GRACE,
        link::LinkFailure,
        proto,
        request::{BufferedRequest, headers_from_proto, headers_to_proto},
        sync::{self, Role},
    },
    names::ServiceName,
    peers,
};

/// Time after the deadline in which the reply of another node is still awaited. It exceeds the guard's
/// [`ANSWER_GRACE`], so that the other node can still report its outcome.
const REPLY_GRACE: Duration = ANSWER_GRACE.saturating_add(Duration::from_millis(50));

/// Largest body that is sent on a link. A larger one has a gRPC stream of its own, so that it does not
/// delay the requests behind it.
const MAX_LINK_BODY_BYTES: usize = 128 << 10;

/// Forwards a request to the node of an instance.
pub async fn forward_request<D: Dialect>(
    node: &Node<D>,
    member: &Member,
    call: &Call,
    request: BufferedRequest,
    undispatched: Undispatched,
) -> GuardResult {
    let not_sent = |undispatched: Undispatched, reason, detail: String| {
        GuardResult::from_outcome(Outcome::NotRun(undispatched.refuse(reason, detail)))
    };
    let remaining = call.deadline.saturating_sub(clock::now());
    if remaining.is_zero() {
        let detail = "the deadline has passed".to_owned();
        return not_sent(undispatched, Reason::DeadlinePassed, detail);
    }
    let address = member.record.address.peer_address;
    let is_small = request.body.len() <= MAX_LINK_BODY_BYTES;
    let open_link = async {
        match (is_small, call.idempotent) {
            (false, _) => Ok(None),
            (true, true) => node.links.get(address).await,
            (true, false) => node.links.get_probed(address).await,
        }
    };
    let link = match timeout(remaining, open_link).await {
        Ok(Ok(link)) => link,
        Ok(Err(LinkFailure::NotSent(detail) | LinkFailure::Lost(detail))) => {
            return not_sent(undispatched, Reason::PeerFailed, detail);
        }
        Err(_) => {
            let detail = format!("no link to {} in time", member.record.instance);
            return not_sent(undispatched, Reason::DeadlinePassed, detail);
        }
    };
    let remaining = call.deadline.saturating_sub(clock::now());
    let named_rate_per_s = node.placement.lock().named_rate_per_s(&member.record.instance);
    let message = proto::ForwardRequest {
        named_rate_per_s: named_rate_per_s.unwrap_or(0.0),
        ..to_message(call, request, remaining)
    };
    let forwarding = Forwarding::begin(undispatched);
    let exchange = async {
        match link {
            Some(link) if call.idempotent => link.call(message).await,
            Some(link) => node.links.call_once(&link, message).await,
            None => call_by_grpc(node, member, message).await,
        }
    };
    let reply = timeout(remaining + REPLY_GRACE, exchange).await;
    match reply {
        Ok(Ok(reply)) => apply_reply(node, forwarding, reply),
        Ok(Err(LinkFailure::NotSent(detail))) => {
            not_sent(forwarding.not_sent(), Reason::PeerFailed, detail)
        }
        Ok(Err(LinkFailure::Lost(detail))) => {
            let detail = format!("{} did not answer: {detail}", member.record.instance);
            unknown(forwarding, Reason::PeerFailed, detail)
        }
        Err(_) => {
            let detail = format!("no answer of {} in time", member.record.instance);
            unknown(forwarding, Reason::DeadlinePassed, detail)
        }
    }
}

fn unknown(forwarding: Forwarding, reason: Reason, detail: String) -> GuardResult {
    GuardResult {
        reached_upstream: true,
        ..GuardResult::from_outcome(forwarding.unknown(reason, detail))
    }
}

/// Forwards a request in a gRPC call.
async fn call_by_grpc<D: Dialect>(
    node: &Node<D>,
    member: &Member,
    message: proto::ForwardRequest,
) -> Result<proto::ForwardReply, LinkFailure> {
    let mut peer = node.peer(member.record.address.peer_address);
    match peer.forward(grpc::detach_body(message)).await {
        Ok(mut reply) => {
            let hold: Option<ReplyHold> = reply.extensions_mut().remove();
            let mut reply = reply.into_inner();
            if let Some(reserved) = hold.and_then(|it| it.0.take()) {
                reply.body = memory::reserved_bytes(reply.body, reserved);
            }
            Ok(reply)
        }
        Err(status) if peers::is_connect_failure(&status) => {
            Err(LinkFailure::NotSent(status.message().to_owned()))
        }
        // The call has not reached the other node's handler, much less its upstream.
        Err(status) if grpc::is_refusal(&status) => {
            let mut reply = proto::ForwardReply {
                reason: Reason::Overload.as_str().to_owned(),
                detail: status.message().to_owned(),
                ..proto::ForwardReply::default()
            };
            reply.set_outcome(proto::Outcome::NotRun);
            Ok(reply)
        }
        Err(status) => Err(LinkFailure::Lost(status.message().to_owned())),
    }
}

fn to_message(call: &Call, request: BufferedRequest, remaining: Duration) -> proto::ForwardRequest {
    let name = |name: &Option<Arc<str>>| name.as_deref().unwrap_or_default().to_owned();
    proto::ForwardRequest {
        request_id: call.request_id.to_string(),
        service: call.service.to_string(),
        method: request.method.as_str().to_owned(),
        authority: request.authority.to_string(),
        path: request.path.to_string(),
        headers: headers_to_proto(&request.headers),
        body: request.body,
        remaining_ms: clock::to_millis_u32(remaining),
        idempotent: call.idempotent,
        organisation: name(&call.organisation),
        caller_service: call.caller_service.to_string(),
        rank: call.rank.organisation,
        route_rank: call.rank.route,
        root_organisation: name(&call.root_organisation),
        depth: call.depth,
        repeated: call.repeated,
        route: call.route.to_string(),
        named_rate_per_s: 0.0,
        link: 0,
        reserved_service: call
            .reservation
            .as_ref()
            .map_or_else(String::new, |it| it.service.to_string()),
        reserved_retries_permille: call
            .reservation
            .as_ref()
            .map_or(0, |it| (it.retries_per_call * 1000.0).ceil() as u32),
    }
}

/// Converts the reply of another node, and records the loads that it reports for the services of the
/// nested calls.
fn apply_reply<D: Dialect>(
    node: &Node<D>,
    forwarding: Forwarding,
    reply: proto::ForwardReply,
) -> GuardResult {
    if let Some(record) = reply.record.clone() {
        sync::apply_records(node, vec![record], Role::Peer);
    }
    let now = clock::now();
    let mut usage = Usage::default();
    let mut root_admission = node.root_admission.lock();
    for used in &reply.uses {
        let service: ServiceName = used.service.as_str().into();
        if used.load_permille > 0 {
            let measured_at =
                now.saturating_sub(Duration::from_millis(u64::from(used.load_age_ms)));
            let load = f64::from(used.load_permille) / 1000.0;
            root_admission.record_load(now, &service, load, measured_at);
        }
        if let Some(permille) = used.refused_permille {
            let measured_at =
                now.saturating_sub(Duration::from_millis(u64::from(used.refused_age_ms)));
            node.record_refused_share(&service, f64::from(permille) / 1000.0, measured_at);
        }
        usage.services.push(ServiceUse {
            service,
            held_s: f64::from(used.held_us) / 1e6,
            arrivals: f64::from(used.arrivals),
            requests: f64::from(used.requests.unwrap_or(used.arrivals)),
        });
    }
    drop(root_admission);
    GuardResult {
        reached_upstream: reply.reached_upstream,
        load: reply.load.map(|load| LoadReport {
            running: load.running,
            waiting: load.waiting,
            limit: load.limit,
            mean_s: f64::from(load.mean_us) / 1e6,
            route_mean_s: f64::from(load.route_us) / 1e6,
            relative_time: (load.relative_time_permille > 0)
                .then(|| f64::from(load.relative_time_permille) / 1000.0),
            named_rate_per_s: (load.named_rate_per_s > 0.0).then_some(load.named_rate_per_s),
            pace: (load.pace_per_ks > 0).then(|| PaceReport {
                per_s: f64::from(load.pace_per_ks) / 1000.0,
                remaining: Duration::from_millis(u64::from(load.pace_remaining_ms)),
            }),
        }),
        refused_share: reply
            .load
            .as_ref()
            .map_or(0.0, |load| f64::from(load.refused_permille) / 1000.0),
        usage,
        leaving_upstream: None,
        refused_below: reply.refused_below,
        failed_below: reply.failed_below,
        outcome: to_outcome(forwarding, reply),
    }
}

fn to_outcome(forwarding: Forwarding, reply: proto::ForwardReply) -> Outcome {
    let reason = Reason::from_name(&reply.reason).unwrap_or(Reason::PeerFailed);
    match reply.outcome() {
        proto::Outcome::Whole => match final_status(reply.status) {
            Some(status) => forwarding.answered(Answer {
                status,
                headers: headers_from_proto(reply.headers),
                body: reply.body,
            }),
            None => forwarding.unknown(Reason::PeerFailed, "the answer has no valid status"),
        },
        proto::Outcome::NotRun => {
            let not_run =
                NotRun { reason, detail: reply.detail, retry_after: None, covers_request: true };
            Outcome::NotRun(forwarding.not_run(not_run).1)
        }
        proto::Outcome::Unknown | proto::Outcome::Unspecified => {
            forwarding.unknown(reason, reply.detail)
        }
    }
}
