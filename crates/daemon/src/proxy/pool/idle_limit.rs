//! How long a connection may be idle before it is used again.
//!
//! A server closes idle connections. It may do so sooner than it announces, or drop them without closing
//! them; the next request on such a connection is lost. The limit is learnt from the first losses: for some
//! time after one, connections that were idle for longer are closed instead of used.

use std::time::Duration;

/// Limit if the server does not announce how long it keeps connections.
const DEFAULT_LIMIT: Duration = Duration::from_secs(15);

/// Part of the announced time that is used, since the request must arrive before the server closes the connection.
const ANNOUNCED_PART: f64 = 0.8;

/// After a loss, the limit is this part of the idle time of the lost connection, or of the limit before if that
/// was lower.
const LEARNT_PART: f64 = 0.5;

/// Shortest limit that is learnt; losses after a shorter idle time are ignored, since connections break for other
/// reasons too.
const LEARNT_MIN: Duration = Duration::from_millis(100);

/// Time for which a learnt limit applies.
const LEARNT_LIFETIME: Duration = Duration::from_secs(10);

/// Longest idle time of the connections to one server.
#[derive(Debug)]
pub struct IdleLimit {
    announced: Duration,
    learnt: Option<LearntLimit>,
}

/// Limit learnt from a loss, and the time at which it expires.
#[derive(Debug, Clone, Copy)]
struct LearntLimit {
    limit: Duration,
    until: Duration,
}

impl Default for IdleLimit {
    fn default() -> Self {
        Self { announced: DEFAULT_LIMIT, learnt: None }
    }
}

impl IdleLimit {
    /// Sets the time for which the server says that it keeps idle connections.
    pub fn announce(&mut self, timeout: Duration) {
        self.announced = timeout.mul_f64(ANNOUNCED_PART);
    }

    /// Records that a request was lost on a connection that had been idle for `idle_time`.
    pub fn record_loss(&mut self, idle_time: Duration, now: Duration) {
        if idle_time < LEARNT_MIN {
            return;
        }
        let limit = idle_time.min(self.at(now)).mul_f64(LEARNT_PART).max(LEARNT_MIN);
        self.learnt = Some(LearntLimit { limit, until: now + LEARNT_LIFETIME });
    }

    /// Limit at the time `now`.
    #[must_use]
    pub fn at(&self, now: Duration) -> Duration {
        match self.learnt {
            Some(learnt) if now < learnt.until => learnt.limit.min(self.announced),
            _ => self.announced,
        }
    }
}
