//! Configuration records, the fold over the log that decides which changes are accepted, and the
//! compiled view that requests use.
//!
//! The log is the only arbiter. Every daemon and the command line apply the same pure fold to the
//! same entries and so reach the same verdicts without any further agreement.

mod change;
mod compiled;
mod record;
mod spec;
mod state;

pub use change::{ChangeSet, Entry, Rejection, Upsert, Verdict};
pub use compiled::{CompiledConfig, Route, ServicePolicy};
pub use record::{Form, Kind, Record, RecordKey, Version};
pub use spec::{
    BackendServerPolicy, BackendServerState, Class, RouteSpec, ServiceSpec, Spec, SpecError,
};
pub use state::{ConfigState, FoldError, MAX_ENTRY_BYTES, RECENT_CHANGES};

use crate::id::SchemaVersion;

/// Newest schema version that this release understands.
pub const MAX_SCHEMA: SchemaVersion = 2;

/// Judged level of a log that has no `raise_level` entry.
pub const INITIAL_LEVEL: SchemaVersion = 1;
