//! `get`: shows the current state of one record.

use baobabreel_core::config::Record;
use eyre::eyre;
use serde_json::json;

use super::log_view::LogView;
use crate::commands::get::GetOptions;
use crate::context::{Context, Daemon, Log};
use crate::report::{Exit, Failure, Outcome, WithExit};

/// Shows a record, from the log if its address is given, otherwise from the first daemon that
/// answers.
///
/// # Errors
///
/// The record does not exist, or neither the log nor a daemon can be read.
pub async fn get<L: Log, D: Daemon>(
    cx: &Context<L, D>,
    options: &GetOptions,
) -> Result<Outcome, Failure> {
    let key = &options.key;
    let record = find_record(cx, options).await?;
    let absent = || eyre!("failed to find {key}: there is no such record");
    let record = record.ok_or_else(absent).with_exit(Exit::Rejected)?;
    let forms = serde_json::to_string_pretty(&record.forms).with_exit(Exit::Rejected)?;
    let text = format!("{key} at revision {}\n{forms}\n", record.revision);
    let json = json!({"key": key, "record": record});
    Ok(Outcome::done(text, json))
}

async fn find_record<L: Log, D: Daemon>(
    cx: &Context<L, D>,
    options: &GetOptions,
) -> Result<Option<Record>, Failure> {
    if let Some(log) = &cx.log {
        let view = LogView::load(log).await?;
        return Ok(view.state.records().get(&options.key).cloned());
    }
    let mut last_failure =
        Err(eyre!("`--log URL` or `--daemon URL` is required")).with_exit(Exit::Usage);
    for daemon in &cx.daemons {
        match daemon.records().await {
            Ok(doc) => {
                let mut records = doc.records.into_iter();
                let found = records.find(|doc| doc.key == options.key);
                return Ok(found.map(|doc| doc.record));
            }
            Err(e) => last_failure = Err(e).with_exit(Exit::Unreachable),
        }
    }
    last_failure
}
