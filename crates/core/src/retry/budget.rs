//! Token bucket for second attempts.

use std::time::Duration;

/// Parts of a token. One part a microsecond gives one token a second, so counts stay exact.
const TOKEN: u64 = 1_000_000;
const DEFAULT_SHARE: f64 = 0.1;
const DEFAULT_BURST: u32 = 10;

/// Limits retries and hedges of a route at a daemon.
///
/// Every request adds a share of a token and every second adds one, up to the burst; a second
/// attempt takes one. Thus retries <= burst + share * requests + seconds.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    parts: u64,
    capacity: u64,
    per_request: u64,
    /// Whether time alone adds tokens.
    refills: bool,
    updated: Duration,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new(DEFAULT_SHARE, DEFAULT_BURST)
    }
}

impl RetryBudget {
    /// A full budget: `share` (0 to 1) of the requests, and a burst of at least 1.
    #[must_use]
    pub fn new(share: f64, burst: u32) -> Self {
        let capacity = u64::from(burst.max(1)) * TOKEN;
        Self {
            parts: capacity,
            capacity,
            per_request: (share.clamp(0.0, 1.0) * TOKEN as f64) as u64,
            refills: true,
            updated: Duration::ZERO,
        }
    }

    /// Part of a budget that all daemons of a mesh share: `share` of the requests, and a burst that is
    /// this daemon's part of `burst_of_mesh`.
    ///
    /// It starts empty and time adds nothing, so that daemons that start or stand still do not add to
    /// what the mesh may spend.
    #[must_use]
    pub fn part_of_mesh(share: f64, burst_of_mesh: u32, members: usize) -> Self {
        let mut budget = Self { refills: false, parts: 0, ..Self::new(share, 1) };
        budget.set_members(burst_of_mesh, members);
        budget
    }

    /// Adapts the part of a daemon to the number of members.
    pub fn set_members(&mut self, burst_of_mesh: u32, members: usize) {
        let part = u64::from(burst_of_mesh) * TOKEN / members.max(1) as u64;
        // With less than a whole token nothing could ever be spent.
        self.capacity = part.max(TOKEN);
        self.parts = self.parts.min(self.capacity);
    }

    /// Counts a request, but not a second attempt of one.
    pub fn on_request(&mut self, now: Duration) {
        self.refill(now);
        self.add(self.per_request);
    }

    /// Takes a token for a retry or hedge; false when there is none.
    #[must_use]
    pub fn try_take(&mut self, now: Duration) -> bool {
        self.refill(now);
        match self.parts.checked_sub(TOKEN) {
            Some(left) => {
                self.parts = left;
                true
            }
            None => false,
        }
    }

    /// Whole tokens left.
    #[must_use]
    pub fn available(&self) -> u32 {
        (self.parts / TOKEN) as u32
    }

    fn refill(&mut self, now: Duration) {
        if !self.refills {
            return;
        }
        let micros = now.saturating_sub(self.updated).as_micros();
        self.add(u64::try_from(micros).unwrap_or(u64::MAX));
        // Whole microseconds only, so that frequent calls do not lose fractions.
        if micros > 0 {
            self.updated += Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX));
        }
    }

    fn add(&mut self, parts: u64) {
        self.parts = self.parts.saturating_add(parts).min(self.capacity);
    }
}
