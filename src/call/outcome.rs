//! How a request ends: a whole answer, a true refusal, or an outcome that is not known.
//!
//! A [`NotRun`] is made from an [`Undispatched`], which [`Dispatch::begin`] consumes. So a
//! request whose bytes went to an upstream cannot be reported as not run. The only way back is
//! an [`Unsent`], which the HTTP client's error gives where it returns the request unwritten.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use hyper::client::conn::TrySendError;
use serde::{Deserialize, Serialize};

use crate::peers::proto;

/// Why a request was refused, or why its outcome is not known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The request is malformed.
    BadRequest,
    /// No key, or none that is in force.
    UnknownKey,
    /// No route for the path.
    NoRoute,
    /// The body is larger than the limit.
    TooLarge,
    /// The organisation is over its rate.
    OverRate,
    /// Shed, since more important work fills the service.
    Overload,
    /// The node cannot show that its table and configuration are current.
    #[serde(rename = "no_right")]
    NoLease,
    /// No upstream offers the service.
    NoUpstream,
    /// The answer could not have come in time.
    DeadlinePassed,
    /// The request crashed upstreams before.
    Quarantined,
    /// The owner of the idempotency key changed, or its record is gone.
    KeyHistoryUnknown,
    /// The same request is running.
    InProgress,
    /// The node or its upstream is leaving.
    Leaving,
    /// The upstream's connection broke or its answer was not whole.
    UpstreamFailed,
    /// The connection to another node broke.
    PeerFailed,
}

impl Reason {
    const ALL: [Self; 15] = [
        Self::BadRequest,
        Self::UnknownKey,
        Self::NoRoute,
        Self::TooLarge,
        Self::OverRate,
        Self::Overload,
        Self::NoLease,
        Self::NoUpstream,
        Self::DeadlinePassed,
        Self::Quarantined,
        Self::KeyHistoryUnknown,
        Self::InProgress,
        Self::Leaving,
        Self::UpstreamFailed,
        Self::PeerFailed,
    ];

