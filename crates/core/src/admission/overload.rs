//! Detection of a queue that stands.

use std::time::Duration;

use crate::config::Class;

/// Time for which requests must wait without a pause before the queue counts as standing. A burst
/// that is worked off sooner is better served late than refused.
const STANDING: Duration = Duration::from_millis(100);
/// Time for which overload is taken to go on after a refusal that it caused. Short waits empty the
/// queue now and then although the demand is still over the capacity.
const HOLD: Duration = Duration::from_millis(500);

/// Whether the requests of each class meet a standing queue.
#[derive(Debug, Default)]
pub(super) struct Overload {
    /// Since when a request of the class or of a higher one has been waiting.
    waiting_since: [Option<Duration>; 4],
    held_until: [Duration; 4],
}

impl Overload {
    /// Takes over the highest class that waits for a slot.
    pub fn observe(&mut self, highest: Option<Class>, now: Duration) {
        for (class, since) in self.waiting_since.iter_mut().enumerate() {
            if highest.is_some_and(|highest| highest as usize >= class) {
                since.get_or_insert(now);
            } else {
                *since = None;
            }
        }
    }

    /// Whether a request of `class` meets overload.
    pub fn is_on(&self, class: Class, now: Duration) -> bool {
        let since = self.waiting_since[class as usize];
        now < self.held_until[class as usize]
            || since.is_some_and(|since| now.saturating_sub(since) >= STANDING)
    }

    /// Records that a request of `class` was refused because of overload.
    pub fn refused(&mut self, class: Class, now: Duration) {
        // Lower classes wait for the same slots and longer.
        for until in &mut self.held_until[..=class as usize] {
            *until = now + HOLD;
        }
    }
}
