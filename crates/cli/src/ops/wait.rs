//! Waits until every live daemon has reached a configuration version.

use std::time::Duration;

use baobabreel_core::config::Version;
use eyre::{Result, eyre};
use tokio::time::Instant;

use super::mesh::Mesh;
use crate::context::{Context, Daemon};

/// Progress of the daemons towards a version.
#[derive(Debug)]
pub(super) struct WaitResult {
    /// Whether every live daemon has reached the version.
    pub(super) complete: bool,
    /// Count of the daemons that have reached the version, and the names of the others.
    pub(super) summary: String,
}

/// Polls the daemons until all have reached `version` or `timeout` has passed.
///
/// Prints the summary whenever it changes, and returns the result of the last poll.
pub(super) async fn wait_for_version<L, D: Daemon>(
    cx: &Context<L, D>,
    version: Version,
    timeout: Duration,
) -> Result<WaitResult> {
    if cx.daemons.is_empty() {
        return Err(eyre!("`--daemon URL` is needed"));
    }
    let deadline = Instant::now() + timeout;
    let mut last_printed = None;
    loop {
        let latest = Mesh::query(cx).await.map(|mesh| summarize(&mesh, version));
        if let Ok(result) = &latest {
            if result.complete {
                return latest;
            }
            if last_printed.as_ref() != Some(&result.summary) {
                (cx.progress)(&result.summary);
                last_printed = Some(result.summary.clone());
            }
        }
        if Instant::now() >= deadline {
            return latest;
        }
        tokio::time::sleep(cx.poll_interval).await;
    }
}

fn summarize(mesh: &Mesh, version: Version) -> WaitResult {
    let all = mesh.0.len();
    let updated = mesh.answered().filter(|s| s.version >= version).count();
    let mut summary = format!("version {version} is in force on {updated} of {all} daemons");
    for problem in mesh.problem_lines(version) {
        summary.push_str("; ");
        summary.push_str(&problem);
    }
    let complete = updated == all;
    WaitResult { complete, summary }
}
