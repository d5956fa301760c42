//! Monotonic clock and wall clock of a daemon.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};

/// Monotonic clock that counts from the start of the daemon, and the wall clock.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts the monotonic clock.
    #[must_use]
    pub fn new() -> Self {
        Self { start: Instant::now() }
    }

    /// Monotonic time since the start; also advances while the process is paused.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Time since the machine started; also advances while it is suspended.
    #[must_use]
    pub fn boot(&self) -> Duration {
        Duration::try_from(clock_gettime(ClockId::Boottime)).unwrap_or_default()
    }

    /// Wall-clock time since the Unix epoch; zero if the clock is set to an earlier time.
    #[must_use]
    pub fn wall(&self) -> Duration {
        SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}
