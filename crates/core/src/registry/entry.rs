//! Entries of the log's `members` stream.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::id::{DaemonId, DataCentre, Incarnation, ServiceName};

/// Largest entry of the `members` stream, in bytes.
pub const MAX_MEMBER_ENTRY_BYTES: usize = 4 * 1024;

/// An entry of the `members` stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum MemberEntry {
    /// A daemon registers, or renews its registration.
    Join {
        /// Identifier of the daemon.
        id: DaemonId,
        /// Its incarnation.
        incarnation: Incarnation,
        /// Its data centre.
        data_centre: DataCentre,
        /// Service of the backend server beside it.
        service: ServiceName,
        /// Address of its listener for peers.
        peer_addr: SocketAddr,
    },
    /// A daemon gives up its registration; as an owner it starts no request after sending this.
    Leave {
        /// Identifier of the daemon.
        id: DaemonId,
        /// Its incarnation.
        incarnation: Incarnation,
    },
    /// A daemon is declared dead by another one.
    Evict {
        /// Identifier of the dead daemon.
        id: DaemonId,
        /// Its incarnation.
        incarnation: Incarnation,
    },
}

impl MemberEntry {
    /// Parses an entry; `None` if it is too large, malformed or without a name, which no release
    /// accepts.
    #[must_use]
    pub fn parse(data: &str) -> Option<Self> {
        if data.len() > MAX_MEMBER_ENTRY_BYTES {
            return None;
        }
        let entry: Self = serde_json::from_str(data).ok()?;
        let has_names = match &entry {
            Self::Join { id, service, .. } => !id.is_empty() && !service.is_empty(),
            Self::Leave { id, .. } | Self::Evict { id, .. } => !id.is_empty(),
        };
        has_names.then_some(entry)
    }
}
