//! Monotonic and wall clock of a daemon.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Clock whose monotonic time starts at the daemon's start.
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

    /// Monotonic time since the start; goes on while the process is paused.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Time since the Unix epoch.
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
