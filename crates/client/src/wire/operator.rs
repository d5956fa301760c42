//! JSON documents of the operators' endpoints.

use baobabreel_core::config::{BackendServerState, Class, Record, RecordKey, Version};
use baobabreel_core::id::{
    BackendServerName, DaemonId, DataCentre, Incarnation, Release, RouteName, SchemaVersion,
    ServiceName,
};
use baobabreel_core::membership::MemberState;
use serde::{Deserialize, Serialize};

/// State of a daemon's contact with the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogDoc {
    /// Whether the daemon follows the log for its data centre.
    pub relay: bool,
    /// Milliseconds since the head of stream `config` was last confirmed; absent if never.
    pub config_confirmed_ms: Option<u64>,
    /// Milliseconds since the head of stream `members` was last confirmed; absent if never.
    pub members_confirmed_ms: Option<u64>,
    /// Error of the last request to the log, if it failed.
    pub error: Option<String>,
}

/// The backend server beside a daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendServerDoc {
    /// Address of the backend server.
    pub address: String,
    /// Slots that the backend server announced.
    pub slots: u32,
    /// Calls that hold a slot.
    pub running: u32,
    /// Calls in the queue.
    pub queued: u32,
}

/// State of a daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusDoc {
    /// Identifier of the daemon.
    pub daemon: DaemonId,
    /// Start time in milliseconds since the Unix epoch.
    pub incarnation: Incarnation,
    /// Data centre of the daemon.
    pub data_centre: DataCentre,
    /// Service of its backend server.
    pub service: Option<ServiceName>,
    /// State of the daemon and its backend server.
    pub state: MemberState,
    /// Whether the daemon serves callers.
    pub serving: bool,
    /// Version of the configuration in force.
    pub version: Version,
    /// Digest of the configuration in force, hexadecimal.
    pub digest: String,
    /// Schema level at which changes are judged.
    pub level: SchemaVersion,
    /// Newest schema version that the daemon understands.
    pub max_schema: SchemaVersion,
    /// Why the daemon stays on its last complete version, if it does.
    pub held: Option<String>,
    /// Forms that are not used because they cannot be read, by record key and schema version.
    pub passed_over: Vec<(RecordKey, SchemaVersion)>,
    /// Number of known members that have neither died nor left.
    pub members: usize,
    /// Contact with the log.
    pub log: LogDoc,
    /// The backend server beside the daemon.
    pub backend_server: Option<BackendServerDoc>,
}

/// A member as a daemon sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberDoc {
    /// Identifier of the daemon.
    pub id: DaemonId,
    /// Start time in milliseconds since the Unix epoch.
    pub incarnation: Incarnation,
    /// Data centre of the daemon.
    pub data_centre: DataCentre,
    /// Service of its backend server.
    pub service: Option<ServiceName>,
    /// Address of its listener for peers.
    pub peer_addr: String,
    /// State of the daemon and its backend server.
    pub state: MemberState,
    /// Slots of its backend server.
    pub slots: u32,
    /// Release of its backend server, once the daemon that answers knows it.
    #[serde(default)]
    pub release: Option<Release>,
    /// State that the operators' record asks for, if there is one.
    pub policy: Option<BackendServerState>,
}

/// A configuration record and the form in use.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RecordDoc {
    /// Key of the record.
    pub key: RecordKey,
    /// The record.
    pub record: Record,
    /// Schema version of the form in use.
    pub schema_in_use: Option<SchemaVersion>,
}

/// Configuration records of a daemon.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RecordsDoc {
    /// Version of the configuration in force.
    pub version: Version,
    /// Records by key.
    pub records: Vec<RecordDoc>,
}

/// A backend server that a request could go to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CandidateDoc {
    /// Name of the backend server.
    pub name: BackendServerName,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Its state.
    pub state: MemberState,
    /// Whether new requests may be sent to it.
    pub able: bool,
    /// Why it is able or not, in words.
    pub reason: String,
}

/// Which record and backend server a request would use, and why.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplainDoc {
    /// Daemon that answers.
    pub daemon: DaemonId,
    /// Version of the configuration in force.
    pub version: Version,
    /// Route that matches.
    pub route: Option<RouteName>,
    /// Schema version of the form in use.
    pub schema: Option<SchemaVersion>,
    /// Service that would get the request.
    pub service: Option<ServiceName>,
    /// Class of the request.
    pub class: Option<Class>,
    /// Owner of the idempotency key, if one was given.
    pub owner: Option<DaemonId>,
    /// Backend server that would be chosen now.
    pub chosen: Option<BackendServerName>,
    /// All backend servers of the service.
    pub candidates: Vec<CandidateDoc>,
    /// Name of the error that a caller would get, if any.
    pub error: Option<String>,
}