    /// Name on the wire, in metrics and in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::BadRequest => "bad_request",
            Self::UnknownKey => "unknown_key",
            Self::NoRoute => "no_route",
            Self::TooLarge => "too_large",
            Self::OverRate => "over_rate",
            Self::Overload => "overload",
            Self::NoLease => "no_right",
            Self::NoUpstream => "no_upstream",
            Self::DeadlinePassed => "deadline_passed",
            Self::Quarantined => "quarantined",
            Self::KeyHistoryUnknown => "key_history_unknown",
            Self::InProgress => "in_progress",
            Self::Leaving => "leaving",
            Self::UpstreamFailed => "upstream_failed",
            Self::PeerFailed => "peer_failed",
        }
    }

    /// Reads a name that another node sent.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|reason| reason.as_str() == name)
    }

    fn refusal_status(self) -> StatusCode {
        match self {
            Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::OverRate => StatusCode::TOO_MANY_REQUESTS,
            Self::InProgress => StatusCode::CONFLICT,
            Self::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

/// A request of which no byte has gone to an upstream.
#[derive(Debug)]
pub struct Undispatched {
    covers_request: bool,
}

impl Undispatched {
    /// Starts a request as it comes in.
    ///
    /// `covers_request` is false for a request with an idempotency key, until its owner has
    /// looked at the record of the key.
    pub fn new(covers_request: bool) -> Self {
        Self { covers_request }
    }

    /// The owner of the idempotency key has no earlier attempt on record.
    pub fn cover_request(&mut self) {
        self.covers_request = true;
    }

    /// Ends the request without running it.
    pub fn refuse(self, reason: Reason, detail: impl Into<String>) -> NotRun {
        NotRun {
            reason,
            detail: detail.into(),
            retry_after: None,
            covers_request: self.covers_request,
        }
    }
}

/// A request that was handed to an upstream.
#[derive(Debug)]
pub struct Dispatch {
    covers_request: bool,
}

/// Shows that the HTTP client never took a request for writing.
#[derive(Debug)]
pub struct Unsent(());

impl Unsent {
    /// The client gives a request back only where it wrote no byte of it.
    pub fn from_error<B>(error: &mut TrySendError<Request<B>>) -> Option<Self> {
        error.take_message().map(|_| Self(()))
    }
}

impl Dispatch {
    /// Marks the moment from which the request can no longer be called not run.
    pub fn begin(undispatched: Undispatched) -> Self {
        Self { covers_request: undispatched.covers_request }
    }

    /// The connection closed before the client took the request.
    pub fn not_sent(self, _: Unsent) -> Undispatched {
        Undispatched { covers_request: self.covers_request }
    }

    /// The whole answer came.
    pub fn answered(self, answer: Answer) -> Outcome {
        Outcome::Whole(answer)
    }

    /// Nobody can tell whether the request ran.
    pub fn unknown(self, reason: Reason, detail: impl Into<String>) -> Outcome {
        Outcome::Unknown(Unknown { reason, detail: detail.into() })
    }
}

/// A request that is being sent to another node, which may hand it to its upstream.
#[derive(Debug)]
pub struct Forwarding {
    covers_request: bool,
}

impl Forwarding {
    /// Marks the moment before the first byte goes to the other node.
    pub fn begin(undispatched: Undispatched) -> Self {
        Self { covers_request: undispatched.covers_request }
    }

    /// No connection to the node could be made, so nothing was sent.
    pub fn not_sent(self) -> Undispatched {
        Undispatched { covers_request: self.covers_request }
    }

    /// The node, authenticated, answered that it did not run the request.
    pub fn not_run(self, not_run: NotRun) -> (Undispatched, NotRun) {
        (Undispatched { covers_request: self.covers_request }, not_run)
    }

    /// The whole answer came.
    pub fn answered(self, answer: Answer) -> Outcome {
        Outcome::Whole(answer)
    }

    /// Nobody can tell whether the request ran.
    pub fn unknown(self, reason: Reason, detail: impl Into<String>) -> Outcome {
        Outcome::Unknown(Unknown { reason, detail: detail.into() })
    }
}

/// How a request ended.
#[derive(Debug)]
pub enum Outcome {
    /// The whole answer.
    Whole(Answer),
    /// The request did not run.
    NotRun(NotRun),
    /// The request may have run.
    Unknown(Unknown),
}

/// A whole answer of an upstream.
#[derive(Debug, Clone)]
pub struct Answer {
    /// Status.
    pub status: StatusCode,
    /// Headers, hop headers left out.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
}

/// A refusal; the request did not run.
#[derive(Debug, Clone)]
pub struct NotRun {
    /// Why.
    pub reason: Reason,
    /// Text for a person.
    pub detail: String,
    /// When the caller may try again.
    pub retry_after: Option<Duration>,
    /// The refusal speaks of all attempts with the idempotency key, not of this one alone.
    pub covers_request: bool,
}

impl NotRun {
    /// Sets when the caller may try again.
    pub fn retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }

    /// Status towards the caller.
    pub fn status(&self) -> StatusCode {
        self.reason.refusal_status()
    }

    /// The request as it was before the attempt that was refused.
    pub fn for_retry(&self) -> Undispatched {
        Undispatched { covers_request: self.covers_request }
    }
}

/// An outcome that is not known.
#[derive(Debug, Clone)]
pub struct Unknown {
    /// Why.
    pub reason: Reason,
    /// Text for a person.
    pub detail: String,
}

impl Unknown {
    /// An idempotent request as it goes into another attempt.
    ///
    /// A refusal of that attempt does not say that the request has not run; whoever tries again
    /// must report this outcome in its place.
    pub fn for_retry(&self) -> Undispatched {
        Undispatched { covers_request: false }
    }

    /// Status towards the caller.
    pub fn status(&self) -> StatusCode {
        match self.reason {
            Reason::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
            _ => StatusCode::BAD_GATEWAY,
        }
    }
}

/// JSON body of a refusal or an unknown outcome.
#[derive(Debug, Serialize, Deserialize)]
pub struct RefusalBody {
    /// `not-run` or `unknown`.
    pub outcome: String,
    /// Why.
    pub reason: Reason,
    /// Text for a person.
    pub detail: String,
    /// When the caller may try again, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

/// Digest over all parts of an answer, so that a cut or mixed-up answer is found.
pub fn answer_digest(
    request_id: &[u8],
    status: u32,
    headers: &[proto::Header],
    body: &[u8],
) -> blake3::Hash {
    let mut hasher = blake3::Hasher::new();
    hasher.update(request_id);
    hasher.update(&status.to_le_bytes());
    for header in headers {
        hasher.update(&header.name.len().to_le_bytes());
        hasher.update(header.name.as_bytes());
        hasher.update(&header.value.len().to_le_bytes());
        hasher.update(&header.value);
    }
    hasher.update(body);
    hasher.finalize()
}
