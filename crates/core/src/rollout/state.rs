//! State machine of one roll-out, which its decider runs.

use std::collections::BTreeMap;
use std::time::Duration;

use super::comparison::{Comparison, Figures, Observation, Verdict};
use super::record::{RolloutPhase, RolloutRecord};
use crate::id::DaemonId;

/// Part of the allowed canary share that is used. Requests are counted where they are sent, and daemons learn of a
/// change of phase at different times.
const SHARE_USED: f64 = 0.6;

/// Part of the allowed further requests that is used while the service is quiet, where the share alone would not
/// show anything.
const SLACK_USED: f64 = 0.5;

/// Highest share of the canary, also where the service is quiet.
const MAX_CANARY_SHARE: f64 = 0.25;

/// Share in the phase between the canary and the full load.
const RAMP_SHARE: f64 = 0.25;

/// Part of the ordered time that the canary takes; a release that turns bad late has to show it in this time.
const CANARY_PART: f64 = 0.5;

/// Time that is left for the phases after the canary, if the ordered time allows: the old release has to finish
/// requests that run for some seconds.
const AFTER_CANARY: Duration = Duration::from_secs(6);

/// Shortest part of the ordered time that the canary takes.
const MIN_CANARY_PART: f64 = 0.3;

/// Part of the ordered time by which the canary is prolonged while the comparison is in doubt.
const DOUBT_PART: f64 = 0.1;

/// Longest time of the ramp. A release that is bad on one route of several gives enough bad responses in it, so
/// that it does not get all requests.
const RAMP_TIME: Duration = Duration::from_secs(2);

/// Part of the ordered time that the ramp takes at most.
const RAMP_PART: f64 = 0.17;

/// Part of that time for a look at the release under full load.
const LOOK_PART: f64 = 0.5;

/// Part of the ordered time that is left for writing the result.
const END_MARGIN_PART: f64 = 0.1;

/// Longest time left for writing the result.
const MAX_END_MARGIN: Duration = Duration::from_millis(1_500);

/// Age from which the last report of a daemon no longer counts as a confirmation that it left the old release.
const REPORT_LIFETIME: Duration = Duration::from_millis(1_600);

/// Age from which it no longer shows that the daemon follows the phase; daemons without requests report every two
/// seconds.
const FOLLOW_LIFETIME: Duration = Duration::from_secs(3);

/// Bounds of the canary.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RolloutLimits {
    /// Part of the requests of the service that a release which may be bad gets at most.
    pub share: f64,
    /// Number of requests that it may get beyond that.
    pub slack: f64,
}

/// What a daemon says about its own part in a roll-out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DaemonReport {
    /// Phase that it follows.
    pub phase: RolloutPhase,
    /// Whether it sends all requests to the old release because it is unsure.
    pub is_unsure: bool,
    /// Number of requests that run or wait at the old release: those that it sent, and those at the backend server
    /// beside it.
    pub base_in_flight: u32,
    /// Number of requests of the service that it sent since its last report.
    pub requests: u32,
}

/// Change of phase that is due.
#[derive(Debug, Clone, PartialEq)]
pub struct Transition {
    /// Record with the next phase.
    pub record: RolloutRecord,
    /// Why.
    pub reason: &'static str,
    /// Comparison at that time.
    pub figures: Figures,
}

/// A roll-out that has not ended.
#[derive(Debug, Clone)]
pub struct Rollout {
    record: RolloutRecord,
    limits: RolloutLimits,
    /// When the roll-out began, on the clock of the decider; a successor may have started after that.
    started: Option<Duration>,
    age_at_start: Duration,
    phase_since: Duration,
    /// Since when the new release has had a backend server that can serve.
    served_since: Option<Duration>,
    comparison: Comparison,
    reports: BTreeMap<DaemonId, (Duration, DaemonReport)>,
    first_report: Option<Duration>,
    requests: u64,
    is_bad: bool,
}

impl Rollout {
    /// Takes over a roll-out that began `age` ago.
    #[must_use]
    pub fn new(record: RolloutRecord, limits: RolloutLimits, age: Duration, now: Duration) -> Self {
        Self {
            record,
            limits,
            started: now.checked_sub(age),
            age_at_start: age.saturating_sub(now),
            phase_since: now,
            served_since: None,
            comparison: Comparison::default(),
            reports: BTreeMap::new(),
            first_report: None,
            requests: 0,
            is_bad: false,
        }
    }

    /// The record.
    #[must_use]
    pub fn record(&self) -> &RolloutRecord {
        &self.record
    }

