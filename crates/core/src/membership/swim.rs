//! Membership state machine: timers, probing, evictions and budgets.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::departed::Departed;
use super::member::{Member, MemberState, Members};
use super::message::{Action, Probe, ProbeAnswer, ProbeRequest};
use super::probing::{PendingProbe, ProbeKind, ProbeOrder};
use super::queue::{Priority, Rng, TokenBucket, UpdateQueue};
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
pub const MESSAGE_OVERHEAD_BYTES: u32 = 100;
/// Third daemons that are asked to probe a member that did not answer.
pub const INDIRECT_PROBES: usize = 3;
/// Members to which an urgent update is pushed.
pub const PUSH_FANOUT: usize = 4;
/// Messages that a daemon sends of its own accord in a second, at most, averaged over bursts of one
/// second: 1 probe in turn, 1 because of a reported death, 3 requests for indirect probes for each of
/// these (or 4 probes of suspects in place of the second kind), 4 indirect probes for others, 8 pushes
/// and 4 requests for a delta (1 in steady state). Each received message causes at most one answer.
pub const MAX_MESSAGES_PER_SECOND: u32 = 24;

/// Bytes of the budget that piggybacked updates leave to deltas.
const DELTA_RESERVE_BYTES: u32 = BYTES_PER_SECOND / 3;
const PUSHES_PER_SECOND: u32 = 8;
const RELAYED_PROBES_PER_SECOND: u32 = 4;
/// Probes of suspects in a second; a probe because of a reported death, which may cause requests for
/// indirect probes, takes as much as all of them.
pub(super) const SUSPECT_PROBES_PER_SECOND: u32 = 1 + INDIRECT_PROBES as u32;
pub(super) const SYNCS_PER_SECOND: u32 = 1;
pub(super) const JOINING_SYNCS_PER_SECOND: u32 = 4;
/// A delta with a filter is about 1.3 KB without members, so 4 a second would take most of the budget.
const DELTAS_PER_SECOND: u32 = 2;
/// One probe of this many goes to another data centre.
const REMOTE_PROBE_EVERY: u64 = 10;
/// One probe of this many goes to a seed or a departed member, so that healed partitions are noticed.
const RECONNECT_EVERY: u64 = 30;
/// The same while joining, and for a while after a death. Daemons that know only each other find equal
/// tables and learn nothing more: with 960 daemons, some stayed at 353 members until their first
/// probe to an unknown seed. A daemon that comes back knows nobody while the platform is out of reach.
const FREQUENT_RECONNECT_EVERY: u64 = 5;
/// Time after a death in which the member is likely to come back.
const RECENT_DEATH_PERIOD: Duration = Duration::from_secs(60);
/// Time after its start in which a daemon fetches the table at the higher rate.
pub(super) const JOINING_PERIOD: Duration = Duration::from_secs(60);
/// Time after its start in which a daemon leaves out the seeds when it probes in turn: after a mass restart
/// they are the first that all others know.
const AVOID_SEEDS_FOR: Duration = Duration::from_secs(20);
/// Silence of all members after which a daemon assumes that it is cut off itself.
const ISOLATED_AFTER: Duration = Duration::from_secs(2);
/// Silence after which it suspects and declares members dead again.
const ISOLATED_UNTIL: Duration = Duration::from_secs(30);

/// Time, random numbers and actions of one step.
#[derive(Debug)]
pub(super) struct Step {
    pub(super) now: Duration,
    pub(super) rng: Rng,
    pub(super) actions: Vec<Action>,
}

impl Step {
    pub(super) fn new(now: Duration, random: u64) -> Self {
        Self { now, rng: Rng(random), actions: Vec::new() }
    }
}

