//! State machine of the membership: timers and probing.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::departed::Departed;
use super::member::{Member, MemberState, Members};
use super::message::{Action, Probe, ProbeAnswer, ProbeRequest};
use super::probing::{Outstanding, Phase, Ring};
use super::queue::{Budget, Draw, Rank, UpdateQueue};
use super::settings::SwimSettings;
use super::suspicion::Suspicion;
use crate::id::DaemonId;
use crate::rendezvous;

/// Updates on one probe or ack.
pub const MAX_UPDATES: usize = 16;
/// Members in one delta.
pub const MAX_DELTA: usize = 32;
/// Bytes that a daemon sends for its membership in a second, by estimate; the rest of the control
/// budget of 9 KB is for the distribution of entries. Updates and deltas wait when they do not fit;
/// probes, acks and requests for indirect probes are sent in any case and charged.
pub const BYTES_PER_SECOND: u32 = 7_500;
/// Estimate for the framing and the numbers of a message.
pub const MESSAGE_BYTES: u32 = 100;
/// Third daemons that are asked to probe a member that did not answer.
pub const INDIRECT_PROBES: usize = 3;
/// Members to which an urgent update is pushed.
pub const PUSH_FANOUT: usize = 4;
/// Messages that a daemon sends of its own accord in a second, at most, averaged over bursts of one
/// second: 1 probe in turn, 1 because of a rumour, 3 requests for indirect probes for each of these (or 4
/// probes of suspects in place of the second kind), 4 indirect probes for others, 8 pushes and 4 requests for a delta (1 in steady state). Each
/// received message causes at most one answer.
pub const MAX_MESSAGES_PER_SECOND: u32 = 24;

/// Bytes of the budget that piggybacked updates leave to deltas.
const DELTA_RESERVE: u32 = BYTES_PER_SECOND / 3;
const PUSHES_PER_SECOND: u32 = 8;
const RELAYED_PROBES_PER_SECOND: u32 = 4;
/// Probes of suspects in a second; a probe because of a rumour of death, which may cause requests for
/// indirect probes, takes as much as all of them.
pub(super) const CHECKS_PER_SECOND: u32 = 1 + INDIRECT_PROBES as u32;
pub(super) const SYNCS_PER_SECOND: u32 = 1;
pub(super) const JOINING_SYNCS_PER_SECOND: u32 = 4;
/// A delta with a filter is about 1.3 KB without members, so 4 a second would take most of the budget.
const DELTAS_PER_SECOND: u32 = 2;
/// One probe of this many goes to another data centre.
const ELSEWHERE_EVERY: u64 = 10;
/// One probe of this many goes to a seed or a departed member, so that healed partitions are noticed.
const CONTACT_EVERY: u64 = 30;
/// The same while joining, and for a while after a death. Daemons that know only each other find equal
/// tables and learn nothing more; in a trial with 960 daemons some stayed at 353 members until their first
/// probe to an unknown seed. A daemon that comes back knows nobody while the platform is out of reach.
const CONTACT_EVERY_SOON: u64 = 5;
/// Time after a death in which the member is likely to come back.
const RETURNS_WITHIN: Duration = Duration::from_secs(60);
/// Time after its start in which a daemon fetches the table at the higher rate.
pub(super) const JOINING_FOR: Duration = Duration::from_secs(60);
/// Time after its start in which a daemon leaves out the seeds when it probes in turn: after a mass restart
/// they are the first that all others know.
const SPARES_SEEDS_FOR: Duration = Duration::from_secs(20);
/// Silence of all members after which a daemon takes itself to be cut off.
const ISOLATED_AFTER: Duration = Duration::from_secs(2);
/// Silence after which it concludes that the others are dead all the same.
const ISOLATED_UNTIL: Duration = Duration::from_secs(30);

/// Time, random numbers and actions of one step.
#[derive(Debug)]
pub(super) struct Step {
    pub(super) now: Duration,
    pub(super) draw: Draw,
    pub(super) actions: Vec<Action>,
}

impl Step {
    pub(super) fn new(now: Duration, random: u64) -> Self {
        Self { now, draw: Draw(random), actions: Vec::new() }
    }
}

/// Membership as seen by one daemon.
#[derive(Debug)]
pub struct Swim {
    pub(super) settings: SwimSettings,
    pub(super) id: DaemonId,
    pub(super) members: Members,
    pub(super) queue: UpdateQueue,
    pub(super) outstanding: BTreeMap<u64, Outstanding>,
    pub(super) suspects: BTreeMap<DaemonId, Suspicion>,
    pub(super) departed: Departed,
    pub(super) bytes: Budget,
    pub(super) statement_bytes: u32,
    pub(super) pushes: Budget,
    pub(super) relayed: Budget,
    pub(super) checks: Budget,
    pub(super) syncs: Budget,
    pub(super) joining_syncs: Budget,
    pub(super) deltas: Budget,
    pub(super) mismatches: u32,
    pub(super) last_heard: Duration,
    pub(super) started: Option<Duration>,
    /// Whether probes in turn leave out the seeds.
    spares_seeds: bool,
    near: Ring,
    far: Ring,
    next_number: u64,
    next_probe: Duration,
    rounds: u64,
    last_tick: Duration,
    forget_check: Duration,
}

