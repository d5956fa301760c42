//! Choice of a backend server.
//!
//! Each entry daemon keeps one [`Balancer`] per service and decides from its own observations:
//! outstanding calls, smoothed latencies and the load that responses carry. Load reports lag and can
//! be false, because a slowed backend server does not know that it is slow. They therefore only add
//! to the score, while ejection depends on measured latencies alone.
//!
//! Two random candidates are compared. This avoids herding: many entry daemons that all see the same
//! least loaded backend server would otherwise choose it at the same time.

mod balancer;
mod builder;
mod endpoint;
mod outlier;
mod room;

pub use balancer::Balancer;
pub use builder::BalancerBuilder;
pub use endpoint::{Endpoint, Failure, LoadReport};
pub use room::{FreeSlotOdds, FreeSlotSearch};
