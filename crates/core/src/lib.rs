//! Decision logic of a configuration distribution system for a service mesh.
//!
//! Everything here is a pure function or a state machine of the form
//! `(state, event, now) -> actions`. The crate opens no sockets, reads no clock, starts no task and
//! draws no random numbers, so that recorded traces can be replayed through it and other programs
//! can embed it. `now` is always a [`std::time::Duration`] since an arbitrary fixed start of a
//! monotonic clock; random choices take a `u64` from the caller.

pub mod admission;
pub mod balance;
pub mod buffers;
pub mod callers;
pub mod calls;
pub mod condition;
pub mod config;
pub mod drain;
pub mod error;
pub mod id;
pub mod idempotency;
pub mod lag;
pub mod link;
pub mod membership;
pub mod prelude;
pub mod quarantine;
pub mod quota;
pub mod registration;
pub mod registry;
pub mod relay;
pub mod rendezvous;
pub mod retry;
pub mod revocation;
pub mod rollout;
pub mod routing;
pub mod tenants;
