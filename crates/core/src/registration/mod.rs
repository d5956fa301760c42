//! Decides which report of a backend server to the daemon beside it is the newest.
//!
//! Reports can arrive late and out of order, and a report of an earlier start can arrive after its sender
//! crashed and another backend server took its address. The start time and the sequence number that
//! a backend server reports decide which report is newer; the clock of the daemon does not.

use std::collections::VecDeque;

use crate::id::InstanceId;

/// Ended starts that are remembered, so that a late report does not bring one of them back.
const MAX_ENDED: usize = 16;

/// Start time of a backend server by its own clock, in milliseconds since the Unix epoch.
pub type BootTime = u64;

/// Report of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// Identifier of the backend server; may outlive a restart.
    pub instance: InstanceId,
    /// Its start time, if it reports one.
    pub boot: Option<BootTime>,
    /// Counts the reports of one start.
    pub sequence: u64,
    /// Whether it is leaving.
    pub draining: bool,
}

/// Whether a report describes the present state of the backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportStatus {
    /// It describes the backend server as it is now.
    Current {
        /// Whether the backend server is leaving; it cannot take that back within one start.
        draining: bool,
    },
    /// A newer report is known, or its sender has ended.
    Outdated,
}

/// Newest report and the starts that have ended.
#[derive(Debug, Default)]
pub struct ReportOrder {
    newest: Option<Report>,
    ended: VecDeque<(InstanceId, Option<BootTime>)>,
}

impl ReportOrder {
    /// Records a report and returns whether it is current or outdated.
    pub fn report(&mut self, mut report: Report) -> ReportStatus {
        if self.has_ended(&report.instance, report.boot) {
            return ReportStatus::Outdated;
        }
        if let Some(newest) = &self.newest {
            if is_before(report.boot, newest.boot) {
                return ReportStatus::Outdated;
            }
            let same_start = report.instance == newest.instance && report.boot == newest.boot;
            if same_start {
                if report.sequence <= newest.sequence {
                    return ReportStatus::Outdated;
                }
                report.draining |= newest.draining;
            }
        }
        let draining = report.draining;
        self.newest = Some(report);
        ReportStatus::Current { draining }
    }

    /// Records the end of a backend server; returns whether the newest report was its own.
    pub fn leave(&mut self, instance: &str, boot: Option<BootTime>) -> bool {
        let newest = self.newest.as_ref().filter(|newest| {
            // An unknown start time matches any start.
            let same_boot = boot.is_none() || newest.boot.is_none() || boot == newest.boot;
            newest.instance == instance && same_boot
        });
        let boot = newest.and_then(|newest| newest.boot).or(boot);
        let was_newest = newest.is_some();
        if !self.has_ended(instance, boot) {
            if self.ended.len() >= MAX_ENDED {
                self.ended.pop_front();
            }
            self.ended.push_back((instance.to_owned(), boot));
        }
        was_newest
    }

    fn has_ended(&self, instance: &str, boot: Option<BootTime>) -> bool {
        let same = |ended: Option<BootTime>| boot.is_none() || ended.is_none() || ended == boot;
        self.ended.iter().any(|(id, ended)| id == instance && same(*ended))
    }
}

fn is_before(a: Option<BootTime>, b: Option<BootTime>) -> bool {
    matches!((a, b), (Some(a), Some(b)) if a < b)
}
