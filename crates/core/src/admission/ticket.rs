//! Requests as admission sees them, and its decisions.

use std::time::Duration;

use crate::config::Class;
use crate::error::ErrorKind;

/// Identifier of a request, unique among those present at a host daemon.
pub type TicketId = u64;

/// A request that asks for a slot.
#[derive(Debug, Clone, Copy)]
pub struct Ticket<'a> {
    /// Identifier.
    pub id: TicketId,
    /// Class of its route.
    pub class: Class,
    /// Name of its route; run times are learnt per route.
    pub route: &'a str,
    /// Time after which it must not start, on the clock of `now`.
    pub deadline: Duration,
    /// Time by which its answer is of full use, on the clock of `now`, where the route tells one.
    pub target: Option<Duration>,
}

/// Decision on a new request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// It holds a slot and is to be dispatched.
    Start,
    /// It waits; an [`Action`] for it follows unless it is cancelled.
    Queued,
    /// It is refused and did not run.
    Refuse {
        /// Error for the caller.
        kind: ErrorKind,
        /// Time after which another try makes sense.
        retry_after: Duration,
    },
}

/// Result of [`Admission::offer`](super::Admission::offer).
#[derive(Debug, PartialEq, Eq)]
#[must_use]
pub struct OfferResult {
    /// Decision on the new request.
    pub decision: Decision,
    /// Queued requests that are refused to make room.
    pub evicted: Vec<Action>,
}

/// What happens to a request that was queued.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// It holds a slot and is to be dispatched.
    Start(TicketId),
    /// It is refused and did not run.
    Refuse {
        /// Identifier of the request.
        id: TicketId,
        /// Error for the caller.
        kind: ErrorKind,
        /// Time after which another try makes sense.
        retry_after: Duration,
    },
}
