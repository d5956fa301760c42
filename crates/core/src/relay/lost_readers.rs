//! Daemons that cannot read the platform at the moment, by their own account.
//!
//! The platform may turn some daemons away and serve others. Relays are chosen by rank, so without
//! this knowledge the daemons that are served would rely on relays that are not.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::id::DaemonId;

/// Time for which a daemon counts as unable to read after it said so. Longer than the time between two of
/// its attempts, each of which it reports, even if the platform is silent.
const RETENTION: Duration = Duration::from_secs(5);

/// Largest number of daemons that are remembered; more than a data centre has.
const MAX_DAEMONS: usize = 1_024;

/// Shortest time between two losses for which others read at once. Relays lose their reads one after another, and
/// many reads at once make each of them slow.
const ALARM_INTERVAL: Duration = Duration::from_secs(1);

/// Daemons that have said that they cannot read the platform.
#[derive(Debug, Default)]
pub struct LostReaders {
    until: BTreeMap<DaemonId, Duration>,
    alarmed_at: Option<Duration>,
}

impl LostReaders {
    /// Records whether a daemon can read; returns whether that is new.
    pub fn record(&mut self, daemon: DaemonId, can_read: bool, now: Duration) -> bool {
        let was_lost = self.contains(&daemon, now);
        if can_read {
            self.until.remove(&daemon);
            return was_lost;
        }
        self.until.retain(|_, until| now < *until);
        if self.until.len() >= MAX_DAEMONS && !self.until.contains_key(&daemon) {
            return false;
        }
        self.until.insert(daemon, now + RETENTION);
        !was_lost
    }

    /// Whether this daemon has to read at once because of a loss that is new; records that it does.
    pub fn raises_alarm(&mut self, now: Duration) -> bool {
        let is_due = self.alarmed_at.is_none_or(|at| now >= at + ALARM_INTERVAL);
        if is_due {
            self.alarmed_at = Some(now);
        }
        is_due
    }

    /// Whether a daemon cannot read, as far as known.
    #[must_use]
    pub fn contains(&self, daemon: &str, now: Duration) -> bool {
        self.until.get(daemon).is_some_and(|until| now < *until)
    }
}
