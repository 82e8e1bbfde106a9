//! Counts the fields of a protobuf message whose bytes arrive in pieces.
//!
//! Load pattern: a message of many empty fields. Each takes two bytes of the message and a struct of the
//! decoded one, so that the size of a message says nothing about the memory that it needs.

/// Largest number of bytes of an integer.
const MAX_VARINT_BYTES: u32 = 10;
const WIRE_VARINT: u64 = 0;
const WIRE_FIXED64: u64 = 1;
const WIRE_LENGTH: u64 = 2;
const WIRE_GROUP_START: u64 = 3;
const WIRE_GROUP_END: u64 = 4;
const WIRE_FIXED32: u64 = 5;

/// Counts the fields of a message, without those of the messages within it.
///
/// A message that is no protobuf is left to the decoder, which does not read beyond its first error.
#[derive(Debug, Default)]
pub struct FieldCounter {
    state: State,
    fields: usize,
}

#[derive(Debug)]
enum State {
    /// A tag, of which these bits have been read.
    Tag(Varint),
    /// An integer that is a value.
    Value(Varint),
    /// The length of a value.
    Length(Varint),
    /// Bytes of a value that are still to come.
    Skip(u64),
    Invalid,
}

impl Default for State {
    fn default() -> Self {
        Self::Tag(Varint::default())
    }
}

/// The part of an integer that has been read.
#[derive(Debug, Default, Clone, Copy)]
struct Varint {
    value: u64,
    bytes: u32,
}

impl Varint {
    /// Adds a byte; returns whether the integer is complete, or `None` if it is too long.
    fn push(&mut self, byte: u8) -> Option<bool> {
        if self.bytes == MAX_VARINT_BYTES {
            return None;
        }
        self.value |= u64::from(byte & 0x7f) << (7 * self.bytes).min(63);
        self.bytes += 1;
        Some(byte & 0x80 == 0)
    }
}

impl FieldCounter {
    /// Reads the next bytes of the message.
    pub fn read(&mut self, mut bytes: &[u8]) {
        while let Some((first, rest)) = bytes.split_first() {
            match &mut self.state {
                State::Invalid => return,
                State::Skip(left) => {
                    let skipped = (*left).min(bytes.len() as u64);
                    *left -= skipped;
                    bytes = &bytes[skipped as usize..];
                    if *left == 0 {
                        self.state = State::default();
                    }
                }
                State::Tag(varint) | State::Value(varint) | State::Length(varint) => {
                    bytes = rest;
                    match varint.push(*first) {
                        Some(true) => self.end_varint(),
                        Some(false) => {}
                        None => self.state = State::Invalid,
                    }
                }
            }
        }
    }

    /// Fields that have begun.
    pub fn fields(&self) -> usize {
        self.fields
    }

    fn end_varint(&mut self) {
        let skip = |length| match length {
            0 => State::default(),
            _ => State::Skip(length),
        };
        self.state = match &self.state {
            State::Tag(tag) => {
                self.fields += 1;
                match tag.value & 7 {
                    WIRE_VARINT => State::Value(Varint::default()),
                    WIRE_FIXED64 => skip(8),
                    WIRE_LENGTH => State::Length(Varint::default()),
                    WIRE_FIXED32 => skip(4),
                    // The fields of a group count as those of the message.
                    WIRE_GROUP_START | WIRE_GROUP_END => State::default(),
                    _ => State::Invalid,
                }
            }
            State::Length(length) => skip(length.value),
            State::Value(_) => State::default(),
            State::Skip(_) | State::Invalid => return,
        };
    }
}
