//! Comparison of a load run with what really ran.

use std::collections::{BTreeMap, BTreeSet};

use super::report::LoadReport;
use crate::backend::{JournalEntry, WorkResult};

/// Requests whose answers do not fit the journals, by request id.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct JournalCheck {
    /// At-most-once requests that ran more than once (entirely or in part).
    pub doubled: Vec<String>,
    /// Requests answered with success that no backend server finished.
    pub lost: Vec<String>,
    /// Requests refused as not run that ran (entirely or in part).
    pub false_not_run: Vec<String>,
}

impl LoadReport {
    /// Compares the answers with the journals of all backend servers that may have got the requests,
    /// also of those that were killed.
    pub fn check(&self, journals: &[Vec<JournalEntry>]) -> JournalCheck {
        let mut ran: BTreeMap<&str, u64> = BTreeMap::new();
        let mut finished: BTreeSet<&str> = BTreeSet::new();
        for entry in journals.iter().flatten() {
            let Some(id) = entry.request_id.as_deref() else {
                continue;
            };
            if entry.ran() {
                *ran.entry(id).or_default() += 1;
            }
            if entry.result == WorkResult::Finished {
                finished.insert(id);
            }
        }
        let mut check = JournalCheck::default();
        for call in &self.calls {
            let id = call.request_id.as_str();
            let runs = ran.get(id).copied().unwrap_or(0);
            if call.at_most_once && runs > 1 {
                check.doubled.push(id.to_owned());
            }
            if call.end.succeeded() && !finished.contains(id) {
                check.lost.push(id.to_owned());
            }
            // A repeat may be refused truthfully after an earlier sending has run.
            if call.end.refused_as_not_run() && call.repeats == 0 && runs > 0 {
                check.false_not_run.push(id.to_owned());
            }
        }
        check
    }
}
