//! The fold over the configuration stream.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;

use serde::{Deserialize, Serialize};

use super::change::{ChangeSet, Entry, Rejection, Verdict};
use super::record::{Record, RecordKey, Version};
use super::spec::Spec;
use super::{INITIAL_LEVEL, MAX_SCHEMA};
use crate::id::{ChangeId, Offset, SchemaVersion};

/// Change ids whose verdicts are remembered.
pub const RECENT_CHANGES: usize = 4_096;

/// Largest entry, in bytes.
pub const MAX_ENTRY_BYTES: usize = 256 * 1024;

/// The fold cannot go on; the state stays at its last whole version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FoldError {
    /// The entry does not follow the last one.
    Gap {
        /// Offset that was expected.
        expected: Offset,
        /// Offset of the entry.
        found: Offset,
    },
    /// The judged level or the entry's type is beyond this release.
    Beyond {
        /// What is not understood.
        detail: String,
    },
}

impl fmt::Display for FoldError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Gap { expected, found } => {
                write!(
                    f,
                    "failed to fold offset {found}: expected offset {expected}"
                )
            }
            Self::Beyond { detail } => write!(f, "failed to judge an entry: {detail}"),
        }
    }
}

impl std::error::Error for FoldError {}

/// Configuration as it stands after the entries that were folded.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigState {
    version: Version,
    level: SchemaVersion,
    records: BTreeMap<RecordKey, Record>,
    recent: VecDeque<(ChangeId, Verdict)>,
    #[serde(skip, default = "default_max_schema")]
    max_schema: SchemaVersion,
}

fn default_max_schema() -> SchemaVersion {
    MAX_SCHEMA
}

impl ConfigState {
    /// Empty state before offset 1 of a log generation.
    #[must_use]
    pub fn new(generation: u64) -> Self {
        Self {
            version: Version {
                generation,
                offset: 0,
            },
            level: INITIAL_LEVEL,
            records: BTreeMap::new(),
            recent: VecDeque::new(),
            max_schema: MAX_SCHEMA,
        }
    }

    /// Makes the state behave like a release that understands schema versions up to `max_schema`.
    #[must_use]
    pub fn with_max_schema(mut self, max_schema: SchemaVersion) -> Self {
        self.max_schema = max_schema;
        self
    }

    /// Version after the last folded entry.
    #[must_use]
    pub fn version(&self) -> Version {
        self.version
    }

    /// Judged schema level.
    #[must_use]
    pub fn level(&self) -> SchemaVersion {
        self.level
    }

    /// Records by key.
    #[must_use]
    pub fn records(&self) -> &BTreeMap<RecordKey, Record> {
        &self.records
    }

    /// First verdict on a change id, while it is remembered.
    #[must_use]
    pub fn verdict_of(&self, change_id: &str) -> Option<&Verdict> {
        self.recent
            .iter()
            .find(|(id, _)| id == change_id)
            .map(|(_, verdict)| verdict)
    }

    /// Applies the entry at `offset`; a rejected entry changes nothing but the version.
    ///
    /// # Errors
    ///
    /// [`FoldError`] when the entry cannot be judged; the state is unchanged.
    pub fn fold(&mut self, offset: Offset, data: &str) -> Result<Verdict, FoldError> {
        let expected = self.version.offset + 1;
        if offset != expected {
            return Err(FoldError::Gap {
                expected,
                found: offset,
            });
        }
        let version = Version {
            offset,
            ..self.version
        };
        let verdict = self.judge(version, data)?;
        self.version = version;
        Ok(verdict)
    }

    fn judge(&mut self, version: Version, data: &str) -> Result<Verdict, FoldError> {
        let rejected = |reason| Verdict::Rejected { version, reason };
        if data.len() > MAX_ENTRY_BYTES {
            return Ok(rejected(Rejection::TooLarge { bytes: data.len() }));
        }
        let entry = match parse_entry(data)? {
            Ok(entry) => entry,
            Err(detail) => return Ok(rejected(Rejection::Malformed { detail })),
        };
        if let Some(first) = self.verdict_of(entry.change_id()) {
            return Ok(Verdict::Duplicate {
                first: Box::new(first.clone()),
            });
        }
        let change_id = entry.change_id().clone();
        let verdict = match self.apply(version, entry)? {
            Ok(()) => Verdict::Accepted { version },
            Err(reason) => rejected(reason),
        };
        self.recent.push_back((change_id, verdict.clone()));
        while self.recent.len() > RECENT_CHANGES {
            self.recent.pop_front();
        }
        Ok(verdict)
    }

