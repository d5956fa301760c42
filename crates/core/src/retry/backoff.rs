//! Pauses between tries of control calls.

use std::time::Duration;

/// Pause that doubles with each failure in a row, with jitter over its upper half, so that daemons that
/// lost the same server together do not come back together.
#[derive(Debug, Clone)]
pub struct Backoff {
    first: Duration,
    longest: Duration,
    next: Duration,
}

impl Backoff {
    /// Starts with a pause of up to `first` and doubles it up to `longest`.
    #[must_use]
    pub fn new(first: Duration, longest: Duration) -> Self {
        Self { first, longest: longest.max(first), next: first }
    }

    /// Pause after a failure; `random` is from 0 to 1.
    pub fn next_delay(&mut self, random: f64) -> Duration {
        let pause = self.next.mul_f64(0.5 + 0.5 * random.clamp(0.0, 1.0));
        self.next = (self.next * 2).min(self.longest);
        pause
    }

    /// Records a success.
    pub fn reset(&mut self) {
        self.next = self.first;
    }
}
