//! The guard of the upstream beside the node: admission, dispatch and the check of the answer.

use std::{sync::Arc, time::Duration};

use arc_swap::ArcSwapOption;
use http::{HeaderValue, Request, header};
use http_body_util::Full;
use tokio::{sync::Semaphore, time::timeout};
use tokio_util::task::TaskTracker;

use crate::{
    call::{Answer, Dispatch, NotRun, Outcome, Reason, Undispatched},
    clock::{self, Timestamp},
    http_client::{ConnectionPool, SendFailure},
    mesh::{Dialect, Upstream, UpstreamHead, request::WholeRequest},
    names::{OrganisationName, ServiceName},
};

/// Idle connections to the upstream that are kept.
const MAX_IDLE_CONNECTIONS: usize = 512;
/// Idle connections older than this are not used again; upstreams close theirs after 10 s.
const MAX_IDLE_TIME: Duration = Duration::from_secs(8);
const MAX_ANSWER_BYTES: usize = 64 << 20;
/// Time after an upstream said that it leaves in which requests that are under way still reach
/// it; the platform allows twice as long.
const LEAVE_GRACE: Duration = Duration::from_secs(1);

/// What the guard must know of a request beside its message.
#[derive(Debug, Clone)]
pub struct GuardedCall {
    /// Id that the caller gave the request.
    pub request_id: Arc<str>,
    /// Service that is called.
    pub service: ServiceName,
    /// Organisation that the request runs for; none on an open route.
    pub organisation: Option<OrganisationName>,
    /// Service beside the node at which the request began.
    pub caller_service: ServiceName,
    /// Latest useful answer.
    pub deadline: Timestamp,
    /// The request may run more than once.
    pub idempotent: bool,
    /// Rank among the requests; 0 goes first.
    pub rank: u32,
}

/// The end of a request at the guard.
#[derive(Debug)]
pub struct Guarded {
    /// How it ended.
    pub outcome: Outcome,
    /// The upstream received it, though it may have refused it.
    pub reached_upstream: bool,
}

/// The guard of the upstream beside the node.
#[derive(Debug)]
pub struct Guard<D> {
    upstream: ArcSwapOption<Upstream>,
    slots: Semaphore,
    granted: std::sync::atomic::AtomicU32,
    connections: ConnectionPool,
    /// Requests that must run to their end although their caller has gone.
    pub tasks: TaskTracker,
    dialect: std::marker::PhantomData<D>,
}

impl<D: Dialect> Default for Guard<D> {
    fn default() -> Self {
        Self {
            upstream: ArcSwapOption::empty(),
            slots: Semaphore::new(0),
            granted: 0.into(),
            connections: ConnectionPool::new(MAX_IDLE_CONNECTIONS, MAX_ANSWER_BYTES),
            tasks: TaskTracker::new(),
            dialect: std::marker::PhantomData,
        }
    }
}

impl<D: Dialect> Guard<D> {
    /// The upstream, also while it is leaving.
    pub fn upstream(&self) -> Option<Arc<Upstream>> {
        self.upstream.load_full()
    }

    /// Puts an upstream in the place of the one known before.
    pub fn set_upstream(&self, upstream: Upstream) {
        let slots = upstream.heartbeat.slots;
        let before = self.granted.swap(slots, std::sync::atomic::Ordering::Relaxed);
        if slots > before {
            self.slots.add_permits((slots - before) as usize);
        } else {
            self.slots.forget_permits((before - slots) as usize);
        }
        self.upstream.store(Some(Arc::new(upstream)));
    }

    /// Runs one request at the upstream.
    pub async fn run(
        self: &Arc<Self>,
        call: GuardedCall,
        request: WholeRequest,
        undispatched: Undispatched,
    ) -> Guarded {
        let refuse = |undispatched: Undispatched, reason, detail: &str| Guarded {
            outcome: Outcome::NotRun(undispatched.refuse(reason, detail)),
            reached_upstream: false,
        };
        let Some(upstream) = self.serving(&call) else {
            return refuse(undispatched, Reason::NoUpstream, "no upstream for the service here");
        };
        let remaining = call.deadline.saturating_sub(clock::now());
        let permit = match timeout(remaining, self.slots.acquire()).await {
            Ok(Ok(permit)) => permit,
            _ => return refuse(undispatched, Reason::Overload, "no slot came free in time"),
        };
        let connected = self.connections.connect(upstream.heartbeat.address, MAX_IDLE_TIME).await;
        let connection = match connected {
            Ok(connection) => connection,
            Err(failure) => return refuse(undispatched, Reason::NoUpstream, &failure.to_string()),
        };
        if self.serving(&call).is_none() {
            return refuse(undispatched, Reason::Leaving, "the upstream has left");
        }
        let message = match self.message(&call, &upstream, request) {
            Ok(message) => message,
            Err(detail) => return refuse(undispatched, Reason::BadRequest, &detail),
        };
        let request_id = call.request_id.clone();
        let check = move |parts: &http::response::Parts, _| {
            let head = D::answer_head(parts.status, &parts.headers);
            match head.request_id {
                Some(id) if id != request_id => Err(format!("the answer belongs to {id}")),
                _ => Ok(()),
            }
        };
        let dispatch = Dispatch::begin(undispatched);
        let send = self.connections.send(connection, message, check);
        let remaining = call.deadline.saturating_sub(clock::now());
        let sent = timeout(remaining, send).await;
        drop(permit);
        match sent {
            Ok(Ok(answer)) => answered::<D>(dispatch, answer),
            Ok(Err(SendFailure::Unsent(unsent, detail))) => {
                refuse(dispatch.not_sent(unsent), Reason::NoUpstream, &detail)
            }
            Ok(Err(SendFailure::NotWhole(detail))) => Guarded {
                outcome: dispatch.unknown(Reason::UpstreamFailed, detail),
                reached_upstream: true,
            },
            Err(_) => Guarded {
                outcome: dispatch.unknown(Reason::DeadlinePassed, "no answer in time"),
                reached_upstream: true,
            },
        }
    }

    fn serving(&self, call: &GuardedCall) -> Option<Arc<Upstream>> {
        let upstream = self.upstream.load_full()?;
        let serves = upstream.heartbeat.service == call.service
            && upstream.takes_requests(clock::now(), LEAVE_GRACE);
        serves.then_some(upstream)
    }

    fn message(
        &self,
        call: &GuardedCall,
        upstream: &Upstream,
        request: WholeRequest,
    ) -> Result<Request<Full<bytes::Bytes>>, String> {
        let mut message = Request::new(Full::new(request.body));
        *message.method_mut() = request.method;
        *message.uri_mut() =
            request.path.parse().map_err(|error| format!("unusable path: {error}"))?;
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
}

fn answered<D: Dialect>(dispatch: Dispatch, answer: Answer) -> Guarded {
    let head = D::answer_head(answer.status, &answer.headers);
    if !head.not_run {
        return Guarded { outcome: dispatch.answered(answer), reached_upstream: true };
    }
    let reason = if head.misdirected { Reason::NoUpstream } else { Reason::Overload };
    let not_run = NotRun {
        reason,
        detail: format!("the upstream answered {} without running it", answer.status),
        retry_after: None,
        covers_request: true,
    };
    Guarded { outcome: Outcome::NotRun(not_run), reached_upstream: true }
}
