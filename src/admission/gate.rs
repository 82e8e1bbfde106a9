//! The gate in front of the upstream, which carries out the decisions of [`Admission`].

use std::{
    collections::HashMap,
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::{
    sync::{Notify, oneshot},
    time::timeout,
};

use crate::{
    admission::{
        Action, Admission, Arrival, ColdRate, Completion, ConcurrencyLimit, LearnedPace, Limit,
        NamedRate, PaceReport, Refusal, Ticket,
    },
    clock::{self, Timestamp},
    config::Importance,
    names::OrganisationName,
};

/// Load that a node reports while no upstream has announced itself.
const LOAD_NOT_SERVING: u32 = 255;

type Decision = Result<(), Refusal>;

#[derive(Debug)]
struct State<L> {
    admission: Option<Admission<L>>,
    waiting: HashMap<Ticket, oneshot::Sender<Decision>>,
}

/// Holds requests in front of the upstream until [`Admission`] starts or refuses them.
#[derive(Debug)]
pub struct Gate<L = ConcurrencyLimit> {
    state: Mutex<State<L>>,
    last_ticket: AtomicU64,
    /// Notified when a request may have begun to wait for a token of the rate limit.
    token_wanted: Notify,
}

impl<L> Default for Gate<L> {
    fn default() -> Self {
        let state = State { admission: None, waiting: HashMap::new() };
        Self {
            state: Mutex::new(state),
            last_ticket: AtomicU64::new(0),
            token_wanted: Notify::new(),
        }
    }
}

/// A request to be admitted to the upstream.
#[derive(Debug, Clone)]
pub struct AdmissionRequest {
    /// Importance of its class.
    pub importance: Importance,
    /// Organisation that the request is made for; `None` on an open route.
    pub organisation: Option<OrganisationName>,
    /// The request is a call within a root request that was admitted before.
    pub is_nested_call: bool,
    /// Time after which an answer is useless to the caller.
    pub deadline: Timestamp,
    /// Mean own time of requests of the same kind, if known; see [`Arrival::own_time`].
    pub own_time: Option<Duration>,
}

/// State of the gate as reported to operators.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct GateStatus {
    /// Concurrency limit: number of requests that may run at the same time.
    pub limit: u32,
    /// Number of requests that the upstream is running.
    pub in_flight: u32,
    /// Number of waiting requests.
    pub waiting: usize,
    /// Importance below which requests are refused at present; 0 if none are refused.
    pub shed_below: u32,
    /// Mean time that a request occupies its slot, in seconds.
    #[serde(default)]
    pub mean_s: f64,
    /// Requests per second that may be started; `None` while the upstream names no limit.
    #[serde(default)]
    pub rate_per_s: Option<f64>,
    /// The limit that the upstream names, without the gradual rise after its end.
    #[serde(default)]
    pub named_per_s: Option<f64>,
    /// Requests per second that the upstream accepts while it is cold; `None` while it is warm.
    #[serde(default)]
    pub pace_per_s: Option<f64>,
    /// Requests per second that the upstream takes as far as its answers show; `None` while its slots alone
    /// limit, and where the pace is not learned.
    #[serde(default)]
    pub learned_per_s: Option<f64>,
    /// Time for which the upstream is still cold, in seconds.
    #[serde(default)]
    pub pace_remaining_s: f64,
}

impl GateStatus {
    /// Pace of a cold upstream; `None` while it is warm.
    pub fn pace(&self) -> Option<PaceReport> {
        let remaining = Duration::from_secs_f64(self.pace_remaining_s);
        self.pace_per_s.map(|per_s| PaceReport { per_s, remaining })
    }
}

/// The slot of a started request. Dropping it without [`Slot::complete`] counts the request as
/// aborted.
#[derive(Debug)]
pub struct Slot<'a, L: Limit = ConcurrencyLimit> {
    gate: &'a Gate<L>,
    completion: Completion,
}

