//! What a backend server states about itself in its responses: a limit on its requests, and that it is
//! leaving.
//!
//! The daemon beside the backend server reads the statements ([`HostedCondition`]) and decides by them, since
//! all requests pass through it. The daemons that call it remember the statements across its restarts
//! ([`KnownConditions`]).

mod hosted;
mod known;
mod rate_limit;

pub use hosted::{ConditionChange, HostedCondition};
pub use known::{KnownConditions, ReportedCondition};
pub use rate_limit::{RateLimit, RateLimitError};

/// Statement about the request rate in one response.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum RateStatement {
    /// The response names no limit.
    #[default]
    Unlimited,
    /// The backend server takes at most this rate from all daemons together.
    Limited(RateLimit),
    /// The response names a limit that cannot be read.
    Unreadable,
}

/// What one response states about the backend server that sent it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Condition {
    /// Rate of requests that the backend server takes.
    pub rate: RateStatement,
    /// Whether the backend server is shutting down.
    pub is_leaving: bool,
}
