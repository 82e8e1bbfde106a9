//! Entry of requests into the fleet: routing, key check, rate limit, target selection, forwarding
//! and retries.

use std::{sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, HeaderValue, Method, Request, Response, header};
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;
use tokio::time::timeout;
use uuid::Uuid;

use crate::{
    call::{
        Answer, CallContext, Forwarding, NotRun, Outcome, Reason, RefusalBody, Undispatched,
        Unknown, answer_digest, final_status, headers,
    },
    clock::{self, Timestamp},
    config::{Configuration, Importance, KeyCheck, Route},
    http_server,
    membership::{Row, RowState},
    names::{InstanceName, OrganisationName, ServiceName},
    node::{
        Lifecycle, Shared,
        dispatches::RunningCall,
        guard::{self, GuardResult},
        once,
        rates::{self, ChargeRefusal, HeldCharge},
    },
    peers::{self, proto},
    retry::{AttemptFailure, HopBudget, ROOT_RETRY_BUDGET, may_retry},
    routing::{AttemptResult, Candidate, Pressure, Verdict},
    telemetry::{Hop, RequestOrigin, RequestSource},
};

/// Maximum depth of a call chain; a deeper call is treated as a loop and refused.
const MAX_DEPTH: u32 = 16;
/// Bytes that are read and discarded beyond the size limit of a body before the request is refused.
const MAX_DISCARDED_BYTES: usize = 16 << 20;
/// Time in which the body of a request must arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Source of a request.
#[derive(Debug)]
pub enum Origin {
    /// A caller outside the fleet; the request starts a call chain.
    Caller {
        /// Key that the caller presented, if any.
        key: Option<Arc<str>>,
    },
    /// The local upstream, which makes a nested call for a request that it is running.
    Upstream {
        /// Request for which the call is made.
        call: Arc<RunningCall>,
    },
}

/// A request with its complete body in memory.
#[derive(Debug, Clone)]
pub struct BufferedRequest {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: Arc<str>,
    /// Headers that are forwarded to the upstream.
    pub headers: Vec<proto::Header>,
    /// Body.
    pub body: Bytes,
}

/// Runs a request of a caller or of the local upstream and builds the HTTP response.
pub async fn answer_request(
    shared: &Arc<Shared>,
    origin: Origin,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let request_id = Uuid::now_v7();
    let _timer = shared.metrics.start_hop(Hop::Entry);
    let mut request_origin = RequestOrigin::new(match &origin {
        Origin::Caller { .. } => RequestSource::Caller,
        Origin::Upstream { .. } => RequestSource::Upstream,
    });
    let outcome = run_request(shared, origin, request, request_id, &mut request_origin).await;
    shared.metrics.count_request(&shared.configuration.load(), &request_origin, &outcome);
    to_response(outcome, request_id)
}

/// Checks, admits and runs a request. The class and the organisation are stored in `request_origin`
/// as soon as they are known.
async fn run_request(
    shared: &Arc<Shared>,
    origin: Origin,
    request: Request<Incoming>,
    request_id: Uuid,
    request_origin: &mut RequestOrigin,
) -> Outcome {
    let configuration = shared.configuration.load_full();
    let key_header = request.headers().get(headers::IDEMPOTENCY_KEY).cloned();
    let undispatched = Undispatched::new(key_header.is_none());
    let Some(route) = configuration.route(request.uri().path()) else {
        let detail = format!("no route for the path {}", request.uri().path());
        return Outcome::NotRun(undispatched.refuse(Reason::NoRoute, detail));
    };
    request_origin.class = Some(match &origin {
        Origin::Caller { .. } => route.class.clone(),
        Origin::Upstream { call } => call.context.class.clone(),
    });
    let idempotent = route.is_idempotent(request.method());
    let idempotency_key = match idempotency_key(key_header.as_ref(), idempotent) {
        Ok(key) => key,
        Err(detail) => return Outcome::NotRun(undispatched.refuse(Reason::BadRequest, detail)),
    };
    let admitted = match &origin {
        Origin::Caller { key } => admit_caller(shared, route, key.as_deref()),
        Origin::Upstream { call } => Ok(call.context.organisation.clone()),
    };
    let organisation = match admitted {
        Ok(organisation) => organisation,
        Err((reason, detail)) => return Outcome::NotRun(undispatched.refuse(reason, detail)),
    };
    request_origin.organisation = Some(organisation.clone());
    let buffered = match buffer_request(request, shared.settings.limits.max_body_bytes).await {
        Ok(buffered) => buffered,
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
        request_digest: request_digest(&buffered),
    };
    let context = match complete_context(&configuration, &origin, context) {
        Ok(context) => context,
        Err(detail) => return Outcome::NotRun(undispatched.refuse(Reason::BadRequest, detail)),
    };
    match &origin {
        Origin::Caller { .. } => {
            run_root_request(shared, &route.prefix, context, buffered, undispatched).await
        }
        Origin::Upstream { call } => {
            run_nested_call(shared, call, context, buffered, undispatched).await
        }
    }
}

