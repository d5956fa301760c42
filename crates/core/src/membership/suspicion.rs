//! Suspects and the conclusion that they are dead.
//!
//! A suspicion spreads to all members, and so does its refutation, but under loss or beside many deaths
//! the refutation reaches some members seconds later than the suspicion. Hence each daemon needs
//! evidence of its own before it concludes a death: two probes of the suspect that failed during the
//! suspicion, or one when another daemon concluded the death. A message from the suspect itself starts
//! the suspicion anew.

use std::time::Duration;

use super::member::MemberState;
use super::probing::Phase;
use super::queue::Draw;
use super::swim::{Step, Swim};
use crate::id::DaemonId;

/// Evidence that a death takes. With 5 % loss, one probe of 10 of a live member fails.
const EVIDENCE: u32 = 2;
/// Time from the second check to the end of the suspicion.
const LAST_CHECK: Duration = Duration::from_millis(300);

/// A suspect of which nothing was heard yet.
#[derive(Debug)]
pub(super) struct Suspicion {
    /// When it is taken for dead, if there is enough evidence by then.
    deadline: Duration,
    /// When it is probed next, unless a probe is under way.
    check_at: Option<Duration>,
    /// Own probes that failed.
    failed: u32,
    /// Whether another daemon concluded the death.
    confirmed: bool,
}

impl Suspicion {
    /// The time of the check is drawn between a third and two thirds of `lasting`: a refutation that
    /// the first checks cause spreads before the others are due, so that a live suspect is not probed by
    /// all members at once.
    pub(super) fn new(now: Duration, lasting: Duration, draw: &mut Draw) -> Self {
        let third = lasting / 3;
        let spread = third * draw.below(1_000) as u32 / 1_000;
        let check_at = Some(now + third + spread);
        Self { deadline: now + lasting, check_at, failed: 0, confirmed: false }
    }

    /// Starts anew: what was seen before `now` does not count.
    pub(super) fn rearm(&mut self, now: Duration, lasting: Duration) {
        let (deadline, check_at) = (now + lasting, Some(now + lasting / 2));
        *self = Self { deadline, check_at, failed: 0, confirmed: false };
    }

    fn is_proven(&self) -> bool {
        self.failed > 0 && self.failed + u32::from(self.confirmed) >= EVIDENCE
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

    /// A message from the suspect itself was received.
    pub(super) fn heard_from(&mut self, id: &str, now: Duration) {
        if let Some(suspicion) = self.suspects.get_mut(id) {
            suspicion.rearm(now, self.settings.suspicion);
        }
    }

    /// Probes suspects, those first that wait longest.
    pub(super) fn check_suspects(&mut self, step: &mut Step) {
        let waiting = self.suspects.iter().filter(|(_, suspicion)| !suspicion.is_proven());
        let due = waiting.filter_map(|(id, s)| Some((s.check_at?, id.clone())));
        let mut due: Vec<(Duration, DaemonId)> = due.filter(|(at, _)| *at <= step.now).collect();
        due.sort_unstable();
        for (_, id) in due {
            let target = Some(id.clone());
            if self.outstanding.values().any(|o| o.target == target) {
                continue;
            }
            if !self.checks.take_one(step.now) {
                break;
            }
            if let Some(suspicion) = self.suspects.get_mut(&id) {
                suspicion.check_at = None;
            }
            if let Some(to) = self.members.get(&id).map(|suspect| suspect.peer_addr) {
                self.send_probe(to, target, Phase::Direct, step);
            }
        }
    }

    /// A probe of the suspect failed; the next one is due shortly before the time is over, so that the
    /// refutation has most of the suspicion to arrive.
    pub(super) fn check_failed(&mut self, id: &str) {
        if let Some(suspicion) = self.suspects.get_mut(id) {
            suspicion.failed += 1;
            suspicion.check_at = Some(suspicion.deadline.saturating_sub(LAST_CHECK));
        }
    }

    /// Another daemon concluded that the suspect is dead.
    pub(super) fn confirm(&mut self, id: &str) {
        if let Some(suspicion) = self.suspects.get_mut(id) {
            suspicion.confirmed = true;
        }
    }

    pub(super) fn expire_suspects(&mut self, step: &mut Step) {
        if self.is_isolated(step.now) {
            return;
        }
        let over = |s: &Suspicion| s.deadline <= step.now && s.is_proven();
        let due = self.suspects.iter().filter(|(_, suspicion)| over(suspicion));
        for id in due.map(|(id, _)| id.clone()).collect::<Vec<_>>() {
            let mut dead = self.members.get(&id).cloned().expect("suspects are members");
            dead.state = MemberState::Dead;
            self.accept(dead, step);
        }
    }
}
