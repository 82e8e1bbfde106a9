//! Reading of frames from a link.

use std::io;

use bytes::BytesMut;
use prost::Message as _;
use tokio::{io::AsyncReadExt as _, net::tcp::OwnedReadHalf};
use tokio_util::codec::{Decoder as _, LengthDelimitedCodec};

use crate::{mesh::proto::LinkFrame, peers::MAX_MESSAGE_BYTES};

/// Size of the buffer of one read.
const READ_BYTES: usize = 8 << 10;

/// Reads frames from a link.
#[derive(Debug)]
pub(super) struct FrameReader {
    stream: OwnedReadHalf,
    input: BytesMut,
    codec: LengthDelimitedCodec,
}

impl FrameReader {
    pub(super) fn new(stream: OwnedReadHalf) -> Self {
        let codec = LengthDelimitedCodec::builder().max_frame_length(MAX_MESSAGE_BYTES).new_codec();
        Self { stream, input: BytesMut::new(), codec }
    }

    /// Reads the next frame; `None` at the end of the stream. No bytes are lost if the future is
    /// dropped.
    pub(super) async fn next(&mut self) -> io::Result<Option<LinkFrame>> {
        loop {
            if let Some(bytes) = self.codec.decode(&mut self.input)? {
                let frame = LinkFrame::decode(bytes.freeze());
                return frame
                    .map(Some)
                    .map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error));
            }
            if self.input.is_empty() {
                // An idle link holds no buffer.
                self.input = BytesMut::new();
                self.stream.readable().await?;
            }
            self.input.reserve(READ_BYTES);
            if self.stream.read_buf(&mut self.input).await? == 0 {
                return Ok(None);
            }
        }
    }
}
