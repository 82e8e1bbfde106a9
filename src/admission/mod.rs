//! Admission at the node beside an upstream: which request starts, waits or is refused.
//!
//! [`Admission`] does no I/O. It is told of arrivals and completions and returns what to do
//! with each request, named by its [`Ticket`].

mod gate;
mod limit;
mod mean_time;
mod own_time;
mod queue;
mod slot_limit;

use std::{collections::BTreeMap, time::Duration};

use smallvec::SmallVec;

pub use gate::{AdmissionRequest, Gate, GateFigures, Slot};
pub use limit::ConcurrencyLimit;
pub use mean_time::MeanTime;
pub use own_time::OwnTime;
pub use queue::{FairQueue, Waiting};
pub use slot_limit::SlotLimit;

use crate::{clock::Timestamp, config::Importance, names::OrganisationName};

/// Shortest queue; a small limit would otherwise refuse every burst.
const MIN_QUEUE: usize = 32;
/// Shortest time that a request may wait, however fast the upstream is.
const MIN_WAIT: Duration = Duration::from_millis(100);
/// Longest wait in multiples of the upstream's own time for a request; a request that waits
/// longer keeps the slots of its callers from work that would be served.
const WAIT_FACTOR: f64 = 2.0;
/// Part of the mean own time below which the time left cannot suffice.
const LEAST_TIME_FACTOR: f64 = 0.5;
/// How long a refusal or a start counts for the pressure.
const PRESSURE_WINDOW: Duration = Duration::from_millis(200);
/// Load in replies is counted in 1/128.
const LOAD_UNIT: f64 = 128.0;
const MAX_LOAD: f64 = 254.0;

/// Names a request at one node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// A request that asks for admission.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Names the request.
    pub ticket: Ticket,
    /// Importance of its class.
    pub importance: Importance,
    /// Organisation that it runs for; none on an open route.
    pub organisation: Option<OrganisationName>,
    /// It is part of a root request that has already begun.
    pub is_nested_call: bool,
    /// Latest useful answer.
    pub deadline: Timestamp,
    /// Mean time of requests of its kind, where it is known; in its place that of all requests is
    /// taken.
    pub own_time: Option<Duration>,
}

/// Why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// Other work fills the upstream.
    Overload,
    /// Its answer could not come in time.
    DeadlinePassed,
}

/// What to do with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Hand it to the upstream.
    Start(Ticket),
    /// Keep it until another action names it; call [`Admission::give_up`] at the given time.
    Wait(Ticket, Timestamp),
    /// Refuse it as not run.
    Refuse(Ticket, Refusal),
}

/// Actions of one event; most events have one or two.
pub type Actions = SmallVec<[Action; 2]>;

/// How a started request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Completion {
    /// The upstream answered.
    Answered {
        /// Time of the upstream itself.
        own_time: Duration,
        /// Time with the calls to other services.
        total_time: Duration,
    },
    /// No answer, an error, or cancelled: says nothing about the upstream's speed.
    Aborted,
}

#[derive(Debug, Clone, Copy, Default)]
struct ClassActivity {
    started_at: Option<Timestamp>,
    refused_at: Option<Timestamp>,
}

/// How many requests an upstream runs at once, and how long it takes for one.
pub trait Limit: std::fmt::Debug + Send + 'static {
    /// Starts with the slots that the upstream announced.
    fn new(now: Timestamp, slots: u32) -> Self;

    /// The limit in force.
    fn current(&self, now: Timestamp) -> u32;

    /// Mean time that a request holds its slot; zero where there was no completion lately.
    fn own_time(&self, now: Timestamp) -> Duration;

    /// Mean time that a request holds its slot, however old.
    fn mean_own_time(&self) -> Duration;

    /// A request has been answered; `at_limit` tells whether others waited for its slot.
    fn completed(
        &mut self,
        now: Timestamp,
        own_time: Duration,
        total_time: Duration,
        at_limit: bool,
    );
}

/// Decides which requests run at the upstream.
#[derive(Debug)]
pub struct Admission<L = ConcurrencyLimit> {
    limit: L,
    queue: FairQueue,
    in_flight: u32,
    activity: BTreeMap<Importance, ClassActivity>,
}

impl<L: Limit> Admission<L> {
    /// Makes an admission for an upstream that announced `slots`.
    pub fn new(now: Timestamp, slots: u32) -> Self {
        Self {
            limit: L::new(now, slots),
            queue: FairQueue::default(),
            in_flight: 0,
            activity: BTreeMap::new(),
        }
    }

    /// The upstream announced itself again, so it is cold; requests that wait stay.
    pub fn on_announcement(&mut self, now: Timestamp, slots: u32) {
        self.limit = L::new(now, slots);
    }

