//! Attempts of one request at the instances of its service.
//!
//! A failed attempt is retried if that may help the caller: the request has not run, or it may run
//! more than once. A request that reaches a second upstream is charged to the retry budget.
//!
//! Load pattern: some instances of a service fail all their requests, while the others work.

use std::{sync::Arc, time::Duration};

use http::StatusCode;
use smallvec::SmallVec;

use crate::{
    call::{Answer, Outcome, Reason, Undispatched, Unknown},
    clock,
    mesh::{
        AttemptResult, Call, Candidate, Dialect, GuardResult, LoadReport, Member, Node,
        RetryReservation, Route, UpstreamRecord, Usage, evacuation, forward::forward_request, pace,
        request::BufferedRequest, retry_rank,
    },
    names::InstanceName,
};

/// Maximum number of attempts at a request, including those refused without running it.
const MAX_ATTEMPTS: usize = 6;
/// The same for a request with reserved retries. At a service that refuses 55 in 100 requests, one in
/// 36 calls has failed after six attempts, and one in five chains with eight calls.
const MAX_RESERVED_ATTEMPTS: usize = 12;

/// Result of a request after all its attempts.
pub struct CallResult {
    /// Outcome that is reported to the caller.
    pub outcome: Outcome,
    /// Use of services by the attempts and the calls below them.
    pub usage: Usage,
    /// Whether the request, or a call below it, ended with a refusal.
    pub was_refused: bool,
    /// Number of attempts.
    pub attempts: usize,
    /// Instance of the last attempt; `None` if no instance accepted requests.
    pub instance: Option<InstanceName>,
}

/// State of a request between its attempts.
#[derive(Default)]
struct Progress {
    /// Instances tried in the present round over all instances.
    tried: SmallVec<[InstanceName; MAX_ATTEMPTS]>,
    attempts: usize,
    /// Attempts that reached an upstream.
    upstream_attempts: u32,
    /// Attempts that reached an upstream and ran there or may have run.
    run_attempts: u32,
    usage: Usage,
    /// Outcome of the last attempt that may have run without a complete response.
    unknown_outcome: Option<Unknown>,
    /// Failure of an upstream, which is returned to the caller if no later attempt has a better outcome.
    failed_answer: Option<Answer>,
}

/// Makes attempts until one succeeds or no retry is allowed.
pub async fn run<D: Dialect>(
    node: &Arc<Node<D>>,
    route: &Route,
    call: &Call,
    request: BufferedRequest,
    mut undispatched: Undispatched,
) -> CallResult {
    let mut call = call.clone();
    let mut progress = Progress::default();
    progress.usage.add_requests(&call.service, 1.0);
    {
        let route_usage = node.route_usage.lock();
        let mean_usage = route_usage.mean(&call.route);
        let mut retries = node.retries.lock();
        retries.record_request(clock::now(), &call.service, call.depth, mean_usage);
        if let Some(reservation) = reservation(&call) {
            retries.record_reservation(clock::now(), reservation);
        }
    }
    let max_attempts =
        if reservation(&call).is_some() { MAX_RESERVED_ATTEMPTS } else { MAX_ATTEMPTS };
    loop {
        let (instance, guard_result) =
            send_attempt(node, route, &call, request.clone(), undispatched, &progress.tried).await;
        let has_instance = instance.is_some();
        progress.tried.extend(instance.clone());
        progress.attempts += 1;
        progress.usage.merge(&guard_result.usage);
        if guard_result.reached_upstream {
            progress.upstream_attempts += 1;
            progress.run_attempts += u32::from(!matches!(guard_result.outcome, Outcome::NotRun(_)));
            call.repeated = true;
        }
        // All instances have been tried. Some refused the request without running it, possibly by
        // chance, so another round begins.
        let is_new_round =
            !has_instance && progress.upstream_attempts > 0 && !progress.tried.is_empty();
        let retry = prepare_retry(&call, &guard_result).filter(|_| {
            (has_instance || is_new_round)
                && clock::now() < call.deadline
                && progress.attempts < max_attempts
                && progress.run_attempts < route.max_attempts
                && (progress.upstream_attempts == 0 || take_retry(node, &call))
        });
        if is_new_round {
            progress.tried.clear();
        }
        match retry {
            Some(retry) => undispatched = retry,
            None => return progress.into_result(guard_result, instance),
        }
        match guard_result.outcome {
            Outcome::Whole(answer) => progress.failed_answer = Some(answer),
            Outcome::Unknown(unknown) => progress.unknown_outcome = Some(unknown),
            Outcome::NotRun(_) => {}
        }
    }
}

