//! Interface between the mesh and a platform's own names and message formats.

use std::{fmt, net::SocketAddr, sync::Arc, time::Duration};

use http::{HeaderMap, Method, StatusCode};
use serde_json::{Map, Value};

use crate::{
    admission::NamedRate,
    findings::Collector,
    mesh::{Bounds, CatalogParts},
    names::{InstanceName, Revision, ServiceName, ZoneName},
    store::{ObjectApi, ObjectVersion},
};

/// Fields that the node reads from the head of a caller's request, besides method, path and host.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct CallHead {
    /// Request id that the caller chose.
    pub request_id: Option<Arc<str>>,
    /// Time until the caller's deadline.
    pub remaining: Option<Duration>,
    /// API key of an organisation.
    pub key: Option<Arc<str>>,
}

/// Fields that the node adds to the head of a request to an upstream.
#[derive(Debug, Clone, Copy)]
pub struct UpstreamHead<'a> {
    /// Request id that the caller chose.
    pub request_id: &'a str,
    /// Time until the deadline of the request.
    pub remaining: Duration,
    /// Id of the upstream that the request is addressed to.
    pub upstream: &'a str,
    /// Organisation that the request is made for.
    pub organisation: Option<&'a str>,
    /// Service of the upstream local to the entry node.
    pub caller_service: &'a str,
}

/// Load that an upstream reports with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests that it is running.
    pub running: u32,
    /// Requests that wait in the upstream itself.
    pub waiting: u32,
    /// Requests that it can run concurrently.
    pub slots: u32,
    /// Its current service time in percent of the usual one, if it reports it.
    pub relative_time_percent: Option<u32>,
}

/// Fields that the node reads from the head of an answer to a health check.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HealthHead {
    /// Id of the upstream.
    pub upstream: InstanceName,
    /// Load of the upstream, if the answer reports it.
    pub load: Option<ReportedLoad>,
    /// Time for which the upstream is still cold; `None` if the answer does not state it.
    pub cold: Option<Duration>,
}

/// Fields that the node reads from the head of an upstream's answer.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct AnswerHead {
    /// Id of the answered request, if the answer carries it.
    pub request_id: Option<Arc<str>>,
    /// Whether the upstream states that it did not run the request.
    pub not_run: bool,
    /// Whether another upstream now listens at the address.
    pub misdirected: bool,
    /// Whether the answer carries the mark that upstreams set on their own answers.
    pub is_from_upstream: bool,
    /// Load of the upstream, if the answer reports it.
    pub load: Option<ReportedLoad>,
    /// Limit on the rate of requests that the answer names.
    pub rate: NamedRate,
    /// Whether the upstream states that it is leaving.
    pub is_leaving: bool,
}

/// Whether an upstream accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamState {
    /// It accepts new requests.
    Ready,
    /// It only finishes the requests that it has.
    Draining,
}

/// Heartbeat of an upstream.
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
    /// Requests that it can run concurrently.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub state: UpstreamState,
    /// Sequence number; it increases with each heartbeat since the start.
    pub sequence: u64,
    /// Time of its start in milliseconds since 1970; it increases with each start.
    pub started_unix_ms: u64,
    /// Remaining time in which it is slow after its start.
    pub cold: Duration,
}

/// A message to the listener for heartbeats.
#[derive(Debug, Clone, PartialEq)]
pub enum UpstreamMessage {
    /// A heartbeat.
    Heartbeat(Heartbeat),
    /// The upstream is removed permanently; it still serves for a short time.
    Leave {
        /// Id of the upstream.
        upstream: InstanceName,
    },
}

/// Translates between a platform's messages and the project's own types.
///
/// Implementations are stateless and make no routing or admission decisions.
pub trait Dialect: fmt::Debug + Clone + Copy + Send + Sync + 'static {
    /// The platform's object store.
    type Store: ObjectApi + Clone + fmt::Debug;

    /// Kind and name of the operators' configuration in the store.
    const CONFIGURATION: (&'static str, &'static str);
    /// Kind of the store objects that request the evacuation of the availability zone they are named
    /// after.
    const EVACUATIONS: &'static str;
    /// HTTP path that the readiness listener answers.
    const READINESS_PATH: &'static str;

    /// Creates the client of the store at this address, with a timeout for each call.
    fn store(address: SocketAddr, timeout: Duration) -> Self::Store;

    /// Reads the bounds by the platform's names; adds a finding for each invalid one.
    fn bounds(entries: &Map<String, Value>, place: &str, collector: &mut Collector) -> Bounds;

    /// Revision that the operators gave a configuration; `None` if it states none.
    fn revision(value: &Value) -> Option<Revision>;

    /// Reads the operators' configuration; the error says why it is invalid.
    fn catalog(value: &Value, version: ObjectVersion) -> Result<CatalogParts, String>;

    /// Reads the fields for the node from a caller's request, and removes their headers as well as those
    /// that only the node may set.
    fn take_call_head(headers: &mut HeaderMap) -> CallHead;

    /// Adds the fields for the upstream to the headers of a request.
    fn add_upstream_head(headers: &mut HeaderMap, head: &UpstreamHead<'_>);

    /// Reads the fields for the node from an upstream's answer.
    fn answer_head(status: StatusCode, headers: &HeaderMap) -> AnswerHead;

    /// Reads the head of a successful health check answer; `None` if it names no upstream.
    fn health_head(headers: &HeaderMap) -> Option<HealthHead>;

    /// Id of the request that the upstream was running when it made the call with this id, if the id
    /// contains it. It is a hint: the node checks whether its upstream is running that request.
    fn parent_id(request_id: &str) -> Option<&str>;

    /// Adds the request id to an answer that the node itself made.
    fn add_request_id(headers: &mut HeaderMap, request_id: &str);

    /// Reads a message to the heartbeat listener; the error says why it is invalid.
    fn upstream_message(
        method: &Method,
        path: &str,
        body: &[u8],
    ) -> Result<UpstreamMessage, String>;
}
