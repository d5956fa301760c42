//! Settings of the daemon.
//!
//! The settings file is JSON with comments. It is checked as a whole before anything starts, and
//! every fault is reported with its place, so that an operator mends a file in one round.

mod read;

use std::net::SocketAddr;
use std::time::Duration;

use baobabreel_core::id::{DaemonId, DataCentre, SchemaVersion};

pub use read::{Fault, Faults, parse};

/// Addresses that the daemon listens on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddr,
    /// For other daemons.
    pub peers: SocketAddr,
    /// For announcements of the backend server beside the daemon.
    pub backend: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
}

/// Bounds on requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// Largest request body, in bytes.
    pub body_bytes: u64,
    /// Largest header section, in bytes.
    pub header_bytes: usize,
    /// Most connections of callers.
    pub caller_connections: usize,
    /// Most connections to the backend server.
    pub backend_connections: usize,
}

/// How requests are balanced, admitted and tried again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// As designed.
    Full,
    /// Baseline of measurements, not for production: backend servers take turns, admission and
    /// ejection are off, and tries have no budget.
    Plain,
}

/// Settings of one daemon.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Identifier of the daemon and name of its backend server.
    pub daemon: DaemonId,
    /// Data centre of the daemon.
    pub data_centre: DataCentre,
    /// Address of the platform's log.
    pub log: String,
    /// Addresses to listen on.
    pub listen: Listen,
    /// Address of the peers' listener as others reach it, when it differs.
    pub advertise_peers: Option<SocketAddr>,
    /// Addresses of peers' listeners to ask first.
    pub seeds: Vec<SocketAddr>,
    /// Shared secret of peers and operators.
    pub token: Option<String>,
    /// Bounds on requests.
    pub limits: Limits,
    /// Longest time that running requests get at shutdown.
    pub drain_limit: Duration,
    /// Time between the announcement of a drain and the refusal of new requests.
    pub drain_notice: Duration,
    /// Time for which the log keeps records.
    pub log_retention: Duration,
    /// Worker threads of the runtime.
    pub threads: usize,
    /// How requests are balanced, admitted and tried again.
    pub policy: Policy,
    /// Whether grants of connections to backend servers are asked for and given.
    pub direct_lookups: bool,
    /// Newest schema version that the daemon uses.
    pub max_schema: SchemaVersion,
    /// Share of requests whose spans are written, 0 to 1.
    pub trace_share: f64,
    /// Filter of the log, in the syntax of `tracing-subscriber`.
    pub log_filter: String,
}
