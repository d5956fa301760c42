//! Requests for a slot, and the decisions on them.

use std::time::Duration;

use crate::config::Class;
use crate::error::ErrorKind;

/// Identifier of a request, unique among those that run or wait at a host daemon.
pub type TicketId = u64;

/// A request that asks for a slot.
#[derive(Debug, Clone, Copy)]
pub struct Ticket<'a> {
    /// Identifier of the request.
    pub id: TicketId,
    /// Class of its route.
    pub class: Class,
    /// Name of its route; run times are measured per route.
    pub route: &'a str,
    /// Time after which it must not start, on the clock of `now`.
    pub deadline: Duration,
    /// Time by which its answer must arrive to be of full use, on the clock of `now`; none if the route
    /// has no target latency.
    pub target: Option<Duration>,
    /// Name of its tenant; none if it has none or if the tenant is not known.
    pub tenant: Option<&'a str>,
    /// Whether it was made by a request that already runs elsewhere; known only where the configuration has
    /// tenants.
    pub nested: bool,
}

/// What the client of a request has done on its connection by the time at which the request is offered.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ClientState {
    /// Requests that it sent before this one without waiting for their responses.
    pub ahead: u32,
    /// Whether it has yet to send a part of the body.
    pub is_sending: bool,
}

/// Decision on a new request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// It holds a slot; the caller must dispatch it.
    Start,
    /// It waits in the queue; an [`Action`] for it follows unless it is cancelled.
    Queued,
    /// It is refused and did not run.
    Refuse {
        /// Error for the caller.
        kind: ErrorKind,
        /// Time after which the caller may try again.
        retry_after: Duration,
    },
}

/// Result of [`Admission::offer`](super::Admission::offer).
#[derive(Debug, PartialEq, Eq)]
#[must_use]
pub struct OfferResult {
    /// Decision on the new request.
    pub decision: Decision,
    /// Refusals of queued requests that made room for the new one.
    pub evicted: Vec<Action>,
}

/// Decision on a request that was queued.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// It holds a slot; the caller must dispatch it.
    Start(TicketId),
    /// It is refused and did not run.
    Refuse {
        /// Identifier of the request.
        id: TicketId,
        /// Error for the caller.
        kind: ErrorKind,
        /// Time after which the caller may try again.
        retry_after: Duration,
    },
}
