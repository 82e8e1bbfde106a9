//! The guard of the upstream beside the node: admission, the last checks, the dispatch, the answer.

use crate::{
    admission::Refusal,
    call::{CallContext, Dispatch, Outcome, Reason, Undispatched, headers},
    clock,
    node::{
        Shared,
        entry::WholeRequest,
        upstream::{UpstreamError, upstream_headers},
    },
    routing::Pressure,
};

/// The end of a request at the node beside the upstream.
#[derive(Debug)]
pub struct Guarded {
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

/// Runs one request at the upstream beside the node.
pub async fn run(
    shared: &Shared,
    context: CallContext,
    request: WholeRequest,
    undispatched: Undispatched,
) -> Guarded {
    let service = context.service.clone();
    let mut guarded = admit(shared, context, request, undispatched).await;
    guarded.load = shared.gate.load();
    let shed_below = shared.gate.shed_below();
    guarded.pressures.push(Pressure { service, shed_below });
    guarded
}

async fn admit(
    shared: &Shared,
    context: CallContext,
    request: WholeRequest,
    undispatched: Undispatched,
) -> Guarded {
    let budget = context.retry_budget;
    if !offers(shared, &context) {
        return refused(no_upstream(&context, undispatched), budget);
    }
    let slot = match shared.gate.enter(&context).await {
        Ok(slot) => slot,
        Err(refusal) => return refused(turn_away(shared, refusal, undispatched), budget),
    };
    // The upstream may have gone or begun to drain while the request waited.
    let announced = shared.upstream.serving().filter(|it| it.service == context.service);
    let Some(announced) = announced else {
        return refused(no_upstream(&context, undispatched), budget);
    };
    let remaining = context.deadline.saturating_sub(clock::now());
    if remaining.is_zero() {
        return refused(turn_away(shared, Refusal::DeadlinePassed, undispatched), budget);
    }
    // A node that was paused since the request came in must not act on an earlier check.
    if context.organisation.is_some() && !shared.right.row_is_valid(clock::now()) {
        let detail = "the node cannot show that its table is current";
        return refused(Outcome::NotRun(undispatched.refuse(Reason::NoRight, detail)), budget);
    }
    let running = shared.dispatches.begin(context);
    let context = &running.call.context;
    let map = upstream_headers(
        headers::from_proto(&request.headers),
        &context.request_id.to_string(),
        context.organisation.as_deref(),
        &running.id.to_string(),
        remaining,
    );
    let dispatch = Dispatch::begin(undispatched);
    let send =
        shared.upstream.send(announced.address, request.method, &request.path, map, request.body);
    let outcome = match tokio::time::timeout(remaining, send).await {
        Ok(Ok(answer)) => {
            if !answer.status.is_server_error() {
                slot.answered(running.call.completion(clock::now()));
            }
            dispatch.answered(answer)
        }
        Ok(Err(UpstreamError::NotWhole(detail) | UpstreamError::NotConnected(detail))) => {
            shared.upstream.lost();
            dispatch.unknown(Reason::UpstreamFailed, detail)
        }
        Err(_) => dispatch.unknown(Reason::DeadlinePassed, "no answer before the deadline"),
    };
    Guarded {
        outcome,
        unused_retries: running.call.retries_left(),
        load: 0,
        pressures: running.call.pressures(),
        refused_below: running.call.was_refused_below(),
    }
}

fn offers(shared: &Shared, context: &CallContext) -> bool {
    shared.upstream.serving().is_some_and(|announced| announced.service == context.service)
}

fn no_upstream(context: &CallContext, undispatched: Undispatched) -> Outcome {
    let detail = format!("the upstream does not offer {} now", context.service);
    Outcome::NotRun(undispatched.refuse(Reason::NoUpstream, detail))
}

fn turn_away(shared: &Shared, refusal: Refusal, undispatched: Undispatched) -> Outcome {
    Outcome::NotRun(match refusal {
        Refusal::Overload => {
            let delay = shared.retries.lock().retry_after();
            let detail = "the upstream is full of work that goes first";
            undispatched.refuse(Reason::Overload, detail).retry_after(delay)
        }
        Refusal::DeadlinePassed => {
            let detail = "the answer could not come before the deadline";
            undispatched.refuse(Reason::DeadlinePassed, detail)
        }
    })
}

fn refused(outcome: Outcome, unused_retries: u32) -> Guarded {
    Guarded { outcome, unused_retries, load: 0, pressures: Vec::new(), refused_below: false }
}
