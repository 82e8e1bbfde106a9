//! Parsing of HTTP/1.x requests, and encoding of the heads of answers.

use bytes::{Buf as _, Bytes, BytesMut};
use http::{
    HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode, Uri, Version,
    header, request::Parts,
};

/// Header fields that are parsed without an allocation.
const USUAL_FIELDS: usize = 96;
/// Memory of a header field beside its name and value, also where the request is forwarded to another
/// node or to the upstream: there, the fields exist a second time. With 320 bytes, a crowd of such heads took
/// a node of 96 MB to 89 MB.
const FIELD_BYTES: usize = 512;
/// Memory of a request without header fields, with its task and its place in queues.
const HEAD_BYTES: usize = 2 << 10;

/// Why a request cannot be read; no further request can be read from its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeadError {
    /// The input is not an HTTP/1.x request, or the length of its body is ambiguous.
    Malformed,
    /// The head is larger than the limit.
    HeadTooLarge,
    /// The body is larger than the limit.
    BodyTooLarge,
}

impl HeadError {
    pub(super) fn status(self) -> StatusCode {
        match self {
            Self::Malformed => StatusCode::BAD_REQUEST,
            Self::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        }
    }
}

/// How the end of a body is found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// The body has this length in bytes.
    Length(usize),
    /// The body has the chunked transfer coding.
    Chunked,
}

/// The parsed head of a request.
#[derive(Debug)]
pub struct ParsedHead {
    /// Method, path, version and header fields.
    pub parts: Parts,
    /// How the end of the body is found.
    pub framing: Framing,
    /// Whether the connection is closed after the answer, as the request states.
    pub must_close: bool,
    /// Whether the caller waits for the interim answer 100 before it sends the body.
    pub expects_continue: bool,
}

impl ParsedHead {
    /// Estimate of the memory that the head holds: names and values have allocations of their own, and the
    /// map has an entry and an index for each field.
    pub fn held_bytes(&self) -> usize {
        let headers = &self.parts.headers;
        let field_bytes = |(name, value): (&HeaderName, &HeaderValue)| {
            FIELD_BYTES + name.as_str().len() + value.len()
        };
        let path_bytes = self.parts.uri.path_and_query().map_or(0, |path| path.as_str().len());
        HEAD_BYTES + path_bytes + headers.iter().map(field_bytes).sum::<usize>()
    }
}

/// Finds the heads of requests in the input of a connection.
///
/// A head that arrives byte by byte is not parsed anew for each byte: the time for a head is linear in its
/// size.
#[derive(Debug, Default)]
pub struct HeadDecoder {
    /// Bytes of the input that have been searched for the end of the head.
    searched_bytes: usize,
    /// Whether the end of the head was among them.
    has_end: bool,
    /// Length of the input when it was last parsed.
    parsed_bytes: usize,
}

impl HeadDecoder {
    /// Estimate of the memory that the head at the start of the input will hold once it is parsed; none if it
    /// is incomplete, or has no more than `USUAL_FIELDS`.
    pub fn long_head_bytes(&mut self, input: &mut BytesMut) -> Option<usize> {
        self.search_end(input);
        let lines = input.iter().filter(|byte| **byte == b'\n').count();
        let is_long = self.has_end && lines > USUAL_FIELDS;
        is_long.then(|| HEAD_BYTES + input.len() + lines * FIELD_BYTES)
    }

    fn search_end(&mut self, input: &mut BytesMut) {
        if self.searched_bytes == 0 {
            // Empty lines before a request are permitted.
            let is_line_end = |byte: &u8| matches!(byte, b'\r' | b'\n');
            let skipped = input.iter().take_while(|byte| is_line_end(byte)).count();
            input.advance(skipped);
        }
        // The end is an empty line, which may have begun in the bytes searched before.
        let unsearched = &input[self.searched_bytes.saturating_sub(2)..];
        self.has_end |= unsearched.windows(2).any(|bytes| bytes == b"\n\n")
            || unsearched.windows(3).any(|bytes| bytes == b"\n\r\n");
        self.searched_bytes = input.len();
    }

    /// Removes the head of a request from the input; none if the head is still incomplete.
    pub fn decode(
        &mut self,
        input: &mut BytesMut,
        max_bytes: usize,
    ) -> Result<Option<ParsedHead>, HeadError> {
        self.search_end(input);
        let may_be_malformed = input.len() >= 2 * self.parsed_bytes;
        if input.is_empty() || !(self.has_end || may_be_malformed || input.len() > max_bytes) {
            return Ok(None);
        }
        self.parsed_bytes = input.len();
        let head = with_fields(input, |input, fields| {
            let mut request = httparse::Request::new(fields);
            Ok(match request.parse(input)? {
                httparse::Status::Complete(length) => Some((length, to_parsed_head(&request))),
                httparse::Status::Partial => None,
            })
        });
        let (length, head) = match head {
            Ok(Some((length, head))) if length <= max_bytes => (length, head),
            Ok(None) if input.len() <= max_bytes => {
                self.has_end = false;
                return Ok(None);
            }
            Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(HeadError::HeadTooLarge),
            Err(_) => return Err(HeadError::Malformed),
        };
        let head = head.ok_or(HeadError::Malformed)?;
        input.advance(length);
        *self = Self::default();
        Ok(Some(head))
    }
}

