//! Checks that references between records resolve, limited to those that a change can break.
//!
//! The view of level L takes each record's newest form at or below L. A form of schema S is in use
//! in the view of level S, so the target of each of its references must be in that view, that is,
//! have a form at or below S. Views of higher levels that still use the form have the target as
//! well, so one check per form and reference covers every level.

use std::collections::{BTreeMap, BTreeSet};

use super::change::{ChangeSet, Rejection};
use super::record::{Form, Record, RecordKey};
use crate::id::SchemaVersion;

pub(super) type Forms = BTreeMap<SchemaVersion, Form>;
type Records = BTreeMap<RecordKey, Record>;

/// Reverse index of references: for each record, the records that refer to it.
#[derive(Debug, Clone, Default)]
pub(super) struct Referrers(BTreeMap<RecordKey, BTreeSet<RecordKey>>);

impl Referrers {
    pub(super) fn add(&mut self, from: &RecordKey, forms: &Forms) {
        for to in forms.values().flat_map(|form| &form.refs) {
            self.0.entry(to.clone()).or_default().insert(from.clone());
        }
    }

    pub(super) fn remove(&mut self, from: &RecordKey, forms: &Forms) {
        for to in forms.values().flat_map(|form| &form.refs) {
            if let Some(set) = self.0.get_mut(to) {
                set.remove(from);
                if set.is_empty() {
                    self.0.remove(to);
                }
            }
        }
    }

    fn of(&self, to: &RecordKey) -> impl Iterator<Item = &RecordKey> {
        self.0.get(to).into_iter().flatten()
    }
}

/// The records as they would be after a change, without a copy of the unchanged ones.
pub(super) struct Overlay<'a> {
    records: &'a Records,
    /// Touched records; `None` for a removed one.
    touched: BTreeMap<&'a RecordKey, Option<&'a Forms>>,
}

impl<'a> Overlay<'a> {
    pub(super) fn new(records: &'a Records, change: &'a ChangeSet) -> Self {
        let upserts = change.upserts.iter().map(|u| (&u.key, Some(&u.forms)));
        let deletes = change.deletes.iter().map(|key| (key, None));
        let touched = upserts.chain(deletes).collect();
        Self { records, touched }
    }

    fn forms(&self, key: &RecordKey) -> Option<&'a Forms> {
        match self.touched.get(key) {
            Some(forms) => *forms,
            None => self.records.get(key).map(|record| &record.forms),
        }
    }

    /// Checks the references from written records, and the references to records that are removed
    /// or no longer have a form of as low a schema version as before.
    pub(super) fn check(&self, referrers: &Referrers) -> Result<(), Rejection> {
        for (from, forms) in &self.touched {
            let Some(forms) = forms else { continue };
            self.check_refs(from, forms, |_| true)?;
        }
        for to in self.touched.keys().filter(|to| self.raises_lowest_schema(to)) {
            for from in referrers.of(to) {
                if !self.touched.contains_key(from)
                    && let Some(forms) = self.forms(from)
                {
                    self.check_refs(from, forms, |key| key == *to)?;
                }
            }
        }
        Ok(())
    }

    fn raises_lowest_schema(&self, key: &RecordKey) -> bool {
        let before = self.records.get(key).and_then(|r| lowest_schema(&r.forms));
        let after = self.forms(key).and_then(lowest_schema);
        before.is_some_and(|before| after.is_none_or(|after| after > before))
    }

    fn check_refs(
        &self,
        from: &RecordKey,
        forms: &Forms,
        is_relevant: impl Fn(&RecordKey) -> bool,
    ) -> Result<(), Rejection> {
        for (level, form) in forms {
            for to in form.refs.iter().filter(|to| is_relevant(to)) {
                let present = self.forms(to).and_then(lowest_schema).is_some_and(|l| l <= *level);
                if !present {
                    let (from, to, level) = (from.clone(), to.clone(), *level);
                    return Err(Rejection::DanglingReference { from, to, level });
                }
            }
        }
        Ok(())
    }
}

fn lowest_schema(forms: &Forms) -> Option<SchemaVersion> {
    forms.keys().next().copied()
}

/// Checks the references of all records.
pub(super) fn check_all(records: &Records) -> Result<(), Rejection> {
    let overlay = Overlay { records, touched: BTreeMap::new() };
    records.iter().try_for_each(|(from, record)| overlay.check_refs(from, &record.forms, |_| true))
}
