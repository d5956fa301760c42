//! Digest and Bloom filter of a daemon's member table.
//!
//! The digest is a single number that shows whether two tables differ. A [`Filter`] tells another
//! daemon which statements a table already holds. One hash for each group of members would take
//! less space, but when many daemons join at once, nearly all groups differ, and most of the
//! statements that are then sent are already known to the receiver.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use super::member::{Member, Members};

/// With three hashes for each statement, this gives a false-positive rate of about 3 %.
const BITS_PER_STATEMENT: usize = 8;
const HASHES_PER_STATEMENT: u64 = 3;
/// Largest filter, in words of 64 bits. Above 2,048 statements the false-positive rate rises.
const MAX_WORDS: usize = 256;

/// Bloom filter of the statements in a member table. Each filter has its own salt, so a statement
/// that one exchange omits because of a false positive is sent in a later one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Filter {
    salt: u64,
    words: Vec<u64>,
}

impl Filter {
    /// Builds the filter of all statements in `members`.
    #[must_use]
    pub fn of(members: &Members, salt: u64) -> Self {
        let mut words = vec![0; Self::words_for(members.len())];
        for member in members.iter() {
            for bit in bit_positions(member, salt, words.len()) {
                words[bit / 64] |= 1 << (bit % 64);
            }
        }
        Self { salt, words }
    }

    /// Whether the table probably holds exactly this statement; there are false positives but no
    /// false negatives.
    #[must_use]
    pub fn contains(&self, member: &Member) -> bool {
        let mut bits = bit_positions(member, self.salt, self.words.len());
        !self.words.is_empty() && bits.all(|bit| self.words[bit / 64] & (1 << (bit % 64)) != 0)
    }

    /// Number of 64-bit words in the filter.
    #[must_use]
    pub fn words(&self) -> usize {
        self.words.len()
    }

    /// Number of 64-bit words in the filter of a table with `len` statements.
    pub(super) fn words_for(len: usize) -> usize {
        (len * BITS_PER_STATEMENT).div_ceil(64).clamp(1, MAX_WORDS)
    }
}

/// Positions of the bits that represent a statement in a filter of `words` words, by double
/// hashing.
fn bit_positions(member: &Member, salt: u64, words: usize) -> impl Iterator<Item = usize> {
    let bits = (words * 64).max(1) as u64;
    let hash = (statement_hash(member) ^ salt).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let first = hash ^ (hash >> 32);
    let stride = hash.rotate_left(21) | 1;
    (0..HASHES_PER_STATEMENT)
        .map(move |i| (first.wrapping_add(stride.wrapping_mul(i)) % bits) as usize)
}

/// Hash that a member contributes to the digest of its table. It is 0 for departed members, because
/// daemons forget them at different times: tables that differ only in these would have different
/// digests, and exchanges of statements could not make them equal.
pub(super) fn member_digest(member: &Member) -> u64 {
    if member.is_departed() { 0 } else { statement_hash(member) }
}

/// Hash that identifies a statement. It omits service, slots and address, because these change only
/// together with the sequence number.
fn statement_hash(member: &Member) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(member.id.as_bytes());
    hasher.update(&member.incarnation.to_le_bytes());
    hasher.update(&member.sequence.to_le_bytes());
    hasher.update(&[member.state as u8]);
    hasher.digest()
}
