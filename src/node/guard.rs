//! Guard of the local upstream: admits requests, makes the final checks, sends them to the upstream
//! and reads the answers.

use std::{sync::Arc, time::Duration};

use http::Request;
use http_body_util::Full;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use crate::{
    admission::{AdmissionRequest, Refusal, Slot},
    call::{CallContext, Dispatch, NotRun, Outcome, Reason, Undispatched, Unknown, headers},
    clock,
    http_client::{ConnectFailure, Connection, SendFailure},
    node::{Announcement, Lifecycle, Shared, entry::BufferedRequest, upstream::upstream_headers},
    once::{Fingerprint, QuarantineStatus, fingerprint},
    routing::Pressure,
    telemetry::Hop,
};

/// Time that a crashed upstream has to announce itself again before the node hands its records over
/// and its row leaves the table.
const UPSTREAM_RESTART_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest time that a request suspected of crashing upstreams waits until it can run alone. All
/// other requests wait behind it during this time.
const MAX_SUSPECT_WAIT: Duration = Duration::from_secs(1);

/// Result of a request at the node whose local upstream was chosen to run it.
#[derive(Debug)]
pub struct GuardResult {
    /// Outcome of the request.
    pub outcome: Outcome,
    /// Retries of the request's budget that it did not use.
    pub unused_retries: u32,
    /// Running and waiting requests of the local upstream, in 1/128 of its concurrency limit.
    pub load: u32,
    /// Pressures of the service and of the services below it in the call chain.
    pub pressures: Vec<Pressure>,
    /// Whether a nested call of the request was refused for overload.
    pub refused_below: bool,
}

impl GuardResult {
    /// Makes the result of a request that ended without a reply of the upstream, so without load
    /// and pressures.
    fn without_reply(outcome: Outcome, unused_retries: u32) -> Self {
        Self { outcome, unused_retries, load: 0, pressures: Vec::new(), refused_below: false }
    }
}

/// Runs one request at the local upstream.
///
/// The request runs in its own task, so that its record and a crash report are completed even if
/// the caller disconnects. Only an idempotent request is cancelled when its caller disconnects.
pub async fn run_at_upstream(
    shared: &Arc<Shared>,
    context: CallContext,
    request: BufferedRequest,
    undispatched: Undispatched,
) -> GuardResult {
    let service = context.service.clone();
    let cancelled = CancellationToken::new();
    let _cancel_with_caller = context.idempotent.then(|| cancelled.clone().drop_guard());
    let task = shared.once.tasks.spawn({
        let shared = shared.clone();
        async move { run_to_end(&shared, context, request, undispatched, &cancelled).await }
    });
    let mut guard_result = task.await.unwrap_or_else(|error| {
        let detail = format!("the task of the request failed: {error}");
        let unknown = Unknown { reason: Reason::UpstreamFailed, detail };
        GuardResult::without_reply(Outcome::Unknown(unknown), 0)
    });
    guard_result.load = shared.gate.load();
    let shed_below = shared.gate.shed_below();
    guard_result.pressures.push(Pressure { service, shed_below });
    guard_result
}

/// Claims the idempotency key, prepares and dispatches the request, and closes its record.
async fn run_to_end(
    shared: &Arc<Shared>,
    context: CallContext,
    request: BufferedRequest,
    undispatched: Undispatched,
    cancelled: &CancellationToken,
) -> GuardResult {
    let budget = context.retry_budget;
    let (undispatched, record) = match shared.once.claim(shared, &context, undispatched) {
        Ok(claimed) => claimed,
        Err(outcome) => return GuardResult::without_reply(*outcome, budget),
    };
    let prepared = prepare_request(shared, &context, &request, undispatched, cancelled).await;
    let prepared = prepared.and_then(|(prepared, undispatched)| {
        let undispatched = shared.once.recheck_claim(shared, record.as_ref(), undispatched)?;
        check_deadline_and_lease(shared, &context, undispatched)
            .map(|undispatched| (prepared, undispatched))
    });
    let guard_result = match prepared {
        Ok((prepared, undispatched)) => {
            dispatch_request(shared, prepared, context, request, undispatched, cancelled).await
        }
        Err(not_run) => GuardResult::without_reply(Outcome::NotRun(not_run), budget),
    };
    if let Some(record) = record {
        record.close(&guard_result.outcome);
    }
    guard_result
}