impl<L: Limit> Slot<'_, L> {
    /// Frees the slot and records how the request ended.
    pub fn complete(mut self, completion: Completion) {
        self.completion = completion;
    }
}

impl<L: Limit> Drop for Slot<'_, L> {
    fn drop(&mut self) {
        self.gate.complete_request(self.completion);
    }
}

/// A queued request. Dropping it, when the caller disconnects, removes the request from the queue.
struct Waiter<'a, L: Limit> {
    gate: &'a Gate<L>,
    ticket: Ticket,
    decision: oneshot::Receiver<Decision>,
}

impl<L: Limit> Drop for Waiter<'_, L> {
    fn drop(&mut self) {
        let mut state = self.gate.state.lock();
        if state.waiting.remove(&self.ticket).is_some() {
            if let Some(admission) = &mut state.admission {
                admission.on_disconnect(self.ticket);
            }
            return;
        }
        drop(state);
        // The request was started concurrently, so its slot must be freed.
        if matches!(self.decision.try_recv(), Ok(Ok(()))) {
            self.gate.complete_request(Completion::Aborted);
        }
    }
}

impl<L: Limit> Gate<L> {
    /// Creates or resets the admission for an upstream that announced this number of slots.
    pub fn on_announcement(&self, slots: u32) {
        let now = clock::now();
        let mut state = self.state.lock();
        match &mut state.admission {
            Some(admission) => admission.on_announcement(now, slots),
            None => state.admission = Some(Admission::new(now, slots)),
        }
    }

    /// Sets the fraction of the concurrency limit that is used.
    pub fn set_limit_factor(&self, factor: f64) {
        if let Some(admission) = &mut self.state.lock().admission {
            admission.set_limit_factor(factor);
        }
    }

    /// Records what an answer of the upstream names as its limit.
    pub fn record_named_rate(&self, named: NamedRate) {
        let mut state = self.state.lock();
        if let Some(admission) = &mut state.admission {
            admission.rate_mut().record_answer(clock::now(), named);
        }
        self.notify_if_token_is_wanted(&mut state);
    }

    /// Records a limit of the upstream that another node knows, until the upstream answers.
    pub fn record_relayed_rate(&self, per_s: f64) {
        if let Some(admission) = &mut self.state.lock().admission {
            admission.rate_mut().record_relayed(clock::now(), per_s);
        }
    }

    /// Forgets the limit, since another upstream has replaced the one that named it.
    pub fn reset_rate(&self) {
        let mut state = self.state.lock();
        if let Some(admission) = &mut state.admission {
            admission.rate_mut().reset();
        }
        self.notify_if_token_is_wanted(&mut state);
    }

    /// Applies a change to the pace that is learned from answers.
    pub fn update_learned(&self, apply: impl FnOnce(&mut LearnedPace, Timestamp)) {
        let mut state = self.state.lock();
        if let Some(admission) = &mut state.admission {
            apply(admission.pace_mut().learned_mut(), clock::now());
        }
        self.notify_if_token_is_wanted(&mut state);
    }

    /// Sets what a cold upstream tolerates; `None` if its service has no cold rate.
    pub fn set_cold_rate(&self, rate: Option<ColdRate>) {
        let mut state = self.state.lock();
        if let Some(admission) = &mut state.admission {
            admission.pace_mut().cold_mut().set_rate(rate);
        }
        self.notify_if_token_is_wanted(&mut state);
    }

    /// Records the statement of the upstream that it is cold for this time; see
    /// [`ColdPace::record_statement`](crate::admission::ColdPace::record_statement).
    pub fn record_cold(&self, remaining: Duration, is_current: bool) {
        let mut state = self.state.lock();
        if let Some(admission) = &mut state.admission {
            let cold = admission.pace_mut().cold_mut();
            cold.record_statement(clock::now(), remaining, is_current);
        }
        self.notify_if_token_is_wanted(&mut state);
    }

