//! `raise-level`: makes forms up to a schema version part of the verdict.

use baobabreel_core::config::{Entry, Verdict};
use baobabreel_core::id::SchemaVersion;
use eyre::eyre;
use serde_json::json;

use super::log_view::{LogView, log_of};
use super::mesh::mesh_of;
use super::submit::{rehearse, sentence, submit};
use crate::commands::raise_level::RaiseLevelOptions;
use crate::context::{Context, Daemon, Log};
use crate::report::{Exit, Failure, OrExit, Outcome};

/// Raises the judged level when every live daemon understands it.
///
/// A daemon that does not understand it would hold from then on, so all daemons are asked first.
///
/// # Errors
///
/// A daemon does not understand the level or cannot be reached, the log cannot be reached, or the
/// outcome is unknown.
pub async fn raise_level<L: Log, D: Daemon>(
    cx: &Context<L, D>,
    options: &RaiseLevelOptions,
) -> Result<Outcome, Failure> {
    let log = log_of(cx)?;
    let level = options.level;
    let mut view = LogView::load(log).await?;
    let change_id = options.change_id.clone().unwrap_or_else(&cx.new_id);
    let verdict = match view.verdict_of(&change_id).cloned() {
        Some(first) => first,
        None => {
            if !options.force {
                check_daemons(cx, level).await?;
            }
            let entry = Entry::RaiseLevel {
                change_id: change_id.clone(),
                author: options.author.clone(),
                level,
            };
            if let Some(reason) = rehearse(&view.state, &entry).or_exit(Exit::Rejected)? {
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
    let text = sentence(&verdict);
    Ok(Outcome { exit, text, json })
}

async fn check_daemons<L, D: Daemon>(
    cx: &Context<L, D>,
    level: SchemaVersion,
) -> Result<(), Failure> {
    let mesh = mesh_of(cx).await?;
    let old = mesh.answered().filter(|status| status.max_schema < level);
    let old = old
        .map(|s| format!("{} in {} understands up to {}", s.daemon, s.data_centre, s.max_schema));
    let gone = mesh.unreachable();
    let gone = gone.iter().map(|n| format!("{} in {} cannot be reached", n.text, n.data_centre));
    let faults: Vec<String> = old.chain(gone).collect();
    if faults.is_empty() {
        return Ok(());
    }
    let faults = faults.join("; ");
    Err(eyre!("failed to raise the level to {level}: {faults} (see `--force`)"))
        .or_exit(Exit::Rejected)
}
