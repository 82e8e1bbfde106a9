//! Calls of this node whose message has a large body.
//!
//! The generated client copies the body of a message into its buffer. A large body is detached from the
//! message instead, and sent behind it as its last field without a copy.

use std::{
    collections::VecDeque,
    pin::Pin,
    task::{Context, Poll, ready},
};

use bytes::{BufMut as _, Bytes, BytesMut};
use hyper::body::{Body as HttpBody, Frame};
use prost::encoding::{WireType, encode_key, encode_varint};
use tonic::{Request, Status, body::Body};

use crate::mesh::{grpc::body::PREFIX_BYTES, proto};

/// Number of the field `body` of `ForwardRequest`.
const BODY_FIELD: u32 = 7;

/// Body that was detached from the message of a call.
#[derive(Debug, Clone)]
struct DetachedBody(Bytes);

/// Makes a request of a message whose body is sent without a copy.
pub fn detach_body(mut message: proto::ForwardRequest) -> Request<proto::ForwardRequest> {
    let body = std::mem::take(&mut message.body);
    let mut request = Request::new(message);
    request.extensions_mut().insert(DetachedBody(body));
    request
}

/// Puts the detached body, if there is one, behind the message of a call.
pub fn attach_body(mut request: http::Request<Body>) -> http::Request<Body> {
    match request.extensions_mut().remove::<DetachedBody>() {
        Some(DetachedBody(body)) if !body.is_empty() => request.map(|message| {
            Body::new(CallBody {
                message: Some(message),
                body: Some(body),
                frames: VecDeque::new(),
            })
        }),
        _ => request,
    }
}

/// Message of a call with a further field at its end.
#[derive(Debug)]
struct CallBody {
    /// The message with its prefix, as the client has encoded it; none after its end.
    message: Option<Body>,
    /// The further field, until it has been added to the length in the prefix.
    body: Option<Bytes>,
    /// Parts that are sent behind the message.
    frames: VecDeque<Bytes>,
}

impl CallBody {
    /// Adds the field to the length in the prefix of the message, and queues it.
    fn extend_message(&mut self, start: &Bytes, body: Bytes) -> Result<Bytes, Status> {
        let mut key = BytesMut::new();
        encode_key(BODY_FIELD, WireType::LengthDelimited, &mut key);
        encode_varint(body.len() as u64, &mut key);
        let too_large = || Status::out_of_range("the message is too large");
        let Some((prefix, rest)) = start.split_first_chunk::<PREFIX_BYTES>() else {
            return Err(Status::internal("the first part of the message has no prefix"));
        };
        let [flag, length @ ..] = *prefix;
        let added = u32::try_from(key.len() + body.len()).map_err(|_| too_large())?;
        let length = u32::from_be_bytes(length).checked_add(added).ok_or_else(too_large)?;
        let mut extended = BytesMut::with_capacity(start.len());
        extended.put_u8(flag);
        extended.put_u32(length);
        extended.put_slice(rest);
        self.frames.extend([key.freeze(), body]);
        Ok(extended.freeze())
    }
}

impl HttpBody for CallBody {
    type Data = Bytes;
    type Error = Status;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Status>>> {
        let polled = self.message.as_mut().map(|it| Pin::new(it).poll_frame(context));
        let frame = match polled {
            Some(polled) => ready!(polled).transpose()?,
            None => None,
        };
        let Some(frame) = frame else {
            self.message = None;
            return Poll::Ready(self.frames.pop_front().map(|bytes| Ok(Frame::data(bytes))));
        };
        let data = match frame.into_data() {
            Ok(data) => data,
            Err(frame) => return Poll::Ready(Some(Ok(frame))),
        };
        Poll::Ready(Some(match self.body.take() {
            Some(body) => self.extend_message(&data, body).map(Frame::data),
            None => Ok(Frame::data(data)),
        }))
    }
}
