//! The entry node's part of a request: route, key, rate, admission, attempts and the response.

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
        Call, CallHead, Catalog, ChainVerdict, Dialect, Node, Organisation, Origin, Rank,
        ReturnAdvice, RootVerdict, Route, RunningCall,
        attempts::{self, CallResult},
        charge::{self, Charge, ChargeRefusal},
        evacuation, fingerprint,
        pace::{self, PacedCharge},
        request::{BufferedRequest, remove_connection_headers},
        retry_rank,
    },
    names::ServiceName,
    store::ObjectVersion,
};

/// Range of the Retry-After of refused requests, as a fraction of the route's `answer_within`: early
/// enough for an answer in time, and randomised so that callers do not retry at the same moment.
const RETRY_AFTER_FRACTION: std::ops::Range<f64> = 0.25..0.75;
/// Shortest Retry-After of overload refusals.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Retry-After of refusals that do not compute their own, such as a missing configuration.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Longest time that a root request waits for spare capacity in the services of its call chain before
/// it is refused.
const MAX_ROOT_WAIT: Duration = Duration::from_millis(200);
/// The same limit as a divisor of the route's `answer_within`; the shorter of both applies.
const MAX_ROOT_WAIT_DIVISOR: u32 = 10;
/// Time between two checks of that capacity.
const ROOT_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Number of open connections above which a connection is closed after its last pending answer.
/// Refused callers retry on new connections and leave the old ones idle; in a burst these used all
/// 4,100 file descriptors of a machine, and callers waited four seconds to be accepted.
const CLOSE_ABOVE_CONNECTIONS: usize = 1_500;

/// Handles requests of callers on this machine and calls that the local upstream makes.
#[derive(Debug)]
pub struct CallerHandler<D: Dialect> {
    /// The entry node.
    pub node: Arc<Node<D>>,
    /// Bound on the connections of callers.
    pub max_connections: usize,
}

impl<D: Dialect> Clone for CallerHandler<D> {
    fn clone(&self) -> Self {
        Self { node: self.node.clone(), max_connections: self.max_connections }
    }
}

impl<D: Dialect> Handler for CallerHandler<D> {
    fn limits(&self) -> Limits {
        let limits = self.node.catalog.load().as_ref().map(|it| it.limits).unwrap_or_default();
        Limits {
            max_header_bytes: limits.max_header_bytes,
            max_body_bytes: limits.max_body_bytes,
            request_timeout: limits.header_timeout,
            idle_timeout: limits.idle_timeout,
            close_above_connections: CLOSE_ABOVE_CONNECTIONS.min(self.max_connections / 4 * 3),
        }
    }

    fn may_overlap(&self, head: &Parts) -> bool {
        let catalog = self.node.catalog.load();
        let route = catalog.as_ref().and_then(|it| it.route(host(head), head.uri.path()));
        // A request without a route is refused and does not run, so it is safe to repeat.
        route.is_none_or(|route| route.idempotent)
    }

    fn is_closing(&self) -> bool {
        self.node.is_leaving()
    }

    fn answer(
        &self,
        request: Request<Bytes>,
        arrived: Timestamp,
    ) -> impl Future<Output = Response<Bytes>> + Send + 'static {
        answer_request(self.node.clone(), request, arrived)
    }
}

/// A request with a known route and a valid key, where the route requires one.
struct Admitted {
    route: Arc<Route>,
    call: Call,
    /// The request that the local upstream was running when it made this call.
    parent: Option<Arc<RunningCall>>,
    /// Organisation that is charged for the request; `None` on open routes.
    organisation: Option<Arc<Organisation>>,
}

/// What a request was charged for before it begins.
#[derive(Default)]
struct Charges {
    rate: Option<Charge>,
    paced: PacedCharge,
}

impl Charges {
    /// Returns the charges of a request that did not begin.
    fn refund<D: Dialect>(self, node: &Node<D>) {
        self.paced.refund(node);
        if let Some(charge) = self.rate {
            charge.refund(node);
        }
    }
}

