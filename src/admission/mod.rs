//! Admission control at the node local to an upstream: decides whether a request starts, waits or
//! is refused.
//!
//! [`Admission`] does no I/O. The caller reports arrivals and completions to it and carries out the
//! returned [`Action`]s, which identify each request by its [`Ticket`].

mod gate;
mod learned_pace;
mod limit;
mod mean_time;
mod own_time;
mod pace;
mod queue;
mod rate_limit;
mod slot_limit;

use std::{collections::BTreeMap, time::Duration};

use smallvec::SmallVec;

pub use gate::{AdmissionRequest, Gate, GateStatus, Slot};
pub use learned_pace::LearnedPace;
pub use limit::ConcurrencyLimit;
pub use mean_time::MeanTime;
pub use own_time::OwnTime;
pub use pace::{ColdPace, ColdRate, Pace, PaceReport};
pub use queue::{FairQueue, WaitingRequest};
pub use rate_limit::{NamedRate, RateLimit};
pub use slot_limit::SlotLimit;

use crate::{clock::Timestamp, config::Importance, names::OrganisationName};

/// Smallest queue capacity. The capacity is otherwise the concurrency limit, and with a small limit
/// every burst would be refused.
const MIN_QUEUE_CAPACITY: usize = 32;
/// Lower bound of the maximum wait of a request, for upstreams with a short mean time.
const MIN_WAIT_LIMIT: Duration = Duration::from_millis(100);
/// Maximum wait in multiples of the upstream's mean own time for a request. A request that waits
/// longer occupies its callers' slots, which other requests could use.
const MAX_WAIT_FACTOR: f64 = 2.0;
/// Fraction of the mean own time that must be left until the deadline for a request to start.
const MIN_REMAINING_FACTOR: f64 = 0.5;
/// Time for which a refusal or a start of a class affects [`Admission::shed_below`].
const PRESSURE_WINDOW: Duration = Duration::from_millis(200);
/// Unit of the load in replies: 1/128 of the concurrency limit.
const LOAD_UNIT: f64 = 128.0;
/// Largest load of a serving upstream; 255 means that no upstream has announced itself.
const MAX_LOAD: f64 = 254.0;

/// Identifies a request at one node; increases with arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// A request that arrives for admission.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Identifies the request.
    pub ticket: Ticket,
    /// Importance of its class.
    pub importance: Importance,
    /// Organisation that the request is made for; `None` on an open route.
    pub organisation: Option<OrganisationName>,
    /// The request is a call within a root request that was admitted before.
    pub is_nested_call: bool,
    /// Time after which an answer is useless to the caller.
    pub deadline: Timestamp,
    /// Mean own time of requests of the same kind; if `None`, the mean of all requests is used.
    pub own_time: Option<Duration>,
}

/// Why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The upstream is overloaded: the queue was full, or no slot became free within the maximum
    /// wait.
    Overload,
    /// The upstream could not answer before the deadline.
    DeadlinePassed,
}

/// What to do with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Forward the request to the upstream.
    Start(Ticket),
    /// Keep the request until another action names its ticket. At the given time, call
    /// [`Admission::on_wait_timeout`].
    Wait(Ticket, Timestamp),
    /// Refuse the request; it did not run.
    Refuse(Ticket, Refusal),
}

/// Actions that result from one event, usually one or two.
pub type Actions = SmallVec<[Action; 2]>;

/// How a started request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Completion {
    /// The upstream answered.
    Answered {
        /// Time that the upstream itself spent, without nested calls.
        own_time: Duration,
        /// Time including the upstream's calls to other services.
        total_time: Duration,
    },
    /// No answer, an error or a cancellation; not used as a measurement of the upstream's speed.
    Aborted,
}

/// When requests of one importance were last started and last refused for overload.
#[derive(Debug, Clone, Copy, Default)]
struct ClassActivity {
    started_at: Option<Timestamp>,
    refused_at: Option<Timestamp>,
}

