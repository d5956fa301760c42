//! Messages of the control plane between daemons; rmp-serde bodies.

use std::fmt;
use std::net::SocketAddr;

use baobabreel_core::config::{DocumentVersion, Version};
use baobabreel_core::id::{DaemonId, Offset};
use baobabreel_core::relay::{Attestation, Batch};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::document::PackedDocument;
use super::gossip::GossipWire;

/// A message cannot be encoded or decoded.
#[derive(Debug)]
pub struct CodecError(String);

impl CodecError {
    pub(super) fn new(what: &str, cause: &dyn fmt::Display) -> Self {
        Self(format!("{what}: {cause}"))
    }
}

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
    rmp_serde::to_vec(message).map_err(|e| CodecError::new("failed to encode", &e))
}

/// Decodes a message.
///
/// # Errors
///
/// The bytes are not such a message.
pub fn decode<T: DeserializeOwned>(data: &[u8]) -> Result<T, CodecError> {
    rmp_serde::from_slice(data).map_err(|e| CodecError::new("failed to decode", &e))
}

/// Question for the configuration document of a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentQuery {
    /// Version that the asking daemon has.
    pub known: Option<DocumentVersion>,
    /// Whether it wants a newer document, not only to know of one.
    pub with_document: bool,
}

/// Answer to a [`DocumentQuery`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentAnswer {
    /// Where the answering daemon stands.
    pub position: Position,
    /// Document that is newer than the one of the asking daemon, if it wants it.
    pub newer: Option<PackedDocument>,
    /// Milliseconds since the document of the answering daemon was known to be the newest one of the platform.
    pub confirmed_ms: Option<u64>,
}

/// Notice to a peer that a newer document is here.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentNotice {
    /// Listener for peers of the sender.
    pub from: SocketAddr,
    /// Where the sender stands.
    pub position: Position,
}

/// Streams that daemons fold and pass on.
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

/// Where a daemon stands in the streams.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Position {
    /// Version of the configuration.
    pub config: Version,
    /// Digest of the configuration, its first 8 bytes.
    pub config_digest: u64,
    /// Version of the registry.
    pub members: Version,
}

/// A membership message with the position of its sender.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// Where the sender stands.
    pub position: Position,
    /// Message; absent when there is nothing to answer.
    pub message: Option<GossipWire>,
}

/// Entries of one stream that follow each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchWire {
    /// Generation of the log.
    pub generation: u64,
    /// Offset of the first entry or, without entries, of the next one.
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

/// New entries and statements about the heads, passed along a tree.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PushWire {
    /// Daemon that sends this copy.
    pub from: DaemonId,
    /// Daemon at the root of the tree.
    pub root: DaemonId,
    /// Number of the push at its root; a daemon passes each number on once.
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
    /// Challenge for the next proof.
    pub nonce: u64,
}

/// Request for entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PullWire {
    /// Stream of the entries.
    pub stream: Stream,
    /// Generation of the log that the sender follows; 0: none yet.
    pub generation: u64,
    /// First offset that the sender lacks.
    pub from: Offset,
    /// Challenge for a proof of the head.
    pub nonce: u64,
}

/// Answer to a request for entries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PullAnswerWire {
    /// Entries, possibly none, and a proof of the head.
    Entries {
        /// Entries.
        batch: BatchWire,
        /// Proof of the head of the stream.
        proof: Option<Attestation>,
    },
    /// The entries are no longer kept; a snapshot in their place.
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
    /// The peer is busy; ask again later.
    Busy {
        /// When to ask again, in milliseconds.
        retry_after_ms: u64,
    },
}