/// Membership as seen by one daemon.
#[derive(Debug)]
pub struct Swim {
    pub(super) settings: SwimSettings,
    pub(super) id: DaemonId,
    pub(super) members: Members,
    pub(super) queue: UpdateQueue,
    pub(super) pending_probes: BTreeMap<u64, PendingProbe>,
    pub(super) suspects: BTreeMap<DaemonId, Suspicion>,
    pub(super) departed: Departed,
    pub(super) byte_budget: TokenBucket,
    pub(super) statement_bytes: u32,
    pub(super) push_budget: TokenBucket,
    pub(super) relayed_probe_budget: TokenBucket,
    pub(super) suspect_probe_budget: TokenBucket,
    pub(super) sync_budget: TokenBucket,
    pub(super) joining_sync_budget: TokenBucket,
    pub(super) delta_budget: TokenBucket,
    pub(super) mismatches: u32,
    pub(super) last_heard: Duration,
    pub(super) started: Option<Duration>,
    /// Whether probes in turn leave out the seeds.
    avoids_seeds: bool,
    local_targets: ProbeOrder,
    remote_targets: ProbeOrder,
    next_number: u64,
    next_probe_at: Duration,
    rounds: u64,
    last_tick: Duration,
    next_forget_at: Duration,
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
        queue.add(&id, Priority::Change, 2);
        Self {
            settings,
            id,
            members,
            queue,
            pending_probes: BTreeMap::new(),
            suspects: BTreeMap::new(),
            departed: Departed::default(),
            byte_budget: TokenBucket::new(BYTES_PER_SECOND),
            statement_bytes,
            push_budget: TokenBucket::new(PUSHES_PER_SECOND),
            relayed_probe_budget: TokenBucket::new(RELAYED_PROBES_PER_SECOND),
            suspect_probe_budget: TokenBucket::new(SUSPECT_PROBES_PER_SECOND),
            sync_budget: TokenBucket::new(SYNCS_PER_SECOND),
            joining_sync_budget: TokenBucket::new(JOINING_SYNCS_PER_SECOND),
            delta_budget: TokenBucket::new(DELTAS_PER_SECOND),
            mismatches: 0,
            last_heard: Duration::ZERO,
            started: None,
            avoids_seeds: true,
            local_targets: ProbeOrder::default(),
            remote_targets: ProbeOrder::default(),
            next_number: 0,
            next_probe_at: Duration::ZERO,
            rounds: 0,
            last_tick: Duration::ZERO,
            next_forget_at: Duration::ZERO,
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
            self.rounds = step.rng.next() % RECONNECT_EVERY;
        }
        self.detect_pause(now);
        self.last_tick = now;
        self.expire_probes(&mut step);
        self.probe_suspects(&mut step);
        self.expire_suspects(&mut step);
        self.propose_evictions(&mut step);
        self.forget(now);
        if now >= self.next_probe_at {
            self.next_probe_at = now + self.settings.probe_interval;
            self.probe_next(&mut step);
        }
        self.finish_step(step)
    }

    /// Charges the message parts that are sent even when the budget is used up, and returns the actions.
    pub(super) fn finish_step(&mut self, step: Step) -> Vec<Action> {
        for action in &step.actions {
            let filter = match action {
                Action::SendSyncRequest { request, .. } => Some(&request.filter),
                Action::SendDelta { delta, .. } => delta.filter.as_ref(),
                _ => None,
            };
            let filter = filter.map_or(0, |filter| filter_bytes(filter.words()));
            if !matches!(action, Action::StateChanged { .. } | Action::ProposeEvict { .. }) {
                self.byte_budget.charge(MESSAGE_OVERHEAD_BYTES + self.statement_bytes + filter);
            }
        }
        step.actions
    }

    /// After a pause of this daemon, drops pending probes, restarts suspicions and postpones evictions,
    /// so that answers missed during the pause do not count against other members.
    pub(super) fn detect_pause(&mut self, now: Duration) {
        if self.started.is_none() {
            self.started = Some(now);
            self.last_heard = now;
        } else if now.saturating_sub(self.last_tick) > self.settings.pause_threshold {
            self.pending_probes.clear();
            for suspicion in self.suspects.values_mut() {
                suspicion.restart(now, self.settings.suspicion_timeout);
            }
            self.departed.postpone_proposals(now + self.settings.evict_after);
            self.last_heard = now;
        } else {
            return;
        }
        self.last_tick = now;
    }

    /// Whether this daemon itself seems to be cut off: it heard from nobody for more than 2 s and less
    /// than 30 s.
    pub(super) fn is_isolated(&self, now: Duration) -> bool {
        let silence = now.saturating_sub(self.last_heard);
        let others = self.members.live().filter(|member| member.id != self.id);
        silence > ISOLATED_AFTER && silence < ISOLATED_UNTIL && others.take(2).count() == 2
    }

    fn expire_probes(&mut self, step: &mut Step) {
        let due = self.pending_probes.iter().filter(|(_, probe)| probe.deadline <= step.now);
        for number in due.map(|(number, _)| *number).collect::<Vec<_>>() {
            self.probe_failed(number, step);
        }
    }

    /// Takes the next step after a probe or its indirect probes failed.
    pub(super) fn probe_failed(&mut self, number: u64, step: &mut Step) {
        let Some(failed) = self.pending_probes.remove(&number) else {
            return;
        };
        match (failed.kind, failed.target) {
            (ProbeKind::OnBehalf { requester, number }, _) => {
                let answer = ProbeAnswer { number, target: None };
                step.actions.push(Action::SendProbeAnswer { to: requester, answer });
            }
            (_, Some(target)) if self.suspects.contains_key(&target) => {
                self.record_failed_probe(&target)
            }
            (ProbeKind::Direct, Some(target)) => {
                self.request_indirect_probes(number, &target, step)
            }
            (ProbeKind::Indirect { .. }, Some(target)) => self.suspect(&target, step),
            _ => {}
        }
    }

    fn request_indirect_probes(&mut self, number: u64, target: &str, step: &mut Step) {
        let Some(subject) = self.members.get(target).filter(|m| !m.is_departed()) else {
            return;
        };
        let target_addr = subject.peer_addr;
        let via_addrs = self.indirect_probers(subject, step);
        if via_addrs.is_empty() {
            return self.suspect(target, step);
        }
        self.pending_probes.insert(
            number,
            PendingProbe {
                target: Some(target.to_owned()),
                kind: ProbeKind::Indirect { unanswered: via_addrs.len() },
                deadline: step.now + self.settings.indirect_timeout,
            },
        );
        for via in via_addrs {
            let request = ProbeRequest {
                number,
                from: self.own().clone(),
                target: target.to_owned(),
                target_addr,
            };
            step.actions.push(Action::SendProbeRequest { via, request });
        }
    }

    /// Addresses of daemons to ask for indirect probes: one of the subject's data centre if there is one,
    /// the rest at random.
    fn indirect_probers(&self, subject: &Member, step: &mut Step) -> Vec<SocketAddr> {
        let mut others = self.others(&subject.id);
        let count = others.len();
        step.rng.shuffle(&mut others, count);
        let same_data_centre = |member: &&Member| member.data_centre == subject.data_centre;
        if let Some(index) = others.iter().position(same_data_centre) {
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

    /// Proposes evictions that are due. The proposer is the first live daemon of the dead member's data
    /// centre in rendezvous order for its id. When that whole data centre is gone, the first of all
    /// other daemons proposes it later: its keys need an owner, and fencing keeps members that are
    /// merely cut off from acting as one.
    fn propose_evictions(&mut self, step: &mut Step) {
        for id in self.departed.take_due_proposals(step.now, self.settings.evict_after) {
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
        let first = |same_data_centre: bool| {
            let live = self.members.live();
            let proposers = live.filter(|m| !same_data_centre || m.data_centre == dead.data_centre);
            rendezvous::first(dead.id.as_bytes(), proposers.map(|m| m.id.as_str()))
        };
        if let Some(proposer) = first(true) {
            return proposer == self.id;
        }
        let dead_for =
            self.departed.departed_at(&dead.id).map_or(Duration::ZERO, |at| now.saturating_sub(at));
        dead_for >= self.settings.evict_data_centre_after && first(false) == Some(self.id.as_str())
    }

    fn forget(&mut self, now: Duration) {
        if now < self.next_forget_at {
            return;
        }
        self.next_forget_at = now + Duration::from_secs(1);
        for id in self.departed.expired(now) {
            if let Some(member) = self.members.remove(&id) {
                self.queue.remove(&id);
                let expires_at = now + self.settings.tombstone_lifetime;
                self.departed.replace_with_tombstone(&member, expires_at);
            }
        }
        self.departed.drop_expired_tombstones(now);
    }

    fn probe_next(&mut self, step: &mut Step) {
        self.rounds += 1;
        let started = self.started.unwrap_or_default();
        if self.avoids_seeds && step.now.saturating_sub(started) >= AVOID_SEEDS_FOR {
            self.avoids_seeds = false;
            self.add_seeds_to_rounds(step);
        }
        let frequent = self.is_joining(step.now)
            || self.departed.any_departed_since(step.now.saturating_sub(RECENT_DEATH_PERIOD));
        let reconnect_every = if frequent { FREQUENT_RECONNECT_EVERY } else { RECONNECT_EVERY };
        // Never the round of a probe to another data centre.
        let reconnect_due = self.rounds % reconnect_every == 1;
        if reconnect_due && self.probe_to_reconnect(step) {
            return;
        }
        let remote_first = self.rounds.is_multiple_of(REMOTE_PROBE_EVERY);
        let target =
            self.next_target(remote_first, step).or_else(|| self.next_target(!remote_first, step));
        match target {
            Some((id, to)) => self.send_probe(to, Some(id), ProbeKind::Direct, step),
            None => {
                self.probe_to_reconnect(step);
            }
        }
    }

    /// Adds the seeds to the rounds under way: a round over the other data centres that began without
    /// them can last for hours.
    fn add_seeds_to_rounds(&mut self, step: &mut Step) {
        let own = &self.own().data_centre;
        let seeds = self.members.iter().filter(|m| self.settings.seeds.contains(&m.peer_addr));
        let others = seeds.filter(|member| member.id != self.id);
        let (local_targets, remote_targets): (Vec<&Member>, Vec<&Member>) =
            others.partition(|member| member.data_centre == *own);
        self.local_targets.add(local_targets, &mut step.rng);
        self.remote_targets.add(remote_targets, &mut step.rng);
    }

    fn next_target(&mut self, remote: bool, step: &mut Step) -> Option<(DaemonId, SocketAddr)> {
        let id = &self.id;
        let own = self.members.get(id)?;
        let avoided_addrs: &[SocketAddr] =
            if self.avoids_seeds { &self.settings.seeds } else { &[] };
        let is_eligible = |m: &Member| {
            let other_data_centre = m.data_centre != own.data_centre;
            m.id != *id && other_data_centre == remote && !avoided_addrs.contains(&m.peer_addr)
        };
        let order = if remote { &mut self.remote_targets } else { &mut self.local_targets };
        let next = order.next(&self.members, is_eligible, &mut step.rng)?;
        Some((next.id.clone(), next.peer_addr))
    }

    /// Probes a seed that no live member uses or a departed member; returns whether there was one.
    fn probe_to_reconnect(&mut self, step: &mut Step) -> bool {
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
        let to = candidates[step.rng.below(candidates.len())];
        self.send_probe(to, None, ProbeKind::Reconnect, step);
        true
    }

    pub(super) fn send_probe(
        &mut self,
        to: SocketAddr,
        target: Option<DaemonId>,
        kind: ProbeKind,
        step: &mut Step,
    ) {
        let subject = target.as_ref().and_then(|id| self.members.get(id));
        let suspicion = subject.filter(|member| member.state == MemberState::Suspect);
        let updates = suspicion.cloned().into_iter().collect();
        self.send_probe_with(to, target, kind, updates, step);
    }

    /// Sends a probe that carries `updates` before what is piggybacked.
    pub(super) fn send_probe_with(
        &mut self,
        to: SocketAddr,
        target: Option<DaemonId>,
        kind: ProbeKind,
        mut updates: Vec<Member>,
        step: &mut Step,
    ) {
        let number = self.next_number;
        self.next_number += 1;
        updates.extend(self.take_updates(MAX_UPDATES - updates.len(), step.now));
        let probe =
            Probe { number, from: self.own().clone(), digest: self.members.digest(), updates };
        let pending_probe =
            PendingProbe { target, kind, deadline: step.now + self.settings.probe_timeout };
        self.pending_probes.insert(number, pending_probe);
        step.actions.push(Action::SendProbe { to, probe });
    }

    /// Updates to piggyback, within the budget.
    pub(super) fn take_updates(&mut self, limit: usize, now: Duration) -> Vec<Member> {
        let limit = limit.min(self.queue.len());
        let size = self.statement_bytes;
        let count = self.byte_budget.take(limit, size, DELTA_RESERVE_BYTES, now);
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
