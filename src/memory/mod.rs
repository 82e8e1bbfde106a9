//! A budget for the memory of bytes that a process holds for others.
//!
//! Load pattern: callers send large bodies that never end, and upstreams answer with bytes without end.
//! Each buffer alone is within its limit, but their sum exceeds the memory of the machine. Bytes are
//! therefore reserved before they are read, and the reservation is returned when they are dropped.

mod buffer;
mod machine;

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use bytes::Bytes;

pub use buffer::{grow, held_bytes};
pub use machine::{
    ResidentMemory, budget_bytes, budget_bytes_beside, machine_memory_bytes, max_descriptors,
    parse_memory_total,
};

/// Memory that may be reserved in total.
#[derive(Debug)]
pub struct MemoryBudget {
    limit_bytes: usize,
    used_bytes: AtomicUsize,
    peak_bytes: AtomicUsize,
}

impl MemoryBudget {
    /// Creates a budget of this size.
    pub fn new(limit_bytes: usize) -> Self {
        Self { limit_bytes, used_bytes: AtomicUsize::new(0), peak_bytes: AtomicUsize::new(0) }
    }

    /// Size of the budget.
    pub fn limit_bytes(&self) -> usize {
        self.limit_bytes
    }

    /// Bytes that are reserved now.
    pub fn used_bytes(&self) -> usize {
        self.used_bytes.load(Ordering::Relaxed)
    }

    /// Most bytes that were reserved at a time.
    pub fn peak_bytes(&self) -> usize {
        self.peak_bytes.load(Ordering::Relaxed)
    }

    /// Reserves memory if no more than `max_used_bytes` of the budget are in use afterwards; a use of
    /// the budget that may be refused passes less than the whole budget, and leaves the rest to others.
    pub fn reserve_up_to(
        self: &Arc<Self>,
        bytes: usize,
        max_used_bytes: usize,
    ) -> Option<Reservation> {
        let max_used_bytes = max_used_bytes.min(self.limit_bytes);
        let reserved =
            self.used_bytes.try_update(Ordering::Relaxed, Ordering::Relaxed, |used_bytes| {
                used_bytes.checked_add(bytes).filter(|used_bytes| *used_bytes <= max_used_bytes)
            });
        let used_before_bytes = reserved.ok()?;
        Some(self.make_reservation(used_before_bytes, bytes))
    }

    /// Reserves memory that is in use already or must be used, beyond the limit if need be: such a use is
    /// not refused, but leaves less to the uses that may be.
    pub fn reserve_always(self: &Arc<Self>, bytes: usize) -> Reservation {
        let used_before_bytes = self.used_bytes.fetch_add(bytes, Ordering::Relaxed);
        self.make_reservation(used_before_bytes, bytes)
    }

    fn make_reservation(self: &Arc<Self>, used_before_bytes: usize, bytes: usize) -> Reservation {
        self.peak_bytes.fetch_max(used_before_bytes + bytes, Ordering::Relaxed);
        Reservation { budget: self.clone(), bytes }
    }

    /// Reserves memory if the budget permits it.
    pub fn reserve(self: &Arc<Self>, bytes: usize) -> Option<Reservation> {
        self.reserve_up_to(bytes, self.limit_bytes)
    }
}

/// Memory that is reserved in a budget until this is dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: Arc<MemoryBudget>,
    bytes: usize,
}

impl Reservation {
    /// Number of reserved bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Adds the memory of another reservation in the same budget.
    pub fn merge(&mut self, mut other: Self) {
        debug_assert!(Arc::ptr_eq(&self.budget, &other.budget), "reservations of two budgets");
        self.bytes += std::mem::take(&mut other.bytes);
    }

    /// Returns the memory beyond `bytes` to the budget.
    pub fn shrink_to(&mut self, bytes: usize) {
        let returned = self.bytes.saturating_sub(bytes);
        self.bytes -= returned;
        self.budget.used_bytes.fetch_sub(returned, Ordering::Relaxed);
    }
}

/// Bytes with the reservation of their memory.
struct ReservedBytes {
    bytes: Bytes,
    _reservation: Reservation,
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Ties a reservation to bytes: it is returned once all copies and parts of them are dropped.
pub fn reserved_bytes(bytes: Bytes, reservation: Reservation) -> Bytes {
    match bytes.is_empty() {
        true => bytes,
        false => Bytes::from_owner(ReservedBytes { bytes, _reservation: reservation }),
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.used_bytes.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
