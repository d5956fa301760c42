//! Seeded open-loop load over real HTTP.
//!
//! Requests start at times that do not depend on earlier answers, and latency is measured from the
//! intended start, so that a stall of the system under test is not hidden by a stalled generator.
//! The answers are checked here, and compared afterwards with the journals of the backend servers.

mod check;
mod plan;
mod report;
mod run;

pub use check::JournalCheck;
pub use plan::{Key, LoadPlan, RequestTemplate};
pub use report::{Call, CallEnd, ClassReport, LoadReport, Mismatch, Outcome};
