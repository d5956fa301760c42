//! Exchange of the evidence about requests that crash backend servers.
//!
//! The daemons tell each other directly, since the platform may turn away the one that has the evidence.

use std::collections::BTreeSet;
use std::time::Duration;

use baobabreel_client::wire::{SuspectNotice, SuspectWire};
use baobabreel_core::quarantine::RequestDigest;

use crate::context::Cx;

/// Path at which a daemon is told of evidence.
pub const SUSPECTS_PATH: &str = "/peer/v1/suspects";

/// Time in which changes are collected before others are told. All requests that a backend server ran are lost
/// at the same time.
const COLLECT_TIME: Duration = Duration::from_millis(5);

/// Tells all other daemons of each change that this one finds out.
pub async fn run(cx: Cx) {
    let Some(mut changes) = cx.quarantine.attach_peers() else {
        tracing::error!("the evidence about requests is already sent by another task");
        return;
    };
    while let Some(first) = changes.recv().await {
        let mut changed = BTreeSet::from([first]);
        while let Ok(Some(next)) = tokio::time::timeout(COLLECT_TIME, changes.recv()).await {
            changed.insert(next);
        }
        tell_all(&cx, &changed);
    }
}

fn tell_all(cx: &Cx, changed: &BTreeSet<RequestDigest>) {
    let suspect = |digest: &RequestDigest| SuspectWire {
        digest: digest.to_be_bytes(),
        suspicion: cx.quarantine.get(*digest),
    };
    let notice = SuspectNotice { suspects: changed.iter().map(suspect).collect() };
    for member in cx.members.load().live() {
        if member.id != cx.identity.id {
            cx.tell_peer(member.peer_addr, SUSPECTS_PATH, &notice);
        }
    }
}

/// Adds what another daemon knows.
pub fn note(cx: &Cx, notice: SuspectNotice) {
    for suspect in notice.suspects {
        let digest = RequestDigest::from_be_bytes(suspect.digest);
        match suspect.suspicion {
            Some(known) => cx.quarantine.learn(digest, &known, cx.clock.now()),
            None => cx.quarantine.clear(digest),
        }
    }
}
