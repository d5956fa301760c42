//! Digest and Bloom filter of a daemon's member table.
//!
//! The digest, one number, tells whether two tables differ. A [`Filter`] tells another daemon which
//! statements a table already holds. Hashes over groups of members would be smaller, but when many
//! daemons join at once nearly all groups differ, and most of what is then sent is known already.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use super::member::{Member, Members};

/// Bits for each statement; with three probes about 3 % of the missing statements pass for known.
const BITS_PER_STATEMENT: usize = 8;
const HASHES_PER_STATEMENT: u64 = 3;
/// Largest filter; beyond 2,048 statements more of the missing ones pass for known.
const MAX_WORDS: usize = 256;

/// Bloom filter of the statements in a table. A missing statement that passes for known does so for
/// one salt only, so a later exchange transfers it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Filter {
    salt: u64,
    words: Vec<u64>,
}

impl Filter {
    /// Filter of all statements in the table.
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

    /// Whether the table probably holds this very statement.
    #[must_use]
    pub fn contains(&self, member: &Member) -> bool {
        let mut bits = bit_positions(member, self.salt, self.words.len());
        !self.words.is_empty() && bits.all(|bit| self.words[bit / 64] & (1 << (bit % 64)) != 0)
    }

    /// Words of 64 bits in the filter.
    #[must_use]
    pub fn words(&self) -> usize {
        self.words.len()
    }

    /// Words of the filter of a table with `len` statements.
    pub(super) fn words_for(len: usize) -> usize {
        (len * BITS_PER_STATEMENT).div_ceil(64).clamp(1, MAX_WORDS)
    }
}

/// Bits of a statement in a filter of `words` words.
fn bit_positions(member: &Member, salt: u64, words: usize) -> impl Iterator<Item = usize> {
    let bits = (words * 64).max(1) as u64;
    let hash = (statement_hash(member) ^ salt).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let first = hash ^ (hash >> 32);
    let stride = hash.rotate_left(21) | 1;
    (0..HASHES_PER_STATEMENT)
        .map(move |i| (first.wrapping_add(stride.wrapping_mul(i)) % bits) as usize)
}

/// Part of a member in the digest of its table. Departed members have none, because daemons forget
/// them at different times; a difference in that alone would start exchanges that cannot end it.
pub(super) fn member_digest(member: &Member) -> u64 {
    if member.is_departed() { 0 } else { statement_hash(member) }
}

/// Service, slots and address change only together with the sequence number.
fn statement_hash(member: &Member) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(member.id.as_bytes());
    hasher.update(&member.incarnation.to_le_bytes());
    hasher.update(&member.sequence.to_le_bytes());
    hasher.update(&[member.state as u8]);
    hasher.digest()
}
