//! Queue of updates to piggyback, token buckets that limit what is sent, and random numbers.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::id::DaemonId;

/// Priority of a queued statement; the highest value is sent first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Priority {
    /// Deaths, which come last because each daemon concludes them for itself.
    Death,
    /// Suspicions, new members and changes of state.
    Change,
    /// Refutations, which come first because a late one can let a live member be declared dead.
    Refutation,
}

/// Ids of the members whose statements are to be piggybacked: highest priority first, then newest
/// first, each a limited number of times.
#[derive(Debug, Default)]
pub(super) struct UpdateQueue {
    next_order: u64,
    /// Id and number of sends left, by priority and order of addition.
    by_order: BTreeMap<(Priority, u64), (DaemonId, u32)>,
    /// Key of each id in `by_order`.
    order_of: BTreeMap<DaemonId, (Priority, u64)>,
}

impl UpdateQueue {
    /// Puts the id first among those of its priority. For `n` members it is sent `3 * log2(n)`
    /// times, with the logarithm rounded up.
    pub(super) fn add(&mut self, id: &str, priority: Priority, n: usize) {
        self.remove(id);
        let sends = 3 * (usize::BITS - n.max(2).saturating_sub(1).leading_zeros());
        self.by_order.insert((priority, self.next_order), (id.to_owned(), sends));
        self.order_of.insert(id.to_owned(), (priority, self.next_order));
        self.next_order += 1;
    }

    /// Removes the id, if it is queued.
    pub(super) fn remove(&mut self, id: &str) {
        if let Some(order) = self.order_of.remove(id) {
            self.by_order.remove(&order);
        }
    }

    pub(super) fn len(&self) -> usize {
        self.by_order.len()
    }

    /// Returns the first `limit` ids and counts each as sent once; ids without sends left are
    /// removed.
    pub(super) fn take(&mut self, limit: usize) -> Vec<DaemonId> {
        let mut taken = Vec::with_capacity(limit.min(self.by_order.len()));
        for (id, sends_left) in self.by_order.values_mut().rev().take(limit) {
            *sends_left -= 1;
            taken.push(id.clone());
        }
        for id in &taken {
            let order = self.order_of[id];
            if self.by_order[&order].1 == 0 {
                self.remove(id);
            }
        }
        taken
    }
}

/// Token bucket that refills by `rate` units a second and holds at most `rate` units.
#[derive(Debug)]
pub(super) struct TokenBucket {
    rate: u32,
    available: f64,
    updated_at: Duration,
}

impl TokenBucket {
    pub(super) fn new(rate: u32) -> Self {
        Self { rate, available: f64::from(rate), updated_at: Duration::ZERO }
    }

    /// Refills the bucket up to `now` and returns the available units; negative while it is in
    /// debt.
    pub(super) fn available(&mut self, now: Duration) -> f64 {
        let passed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.updated_at = self.updated_at.max(now);
        let rate = f64::from(self.rate);
        self.available = (self.available + passed * rate).min(rate);
        self.available
    }

    /// Takes the units for up to `wanted` items of `size` units each, as many as leave `reserve`
    /// units in the bucket; returns the number of items.
    pub(super) fn take(&mut self, wanted: usize, size: u32, reserve: u32, now: Duration) -> usize {
        let free = self.available(now) - f64::from(reserve);
        let taken = wanted.min((free / f64::from(size)).max(0.0) as usize);
        self.available -= taken as f64 * f64::from(size);
        taken
    }

    /// Takes units even if too few are available. The debt is limited to what one second refills.
    pub(super) fn charge(&mut self, units: u32) {
        let rate = f64::from(self.rate);
        self.available = (self.available - f64::from(units)).max(-rate);
    }

    /// Takes one unit if it is available; returns whether it was.
    pub(super) fn take_one(&mut self, now: Duration) -> bool {
        self.take_all(1, now)
    }

    /// Takes `units` if all of them are available; returns whether they were.
    pub(super) fn take_all(&mut self, units: u32, now: Duration) -> bool {
        self.take(1, units, 0, now) == 1
    }
}

/// Pseudo-random number generator (SplitMix64); the inner number is the seed and then the state.
#[derive(Debug)]
pub(super) struct Rng(pub(super) u64);

impl Rng {
    /// Returns the next random number.
    pub(super) fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// Returns a random number below `n`, which must not be zero.
    pub(super) fn below(&mut self, n: usize) -> usize {
        (self.next() % n as u64) as usize
    }

    /// Moves `count` randomly chosen items to the front of `items`, in random order.
    pub(super) fn shuffle<T>(&mut self, items: &mut [T], count: usize) {
        for i in 0..count.min(items.len()) {
            let other = i + self.below(items.len() - i);
            items.swap(i, other);
        }
    }
}
