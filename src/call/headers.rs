//! Names of the headers that callers and upstreams use, and which headers nodes forward.

use http::{HeaderMap, HeaderName, HeaderValue, header};

use crate::peers::proto;

/// How the request ended: `whole` (with a complete response), `not-run` or `unknown`.
pub const OUTCOME: HeaderName = HeaderName::from_static("hibiscus-outcome");
/// What a refusal applies to: `request` (all attempts with the idempotency key) or `attempt` (only
/// this one).
pub const SCOPE: HeaderName = HeaderName::from_static("hibiscus-scope");
/// Id of the request.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("hibiscus-request-id");
/// Opaque context that an upstream copies to the calls that it makes for a request.
pub const CONTEXT: HeaderName = HeaderName::from_static("hibiscus-context");
/// Organisation that the request runs for.
pub const ORGANISATION: HeaderName = HeaderName::from_static("hibiscus-organisation");
/// Time that is left to answer the request, in milliseconds.
pub const DEADLINE_MS: HeaderName = HeaderName::from_static("hibiscus-deadline-ms");
/// UUIDv7 that identifies a non-idempotent request over all its attempts.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Key of the caller; an alternative to `Authorization: Bearer`.
pub const API_KEY: HeaderName = HeaderName::from_static("x-api-key");

/// Headers that a node does not forward: those with the key of the caller, those that only nodes
/// may set, and those that apply to a single hop.
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

/// Encodes the headers that are forwarded, for a message to another node.
pub fn to_proto(headers: &HeaderMap) -> Vec<proto::Header> {
    let forwarded = headers.iter().filter(|(name, _)| is_forwarded(name));
    forwarded
        .map(|(name, value)| proto::Header {
            name: name.as_str().to_owned(),
            value: bytes::Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect()
}

/// Decodes headers that another node sent; drops those that are invalid or not forwarded.
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