/// A concurrency limit of an upstream, with the mean time of its requests.
pub trait Limit: std::fmt::Debug + Send + 'static {
    /// Creates a limit for an upstream that announced this number of slots.
    fn new(now: Timestamp, slots: u32) -> Self;

    /// The number of requests that may run at the same time.
    fn current_limit(&self, now: Timestamp) -> u32;

    /// Mean time that a request occupies its slot; zero without a recent completion.
    fn recent_own_time(&self, now: Timestamp) -> Duration;

    /// Mean time that a request occupies its slot, regardless of its age.
    fn mean_own_time(&self) -> Duration;

    /// Records an answered request. `is_at_limit` is set if all slots were in use and requests
    /// waited.
    fn record_completion(
        &mut self,
        now: Timestamp,
        own_time: Duration,
        total_time: Duration,
        is_at_limit: bool,
    );
}

/// Decides which requests run at the upstream, by a concurrency limit, the rate that the upstream
/// names, and a fair queue.
#[derive(Debug)]
pub struct Admission<L = ConcurrencyLimit> {
    limit: L,
    /// Fraction of the limit that is used.
    limit_factor: f64,
    /// Limit on the rate of starts.
    pace: Pace,
    queue: FairQueue,
    in_flight: u32,
    activity: BTreeMap<Importance, ClassActivity>,
}

impl<L: Limit> Admission<L> {
    /// Creates an admission for an upstream that announced `slots` slots.
    pub fn new(now: Timestamp, slots: u32) -> Self {
        Self {
            limit: L::new(now, slots),
            limit_factor: 1.0,
            pace: Pace::default(),
            queue: FairQueue::default(),
            in_flight: 0,
            activity: BTreeMap::new(),
        }
    }

    /// Resets the limit after the upstream has announced itself again, since it has restarted and
    /// is cold. Waiting requests stay in the queue.
    pub fn on_announcement(&mut self, now: Timestamp, slots: u32) {
        self.pace.learned_mut().set_slots(slots);
        self.limit = L::new(now, slots);
    }

    /// Sets the fraction of the concurrency limit that is used.
    pub fn set_limit_factor(&mut self, factor: f64) {
        self.limit_factor = factor;
    }

    /// Limit on the rate of starts.
    pub fn pace(&self) -> &Pace {
        &self.pace
    }

    /// The same, to record what the upstream states.
    pub fn pace_mut(&mut self) -> &mut Pace {
        &mut self.pace
    }

    /// Part of the pace that the upstream names in its answers.
    pub fn rate_mut(&mut self) -> &mut RateLimit {
        self.pace.named_mut()
    }

    /// Starts the waiting requests for which the rate limit has gained tokens.
    pub fn on_token(&mut self, now: Timestamp) -> Actions {
        let mut actions = Actions::new();
        self.start_waiting_requests(now, &mut actions);
        actions
    }

    /// Time until [`Self::on_token`] must be called; `None` while no request waits for a token.
    pub fn time_to_token(&mut self, now: Timestamp) -> Option<Duration> {
        let waits = !self.queue.is_empty() && self.in_flight < self.limit(now);
        waits.then(|| self.pace.time_to_token(now))
    }

