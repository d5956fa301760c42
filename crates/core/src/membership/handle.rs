//! Event handlers of the membership state machine: received messages, changes of the local state,
//! and members that the settings or the log report.

use std::net::SocketAddr;
use std::time::Duration;

use super::filter::Filter;
use super::member::{Member, MemberState};
use super::message::{
    Action, Delta, Event, LocalState, Probe, ProbeAnswer, ProbeRequest, SyncRequest,
};
use super::probing::ProbeKind;
use super::queue::Priority;
use super::suspicion::Suspicion;
use super::swim::{
    JOINING_PERIOD, MAX_DELTA_MEMBERS, MAX_UPDATES_PER_PROBE, PUSH_FANOUT,
    SUSPECT_PROBES_PER_SECOND, Step, Swim, filter_bytes,
};
use crate::id::{DaemonId, Incarnation};

/// Successive probes and acks with a differing digest before a daemon requests a delta. While an
/// update is still spreading, digests differ for a moment and no delta is needed.
const MISMATCHES_BEFORE_SYNC: u32 = 3;
/// Pushes in a second that changes to `cold` and `ready` leave for more urgent statements:
/// draining, leaving, refutations and suspicions.
const RESERVED_PUSHES: u32 = 4;

impl Swim {
    /// Handles an event and returns the actions that it causes. `random` seeds the random choices
    /// of this call.
    pub fn handle(&mut self, event: Event, now: Duration, random: u64) -> Vec<Action> {
        let mut step = Step::new(now, random);
        self.detect_pause(now);
        match event {
            Event::Probe(probe) => self.on_probe(probe, &mut step),
            Event::Ack(ack) => self.on_ack(ack, &mut step),
            Event::ProbeFailed { number } => self.on_probe_failed(number, &mut step),
            Event::ProbeRequest(request) => self.on_probe_request(request, &mut step),
            Event::ProbeAnswer(answer) => self.on_probe_answer(answer, &mut step),
            Event::Pushed(updates) => {
                self.last_received_at = now;
                self.apply_statements(updates, &mut step);
            }
            Event::SyncRequest(request) => self.on_sync_request(request, &mut step),
            Event::Delta(delta) => self.on_delta(delta, &mut step),
            Event::Local(local) => self.on_local(local, &mut step),
            Event::MemberDiscovered(member) => self.apply_statement(member, &mut step),
            Event::Evicted { id, incarnation } => self.on_evicted(&id, incarnation, &mut step),
        }
        self.finish_step(step)
    }

    fn on_probe(&mut self, probe: Probe, step: &mut Step) {
        self.last_received_at = step.now;
        // A probe of a daemon that knows no others gets no ack when the byte budget is exhausted:
        // it cannot cause a suspicion, and the daemon then probes another seed.
        let refused = probe.sender_knows_no_others() && self.byte_budget.available(step.now) <= 0.0;
        self.apply_sender_statement(probe.from.clone(), step);
        self.apply_statements(probe.updates, step);
        if refused {
            return;
        }
        let mut updates: Vec<Member> = self.newer_statement(&probe.from).into_iter().collect();
        updates.extend(self.take_updates(MAX_UPDATES_PER_PROBE - updates.len(), step.now));
        if updates.is_empty() && probe.digest != self.members.digest() {
            updates.extend(self.pick_referral(&probe.from, step));
        }
        let ack = Probe {
            number: probe.number,
            from: self.own().clone(),
            digest: self.members().digest(),
            updates,
        };
        let to = probe.from.peer_addr;
        step.actions.push(Action::SendAck { to, ack });
        self.sync_if_tables_differ(probe.digest, &probe.from, step);
    }

    /// Picks a random member to name to a daemon whose table differs, even if the byte budget is
    /// exhausted. After a mass restart all joining daemons probe the few seeds; without referrals
    /// they would know no other daemon to probe, and the seeds would stay overloaded.
    fn pick_referral(&mut self, from: &Member, step: &mut Step) -> Option<Member> {
        let others = self.others(&from.id);
        if others.is_empty() {
            return None;
        }
        let referred = others[step.rng.below(others.len())].clone();
        self.byte_budget.charge(self.statement_bytes);
        Some(referred)
    }

    /// The statement in the table that supersedes `from`, a daemon's statement about itself, if
    /// there is one. It is sent to that daemon, so that it can refute it.
    fn newer_statement(&self, from: &Member) -> Option<Member> {
        let known = self.members.get(&from.id)?;
        known.supersedes(from).then(|| known.clone())
    }

