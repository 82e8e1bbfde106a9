//! Memory and descriptors of the machine, and the shares of them that are used.

use rustix::process::{Resource, getrlimit};

/// Largest memory that is assumed where the settings do not state it: the smallest machine of a deployment
/// has 160 MB, and a process may be limited to less than what `/proc/meminfo` states.
const MAX_ASSUMED_MEMORY_BYTES: usize = 160 << 20;
/// Descriptors that are assumed where the process has no limit.
const FALLBACK_DESCRIPTORS: usize = 4_096;
const MEMORY_FILE: &str = "/proc/meminfo";

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
    let line = text.lines().find_map(|line| line.strip_prefix("MemTotal:"))?;
    let kib: usize = line.trim().strip_suffix("kB")?.trim().parse().ok()?;
    kib.checked_mul(1024)
}

/// Descriptors that the process may open: `stated` by the settings, or the limit of the process.
pub fn max_descriptors(stated: Option<usize>) -> usize {
    let limit = || getrlimit(Resource::Nofile).current;
    let limit = stated.or_else(|| limit().and_then(|limit| usize::try_from(limit).ok()));
    limit.unwrap_or(FALLBACK_DESCRIPTORS)
}

/// Part of a machine's memory that bytes held for others may use: three quarters. The rest is for the
/// program itself, the buffers of libraries and what the allocator retains; a node without load has 15
/// to 25 MB.
pub fn budget_bytes(memory_bytes: usize) -> usize {
    memory_bytes / 4 * 3
}
