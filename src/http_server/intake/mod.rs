//! Bounds on what the callers of a listener hold: connections, and memory of unfinished requests.

mod connections;
mod misuse;

use std::{sync::Arc, time::Duration};

use parking_lot::{Mutex, MutexGuard};
use tokio::sync::Notify;
use tokio_util::sync::{CancellationToken, WaitForCancellationFutureOwned};

use crate::{
    clock::{self, Timestamp},
    memory::MemoryBudget,
};

pub use connections::{Activity, ConnectionId, ConnectionTable};
pub use misuse::{Misuse, MisuseCounters};

/// Time after which a listener whose connections are all in use looks for one to close again.
const ROOM_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time between two requests that are shed: the memory of the first is free again by then.
const SHED_INTERVAL: Duration = Duration::from_millis(25);
/// Memory of an open connection without buffers: its task and its state.
const CONNECTION_BYTES: usize = 2 << 10;

/// Bounds of one listener and the state of its connections.
#[derive(Debug)]
pub struct Intake {
    /// Budget of the node.
    pub memory: Arc<MemoryBudget>,
    /// Counts what callers do beyond the bounds.
    pub misuse: Arc<MisuseCounters>,
    /// Name of the listener in logs and metrics.
    listener: &'static str,
    max_connections: usize,
    state: Mutex<State>,
    /// Notified when a connection has been closed.
    closed: Notify,
}

#[derive(Debug, Default)]
struct State {
    table: ConnectionTable,
    tokens: std::collections::HashMap<ConnectionId, CancellationToken>,
    last_shed: Option<Timestamp>,
}

impl Intake {
    /// Creates the bounds of a listener.
    pub fn new(
        listener: &'static str,
        max_connections: usize,
        memory: Arc<MemoryBudget>,
        misuse: Arc<MisuseCounters>,
    ) -> Arc<Self> {
        misuse.add_listener(listener);
        Arc::new(Self {
            memory,
            misuse,
            listener,
            max_connections,
            state: Mutex::default(),
            closed: Notify::new(),
        })
    }

    /// Bounds that nothing reaches.
    pub fn unlimited() -> Arc<Self> {
        let memory = Arc::new(MemoryBudget::new(usize::MAX));
        Self::new("unlimited", usize::MAX, memory, Arc::default())
    }

    /// Maximum number of open connections.
    pub fn max_connections(&self) -> usize {
        self.max_connections
    }

    /// Counts misuse by a caller of this listener.
    pub fn record(&self, misuse: Misuse) {
        self.misuse.record(clock::now(), self.listener, misuse);
    }

    /// Waits until there is room for another connection, and closes one that is not in use if there is
    /// none. Meanwhile, new connections wait in the queue of the kernel.
    pub async fn wait_for_room(&self) {
        loop {
            let closed = self.closed.notified();
            if self.make_room() {
                return;
            }
            // The time is up if no connection could be closed, or it has not been closed yet.
            let _ = tokio::time::timeout(ROOM_CHECK_INTERVAL, closed).await;
        }
    }

    /// Whether there is room for another connection; if there is none, one is closed.
    fn make_room(&self) -> bool {
        let mut state = self.state.lock();
        if state.table.len() < self.max_connections {
            return true;
        }
        // Another one is closed only once the last has gone.
        if state.table.len() - state.table.evicted() < self.max_connections {
            return false;
        }
        let evicted = state.table.evict_unused(clock::now());
        if let Some(token) = evicted.and_then(|id| state.tokens.get(&id).cloned()) {
            drop(state);
            token.cancel();
            self.record(Misuse::Connections);
        }
        false
    }

    /// Registers an accepted connection.
    pub fn register(self: &Arc<Self>) -> Ticket {
        self.insert(self.state.lock())
    }

    /// Registers a connection or a call if there is room for it.
    pub fn try_register(self: &Arc<Self>) -> Option<Ticket> {
        let state = self.state.lock();
        (state.table.len() < self.max_connections).then(|| self.insert(state))
    }

    fn insert(self: &Arc<Self>, mut state: MutexGuard<'_, State>) -> Ticket {
        let evicted = CancellationToken::new();
        let id = state.table.insert(clock::now());
        state.tokens.insert(id, evicted.clone());
        drop(state);
        let reservation = self.memory.reserve_always(CONNECTION_BYTES);
        Ticket { intake: self.clone(), id, evicted, _reservation: reservation }
    }

    /// Refuses an unfinished request so that others get its memory, if there is one to refuse.
    pub fn shed(&self) {
        let now = clock::now();
        let mut state = self.state.lock();
        if state.last_shed.is_some_and(|at| now < at + SHED_INTERVAL) {
            return;
        }
        let Some(id) = state.table.evict_unfinished(now) else { return };
        state.last_shed = Some(now);
        let token = state.tokens.get(&id).cloned();
        drop(state);
        if let Some(token) = token {
            token.cancel();
        }
    }
}

/// Registration of a connection until this is dropped.
#[derive(Debug)]
pub struct Ticket {
    intake: Arc<Intake>,
    id: ConnectionId,
    evicted: CancellationToken,
    _reservation: crate::memory::Reservation,
}

impl Ticket {
    /// Waits until the connection, or its unfinished request, must give way to others.
    pub async fn evicted(&self) {
        self.evicted.cancelled().await;
    }

    /// Like [`evicted`](Self::evicted), without a borrow.
    pub fn evicted_owned(&self) -> WaitForCancellationFutureOwned {
        self.evicted.clone().cancelled_owned()
    }

    /// Records that an idle connection was used.
    pub fn record_use(&self) {
        self.intake.state.lock().table.record_use(clock::now(), self.id);
    }

    /// Sets what the connection is doing.
    pub fn set_activity(&self, activity: Activity) {
        self.intake.state.lock().table.set_activity(clock::now(), self.id, activity);
    }

    /// Records that bytes of an unfinished request have arrived, and how many it holds now.
    pub fn record_progress(&self, held_bytes: usize) {
        self.intake.state.lock().table.record_progress(clock::now(), self.id, held_bytes);
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let mut state = self.intake.state.lock();
        state.table.remove(clock::now(), self.id);
        state.tokens.remove(&self.id);
        drop(state);
        self.intake.closed.notify_one();
    }
}
