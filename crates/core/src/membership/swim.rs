//! Membership state machine: probe schedule, timeouts, eviction proposals and send budgets.
//!
//! The state machine does no input or output: the caller passes in the time, random numbers and
//! received messages, and carries out the returned [`Action`]s. Tests can therefore run whole
//! meshes in simulated time. The handlers of received messages are in the module `handle`.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::departed::DepartedMembers;
use super::member::{Member, MemberState, Members};
use super::message::{Action, Probe, ProbeAnswer, ProbeRequest};
use super::probing::{PendingProbe, ProbeKind, ProbeOrder};
use super::queue::{Priority, Rng, TokenBucket, UpdateQueue};
use super::settings::SwimSettings;
use super::suspicion::Suspicion;
use crate::id::DaemonId;
use crate::rendezvous;

/// Largest number of updates on one probe or ack.
pub const MAX_UPDATES_PER_PROBE: usize = 16;
/// Largest number of members in one delta.
pub const MAX_DELTA_MEMBERS: usize = 32;
/// Estimated bytes of membership messages that a daemon may send in a second; the rest of the
/// control budget of 9 KB a second is for the distribution of log entries. Updates and deltas that
/// exceed the budget wait; probes, acks and requests for indirect probes are always sent and
/// charged to it.
pub const BYTES_PER_SECOND: u32 = 7_500;
/// Estimated bytes of the framing and the numeric fields of a message.
pub const MESSAGE_OVERHEAD_BYTES: u32 = 100;
/// Number of other daemons that are asked to probe a member that did not answer.
pub const INDIRECT_PROBES: usize = 3;
/// Number of members to which an urgent update is pushed.
pub const PUSH_FANOUT: usize = 4;
/// Largest number of messages that a daemon sends in a second without being asked, averaged over
/// bursts of one second: 1 scheduled probe, 1 probe because of a reported death, 3 requests for
/// indirect probes for each of these two (or 4 probes of suspects instead of the probe because of a
/// reported death and its requests), 4 indirect probes for other daemons, 8 pushes and 4 requests
/// for a delta (1 in steady state). Each received message causes at most one answer.
pub const MAX_MESSAGES_PER_SECOND: u32 = 24;

/// Bytes of the budget that piggybacked updates leave for deltas.
const DELTA_RESERVE_BYTES: u32 = BYTES_PER_SECOND / 3;
const PUSHES_PER_SECOND: u32 = 8;
/// Limit on indirect probes that are sent for other daemons.
const RELAYED_PROBES_PER_SECOND: u32 = 4;
/// Limit on probes of suspects. A probe because of a reported death takes the whole limit, because
/// it may cause [`INDIRECT_PROBES`] requests for indirect probes.
pub(super) const SUSPECT_PROBES_PER_SECOND: u32 = 1 + INDIRECT_PROBES as u32;
/// Limit on requests for a delta in steady state.
pub(super) const SYNCS_PER_SECOND: u32 = 1;
/// Limit on requests for a delta while this daemon joins.
pub(super) const JOINING_SYNCS_PER_SECOND: u32 = 4;
/// Limit on deltas that are sent in answer to requests. A delta with a filter is about 1.3 KB even
/// without members, so 4 a second would use most of the byte budget.
const DELTAS_PER_SECOND: u32 = 2;
/// One in this many scheduled probes goes to another data centre.
const REMOTE_PROBE_EVERY: u64 = 10;
/// One in this many scheduled probes goes to a seed or a departed member, to detect that a
/// partition has healed.
const RECONNECT_EVERY: u64 = 30;
/// The same while this daemon joins and for [`RECENT_DEATH_PERIOD`] after a death. Daemons that
/// know only each other have equal tables and therefore fetch no further members: with 960 daemons,
/// some knew only 353 members until they first probed a seed that they did not know. A daemon that
/// restarts knows no other daemon while the platform is unreachable.
const FREQUENT_RECONNECT_EVERY: u64 = 5;
/// Time after a death in which the member is likely to return.
const RECENT_DEATH_PERIOD: Duration = Duration::from_secs(60);
/// Time after its start in which a daemon counts as joining and requests deltas at the higher rate.
pub(super) const JOINING_PERIOD: Duration = Duration::from_secs(60);
/// Time after its start in which a daemon's scheduled probes skip the seeds: after a mass restart
/// the seeds are the first members that all daemons know, and would be overloaded.
const AVOID_SEEDS_FOR: Duration = Duration::from_secs(20);
/// Time without any received message after which a daemon assumes that it is isolated itself.
const ISOLATED_AFTER: Duration = Duration::from_secs(2);
/// Time without any received message after which it suspects members and declares them dead again.
const ISOLATED_UNTIL: Duration = Duration::from_secs(30);

