//! The entry of a request: route, key, rate, choice of a target, forwarding and retries.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request, Response, header};
use http_body_util::{BodyExt as _, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use uuid::Uuid;

use crate::{
    call::{
        Answer, CallContext, Forwarding, NotRun, Outcome, Reason, RefusalBody, Undispatched,
        Unknown, answer_digest, headers,
    },
    clock,
    config::{Configuration, KeyCheck, Route},
    http_server,
    membership::{Row, RowState},
    names::OrganisationName,
    node::{Lifecycle, Shared, dispatches::RunningCall, guard, once},
    peers::{self, proto},
};

/// Retries that a root request and all calls below it may spend together.
const ROOT_RETRY_BUDGET: u32 = 3;
/// Deepest chain that is served; a call below it is taken for a loop.
const MAX_DEPTH: u32 = 16;
/// Time that a request's body may take to come in.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Who makes a call.
#[derive(Debug)]
pub enum Origin {
    /// A caller at the head of the chain.
    Caller {
        /// The key it presented.
        key: Option<Arc<str>>,
    },
    /// The upstream beside the node, for a request that it is running.
    Upstream {
        /// The request that it is running.
        call: Arc<RunningCall>,
    },
}

/// A request whose body has come in whole.
#[derive(Debug, Clone)]
pub struct WholeRequest {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: Arc<str>,
    /// Headers that pass through.
    pub headers: Vec<proto::Header>,
    /// Body.
    pub body: Bytes,
}

/// Answers a request of a caller or of the upstream.
pub async fn answer(
    shared: &Arc<Shared>,
    origin: Origin,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let request_id = Uuid::now_v7();
    let outcome = run(shared, origin, request, request_id).await;
    shared.metrics.count_outcome(&outcome);
    response(outcome, request_id)
}

async fn run(
    shared: &Arc<Shared>,
    origin: Origin,
    request: Request<Incoming>,
    request_id: Uuid,
) -> Outcome {
    let configuration = shared.configuration.load_full();
    let key_header = request.headers().get(headers::IDEMPOTENCY_KEY).cloned();
    let undispatched = Undispatched::new(key_header.is_none());
    let Some(route) = configuration.route(request.uri().path()) else {
        let detail = format!("no route for the path {}", request.uri().path());
        return Outcome::NotRun(undispatched.refuse(Reason::NoRoute, detail));
    };
    let idempotent = route.is_idempotent(request.method());
    let idempotency_key = match idempotency_key(key_header.as_ref(), idempotent) {
        Ok(key) => key,
        Err(detail) => return Outcome::NotRun(undispatched.refuse(Reason::BadRequest, detail)),
    };
    let admitted = match &origin {
        Origin::Caller { key } => admit_caller(shared, &configuration, route, key.as_deref()),
        Origin::Upstream { call } => Ok(call.context.organisation.clone()),
    };
    let organisation = match admitted {
        Ok(organisation) => organisation,
        Err((reason, detail)) => return Outcome::NotRun(undispatched.refuse(reason, detail)),
    };
    let whole = match read_whole(request, shared.settings.limits.max_body_bytes).await {
        Ok(whole) => whole,
        Err((reason, detail)) => return Outcome::NotRun(undispatched.refuse(reason, detail)),
    };
    let context = CallContext {
        request_id,
        root_id: request_id,
        organisation,
        class: route.class.clone(),
        importance: Default::default(),
        service: route.service.clone(),
        deadline: clock::now() + shared.settings.limits.default_deadline,
        depth: 0,
        retry_budget: ROOT_RETRY_BUDGET,
        idempotent,
        idempotency_key,
        request_digest: request_digest(&whole),
    };
    let context = match complete_context(&configuration, &origin, context) {
        Ok(context) => context,
        Err(detail) => return Outcome::NotRun(undispatched.refuse(Reason::BadRequest, detail)),
    };
    let outcome = attempt(shared, context, whole, undispatched).await;
    if let Origin::Upstream { call } = &origin {
        // The thin path spends no retries yet.
        call.return_retries(0);
    }
    outcome
}

fn admit_caller(
    shared: &Shared,
    configuration: &Configuration,
    route: &Route,
    key: Option<&str>,
) -> Result<Option<OrganisationName>, (Reason, String)> {
    if shared.lifecycle() == Lifecycle::Draining {
        return Err((Reason::Leaving, "the node is shutting down".to_owned()));
    }
    if route.open {
        return Ok(None);
    }
    let Some(key) = key else {
        return Err((Reason::UnknownKey, "the request carries no key".to_owned()));
    };
    match configuration.check_key(&shared.key_hasher, key) {
        KeyCheck::Organisation(name) => Ok(Some(name)),
        KeyCheck::Unknown => Err((Reason::UnknownKey, "the key is not in force".to_owned())),
        KeyCheck::Malformed => {
            Err((Reason::UnknownKey, "a key has the form <id>.<secret>".to_owned()))
        }
    }
}

fn complete_context(
    configuration: &Configuration,
    origin: &Origin,
    mut context: CallContext,
) -> Result<CallContext, String> {
    let class_name = match origin {
        Origin::Caller { .. } => context.class.clone(),
        Origin::Upstream { call } => call.context.class.clone(),
    };
    if let Some(class) = configuration.class(&class_name) {
        context.importance = class.importance;
        context.deadline = clock::now() + class.answer_within;
    }
    if let Origin::Upstream { call } = origin {
        let parent = &call.context;
        context.class = class_name;
        context.importance = parent.importance;
        context.root_id = parent.root_id;
        context.deadline = parent.deadline;
        context.depth = parent.depth + 1;
        context.retry_budget = 0;
        if context.depth > MAX_DEPTH {
            return Err(format!("the call chain is deeper than {MAX_DEPTH}"));
        }
    }
    Ok(context)
}

fn idempotency_key(value: Option<&HeaderValue>, idempotent: bool) -> Result<Option<Uuid>, String> {
    let Some(value) = value else {
        return Ok(None);
    };
    let text = value.to_str().unwrap_or_default();
    match Uuid::parse_str(text.trim_matches('"')) {
        Ok(_) if idempotent => Ok(None),
        Ok(key) if key.get_version_num() == 7 => Ok(Some(key)),
        _ => Err("the header idempotency-key must be a UUIDv7".to_owned()),
    }
}

async fn read_whole(
    request: Request<Incoming>,
    max_body_bytes: usize,
) -> Result<WholeRequest, (Reason, String)> {
    let (parts, body) = request.into_parts();
    let collect = Limited::new(body, max_body_bytes).collect();
    let body = match tokio::time::timeout(BODY_TIMEOUT, collect).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            let detail = format!("the body is larger than {max_body_bytes} bytes");
            return Err((Reason::TooLarge, detail));
        }
        Ok(Err(error)) => {
            return Err((Reason::BadRequest, format!("the body is not whole: {error}")));
        }
        Err(_) => {
            let detail = format!("the body did not come within {BODY_TIMEOUT:?}");
            return Err((Reason::BadRequest, detail));
        }
    };
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    Ok(WholeRequest {
        method: parts.method,
        path: path.into(),
        headers: headers::to_proto(&parts.headers),
        body,
    })
}

