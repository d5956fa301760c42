//! Search for a backend server with a free slot.
//!
//! When there are many entry daemons, each one sends few calls to a given backend server and knows its
//! load only from some time ago. Its choice is then little better than random: some backend servers
//! queue requests while others are idle. A request is therefore first offered to a few backend servers
//! in turn, each of which takes it only if it can start at once. If none can, the request waits at the
//! least loaded of them. While all are busy, these offers cost messages and find nothing, so they are
//! made for only a part of the requests.

use super::endpoint::LoadReport;

/// Most backend servers to which one request is offered before it waits.
const MAX_ATTEMPTS: u32 = 3;

/// Weight of the newest further attempt in the smoothed odds.
const SMOOTHING: f64 = 0.05;

/// Odds of finding a free slot below which most requests skip the search.
const LOW_ODDS: f64 = 0.15;

/// Share of the requests that search even at low odds, so that a change of the odds is noticed.
const SAMPLED_SHARE: f64 = 0.1;

/// Smoothed share of further attempts, those after a first one that found no free slot, that succeed.
#[derive(Debug, Clone, Copy)]
pub struct FreeSlotOdds {
    success_rate: f64,
}

impl Default for FreeSlotOdds {
    fn default() -> Self {
        Self { success_rate: 1.0 }
    }
}

impl FreeSlotOdds {
    /// Records whether a further attempt found a free slot.
    pub fn observe(&mut self, found: bool) {
        self.success_rate += SMOOTHING * (f64::from(u8::from(found)) - self.success_rate);
    }

    /// Number of the `candidates` to try for a free slot, 0 for no search; `random` is from 0 to 1.
    #[must_use]
    pub fn free_slot_attempts(&self, candidates: usize, random: f64) -> u32 {
        if candidates < 2 || (self.success_rate < LOW_ODDS && random >= SAMPLED_SHARE) {
            return 0;
        }
        MAX_ATTEMPTS
    }
}

/// Search of one request: the attempts that are left and the backend servers that were full.
#[derive(Debug)]
pub struct FreeSlotSearch<T> {
    attempts_left: u32,
    full: Vec<(T, f64)>,
}

impl<T> FreeSlotSearch<T> {
    /// Starts a search of at most `attempts` backend servers.
    #[must_use]
    pub fn new(attempts: u32) -> Self {
        Self { attempts_left: attempts, full: Vec::new() }
    }

    /// Whether the next backend server is to take the request only if it has a free slot.
    #[must_use]
    pub fn has_attempts_left(&self) -> bool {
        self.attempts_left > 0
    }

    /// Whether a backend server without a free slot was recorded.
    #[must_use]
    pub fn has_full_servers(&self) -> bool {
        !self.full.is_empty()
    }

    /// Records that a backend server has no free slot, with its load and its number of slots.
    pub fn record_full(&mut self, server: T, load: LoadReport, slots: u32) {
        self.attempts_left = self.attempts_left.saturating_sub(1);
        let requests = f64::from(load.running) + f64::from(load.queued);
        self.full.push((server, requests / f64::from(slots.max(1))));
    }

    /// Ends the search and returns the least loaded of the recorded backend servers.
    pub fn least_loaded(&mut self) -> Option<T> {
        self.attempts_left = 0;
        let full = std::mem::take(&mut self.full);
        full.into_iter().min_by(|a, b| a.1.total_cmp(&b.1)).map(|(server, _)| server)
    }
}