impl Swim {
    /// Starts with this daemon as the only member.
    #[must_use]
    pub fn new(own: Member, settings: SwimSettings) -> Self {
        let id = own.id.clone();
        let statement_bytes = statement_bytes(&own);
        let mut members = Members::default();
        members.merge(own);
        let mut queue = UpdateQueue::default();
        queue.add(&id, Rank::Change, 2);
        Self {
            settings,
            id,
            members,
            queue,
            outstanding: BTreeMap::new(),
            suspects: BTreeMap::new(),
            departed: Departed::default(),
            bytes: Budget::new(BYTES_PER_SECOND),
            statement_bytes,
            pushes: Budget::new(PUSHES_PER_SECOND),
            relayed: Budget::new(RELAYED_PROBES_PER_SECOND),
            checks: Budget::new(CHECKS_PER_SECOND),
            syncs: Budget::new(SYNCS_PER_SECOND),
            joining_syncs: Budget::new(JOINING_SYNCS_PER_SECOND),
            deltas: Budget::new(DELTAS_PER_SECOND),
            mismatches: 0,
            last_heard: Duration::ZERO,
            started: None,
            spares_seeds: true,
            near: Ring::default(),
            far: Ring::default(),
            next_number: 0,
            next_probe: Duration::ZERO,
            rounds: 0,
            last_tick: Duration::ZERO,
            forget_check: Duration::ZERO,
        }
    }

    /// All members as this daemon sees them.
    #[must_use]
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// This daemon's statement about itself.
    #[must_use]
    pub fn own(&self) -> &Member {
        self.members.get(&self.id).expect("the own member is never removed")
    }

    /// Lets time pass; to be called every 100 to 250 ms. A gap of more than 2 s counts as a pause of
    /// this daemon.
    pub fn tick(&mut self, now: Duration, random: u64) -> Vec<Action> {
        let mut step = Step::new(now, random);
        if self.started.is_none() {
            // Daemons that start together would otherwise all probe the seeds in the same second.
            self.rounds = step.draw.next() % CONTACT_EVERY;
        }
        self.notice_pause(now);
        self.last_tick = now;
        self.expire_probes(&mut step);
        self.check_suspects(&mut step);
        self.expire_suspects(&mut step);
        self.propose_evictions(&mut step);
        self.forget(now);
        if now >= self.next_probe {
            self.next_probe = now + self.settings.probe_interval;
            self.probe_next(&mut step);
        }
        self.settle(step)
    }

    /// Charges the parts of the messages that are sent whether or not the budget allows it.
    pub(super) fn settle(&mut self, step: Step) -> Vec<Action> {
        for action in &step.actions {
            let filter = match action {
                Action::SendSyncRequest { request, .. } => Some(&request.filter),
                Action::SendDelta { delta, .. } => delta.filter.as_ref(),
                _ => None,
            };
            let filter = filter.map_or(0, |filter| filter_bytes(filter.words()));
            if !matches!(action, Action::StateChanged { .. } | Action::ProposeEvict { .. }) {
                self.bytes.charge(MESSAGE_BYTES + self.statement_bytes + filter);
            }
        }
        step.actions
    }

    /// After a pause, nothing that did not happen in the meantime counts against the others.
    pub(super) fn notice_pause(&mut self, now: Duration) {
        if self.started.is_none() {
            self.started = Some(now);
            self.last_heard = now;
        } else if now.saturating_sub(self.last_tick) > self.settings.pause_gap {
            self.outstanding.clear();
            for suspicion in self.suspects.values_mut() {
                suspicion.rearm(now, self.settings.suspicion);
            }
            self.departed.postpone(now + self.settings.evict_after);
            self.last_heard = now;
        } else {
            return;
        }
        self.last_tick = now;
    }

    /// Whether this daemon rather than the others seems to be cut off.
    pub(super) fn is_isolated(&self, now: Duration) -> bool {
        let silence = now.saturating_sub(self.last_heard);
        let others = self.members.live().filter(|member| member.id != self.id);
        silence > ISOLATED_AFTER && silence < ISOLATED_UNTIL && others.take(2).count() == 2
    }

    fn expire_probes(&mut self, step: &mut Step) {
        let due = self.outstanding.iter().filter(|(_, o)| o.deadline <= step.now);
        for number in due.map(|(number, _)| *number).collect::<Vec<_>>() {
            self.probe_failed(number, step);
        }
    }

