//! The entry of a request: route, key, choice of an instance, forwarding and retries.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::body::Incoming;
use smallvec::SmallVec;
use tokio::time::timeout;

use crate::{
    call::{Answer, Forwarding, NotRun, Outcome, Reason, Undispatched, Unknown},
    clock::{self, Timestamp},
    mesh::{
        CallHead, Catalog, Dialect, Guarded, GuardedCall, Member, Node, Organisation, Route, proto,
        request::{WholeRequest, headers_from_proto, headers_to_proto, remove_connection_headers},
    },
    names::InstanceName,
    peers,
    routing::{AttemptResult, Candidate},
};

/// Attempts that did not reach an upstream, for one request.
const MAX_PLACEMENTS: usize = 4;
/// Time after which a refused caller may try again.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// A request that may be sent to an instance.
struct Admitted {
    route: Arc<Route>,
    call: GuardedCall,
}

/// Answers a request of a caller, or of the upstream beside the node.
pub async fn answer<D: Dialect>(
    node: Arc<Node<D>>,
    request: Request<Incoming>,
    arrived: Timestamp,
) -> Response<Full<Bytes>> {
    let (mut parts, body) = request.into_parts();
    let head = D::take_call_head(&mut parts.headers);
    let request_id = head.request_id.clone();
    let method = parts.method.clone();
    let path = parts.uri.path().to_owned();
    let (outcome, route) = run(&node, head, parts, body, arrived).await;
    let (kind, reason, detail) = describe(&outcome);
    log::info!(
        target: "hibiscusdoor::request",
        request = request_id.as_deref(),
        route = route.as_ref().map(|route| &*route.name),
        method:% = method,
        path = path,
        outcome = kind,
        reason = reason,
        took_ms = u64::try_from((clock::now() - arrived).as_millis()).unwrap_or(u64::MAX);
        "{detail}"
    );
    response::<D>(outcome, request_id.as_deref())
}

fn describe(outcome: &Outcome) -> (&'static str, &'static str, String) {
    match outcome {
        Outcome::Whole(answer) => ("whole", "", answer.status.to_string()),
        Outcome::NotRun(it) => ("not-run", it.reason.as_str(), it.detail.clone()),
        Outcome::Unknown(it) => ("unknown", it.reason.as_str(), it.detail.clone()),
    }
}

async fn run<D: Dialect>(
    node: &Arc<Node<D>>,
    head: CallHead,
    parts: http::request::Parts,
    body: Incoming,
    arrived: Timestamp,
) -> (Outcome, Option<Arc<Route>>) {
    let undispatched = Undispatched::new(true);
    let refuse = |undispatched: Undispatched, (reason, detail): (Reason, String)| {
        Outcome::NotRun(undispatched.refuse(reason, detail).retry_after(RETRY_DELAY))
    };
    let Some(catalog) = node.catalog.load_full() else {
        let detail = "no configuration was read yet".to_owned();
        return (refuse(undispatched, (Reason::NoRight, detail)), None);
    };
    let admitted = match admit(node, &catalog, &head, &parts, arrived) {
        Ok(admitted) => admitted,
        Err(refusal) => return (refuse(undispatched, refusal), None),
    };
    let route = Some(admitted.route.clone());
    let body = Limited::new(body, catalog.limits.max_body_bytes).collect();
    let remaining = admitted.call.deadline.saturating_sub(clock::now());
    let body = match timeout(remaining, body).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            return (refuse(undispatched, (Reason::TooLarge, error.to_string())), route);
        }
        Ok(Err(error)) => {
            return (refuse(undispatched, (Reason::BadRequest, error.to_string())), route);
        }
        Err(_) => {
            let detail = "the body did not come in time".to_owned();
            return (refuse(undispatched, (Reason::DeadlinePassed, detail)), route);
        }
    };
    let authority = authority(&parts).unwrap_or_default().into();
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str()).into();
    let mut headers = parts.headers;
    remove_connection_headers(&mut headers);
    headers.remove(header::HOST);
    let request = WholeRequest { method: parts.method, authority, path, headers, body };
    (run_attempts(node, &admitted, request, undispatched).await, route)
}