/// Charges, admits and runs the first request of a call chain.
async fn run_root_request(
    shared: &Arc<Shared>,
    route: &str,
    context: CallContext,
    request: BufferedRequest,
    undispatched: Undispatched,
) -> Outcome {
    if !is_offered(shared, &context.service) {
        let detail = format!("no upstream offers the service {}", context.service);
        return Outcome::NotRun(undispatched.refuse(Reason::NoUpstream, detail));
    }
    let charge = match charge_request(shared, &context).await {
        Ok(charge) => charge,
        Err(refusal) => return Outcome::NotRun(refuse_uncharged(undispatched, refusal)),
    };
    let route: Arc<str> = Arc::from(route);
    let (importance, organisation) = (context.importance, context.organisation.clone());
    let verdict = shared.first_hop.lock().check(clock::now(), &route, importance, &organisation);
    if verdict == Verdict::Refuse {
        if let Some(charge) = charge {
            charge.refund();
        }
        let mut retries = shared.retries.lock();
        retries.record_root_end(clock::now(), true);
        let delay = retries.retry_after();
        let detail = "a service of the call chain sheds this class";
        return Outcome::NotRun(undispatched.refuse(Reason::Overload, detail).retry_after(delay));
    }
    drop(charge);
    let mut budget = HopBudget::new(ROOT_RETRY_BUDGET);
    let guard_result = run_attempts(shared, context, request, undispatched, &mut budget).await;
    let now = clock::now();
    let refused = is_overload_failure(&guard_result);
    let mut first_hop = shared.first_hop.lock();
    first_hop.record_pressures(now, &route, &guard_result.pressures);
    first_hop.record_root_end(now, &route, importance, &organisation, refused);
    drop(first_hop);
    shared.retries.lock().record_root_end(now, refused);
    guard_result.outcome
}

/// Charges a request to the rate of its organisation; requests on open routes are not charged.
async fn charge_request(
    shared: &Shared,
    context: &CallContext,
) -> Result<Option<HeldCharge>, ChargeRefusal> {
    match &context.organisation {
        Some(organisation) => rates::charge(shared, organisation, context.deadline).await.map(Some),
        None => Ok(None),
    }
}

/// Returns whether an active row of the membership table offers the service.
fn is_offered(shared: &Shared, service: &ServiceName) -> bool {
    let view = shared.view.load();
    let mut active = view.table.rows.iter().filter(|row| row.state == RowState::Active);
    active.any(|row| row.service.as_ref() == Some(service))
}

/// Runs a nested call that the local upstream makes for the request `parent`.
async fn run_nested_call(
    shared: &Arc<Shared>,
    parent: &RunningCall,
    context: CallContext,
    request: BufferedRequest,
    undispatched: Undispatched,
) -> Outcome {
    let _nested_call = parent.begin_nested_call();
    // Half of the remaining retries go to this call, so that concurrent calls get some too.
    let taken = parent.take_retries(parent.retries_left().div_ceil(2));
    let mut budget = HopBudget::new(taken);
    let guard_result = run_attempts(shared, context, request, undispatched, &mut budget).await;
    parent.return_retries(budget.remaining());
    parent.record_pressures(&guard_result.pressures);
    if is_overload_failure(&guard_result) {
        parent.record_refusal_below();
    }
    guard_result.outcome
}

/// Returns whether the request failed because of overload: it was refused, its deadline passed, or
/// the upstream answered with a server error after a refused nested call.
fn is_overload_failure(guard_result: &GuardResult) -> bool {
    match &guard_result.outcome {
        Outcome::Whole(answer) => guard_result.refused_below && answer.status.is_server_error(),
        Outcome::NotRun(not_run) => {
            matches!(not_run.reason, Reason::Overload | Reason::DeadlinePassed)
        }
        Outcome::Unknown(unknown) => unknown.reason == Reason::DeadlinePassed,
    }
}

