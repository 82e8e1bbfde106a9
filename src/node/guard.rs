//! The guard of the upstream beside the node: admission, the last checks, the dispatch, the answer.

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

/// Time in which an upstream that crashed may announce itself again before its row gives up the
/// service.
const RESTART_ALLOWANCE: Duration = Duration::from_secs(2);
/// Time that a suspect waits until it can run alone. All other requests wait behind it meanwhile.
const SUSPECT_WAIT: Duration = Duration::from_secs(1);

/// The end of a request at the node beside the upstream.
#[derive(Debug)]
pub struct GuardResult {
    /// How it ended.
    pub outcome: Outcome,
    /// Retries that it did not use.
    pub unused_retries: u32,
    /// Load of the node.
    pub load: u32,
    /// Pressures of the service and of those below it.
    pub pressures: Vec<Pressure>,
    /// A call that the request made was refused for overload.
    pub refused_below: bool,
}

impl GuardResult {
    /// The request did not reach the upstream, or has ended before.
    fn without_run(outcome: Outcome, unused_retries: u32) -> Self {
        Self { outcome, unused_retries, load: 0, pressures: Vec::new(), refused_below: false }
    }
}

/// Runs one request at the upstream beside the node.
///
/// The request runs in a task of its own, so that its record and a crash report are completed
/// although the caller has gone. Only an idempotent request ends with its caller.
pub async fn run(
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
    let mut guarded = task.await.unwrap_or_else(|error| {
        let detail = format!("the task of the request failed: {error}");
        let unknown = Unknown { reason: Reason::UpstreamFailed, detail };
        GuardResult::without_run(Outcome::Unknown(unknown), 0)
    });
    guarded.load = shared.gate.load();
    let shed_below = shared.gate.shed_below();
    guarded.pressures.push(Pressure { service, shed_below });
    guarded
}

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
        Err(outcome) => return GuardResult::without_run(*outcome, budget),
    };
    let prepared = prepare(shared, &context, &request, undispatched, cancelled).await;
    let prepared = prepared.and_then(|(prepared, undispatched)| {
        let undispatched = shared.once.check_again(shared, record.as_ref(), undispatched)?;
        check_time_and_lease(shared, &context, undispatched)
            .map(|undispatched| (prepared, undispatched))
    });
    let guarded = match prepared {
        Ok((prepared, undispatched)) => {
            dispatch(shared, prepared, context, request, undispatched, cancelled).await
        }
        Err(not_run) => GuardResult::without_run(Outcome::NotRun(not_run), budget),
    };
    if let Some(record) = record {
        record.close(&guarded.outcome);
    }
    guarded
}

/// What a request holds when it is about to be sent.
struct Prepared<'a> {
    announced: Arc<Announcement>,
    connection: Connection,
    fingerprint: Fingerprint,
    slot: Slot<'a>,
    /// Keeps others out while a suspect runs, and suspects out while others run.
    turn: Turn<'a>,
}

enum Turn<'a> {
    Shared {
        _permit: tokio::sync::RwLockReadGuard<'a, ()>,
    },
    Alone {
        _permit: tokio::sync::RwLockWriteGuard<'a, ()>,
    },
    /// The upstream already runs a request of this chain, which waits for this one.
    Nested,
}

async fn prepare<'a>(
    shared: &'a Arc<Shared>,
    context: &CallContext,
    request: &BufferedRequest,
    undispatched: Undispatched,
    cancelled: &CancellationToken,
) -> Result<(Prepared<'a>, Undispatched), NotRun> {
    if serving(shared, context).is_none() {
        return Err(refuse_unserved(shared, context, undispatched));
    }
    let entrant = AdmissionRequest {
        importance: context.importance,
        organisation: context.organisation.clone(),
        is_nested_call: context.depth > 0,
        deadline: context.deadline,
        own_time: None,
    };
    let admitted = tokio::select! {
        admitted = shared.gate.enter(entrant) => admitted,
        () = cancelled.cancelled() => Err(Refusal::DeadlinePassed),
    };
    let slot = match admitted {
        Ok(slot) => slot,
        Err(refusal) => return Err(turn_away(shared, refusal, undispatched)),
    };
    // The upstream may have gone or begun to drain while the request waited.
    let Some(announced) = serving(shared, context) else {
        return Err(refuse_unserved(shared, context, undispatched));
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
    let turn = tokio::select! {
        turn = timeout(remaining, take_turn(shared, context, &fingerprint)) => turn,
        () = cancelled.cancelled() => {
            return Err(undispatched.refuse(Reason::DeadlinePassed, "the caller has gone"));
        }
    };
    let turn = match turn {
        Ok(Ok(turn)) => turn,
        Ok(Err(NoTurn::Quarantined { remaining })) => {
            let detail = "the request crashed upstreams and is quarantined";
            return Err(undispatched.refuse(Reason::Quarantined, detail).retry_after(remaining));
        }
        Ok(Err(NoTurn::Busy)) => {
            let detail = "the request may crash its upstream and must run alone, which is busy";
            let refused = undispatched.refuse(Reason::Overload, detail);
            return Err(refused.retry_after(SUSPECT_WAIT));
        }
        Err(_) => {
            let detail = "the deadline passed before the request could run";
            return Err(undispatched.refuse(Reason::DeadlinePassed, detail));
        }
    };
    // A suspect that ran in between may have crashed it.
    if !serving(shared, context).is_some_and(|current| Arc::ptr_eq(&current, &announced)) {
        return Err(refuse_unserved(shared, context, undispatched));
    }
    let connection = match shared.upstream.connect(announced.address).await {
        Ok(connection) => connection,
        Err(failure) => {
            if matches!(failure, ConnectFailure::Refused) {
                upstream_lost(shared, &announced);
            }
            return Err(undispatched.refuse(Reason::NoUpstream, failure.to_string()));
        }
    };
    Ok((Prepared { announced, connection, fingerprint, slot, turn }, undispatched))
}

fn turn_away(shared: &Shared, refusal: Refusal, undispatched: Undispatched) -> NotRun {
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

fn serving(shared: &Shared, context: &CallContext) -> Option<Arc<Announcement>> {
    shared.upstream.serving().filter(|it| it.service == context.service)
}

fn refuse_unserved(shared: &Shared, context: &CallContext, undispatched: Undispatched) -> NotRun {
    let reason = match shared.lifecycle() {
        Lifecycle::Serving => Reason::NoUpstream,
        _ => Reason::Leaving,
    };
    let detail = format!("the upstream does not offer {} now", context.service);
    undispatched.refuse(reason, detail)
}

/// Why a request does not get its turn.
enum NoTurn {
    Quarantined { remaining: Duration },
    Busy,
}

/// Waits until the request may run.
async fn take_turn<'a>(
    shared: &'a Shared,
    context: &CallContext,
    fingerprint: &Fingerprint,
) -> Result<Turn<'a>, NoTurn> {
    loop {
        let wanted = shared.once.quarantine_status(fingerprint);
        let turn = match wanted {
            QuarantineStatus::Quarantined { remaining } => {
                return Err(NoTurn::Quarantined { remaining });
            }
            _ if context.depth > 0 && shared.dispatches.runs_chain(context.root_id) => Turn::Nested,
            QuarantineStatus::Clear => Turn::Shared { _permit: shared.once.alone.read().await },
            QuarantineStatus::Suspect => {
                match timeout(SUSPECT_WAIT, shared.once.alone.write()).await {
                    Ok(permit) => Turn::Alone { _permit: permit },
                    Err(_) => return Err(NoTurn::Busy),
                }
            }
        };
        // An equal request may have crashed the upstream, or run well, in the meantime.
        if std::mem::discriminant(&shared.once.quarantine_status(fingerprint))
            == std::mem::discriminant(&wanted)
        {
            return Ok(turn);
        }
    }
}