fn authority(parts: &http::request::Parts) -> Option<&str> {
    let host = parts.headers.get(header::HOST).and_then(|value| value.to_str().ok());
    host.or_else(|| parts.uri.authority().map(|authority| authority.as_str()))
}

fn admit<D: Dialect>(
    node: &Node<D>,
    catalog: &Catalog,
    head: &CallHead,
    parts: &http::request::Parts,
    arrived: Timestamp,
) -> Result<Admitted, (Reason, String)> {
    let host = authority(parts).unwrap_or_default();
    // Routes name hosts without a port.
    let host = host.split(':').next().unwrap_or_default();
    let Some(route) = catalog.route(host, parts.uri.path()) else {
        return Err((Reason::NoRoute, format!("no route for {host}{}", parts.uri.path())));
    };
    let Some(request_id) = head.request_id.clone() else {
        return Err((Reason::BadRequest, "the request has no id".to_owned()));
    };
    let organisation = organisation(node, catalog, route, head)?;
    let allowed = head.remaining.map_or(route.timeout, |remaining| remaining.min(route.timeout));
    let rank = organisation.as_ref().and_then(|it| it.rank).unwrap_or(route.rank);
    let service = choose_service(route);
    let call = GuardedCall {
        request_id,
        service,
        organisation: organisation.map(|it| it.name.clone()),
        caller_service: node.settings.service.clone(),
        deadline: arrived + allowed,
        idempotent: route.idempotent,
        rank,
    };
    Ok(Admitted { route: route.clone(), call })
}

fn choose_service(route: &Route) -> crate::names::ServiceName {
    let sum: f64 = route.destinations.iter().map(|it| it.weight).sum();
    let mut left = rand::random::<f64>() * sum;
    for destination in &route.destinations {
        left -= destination.weight;
        if left < 0.0 {
            return destination.service.clone();
        }
    }
    route.destinations[route.destinations.len() - 1].service.clone()
}

fn organisation<D: Dialect>(
    node: &Node<D>,
    catalog: &Catalog,
    route: &Route,
    head: &CallHead,
) -> Result<Option<Arc<Organisation>>, (Reason, String)> {
    if route.open {
        return Ok(None);
    }
    if !node.keys_are_fresh(clock::now()) {
        let detail = "the node cannot show that its configuration is current";
        return Err((Reason::NoRight, detail.to_owned()));
    }
    let Some(key) = &head.key else {
        return Err((Reason::UnknownKey, "the request carries no key".to_owned()));
    };
    match catalog.key_holder(key) {
        Some(organisation) => Ok(Some(organisation.clone())),
        None => Err((Reason::UnknownKey, "the key is not in force".to_owned())),
    }
}

/// Makes attempts until one is final.
async fn run_attempts<D: Dialect>(
    node: &Arc<Node<D>>,
    admitted: &Admitted,
    request: WholeRequest,
    mut undispatched: Undispatched,
) -> Outcome {
    let mut tried: SmallVec<[InstanceName; 4]> = SmallVec::new();
    let mut reached = 0;
    let mut may_have_run: Option<Unknown> = None;
    loop {
        let (instance, guarded) =
            attempt(node, &admitted.call, request.clone(), undispatched, &tried).await;
        reached += u32::from(guarded.reached_upstream);
        let again = match &guarded.outcome {
            Outcome::Whole(_) => return guarded.outcome,
            Outcome::NotRun(not_run) => {
                let elsewhere = matches!(
                    not_run.reason,
                    Reason::NoUpstream | Reason::Leaving | Reason::PeerFailed | Reason::Overload
                );
                elsewhere.then(|| not_run.try_again())
            }
            Outcome::Unknown(unknown) => {
                may_have_run = Some(unknown.clone());
                let repeatable =
                    admitted.call.idempotent && unknown.reason != Reason::DeadlinePassed;
                repeatable.then(|| unknown.try_again())
            }
        };
        let found = instance.is_some();
        tried.extend(instance);
        let in_time = clock::now() < admitted.call.deadline;
        let may_try = found
            && in_time
            && tried.len() < MAX_PLACEMENTS
            && reached < admitted.route.max_attempts;
        match again.filter(|_| may_try) {
            Some(again) => undispatched = again,
            // A refusal after an attempt that may have run must not be reported as not run.
            None => return may_have_run.map_or(guarded.outcome, Outcome::Unknown),
        }
    }
}

