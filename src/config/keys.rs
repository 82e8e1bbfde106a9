//! Keys of organisations, of the form `<id>.<secret>`; only their keyed hashes are stored.

use rand::{RngExt as _, distr::Alphanumeric};

use crate::settings::FleetSecret;

const HASH_PURPOSE: &str = "hibiscusdoor 2026 organisation key hash";
/// Length of a generated secret: 43 alphanumeric characters exceed 256 bits, since 62^43 > 2^256.
const SECRET_CHARS: usize = 43;

/// Hashes keys with a key derived from the fleet secret.
#[derive(Clone)]
pub struct KeyHasher {
    hash_key: [u8; 32],
}

impl KeyHasher {
    /// Creates the hasher of the fleet with this secret.
    pub fn new(secret: &FleetSecret) -> Self {
        Self { hash_key: secret.key_for(HASH_PURPOSE) }
    }

    /// Hashes the secret part of the key with the given id.
    pub fn hash(&self, id: &str, secret: &str) -> blake3::Hash {
        let mut hasher = blake3::Hasher::new_keyed(&self.hash_key);
        hasher.update(id.as_bytes());
        hasher.update(b".");
        hasher.update(secret.as_bytes());
        hasher.finalize()
    }
}

impl std::fmt::Debug for KeyHasher {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("KeyHasher(..)")
    }
}

/// A generated secret of a key, which is shown to the operator only once.
pub struct KeySecret(pub String);

impl KeySecret {
    /// Generates a random secret.
    pub fn generate() -> Self {
        let mut rng = rand::rng();
        Self((0..SECRET_CHARS).map(|_| char::from(rng.sample(Alphanumeric))).collect())
    }
}
