//! Memory and descriptors of the machine, and the shares of them that are used.

use rustix::process::{Resource, getrlimit};

/// Largest memory that is assumed where the settings do not state it: the smallest machine of a deployment
/// has 160 MB, and a process may be limited to less than what `/proc/meminfo` states.
const MAX_ASSUMED_MEMORY_BYTES: usize = 160 << 20;
/// Memory of the program without load, which has 15 to 25 MB, with the buffers of libraries and what the
/// allocator retains under load.
const PROGRAM_BYTES: usize = 40 << 20;
/// Part of it that is not resident before the first request. A build whose program is larger leaves as much.
const LOAD_OVERHEAD_BYTES: usize = 24 << 20;
/// Descriptors that are assumed where the process has no limit.
const FALLBACK_DESCRIPTORS: usize = 4_096;
const MEMORY_FILE: &str = "/proc/meminfo";
const PROCESS_FILE: &str = "/proc/self/status";

/// Memory of the machine: `stated` by the settings, or `MemTotal` of `/proc/meminfo`, up to that of a small
/// machine.
pub fn machine_memory_bytes(stated: Option<usize>) -> usize {
    if let Some(bytes) = stated {
        return bytes;
    }
    let text = std::fs::read_to_string(MEMORY_FILE).unwrap_or_default();
    let total = parse_memory_total(&text).unwrap_or_else(|| {
        log::warn!(
            assumed_bytes = MAX_ASSUMED_MEMORY_BYTES;
            "{MEMORY_FILE} states no memory, and the settings neither; assuming a small machine"
        );
        MAX_ASSUMED_MEMORY_BYTES
    });
    total.min(MAX_ASSUMED_MEMORY_BYTES)
}

/// `MemTotal` in the text of `/proc/meminfo`, in bytes.
pub fn parse_memory_total(text: &str) -> Option<usize> {
    parse_field(text, "MemTotal:")
}

/// Resident memory of this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResidentMemory {
    /// Memory that is resident now.
    pub current_bytes: usize,
    /// Most memory that was resident since the start of the process.
    pub peak_bytes: usize,
}

impl ResidentMemory {
    /// Reads the memory of this process; `None` where the system does not report it.
    pub fn read() -> Option<Self> {
        Self::parse(&std::fs::read_to_string(PROCESS_FILE).ok()?)
    }

    /// Reads `VmRSS` and `VmHWM` from the text of `/proc/self/status`.
    pub fn parse(text: &str) -> Option<Self> {
        let current_bytes = parse_field(text, "VmRSS:")?;
        // The kernel updates the peak later than the current value.
        let peak_bytes = parse_field(text, "VmHWM:")?.max(current_bytes);
        Some(Self { current_bytes, peak_bytes })
    }
}

/// Value of a field like `MemTotal:  512 kB`, in bytes.
fn parse_field(text: &str, name: &str) -> Option<usize> {
    let line = text.lines().find_map(|line| line.strip_prefix(name))?;
    let kib: usize = line.trim().strip_suffix("kB")?.trim().parse().ok()?;
    kib.checked_mul(1024)
}

/// Descriptors that the process may open: `stated` by the settings, or the limit of the process.
pub fn max_descriptors(stated: Option<usize>) -> usize {
    let limit = || getrlimit(Resource::Nofile).current;
    let limit = stated.or_else(|| limit().and_then(|limit| usize::try_from(limit).ok()));
    limit.unwrap_or(FALLBACK_DESCRIPTORS)
}

/// Part of a machine's memory that bytes held for others may use: three quarters, without the memory of
/// the program itself. A quarter remains on a machine that is too small for both.
pub fn budget_bytes(memory_bytes: usize) -> usize {
    budget_bytes_beside(memory_bytes, 0)
}

/// The same beside a program of which this much is resident before the first request.
pub fn budget_bytes_beside(memory_bytes: usize, resident_bytes: usize) -> usize {
    let program_bytes = PROGRAM_BYTES.max(resident_bytes + LOAD_OVERHEAD_BYTES);
    let left_bytes = memory_bytes.saturating_sub(program_bytes).max(memory_bytes / 4);
    left_bytes.min(memory_bytes / 4 * 3)
}
