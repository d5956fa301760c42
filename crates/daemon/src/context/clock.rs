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

    /// Time since the start of the machine; also advances while the machine is suspended, and nobody sets it.
    #[must_use]
    pub fn boot(&self) -> Duration {
        let time = clock_gettime(ClockId::Boottime);
        let secs = u64::try_from(time.tv_sec).unwrap_or_default();
        Duration::new(secs, u32::try_from(time.tv_nsec).unwrap_or_default())
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