    fn on_ack(&mut self, ack: Probe, step: &mut Step) {
        self.last_received_at = step.now;
        self.apply_sender_statement(ack.from.clone(), step);
        self.apply_statements(ack.updates, step);
        self.push_newer_statement(&ack.from, step);
        let pending = self.pending_probes.get(&ack.number);
        let expected = |target: &Option<_>| target.as_ref().is_none_or(|id| *id == ack.from.id);
        if pending.is_some_and(|probe| expected(&probe.target)) {
            let done = self.pending_probes.remove(&ack.number);
            if let Some(ProbeKind::OnBehalf { requester, number }) = done.map(|probe| probe.kind) {
                let target = Some(ack.from.clone());
                let answer = ProbeAnswer { number, target };
                step.actions.push(Action::SendProbeAnswer { to: requester, answer });
            }
        }
        self.sync_if_tables_differ(ack.digest, &ack.from, step);
    }

    /// Pushes the statement that supersedes `from`, if there is one, to the daemon that it is
    /// about.
    fn push_newer_statement(&mut self, from: &Member, step: &mut Step) {
        if let Some(newer_statement) = self.newer_statement(from) {
            self.push_to(from.peer_addr, newer_statement, step);
        }
    }

    /// Handles the failure of a probe. Once indirect probes were requested for it, the failure of
    /// the direct probe no longer counts, since only their answers or the deadline decide.
    fn on_probe_failed(&mut self, number: u64, step: &mut Step) {
        let awaits_ack = |kind: &ProbeKind| !matches!(kind, ProbeKind::Indirect { .. });
        if self.pending_probes.get(&number).is_some_and(|probe| awaits_ack(&probe.kind)) {
            self.handle_failed_probe(number, step);
        }
    }

    fn on_probe_request(&mut self, request: ProbeRequest, step: &mut Step) {
        self.last_received_at = step.now;
        let requester = request.from.peer_addr;
        let number = request.number;
        self.apply_sender_statement(request.from, step);
        if self.relayed_probe_budget.take_one(step.now) {
            let kind = ProbeKind::OnBehalf { requester, number };
            self.send_probe(request.target_addr, Some(request.target), kind, step);
        } else {
            let target = None;
            let answer = ProbeAnswer { number, target };
            step.actions.push(Action::SendProbeAnswer { to: requester, answer });
        }
    }

    fn on_probe_answer(&mut self, answer: ProbeAnswer, step: &mut Step) {
        self.last_received_at = step.now;
        let number = answer.number;
        let reached = answer.target.as_ref().map(|target| target.id.clone());
        if let Some(target) = answer.target {
            self.apply_statement(target.clone(), step);
            self.push_newer_statement(&target, step);
        }
        let Some(pending) = self.pending_probes.get_mut(&number) else {
            return;
        };
        if reached.is_some() && reached == pending.target {
            self.pending_probes.remove(&number);
        } else if let ProbeKind::Indirect { unanswered } = &mut pending.kind {
            *unanswered = unanswered.saturating_sub(1);
            if *unanswered == 0 {
                self.handle_failed_probe(number, step);
            }
        }
    }

    /// Requests a delta if the tables have differed for longer than updates take to spread, or at
    /// once while this daemon joins.
    fn sync_if_tables_differ(&mut self, digest: u64, from: &Member, step: &mut Step) {
        if digest == self.members.digest() {
            self.consecutive_mismatches = 0;
            return;
        }
        self.consecutive_mismatches = self.consecutive_mismatches.saturating_add(1);
        let joining = self.is_joining(step.now);
        if !joining && self.consecutive_mismatches < MISMATCHES_BEFORE_SYNC {
            return;
        }
        let to = if joining { self.sync_address(from, step) } else { from.peer_addr };
        self.request_sync(to, step);
    }

    /// Address to request a delta from: that of `from`, unless it is a seed, which all joining
    /// daemons would ask; then that of a random member that is no seed, if one is known.
    fn sync_address(&self, from: &Member, step: &mut Step) -> SocketAddr {
        let seeds = &self.settings.seeds;
        let mut others = self.others(&from.id);
        others.retain(|member| !seeds.contains(&member.peer_addr));
        if others.is_empty() || !seeds.contains(&from.peer_addr) {
            return from.peer_addr;
        }
        others[step.rng.below(others.len())].peer_addr
    }

