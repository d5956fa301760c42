//! Bound on the lines about single requests.
//!
//! Each kind of line has a rate of its own, so that many answers do not displace the lines about a few
//! failures. A line tells how many of its kind were left out before it.

use std::sync::Mutex;
use std::time::Duration;

use crate::sync::lock;

/// Kind of a line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogLineKind {
    /// A request failed, or may have run without an answer.
    Failed,
    /// A request was refused without running.
    Refused,
    /// An attempt at a backend server failed.
    Attempt,
    /// A backend server's own daemon refused or lost a request.
    Hosted,
    /// A request looked for a free slot where there was none.
    Full,
    /// A request was answered.
    Answered,
    /// A backend server answered a request.
    Ran,
}

/// Number of kinds.
const KINDS: usize = 7;

/// Lines of a kind in a second, in the order of [`LogLineKind`].
const PER_SECOND: [u32; KINDS] = [20, 20, 20, 20, 2, 2, 2];

/// Seconds' worth of lines that may be written at once.
const BURST_SECS: f64 = 2.0;

#[derive(Debug, Clone, Copy)]
struct Bucket {
    tokens: f64,
    updated: Duration,
    left_out: u64,
}

/// Bounds on all kinds of lines.
#[derive(Debug)]
pub struct LogRateLimiter {
    buckets: Mutex<[Bucket; KINDS]>,
}

impl Default for LogRateLimiter {
    fn default() -> Self {
        let bucket = |per_second: u32| Bucket {
            tokens: f64::from(per_second) * BURST_SECS,
            updated: Duration::ZERO,
            left_out: 0,
        };
        Self { buckets: Mutex::new(PER_SECOND.map(bucket)) }
    }
}

impl LogRateLimiter {
    /// Takes a line; returns how many of its kind were left out before it, or none when it is to be
    /// left out too.
    pub fn take(&self, kind: LogLineKind, now: Duration) -> Option<u64> {
        let mut buckets = lock(&self.buckets);
        let bucket = &mut buckets[kind as usize];
        let rate = f64::from(PER_SECOND[kind as usize]);
        let gained = now.saturating_sub(bucket.updated).as_secs_f64() * rate;
        bucket.tokens = (bucket.tokens + gained).min(rate * BURST_SECS);
        bucket.updated = now;
        if bucket.tokens < 1.0 {
            bucket.left_out += 1;
            return None;
        }
        bucket.tokens -= 1.0;
        Some(std::mem::take(&mut bucket.left_out))
    }
}
