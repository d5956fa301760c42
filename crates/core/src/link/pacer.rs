//! Pacing of bytes at a fixed rate.

use std::time::Duration;

/// Time that is made up for after a pause. Timers fire up to a few milliseconds late, which would lower the rate.
const LATE_TOLERANCE: Duration = Duration::from_millis(5);

/// Spreads bytes at a fixed rate, without a burst after a pause.
#[derive(Debug, Clone, Copy)]
pub struct Pacer {
    bytes_per_sec: f64,
    free_at: Duration,
}

impl Pacer {
    /// Creates a pacer that is free at once.
    #[must_use]
    pub fn new(bytes_per_sec: f64) -> Self {
        Self { bytes_per_sec: bytes_per_sec.max(1.0), free_at: Duration::ZERO }
    }

    /// Changes the rate of the bytes to come.
    pub fn set_rate(&mut self, bytes_per_sec: f64) {
        self.bytes_per_sec = bytes_per_sec.max(1.0);
    }

    /// Reserves the next place for `bytes`; returns the time at which they may be sent.
    pub fn reserve(&mut self, bytes: usize, now: Duration) -> Duration {
        let start = self.free_at.max(now.saturating_sub(LATE_TOLERANCE));
        self.free_at = start + Duration::from_secs_f64(bytes as f64 / self.bytes_per_sec);
        start
    }
}
