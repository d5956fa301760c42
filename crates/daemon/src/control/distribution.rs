//! Actor that folds the streams of the log into state and forwards their entries to other daemons.

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

use super::follower::FollowerRequest;
use super::push;
use super::stream::FollowedStream;
use crate::context::{Cx, Phase};

/// Time between the heartbeats of a relay.
const HEARTBEAT: Duration = Duration::from_secs(1);

/// Time after the start from which a daemon may serve with the configuration of its peers if it cannot
/// reach the log.
const PEERS_SUFFICE_AFTER: Duration = Duration::from_secs(3);

/// Entries that are new to this daemon, by stream.
#[derive(Debug, Default)]
pub(super) struct NewEntries {
    pub config: Option<Batch>,
    pub members: Option<Batch>,
}

/// Actor that folds the streams of the log into state and forwards their entries to other daemons.
#[derive(Debug, Actor)]
pub struct Distribution {
    pub(super) cx: Cx,
    pub(super) state: ConfigState,
    pub(super) config: FollowedStream,
    pub(super) members: FollowedStream,
    /// Challenges that this daemon sent; the proof that answers one is dated by it.
    pub(super) challenges: Challenges,
    /// Last challenge from each child in the push tree, answered by the next push to it.
    pub(super) child_challenges: HashMap<DaemonId, ReceivedChallenge>,
    /// Last forwarded push round of each root.
    pub(super) last_rounds: HashMap<DaemonId, u64>,
    /// Last push round that this daemon started as a root.
    pub(super) round: u64,
    /// Newest version of the configuration that a peer has reported.
    newest_known: Version,
    /// When a newer generation of stream `config` was first noticed.
    pub(super) replaced_at: Option<Duration>,
    /// Whether a peer has sent a push, an answer to a pull, or its position.
    heard_from_peer: bool,
    last_heartbeat: Duration,
    pull_limiter: PullLimiter,
    /// When the running pull of each stream times out.
    pulling_until: HashMap<Stream, Duration>,
}

impl Distribution {
    /// Creates the actor without any configuration.
    #[must_use]
    pub fn new(cx: &Cx) -> Self {
        let now = cx.clock.now();
        Self {
            cx: Arc::clone(cx),
            state: ConfigState::new(0).with_max_schema(cx.settings.max_schema),
            config: FollowedStream::new(now),
            members: FollowedStream::new(now),
            challenges: Challenges::default(),
            child_challenges: HashMap::new(),
            last_rounds: HashMap::new(),
            // After a restart, round numbers that other daemons have already forwarded must not be reused.
            round: cx.identity.incarnation << 20,
            newest_known: Version::default(),
            replaced_at: None,
            heard_from_peer: false,
            last_heartbeat: Duration::ZERO,
            pull_limiter: PullLimiter::default(),
            pulling_until: HashMap::new(),
        }
    }

    pub(super) fn stream(&mut self, stream: Stream) -> &mut FollowedStream {
        match stream {
            Stream::Config => &mut self.config,
            Stream::Members => &mut self.members,
        }
    }

    /// Adds a batch to a stream and folds its new entries, which it returns.
    ///
    /// Missing entries are pulled from `from`, if it is given.
    fn apply_batch(
        &mut self,
        stream: Stream,
        batch: &Batch,
        from: Option<SocketAddr>,
    ) -> Option<Batch> {
        if self.stream(stream).is_uninitialized() && batch.generation > 0 {
            if stream == Stream::Config && batch.generation > FIRST_GENERATION {
                // A log that replaced another one continues from a snapshot, not from an empty state.
                self.cx.follower.request_snapshot();
                return None;
            }
            self.start_first_generation(stream, batch.generation);
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
                self.handle_replaced_log(stream, generation);
                match stream {
                    Stream::Config => None,
                    // The stream now follows the new generation, so this recurses only once.
                    Stream::Members => self.apply_batch(stream, batch, from),
                }
            }
            ReceiveOutcome::Duplicate | ReceiveOutcome::OlderGeneration => None,
        }
    }

    /// Requests missing entries from a peer, unless a pull of this stream is already running.
    fn pull(&mut self, stream: Stream, from: SocketAddr) {
        let now = self.cx.clock.now();
        if self.pulling_until.get(&stream).is_some_and(|until| now < *until) {
            return;
        }
        self.pulling_until.insert(stream, now + push::PULL_TIMEOUT);
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

    /// Returns the newest proof of the head of a stream as an answer to the last challenge of `child`.
    pub(super) fn attest(&self, stream: Stream, child: &str) -> Option<Attestation> {
        let challenge = self.child_challenges.get(child)?;
        match stream {
            Stream::Config => self.config.confirmation.attest(*challenge),
            Stream::Members => self.members.confirmation.attest(*challenge),
        }
    }

    /// Accepts a proof of the head of a stream from another daemon, if there is one.
    fn accept(&mut self, stream: Stream, proof: Option<&Attestation>) {
        let Some(proof) = proof else { return };
        let now = self.cx.clock.now();
        let followed = match stream {
            Stream::Config => &mut self.config,
            Stream::Members => &mut self.members,
        };
        followed.confirmation.accept(proof, &self.challenges, now);
        self.renew_lease(stream);
    }

    /// If `stream` is `members`, renews the lease on keys from a proof of its head, dated by this daemon's
    /// clock.
    fn renew_lease(&mut self, stream: Stream) {
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

    /// Starts to serve once the configuration is at least as new as any version heard of, and a proof from
    /// the log covers it or, after a wait, a peer has been heard from.
    fn check_ready(&mut self) {
        if self.cx.phase() != Phase::Starting || self.config.is_uninitialized() {
            return;
        }
        let now = self.cx.clock.now();
        let version = self.state.version();
        let next = self.config.window.next();
        let confirmed =
            self.config.confirmation.covers(version.generation, next, Duration::MAX, now);
        let by_peers = self.heard_from_peer && now >= PEERS_SUFFICE_AFTER;
        if version >= self.newest_known && (confirmed || by_peers) {
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
            store_generation: None,
        });
    }

    fn after_new_entries(&mut self, new_entries: NewEntries) {
        self.publish_position();
        self.check_ready();
        if new_entries.config.is_some() || new_entries.members.is_some() {
            push::start_round(self, &new_entries);
        }
    }
}

