//! Decides which report of a backend server to the daemon beside it is the newest.
//!
//! Reports can arrive late and out of order, and a report of an earlier start can arrive after its sender
//! crashed and another backend server took its address. The start time and the sequence number that
//! a backend server reports decide which report is newer; the clock of the daemon does not.
//!
//! A daemon that has just started knows of no earlier report, so the first one that says "ready" may be a late one
//! of a backend server that is leaving. It needs a proof that the backend server is ready now.

mod witnesses;

use std::collections::VecDeque;
use std::time::Duration;

use crate::id::InstanceId;

pub use witnesses::witnesses;

/// Ended starts that are remembered, so that a late report does not bring one of them back.
const MAX_ENDED: usize = 16;

/// Reports of one start, each newer than the last, that prove together that it is not leaving: one that is leaving
/// sends no more reports, and few arrive late.
const MIN_REPORTS_AS_PROOF: u32 = 4;

/// Shortest time between the first and the last of these reports; reports that were held up arrive together.
const MIN_TIME_AS_PROOF: Duration = Duration::from_secs(4);

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

/// Reports of one start that could not be proven one by one.
#[derive(Debug)]
struct Unproven {
    newest: Report,
    first_at: Duration,
    count: u32,
}

/// Newest report and the starts that have ended.
#[derive(Debug, Default)]
pub struct ReportOrder {
    newest: Option<Report>,
    unproven: Option<Unproven>,
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
            if same_start && report.sequence <= newest.sequence {
                return ReportStatus::Outdated;
            }
            // A backend server that was found by its health endpoint is without a start time.
            let may_be_same_start = same_start
                || report.instance == newest.instance
                    && (report.boot.is_none() || newest.boot.is_none());
            report.draining |= may_be_same_start && newest.draining;
            if report.instance == newest.instance && report.boot.is_none() {
                (report.boot, report.sequence) = (newest.boot, newest.sequence);
            }
        }
        let draining = report.draining;
        self.unproven = None;
        self.newest = Some(report);
        ReportStatus::Current { draining }
    }

    /// Whether a report may be a late one of a backend server that is leaving, so that a proof is needed that it is
    /// ready: nothing is known about its start, and it is not known to be the newest.
    #[must_use]
    pub fn needs_proof(&self, report: &Report) -> bool {
        if report.draining || self.has_ended(&report.instance, report.boot) {
            return false;
        }
        let Some(newest) = &self.newest else { return true };
        let is_known_start = report.instance == newest.instance
            && (report.boot == newest.boot || newest.boot.is_none());
        !is_known_start && !is_before(newest.boot, report.boot)
    }

    /// Records that a start is leaving, as another daemon remembers; what is known itself counts more. Without its
    /// start time it could not be told from the next start, so it is ignored.
    pub fn recall_leaving(&mut self, instance: &str, boot: Option<BootTime>) {
        if boot.is_some() && self.newest.is_none() && !self.has_ended(instance, boot) {
            let instance = instance.to_owned();
            self.newest = Some(Report { instance, boot, sequence: 0, draining: true });
        }
    }

    /// Start time of a backend server, if its newest report told it.
    #[must_use]
    pub fn known_boot(&self, instance: &str) -> Option<BootTime> {
        self.newest.as_ref().filter(|newest| newest.instance == instance)?.boot
    }

    /// Whether a start is known to be leaving or to have ended.
    #[must_use]
    pub fn is_leaving(&self, instance: &str, boot: Option<BootTime>) -> bool {
        let newest = self.newest.as_ref().filter(|newest| newest.instance == instance);
        self.has_ended(instance, boot)
            || newest.is_some_and(|newest| newest.draining && newest.boot == boot)
    }

    /// Records a report that needs a proof and has none; returns whether the reports of its start are one.
    pub fn count_unproven(&mut self, report: &Report, now: Duration) -> bool {
        let same_start =
            |known: &Report| known.instance == report.instance && known.boot == report.boot;
        let Some(unproven) = self.unproven.as_mut().filter(|known| same_start(&known.newest))
        else {
            self.unproven = Some(Unproven { newest: report.clone(), first_at: now, count: 1 });
            return false;
        };
        if report.sequence > unproven.newest.sequence {
            unproven.newest = report.clone();
            unproven.count += 1;
        }
        unproven.count >= MIN_REPORTS_AS_PROOF
            && now.saturating_sub(unproven.first_at) >= MIN_TIME_AS_PROOF
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
