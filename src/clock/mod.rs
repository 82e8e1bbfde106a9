//! Clocks. Modules that make decisions take the time as a parameter and never read a clock.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};

/// Time since boot, including time spent suspended.
pub type Timestamp = Duration;
/// Time since 1970-01-01T00:00:00Z.
pub type UnixTime = Duration;

/// Reads the boot-time clock.
///
/// `Instant` does not advance while a machine is suspended, so a lease checked with it could
/// outlive its evidence.
pub fn now() -> Timestamp {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec.unsigned_abs(), u32::try_from(time.tv_nsec).unwrap_or(0))
}

/// Reads the wall clock.
pub fn unix_now() -> UnixTime {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO)
}

/// Converts a time to whole milliseconds, rounded down; saturates at `u64::MAX`.
pub fn to_millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Converts a time to whole milliseconds for 32-bit message fields; saturates at `u32::MAX`.
pub fn to_millis_u32(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
