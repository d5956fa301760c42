//! Files with changes: a change set without identifier, author and expected revisions.

use std::collections::{BTreeMap, BTreeSet};

use baobabreel_core::config::{
    ChangeSet, ConfigState, Entry, Record, RecordKey, Spec, Upsert, Version,
};
use baobabreel_core::id::ChangeId;
use eyre::{Result, WrapErr, eyre};
use serde::Deserialize;

use crate::report::{Exit, Failure, OrExit};

/// Content of a file.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ChangeFile {
    #[serde(default)]
    pub(super) upserts: Vec<Upsert>,
    #[serde(default)]
    pub(super) deletes: BTreeSet<RecordKey>,
}

impl ChangeFile {
    /// Reads a file; a fault names file, line and column.
    pub(super) fn read(file: &str) -> Result<Self, Failure> {
        let text = std::fs::read_to_string(file)
            .wrap_err_with(|| format!("failed to read `{file}`"))
            .or_exit(Exit::Usage)?;
        Self::parse(file, &text).or_exit(Exit::Rejected)
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

    fn touched(&self) -> impl Iterator<Item = &RecordKey> {
        let upserts = self.upserts.iter().map(|upsert| &upsert.key);
        upserts.chain(&self.deletes)
    }

    /// Faults of names and forms; forms of schemas that this release does not know are faults too.
    pub(super) fn faults(&self) -> Vec<String> {
        let mut faults = Vec::new();
        for key in self.touched().filter(|key| !key.is_valid()) {
            faults.push(format!("{key}: the name breaks the rules"));
        }
        for upsert in &self.upserts {
            if upsert.forms.is_empty() {
                faults.push(format!("{}: there is no form", upsert.key));
            }
            for (schema, form) in &upsert.forms {
                if let Err(e) = Spec::read(&upsert.key, *schema, form) {
                    faults.push(format!("{} schema {schema}: {e}", upsert.key));
                }
            }
        }
        faults
    }

    /// References to records that the file does not write.
    pub(super) fn outside(&self) -> BTreeSet<RecordKey> {
        let own: BTreeSet<&RecordKey> = self.upserts.iter().map(|upsert| &upsert.key).collect();
        let forms = self.upserts.iter().flat_map(|u| u.forms.values());
        let refs = forms.flat_map(|form| &form.refs);
        refs.filter(|to| !own.contains(to)).cloned().collect()
    }

    /// Records as they would stand after the change.
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

    /// Entry that expects the revisions in `state`, unless others are given.
    pub(super) fn entry(
        &self,
        state: &ConfigState,
        expect: &BTreeMap<RecordKey, Option<Version>>,
        change_id: ChangeId,
        author: String,
    ) -> Entry {
        let revision = |key: &RecordKey| state.records().get(key).map(|record| record.revision);
        let seen = self.touched().map(|key| (key.clone(), revision(key)));
        Entry::ChangeSet(ChangeSet {
            change_id,
            author,
            expected: seen.chain(expect.clone()).collect(),
            upserts: self.upserts.clone(),
            deletes: self.deletes.clone(),
        })
    }
}
