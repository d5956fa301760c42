//! `history`: entries of the log with their verdicts.

use baobabreel_core::config::{Entry, RecordKey, Verdict};
use serde_json::json;

use super::log_view::{Folded, LogView, log_of};
use crate::commands::history::HistoryOptions;
use crate::context::{Context, Log};
use crate::report::{Failure, Outcome, Table};

/// Lists entries that the log retains, of one record if one is named.
///
/// # Errors
///
/// The log cannot be reached.
pub async fn history<L: Log, D>(
    cx: &Context<L, D>,
    options: &HistoryOptions,
) -> Result<Outcome, Failure> {
    let view = LogView::load(log_of(cx)?).await?;
    let mut table = Table::new(["OFFSET", "CHANGE ID", "AUTHOR", "CHANGE", "VERDICT"]);
    let mut list = Vec::new();
    for folded in &view.entries {
        if options.key.as_ref().is_some_and(|key| !touches(folded, key)) {
            continue;
        }
        let (id, author, what) = describe(folded);
        let offset = folded.record.offset;
        table.row([offset.to_string(), id, author, what, verdict(&folded.verdict)]);
        list.push(json!({"offset": offset, "time_ms": folded.record.time_ms,
            "entry": folded.entry, "verdict": folded.verdict}));
    }
    Ok(Outcome::done(table.text(), json!({"entries": list})))
}

fn touches(folded: &Folded, key: &RecordKey) -> bool {
    match &folded.entry {
        Some(Entry::ChangeSet(change)) => change.touched().any(|touched| touched == key),
        _ => false,
    }
}

fn describe(folded: &Folded) -> (String, String, String) {
    let Some(entry) = &folded.entry else {
        return ("-".to_owned(), "-".to_owned(), "unreadable".to_owned());
    };
    let what = match entry {
        Entry::RaiseLevel { level, .. } => format!("raise level to {level}"),
        Entry::ChangeSet(change) => {
            let upserts = change.upserts.iter().map(|upsert| upsert.key.to_string());
            let deletes = change.deletes.iter().map(|key| format!("-{key}"));
            upserts.chain(deletes).collect::<Vec<_>>().join(" ")
        }
    };
    (entry.change_id().clone(), entry.author().to_owned(), what)
}

fn verdict(verdict: &Verdict) -> String {
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
