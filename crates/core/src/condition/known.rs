//! Memory of what other daemons' backend servers have stated.
//!
//! A daemon that restarts has forgotten what its backend server stated. Those that send it calls tell
//! it what they know.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Condition;
use crate::id::InstanceId;
use crate::registration::BootTime;

/// Time for which a statement is remembered after it was last heard; longer than a backend server takes to leave.
const RETENTION: Duration = Duration::from_secs(60);

/// Condition of one start of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReportedCondition {
    /// Identifier of the backend server; may outlive a restart.
    pub instance: InstanceId,
    /// Its start time, if known.
    pub boot: Option<BootTime>,
    /// What it has stated.
    pub condition: Condition,
}

impl ReportedCondition {
    /// Whether this may be about a start of a backend server; an unknown start time may be any.
    #[must_use]
    pub fn may_be_about(&self, instance: Option<&str>, boot: Option<BootTime>) -> bool {
        let same_boot = self.boot.is_none() || boot.is_none() || self.boot == boot;
        instance == Some(self.instance.as_str()) && same_boot
    }
}

/// Conditions of backend servers by the address `A` of the daemon beside them.
#[derive(Debug)]
pub struct KnownConditions<A> {
    by_daemon: BTreeMap<A, (ReportedCondition, Duration)>,
}

impl<A> Default for KnownConditions<A> {
    fn default() -> Self {
        Self { by_daemon: BTreeMap::new() }
    }
}

impl<A: Ord> KnownConditions<A> {
    /// What the backend server beside a daemon has stated.
    #[must_use]
    pub fn get(&self, daemon: &A, now: Duration) -> Option<&ReportedCondition> {
        let (reported, heard_at) = self.by_daemon.get(daemon)?;
        (now < *heard_at + RETENTION).then_some(reported)
    }

    /// Records what a response of a daemon says of its backend server; `is_from_backend` tells whether
    /// the backend server itself responded.
    ///
    /// Without a condition, the response of a backend server ends a limit. That it leaves is not
    /// forgotten, since the daemon beside it may have.
    pub fn record(
        &mut self,
        daemon: A,
        reported: Option<ReportedCondition>,
        is_from_backend: bool,
        now: Duration,
    ) {
        if let Some(mut reported) = reported {
            let leaves = |known: &ReportedCondition| {
                known.condition.is_leaving
                    && known.may_be_about(Some(&reported.instance), reported.boot)
            };
            reported.condition.is_leaving |= self.get(&daemon, now).is_some_and(leaves);
            self.by_daemon.retain(|_, (_, heard_at)| now < *heard_at + RETENTION);
            self.by_daemon.insert(daemon, (reported, now));
            return;
        }
        let leaves = |(known, _): &(ReportedCondition, Duration)| known.condition.is_leaving;
        if is_from_backend && !self.by_daemon.get(&daemon).is_some_and(leaves) {
            self.by_daemon.remove(&daemon);
        }
    }
}