impl Progress {
    /// Chooses the outcome to report: that of the last attempt, or a better one of an earlier attempt.
    fn into_result(self, last: GuardResult, instance: Option<InstanceName>) -> CallResult {
        let (usage, refused_below, attempts) = (self.usage, last.refused_below, self.attempts);
        let (outcome, was_refused) = match (last.outcome, self.failed_answer, self.unknown_outcome)
        {
            (whole @ Outcome::Whole(_), _, _) => (whole, refused_below),
            (_, Some(answer), _) => (Outcome::Whole(answer), false),
            // If an earlier attempt may have run, a refusal must not be reported as not run.
            (not_run @ Outcome::NotRun(_), None, None) => (not_run, true),
            (Outcome::NotRun(_), None, Some(unknown)) => (Outcome::Unknown(unknown), true),
            (unknown @ Outcome::Unknown(_), None, _) => (unknown, false),
        };
        CallResult { outcome, usage, was_refused, attempts, instance }
    }
}

/// Returns the request for another attempt if a retry may help and is safe.
fn prepare_retry(call: &Call, guard_result: &GuardResult) -> Option<Undispatched> {
    match &guard_result.outcome {
        Outcome::Whole(answer) => {
            // A failure caused by a call below would recur and repeat the cost of all calls below.
            let is_own_failure = answer.status.is_server_error()
                && answer.status != StatusCode::GATEWAY_TIMEOUT
                && !guard_result.failed_below;
            (is_own_failure && call.idempotent).then(|| Undispatched::new(false))
        }
        Outcome::NotRun(not_run) => {
            let may_help = matches!(
                not_run.reason,
                Reason::NoUpstream | Reason::Leaving | Reason::PeerFailed | Reason::Overload
            );
            may_help.then(|| not_run.to_undispatched())
        }
        Outcome::Unknown(unknown) => {
            let is_retryable = call.idempotent && unknown.reason != Reason::DeadlinePassed;
            is_retryable.then(|| unknown.to_undispatched())
        }
    }
}

/// Takes a retry for a request that has already reached an upstream: one of those reserved for its
/// call chain, or one from the budget.
fn take_retry<D: Dialect>(node: &Node<D>, call: &Call) -> bool {
    let now = clock::now();
    if reservation(call).is_some() && node.retries.lock().take_reserved_retry(now, &call.service) {
        return true;
    }
    let fleet_size = node.members.load().live_len();
    let urgency = node.catalog.load().as_ref().map_or(1.0, |it| it.urgency(call.rank));
    let retry_rank = retry_rank(urgency, root_id::<D>(&call.request_id));
    let route_usage = node.route_usage.lock();
    let mean_usage = route_usage.mean(&call.route);
    node.retries.lock().take_retry(now, &call.service, mean_usage, fleet_size, retry_rank)
}

/// Retries that are reserved for calls of the called service.
fn reservation(call: &Call) -> Option<&RetryReservation> {
    call.reservation.as_deref().filter(|it| it.service == call.service)
}

/// Id of the root request of a request's call chain.
fn root_id<D: Dialect>(request_id: &str) -> &str {
    let mut root = request_id;
    while let Some(parent) = D::parent_id(root) {
        root = parent;
    }
    root
}