/// Makes attempts until one of them ends the request or the retry budget is spent.
async fn run_attempts(
    shared: &Arc<Shared>,
    mut context: CallContext,
    request: BufferedRequest,
    mut undispatched: Undispatched,
    budget: &mut HopBudget,
) -> GuardResult {
    shared.retries.lock().record_request();
    let mut tried: Vec<InstanceName> = Vec::new();
    // Once an attempt may have run, a later refusal must not be reported as "not run".
    let mut may_have_run: Option<Unknown> = None;
    loop {
        context.retry_budget = budget.split_for_attempt();
        let (target, mut guard_result) =
            make_attempt(shared, context.clone(), request.clone(), undispatched, &tried).await;
        budget.restore_unused(guard_result.unused_retries);
        let (failure, next_undispatched) = match &guard_result.outcome {
            Outcome::Whole(_) => return guard_result,
            Outcome::NotRun(not_run) => {
                (AttemptFailure::NotRun(not_run.reason), not_run.to_undispatched())
            }
            Outcome::Unknown(unknown) => {
                may_have_run = Some(unknown.clone());
                (AttemptFailure::Unknown(unknown.reason), unknown.to_undispatched())
            }
        };
        tried.extend(target);
        if !try_take_retry(shared, &context, failure, &tried, budget) {
            if let (Outcome::NotRun(_), Some(unknown)) = (&guard_result.outcome, may_have_run) {
                guard_result.outcome = Outcome::Unknown(unknown);
            }
            return guard_result;
        }
        undispatched = next_undispatched;
    }
}

/// Takes a retry from the budgets of the node and of the request, if another attempt is allowed.
fn try_take_retry(
    shared: &Shared,
    context: &CallContext,
    failure: AttemptFailure,
    tried: &[InstanceName],
    budget: &mut HopBudget,
) -> bool {
    let now = clock::now();
    if now >= context.deadline {
        return false;
    }
    let rows = eligible_rows(shared, context);
    let candidates = to_candidates(shared, &rows);
    let has_untried = candidates.iter().any(|candidate| !tried.contains(candidate.instance));
    let has_spare_target = shared.targets.lock().has_spare_target(now, &candidates, tried);
    has_untried
        && may_retry(failure, context.idempotent, has_spare_target)
        && budget.remaining() > 0
        && shared.retries.lock().take_retry()
        && budget.spend_retry()
}

/// Checks the key of a caller and returns its organisation, or `None` on an open route.
fn admit_caller(
    shared: &Shared,
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
    let now = clock::now();
    if !shared.lease.row_is_valid(now) || !shared.lease.keys_are_valid(now) {
        let detail = "the node cannot show that its table and configuration are current";
        return Err((Reason::NoLease, detail.to_owned()));
    }
    // Read after the lease: a task paused between the two reads would otherwise combine a lease
    // that was granted for a newer revision with the keys of an older one.
    let configuration = shared.configuration.load();
    match configuration.check_key(&shared.key_hasher, key) {
        KeyCheck::Organisation(name) => Ok(Some(name)),
        KeyCheck::Unknown => Err((Reason::UnknownKey, "the key is not in force".to_owned())),
        KeyCheck::Malformed => {
            Err((Reason::UnknownKey, "a key has the form <id>.<secret>".to_owned()))
        }
    }
}

fn refuse_uncharged(undispatched: Undispatched, refusal: ChargeRefusal) -> NotRun {
    match refusal {
        ChargeRefusal::NoLease { retry_after } => undispatched
            .refuse(Reason::NoLease, "the node cannot show that its share of the rate is current")
            .retry_after(retry_after),
        ChargeRefusal::OverRate { retry_after } => undispatched
            .refuse(Reason::OverRate, "the organisation is over its rate and burst")
            .retry_after(retry_after),
    }
}

/// Sets class, importance and deadline: from the class of the route for a caller, from the parent
/// request for a nested call.
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

