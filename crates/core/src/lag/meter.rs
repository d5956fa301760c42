//! Measures how far a client lags behind.

use std::time::Duration;

/// Rate at which a client makes up for time that it was waited for, in bytes per second. A client that moves as much
/// never lags, so this is far below what ordinary links carry.
const MIN_RATE: u64 = 16 * 1024;

/// Most time that a client that moves more may be waited for later without lagging; as long as a lost packet takes.
const MAX_CREDIT: Duration = Duration::from_millis(200);

/// Lag below which a client counts as one that keeps up; longer than one over an ordinary link takes to answer.
pub(super) const MIN_LAG: Duration = Duration::from_millis(100);

/// Time for which a request has waited for its client, less the time that the bytes which the client sent and read
/// would take at the lowest usual rate.
///
/// A byte now and then makes up for almost nothing, so a client that trickles lags like one that stands still.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ClientLag {
    lag: Duration,
    credit: Duration,
    waiting_since: Option<Duration>,
}

impl ClientLag {
    /// Records that the request waits for the client from now on, unless it already does.
    pub fn wait(&mut self, now: Duration) {
        self.waiting_since.get_or_insert(now);
    }

    /// Records that the client sent or read so many bytes, and is not waited for any more.
    pub fn record_progress(&mut self, bytes: u64, now: Duration) {
        let since = self.waiting_since.take().unwrap_or(now);
        self.lag += now.saturating_sub(since);
        let from_credit = self.lag.min(self.credit);
        self.lag -= from_credit;
        self.credit -= from_credit;
        let earned = Duration::from_secs_f64(bytes as f64 / MIN_RATE as f64);
        let paid = earned.min(self.lag);
        self.lag -= paid;
        self.credit = (self.credit + (earned - paid)).min(MAX_CREDIT);
    }

    /// Whether the client lags by more than one over an ordinary link ever does.
    #[must_use]
    pub fn is_lagging(&self, now: Duration) -> bool {
        self.at(now) >= MIN_LAG
    }

    /// Time by which the client lags.
    #[must_use]
    pub fn at(&self, now: Duration) -> Duration {
        let waited = self.waiting_since.map_or(Duration::ZERO, |since| now.saturating_sub(since));
        (self.lag + waited).saturating_sub(self.credit)
    }
}
