//! `diff`: shows what a file would change, or what changed between two versions.

use serde_json::json;

use super::change_file::ChangeFile;
use super::log_view::{LogView, require_log};
use crate::commands::diff::{DiffOptions, DiffTarget};
use crate::context::{Context, Log};
use crate::report::{self, Exit, Failure, Outcome, WithExit};

/// Shows the records that differ.
///
/// # Errors
///
/// The file is invalid, the log cannot be read, or it does not cover one of the versions.
pub async fn diff<L: Log, D>(
    cx: &Context<L, D>,
    options: &DiffOptions,
) -> Result<Outcome, Failure> {
    let load = async || LogView::load(require_log(cx)?).await;
    let changes = match &options.target {
        DiffTarget::File(name) => {
            let file = ChangeFile::read(name)?;
            let state = load().await?.state;
            report::diff_records(state.records(), &file.applied_to(&state))
        }
        DiffTarget::Versions(before, after) => {
            let view = load().await?;
            let before = view.state_at(*before).with_exit(Exit::Rejected)?;
            let after = view.state_at(*after).with_exit(Exit::Rejected)?;
            report::diff_records(before.records(), after.records())
        }
    };
    let text = if changes.is_empty() {
        "no difference\n".to_owned()
    } else {
        report::format_diff(&changes)
    };
    Ok(Outcome::done(text, json!({"changes": changes})))
}
