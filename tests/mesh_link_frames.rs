//! Decoding of the frames of a link, from bytes of any kind.

use std::sync::Arc;

use bytes::{BufMut as _, Bytes, BytesMut};
use hibiscusdoor::{
    memory::MemoryBudget,
    mesh::{
        link::{EncodedFrames, FrameDecoder},
        proto::{ForwardReply, ForwardRequest, LinkFrame, LinkSignal, link_frame::Content},
    },
};
use proptest::prelude::*;
use prost::Message as _;

const BUDGET_BYTES: usize = 1 << 20;
/// Capacity that a decoder may ask for beyond the bytes that it was given: a frame within the budget.
const MAX_ROOM: usize = 2 * BUDGET_BYTES;

fn contents() -> impl Strategy<Value = Content> {
    let body = prop_oneof![
        proptest::collection::vec(any::<u8>(), 0..200),
        (0..200_000_usize).prop_map(|length| vec![b'b'; length]),
    ];
    prop_oneof![
        Just(Content::Ping(LinkSignal {})),
        Just(Content::Cancel(LinkSignal {})),
        body.clone().prop_map(|body| Content::Request(ForwardRequest {
            body: body.into(),
            ..ForwardRequest::default()
        })),
        body.prop_map(|body| Content::Reply(ForwardReply {
            body: body.into(),
            ..ForwardReply::default()
        })),
    ]
}

fn frames() -> impl Strategy<Value = Vec<LinkFrame>> {
    let frame = (any::<u64>(), contents())
        .prop_map(|(call, content)| LinkFrame { call, content: Some(content) });
    proptest::collection::vec(frame, 0..6)
}

fn encode(frames: &[LinkFrame]) -> BytesMut {
    let mut bytes = BytesMut::new();
    for frame in frames {
        bytes.put_u32(frame.encoded_len() as u32);
        frame.encode(&mut bytes).expect("a buffer that grows");
    }
    bytes
}

/// The same as a link encodes them, without copies of large bodies.
fn encode_for_link(frames: &[LinkFrame]) -> BytesMut {
    let mut encoded = EncodedFrames::default();
    let length: usize = frames.iter().map(|frame| encoded.push(frame.clone())).sum();
    let mut bytes = BytesMut::new();
    while let Some(part) = encoded.next_part() {
        bytes.extend_from_slice(&part);
    }
    assert_eq!(bytes.len(), length);
    bytes
}

/// Gives the bytes to a decoder in pieces of these lengths, in turn; returns the frames up to the first
/// error.
fn decode(memory: &Arc<MemoryBudget>, bytes: &[u8], pieces: &[usize]) -> Vec<LinkFrame> {
    let mut decoder = FrameDecoder::new(memory.clone());
    let mut input = BytesMut::new();
    let mut found = Vec::new();
    let mut pieces = pieces.iter().cycle();
    let mut rest = bytes;
    loop {
        let length = (*pieces.next().expect("a piece")).min(rest.len());
        input.extend_from_slice(&rest[..length]);
        rest = &rest[length..];
        loop {
            match decoder.decode(&mut input) {
                Ok(Some(frame)) => found.push(frame),
                Ok(None) if !decoder.waits_for_memory() => break,
                Ok(None) | Err(_) => return found,
            }
            assert!(memory.used_bytes() <= BUDGET_BYTES);
        }
        assert!(input.capacity() <= bytes.len() + MAX_ROOM, "{} bytes", input.capacity());
        if rest.is_empty() {
            return found;
        }
    }
}

