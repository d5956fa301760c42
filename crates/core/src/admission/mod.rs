//! Slots and the bounded queue beside a backend server.
//!
//! The host daemon is the one place that sees all requests of its backend server, so slots are
//! counted here without leases. A request that cannot be served in time is refused at once: a
//! caller that learns early can go elsewhere, while one that waits in a long queue only adds load.
//!
//! Under overload a full queue makes every answer late. So once a queue stands, a request is refused
//! at once when its estimated wait is over a target; a burst may still fill the queue.
//!
//! Class decides before deadline, because commands and checks hold up the rest of a call chain. Bulk
//! work has a share of the slots of its own, so that long jobs never hold all slots.

mod builder;
mod overload;
mod queue;
mod routes;
mod state;
mod ticket;
mod wait;

pub use builder::AdmissionBuilder;
pub use state::Admission;
pub use ticket::{Action, Decision, OfferResult, Ticket, TicketId};
