//! Run times per route, and the routes that are bulk in effect.

use std::collections::BTreeMap;
use std::time::Duration;

/// Weight of a new wait in the smoothed one; waits change faster than run times.
const WAIT_SMOOTHING: f64 = 0.3;
/// Weight of a new run time in the smoothed one.
const SMOOTHING: f64 = 0.1;
/// A route is bulk when its smoothed run time is over this multiple of the median.
const BULK_FACTOR: f64 = 8.0;
/// Run times that a route needs before it is compared, so that one long run does not decide.
const MIN_RUNS: u32 = 8;
/// Finished requests between two comparisons; the median over all routes is costly.
const COMPARE_EVERY: u32 = 16;
/// Most routes that are known; the one that was unused for the longest time makes room.
const MAX_ROUTES: usize = 1_024;

/// Exponentially smoothed run time in seconds.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct RunTime {
    secs: f64,
    runs: u32,
}

impl RunTime {
    pub fn observe(&mut self, time: Duration) {
        let secs = time.as_secs_f64();
        self.secs = if self.runs == 0 { secs } else { self.secs + SMOOTHING * (secs - self.secs) };
        self.runs = self.runs.saturating_add(1);
    }

    /// Seconds; 0 while nothing is known.
    pub fn secs(self) -> f64 {
        self.secs
    }
}

#[derive(Debug, Default)]
struct RouteState {
    run_time: RunTime,
    /// Smoothed wait of the requests that left the queue, in seconds.
    wait_secs: f64,
    bulk: bool,
    last_used: Duration,
}

/// Routes by interned index.
#[derive(Debug, Default)]
pub(super) struct Routes {
    /// Ordered, since a hash map would draw a random seed.
    by_name: BTreeMap<String, usize>,
    states: Vec<RouteState>,
    since_compared: u32,
    scratch: Vec<f64>,
}

impl Routes {
    /// Index of a route; allocates only at first sight.
    pub fn intern(&mut self, name: &str, now: Duration) -> usize {
        let index = match self.by_name.get(name) {
            Some(&index) => index,
            None => self.add(name),
        };
        self.states[index].last_used = now;
        index
    }

    fn add(&mut self, name: &str) -> usize {
        let index = if self.states.len() < MAX_ROUTES {
            self.states.push(RouteState::default());
            self.states.len() - 1
        } else {
            self.make_room()
        };
        self.by_name.insert(name.to_owned(), index);
        index
    }

    fn make_room(&mut self) -> usize {
        let oldest = self.states.iter().enumerate().min_by_key(|(_, s)| s.last_used);
        let index = oldest.map_or(0, |(index, _)| index);
        self.by_name.retain(|_, other| *other != index);
        self.states[index] = RouteState::default();
        index
    }

    /// Smoothed run time of a route; none before its first run.
    pub fn run_time(&self, index: usize) -> Option<RunTime> {
        Some(self.states[index].run_time).filter(|run_time| run_time.runs > 0)
    }

    /// Records the wait of a request that left the queue.
    pub fn observe_wait(&mut self, index: usize, wait: Duration) {
        let secs = &mut self.states[index].wait_secs;
        *secs += WAIT_SMOOTHING * (wait.as_secs_f64() - *secs);
    }

    /// Smoothed wait of the requests that left the queue a short time ago.
    pub fn wait_secs(&self, index: usize) -> f64 {
        self.states[index].wait_secs
    }

    /// Whether the route is bulk by its run times.
    pub fn is_bulk(&self, index: usize) -> bool {
        self.states[index].bulk
    }

    pub fn observe(&mut self, index: usize, time: Duration) {
        self.states[index].run_time.observe(time);
        self.since_compared += 1;
        if self.since_compared >= COMPARE_EVERY {
            self.since_compared = 0;
            self.compare();
        }
    }

    fn compare(&mut self) {
        let known = |s: &&RouteState| s.run_time.runs >= MIN_RUNS;
        self.scratch.clear();
        self.scratch.extend(self.states.iter().filter(known).map(|s| s.run_time.secs));
        if self.scratch.is_empty() {
            return;
        }
        // The lower median, so that of two routes the shorter one is the standard.
        let middle = (self.scratch.len() - 1) / 2;
        let (_, median, _) = self.scratch.select_nth_unstable_by(middle, f64::total_cmp);
        let limit = *median * BULK_FACTOR;
        for state in &mut self.states {
            state.bulk = state.run_time.runs >= MIN_RUNS && state.run_time.secs > limit;
        }
    }
}
