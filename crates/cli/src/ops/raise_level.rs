//! `raise-level`: raises the schema level, up to which the forms of records are validated.

use baobabreel_core::config::{Entry, Verdict};
use baobabreel_core::id::SchemaVersion;
use eyre::eyre;
use serde_json::json;

use super::log_view::{LogView, require_log};
use super::mesh::query_mesh;
use super::submit::{predict_rejection, submit, verdict_text};
use crate::commands::raise_level::RaiseLevelOptions;
use crate::context::{Context, Daemon, Log};
use crate::report::{Exit, Failure, Outcome, WithExit};

/// Raises the schema level if every live daemon supports it.
///
/// A daemon that does not support the level would stop applying the configuration from that entry
/// on, so all daemons are asked first.
///
/// # Errors
///
/// A daemon does not support the level or cannot be reached, the log cannot be reached, or the
/// outcome is unknown.
pub async fn raise_level<L: Log, D: Daemon>(
    cx: &Context<L, D>,
    options: &RaiseLevelOptions,
) -> Result<Outcome, Failure> {
    let log = require_log(cx)?;
    let level = options.level;
    let mut view = LogView::load(log).await?;
    let change_id = options.change_id.clone().unwrap_or_else(&cx.new_id);
    let verdict = match view.verdict_of(&change_id).cloned() {
        Some(published) => published,
        None => {
            if !options.force {
                check_daemon_support(cx, level).await?;
            }
            let entry = Entry::RaiseLevel {
                change_id: change_id.clone(),
                author: options.author.clone(),
                level,
            };
            if let Some(reason) =
                predict_rejection(&view.state, &entry).with_exit(Exit::Rejected)?
            {
                let text = format!("not published, it would be rejected: {reason}\n");
                let json = json!({"change_id": change_id, "rejected": reason});
                let exit = Exit::Rejected;
                return Ok(Outcome { exit, text, json });
            }
            submit(cx, log, &mut view, &entry).await?
        }
    };
    let exit = match verdict.first() {
        Verdict::Accepted { .. } => Exit::Done,
        _ => Exit::Rejected,
    };
    let json = json!({"change_id": change_id, "verdict": verdict});
    let text = verdict_text(&verdict);
    Ok(Outcome { exit, text, json })
}

/// Checks that every live daemon can be reached and supports `level`.
async fn check_daemon_support<L, D: Daemon>(
    cx: &Context<L, D>,
    level: SchemaVersion,
) -> Result<(), Failure> {
    let mesh = query_mesh(cx).await?;
    let outdated = mesh.answered().filter(|status| status.max_schema < level);
    let outdated = outdated.map(|s| {
        format!("{} in {} supports levels up to {}", s.daemon, s.data_centre, s.max_schema)
    });
    let unreachable_daemons = mesh.unreachable();
    let unreachable_daemons = unreachable_daemons
        .iter()
        .map(|n| format!("{} in {} cannot be reached", n.text, n.data_centre));
    let problems: Vec<String> = outdated.chain(unreachable_daemons).collect();
    if problems.is_empty() {
        return Ok(());
    }
    let problems = problems.join("; ");
    Err(eyre!("failed to raise the level to {level}: {problems} (see `--force`)"))
        .with_exit(Exit::Rejected)
}
