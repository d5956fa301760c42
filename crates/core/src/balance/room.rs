//! Search for a backend server with a free slot.
//!
//! With many entry daemons each one sends a backend server so little that it knows its load only from some
//! time ago, and its choice is little better than a random one: some backend servers have queues while others
//! are idle. So a few are asked in turn to take the request only if it can start at once; when none can, it
//! waits at the least loaded of them. When all are busy this costs messages and finds nothing, so that it is
//! then done for a part of the requests only.

use super::endpoint::LoadReport;

/// Backend servers that are asked for a free slot.
const MAX_LOOKS: u32 = 3;

/// Weight of a further look in the smoothed odds.
const SMOOTHING: f64 = 0.05;

/// Odds of a further look below which most requests do without.
const LOW_ODDS: f64 = 0.15;

/// Part of the requests that look all the same, so that a change of the odds is noticed.
const SAMPLED_PART: f64 = 0.1;

/// How often a further look finds a free slot after one that did not.
#[derive(Debug, Clone, Copy)]
pub struct FreeSlotOdds {
    found: f64,
}

impl Default for FreeSlotOdds {
    fn default() -> Self {
        Self { found: 1.0 }
    }
}

impl FreeSlotOdds {
    /// Records a further look.
    pub fn observe(&mut self, found: bool) {
        self.found += SMOOTHING * (f64::from(u8::from(found)) - self.found);
    }

    /// Backend servers to ask for a free slot among `candidates`; `random` is from 0 to 1.
    #[must_use]
    pub fn free_slot_attempts(&self, candidates: usize, random: f64) -> u32 {
        if candidates < 2 || (self.found < LOW_ODDS && random >= SAMPLED_PART) {
            return 0;
        }
        MAX_LOOKS
    }
}

/// Backend servers that were asked for a free slot by one request.
#[derive(Debug)]
pub struct FreeSlotSearch<T> {
    left: u32,
    full: Vec<(T, f64)>,
}

impl<T> FreeSlotSearch<T> {
    /// Starts a search of at most `looks` backend servers.
    #[must_use]
    pub fn new(looks: u32) -> Self {
        Self { left: looks, full: Vec::new() }
    }

    /// Whether the next backend server is asked for a free slot only.
    #[must_use]
    pub fn has_attempts_left(&self) -> bool {
        self.left > 0
    }

    /// Whether a backend server had no free slot before.
    #[must_use]
    pub fn has_full_servers(&self) -> bool {
        !self.full.is_empty()
    }

    /// Records that a backend server has no free slot.
    pub fn record_full(&mut self, server: T, load: LoadReport, slots: u32) {
        self.left = self.left.saturating_sub(1);
        let held = f64::from(load.running) + f64::from(load.queued);
        self.full.push((server, held / f64::from(slots.max(1))));
    }

    /// Ends the search; returns the least loaded backend server of those without a free slot.
    pub fn least_loaded(&mut self) -> Option<T> {
        self.left = 0;
        let full = std::mem::take(&mut self.full);
        full.into_iter().min_by(|a, b| a.1.total_cmp(&b.1)).map(|(server, _)| server)
    }
}
