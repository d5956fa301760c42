//! Exchange of which daemons of a data centre can read the platform, so that others read in place of
//! those that cannot.

use std::sync::Mutex;
use std::time::Duration;

use baobabreel_client::wire::ReadingNotice;
use baobabreel_core::membership::Member;
use baobabreel_core::relay::{LostReaders, ReadRole};
use tokio::sync::watch;

use crate::context::Cx;
use crate::sync::lock;

/// Path at which a daemon is told whether another one can read the platform.
pub const READING_PATH: &str = "/peer/v1/reading";

/// Daemons of the data centre that have said that they cannot read the platform.
#[derive(Debug, Default)]
pub struct Readers {
    lost: Mutex<LostReaders>,
    /// Number of losses of relays for which this daemon had to read at once.
    alarms: watch::Sender<u64>,
    /// Number of times that this daemon could read again.
    resumptions: watch::Sender<u64>,
}

impl Readers {
    /// Whether `member` can read the platform, as far as known.
    pub fn can_read(&self, member: &Member, now: Duration) -> bool {
        !lock(&self.lost).contains(&member.id, now)
    }

    /// Changes each time that this daemon has to read at once because others can no longer do so.
    pub fn alarms(&self) -> watch::Receiver<u64> {
        self.alarms.subscribe()
    }

    /// Makes this daemon read at once.
    pub fn raise_alarm(&self) {
        self.alarms.send_modify(|count| *count += 1);
    }

    /// Changes each time that this daemon can read the platform again.
    pub fn resumptions(&self) -> watch::Receiver<u64> {
        self.resumptions.subscribe()
    }

    /// Records that this daemon can read the platform again.
    pub fn resumed(&self) {
        self.resumptions.send_modify(|count| *count += 1);
    }
}

/// Tells the daemons of the data centre whether this one, if they rely on it, can read the platform.
pub fn announce(cx: &Cx, can_read: bool) {
    if cx.read_role() != ReadRole::Relay {
        return;
    }
    let own = &cx.identity;
    let notice = ReadingNotice { from: own.id.clone(), can_read };
    for member in cx.members.load().live() {
        if member.data_centre == own.data_centre && member.id != own.id {
            cx.tell_peer(member.peer_addr, READING_PATH, &notice);
        }
    }
}

/// Records what another daemon says about itself, and determines again who reads.
pub fn note(cx: &Cx, notice: ReadingNotice) {
    let (daemon, can_read) = (notice.from, notice.can_read);
    let is_known = cx.members.load().get(&daemon).is_some();
    if !is_known || daemon == cx.identity.id {
        return;
    }
    let now = cx.clock.now();
    let mut lost = lock(&cx.readers.lost);
    if !lost.record(daemon.clone(), can_read, now) {
        return;
    }
    let is_alarm = !can_read && lost.raises_alarm(now);
    drop(lost);
    tracing::info!(daemon, can_read, "another daemon's reading of the platform changed");
    cx.update_relay();
    if is_alarm {
        cx.readers.raise_alarm();
    }
}