fn short_digest(state: &ConfigState) -> u64 {
    let digest = state.digest();
    digest.as_bytes().iter().take(8).fold(0, |sum, byte| (sum << 8) | u64::from(*byte))
}

/// Result of reading a stream of the log.
pub(super) struct LogRead {
    pub stream: Stream,
    pub requested_at: Duration,
    pub answer: ReadAnswer,
}

impl Message<LogRead> for Distribution {
    /// Whether the log is known to have more entries that this daemon can read now.
    type Reply = bool;

    async fn handle(&mut self, msg: LogRead, _: &mut MessageContext<Self, Self::Reply>) -> bool {
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
                        self.cx.follower.request_snapshot();
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
        let new = self.apply_batch(msg.stream, &batch, None);
        self.stream(msg.stream).confirmation.confirm(page.generation, page.next, msg.requested_at);
        self.renew_lease(msg.stream);
        let new_entries = match msg.stream {
            Stream::Config => NewEntries { config: new, members: None },
            Stream::Members => NewEntries { config: None, members: new },
        };
        self.after_new_entries(new_entries);
        let followed = self.stream(msg.stream);
        followed.version() != before && followed.window.next() < page.next
    }
}

/// Asks for the offset at which the next read of a stream starts.
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

/// Push from another daemon.
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
        self.heard_from_peer = true;
        let config = self.apply_batch(Stream::Config, &push.config.into(), from);
        let members = self.apply_batch(Stream::Members, &push.members.into(), from);
        self.accept(Stream::Config, push.config_proof.as_ref());
        self.accept(Stream::Members, push.members_proof.as_ref());
        // A heartbeat from a relay that is itself cut off from the log does not show that a stream is up
        // to date.
        for followed in [&mut self.config, &mut self.members] {
            if followed.confirmation.age(now).is_some_and(|age| age < STALE_AFTER) {
                followed.staleness.heard(now);
            }
        }
        self.publish_position();
        self.check_ready();
        push::forward(self, &push.root, push.round, &NewEntries { config, members });
        let nonce = self.challenges.issue(self.cx.clock.now(), rand::random());
        PushReply(PushAnswer { nonce })
    }
}

/// Answer of a child in the push tree to a push.
pub(super) struct PushAnswered {
    pub child: DaemonId,
    pub answer: PushAnswer,
}

impl Message<PushAnswered> for Distribution {
    type Reply = ();

    async fn handle(&mut self, msg: PushAnswered, _: &mut MessageContext<Self, Self::Reply>) {
        let received_at = self.cx.clock.now();
        let challenge = ReceivedChallenge { nonce: msg.answer.nonce, received_at };
        self.child_challenges.insert(msg.child, challenge);
    }
}

/// Pull from another daemon, which requests entries.
pub(super) struct PullRequested(pub PullWire);

impl Message<PullRequested> for Distribution {
    type Reply = PullReply;

