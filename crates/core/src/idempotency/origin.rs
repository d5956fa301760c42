//! Whose keys share the room of a table of outcomes.

use std::collections::VecDeque;
use std::net::IpAddr;
use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64;

/// Whose requests count together: a tenant's, or those from an address if no tenant is known.
///
/// It is a hash, which all daemons compute in the same way.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct Origin(u64);

impl Origin {
    /// Origin of all requests of which neither tenant nor address is known.
    pub const UNKNOWN: Self = Self(0);

    /// Origin of the requests of a tenant.
    #[must_use]
    pub fn of_tenant(name: &str) -> Self {
        Self(xxh3_64(format!("tenant {name}").as_bytes()))
    }

    /// Origin of the requests from an address; one client has a whole IPv6 network of 64 bits.
    #[must_use]
    pub fn of_address(addr: IpAddr) -> Self {
        match addr.to_canonical() {
            IpAddr::V4(addr) => Self(xxh3_64(format!("address {addr}").as_bytes())),
            IpAddr::V6(addr) => {
                let [a, b, c, d, ..] = addr.segments();
                Self(xxh3_64(format!("network {a:x}:{b:x}:{c:x}:{d:x}").as_bytes()))
            }
        }
    }
}

impl From<Origin> for u64 {
    fn from(origin: Origin) -> Self {
        origin.0
    }
}

impl From<u64> for Origin {
    fn from(hash: u64) -> Self {
        Self(hash)
    }
}

/// How many keys an origin may have for each one for which there is still room.
const KEYS_FOR_EACH_FREE: usize = 8;

/// Number of shares. Origins beyond that share them, so that many origins take no more memory.
const SHARES: usize = 4_096;

/// What the keys of an origin take up.
#[derive(Debug, Clone, Default)]
pub(super) struct Share {
    places: usize,
    answer_bytes: usize,
    /// Keys whose answers are kept, oldest first.
    answers: VecDeque<Arc<str>>,
}

impl Share {
    /// Counts a kept answer.
    pub fn keep(&mut self, key: Arc<str>, bytes: usize) {
        self.answers.push_back(key);
        self.answer_bytes += bytes;
    }

    /// Takes out the key whose answer was kept first.
    pub fn pop_oldest(&mut self) -> Option<Arc<str>> {
        self.answers.pop_front()
    }

    /// Counts an answer that is kept no more.
    pub fn forget(&mut self, key: &str, bytes: usize) {
        self.answer_bytes -= bytes;
        // Runs expire in the order in which they ended, so it can only be the first.
        if self.answers.front().is_some_and(|first| **first == *key) {
            self.answers.pop_front();
        }
    }
}

/// Shares of the origins in a table with a fixed number of places.
///
/// An origin gets another place while it has fewer than [`KEYS_FOR_EACH_FREE`] times as many as are free (a dynamic
/// threshold). So one origin may use most of the table, and what any number of them leaves is for those that have few.
#[derive(Debug, Default)]
pub(super) struct Shares(Vec<Share>);

impl Shares {
    /// Whether an origin may take another of so many free places.
    pub fn has_room(&self, origin: Origin, free: usize) -> bool {
        let used = self.0.get(origin.share()).map_or(0, |share| share.places);
        used < free.saturating_mul(KEYS_FOR_EACH_FREE)
    }

    /// Counts a place that an origin took.
    pub fn take(&mut self, origin: Origin) {
        self.of(origin).places += 1;
    }

    /// Counts a place that an origin has no more.
    pub fn give_back(&mut self, origin: Origin) {
        self.of(origin).places -= 1;
    }

    /// Share of an origin.
    pub fn of(&mut self, origin: Origin) -> &mut Share {
        if self.0.is_empty() {
            self.0.resize(SHARES, Share::default());
        }
        &mut self.0[origin.share()]
    }

    /// Share whose kept answers are the largest.
    pub fn largest(&mut self) -> Option<&mut Share> {
        self.0.iter_mut().max_by_key(|share| share.answer_bytes)
    }
}

impl Origin {
    fn share(self) -> usize {
        (self.0 % SHARES as u64) as usize
    }
}
