//! Frames that wait to be written to a link.

use std::io;

use bytes::{Buf as _, BufMut as _, BytesMut};
use parking_lot::Mutex;
use prost::Message as _;
use tokio::{io::AsyncWriteExt as _, net::tcp::OwnedWriteHalf, sync::Notify};

use crate::mesh::proto::LinkFrame;

/// Capacity above which a written buffer is freed instead of reused.
const MAX_KEPT_CAPACITY: usize = 16 << 10;

/// Position in the stream of bytes that is written to a link.
pub(super) type Position = u64;

#[derive(Debug, Default)]
struct Queue {
    bytes: BytesMut,
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
    pub(super) fn push(&self, frame: &LinkFrame) -> Position {
        let mut queue = self.queue.lock();
        let start = queue.queued;
        let length = frame.encoded_len();
        let before = queue.bytes.len();
        queue.bytes.reserve(size_of::<u32>() + length);
        // Messages are limited to far less than 4 GiB.
        queue.bytes.put_u32(u32::try_from(length).unwrap_or(u32::MAX));
        frame.encode_raw(&mut queue.bytes);
        queue.queued += (queue.bytes.len() - before) as u64;
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
        let mut bytes = BytesMut::new();
        loop {
            {
                let mut queue = self.queue.lock();
                std::mem::swap(&mut queue.bytes, &mut bytes);
            }
            if bytes.is_empty() {
                self.emptied.notify_waiters();
                self.filled.notified().await;
                continue;
            }
            while bytes.has_remaining() {
                match stream.write(&bytes).await {
                    Ok(0) => return io::ErrorKind::WriteZero.into(),
                    Ok(written) => {
                        bytes.advance(written);
                        self.queue.lock().written += written as u64;
                    }
                    Err(error) => return error,
                }
            }
            if bytes.capacity() > MAX_KEPT_CAPACITY {
                bytes = BytesMut::new();
            }
        }
    }
}
