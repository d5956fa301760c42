//! Messages of the control plane between daemons; rmp-serde bodies.

use std::fmt;
use std::net::SocketAddr;

use baobabreel_core::config::Version;
use baobabreel_core::id::{DaemonId, DataCentre, Incarnation, Offset, ServiceName};
use baobabreel_core::membership::{Member, MemberState};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// A message cannot be encoded or decoded.
#[derive(Debug)]
pub struct CodecError(String);

impl fmt::Display for CodecError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for CodecError {}

/// Encodes a message.
///
/// # Errors
///
/// A value has no representation.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, CodecError> {
    rmp_serde::to_vec(message).map_err(|e| CodecError(format!("failed to encode: {e}")))
}

/// Decodes a message.
///
/// # Errors
///
/// The bytes are not such a message.
pub fn decode<T: DeserializeOwned>(data: &[u8]) -> Result<T, CodecError> {
    rmp_serde::from_slice(data).map_err(|e| CodecError(format!("failed to decode: {e}")))
}

/// A member on the wire.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberWire {
    /// Identifier of the daemon.
    pub id: DaemonId,
    /// Start time of the daemon in milliseconds since the Unix epoch.
    pub incarnation: Incarnation,
    /// Counts the updates within one incarnation.
    pub sequence: u64,
    /// Data centre of the daemon.
    pub data_centre: DataCentre,
    /// Service of the backend server.
    pub service: Option<ServiceName>,
    /// Address of the listener for peers.
    pub peer_addr: SocketAddr,
    /// State of the daemon and its backend server.
    pub state: MemberState,
    /// Slots of the backend server.
    pub slots: u32,
}

impl From<Member> for MemberWire {
    fn from(member: Member) -> Self {
        Self {
            id: member.id,
            incarnation: member.incarnation,
            sequence: member.sequence,
            data_centre: member.data_centre,
            service: member.service,
            peer_addr: member.peer_addr,
            state: member.state,
            slots: member.slots,
        }
    }
}

impl From<MemberWire> for Member {
    fn from(member: MemberWire) -> Self {
        Self {
            id: member.id,
            incarnation: member.incarnation,
            sequence: member.sequence,
            data_centre: member.data_centre,
            service: member.service,
            peer_addr: member.peer_addr,
            state: member.state,
            slots: member.slots,
        }
    }
}

/// Probe of a member and also the answer to one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ProbeWire {
    /// The sender about itself.
    pub from: MemberWire,
    /// Version of the sender's configuration.
    pub version: Version,
    /// Digest of the sender's configuration.
    pub config_digest: u64,
    /// Offset of the sender's fold of stream `members`.
    pub members_offset: Offset,
    /// Digest of the sender's table of members.
    pub members_digest: u64,
    /// Digests of the parts of that table, when the whole ones differ.
    pub buckets: Vec<u64>,
    /// State changes of members.
    pub updates: Vec<MemberWire>,
}

/// Request to probe another member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProbeRequestWire {
    /// Daemon to probe.
    pub target: DaemonId,
    /// Its listener for peers.
    pub target_addr: SocketAddr,
}

/// An entry of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamEntry {
    /// Offset in the stream.
    pub offset: Offset,
    /// Text of the entry.
    pub data: String,
}

/// Statement about the head of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeadProof {
    /// Generation of the log.
    pub generation: u64,
    /// Offset that the next append would have got.
    pub next: Offset,
    /// Upper bound of the age of the statement, in milliseconds.
    pub age_ms: u64,
}

/// Entries pushed along the tree.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PushWire {
    /// Stream of the entries.
    pub stream: String,
    /// Generation of the log.
    pub generation: u64,
    /// Daemon at the root of the tree.
    pub root: DaemonId,
    /// Entries in order of their offsets.
    pub entries: Vec<StreamEntry>,
}

/// Answer to a push.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PushAnswer {
    /// Next offset that the receiver needs.
    pub next: Offset,
}

/// Request for entries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PullWire {
    /// Stream of the entries.
    pub stream: String,
    /// Generation of the log that the sender follows.
    pub generation: u64,
    /// First offset that the sender needs.
    pub from: Offset,
}

/// Answer to a request for entries.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PullAnswer {
    /// Entries, and what is known about the head.
    Entries {
        /// Generation of the log.
        generation: u64,
        /// Entries in order of their offsets.
        entries: Vec<StreamEntry>,
        /// Newest statement about the head of the stream.
        proof: Option<HeadProof>,
    },
    /// The entries are no longer kept; a snapshot in place of them, as canonical JSON.
    Snapshot {
        /// Text of the snapshot.
        data: String,
    },
    /// The peer has nothing to offer.
    Nothing,
    /// The peer is busy; ask again later.
    Busy {
        /// When to ask again, in milliseconds.
        retry_after_ms: u64,
    },
}
