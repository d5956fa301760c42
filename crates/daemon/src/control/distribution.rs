//! Actor that folds the streams of the log and passes their entries on.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use baobabreel_client::log::ReadAnswer;
use baobabreel_client::wire::{Position, PullAnswerWire, PullWire, PushAnswer, PushWire, Stream};
use baobabreel_core::config::{ConfigState, Version};
use baobabreel_core::id::{DaemonId, Offset};
use baobabreel_core::registry::FIRST_GENERATION;
use baobabreel_core::relay::{
    Attestation, Batch, Challenges, Pull, PullAdmission, PullAnswer, PullLimiter, PullSource,
    ReceiveOutcome, ReceivedChallenge, STALE_AFTER,
};
use kameo::Actor;
use kameo::message::{Context as MessageContext, Message};

use super::follower::FollowerHint;
use super::push;
use super::stream::Followed;
use crate::context::{Cx, Phase};

/// Time between the heartbeats of a relay.
const HEARTBEAT: Duration = Duration::from_secs(1);

/// Time after which a daemon without contact to the log serves what its peers know.
const PEERS_SUFFICE_AFTER: Duration = Duration::from_secs(3);

/// Entries that are new to this daemon, by stream.
#[derive(Debug, Default)]
pub(super) struct News {
    pub config: Option<Batch>,
    pub members: Option<Batch>,
}

/// Actor that folds the streams of the log and passes their entries on.
#[derive(Debug, Actor)]
pub struct Distribution {
    pub(super) cx: Cx,
    pub(super) state: ConfigState,
    pub(super) config: Followed,
    pub(super) members: Followed,
    pub(super) challenges: Challenges,
    pub(super) children: HashMap<DaemonId, ReceivedChallenge>,
    pub(super) rounds: HashMap<DaemonId, u64>,
    pub(super) round: u64,
    newest_seen: Version,
    pub(super) replaced_at: Option<Duration>,
    peer_answered: bool,
    last_heartbeat: Duration,
    pulls: PullLimiter,
    pulling: HashMap<Stream, Duration>,
}

impl Distribution {
    /// Starts without any configuration.
    #[must_use]
    pub fn new(cx: &Cx) -> Self {
        let now = cx.clock.now();
        Self {
            cx: Arc::clone(cx),
            state: ConfigState::new(0).with_max_schema(cx.settings.max_schema),
            config: Followed::new(now),
            members: Followed::new(now),
            challenges: Challenges::default(),
            children: HashMap::new(),
            rounds: HashMap::new(),
            // Restarts of this daemon must not repeat numbers that others have passed on.
            round: cx.identity.incarnation << 20,
            newest_seen: Version::default(),
            replaced_at: None,
            peer_answered: false,
            last_heartbeat: Duration::ZERO,
            pulls: PullLimiter::default(),
            pulling: HashMap::new(),
        }
    }

    pub(super) fn stream(&mut self, stream: Stream) -> &mut Followed {
        match stream {
            Stream::Config => &mut self.config,
            Stream::Members => &mut self.members,
        }
    }

    /// Takes a batch and folds what is new; returns the new entries.
    fn take(&mut self, stream: Stream, batch: &Batch, from: Option<SocketAddr>) -> Option<Batch> {
        if self.stream(stream).is_blank() && batch.generation > 0 {
            if stream == Stream::Config && batch.generation > FIRST_GENERATION {
                // A log that replaced another one goes on from a snapshot, not from nothing.
                self.cx.follower.need_snapshot();
                return None;
            }
            self.enter_generation(stream, batch.generation);
        }
        match self.stream(stream).window.receive(batch) {
            ReceiveOutcome::Applied { first, entries } => {
                let new = &batch.entries[batch.entries.len() - entries..];
                match stream {
                    Stream::Config => self.fold_config(first, new),
                    Stream::Members => self.fold_members(first, new),
                }
                Some(self.stream(stream).batch(first, new))
            }
            ReceiveOutcome::Gap { .. } => {
                if let Some(from) = from {
                    self.pull(stream, from);
                }
                None
            }
            ReceiveOutcome::NewerGeneration { generation } => {
                self.log_was_replaced(stream, generation);
                match stream {
                    Stream::Config => None,
                    // It follows the new generation now, so this ends.
                    Stream::Members => self.take(stream, batch, from),
                }
            }
            ReceiveOutcome::Duplicate | ReceiveOutcome::OlderGeneration => None,
        }
    }