/// Answers a request of a caller or of the local upstream.
async fn answer_request<D: Dialect>(
    node: Arc<Node<D>>,
    request: Request<Bytes>,
    arrived: Timestamp,
) -> Response<Bytes> {
    let (mut parts, body) = request.into_parts();
    let head = D::take_call_head(&mut parts.headers);
    let request_id = head.request_id.clone();
    let undispatched = Undispatched::new(true);
    let admitted = admit(&node, &head, &parts, arrived);
    let request = take_buffered_request(&mut parts, body);
    let mut admitted = admitted.and_then(|it| refuse_quarantined(&node, it, &request));
    let charged = match &mut admitted {
        Ok(admitted) => charge_and_admit_root(&node, admitted).await,
        Err(_) => Ok(Charges::default()),
    };
    let (admitted, charges) = match (admitted, charged) {
        (Ok(admitted), Ok(charges)) => (admitted, charges),
        (Err(refusal), _) | (_, Err(refusal)) => {
            let not_run = refusal.into_not_run(undispatched);
            log::info!(
                target: "hibiscusdoor::request",
                request = request_id.as_deref().unwrap_or_default(), path = parts.uri.path(),
                reason = not_run.reason.as_str(), configuration = node.catalog_version();
                "refused: {}", not_run.detail
            );
            let outcome = Outcome::NotRun(not_run);
            let origin = request_origin::<D>(request_id.as_deref());
            node.metrics.record_request(origin, &outcome, clock::now().saturating_sub(arrived));
            return to_response::<D>(outcome, request_id.as_deref());
        }
    };
    let mut abandon_log = AbandonLog { call: &admitted.call, is_finished: false };
    let result = run_admitted(&node, &admitted, request, undispatched, charges).await;
    abandon_log.is_finished = true;
    let took = clock::now().saturating_sub(arrived);
    node.metrics.record_request(request_origin::<D>(request_id.as_deref()), &result.outcome, took);
    log_result(&admitted, &result, took, node.catalog_version());
    to_response::<D>(result.outcome, request_id.as_deref())
}

/// Logs a request as abandoned if it is dropped before it has finished, since its caller has closed the
/// connection.
struct AbandonLog<'a> {
    call: &'a Call,
    is_finished: bool,
}

impl Drop for AbandonLog<'_> {
    fn drop(&mut self) {
        if self.is_finished {
            return;
        }
        let call = self.call;
        log::info!(
            target: "hibiscusdoor::request",
            request:% = call.request_id, route:% = call.route, service:% = call.service,
            depth = call.depth, left_ms = clock::to_millis(call.deadline.saturating_sub(clock::now()));
            "abandoned: the caller has gone"
        );
    }
}

/// Where a request comes from, according to the form of its id.
fn request_origin<D: Dialect>(request_id: Option<&str>) -> Origin {
    match request_id.and_then(D::parent_id) {
        Some(_) => Origin::Upstream,
        None => Origin::Caller,
    }
}

fn log_result(
    admitted: &Admitted,
    result: &CallResult,
    took: Duration,
    configuration: ObjectVersion,
) {
    let (kind, reason, detail) = match &result.outcome {
        Outcome::Whole(answer) => ("answered", "", answer.status.to_string()),
        Outcome::NotRun(it) => ("refused", it.reason.as_str(), it.detail.clone()),
        Outcome::Unknown(it) => ("failed", it.reason.as_str(), it.detail.clone()),
    };
    let call = &admitted.call;
    log::info!(
        target: "hibiscusdoor::request",
        request:% = call.request_id, route:% = call.route, service:% = call.service,
        organisation = call.organisation.as_deref().unwrap_or_default(),
        rank = call.rank.organisation, route_rank = call.rank.route, depth = call.depth,
        reason = reason,
        instance = result.instance.as_deref().unwrap_or_default(), attempts = result.attempts,
        configuration = configuration, took_ms = clock::to_millis(took),
        left_ms = clock::to_millis(call.deadline.saturating_sub(clock::now()));
        "{kind}: {detail}"
    );
}

/// Makes a request to forward, with the headers moved out of `parts` and the host as its authority.
fn take_buffered_request(parts: &mut Parts, body: Bytes) -> BufferedRequest {
    let authority = authority(parts).unwrap_or_default().into();
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str()).into();
    let mut headers = std::mem::take(&mut parts.headers);
    remove_connection_headers(&mut headers);
    headers.remove(header::HOST);
    BufferedRequest { method: parts.method.clone(), authority, path, headers, body }
}

/// Refuses a quarantined request, one that was running at several crashes of upstreams, before its
/// organisation is charged.
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
            let retry_after = Some(retry_after);
            Err(EntryRefusal { reason: Reason::Quarantined, detail, retry_after })
        }
    }
}

fn authority(parts: &Parts) -> Option<&str> {
    let host = parts.headers.get(header::HOST).and_then(|value| value.to_str().ok());
    host.or_else(|| parts.uri.authority().map(|authority| authority.as_str()))
}

/// Host that the caller named, without the port: routes match hosts without one.
fn host(parts: &Parts) -> &str {
    authority(parts).unwrap_or_default().split(':').next().unwrap_or_default()
}

