//! The gate before the upstream: carries out what [`Admission`] decides.

use std::{
    collections::HashMap,
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

use crate::{
    admission::{Action, Admission, Arrival, Completion, ConcurrencyLimit, Limit, Refusal, Ticket},
    clock::{self, Timestamp},
    config::Importance,
    names::OrganisationName,
};

/// Load of a node whose upstream has not announced itself.
const NOT_SERVING: u32 = 255;

type Answer = Result<(), Refusal>;

#[derive(Debug)]
struct State<L> {
    admission: Option<Admission<L>>,
    waiting: HashMap<Ticket, oneshot::Sender<Answer>>,
}

/// The gate before the upstream.
#[derive(Debug)]
pub struct Gate<L = ConcurrencyLimit> {
    state: Mutex<State<L>>,
    last_ticket: AtomicU64,
}

impl<L> Default for Gate<L> {
    fn default() -> Self {
        let state = State { admission: None, waiting: HashMap::new() };
        Self { state: Mutex::new(state), last_ticket: AtomicU64::new(0) }
    }
}

/// A request that asks to start.
#[derive(Debug, Clone)]
pub struct AdmissionRequest {
    /// Importance of its class.
    pub importance: Importance,
    /// Organisation that it runs for; none on an open route.
    pub organisation: Option<OrganisationName>,
    /// It is part of a root request that has already begun.
    pub is_nested_call: bool,
    /// Latest useful answer.
    pub deadline: Timestamp,
    /// Mean time of requests of its kind, where it is known; see [`Arrival::own_time`].
    pub own_time: Option<Duration>,
}

/// Figures of the gate.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct GateFigures {
    /// Requests that may run at once.
    pub limit: u32,
    /// Requests that the upstream runs.
    pub in_flight: u32,
    /// Requests that wait.
    pub waiting: usize,
    /// Importance below which requests are refused at present; 0 while none is.
    pub shed_below: u32,
    /// Mean time that a request holds its slot, in seconds.
    #[serde(default)]
    pub mean_s: f64,
}

/// A started request; it is taken for aborted when this is dropped without an answer.
#[derive(Debug)]
pub struct Slot<'a, L: Limit = ConcurrencyLimit> {
    gate: &'a Gate<L>,
    completion: Completion,
}

impl<L: Limit> Slot<'_, L> {
    /// The upstream answered.
    pub fn complete(mut self, completion: Completion) {
        self.completion = completion;
    }
}

impl<L: Limit> Drop for Slot<'_, L> {
    fn drop(&mut self) {
        self.gate.finish(self.completion);
    }
}

/// Takes a request out of the queue when its caller goes away.
struct Waiter<'a, L: Limit> {
    gate: &'a Gate<L>,
    ticket: Ticket,
    answer: oneshot::Receiver<Answer>,
}

impl<L: Limit> Drop for Waiter<'_, L> {
    fn drop(&mut self) {
        let mut state = self.gate.state.lock();
        if state.waiting.remove(&self.ticket).is_some() {
            if let Some(admission) = &mut state.admission {
                admission.cancel(self.ticket);
            }
            return;
        }
        drop(state);
        // Started at the same moment: the slot must come back.
        if matches!(self.answer.try_recv(), Ok(Ok(()))) {
            self.gate.finish(Completion::Aborted);
        }
    }
}

impl<L: Limit> Gate<L> {
    /// The upstream announced itself.
    pub fn on_announcement(&self, slots: u32) {
        let now = clock::now();
        let mut state = self.state.lock();
        match &mut state.admission {
            Some(admission) => admission.on_announcement(now, slots),
            None => state.admission = Some(Admission::new(now, slots)),
        }
    }

