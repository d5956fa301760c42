//! Actor that tracks the other daemons.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use baobabreel_client::wire::{Envelope, GossipWire};
use baobabreel_core::id::{DaemonId, Incarnation};
use baobabreel_core::membership::{
    Action, Event, LocalState, Member, MemberState, Swim, SwimSettings,
};
use baobabreel_core::registry::MemberEntry;
use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::message::{Context as MessageContext, Message};

use super::{ConfigOwner, gossip, registrations};
use crate::context::{Cx, Phase};
use crate::keys::OwnEntry;
use crate::settings::ConfigSource;

/// Minimum time between two entries that this daemon appends to stream `members`.
const ENTRY_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two searches for abandoned registrations.
const REVIEW_INTERVAL: Duration = Duration::from_secs(10);

/// Longest time after the start during which a daemon that can find its backend server by itself sends no
/// membership messages. Daemons that listed it as able to serve would otherwise learn that it is cold, and
/// learn that it is ready only after their requests had no other daemon to go to.
const QUIET_START: Duration = Duration::from_millis(600);

/// Actor that tracks the other daemons.
#[derive(Debug, Actor)]
pub struct Membership {
    cx: Cx,
    swim: Swim,
    config: ConfigOwner,
    local: LocalState,
    /// Whether this daemon has started to exchange membership messages.
    has_joined: bool,
    next_entry: Duration,
    next_review: Duration,
}

impl Membership {
    /// Creates the actor with this daemon as the only member.
    #[must_use]
    pub fn new(cx: &Cx, config: ConfigOwner) -> Self {
        let identity = &cx.identity;
        let own = Member {
            id: identity.id.clone(),
            incarnation: identity.incarnation,
            sequence: 1,
            data_centre: identity.data_centre.clone(),
            service: None,
            peer_addr: identity.peer_addr,
            state: MemberState::Cold,
            slots: 0,
            release: None,
        };
        let settings = SwimSettings::new()
            .seeds(cx.settings.seeds.clone())
            .renews_incarnation(cx.settings.source == ConfigSource::Documents);
        let swim = Swim::new(own, settings);
        let local = LocalState { state: MemberState::Cold, service: None, slots: 0, release: None };
        let membership = Self {
            cx: Arc::clone(cx),
            swim,
            config,
            local,
            has_joined: false,
            next_entry: Duration::ZERO,
            next_review: Duration::ZERO,
        };
        membership.publish();
        membership
    }

    fn publish(&self) {
        self.cx.set_members(self.swim.members());
    }

    /// Whether this daemon exchanges membership messages; once it does, it continues to.
    fn check_joined(&mut self) -> bool {
        self.has_joined = self.has_joined
            || self.cx.settings.backend.is_none()
            || self.local.state != MemberState::Cold
            || self.cx.clock.now() >= QUIET_START;
        self.has_joined
    }

    fn handle(&mut self, event: Event, actor: &ActorRef<Self>) -> Vec<Action> {
        let now = self.cx.clock.now();
        let actions = self.swim.handle(event, now, rand::random());
        self.execute(actions, actor)
    }

    /// Executes actions and returns those that answer the message being handled, which the caller sends.
    fn execute(&mut self, mut actions: Vec<Action>, actor: &ActorRef<Self>) -> Vec<Action> {
        let changed = actions.iter().any(|action| matches!(action, Action::StateChanged { .. }));
        if changed {
            self.publish();
        }
        let mut answers = Vec::new();
        actions.retain(|action| {
            let answer = matches!(action, Action::SendAck { .. } | Action::SendDelta { .. });
            if answer {
                answers.push(action.clone());
            }
            !answer
        });
        if self.check_joined() {
            gossip::send_all(&self.cx, actor, &mut actions);
        }
        for action in actions {
            self.execute_local(action);
        }
        answers
    }

