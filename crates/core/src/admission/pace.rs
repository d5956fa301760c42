//! Pace of requests to a backend server that limits their rate.

use std::time::Duration;

use crate::condition::RateLimit;

/// Requests of this time at the limit may start at once, since requests arrive in clumps; one may always.
const BURST_TIME: Duration = Duration::from_millis(250);

/// Longest time between two requests. Only a response tells that a limit has ended, also a limit of 0.
const MAX_INTERVAL: Duration = Duration::from_secs(2);

/// Shortest time between two requests, above zero so that requests can be counted in intervals.
const MIN_INTERVAL: Duration = Duration::from_nanos(1);

/// Decides when the next request may start under a rate limit.
///
/// This is the generic cell rate algorithm: each start moves `due` on by one interval, and a request
/// may start when `due` is at most the tolerance ahead. In a time `t`, at most
/// `(t + BURST_TIME) / interval + 1` requests start.
#[derive(Debug)]
pub(super) struct Pace {
    interval: Duration,
    /// When the next request would start if all were spread evenly.
    due: Duration,
}

impl Pace {
    /// Pace of a limit that is in force from now on.
    pub fn new(limit: RateLimit, now: Duration) -> Self {
        Self { interval: interval(limit), due: now }
    }

    /// Changes the limit; requests that started early are still to be made up for, at the new interval, but
    /// at most as many as may start early under the new limit.
    pub fn set_limit(&mut self, limit: RateLimit, now: Duration) {
        let interval = interval(limit);
        let ahead = self.due.saturating_sub(now).div_duration_f64(self.interval);
        self.due = now + interval.mul_f64(ahead).min(BURST_TIME.max(interval));
        self.interval = interval;
    }

    /// Records that a request starts.
    pub fn start(&mut self, now: Duration) {
        self.due = self.due.max(now) + self.interval;
    }

    /// Time from which the next request may start.
    pub fn next_start(&self) -> Duration {
        self.due.saturating_sub(BURST_TIME.saturating_sub(self.interval))
    }

    pub fn may_start(&self, now: Duration) -> bool {
        self.next_start() <= now
    }

    /// Time until a request may start that has `ahead` others before it.
    pub fn wait(&self, ahead: usize, now: Duration) -> Duration {
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
        let start = self.next_start().saturating_add(self.interval.saturating_mul(ahead));
        start.saturating_sub(now)
    }
}

fn interval(limit: RateLimit) -> Duration {
    limit.interval().map_or(MAX_INTERVAL, |interval| interval.clamp(MIN_INTERVAL, MAX_INTERVAL))
}
