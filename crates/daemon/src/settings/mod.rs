//! Settings of the daemon.
//!
//! The settings file is JSON with comments. It is validated as a whole before anything starts, and all
//! errors are reported with their lines, so that an operator can correct the file in one go.

mod read;

use std::net::SocketAddr;
use std::time::Duration;

use baobabreel_core::id::{DaemonId, DataCentre, SchemaVersion, ServiceName};

use crate::dialect::Dialect;

pub use read::{InvalidSetting, InvalidSettings, parse};

/// Addresses that the daemon listens on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listen {
    /// Listener for callers.
    pub callers: SocketAddr,
    /// Listener for other daemons.
    pub peers: SocketAddr,
    /// Listener for announcements of the backend server beside the daemon.
    pub backend: SocketAddr,
    /// Listener for operators.
    pub operators: SocketAddr,
}

/// Limits on requests and connections.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// Largest request body, in bytes.
    pub body_bytes: u64,
    /// Largest header section, in bytes.
    pub header_bytes: usize,
    /// Most concurrent connections of callers.
    pub caller_connections: usize,
    /// Most concurrent connections of other daemons.
    pub peer_connections: usize,
    /// Most concurrent connections to the backend server.
    pub backend_connections: usize,
    /// Memory that the process may use, in bytes; `None` if it is not known.
    pub memory_bytes: Option<u64>,
    /// File descriptors that the process may open; `None` if it is not known.
    pub descriptors: Option<usize>,
    /// Rate of the instance's link, in bits per second; `None` if it is not known.
    pub link_bits_per_sec: Option<u64>,
}

/// Revocation of API keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RevocationSettings {
    /// Time after the acknowledgement of a configuration from which no request with a key that it took away may run.
    pub bound: Duration,
}

/// Accuracy of the quotas of tenants, which all daemons share.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaSettings {
    /// Time over which the requests of a tenant are summed.
    pub window: Duration,
    /// Part of the requests that a quota allows in a window that may be sent beyond it.
    pub overage: f64,
    /// Number of requests in a window that may be sent beyond that.
    pub slack: f64,
}

/// Bounds of roll-outs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RolloutSettings {
    /// Part of the requests of a service that a release which may be bad gets at most.
    pub canary_share: f64,
    /// Number of requests that it may get beyond that.
    pub canary_slack: f64,
    /// Time after which a release that has shown to be bad must get no request.
    pub rollback_within: Duration,
}

/// How requests are balanced, admitted and retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// Production policy, with load balancing, admission control, ejection and retry budgets.
    Full,
    /// Baseline for measurements, not for production: round-robin balancing without admission control or
    /// ejection, and retries without a budget.
    Plain,
}

/// Backend server with a fixed address from the settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StaticBackend {
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Address that it listens on.
    pub address: SocketAddr,
}

/// Where the configuration comes from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConfigSource {
    /// Changes from the platform's log, which the daemon applies in order.
    Log {
        /// Address of the log.
        url: String,
        /// Retention time of the records in the log.
        retention: Duration,
    },
    /// Complete documents from the platform adapter or from other daemons.
    Documents,
}

/// Limits on retries.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetrySettings {
    /// Retry budget as a share of the requests that may reach a second backend server, 0 to 1.
    pub share: f64,
    /// Capacity of the retry budget.
    pub burst: RetryBurst,
    /// Most further daemons to try when the chosen backend server is no longer at its daemon. Such a request
    /// has not reached a backend server, so it does not count against the budget.
    pub max_misdirected_retries: u32,
}

/// Largest burst of retries, and the scope that shares it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryBurst {
    /// Retries for each route of a daemon, and also for the daemon as a whole.
    Daemon(u32),
    /// Retries for each service across the whole mesh.
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
    /// Protocol towards callers and backend servers.
    pub dialect: Dialect,
    /// Backend server beside the daemon, if the settings give its address.
    pub backend: Option<StaticBackend>,
    /// Addresses to listen on.
    pub listen: Listen,
    /// Address at which other daemons reach the peers' listener, if it differs from the one listened on.
    pub advertise_peers: Option<SocketAddr>,
    /// Addresses of other daemons' peer listeners to contact first when joining the mesh.
    pub seeds: Vec<SocketAddr>,
    /// Shared secret of peers and operators.
    pub token: Option<String>,
    /// Limits on requests and connections.
    pub limits: Limits,
    /// Longest time for running requests to finish at shutdown.
    pub drain_limit: Duration,
    /// Time after the drain limit in which all connections are closed.
    pub drain_close: Duration,
    /// Time between the announcement of a drain and the refusal of new requests.
    pub drain_notice: Duration,
    /// Time after the announcement of a drain until which requests of callers are taken that may outlast the drain.
    pub drain_long_until: Duration,
    /// Time between the announcement of a drain and the refusal of new calls to the backend server
    /// beside the daemon; at most `drain_notice`.
    pub host_notice: Duration,
    /// Worker threads of the runtime.
    pub threads: usize,
    /// How requests are balanced, admitted and retried.
    pub policy: Policy,
    /// Limits on retries.
    pub retry: RetrySettings,
    /// Revocation of API keys; `None` if it may take as long as that of any other part of a configuration.
    pub revocation: Option<RevocationSettings>,
    /// Quotas of tenants; `None` if they are not kept.
    pub quota: Option<QuotaSettings>,
    /// Roll-outs; `None` if there are none.
    pub rollout: Option<RolloutSettings>,
    /// Newest schema version that the daemon uses.
    pub max_schema: SchemaVersion,
    /// Share of requests whose spans are written, 0 to 1.
    pub trace_share: f64,
    /// Log filter in the syntax of `tracing-subscriber`.
    pub log_filter: String,
}

impl Settings {
    /// Returns the address of the platform's log, if the configuration comes from it.
    #[must_use]
    pub fn log_url(&self) -> Option<&str> {
        match &self.source {
            ConfigSource::Log { url, .. } => Some(url),
            ConfigSource::Documents => None,
        }
    }

    /// Returns the retention time of the platform's log, if the configuration comes from it.
    #[must_use]
    pub fn log_retention(&self) -> Option<Duration> {
        match self.source {
            ConfigSource::Log { retention, .. } => Some(retention),
            ConfigSource::Documents => None,
        }
    }
}
