//! Suspects and the conclusion that they are dead.
//!
//! A suspicion spreads to all members, and so does its refutation, but under loss or beside many deaths
//! the refutation reaches some members seconds later than the suspicion. Hence each daemon needs
//! evidence of its own before it concludes a death: two probes of the suspect that failed during the
//! suspicion, or one when another daemon concluded the death. A message from the suspect itself starts
//! the suspicion anew.

use std::time::Duration;

use super::member::MemberState;
use super::probing::ProbeKind;
use super::queue::Rng;
use super::swim::{Step, Swim};
use crate::id::DaemonId;

/// Failed probes, plus one if another daemon reported the death, that are needed to conclude a
/// death. With 5 % loss, one probe of 10 of a live member fails.
const REQUIRED_EVIDENCE: u32 = 2;
/// Time from the second probe to the end of the suspicion.
const FINAL_PROBE_LEAD: Duration = Duration::from_millis(300);

/// Timers and evidence of one suspect since it was last heard from.
#[derive(Debug)]
pub(super) struct Suspicion {
    /// When it is taken for dead, if there is enough evidence by then.
    deadline: Duration,
    /// When it is probed next, unless a probe is under way.
    next_probe_at: Option<Duration>,
    /// Own probes that failed.
    failed_probes: u32,
    /// Whether another daemon concluded the death.
    reported_dead: bool,
}

impl Suspicion {
    /// The time of the first probe is random between a third and two thirds of `timeout`: a refutation that
    /// the first probes cause spreads before the others are due, so that a live suspect is not probed by
    /// all members at once.
    pub(super) fn new(now: Duration, timeout: Duration, rng: &mut Rng) -> Self {
        let third = timeout / 3;
        let spread = third * rng.below(1_000) as u32 / 1_000;
        let next_probe_at = Some(now + third + spread);
        Self { deadline: now + timeout, next_probe_at, failed_probes: 0, reported_dead: false }
    }

    /// Starts anew: what was seen before `now` does not count.
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

    /// Probes the suspects that are due, longest overdue first.
    pub(super) fn probe_suspects(&mut self, step: &mut Step) {
        let unproven =
            self.suspects.iter().filter(|(_, suspicion)| !suspicion.has_enough_evidence());
        let due = unproven.filter_map(|(id, s)| Some((s.next_probe_at?, id.clone())));
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

    /// Counts a failed probe of the suspect. The next one is due shortly before the deadline, so that a
    /// refutation has most of the suspicion time to arrive.
    pub(super) fn record_failed_probe(&mut self, id: &str) {
        if let Some(suspicion) = self.suspects.get_mut(id) {
            suspicion.failed_probes += 1;
            suspicion.next_probe_at = Some(suspicion.deadline.saturating_sub(FINAL_PROBE_LEAD));
        }
    }

    /// Notes that another daemon concluded that the suspect is dead.
    pub(super) fn record_reported_death(&mut self, id: &str) {
        if let Some(suspicion) = self.suspects.get_mut(id) {
            suspicion.reported_dead = true;
        }
    }

    pub(super) fn expire_suspects(&mut self, step: &mut Step) {
        if self.is_isolated(step.now) {
            return;
        }
        let is_conclusive = |s: &Suspicion| s.deadline <= step.now && s.has_enough_evidence();
        let due = self.suspects.iter().filter(|(_, suspicion)| is_conclusive(suspicion));
        for id in due.map(|(id, _)| id.clone()).collect::<Vec<_>>() {
            let mut dead = self.members.get(&id).cloned().expect("suspects are members");
            dead.state = MemberState::Dead;
            self.accept(dead, step);
        }
    }
}
