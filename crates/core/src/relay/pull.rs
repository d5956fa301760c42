//! When a daemon pulls entries, and how many pulls of others it answers at once.

use std::time::Duration;

/// Pulls that a daemon answers at once.
pub const MAX_CONCURRENT_PULLS: usize = 4;
/// Time without news of a stream after which a daemon pulls.
pub const STALE_AFTER: Duration = Duration::from_secs(3);

/// A pull that has not ended after this time is no longer counted, in case its end is never
/// reported.
const PULL_TIMEOUT: Duration = Duration::from_secs(10);
const RETRY_BASE: Duration = Duration::from_millis(250);
const RETRY_CAP: Duration = Duration::from_secs(5);
/// Attempts that go to peers before the log is read; later attempts alternate between the two.
const PEERS_FIRST: u32 = 2;
const BACKOFF_BASE: Duration = Duration::from_millis(500);
/// With 960 stale daemons and every second attempt at the log, 10 s means about 100 reads a second.
const BACKOFF_CAP: Duration = Duration::from_secs(10);

/// Decision of a [`PullLimiter`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PullAdmission {
    /// Answer the pull and then call [`PullLimiter::end`] with this ticket.
    Granted {
        /// Identifies the pull.
        ticket: u64,
    },
    /// Tell the asker to come back after this time.
    RetryAfter(Duration),
}

/// Limits the pulls that are answered at once.
#[derive(Debug, Default)]
pub struct PullLimiter {
    running: Vec<(u64, Duration)>,
    next_ticket: u64,
    refused: u32,
}

impl PullLimiter {
    /// Decides whether to answer a pull that arrived.
    pub fn begin(&mut self, now: Duration, random: u64) -> PullAdmission {
        self.running.retain(|(_, ends)| *ends > now);
        if self.running.len() >= MAX_CONCURRENT_PULLS {
            self.refused = self.refused.saturating_add(1);
            return PullAdmission::RetryAfter(self.retry_after(random));
        }
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.running.push((ticket, now + PULL_TIMEOUT));
        PullAdmission::Granted { ticket }
    }

    /// Records that a granted pull ended, with or without success.
    pub fn end(&mut self, ticket: u64) {
        self.running.retain(|(running, _)| *running != ticket);
        self.refused = self.refused.saturating_sub(1);
    }

    /// Number of pulls being answered.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Spreads the refused askers over a time that grows with their number.
    fn retry_after(&self, random: u64) -> Duration {
        let waves = self.refused.div_ceil(MAX_CONCURRENT_PULLS as u32);
        let spread = RETRY_BASE.saturating_mul(waves).min(RETRY_CAP);
        RETRY_BASE + jitter(spread, random)
    }
}

/// Where to get missing entries from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PullSource {
    /// Pull from a random peer.
    Peer,
    /// Read the log.
    Log,
}

/// Detects that a daemon has received nothing about a stream for too long, and times its attempts.
#[derive(Debug)]
pub struct Staleness {
    heard: Duration,
    attempts: u32,
    next: Option<Duration>,
}

impl Staleness {
    /// Starts as if something had been heard at `now`.
    #[must_use]
    pub fn new(now: Duration) -> Self {
        Self { heard: now, attempts: 0, next: None }
    }

    /// Records that a batch, a heartbeat or an answer to a pull was received.
    pub fn heard(&mut self, now: Duration) {
        *self = Self::new(now);
    }

    /// Records that a peer refused a pull and when to try again.
    pub fn retry_after(&mut self, now: Duration, delay: Duration) {
        self.next = Some(now + delay);
    }

    /// Returns the source to pull from if an attempt is due at `now`.
    pub fn tick(&mut self, now: Duration, random: u64) -> Option<PullSource> {
        if now.saturating_sub(self.heard) < STALE_AFTER {
            return None;
        }
        let due = *self.next.get_or_insert_with(|| now + backoff(0, random));
        if now < due {
            return None;
        }
        let attempt = self.attempts;
        self.attempts = self.attempts.saturating_add(1);
        self.next = Some(now + backoff(self.attempts, random));
        let to_log = attempt >= PEERS_FIRST && (attempt - PEERS_FIRST).is_multiple_of(2);
        Some(if to_log { PullSource::Log } else { PullSource::Peer })
    }
}

/// Random delay between 0 and the exponential back-off (full jitter).
fn backoff(attempt: u32, random: u64) -> Duration {
    let longest = BACKOFF_BASE.saturating_mul(1 << attempt.min(16));
    jitter(longest.min(BACKOFF_CAP), random)
}

fn jitter(longest: Duration, random: u64) -> Duration {
    longest.mul_f64(random as f64 / u64::MAX as f64)
}
