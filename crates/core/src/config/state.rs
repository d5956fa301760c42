//! The fold over the configuration stream: decides its entries in order and applies those that are
//! accepted.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::OnceLock;

use serde::{Deserialize, Serialize};

use super::canonical::Digest;
use super::change::{ChangeSet, Entry, ParseEntryError, Rejection, Verdict};
use super::limits::SizeLimit;
use super::recent::{RECENT_CHANGES, RecentVerdicts};
use super::record::{Record, RecordKey, Version};
use super::references::{Forms, Overlay, Referrers, check_all};
use super::snapshot::{MAX_LINEAGE, Snapshot, SnapshotError, SnapshotRef};
use super::spec::Spec;
use super::{INITIAL_LEVEL, MAX_SCHEMA};
use crate::id::{Offset, SchemaVersion};

/// Why an entry cannot be folded; the state stays at its last version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FoldError {
    /// The offset does not follow that of the last folded entry.
    Gap {
        /// Offset that was expected.
        expected: Offset,
        /// Offset of the entry.
        found: Offset,
    },
    /// The schema level or the entry's type is not supported by this release.
    #[serde(rename = "beyond")]
    Unsupported {
        /// What is not supported.
        detail: String,
    },
    /// The log was replaced and no snapshot that continues this state was seen.
    NewGeneration {
        /// Generation of the log.
        generation: u64,
    },
}

impl fmt::Display for FoldError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Gap { expected, found } => {
                write!(f, "failed to fold offset {found}: expected offset {expected}")
            }
            Self::Unsupported { detail } => write!(f, "failed to judge an entry: {detail}"),
            Self::NewGeneration { generation } => write!(
                f,
                "failed to follow log generation {generation}: no snapshot continues this state"
            ),
        }
    }
}

impl std::error::Error for FoldError {}

/// Why a state has stopped folding entries; reported as `held`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hold {
    /// Version of the first entry that is not folded, or offset 0 of the new generation if the log
    /// was replaced.
    pub at: Version,
    /// Why it is not folded.
    pub cause: FoldError,
}

/// Configuration after the entries that were folded so far.
///
/// The cost of a fold depends on the size of the entry and on the number of records that refer to
/// removed records, not on the number of all records; raising the level reads every record.
#[derive(Debug, Clone)]
pub struct ConfigState {
    version: Version,
    level: SchemaVersion,
    lineage: Vec<Version>,
    records: BTreeMap<RecordKey, Record>,
    recent: RecentVerdicts,
    max_schema: SchemaVersion,
    hold: Option<Hold>,
    /// Derived from `records`.
    referrers: Referrers,
    /// Size of all forms as JSON text; derived from `records`.
    bytes: usize,
    /// Computed on demand for the current version.
    digest: OnceLock<Digest>,
}

impl PartialEq for ConfigState {
    /// Compares the content; ignores the hold, the supported schema version and derived fields.
    fn eq(&self, other: &Self) -> bool {
        self.version == other.version
            && self.level == other.level
            && self.lineage == other.lineage
            && self.records == other.records
            && self.recent == other.recent
    }
}

impl ConfigState {
    /// Empty state before offset 1 of a log generation.
    #[must_use]
    pub fn new(generation: u64) -> Self {
        Self {
            version: Version { generation, offset: 0 },
            level: INITIAL_LEVEL,
            lineage: Vec::new(),
            records: BTreeMap::new(),
            recent: RecentVerdicts::default(),
            max_schema: MAX_SCHEMA,
            hold: None,
            referrers: Referrers::default(),
            bytes: 0,
            digest: OnceLock::new(),
        }
    }

