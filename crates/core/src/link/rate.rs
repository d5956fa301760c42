//! Rate of bodies on one direction of a link, by what else passes it.

use std::time::Duration;

use super::body_rate;

/// Part of the link that all bytes may use together; the rest is for the headers of packets, which are not counted, and
/// for what comes in addition until the next observation.
const TOTAL_SHARE: f64 = 0.88;

/// Largest part of the link that bodies may use, however little else passes it.
const MAX_SHARE: f64 = 0.8;

/// Part of the link that bodies may use however late others are.
const MIN_SHARE: f64 = 0.1;

/// Part of the link in use from which on bodies can be the cause of a delay.
const BUSY_SHARE: f64 = 0.6;

/// Delay of short messages from which on bodies are slowed down. One body of 60 KB in the queue of a link of 10 Mbit/s
/// delays them by 48 ms.
const LATE_AFTER: Duration = Duration::from_millis(30);

/// Factor of the rate at each observation with a delay.
const SLOW_DOWN: f64 = 0.8;

/// Part of the full rate that is added in a second without a delay.
const SPEED_UP_PER_SEC: f64 = 0.25;

/// Time over which the use of the link is smoothed.
const SMOOTHING: Duration = Duration::from_millis(500);

/// What passed one direction of a link in a time.
#[derive(Debug, Clone, Copy)]
pub struct LinkUse {
    /// Time in which it passed.
    pub elapsed: Duration,
    /// Bytes of bodies that count in the budget of the direction.
    pub body_bytes: u64,
    /// All other bytes.
    pub other_bytes: u64,
    /// Time for which short messages waited longer than usual; `None` if there were none.
    pub delay: Option<Duration>,
}

/// Rate that bodies may use on one direction of a link: what others leave of it, and less while short messages are
/// delayed.
#[derive(Debug)]
pub struct BodyRate {
    /// Rate of the link, in bytes per second.
    link: f64,
    /// Smoothed rate of the bodies, in bytes per second.
    bodies: f64,
    /// Smoothed rate of all other bytes, in bytes per second.
    others: f64,
    /// Part of what others leave that bodies may use.
    part: f64,
    rate: f64,
}

impl BodyRate {
    /// Creates the rate for a link without traffic.
    #[must_use]
    pub fn new(bits_per_sec: u64) -> Self {
        let link = (bits_per_sec as f64 / 8.0).max(1.0);
        Self { link, bodies: 0.0, others: 0.0, part: 1.0, rate: body_rate(bits_per_sec) }
    }

    /// Rate that bodies may use, in bytes per second.
    #[must_use]
    pub fn bytes_per_sec(&self) -> f64 {
        self.rate
    }

    /// Rate of the link, in bytes per second.
    #[must_use]
    pub fn link_bytes_per_sec(&self) -> f64 {
        self.link
    }

    /// Sets the rate by what passed the link since the last observation.
    pub fn observe(&mut self, used: &LinkUse) {
        if used.elapsed.is_zero() {
            return;
        }
        let secs = used.elapsed.as_secs_f64();
        let weight = 1.0 - (-secs / SMOOTHING.as_secs_f64()).exp();
        self.bodies += weight * (used.body_bytes as f64 / secs - self.bodies);
        self.others += weight * (used.other_bytes as f64 / secs - self.others);
        let is_late = used.delay.is_some_and(|delay| delay >= LATE_AFTER);
        let is_busy = self.bodies + self.others >= BUSY_SHARE * self.link;
        if is_late && is_busy {
            // Not below what MIN_SHARE allows anyway, so that the rate rises at once afterwards.
            self.part = (self.part * SLOW_DOWN).max(MIN_SHARE / MAX_SHARE);
        } else if !is_late {
            self.part = (self.part + SPEED_UP_PER_SEC * secs).min(1.0);
        }
        let left = (TOTAL_SHARE * self.link - self.others).clamp(0.0, MAX_SHARE * self.link);
        self.rate = (left * self.part).max(MIN_SHARE * self.link);
    }
}
