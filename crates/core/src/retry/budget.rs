//! Token bucket for retries and hedges.

use std::time::Duration;

/// Tokens are counted in integer parts. A refill of one part per microsecond is one token per second,
/// so no fraction is lost.
const PARTS_PER_TOKEN: u64 = 1_000_000;
const DEFAULT_SHARE: f64 = 0.1;
const DEFAULT_BURST: u32 = 10;

/// Time without a retry after which hedges may use the budget, since failures come in series.
const HEDGE_PAUSE: Duration = Duration::from_secs(2);

/// Limits the retries and hedges that one daemon sends.
///
/// Every request adds a share of a token and every second adds one token, up to the burst; a second
/// attempt takes one token. Thus retries <= burst + share * requests + seconds.
///
/// A retry saves a request, a hedge only makes it faster. So a hedge takes a token only while the
/// budget is full and no retry needed one for a while.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    parts: u64,
    capacity: u64,
    parts_per_request: u64,
    /// Whether time alone adds tokens.
    refills: bool,
    refilled_at: Duration,
    /// When a token for a retry was asked for the last time.
    retry_asked_at: Option<Duration>,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new(DEFAULT_SHARE, DEFAULT_BURST)
    }
}

impl RetryBudget {
    /// A full budget: each request adds `share` (0 to 1) of a token; the burst is at least 1 token.
    #[must_use]
    pub fn new(share: f64, burst: u32) -> Self {
        let capacity = u64::from(burst.max(1)) * PARTS_PER_TOKEN;
        Self {
            parts: capacity,
            capacity,
            parts_per_request: (share.clamp(0.0, 1.0) * PARTS_PER_TOKEN as f64) as u64,
            refills: true,
            refilled_at: Duration::ZERO,
            retry_asked_at: None,
        }
    }

    /// One daemon's part of a budget for the whole mesh: each request adds `share` of a token, and the
    /// burst is `mesh_burst` divided by the number of members.
    ///
    /// It starts empty and time adds no tokens; otherwise daemons that start or are idle would raise
    /// what the mesh as a whole may spend.
    #[must_use]
    pub fn part_of_mesh(share: f64, mesh_burst: u32, members: usize) -> Self {
        let mut budget = Self { refills: false, parts: 0, ..Self::new(share, 1) };
        budget.set_members(mesh_burst, members);
        budget
    }

    /// Divides the burst of the mesh again after the number of members has changed.
    pub fn set_members(&mut self, mesh_burst: u32, members: usize) {
        let part = u64::from(mesh_burst) * PARTS_PER_TOKEN / members.max(1) as u64;
        // A capacity below one token would never allow a second attempt.
        self.capacity = part.max(PARTS_PER_TOKEN);
        self.parts = self.parts.min(self.capacity);
    }

    /// Adds the share of a token for a request; not called for second attempts.
    pub fn on_request(&mut self, now: Duration) {
        self.refill(now);
        self.add(self.parts_per_request);
    }

    /// Takes a token for a retry; returns false if there is none.
    #[must_use]
    pub fn try_take(&mut self, now: Duration) -> bool {
        self.retry_asked_at = Some(now);
        self.take(now)
    }

    /// Takes a token for a hedge; returns false if retries may need it.
    #[must_use]
    pub fn try_take_for_hedge(&mut self, now: Duration) -> bool {
        let retries_recently =
            self.retry_asked_at.is_some_and(|at| now.saturating_sub(at) < HEDGE_PAUSE);
        self.refill(now);
        self.parts == self.capacity && !retries_recently && self.take(now)
    }

    /// Whether a token for a retry is left.
    #[must_use]
    pub fn has_token(&mut self, now: Duration) -> bool {
        self.refill(now);
        self.available() > 0
    }

    fn take(&mut self, now: Duration) -> bool {
        self.refill(now);
        match self.parts.checked_sub(PARTS_PER_TOKEN) {
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
        (self.parts / PARTS_PER_TOKEN) as u32
    }

    fn refill(&mut self, now: Duration) {
        if !self.refills {
            return;
        }
        let micros = now.saturating_sub(self.refilled_at).as_micros();
        self.add(u64::try_from(micros).unwrap_or(u64::MAX));
        // Advances by whole microseconds only, so that frequent calls do not lose fractions.
        if micros > 0 {
            self.refilled_at += Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX));
        }
    }

    fn add(&mut self, parts: u64) {
        self.parts = self.parts.saturating_add(parts).min(self.capacity);
    }
}
