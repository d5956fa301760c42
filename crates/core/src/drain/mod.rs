//! Which requests a daemon that shuts down still takes, and when each step of the shutdown ends.
//!
//! A request that could still run when the daemon ends would be cut, and its caller could not tell whether it
//! ran. Early in a shutdown callers have nowhere else to go yet, so a settings value says until when such
//! requests are taken nevertheless.
//!
//! All times count from the begin, so that a daemon that is held up in one step ends no later.

use std::time::Duration;

use crate::error::ErrorKind;

/// Longest time for closing connections, with the responses to the last requests.
pub const CLOSE_TIMEOUT: Duration = Duration::from_millis(400);

/// Time for the answers to be written that requests without a response get at the end.
const ANSWER_TIME: Duration = Duration::from_millis(250);

/// Time for closing connections that a daemon has even if it was held up until after its end.
const MIN_CLOSE_TIMEOUT: Duration = Duration::from_millis(100);

/// Times of a shutdown, counted from its begin.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DrainPlan {
    /// Until when requests are taken that may outlast the drain.
    pub long_until: Duration,
    /// From when no request is taken.
    pub refuse_from: Duration,
    /// From when running requests may be aborted.
    pub end: Duration,
    /// When all connections are closed.
    pub close_by: Duration,
}

impl DrainPlan {
    /// Whether a request is taken `elapsed` after the begin that may run for `remaining`.
    #[must_use]
    pub fn admits(&self, elapsed: Duration, remaining: Duration) -> bool {
        let may_outlast = elapsed.saturating_add(remaining) > self.end;
        elapsed < self.refuse_from && (!may_outlast || elapsed < self.long_until)
    }

    /// Until when a step takes that begins `elapsed` after the begin and needs `time`; the end of the drain cuts it
    /// short.
    #[must_use]
    pub fn step_end(&self, elapsed: Duration, time: Duration) -> Duration {
        elapsed.saturating_add(time).min(self.end)
    }

    /// When requests that still have no response are answered by an error. A response that comes after the end of
    /// the drain is better than an error, as long as there is time to write either.
    #[must_use]
    pub fn answer_at(&self) -> Duration {
        self.close_by.saturating_sub(ANSWER_TIME).max(self.end)
    }

    /// How long connections may take to close, from `elapsed` after the begin on.
    #[must_use]
    pub fn close_timeout(&self, elapsed: Duration) -> Duration {
        self.close_by.saturating_sub(elapsed).clamp(MIN_CLOSE_TIMEOUT, CLOSE_TIMEOUT)
    }
}

/// Error for a request that has no response when the drain ends.
#[must_use]
pub fn answer_at_end(may_have_run: bool) -> ErrorKind {
    if may_have_run { ErrorKind::UpstreamLost } else { ErrorKind::Draining }
}
