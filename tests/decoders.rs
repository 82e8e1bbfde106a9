//! The decoders of bytes that anyone may send, with random and mutated input.
//!
//! Each decoder gets its input in pieces of random size. It must not panic, hold no more than its bounds
//! permit, end at the latest at its limit, and come to the same result as for the whole input at once.

use bytes::{BufMut as _, BytesMut};
use hibiscusdoor::{
    http_server::pipelined::{
        body::BodyDecoder,
        head::{Framing, HeadDecoder, HeadError},
    },
    mesh::{Dialect as _, UpstreamMessage},
    platform::OperatorsPlatform,
};
use http::Method;
use proptest::{collection::vec, prelude::*};

const MAX_HEAD_BYTES: usize = 2048;
const MAX_BODY_BYTES: usize = 4096;
/// Input that a body decoder may leave unread: a line of a chunk, or the trailer.
const MAX_BODY_INPUT_BYTES: usize = 8 << 10;
const HEAD: &str = "POST /orders/7?x=1 HTTP/1.1\r\nhost: a.example\r\nx-attempt-id: 17\r\n\
                    content-length: 12\r\nx-long: 0123456789abcdef0123456789abcdef\r\n\r\n";
const HEARTBEAT: &str = r#"{"address":"127.0.0.1:80","born":7,"info":{"service":"orders","version":"v1",
    "zone":"a","slots":8},"status":{"state":"ready","sequence":3,"coldRemaining":"1500ms"}}"#;

/// Replaces, inserts or removes bytes.
fn mutate(mut bytes: Vec<u8>, changes: &[(u16, u8, u8)]) -> Vec<u8> {
    for (position, kind, byte) in changes {
        let position = usize::from(*position) % (bytes.len() + 1);
        match kind % 3 {
            0 if position < bytes.len() => bytes[position] = *byte,
            1 if position < bytes.len() => drop(bytes.remove(position)),
            _ => bytes.insert(position, *byte),
        }
    }
    bytes
}

fn changes() -> impl Strategy<Value = Vec<(u16, u8, u8)>> {
    vec((any::<u16>(), any::<u8>(), any::<u8>()), 0..6)
}

/// Bytes with many of the characters that mean something to the decoders.
fn bytes(max: usize) -> impl Strategy<Value = Vec<u8>> {
    let special = prop::sample::select(b"\r\n: 0123afAFGETHP/.;=,\0\xff".to_vec());
    vec(prop_oneof![4 => special, 1 => any::<u8>()], 0..max)
}

/// Splits input into pieces of these sizes, in turn.
fn pieces<'a>(input: &'a [u8], sizes: &'a [usize]) -> impl Iterator<Item = &'a [u8]> {
    let (mut rest, mut sizes) = (input, sizes.iter().cycle());
    std::iter::from_fn(move || {
        let size = sizes.next().copied().unwrap_or(1).max(1).min(rest.len());
        let (piece, after) = rest.split_at(size);
        rest = after;
        (!piece.is_empty()).then_some(piece)
    })
}

/// Result of a head: number of its fields and the input behind it.
type HeadResult = Result<Option<(usize, Vec<u8>)>, HeadError>;

fn decode_head(input: &[u8], sizes: &[usize]) -> HeadResult {
    let (mut decoder, mut buffer) = (HeadDecoder::default(), BytesMut::new());
    let mut decoded = 0;
    for piece in pieces(input, sizes) {
        buffer.put_slice(piece);
        decoded += piece.len();
        if let Some(head) = decoder.decode(&mut buffer, MAX_HEAD_BYTES)? {
            buffer.put_slice(&input[decoded..]);
            assert!(head.held_bytes() >= head.parts.headers.len());
            return Ok(Some((head.parts.headers.len(), buffer.to_vec())));
        }
        assert!(buffer.len() <= MAX_HEAD_BYTES, "{} bytes are held", buffer.len());
    }
    Ok(None)
}

/// A head that is complete has the same meaning in whatever pieces it arrives. An error may be found
/// earlier or later.
fn check_head(input: &[u8], sizes: &[usize]) {
    let (whole, split) = (decode_head(input, &[input.len().max(1)]), decode_head(input, sizes));
    match (&whole, &split) {
        (Ok(Some(_)), _) | (_, Ok(Some(_))) => assert_eq!(whole, split, "{input:?}"),
        // Without an end of the head, an error may not have been looked for yet.
        _ => {}
    }
}

/// Decodes a body; returns it and whether it is complete.
fn decode_body(
    framing: Framing,
    input: &[u8],
    sizes: &[usize],
) -> Result<(Vec<u8>, bool), HeadError> {
    let mut decoder = BodyDecoder::new(framing, MAX_BODY_BYTES)?;
    let (mut buffer, mut body) = (BytesMut::new(), BytesMut::new());
    for piece in pieces(input, sizes) {
        if decoder.is_complete() {
            break;
        }
        buffer.put_slice(piece);
        decoder.decode(&mut buffer, &mut body)?;
        assert!(body.len() <= MAX_BODY_BYTES, "a body of {} bytes", body.len());
        assert!(buffer.len() <= MAX_BODY_INPUT_BYTES, "{} bytes are held", buffer.len());
    }
    Ok((body.to_vec(), decoder.is_complete()))
}

