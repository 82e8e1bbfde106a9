//! How a request ends: with a complete response, with a refusal that guarantees that the request
//! has not run, or with an unknown outcome.
//!
//! A [`NotRun`] is made from an [`Undispatched`], which [`Dispatch::begin`] consumes. So a request
//! that was sent to an upstream cannot be reported as not run. A [`Dispatch`] becomes an
//! [`Undispatched`] again only with an [`Unsent`], which is made from an HTTP client error that
//! returns the request unwritten.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use hyper::client::conn::TrySendError;
use serde::{Deserialize, Serialize};

use crate::peers::proto;

/// Why a request was refused, or why its outcome is unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The request is malformed.
    BadRequest,
    /// The request has no key, or its key is not in force.
    UnknownKey,
    /// No route matches the path.
    NoRoute,
    /// The request body is larger than the limit.
    TooLarge,
    /// The organisation exceeds its rate.
    OverRate,
    /// Shed: more important requests fill the service, or a limit of the node is reached.
    Overload,
    /// The node holds no lease: it cannot show that its membership table and configuration are
    /// current.
    #[serde(rename = "no_right")]
    NoLease,
    /// No reachable upstream offers the service.
    NoUpstream,
    /// The request was not, or could not be, answered before its deadline.
    DeadlinePassed,
    /// The request is quarantined, as it crashed upstreams before.
    Quarantined,
    /// The owner of the idempotency key changed, or the record of the key is gone, so an earlier
    /// attempt may have run.
    KeyHistoryUnknown,
    /// An attempt with the same idempotency key is running.
    InProgress,
    /// The node or its upstream is leaving and accepts no new requests.
    Leaving,
    /// The connection to the upstream broke, or its response was incomplete.
    UpstreamFailed,
    /// The connection to another node failed, or its reply was not valid.
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

    /// Finds the reason with the name that another node sent.
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

/// A request that has not run: no byte of it has been sent to an upstream.
#[derive(Debug)]
pub struct Undispatched {
    covers_request: bool,
}

impl Undispatched {
    /// Makes the initial state of a request that has arrived.
    ///
    /// `covers_request` states whether a refusal holds for the request as a whole. It is false for
    /// a request with an idempotency key until the owner of the key has checked the key's record,
    /// as an earlier attempt may have run.
    pub fn new(covers_request: bool) -> Self {
        Self { covers_request }
    }

    /// Makes refusals cover all attempts; called when the owner of the idempotency key has no
    /// earlier attempt on record.
    pub fn cover_request(&mut self) {
        self.covers_request = true;
    }

    /// Refuses the request, which has not run.
    pub fn refuse(self, reason: Reason, detail: impl Into<String>) -> NotRun {
        NotRun {
            reason,
            detail: detail.into(),
            retry_after: None,
            covers_request: self.covers_request,
        }
    }
}

/// A request that was passed to the HTTP client for an upstream and may run.
#[derive(Debug)]
pub struct Dispatch {
    covers_request: bool,
}

/// Proof that the HTTP client wrote no byte of a request.
#[derive(Debug)]
pub struct Unsent(());

impl Unsent {
    /// Returns the proof if the error contains the request, which the client returns only if it
    /// wrote no byte of it.
    pub fn from_error<B>(error: &mut TrySendError<Request<B>>) -> Option<Self> {
        error.take_message().map(|_| Self(()))
    }
}

impl Dispatch {
    /// Marks the request as dispatched, before it is passed to the HTTP client. From then on it
    /// cannot be reported as not run.
    pub fn begin(undispatched: Undispatched) -> Self {
        Self { covers_request: undispatched.covers_request }
    }

    /// Reverts the dispatch of a request that the client returned unwritten.
    pub fn not_sent(self, _: Unsent) -> Undispatched {
        Undispatched { covers_request: self.covers_request }
    }

    /// Ends the request with a complete response.
    pub fn answered(self, answer: Answer) -> Outcome {
        Outcome::Whole(answer)
    }

    /// Ends the request with an unknown outcome: it may have run.
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
    /// Marks the request as forwarded, before its first byte is sent to the other node.
    pub fn begin(undispatched: Undispatched) -> Self {
        Self { covers_request: undispatched.covers_request }
    }

    /// Reverts the forwarding: no connection to the node was made, so nothing was sent.
    pub fn not_sent(self) -> Undispatched {
        Undispatched { covers_request: self.covers_request }
    }

    /// Reverts the forwarding: the other node, which is authenticated, reported that the request
    /// has not run. Returns the request for another attempt, and the refusal.
    pub fn not_run(self, not_run: NotRun) -> (Undispatched, NotRun) {
        (Undispatched { covers_request: self.covers_request }, not_run)
    }

    /// Ends the request with a complete response.
    pub fn answered(self, answer: Answer) -> Outcome {
        Outcome::Whole(answer)
    }

    /// Ends the request with an unknown outcome: it may have run.
    pub fn unknown(self, reason: Reason, detail: impl Into<String>) -> Outcome {
        Outcome::Unknown(Unknown { reason, detail: detail.into() })
    }
}

/// How a request ended.
#[derive(Debug)]
pub enum Outcome {
    /// The upstream answered with a complete response.
    Whole(Answer),
    /// The request was refused, and it is guaranteed that it has not run.
    NotRun(NotRun),
    /// The request may have run: it was sent, but no complete response was received.
    Unknown(Unknown),
}

/// Reads the status of a response that ends a request: 200 to 599. A response with another one is no answer:
/// after 101 the connection speaks another protocol, and from 600 on no status is defined.
pub fn final_status(status: u32) -> Option<StatusCode> {
    let status = StatusCode::from_u16(u16::try_from(status).ok()?).ok()?;
    matches!(status.as_u16(), 200..=599).then_some(status)
}

/// A complete response of an upstream.
#[derive(Debug, Clone)]
pub struct Answer {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers, without those that apply to a single hop.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

/// A refusal that guarantees that the request has not run.
#[derive(Debug, Clone)]
pub struct NotRun {
    /// Reason, for programs.
    pub reason: Reason,
    /// Explanation, for people.
    pub detail: String,
    /// Time after which the caller may retry.
    pub retry_after: Option<Duration>,
    /// Whether the refusal covers all attempts with the idempotency key, not only this one.
    pub covers_request: bool,
}

impl NotRun {
    /// Sets the time after which the caller may retry.
    pub fn retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }

    /// HTTP status of the answer to the caller.
    pub fn status(&self) -> StatusCode {
        self.reason.refusal_status()
    }

    /// Returns the request in its state before the refused attempt, for another attempt.
    pub fn to_undispatched(&self) -> Undispatched {
        Undispatched { covers_request: self.covers_request }
    }
}

/// An unknown outcome: the request may have run.
#[derive(Debug, Clone)]
pub struct Unknown {
    /// Reason, for programs.
    pub reason: Reason,
    /// Explanation, for people.
    pub detail: String,
}

impl Unknown {
    /// Returns the state of an idempotent request for another attempt.
    ///
    /// A refusal of that attempt does not mean that the request has not run, so the code that
    /// retries must report this unknown outcome instead of the refusal.
    pub fn to_undispatched(&self) -> Undispatched {
        Undispatched { covers_request: false }
    }

    /// HTTP status of the answer to the caller.
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
    /// Reason, for programs.
    pub reason: Reason,
    /// Explanation, for people.
    pub detail: String,
    /// Time after which the caller may retry, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

/// Computes a digest over all parts of a response, to detect a response that is truncated or that
/// belongs to another request.
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
