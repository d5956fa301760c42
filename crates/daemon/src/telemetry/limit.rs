//! Rate limit for log lines about single requests.
//!
//! Each kind of line has a limit of its own, so that many answered requests do not displace the lines about
//! a few failures. A line says how many lines of its kind were suppressed before it.

use std::sync::Mutex;
use std::time::Duration;

use crate::sync::lock;

/// Kind of a log line about a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogLineKind {
    /// A request failed, or may have run without an answer.
    Failed,
    /// A request was refused without running.
    Refused,
    /// An attempt at a backend server failed.
    Attempt,
    /// The daemon beside the backend server refused or lost a request, or the condition of the backend server changed.
    Hosted,
    /// An attempt found no free slot at a backend server.
    Full,
    /// A request was answered.
    Answered,
    /// A backend server answered a request.
    Ran,
    /// A response did not reach its caller.
    Undelivered,
    /// A tenant starts to be limited by its quota, or the part that a daemon grants has changed.
    Limited,
    /// A limit on callers acted.
    CallerLimit,
}

/// Number of variants of [`LogLineKind`].
const KIND_COUNT: usize = LogLineKind::CallerLimit as usize + 1;

/// Lines per second of each kind, in the order of [`LogLineKind`].
const LINES_PER_SECOND: [u32; KIND_COUNT] = [20, 20, 20, 20, 2, 2, 2, 20, 2, 2];

/// Capacity of a token bucket, in seconds at its rate.
const BURST_SECS: f64 = 2.0;

/// Token bucket of one kind of line.
#[derive(Debug, Clone, Copy)]
struct Bucket {
    tokens: f64,
    updated: Duration,
    /// Lines suppressed since the last one that was written.
    suppressed: u64,
}

/// Rate limiter for all kinds of log lines.
#[derive(Debug)]
pub struct LogRateLimiter {
    buckets: Mutex<[Bucket; KIND_COUNT]>,
}

impl Default for LogRateLimiter {
    fn default() -> Self {
        let bucket = |per_second: u32| Bucket {
            tokens: f64::from(per_second) * BURST_SECS,
            updated: Duration::ZERO,
            suppressed: 0,
        };
        Self { buckets: Mutex::new(LINES_PER_SECOND.map(bucket)) }
    }
}

impl LogRateLimiter {
    /// Takes a token for a line; returns how many lines of its kind were suppressed before it, or `None` if
    /// this line is to be suppressed too.
    pub fn take(&self, kind: LogLineKind, now: Duration) -> Option<u64> {
        let mut buckets = lock(&self.buckets);
        let bucket = &mut buckets[kind as usize];
        let rate = f64::from(LINES_PER_SECOND[kind as usize]);
        let gained = now.saturating_sub(bucket.updated).as_secs_f64() * rate;
        bucket.tokens = (bucket.tokens + gained).min(rate * BURST_SECS);
        bucket.updated = now;
        if bucket.tokens < 1.0 {
            bucket.suppressed += 1;
            return None;
        }
        bucket.tokens -= 1.0;
        Some(std::mem::take(&mut bucket.suppressed))
    }
}
