//! Names of the headers that callers and upstreams see, and which headers pass through.

use http::{HeaderMap, HeaderName, HeaderValue, header};

use crate::peers::proto;

/// How the request ended: `whole`, `not-run` or `unknown`.
pub const OUTCOME: HeaderName = HeaderName::from_static("hibiscus-outcome");
/// What a refusal speaks of: `request` or `attempt`.
pub const SCOPE: HeaderName = HeaderName::from_static("hibiscus-scope");
/// Id of the request.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("hibiscus-request-id");
/// Opaque context that an upstream copies to the calls it makes for a request.
pub const CONTEXT: HeaderName = HeaderName::from_static("hibiscus-context");
/// Organisation that the request runs for.
pub const ORGANISATION: HeaderName = HeaderName::from_static("hibiscus-organisation");
/// Time left for the answer, in milliseconds.
pub const DEADLINE_MS: HeaderName = HeaderName::from_static("hibiscus-deadline-ms");
/// UUIDv7 that names a non-idempotent request.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Alternative to `Authorization: Bearer` for the key.
pub const API_KEY: HeaderName = HeaderName::from_static("x-api-key");

/// Headers that end at a hop, or that only nodes may set.
const NOT_FORWARDED: [HeaderName; 17] = [
    header::AUTHORIZATION,
    API_KEY,
    OUTCOME,
    SCOPE,
    REQUEST_ID,
    CONTEXT,
    ORGANISATION,
    DEADLINE_MS,
    header::HOST,
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::TRANSFER_ENCODING,
    header::TE,
    header::TRAILER,
    header::UPGRADE,
    header::PROXY_AUTHORIZATION,
    header::PROXY_AUTHENTICATE,
];

/// Copies the headers that pass through a node.
pub fn to_proto(headers: &HeaderMap) -> Vec<proto::Header> {
    let forwarded = headers.iter().filter(|(name, _)| is_forwarded(name));
    forwarded
        .map(|(name, value)| proto::Header {
            name: name.as_str().to_owned(),
            value: bytes::Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect()
}

/// Rebuilds headers that another node sent; unreadable ones and hop headers are dropped.
pub fn from_proto(headers: &[proto::Header]) -> HeaderMap {
    let mut map = HeaderMap::with_capacity(headers.len());
    for header in headers {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_bytes(&header.value);
        if let (Ok(name), Ok(value)) = (name, value)
            && is_forwarded(&name)
        {
            map.append(name, value);
        }
    }
    map
}

fn is_forwarded(name: &HeaderName) -> bool {
    !NOT_FORWARDED.contains(name) && name.as_str() != "keep-alive"
}