    /// Assumes that the upstream is cold, since it has crashed, until a statement says otherwise.
    pub fn assume_cold(&self) {
        if let Some(admission) = &mut self.state.lock().admission {
            let cold = admission.pace_mut().cold_mut();
            if let Some(rate) = cold.configured() {
                cold.assume_cold(clock::now(), rate.duration);
            }
        }
    }

    /// Records a sign that the upstream may have crashed; see
    /// [`ColdPace::doubt`](crate::admission::ColdPace::doubt).
    pub fn doubt(&self) {
        if let Some(admission) = &mut self.state.lock().admission {
            admission.pace_mut().cold_mut().doubt(clock::now());
        }
    }

    /// Must be called several times a second; returns whether the process was paused before. See
    /// [`ColdPace::tick`](crate::admission::ColdPace::tick).
    pub fn tick_cold(&self) -> bool {
        let mut state = self.state.lock();
        let admission = state.admission.as_mut();
        admission.is_some_and(|it| it.pace_mut().cold_mut().tick(clock::now()))
    }

    /// Requests per second that the upstream accepts while it is cold, and the time for which it is;
    /// `None` while it is warm.
    pub fn cold_pace(&self) -> Option<PaceReport> {
        let state = self.state.lock();
        let (now, admission) = (clock::now(), state.admission.as_ref()?);
        let cold = admission.pace().cold();
        Some(PaceReport { per_s: cold.per_s(now)?, remaining: cold.remaining(now) })
    }

    fn notify_if_token_is_wanted(&self, state: &mut State<L>) {
        let admission = state.admission.as_mut();
        if admission.is_some_and(|it| it.time_to_token(clock::now()).is_some()) {
            self.token_wanted.notify_one();
        }
    }

    /// Starts requests that wait for the rate limit when it permits them; never returns.
    pub async fn start_at_rate(&self) {
        loop {
            let wanted = self.token_wanted.notified();
            let pause = {
                let mut state = self.state.lock();
                let now = clock::now();
                let actions = state.admission.as_mut().map(|it| it.on_token(now));
                for action in actions.into_iter().flatten() {
                    state.send_decision(action);
                }
                state.admission.as_mut().and_then(|it| it.time_to_token(now))
            };
            match pause {
                Some(pause) => drop(timeout(pause, wanted).await),
                None => wanted.await,
            }
        }
    }

