//! Suspected members and the rules by which a daemon declares them dead.
//!
//! A suspicion and its refutation both spread to all members, but when messages are lost or many
//! members die at once, the refutation reaches some members seconds after the suspicion. Hence each
//! daemon needs evidence of its own before it declares a suspect dead: two failed probes of the
//! suspect since the suspicion began, or one if another daemon has declared it dead. A message from
//! the suspect itself restarts the suspicion.

use std::time::Duration;

use super::member::MemberState;
use super::probing::ProbeKind;
use super::queue::Rng;
use super::swim::{Step, Swim};
use crate::id::DaemonId;

/// Failed probes, plus one if another daemon reported the death, that are needed to declare a
/// suspect dead. One failed probe is not enough: with 5 % loss, one in 10 probes of a live member
/// fails.
const REQUIRED_EVIDENCE: u32 = 2;
/// Time from the second probe to the end of the suspicion.
const FINAL_PROBE_LEAD: Duration = Duration::from_millis(300);

/// Timers of one suspect and the evidence against it since its last message.
#[derive(Debug)]
pub(super) struct Suspicion {
    /// Time at which the suspect is declared dead if there is enough evidence by then, or else as
    /// soon as there is.
    deadline: Duration,
    /// Time of the next probe; `None` while a probe is pending.
    next_probe_at: Option<Duration>,
    /// Number of this daemon's probes of the suspect that failed.
    failed_probes: u32,
    /// Whether another daemon has declared the suspect dead.
    reported_dead: bool,
}

impl Suspicion {
    /// Schedules the first probe at a random time between one and two thirds of `timeout`. The
    /// refutation that the earliest probes cause can then spread before the other daemons' probes
    /// are due, so that a live suspect is not probed by all members at once.
    pub(super) fn new(now: Duration, timeout: Duration, rng: &mut Rng) -> Self {
        let third = timeout / 3;
        let spread = third * rng.below(1_000) as u32 / 1_000;
        let next_probe_at = Some(now + third + spread);
        Self { deadline: now + timeout, next_probe_at, failed_probes: 0, reported_dead: false }
    }

    /// Restarts the timers and discards all evidence from before `now`.
    pub(super) fn restart(&mut self, now: Duration, timeout: Duration) {
        let (deadline, next_probe_at) = (now + timeout, Some(now + timeout / 2));
        *self = Self { deadline, next_probe_at, failed_probes: 0, reported_dead: false };
    }

    fn has_enough_evidence(&self) -> bool {
        self.failed_probes > 0
            && self.failed_probes + u32::from(self.reported_dead) >= REQUIRED_EVIDENCE
    }
}

impl Swim {
    /// Marks a live member as suspect and pushes the suspicion to it, so that it can refute it at
    /// once. Does nothing while this daemon itself seems to be isolated.
    pub(super) fn suspect(&mut self, target: &str, step: &mut Step) {
        if self.is_isolated(step.now) {
            return;
        }
        let Some(member) = self.members.get(target).filter(|m| m.is_live()) else {
            return;
        };
        let mut suspect = member.clone();
        suspect.state = MemberState::Suspect;
        self.accept(suspect.clone(), step);
        self.push_to(suspect.peer_addr, suspect, step);
    }

    /// Restarts the suspicion of a member, if any, because a message from that member was received.
    pub(super) fn restart_suspicion(&mut self, id: &str, now: Duration) {
        if let Some(suspicion) = self.suspects.get_mut(id) {
            suspicion.restart(now, self.settings.suspicion_timeout);
        }
    }

    /// Probes the suspects whose next probe is due, the most overdue first, within the limit on
    /// probes of suspects.
    pub(super) fn probe_suspects(&mut self, step: &mut Step) {
        let undecided =
            self.suspects.iter().filter(|(_, suspicion)| !suspicion.has_enough_evidence());
        let due = undecided.filter_map(|(id, s)| Some((s.next_probe_at?, id.clone())));
        let mut due: Vec<(Duration, DaemonId)> = due.filter(|(at, _)| *at <= step.now).collect();
        due.sort_unstable();
        for (_, id) in due {
            let target = Some(id.clone());
            if self.pending_probes.values().any(|probe| probe.target == target) {
                continue;
            }
            if !self.suspect_probe_budget.take_one(step.now) {
                break;
            }
            if let Some(suspicion) = self.suspects.get_mut(&id) {
                suspicion.next_probe_at = None;
            }
            if let Some(to) = self.members.get(&id).map(|suspect| suspect.peer_addr) {
                self.send_probe(to, target, ProbeKind::Direct, step);
            }
        }
    }

    /// Counts a failed probe of a suspect and schedules the next one shortly before the deadline,
    /// so that a refutation has most of the suspicion timeout to arrive.
    pub(super) fn record_failed_probe(&mut self, id: &str) {
        if let Some(suspicion) = self.suspects.get_mut(id) {
            suspicion.failed_probes += 1;
            suspicion.next_probe_at = Some(suspicion.deadline.saturating_sub(FINAL_PROBE_LEAD));
        }
    }

    /// Records that another daemon has declared the suspect dead.
    pub(super) fn record_reported_death(&mut self, id: &str) {
        if let Some(suspicion) = self.suspects.get_mut(id) {
            suspicion.reported_dead = true;
        }
    }

    /// Declares the suspects dead whose deadline has passed with enough evidence, unless this
    /// daemon itself seems to be isolated.
    pub(super) fn confirm_deaths(&mut self, step: &mut Step) {
        if self.is_isolated(step.now) {
            return;
        }
        let is_confirmed = |s: &Suspicion| s.deadline <= step.now && s.has_enough_evidence();
        let due = self.suspects.iter().filter(|(_, suspicion)| is_confirmed(suspicion));
        for id in due.map(|(id, _)| id.clone()).collect::<Vec<_>>() {
            let mut dead =
                self.members.get(&id).cloned().expect("every suspect is in the member table");
            dead.state = MemberState::Dead;
            self.accept(dead, step);
        }
    }
}
