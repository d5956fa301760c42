//! Retries and hedges: when a second attempt is made, after which delay, and how many are allowed.
//!
//! Retries help when single requests fail, but add load when everything fails. Three rules limit them:
//! a request that is not idempotent is sent again only if it certainly did not run, a request that is
//! itself a retry is not retried again further down the call chain, and a token bucket limits retries
//! to a share of the requests.
//!
//! [`ToldTimes`] is about repetitions by callers: a request that comes back before the time that its refusal
//! named is refused again. Daemons use it only where the configuration has tenants.

mod backoff;
mod budget;
mod decision;
mod latency;
mod read_size;
mod told;

pub use backoff::Backoff;
pub use budget::RetryBudget;
pub use decision::{Attempt, Failure, RetryDecision, StopReason, decide_retry, hedge_delay};
pub use latency::LatencyEstimate;
pub use read_size::ReadSize;
pub use told::ToldTimes;