    /// State of a reader that starts from a snapshot and understands schema versions up to
    /// `max_schema`.
    ///
    /// # Errors
    ///
    /// [`SnapshotError`] when the level is above `max_schema` or the content could not
    /// result from a log.
    pub fn restore(snapshot: Snapshot, max_schema: SchemaVersion) -> Result<Self, SnapshotError> {
        let level = snapshot.level;
        if level > max_schema {
            return Err(SnapshotError::UnsupportedLevel { level, max_schema });
        }
        check_snapshot(&snapshot)?;
        let mut state = Self {
            level,
            lineage: snapshot.lineage,
            max_schema,
            ..Self::new(snapshot.version.generation)
        };
        state.version = snapshot.version;
        for (change_id, verdict) in snapshot.recent {
            state.recent.push(change_id, &verdict);
        }
        for (key, record) in snapshot.records {
            state.insert(key, record);
        }
        Ok(state)
    }

    /// Makes the state behave like a release that understands schema versions up to `max_schema`.
    #[must_use]
    pub fn with_max_schema(mut self, max_schema: SchemaVersion) -> Self {
        self.max_schema = max_schema;
        self
    }

    /// Version of the last folded entry, whether it was accepted or not; offset 0 if there was none
    /// in this log generation.
    #[must_use]
    pub fn version(&self) -> Version {
        self.version
    }

    /// Schema level: each record must have a form at or below this schema version, and all such
    /// forms must be readable.
    #[must_use]
    pub fn level(&self) -> SchemaVersion {
        self.level
    }

    /// Newest schema version that this reader understands.
    #[must_use]
    pub fn max_schema(&self) -> SchemaVersion {
        self.max_schema
    }

    /// Last version of each earlier log generation that this state continues, the oldest first.
    #[must_use]
    pub fn lineage(&self) -> &[Version] {
        &self.lineage
    }

    /// Records by key.
    #[must_use]
    pub fn records(&self) -> &BTreeMap<RecordKey, Record> {
        &self.records
    }

    /// First verdict on a recent change id; its `detail` texts are empty.
    #[must_use]
    pub fn verdict_of(&self, change_id: &str) -> Option<&Verdict> {
        self.recent.get(change_id)
    }

    /// Why the state has stopped folding entries, if it has.
    #[must_use]
    pub fn hold(&self) -> Option<&Hold> {
        self.hold.as_ref()
    }

    /// Complete content at the current version.
    #[must_use]
    pub fn snapshot(&self) -> Snapshot {
        let owned = |(id, verdict): (&String, &Verdict)| (id.clone(), verdict.clone());
        Snapshot {
            version: self.version,
            level: self.level,
            lineage: self.lineage.clone(),
            records: self.records.clone(),
            recent: self.recent.iter().map(owned).collect(),
        }
    }

    /// Digest of [`ConfigState::snapshot`].
    ///
    /// It is computed once per version, on the first call, in time proportional to the size of the
    /// content; further calls are free, so every probe can carry it.
    #[must_use]
    pub fn digest(&self) -> Digest {
        *self.digest.get_or_init(|| {
            Digest::of(&SnapshotRef {
                version: self.version,
                level: self.level,
                lineage: &self.lineage,
                records: &self.records,
                recent: self.recent.iter().collect(),
            })
        })
    }

    /// Stops folding entries if `generation` is later than that of this state, until
    /// [`ConfigState::adopt`] adopts a snapshot that continues this state.
    pub fn hold_on_newer_generation(&mut self, generation: u64) {
        if generation > self.version.generation {
            self.hold = Some(Hold {
                at: Version { generation, offset: 0 },
                cause: FoldError::NewGeneration { generation },
            });
        }
    }

    /// Decides the entry at `offset` and applies it if it is accepted.
    ///
    /// Any other entry changes nothing but the version and the recent change ids; those only if the
    /// entry could be parsed and its change id is valid and not among them yet.
    ///
    /// # Errors
    ///
    /// [`FoldError`] when the entry cannot be decided; the content is unchanged, and unless the
    /// error is a gap, [`ConfigState::hold`] gives the reason from then on.
    pub fn fold(&mut self, offset: Offset, data: &str) -> Result<Verdict, FoldError> {
        let expected = self.version.offset + 1;
        if let Some(hold) = &self.hold
            && (matches!(hold.cause, FoldError::NewGeneration { .. }) || offset > expected)
        {
            return Err(hold.cause.clone());
        }
        if offset != expected {
            return Err(FoldError::Gap { expected, found: offset });
        }
        let version = Version { offset, ..self.version };
        match self.decide(version, data) {
            Ok(verdict) => {
                self.version = version;
                self.hold = None;
                self.digest = OnceLock::new();
                Ok(verdict)
            }
            Err(cause) => {
                let hold = Hold { at: version, cause };
                Err(self.hold.insert(hold).cause.clone())
            }
        }
    }

