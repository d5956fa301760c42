//! Roll-outs: traffic of a service moves to backend servers of another release, or back.
//!
//! [`Rollout`] is the state machine that the decider of a roll-out runs, [`Comparison`] the evidence it
//! decides on, and [`ReleaseFilter`] tells each daemon which backend servers may get a request.

mod comparison;
mod default;
mod filter;
mod histogram;
mod record;
mod state;

pub use comparison::{BUCKET_TIME, Comparison, Figures, Observation, Stratum, Verdict};
pub use default::{DefaultRelease, default_release};
pub use filter::{ReleaseFilter, Side};
pub use histogram::LatencyHistogram;
pub use record::{RolloutOrder, RolloutPhase, RolloutRecord, RolloutState};
pub use state::{DaemonReport, Rollout, RolloutLimits, Transition};
