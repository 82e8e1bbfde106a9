//! Rank of a call chain among those that compete for retries.

/// Weight of the request's urgency in the retry rank of its call chain; the rest is random.
const URGENCY_WEIGHT: f64 = 0.5;
const HASH_PURPOSE: &str = "hibiscusdoor 2026 claim of a chain on repeats";

/// Rank of a call chain among those that compete for retries, from 0 (first) to 1 (last), by the id of
/// its root request and its urgency.
///
/// All calls of a chain have the same rank at all nodes. When the budget is short, retries go to a
/// few chains, which then complete, and not to single calls of chains that fail anyway. A caller that
/// is refused and returns has a new id and thus another rank.
pub fn retry_rank(urgency: f64, root_id: &str) -> f64 {
    let mut hasher = blake3::Hasher::new_derive_key(HASH_PURPOSE);
    hasher.update(root_id.as_bytes());
    let hash = hasher.finalize();
    let random = f64::from(u16::from_le_bytes([hash.as_bytes()[0], hash.as_bytes()[1]]));
    URGENCY_WEIGHT * (1.0 - urgency) + (1.0 - URGENCY_WEIGHT) * random / f64::from(u16::MAX)
}