/// Guards against a copy of a body that waits to be written, whose memory is not reserved.
#[test]
fn large_bodies_are_not_copied() {
    let body = Bytes::from(vec![b'b'; 100_000]);
    let reply = ForwardReply { body: body.clone(), ..ForwardReply::default() };
    let mut encoded = EncodedFrames::default();
    encoded.push(LinkFrame { call: 1, content: Some(Content::Reply(reply)) });
    let parts: Vec<Bytes> = std::iter::from_fn(|| encoded.next_part()).collect();
    assert!(parts.iter().any(|part| part.as_ptr() == body.as_ptr() && part.len() == body.len()));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    /// Guards against frames that are lost or changed by the places where the stream is divided.
    #[test]
    fn frames_are_read_however_they_arrive(
        frames in frames(),
        pieces in proptest::collection::vec(1..70_000_usize, 1..5),
    ) {
        let memory = Arc::new(MemoryBudget::new(BUDGET_BYTES * 2));
        for bytes in [encode(&frames), encode_for_link(&frames)] {
            prop_assert_eq!(&decode(&memory, &bytes, &pieces), &frames);
            prop_assert_eq!(memory.used_bytes(), 0);
        }
    }

    /// Guards against a crash, or memory beyond the budget, by frames that were changed on their way.
    #[test]
    fn changed_frames_are_bounded(
        frames in frames(),
        changes in proptest::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..8),
        pieces in proptest::collection::vec(1..70_000_usize, 1..5),
    ) {
        let memory = Arc::new(MemoryBudget::new(BUDGET_BYTES));
        let mut bytes = encode(&frames);
        for (place, value) in changes {
            if !bytes.is_empty() {
                let index = place.index(bytes.len());
                bytes[index] = value;
            }
        }
        let found = decode(&memory, &bytes, &pieces);
        drop(found);
        prop_assert_eq!(memory.used_bytes(), 0);
    }

    /// The same for bytes of any kind.
    #[test]
    fn other_bytes_are_bounded(
        bytes in proptest::collection::vec(any::<u8>(), 0..500),
        pieces in proptest::collection::vec(1..50_usize, 1..5),
    ) {
        let memory = Arc::new(MemoryBudget::new(BUDGET_BYTES));
        decode(&memory, &bytes, &pieces);
        prop_assert_eq!(memory.used_bytes(), 0);
    }
}

/// Guards against frames of other nodes that exceed the memory of the node: each link took a buffer of
/// the stated length, up to 80 MiB, before the bytes arrived.
#[test]
fn large_frames_wait_for_memory() {
    let memory = Arc::new(MemoryBudget::new(BUDGET_BYTES));
    let body = Bytes::from(vec![b'b'; BUDGET_BYTES / 2]);
    let reply = ForwardReply { body, ..ForwardReply::default() };
    let frame = LinkFrame { call: 1, content: Some(Content::Reply(reply)) };
    let bytes = encode(std::slice::from_ref(&frame));
    let mut first = FrameDecoder::new(memory.clone());
    let Ok(Some(held)) = first.decode(&mut bytes.clone()) else {
        panic!("the first frame is not read");
    };
    let mut second = FrameDecoder::new(memory.clone());
    // A stated length takes no memory that others need.
    let mut start = BytesMut::from(&bytes[..4]);
    assert!(matches!(second.decode(&mut start), Ok(None)));
    assert!(!second.waits_for_memory());
    assert!(memory.used_bytes() <= bytes.len() + UNRESERVED);
    // A part of the frame waits for what the rest of it needs.
    let mut start = BytesMut::from(&bytes[..bytes.len() - 1]);
    let capacity = start.capacity();
    assert!(matches!(second.decode(&mut start), Ok(None)));
    assert!(second.waits_for_memory());
    assert_eq!(start.capacity(), capacity);
    // The memory is returned with the last part of the first frame, here its body.
    drop(held);
    assert!(matches!(second.decode(&mut start), Ok(None)));
    assert!(!second.waits_for_memory());
    assert!(memory.used_bytes() > BUDGET_BYTES / 2);
    drop(second);
    assert_eq!(memory.used_bytes(), 0);
}

/// Guards against a node that announces a large frame and sends nothing: the reservation of its whole
/// length left no memory for the requests of callers.
#[test]
fn announced_frames_take_no_memory() {
    let memory = Arc::new(MemoryBudget::new(BUDGET_BYTES));
    let length = u32::try_from(BUDGET_BYTES / 2).expect("a length of four bytes");
    let mut decoders: Vec<FrameDecoder> =
        (0..4).map(|_| FrameDecoder::new(memory.clone())).collect();
    for decoder in &mut decoders {
        let mut start = BytesMut::from(&length.to_be_bytes()[..]);
        assert!(matches!(decoder.decode(&mut start), Ok(None)));
        assert!(!decoder.waits_for_memory());
    }
    assert!(memory.used_bytes() <= decoders.len() * UNRESERVED);
}

/// Capacity of a buffer that holds only the start of a frame.
const UNRESERVED: usize = 64 << 10;
