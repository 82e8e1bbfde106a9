//! Frames that wait to be written to a link.

use std::{collections::VecDeque, io};

use bytes::{Buf, BufMut as _, Bytes, BytesMut};
use parking_lot::Mutex;
use prost::{
    Message as _,
    encoding::{WireType, encode_key, encode_varint, encoded_len_varint, key_len},
};
use tokio::{io::AsyncWriteExt as _, net::tcp::OwnedWriteHalf, sync::Notify};

use crate::mesh::proto::{LinkFrame, link_frame::Content};

/// Capacity above which a written buffer is freed instead of reused.
const MAX_KEPT_CAPACITY: usize = 16 << 10;
/// Body above which a frame is queued without a copy of it. The memory of a larger one is reserved, and a
/// copy would not be: the replies that another node does not read took a node of 96 MB to 160 MB.
const MAX_COPIED_BODY_BYTES: usize = 16 << 10;
/// Tags of the fields `LinkFrame.request`, `ForwardRequest.body`, `LinkFrame.reply` and
/// `ForwardReply.body`.
const REQUEST_TAG: u32 = 2;
const REQUEST_BODY_TAG: u32 = 7;
const REPLY_TAG: u32 = 3;
const REPLY_BODY_TAG: u32 = 4;

/// Position in the stream of bytes that is written to a link.
pub(super) type Position = u64;

/// Encoded frames in their order, in which large bodies are not copied.
#[derive(Debug, Default)]
pub struct EncodedFrames {
    /// Frames and parts of frames before `end`.
    parts: VecDeque<Bytes>,
    end: BytesMut,
}

impl EncodedFrames {
    /// Appends a frame; returns its length.
    pub fn push(&mut self, mut frame: LinkFrame) -> usize {
        let body = take_large_body(&mut frame);
        let body_length = body.as_ref().map_or(0, |body| body.header_len() + body.bytes.len());
        let length = frame.encoded_len() + body_length;
        self.end.reserve(size_of::<u32>() + length - body.as_ref().map_or(0, |it| it.bytes.len()));
        // Messages are limited to far less than 4 GiB.
        self.end.put_u32(u32::try_from(length).unwrap_or(u32::MAX));
        frame.encode_raw(&mut self.end);
        if let Some(body) = body {
            body.encode_header(&mut self.end);
            self.parts.push_back(self.end.split().freeze());
            self.parts.push_back(body.bytes);
        }
        size_of::<u32>() + length
    }

    /// Whether there is no frame.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty() && self.end.is_empty()
    }

    /// Takes the next part; `None` if there is none.
    pub fn next_part(&mut self) -> Option<Bytes> {
        self.parts.pop_front().or_else(|| {
            let end = std::mem::take(&mut self.end);
            (!end.is_empty()).then(|| end.freeze())
        })
    }
}

/// A body that was taken from the request or the reply of a frame. It is encoded as a second occurrence of
/// that message with this field only, which decoders merge with the first one.
struct DetachedBody {
    message_tag: u32,
    body_tag: u32,
    bytes: Bytes,
}

impl DetachedBody {
    /// Length of the body as a field of its message.
    fn field_len(&self) -> usize {
        let length = self.bytes.len();
        key_len(self.body_tag) + encoded_len_varint(length as u64) + length
    }

    fn header_len(&self) -> usize {
        let field_len = self.field_len();
        let message_header = key_len(self.message_tag) + encoded_len_varint(field_len as u64);
        message_header + field_len - self.bytes.len()
    }

    fn encode_header(&self, buffer: &mut BytesMut) {
        encode_key(self.message_tag, WireType::LengthDelimited, buffer);
        encode_varint(self.field_len() as u64, buffer);
        encode_key(self.body_tag, WireType::LengthDelimited, buffer);
        encode_varint(self.bytes.len() as u64, buffer);
    }
}

fn take_large_body(frame: &mut LinkFrame) -> Option<DetachedBody> {
    let (message_tag, body_tag, body) = match &mut frame.content {
        Some(Content::Request(request)) => (REQUEST_TAG, REQUEST_BODY_TAG, &mut request.body),
        Some(Content::Reply(reply)) => (REPLY_TAG, REPLY_BODY_TAG, &mut reply.body),
        _ => return None,
    };
    (body.len() > MAX_COPIED_BODY_BYTES).then(|| DetachedBody {
        message_tag,
        body_tag,
        bytes: std::mem::take(body),
    })
}

#[derive(Debug, Default)]
struct Queue {
    frames: EncodedFrames,
    /// End of the queued frames.
    queued: Position,
    /// End of the bytes that the kernel has accepted.
    written: Position,
}

/// Frames that wait to be written to a link, and the part of them that was written.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    queue: Mutex<Queue>,
    filled: Notify,
    emptied: Notify,
}

impl Outbox {
    /// Queues a frame; returns the position of its first byte.
    pub(super) fn push(&self, frame: LinkFrame) -> Position {
        let mut queue = self.queue.lock();
        let start = queue.queued;
        queue.queued += queue.frames.push(frame) as u64;
        drop(queue);
        self.filled.notify_one();
        start
    }

    /// Bytes that are queued and not written yet.
    pub(super) fn queued_bytes(&self) -> u64 {
        let queue = self.queue.lock();
        queue.queued - queue.written
    }

    /// End of the bytes that the kernel has accepted.
    pub(super) fn written(&self) -> Position {
        self.queue.lock().written
    }

    /// Waits until all queued frames are written.
    pub(super) async fn wait_until_empty(&self) {
        loop {
            let emptied = self.emptied.notified();
            if self.queued_bytes() == 0 {
                return;
            }
            emptied.await;
        }
    }

    /// Writes queued frames until an error occurs.
    pub(super) async fn write_to(&self, stream: &mut OwnedWriteHalf) -> io::Error {
        let mut frames = EncodedFrames::default();
        loop {
            std::mem::swap(&mut self.queue.lock().frames, &mut frames);
            if frames.is_empty() {
                self.emptied.notify_waiters();
                self.filled.notified().await;
                continue;
            }
            while let Some(mut part) = frames.parts.pop_front() {
                if let Err(error) = self.write_part(stream, &mut part).await {
                    return error;
                }
            }
            if let Err(error) = self.write_part(stream, &mut frames.end).await {
                return error;
            }
            if frames.end.capacity() > MAX_KEPT_CAPACITY {
                frames.end = BytesMut::new();
            }
        }
    }

    async fn write_part(
        &self,
        stream: &mut OwnedWriteHalf,
        part: &mut (impl Buf + Send),
    ) -> io::Result<()> {
        while part.has_remaining() {
            let written = stream.write(part.chunk()).await?;
            if written == 0 {
                return Err(io::ErrorKind::WriteZero.into());
            }
            part.advance(written);
            self.queue.lock().written += written as u64;
        }
        Ok(())
    }
}
