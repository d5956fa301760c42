//! Digests that stand for API keys between daemons, so that the keys themselves are not passed on.

use sha2::{Digest, Sha256};

/// First bytes of the SHA-256 hash of an API key.
pub type KeyDigest = u64;

/// Digest of an API key.
#[must_use]
pub fn digest_key(key: &str) -> KeyDigest {
    let hash = Sha256::digest(key.as_bytes());
    let mut first = [0; size_of::<KeyDigest>()];
    first.copy_from_slice(&hash[..size_of::<KeyDigest>()]);
    KeyDigest::from_be_bytes(first)
}
