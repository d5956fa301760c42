//! How long a connection may rest before it is used again.
//!
//! A server closes connections that rest. It may do so sooner than it says, or forget them without a word;
//! what is sent next on such a connection is lost. The first losses tell how soon that is, and until they
//! have been forgotten, connections that rested longer are closed instead of used.

use std::time::Duration;

/// Longest rest where the server does not say how long it keeps connections.
const DEFAULT: Duration = Duration::from_secs(15);

/// Part of the time which the server says; the request must arrive before the end.
const ANNOUNCED_PART: f64 = 0.8;

/// Part of the rest after which a connection was lost that later ones may have.
const LEARNT_PART: f64 = 0.5;

/// Shortest rest that is learnt; connections break for other reasons too.
const LEARNT_MIN: Duration = Duration::from_millis(100);

/// Time for which a loss is remembered.
const MEMORY: Duration = Duration::from_secs(10);

/// Longest rest of the connections to one server.
#[derive(Debug)]
pub struct IdleLimit {
    announced: Duration,
    learnt: Option<Learnt>,
}

#[derive(Debug, Clone, Copy)]
struct Learnt {
    limit: Duration,
    until: Duration,
}

impl Default for IdleLimit {
    fn default() -> Self {
        Self { announced: DEFAULT, learnt: None }
    }
}

impl IdleLimit {
    /// Takes over how long the server says that it keeps connections.
    pub fn announce(&mut self, timeout: Duration) {
        self.announced = timeout.mul_f64(ANNOUNCED_PART);
    }

    /// Records that a connection was lost with the request that followed a rest.
    pub fn record_loss(&mut self, rest: Duration, now: Duration) {
        if rest < LEARNT_MIN {
            return;
        }
        let limit = rest.min(self.at(now)).mul_f64(LEARNT_PART).max(LEARNT_MIN);
        self.learnt = Some(Learnt { limit, until: now + MEMORY });
    }

    /// Longest rest at present.
    #[must_use]
    pub fn at(&self, now: Duration) -> Duration {
        match self.learnt {
            Some(learnt) if now < learnt.until => learnt.limit.min(self.announced),
            _ => self.announced,
        }
    }
}
