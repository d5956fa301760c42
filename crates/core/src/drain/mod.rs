//! Which requests a daemon that shuts down still takes.
//!
//! A request that could still run when the daemon ends would be cut, and its caller could not tell whether it
//! ran. Early in a shutdown callers have nowhere else to go yet, so a settings value says until when such
//! requests are taken nevertheless.

use std::time::Duration;

/// Times of a shutdown, counted from its begin.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DrainPlan {
    /// Until when requests are taken that may outlast the drain.
    pub long_until: Duration,
    /// From when no request is taken.
    pub refuse_from: Duration,
    /// When running requests are aborted.
    pub end: Duration,
}

impl DrainPlan {
    /// Whether a request is taken `elapsed` after the begin that may run for `remaining`.
    #[must_use]
    pub fn admits(&self, elapsed: Duration, remaining: Duration) -> bool {
        let may_outlast = elapsed.saturating_add(remaining) > self.end;
        elapsed < self.refuse_from && (!may_outlast || elapsed < self.long_until)
    }
}