    /// Takes the next step after a probe or its indirect probes failed.
    pub(super) fn probe_failed(&mut self, number: u64, step: &mut Step) {
        let Some(failed) = self.outstanding.remove(&number) else {
            return;
        };
        match (failed.phase, failed.target) {
            (Phase::OnBehalf { of, number }, _) => {
                let answer = ProbeAnswer { number, target: None };
                step.actions.push(Action::SendProbeAnswer { to: of, answer });
            }
            (_, Some(target)) if self.suspects.contains_key(&target) => self.check_failed(&target),
            (Phase::Direct, Some(target)) => self.ask_others(number, &target, step),
            (Phase::Indirect { .. }, Some(target)) => self.suspect(&target, step),
            _ => {}
        }
    }

    fn ask_others(&mut self, number: u64, target: &str, step: &mut Step) {
        let Some(subject) = self.members.get(target).filter(|m| !m.is_departed()) else {
            return;
        };
        let target_addr = subject.peer_addr;
        let vias = self.helpers(subject, step);
        if vias.is_empty() {
            return self.suspect(target, step);
        }
        self.outstanding.insert(
            number,
            Outstanding {
                target: Some(target.to_owned()),
                phase: Phase::Indirect { open: vias.len() },
                deadline: step.now + self.settings.indirect_timeout,
            },
        );
        for via in vias {
            let request = ProbeRequest {
                number,
                from: self.own().clone(),
                target: target.to_owned(),
                target_addr,
            };
            step.actions.push(Action::SendProbeRequest { via, request });
        }
    }

    /// Third daemons: one of the subject's data centre if there is one, the rest at random.
    fn helpers(&self, subject: &Member, step: &mut Step) -> Vec<SocketAddr> {
        let mut others = self.others(&subject.id);
        let count = others.len();
        step.draw.shuffle(&mut others, count);
        let beside = |member: &&Member| member.data_centre == subject.data_centre;
        if let Some(index) = others.iter().position(beside) {
            others.swap(0, index);
        }
        others.truncate(INDIRECT_PROBES);
        others.iter().map(|member| member.peer_addr).collect()
    }

    /// Live members except this daemon and `id`.
    pub(super) fn others(&self, id: &str) -> Vec<&Member> {
        let live = self.members.live();
        live.filter(|m| m.id != self.id && m.id != id).collect()
    }

    /// The first of the dead member's data centre in rank order for its id proposes. When that data
    /// centre is gone as a whole, the first of all others does so later: its keys need an owner, and
    /// fencing keeps members that are merely cut off from acting as one.
    fn propose_evictions(&mut self, step: &mut Step) {
        for id in self.departed.due(step.now, self.settings.evict_after) {
            let Some(dead) = self.members.get(&id) else {
                continue;
            };
            let incarnation = dead.incarnation;
            let wanted = dead.state == MemberState::Dead
                && !self.departed.is_evicted(&id, incarnation)
                && self.is_proposer(dead, step.now);
            if wanted {
                step.actions.push(Action::ProposeEvict { id, incarnation });
            }
        }
    }

    fn is_proposer(&self, dead: &Member, now: Duration) -> bool {
        let first = |beside: bool| {
            let live = self.members.live();
            let voters = live.filter(|m| !beside || m.data_centre == dead.data_centre);
            rendezvous::first(dead.id.as_bytes(), voters.map(|m| m.id.as_str()))
        };
        if let Some(beside) = first(true) {
            return beside == self.id;
        }
        let gone_for =
            self.departed.departed_at(&dead.id).map_or(Duration::ZERO, |at| now.saturating_sub(at));
        gone_for >= self.settings.evict_data_centre_after && first(false) == Some(self.id.as_str())
    }

    fn forget(&mut self, now: Duration) {
        if now < self.forget_check {
            return;
        }
        self.forget_check = now + Duration::from_secs(1);
        for id in self.departed.expired(now) {
            if let Some(member) = self.members.remove(&id) {
                self.queue.remove(&id);
                let until = now + self.settings.tombstone_for;
                self.departed.forget(&member, until);
            }
        }
        self.departed.drop_tombstones(now);
    }

