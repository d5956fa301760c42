//! Run times and waits per route, and detection of routes whose run times make them bulk work.

use std::collections::BTreeMap;
use std::time::Duration;

use super::shares::Share;

/// Weight of a new wait in the smoothed wait. It is higher than for run times, since waits change
/// faster.
const WAIT_SMOOTHING: f64 = 0.3;
/// Weight of a new run time in the smoothed run time.
const RUN_TIME_SMOOTHING: f64 = 0.1;
/// A route is bulk if its smoothed run time is over this multiple of the median of all
/// routes.
const BULK_FACTOR: f64 = 8.0;
/// Run times needed before a route takes part in the comparison, so that a single long run does not
/// decide.
const MIN_RUNS: u32 = 8;
/// Number of finished requests between two comparisons; the median over all routes is costly.
const COMPARISON_INTERVAL: u32 = 16;
/// Maximum number of routes in the table; the least recently used one is evicted.
const MAX_ROUTES: usize = 1_024;

/// Exponentially smoothed run time.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct SmoothedRunTime {
    secs: f64,
    runs: u32,
}

impl SmoothedRunTime {
    pub fn observe(&mut self, time: Duration) {
        let secs = time.as_secs_f64();
        self.secs =
            if self.runs == 0 { secs } else { self.secs + RUN_TIME_SMOOTHING * (secs - self.secs) };
        self.runs = self.runs.saturating_add(1);
    }

    /// Run time in seconds; 0 before the first observation.
    pub fn secs(self) -> f64 {
        self.secs
    }
}

/// Measurements of one route.
#[derive(Debug, Default)]
struct RouteStats {
    run_time: SmoothedRunTime,
    /// Smoothed wait of the requests that left the queue, in seconds.
    wait_secs: f64,
    bulk: bool,
    share: Share,
    last_used: Duration,
}

/// Measurements of all routes, by the index that [`intern`](Self::intern) returns for a route.
#[derive(Debug, Default)]
pub(super) struct RouteTable {
    /// A B-tree map, since a hash map would draw a random seed.
    by_name: BTreeMap<String, usize>,
    stats: Vec<RouteStats>,
    runs_since_comparison: u32,
    /// Buffer for the run times that are compared.
    scratch: Vec<f64>,
}

impl RouteTable {
    /// Returns the index of a route and marks it as used; allocates only for a new route.
    pub fn intern(&mut self, name: &str, now: Duration) -> usize {
        let index = match self.by_name.get(name) {
            Some(&index) => index,
            None => self.add_route(name),
        };
        self.stats[index].last_used = now;
        index
    }

    fn add_route(&mut self, name: &str) -> usize {
        let index = if self.stats.len() < MAX_ROUTES {
            self.stats.push(RouteStats::default());
            self.stats.len() - 1
        } else {
            self.evict_least_recently_used()
        };
        self.by_name.insert(name.to_owned(), index);
        index
    }

    /// Removes the least recently used route and returns its index for reuse.
    fn evict_least_recently_used(&mut self) -> usize {
        let oldest = self.stats.iter().enumerate().min_by_key(|(_, s)| s.last_used);
        let index = oldest.map_or(0, |(index, _)| index);
        self.by_name.retain(|_, other| *other != index);
        self.stats[index] = RouteStats::default();
        index
    }

    /// Smoothed run time of a route; none before its first run.
    pub fn run_time(&self, index: usize) -> Option<SmoothedRunTime> {
        Some(self.stats[index].run_time).filter(|run_time| run_time.runs > 0)
    }

    /// Records the wait of a request that left the queue.
    pub fn observe_wait(&mut self, index: usize, wait: Duration) {
        let secs = &mut self.stats[index].wait_secs;
        *secs += WAIT_SMOOTHING * (wait.as_secs_f64() - *secs);
    }

    /// Smoothed wait in seconds of the requests that recently left the queue.
    pub fn wait_secs(&self, index: usize) -> f64 {
        self.stats[index].wait_secs
    }

    pub fn share(&self, index: usize) -> &Share {
        &self.stats[index].share
    }

    pub fn share_mut(&mut self, index: usize) -> &mut Share {
        &mut self.stats[index].share
    }

    /// Whether the route counts as bulk because of its run times.
    pub fn is_bulk(&self, index: usize) -> bool {
        self.stats[index].bulk
    }

    /// Records the run time of a request that has ended.
    pub fn observe(&mut self, index: usize, time: Duration) {
        self.stats[index].run_time.observe(time);
        self.runs_since_comparison += 1;
        if self.runs_since_comparison >= COMPARISON_INTERVAL {
            self.runs_since_comparison = 0;
            self.update_bulk_routes();
        }
    }

    /// Marks the routes whose run times are far above the median as bulk.
    fn update_bulk_routes(&mut self) {
        let known = |s: &&RouteStats| s.run_time.runs >= MIN_RUNS;
        self.scratch.clear();
        self.scratch.extend(self.stats.iter().filter(known).map(|s| s.run_time.secs));
        if self.scratch.is_empty() {
            return;
        }
        // The lower median, so that of two routes the shorter one is the reference.
        let middle = (self.scratch.len() - 1) / 2;
        let (_, median, _) = self.scratch.select_nth_unstable_by(middle, f64::total_cmp);
        let limit = *median * BULK_FACTOR;
        for state in &mut self.stats {
            state.bulk = state.run_time.runs >= MIN_RUNS && state.run_time.secs > limit;
        }
    }
}