    fn decide(&mut self, version: Version, data: &str) -> Result<Verdict, FoldError> {
        let rejected = |reason| Verdict::Rejected { version, reason };
        if let Err(reason) = SizeLimit::EntryBytes.check(data.len()) {
            return Ok(rejected(reason));
        }
        let entry = match Entry::parse(data) {
            Ok(entry) => entry,
            Err(ParseEntryError::Malformed { detail }) => {
                return Ok(rejected(Rejection::Malformed { detail }));
            }
            Err(ParseEntryError::UnknownType { name }) => {
                let detail = format!("entry type `{name}` is unknown");
                return Err(FoldError::Unsupported { detail });
            }
        };
        if let Err(reason) = check_change_id(entry.change_id()) {
            return Ok(rejected(reason));
        }
        if let Some(first) = self.verdict_of(entry.change_id()) {
            return Ok(Verdict::Duplicate { first: Box::new(first.clone()) });
        }
        let change_id = entry.change_id().clone();
        let verdict = match self.apply(version, entry)? {
            Ok(()) => Verdict::Accepted { version },
            Err(reason) => rejected(reason),
        };
        self.recent.push(change_id, &verdict);
        Ok(verdict)
    }

    fn apply(
        &mut self,
        version: Version,
        entry: Entry,
    ) -> Result<Result<(), Rejection>, FoldError> {
        if let Err(reason) = SizeLimit::AuthorBytes.check(entry.author().len()) {
            return Ok(Err(reason));
        }
        match entry {
            Entry::ChangeSet(change) => Ok(self.apply_change(version, change)),
            Entry::RaiseLevel { level, .. } => self.apply_level(level),
        }
    }

    /// Checks the whole change before the first write, so that a rejected change modifies nothing.
    fn apply_change(&mut self, version: Version, change: ChangeSet) -> Result<(), Rejection> {
        check_names(&change)?;
        self.check_expected(&change)?;
        for upsert in &change.upserts {
            check_form_bounds(&upsert.forms)?;
            check_forms(&upsert.key, &upsert.forms, self.level)?;
        }
        self.check_size(&change)?;
        Overlay::new(&self.records, &change).check(&self.referrers)?;
        for key in &change.deletes {
            self.remove(key);
        }
        for upsert in change.upserts {
            self.remove(&upsert.key);
            let record = Record { revision: version, forms: upsert.forms };
            self.insert(upsert.key, record);
        }
        Ok(())
    }

    fn insert(&mut self, key: RecordKey, record: Record) {
        self.referrers.add(&key, &record.forms);
        self.bytes += forms_bytes(&record.forms);
        self.records.insert(key, record);
    }