async fn buffer_request(
    request: Request<Incoming>,
    max_body_bytes: usize,
) -> Result<BufferedRequest, (Reason, String)> {
    let (parts, body) = request.into_parts();
    let body = match timeout(BODY_TIMEOUT, read_body(body, max_body_bytes)).await {
        Ok(Ok(Some(body))) => body,
        Ok(Ok(None)) => {
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
    Ok(BufferedRequest {
        method: parts.method,
        path: path.into(),
        headers: headers::to_proto(&parts.headers),
        body,
    })
}

/// Reads a body; returns `None` if it is larger than the limit.
///
/// Up to [`MAX_DISCARDED_BYTES`] beyond the limit are read and discarded: a caller that is still
/// writing would otherwise see a connection reset instead of the refusal.
async fn read_body(
    mut body: Incoming,
    max_body_bytes: usize,
) -> Result<Option<Bytes>, hyper::Error> {
    let mut buffer = BytesMut::new();
    let mut size_bytes = 0usize;
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else { continue };
        size_bytes = size_bytes.saturating_add(data.len());
        if size_bytes <= max_body_bytes {
            buffer.extend_from_slice(&data);
        } else if size_bytes - max_body_bytes > MAX_DISCARDED_BYTES {
            return Ok(None);
        }
    }
    Ok((size_bytes <= max_body_bytes).then(|| buffer.freeze()))
}

fn request_digest(request: &BufferedRequest) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(request.method.as_str().as_bytes());
    hasher.update(b" ");
    hasher.update(request.path.as_bytes());
    hasher.update(b"\n");
    hasher.update(&request.body);
    *hasher.finalize().as_bytes()
}

/// Makes one attempt; also returns the selected target, or `None` if there was none.
async fn make_attempt(
    shared: &Arc<Shared>,
    context: CallContext,
    request: BufferedRequest,
    undispatched: Undispatched,
    tried: &[InstanceName],
) -> (Option<InstanceName>, GuardResult) {
    let rows = eligible_rows(shared, &context);
    let chosen = match owned_key(&context) {
        Some(_) if rows.is_empty() && is_offered(shared, &context.service) => {
            let outcome = Outcome::NotRun(once::refuse_without_owner(undispatched));
            return (None, result_without_reply(outcome, context.retry_budget));
        }
        // Only the owner of the key may run the request, also if earlier attempts there failed.
        Some(_) => (!rows.is_empty()).then_some(0),
        None => {
            shared.targets.lock().choose_target(clock::now(), &to_candidates(shared, &rows), tried)
        }
    };
    let Some(row) = chosen.map(|index| &rows[index]) else {
        let detail = format!("no upstream offers the service {}", context.service);
        let outcome = Outcome::NotRun(undispatched.refuse(Reason::NoUpstream, detail));
        return (None, result_without_reply(outcome, context.retry_budget));
    };
    let mut target_attempt = TargetAttempt::begin(shared, &row.instance);
    let guard_result = match row.instance == shared.settings.instance {
        true => guard::run_at_upstream(shared, context, request, undispatched).await,
        false => forward_to_peer(shared, row, context, request, undispatched).await,
    };
    target_attempt.record_result(&guard_result);
    (Some(row.instance.clone()), guard_result)
}

/// Idempotency key of a non-idempotent request, which only the owner of the key may run.
fn owned_key(context: &CallContext) -> Option<Uuid> {
    context.idempotency_key.filter(|_| !context.idempotent)
}

/// Rows that may run the request: the owner of its idempotency key, or else all active rows that
/// offer the service, including the node's own row.
fn eligible_rows(shared: &Shared, context: &CallContext) -> Vec<Row> {
    if let Some(key) = owned_key(context) {
        return once::owner(shared, &context.service, key).into_iter().collect();
    }
    let view = shared.view.load();
    let active = view.table.rows.iter().filter(|row| row.state == RowState::Active);
    active.filter(|row| row.service.as_ref() == Some(&context.service)).cloned().collect()
}

fn to_candidates<'a>(shared: &Shared, rows: &'a [Row]) -> Vec<Candidate<'a>> {
    let candidate = |row: &'a Row| Candidate {
        instance: &row.instance,
        is_same_zone: row.zone == shared.settings.zone,
    };
    rows.iter().map(candidate).collect()
}

/// Records the start and the result of an attempt at a target; dropping it records the result, so
/// that an attempt is also recorded if the caller disconnects.
struct TargetAttempt<'a> {
    shared: &'a Shared,
    instance: &'a InstanceName,
    started_at: Timestamp,
    result: AttemptResult,
    load: Option<u32>,
}

impl<'a> TargetAttempt<'a> {
    fn begin(shared: &'a Shared, instance: &'a InstanceName) -> Self {
        let started_at = clock::now();
        shared.targets.lock().attempt_started(started_at, instance);
        Self { shared, instance, started_at, result: AttemptResult::Abandoned, load: None }
    }