    /// Asks a peer for the entries that are missing, unless it was asked a moment ago.
    fn pull(&mut self, stream: Stream, from: SocketAddr) {
        let now = self.cx.clock.now();
        if self.pulling.get(&stream).is_some_and(|until| now < *until) {
            return;
        }
        self.pulling.insert(stream, now + push::PULL_TIMEOUT);
        let nonce = self.challenges.issue(now, rand::random());
        let followed = self.stream(stream);
        let pull = PullWire {
            stream,
            generation: followed.window.generation(),
            from: followed.window.next(),
            nonce,
        };
        push::pull_from(&self.cx, from, pull);
    }

    pub(super) fn attest(&self, stream: Stream, child: &str) -> Option<Attestation> {
        let challenge = self.children.get(child)?;
        match stream {
            Stream::Config => self.config.confirmation.attest(*challenge),
            Stream::Members => self.members.confirmation.attest(*challenge),
        }
    }

    fn accept(&mut self, stream: Stream, proof: Option<&Attestation>) {
        let Some(proof) = proof else { return };
        let now = self.cx.clock.now();
        let followed = match stream {
            Stream::Config => &mut self.config,
            Stream::Members => &mut self.members,
        };
        followed.confirmation.accept(proof, &self.challenges, now);
        self.after_confirmation(stream);
    }

    /// Lets the lease rest on a proof of the head of `members`, dated by this daemon's clock.
    fn after_confirmation(&mut self, stream: Stream) {
        if stream != Stream::Members {
            return;
        }
        let now = self.cx.clock.now();
        let (version, next) = (self.members.version(), self.members.window.next());
        let proof = &self.members.confirmation;
        let complete = proof.covers(version.generation, next, Duration::MAX, now);
        let proven_at = proof.age(now).and_then(|age| now.checked_sub(age));
        if let (Some(proven_at), true) = (proven_at, complete) {
            self.cx.keys.confirm(proven_at, version);
        }
    }

    /// Starts to serve once the configuration is as new as anything that is known of.
    fn check_ready(&mut self) {
        if self.cx.phase() != Phase::Starting || self.config.is_blank() {
            return;
        }
        let now = self.cx.clock.now();
        let version = self.state.version();
        let next = self.config.window.next();
        let confirmed =
            self.config.confirmation.covers(version.generation, next, Duration::MAX, now);
        let by_peers = self.peer_answered && now >= PEERS_SUFFICE_AFTER;
        if version >= self.newest_seen && (confirmed || by_peers) {
            tracing::info!(%version, "serving");
            self.publish_config();
            self.cx.advance(Phase::Serving);
        }
    }

    fn publish_position(&self) {
        self.cx.set_position(Position {
            config: self.state.version(),
            config_digest: short_digest(&self.state),
            members: self.members.version(),
        });
    }

    fn after_news(&mut self, news: News) {
        self.publish_position();
        self.check_ready();
        if news.config.is_some() || news.members.is_some() {
            push::start_round(self, &news);
        }
    }
}

fn short_digest(state: &ConfigState) -> u64 {
    let digest = state.digest();
    digest.as_bytes().iter().take(8).fold(0, |sum, byte| (sum << 8) | u64::from(*byte))
}

/// Result of a read of the log.
pub(super) struct FromLog {
    pub stream: Stream,
    pub requested_at: Duration,
    pub answer: ReadAnswer,
}

impl Message<FromLog> for Distribution {
    /// Whether the log certainly has more entries that this daemon can read now.
    type Reply = bool;

    async fn handle(&mut self, msg: FromLog, _: &mut MessageContext<Self, Self::Reply>) -> bool {
        let now = self.cx.clock.now();
        self.stream(msg.stream).staleness.heard(now);
        let page = match msg.answer {
            ReadAnswer::Page(page) => page,
            ReadAnswer::Expired(retained) => {
                return match msg.stream {
                    Stream::Members => {
                        self.members.window.restart(retained.generation, retained.first)
                    }
                    Stream::Config => {
                        self.cx.follower.need_snapshot();
                        false
                    }
                };
            }
        };
        let first = page.records.first().map_or(page.next, |record| record.offset);
        let batch = Batch {
            generation: page.generation,
            first,
            entries: page.records.into_iter().map(|record| record.data.into()).collect(),
        };
        let before = self.stream(msg.stream).version();
        let new = self.take(msg.stream, &batch, None);
        self.stream(msg.stream).confirmation.confirm(page.generation, page.next, msg.requested_at);
        self.after_confirmation(msg.stream);
        let news = match msg.stream {
            Stream::Config => News { config: new, members: None },
            Stream::Members => News { config: None, members: new },
        };
        self.after_news(news);
        let followed = self.stream(msg.stream);
        followed.version() != before && followed.window.next() < page.next
    }
}

