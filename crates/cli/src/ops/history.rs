//! `history`: lists the entries of the log with their verdicts.

use baobabreel_core::config::{Entry, RecordKey, Verdict};
use serde_json::json;

use super::log_view::{FoldedEntry, LogView, require_log};
use crate::commands::history::HistoryOptions;
use crate::context::{Context, Log};
use crate::report::{Failure, Outcome, Table};

/// Lists the entries that the log retains, or only those that change the given record.
///
/// # Errors
///
/// No log address is given, or the log cannot be read.
pub async fn history<L: Log, D>(
    cx: &Context<L, D>,
    options: &HistoryOptions,
) -> Result<Outcome, Failure> {
    let view = LogView::load(require_log(cx)?).await?;
    let mut table = Table::new(["OFFSET", "CHANGE ID", "AUTHOR", "CHANGE", "VERDICT"]);
    let mut list = Vec::new();
    for folded in &view.entries {
        if options.key.as_ref().is_some_and(|key| !changes_record(folded, key)) {
            continue;
        }
        let (id, author, summary) = summarize(folded);
        let offset = folded.record.offset;
        table.push_row([
            offset.to_string(),
            id,
            author,
            summary,
            describe_verdict(&folded.verdict),
        ]);
        list.push(json!({"offset": offset, "time_ms": folded.record.time_ms,
            "entry": folded.entry, "verdict": folded.verdict}));
    }
    Ok(Outcome::done(table.render(), json!({"entries": list})))
}

fn changes_record(folded: &FoldedEntry, key: &RecordKey) -> bool {
    match &folded.entry {
        Some(Entry::ChangeSet(change)) => change.touched().any(|touched| touched == key),
        _ => false,
    }
}

/// Returns the change id, the author and a summary of the change.
fn summarize(folded: &FoldedEntry) -> (String, String, String) {
    let Some(entry) = &folded.entry else {
        return ("-".to_owned(), "-".to_owned(), "unreadable".to_owned());
    };
    let summary = match entry {
        Entry::RaiseLevel { level, .. } => format!("raise level to {level}"),
        Entry::ChangeSet(change) => {
            let upserts = change.upserts.iter().map(|upsert| upsert.key.to_string());
            let deletes = change.deletes.iter().map(|key| format!("-{key}"));
            upserts.chain(deletes).collect::<Vec<_>>().join(" ")
        }
    };
    (entry.change_id().clone(), entry.author().to_owned(), summary)
}

fn describe_verdict(verdict: &Verdict) -> String {
    match verdict {
        Verdict::Accepted { .. } => "accepted".to_owned(),
        Verdict::Rejected { reason, .. } => format!("rejected: {reason}"),
        Verdict::Duplicate { first } => match first.first() {
            Verdict::Accepted { version } | Verdict::Rejected { version, .. } => {
                format!("duplicate of {version}")
            }
            Verdict::Duplicate { .. } => "duplicate".to_owned(),
        },
    }
}