/// Context of one call of [`Swim::tick`] or [`Swim::handle`]: the time, random numbers and the
/// actions collected so far. Times are durations since an arbitrary fixed point.
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

/// Membership state machine of one daemon: its view of all members and the state of the protocol.
#[derive(Debug)]
pub struct Swim {
    pub(super) settings: SwimSettings,
    pub(super) id: DaemonId,
    pub(super) members: Members,
    pub(super) queue: UpdateQueue,
    pub(super) pending_probes: BTreeMap<u64, PendingProbe>,
    pub(super) suspects: BTreeMap<DaemonId, Suspicion>,
    pub(super) departed: DepartedMembers,
    pub(super) byte_budget: TokenBucket,
    /// Estimated bytes of one statement in a message.
    pub(super) statement_bytes: u32,
    pub(super) push_budget: TokenBucket,
    pub(super) relayed_probe_budget: TokenBucket,
    pub(super) suspect_probe_budget: TokenBucket,
    pub(super) sync_budget: TokenBucket,
    pub(super) joining_sync_budget: TokenBucket,
    pub(super) delta_budget: TokenBucket,
    /// Number of successive probes and acks whose digest differed from that of the own table.
    pub(super) consecutive_mismatches: u32,
    /// Time of the last message from another daemon, or of the start or the end of a pause if
    /// later.
    pub(super) last_received_at: Duration,
    /// Time of the first event or tick.
    pub(super) started_at: Option<Duration>,
    /// Whether scheduled probes skip the seeds.
    avoids_seeds: bool,
    /// Probe order of the members of this data centre.
    local_targets: ProbeOrder,
    /// Probe order of the members of the other data centres.
    remote_targets: ProbeOrder,
    next_probe_number: u64,
    next_probe_at: Duration,
    /// Number of the current protocol period; each period has one scheduled probe.
    protocol_period: u64,
    /// Time of the last tick or of the end of the last pause, whichever is later.
    last_tick: Duration,
    next_forget_at: Duration,
}

