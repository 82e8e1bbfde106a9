//! Attempts of one request at the instances of its service.
//!
//! An attempt follows another one where that may help the caller: the request has not run, or it
//! may run again. What reaches a second upstream draws on the budget of repeats.
//!
//! Load pattern: a part of a service's instances fails what it is sent, while the others serve.

use std::sync::Arc;

use http::StatusCode;
use smallvec::SmallVec;

use crate::{
    call::{Answer, Outcome, Reason, Undispatched, Unknown},
    clock,
    mesh::{
        AttemptResult, Call, Candidate, Dialect, GuardResult, LoadReport, Member, Node, Route,
        Usage, forward::forward, request::BufferedRequest,
    },
    names::InstanceName,
};

/// Attempts at a request, those that refuse it without running it included.
const MAX_ATTEMPTS: usize = 6;
/// Part of a chain's claim on repeats that its rank decides; chance decides the rest.
const RANK_PART: f64 = 0.5;
const HASH_PURPOSE: &str = "hibiscusdoor 2026 claim of a chain on repeats";

/// How a request ended after all its attempts.
pub struct CallResult {
    /// The outcome that its caller is told.
    pub outcome: Outcome,
    /// What the attempts and the calls below them used.
    pub usage: Usage,
    /// It, or a call below it, was refused for lack of room.
    pub refused: bool,
    /// Number of attempts.
    pub attempts: usize,
    /// Instance of the last attempt; none where no instance took requests.
    pub instance: Option<InstanceName>,
}

/// What the attempts so far have left.
#[derive(Default)]
struct Progress {
    tried: SmallVec<[InstanceName; MAX_ATTEMPTS]>,
    attempts: usize,
    /// Attempts that reached an upstream, and those of them that may have run.
    reached: u32,
    ran: u32,
    usage: Usage,
    may_have_run: Option<Unknown>,
    /// An upstream's own failure, which is delivered where no later attempt does better.
    failed: Option<Answer>,
}

/// Makes attempts until one is final.
pub async fn run<D: Dialect>(
    node: &Arc<Node<D>>,
    route: &Route,
    call: &Call,
    request: BufferedRequest,
    mut undispatched: Undispatched,
) -> CallResult {
    let mut call = call.clone();
    let mut progress = Progress::default();
    {
        let learned = node.route_usage.lock();
        let below = learned.mean(&call.route);
        node.retries.lock().record_request(clock::now(), &call.service, call.depth, below);
    }
    loop {
        let (instance, guarded) =
            attempt(node, route, &call, request.clone(), undispatched, &progress.tried).await;
        let found = instance.is_some();
        progress.tried.extend(instance.clone());
        progress.attempts += 1;
        progress.usage.merge(&guarded.usage);
        if guarded.reached_upstream {
            progress.reached += 1;
            progress.ran += u32::from(!matches!(guarded.outcome, Outcome::NotRun(_)));
            call.repeated = true;
        }
        // Where all have been tried, some refused the request without running it, which they may do
        // by chance.
        let from_the_start = !found && progress.reached > 0 && !progress.tried.is_empty();
        let again = again(&call, &guarded).filter(|_| {
            (found || from_the_start)
                && clock::now() < call.deadline
                && progress.attempts < MAX_ATTEMPTS
                && progress.ran < route.max_attempts
                && (progress.reached == 0 || take_repeat(node, &call))
        });
        if from_the_start {
            progress.tried.clear();
        }
        match again {
            Some(again) => undispatched = again,
            None => return progress.end(guarded, instance),
        }
        match guarded.outcome {
            Outcome::Whole(answer) => progress.failed = Some(answer),
            Outcome::Unknown(unknown) => progress.may_have_run = Some(unknown),
            Outcome::NotRun(_) => {}
        }
    }
}

impl Progress {
    fn end(self, last: GuardResult, instance: Option<InstanceName>) -> CallResult {
        let (usage, refused_below, attempts) = (self.usage, last.refused_below, self.attempts);
        let (outcome, refused) = match (last.outcome, self.failed, self.may_have_run) {
            (whole @ Outcome::Whole(_), _, _) => (whole, refused_below),
            (_, Some(answer), _) => (Outcome::Whole(answer), false),
            // A refusal after an attempt that may have run must not be reported as not run.
            (not_run @ Outcome::NotRun(_), None, None) => (not_run, true),
            (Outcome::NotRun(_), None, Some(unknown)) => (Outcome::Unknown(unknown), true),
            (unknown @ Outcome::Unknown(_), None, _) => (unknown, false),
        };
        CallResult { outcome, usage, refused, attempts, instance }
    }
}

/// The request as it goes into another attempt, where one may help.
fn again(call: &Call, guarded: &GuardResult) -> Option<Undispatched> {
    match &guarded.outcome {
        Outcome::Whole(answer) => {
            // A failure that comes from below would come again, at the cost of all calls below.
            let own_failure = answer.status.is_server_error()
                && answer.status != StatusCode::GATEWAY_TIMEOUT
                && !guarded.failed_below;
            (own_failure && call.idempotent).then(|| Undispatched::new(false))
        }
        Outcome::NotRun(not_run) => {
            let elsewhere = matches!(
                not_run.reason,
                Reason::NoUpstream | Reason::Leaving | Reason::PeerFailed | Reason::Overload
            );
            elsewhere.then(|| not_run.for_retry())
        }
        Outcome::Unknown(unknown) => {
            let repeatable = call.idempotent && unknown.reason != Reason::DeadlinePassed;
            repeatable.then(|| unknown.for_retry())
        }
    }
}

