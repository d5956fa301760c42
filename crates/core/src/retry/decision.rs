//! Whether a second attempt is made.

use std::time::Duration;

use super::latency::LatencyEstimate;

/// Least time that must remain for a second attempt; less does not cover two hops.
const MIN_REMAINING: Duration = Duration::from_millis(2);

/// An attempt to send a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Attempt {
    /// Whether the route is idempotent.
    pub idempotent: bool,
    /// Number of the attempt, from 1.
    pub number: u32,
    /// Whether an upstream hop marked the request as a retry or hedge.
    pub marked_as_retry: bool,
    /// Time until the deadline.
    pub remaining: Duration,
    /// Most further attempts that the route permits.
    pub max_retries: u32,
}

/// What is known about an attempt that failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Failure {
    /// Proved not to have run: refused before dispatch, or never connected.
    NotRun,
    /// It may have run.
    MayHaveRun,
}

/// Decision on a second attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// Another attempt, marked as a retry, if the budget has a token.
    Retry,
    /// No other attempt.
    Stop(StopReason),
}

/// Why no other attempt is made.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum StopReason {
    /// The request may have run and is not idempotent.
    NotIdempotent,
    /// An upstream hop marked the request as a retry.
    MarkedAsRetry,
    /// The route's maximum is reached.
    AttemptsUsed,
    /// Too little time is left.
    NoTime,
}

/// Decides on another attempt after a failure. The budget is asked after this.
#[must_use]
pub fn decide_retry(attempt: &Attempt, failure: Failure) -> RetryDecision {
    if failure == Failure::MayHaveRun && !attempt.idempotent {
        return RetryDecision::Stop(StopReason::NotIdempotent);
    }
    match obstacle(attempt) {
        Some(reason) => RetryDecision::Stop(reason),
        None => RetryDecision::Retry,
    }
}

fn obstacle(attempt: &Attempt) -> Option<StopReason> {
    if attempt.marked_as_retry {
        Some(StopReason::MarkedAsRetry)
    } else if attempt.number > attempt.max_retries {
        Some(StopReason::AttemptsUsed)
    } else if attempt.remaining < MIN_REMAINING {
        Some(StopReason::NoTime)
    } else {
        None
    }
}

/// Time after which a second copy of a first attempt is sent, for a route that permits hedges.
///
/// The budget is asked when that time has come, and the copy is marked as a retry.
#[must_use]
pub fn hedge_delay(attempt: &Attempt, estimate: &LatencyEstimate) -> Option<Duration> {
    if !attempt.idempotent || attempt.number != 1 || obstacle(attempt).is_some() {
        return None;
    }
    estimate.p95().filter(|&delay| delay + MIN_REMAINING <= attempt.remaining)
}
