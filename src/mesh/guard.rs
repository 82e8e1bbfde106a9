//! Access to the node's local upstream: admission, dispatch, and the check of the answer.

use std::{
    collections::HashMap,
    marker::PhantomData,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwapOption;
use bytes::Bytes;
use http::{HeaderValue, Request, header, response::Parts};
use http_body_util::Full;
use parking_lot::Mutex;
use prometheus_client::metrics::counter::Counter;
use tokio::{sync::Notify, time::timeout};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::{
    admission::{
        AdmissionRequest, ColdRate, Completion, Gate, GateStatus, LearnedPace, MeanTime, NamedRate,
        PaceReport, Refusal, Slot, SlotLimit,
    },
    call::{Answer, Dispatch, NotRun, Outcome, Reason, Undispatched, Unknown},
    clock,
    http_client::{
        ConnectFailure, ConnectRequest, Connection, ConnectionPool, OpenCounts, PoolLimits, Reuse,
        SendFailure,
    },
    memory::MemoryBudget,
    mesh::{
        AnswerHead, Call, Crashes, Dialect, Heartbeat, LoadReport, RefusalMeter, RunningCalls,
        Upstream, UpstreamHead, UpstreamSpeed, Usage, crash_check::CrashDetector, fingerprint,
        request::BufferedRequest,
    },
    names::InstanceName,
    once::Fingerprint,
};

/// Connections that were idle for longer are not reused: upstreams close idle connections after 10 s,
/// unless their answers state another time.
const MAX_IDLE_TIME: Duration = Duration::from_secs(8);
/// The same for requests that must not run twice. If the upstream has closed the connection unnoticed,
/// such a request cannot be sent again.
const MAX_NON_IDEMPOTENT_IDLE_TIME: Duration = Duration::from_secs(2);
/// Time for which a connection is not used after a refusal, which a faulty upstream may send twice.
const REFUSAL_PAUSE: Duration = Duration::from_millis(100);
/// The same for requests that must not run twice: a copy that arrives after it makes their outcome
/// unknown.
const NON_IDEMPOTENT_REFUSAL_PAUSE: Duration = Duration::from_secs(1);
/// Limits of the connections to the upstream and its answers.
const POOL_LIMITS: PoolLimits =
    PoolLimits { max_idle: 512, max_idle_time: MAX_IDLE_TIME, max_body_bytes: 32 << 20 };
/// Connections of the upstream that the node leaves free.
const SPARE_CONNECTIONS: usize = 2;
/// Time after the upstream's announcement that it is leaving in which requests already in transit are
/// still sent to it; the platform allows twice as long.
const LEAVE_GRACE: Duration = Duration::from_secs(1);
/// Time after the deadline in which an answer is still awaited: an upstream that stops at the deadline
/// sends its answer shortly after it.
pub const ANSWER_GRACE: Duration = Duration::from_millis(100);
/// Time between two checks whether the upstream still runs requests.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Weight of a new sample in the mean time of a route's requests.
const ROUTE_TIME_WEIGHT: f64 = 0.1;

const EVACUATED_DETAIL: &str = "the availability zone is evacuated, or its state is not known yet";
/// Time of an answer, as a multiple of the mean of its route, above which it is slow.
const SLOW_FACTOR: f64 = 2.5;
/// Slow answers in succession after which the upstream is asked whether it is cold.
const SLOW_ANSWERS: u32 = 3;

/// Result of a request at the guard of an upstream.
#[derive(Debug)]
pub struct GuardResult {
    /// Outcome of the request.
    pub outcome: Outcome,
    /// Whether the upstream received the request; it may have refused it.
    pub reached_upstream: bool,
    /// Load of the upstream, if it has announced itself.
    pub load: Option<LoadReport>,
    /// Share of requests that the upstream refuses without running them, if it is significant.
    pub refused_share: f64,
    /// Id of the upstream, if its answer states that it is leaving.
    pub leaving_upstream: Option<InstanceName>,
    /// Usage of services by the request and its nested calls.
    pub usage: Usage,
    /// Whether a nested call was refused for overload.
    pub refused_below: bool,
    /// Whether a nested call has not succeeded.
    pub failed_below: bool,
}

impl GuardResult {
    /// Result of a request that did not reach the upstream.
    pub fn from_outcome(outcome: Outcome) -> Self {
        Self {
            outcome,
            reached_upstream: false,
            load: None,
            refused_share: 0.0,
            leaving_upstream: None,
            usage: Usage::default(),
            refused_below: false,
            failed_below: false,
        }
    }
}

/// Admits requests to the node's local upstream, sends them and checks the answers.
#[derive(Debug)]
pub struct Guard<D> {
    /// Requests that the upstream is running.
    pub running: RunningCalls,
    /// Tasks of requests that must not run twice; they complete even if their caller disconnects.
    pub tasks: TaskTracker,
    upstream: ArcSwapOption<Upstream>,
    gate: Gate<SlotLimit>,
    connections: ConnectionPool,
    /// Requests that were running when upstreams crashed, and those quarantined for it.
    pub crashes: Mutex<Crashes>,
    crash_check: CrashDetector,
    /// Requests that were sent to the upstream.
    pub sent: Counter,
    /// Limit that the upstream's last answer named.
    named_rate: Mutex<NamedRate>,
    /// Share of requests that the upstream refuses.
    refusals: Mutex<RefusalMeter>,
    /// Current speed of the upstream, if it reports it.
    speed: Mutex<UpstreamSpeed>,
    /// Mean time of each route's requests.
    route_times: Mutex<HashMap<Arc<str>, MeanTime>>,
    /// What the upstream tolerates while it is cold.
    cold_rate: Mutex<Option<ColdRate>>,
    /// Notified at a sign that the upstream may have become cold.
    pub cold_sign: Notify,
    /// Slow answers in succession.
    slow_answers: AtomicU32,
    /// Whether requests are refused since the zone of the upstream is evacuated, or not known not to be.
    is_evacuated: AtomicBool,
    /// Whether the pace of the upstream is learned from its answers.
    learns_pace: AtomicBool,
    /// Set when the node is stopping.
    refuses_requests: AtomicBool,
    dialect: PhantomData<D>,
}

impl<D: Dialect> Guard<D> {
    /// Creates a guard without an upstream; the bodies of answers are reserved in `memory`.
    pub fn new(memory: Arc<MemoryBudget>) -> Self {
        Self {
            running: RunningCalls::default(),
            tasks: TaskTracker::new(),
            upstream: ArcSwapOption::empty(),
            gate: Gate::default(),
            connections: ConnectionPool::new(POOL_LIMITS, memory),
            crashes: Mutex::default(),
            crash_check: CrashDetector::default(),
            sent: Counter::default(),
            named_rate: Mutex::default(),
            refusals: Mutex::default(),
            speed: Mutex::default(),
            route_times: Mutex::default(),
            cold_rate: Mutex::default(),
            cold_sign: Notify::new(),
            slow_answers: AtomicU32::new(0),
            is_evacuated: AtomicBool::new(false),
            learns_pace: AtomicBool::new(false),
            refuses_requests: AtomicBool::new(false),
            dialect: PhantomData,
        }
    }
}

/// An admitted request with its slot and connection, ready to be sent.
struct PreparedRequest<'a> {
    upstream: Arc<Upstream>,
    connection: Connection,
    message: Request<Full<Bytes>>,
    fingerprint: Fingerprint,
    slot: Slot<'a, SlotLimit>,
}

