//! Adapter to the operators' platform: its names, message formats and object store.
//!
//! It translates the platform's messages, at the boundary, into the types of [`crate::mesh`].

mod bounds;
pub mod check;
mod configuration;
mod headers;
mod heartbeat;
mod objects;
mod text;

use std::{net::SocketAddr, time::Duration};

use http::{HeaderMap, Method, StatusCode};
use serde_json::{Map, Value};

pub use objects::PlatformStore;

use crate::{
    findings::Collector,
    mesh::{
        AnswerHead, Bounds, CallHead, CatalogParts, Dialect, HealthHead, UpstreamHead,
        UpstreamMessage,
    },
    names::Revision,
    store::ObjectVersion,
};

/// Translation for the operators' platform.
#[derive(Debug, Clone, Copy)]
pub struct OperatorsPlatform;

impl Dialect for OperatorsPlatform {
    type Store = PlatformStore;

    const CONFIGURATION: (&'static str, &'static str) = ("config", "main");
    const EVACUATIONS: &'static str = "evacuations";
    const READINESS_PATH: &'static str = "/readiness";

    fn store(address: SocketAddr, timeout: Duration) -> Self::Store {
        PlatformStore::new(address, timeout)
    }

    fn bounds(entries: &Map<String, Value>, place: &str, collector: &mut Collector) -> Bounds {
        bounds::read(entries, place, collector)
    }

    fn revision(value: &Value) -> Option<Revision> {
        configuration::revision(value)
    }

    fn catalog(value: &Value, _version: ObjectVersion) -> Result<CatalogParts, String> {
        configuration::read(value)
    }

    fn take_call_head(headers: &mut HeaderMap) -> CallHead {
        headers::take_call_head(headers)
    }

    fn add_upstream_head(headers: &mut HeaderMap, head: &UpstreamHead<'_>) {
        headers::add_upstream_head(headers, head);
    }

    fn answer_head(status: StatusCode, headers: &HeaderMap) -> AnswerHead {
        headers::answer_head(status, headers)
    }

    fn health_head(headers: &HeaderMap) -> Option<HealthHead> {
        headers::health_head(headers)
    }

    fn parent_id(request_id: &str) -> Option<&str> {
        headers::parent_id(request_id)
    }

    fn add_request_id(headers: &mut HeaderMap, request_id: &str) {
        headers::add_request_id(headers, request_id);
    }

    fn upstream_message(
        method: &Method,
        path: &str,
        body: &[u8],
    ) -> Result<UpstreamMessage, String> {
        heartbeat::read(method, path, body)
    }
}
