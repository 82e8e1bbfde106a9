//! Growth of buffers whose final size may be unknown.
//!
//! Load pattern: many bodies grow at the same time and are given up half-way. In the heap of the allocator,
//! the pages of freed buffers stay resident between those that are still in use, so that the process holds
//! twice the memory that is reserved. Large buffers are therefore mapped on their own.

use bytes::BytesMut;

/// Largest content of a buffer in the heap.
const MAX_HEAP_BYTES: usize = 32 << 10;
/// Capacity that glibc always maps on its own: its threshold adapts up to 32 MiB. Only the pages that
/// were written to are resident, and all of them are returned when the buffer is freed. In the heap, 64
/// bodies of 2 MiB of which 20 are held at a time need the memory of all of them.
const MAPPED_BYTES: usize = 33 << 20;

/// Makes room for `bytes` more in a buffer, of which `expected_bytes` are still to come if that is known.
/// The memory that the buffer holds afterwards is what [`held_bytes`] states.
pub fn grow(buffer: &mut BytesMut, bytes: usize, expected_bytes: usize) {
    if buffer.capacity() - buffer.len() >= bytes {
        return;
    }
    let needed = buffer.len() + bytes.max(expected_bytes);
    if needed <= MAX_HEAP_BYTES {
        buffer.reserve(bytes.max(expected_bytes));
        return;
    }
    let capacity = needed.max(2 * buffer.len()).max(MAPPED_BYTES);
    if buffer.capacity() >= MAPPED_BYTES {
        // A mapped buffer grows without a copy.
        buffer.reserve(capacity - buffer.len());
        return;
    }
    let mut mapped = BytesMut::with_capacity(capacity);
    mapped.extend_from_slice(buffer);
    *buffer = mapped;
}

/// Memory that a buffer holds once it has room for `bytes` more, by [`grow`].
pub fn held_bytes(buffer: &BytesMut, bytes: usize, expected_bytes: usize) -> usize {
    let needed = buffer.len() + bytes;
    let expected = buffer.len() + bytes.max(expected_bytes);
    if expected > MAX_HEAP_BYTES {
        return needed;
    }
    match needed > buffer.capacity() {
        // The allocator may return memory that is resident already, and the capacity is doubled.
        true => expected.max(2 * buffer.capacity()),
        false => buffer.capacity(),
    }
}
