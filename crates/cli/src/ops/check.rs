//! `check`: judges a file without publishing it.

use std::collections::BTreeMap;

use serde_json::json;

use super::change_file::ChangeFile;
use super::log_view::LogView;
use super::submit::rehearse;
use crate::commands::check::CheckOptions;
use crate::context::{Context, Log};
use crate::report::{Exit, Failure, OrExit, Outcome};

/// Checks the file's forms and, when a log is given, the verdict that it would get now.
///
/// # Errors
///
/// The file cannot be read, or the log cannot be reached.
pub async fn check<L: Log, D>(
    cx: &Context<L, D>,
    options: &CheckOptions,
) -> Result<Outcome, Failure> {
    let file = ChangeFile::read(&options.file)?;
    let mut faults = file.faults();
    let mut notes = Vec::new();
    match &cx.log {
        Some(log) => {
            let view = LogView::load(log).await?;
            let id = (cx.new_id)();
            let entry = file.entry(&view.state, &BTreeMap::new(), id, "check".to_owned());
            if let Some(reason) = rehearse(&view.state, &entry).or_exit(Exit::Rejected)?
                && faults.is_empty()
            {
                faults.push(reason.to_string());
            }
            notes.push(format!("judged on top of version {}", view.state.version()));
        }
        None => notes.extend(
            file.outside().iter().map(|to| format!("not checked without a log: reference to {to}")),
        ),
    }
    let exit = if faults.is_empty() { Exit::Done } else { Exit::Rejected };
    let mut text = String::new();
    for fault in &faults {
        text.push_str(&format!("{}: {fault}\n", options.file));
    }
    for note in &notes {
        text.push_str(&format!("note: {note}\n"));
    }
    let (changes, count) = (file.upserts.len() + file.deletes.len(), faults.len());
    text.push_str(&format!("{changes} records, {count} faults\n"));
    let json = json!({"file": options.file, "records": changes, "faults": faults, "notes": notes});
    Ok(Outcome { exit, text, json })
}
