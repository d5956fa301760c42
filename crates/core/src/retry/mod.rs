//! Budgets for retries and hedges.
//!
//! Retries help against single failures and do harm when everything fails. Three rules bound them:
//! a second attempt needs proof that it cannot run a request twice, a request that is itself a retry
//! is not retried again further down the call chain, and a token bucket limits retries to a share of
//! the requests.

mod backoff;
mod budget;
mod decision;
mod latency;
mod read_size;

pub use backoff::Backoff;
pub use budget::RetryBudget;
pub use decision::{Attempt, Failure, RetryDecision, StopReason, decide_retry, hedge_delay};
pub use latency::LatencyEstimate;
pub use read_size::ReadSize;
