//! The entry of a request: route, key, choice of an instance, forwarding and retries.

use std::{future::Future, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header, request::Parts};
use rand::RngExt as _;
use tokio::time::sleep;

use crate::{
    call::{NotRun, Outcome, Reason, Undispatched},
    clock::{self, Timestamp},
    http_server::pipelined::{Handler, Limits},
    mesh::{
        Call, CallHead, Catalog, Dialect, Node, Organisation, Origin, RootVerdict, Route,
        RunningCall,
        attempts::{self, CallResult},
        charge::{self, Charge, ChargeRefusal},
        fingerprint,
        request::{BufferedRequest, remove_connection_headers},
    },
    names::ServiceName,
    store::ObjectVersion,
};

/// When a refused caller may try again, as a part of the time within which it wants its answer:
/// early enough for an answer in time, and spread so that callers do not come back together.
const RETRY_AFTER_PART: std::ops::Range<f64> = 0.25..0.75;
/// Shortest Retry-After.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Retry-After of a node that cannot serve for a while.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Longest time that a root waits for room in its chain before it is refused, and the same as a part
/// of the time within which it wants its answer.
const MAX_ROOT_WAIT: Duration = Duration::from_millis(200);
const MAX_ROOT_WAIT_PART: u32 = 10;
/// Time between two looks at the room.
const ROOT_WAIT_INTERVAL: Duration = Duration::from_millis(20);

/// Open connections beyond which each is closed with its last answer. Refused callers come back on
/// new connections and leave the old ones idle; in a burst those took all 4,100 descriptors of a machine,
/// and callers waited four seconds to be accepted.
const CROWDED_CONNECTIONS: usize = 1_500;

/// The listener for callers on this machine and for the upstream's own calls.
#[derive(Debug)]
pub struct Callers<D: Dialect>(pub Arc<Node<D>>);

impl<D: Dialect> Clone for Callers<D> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

impl<D: Dialect> Handler for Callers<D> {
    fn limits(&self) -> Limits {
        let limits = self.0.catalog.load().as_ref().map(|it| it.limits).unwrap_or_default();
        Limits {
            max_header_bytes: limits.max_header_bytes,
            max_body_bytes: limits.max_body_bytes,
            request_timeout: limits.header_timeout,
            idle_timeout: limits.idle_timeout,
            crowded_connections: CROWDED_CONNECTIONS,
        }
    }

    fn may_overlap(&self, head: &Parts) -> bool {
        let catalog = self.0.catalog.load();
        let route = catalog.as_ref().and_then(|it| it.route(host(head), head.uri.path()));
        // A request without a route is refused, and may be refused twice.
        route.is_none_or(|route| route.idempotent)
    }

    fn is_closing(&self) -> bool {
        self.0.is_leaving()
    }

    fn answer(
        &self,
        request: Request<Bytes>,
        arrived: Timestamp,
    ) -> impl Future<Output = Response<Bytes>> + Send + 'static {
        answer(self.0.clone(), request, arrived)
    }
}

/// A request that may be sent to an instance.
struct Admitted {
    route: Arc<Route>,
    call: Call,
    /// The request that the upstream beside the node makes this call for.
    parent: Option<Arc<RunningCall>>,
    /// Organisation that is charged.
    organisation: Option<Arc<Organisation>>,
}

