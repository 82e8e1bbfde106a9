//! Parsing of HTTP/1.x requests, and encoding of the heads of answers.

use bytes::{Buf as _, Bytes, BytesMut};
use http::{
    HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode, Uri, Version,
    header, request::Parts,
};

const MAX_HEADERS: usize = 96;
/// Largest line with the size of a chunk, including its extensions.
const MAX_CHUNK_LINE_BYTES: usize = 1 << 10;
/// Largest trailer after the last chunk; trailers are discarded.
const MAX_TRAILER_BYTES: usize = 8 << 10;

/// Why a request cannot be read; no further request can be read from its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum HeadError {
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
pub(super) enum Framing {
    /// The body has this length in bytes.
    Length(usize),
    /// The body has the chunked transfer coding.
    Chunked,
}

/// The parsed head of a request.
#[derive(Debug)]
pub(super) struct ParsedHead {
    pub(super) parts: Parts,
    pub(super) framing: Framing,
    /// Whether the connection is closed after the answer, as the request states.
    pub(super) must_close: bool,
    pub(super) expects_continue: bool,
}

/// Removes the head of a request from the input; none if the head is still incomplete.
pub(super) fn parse(
    input: &mut BytesMut,
    max_bytes: usize,
) -> Result<Option<ParsedHead>, HeadError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let length = match request.parse(input) {
        Ok(httparse::Status::Complete(length)) if length <= max_bytes => length,
        Ok(httparse::Status::Partial) if input.len() <= max_bytes => return Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(HeadError::HeadTooLarge),
        Err(_) => return Err(HeadError::Malformed),
    };
    let head = to_parsed_head(&request).ok_or(HeadError::Malformed)?;
    input.advance(length);
    Ok(Some(head))
}

fn to_parsed_head(request: &httparse::Request<'_, '_>) -> Option<ParsedHead> {
    let method = Method::from_bytes(request.method?.as_bytes()).ok()?;
    let uri: Uri = request.path?.parse().ok()?;
    let version = match request.version? {
        1 => Version::HTTP_11,
        _ => Version::HTTP_10,
    };
    let mut headers = HeaderMap::with_capacity(request.headers.len());
    for header in request.headers.iter() {
        let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
        headers.append(name, HeaderValue::from_bytes(header.value).ok()?);
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

/// Moves the received part of a body from the input to `body`; true once the body is complete.
pub(super) fn take_body(
    input: &mut BytesMut,
    framing: &Framing,
    body: &mut BytesMut,
    max_bytes: usize,
) -> Result<bool, HeadError> {
    match *framing {
        Framing::Length(length) if length > max_bytes => Err(HeadError::BodyTooLarge),
        Framing::Length(length) => {
            let taken = (length - body.len()).min(input.len());
            body.extend_from_slice(&input.split_to(taken));
            Ok(body.len() == length)
        }
        Framing::Chunked => take_chunks(input, body, max_bytes),
    }
}

fn take_chunks(
    input: &mut BytesMut,
    body: &mut BytesMut,
    max_bytes: usize,
) -> Result<bool, HeadError> {
    loop {
        let (line_bytes, size) = match httparse::parse_chunk_size(input) {
            Ok(httparse::Status::Complete(parsed)) => parsed,
            Ok(httparse::Status::Partial) if input.len() <= MAX_CHUNK_LINE_BYTES => {
                return Ok(false);
            }
            _ => return Err(HeadError::Malformed),
        };
        let size = usize::try_from(size).map_err(|_| HeadError::BodyTooLarge)?;
        if size == 0 {
            return take_trailer(input, line_bytes);
        }
        if size.saturating_add(body.len()) > max_bytes {
            return Err(HeadError::BodyTooLarge);
        }
        let chunk_end = line_bytes + size + 2;
        if input.len() < chunk_end {
            return Ok(false);
        }
        if &input[line_bytes + size..chunk_end] != b"\r\n" {
            return Err(HeadError::Malformed);
        }
        body.extend_from_slice(&input[line_bytes..line_bytes + size]);
        input.advance(chunk_end);
    }
}

/// Discards the trailer after the last chunk; `line_bytes` is the length of that chunk's line.
fn take_trailer(input: &mut BytesMut, line_bytes: usize) -> Result<bool, HeadError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    match httparse::parse_headers(&input[line_bytes..], &mut headers) {
        Ok(httparse::Status::Complete((length, _))) => {
            input.advance(line_bytes + length);
            Ok(true)
        }
        Ok(httparse::Status::Partial) if input.len() <= MAX_TRAILER_BYTES => Ok(false),
        _ => Err(HeadError::Malformed),
    }
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