fn chunked(chunks: &[Vec<u8>], extension: &str, trailer: &str) -> Vec<u8> {
    let mut encoded = Vec::new();
    for chunk in chunks.iter().filter(|chunk| !chunk.is_empty()) {
        encoded.extend_from_slice(format!("{:x}{extension}\r\n", chunk.len()).as_bytes());
        encoded.extend_from_slice(chunk);
        encoded.extend_from_slice(b"\r\n");
    }
    encoded.extend_from_slice(format!("0\r\n{trailer}\r\n").as_bytes());
    encoded
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(128))]

    /// Guards against panics, unbounded buffers and results that depend on the pieces of a head.
    #[test]
    fn random_heads_are_bounded(input in bytes(3000), sizes in vec(1_usize..64, 1..8)) {
        check_head(&input, &sizes);
    }

    /// The same for heads that are almost valid.
    #[test]
    fn mutated_heads_are_bounded(changes in changes(), sizes in vec(1_usize..64, 1..8)) {
        check_head(&mutate(HEAD.as_bytes().to_vec(), &changes), &sizes);
    }

    /// Guards against heads that are refused although they are within the limit of their size: more than
    /// 96 fields got 431.
    #[test]
    fn heads_within_the_limit_are_read(fields in 0_usize..400, sizes in vec(1_usize..64, 1..8)) {
        let lines: String = (0..fields).map(|number| format!("{number}:\r\n")).collect();
        let head = format!("GET / HTTP/1.1\r\nhost: a\r\n{lines}\r\n");
        let fits = head.len() <= MAX_HEAD_BYTES;
        let expected = if fits { Ok(Some((fields + 1, Vec::new()))) } else { Err(HeadError::HeadTooLarge) };
        prop_assert_eq!(decode_head(head.as_bytes(), &sizes), expected);
    }

    /// Guards against bodies that are changed by the way their chunks arrive.
    #[test]
    fn chunks_of_any_size_are_read(
        chunks in vec(vec(any::<u8>(), 0..600), 0..6),
        extension in "(;[a-z]{1,8}(=[a-z0-9]{1,8})?)?",
        trailer in "([a-z]{1,8}: [a-z]{0,8}\r\n){0,3}",
        sizes in vec(1_usize..300, 1..8),
    ) {
        let body = chunks.concat();
        let decoded = decode_body(Framing::Chunked, &chunked(&chunks, &extension, &trailer), &sizes);
        prop_assert_eq!(decoded, Ok((body, true)));
    }

    /// Guards against bodies over the limit that are held, and against the same for a length.
    #[test]
    fn large_bodies_are_refused(length in MAX_BODY_BYTES + 1..usize::MAX, sizes in vec(1_usize..300, 1..8)) {
        let line = format!("{length:x}\r\n");
        let decoded = decode_body(Framing::Chunked, line.as_bytes(), &sizes);
        prop_assert_eq!(decoded, Err(HeadError::BodyTooLarge));
        let decoded = decode_body(Framing::Length(length), b"x", &sizes);
        prop_assert_eq!(decoded, Err(HeadError::BodyTooLarge));
    }

    /// Guards against panics and unbounded buffers.
    #[test]
    fn random_chunks_are_bounded(input in bytes(12_000), sizes in vec(1_usize..300, 1..8)) {
        let _ = decode_body(Framing::Chunked, &input, &sizes);
    }

    /// The same for chunks that are almost valid.
    #[test]
    fn mutated_chunks_are_bounded(
        chunks in vec(vec(any::<u8>(), 0..600), 0..6),
        changes in changes(),
        sizes in vec(1_usize..300, 1..8),
    ) {
        let input = mutate(chunked(&chunks, ";a=b", "x: y\r\n"), &changes);
        let whole = decode_body(Framing::Chunked, &input, &[input.len().max(1)]);
        let split = decode_body(Framing::Chunked, &input, &sizes);
        if matches!(whole, Ok((_, true))) {
            prop_assert_eq!(whole, split);
        }
    }

    /// Guards against panics, and against heartbeats that are taken for one of another upstream.
    #[test]
    fn random_heartbeats_are_refused(path in "(/instances/)?[a-z/]{0,12}", input in bytes(500)) {
        let message = OperatorsPlatform::upstream_message(&Method::PUT, &path, &input);
        prop_assert!(message.is_err(), "{message:?}");
    }

    /// The same for heartbeats that are almost valid.
    #[test]
    fn mutated_heartbeats_are_bounded(changes in changes()) {
        let input = mutate(HEARTBEAT.as_bytes().to_vec(), &changes);
        if let Ok(message) = OperatorsPlatform::upstream_message(&Method::PUT, "/instances/u-1", &input) {
            let UpstreamMessage::Heartbeat(heartbeat) = message else {
                panic!("not a heartbeat: {message:?}");
            };
            prop_assert_eq!(&*heartbeat.upstream, "u-1");
        }
    }
}