    fn execute_local(&mut self, action: Action) {
        match action {
            Action::StateChanged { member } => {
                tracing::info!(
                    member = member.id,
                    state = ?member.state,
                    incarnation = member.incarnation,
                    "member changed"
                );
                if member.is_departed() {
                    self.cx.peers.close_connections(member.peer_addr);
                }
            }
            Action::ProposeEvict { id, incarnation } => self.append_evict(id, incarnation),
            Action::SelfEvicted => {
                tracing::warn!("this incarnation was evicted and registers again");
                self.next_entry = self.cx.clock.now();
            }
            Action::Superseded { incarnation } => {
                tracing::error!(incarnation, "a newer incarnation of this daemon runs elsewhere");
                self.cx.advance(Phase::Draining);
            }
            _ => {}
        }
    }

    fn append_evict(&self, id: DaemonId, incarnation: Incarnation) {
        let entry = MemberEntry::Evict { id, incarnation };
        self.cx.append_member_entry(entry);
    }

    /// State of this daemon to announce to others.
    fn current(&self) -> LocalState {
        let info = self.cx.host.info();
        let state = match (self.cx.phase(), info.as_ref().map(|info| info.state)) {
            (Phase::Leaving | Phase::Handover | Phase::Draining, _) => MemberState::Draining,
            (_, None) => MemberState::Cold,
            // A call carries the routing decision of the daemon that sends it, so its host needs no
            // configuration. Where keys have owners, a daemon must know the newest configuration before it
            // can own any.
            (Phase::Starting, Some(_)) if self.cx.log.is_some() => MemberState::Cold,
            (Phase::Starting | Phase::Serving | Phase::Closing, Some(state)) => state,
        };
        LocalState {
            state,
            service: info.as_ref().map(|info| info.service.clone()).or(self.local.service.clone()),
            slots: info.as_ref().map_or(0, |info| info.slots),
            release: info
                .map_or_else(|| self.local.release.clone(), |info| info.release)
                .filter(|_| self.cx.settings.rollout.is_some()),
        }
    }

    fn update_local(&mut self, actor: &ActorRef<Self>) {
        let current = self.current();
        if current != self.local {
            self.local = current.clone();
            self.handle(Event::Local(current), actor);
        }
    }

    /// Periodically evicts registrations whose daemons are unknown.
    fn review_registrations(&mut self) {
        let now = self.cx.clock.now();
        if self.cx.log.is_none() || now < self.next_review {
            return;
        }
        self.next_review = now + REVIEW_INTERVAL;
        for registered in registrations::abandoned(&self.cx) {
            self.append_evict(registered.id, registered.incarnation);
        }
    }

    /// Registers as an owner of keys once the backend server is ready, and renews the registration in time.
    ///
    /// The renewal does not depend on the backend server; otherwise, the registration would lapse during a
    /// long drain. A daemon that no longer acts as an owner appends leave entries until the log shows one.
    fn register(&mut self) {
        let now = self.cx.clock.now();
        let Some(service) = self.local.service.clone() else {
            return;
        };
        if self.cx.log.is_none() || now < self.next_entry {
            return;
        }
        let ready = self.local.state == MemberState::Ready;
        let Some(due) = self.cx.keys.due_entry(ready, &service) else {
            return;
        };
        self.next_entry = now + ENTRY_INTERVAL;
        let entry = match due {
            OwnEntry::Join => self.cx.identity.join(service),
            OwnEntry::Leave => self.cx.identity.leave(),
        };
        self.cx.append_member_entry(entry);
    }
}

/// Event for the membership protocol.
pub(super) struct MembershipEvent(pub Event);

impl Message<MembershipEvent> for Membership {
    type Reply = ();

    async fn handle(&mut self, msg: MembershipEvent, ctx: &mut MessageContext<Self, Self::Reply>) {
        let actor = ctx.actor_ref().clone();
        let mut answers = self.handle(msg.0, &actor);
        gossip::send_all(&self.cx, &actor, &mut answers);
    }
}

/// Answer from another daemon to a message of this one.
pub(super) struct ReceivedAnswer {
    pub from: SocketAddr,
    pub envelope: Envelope,
}

impl Message<ReceivedAnswer> for Membership {
    type Reply = ();

    async fn handle(&mut self, msg: ReceivedAnswer, ctx: &mut MessageContext<Self, Self::Reply>) {
        let actor = ctx.actor_ref().clone();
        self.note_position(msg.from, &msg.envelope).await;
        if let Some(message) = msg.envelope.message.filter(|_| self.check_joined()) {
            let mut answers = self.handle(message.into(), &actor);
            gossip::send_all(&self.cx, &actor, &mut answers);
        }
    }
}