    /// Whether this daemon started less than [`JOINING_PERIOD`] ago.
    pub(super) fn is_joining(&self, now: Duration) -> bool {
        self.started_at.is_some_and(|at| now.saturating_sub(at) < JOINING_PERIOD)
    }

    /// Requests a delta, unless the rate limit or the byte budget is exhausted.
    fn request_sync(&mut self, to: SocketAddr, step: &mut Step) {
        let joining = self.is_joining(step.now);
        let affordable = self.can_afford_filter(step);
        let budget = if joining { &mut self.joining_sync_budget } else { &mut self.sync_budget };
        if affordable && budget.take_one(step.now) {
            let request = SyncRequest { from: self.own().clone(), filter: self.filter(step) };
            step.actions.push(Action::SendSyncRequest { to, request });
        }
    }

    /// Whether the byte budget has room for a filter of the whole table.
    fn can_afford_filter(&mut self, step: &Step) -> bool {
        let bytes = filter_bytes(Filter::words_for(self.members.len()));
        self.byte_budget.available(step.now) > f64::from(bytes)
    }

    /// Filter of this daemon's table with a random salt.
    fn filter(&self, step: &mut Step) -> Filter {
        Filter::of(&self.members, step.rng.next())
    }

    fn on_sync_request(&mut self, request: SyncRequest, step: &mut Step) {
        self.last_received_at = step.now;
        let to = request.from.peer_addr;
        self.apply_sender_statement(request.from, step);
        if self.can_afford_filter(step) && self.delta_budget.take_one(step.now) {
            let filter = Some(self.filter(step));
            self.send_delta(to, &request.filter, filter, step);
        }
    }

    /// Sends the statements that the receiver lacks according to its filter `theirs`, as many as
    /// the byte budget allows. `filter` is the own one, if a delta is wanted in return.
    fn send_delta(
        &mut self,
        to: SocketAddr,
        theirs: &Filter,
        filter: Option<Filter>,
        step: &mut Step,
    ) {
        // The filter is charged only when the message is sent, so its bytes are reserved until
        // then.
        let reserve = filter.as_ref().map_or(0, |own| filter_bytes(own.words()));
        let mut updates = self.missing_statements(theirs, step);
        let (wanted, size) = (updates.len(), self.statement_bytes);
        updates.truncate(self.byte_budget.take(wanted, size, reserve, step.now));
        if updates.is_empty() && filter.is_none() {
            return;
        }
        let delta = Delta { from: self.own().clone(), updates, filter };
        step.actions.push(Action::SendDelta { to, delta });
    }

    /// A random choice of statements that the table behind the filter `theirs` lacks. Departed
    /// members come last, because the other daemon may have forgotten them.
    fn missing_statements(&self, theirs: &Filter, step: &mut Step) -> Vec<Member> {
        let missing_statements = self.members.iter().filter(|m| !theirs.contains(m));
        let (mut chosen, departed): (Vec<&Member>, Vec<&Member>) =
            missing_statements.partition(|member| !member.is_departed());
        step.rng.shuffle(&mut chosen, MAX_DELTA_MEMBERS);
        chosen.extend(departed);
        chosen.truncate(MAX_DELTA_MEMBERS);
        chosen.into_iter().cloned().collect()
    }

    fn on_delta(&mut self, delta: Delta, step: &mut Step) {
        self.last_received_at = step.now;
        let to = delta.from.peer_addr;
        self.apply_sender_statement(delta.from, step);
        // The other daemons already know what a joining daemon is told, so it does not spread these
        // statements: that would only use up its byte budget.
        let ids: Vec<DaemonId> = delta.updates.iter().map(|m| m.id.clone()).collect();
        self.apply_statements(delta.updates, step);
        if self.is_joining(step.now) {
            ids.iter().filter(|id| **id != self.id).for_each(|id| self.queue.remove(id));
        }
        let Some(theirs) = delta.filter else {
            return;
        };
        self.send_delta(to, &theirs, None, step);
        if self.is_joining(step.now) {
            let mut others = self.others("");
            step.rng.shuffle(&mut others, 1);
            let next = others.first().map_or(to, |member| member.peer_addr);
            self.request_sync(next, step);
        }
    }