impl Swim {
    /// Creates a state machine whose only member is this daemon.
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
            departed: DepartedMembers::default(),
            byte_budget: TokenBucket::new(BYTES_PER_SECOND),
            statement_bytes,
            push_budget: TokenBucket::new(PUSHES_PER_SECOND),
            relayed_probe_budget: TokenBucket::new(RELAYED_PROBES_PER_SECOND),
            suspect_probe_budget: TokenBucket::new(SUSPECT_PROBES_PER_SECOND),
            sync_budget: TokenBucket::new(SYNCS_PER_SECOND),
            joining_sync_budget: TokenBucket::new(JOINING_SYNCS_PER_SECOND),
            delta_budget: TokenBucket::new(DELTAS_PER_SECOND),
            consecutive_mismatches: 0,
            last_received_at: Duration::ZERO,
            started_at: None,
            avoids_seeds: true,
            local_targets: ProbeOrder::default(),
            remote_targets: ProbeOrder::default(),
            next_probe_number: 0,
            next_probe_at: Duration::ZERO,
            protocol_period: 0,
            last_tick: Duration::ZERO,
            next_forget_at: Duration::ZERO,
        }
    }

    /// This daemon's table of all members, itself included.
    #[must_use]
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// This daemon's statement about itself.
    #[must_use]
    pub fn own(&self) -> &Member {
        self.members.get(&self.id).expect("this daemon's own table entry is never removed")
    }

    /// Handles all timeouts up to `now` and sends the probes that are due. Must be called every 100
    /// to 250 ms; a longer gap than `pause_threshold` (2 s by default) counts as a pause of this
    /// daemon. `random` seeds the random choices of this call.
    pub fn tick(&mut self, now: Duration, random: u64) -> Vec<Action> {
        let mut step = Step::new(now, random);
        if self.started_at.is_none() {
            // Daemons that start together would otherwise all probe the seeds in the same second.
            self.protocol_period = step.rng.next() % RECONNECT_EVERY;
        }
        self.detect_pause(now);
        self.last_tick = now;
        self.expire_probes(&mut step);
        self.probe_suspects(&mut step);
        self.confirm_deaths(&mut step);
        self.propose_evictions(&mut step);
        self.forget_departed(now);
        if now >= self.next_probe_at {
            self.next_probe_at = now + self.settings.probe_interval;
            self.probe_next(&mut step);
        }
        self.finish_step(step)
    }

    /// Charges the fixed parts of each message to the byte budget, even if it is exhausted, and
    /// returns the actions. Queued updates are charged when they are taken.
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

    /// After a pause of this daemon, drops pending probes, restarts suspicions and postpones
    /// eviction proposals, so that answers missed during the pause do not count against other
    /// members.
    pub(super) fn detect_pause(&mut self, now: Duration) {
        if self.started_at.is_none() {
            self.started_at = Some(now);
            self.last_received_at = now;
        } else if now.saturating_sub(self.last_tick) > self.settings.pause_threshold {
            self.pending_probes.clear();
            for suspicion in self.suspects.values_mut() {
                suspicion.restart(now, self.settings.suspicion_timeout);
            }
            self.departed.postpone_proposals(now + self.settings.evict_after);
            self.last_received_at = now;
        } else {
            return;
        }
        self.last_tick = now;
    }

    /// Whether this daemon itself seems to be cut off from the mesh: it knows at least two other
    /// live members and received no message for more than 2 s and less than 30 s.
    pub(super) fn is_isolated(&self, now: Duration) -> bool {
        let silence = now.saturating_sub(self.last_received_at);
        let others = self.members.live().filter(|member| member.id != self.id);
        silence > ISOLATED_AFTER && silence < ISOLATED_UNTIL && others.take(2).count() == 2
    }

    /// Handles pending probes whose deadline has passed as failed.
    fn expire_probes(&mut self, step: &mut Step) {
        let due = self.pending_probes.iter().filter(|(_, probe)| probe.deadline <= step.now);
        for number in due.map(|(number, _)| *number).collect::<Vec<_>>() {
            self.handle_failed_probe(number, step);
        }
    }

    /// Removes a pending probe that failed and continues according to its kind: reports the failure
    /// to the requester, counts it against a suspect, requests indirect probes or suspects the
    /// target.
    pub(super) fn handle_failed_probe(&mut self, number: u64, step: &mut Step) {
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

    /// Asks other daemons to probe `target`; suspects it at once if there is nobody to ask.
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

    /// Addresses of up to [`INDIRECT_PROBES`] daemons to ask for indirect probes of `subject`: one
    /// in its data centre if there is one, the rest chosen at random.
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

    /// Proposes the evictions that are due and that this daemon is to propose. The proposer is the
    /// first live daemon in the dead member's data centre, in rendezvous order for the dead
    /// member's id. If that data centre has no live daemon left, the first of all other daemons
    /// proposes the eviction, after `evict_data_centre_after`. The eviction is needed because the
    /// member's keys need an owner, and it is safe because fencing keeps members that are only cut
    /// off from acting as owners.
    fn propose_evictions(&mut self, step: &mut Step) {
        for id in self.departed.take_due_proposals(step.now, self.settings.evict_after) {
            let Some(dead) = self.members.get(&id) else {
                continue;
            };
            let incarnation = dead.incarnation;
            let should_propose = dead.state == MemberState::Dead
                && !self.departed.is_evicted(&id, incarnation)
                && self.is_proposer(dead, step.now);
            if should_propose {
                step.actions.push(Action::ProposeEvict { id, incarnation });
            }
        }
    }

    /// Whether this daemon is the one to propose the eviction of `dead` at this time.
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

    /// Once a second, replaces departed members that have been in the table for long enough by
    /// tombstones and drops expired tombstones.
    fn forget_departed(&mut self, now: Duration) {
        if now < self.next_forget_at {
            return;
        }
        self.next_forget_at = now + Duration::from_secs(1);
        for id in self.departed.ids_to_forget(now) {
            if let Some(member) = self.members.remove(&id) {
                self.queue.remove(&id);
                let expires_at = now + self.settings.tombstone_lifetime;
                self.departed.replace_with_tombstone(&member, expires_at);
            }
        }
        self.departed.drop_expired_tombstones(now);
    }

    /// Sends the scheduled probe of this protocol period: to a seed or a departed member if one is
    /// due, otherwise to the next member of this or of another data centre.
    fn probe_next(&mut self, step: &mut Step) {
        self.protocol_period += 1;
        let started_at = self.started_at.unwrap_or_default();
        if self.avoids_seeds && step.now.saturating_sub(started_at) >= AVOID_SEEDS_FOR {
            self.avoids_seeds = false;
            self.add_seeds_to_probe_orders(step);
        }
        let frequent = self.is_joining(step.now)
            || self.departed.any_departed_since(step.now.saturating_sub(RECENT_DEATH_PERIOD));
        let reconnect_every = if frequent { FREQUENT_RECONNECT_EVERY } else { RECONNECT_EVERY };
        // The remainder 1 keeps this apart from the periods in which another data centre is probed.
        let reconnect_due = self.protocol_period % reconnect_every == 1;
        if reconnect_due && self.probe_to_reconnect(step) {
            return;
        }
        let remote_first = self.protocol_period.is_multiple_of(REMOTE_PROBE_EVERY);
        let target =
            self.next_target(remote_first, step).or_else(|| self.next_target(!remote_first, step));
        match target {
            Some((id, to)) => self.send_probe(to, Some(id), ProbeKind::Direct, step),
            None => {
                self.probe_to_reconnect(step);
            }
        }
    }

    /// Adds the seeds to the current round of each probe order. Without this they would wait for
    /// the next round, and a round over the other data centres can last for hours.
    fn add_seeds_to_probe_orders(&mut self, step: &mut Step) {
        let own = &self.own().data_centre;
        let seeds = self.members.iter().filter(|m| self.settings.seeds.contains(&m.peer_addr));
        let others = seeds.filter(|member| member.id != self.id);
        let (local_targets, remote_targets): (Vec<&Member>, Vec<&Member>) =
            others.partition(|member| member.data_centre == *own);
        self.local_targets.add(local_targets, &mut step.rng);
        self.remote_targets.add(remote_targets, &mut step.rng);
    }

    /// Next member to probe, in another data centre if `remote` is set and in this one otherwise.
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

    /// Probes a random one of the departed members and the seeds whose address belongs to no live
    /// member; returns whether there was one.
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

    /// Sends a probe. If the target is suspected, the probe carries the suspicion, so that the
    /// target can refute it.
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
        self.send_probe_with_updates(to, target, kind, updates, step);
    }

    /// Sends a probe that carries `updates` and, as far as they fit, queued updates after them.
    pub(super) fn send_probe_with_updates(
        &mut self,
        to: SocketAddr,
        target: Option<DaemonId>,
        kind: ProbeKind,
        mut updates: Vec<Member>,
        step: &mut Step,
    ) {
        let number = self.next_probe_number;
        self.next_probe_number += 1;
        updates.extend(self.take_updates(MAX_UPDATES_PER_PROBE - updates.len(), step.now));
        let probe =
            Probe { number, from: self.own().clone(), digest: self.members.digest(), updates };
        let pending_probe =
            PendingProbe { target, kind, deadline: step.now + self.settings.probe_timeout };
        self.pending_probes.insert(number, pending_probe);
        step.actions.push(Action::SendProbe { to, probe });
    }

    /// Takes up to `limit` updates from the queue to piggyback, as far as the byte budget allows.
    pub(super) fn take_updates(&mut self, limit: usize, now: Duration) -> Vec<Member> {
        let limit = limit.min(self.queue.len());
        let size = self.statement_bytes;
        let count = self.byte_budget.take(limit, size, DELTA_RESERVE_BYTES, now);
        let ids = self.queue.take(count);
        let members = ids.iter().filter_map(|id| self.members.get(id));
        members.cloned().collect()
    }
}

/// Encoded bytes of a filter: the salt and each word take 8 bytes and a type byte.
pub(super) fn filter_bytes(words: usize) -> u32 {
    9 * (words as u32 + 1)
}

/// Estimates the encoded bytes of a statement from this daemon's own, since the names in a mesh
/// have similar lengths.
fn statement_bytes(own: &Member) -> u32 {
    // Incarnation, sequence, state, slots and address with their type bytes.
    const NUMBERS: usize = 45;
    // Assumed length while the service is unknown; it may become known later.
    const SERVICE: usize = 12;
    let service = own.service.as_ref().map_or(SERVICE, String::len);
    (NUMBERS + own.id.len() + own.data_centre.len() + service) as u32
}
