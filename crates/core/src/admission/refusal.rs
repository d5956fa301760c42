//! Refusals, and the time after which a refused caller may come back.

use std::time::Duration;

use super::queue::PendingRequest;
use super::ticket::{Action, Decision};
use crate::error::ErrorKind;

/// Longest time that a refusal asks the caller to wait.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Shortest time that a refusal of a request with a target asks the caller to wait.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(20);

/// Time that a caller waits after a refusal of this kind, if nothing is known about the load.
pub(super) fn default_retry_after(kind: ErrorKind) -> Duration {
    kind.answer().retry_after.unwrap_or_default()
}

/// `estimate`, but at most [`MAX_RETRY_AFTER`] and at least the default of the error kind.
pub(super) fn bounded_retry_after(kind: ErrorKind, estimate: Duration) -> Duration {
    estimate.min(MAX_RETRY_AFTER).max(default_retry_after(kind))
}

/// Refuses a new request, with the estimated wait.
pub(super) fn refuse(kind: ErrorKind, estimate: Duration) -> Decision {
    Decision::Refuse { kind, retry_after: bounded_retry_after(kind, estimate) }
}

/// Refuses a request. With a target, the caller is told the estimate even if it is below the default of
/// the error kind, a second, since it would have no time left after that.
pub(super) fn refuse_for(item: &PendingRequest, kind: ErrorKind, estimate: Duration) -> Decision {
    match item.target {
        Some(_) => {
            let retry_after = estimate.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
            Decision::Refuse { kind, retry_after }
        }
        None => refuse(kind, estimate),
    }
}

/// Refuses a queued request.
pub(super) fn refusal(item: &PendingRequest, kind: ErrorKind, retry_after: Duration) -> Action {
    Action::Refuse { id: item.id, kind, retry_after }
}