    /// Updates the own table entry with the local state. Only `Cold`, `Ready`, `Draining` and
    /// `Left` are accepted, and nothing after `Left`.
    fn on_local(&mut self, local: LocalState, step: &mut Step) {
        let mut own = self.own().clone();
        let unchanged = (own.state, &own.service, own.slots, &own.release)
            == (local.state, &local.service, local.slots, &local.release);
        let allowed = local.state < MemberState::Suspect || local.state == MemberState::Left;
        if unchanged || !allowed || own.state == MemberState::Left {
            return;
        }
        own.state = local.state;
        own.service = local.service;
        own.slots = local.slots;
        own.release = local.release;
        own.sequence += 1;
        self.accept(own, step);
    }

    /// Records an eviction and applies it as a report that the member is dead, unless a newer
    /// incarnation of the member is known. If this daemon itself was evicted, tells the caller.
    fn on_evicted(&mut self, id: &str, incarnation: Incarnation, step: &mut Step) {
        let Some(known) = self.members.get(id) else {
            return;
        };
        if known.incarnation > incarnation {
            return;
        }
        if id == self.id {
            return step.actions.push(Action::SelfEvicted);
        }
        let mut dead = known.clone();
        dead.state = MemberState::Dead;
        self.departed.record_eviction(id, incarnation);
        self.apply_statement(dead, step);
    }

    fn apply_statements(&mut self, updates: Vec<Member>, step: &mut Step) {
        for update in updates {
            self.apply_statement(update, step);
        }
    }

    /// Applies a sender's statement about itself. Even if the statement is outdated, the message
    /// shows that the sender is running, so a suspicion of it is restarted.
    fn apply_sender_statement(&mut self, from: Member, step: &mut Step) {
        self.restart_suspicion(&from.id, step.now);
        self.apply_statement(from, step);
    }

    /// Applies a statement about any member. A daemon declares a member dead only when its own
    /// suspicion of it expires; a report that a live member is dead only makes it probe that
    /// member. If such reports started suspicions, all members on the other side of a healed
    /// partition would be suspected at once, and the byte budget does not allow that many
    /// refutations in time: with 330 daemons, live members were declared dead.
    fn apply_statement(&mut self, member: Member, step: &mut Step) {
        if member.id == self.id {
            return self.apply_statement_about_self(&member, step);
        }
        let Some(known) = self.members.get(&member.id) else {
            return self.add_unknown_member(member, step);
        };
        if !member.supersedes(known) {
            return;
        }
        if member.state != MemberState::Dead || known.is_departed() {
            self.accept(member, step);
        } else if known.is_live() {
            self.probe_reported_dead(member, step);
        } else {
            self.record_reported_death(&member.id);
        }
    }

    /// Probes a live member that was reported dead, unless a probe of it is pending or the limit on
    /// probes of suspects is reached. The probe carries the report, so that the member can refute
    /// it.
    fn probe_reported_dead(&mut self, reported: Member, step: &mut Step) {
        let target = Some(reported.id.clone());
        let already_probed = self.pending_probes.values().any(|probe| probe.target == target);
        let Some(known) = self.members.get(&reported.id) else {
            return;
        };
        let to = known.peer_addr;
        if already_probed
            || !self.suspect_probe_budget.take_all(SUSPECT_PROBES_PER_SECOND, step.now)
        {
            return;
        }
        let updates = vec![reported];
        self.byte_budget.charge(self.statement_bytes);
        self.send_probe_with_updates(to, target, ProbeKind::Direct, updates, step);
    }

    /// Applies a statement about a member that is not in the table. If the statement says that the
    /// member has departed, it is ignored. If it is outdated according to the member's tombstone,
    /// the member is added as dead; that entry then spreads and supersedes the outdated statement.
    fn add_unknown_member(&mut self, mut member: Member, step: &mut Step) {
        if member.is_departed() {
            return;
        }
        if let Some(last_version) = self.departed.last_version(&member.id)
            && (member.incarnation, member.sequence) <= last_version
        {
            (member.incarnation, member.sequence) = last_version;
            member.state = MemberState::Dead;
        }
        self.accept(member, step);
    }