/// Where the next read of a stream starts.
pub(super) struct NextOffset(pub Stream);

impl Message<NextOffset> for Distribution {
    type Reply = u64;

    async fn handle(&mut self, msg: NextOffset, _: &mut MessageContext<Self, Self::Reply>) -> u64 {
        self.stream(msg.0).window.next()
    }
}

/// Answer to a push.
#[derive(Debug, kameo::Reply)]
pub(super) struct PushReply(pub PushAnswer);

/// Answer to a pull.
#[derive(Debug, kameo::Reply)]
pub(super) struct PullReply(pub PullAnswerWire);

/// Push of another daemon.
pub(super) struct Pushed(pub PushWire);

impl Message<Pushed> for Distribution {
    type Reply = PushReply;

    async fn handle(
        &mut self,
        msg: Pushed,
        _: &mut MessageContext<Self, Self::Reply>,
    ) -> PushReply {
        let push = msg.0;
        let now = self.cx.clock.now();
        let from = self.cx.members.load().get(&push.from).map(|member| member.peer_addr);
        self.peer_answered = true;
        let config = self.take(Stream::Config, &push.config.into(), from);
        let members = self.take(Stream::Members, &push.members.into(), from);
        self.accept(Stream::Config, push.config_proof.as_ref());
        self.accept(Stream::Members, push.members_proof.as_ref());
        // The heartbeat of a relay that is itself cut off from the log is no news.
        for followed in [&mut self.config, &mut self.members] {
            if followed.confirmation.age(now).is_some_and(|age| age < STALE_AFTER) {
                followed.staleness.heard(now);
            }
        }
        self.publish_position();
        self.check_ready();
        push::pass_on(self, &push.root, push.round, &News { config, members });
        let nonce = self.challenges.issue(self.cx.clock.now(), rand::random());
        PushReply(PushAnswer { nonce })
    }
}

/// Answer of a child to a push.
pub(super) struct PushAnswered {
    pub child: DaemonId,
    pub answer: PushAnswer,
}

impl Message<PushAnswered> for Distribution {
    type Reply = ();

    async fn handle(&mut self, msg: PushAnswered, _: &mut MessageContext<Self, Self::Reply>) {
        let received_at = self.cx.clock.now();
        let challenge = ReceivedChallenge { nonce: msg.answer.nonce, received_at };
        self.children.insert(msg.child, challenge);
    }
}

/// Request of another daemon for entries.
pub(super) struct PullAsked(pub PullWire);

impl Message<PullAsked> for Distribution {
    type Reply = PullReply;

    async fn handle(
        &mut self,
        msg: PullAsked,
        _: &mut MessageContext<Self, Self::Reply>,
    ) -> PullReply {
        let now = self.cx.clock.now();
        let asked = msg.0;
        let challenge = ReceivedChallenge { nonce: asked.nonce, received_at: now };
        let blank = asked.generation == 0;
        let followed = self.stream(asked.stream);
        let proof = followed.confirmation.attest(challenge);
        let generation = followed.window.generation();
        // A daemon that has just started follows no generation yet.
        let wanted = if blank { generation } else { asked.generation };
        if blank && asked.stream == Stream::Config && generation > FIRST_GENERATION {
            return PullReply(self.answer_with_start(asked.stream, now));
        }
        let followed = self.stream(asked.stream);
        let pull = Pull { generation: wanted, from: asked.from };
        PullReply(match followed.window.answer(pull) {
            PullAnswer::Entries(batch) => PullAnswerWire::Entries { batch: (&batch).into(), proof },
            PullAnswer::UpToDate { .. } => {
                PullAnswerWire::Entries { batch: (&followed.heartbeat()).into(), proof }
            }
            PullAnswer::TooOld { .. } | PullAnswer::OtherGeneration { .. } => {
                self.answer_with_start(asked.stream, now)
            }
        })
    }
}

impl Distribution {
    fn read_members(&self) {
        self.cx.follower.hint(FollowerHint::ReadOnce(Stream::Members));
    }

    /// Goes on when a peer does not keep the wanted entries of stream `members`, but those from
    /// `first` on.
    fn continue_members(&mut self, generation: u64, first: Offset, from: SocketAddr) {
        if generation < self.members.window.generation() {
            return;
        }
        if generation > self.members.window.generation() {
            self.start_members(generation);
        }
        if first <= self.members.window.next() {
            self.pull(Stream::Members, from);
        } else {
            // Only the log knows whether the entries before `first` have expired.
            self.read_members();
        }
    }

