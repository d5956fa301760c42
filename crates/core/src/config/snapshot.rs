//! Snapshots: the whole content of the fold at one version.
//!
//! A snapshot is a function of the log's prefix, so two readers that folded the same entries have
//! the same snapshot, byte for byte, and can compare its digest.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

use super::canonical::Digest;
use super::change::Verdict;
use super::record::{Record, RecordKey, Version};
use super::state::ConfigState;
use crate::id::{ChangeId, SchemaVersion};

/// Earlier log generations whose ends are kept. A log is replaced at most a few times in its life.
pub(super) const MAX_LINEAGE: usize = 64;

/// Content of the fold after the entry at `version`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Snapshot {
    /// Version after the last entry that is part of the snapshot.
    pub version: Version,
    /// Judged schema level.
    pub level: SchemaVersion,
    /// Last version of each earlier log generation that this state continues, the oldest first.
    pub lineage: Vec<Version>,
    /// Records by key.
    pub records: BTreeMap<RecordKey, Record>,
    /// Recent change ids with their first verdicts, the oldest first.
    pub recent: Vec<(ChangeId, Verdict)>,
}

/// The same fields, borrowed; the field order must be that of [`Snapshot`].
#[derive(Serialize)]
pub(super) struct SnapshotRef<'a> {
    pub(super) version: Version,
    pub(super) level: SchemaVersion,
    pub(super) lineage: &'a [Version],
    pub(super) records: &'a BTreeMap<RecordKey, Record>,
    pub(super) recent: Vec<(&'a ChangeId, &'a Verdict)>,
}

/// Entry of the stream of snapshots.
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Sealed {
    digest: Digest,
    snapshot: Snapshot,
}

/// A snapshot cannot be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SnapshotError {
    /// The text is not a sealed snapshot, or its content breaks the rules of the fold.
    Invalid {
        /// What is wrong.
        detail: String,
    },
    /// The judged level is beyond this release.
    Beyond {
        /// Judged level of the snapshot.
        level: SchemaVersion,
        /// Newest schema version that this reader understands.
        max_schema: SchemaVersion,
    },
    /// The snapshot and the reader's own state differ where they must be the same.
    Differs {
        /// Version of the reader's own state.
        version: Version,
        /// Digest of the reader's own state.
        own: Digest,
        /// Digest of the snapshot.
        found: Digest,
    },
    /// The new log generation does not contain everything that the reader has.
    NotAsNew {
        /// Version of the reader's own state.
        own: Version,
        /// Where the new generation continued the reader's generation, when it did.
        continued: Option<Version>,
    },
}

impl fmt::Display for SnapshotError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("failed to use a snapshot: ")?;
        match self {
            Self::Invalid { detail } => f.write_str(detail),
            Self::Beyond { level, max_schema } => {
                write!(f, "schema level {level} is above {max_schema}")
            }
            Self::Differs { version, own, found } => {
                write!(f, "digest {found} differs from own {own} at {version}")
            }
            Self::NotAsNew { own, continued: Some(continued) } => {
                write!(f, "the new generation continues {continued}, which is before own {own}")
            }
            Self::NotAsNew { own, continued: None } => {
                write!(f, "the new generation does not continue own generation {}", own.generation)
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

    /// Text for the stream of snapshots: the canonical JSON together with its digest.
    #[must_use]
    pub fn seal(&self) -> String {
        let sealed = Sealed { digest: self.digest(), snapshot: self.clone() };
        serde_json::to_string(&sealed).expect("a snapshot has only text keys")
    }

    /// Reads a text made by [`Snapshot::seal`].
    ///
    /// # Errors
    ///
    /// [`SnapshotError::Invalid`] when the text has another shape or another digest.
    pub fn open(text: &str) -> Result<Self, SnapshotError> {
        let invalid = |detail| SnapshotError::Invalid { detail };
        let sealed: Sealed = serde_json::from_str(text).map_err(|e| invalid(e.to_string()))?;
        let found = sealed.snapshot.digest();
        if found != sealed.digest {
            let stated = sealed.digest;
            return Err(invalid(format!("digest is {found}, stated is {stated}")));
        }
        Ok(sealed.snapshot)
    }

    /// The same content as the start of a later log generation.
    ///
    /// The first such snapshot in the new generation's stream of snapshots is the start for all
    /// readers. Records keep their revisions, which name the earlier generation.
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

/// What became of a snapshot that was offered to a reader.
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
    /// A snapshot of a later log generation is taken only when that generation continues everything
    /// that this state has; otherwise the state holds.
    ///
    /// # Errors
    ///
    /// [`SnapshotError`] when the snapshot cannot be used; the content of the state is unchanged.
    pub fn adopt(&mut self, snapshot: Snapshot) -> Result<Adoption, SnapshotError> {
        let own = self.version();
        if snapshot.version.generation > own.generation {
            self.notice_generation(snapshot.version.generation);
            self.check_continuation(&snapshot)?;
        } else if snapshot.version < own {
            return Ok(Adoption::Older);
        } else if snapshot.version == own {
            self.check_same(&self.digest(), &snapshot)?;
            return Ok(Adoption::Same);
        } else if snapshot.lineage != self.lineage() {
            return Err(self.differs(&self.digest(), &snapshot));
        }
        *self = Self::restore(snapshot, self.max_schema())?;
        Ok(Adoption::Replaced)
    }

    fn check_continuation(&self, snapshot: &Snapshot) -> Result<(), SnapshotError> {
        let own = self.version();
        let of_own = |v: &&Version| v.generation == own.generation;
        let continued = snapshot.lineage.iter().find(of_own).copied();
        if continued.is_none_or(|continued| continued < own) {
            return Err(SnapshotError::NotAsNew { own, continued });
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
        Err(self.differs(own, snapshot))
    }

    fn differs(&self, own: &Digest, snapshot: &Snapshot) -> SnapshotError {
        SnapshotError::Differs { version: self.version(), own: *own, found: snapshot.digest() }
    }
}
