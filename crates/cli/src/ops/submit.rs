//! Appends an entry and learns its verdict.

use baobabreel_client::log::AppendError;
use baobabreel_core::config::{ConfigState, Entry, Rejection, Verdict};
use eyre::{Report, Result, WrapErr, eyre};

use super::log_view::{CONFIG, LogView};
use crate::context::{Context, Log};
use crate::report::{Exit, Failure, OrExit};

/// Appends tried with the same change id before the outcome is reported as unknown.
const ATTEMPTS: u32 = 4;

/// Verdict that an entry would get as the next one.
pub(super) fn rehearse(state: &ConfigState, entry: &Entry) -> Result<Option<Rejection>> {
    let text = serde_json::to_string(entry)?;
    match state.clone().fold(state.version().offset + 1, &text)? {
        Verdict::Rejected { reason, .. } => Ok(Some(reason)),
        Verdict::Accepted { .. } | Verdict::Duplicate { .. } => Ok(None),
    }
}

/// Appends the entry and folds the log up to it; returns the first verdict on its change id.
///
/// When an answer is lost, the log is read for the change id before the entry is appended again
/// with the same id. The append may still take effect later; the fold then takes it as a duplicate.
pub(super) async fn submit<L: Log, D>(
    cx: &Context<L, D>,
    log: &L,
    view: &mut LogView,
    entry: &Entry,
) -> Result<Verdict, Failure> {
    let text = serde_json::to_string(entry).or_exit(Exit::Rejected)?;
    let id = entry.change_id();
    let unknown = |e: Report| {
        let advice = format!("the outcome is unknown; repeat with `--change-id {id}`");
        Err::<Verdict, _>(e).wrap_err(advice).or_exit(Exit::Unknown)
    };
    let mut may_be_appended = false;
    let mut last = eyre!("no attempt was made");
    for attempt in 0..ATTEMPTS {
        if attempt > 0 {
            (cx.progress)(&format!("{last:#}; looking for change id {id} in the log"));
            tokio::time::sleep(cx.pause).await;
            match find(log, view, id).await {
                Ok(Some(verdict)) => return Ok(verdict),
                Ok(None) => {}
                Err(e) => {
                    last = e;
                    continue;
                }
            }
        }
        match log.append(CONFIG, &text).await {
            Ok(_) => {
                may_be_appended = true;
                match find(log, view, id).await {
                    Ok(Some(verdict)) => return Ok(verdict),
                    Ok(None) => last = eyre!("failed to find the appended entry in the log"),
                    Err(e) => last = e,
                }
            }
            Err(AppendError::Unknown(e)) => {
                may_be_appended = true;
                last = e.wrap_err("failed to learn whether the append took effect");
            }
            Err(AppendError::Refused(e)) if may_be_appended => last = e,
            Err(AppendError::Refused(e)) => {
                let refused = Err(e.wrap_err("failed to append: nothing was published"));
                return refused.or_exit(Exit::Unreachable);
            }
        }
    }
    unknown(last)
}

async fn find(log: &impl Log, view: &mut LogView, change_id: &str) -> Result<Option<Verdict>> {
    view.advance(log).await?;
    Ok(view.verdict_of(change_id).cloned())
}

/// Sentence for a first verdict.
pub(super) fn sentence(verdict: &Verdict) -> String {
    match verdict.first() {
        Verdict::Rejected { version, reason } => format!("rejected at {version}: {reason}\n"),
        Verdict::Accepted { version } => format!("accepted as version {version}\n"),
        Verdict::Duplicate { .. } => "duplicate\n".to_owned(),
    }
}