/// Sends the request to the best instance that has not been tried; returns the instance, or `None` if
/// there is none.
async fn send_attempt<D: Dialect>(
    node: &Arc<Node<D>>,
    route: &Route,
    call: &Call,
    request: BufferedRequest,
    undispatched: Undispatched,
    tried: &[InstanceName],
) -> (Option<InstanceName>, GuardResult) {
    let members = node.members.load_full();
    let ready: SmallVec<[(&Arc<Member>, &UpstreamRecord); 16]> = members
        .for_service(&call.service)
        .iter()
        .filter(|member| !tried.contains(&member.record.instance))
        .filter(|member| node.accepts_zone(&member.record.address.zone))
        .filter_map(|member| Some((member, member.ready_upstream()?)))
        .collect();
    let candidates: SmallVec<[Candidate<'_>; 16]> = ready
        .iter()
        .map(|(member, upstream)| Candidate {
            instance: &member.record.instance,
            is_same_zone: member.record.address.zone == node.settings.zone,
            slots: upstream.slots,
            pace_per_ks: upstream.pace_per_ks,
        })
        .collect();
    let now = clock::now();
    let chosen = {
        let mut placement = node.placement.lock();
        pace::choose(
            &mut placement,
            &members,
            now,
            &candidates,
            rand::random(),
            |placement, warm| placement.choose(now, &route.name, route.answer_within, warm),
        )
    };
    let Some(index) = chosen else {
        let detail = format!("no instance of {} takes requests", call.service);
        let mut not_run = undispatched.refuse(Reason::NoUpstream, detail);
        if let Some(delay) = evacuation::retry_after(node, &call.service) {
            not_run = not_run.retry_after(delay);
        }
        return (None, GuardResult::from_outcome(Outcome::NotRun(not_run)));
    };
    let member = ready[index].0;
    let mut attempt_guard = AttemptGuard::begin(node, member, call);
    let sent_at = clock::now();
    let guard_result = match member.record.instance == node.settings.instance {
        true => node.run_at_upstream(call.clone(), request, undispatched).await,
        false => forward_request(node, member, call, request, undispatched).await,
    };
    attempt_guard.set_result(&guard_result);
    drop(attempt_guard);
    let now = clock::now();
    if let (Outcome::Whole(_), Some(held_s)) =
        (&guard_result.outcome, guard_result.usage.held_s(&call.service))
    {
        let took = now.saturating_sub(sent_at).as_secs_f64();
        let network = Duration::from_secs_f64((took - held_s).max(0.0));
        node.placement.lock().record_network_time(&member.record.instance, network);
    }
    let load = {
        let names = members.for_service(&call.service).iter().map(|member| &member.record.instance);
        node.placement.lock().service_load(now, names)
    };
    if guard_result.load.is_some() {
        node.record_refused_share(&call.service, guard_result.refused_share, now);
    }
    if let Some(load) = load {
        node.root_admission.lock().record_load(now, &call.service, load, now);
    }
    (Some(member.record.instance.clone()), guard_result)
}

/// Reports an attempt to the placement when it is dropped, also if the caller cancels the request.
struct AttemptGuard<'a, D: Dialect> {
    node: &'a Node<D>,
    instance: &'a InstanceName,
    route: &'a Arc<str>,
    result: AttemptResult,
    report: Option<LoadReport>,
}

impl<'a, D: Dialect> AttemptGuard<'a, D> {
    fn begin(node: &'a Node<D>, member: &'a Member, call: &'a Call) -> Self {
        let (instance, route) = (&member.record.instance, &call.route);
        node.placement.lock().attempt_started(clock::now(), instance);
        Self { node, instance, route, result: AttemptResult::Abandoned, report: None }
    }

    fn set_result(&mut self, guard_result: &GuardResult) {
        self.report = guard_result.load;
        self.result = match &guard_result.outcome {
            Outcome::Whole(answer) if answer.status.is_server_error() => {
                // An upstream that passes on the refusal of a call below has not failed itself.
                match guard_result.refused_below {
                    true => AttemptResult::Refused,
                    false => AttemptResult::Failed,
                }
            }
            Outcome::Whole(_) => AttemptResult::Answered,
            Outcome::NotRun(not_run) => match not_run.reason {
                Reason::PeerFailed | Reason::NoUpstream => AttemptResult::Unreachable,
                _ if guard_result.reached_upstream => AttemptResult::Failed,
                _ => AttemptResult::Refused,
            },
            Outcome::Unknown(unknown) => match unknown.reason {
                Reason::PeerFailed => AttemptResult::Unreachable,
                _ => AttemptResult::Failed,
            },
        };
    }
}

impl<D: Dialect> Drop for AttemptGuard<'_, D> {
    fn drop(&mut self) {
        let mut placement = self.node.placement.lock();
        placement.attempt_finished(
            clock::now(),
            self.instance,
            self.route,
            self.result,
            self.report,
        );
    }
}