/// Resources that a request holds immediately before it is sent.
struct PreparedRequest<'a> {
    announced: Arc<Announcement>,
    connection: Connection,
    fingerprint: Fingerprint,
    slot: Slot<'a>,
    /// Ensures that a suspected request runs alone.
    run_permit: RunPermit<'a>,
}

/// Permission to run a request at the upstream.
enum RunPermit<'a> {
    /// Runs together with other requests.
    Shared { _guard: tokio::sync::RwLockReadGuard<'a, ()> },
    /// Runs alone, since the request is suspected of crashing upstreams.
    Exclusive { _guard: tokio::sync::RwLockWriteGuard<'a, ()> },
    /// Runs without waiting: the upstream is already running a request of the same call chain,
    /// which waits for this one.
    Nested,
}

/// Admits the request and acquires the permit and the connection to send it.
async fn prepare_request<'a>(
    shared: &'a Arc<Shared>,
    context: &CallContext,
    request: &BufferedRequest,
    undispatched: Undispatched,
    cancelled: &CancellationToken,
) -> Result<(PreparedRequest<'a>, Undispatched), NotRun> {
    if serving_upstream(shared, context).is_none() {
        return Err(refuse_not_serving(shared, context, undispatched));
    }
    let admission_request = AdmissionRequest {
        importance: context.importance,
        organisation: context.organisation.clone(),
        is_nested_call: context.depth > 0,
        deadline: context.deadline,
        own_time: None,
    };
    let admitted = tokio::select! {
        admitted = shared.gate.admit(admission_request) => admitted,
        () = cancelled.cancelled() => Err(Refusal::DeadlinePassed),
    };
    let slot = match admitted {
        Ok(slot) => slot,
        Err(refusal) => return Err(refuse_admission(shared, refusal, undispatched)),
    };
    // The upstream may have been lost or begun to drain while the request waited.
    let Some(announced) = serving_upstream(shared, context) else {
        return Err(refuse_not_serving(shared, context, undispatched));
    };
    let remaining = context.deadline.saturating_sub(clock::now());
    let configuration = shared.configuration.load();
    let path_only = request.path.split('?').next().unwrap_or_default();
    let route = configuration.route(path_only).map_or("", |route| route.prefix.as_str());
    let fingerprint = fingerprint(
        context.organisation.as_ref(),
        route,
        request.method.as_str(),
        &request.path,
        &request.body,
    );
    let run_permit = tokio::select! {
        permit = timeout(remaining, acquire_run_permit(shared, context, &fingerprint)) => permit,
        () = cancelled.cancelled() => {
            return Err(undispatched.refuse(Reason::DeadlinePassed, "the caller has gone"));
        }
    };
    let run_permit = match run_permit {
        Ok(Ok(run_permit)) => run_permit,
        Ok(Err(RunRefusal::Quarantined { remaining })) => {
            let detail = "the request crashed upstreams and is quarantined";
            return Err(undispatched.refuse(Reason::Quarantined, detail).retry_after(remaining));
        }
        Ok(Err(RunRefusal::Busy)) => {
            let detail = "the request may crash its upstream and must run alone, which is busy";
            let refused = undispatched.refuse(Reason::Overload, detail);
            return Err(refused.retry_after(MAX_SUSPECT_WAIT));
        }
        Err(_) => {
            let detail = "the deadline passed before the request could run";
            return Err(undispatched.refuse(Reason::DeadlinePassed, detail));
        }
    };
    // A suspected request that ran in the meantime may have crashed the upstream.
    if !serving_upstream(shared, context).is_some_and(|current| Arc::ptr_eq(&current, &announced)) {
        return Err(refuse_not_serving(shared, context, undispatched));
    }
    let connection = match shared.upstream.connect(announced.address).await {
        Ok(connection) => connection,
        Err(failure) => {
            if matches!(failure, ConnectFailure::Refused) {
                on_upstream_lost(shared, &announced);
            }
            return Err(undispatched.refuse(Reason::NoUpstream, failure.to_string()));
        }
    };
    Ok((PreparedRequest { announced, connection, fingerprint, slot, run_permit }, undispatched))
}

