//! Waits until every live member has a version.

use std::time::Duration;

use baobabreel_core::config::Version;
use eyre::{Result, eyre};
use tokio::time::Instant;

use super::mesh::Mesh;
use crate::context::{Context, Daemon};

/// How the wait ended.
#[derive(Debug)]
pub(super) struct WaitResult {
    pub(super) done: bool,
    /// Where the version was in force at the last look.
    pub(super) line: String,
}

/// Looks at the daemons until all have the version or `timeout` has passed; prints each change.
pub(super) async fn wait<L, D: Daemon>(
    cx: &Context<L, D>,
    version: Version,
    timeout: Duration,
) -> Result<WaitResult> {
    if cx.daemons.is_empty() {
        return Err(eyre!("`--daemon URL` is needed"));
    }
    let end = Instant::now() + timeout;
    let mut shown = None;
    loop {
        let look = Mesh::ask(cx).await.map(|mesh| describe(&mesh, version));
        if let Ok(result) = &look {
            if result.done {
                return look;
            }
            if shown.as_ref() != Some(&result.line) {
                (cx.progress)(&result.line);
                shown = Some(result.line.clone());
            }
        }
        if Instant::now() >= end {
            return look;
        }
        tokio::time::sleep(cx.pause).await;
    }
}

fn describe(mesh: &Mesh, version: Version) -> WaitResult {
    let all = mesh.0.len();
    let have = mesh.answered().filter(|s| s.version >= version).count();
    let mut line = format!("version {version} is in force on {have} of {all} daemons");
    for trouble in mesh.troubles(version) {
        line.push_str("; ");
        line.push_str(&trouble);
    }
    let done = have == all;
    WaitResult { done, line }
}
