//! `check`: validates a change file without publishing it.

use std::collections::BTreeMap;

use serde_json::json;

use super::change_file::ChangeFile;
use super::log_view::LogView;
use super::submit::predict_rejection;
use crate::commands::check::CheckOptions;
use crate::context::{Context, Log};
use crate::report::{Exit, Failure, Outcome, WithExit};

/// Validates the forms in the file and, if a log is given, predicts the verdict on the change.
///
/// # Errors
///
/// The file or the log cannot be read.
pub async fn check<L: Log, D>(
    cx: &Context<L, D>,
    options: &CheckOptions,
) -> Result<Outcome, Failure> {
    let file = ChangeFile::read(&options.file)?;
    let mut errors = file.validation_errors();
    let mut notes = Vec::new();
    match &cx.log {
        Some(log) => {
            let view = LogView::load(log).await?;
            let id = (cx.new_id)();
            let entry = file.to_entry(&view.state, &BTreeMap::new(), id, "check".to_owned());
            if let Some(reason) =
                predict_rejection(&view.state, &entry).with_exit(Exit::Rejected)?
                && errors.is_empty()
            {
                errors.push(reason.to_string());
            }
            notes.push(format!("judged on top of version {}", view.state.version()));
        }
        None => notes.extend(
            file.external_references()
                .iter()
                .map(|to| format!("not checked without a log: reference to {to}")),
        ),
    }
    let exit = if errors.is_empty() { Exit::Done } else { Exit::Rejected };
    let mut text = String::new();
    for error in &errors {
        text.push_str(&format!("{}: {error}\n", options.file));
    }
    for note in &notes {
        text.push_str(&format!("note: {note}\n"));
    }
    let (record_count, error_count) = (file.upserts.len() + file.deletes.len(), errors.len());
    text.push_str(&format!("{record_count} records, {error_count} faults\n"));
    let json =
        json!({"file": options.file, "records": record_count, "faults": errors, "notes": notes});
    Ok(Outcome { exit, text, json })
}
