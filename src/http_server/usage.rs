//! When a connection may be closed after a shutdown has started.
//!
//! A caller whose connection is closed while it sends a request does not know whether the request ran.
//! Answers that are given after the start of a shutdown close their connections, which callers can see, so
//! only connections on which no request is running are closed without one. A caller on a busy machine may
//! need hundreds of milliseconds between the connect and its first request, and a planned stop makes every
//! caller connect anew for each request: 1 of 1917 requests was cut while new connections were closed 200 ms
//! after the start of the shutdown.

use std::time::Duration;

use parking_lot::Mutex;

use crate::clock::Timestamp;

/// What a connection was used for last.
#[derive(Debug, Clone, Copy)]
enum Phase {
    /// It was accepted, and nothing has arrived on it.
    New { since: Timestamp },
    /// The first byte of a request has arrived.
    ReadingHead { since: Timestamp },
    /// Requests are running.
    Running { count: usize },
    /// The last answer is ready, and nothing has arrived after it.
    Idle { since: Timestamp },
}

#[derive(Debug)]
struct State {
    phase: Phase,
    is_http2: bool,
}

/// Times that decide when a connection without a running request is closed.
#[derive(Debug, Clone, Copy)]
pub struct CloseTimes {
    /// Time that a client has to send the head of a request, from the accept or from its first byte.
    pub head: Duration,
    /// Time without use after which a connection that has served a request is closed; counted from the
    /// start of the shutdown at the earliest.
    pub idle: Duration,
}

/// Use of a connection, as far as its closing depends on it.
#[derive(Debug)]
pub struct ConnectionUsage {
    state: Mutex<State>,
}

impl ConnectionUsage {
    /// Creates the usage of a connection that has just been accepted.
    pub fn new(now: Timestamp) -> Self {
        let state = State { phase: Phase::New { since: now }, is_http2: false };
        Self { state: Mutex::new(state) }
    }

    /// Records that bytes have arrived.
    pub fn record_bytes(&self, now: Timestamp) {
        let mut state = self.state.lock();
        if let Phase::New { .. } | Phase::Idle { .. } = state.phase {
            state.phase = Phase::ReadingHead { since: now };
        }
    }

    /// Records the start of a request.
    pub fn begin_request(&self, is_http2: bool) {
        let mut state = self.state.lock();
        let running = match state.phase {
            Phase::Running { count } => count,
            _ => 0,
        };
        state.phase = Phase::Running { count: running + 1 };
        state.is_http2 |= is_http2;
    }

    /// Records the end of a request; returns whether no other one is running.
    pub fn end_request(&self, now: Timestamp) -> bool {
        let mut state = self.state.lock();
        let Phase::Running { count } = state.phase else { return true };
        state.phase = match count {
            0 | 1 => Phase::Idle { since: now },
            _ => Phase::Running { count: count - 1 },
        };
        count <= 1
    }

    /// Returns the time at which the connection may be closed if nothing arrives on it until then;
    /// `None` if it will be closed with an answer.
    pub fn may_close_at(&self, shutdown_at: Timestamp, times: CloseTimes) -> Option<Timestamp> {
        let state = self.state.lock();
        match state.phase {
            // HTTP/2 announces the end of a connection, and the requests before it are answered.
            _ if state.is_http2 => Some(shutdown_at + times.idle),
            Phase::Running { .. } => None,
            Phase::New { since } | Phase::ReadingHead { since } => {
                Some((since + times.head).max(shutdown_at + times.idle))
            }
            Phase::Idle { since } => Some(since.max(shutdown_at) + times.idle),
        }
    }

    /// Whether a request has arrived by HTTP/2.
    pub fn is_http2(&self) -> bool {
        self.state.lock().is_http2
    }
}
