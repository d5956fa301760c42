//! `publish`: appends a change to the log and optionally waits until all daemons apply it.

use baobabreel_core::config::{Verdict, Version};
use serde_json::{Value, json};

use super::change_file::ChangeFile;
use super::log_view::{LogView, require_log};
use super::submit::{predict_rejection, submit, verdict_text};
use super::wait::{WaitResult, wait_for_version};
use crate::commands::publish::PublishOptions;
use crate::context::{Context, Daemon, Log};
use crate::report::{Exit, Failure, Outcome, WithExit, diff_records, format_diff};

/// Publishes a change file. Repeating the call with the same change id has no further effect.
///
/// # Errors
///
/// The file is invalid, the log cannot be read, the append is refused, or its outcome is unknown.
pub async fn publish<L: Log, D: Daemon>(
    cx: &Context<L, D>,
    options: &PublishOptions,
) -> Result<Outcome, Failure> {
    let file = ChangeFile::read(&options.file)?;
    let log = require_log(cx)?;
    let mut view = LogView::load(log).await?;
    let change_id = options.change_id.clone().unwrap_or_else(&cx.new_id);
    if let Some(published) = view.verdict_of(&change_id).cloned() {
        let text = format!("change id {change_id} was published before\n");
        return finish(cx, options, &change_id, text, &[], &published).await;
    }
    let changes = diff_records(view.state.records(), &file.applied_to(&view.state));
    let text = format_diff(&changes);
    let author = options.author.clone();
    let entry = file.to_entry(&view.state, &options.expect, change_id.clone(), author);
    if let Some(reason) = predict_rejection(&view.state, &entry).with_exit(Exit::Rejected)? {
        let text = format!("{text}not published, it would be rejected: {reason}\n");
        let json = json!({"change_id": change_id, "changes": changes, "rejected": reason});
        let exit = Exit::Rejected;
        return Ok(Outcome { exit, text, json });
    }
    let verdict = submit(cx, log, &mut view, &entry).await?;
    finish(cx, options, &change_id, text, &changes, &verdict).await
}

/// Builds the outcome for a published change, after the wait if `--wait` is given.
async fn finish<L, D: Daemon>(
    cx: &Context<L, D>,
    options: &PublishOptions,
    change_id: &str,
    mut text: String,
    changes: &[crate::report::RecordChange],
    verdict: &Verdict,
) -> Result<Outcome, Failure> {
    text.push_str(&verdict_text(verdict));
    let mut json = json!({"change_id": change_id, "changes": changes, "verdict": verdict});
    let Verdict::Accepted { version } = *verdict.first() else {
        let exit = Exit::Rejected;
        return Ok(Outcome { exit, text, json });
    };
    let mut exit = Exit::Done;
    if options.wait {
        exit = wait_and_report(cx, options, version, &mut text, &mut json).await?;
    }
    Ok(Outcome { exit, text, json })
}

/// Waits for the daemons and adds the result to the outputs.
async fn wait_and_report<L, D: Daemon>(
    cx: &Context<L, D>,
    options: &PublishOptions,
    version: Version,
    text: &mut String,
    json: &mut Value,
) -> Result<Exit, Failure> {
    let (exit, summary) = match wait_for_version(cx, version, options.timeout).await {
        Ok(WaitResult { complete: true, summary }) => (Exit::Done, summary),
        Ok(WaitResult { summary, .. }) => {
            (Exit::TimedOut, format!("timed out after {:?}: {summary}", options.timeout))
        }
        Err(e) => (Exit::Unreachable, format!("failed to watch the daemons: {e:#}")),
    };
    json["wait"] = json!(summary);
    text.push_str(&summary);
    text.push('\n');
    Ok(exit)
}
