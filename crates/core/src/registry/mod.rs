//! Fold of the log's stream of members, and who owned a key when.
//!
//! Ownership of idempotency keys must follow from the log alone, because the log is the only thing
//! that all daemons agree on. The fold keeps who is registered for each service and, for as long as
//! a key can be repeated, who was registered before, so that a new owner knows whom to ask.
//!
//! The log has limited retention, so the fold depends only on the entries that are kept: a `join`
//! counts unless a newer incarnation is registered, whatever came before it. Registered daemons
//! append their `join` again in time, and stop acting as owners once their last one may have
//! expired (see [`crate::idempotency::Lease`]). A reader that starts at the first kept offset
//! therefore sees every daemon that acted as an owner within the retention of keys.
//!
//! `seen_at` must not be earlier than the append of the entry, as all waits are counted from it.
//! The time of folding is always allowed. A reader that gets entries from a peer together with
//! the time for which that peer has had them may subtract that time from the time of receipt.

mod entry;
mod fold;
mod history;

pub use entry::{MAX_MEMBER_ENTRY_BYTES, MemberEntry};
pub use fold::{
    FIRST_GENERATION, FoldEffect, HISTORY_RETENTION, RegisteredDaemon, Registry, RegistryError,
};
pub use history::{Incarnate, OwnershipEnd, PastOwnership};
