//! Refusals, and the time after which a refused caller may come back.

use std::time::Duration;

use super::cost::Precedence;
use super::queue::PendingRequest;
use super::state::Admission;
use super::ticket::{Action, Decision};
use crate::error::ErrorKind;

/// Longest time that a refusal asks the caller to wait.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Shortest time that a refusal of a request with a target asks the caller to wait.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(20);

/// Departures for each promise to a refused caller; the others are left to new requests. With fewer, new requests
/// take the promised room, and callers that return are refused again.
const DEPARTURES_PER_PROMISE: f64 = 3.0;

/// The same for requests that may use only the room that nobody else asks for, of which there is less.
const DEPARTURES_PER_SPARE_PROMISE: f64 = 4.0;

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

/// Refuses a queued request.
pub(super) fn refusal(item: &PendingRequest, kind: ErrorKind, retry_after: Duration) -> Action {
    Action::Refuse { id: item.id, kind, retry_after }
}

/// Room that was promised to refused callers by the times at which they may come back.
///
/// Each takes the next free place among the expected departures, so that no two return at the same time.
#[derive(Debug, Default)]
pub(super) struct Promises {
    next: Duration,
    /// The same for requests that may use only spare room.
    next_spare: Duration,
}

impl Promises {
    /// Time at which `item` may come back if there is room from `earliest` on and requests of its kind depart
    /// at the interval `departures`.
    fn promise(
        &mut self,
        item: &PendingRequest,
        earliest: Duration,
        departures: Duration,
    ) -> Duration {
        let (next, interval) = match item.precedence {
            Precedence::Excess => (&mut self.next_spare, DEPARTURES_PER_SPARE_PROMISE),
            _ => (&mut self.next, DEPARTURES_PER_PROMISE),
        };
        let at = earliest.max(*next);
        // No place is kept for a caller that has no time left then.
        if at < item.deadline {
            *next = at + departures.mul_f64(interval);
        }
        at
    }
}

impl Admission {
    /// Refuses a new request that would have to wait for `wait`.
    pub(super) fn refuse_new(
        &mut self,
        item: &PendingRequest,
        kind: ErrorKind,
        wait: Duration,
        now: Duration,
    ) -> Decision {
        self.refusals.add(item.precedence);
        Decision::Refuse { kind, retry_after: self.retry_after(item, kind, wait, now) }
    }

    /// Refuses a request that has left the queue and would have to wait for `wait` if it came back now.
    pub(super) fn refuse_queued(
        &mut self,
        item: &PendingRequest,
        kind: ErrorKind,
        wait: Duration,
        now: Duration,
    ) -> Action {
        self.refusals.add(item.precedence);
        let retry_after = match self.cfg.cost_aware {
            true => self.retry_after(item, kind, wait, now),
            false => default_retry_after(kind),
        };
        refusal(item, kind, retry_after)
    }

    /// Time after which a refused caller may come back. With a target, it is told the estimate even if it is
    /// below the default of the error kind, a second, since it would have no time left after that.
    fn retry_after(
        &mut self,
        item: &PendingRequest,
        kind: ErrorKind,
        wait: Duration,
        now: Duration,
    ) -> Duration {
        if item.target.is_none() {
            return bounded_retry_after(kind, wait);
        }
        let earliest = now + wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        if !self.cfg.cost_aware {
            return earliest - now;
        }
        let departures = self.run_time(item) / self.cfg.slots.max(1);
        self.promises.promise(item, earliest, departures).saturating_sub(now).min(MAX_RETRY_AFTER)
    }
}
