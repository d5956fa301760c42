//! Entries of the configuration stream and the verdicts on them.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use serde::{Deserialize, Deserializer, Serialize};

use super::limits::SizeLimit;
use super::record::{Form, RecordKey, Version};
use crate::id::{ChangeId, SchemaVersion};

/// Creates a record or replaces all forms of an existing one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upsert {
    /// Record that is written.
    pub key: RecordKey,
    /// Forms by schema version.
    #[serde(deserialize_with = "read_forms")]
    pub forms: BTreeMap<SchemaVersion, Form>,
}

/// Reads forms by schema version.
///
/// Inside a tagged enum serde does not turn object keys into numbers, so they are read as text.
fn read_forms<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<BTreeMap<SchemaVersion, Form>, D::Error> {
    let forms: BTreeMap<String, Form> = BTreeMap::deserialize(deserializer)?;
    let read = |(key, form): (String, Form)| {
        let schema = key.parse::<SchemaVersion>().ok();
        let schema = schema.filter(|schema| schema.to_string() == key);
        let schema = schema.ok_or_else(|| {
            serde::de::Error::custom(format!("`{key}` in `forms` is not a schema version"))
        })?;
        Ok((schema, form))
    };
    forms.into_iter().map(read).collect()
}

/// Changes that are accepted or rejected as a unit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeSet {
    /// Identifier chosen by the author; an entry has no effect if its id is among the last
    /// [`RECENT_CHANGES`](super::RECENT_CHANGES) ids that were decided.
    pub change_id: ChangeId,
    /// Who made the change.
    pub author: String,
    /// Revision of each touched record that the author last saw; `None` if it must not exist.
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
        self.upserts.iter().map(|upsert| &upsert.key).chain(&self.deletes)
    }
}

/// One entry of the configuration stream.
///
/// The fields of a type never change, because a release that knows fewer fields would reach a
/// different verdict. A new field needs a new type; older releases stop folding the log at it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case", deny_unknown_fields)]
pub enum Entry {
    /// Changes of records.
    ChangeSet(ChangeSet),
    /// Raises the schema level: from then on, each record must have a form at or below the level,
    /// and all such forms must be readable.
    RaiseLevel {
        /// Identifier chosen by the author.
        change_id: ChangeId,
        /// Who made the change.
        author: String,
        /// New schema level.
        level: SchemaVersion,
    },
}

/// Error returned when a text cannot be parsed as an entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ParseEntryError {
    /// No release can read the text.
    Malformed {
        /// What is wrong, with line and column of the text.
        detail: String,
    },
    /// A later release may be able to read the text.
    UnknownType {
        /// Type of the entry.
        name: String,
    },
}

impl fmt::Display for ParseEntryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed { detail } => write!(f, "failed to parse the entry: {detail}"),
            Self::UnknownType { name } => {
                write!(f, "failed to parse the entry: type `{name}` is unknown")
            }
        }
    }
}

impl std::error::Error for ParseEntryError {}

impl Entry {
    /// Reads the JSON text of an entry.
    ///
    /// # Errors
    ///
    /// [`ParseEntryError`] when the text is not an entry of a known type.
    pub fn parse(data: &str) -> Result<Self, ParseEntryError> {
        #[derive(Deserialize)]
        struct Tag {
            r#type: String,
        }
        let malformed = |e: serde_json::Error| ParseEntryError::Malformed { detail: e.to_string() };
        let tag: Tag = serde_json::from_str(data).map_err(malformed)?;
        match tag.r#type.as_str() {
            "change_set" | "raise_level" => serde_json::from_str(data).map_err(malformed),
            _ => Err(ParseEntryError::UnknownType { name: tag.r#type }),
        }
    }

    /// Who made the change.
    #[must_use]
    pub fn author(&self) -> &str {
        match self {
            Self::ChangeSet(change) => &change.author,
            Self::RaiseLevel { author, .. } => author,
        }
    }

    /// Identifier chosen by the author.
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
    /// Something is larger than allowed.
    TooLarge {
        /// What is too large.
        what: SizeLimit,
        /// Its size.
        found: usize,
        /// Largest allowed size.
        limit: usize,
    },
    /// The name of a record is invalid.
    BadName {
        /// Key with the invalid name.
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
    /// A record would refer to a record that does not exist.
    DanglingReference {
        /// Record that holds the reference.
        from: RecordKey,
        /// Record that does not exist.
        to: RecordKey,
        /// Schema level at which the reference dangles.
        level: SchemaVersion,
    },
    /// A form at or below the schema level cannot be read.
    UnreadableForm {
        /// Record with the form.
        key: RecordKey,
        /// Schema version of the form.
        schema: SchemaVersion,
        /// What is wrong.
        detail: String,
    },
    /// A record has no form at or below the schema level.
    NoBaseForm {
        /// Record without such a form.
        key: RecordKey,
        /// Current schema level.
        level: SchemaVersion,
    },
    /// The schema level can only be raised by one.
    Level {
        /// Requested level.
        asked: SchemaVersion,
        /// Current schema level.
        current: SchemaVersion,
    },
}

impl fmt::Display for Rejection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let revision = |v: &Option<Version>| v.map_or("absent".to_owned(), |v| v.to_string());
        match self {
            Self::Malformed { detail } => write!(f, "malformed: {detail}"),
            Self::TooLarge { what, found, limit } => {
                write!(f, "too large: {found} {what}, at most {limit}")
            }
            Self::BadName { key } => write!(f, "bad name: {key}"),
            Self::Conflict { key, expected, found } => write!(
                f,
                "conflict: {key} is at {}, expected {}",
                revision(found),
                revision(expected)
            ),
            Self::DanglingReference { from, to, level } => {
                write!(f, "dangling reference: {from} points at absent {to} at schema {level}")
            }
            Self::UnreadableForm { key, schema, detail } => {
                write!(f, "unreadable form: {key} schema {schema}: {detail}")
            }
            Self::NoBaseForm { key, level } => {
                write!(f, "no base form: {key} has no form at or below schema {level}")
            }
            Self::Level { asked, current } => {
                write!(f, "level: {asked} does not follow the current level {current}")
            }
        }
    }
}

/// Whether one entry was accepted.
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
    /// The change id is among the recent ones that were decided; this entry has no effect.
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
