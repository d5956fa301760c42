//! Digest of the table of members.
//!
//! Departed members are left out, because daemons forget them at different times; a difference in
//! that alone would start exchanges that cannot end it.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

use super::member::Member;

/// Buckets of a digest; at 960 members each holds about 15.
pub const DIGEST_BUCKETS: usize = 64;

/// One hash per bucket of members, each the exclusive or of the hashes of the bucket's members.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    buckets: Vec<u64>,
}

impl Default for Digest {
    fn default() -> Self {
        Self {
            buckets: vec![0; DIGEST_BUCKETS],
        }
    }
}

impl Digest {
    /// Bucket of the member with this id.
    #[must_use]
    pub fn bucket_of(id: &str) -> usize {
        (xxh3_64(id.as_bytes()) % DIGEST_BUCKETS as u64) as usize
    }

    /// One hash over all buckets, for probes.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.buckets.iter().fold(0, |total, hash| total ^ hash)
    }

    /// Whether the bucket differs from that of `other`.
    #[must_use]
    pub fn differs_in(&self, other: &Self, bucket: usize) -> bool {
        self.buckets.get(bucket) != other.buckets.get(bucket)
    }

    /// Adds the member or, when it is already in, takes it out.
    pub(super) fn toggle(&mut self, member: &Member) {
        if !member.is_departed() {
            self.buckets[Self::bucket_of(&member.id)] ^= statement_hash(member);
        }
    }
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