    fn probe_next(&mut self, step: &mut Step) {
        self.rounds += 1;
        let started = self.started.unwrap_or_default();
        if self.spares_seeds && step.now.saturating_sub(started) >= SPARES_SEEDS_FOR {
            self.spares_seeds = false;
            self.add_seeds_to_rounds(step);
        }
        let soon = self.is_joining(step.now)
            || self.departed.any_since(step.now.saturating_sub(RETURNS_WITHIN));
        let contact_every = if soon { CONTACT_EVERY_SOON } else { CONTACT_EVERY };
        // Never the round of a probe to another data centre.
        let contact_due = self.rounds % contact_every == 1;
        if contact_due && self.probe_contact(step) {
            return;
        }
        let elsewhere_first = self.rounds.is_multiple_of(ELSEWHERE_EVERY);
        let target = self
            .next_target(elsewhere_first, step)
            .or_else(|| self.next_target(!elsewhere_first, step));
        match target {
            Some((id, to)) => self.send_probe(to, Some(id), Phase::Direct, step),
            None => {
                self.probe_contact(step);
            }
        }
    }

    /// A round of the ring of the other data centres that began without the seeds can last for hours.
    fn add_seeds_to_rounds(&mut self, step: &mut Step) {
        let own = &self.own().data_centre;
        let seeds = self.members.iter().filter(|m| self.settings.seeds.contains(&m.peer_addr));
        let others = seeds.filter(|member| member.id != self.id);
        let (near, far): (Vec<&Member>, Vec<&Member>) =
            others.partition(|member| member.data_centre == *own);
        self.near.add(near, &mut step.draw);
        self.far.add(far, &mut step.draw);
    }

    fn next_target(&mut self, elsewhere: bool, step: &mut Step) -> Option<(DaemonId, SocketAddr)> {
        let id = &self.id;
        let own = self.members.get(id)?;
        let avoided: &[SocketAddr] = if self.spares_seeds { &self.settings.seeds } else { &[] };
        let belongs = |m: &Member| {
            let apart = m.data_centre != own.data_centre;
            m.id != *id && apart == elsewhere && !avoided.contains(&m.peer_addr)
        };
        let ring = if elsewhere { &mut self.far } else { &mut self.near };
        let next = ring.next(&self.members, belongs, &mut step.draw)?;
        Some((next.id.clone(), next.peer_addr))
    }

    /// Probes a seed that no live member uses or a departed member; returns whether there was one.
    fn probe_contact(&mut self, step: &mut Step) -> bool {
        let departed = self.members.iter().filter(|member| member.is_departed());
        let mut candidates: Vec<SocketAddr> = departed.map(|member| member.peer_addr).collect();
        for seed in &self.settings.seeds {
            if !self.members.live().any(|member| member.peer_addr == *seed) {
                candidates.push(*seed);
            }
        }
        if candidates.is_empty() {
            return false;
        }
        let to = candidates[step.draw.below(candidates.len())];
        self.send_probe(to, None, Phase::Contact, step);
        true
    }

    pub(super) fn send_probe(
        &mut self,
        to: SocketAddr,
        target: Option<DaemonId>,
        phase: Phase,
        step: &mut Step,
    ) {
        let subject = target.as_ref().and_then(|id| self.members.get(id));
        let suspicion = subject.filter(|member| member.state == MemberState::Suspect);
        let updates = suspicion.cloned().into_iter().collect();
        self.send_probe_with(to, target, phase, updates, step);
    }

    /// Sends a probe that carries `updates` before what is piggybacked.
    pub(super) fn send_probe_with(
        &mut self,
        to: SocketAddr,
        target: Option<DaemonId>,
        phase: Phase,
        mut updates: Vec<Member>,
        step: &mut Step,
    ) {
        let number = self.next_number;
        self.next_number += 1;
        updates.extend(self.take_updates(MAX_UPDATES - updates.len(), step.now));
        let probe =
            Probe { number, from: self.own().clone(), digest: self.members.digest(), updates };
        let outstanding =
            Outstanding { target, phase, deadline: step.now + self.settings.probe_timeout };
        self.outstanding.insert(number, outstanding);
        step.actions.push(Action::SendProbe { to, probe });
    }

    /// Updates to piggyback, within the budget.
    pub(super) fn take_updates(&mut self, limit: usize, now: Duration) -> Vec<Member> {
        let limit = limit.min(self.queue.len());
        let size = self.statement_bytes;
        let count = self.bytes.take(limit, size, DELTA_RESERVE, now);
        let ids = self.queue.take(count);
        let members = ids.iter().filter_map(|id| self.members.get(id));
        members.cloned().collect()
    }
}

/// Bytes of a filter; each word has a type byte.
pub(super) fn filter_bytes(words: usize) -> u32 {
    9 * (words as u32 + 1)
}

/// Estimate for one statement, from this daemon's own: names in a mesh have similar lengths.
fn statement_bytes(own: &Member) -> u32 {
    // Incarnation, sequence, state, slots and address with their type bytes.
    const NUMBERS: usize = 45;
    // The service may become known later.
    const SERVICE: usize = 12;
    let service = own.service.as_ref().map_or(SERVICE, String::len);
    (NUMBERS + own.id.len() + own.data_centre.len() + service) as u32
}