/// Refusal of a request at its entry node.
struct EntryRefusal {
    reason: Reason,
    detail: String,
    /// `None` if the caller should not return.
    retry_after: Option<Duration>,
}

impl EntryRefusal {
    fn new(reason: Reason, detail: impl Into<String>) -> Self {
        Self { reason, detail: detail.into(), retry_after: Some(DEFAULT_RETRY_AFTER) }
    }

    fn into_not_run(self, undispatched: Undispatched) -> NotRun {
        let not_run = undispatched.refuse(self.reason, self.detail);
        NotRun { retry_after: self.retry_after, ..not_run }
    }
}

/// Checks the route and the key, and finds the request that the call is nested in.
fn admit<D: Dialect>(
    node: &Node<D>,
    head: &CallHead,
    parts: &Parts,
    arrived: Timestamp,
) -> Result<Admitted, EntryRefusal> {
    // Checked before the configuration is loaded: a freshness proof recorded in between could belong to
    // a newer configuration than the loaded one.
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
    let organisation = authenticate(&catalog, route, head, keys_are_fresh)?;
    let time_limit = head.remaining.map_or(route.timeout, |remaining| remaining.min(route.timeout));
    let parent_id = D::parent_id(&request_id);
    let parent = parent_id.and_then(|id| node.guard.running.find(id));
    let organisation_name = organisation.as_ref().map(|it| it.name.clone());
    let mut call = Call {
        request_id: request_id.clone(),
        route: route.name.clone(),
        service: choose_service(route),
        organisation: organisation_name.clone(),
        caller_service: node.own_service(),
        deadline: arrived + time_limit,
        idempotent: route.idempotent,
        rank: Rank {
            organisation: organisation.as_ref().and_then(|it| it.rank).unwrap_or(route.rank),
            route: route.rank,
        },
        root_organisation: organisation_name,
        depth: u32::from(parent_id.is_some()),
        repeated: false,
        reservation: None,
    };
    if let Some(parent) = &parent {
        let parent_call = &parent.call;
        call.rank = parent_call.rank;
        call.root_organisation = parent_call.root_organisation.clone();
        call.depth = parent_call.depth + 1;
        call.repeated = parent_call.repeated;
        call.reservation = parent_call.reservation.clone();
    } else if let Some(stop) = node.planned_stop()
        && !stop.takes(arrived, call.deadline)
    {
        // Calls of requests that the upstream is running are taken, as those requests would fail.
        return Err(EntryRefusal {
            reason: Reason::Leaving,
            detail: "the node stops before the request may have ended".to_owned(),
            retry_after: Some(stop.ends_at().saturating_sub(arrived).max(DEFAULT_RETRY_AFTER)),
        });
    }
    Ok(Admitted { route: route.clone(), call, parent, organisation })
}

/// Charges a request to its organisation's rate and, if it is a root request, decides whether it is
/// admitted.
async fn charge_and_admit_root<D: Dialect>(
    node: &Arc<Node<D>>,
    admitted: &mut Admitted,
) -> Result<Charges, EntryRefusal> {
    let route = &admitted.route;
    let charge = match &admitted.organisation {
        None => None,
        Some(organisation) => charge::charge(node, organisation, route.answer_within)
            .await
            .map_err(|refusal| match refusal {
                ChargeRefusal::OverRate { retry_after } => {
                    let detail = format!("{} is over its rate and burst", organisation.name);
                    let retry_after = Some(retry_after);
                    EntryRefusal { reason: Reason::OverRate, detail, retry_after }
                }
                ChargeRefusal::HomeTimeout => {
                    let detail = format!("no token of {} came in time", organisation.name);
                    let retry_after = Some(retry_after(route));
                    EntryRefusal { reason: Reason::Overload, detail, retry_after }
                }
            })?,
    };
    let mut charges = Charges { rate: charge, ..Charges::default() };
    if admitted.call.depth > 0 {
        return Ok(charges);
    }
    match admit_root(node, admitted, &mut charges).await {
        Ok(()) => Ok(charges),
        Err(refusal) => {
            charges.refund(node);
            Err(refusal)
        }
    }
}

