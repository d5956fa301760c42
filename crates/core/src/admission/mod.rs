//! Admission control for a backend server: slots for running requests and a bounded queue.
//!
//! All requests of a backend server pass through its host daemon, so slots are counted here without
//! leases. A request that cannot be served in time is refused at once: its caller can then try
//! elsewhere, while waiting in a long queue would only add load.
//!
//! Under overload a full queue makes every answer late. So once requests have been waiting without a
//! break for some time (a standing queue), a request is refused at once if its estimated wait is over
//! a limit. A short burst may still fill the queue.
//!
//! A backend server may name a limit on the rate of its requests. Then a request also needs the pace
//! to allow its start, and the estimated wait contains the time until it does.
//!
//! The queue is ordered by class before deadline, because commands and checks hold up the rest of a call
//! chain. Bulk requests may hold only a share of the slots, so that long jobs never hold all of them.
//!
//! With [`AdmissionBuilder::cost_aware`], the requests whose refusal costs callers least are delayed and
//! refused first; see `cost`. Daemons use this only where the configuration has tenants. Elsewhere nested
//! calls cannot be told from other requests, and class and due time decide.

mod builder;
mod cost;
mod estimate;
mod overload;
mod pace;
mod queue;
mod reclaim;
mod refusal;
mod routes;
mod shares;
mod state;
mod ticket;
mod wait;

pub use builder::AdmissionBuilder;
pub use cost::RefusalCounts;
pub use state::Admission;
pub use ticket::{Action, ClientState, Decision, OfferResult, Ticket, TicketId};