impl<D: Dialect> Guard<D> {
    /// Memory of answers and of large messages of other nodes.
    pub fn memory(&self) -> &Arc<MemoryBudget> {
        self.connections.memory()
    }

    /// The current upstream, also while it is leaving.
    pub fn upstream(&self) -> Option<Arc<Upstream>> {
        self.upstream.load_full()
    }

    /// Replaces the upstream, and resets the admission limit if its number of slots has changed.
    pub fn set_upstream(&self, upstream: Upstream) {
        let slots = upstream.heartbeat.slots;
        let (id, started_unix_ms) =
            (upstream.heartbeat.upstream.clone(), upstream.heartbeat.started_unix_ms);
        let before = self.upstream.load_full();
        // The start of an upstream that was found by a health request is unknown.
        let is_same_start = |known: &Heartbeat| {
            known.upstream == id && [0, started_unix_ms].contains(&known.started_unix_ms)
        };
        if before.as_ref().is_some_and(|before| !is_same_start(&before.heartbeat)) {
            self.gate.reset_rate();
            *self.speed.lock() = UpstreamSpeed::default();
        }
        if before.as_ref().is_none_or(|before| before.heartbeat.slots != slots) {
            self.gate.on_announcement(slots);
        }
        self.gate.set_cold_rate(*self.cold_rate.lock());
        self.set_learns_pace(self.learns_pace.load(Ordering::Acquire));
        let is_back = before.as_ref().is_some_and(|before| {
            !is_same_start(&before.heartbeat) || (upstream.is_ready() && !before.is_ready())
        });
        if is_back || before.is_none() {
            self.gate.update_learned(|learned, now| {
                learned.set_slots(slots);
                learned.begin(now);
            });
        }
        if before.as_ref().is_none_or(|before| !is_same_start(&before.heartbeat)) {
            let is_current = before.is_some_and(|it| it.heartbeat.started_unix_ms != 0);
            let remaining = upstream.cold_until.saturating_sub(clock::now());
            self.gate.record_cold(remaining, is_current);
        }
        self.upstream.store(Some(Arc::new(upstream)));
    }