    /// Time since the roll-out began.
    #[must_use]
    pub fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.started.unwrap_or_default()) + self.age_at_start
    }

    /// Whether the new release has shown to be bad.
    #[must_use]
    pub fn is_bad(&self) -> bool {
        self.is_bad
    }

    /// Records that the new release has shown to be bad, as another decider found.
    pub fn mark_bad(&mut self) {
        self.is_bad = true;
    }

    /// Continues with a record of a later phase, which was stored.
    pub fn advance(&mut self, record: RolloutRecord, now: Duration) {
        self.phase_since = now;
        self.record = record;
    }

    /// Adds a report of a daemon.
    pub fn report(
        &mut self,
        from: &str,
        report: DaemonReport,
        observations: impl IntoIterator<Item = Observation>,
        now: Duration,
    ) {
        self.first_report.get_or_insert(now);
        self.requests += u64::from(report.requests);
        self.reports.insert(from.to_owned(), (now, report));
        for observation in observations {
            self.comparison.add(observation, now);
        }
    }

    /// Part of the requests that goes to the new release; 1 if all do.
    #[must_use]
    pub fn share(&self, now: Duration) -> f64 {
        if self.is_bad {
            return 0.0;
        }
        match self.record.phase {
            RolloutPhase::Canary => self.canary_share(now),
            RolloutPhase::Ramp => RAMP_SHARE.max(self.canary_share(now)),
            RolloutPhase::Promoting | RolloutPhase::Succeeded => 1.0,
            RolloutPhase::RolledBack => 0.0,
        }
    }

    fn canary_share(&self, now: Duration) -> f64 {
        let share = self.limits.share * SHARE_USED;
        let observed = now.saturating_sub(self.first_report.unwrap_or(now)).as_secs_f64();
        if observed < 1.0 {
            return share;
        }
        let rate = (self.requests as f64 / observed).max(0.1);
        let further = self.limits.slack * SLACK_USED / (rate * self.canary_end().as_secs_f64());
        (share + further).min(MAX_CANARY_SHARE.max(share))
    }

    fn canary_end(&self) -> Duration {
        let within = self.record.within();
        let end = within.mul_f64(CANARY_PART).min(within.saturating_sub(AFTER_CANARY));
        end.max(within.mul_f64(MIN_CANARY_PART))
    }

    fn ramp_time(&self) -> Duration {
        RAMP_TIME.min(self.record.within().mul_f64(RAMP_PART))
    }

    fn last_moment(&self) -> Duration {
        let within = self.record.within();
        within.saturating_sub(MAX_END_MARGIN.min(within.mul_f64(END_MARGIN_PART)))
    }

    /// Whether a daemon has reported lately that it follows the present phase.
    #[must_use]
    pub fn is_followed_by(&self, id: &str, now: Duration) -> bool {
        self.reports.get(id).is_some_and(|(at, report)| {
            now < *at + FOLLOW_LIFETIME && report.phase == self.record.phase && !report.is_unsure
        })
    }

    /// Determines whether a change of phase is due. `members` are the daemons that may send requests, and `servers`
    /// is the number of backend servers of the new release that can serve.
    pub fn step<'a>(
        &mut self,
        members: impl IntoIterator<Item = &'a str>,
        servers: usize,
        now: Duration,
    ) -> Option<Transition> {
        if self.record.phase.is_final() {
            return None;
        }
        if servers > 0 {
            self.served_since.get_or_insert(now);
        }
        let (verdict, figures) = self.comparison.judge(servers, now);
        let age = self.age(now);
        let (phase, reason) = if verdict == Verdict::Bad || self.is_bad {
            self.is_bad = true;
            (RolloutPhase::RolledBack, "the new release gives more bad responses than the old one")
        } else {
            self.next_phase(verdict, members, servers, age, now)?
        };
        Some(Transition { record: RolloutRecord { phase, ..self.record.clone() }, reason, figures })
    }

    fn next_phase<'a>(
        &self,
        verdict: Verdict,
        members: impl IntoIterator<Item = &'a str>,
        servers: usize,
        age: Duration,
        now: Duration,
    ) -> Option<(RolloutPhase, &'static str)> {
        let in_phase = now.saturating_sub(self.phase_since);
        let served = now.saturating_sub(self.served_since.unwrap_or(now));
        let look_time = self.ramp_time().mul_f64(LOOK_PART);
        let doubt_time = match verdict {
            Verdict::Doubtful => self.record.within().mul_f64(DOUBT_PART),
            Verdict::Good | Verdict::Bad => Duration::ZERO,
        };
        match self.record.phase {
            RolloutPhase::Canary | RolloutPhase::Ramp if age >= self.record.within() => {
                Some((RolloutPhase::RolledBack, "the ordered time is over"))
            }
            // Without a backend server of the new release there is nothing to promote.
            RolloutPhase::Canary | RolloutPhase::Ramp if servers == 0 => None,
            // Backend servers that become ready late are looked at all the same, and so is what a successor finds.
            RolloutPhase::Canary
                if age >= self.canary_end() + doubt_time && served >= self.ramp_time() =>
            {
                Some((RolloutPhase::Ramp, "the canary shows no sign of a bad release"))
            }
            RolloutPhase::Ramp if in_phase >= self.ramp_time() + doubt_time => {
                Some((RolloutPhase::Promoting, "the release bears more load"))
            }
            RolloutPhase::Promoting if in_phase >= look_time => self.finish(members, age, now),
            _ => None,
        }
    }

    fn finish<'a>(
        &self,
        members: impl IntoIterator<Item = &'a str>,
        age: Duration,
        now: Duration,
    ) -> Option<(RolloutPhase, &'static str)> {
        let is_done = |report: &DaemonReport| {
            report.phase >= RolloutPhase::Promoting
                && !report.is_unsure
                && report.base_in_flight == 0
        };
        let all_done = members.into_iter().all(|id| {
            let report = self.reports.get(id);
            report.is_some_and(|(at, report)| now < *at + REPORT_LIFETIME && is_done(report))
        });
        if all_done {
            return Some((RolloutPhase::Succeeded, "no daemon uses the old release any more"));
        }
        (age >= self.last_moment()).then_some((
            RolloutPhase::Succeeded,
            "the ordered time ends, some daemons have not confirmed",
        ))
    }
}
