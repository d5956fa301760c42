//! Configuration records, the fold over the log that decides which changes are accepted, and the
//! compiled view that requests use.
//!
//! The order of the log alone decides between conflicting changes. Every daemon and the command
//! line apply the same pure function to the same entries, so they reach the same verdicts without
//! any further agreement.

mod caller_limits;
mod canonical;
mod change;
mod compiled;
mod document;
mod limits;
mod recent;
mod record;
mod references;
mod route_index;
mod snapshot;
mod spec;
mod state;

pub use caller_limits::CallerLimits;
pub use canonical::{Digest, ParseDigestError};
pub use change::{ChangeSet, Entry, ParseEntryError, Rejection, Upsert, Verdict};
pub use compiled::{CompiledConfig, Route, ServicePolicy};
pub use document::{Document, DocumentRoute, DocumentService, DocumentVersion};
pub use limits::{
    MAX_AUTHOR_BYTES, MAX_CHANGE_ID_BYTES, MAX_ENTRY_BYTES, MAX_FORMS, MAX_RECORDS, MAX_REFS,
    MAX_STATE_BYTES, SizeLimit,
};
pub use recent::RECENT_CHANGES;
pub use record::{Form, Kind, Record, RecordKey, Version};
pub use snapshot::{Adoption, Snapshot, SnapshotError};
pub use spec::{
    BackendServerPolicy, BackendServerState, Class, RouteSpec, ServiceSpec, Spec, SpecError,
    WeightedService,
};
pub use state::{ConfigState, FoldError, Hold};

use crate::id::SchemaVersion;

/// Newest schema version that this release understands.
pub const MAX_SCHEMA: SchemaVersion = 2;

/// Schema level of a log without a `raise_level` entry.
pub const INITIAL_LEVEL: SchemaVersion = 1;
