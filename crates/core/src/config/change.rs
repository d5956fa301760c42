//! Entries of the configuration stream and the verdicts on them.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use serde::{Deserialize, Serialize};

use super::record::{Form, RecordKey, Version};
use crate::id::{ChangeId, SchemaVersion};

/// New forms of one record; they replace all earlier forms.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upsert {
    /// Record that is written.
    pub key: RecordKey,
    /// Forms by schema version.
    pub forms: BTreeMap<SchemaVersion, Form>,
}

/// Changes that are accepted or rejected together.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeSet {
    /// Identifier given by the author; a repeat with the same id is the same change.
    pub change_id: ChangeId,
    /// Who made the change.
    pub author: String,
    /// Revision of each touched record that the author last saw; `None`: it must not exist.
    #[serde(default)]
    pub expected: BTreeMap<RecordKey, Option<Version>>,
    /// Records that are written.
    #[serde(default)]
    pub upserts: Vec<Upsert>,
    /// Records that are removed.
    #[serde(default)]
    pub deletes: BTreeSet<RecordKey>,
}

impl ChangeSet {
    /// Keys of all records that the change set writes or removes.
    pub fn touched(&self) -> impl Iterator<Item = &RecordKey> {
        self.upserts
            .iter()
            .map(|upsert| &upsert.key)
            .chain(&self.deletes)
    }
}

/// One entry of the configuration stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum Entry {
    /// Changes of records.
    ChangeSet(ChangeSet),
    /// Makes forms up to a schema version part of the verdict.
    RaiseLevel {
        /// Identifier given by the author.
        change_id: ChangeId,
        /// Who made the change.
        author: String,
        /// New judged level.
        level: SchemaVersion,
    },
}

impl Entry {
    /// Identifier given by the author.
    #[must_use]
    pub fn change_id(&self) -> &ChangeId {
        match self {
            Self::ChangeSet(change) => &change.change_id,
            Self::RaiseLevel { change_id, .. } => change_id,
        }
    }
}

/// Why an entry is rejected.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "reason", rename_all = "snake_case")]
pub enum Rejection {
    /// The entry is not a valid JSON text of a known shape.
    Malformed {
        /// What is wrong.
        detail: String,
    },
    /// The entry is larger than allowed.
    TooLarge {
        /// Size in bytes.
        bytes: usize,
    },
    /// The name of a record breaks the rules.
    BadName {
        /// Key with the bad name.
        key: RecordKey,
    },
    /// A touched record is not at the revision that the author expected.
    Conflict {
        /// Record in conflict.
        key: RecordKey,
        /// Revision that the author expected.
        expected: Option<Version>,
        /// Revision at this point of the log.
        found: Option<Version>,
    },
    /// A record would point at an absent record.
    DanglingReference {
        /// Record that points.
        from: RecordKey,
        /// Record that is absent.
        to: RecordKey,
        /// Schema level at which the reference dangles.
        level: SchemaVersion,
    },
    /// A form at or below the judged level cannot be read.
    UnreadableForm {
        /// Record with the form.
        key: RecordKey,
        /// Schema version of the form.
        schema: SchemaVersion,
        /// What is wrong.
        detail: String,
    },
    /// A record has no form at or below the judged level.
    NoBaseForm {
        /// Record without such a form.
        key: RecordKey,
        /// Judged level.
        level: SchemaVersion,
    },
    /// The judged level cannot be lowered.
    Level {
        /// Level asked for.
        asked: SchemaVersion,
        /// Judged level.
        current: SchemaVersion,
    },
}

impl fmt::Display for Rejection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let revision = |v: &Option<Version>| v.map_or("absent".to_owned(), |v| v.to_string());
        match self {
            Self::Malformed { detail } => write!(f, "malformed: {detail}"),
            Self::TooLarge { bytes } => write!(f, "too large: {bytes} bytes"),
            Self::BadName { key } => write!(f, "bad name: {key}"),
            Self::Conflict {
                key,
                expected,
                found,
            } => write!(
                f,
                "conflict: {key} is at {}, expected {}",
                revision(found),
                revision(expected)
            ),
            Self::DanglingReference { from, to, level } => {
                write!(
                    f,
                    "dangling reference: {from} points at absent {to} at schema {level}"
                )
            }
            Self::UnreadableForm {
                key,
                schema,
                detail,
            } => {
                write!(f, "unreadable form: {key} schema {schema}: {detail}")
            }
            Self::NoBaseForm { key, level } => {
                write!(
                    f,
                    "no base form: {key} has no form at or below schema {level}"
                )
            }
            Self::Level { asked, current } => {
                write!(f, "level: {asked} is not above the current level {current}")
            }
        }
    }
}

/// Decision of the fold on one entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "verdict", rename_all = "snake_case")]
pub enum Verdict {
    /// The change is part of the configuration from this version on.
    Accepted {
        /// Version at which it was accepted.
        version: Version,
    },
    /// Nothing of the change is applied.
    Rejected {
        /// Version at which it was rejected.
        version: Version,
        /// Why.
        reason: Rejection,
    },
    /// The change id was decided before; nothing changes.
    Duplicate {
        /// The first verdict.
        first: Box<Verdict>,
    },
}

impl Verdict {
    /// The first verdict on the change id.
    #[must_use]
    pub fn first(&self) -> &Self {
        match self {
            Self::Duplicate { first } => first.first(),
            other => other,
        }
    }

    /// Whether the change is accepted.
    #[must_use]
    pub fn is_accepted(&self) -> bool {
        matches!(self.first(), Self::Accepted { .. })
    }
}
