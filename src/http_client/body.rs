//! Reads the body of a response within a limit of its own and a memory budget.

use std::{sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt as _;
use hyper::body::{Body as _, Incoming};
use tokio::time::{Instant, sleep};

use super::short_reads::READ_BUFFER_BYTES;
use crate::memory::{self, MemoryBudget, Reservation};

/// Sizes of bodies, and the eighths of the budget up to which bodies of at most that size are read. Answers
/// of usual size are thus read while larger ones wait for memory.
const MAX_USED_EIGHTHS: [(usize, usize); 3] = [(64 << 10, 8), (256 << 10, 6), (512 << 10, 5)];
/// The same for larger bodies, as the budget also holds the requests of callers.
const LARGE_BODY_EIGHTHS: usize = 4;
/// Received bytes from which the whole stated length of a body is reserved at once. An upstream that
/// states a large length and sends nothing thus takes no memory from others.
const TRUSTED_LENGTH_BYTES: usize = 1 << 20;
/// Memory of the buffers of a connection while a body arrives on it in several parts: the one that is
/// read into, and those that the waiting part and the part that is being appended refer to.
const READ_BUFFERS_BYTES: usize = 3 * READ_BUFFER_BYTES;
/// Time for which reading stops while the budget is exhausted. Afterwards the body is given up, since
/// bodies that wait for the memory of each other would all wait until their deadlines.
const MEMORY_WAIT: Duration = Duration::from_millis(250);
/// Time between two attempts to reserve memory.
const MEMORY_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Reads a complete body of at most `max_bytes`; the error says why it was given up.
pub async fn read(
    mut body: Incoming,
    max_bytes: usize,
    memory: &Arc<MemoryBudget>,
) -> Result<Bytes, String> {
    let stated_bytes = body.size_hint().exact().and_then(|bytes| usize::try_from(bytes).ok());
    if stated_bytes.is_some_and(|bytes| bytes > max_bytes) {
        return Err(too_large(max_bytes));
    }
    let Some(first) = next_part(&mut body).await? else { return Ok(Bytes::new()) };
    if body.is_end_stream() {
        // Most bodies arrive in one piece, which is not copied.
        let reserved = reserve(memory, first.len(), 0).await?;
        return Ok(memory::reserved_bytes(first, reserved));
    }
    let _read_buffers = reserve(memory, READ_BUFFERS_BYTES, 0).await?;
    let data = BytesMut::new();
    let mut buffer = Buffer { memory, max_bytes, stated_bytes, data, reserved: None };
    buffer.append(&first).await?;
    drop(first);
    while let Some(part) = next_part(&mut body).await? {
        buffer.append(&part).await?;
    }
    Ok(buffer.finish())
}

/// The next part of a body; trailers are dropped.
async fn next_part(body: &mut Incoming) -> Result<Option<Bytes>, String> {
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame.map_err(|error| error.to_string())?.into_data() {
            return Ok(Some(data));
        }
    }
    Ok(None)
}

fn too_large(max_bytes: usize) -> String {
    format!("the body is larger than {max_bytes} bytes")
}

/// The parts of a body that have arrived.
struct Buffer<'a> {
    memory: &'a Arc<MemoryBudget>,
    max_bytes: usize,
    stated_bytes: Option<usize>,
    data: BytesMut,
    /// Memory of `data`.
    reserved: Option<Reservation>,
}

impl Buffer<'_> {
    async fn append(&mut self, part: &[u8]) -> Result<(), String> {
        if self.data.len() + part.len() > self.max_bytes {
            return Err(too_large(self.max_bytes));
        }
        let expected_bytes = self.stated_bytes.map_or(0, |stated| stated - self.data.len());
        let mut needed_bytes = memory::held_bytes(&self.data, part.len(), expected_bytes);
        if self.data.len() >= TRUSTED_LENGTH_BYTES {
            needed_bytes = needed_bytes.max(self.data.len() + expected_bytes);
        }
        self.reserve(needed_bytes).await?;
        memory::grow(&mut self.data, part.len(), expected_bytes);
        self.data.extend_from_slice(part);
        Ok(())
    }

    /// Raises the reservation to this size.
    async fn reserve(&mut self, bytes: usize) -> Result<(), String> {
        let held_bytes = self.reserved.as_ref().map_or(0, Reservation::bytes);
        let Some(missing_bytes) = bytes.checked_sub(held_bytes).filter(|bytes| *bytes > 0) else {
            return Ok(());
        };
        let added = reserve(self.memory, missing_bytes, held_bytes).await?;
        match &mut self.reserved {
            Some(reserved) => reserved.merge(added),
            None => self.reserved = Some(added),
        }
        Ok(())
    }

    fn finish(self) -> Bytes {
        match self.reserved {
            Some(reserved) => memory::reserved_bytes(self.data.freeze(), reserved),
            None => Bytes::new(),
        }
    }
}

/// Reserves memory for a body that holds `held` bytes already; waits a short time for it.
async fn reserve(
    memory: &Arc<MemoryBudget>,
    bytes: usize,
    held: usize,
) -> Result<Reservation, String> {
    let limit_bytes = memory.limit_bytes();
    let class = MAX_USED_EIGHTHS.iter().find(|(max_bytes, _)| held + bytes <= *max_bytes);
    let eighths = class.map_or(LARGE_BODY_EIGHTHS, |(_, eighths)| *eighths);
    let max_used_bytes = limit_bytes / 8 * eighths;
    let give_up_at = Instant::now() + MEMORY_WAIT;
    loop {
        if let Some(reserved) = memory.reserve_up_to(bytes, max_used_bytes) {
            return Ok(reserved);
        }
        if Instant::now() >= give_up_at {
            return Err(format!(
                "no memory for {bytes} further bytes of the body; {} of {limit_bytes} are in use",
                memory.used_bytes()
            ));
        }
        sleep(MEMORY_POLL_INTERVAL).await;
    }
}
