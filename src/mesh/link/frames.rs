//! Reading of frames from a link.

use std::{io, sync::Arc, time::Duration};

use bytes::{Buf as _, BytesMut};
use prost::Message as _;
use tokio::{io::AsyncReadExt as _, net::tcp::OwnedReadHalf, time::sleep};

use crate::{
    memory::{self, MemoryBudget, Reservation},
    mesh::proto::LinkFrame,
    peers::MAX_MESSAGE_BYTES,
};

/// Size of the buffer of one read.
const READ_BYTES: usize = 8 << 10;
/// Size above which a frame is reserved in the memory budget before it is read. Smaller ones never wait
/// for memory, so that usual requests and replies pass. The memory of a larger one is reserved in steps
/// as it arrives: a node that announced 64 MiB and sent nothing took the memory of all callers.
const UNRESERVED_FRAME_BYTES: usize = 64 << 10;
/// Time between two attempts to reserve memory.
const MEMORY_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Decodes frames: a length of four bytes, and a [`LinkFrame`] of that length.
#[derive(Debug)]
pub struct FrameDecoder {
    memory: Arc<MemoryBudget>,
    /// Memory of the frame that is being read, if it is a large one.
    reserved: Option<Reservation>,
    waits_for_memory: bool,
}

impl FrameDecoder {
    /// Creates a decoder that reserves large frames in `memory`.
    pub fn new(memory: Arc<MemoryBudget>) -> Self {
        Self { memory, reserved: None, waits_for_memory: false }
    }

    /// Takes the next frame from the start of `input`; without a complete one, makes room for the rest
    /// of it unless [`Self::waits_for_memory`].
    pub fn decode(&mut self, input: &mut BytesMut) -> io::Result<Option<LinkFrame>> {
        self.waits_for_memory = false;
        let Some(prefix) = input.first_chunk::<{ size_of::<u32>() }>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*prefix) as usize;
        let invalid = |cause: String| io::Error::new(io::ErrorKind::InvalidData, cause);
        if length > MAX_MESSAGE_BYTES {
            return Err(invalid(format!("a frame of {length} bytes, above {MAX_MESSAGE_BYTES}")));
        }
        let total = size_of::<u32>() + length;
        if length > UNRESERVED_FRAME_BYTES {
            if length > self.memory.limit_bytes() {
                return Err(invalid(format!(
                    "a frame of {length} bytes exceeds the memory budget"
                )));
            }
            let step = total.min((2 * input.len()).max(UNRESERVED_FRAME_BYTES));
            if !self.reserve(step) {
                self.waits_for_memory = true;
                return Ok(None);
            }
            if input.len() < total {
                input.reserve(step - input.len());
                return Ok(None);
            }
        }
        if input.len() < total {
            input.reserve(total - input.len());
            return Ok(None);
        }
        input.advance(size_of::<u32>());
        let bytes = input.split_to(length).freeze();
        let bytes = match self.reserved.take() {
            Some(reserved) => memory::reserved_bytes(bytes, reserved),
            None => bytes,
        };
        LinkFrame::decode(bytes).map(Some).map_err(|error| invalid(error.to_string()))
    }

    /// Raises the reservation of the frame that is being read to this size; false if there is no memory.
    fn reserve(&mut self, bytes: usize) -> bool {
        let held = self.reserved.as_ref().map_or(0, Reservation::bytes);
        let Some(added) = self.memory.reserve(bytes.saturating_sub(held)) else { return false };
        match &mut self.reserved {
            Some(reserved) => reserved.merge(added),
            None => self.reserved = Some(added),
        }
        true
    }

    /// Whether the budget has no memory for the next frame. Nothing more may be read until it has.
    pub fn waits_for_memory(&self) -> bool {
        self.waits_for_memory
    }

    /// Whether a large frame is being read, whose buffer is complete.
    fn is_in_large_frame(&self) -> bool {
        self.reserved.is_some()
    }
}

/// Reads frames from a link.
#[derive(Debug)]
pub(super) struct FrameReader {
    stream: OwnedReadHalf,
    input: BytesMut,
    decoder: FrameDecoder,
}

impl FrameReader {
    pub(super) fn new(stream: OwnedReadHalf, memory: Arc<MemoryBudget>) -> Self {
        Self { stream, input: BytesMut::new(), decoder: FrameDecoder::new(memory) }
    }

    /// The stream, without the bytes that have been read from it.
    pub(super) fn into_inner(self) -> OwnedReadHalf {
        self.stream
    }

    /// Reads the next frame; `None` at the end of the stream. No bytes are lost if the future is
    /// dropped.
    pub(super) async fn next(&mut self) -> io::Result<Option<LinkFrame>> {
        loop {
            if let Some(frame) = self.decoder.decode(&mut self.input)? {
                return Ok(Some(frame));
            }
            if self.decoder.waits_for_memory() {
                sleep(MEMORY_POLL_INTERVAL).await;
                continue;
            }
            if self.input.is_empty() {
                // An idle link holds no buffer.
                self.input = BytesMut::new();
                self.stream.readable().await?;
            }
            if !self.decoder.is_in_large_frame() {
                self.input.reserve(READ_BYTES);
            }
            if self.stream.read_buf(&mut self.input).await? == 0 {
                return Ok(None);
            }
        }
    }
}
