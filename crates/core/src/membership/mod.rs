//! Members of the mesh and their states.
//!
//! There is no list of backend servers: each announces itself to the daemon beside it, and daemons
//! gossip about themselves. [`Swim`] is a variant of the SWIM protocol: it probes members in random
//! order, piggybacks statements (versioned [`Member`] values) on probes and acks, and gives each
//! suspect time to refute the suspicion. Three rules go beyond SWIM:
//! - Each daemon concludes a death only from its own suspicion timer and its own failed probes; a
//!   report of a death makes it probe the member. A pause of the daemon itself restarts its timers,
//!   and a daemon that hears from nobody suspects nobody for 30 s.
//! - Updates are sent within [`BYTES_PER_SECOND`], and each kind of message that a daemon sends of its
//!   own accord has a limit, so no failure can raise its traffic far above its budget.
//! - Probes carry a digest of the table. When tables differ for longer than updates take to spread,
//!   the daemons exchange the statements that one of them lacks, so lost updates do no lasting harm.

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
