//! Messages about granted connections to backend servers.

use std::net::SocketAddr;

use baobabreel_core::id::{DaemonId, Incarnation, ServiceName};
use serde::{Deserialize, Serialize};

/// Question of an entry daemon for a grant, its renewal or its return.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantQuery {
    /// Daemon that asks.
    pub holder: DaemonId,
    /// Its incarnation.
    pub holder_incarnation: Incarnation,
    /// Incarnation of the daemon that is asked.
    pub incarnation: Incarnation,
    /// Service of the backend server.
    pub service: ServiceName,
    /// Number of the question; it grows within an incarnation of the holder.
    pub sequence: u64,
    /// Whether further calls are wanted.
    pub want: bool,
    /// Granted calls in flight.
    pub busy: u32,
}

/// Answer to a [`GrantQuery`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantAnswer {
    /// Connections that are granted; 0 when there is no grant.
    pub connections: u32,
    /// Address of the backend server, when there is a grant.
    pub address: Option<SocketAddr>,
}
