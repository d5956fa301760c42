//! Control-plane messages between daemons, sent as MessagePack (rmp-serde) bodies.

use std::fmt;
use std::net::SocketAddr;

use baobabreel_core::config::{DocumentVersion, Version};
use baobabreel_core::id::{DaemonId, Offset};
use baobabreel_core::quarantine::Suspicion;
use baobabreel_core::relay::{Attestation, Batch, Generation};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::call::ConditionWire;
use super::document::PackedDocument;
use super::gossip::GossipWire;
use super::rollout::RolloutNotice;

/// Error: a message cannot be encoded or decoded.
#[derive(Debug)]
pub struct CodecError(String);

impl CodecError {
    pub(super) fn new(context: &str, cause: &dyn fmt::Display) -> Self {
        Self(format!("{context}: {cause}"))
    }
}

impl fmt::Display for CodecError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for CodecError {}

/// Encodes a message as MessagePack.
///
/// # Errors
///
/// A value has no representation in MessagePack.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, CodecError> {
    rmp_serde::to_vec(message).map_err(|e| CodecError::new("failed to encode", &e))
}

/// Decodes a message from MessagePack.
///
/// # Errors
///
/// The bytes are not a message of type `T`.
pub fn decode<T: DeserializeOwned>(data: &[u8]) -> Result<T, CodecError> {
    rmp_serde::from_slice(data).map_err(|e| CodecError::new("failed to decode", &e))
}

/// Asks a peer for its configuration document.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentQuery {
    /// Version of the asking daemon's document, if it has one.
    pub known: Option<DocumentVersion>,
    /// Whether the answer is to carry a newer document, not only its version.
    pub with_document: bool,
}

/// Answer to a [`DocumentQuery`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentAnswer {
    /// Position of the answering daemon.
    pub position: Position,
    /// Document newer than the asking daemon's, if the query wants it.
    pub newer: Option<PackedDocument>,
    /// Milliseconds since the document of the answering daemon was last known to be the platform's
    /// newest one.
    pub confirmed_ms: Option<u64>,
    /// Parts that only deployments with a revocation bound or roll-outs need; left out elsewhere.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub extension: Option<DocumentExtension>,
}

/// Further parts of a [`DocumentAnswer`].
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentExtension {
    /// Milliseconds since a query to the platform was sent whose answer proves that it had no newer document, as far as
    /// the answering daemon knows.
    pub proof_ms: Option<u64>,
    /// Roll-outs that run or ended recently, as far as the answering daemon knows.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub rollouts: Vec<RolloutNotice>,
}

/// Tells a peer that the sender has a newer document.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentNotice {
    /// Address of the sender's listener for peers.
    pub from: SocketAddr,
    /// Position of the sender.
    pub position: Position,
}

/// Tells a peer whether the sender, on which others of its data centre rely, can read the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadingNotice {
    /// Identifier of the sender.
    pub from: DaemonId,
    /// Whether its last attempt to read succeeded.
    pub can_read: bool,
}

/// Tells a peer that the backend server beside the sender is leaving, so that it remembers it for the sender.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingNotice {
    /// Address of the sender for other daemons.
    pub daemon: SocketAddr,
    /// The start of the backend server that is leaving.
    pub condition: ConditionWire,
}

/// Asks a peer what it was told with a [`LeavingNotice`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingQuery {
    /// Address of the daemon beside the backend server.
    pub daemon: SocketAddr,
}

/// Tells a peer what the sender knows of requests that crash backend servers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectNotice {
    /// Requests about which the evidence has changed.
    pub suspects: Vec<SuspectWire>,
}

/// What a daemon knows of one request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectWire {
    /// Digest of the request, in network byte order.
    pub digest: [u8; 16],
    /// Evidence against it; `None` if a backend server has survived it.
    pub suspicion: Option<Suspicion>,
}

/// Streams of the log that daemons apply to their state and forward to each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Stream {
    /// Configuration.
    Config,
    /// Registrations of daemons.
    Members,
}

impl Stream {
    /// Name of the stream in the log.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Config => "config",
            Self::Members => "members",
        }
    }
}

/// Position of a daemon: how far it has applied the streams.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Position {
    /// Version of the configuration.
    pub config: Version,
    /// First 8 bytes of the digest of the configuration.
    pub config_digest: u64,
    /// Version of the registry of daemons.
    pub members: Version,
    /// Newest generation of the platform's store, if the daemon has seen it rise.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub store_generation: Option<Generation>,
}

/// A membership message with the position of its sender.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// Position of the sender.
    pub position: Position,
    /// Message; absent when there is nothing to answer.
    pub message: Option<GossipWire>,
}

/// Consecutive entries of one stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchWire {
    /// Generation of the log.
    pub generation: u64,
    /// Offset of the first entry or, if there are no entries, of the next one.
    pub first: Offset,
    /// Texts of the entries.
    pub entries: Vec<String>,
}

impl From<&Batch> for BatchWire {
    fn from(batch: &Batch) -> Self {
        Self {
            generation: batch.generation,
            first: batch.first,
            entries: batch.entries.iter().map(|entry| String::from(&**entry)).collect(),
        }
    }
}

impl From<BatchWire> for Batch {
    fn from(batch: BatchWire) -> Self {
        Self {
            generation: batch.generation,
            first: batch.first,
            entries: batch.entries.into_iter().map(Into::into).collect(),
        }
    }
}

/// New entries and proofs of the stream heads, forwarded along a tree of daemons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PushWire {
    /// Daemon that sends this copy.
    pub from: DaemonId,
    /// Daemon at the root of the tree.
    pub root: DaemonId,
    /// Sequence number of the push at its root; a daemon forwards each number once.
    pub round: u64,
    /// Entries of stream `config`.
    pub config: BatchWire,
    /// Entries of stream `members`.
    pub members: BatchWire,
    /// Proof of the head of stream `config`.
    pub config_proof: Option<Attestation>,
    /// Proof of the head of stream `members`.
    pub members_proof: Option<Attestation>,
}

/// Answer to a push.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PushAnswer {
    /// Challenge that the next proof has to answer.
    pub nonce: u64,
}

/// Requests entries of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PullWire {
    /// Stream of the entries.
    pub stream: Stream,
    /// Generation of the log that the sender follows; 0 if none yet.
    pub generation: u64,
    /// Offset of the first entry that the sender lacks.
    pub from: Offset,
    /// Challenge that a proof of the head has to answer.
    pub nonce: u64,
}

/// Answer to a [`PullWire`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PullAnswerWire {
    /// Entries, possibly none, and a proof of the head of the stream.
    Entries {
        /// The entries.
        batch: BatchWire,
        /// Proof of the head of the stream.
        proof: Option<Attestation>,
    },
    /// A snapshot in place of the entries, which are no longer kept.
    Snapshot {
        /// Text of the snapshot.
        data: String,
    },
    /// This peer does not keep the entries; the log may still have them.
    Start {
        /// Generation of the log.
        generation: u64,
        /// First offset that this peer keeps.
        first: Offset,
    },
    /// The peer is busy; the request is to be repeated later.
    Busy {
        /// Time to wait before the next request, in milliseconds.
        retry_after_ms: u64,
    },
}
