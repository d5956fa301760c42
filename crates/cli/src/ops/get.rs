//! `get`: one record as it stands.

use baobabreel_core::config::Record;
use eyre::eyre;
use serde_json::json;

use super::log_view::LogView;
use crate::commands::get::GetOptions;
use crate::context::{Context, Daemon, Log};
use crate::report::{Exit, Failure, OrExit, Outcome};

/// Shows a record, from the log when one is given, otherwise from a daemon.
///
/// # Errors
///
/// The record does not exist, or its source cannot be reached.
pub async fn get<L: Log, D: Daemon>(
    cx: &Context<L, D>,
    options: &GetOptions,
) -> Result<Outcome, Failure> {
    let key = &options.key;
    let record = find(cx, options).await?;
    let absent = || eyre!("failed to find {key}: there is no such record");
    let record = record.ok_or_else(absent).or_exit(Exit::Rejected)?;
    let forms = serde_json::to_string_pretty(&record.forms).or_exit(Exit::Rejected)?;
    let text = format!("{key} at revision {}\n{forms}\n", record.revision);
    let json = json!({"key": key, "record": record});
    Ok(Outcome::done(text, json))
}

async fn find<L: Log, D: Daemon>(
    cx: &Context<L, D>,
    options: &GetOptions,
) -> Result<Option<Record>, Failure> {
    if let Some(log) = &cx.log {
        let view = LogView::load(log).await?;
        return Ok(view.state.records().get(&options.key).cloned());
    }
    let mut last = Err(eyre!("`--log URL` or `--daemon URL` is needed")).or_exit(Exit::Usage);
    for daemon in &cx.daemons {
        match daemon.records().await {
            Ok(doc) => {
                let mut records = doc.records.into_iter();
                let found = records.find(|doc| doc.key == options.key);
                return Ok(found.map(|doc| doc.record));
            }
            Err(e) => last = Err(e).or_exit(Exit::Unreachable),
        }
    }
    last
}