    fn apply(
        &mut self,
        version: Version,
        entry: Entry,
    ) -> Result<Result<(), Rejection>, FoldError> {
        match entry {
            Entry::ChangeSet(change) => Ok(self.apply_change(version, change)),
            Entry::RaiseLevel { level, .. } => self.apply_level(level),
        }
    }

    fn apply_change(&mut self, version: Version, change: ChangeSet) -> Result<(), Rejection> {
        self.check_names(&change)?;
        self.check_expected(&change)?;
        let mut records = self.records.clone();
        for key in &change.deletes {
            records.remove(key);
        }
        for upsert in change.upserts {
            check_forms(&upsert.key, &upsert.forms, self.level)?;
            records.insert(
                upsert.key,
                Record {
                    revision: version,
                    forms: upsert.forms,
                },
            );
        }
        check_references(&records)?;
        self.records = records;
        Ok(())
    }

    fn check_names(&self, change: &ChangeSet) -> Result<(), Rejection> {
        let mut seen = BTreeSet::new();
        for key in change.touched() {
            if !key.is_valid() {
                return Err(Rejection::BadName { key: key.clone() });
            }
            if !seen.insert(key) {
                return Err(Rejection::Malformed {
                    detail: format!("{key} is touched twice"),
                });
            }
        }
        if seen.is_empty() {
            return Err(Rejection::Malformed {
                detail: "no record is touched".to_owned(),
            });
        }
        Ok(())
    }

    fn check_expected(&self, change: &ChangeSet) -> Result<(), Rejection> {
        for key in change.touched() {
            let found = self.records.get(key).map(|record| record.revision);
            let Some(expected) = change.expected.get(key) else {
                let detail = format!("`expected` does not name {key}");
                return Err(Rejection::Malformed { detail });
            };
            if *expected != found {
                let (key, expected) = (key.clone(), *expected);
                return Err(Rejection::Conflict {
                    key,
                    expected,
                    found,
                });
            }
        }
        Ok(())
    }

    fn apply_level(&mut self, level: SchemaVersion) -> Result<Result<(), Rejection>, FoldError> {
        if level <= self.level {
            return Ok(Err(Rejection::Level {
                asked: level,
                current: self.level,
            }));
        }
        if level > self.max_schema {
            let detail = format!("schema level {level} is above {}", self.max_schema);
            return Err(FoldError::Beyond { detail });
        }
        for (key, record) in &self.records {
            if let Err(reason) = check_forms(key, &record.forms, level) {
                return Ok(Err(reason));
            }
        }
        self.level = level;
        Ok(Ok(()))
    }
}

/// Parses an entry; the inner error means that no release can read it.
fn parse_entry(data: &str) -> Result<Result<Entry, String>, FoldError> {
    #[derive(Deserialize)]
    struct Tag {
        r#type: String,
    }
    let tag: Tag = match serde_json::from_str(data) {
        Ok(tag) => tag,
        Err(e) => return Ok(Err(e.to_string())),
    };
    match tag.r#type.as_str() {
        "change_set" | "raise_level" => Ok(serde_json::from_str(data).map_err(|e| e.to_string())),
        other => Err(FoldError::Beyond {
            detail: format!("entry type `{other}` is unknown"),
        }),
    }
}

fn check_forms(
    key: &RecordKey,
    forms: &BTreeMap<SchemaVersion, super::Form>,
    level: SchemaVersion,
) -> Result<(), Rejection> {
    if forms.range(..=level).next().is_none() {
        return Err(Rejection::NoBaseForm {
            key: key.clone(),
            level,
        });
    }
    for (schema, form) in forms.range(..=level) {
        if let Err(e) = Spec::read(key, *schema, form) {
            let (key, schema, detail) = (key.clone(), *schema, e.to_string());
            return Err(Rejection::UnreadableForm {
                key,
                schema,
                detail,
            });
        }
    }
    Ok(())
}

/// Checks that references are closed in the view of every schema level that occurs.
///
/// Every record has a form at or below the judged level, so a record is absent from a view only when
/// it is absent altogether, and it is enough to check each form once.
fn check_references(records: &BTreeMap<RecordKey, Record>) -> Result<(), Rejection> {
    for (from, record) in records {
        for (level, form) in &record.forms {
            for to in &form.refs {
                if !records.contains_key(to) {
                    let (from, to, level) = (from.clone(), to.clone(), *level);
                    return Err(Rejection::DanglingReference { from, to, level });
                }
            }
        }
    }
    Ok(())
}
