//! Rendezvous hashing: every node computes the same ranking of rows for a key, and adding or
//! removing a row reassigns only the keys of that row.

use crate::membership::Row;

/// Returns the score of a row for a key; the row with the highest score owns the key.
pub fn score(row: &Row, key: &[u8]) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(row.instance.as_bytes());
    hasher.update(&row.incarnation.to_le_bytes());
    hasher.update(key);
    let hash = hasher.finalize();
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(bytes)
}

/// Returns the row that owns a key among `rows`.
pub fn owner<'a>(rows: impl IntoIterator<Item = &'a Row>, key: &[u8]) -> Option<&'a Row> {
    rows.into_iter().max_by_key(|row| score(row, key))
}

/// Returns `rows` by descending score for a key, the owner first.
pub fn ranked<'a>(rows: impl IntoIterator<Item = &'a Row>, key: &[u8]) -> Vec<&'a Row> {
    let mut ranked: Vec<&Row> = rows.into_iter().collect();
    ranked.sort_by_cached_key(|row| std::cmp::Reverse(score(row, key)));
    ranked
}
