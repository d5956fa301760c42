//! Requests that crash the backend servers that run them.
//!
//! A backend server that ends takes down all requests that it is running, so one end proves nothing about
//! any of them: the others only ran beside the cause, and backend servers end for other reasons too. A
//! request becomes a suspect when a backend server ends under it, and is cleared when a backend server
//! survives it. From [`CRASHES_BEFORE_TRIAL`] ends on it runs only in trials, of which the whole mesh has
//! [`MAX_TRIALS`], and no other suspect runs at the same backend server meanwhile. A request that is
//! only unlucky survives its trial; one that ends every backend server is refused from then on.
//!
//! The daemons share what they know ([`Suspicion`]) by merging it, so the order of messages does not matter.

mod ledger;
mod suspicion;

pub use ledger::{Ledger, MAX_SUSPECTS, RunDecision};
pub use suspicion::{CRASHES_BEFORE_TRIAL, CrashId, MAX_TRIALS, RequestDigest, Suspicion};
