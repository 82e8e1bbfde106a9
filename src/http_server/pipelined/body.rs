//! Decoding of request bodies.

use bytes::{Buf as _, BytesMut};

use super::head::{Framing, HeadError, with_fields};

/// Largest line with the size of a chunk, including its extensions.
const MAX_CHUNK_LINE_BYTES: usize = 1 << 10;
/// Largest trailer after the last chunk; trailers are discarded.
const MAX_TRAILER_BYTES: usize = 8 << 10;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Part {
    /// Bytes of a body with a length.
    Fixed {
        remaining: usize,
    },
    /// The line with the size of the next chunk.
    ChunkLine,
    /// Bytes of a chunk.
    Chunk {
        remaining: usize,
    },
    /// The line end after a chunk.
    ChunkEnd,
    /// The trailer after the last chunk.
    Trailer,
    Complete,
}

/// Decodes a body piece by piece. It needs no more input at once than a line of a chunk, or the trailer.
#[derive(Debug)]
pub struct BodyDecoder {
    next: Part,
    max_bytes: usize,
}

impl BodyDecoder {
    /// Creates a decoder for a body of at most `max_bytes`.
    pub fn new(framing: Framing, max_bytes: usize) -> Result<Self, HeadError> {
        let next = match framing {
            Framing::Length(length) if length > max_bytes => return Err(HeadError::BodyTooLarge),
            Framing::Length(0) => Part::Complete,
            Framing::Length(remaining) => Part::Fixed { remaining },
            Framing::Chunked => Part::ChunkLine,
        };
        Ok(Self { next, max_bytes })
    }

    /// Whether the whole body has been received.
    pub fn is_complete(&self) -> bool {
        self.next == Part::Complete
    }

    /// Number of the next bytes that belong to the body without anything in between.
    pub fn contiguous_bytes(&self) -> usize {
        match self.next {
            Part::Fixed { remaining } | Part::Chunk { remaining } => remaining,
            _ => 0,
        }
    }

    /// Upper limit of the bytes of the body in the next `input_bytes`.
    pub fn max_body_bytes_in(&self, input_bytes: usize) -> usize {
        match self.next {
            Part::Fixed { remaining } => remaining.min(input_bytes),
            Part::Complete | Part::Trailer => 0,
            Part::ChunkLine | Part::Chunk { .. } | Part::ChunkEnd => input_bytes,
        }
    }

    /// Records that bytes of the body were received without [`decode`](Self::decode), no more than
    /// [`contiguous_bytes`](Self::contiguous_bytes).
    pub fn advance(&mut self, bytes: usize) {
        self.next = match self.next {
            Part::Fixed { remaining } if remaining <= bytes => Part::Complete,
            Part::Fixed { remaining } => Part::Fixed { remaining: remaining - bytes },
            Part::Chunk { remaining } if remaining <= bytes => Part::ChunkEnd,
            Part::Chunk { remaining } => Part::Chunk { remaining: remaining - bytes },
            other => other,
        };
    }

    /// Moves bytes of the body from the input to `body` until the body is complete or the input does not
    /// hold its next part.
    pub fn decode(&mut self, input: &mut BytesMut, body: &mut BytesMut) -> Result<(), HeadError> {
        loop {
            match self.next {
                Part::Complete => return Ok(()),
                Part::Fixed { .. } | Part::Chunk { .. } if input.is_empty() => return Ok(()),
                Part::Fixed { remaining } | Part::Chunk { remaining } => {
                    let taken = remaining.min(input.len());
                    body.extend_from_slice(&input[..taken]);
                    input.advance(taken);
                    self.advance(taken);
                }
                Part::ChunkLine => match httparse::parse_chunk_size(input) {
                    Ok(httparse::Status::Complete((length, size))) => {
                        input.advance(length);
                        let size = usize::try_from(size).map_err(|_| HeadError::BodyTooLarge)?;
                        if size.saturating_add(body.len()) > self.max_bytes {
                            return Err(HeadError::BodyTooLarge);
                        }
                        self.next = match size {
                            0 => Part::Trailer,
                            remaining => Part::Chunk { remaining },
                        };
                    }
                    Ok(httparse::Status::Partial) if input.len() <= MAX_CHUNK_LINE_BYTES => {
                        return Ok(());
                    }
                    _ => return Err(HeadError::Malformed),
                },
                Part::ChunkEnd if input.len() < 2 => return Ok(()),
                Part::ChunkEnd if input[..2] == *b"\r\n" => {
                    input.advance(2);
                    self.next = Part::ChunkLine;
                }
                Part::ChunkEnd => return Err(HeadError::Malformed),
                Part::Trailer => {
                    let parsed = with_fields(input, |input, fields| {
                        Ok(match httparse::parse_headers(input, fields)? {
                            httparse::Status::Complete((length, _)) => Some(length),
                            httparse::Status::Partial => None,
                        })
                    });
                    match parsed {
                        Ok(Some(length)) => {
                            input.advance(length);
                            self.next = Part::Complete;
                        }
                        Ok(None) if input.len() <= MAX_TRAILER_BYTES => return Ok(()),
                        _ => return Err(HeadError::Malformed),
                    }
                }
            }
        }
    }
}
