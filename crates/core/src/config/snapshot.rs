//! Snapshots: the complete configuration state at one version.
//!
//! A snapshot depends only on the log up to its version, so two readers that folded the same
//! entries have byte-identical snapshots and can compare their digests.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

use super::canonical::Digest;
use super::change::Verdict;
use super::record::{Record, RecordKey, Version};
use super::state::ConfigState;
use crate::id::{ChangeId, SchemaVersion};

/// Number of earlier log generations whose last versions are kept. A log is replaced at most a few
/// times in its life.
pub(super) const MAX_LINEAGE: usize = 64;

/// Configuration state after the entry at `version`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Snapshot {
    /// Version of the last entry that is folded into the snapshot; offset 0 at the start of a log
    /// generation.
    pub version: Version,
    /// Schema level.
    pub level: SchemaVersion,
    /// Last version of each earlier log generation that this state continues, the oldest first.
    pub lineage: Vec<Version>,
    /// Records by key.
    pub records: BTreeMap<RecordKey, Record>,
    /// Recent change ids with their first verdicts, the oldest first.
    pub recent: Vec<(ChangeId, Verdict)>,
}

/// Borrowed [`Snapshot`]. The digest depends on the field order, so it must be the same.
#[derive(Serialize)]
pub(super) struct SnapshotRef<'a> {
    pub(super) version: Version,
    pub(super) level: SchemaVersion,
    pub(super) lineage: &'a [Version],
    pub(super) records: &'a BTreeMap<RecordKey, Record>,
    pub(super) recent: Vec<(&'a ChangeId, &'a Verdict)>,
}

/// Entry of the snapshot stream: a snapshot with its digest, which detects damage.
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct EncodedSnapshot {
    digest: Digest,
    snapshot: Snapshot,
}

/// Why a snapshot cannot be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SnapshotError {
    /// The text is not a snapshot with a matching digest, or its content could not result from a
    /// log.
    Invalid {
        /// What is wrong.
        detail: String,
    },
    /// The schema level is not supported by this release.
    UnsupportedLevel {
        /// Schema level of the snapshot.
        level: SchemaVersion,
        /// Newest schema version that this reader understands.
        max_schema: SchemaVersion,
    },
    /// The digests of the snapshot and the reader's state differ where they must be equal.
    DigestMismatch {
        /// Version of the reader's own state.
        version: Version,
        /// Digest of the reader's own state.
        own: Digest,
        /// Digest of the snapshot.
        found: Digest,
    },
    /// The new log generation does not include the whole history of the reader's state.
    MissingHistory {
        /// Version of the reader's own state.
        own: Version,
        /// Version of the reader's generation that the new one continues, if any.
        continued: Option<Version>,
    },
}

impl fmt::Display for SnapshotError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("failed to use a snapshot: ")?;
        match self {
            Self::Invalid { detail } => f.write_str(detail),
            Self::UnsupportedLevel { level, max_schema } => {
                write!(f, "schema level {level} is above {max_schema}")
            }
            Self::DigestMismatch { version, own, found } => {
                write!(f, "digest {found} does not match own digest {own} at version {version}")
            }
            Self::MissingHistory { own, continued: Some(continued) } => {
                write!(f, "the new log generation continues {continued}, which is before own {own}")
            }
            Self::MissingHistory { own, continued: None } => {
                write!(
                    f,
                    "the new log generation does not continue own log generation {}",
                    own.generation
                )
            }
        }
    }
}

impl std::error::Error for SnapshotError {}

impl Snapshot {
    /// SHA-256 of the canonical JSON.
    #[must_use]
    pub fn digest(&self) -> Digest {
        Digest::of(self)
    }

    /// Text for the snapshot stream: the canonical JSON together with its digest.
    #[must_use]
    pub fn encode(&self) -> String {
        let encoded = EncodedSnapshot { digest: self.digest(), snapshot: self.clone() };
        serde_json::to_string(&encoded).expect("snapshot keys serialize as strings")
    }

    /// Reads a text made by [`Snapshot::encode`].
    ///
    /// # Errors
    ///
    /// [`SnapshotError::Invalid`] when the text cannot be parsed or its digest does not match.
    pub fn decode(text: &str) -> Result<Self, SnapshotError> {
        let invalid = |detail| SnapshotError::Invalid { detail };
        let encoded: EncodedSnapshot =
            serde_json::from_str(text).map_err(|e| invalid(e.to_string()))?;
        let found = encoded.snapshot.digest();
        if found != encoded.digest {
            let stated = encoded.digest;
            return Err(invalid(format!("the digest is {found}, but the text states {stated}")));
        }
        Ok(encoded.snapshot)
    }

    /// The same content as the start of a later log generation.
    ///
    /// All readers start from the first such snapshot in the new generation's snapshot stream.
    /// Records keep their revisions, which name the earlier generation.
    #[must_use]
    pub fn continue_in(&self, generation: u64) -> Self {
        let mut next = self.clone();
        next.lineage.push(self.version);
        if next.lineage.len() > MAX_LINEAGE {
            next.lineage.remove(0);
        }
        next.version = Version { generation, offset: 0 };
        next
    }
}

/// Outcome of [`ConfigState::adopt`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Adoption {
    /// The reader's state is now that of the snapshot.
    Replaced,
    /// The reader had the same state.
    Same,
    /// The reader's state is newer; nothing was compared.
    Older,
}

impl ConfigState {
    /// Replaces this state by a newer snapshot, or compares digests at the same version.
    ///
    /// A snapshot of a later log generation is adopted only when that generation includes the whole
    /// history of this state; otherwise the state is held at its version.
    ///
    /// # Errors
    ///
    /// [`SnapshotError`] when the snapshot cannot be used; the content of the state is unchanged.
    pub fn adopt(&mut self, snapshot: Snapshot) -> Result<Adoption, SnapshotError> {
        let own = self.version();
        if snapshot.version.generation > own.generation {
            self.hold_on_newer_generation(snapshot.version.generation);
            self.check_continuation(&snapshot)?;
        } else if snapshot.version < own {
            return Ok(Adoption::Older);
        } else if snapshot.version == own {
            self.check_same(&self.digest(), &snapshot)?;
            return Ok(Adoption::Same);
        } else if snapshot.lineage != self.lineage() {
            return Err(self.digest_mismatch(&self.digest(), &snapshot));
        }
        *self = Self::restore(snapshot, self.max_schema())?;
        Ok(Adoption::Replaced)
    }

    fn check_continuation(&self, snapshot: &Snapshot) -> Result<(), SnapshotError> {
        let own = self.version();
        let is_own_generation = |v: &&Version| v.generation == own.generation;
        let continued = snapshot.lineage.iter().find(is_own_generation).copied();
        if continued.is_none_or(|continued| continued < own) {
            return Err(SnapshotError::MissingHistory { own, continued });
        }
        let at_own_version = snapshot.version.offset == 0 && snapshot.lineage.last() == Some(&own);
        if at_own_version {
            let expected = self.snapshot().continue_in(snapshot.version.generation);
            self.check_same(&expected.digest(), snapshot)?;
        }
        Ok(())
    }

    fn check_same(&self, own: &Digest, snapshot: &Snapshot) -> Result<(), SnapshotError> {
        if snapshot.digest() == *own {
            return Ok(());
        }
        Err(self.digest_mismatch(own, snapshot))
    }

    fn digest_mismatch(&self, own: &Digest, snapshot: &Snapshot) -> SnapshotError {
        SnapshotError::DigestMismatch {
            version: self.version(),
            own: *own,
            found: snapshot.digest(),
        }
    }
}