/// Takes the right to let a request that has reached an upstream reach another one.
fn take_repeat<D: Dialect>(node: &Node<D>, call: &Call) -> bool {
    let fleet = node.members.load().len();
    let urgency = node.catalog.load().as_ref().map_or(1.0, |it| it.urgency(call.rank));
    let claim = claim::<D>(urgency, &call.request_id);
    let learned = node.route_usage.lock();
    let below = learned.mean(&call.route);
    node.retries.lock().take_retry(clock::now(), &call.service, below, fleet, claim)
}

/// How strong the claim of a request's chain on repeats is: 0 for the strongest.
///
/// All calls of a chain have the same claim at all nodes. Where repeats are short, they go to few
/// chains, which complete, and not to single calls of chains that fail all the same.
fn claim<D: Dialect>(urgency: f64, request_id: &str) -> f64 {
    let mut root = request_id;
    while let Some(parent) = D::parent_id(root) {
        root = parent;
    }
    let mut hasher = blake3::Hasher::new_derive_key(HASH_PURPOSE);
    hasher.update(root.as_bytes());
    let hash = hasher.finalize();
    let chance = f64::from(u16::from_le_bytes([hash.as_bytes()[0], hash.as_bytes()[1]]));
    RANK_PART * (1.0 - urgency) + (1.0 - RANK_PART) * chance / f64::from(u16::MAX)
}

async fn attempt<D: Dialect>(
    node: &Arc<Node<D>>,
    route: &Route,
    call: &Call,
    request: BufferedRequest,
    undispatched: Undispatched,
    tried: &[InstanceName],
) -> (Option<InstanceName>, GuardResult) {
    let members = node.members.load_full();
    let ready: SmallVec<[(&Arc<Member>, u32); 16]> = members
        .for_service(&call.service)
        .iter()
        .filter(|member| !tried.contains(&member.record.instance))
        .filter_map(|member| Some((member, member.ready_upstream()?.slots)))
        .collect();
    let candidates: SmallVec<[Candidate<'_>; 16]> = ready
        .iter()
        .map(|(member, slots)| Candidate {
            instance: &member.record.instance,
            same_zone: member.record.address.zone == node.settings.zone,
            slots: *slots,
        })
        .collect();
    let now = clock::now();
    let chosen = node.placement.lock().choose(now, &route.name, route.answer_within, &candidates);
    let Some(index) = chosen else {
        let detail = format!("no instance of {} takes requests", call.service);
        let not_run = undispatched.refuse(Reason::NoUpstream, detail);
        return (None, GuardResult::not_run(Outcome::NotRun(not_run)));
    };
    let member = ready[index].0;
    let mut used = Used::begin(node, member, call);
    let guarded = match member.record.instance == node.settings.instance {
        true => node.guard.run(call.clone(), request, undispatched).await,
        false => forward(node, member, call, request, undispatched).await,
    };
    used.ended(&guarded);
    drop(used);
    let now = clock::now();
    let load = {
        let names = members.for_service(&call.service).iter().map(|member| &member.record.instance);
        node.placement.lock().load_of(now, names)
    };
    if let Some(load) = load {
        node.root_admission.lock().record_load(now, &call.service, load, now);
    }
    (Some(member.record.instance.clone()), guarded)
}

/// Counts an attempt at an instance, also when the caller goes away in its course.
struct Used<'a, D: Dialect> {
    node: &'a Node<D>,
    instance: &'a InstanceName,
    route: &'a Arc<str>,
    end: AttemptResult,
    report: Option<LoadReport>,
}

impl<'a, D: Dialect> Used<'a, D> {
    fn begin(node: &'a Node<D>, member: &'a Member, call: &'a Call) -> Self {
        let (instance, route) = (&member.record.instance, &call.route);
        node.placement.lock().attempt_started(clock::now(), instance);
        Self { node, instance, route, end: AttemptResult::Abandoned, report: None }
    }

    fn ended(&mut self, guarded: &GuardResult) {
        self.report = guarded.load;
        self.end = match &guarded.outcome {
            Outcome::Whole(answer) if answer.status.is_server_error() => {
                // An upstream that passes on a refusal from below is not at fault.
                match guarded.refused_below {
                    true => AttemptResult::Refused,
                    false => AttemptResult::Failed,
                }
            }
            Outcome::Whole(_) => AttemptResult::Answered,
            Outcome::NotRun(not_run) => match not_run.reason {
                Reason::PeerFailed | Reason::NoUpstream => AttemptResult::Unreachable,
                _ if guarded.reached_upstream => AttemptResult::Failed,
                _ => AttemptResult::Refused,
            },
            Outcome::Unknown(unknown) => match unknown.reason {
                Reason::PeerFailed => AttemptResult::Unreachable,
                _ => AttemptResult::Failed,
            },
        };
    }
}

impl<D: Dialect> Drop for Used<'_, D> {
    fn drop(&mut self) {
        let mut placement = self.node.placement.lock();
        placement.attempt_finished(clock::now(), self.instance, self.route, self.end, self.report);
    }
}
