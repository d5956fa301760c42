//! Rendezvous hashing.
//!
//! Every daemon ranks the same candidates for the same key in the same order without talking to
//! anybody, and the loss of one candidate moves only the keys that it was first for.

use xxhash_rust::xxh3::Xxh3;

/// Weight of `candidate` for `key`; the highest weight ranks first.
#[must_use]
pub fn weight(key: &[u8], candidate: &str) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(&(key.len() as u64).to_le_bytes());
    hasher.update(key);
    hasher.update(candidate.as_bytes());
    hasher.digest()
}

/// Candidates in rank order for `key`, first one first; ties are ordered by name.
#[must_use]
pub fn rank<'a>(key: &[u8], candidates: impl IntoIterator<Item = &'a str>) -> Vec<&'a str> {
    let mut ranked: Vec<(u64, &str)> = candidates
        .into_iter()
        .map(|name| (weight(key, name), name))
        .collect();
    ranked.sort_unstable_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.cmp(b.1)));
    ranked.into_iter().map(|(_, name)| name).collect()
}

/// First candidate in rank order for `key`.
#[must_use]
pub fn first<'a>(key: &[u8], candidates: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    candidates
        .into_iter()
        .map(|name| (weight(key, name), name))
        .max_by(|a, b| a.0.cmp(&b.0).then_with(|| b.1.cmp(a.1)))
        .map(|(_, name)| name)
}