/// Answers a request of a caller, or of the upstream beside the node.
async fn answer<D: Dialect>(
    node: Arc<Node<D>>,
    request: Request<Bytes>,
    arrived: Timestamp,
) -> Response<Bytes> {
    let (mut parts, body) = request.into_parts();
    let head = D::take_call_head(&mut parts.headers);
    let request_id = head.request_id.clone();
    let undispatched = Undispatched::new(true);
    let admitted = admit(&node, &head, &parts, arrived);
    let request = whole_request(&mut parts, body);
    let admitted = admitted.and_then(|it| refuse_quarantined(&node, it, &request));
    let charged = match &admitted {
        Ok(admitted) => charge_and_begin(&node, admitted).await,
        Err(_) => Ok(None),
    };
    let (admitted, charge) = match (admitted, charged) {
        (Ok(admitted), Ok(charge)) => (admitted, charge),
        (Err(refusal), _) | (_, Err(refusal)) => {
            let not_run = refusal.end(undispatched);
            log::info!(
                target: "hibiscusdoor::request",
                request = request_id.as_deref().unwrap_or_default(), path = parts.uri.path(),
                reason = not_run.reason.as_str(), configuration = node.catalog_version();
                "refused: {}", not_run.detail
            );
            let outcome = Outcome::NotRun(not_run);
            let origin = origin::<D>(request_id.as_deref());
            node.metrics.record_request(origin, &outcome, clock::now().saturating_sub(arrived));
            return response::<D>(outcome, request_id.as_deref());
        }
    };
    let mut finish = Finish { call: &admitted.call, is_finished: false };
    let ended = run(&node, &admitted, request, undispatched, charge).await;
    finish.is_finished = true;
    let took = clock::now().saturating_sub(arrived);
    node.metrics.record_request(origin::<D>(request_id.as_deref()), &ended.outcome, took);
    log_end(&admitted, &ended, took, node.catalog_version());
    response::<D>(ended.outcome, request_id.as_deref())
}

/// Writes that a request was given up where it ends before it is finished: its caller has gone.
struct Finish<'a> {
    call: &'a Call,
    is_finished: bool,
}

impl Drop for Finish<'_> {
    fn drop(&mut self) {
        if self.is_finished {
            return;
        }
        let call = self.call;
        log::info!(
            target: "hibiscusdoor::request",
            request:% = call.request_id, route:% = call.route, service:% = call.service,
            depth = call.depth, left_ms = clock::millis(call.deadline.saturating_sub(clock::now()));
            "abandoned: the caller has gone"
        );
    }
}

/// Where a request began, as far as its id tells.
fn origin<D: Dialect>(request_id: Option<&str>) -> Origin {
    match request_id.and_then(D::parent_id) {
        Some(_) => Origin::Upstream,
        None => Origin::Caller,
    }
}

fn log_end(admitted: &Admitted, ended: &CallResult, took: Duration, configuration: ObjectVersion) {
    let (kind, reason, detail) = match &ended.outcome {
        Outcome::Whole(answer) => ("answered", "", answer.status.to_string()),
        Outcome::NotRun(it) => ("refused", it.reason.as_str(), it.detail.clone()),
        Outcome::Unknown(it) => ("failed", it.reason.as_str(), it.detail.clone()),
    };
    let call = &admitted.call;
    log::info!(
        target: "hibiscusdoor::request",
        request:% = call.request_id, route:% = call.route, service:% = call.service,
        organisation = call.organisation.as_deref().unwrap_or_default(),
        rank = call.rank, depth = call.depth, reason = reason,
        instance = ended.instance.as_deref().unwrap_or_default(), attempts = ended.attempts,
        configuration = configuration, took_ms = clock::millis(took),
        left_ms = clock::millis(call.deadline.saturating_sub(clock::now()));
        "{kind}: {detail}"
    );
}

/// Takes the headers out of the head; the host is in the authority then.
fn whole_request(parts: &mut Parts, body: Bytes) -> BufferedRequest {
    let authority = authority(parts).unwrap_or_default().into();
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str()).into();
    let mut headers = std::mem::take(&mut parts.headers);
    remove_connection_headers(&mut headers);
    headers.remove(header::HOST);
    BufferedRequest { method: parts.method.clone(), authority, path, headers, body }
}

/// Refuses a request that has crashed upstreams before it is charged.
fn refuse_quarantined<D: Dialect>(
    node: &Node<D>,
    admitted: Admitted,
    request: &BufferedRequest,
) -> Result<Admitted, EntryRefusal> {
    let crashes = node.guard.crashes.lock();
    if crashes.is_empty() {
        return Ok(admitted);
    }
    match crashes.quarantine_remaining(clock::now(), &fingerprint(&admitted.call, request)) {
        None => Ok(admitted),
        Some(retry_after) => {
            let detail = "the request has crashed upstreams".to_owned();
            Err(EntryRefusal { reason: Reason::Quarantined, detail, retry_after })
        }
    }
}