    /// Waits until the request may start, or is refused.
    pub async fn enter(&self, entrant: AdmissionRequest) -> Result<Slot<'_, L>, Refusal> {
        let ticket = Ticket(self.last_ticket.fetch_add(1, Ordering::Relaxed));
        let AdmissionRequest { importance, organisation, is_nested_call, deadline, own_time } =
            entrant;
        let arrival =
            Arrival { ticket, importance, organisation, is_nested_call, deadline, own_time };
        let (mut waiter, until) = match self.arrive(arrival) {
            Ok(()) => return Ok(self.slot()),
            Err(Wait::Refused(refusal)) => return Err(refusal),
            Err(Wait::Until(waiter, until)) => (waiter, until),
        };
        let limit = until.saturating_sub(clock::now());
        let answer = match tokio::time::timeout(limit, &mut waiter.answer).await {
            Ok(answer) => answer.unwrap_or(Err(Refusal::Overload)),
            Err(_) => self.give_up(ticket, &mut waiter),
        };
        answer.map(|()| self.slot())
    }

    /// Requests that run or wait, in 1/128 of the concurrency limit.
    pub fn load(&self) -> u32 {
        let state = self.state.lock();
        let now = clock::now();
        state.admission.as_ref().map_or(NOT_SERVING, |admission| u32::from(admission.load(now)))
    }

    /// Importance below which requests are refused at present.
    pub fn shed_below(&self) -> Importance {
        let state = self.state.lock();
        let now = clock::now();
        state.admission.as_ref().map_or(Importance(0), |admission| admission.shed_below(now))
    }

    /// Figures for people and programs; none before an upstream has announced itself.
    pub fn figures(&self) -> Option<GateFigures> {
        let state = self.state.lock();
        let (now, admission) = (clock::now(), state.admission.as_ref()?);
        Some(GateFigures {
            limit: admission.limit(now),
            in_flight: admission.in_flight(),
            waiting: admission.waiting(),
            shed_below: admission.shed_below(now).0,
            mean_s: admission.mean_own_time().as_secs_f64(),
        })
    }

    fn arrive(&self, arrival: Arrival) -> Result<(), Wait<'_, L>> {
        let own = arrival.ticket;
        let mut state = self.state.lock();
        let Some(admission) = &mut state.admission else {
            return Err(Wait::Refused(Refusal::Overload));
        };
        let actions = admission.arrive(clock::now(), arrival);
        let mut result = Ok(());
        for action in actions {
            match action {
                Action::Start(ticket) if ticket == own => {}
                Action::Refuse(ticket, refusal) if ticket == own => {
                    result = Err(Wait::Refused(refusal));
                }
                Action::Wait(ticket, until) => {
                    let (sender, answer) = oneshot::channel();
                    state.waiting.insert(ticket, sender);
                    result = Err(Wait::Until(Waiter { gate: self, ticket, answer }, until));
                }
                other => state.carry_out(other),
            }
        }
        result
    }

    fn give_up(&self, ticket: Ticket, waiter: &mut Waiter<'_, L>) -> Answer {
        let mut state = self.state.lock();
        if state.waiting.remove(&ticket).is_none() {
            drop(state);
            return waiter.answer.try_recv().unwrap_or(Err(Refusal::Overload));
        }
        let refusal = state.admission.as_mut().and_then(|it| it.give_up(clock::now(), ticket));
        Err(refusal.unwrap_or(Refusal::Overload))
    }

    fn finish(&self, completion: Completion) {
        let mut state = self.state.lock();
        let Some(admission) = &mut state.admission else { return };
        for action in admission.finish(clock::now(), completion) {
            state.carry_out(action);
        }
    }

    fn slot(&self) -> Slot<'_, L> {
        Slot { gate: self, completion: Completion::Aborted }
    }
}

enum Wait<'a, L: Limit> {
    Refused(Refusal),
    Until(Waiter<'a, L>, Timestamp),
}

impl<L> State<L> {
    /// Tells a waiting request; its receiver lives until the request leaves `waiting`.
    fn carry_out(&mut self, action: Action) {
        let (ticket, answer) = match action {
            Action::Start(ticket) => (ticket, Ok(())),
            Action::Refuse(ticket, refusal) => (ticket, Err(refusal)),
            Action::Wait(..) => return,
        };
        if let Some(sender) = self.waiting.remove(&ticket) {
            let _ = sender.send(answer);
        }
    }
}