fn refuse_admission(shared: &Shared, refusal: Refusal, undispatched: Undispatched) -> NotRun {
    match refusal {
        Refusal::Overload => {
            let delay = shared.retries.lock().retry_after();
            let detail = "the upstream is full of work that goes first";
            undispatched.refuse(Reason::Overload, detail).retry_after(delay)
        }
        Refusal::DeadlinePassed => {
            let detail = "the answer could not come before the deadline";
            undispatched.refuse(Reason::DeadlinePassed, detail)
        }
    }
}

/// Returns the announcement of the local upstream if it offers the service of the request.
fn serving_upstream(shared: &Shared, context: &CallContext) -> Option<Arc<Announcement>> {
    shared.upstream.serving_announcement().filter(|it| it.service == context.service)
}

fn refuse_not_serving(
    shared: &Shared,
    context: &CallContext,
    undispatched: Undispatched,
) -> NotRun {
    let reason = match shared.lifecycle() {
        Lifecycle::Serving => Reason::NoUpstream,
        _ => Reason::Leaving,
    };
    let detail = format!("the upstream does not offer {} now", context.service);
    undispatched.refuse(reason, detail)
}

/// Reason why a request gets no permission to run.
enum RunRefusal {
    /// The request is quarantined for the remaining time.
    Quarantined { remaining: Duration },
    /// Other requests kept running for the whole [`MAX_SUSPECT_WAIT`].
    Busy,
}

/// Waits for the permission to run a request: shared, or exclusive if the request is suspected.
async fn acquire_run_permit<'a>(
    shared: &'a Shared,
    context: &CallContext,
    fingerprint: &Fingerprint,
) -> Result<RunPermit<'a>, RunRefusal> {
    loop {
        let status = shared.once.quarantine_status(fingerprint);
        let run_permit = match status {
            QuarantineStatus::Quarantined { remaining } => {
                return Err(RunRefusal::Quarantined { remaining });
            }
            _ if context.depth > 0 && shared.dispatches.is_running_chain(context.root_id) => {
                RunPermit::Nested
            }
            QuarantineStatus::Clear => {
                RunPermit::Shared { _guard: shared.once.run_lock.read().await }
            }
            QuarantineStatus::Suspect => {
                match timeout(MAX_SUSPECT_WAIT, shared.once.run_lock.write()).await {
                    Ok(permit) => RunPermit::Exclusive { _guard: permit },
                    Err(_) => return Err(RunRefusal::Busy),
                }
            }
        };
        // In the meantime, a request with the same fingerprint may have crashed the upstream or run
        // without a crash.
        if std::mem::discriminant(&shared.once.quarantine_status(fingerprint))
            == std::mem::discriminant(&status)
        {
            return Ok(run_permit);
        }
    }
}

/// Final check immediately before the request is sent.
fn check_deadline_and_lease(
    shared: &Shared,
    context: &CallContext,
    undispatched: Undispatched,
) -> Result<Undispatched, NotRun> {
    let now = clock::now();
    if context.deadline <= now {
        return Err(undispatched.refuse(Reason::DeadlinePassed, "the deadline has passed"));
    }
    // A node that was paused after the request arrived must not rely on an earlier check.
    if context.organisation.is_some() && !shared.lease.row_is_valid(now) {
        let detail = "the node cannot show that its table is current";
        return Err(undispatched.refuse(Reason::NoLease, detail));
    }
    Ok(undispatched)
}

