//! Registry of daemons, folded from the log's `members` stream, and the owners of keys over time.
//!
//! Ownership of idempotency keys must follow from the log alone, because the log is the only thing
//! that all daemons agree on. The registry holds the daemons that are registered for each service
//! and, for as long as a key can be repeated, those that were registered before, so that a new
//! owner knows which daemons to ask.
//!
//! The log has limited retention, so the registry must follow from the entries that are kept: a
//! `join` counts unless a newer incarnation is registered, whatever came before it. Registered
//! daemons renew their `join` in time, and stop acting as owners once their last one may have
//! expired (see [`crate::idempotency::Lease`]). A reader that starts at the first kept offset
//! therefore sees every daemon that acted as an owner within the retention of keys.
//!
//! The time `seen_at` of an entry must not be before its append, since all waits are counted from
//! it. The time of folding is always valid. If a peer sends an entry together with the time for
//! which it has had it, the reader may subtract that time from the time of receipt.

mod entry;
mod fold;
mod history;

pub use entry::{MAX_MEMBER_ENTRY_BYTES, MemberEntry};
pub use fold::{
    FIRST_GENERATION, FoldEffect, HISTORY_RETENTION, RegisteredDaemon, Registry, RegistryError,
};
pub use history::{Incarnate, OwnershipEnd, PastOwnership};