    /// Handles another daemon's statement about this one. If it names a newer incarnation, this
    /// daemon moves on to a still newer one or reports [`Action::Superseded`], depending on the
    /// settings. Any other statement that supersedes its own is refuted, unless this daemon has
    /// left.
    fn apply_statement_about_self(&mut self, reported: &Member, step: &mut Step) {
        let own = self.own();
        if reported.incarnation > own.incarnation {
            let incarnation = reported.incarnation;
            if !self.settings.renews_incarnation {
                return step.actions.push(Action::Superseded { incarnation });
            }
            let renewed =
                Member { incarnation: incarnation.saturating_add(1), sequence: 1, ..own.clone() };
            self.accept(renewed.clone(), step);
            return self.push(&renewed, 0, step);
        }
        if own.state != MemberState::Left && reported.supersedes(own) {
            let mut refutation = own.clone();
            refutation.sequence = reported.sequence.saturating_add(1);
            self.accept(refutation.clone(), step);
            self.push(&refutation, 0, step);
        }
    }

    /// Stores a statement if it is newer than the known one, updates the timers of the member, and
    /// queues the statement for other members; urgent changes of state are also pushed.
    pub(super) fn accept(&mut self, member: Member, step: &mut Step) {
        let known = self.members.get(&member.id);
        let before = known.map(|m| m.state);
        let priority = priority(&member, known);
        if !self.members.merge(member.clone()) {
            return;
        }
        let now = step.now;
        let id = member.id.as_str();
        if member.state == MemberState::Suspect {
            let suspicion = Suspicion::new(now, self.settings.suspicion_timeout, &mut step.rng);
            self.suspects.insert(id.to_owned(), suspicion);
        } else {
            self.suspects.remove(id);
        }
        if id != self.id && member.is_departed() {
            let forget_at = now + self.settings.forget_after;
            let next_proposal_at = now + self.settings.evict_after;
            self.departed.insert(id, now, forget_at, next_proposal_at);
        } else {
            self.departed.remove_entry(id);
        }
        self.queue.add(id, priority, self.members.len());
        if before != Some(member.state) {
            match member.state {
                MemberState::Draining | MemberState::Left => self.push(&member, 0, step),
                MemberState::Cold | MemberState::Ready if before.is_some() => {
                    self.push(&member, RESERVED_PUSHES, step);
                }
                _ => {}
            }
        }
        step.actions.push(Action::StateChanged { member });
    }

    /// Pushes a statement to [`PUSH_FANOUT`] members at once: to one in this data centre and the
    /// others in as many different data centres as possible. Probes spread it within a data centre,
    /// but only 1 in 10 goes to another one.
    fn push(&mut self, member: &Member, reserve: u32, step: &mut Step) {
        let mut others = self.others(&member.id);
        let count = others.len();
        step.rng.shuffle(&mut others, count);
        let own = &self.own().data_centre;
        let mut seen: Vec<&str> = Vec::new();
        let (mut targets, rest): (Vec<&Member>, Vec<&Member>) = others.into_iter().partition(|m| {
            let first = !seen.contains(&m.data_centre.as_str());
            if first {
                seen.push(&m.data_centre);
            }
            first
        });
        targets.sort_by_key(|m| m.data_centre != *own);
        targets.extend(rest);
        targets.truncate(PUSH_FANOUT);
        let targets: Vec<_> = targets.iter().map(|other| other.peer_addr).collect();
        for to in targets {
            self.push_within_budget(to, member.clone(), reserve, step);
        }
    }

    /// Pushes a statement to one member, unless the byte budget or the limit on pushes is
    /// exhausted.
    pub(super) fn push_to(&mut self, to: SocketAddr, member: Member, step: &mut Step) {
        self.push_within_budget(to, member, 0, step);
    }

    /// Like [`Self::push_to`], but leaves `reserve` of the available pushes for more urgent
    /// statements.
    fn push_within_budget(
        &mut self,
        to: SocketAddr,
        member: Member,
        reserve: u32,
        step: &mut Step,
    ) {
        let affordable = self.byte_budget.available(step.now) > 0.0;
        if affordable && self.push_budget.take(1, 1, reserve, step.now) == 1 {
            let updates = vec![member];
            step.actions.push(Action::Push { to, updates });
        }
    }
}

/// Priority of a statement that replaces `known`. A live state counts as a refutation if only the
/// sequence number differs, since this daemon may not have heard of the suspicion, or if the member
/// was not known to be live.
fn priority(member: &Member, known: Option<&Member>) -> Priority {
    let is_refuted = |known: &Member| {
        known.incarnation == member.incarnation && (known.state == member.state || !known.is_live())
    };
    match member.state {
        MemberState::Dead => Priority::Death,
        _ if member.is_live() && known.is_some_and(is_refuted) => Priority::Refutation,
        _ => Priority::Change,
    }
}
