//! The types that most users of this crate need.

pub use crate::config::{
    BackendServerPolicy, BackendServerState, ChangeSet, Class, CompiledConfig, ConfigState, Entry,
    Kind, RecordKey, Route, Verdict, Version,
};
pub use crate::error::{ErrorKind, Outcome};
pub use crate::id::{
    BackendServerName, ChangeId, DaemonId, DataCentre, Incarnation, Offset, RouteName,
    SchemaVersion, ServiceName, TenantName,
};
pub use crate::membership::{Member, MemberState};
