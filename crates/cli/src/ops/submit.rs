//! Appends an entry to the log and determines its verdict.

use baobabreel_client::log::AppendError;
use baobabreel_core::config::{ConfigState, Entry, Rejection, Verdict};
use eyre::{Report, Result, WrapErr, eyre};

use super::log_view::{CONFIG_STREAM, LogView};
use crate::context::{Context, Log};
use crate::report::{Exit, Failure, WithExit};

/// Appends of the same change id before the outcome is reported as unknown.
const MAX_ATTEMPTS: u32 = 4;

/// Returns the reason for which an entry would be rejected if it were appended next.
pub(super) fn predict_rejection(state: &ConfigState, entry: &Entry) -> Result<Option<Rejection>> {
    let text = serde_json::to_string(entry)?;
    match state.clone().fold(state.version().offset + 1, &text)? {
        Verdict::Rejected { reason, .. } => Ok(Some(reason)),
        Verdict::Accepted { .. } | Verdict::Duplicate { .. } => Ok(None),
    }
}

/// Appends the entry, reads the log up to it and returns the first verdict on its change id.
///
/// If the answer to an append is lost, the change id is looked up in the log before the entry is
/// appended again with the same id. The lost append may still take effect later; the fold then
/// treats it as a duplicate.
pub(super) async fn submit<L: Log, D>(
    cx: &Context<L, D>,
    log: &L,
    view: &mut LogView,
    entry: &Entry,
) -> Result<Verdict, Failure> {
    let text = serde_json::to_string(entry).with_exit(Exit::Rejected)?;
    let id = entry.change_id();
    let unknown_outcome = |e: Report| {
        let advice = format!("the outcome is unknown; repeat with `--change-id {id}`");
        Err::<Verdict, _>(e).wrap_err(advice).with_exit(Exit::Unknown)
    };
    let mut may_be_appended = false;
    let mut last_error = eyre!("no attempt was made");
    for attempt in 0..MAX_ATTEMPTS {
        if attempt > 0 {
            (cx.progress)(&format!("{last_error:#}; looking for change id {id} in the log"));
            tokio::time::sleep(cx.poll_interval).await;
            match find_verdict(log, view, id).await {
                Ok(Some(verdict)) => return Ok(verdict),
                Ok(None) => {}
                Err(e) => {
                    last_error = e;
                    continue;
                }
            }
        }
        match log.append(CONFIG_STREAM, &text).await {
            Ok(_) => {
                may_be_appended = true;
                match find_verdict(log, view, id).await {
                    Ok(Some(verdict)) => return Ok(verdict),
                    Ok(None) => last_error = eyre!("failed to find the appended entry in the log"),
                    Err(e) => last_error = e,
                }
            }
            Err(AppendError::Unknown(e)) => {
                may_be_appended = true;
                last_error = e.wrap_err("failed to determine whether the append took effect");
            }
            Err(AppendError::Refused(e)) if may_be_appended => last_error = e,
            Err(AppendError::Refused(e)) => {
                let refused = Err(e.wrap_err("failed to append: nothing was published"));
                return refused.with_exit(Exit::Unreachable);
            }
        }
    }
    unknown_outcome(last_error)
}

/// Reads the new entries of the log and returns the verdict on a change id, if there is one.
async fn find_verdict(
    log: &impl Log,
    view: &mut LogView,
    change_id: &str,
) -> Result<Option<Verdict>> {
    view.advance(log).await?;
    Ok(view.verdict_of(change_id).cloned())
}

/// Returns the output line for the first verdict on a change id.
pub(super) fn verdict_text(verdict: &Verdict) -> String {
    match verdict.first() {
        Verdict::Rejected { version, reason } => format!("rejected at {version}: {reason}\n"),
        Verdict::Accepted { version } => format!("accepted as version {version}\n"),
        Verdict::Duplicate { .. } => "duplicate\n".to_owned(),
    }
}
