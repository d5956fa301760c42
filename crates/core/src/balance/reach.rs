//! Which other data centres do not answer.
//!
//! While a data centre is cut off, each call to one of its daemons takes a connection timeout before
//! it is sent elsewhere, and the membership protocol needs seconds to find the daemons dead. If every
//! daemon had to be tried, most calls in that time would be late. So a few silent daemons of a data
//! centre speak for all of it until one of them answers.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::id::{DaemonId, DataCentre};

/// Daemons of a data centre that have to be silent before the whole of it is avoided. A single one
/// may have lost its power.
const MIN_SILENT_DAEMONS: usize = 2;

/// How long a data centre is avoided at first. It doubles with each further silence after that time.
const AVOID_MIN: Duration = Duration::from_millis(500);

/// Longest time for which a data centre is avoided without a new trial.
const AVOID_MAX: Duration = Duration::from_secs(2);

/// What this daemon observed of one data centre since its last answer.
#[derive(Debug, Default)]
struct Silence {
    daemons: Vec<DaemonId>,
    avoided_until: Duration,
    /// Number of times that the data centre was avoided.
    level: u32,
}

/// Observations of the other data centres that are silent.
#[derive(Debug, Default)]
pub struct DataCentreReach {
    silent: BTreeMap<DataCentre, Silence>,
}

impl DataCentreReach {
    /// Records that a daemon of `data_centre` did not answer. Returns until when the data centre is to
    /// be avoided, if this silence changes that.
    pub fn silent(&mut self, data_centre: &str, daemon: &str, now: Duration) -> Option<Duration> {
        let silence = self.silent.entry(data_centre.to_owned()).or_default();
        if silence.daemons.len() < MIN_SILENT_DAEMONS
            && !silence.daemons.iter().any(|known| known == daemon)
        {
            silence.daemons.push(daemon.to_owned());
        }
        if silence.daemons.len() < MIN_SILENT_DAEMONS || now < silence.avoided_until {
            return None;
        }
        let time = AVOID_MIN.saturating_mul(1 << silence.level.min(10)).min(AVOID_MAX);
        silence.level += 1;
        silence.avoided_until = now + time;
        Some(silence.avoided_until)
    }

    /// Records that a daemon of `data_centre` answered. Returns whether the data centre was avoided.
    pub fn answered(&mut self, data_centre: &str) -> bool {
        let silence = self.silent.remove(data_centre);
        silence.is_some_and(|silence| silence.level > 0)
    }
}
