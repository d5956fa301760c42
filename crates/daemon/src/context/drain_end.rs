//! End of the drain, at which requests of callers that are still in progress are answered.

use std::sync::atomic::{AtomicUsize, Ordering};

use baobabreel_core::drain::answer_at_end;
use baobabreel_core::error::ErrorKind;
use tokio_util::sync::CancellationToken;

/// The end of the drain, and how many requests were answered at it.
#[derive(Debug, Default)]
pub struct DrainEnd {
    reached: CancellationToken,
    not_run: AtomicUsize,
    unknown: AtomicUsize,
}

/// Number of requests that were answered at the end of the drain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnsweredAtEnd {
    /// Requests that certainly did not run.
    pub not_run: usize,
    /// Requests that may have run.
    pub unknown: usize,
}

impl DrainEnd {
    /// Ends the drain: every request of a caller that has no response yet is answered.
    pub fn reach(&self) {
        self.reached.cancel();
    }

    /// Waits for the end of the drain.
    pub async fn reached(&self) {
        self.reached.cancelled().await;
    }

    /// Counts a request that is answered at the end, and returns the kind of its error.
    pub fn answer(&self, may_have_run: bool) -> ErrorKind {
        let count = if may_have_run { &self.unknown } else { &self.not_run };
        count.fetch_add(1, Ordering::AcqRel);
        answer_at_end(may_have_run)
    }

    /// Number of requests answered so far.
    pub fn answered(&self) -> AnsweredAtEnd {
        AnsweredAtEnd {
            not_run: self.not_run.load(Ordering::Acquire),
            unknown: self.unknown.load(Ordering::Acquire),
        }
    }
}