    async fn handle(
        &mut self,
        msg: PullRequested,
        _: &mut MessageContext<Self, Self::Reply>,
    ) -> PullReply {
        let now = self.cx.clock.now();
        let pull_request = msg.0;
        let challenge = ReceivedChallenge { nonce: pull_request.nonce, received_at: now };
        let is_new_peer = pull_request.generation == 0;
        let followed = self.stream(pull_request.stream);
        let proof = followed.confirmation.attest(challenge);
        let generation = followed.window.generation();
        // A daemon that has just started does not follow a generation yet.
        let wanted = if is_new_peer { generation } else { pull_request.generation };
        if is_new_peer && pull_request.stream == Stream::Config && generation > FIRST_GENERATION {
            return PullReply(self.answer_with_starting_point(pull_request.stream, now));
        }
        let followed = self.stream(pull_request.stream);
        let pull = Pull { generation: wanted, from: pull_request.from };
        PullReply(match followed.window.answer(pull) {
            PullAnswer::Entries(batch) => PullAnswerWire::Entries { batch: (&batch).into(), proof },
            PullAnswer::UpToDate { .. } => {
                PullAnswerWire::Entries { batch: (&followed.heartbeat()).into(), proof }
            }
            PullAnswer::TooOld { .. } | PullAnswer::OtherGeneration { .. } => {
                self.answer_with_starting_point(pull_request.stream, now)
            }
        })
    }
}

impl Distribution {
    fn request_members_read(&self) {
        self.cx.follower.request(FollowerRequest::ReadOnce(Stream::Members));
    }

    /// Continues when a peer no longer has the requested entries of stream `members` but only those
    /// from `first` on.
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
            // Only the log can tell whether the entries before `first` have expired.
            self.request_members_read();
        }
    }

    /// Returns the answer to a peer that cannot continue with entries: the start of the window of `members`,
    /// or a snapshot of the configuration, or a time to retry while too many peers request one.
    fn answer_with_starting_point(&mut self, stream: Stream, now: Duration) -> PullAnswerWire {
        if stream == Stream::Members {
            let window = &self.members.window;
            return PullAnswerWire::Start {
                generation: window.generation(),
                first: window.first(),
            };
        }
        match self.pull_limiter.begin(now, rand::random()) {
            PullAdmission::Granted { ticket } => {
                let data = self.state.snapshot().encode();
                self.pull_limiter.end(ticket);
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
        self.pulling_until.remove(&msg.stream);
        let Some(answer) = msg.answer else { return };
        self.heard_from_peer = true;
        let mut new_entries = NewEntries::default();
        match answer {
            PullAnswerWire::Entries { batch, proof } => {
                self.stream(msg.stream).staleness.heard(now);
                let more = !batch.entries.is_empty();
                let new = self.apply_batch(msg.stream, &batch.into(), Some(msg.from));
                self.accept(msg.stream, proof.as_ref());
                if new.is_some() && more {
                    self.pull(msg.stream, msg.from);
                }
                match msg.stream {
                    Stream::Config => new_entries.config = new,
                    Stream::Members => new_entries.members = new,
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
        self.after_new_entries(new_entries);
    }
}

/// Position of a peer, received in a membership message.
pub(super) struct PeerPosition {
    pub from: SocketAddr,
    pub position: Position,
}

impl Message<PeerPosition> for Distribution {
    type Reply = ();

    async fn handle(&mut self, msg: PeerPosition, _: &mut MessageContext<Self, Self::Reply>) {
        self.heard_from_peer = true;
        self.newest_known = self.newest_known.max(msg.position.config);
        if msg.position.config > self.config.version() {
            self.pull(Stream::Config, msg.from);
        }
        if msg.position.members > self.members.version() {
            self.pull(Stream::Members, msg.from);
        }
        self.check_ready();
    }
}

/// Text of a snapshot that was read from the log.
pub(super) struct SnapshotRead(pub String);

impl Message<SnapshotRead> for Distribution {
    type Reply = ();

    async fn handle(&mut self, msg: SnapshotRead, _: &mut MessageContext<Self, Self::Reply>) {
        self.restore(&msg.0);
        self.after_new_entries(NewEntries::default());
    }
}

/// Periodic tick that sends heartbeats and pulls streams that have gone silent.
#[derive(Debug, Clone, Copy)]
pub(super) struct Tick;

impl Message<Tick> for Distribution {
    type Reply = ();

    async fn handle(&mut self, _: Tick, _: &mut MessageContext<Self, Self::Reply>) {
        let now = self.cx.clock.now();
        let relay = self.cx.is_relay();
        if relay && now.saturating_sub(self.last_heartbeat) >= HEARTBEAT {
            self.last_heartbeat = now;
            push::start_round(self, &NewEntries::default());
        }
        for stream in [Stream::Config, Stream::Members] {
            match self.stream(stream).staleness.tick(now, rand::random()) {
                Some(PullSource::Peer) => {
                    if let Some(peer) = self.cx.random_peer() {
                        self.pull(stream, peer);
                    }
                }
                Some(PullSource::Log) => {
                    self.cx.follower.request(FollowerRequest::ReadOnce(stream))
                }
                None => {}
            }
        }
        self.check_ready();
    }
}