    fn record_result(&mut self, guard_result: &GuardResult) {
        self.result = match &guard_result.outcome {
            // A server error that follows a refused nested call is no fault of the target.
            Outcome::Whole(answer) if answer.status.is_server_error() => {
                match guard_result.refused_below {
                    true => AttemptResult::Refused,
                    false => AttemptResult::Failed,
                }
            }
            Outcome::Whole(_) => AttemptResult::Answered,
            Outcome::NotRun(not_run) => match not_run.reason {
                Reason::PeerFailed | Reason::NoUpstream => AttemptResult::Failed,
                _ => AttemptResult::Refused,
            },
            Outcome::Unknown(unknown) => match unknown.reason {
                Reason::DeadlinePassed => AttemptResult::Abandoned,
                _ => AttemptResult::Failed,
            },
        };
        // Without pressures no node has replied, so there is no load to record.
        self.load = (!guard_result.pressures.is_empty()).then_some(guard_result.load);
    }
}

impl Drop for TargetAttempt<'_> {
    fn drop(&mut self) {
        let now = clock::now();
        let latency = now.saturating_sub(self.started_at);
        self.shared.targets.lock().attempt_finished(
            now,
            self.instance,
            self.result,
            latency,
            self.load,
        );
    }
}

async fn forward_to_peer(
    shared: &Shared,
    row: &Row,
    context: CallContext,
    request: BufferedRequest,
    undispatched: Undispatched,
) -> GuardResult {
    let now = clock::now();
    let remaining = context.deadline.saturating_sub(now);
    if remaining.is_zero() {
        let detail = "the deadline has passed";
        let not_run = undispatched.refuse(Reason::DeadlinePassed, detail);
        return result_without_reply(Outcome::NotRun(not_run), context.retry_budget);
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
    let client = match context.idempotent {
        true => Ok(Ok(shared.peers.client(row.peer_address))),
        false => timeout(remaining, shared.peers.live_client(row.peer_address)).await,
    };
    let Ok(Ok(mut client)) = client else {
        let detail = format!("no live connection to the node of {}", row.instance);
        let not_run = undispatched.refuse(Reason::PeerFailed, detail);
        return result_without_reply(Outcome::NotRun(not_run), context.retry_budget);
    };
    let forwarding = Forwarding::begin(undispatched);
    let _timer = shared.metrics.start_hop(Hop::Forward);
    let reply = match timeout(remaining, client.forward(message)).await {
        Ok(Ok(reply)) => {
            shared.peers.record_answer(row.peer_address);
            reply.into_inner()
        }
        Ok(Err(status)) => {
            let detail =
                format!("the node of {} did not answer: {}", row.instance, status.message());
            if peers::is_connect_failure(&status) {
                let not_run = forwarding.not_sent().refuse(Reason::PeerFailed, detail);
                return result_without_reply(Outcome::NotRun(not_run), context.retry_budget);
            }
            // The reply is lost, and with it the number of unused retries, so none are restored.
            return result_without_reply(forwarding.unknown(Reason::PeerFailed, detail), 0);
        }
        Err(_) => {
            let detail = "no answer before the deadline";
            return result_without_reply(forwarding.unknown(Reason::DeadlinePassed, detail), 0);
        }
    };
    let pressures = reply.pressures.iter().map(|pressure| Pressure {
        service: pressure.service.as_str().into(),
        shed_below: Importance(pressure.shed_below),
    });
    GuardResult {
        unused_retries: reply.unused_retries,
        load: reply.load,
        pressures: pressures.collect(),
        refused_below: reply.refused_below,
        outcome: outcome_from_reply(forwarding, &context, reply),
    }
}

/// Result of an attempt that got no reply from another node, so load and pressures are unknown.
fn result_without_reply(outcome: Outcome, unused_retries: u32) -> GuardResult {
    GuardResult { outcome, unused_retries, load: 0, pressures: Vec::new(), refused_below: false }
}

fn outcome_from_reply(
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
            let status = final_status(reply.status);
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

fn to_response(outcome: Outcome, request_id: Uuid) -> Response<Full<Bytes>> {
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
    *response.headers_mut() = forwardable_headers(&answer.headers);
    response
}

fn forwardable_headers(map: &HeaderMap) -> HeaderMap {
    headers::from_proto(&headers::to_proto(map))
}

fn refusal_response(not_run: NotRun) -> Response<Full<Bytes>> {
    let retry_after_ms = not_run.retry_after.map(clock::to_millis);
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