async fn attempt<D: Dialect>(
    node: &Arc<Node<D>>,
    call: &GuardedCall,
    request: WholeRequest,
    undispatched: Undispatched,
    tried: &[InstanceName],
) -> (Option<InstanceName>, Guarded) {
    let members = node.members.load_full();
    let ready: SmallVec<[&Arc<Member>; 16]> = members
        .of(&call.service)
        .iter()
        .filter(|member| member.ready_upstream().is_some() && !tried.contains(&member.instance))
        .collect();
    let candidates: SmallVec<[Candidate<'_>; 16]> = ready
        .iter()
        .map(|member| Candidate {
            instance: &member.instance,
            same_zone: member.record.zone == node.settings.zone,
        })
        .collect();
    let now = clock::now();
    let Some(index) = node.targets.lock().choose(now, &candidates, tried) else {
        let detail = format!("no instance of {} takes requests", call.service);
        let not_run = undispatched.refuse(Reason::NoUpstream, detail);
        let guarded = Guarded { outcome: Outcome::NotRun(not_run), reached_upstream: false };
        return (None, guarded);
    };
    let member = ready[index];
    node.targets.lock().started(now, &member.instance);
    let mut used = Used { node, instance: &member.instance, result: AttemptResult::Abandoned, now };
    let guarded = match member.instance == node.settings.instance {
        true => node.guard.run(call.clone(), request, undispatched).await,
        false => forward(node, member, call, request, undispatched).await,
    };
    used.result = result_of(&guarded.outcome);
    drop(used);
    (Some(member.instance.clone()), guarded)
}

/// Counts an attempt at an instance, also when the caller goes away in its course.
struct Used<'a, D: Dialect> {
    node: &'a Node<D>,
    instance: &'a InstanceName,
    result: AttemptResult,
    now: Timestamp,
}

impl<D: Dialect> Drop for Used<'_, D> {
    fn drop(&mut self) {
        let now = clock::now();
        let latency = now.saturating_sub(self.now);
        self.node.targets.lock().finished(now, self.instance, self.result, latency, None);
    }
}

fn result_of(outcome: &Outcome) -> AttemptResult {
    match outcome {
        Outcome::Whole(answer) if answer.status.is_server_error() => AttemptResult::Failed,
        Outcome::Whole(_) => AttemptResult::Answered,
        Outcome::NotRun(not_run) => match not_run.reason {
            Reason::PeerFailed | Reason::NoUpstream => AttemptResult::Failed,
            _ => AttemptResult::Refused,
        },
        Outcome::Unknown(_) => AttemptResult::Failed,
    }
}

