//! Limit on new work whose calls to other services fail for lack of room.
//!
//! A request that a backend server has begun is wasted when a call that it makes is refused. When the
//! called services are overloaded, it is better to turn away a part of the new requests before they
//! begin. The part follows from how often the calls of the backend server were refused or late.

use std::time::Duration;

/// Time over which calls are counted before the limit changes.
const REVIEW_INTERVAL: Duration = Duration::from_millis(200);

/// Calls that a review needs; fewer say little.
const MIN_CALLS: u32 = 8;

/// Share of troubled calls that is borne without turning work away.
const TOLERATED_SHARE: f64 = 0.05;

/// Part of the troubled share by which the admitted part shrinks in one review.
const STEP_DOWN: f64 = 0.5;

/// Part that is added to the admitted one in a review without trouble.
const STEP_UP: f64 = 0.05;

/// Smallest admitted part; some requests have to go on, or the end of the overload is not seen.
const MIN_ADMITTED: f64 = 0.2;

/// Limit on the requests of one backend server.
#[derive(Debug, Clone)]
pub struct Throttle {
    admitted: f64,
    calls: u32,
    troubled: u32,
    next_review: Duration,
}

impl Default for Throttle {
    fn default() -> Self {
        Self { admitted: 1.0, calls: 0, troubled: 0, next_review: Duration::ZERO }
    }
}

impl Throttle {
    /// Records the end of a call that the backend server made; `troubled` when it was refused for lack
    /// of room or came late.
    pub fn observe(&mut self, troubled: bool, now: Duration) {
        self.calls += 1;
        self.troubled += u32::from(troubled);
        self.review(now);
    }

    /// Whether a new request may begin; `random` decides which ones do.
    pub fn admits(&mut self, now: Duration, random: u64) -> bool {
        self.review(now);
        (random >> 11) as f64 / ((1_u64 << 53) as f64) < self.admitted
    }

    /// Part of the new requests that may begin, 0 to 1.
    #[must_use]
    pub fn admitted(&self) -> f64 {
        self.admitted
    }

    fn review(&mut self, now: Duration) {
        if now < self.next_review {
            return;
        }
        self.next_review = now + REVIEW_INTERVAL;
        let share = f64::from(self.troubled) / f64::from(self.calls.max(1));
        if self.calls >= MIN_CALLS && share > TOLERATED_SHARE {
            self.admitted = (self.admitted * (1.0 - share * STEP_DOWN)).max(MIN_ADMITTED);
        } else {
            self.admitted = (self.admitted + STEP_UP).min(1.0);
        }
        self.calls = 0;
        self.troubled = 0;
    }
}