    /// Waits until the request is started or refused.
    pub async fn admit(&self, request: AdmissionRequest) -> Result<Slot<'_, L>, Refusal> {
        let ticket = Ticket(self.last_ticket.fetch_add(1, Ordering::Relaxed));
        let AdmissionRequest { importance, organisation, is_nested_call, deadline, own_time } =
            request;
        let arrival =
            Arrival { ticket, importance, organisation, is_nested_call, deadline, own_time };
        let (mut waiter, wait_until) = match self.submit(arrival) {
            Ok(()) => return Ok(self.new_slot()),
            Err(NotStarted::Refused(refusal)) => return Err(refusal),
            Err(NotStarted::Queued(waiter, wait_until)) => (waiter, wait_until),
        };
        let max_wait = wait_until.saturating_sub(clock::now());
        let decision = match timeout(max_wait, &mut waiter.decision).await {
            Ok(decision) => decision.unwrap_or(Err(Refusal::Overload)),
            Err(_) => self.end_wait(ticket, &mut waiter),
        };
        decision.map(|()| self.new_slot())
    }

    /// Running and waiting requests, in 1/128 of the concurrency limit; 255 before an upstream has
    /// announced itself.
    pub fn load(&self) -> u32 {
        let state = self.state.lock();
        let now = clock::now();
        state
            .admission
            .as_ref()
            .map_or(LOAD_NOT_SERVING, |admission| u32::from(admission.load(now)))
    }

    /// Importance below which requests are refused at present; 0 if none are refused.
    pub fn shed_below(&self) -> Importance {
        let state = self.state.lock();
        let now = clock::now();
        state.admission.as_ref().map_or(Importance(0), |admission| admission.shed_below(now))
    }

    /// State as reported to operators; `None` before an upstream has announced itself.
    pub fn status(&self) -> Option<GateStatus> {
        let state = self.state.lock();
        let (now, admission) = (clock::now(), state.admission.as_ref()?);
        Some(GateStatus {
            limit: admission.limit(now),
            in_flight: admission.in_flight(),
            waiting: admission.waiting(),
            shed_below: admission.shed_below(now).0,
            mean_s: admission.mean_own_time().as_secs_f64(),
            rate_per_s: admission.pace().per_s(now),
            named_per_s: admission.pace().named().named_per_s(),
            pace_per_s: admission.pace().cold().per_s(now),
            learned_per_s: admission.pace().learned().per_s(now),
            pace_remaining_s: admission.pace().cold().remaining(now).as_secs_f64(),
        })
    }

    /// Submits an arrival; `Err` if the request does not start at once.
    fn submit(&self, arrival: Arrival) -> Result<(), NotStarted<'_, L>> {
        let own_ticket = arrival.ticket;
        let mut state = self.state.lock();
        let Some(admission) = &mut state.admission else {
            return Err(NotStarted::Refused(Refusal::Overload));
        };
        let actions = admission.on_arrival(clock::now(), arrival);
        let mut result = Ok(());
        for action in actions {
            match action {
                Action::Start(ticket) if ticket == own_ticket => {}
                Action::Refuse(ticket, refusal) if ticket == own_ticket => {
                    result = Err(NotStarted::Refused(refusal));
                }
                Action::Wait(ticket, wait_until) => {
                    let (sender, decision) = oneshot::channel();
                    state.waiting.insert(ticket, sender);
                    result = Err(NotStarted::Queued(
                        Waiter { gate: self, ticket, decision },
                        wait_until,
                    ));
                }
                other => state.send_decision(other),
            }
        }
        self.notify_if_token_is_wanted(&mut state);
        result
    }

    /// Ends the wait of a request that has reached its maximum wait.
    fn end_wait(&self, ticket: Ticket, waiter: &mut Waiter<'_, L>) -> Decision {
        let mut state = self.state.lock();
        if state.waiting.remove(&ticket).is_none() {
            drop(state);
            return waiter.decision.try_recv().unwrap_or(Err(Refusal::Overload));
        }
        let refusal =
            state.admission.as_mut().and_then(|it| it.on_wait_timeout(clock::now(), ticket));
        Err(refusal.unwrap_or(Refusal::Overload))
    }

    /// Frees the slot of a started request and sends the decisions on the requests that waited for
    /// it.
    fn complete_request(&self, completion: Completion) {
        let mut state = self.state.lock();
        let Some(admission) = &mut state.admission else { return };
        for action in admission.on_completion(clock::now(), completion) {
            state.send_decision(action);
        }
        self.notify_if_token_is_wanted(&mut state);
    }

    fn new_slot(&self) -> Slot<'_, L> {
        Slot { gate: self, completion: Completion::Aborted }
    }
}

/// Why a request does not start at once.
enum NotStarted<'a, L: Limit> {
    Refused(Refusal),
    /// The request waits, at most until the given time.
    Queued(Waiter<'a, L>, Timestamp),
}

impl<L> State<L> {
    /// Sends the decision to the waiting request. Its receiver exists as long as the request is in
    /// `waiting`.
    fn send_decision(&mut self, action: Action) {
        let (ticket, decision) = match action {
            Action::Start(ticket) => (ticket, Ok(())),
            Action::Refuse(ticket, refusal) => (ticket, Err(refusal)),
            Action::Wait(..) => return,
        };
        if let Some(sender) = self.waiting.remove(&ticket) {
            let _ = sender.send(decision);
        }
    }
}
