//! Settings of the daemon.
//!
//! The settings file is JSON with comments. It is checked as a whole before anything starts, and
//! every fault is reported with its place, so that an operator mends a file in one round.

mod read;

use std::net::SocketAddr;
use std::time::Duration;

use baobabreel_core::id::{DaemonId, DataCentre, SchemaVersion, ServiceName};

use crate::dialect::Dialect;

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
    /// Most connections of other daemons at once.
    pub peer_connections: usize,
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

/// Backend server that the settings name.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StaticBackend {
    /// Its service.
    pub service: ServiceName,
    /// Its address.
    pub address: SocketAddr,
}

/// Where the configuration comes from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConfigSource {
    /// Changes in the platform's log, which the daemon folds.
    Log {
        /// Address of the log.
        url: String,
        /// Time for which the log keeps records.
        retention: Duration,
    },
    /// Whole documents that the adapter of the platform and other daemons hand over.
    Documents,
}

/// How far requests are tried again.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetrySettings {
    /// Share of the requests that may reach a second backend server, 0 to 1.
    pub share: f64,
    /// Who has how much to spend at once.
    pub burst: RetryBurst,
    /// Further daemons that are asked because the chosen backend server is not there any more. Such a
    /// request has not reached a backend server and takes nothing from the budget.
    pub max_misdirected_retries: u32,
}

/// Who has how much to spend on retries at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryBurst {
    /// This many for each route of each daemon, and for each daemon.
    Daemon(u32),
    /// This many for each service in the whole mesh.
    Mesh(u32),
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self { share: 0.1, burst: RetryBurst::Daemon(10), max_misdirected_retries: 0 }
    }
}

/// Settings of one daemon.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Identifier of the daemon and name of its backend server.
    pub daemon: DaemonId,
    /// Data centre of the daemon.
    pub data_centre: DataCentre,
    /// Where the configuration comes from.
    pub source: ConfigSource,
    /// Headers towards callers and backend servers.
    pub dialect: Dialect,
    /// Backend server beside the daemon, if the settings name it.
    pub backend: Option<StaticBackend>,
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
    /// Time between the announcement of a drain and the refusal of new calls to the backend server
    /// beside the daemon; at most `drain_notice`.
    pub host_notice: Duration,
    /// Worker threads of the runtime.
    pub threads: usize,
    /// How requests are balanced, admitted and tried again.
    pub policy: Policy,
    /// How far requests are tried again.
    pub retry: RetrySettings,
    /// Newest schema version that the daemon uses.
    pub max_schema: SchemaVersion,
    /// Share of requests whose spans are written, 0 to 1.
    pub trace_share: f64,
    /// Filter of the log, in the syntax of `tracing-subscriber`.
    pub log_filter: String,
}

impl Settings {
    /// Address of the platform's log, if the configuration comes from it.
    #[must_use]
    pub fn log_url(&self) -> Option<&str> {
        match &self.source {
            ConfigSource::Log { url, .. } => Some(url),
            ConfigSource::Documents => None,
        }
    }

    /// Time for which the platform's log keeps records, if the configuration comes from it.
    #[must_use]
    pub fn log_retention(&self) -> Option<Duration> {
        match self.source {
            ConfigSource::Log { retention, .. } => Some(retention),
            ConfigSource::Documents => None,
        }
    }
}