/// Message from another daemon that expects an answer.
pub(super) struct ReceivedRequest(pub Envelope);

impl Message<ReceivedRequest> for Membership {
    type Reply = Option<GossipWire>;

    async fn handle(
        &mut self,
        msg: ReceivedRequest,
        ctx: &mut MessageContext<Self, Self::Reply>,
    ) -> Option<GossipWire> {
        let actor = ctx.actor_ref().clone();
        if let Some(from) = sender_of(msg.0.message.as_ref()) {
            self.note_position(from, &msg.0).await;
        }
        if !self.check_joined() {
            return None;
        }
        let mut answers = self.handle(msg.0.message?.into(), &actor);
        let answer = answers.pop().and_then(|action| match action {
            Action::SendAck { ack, .. } => Some(GossipWire::Ack(ack.into())),
            Action::SendDelta { delta, .. } => Some(delta.into()),
            _ => None,
        });
        gossip::send_all(&self.cx, &actor, &mut answers);
        answer
    }
}

fn sender_of(message: Option<&GossipWire>) -> Option<SocketAddr> {
    match message? {
        GossipWire::Probe(probe) | GossipWire::Ack(probe) => Some(probe.from.peer_addr),
        GossipWire::ProbeRequest { from, .. }
        | GossipWire::SyncRequest { from, .. }
        | GossipWire::Delta { from, .. } => Some(from.peer_addr),
        GossipWire::ProbeAnswer { .. } | GossipWire::Push(_) => None,
    }
}

impl Membership {
    async fn note_position(&self, from: SocketAddr, envelope: &Envelope) {
        self.config.note_position(from, envelope.position).await;
    }
}

/// Periodic tick that updates this daemon's state and sends due probes.
#[derive(Debug, Clone, Copy)]
pub(super) struct Tick;

impl Message<Tick> for Membership {
    type Reply = ();

    async fn handle(&mut self, _: Tick, ctx: &mut MessageContext<Self, Self::Reply>) {
        let actor = ctx.actor_ref().clone();
        self.update_local(&actor);
        self.register();
        self.review_registrations();
        if !self.check_joined() {
            return;
        }
        let actions = self.swim.tick(self.cx.clock.now(), rand::random());
        let mut answers = self.execute(actions, &actor);
        gossip::send_all(&self.cx, &actor, &mut answers);
    }
}

/// Reports that the state of this daemon or its backend server may have changed.
#[derive(Debug, Clone, Copy)]
pub struct LocalChanged;

impl Message<LocalChanged> for Membership {
    type Reply = ();

    async fn handle(&mut self, _: LocalChanged, ctx: &mut MessageContext<Self, Self::Reply>) {
        let actor = ctx.actor_ref().clone();
        self.update_local(&actor);
    }
}

/// Other daemons as the platform lists them.
#[derive(Debug, Clone)]
pub struct ListedMembers(pub Vec<Member>);

impl Message<ListedMembers> for Membership {
    type Reply = ();

    async fn handle(&mut self, msg: ListedMembers, ctx: &mut MessageContext<Self, Self::Reply>) {
        let actor = ctx.actor_ref().clone();
        let (now, mut actions) = (self.cx.clock.now(), Vec::new());
        for member in msg.0 {
            let known = self.swim.members().get(&member.id);
            if known.is_none_or(|known| known.incarnation < member.incarnation) {
                actions.extend(self.swim.handle(
                    Event::MemberDiscovered(member),
                    now,
                    rand::random(),
                ));
            }
        }
        self.execute(actions, &actor);
    }
}

/// Announces that this daemon stops now.
#[derive(Debug, Clone, Copy)]
pub struct Leave;

impl Message<Leave> for Membership {
    type Reply = ();

    async fn handle(&mut self, _: Leave, ctx: &mut MessageContext<Self, Self::Reply>) {
        let actor = ctx.actor_ref().clone();
        self.local.state = MemberState::Left;
        let local = self.local.clone();
        self.handle(Event::Local(local), &actor);
    }
}
