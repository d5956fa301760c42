//! Leases on the freshness of a configuration, so that a revoked API key stops working everywhere within a bound.
//!
//! A daemon serves requests with API keys only while it has a recent proof that its configuration was the newest one
//! ([`ConfigLease`]). [`ProofPolicy`] decides when a daemon asks others for a proof and when it reads the platform.
//!
//! All times are on a clock that counts from the start of the machine, goes on while the machine is suspended and is
//! never set (`CLOCK_BOOTTIME` on Linux). A daemon that was paused, or whose machine was suspended, therefore finds
//! its proof too old as soon as it runs again, and a wall clock that jumps changes nothing. A process cannot notice a
//! virtual machine that is resumed from a snapshot with the clock of that time; the bound does not hold there.

mod lease;
mod policy;

pub use lease::{ConfigLease, Proof};
pub use policy::{ProofPolicy, ProofQuery, ProofRole, proof_sources};
