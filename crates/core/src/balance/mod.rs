//! Load balancing: which backend server gets a call.
//!
//! Each entry daemon keeps one [`Balancer`] per service and decides from what it observes itself:
//! its outstanding calls, smoothed latencies and the load reports that responses carry. Load reports
//! are out of date on arrival and can be wrong, because a slow backend server does not know that it
//! is slow. They therefore only add to the score, and ejection depends on measured latencies alone.
//!
//! A call goes to the better of two random candidates. If many entry daemons all chose the least
//! loaded backend server that they see, they would overload it at the same time.

mod balancer;
mod builder;
mod endpoint;
mod free_slot;
mod outlier;
mod reach;

pub use balancer::Balancer;
pub use builder::BalancerBuilder;
pub use endpoint::{Endpoint, Failure, LoadReport};
pub use free_slot::{FreeSlotOdds, FreeSlotSearch};
pub use reach::DataCentreReach;