fn check_time_and_lease(
    shared: &Shared,
    context: &CallContext,
    undispatched: Undispatched,
) -> Result<Undispatched, NotRun> {
    let now = clock::now();
    if context.deadline <= now {
        return Err(undispatched.refuse(Reason::DeadlinePassed, "the deadline has passed"));
    }
    // A node that was paused since the request came in must not act on an earlier check.
    if context.organisation.is_some() && !shared.lease.row_is_valid(now) {
        let detail = "the node cannot show that its table is current";
        return Err(undispatched.refuse(Reason::NoLease, detail));
    }
    Ok(undispatched)
}

async fn dispatch(
    shared: &Arc<Shared>,
    prepared: Prepared<'_>,
    context: CallContext,
    request: BufferedRequest,
    undispatched: Undispatched,
    cancelled: &CancellationToken,
) -> GuardResult {
    let Prepared { announced, connection, fingerprint, slot, turn } = prepared;
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
            return GuardResult::without_run(Outcome::NotRun(not_run), budget);
        }
    }
    *message.headers_mut() = map;
    if let Ok(host) = http::HeaderValue::from_str(&announced.address.to_string()) {
        message.headers_mut().insert(http::header::HOST, host);
    }
    let dispatch = Dispatch::begin(undispatched);
    let timer = shared.metrics.start(Hop::Upstream);
    let send = shared.upstream.send(connection, message, &request_id);
    let sent = tokio::select! {
        sent = timeout(remaining, send) => sent.ok(),
        () = cancelled.cancelled() => None,
    };
    drop(timer);
    let outcome = match sent {
        Some(Ok(answer)) => {
            if let Turn::Alone { .. } = turn {
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
        Some(Err(SendFailure::NotWhole(detail))) => {
            look_for_crash(shared, &announced, fingerprint).await;
            dispatch.unknown(Reason::UpstreamFailed, detail)
        }
        None => {
            // The upstream may still be running it, and crash by it later.
            shared.once.abandoned(announced.run_id, fingerprint);
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

/// Makes the request suspect where its upstream has crashed; others must know before the answer
/// goes out, since the caller may then send the request again to any node.
async fn look_for_crash(
    shared: &Arc<Shared>,
    announced: &Arc<Announcement>,
    fingerprint: Fingerprint,
) {
    if !shared.upstream.has_crashed(announced).await {
        return;
    }
    upstream_lost(shared, announced);
    // All requests that were in flight at one crash report it under the same id.
    let crash = announced.run_id;
    shared.once.report_crash(shared, &announced.service, fingerprint, crash).await;
}

/// Takes no new work until the upstream announces itself again; where that takes long, the row
/// gives up the service, so that others own its keys.
fn upstream_lost(shared: &Arc<Shared>, announced: &Arc<Announcement>) {
    if !shared.upstream.lost(announced) {
        return;
    }
    log::warn!("the upstream at {} has crashed or closed", announced.address);
    let state = shared.clone();
    shared.once.tasks.spawn(async move {
        let shared = state;
        tokio::select! {
            () = tokio::time::sleep(RESTART_ALLOWANCE) => {}
            () = shared.stop_serving.cancelled() => return,
        }
        if shared.upstream.serving().is_none() {
            shared.once.hand_over(&shared).await;
            shared.announced.notify_one();
        }
    });
}