/// Decides whether a root request begins, and adds what it is charged for besides its rate.
async fn admit_root<D: Dialect>(
    node: &Arc<Node<D>>,
    admitted: &mut Admitted,
    charges: &mut Charges,
) -> Result<(), EntryRefusal> {
    charges.paced = admit_by_pace(node, admitted)?;
    match begin_chain(node, &admitted.call) {
        ChainVerdict::Begin(reservation) => admitted.call.reservation = reservation,
        ChainVerdict::Refuse { service, refused_share } => {
            return Err(EntryRefusal {
                reason: Reason::Overload,
                detail: format!(
                    "the service {service} of the chain refuses {:.0} in 100 requests, and the bound \
                     on retries leaves none for the chain",
                    refused_share * 100.0
                ),
                retry_after: Some(retry_after(&admitted.route)),
            });
        }
    }
    match wait_for_root_admission(node, admitted).await {
        RootVerdict::Admit => Ok(()),
        RootVerdict::Refuse { service, load } => {
            if let Some(reservation) = &admitted.call.reservation {
                node.chain_admission.lock().refund(reservation);
            }
            Err(EntryRefusal {
                reason: Reason::Overload,
                detail: format!("the service {service} of the chain is full, load {load:.2}"),
                retry_after: Some(promise_return(node, admitted)),
            })
        }
    }
}

/// Decides whether the services that a root request's chain uses have instances outside of evacuated zones,
/// and, where all of them are cold, whether it fits into what they accept.
fn admit_by_pace<D: Dialect>(
    node: &Node<D>,
    admitted: &Admitted,
) -> Result<PacedCharge, EntryRefusal> {
    if let Some((service, retry_after)) = evacuation::refuse_root(node, &admitted.call) {
        let detail = format!("all upstreams of the service {service} are in evacuated zones");
        let retry_after = Some(retry_after);
        return Err(EntryRefusal { reason: Reason::NoUpstream, detail, retry_after });
    }
    let catalog = node.catalog.load();
    let urgency = catalog.as_ref().map_or(1.0, |it| it.urgency(admitted.call.rank));
    pace::admit_root(node, &admitted.call, urgency).map_err(|refusal| EntryRefusal {
        reason: Reason::Overload,
        detail: format!("all upstreams of the service {} are cold", refusal.service),
        retry_after: Some(refusal.retry_after.max(MIN_RETRY_AFTER)),
    })
}

/// Retry-After of a root request that was refused since a service is full: a time with room, or the whole
/// time that the caller has left if there is no room within it.
fn promise_return<D: Dialect>(node: &Node<D>, admitted: &Admitted) -> Duration {
    if !node.admits_chains() {
        return retry_after(&admitted.route);
    }
    let (now, call) = (clock::now(), &admitted.call);
    let organisation = call.organisation.as_ref();
    let advice =
        node.returns.lock().promise(now, &call.route, organisation, MIN_RETRY_AFTER, call.deadline);
    node.metrics.record_return(advice);
    match advice {
        ReturnAdvice::Unknown => retry_after(&admitted.route),
        ReturnAdvice::After(delay) => delay,
        ReturnAdvice::NoRoom => call.deadline.saturating_sub(now).max(MIN_RETRY_AFTER),
    }
}

/// Decides whether a call chain begins while services that it uses refuse a part of their requests.
fn begin_chain<D: Dialect>(node: &Node<D>, call: &Call) -> ChainVerdict {
    if !node.admits_chains() {
        return ChainVerdict::Begin(None);
    }
    let now = clock::now();
    let route_usage = node.route_usage.lock();
    let Some(usage) = route_usage.mean(&call.route) else { return ChainVerdict::Begin(None) };
    let urgency = node.catalog.load().as_ref().map_or(1.0, |it| it.urgency(call.rank));
    let retry_rank = retry_rank(urgency, &call.request_id);
    let organisation = call.organisation.as_ref();
    let is_below_floor = node.root_floor.lock().is_below(&call.route, organisation);
    let fleet_size = node.members.load().live_len();
    let refusals = node.refusals.lock();
    let mut chain_admission = node.chain_admission.lock();
    let verdict =
        chain_admission.try_begin(now, usage, &refusals, fleet_size, retry_rank, is_below_floor);
    if matches!(verdict, ChainVerdict::Refuse { .. }) {
        node.root_floor.lock().record(now, &call.route, organisation, false);
    }
    verdict
}

