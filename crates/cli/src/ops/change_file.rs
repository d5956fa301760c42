//! Change files: a change set without its identifier, author and expected revisions.

use std::collections::{BTreeMap, BTreeSet};

use baobabreel_core::config::{
    ChangeSet, ConfigState, Entry, Record, RecordKey, Spec, Upsert, Version,
};
use baobabreel_core::id::ChangeId;
use eyre::{Result, WrapErr, eyre};
use serde::Deserialize;

use crate::report::{Exit, Failure, WithExit};

/// Parsed content of a change file.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ChangeFile {
    #[serde(default)]
    pub(super) upserts: Vec<Upsert>,
    #[serde(default)]
    pub(super) deletes: BTreeSet<RecordKey>,
}

impl ChangeFile {
    /// Reads and parses a file; parse errors name the file, line and column.
    pub(super) fn read(file: &str) -> Result<Self, Failure> {
        let text = std::fs::read_to_string(file)
            .wrap_err_with(|| format!("failed to read `{file}`"))
            .with_exit(Exit::Usage)?;
        Self::parse(file, &text).with_exit(Exit::Rejected)
    }

    fn parse(file: &str, text: &str) -> Result<Self> {
        serde_json::from_str(text).map_err(|e| {
            let (line, column) = (e.line(), e.column());
            let place = format!(" at line {line} column {column}");
            let message = e.to_string();
            let message = message.strip_suffix(&place).unwrap_or(&message);
            eyre!("failed to parse {file}:{line}:{column}: {message}")
        })
    }

    /// Returns the keys of all records that the change writes or deletes.
    fn changed_keys(&self) -> impl Iterator<Item = &RecordKey> {
        let upserts = self.upserts.iter().map(|upsert| &upsert.key);
        upserts.chain(&self.deletes)
    }

    /// Validates the names and forms and returns one message per error.
    ///
    /// A form of a schema version that this release does not support is an error too.
    pub(super) fn validation_errors(&self) -> Vec<String> {
        let mut errors = Vec::new();
        for key in self.changed_keys().filter(|key| !key.is_valid()) {
            errors.push(format!("{key}: the name breaks the rules"));
        }
        for upsert in &self.upserts {
            if upsert.forms.is_empty() {
                errors.push(format!("{}: there is no form", upsert.key));
            }
            for (schema, form) in &upsert.forms {
                if let Err(e) = Spec::read(&upsert.key, *schema, form) {
                    errors.push(format!("{} schema {schema}: {e}", upsert.key));
                }
            }
        }
        errors
    }

    /// Returns the references to records that the file does not write.
    pub(super) fn external_references(&self) -> BTreeSet<RecordKey> {
        let written: BTreeSet<&RecordKey> = self.upserts.iter().map(|upsert| &upsert.key).collect();
        let forms = self.upserts.iter().flat_map(|u| u.forms.values());
        let refs = forms.flat_map(|form| &form.refs);
        refs.filter(|to| !written.contains(to)).cloned().collect()
    }

    /// Returns the records of `state` with the change applied.
    pub(super) fn applied_to(&self, state: &ConfigState) -> BTreeMap<RecordKey, Record> {
        let mut records = state.records().clone();
        for key in &self.deletes {
            records.remove(key);
        }
        for upsert in &self.upserts {
            let record = Record { revision: state.version(), forms: upsert.forms.clone() };
            records.insert(upsert.key.clone(), record);
        }
        records
    }

    /// Builds the log entry of the change.
    ///
    /// It expects the revisions in `state`, except for the records that `expect` names.
    pub(super) fn to_entry(
        &self,
        state: &ConfigState,
        expect: &BTreeMap<RecordKey, Option<Version>>,
        change_id: ChangeId,
        author: String,
    ) -> Entry {
        let revision = |key: &RecordKey| state.records().get(key).map(|record| record.revision);
        let current = self.changed_keys().map(|key| (key.clone(), revision(key)));
        Entry::ChangeSet(ChangeSet {
            change_id,
            author,
            expected: current.chain(expect.clone()).collect(),
            upserts: self.upserts.clone(),
            deletes: self.deletes.clone(),
        })
    }
}
