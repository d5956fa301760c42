//! Callers that send a refused request again before the time that `Retry-After` named.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use baobabreel_core::error::ErrorKind;
use baobabreel_core::quarantine::RequestDigest;
use baobabreel_core::retry::ToldTimes;

use crate::proxy::call_error::CallError;
use crate::sync::lock;

/// Times of `Retry-After` that the callers on one connection got; an extension of their requests.
#[derive(Debug, Clone, Default)]
pub struct ToldCallers(Arc<Mutex<ToldTimes>>);

impl ToldCallers {
    /// Refuses a request that is sent again too early.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Overloaded`], with the time that is left.
    pub(super) fn check(&self, digest: RequestDigest, now: Duration) -> Result<(), CallError> {
        match lock(&self.0).time_left(digest, now) {
            None => Ok(()),
            Some(left) => {
                let detail = "the request came back before the time that its refusal named";
                Err(CallError::new(ErrorKind::Overloaded, detail).with_retry_after(left))
            }
        }
    }

    /// Records the time of `Retry-After` of a refused request, or that the request was answered.
    pub(super) fn record<T>(
        &self,
        digest: RequestDigest,
        result: &Result<T, CallError>,
        now: Duration,
    ) {
        match result {
            Ok(_) => lock(&self.0).record_answered(digest),
            Err(e) if is_for_lack_of_room(e) => {
                if let Some(after) = e.retry_after {
                    lock(&self.0).record_refused(digest, now + after, now);
                }
            }
            Err(_) => {}
        }
    }
}

fn is_for_lack_of_room(e: &CallError) -> bool {
    matches!(e.kind, ErrorKind::Overloaded | ErrorKind::DeadlineUnreachable)
}
