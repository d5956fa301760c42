//! `publish`: makes a change and, if asked, waits until it is in force.

use baobabreel_core::config::{Verdict, Version};
use serde_json::{Value, json};

use super::change_file::ChangeFile;
use super::log_view::{LogView, log_of};
use super::submit::{rehearse, sentence, submit};
use super::wait::{WaitResult, wait};
use crate::commands::publish::PublishOptions;
use crate::context::{Context, Daemon, Log};
use crate::report::{Exit, Failure, OrExit, Outcome, diff, diff_text};

/// Publishes a file. Repeating it with the same change id has no further effect.
///
/// # Errors
///
/// The file is invalid, the log cannot be reached, or the outcome is unknown.
pub async fn publish<L: Log, D: Daemon>(
    cx: &Context<L, D>,
    options: &PublishOptions,
) -> Result<Outcome, Failure> {
    let file = ChangeFile::read(&options.file)?;
    let log = log_of(cx)?;
    let mut view = LogView::load(log).await?;
    let change_id = options.change_id.clone().unwrap_or_else(&cx.new_id);
    if let Some(first) = view.verdict_of(&change_id).cloned() {
        let text = format!("change id {change_id} was published before\n");
        return finish(cx, options, &change_id, text, &[], &first).await;
    }
    let changes = diff(view.state.records(), &file.applied_to(&view.state));
    let text = diff_text(&changes);
    let author = options.author.clone();
    let entry = file.entry(&view.state, &options.expect, change_id.clone(), author);
    if let Some(reason) = rehearse(&view.state, &entry).or_exit(Exit::Rejected)? {
        let text = format!("{text}not published, it would be rejected: {reason}\n");
        let json = json!({"change_id": change_id, "changes": changes, "rejected": reason});
        let exit = Exit::Rejected;
        return Ok(Outcome { exit, text, json });
    }
    let verdict = submit(cx, log, &mut view, &entry).await?;
    finish(cx, options, &change_id, text, &changes, &verdict).await
}

async fn finish<L, D: Daemon>(
    cx: &Context<L, D>,
    options: &PublishOptions,
    change_id: &str,
    mut text: String,
    changes: &[crate::report::Change],
    verdict: &Verdict,
) -> Result<Outcome, Failure> {
    text.push_str(&sentence(verdict));
    let mut json = json!({"change_id": change_id, "changes": changes, "verdict": verdict});
    let Verdict::Accepted { version } = *verdict.first() else {
        let exit = Exit::Rejected;
        return Ok(Outcome { exit, text, json });
    };
    let mut exit = Exit::Done;
    if options.wait {
        exit = wait_for(cx, options, version, &mut text, &mut json).await?;
    }
    Ok(Outcome { exit, text, json })
}

async fn wait_for<L, D: Daemon>(
    cx: &Context<L, D>,
    options: &PublishOptions,
    version: Version,
    text: &mut String,
    json: &mut Value,
) -> Result<Exit, Failure> {
    let (exit, line) = match wait(cx, version, options.timeout).await {
        Ok(WaitResult { done: true, line }) => (Exit::Done, line),
        Ok(WaitResult { line, .. }) => {
            (Exit::TimedOut, format!("timed out after {:?}: {line}", options.timeout))
        }
        Err(e) => (Exit::Unreachable, format!("failed to watch the daemons: {e:#}")),
    };
    json["wait"] = json!(line);
    text.push_str(&line);
    text.push('\n');
    Ok(exit)
}