    /// Handles an arriving request.
    pub fn on_arrival(&mut self, now: Timestamp, arrival: Arrival) -> Actions {
        let mut actions = Actions::new();
        let Arrival { ticket, importance, organisation, is_nested_call, deadline, own_time } =
            arrival;
        let waiting = WaitingRequest { ticket, deadline, own_time };
        if self.cannot_meet_deadline(now, &waiting) {
            actions.push(Action::Refuse(ticket, Refusal::DeadlinePassed));
            return actions;
        }
        self.queue.push(importance, organisation, is_nested_call, waiting);
        self.start_waiting_requests(now, &mut actions);
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

    /// Handles the end of a started request.
    pub fn on_completion(&mut self, now: Timestamp, completion: Completion) -> Actions {
        let is_at_limit = self.in_flight >= self.limit(now) && !self.queue.is_empty();
        if let Completion::Answered { own_time, total_time } = completion {
            self.limit.record_completion(now, own_time, total_time, is_at_limit);
        }
        self.in_flight = self.in_flight.saturating_sub(1);
        let mut actions = Actions::new();
        self.start_waiting_requests(now, &mut actions);
        actions
    }

    /// Removes a waiting request after its caller has disconnected. Returns false if the request is
    /// not waiting any more.
    pub fn on_disconnect(&mut self, ticket: Ticket) -> bool {
        self.queue.remove(ticket).is_some()
    }

    /// Refuses a request that has reached its maximum wait. Returns `None` if it is not waiting any
    /// more.
    pub fn on_wait_timeout(&mut self, now: Timestamp, ticket: Ticket) -> Option<Refusal> {
        let (importance, waiting) = self.queue.remove(ticket)?;
        self.activity.entry(importance).or_default().refused_at = Some(now);
        match self.cannot_meet_deadline(now, &waiting) {
            true => Some(Refusal::DeadlinePassed),
            false => Some(Refusal::Overload),
        }
    }

    /// Importance below which requests are refused at present; 0 if none are refused.
    pub fn shed_below(&self, now: Timestamp) -> Importance {
        let is_recent = |at: Option<Timestamp>| at.is_some_and(|at| now < at + PRESSURE_WINDOW);
        if !self.activity.values().any(|class| is_recent(class.refused_at)) {
            return Importance(0);
        }
        let lowest_served = self.activity.iter().find(|(_, class)| is_recent(class.started_at));
        lowest_served.map_or(Importance(0), |(importance, _)| *importance)
    }

    /// Running and waiting requests, in 1/128 of the concurrency limit.
    pub fn load(&self, now: Timestamp) -> u8 {
        let running_or_waiting = f64::from(self.in_flight) + self.queue.len() as f64;
        (running_or_waiting / f64::from(self.limit(now)) * LOAD_UNIT).min(MAX_LOAD) as u8
    }

    /// Number of requests that the upstream is running.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// The concurrency limit at `now`.
    pub fn limit(&self, now: Timestamp) -> u32 {
        let limit = f64::from(self.limit.current_limit(now)) * self.limit_factor;
        (limit.ceil() as u32).max(1)
    }

    /// Mean time that a request occupies its slot.
    pub fn mean_own_time(&self) -> Duration {
        self.limit.mean_own_time()
    }

    fn start_waiting_requests(&mut self, now: Timestamp, actions: &mut Actions) {
        while self.in_flight < self.limit(now) && self.pace.time_to_token(now).is_zero() {
            let Some((importance, waiting)) = self.queue.pop() else { return };
            if self.cannot_meet_deadline(now, &waiting) {
                actions.push(Action::Refuse(waiting.ticket, Refusal::DeadlinePassed));
                continue;
            }
            self.pace.take(now);
            self.in_flight += 1;
            self.activity.entry(importance).or_default().started_at = Some(now);
            actions.push(Action::Start(waiting.ticket));
        }
    }

    fn cannot_meet_deadline(&self, now: Timestamp, waiting: &WaitingRequest) -> bool {
        let own_time = waiting.own_time.unwrap_or_else(|| self.limit.recent_own_time(now));
        waiting.deadline <= now + own_time.mul_f64(MIN_REMAINING_FACTOR)
    }

    fn max_wait(&self) -> Duration {
        self.limit.mean_own_time().mul_f64(MAX_WAIT_FACTOR).max(MIN_WAIT_LIMIT)
    }

    fn queue_capacity(&self, now: Timestamp) -> usize {
        let capacity = (self.limit(now) as usize).max(MIN_QUEUE_CAPACITY);
        match self.pace.per_s(now) {
            // More requests than can be started within the maximum wait would only be refused later.
            Some(per_s) => capacity.min((per_s * self.max_wait().as_secs_f64()).ceil() as usize),
            None => capacity,
        }
    }
}

impl Action {
    fn ticket(self) -> Ticket {
        match self {
            Self::Start(ticket) | Self::Wait(ticket, _) | Self::Refuse(ticket, _) => ticket,
        }
    }
}