    fn answer_with_start(&mut self, stream: Stream, now: Duration) -> PullAnswerWire {
        if stream == Stream::Members {
            let window = &self.members.window;
            return PullAnswerWire::Start {
                generation: window.generation(),
                first: window.first(),
            };
        }
        match self.pulls.begin(now, rand::random()) {
            PullAdmission::Granted { ticket } => {
                let data = self.state.snapshot().encode();
                self.pulls.end(ticket);
                PullAnswerWire::Snapshot { data }
            }
            PullAdmission::RetryAfter(after) => {
                let retry_after_ms = u64::try_from(after.as_millis()).unwrap_or(u64::MAX);
                PullAnswerWire::Busy { retry_after_ms }
            }
        }
    }
}

/// Answer of a peer to a pull.
pub(super) struct Pulled {
    pub stream: Stream,
    pub from: SocketAddr,
    pub answer: Option<PullAnswerWire>,
}

impl Message<Pulled> for Distribution {
    type Reply = ();

    async fn handle(&mut self, msg: Pulled, _: &mut MessageContext<Self, Self::Reply>) {
        let now = self.cx.clock.now();
        self.pulling.remove(&msg.stream);
        let Some(answer) = msg.answer else { return };
        self.peer_answered = true;
        let mut news = News::default();
        match answer {
            PullAnswerWire::Entries { batch, proof } => {
                self.stream(msg.stream).staleness.heard(now);
                let more = !batch.entries.is_empty();
                let new = self.take(msg.stream, &batch.into(), Some(msg.from));
                self.accept(msg.stream, proof.as_ref());
                if new.is_some() && more {
                    self.pull(msg.stream, msg.from);
                }
                match msg.stream {
                    Stream::Config => news.config = new,
                    Stream::Members => news.members = new,
                }
            }
            PullAnswerWire::Start { generation, first } => {
                if msg.stream == Stream::Members {
                    self.continue_members(generation, first, msg.from);
                }
            }
            PullAnswerWire::Snapshot { data } => self.restore(&data),
            PullAnswerWire::Busy { retry_after_ms } => {
                let delay = Duration::from_millis(retry_after_ms);
                self.stream(msg.stream).staleness.retry_after(now, delay);
            }
        }
        self.after_news(news);
    }
}

/// Position of a peer, learnt from a membership message.
pub(super) struct PeerPosition {
    pub from: SocketAddr,
    pub position: Position,
}

impl Message<PeerPosition> for Distribution {
    type Reply = ();

    async fn handle(&mut self, msg: PeerPosition, _: &mut MessageContext<Self, Self::Reply>) {
        self.peer_answered = true;
        self.newest_seen = self.newest_seen.max(msg.position.config);
        if msg.position.config > self.config.version() {
            self.pull(Stream::Config, msg.from);
        }
        if msg.position.members > self.members.version() {
            self.pull(Stream::Members, msg.from);
        }
        self.check_ready();
    }
}

/// Text of a snapshot from the log.
pub(super) struct SnapshotRead(pub String);

impl Message<SnapshotRead> for Distribution {
    type Reply = ();

    async fn handle(&mut self, msg: SnapshotRead, _: &mut MessageContext<Self, Self::Reply>) {
        self.restore(&msg.0);
        self.after_news(News::default());
    }
}

/// Lets time pass.
#[derive(Debug, Clone, Copy)]
pub(super) struct Tick;

impl Message<Tick> for Distribution {
    type Reply = ();

    async fn handle(&mut self, _: Tick, _: &mut MessageContext<Self, Self::Reply>) {
        let now = self.cx.clock.now();
        let relay = self.cx.is_relay();
        if relay && now.saturating_sub(self.last_heartbeat) >= HEARTBEAT {
            self.last_heartbeat = now;
            push::start_round(self, &News::default());
        }
        for stream in [Stream::Config, Stream::Members] {
            match self.stream(stream).staleness.tick(now, rand::random()) {
                Some(PullSource::Peer) => {
                    if let Some(peer) = self.cx.random_peer() {
                        self.pull(stream, peer);
                    }
                }
                Some(PullSource::Log) => self.cx.follower.hint(FollowerHint::ReadOnce(stream)),
                None => {}
            }
        }
        self.check_ready();
    }
}