    /// Sets what the upstream tolerates while it is cold; `None` if its service has no cold rate.
    pub fn set_cold_rate(&self, rate: Option<ColdRate>) {
        *self.cold_rate.lock() = rate;
        self.gate.set_cold_rate(rate);
    }

    /// What the upstream tolerates while it is cold; `None` if its service has no cold rate.
    pub fn cold_rate(&self) -> Option<ColdRate> {
        *self.cold_rate.lock()
    }

    /// Records the statement of a heartbeat that the upstream is cold for this time. The heartbeat may
    /// have been sent before a sign that the upstream has crashed.
    pub fn record_cold_heartbeat(&self, remaining: Duration) {
        self.gate.record_cold(remaining, false);
    }

    /// Records the same statement of an answer to a health check.
    pub fn record_cold_answer(&self, remaining: Duration) {
        self.gate.record_cold(remaining, true);
    }

    /// Requests per second that the upstream accepts while it is cold, and the time for which it is;
    /// `None` while it is warm.
    pub fn cold_pace(&self) -> Option<PaceReport> {
        self.gate.cold_pace()
    }

    /// Must be called several times a second; returns whether the process was paused before.
    pub fn tick_cold(&self) -> bool {
        self.gate.tick_cold()
    }

    /// Sets whether the pace of the upstream is learned from its answers.
    pub fn set_learns_pace(&self, is_enabled: bool) {
        self.learns_pace.store(is_enabled, Ordering::Release);
        self.gate.update_learned(|learned, _| learned.set_enabled(is_enabled));
    }

    /// Sets whether requests are refused since the zone of the upstream is evacuated.
    pub fn set_evacuated(&self, is_evacuated: bool) {
        let was_evacuated = self.is_evacuated.swap(is_evacuated, Ordering::AcqRel);
        if was_evacuated && !is_evacuated {
            self.gate.update_learned(|learned, now| learned.begin(now));
        }
    }

    /// Whether requests are refused since the zone of the upstream is evacuated.
    pub fn is_evacuated(&self) -> bool {
        self.is_evacuated.load(Ordering::Acquire)
    }

    /// Refuses new requests from now on, since the node is stopping.
    pub fn refuse_new(&self) {
        self.refuses_requests.store(true, Ordering::Release);
    }

    /// Waits until the upstream runs no request of this node.
    pub async fn wait_until_idle(&self) {
        while !self.running.is_empty() {
            tokio::time::sleep(IDLE_CHECK_INTERVAL).await;
        }
    }

    /// Running and waiting requests and the limit of the admission gate; `None` before the upstream has
    /// announced itself.
    pub fn gate_status(&self) -> Option<GateStatus> {
        self.gate.status()
    }

