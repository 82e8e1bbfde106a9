//! Clocks. Decision modules never read one; they are given the time.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};

/// Time since boot, time spent suspended included.
pub type Timestamp = Duration;
/// Time since 1970-01-01T00:00:00Z.
pub type UnixTime = Duration;

/// Reads the boot-time clock.
///
/// `Instant` stands still while a machine is suspended, so a lease checked with it could
/// outlive its evidence.
pub fn now() -> Timestamp {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec.unsigned_abs(), u32::try_from(time.tv_nsec).unwrap_or(0))
}

/// Reads the wall clock.
pub fn unix_now() -> UnixTime {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO)
}

/// Whole milliseconds of a time.
pub fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Whole milliseconds of a time, for messages.
pub fn millis_u32(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