/// Decides whether a root request is admitted. If a service of its call chain is overloaded, the
/// decision is repeated for up to [`MAX_ROOT_WAIT`].
async fn wait_for_root_admission<D: Dialect>(
    node: &Arc<Node<D>>,
    admitted: &Admitted,
) -> RootVerdict {
    let route = &admitted.route;
    let catalog = node.catalog.load_full();
    let urgency = catalog.as_ref().map_or(1.0, |it| it.urgency(admitted.call.rank));
    let organisation = admitted.call.organisation.as_ref();
    let deadline = admitted.call.deadline;
    let is_promised = node.admits_chains()
        && node.returns.lock().claim(clock::now(), &route.name, organisation, deadline);
    if is_promised {
        node.metrics.record_return_admitted();
    }
    let give_up_at = clock::now() + MAX_ROOT_WAIT.min(route.answer_within / MAX_ROOT_WAIT_DIVISOR);
    loop {
        let now = clock::now();
        let verdict = {
            let route_usage = node.route_usage.lock();
            let Some(usage) = route_usage.mean(&route.name) else { return RootVerdict::Admit };
            let mut root_admission = node.root_admission.lock();
            match root_admission.try_admit_for(now, usage, urgency, organisation) {
                RootVerdict::Refuse { .. }
                    if is_promised
                        || node.root_floor.lock().is_below(&route.name, organisation) =>
                {
                    root_admission.charge(now, usage);
                    RootVerdict::Admit
                }
                verdict => verdict,
            }
        };
        let is_admitted = verdict == RootVerdict::Admit;
        if is_admitted || now >= give_up_at {
            node.root_floor.lock().record(now, &route.name, organisation, is_admitted);
            if node.admits_chains() {
                node.returns.lock().record(now, &route.name, organisation, is_admitted);
                if let Some(usage) = node.route_usage.lock().mean(&route.name) {
                    let mut root_admission = node.root_admission.lock();
                    root_admission.record_decision(now, usage, urgency, organisation, is_admitted);
                }
            }
            return verdict;
        }
        sleep(ROOT_CHECK_INTERVAL).await;
    }
}

fn retry_after(route: &Route) -> Duration {
    let fraction = rand::rng().random_range(RETRY_AFTER_FRACTION);
    route.answer_within.mul_f64(fraction).max(MIN_RETRY_AFTER)
}

/// Chooses one of the route's destinations at random by weight.
fn choose_service(route: &Route) -> ServiceName {
    let total_weight: f64 = route.destinations.iter().map(|it| it.weight).sum();
    let mut remaining = rand::random::<f64>() * total_weight;
    for destination in &route.destinations {
        remaining -= destination.weight;
        if remaining < 0.0 {
            return destination.service.clone();
        }
    }
    route.destinations[route.destinations.len() - 1].service.clone()
}

/// Finds the organisation that the request's key belongs to; `None` on open routes.
fn authenticate(
    catalog: &Catalog,
    route: &Route,
    head: &CallHead,
    keys_are_fresh: bool,
) -> Result<Option<Arc<Organisation>>, EntryRefusal> {
    if route.open || !catalog.needs_keys() {
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

/// Runs an admitted request, refunds its charge if it did not run, and records its usage for its
/// parent request and for root admission.
async fn run_admitted<D: Dialect>(
    node: &Arc<Node<D>>,
    admitted: &Admitted,
    request: BufferedRequest,
    undispatched: Undispatched,
    charges: Charges,
) -> CallResult {
    let mut result =
        attempts::run(node, &admitted.route, &admitted.call, request, undispatched).await;
    let was_refused = result.was_refused;
    let outcome = &mut result.outcome;
    charges.paced.record_result(node, was_refused);
    if let Some(charge) = charges.rate.filter(|_| matches!(outcome, Outcome::NotRun(_))) {
        charge.refund(node);
    }
    let succeeded = matches!(outcome, Outcome::Whole(answer) if answer.status.is_success());
    if let Some(parent) = &admitted.parent {
        parent.record_nested_call(&result.usage, result.was_refused, !succeeded);
    }
    let reservation = admitted.call.reservation.as_deref();
    if admitted.call.depth == 0 && (node.admits_chains() || reservation.is_some()) {
        let mut chain_admission = node.chain_admission.lock();
        chain_admission.record_end(clock::now(), &result.usage, reservation);
    }
    if succeeded {
        node.route_usage.lock().record(&admitted.call.route, &result.usage);
    }
    if let Outcome::NotRun(not_run) = outcome {
        not_run.retry_after.get_or_insert_with(|| retry_after(&admitted.route));
    }
    result
}

fn to_response<D: Dialect>(outcome: Outcome, request_id: Option<&str>) -> Response<Bytes> {
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
        // No upstream has run the request, and the caller may still have time beyond the route's timeout.
        Reason::DeadlinePassed | Reason::InProgress => StatusCode::SERVICE_UNAVAILABLE,
        _ => not_run.status(),
    }
}

fn is_retryable(status: StatusCode) -> bool {
    matches!(status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS)
}