/// Parses with as many header fields as the input may hold. Few requests have more than
/// [`USUAL_FIELDS`]; a field takes a line.
pub(super) fn with_fields<'a, T>(
    input: &'a [u8],
    parse: impl Fn(&'a [u8], &mut [httparse::Header<'a>]) -> Result<T, httparse::Error>,
) -> Result<T, httparse::Error> {
    let mut fields = [httparse::EMPTY_HEADER; USUAL_FIELDS];
    match parse(input, &mut fields) {
        Err(httparse::Error::TooManyHeaders) => {}
        parsed => return parsed,
    }
    let lines = input.iter().filter(|byte| **byte == b'\n').count();
    parse(input, &mut vec![httparse::EMPTY_HEADER; lines + 1])
}

fn to_parsed_head(request: &httparse::Request<'_, '_>) -> Option<ParsedHead> {
    let method = Method::from_bytes(request.method?.as_bytes()).ok()?;
    let uri: Uri = request.path?.parse().ok()?;
    let version = match request.version? {
        1 => Version::HTTP_11,
        _ => Version::HTTP_10,
    };
    let mut headers = HeaderMap::try_with_capacity(request.headers.len()).ok()?;
    for header in request.headers.iter() {
        let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
        headers.try_append(name, HeaderValue::from_bytes(header.value).ok()?).ok()?;
    }
    let framing = framing(&headers, version)?;
    let must_close = match version {
        Version::HTTP_11 => has_token(&headers, header::CONNECTION, "close"),
        _ => !has_token(&headers, header::CONNECTION, "keep-alive"),
    };
    let expects_continue = has_token(&headers, header::EXPECT, "100-continue");
    let mut parts = Request::new(()).into_parts().0;
    (parts.method, parts.uri, parts.version, parts.headers) = (method, uri, version, headers);
    Some(ParsedHead { parts, framing, must_close, expects_continue })
}

/// Determines how the body ends; none if that is ambiguous, as ambiguous lengths allow request
/// smuggling.
fn framing(headers: &HeaderMap, version: Version) -> Option<Framing> {
    let mut lengths = headers.get_all(header::CONTENT_LENGTH).iter();
    if headers.contains_key(header::TRANSFER_ENCODING) {
        let mut encodings = headers.get_all(header::TRANSFER_ENCODING).iter();
        let encoding = encodings.next().filter(|_| encodings.next().is_none())?;
        let is_chunked = encoding.as_bytes().trim_ascii().eq_ignore_ascii_case(b"chunked");
        let is_unambiguous = is_chunked && lengths.next().is_none() && version == Version::HTTP_11;
        return is_unambiguous.then_some(Framing::Chunked);
    }
    let Some(first) = lengths.next() else { return Some(Framing::Length(0)) };
    if lengths.any(|other| other != first) {
        return None;
    }
    let text = first.to_str().ok()?.trim();
    let is_number = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    is_number.then(|| text.parse().ok().map(Framing::Length)).flatten()
}

fn has_token(headers: &HeaderMap, name: HeaderName, token: &str) -> bool {
    let values = headers.get_all(name).iter().filter_map(|value| value.to_str().ok());
    values.flat_map(|value| value.split(',')).any(|part| part.trim().eq_ignore_ascii_case(token))
}

/// Encodes the head of an answer to a request; `is_head` is set if its method was HEAD, and
/// `must_close` if the connection is closed after the answer.
pub(super) fn encode(response: &Response<Bytes>, is_head: bool, must_close: bool) -> BytesMut {
    let status = response.status();
    let mut bytes = BytesMut::with_capacity(256);
    bytes.extend_from_slice(b"HTTP/1.1 ");
    bytes.extend_from_slice(status.as_str().as_bytes());
    bytes.extend_from_slice(b" ");
    bytes.extend_from_slice(status.canonical_reason().unwrap_or_default().as_bytes());
    bytes.extend_from_slice(b"\r\n");
    for (name, value) in response.headers() {
        bytes.extend_from_slice(name.as_str().as_bytes());
        bytes.extend_from_slice(b": ");
        bytes.extend_from_slice(value.as_bytes());
        bytes.extend_from_slice(b"\r\n");
    }
    let has_length = !is_head
        && !status.is_informational()
        && status != StatusCode::NO_CONTENT
        && status != StatusCode::NOT_MODIFIED;
    if has_length {
        bytes.extend_from_slice(b"content-length: ");
        bytes.extend_from_slice(response.body().len().to_string().as_bytes());
        bytes.extend_from_slice(b"\r\n");
    }
    if must_close {
        bytes.extend_from_slice(b"connection: close\r\n");
    }
    bytes.extend_from_slice(b"\r\n");
    bytes
}
