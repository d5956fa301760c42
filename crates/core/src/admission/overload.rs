//! Detection of a standing queue: one that does not empty because demand exceeds capacity.

use std::time::Duration;

use crate::config::Class;

/// Time for which requests must have been waiting without a break before the queue counts as standing.
/// A burst that is worked off sooner is better served late than refused.
const STANDING_AFTER: Duration = Duration::from_millis(100);
/// Time for which overload is assumed to continue after a request was refused because of it. With short
/// waits the queue is empty at times although demand still exceeds capacity.
const OVERLOAD_HOLD: Duration = Duration::from_millis(500);

/// Tells for each class whether its requests meet a standing queue.
#[derive(Debug, Default)]
pub(super) struct OverloadDetector {
    /// By class: since when a request of that class or a higher one has been waiting without a break.
    waiting_since: [Option<Duration>; 4],
    /// By class: time until which overload is assumed after a refusal.
    held_until: [Duration; 4],
}

impl OverloadDetector {
    /// Records the highest class of the requests that wait for a slot, apart from bulk ones.
    pub fn observe(&mut self, highest: Option<Class>, now: Duration) {
        for (class, since) in self.waiting_since.iter_mut().enumerate() {
            if highest.is_some_and(|highest| highest as usize >= class) {
                since.get_or_insert(now);
            } else {
                *since = None;
            }
        }
    }

    /// Whether requests of `class` meet overload.
    pub fn is_active(&self, class: Class, now: Duration) -> bool {
        let since = self.waiting_since[class as usize];
        now < self.held_until[class as usize]
            || since.is_some_and(|since| now.saturating_sub(since) >= STANDING_AFTER)
    }

    /// Records that a request of `class` was refused because of overload.
    pub fn record_refusal(&mut self, class: Class, now: Duration) {
        // Lower classes wait for the same slots, and longer.
        for until in &mut self.held_until[..=class as usize] {
            *until = now + OVERLOAD_HOLD;
        }
    }
}
