//! `diff`: what a file would change, or what changed between two versions.

use serde_json::json;

use super::change_file::ChangeFile;
use super::log_view::{LogView, log_of};
use crate::commands::diff::{DiffOf, DiffOptions};
use crate::context::{Context, Log};
use crate::report::{self, Exit, Failure, OrExit, Outcome};

/// Shows differences of records.
///
/// # Errors
///
/// The file is invalid, the log cannot be reached, or it does not retain a version.
pub async fn diff<L: Log, D>(
    cx: &Context<L, D>,
    options: &DiffOptions,
) -> Result<Outcome, Failure> {
    let load = async || LogView::load(log_of(cx)?).await;
    let changes = match &options.of {
        DiffOf::File(name) => {
            let file = ChangeFile::read(name)?;
            let state = load().await?.state;
            report::diff(state.records(), &file.applied_to(&state))
        }
        DiffOf::Versions(before, after) => {
            let view = load().await?;
            let before = view.state_at(*before).or_exit(Exit::Rejected)?;
            let after = view.state_at(*after).or_exit(Exit::Rejected)?;
            report::diff(before.records(), after.records())
        }
    };
    let text =
        if changes.is_empty() { "no difference\n".to_owned() } else { report::diff_text(&changes) };
    Ok(Outcome::done(text, json!({"changes": changes})))
}