    /// Sets the number of connections that the upstream accepts; 0 where it is unknown.
    pub fn set_max_connections(&self, max_connections: u32) {
        let max_open = (max_connections > 0).then_some(max_connections as usize);
        self.connections.set_max_open(max_open.map(|it| {
            // The upstream notices the end of a connection later than the node, and the checks for
            // crashes also open connections.
            it - SPARE_CONNECTIONS.min(it / 8)
        }));
    }

    /// Counts of opened connections to the upstream by reason.
    pub fn opened_connections(&self) -> &OpenCounts {
        self.connections.opened()
    }

    /// Limit that the upstream's last answer named.
    pub fn named_rate(&self) -> NamedRate {
        *self.named_rate.lock()
    }

    /// Records a limit of the upstream that another node knows from an earlier answer.
    pub fn record_relayed_rate(&self, per_s: f64) {
        self.gate.record_relayed_rate(per_s);
    }

    /// Starts requests that wait for the rate limit of the upstream; never returns.
    pub async fn start_at_rate(&self) {
        self.gate.start_at_rate().await;
    }

    /// Sets the fraction of the limit on running requests that is used.
    pub fn set_limit_factor(&self, factor: f64) {
        self.gate.set_limit_factor(factor);
    }

    /// Sends a request of the node itself to the upstream, without admission.
    pub async fn query_upstream(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<Answer, String> {
        let connect = ConnectRequest {
            address,
            max_idle_time: Duration::MAX,
            refusal_pause: REFUSAL_PAUSE,
            request_id: None,
        };
        let connection = self.connections.connect(connect).await;
        let connection = connection.map_err(|failure| failure.to_string())?;
        let sent = self.connections.send(connection, request, |_, _| Ok(Reuse::Keep)).await;
        sent.map_err(|failure| match failure {
            SendFailure::Unsent(_, detail) | SendFailure::Incomplete(detail) => detail,
        })
    }

    /// Runs one request at the upstream.
    ///
    /// A request that must not run twice runs in its own task, so that it completes after it has been
    /// sent even if its caller disconnects. Any other request is cancelled with its caller.
    pub async fn run(
        self: &Arc<Self>,
        call: Call,
        request: BufferedRequest,
        undispatched: Undispatched,
    ) -> GuardResult {
        let route = call.route.clone();
        let mut result = match call.idempotent {
            true => self.run_to_end(call, request, undispatched, CancellationToken::new()).await,
            false => {
                let cancelled = CancellationToken::new();
                let _cancel_with_caller = cancelled.clone().drop_guard();
                let guard = self.clone();
                let task = self.tasks.spawn(async move {
                    guard.run_to_end(call, request, undispatched, cancelled).await
                });
                task.await.unwrap_or_else(|error| {
                    let detail = format!("the task of the request failed: {error}");
                    let unknown = Unknown { reason: Reason::UpstreamFailed, detail };
                    GuardResult {
                        reached_upstream: true,
                        ..GuardResult::from_outcome(Outcome::Unknown(unknown))
                    }
                })
            }
        };
        result.load = self.load_report(&route);
        result.refused_share = self.refusals.lock().share(clock::now());
        result
    }

    async fn run_to_end(
        &self,
        call: Call,
        request: BufferedRequest,
        undispatched: Undispatched,
        cancelled: CancellationToken,
    ) -> GuardResult {
        match self.prepare(&call, request, undispatched, &cancelled).await {
            Ok((prepared, undispatched)) => self.dispatch(prepared, call, undispatched).await,
            Err(not_run) => GuardResult::from_outcome(Outcome::NotRun(not_run)),
        }
    }

    async fn prepare(
        &self,
        call: &Call,
        request: BufferedRequest,
        undispatched: Undispatched,
        cancelled: &CancellationToken,
    ) -> Result<(PreparedRequest<'_>, Undispatched), NotRun> {
        if self.is_evacuated() {
            return Err(undispatched.refuse(Reason::Leaving, EVACUATED_DETAIL));
        }
        if self.serving_upstream(call).is_none() {
            return Err(undispatched.refuse(Reason::NoUpstream, "no upstream of the service here"));
        }
        let fingerprint = fingerprint(call, &request);
        if self.crashes.lock().quarantine_remaining(clock::now(), &fingerprint).is_some() {
            let detail = "the request has crashed upstreams";
            return Err(undispatched.refuse(Reason::Quarantined, detail));
        }
        let admission_request = AdmissionRequest {
            importance: call.rank.importance(),
            organisation: call.root_organisation.clone(),
            is_nested_call: call.depth > 0,
            deadline: call.deadline,
            own_time: Some(self.mean_route_time(&call.route)),
        };
        let admission = tokio::select! {
            admission = self.gate.admit(admission_request) => admission,
            () = cancelled.cancelled() => Err(Refusal::DeadlinePassed),
        };
        let slot = match admission {
            Ok(slot) => slot,
            Err(Refusal::Overload) => {
                return Err(undispatched.refuse(Reason::Overload, "the upstream is full"));
            }
            Err(Refusal::DeadlinePassed) => {
                let detail = "the answer could not come before the deadline";
                return Err(undispatched.refuse(Reason::DeadlinePassed, detail));
            }
        };
        if self.is_evacuated() {
            return Err(undispatched.refuse(Reason::Leaving, EVACUATED_DETAIL));
        }
        let Some(upstream) = self.serving_upstream(call) else {
            return Err(undispatched.refuse(Reason::Leaving, "the upstream has left"));
        };
        let (max_idle_time, refusal_pause) = match call.idempotent {
            true => (Duration::MAX, REFUSAL_PAUSE),
            false => (MAX_NON_IDEMPOTENT_IDLE_TIME, NON_IDEMPOTENT_REFUSAL_PAUSE),
        };
        let connect = ConnectRequest {
            address: upstream.heartbeat.address,
            max_idle_time,
            refusal_pause,
            request_id: Some(&call.request_id),
        };
        let connected = self.connections.connect(connect).await;
        let connection = match connected {
            Ok(connection) => connection,
            Err(failure) => {
                if matches!(failure, ConnectFailure::Refused) {
                    self.gate.assume_cold();
                    self.cold_sign.notify_one();
                    log::warn!(
                        upstream:% = upstream.heartbeat.upstream;
                        "the upstream refuses connections; refusing the request without running it"
                    );
                }
                return Err(undispatched.refuse(Reason::NoUpstream, failure.to_string()));
            }
        };
        match to_upstream_request::<D>(call, &upstream, request) {
            Ok(message) => Ok((
                PreparedRequest { upstream, connection, message, fingerprint, slot },
                undispatched,
            )),
            Err(detail) => Err(undispatched.refuse(Reason::BadRequest, detail)),
        }
    }

    async fn dispatch(
        &self,
        prepared: PreparedRequest<'_>,
        call: Call,
        undispatched: Undispatched,
    ) -> GuardResult {
        let PreparedRequest { upstream, connection, message, fingerprint, slot } = prepared;
        let begun = clock::now();
        let remaining = call.deadline.saturating_sub(begun);
        let request_id = call.request_id.clone();
        // An answer without an id may be a late copy of an earlier one.
        let check = move |parts: &Parts, _| {
            let head = D::answer_head(parts.status, &parts.headers);
            match head.request_id {
                Some(id) if id == request_id => match parts.status.is_success() {
                    true if !head.is_from_upstream => {
                        Err("the success does not carry the upstream's signature".to_owned())
                    }
                    // Another upstream listens at the address.
                    _ if head.misdirected => Ok(Reuse::Close),
                    _ if head.not_run => Ok(Reuse::KeepForOthers(id)),
                    _ => Ok(Reuse::Keep),
                },
                Some(id) => Err(format!("the answer belongs to {id}")),
                None => Err("the answer has no request id".to_owned()),
            }
        };
        let entry = self.running.begin(call);
        let call = &entry.call.call;
        let dispatch = Dispatch::begin(undispatched);
        self.sent.inc();
        let send = self.connections.send(connection, message, check);
        let sent = timeout(remaining + ANSWER_GRACE, send).await;
        let held = clock::now().saturating_sub(begun);
        let mut usage = entry.call.used_below();
        let below_s: f64 = usage.services.iter().map(|it| it.held_s).sum();
        usage.add(&call.service, held.as_secs_f64(), 1.0);
        let refused_below = entry.call.was_refused_below();
        let failed_below = entry.call.has_failed_below();
        let mut reached_upstream = true;
        let mut leaving_upstream = None;
        let outcome = match sent {
            Ok(Ok(answer)) => {
                if !answer.status.is_server_error() {
                    self.check_slowness(&call.route, held);
                    slot.complete(Completion::Answered { own_time: held, total_time: held });
                    self.record_route_time(&call.route, held);
                }
                self.crashes.lock().record_survival(clock::now(), &fingerprint);
                let head = D::answer_head(answer.status, &answer.headers);
                self.record_named_rate(&upstream, head.rate);
                self.record_refusal(&upstream, &head);
                if let Some(percent) = head.load.and_then(|it| it.relative_time_percent) {
                    let (relative, below) =
                        (f64::from(percent) / 100.0, Duration::from_secs_f64(below_s));
                    self.speed.lock().record(clock::now(), relative, held, below);
                }
                leaving_upstream = head.is_leaving.then(|| upstream.heartbeat.upstream.clone());
                self.gate.update_learned(|learned, now| match head.not_run && !head.misdirected {
                    true => learned.record_failure(now),
                    false => learned.record_answer(now, held),
                });
                to_outcome(dispatch, answer, &head)
            }
            Ok(Err(SendFailure::Unsent(unsent, detail))) => {
                reached_upstream = false;
                Outcome::NotRun(dispatch.not_sent(unsent).refuse(Reason::NoUpstream, detail))
            }
            Ok(Err(SendFailure::Incomplete(detail))) => {
                log::warn!(
                    request:% = call.request_id, upstream:% = upstream.heartbeat.upstream,
                    cause = detail;
                    "no whole answer of the upstream"
                );
                self.gate.doubt();
                self.cold_sign.notify_one();
                if let Some(crash) = self.crash_check.detect_crash(upstream.heartbeat.address).await
                {
                    self.gate.assume_cold();
                    self.gate.update_learned(LearnedPace::record_crash);
                    self.crashes.lock().record_crash(clock::now(), &fingerprint, crash);
                }
                dispatch.unknown(Reason::UpstreamFailed, detail)
            }
            Err(_) => {
                self.gate.update_learned(|learned, now| learned.record_failure(now));
                dispatch.unknown(Reason::DeadlinePassed, "no answer in time")
            }
        };
        GuardResult {
            outcome,
            reached_upstream,
            load: None,
            refused_share: 0.0,
            leaving_upstream,
            usage,
            refused_below,
            failed_below,
        }
    }

    /// Asks for a health check after several slow answers in succession: the upstream may be cold again
    /// without having started again, and its next heartbeat may be more than a second away.
    fn check_slowness(&self, route: &str, held: Duration) {
        let mean = self.mean_route_time(route);
        if mean.is_zero() || held < mean.mul_f64(SLOW_FACTOR) {
            self.slow_answers.store(0, Ordering::Relaxed);
        } else if self.slow_answers.fetch_add(1, Ordering::Relaxed) + 1 == SLOW_ANSWERS {
            self.slow_answers.store(0, Ordering::Relaxed);
            self.cold_sign.notify_one();
        }
    }

    /// Records whether the upstream refused a request although it had free slots and named no limit.
    fn record_refusal(&self, upstream: &Upstream, head: &AnswerHead) {
        let is_full = head.load.is_some_and(|load| load.running >= load.slots);
        let is_expected =
            is_full || head.misdirected || head.is_leaving || head.rate != NamedRate::Unlimited;
        if head.not_run && is_expected {
            return;
        }
        let now = clock::now();
        let mut refusals = self.refusals.lock();
        if let Some(is_refusing) = refusals.record(now, head.not_run) {
            log::info!(
                upstream:% = upstream.heartbeat.upstream, refusing = is_refusing,
                refused_permille = (refusals.share(now) * 1000.0) as u32;
                "the upstream has begun or ceased to refuse requests although it has free slots"
            );
        }
    }

    fn record_named_rate(&self, upstream: &Upstream, rate: NamedRate) {
        self.gate.record_named_rate(rate);
        let before = std::mem::replace(&mut *self.named_rate.lock(), rate);
        if before != rate {
            log::info!(
                upstream:% = upstream.heartbeat.upstream, rate:? = rate, before:? = before,
                sent = self.sent.get();
                "the limit that the upstream names has changed"
            );
        }
    }

    /// The upstream, if it serves the call's service and new requests may be sent to it.
    fn serving_upstream(&self, call: &Call) -> Option<Arc<Upstream>> {
        let upstream = self.upstream.load_full()?;
        if self.refuses_requests.load(Ordering::Acquire) {
            return None;
        }
        let serves = upstream.heartbeat.service == call.service
            && upstream.accepts_requests(clock::now(), LEAVE_GRACE);
        serves.then_some(upstream)
    }

    fn record_route_time(&self, route: &Arc<str>, held: Duration) {
        let mut routes = self.route_times.lock();
        let mean = routes.entry(route.clone()).or_insert_with(|| MeanTime::new(ROUTE_TIME_WEIGHT));
        mean.record(clock::now(), held);
    }

    /// Mean time of a route's requests; zero if none was answered recently.
    fn mean_route_time(&self, route: &str) -> Duration {
        let routes = self.route_times.lock();
        routes.get(route).map_or(Duration::ZERO, |mean| mean.recent_mean(clock::now()))
    }

    fn load_report(&self, route: &str) -> Option<LoadReport> {
        let status = self.gate.status()?;
        let (limit, mean_s) = effective_limit(&status);
        Some(LoadReport {
            running: status.in_flight,
            waiting: u32::try_from(status.waiting).unwrap_or(u32::MAX),
            limit,
            mean_s,
            named_rate_per_s: status.named_per_s,
            pace: status.pace(),
            relative_time: self.speed.lock().relative_time(clock::now()),
            route_mean_s: self
                .route_times
                .lock()
                .get(route)
                .map_or(0.0, |it| it.mean().as_secs_f64()),
        })
    }
}

/// Concurrency limit and mean time per request that describe the gate's throughput: with a rate limit,
/// the number of requests that run at that rate, so that placement and root admission need no other
/// measure of a full upstream.
fn effective_limit(status: &GateStatus) -> (u32, f64) {
    match status.rate_per_s {
        Some(per_s) if per_s * status.mean_s < f64::from(status.limit) => {
            let limit = (per_s * status.mean_s).round().max(1.0);
            (limit as u32, limit / per_s)
        }
        _ => (status.limit, status.mean_s),
    }
}

fn to_upstream_request<D: Dialect>(
    call: &Call,
    upstream: &Upstream,
    request: BufferedRequest,
) -> Result<Request<Full<Bytes>>, String> {
    let mut message = Request::new(Full::new(request.body));
    *message.method_mut() = request.method;
    *message.uri_mut() = request.path.parse().map_err(|error| format!("unusable path: {error}"))?;
    *message.headers_mut() = request.headers;
    let authority = HeaderValue::from_str(&request.authority)
        .map_err(|error| format!("unusable host: {error}"))?;
    message.headers_mut().insert(header::HOST, authority);
    let head = UpstreamHead {
        request_id: &call.request_id,
        remaining: call.deadline.saturating_sub(clock::now()),
        upstream: &upstream.heartbeat.upstream,
        organisation: call.organisation.as_deref(),
        caller_service: &call.caller_service,
    };
    D::add_upstream_head(message.headers_mut(), &head);
    Ok(message)
}

/// Outcome of a complete response, which may state that the upstream did not run the request.
fn to_outcome(dispatch: Dispatch, answer: Answer, head: &AnswerHead) -> Outcome {
    if !head.not_run {
        return dispatch.answered(answer);
    }
    let reason = if head.misdirected { Reason::NoUpstream } else { Reason::Overload };
    Outcome::NotRun(NotRun {
        reason,
        detail: format!("the upstream answered {} without running it", answer.status),
        retry_after: None,
        covers_request: true,
    })
}