    /// A request arrives.
    pub fn arrive(&mut self, now: Timestamp, arrival: Arrival) -> Actions {
        let mut actions = Actions::new();
        let Arrival { ticket, importance, organisation, is_nested_call, deadline, own_time } =
            arrival;
        let waiting = Waiting { ticket, deadline, own_time };
        if self.is_too_late(now, &waiting) {
            actions.push(Action::Refuse(ticket, Refusal::DeadlinePassed));
            return actions;
        }
        self.queue.push(importance, organisation, is_nested_call, waiting);
        self.start_waiting(now, &mut actions);
        if self.queue.len() > self.queue_capacity(now)
            && let Some((importance, evicted)) = self.queue.evict()
        {
            self.activity.entry(importance).or_default().refused_at = Some(now);
            actions.push(Action::Refuse(evicted.ticket, Refusal::Overload));
        }
        if !actions.iter().any(|action| action.ticket() == ticket) {
            actions.push(Action::Wait(ticket, deadline.min(now + self.max_wait())));
        }
        actions
    }

    /// A started request has ended.
    pub fn finish(&mut self, now: Timestamp, completion: Completion) -> Actions {
        let at_limit = self.in_flight >= self.limit.current(now) && !self.queue.is_empty();
        if let Completion::Answered { own_time, total_time } = completion {
            self.limit.completed(now, own_time, total_time, at_limit);
        }
        self.in_flight = self.in_flight.saturating_sub(1);
        let mut actions = Actions::new();
        self.start_waiting(now, &mut actions);
        actions
    }

    /// The caller of a waiting request has gone; false where the request no longer waits.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        self.queue.remove(ticket).is_some()
    }

    /// A request has waited as long as it may; none where it no longer waits.
    pub fn give_up(&mut self, now: Timestamp, ticket: Ticket) -> Option<Refusal> {
        let (importance, waiting) = self.queue.remove(ticket)?;
        self.activity.entry(importance).or_default().refused_at = Some(now);
        match self.is_too_late(now, &waiting) {
            true => Some(Refusal::DeadlinePassed),
            false => Some(Refusal::Overload),
        }
    }

    /// Importance below which requests are refused at present; 0 where none is.
    pub fn shed_below(&self, now: Timestamp) -> Importance {
        let recent = |at: Option<Timestamp>| at.is_some_and(|at| now < at + PRESSURE_WINDOW);
        if !self.activity.values().any(|class| recent(class.refused_at)) {
            return Importance(0);
        }
        let served = self.activity.iter().find(|(_, class)| recent(class.started_at));
        served.map_or(Importance(0), |(importance, _)| *importance)
    }

    /// Requests that run or wait, in 1/128 of the concurrency limit.
    pub fn load(&self, now: Timestamp) -> u8 {
        let held = f64::from(self.in_flight) + self.queue.len() as f64;
        (held / f64::from(self.limit.current(now)) * LOAD_UNIT).min(MAX_LOAD) as u8
    }

    /// Requests that the upstream is running.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// The concurrency limit in force.
    pub fn limit(&self, now: Timestamp) -> u32 {
        self.limit.current(now)
    }

    /// Mean time that a request holds its slot.
    pub fn mean_own_time(&self) -> Duration {
        self.limit.mean_own_time()
    }

    fn start_waiting(&mut self, now: Timestamp, actions: &mut Actions) {
        while self.in_flight < self.limit.current(now) {
            let Some((importance, waiting)) = self.queue.pop() else { return };
            if self.is_too_late(now, &waiting) {
                actions.push(Action::Refuse(waiting.ticket, Refusal::DeadlinePassed));
                continue;
            }
            self.in_flight += 1;
            self.activity.entry(importance).or_default().started_at = Some(now);
            actions.push(Action::Start(waiting.ticket));
        }
    }

    fn is_too_late(&self, now: Timestamp, waiting: &Waiting) -> bool {
        let own_time = waiting.own_time.unwrap_or_else(|| self.limit.own_time(now));
        waiting.deadline <= now + own_time.mul_f64(LEAST_TIME_FACTOR)
    }

    fn max_wait(&self) -> Duration {
        self.limit.mean_own_time().mul_f64(WAIT_FACTOR).max(MIN_WAIT)
    }

    fn queue_capacity(&self, now: Timestamp) -> usize {
        (self.limit.current(now) as usize).max(MIN_QUEUE)
    }
}

impl Action {
    fn ticket(self) -> Ticket {
        match self {
            Self::Start(ticket) | Self::Wait(ticket, _) | Self::Refuse(ticket, _) => ticket,
        }
    }
}