async fn forward<D: Dialect>(
    node: &Node<D>,
    member: &Member,
    call: &GuardedCall,
    request: WholeRequest,
    undispatched: Undispatched,
) -> Guarded {
    let not_sent = |undispatched: Undispatched, reason, detail: String| Guarded {
        outcome: Outcome::NotRun(undispatched.refuse(reason, detail)),
        reached_upstream: false,
    };
    let remaining = call.deadline.saturating_sub(clock::now());
    if remaining.is_zero() {
        let detail = "the deadline has passed".to_owned();
        return not_sent(undispatched, Reason::DeadlinePassed, detail);
    }
    let message = proto::ForwardRequest {
        request_id: call.request_id.to_string(),
        service: call.service.to_string(),
        upstream: String::new(),
        method: request.method.as_str().to_owned(),
        authority: request.authority.to_string(),
        path: request.path.to_string(),
        headers: headers_to_proto(&request.headers),
        body: request.body,
        remaining_ms: u32::try_from(remaining.as_millis()).unwrap_or(u32::MAX),
        idempotent: call.idempotent,
        organisation: call.organisation.as_deref().unwrap_or_default().to_owned(),
        caller_service: call.caller_service.to_string(),
        rank: call.rank,
    };
    let mut peer = node.peer(member.record.peer_address);
    let forwarding = Forwarding::begin(undispatched);
    let unknown = |forwarding: Forwarding, reason, detail: String| Guarded {
        outcome: forwarding.unknown(reason, detail),
        reached_upstream: true,
    };
    let reply = match timeout(remaining, peer.forward(message)).await {
        Ok(Ok(reply)) => reply.into_inner(),
        Ok(Err(status)) => {
            let detail = format!("{} did not answer: {}", member.instance, status.message());
            if peers::not_connected(&status) {
                return not_sent(forwarding.not_sent(), Reason::PeerFailed, detail);
            }
            return unknown(forwarding, Reason::PeerFailed, detail);
        }
        Err(_) => {
            let detail = format!("no answer of {} in time", member.instance);
            return unknown(forwarding, Reason::DeadlinePassed, detail);
        }
    };
    let reached_upstream = reply.reached_upstream;
    Guarded { outcome: read_reply(forwarding, reply), reached_upstream }
}

fn read_reply(forwarding: Forwarding, reply: proto::ForwardReply) -> Outcome {
    let reason = Reason::from_name(&reply.reason).unwrap_or(Reason::PeerFailed);
    match reply.outcome() {
        proto::Outcome::Whole => {
            let status = u16::try_from(reply.status).ok();
            match status.and_then(|status| StatusCode::from_u16(status).ok()) {
                Some(status) => forwarding.answered(Answer {
                    status,
                    headers: headers_from_proto(reply.headers),
                    body: reply.body,
                }),
                None => forwarding.unknown(Reason::PeerFailed, "the answer has no status"),
            }
        }
        proto::Outcome::NotRun => {
            let retry_after = Duration::from_millis(u64::from(reply.retry_after_ms));
            let not_run = NotRun {
                reason,
                detail: reply.detail,
                retry_after: (!retry_after.is_zero()).then_some(retry_after),
                covers_request: true,
            };
            Outcome::NotRun(forwarding.not_run(not_run).1)
        }
        proto::Outcome::Unknown | proto::Outcome::Unspecified => {
            forwarding.unknown(reason, reply.detail)
        }
    }
}

fn response<D: Dialect>(outcome: Outcome, request_id: Option<&str>) -> Response<Full<Bytes>> {
    let (status, retry_after, detail) = match outcome {
        Outcome::Whole(answer) => {
            let mut response = Response::new(Full::new(answer.body));
            *response.status_mut() = answer.status;
            *response.headers_mut() = answer.headers;
            remove_connection_headers(response.headers_mut());
            return response;
        }
        Outcome::NotRun(not_run) => (refusal_status(&not_run), not_run.retry_after, not_run.detail),
        Outcome::Unknown(unknown) => (unknown.status(), None, unknown.detail),
    };
    let mut response = Response::new(Full::new(Bytes::from(detail)));
    *response.status_mut() = status;
    if let Some(request_id) = request_id {
        D::add_request_id(response.headers_mut(), request_id);
    }
    if let Some(delay) = retry_after.filter(|_| is_retryable(status)) {
        let seconds = format!("{:.3}", delay.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
    }
    response
}

fn refusal_status(not_run: &NotRun) -> StatusCode {
    match not_run.reason {
        // Nothing was sent, and the caller may have time left beyond the route's timeout.
        Reason::DeadlinePassed | Reason::InProgress => StatusCode::SERVICE_UNAVAILABLE,
        _ => not_run.status(),
    }
}

fn is_retryable(status: StatusCode) -> bool {
    matches!(status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS)
}
