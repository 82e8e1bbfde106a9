//! Messages from the node's local upstream: heartbeats and leave messages.

use std::{net::SocketAddr, num::NonZeroU32, time::Duration};

use http::Method;
use serde::Deserialize;

use super::text;
use crate::mesh::{Heartbeat, UpstreamMessage, UpstreamState};

const PATH_PREFIX: &str = "/instances/";

/// Upstreams send all of these fields. A message without one of them comes from another writer, and a
/// default would let it pass for a whole one.
#[derive(Deserialize)]
struct Message {
    address: SocketAddr,
    /// Unix time at which the upstream started, in milliseconds.
    born: u64,
    info: Info,
    status: Status,
}

#[derive(Deserialize)]
struct Info {
    service: String,
    zone: String,
    /// Version of the upstream's software.
    #[serde(rename = "version")]
    _version: String,
    /// Requests that the upstream can run at once.
    slots: NonZeroU32,
}

#[derive(Deserialize)]
struct Status {
    state: State,
    /// Increases with each heartbeat since the upstream started.
    sequence: u64,
    /// Time for which the upstream is still slow after its start.
    #[serde(rename = "coldRemaining", deserialize_with = "text::deserialize")]
    cold: Duration,
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum State {
    Ready,
    Draining,
}

/// Reads a message. The error says why the message is invalid, and is sent back as the body of the
/// answer.
pub fn read(method: &Method, path: &str, body: &[u8]) -> Result<UpstreamMessage, String> {
    let id = path.strip_prefix(PATH_PREFIX).filter(|id| !id.is_empty() && !id.contains('/'));
    let id = id.ok_or_else(|| format!("no upstream is named by the path {path}"))?;
    match *method {
        Method::DELETE => Ok(UpstreamMessage::Leave { upstream: id.into() }),
        Method::PUT => parse_heartbeat(id, body).map(UpstreamMessage::Heartbeat),
        _ => Err(format!("the method {method} has no meaning here")),
    }
}

fn parse_heartbeat(id: &str, body: &[u8]) -> Result<Heartbeat, String> {
    let message: Message = serde_json::from_slice(body).map_err(|error| error.to_string())?;
    Ok(Heartbeat {
        upstream: id.into(),
        address: message.address,
        service: message.info.service.into(),
        zone: message.info.zone.into(),
        slots: message.info.slots.get(),
        state: match message.status.state {
            State::Ready => UpstreamState::Ready,
            State::Draining => UpstreamState::Draining,
        },
        sequence: message.status.sequence,
        started_unix_ms: message.born,
        cold: message.status.cold,
    })
}
