//! Rendezvous hashing.
//!
//! All daemons rank the same candidates for a key in the same order without communicating, and the
//! loss of a candidate moves only the keys for which it ranked first.
//!
//! Key and candidate are hashed separately and their hashes are mixed, so that a ranking hashes the
//! key only once and candidate hashes can be cached. A streaming hash of both for each candidate took
//! most of the time of an owner lookup.

use xxhash_rust::xxh3::xxh3_64;

/// Hash of a candidate, the same for all keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CandidateHash(u64);

impl CandidateHash {
    /// Hash of `candidate`.
    #[must_use]
    pub fn new(candidate: &str) -> Self {
        Self(xxh3_64(candidate.as_bytes()))
    }
}

/// Computes the weights of candidates for one key.
#[derive(Debug, Clone, Copy)]
pub struct Ranking {
    key_hash: u64,
}

impl Ranking {
    /// Ranking for `key`.
    #[must_use]
    pub fn new(key: &[u8]) -> Self {
        let key_hash = xxh3_64(key);
        Self { key_hash }
    }

    /// Weight of a candidate; the highest weight ranks first.
    #[must_use]
    pub fn weight(self, candidate: CandidateHash) -> u64 {
        mix(self.key_hash ^ candidate.0)
    }

    fn weight_by_name(self, candidate: &str) -> u64 {
        self.weight(CandidateHash::new(candidate))
    }
}

/// Finalizer of MurmurHash3: every bit of the input changes each bit of the result with
/// probability one half.
fn mix(mut hash: u64) -> u64 {
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}

/// Candidates in rank order for `key`, highest weight first; ties are ordered by name.
#[must_use]
pub fn rank<'a>(key: &[u8], candidates: impl IntoIterator<Item = &'a str>) -> Vec<&'a str> {
    let ranking = Ranking::new(key);
    let mut ranked: Vec<(u64, &str)> =
        candidates.into_iter().map(|name| (ranking.weight_by_name(name), name)).collect();
    ranked.sort_unstable_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.cmp(b.1)));
    ranked.into_iter().map(|(_, name)| name).collect()
}

/// First candidate in rank order for `key`.
#[must_use]
pub fn first<'a>(key: &[u8], candidates: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    let ranking = Ranking::new(key);
    candidates
        .into_iter()
        .map(|name| (ranking.weight_by_name(name), name))
        .max_by(|a, b| a.0.cmp(&b.0).then_with(|| b.1.cmp(a.1)))
        .map(|(_, name)| name)
}
