//! Exponential backoff for control calls.

use std::time::Duration;

/// Delay that doubles with each consecutive failure, with jitter over its upper half. Without jitter,
/// daemons that lost the same server at the same time would reconnect at the same time.
#[derive(Debug, Clone)]
pub struct Backoff {
    initial_delay: Duration,
    max_delay: Duration,
    next: Duration,
}

impl Backoff {
    /// The first delay is at most `initial_delay`; this limit doubles with each failure, up to
    /// `max_delay`.
    #[must_use]
    pub fn new(initial_delay: Duration, max_delay: Duration) -> Self {
        Self { initial_delay, max_delay: max_delay.max(initial_delay), next: initial_delay }
    }

    /// Delay after a failure; `random` is from 0 to 1.
    pub fn next_delay(&mut self, random: f64) -> Duration {
        let delay = self.next.mul_f64(0.5 + 0.5 * random.clamp(0.0, 1.0));
        self.next = (self.next * 2).min(self.max_delay);
        delay
    }

    /// Starts again with the first delay, after a success.
    pub fn reset(&mut self) {
        self.next = self.initial_delay;
    }
}
