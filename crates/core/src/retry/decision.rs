//! Decides whether a request is retried or hedged.

use std::time::Duration;

use super::latency::LatencyEstimate;

/// Minimum time before the deadline for a second attempt; less does not cover two hops.
const MIN_REMAINING: Duration = Duration::from_millis(2);

/// State of one attempt to send a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Attempt {
    /// Whether the route is idempotent.
    pub idempotent: bool,
    /// Number of the attempt, from 1.
    pub number: u32,
    /// Whether an upstream hop marked the request as a retry or hedge.
    pub marked_as_retry: bool,
    /// Time left until the deadline.
    pub remaining: Duration,
    /// Maximum number of further attempts that the route permits.
    pub max_retries: u32,
}

/// What is known about an attempt that failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Failure {
    /// It certainly did not run: it was refused before dispatch, or no connection was made.
    NotRun,
    /// It may have run.
    MayHaveRun,
}

/// Decision on a second attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// Make another attempt, marked as a retry, if the budget has a token.
    Retry,
    /// Make no other attempt.
    Stop(StopReason),
}

/// Why no other attempt is made.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum StopReason {
    /// The request may have run and is not idempotent.
    NotIdempotent,
    /// An upstream hop marked the request as a retry.
    MarkedAsRetry,
    /// The route's maximum number of attempts is reached.
    AttemptsUsed,
    /// Too little time is left before the deadline.
    NoTime,
}

/// Decides whether to retry after a failure. The caller takes a token from the budget afterwards, so
/// that a request that is not retried costs none.
#[must_use]
pub fn decide_retry(attempt: &Attempt, failure: Failure) -> RetryDecision {
    if failure == Failure::MayHaveRun && !attempt.idempotent {
        return RetryDecision::Stop(StopReason::NotIdempotent);
    }
    match stop_reason(attempt) {
        Some(reason) => RetryDecision::Stop(reason),
        None => RetryDecision::Retry,
    }
}

/// Why a second attempt is not allowed, whether or not the request is idempotent.
fn stop_reason(attempt: &Attempt) -> Option<StopReason> {
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

/// Delay after which a hedge, a second copy of the first attempt, is sent on a route that permits
/// hedges; none if no hedge is sent.
///
/// `target` is the time left until the response should arrive, if the route has a target latency. The
/// hedge then leaves early enough that a response of usual speed arrives by the target, but never
/// before the slowest tenth of the responses are left. Without a target, or if that time is too
/// short, the hedge waits for the slowest twentieth.
///
/// The caller takes a token from the budget after that delay and marks the copy as a retry.
#[must_use]
pub fn hedge_delay(
    attempt: &Attempt,
    estimate: &LatencyEstimate,
    target: Option<Duration>,
) -> Option<Duration> {
    if !attempt.idempotent || attempt.number != 1 || stop_reason(attempt).is_some() {
        return None;
    }
    let late = estimate.percentile(95)?;
    let slow = estimate.percentile(90)?;
    let usual = estimate.percentile(50)?;
    let latest = target.and_then(|target| target.checked_sub(usual)).unwrap_or(late);
    let delay = latest.max(slow).min(late);
    Some(delay).filter(|&delay| delay + MIN_REMAINING <= attempt.remaining)
}
