//! The guard of the upstream beside the node: the last checks, the dispatch, the answer.

use crate::{
    call::{CallContext, Dispatch, Outcome, Reason, Undispatched, headers},
    clock,
    node::{
        Shared,
        entry::WholeRequest,
        upstream::{UpstreamError, upstream_headers},
    },
};

/// Runs one request at the upstream beside the node.
///
/// The second value is the number of retries that the request did not use.
pub async fn run(
    shared: &Shared,
    context: CallContext,
    request: WholeRequest,
    undispatched: Undispatched,
) -> (Outcome, u32) {
    let budget = context.retry_budget;
    let announced = shared.upstream.serving();
    let Some(announced) = announced.filter(|it| it.service == context.service) else {
        let detail = format!("the upstream does not offer {} now", context.service);
        return (Outcome::NotRun(undispatched.refuse(Reason::NoUpstream, detail)), budget);
    };
    let remaining = context.deadline.saturating_sub(clock::now());
    if remaining.is_zero() {
        let not_run = undispatched.refuse(Reason::DeadlinePassed, "the deadline has passed");
        return (Outcome::NotRun(not_run), budget);
    }
    // A node that was paused since the request came in must not act on an earlier check.
    if context.organisation.is_some() && !shared.right.row_is_valid(clock::now()) {
        let detail = "the node cannot show that its table is current";
        return (Outcome::NotRun(undispatched.refuse(Reason::NoRight, detail)), budget);
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
        Ok(Ok(answer)) => dispatch.answered(answer),
        Ok(Err(UpstreamError::NotWhole(detail) | UpstreamError::NotConnected(detail))) => {
            shared.upstream.lost();
            dispatch.unknown(Reason::UpstreamFailed, detail)
        }
        Err(_) => dispatch.unknown(Reason::DeadlinePassed, "no answer before the deadline"),
    };
    (outcome, running.call.retries_left())
}
