//! Members of the mesh and their states.
//!
//! There is no central list of backend servers: each announces itself to the daemon on its host,
//! and the daemons spread their own states by gossip. [`Swim`] is a variant of the SWIM protocol:
//! it probes members in random order, piggybacks statements (versioned [`Member`] values) on probes
//! and acks, and gives each suspect time to refute the suspicion. Three rules go beyond SWIM:
//! - A daemon declares a member dead only after its own suspicion timeout and failed probes of its
//!   own; a report of a death from another daemon only makes it probe the member. After a pause, a
//!   daemon restarts its timers, and if it receives no messages, it suspects no member until 30 s
//!   have passed.
//! - Updates are sent only within [`BYTES_PER_SECOND`], and each kind of message that a daemon
//!   sends without being asked has a rate limit, so no failure can raise its traffic far above the
//!   budget.
//! - Probes and acks carry a digest of the member table. If two tables differ for longer than
//!   updates take to spread, the daemons exchange the statements that each of them lacks, so that
//!   lost updates have no lasting effect.

mod departed;
mod filter;
mod handle;
mod member;
mod message;
mod probing;
mod queue;
mod settings;
mod suspicion;
mod swim;

pub use filter::Filter;
pub use member::{Member, MemberState, Members};
pub use message::{
    Action, Delta, Event, LocalState, Probe, ProbeAnswer, ProbeRequest, SyncRequest,
};
pub use settings::SwimSettings;
pub use swim::{
    BYTES_PER_SECOND, INDIRECT_PROBES, MAX_DELTA_MEMBERS, MAX_MESSAGES_PER_SECOND,
    MAX_UPDATES_PER_PROBE, MESSAGE_OVERHEAD_BYTES, PUSH_FANOUT, Swim,
};