fn request_digest(request: &WholeRequest) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(request.method.as_str().as_bytes());
    hasher.update(b" ");
    hasher.update(request.path.as_bytes());
    hasher.update(b"\n");
    hasher.update(&request.body);
    *hasher.finalize().as_bytes()
}

async fn attempt(
    shared: &Arc<Shared>,
    context: CallContext,
    request: WholeRequest,
    undispatched: Undispatched,
) -> Outcome {
    let row = match context.idempotency_key {
        Some(key) => match once::owner(shared, &context.service, key) {
            None if choose(shared, &context).is_some() => {
                return Outcome::NotRun(once::refuse_without_owner(undispatched));
            }
            owner => owner,
        },
        None => choose(shared, &context),
    };
    let Some(row) = row else {
        let detail = format!("no upstream offers the service {}", context.service);
        return Outcome::NotRun(undispatched.refuse(Reason::NoUpstream, detail));
    };
    if row.instance == shared.settings.instance {
        return guard::run(shared, context, request, undispatched).await.0;
    }
    forward(shared, &row, context, request, undispatched).await
}

/// Chooses a random row that offers the service, its own among them.
fn choose(shared: &Shared, context: &CallContext) -> Option<Row> {
    let view = shared.view.load();
    let candidates: Vec<&Row> = view
        .table
        .rows
        .iter()
        .filter(|row| row.state == RowState::Active)
        .filter(|row| row.service.as_ref() == Some(&context.service))
        .collect();
    if candidates.is_empty() {
        return None;
    }
    let index = rand::random_range(0..candidates.len());
    Some(candidates[index].clone())
}