fn authority(parts: &Parts) -> Option<&str> {
    let host = parts.headers.get(header::HOST).and_then(|value| value.to_str().ok());
    host.or_else(|| parts.uri.authority().map(|authority| authority.as_str()))
}

/// The host that a caller names; routes name hosts without a port.
fn host(parts: &Parts) -> &str {
    authority(parts).unwrap_or_default().split(':').next().unwrap_or_default()
}

/// Why a request is refused at its entry.
struct EntryRefusal {
    reason: Reason,
    detail: String,
    retry_after: Duration,
}

impl EntryRefusal {
    fn new(reason: Reason, detail: impl Into<String>) -> Self {
        Self { reason, detail: detail.into(), retry_after: NOT_READY_RETRY_AFTER }
    }

    fn end(self, undispatched: Undispatched) -> NotRun {
        undispatched.refuse(self.reason, self.detail).retry_after(self.retry_after)
    }
}

fn admit<D: Dialect>(
    node: &Node<D>,
    head: &CallHead,
    parts: &Parts,
    arrived: Timestamp,
) -> Result<Admitted, EntryRefusal> {
    // Looked at before the configuration: a proof that came in between would be of a newer one.
    let keys_are_fresh = node.keys_are_fresh(clock::now());
    let Some(catalog) = node.catalog.load_full() else {
        return Err(EntryRefusal::new(Reason::NoLease, "no configuration was read yet"));
    };
    let Some(route) = catalog.route(host(parts), parts.uri.path()) else {
        let detail = format!("no route for {}{}", host(parts), parts.uri.path());
        return Err(EntryRefusal::new(Reason::NoRoute, detail));
    };
    let Some(request_id) = head.request_id.clone() else {
        return Err(EntryRefusal::new(Reason::BadRequest, "the request has no id"));
    };
    let organisation = organisation(&catalog, route, head, keys_are_fresh)?;
    let allowed = head.remaining.map_or(route.timeout, |remaining| remaining.min(route.timeout));
    let parent_id = D::parent_id(&request_id);
    let parent = parent_id.and_then(|id| node.guard.running.find(id));
    let organisation_name = organisation.as_ref().map(|it| it.name.clone());
    let mut call = Call {
        request_id: request_id.clone(),
        route: route.name.clone(),
        service: choose_service(route),
        organisation: organisation_name.clone(),
        caller_service: node.own_service(),
        deadline: arrived + allowed,
        idempotent: route.idempotent,
        rank: organisation.as_ref().and_then(|it| it.rank).unwrap_or(route.rank),
        root_organisation: organisation_name,
        depth: u32::from(parent_id.is_some()),
        repeated: false,
    };
    if let Some(parent) = &parent {
        let above = &parent.call;
        call.rank = above.rank;
        call.root_organisation = above.root_organisation.clone();
        call.depth = above.depth + 1;
        call.repeated = above.repeated;
    }
    Ok(Admitted { route: route.clone(), call, parent, organisation })
}

/// Charges a request to its organisation's rate and decides whether it begins.
async fn charge_and_begin<D: Dialect>(
    node: &Arc<Node<D>>,
    admitted: &Admitted,
) -> Result<Option<Charge>, EntryRefusal> {
    let route = &admitted.route;
    let charge = match &admitted.organisation {
        None => None,
        Some(organisation) => charge::charge(node, organisation, route.answer_within)
            .await
            .map_err(|no_token| match no_token {
                ChargeRefusal::OverRate { retry_after } => {
                    let detail = format!("{} is over its rate and burst", organisation.name);
                    EntryRefusal { reason: Reason::OverRate, detail, retry_after }
                }
                ChargeRefusal::HomeTimeout => {
                    let detail = format!("no token of {} came in time", organisation.name);
                    let retry_after = retry_after(route);
                    EntryRefusal { reason: Reason::Overload, detail, retry_after }
                }
            })?,
    };
    if admitted.call.depth > 0 {
        return Ok(charge);
    }
    match wait_to_begin(node, admitted).await {
        RootVerdict::Admit => Ok(charge),
        RootVerdict::Refuse { service, load } => {
            if let Some(charge) = charge {
                charge.refund(node);
            }
            Err(EntryRefusal {
                reason: Reason::Overload,
                detail: format!("the service {service} of the chain is full, load {load:.2}"),
                retry_after: retry_after(route),
            })
        }
    }
}

