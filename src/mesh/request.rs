//! Requests with a completely read body, and the encoding of headers between nodes.

use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, header};

use crate::mesh::proto;

/// Hop-by-hop headers, which concern only one connection and are not forwarded.
const CONNECTION_HEADERS: [HeaderName; 9] = [
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::TRANSFER_ENCODING,
    header::TE,
    header::TRAILER,
    header::UPGRADE,
    header::EXPECT,
    header::PROXY_AUTHORIZATION,
    header::PROXY_AUTHENTICATE,
];

/// A request with a completely read body.
#[derive(Debug, Clone)]
pub struct BufferedRequest {
    /// HTTP method.
    pub method: Method,
    /// Host that the caller named.
    pub authority: Arc<str>,
    /// Path and query of the URI.
    pub path: Arc<str>,
    /// Headers to forward, without `Host` and those of the connection.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

/// Removes the hop-by-hop headers, and those that the `Connection` header names.
pub fn remove_connection_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&CONNECTION_HEADERS) {
        headers.remove(name);
    }
    headers.remove("keep-alive");
}

/// Encodes headers for another node.
pub fn headers_to_proto(headers: &HeaderMap) -> Vec<proto::Header> {
    let header = |(name, value): (&HeaderName, &HeaderValue)| proto::Header {
        name: name.as_str().to_owned(),
        value: Bytes::copy_from_slice(value.as_bytes()),
    };
    headers.iter().map(header).collect()
}

/// Decodes headers that another node sent; invalid ones are dropped.
pub fn headers_from_proto(headers: Vec<proto::Header>) -> HeaderMap {
    let mut map = HeaderMap::with_capacity(headers.len());
    for header in headers {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_maybe_shared(header.value)) {
            map.append(name, value);
        }
    }
    map
}