/// Sends the request to the upstream and waits for the answer until the deadline.
async fn dispatch_request(
    shared: &Arc<Shared>,
    prepared: PreparedRequest<'_>,
    context: CallContext,
    request: BufferedRequest,
    undispatched: Undispatched,
    cancelled: &CancellationToken,
) -> GuardResult {
    let PreparedRequest { announced, connection, fingerprint, slot, run_permit } = prepared;
    let budget = context.retry_budget;
    let request_id = context.request_id.to_string();
    let running = shared.dispatches.begin(context);
    let context = &running.call.context;
    let remaining = context.deadline.saturating_sub(clock::now());
    let map = upstream_headers(
        headers::from_proto(&request.headers),
        &request_id,
        context.organisation.as_deref(),
        &running.id.to_string(),
        remaining,
    );
    let mut message = Request::new(Full::new(request.body));
    *message.method_mut() = request.method;
    match request.path.parse() {
        Ok(uri) => *message.uri_mut() = uri,
        Err(error) => {
            let not_run = undispatched.refuse(Reason::BadRequest, format!("bad path: {error}"));
            return GuardResult::without_reply(Outcome::NotRun(not_run), budget);
        }
    }
    *message.headers_mut() = map;
    if let Ok(host) = http::HeaderValue::from_str(&announced.address.to_string()) {
        message.headers_mut().insert(http::header::HOST, host);
    }
    let dispatch = Dispatch::begin(undispatched);
    let timer = shared.metrics.start_hop(Hop::Upstream);
    let send = shared.upstream.send(connection, message, &request_id);
    let sent = tokio::select! {
        sent = timeout(remaining, send) => sent.ok(),
        () = cancelled.cancelled() => None,
    };
    drop(timer);
    let outcome = match sent {
        Some(Ok(answer)) => {
            if let RunPermit::Exclusive { .. } = run_permit {
                shared.once.clear_suspect(&fingerprint);
            }
            if !answer.status.is_server_error() {
                slot.complete(running.call.completion(clock::now()));
            }
            dispatch.answered(answer)
        }
        Some(Err(SendFailure::Unsent(unsent, detail))) => {
            let undispatched = dispatch.not_sent(unsent);
            Outcome::NotRun(undispatched.refuse(Reason::NoUpstream, detail))
        }
        Some(Err(SendFailure::Incomplete(detail))) => {
            handle_possible_crash(shared, &announced, fingerprint).await;
            dispatch.unknown(Reason::UpstreamFailed, detail)
        }
        None => {
            // The upstream may still be running the request, which may crash it later.
            shared.once.record_abandoned(announced.run_id, fingerprint);
            dispatch.unknown(Reason::DeadlinePassed, "no answer before the deadline")
        }
    };
    GuardResult {
        outcome,
        unused_retries: running.call.retries_left(),
        load: 0,
        pressures: running.call.pressures(),
        refused_below: running.call.was_refused_below(),
    }
}

/// Records and reports the request as suspected if its upstream has crashed.
///
/// The other rows must have the report before the caller gets the answer, since the caller may then
/// send the request again through any node.
async fn handle_possible_crash(
    shared: &Arc<Shared>,
    announced: &Arc<Announcement>,
    fingerprint: Fingerprint,
) {
    if !shared.upstream.has_crashed(announced).await {
        return;
    }
    on_upstream_lost(shared, announced);
    // All requests that were in flight report the crash under the same id, so that it counts once.
    let crash = announced.run_id;
    shared.once.report_crash(shared, &announced.service, fingerprint, crash).await;
}

/// Stops accepting requests until the upstream announces itself again.
///
/// If that takes longer than [`UPSTREAM_RESTART_TIMEOUT`], the records are handed over and the row
/// leaves the table, so that other rows own its idempotency keys.
fn on_upstream_lost(shared: &Arc<Shared>, announced: &Arc<Announcement>) {
    if !shared.upstream.mark_lost(announced) {
        return;
    }
    log::warn!(
        "the upstream at {} has crashed or closed its listener; refusing requests, and handing \
         over the idempotency records unless it announces itself within \
         {UPSTREAM_RESTART_TIMEOUT:?}",
        announced.address
    );
    let state = shared.clone();
    shared.once.tasks.spawn(async move {
        let shared = state;
        tokio::select! {
            () = tokio::time::sleep(UPSTREAM_RESTART_TIMEOUT) => {}
            () = shared.stop_serving.cancelled() => return,
        }
        if shared.upstream.serving_announcement().is_none() {
            shared.once.hand_over(&shared).await;
            shared.own_row_changed.notify_one();
        }
    });
}
