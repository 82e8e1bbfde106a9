//! What a platform's own names and message forms must be translated into.

use std::{fmt, net::SocketAddr, sync::Arc, time::Duration};

use http::{HeaderMap, Method, StatusCode};
use serde_json::{Map, Value};

use crate::{
    findings::Collector,
    mesh::{Bounds, CatalogParts},
    names::{InstanceName, ServiceName, ZoneName},
    store::{ObjectApi, ObjectVersion},
};

/// What the head of a caller's request says beside method, path and host.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct CallHead {
    /// Id that the caller gave the request.
    pub request_id: Option<Arc<str>>,
    /// How long the caller will wait.
    pub remaining: Option<Duration>,
    /// Key of an organisation.
    pub key: Option<Arc<str>>,
}

/// What an upstream is told beside method, path and host.
#[derive(Debug, Clone, Copy)]
pub struct UpstreamHead<'a> {
    /// Id that the caller gave the request.
    pub request_id: &'a str,
    /// Time left for the answer.
    pub remaining: Duration,
    /// Upstream that is meant.
    pub upstream: &'a str,
    /// Organisation that the request runs for.
    pub organisation: Option<&'a str>,
    /// Service beside the node at which the request began.
    pub caller_service: &'a str,
}

/// Work that an upstream reports with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests that it is running.
    pub running: u32,
    /// Requests that wait in it.
    pub waiting: u32,
    /// Requests that it can run at once.
    pub slots: u32,
}

/// What the head of an upstream's answer says.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct AnswerHead {
    /// Id of the request that it answers, where it says so.
    pub request_id: Option<Arc<str>>,
    /// The upstream states that it did not run the request.
    pub not_run: bool,
    /// The address belongs to another upstream now.
    pub misdirected: bool,
    /// The answer is marked as the upstream's own.
    pub is_from_upstream: bool,
    /// Work at the upstream.
    pub load: Option<ReportedLoad>,
}

/// Whether an upstream takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamState {
    /// It takes new work.
    Ready,
    /// It finishes what it has.
    Draining,
}

/// What an upstream says of itself.
#[derive(Debug, Clone, PartialEq)]
pub struct Heartbeat {
    /// Id of the upstream.
    pub upstream: InstanceName,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Service that it offers.
    pub service: ServiceName,
    /// Availability zone.
    pub zone: ZoneName,
    /// Requests that it can run at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: UpstreamState,
    /// Rises with each heartbeat of one start.
    pub sequence: u64,
    /// Time of its start; a later start has a later one.
    pub started_unix_ms: u64,
    /// How much longer it is slow after its start.
    pub cold: Duration,
}

/// A message to the listener for heartbeats.
#[derive(Debug, Clone, PartialEq)]
pub enum UpstreamMessage {
    /// A heartbeat.
    Heartbeat(Heartbeat),
    /// The upstream leaves; it still serves for a short time.
    Leave {
        /// Id of the upstream.
        upstream: InstanceName,
    },
}

/// Translates between a platform's messages and the project's own types.
///
/// The implementation holds no state and takes no decision.
pub trait Dialect: fmt::Debug + Clone + Copy + Send + Sync + 'static {
    /// The platform's object store.
    type Store: ObjectApi + Clone + fmt::Debug;

    /// Kind and name of the operators' configuration in the store.
    const CONFIGURATION: (&'static str, &'static str);
    /// Path on the listener for readiness.
    const READINESS_PATH: &'static str;

    /// Makes the client of the store.
    fn store(address: SocketAddr, timeout: Duration) -> Self::Store;

    /// Reads the bounds by the platform's names; adds a finding for each that is unreadable.
    fn bounds(entries: &Map<String, Value>, place: &str, collector: &mut Collector) -> Bounds;

    /// Reads the operators' configuration; a text says what makes it unusable.
    fn catalog(value: &Value, version: ObjectVersion) -> Result<CatalogParts, String>;

    /// Takes what concerns the node out of the head of a caller's request.
    fn take_call_head(headers: &mut HeaderMap) -> CallHead;

    /// Adds what an upstream is told to the headers of a request.
    fn add_upstream_head(headers: &mut HeaderMap, head: &UpstreamHead<'_>);

    /// Reads the head of an upstream's answer.
    fn answer_head(status: StatusCode, headers: &HeaderMap) -> AnswerHead;

    /// Reads the head of a good answer about an upstream's health: its id, and its work where it
    /// says so.
    fn health_head(headers: &HeaderMap) -> Option<(InstanceName, Option<ReportedLoad>)>;

    /// Id of the request that an upstream was running when it made the call with this id, as far
    /// as the id tells. It is a hint: the node looks whether its upstream runs such a request.
    fn parent_id(request_id: &str) -> Option<&str>;

    /// Adds the id of the request to an answer of the node's own.
    fn add_request_id(headers: &mut HeaderMap, request_id: &str);

    /// Reads a message to the listener for heartbeats; a text says why it is unreadable.
    fn upstream_message(
        method: &Method,
        path: &str,
        body: &[u8],
    ) -> Result<UpstreamMessage, String>;
}