async fn forward(
    shared: &Shared,
    row: &Row,
    context: CallContext,
    request: WholeRequest,
    undispatched: Undispatched,
) -> Outcome {
    let now = clock::now();
    let remaining = context.deadline.saturating_sub(now);
    if remaining.is_zero() {
        let detail = "the deadline has passed";
        return Outcome::NotRun(undispatched.refuse(Reason::DeadlinePassed, detail));
    }
    let (context_bytes, mac) = shared.signer.sign(&context, now);
    let message = proto::ForwardRequest {
        context: context_bytes,
        mac,
        method: request.method.as_str().to_owned(),
        path: request.path.to_string(),
        headers: request.headers,
        body: request.body,
    };
    let forwarding = Forwarding::begin(undispatched);
    let mut client = shared.peers.client(row.peer_address);
    let reply = match tokio::time::timeout(remaining, client.forward(message)).await {
        Ok(Ok(reply)) => reply.into_inner(),
        Ok(Err(status)) => {
            let detail =
                format!("the node of {} did not answer: {}", row.instance, status.message());
            if peers::not_connected(&status) {
                let not_run = forwarding.not_sent().refuse(Reason::PeerFailed, detail);
                return Outcome::NotRun(not_run);
            }
            return forwarding.unknown(Reason::PeerFailed, detail);
        }
        Err(_) => {
            return forwarding.unknown(Reason::DeadlinePassed, "no answer before the deadline");
        }
    };
    read_reply(forwarding, &context, reply)
}

fn read_reply(
    forwarding: Forwarding,
    context: &CallContext,
    reply: proto::ForwardReply,
) -> Outcome {
    if reply.request_id != context.request_id.as_bytes()[..] {
        return forwarding.unknown(Reason::PeerFailed, "the answer belongs to another request");
    }
    let reason = Reason::from_name(&reply.reason).unwrap_or(Reason::PeerFailed);
    match reply.outcome() {
        proto::Outcome::Whole => {
            let digest =
                answer_digest(&reply.request_id, reply.status, &reply.headers, &reply.body);
            let status = u16::try_from(reply.status).ok();
            let status = status.and_then(|status| http::StatusCode::from_u16(status).ok());
            let (Some(status), true) = (status, digest.as_bytes()[..] == reply.digest) else {
                return forwarding.unknown(Reason::PeerFailed, "the answer is not whole");
            };
            forwarding.answered(Answer {
                status,
                headers: headers::from_proto(&reply.headers),
                body: reply.body,
            })
        }
        proto::Outcome::NotRun => {
            let retry_after = Duration::from_millis(u64::from(reply.retry_after_ms));
            let not_run = NotRun {
                reason,
                detail: reply.detail,
                retry_after: (!retry_after.is_zero()).then_some(retry_after),
                covers_request: reply.covers_request,
            };
            Outcome::NotRun(forwarding.not_run(not_run).1)
        }
        proto::Outcome::Unknown | proto::Outcome::Unspecified => {
            forwarding.unknown(reason, reply.detail)
        }
    }
}

fn response(outcome: Outcome, request_id: Uuid) -> Response<Full<Bytes>> {
    let (mut response, name) = match outcome {
        Outcome::Whole(answer) => (whole_response(answer), "whole"),
        Outcome::NotRun(not_run) => (refusal_response(not_run), "not-run"),
        Outcome::Unknown(unknown) => (unknown_response(unknown), "unknown"),
    };
    let map = response.headers_mut();
    map.insert(headers::OUTCOME, HeaderValue::from_static(name));
    if let Ok(value) = HeaderValue::from_str(&request_id.to_string()) {
        map.insert(headers::REQUEST_ID, value);
    }
    response
}

fn whole_response(answer: Answer) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(answer.body));
    *response.status_mut() = answer.status;
    *response.headers_mut() = passed_headers(&answer.headers);
    response
}

fn passed_headers(map: &HeaderMap) -> HeaderMap {
    headers::from_proto(&headers::to_proto(map))
}

fn refusal_response(not_run: NotRun) -> Response<Full<Bytes>> {
    let retry_after_ms =
        not_run.retry_after.map(|delay| u64::try_from(delay.as_millis()).unwrap_or(u64::MAX));
    let status = not_run.status();
    let body = RefusalBody {
        outcome: "not-run".to_owned(),
        reason: not_run.reason,
        detail: not_run.detail,
        retry_after_ms,
    };
    let mut response = http_server::json(status, &body);
    let scope = if not_run.covers_request { "request" } else { "attempt" };
    response.headers_mut().insert(headers::SCOPE, HeaderValue::from_static(scope));
    if let Some(delay_ms) = retry_after_ms {
        let seconds = delay_ms.div_ceil(1000).max(1);
        response.headers_mut().insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}

fn unknown_response(unknown: Unknown) -> Response<Full<Bytes>> {
    let status = unknown.status();
    let body = RefusalBody {
        outcome: "unknown".to_owned(),
        reason: unknown.reason,
        detail: unknown.detail,
        retry_after_ms: None,
    };
    http_server::json(status, &body)
}