    fn remove(&mut self, key: &RecordKey) {
        if let Some(record) = self.records.remove(key) {
            self.referrers.remove(key, &record.forms);
            self.bytes -= forms_bytes(&record.forms);
        }
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
                return Err(Rejection::Conflict { key, expected, found });
            }
        }
        Ok(())
    }

    fn check_size(&self, change: &ChangeSet) -> Result<(), Rejection> {
        let present: Vec<&Record> =
            change.touched().filter_map(|key| self.records.get(key)).collect();
        let freed: usize = present.iter().map(|r| forms_bytes(&r.forms)).sum();
        let added: usize = change.upserts.iter().map(|u| forms_bytes(&u.forms)).sum();
        // A change that does not make the state larger is always allowed.
        if change.upserts.len() > present.len() {
            SizeLimit::Records.check(self.records.len() - present.len() + change.upserts.len())?;
        }
        if added > freed {
            SizeLimit::StateBytes.check(self.bytes - freed + added)?;
        }
        Ok(())
    }

    fn apply_level(&mut self, level: SchemaVersion) -> Result<Result<(), Rejection>, FoldError> {
        // Only the next level is accepted. A release that does not support a level stops folding
        // entries, so a mistyped level would otherwise stop every daemon for good.
        if level != self.level + 1 {
            return Ok(Err(Rejection::Level { asked: level, current: self.level }));
        }
        if level > self.max_schema {
            let detail = format!("schema level {level} is above {}", self.max_schema);
            return Err(FoldError::Unsupported { detail });
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

fn check_change_id(change_id: &str) -> Result<(), Rejection> {
    if change_id.is_empty() {
        return Err(Rejection::Malformed { detail: "`change_id` is empty".to_owned() });
    }
    SizeLimit::ChangeIdBytes.check(change_id.len())
}

fn check_names(change: &ChangeSet) -> Result<(), Rejection> {
    let malformed = |detail| Err(Rejection::Malformed { detail });
    let forms = change.upserts.iter().flat_map(|u| u.forms.values());
    let refs = forms.flat_map(|form| &form.refs);
    if let Some(key) = change.touched().chain(refs).find(|key| !key.is_valid()) {
        return Err(Rejection::BadName { key: key.truncated() });
    }
    let mut seen = BTreeSet::new();
    if let Some(key) = change.touched().find(|key| !seen.insert(*key)) {
        return malformed(format!("{key} is touched twice"));
    }
    if seen.is_empty() {
        return malformed("no record is touched".to_owned());
    }
    if let Some(key) = change.expected.keys().find(|key| !seen.contains(key)) {
        let key = key.truncated();
        return malformed(format!("`expected` names {key}, which is not touched"));
    }
    Ok(())
}

fn check_form_bounds(forms: &Forms) -> Result<(), Rejection> {
    SizeLimit::Forms.check(forms.len())?;
    forms.values().try_for_each(|form| SizeLimit::Refs.check(form.refs.len()))
}

fn check_forms(key: &RecordKey, forms: &Forms, level: SchemaVersion) -> Result<(), Rejection> {
    if forms.range(..=level).next().is_none() {
        return Err(Rejection::NoBaseForm { key: key.clone(), level });
    }
    for (schema, form) in forms.range(..=level) {
        if let Err(e) = Spec::read(key, *schema, form) {
            let (key, schema, detail) = (key.clone(), *schema, e.to_string());
            return Err(Rejection::UnreadableForm { key, schema, detail });
        }
    }
    Ok(())
}

/// Checks that a snapshot could result from a log, so that a damaged one is never used.
fn check_snapshot(snapshot: &Snapshot) -> Result<(), SnapshotError> {
    let invalid = |detail: String| SnapshotError::Invalid { detail };
    let ids: BTreeSet<_> = snapshot.recent.iter().map(|(id, _)| id).collect();
    if ids.len() != snapshot.recent.len() || ids.len() > RECENT_CHANGES {
        return Err(invalid("the recent change ids are not a window".to_owned()));
    }
    if snapshot.lineage.len() > MAX_LINEAGE {
        return Err(invalid("the lineage is too long".to_owned()));
    }
    let check = || {
        SizeLimit::Records.check(snapshot.records.len())?;
        let bytes = snapshot.records.values().map(|r| forms_bytes(&r.forms));
        SizeLimit::StateBytes.check(bytes.sum())?;
        for (key, record) in &snapshot.records {
            if !key.is_valid() {
                return Err(Rejection::BadName { key: key.truncated() });
            }
            check_form_bounds(&record.forms)?;
            check_forms(key, &record.forms, snapshot.level)?;
        }
        check_all(&snapshot.records)
    };
    check().map_err(|reason| invalid(reason.to_string()))
}

fn forms_bytes(forms: &Forms) -> usize {
    let text = serde_json::to_string(forms).expect("form keys serialize as strings");
    text.len()
}
