//! Reads the body of a response within a limit of its own and a memory budget.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body::{Body as _, Incoming};
use tokio::time::{Instant, sleep};

use crate::memory::{self, MemoryBudget, Reservation};

/// Size up to which a body may use the whole budget, so that answers of usual size are read while
/// larger ones wait for memory.
const TINY_BYTES: usize = 64 << 10;
/// Size up to which a body may use three quarters of the budget; larger ones may use half of it, as the
/// budget also holds the requests of callers.
const USUAL_BYTES: usize = 512 << 10;
/// Least size of the buffer of a body that arrives in several parts.
const MIN_BUFFER_BYTES: usize = 16 << 10;
/// Received bytes from which the whole stated length of a body is reserved at once. An upstream that
/// states a large length and sends nothing thus takes no memory from others.
const TRUSTED_LENGTH_BYTES: usize = 1 << 20;
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
        return Err(format!("the body is larger than {max_bytes} bytes"));
    }
    let mut buffer = Buffer { memory, max_bytes, stated_bytes, data: Vec::new(), reserved: None };
    while let Some(frame) = body.frame().await {
        // Trailers are dropped.
        let Ok(data) = frame.map_err(|error| error.to_string())?.into_data() else { continue };
        if buffer.data.is_empty() && body.is_end_stream() {
            // Most bodies arrive in one piece, which is not copied.
            let reserved = reserve(memory, data.len(), 0).await?;
            return Ok(memory::reserved_bytes(data, reserved));
        }
        buffer.append(&data).await?;
    }
    Ok(buffer.finish())
}

/// The parts of a body that have arrived.
struct Buffer<'a> {
    memory: &'a Arc<MemoryBudget>,
    max_bytes: usize,
    stated_bytes: Option<usize>,
    data: Vec<u8>,
    /// Memory of the capacity of `data`.
    reserved: Option<Reservation>,
}

impl Buffer<'_> {
    async fn append(&mut self, part: &[u8]) -> Result<(), String> {
        let needed = self.data.len() + part.len();
        if needed > self.max_bytes {
            return Err(format!("the body is larger than {} bytes", self.max_bytes));
        }
        if needed > self.data.capacity() {
            let capacity = self.next_capacity(needed);
            // While the buffer grows, the former and the new one exist.
            let reserved = reserve(self.memory, capacity, self.data.capacity()).await?;
            self.data.reserve_exact(capacity - self.data.len());
            self.reserved = Some(reserved);
        }
        self.data.extend_from_slice(part);
        Ok(())
    }

    fn next_capacity(&self, needed: usize) -> usize {
        let limit = self.stated_bytes.unwrap_or(self.max_bytes).max(needed);
        match self.stated_bytes {
            Some(_) if self.data.len() >= TRUSTED_LENGTH_BYTES => limit,
            _ => needed.max(2 * self.data.capacity()).max(MIN_BUFFER_BYTES).min(limit),
        }
    }

    fn finish(mut self) -> Bytes {
        let Some(mut reserved) = self.reserved else { return Bytes::new() };
        self.data.shrink_to_fit();
        reserved.shrink_to(self.data.capacity());
        memory::reserved_bytes(self.data.into(), reserved)
    }
}

/// Reserves memory for a body that holds `held` bytes already; waits a short time for it.
async fn reserve(
    memory: &Arc<MemoryBudget>,
    bytes: usize,
    held: usize,
) -> Result<Reservation, String> {
    let limit_bytes = memory.limit_bytes();
    let max_used_bytes = if held + bytes <= TINY_BYTES {
        limit_bytes
    } else if held + bytes <= USUAL_BYTES {
        limit_bytes / 4 * 3
    } else {
        limit_bytes / 2
    };
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
