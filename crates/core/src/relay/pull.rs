//! When to pull, and how many pulls to answer.

use std::time::Duration;

/// Pulls that a daemon answers at once.
pub const MAX_CONCURRENT_PULLS: usize = 4;
/// Silence after which a daemon asks for news.
pub const STALE_AFTER: Duration = Duration::from_secs(3);

/// A pull that has not ended after this time no longer counts, so that a lost end frees its place.
const PULL_LIMIT: Duration = Duration::from_secs(10);
const RETRY_BASE: Duration = Duration::from_millis(250);
const RETRY_CAP: Duration = Duration::from_secs(5);
/// Attempts that go to peers before the log is asked; after that they alternate.
const PEERS_FIRST: u32 = 2;
const BACKOFF_BASE: Duration = Duration::from_millis(500);
/// With 960 stale daemons and every second attempt at the log, 10 s means about 100 reads a second.
const BACKOFF_CAP: Duration = Duration::from_secs(10);

/// Answer of a [`PullLimiter`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PullAdmission {
    /// Answer the pull and then call [`PullLimiter::end`] with this ticket.
    Granted {
        /// Names the pull.
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
    /// Decides about a pull that arrived.
    pub fn begin(&mut self, now: Duration, random: u64) -> PullAdmission {
        self.running.retain(|(_, ends)| *ends > now);
        if self.running.len() >= MAX_CONCURRENT_PULLS {
            self.refused = self.refused.saturating_add(1);
            return PullAdmission::RetryAfter(self.retry_after(random));
        }
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.running.push((ticket, now + PULL_LIMIT));
        PullAdmission::Granted { ticket }
    }

    /// A granted pull ended, however it ended.
    pub fn end(&mut self, ticket: u64) {
        self.running.retain(|(running, _)| *running != ticket);
        self.refused = self.refused.saturating_sub(1);
    }

    /// Pulls under way.
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

/// Whom to ask for news.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PullSource {
    /// Pull from a random peer.
    Peer,
    /// Read the log.
    Log,
}

/// Notices that a daemon has heard nothing about a stream for too long.
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

    /// A batch, a heartbeat or an answer to a pull was received.
    pub fn heard(&mut self, now: Duration) {
        *self = Self::new(now);
    }

    /// A peer refused a pull and said when to come back.
    pub fn retry_after(&mut self, now: Duration, delay: Duration) {
        self.next = Some(now + delay);
    }

    /// Lets time pass; returns whom to ask now, if anybody.
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

/// Full jitter: anything from nothing to the exponential delay.
fn backoff(attempt: u32, random: u64) -> Duration {
    let longest = BACKOFF_BASE.saturating_mul(1 << attempt.min(16));
    jitter(longest.min(BACKOFF_CAP), random)
}

fn jitter(longest: Duration, random: u64) -> Duration {
    longest.mul_f64(random as f64 / u64::MAX as f64)
}