/// Decides whether a root begins; one that finds a service full waits for a short time.
async fn wait_to_begin<D: Dialect>(node: &Arc<Node<D>>, admitted: &Admitted) -> RootVerdict {
    let route = &admitted.route;
    let catalog = node.catalog.load_full();
    let urgency = catalog.as_ref().map_or(1.0, |it| it.urgency(admitted.call.rank));
    let give_up = clock::now() + MAX_ROOT_WAIT.min(route.answer_within / MAX_ROOT_WAIT_PART);
    loop {
        let now = clock::now();
        let verdict = match node.route_usage.lock().mean(&route.name) {
            Some(usage) => node.root_admission.lock().check(now, usage, urgency),
            None => RootVerdict::Admit,
        };
        if verdict == RootVerdict::Admit || now >= give_up {
            return verdict;
        }
        sleep(ROOT_WAIT_INTERVAL).await;
    }
}

fn retry_after(route: &Route) -> Duration {
    let part = rand::rng().random_range(RETRY_AFTER_PART);
    route.answer_within.mul_f64(part).max(MIN_RETRY_AFTER)
}

fn choose_service(route: &Route) -> ServiceName {
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

fn organisation(
    catalog: &Catalog,
    route: &Route,
    head: &CallHead,
    keys_are_fresh: bool,
) -> Result<Option<Arc<Organisation>>, EntryRefusal> {
    if route.open {
        return Ok(None);
    }
    if !keys_are_fresh {
        let detail = "the node cannot show that its configuration is current";
        return Err(EntryRefusal::new(Reason::NoLease, detail));
    }
    let Some(key) = &head.key else {
        return Err(EntryRefusal::new(Reason::UnknownKey, "the request carries no key"));
    };
    match catalog.key_holder(key) {
        Some(organisation) => Ok(Some(organisation.clone())),
        None => Err(EntryRefusal::new(Reason::UnknownKey, "the key is not in force")),
    }
}

/// Runs an admitted request and tells the request above it, or what decides on roots, of its use.
async fn run<D: Dialect>(
    node: &Arc<Node<D>>,
    admitted: &Admitted,
    request: BufferedRequest,
    undispatched: Undispatched,
    charge: Option<Charge>,
) -> CallResult {
    let mut ended =
        attempts::run(node, &admitted.route, &admitted.call, request, undispatched).await;
    let outcome = &mut ended.outcome;
    if let Some(charge) = charge.filter(|_| matches!(outcome, Outcome::NotRun(_))) {
        charge.refund(node);
    }
    let succeeded = matches!(outcome, Outcome::Whole(answer) if answer.status.is_success());
    if let Some(parent) = &admitted.parent {
        parent.call_ended(&ended.usage, ended.refused, !succeeded);
    }
    if succeeded {
        node.route_usage.lock().record(&admitted.call.route, &ended.usage);
    }
    if let Outcome::NotRun(not_run) = outcome {
        not_run.retry_after.get_or_insert_with(|| retry_after(&admitted.route));
    }
    ended
}

fn response<D: Dialect>(outcome: Outcome, request_id: Option<&str>) -> Response<Bytes> {
    let (status, retry_after, detail) = match outcome {
        Outcome::Whole(answer) => {
            let mut response = Response::new(answer.body);
            *response.status_mut() = answer.status;
            *response.headers_mut() = answer.headers;
            remove_connection_headers(response.headers_mut());
            return response;
        }
        Outcome::NotRun(not_run) => (refusal_status(&not_run), not_run.retry_after, not_run.detail),
        Outcome::Unknown(unknown) => (unknown.status(), None, unknown.detail),
    };
    let mut response = Response::new(Bytes::from(detail));
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
