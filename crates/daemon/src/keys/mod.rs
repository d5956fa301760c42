//! Idempotency keys at one daemon: the registry of owners, the lease, and the recorded outcomes.
//!
//! All are in one [`KeyOwner`] under one lock, since a decision must see them at the same instant.
//! The clocks are read under the lock too, so that times never decrease from one use to the next.
//!
//! An incarnation whose registration may have expired, or that missed entries of the log, stays
//! without keys chosen by callers until the daemon is started again. It leaves in the log, so that
//! the next in rank owns the keys meanwhile; everything else goes on. A new incarnation within the
//! process would have to replace the identity that members, relays and issued keys already use.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use baobabreel_client::wire::{KeyQueryWire, PriorAnswerWire};
use baobabreel_core::config::Version;
use baobabreel_core::id::{Incarnation, Offset, ServiceName};
use baobabreel_core::idempotency::{
    Attempt, ClockReading, Decision, Fencing, Key, KeyOwner, KeyRoute, KeyedRequest, Lease, Limits,
    PriorAnswer, RunOutcome, route,
};
use baobabreel_core::membership::Members;
use baobabreel_core::registry::{FoldEffect, Incarnate, RegisteredDaemon};

use crate::context::{Clock, Identity};
use crate::sync::lock;

/// Answers of previous owners.
pub type Priors = Vec<(Incarnate, PriorAnswer)>;

/// Entry of stream `members` that this daemon has to append for itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OwnEntry {
    /// It registers, or renews its registration.
    Join,
    /// It no longer acts as an owner.
    Leave,
}

/// Idempotency keys at one daemon.
#[derive(Debug)]
pub struct Keys {
    me: Incarnate,
    clock: Clock,
    owner: Mutex<KeyOwner>,
}

impl Keys {
    /// Starts without any registration or outcome; `retention` is that of the log.
    #[must_use]
    pub fn new(identity: &Identity, clock: Clock, retention: Duration) -> Self {
        let me = Incarnate { id: identity.id.clone(), incarnation: identity.incarnation };
        let lease = Lease::new(Fencing::default(), retention);
        let owner = KeyOwner::new(me.clone(), lease, Limits::default());
        Self { me, clock, owner: Mutex::new(owner) }
    }

    fn lock(&self) -> MutexGuard<'_, KeyOwner> {
        lock(&self.owner)
    }

    /// This daemon.
    pub fn me(&self) -> &Incarnate {
        &self.me
    }

    /// Folds entries of stream `members`.
    pub fn fold(&self, generation: u64, first: Offset, entries: &[Arc<str>]) {
        let mut owner = self.lock();
        let now = self.clock.now();
        let had_lapsed = owner.has_lapsed();
        for (offset, entry) in (first..).zip(entries) {
            fold_entry(&mut owner, Version { generation, offset }, entry, now);
        }
        if owner.has_lapsed() && !had_lapsed {
            tracing::error!("the registration lapsed; a restart is needed to own keys again");
        }
    }

    /// The fold was complete up to `head` at `proven_at`.
    pub fn confirm(&self, proven_at: Duration, head: Version) {
        self.lock().confirm(proven_at, Duration::ZERO, head);
    }

    /// What has to be appended now for this daemon, if anything.
    ///
    /// `may_start` tells whether the daemon may register for the first time or after an eviction;
    /// a registration that holds is renewed in any case. `service` is that of its backend server.
    pub fn due_entry(&self, may_start: bool, service: &ServiceName) -> Option<OwnEntry> {
        let mut owner = self.lock();
        if owner.lease().is_retired() {
            return owner.is_registered().then_some(OwnEntry::Leave);
        }
        let now = self.clock.now();
        let registered = owner.registry().get(&self.me.id);
        let moved = registered.is_some_and(|found| found.service != *service);
        let due = owner.join_is_due(now) || moved;
        if !due || !(may_start || owner.is_registered()) {
            return None;
        }
        owner.record_join_sent(now);
        Some(OwnEntry::Join)
    }

    /// Whether exactly this incarnation is registered.
    pub fn is_registered(&self, id: &str, incarnation: Incarnation) -> bool {
        let daemon = Incarnate::new(id, incarnation);
        self.lock().registry().is_registered(&daemon)
    }

    /// All registered daemons.
    pub fn registered(&self) -> Vec<RegisteredDaemon> {
        self.lock().registry().iter().cloned().collect()
    }

    /// Stops starting requests with keys chosen by callers; to be called before `leave` is sent.
    ///
    /// Returns whether a `join` of this incarnation may be in the log.
    pub fn retire(&self) -> bool {
        let mut owner = self.lock();
        owner.retire();
        owner.has_sent_join()
    }

    /// Whether this daemon may act as an owner now.
    pub fn may_own(&self) -> bool {
        let owner = self.lock();
        owner.lease().is_valid(self.clock.now())
    }

    /// Number of recorded keys.
    pub fn len(&self) -> usize {
        self.lock().table().len()
    }

    /// Whether no key is recorded.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// A new key that names this daemon as its owner.
    pub fn issue(&self) -> Option<Key> {
        baobabreel_core::idempotency::issue(&self.me, self.clock.wall(), rand::random()).ok()
    }

    /// Daemon that decides about a request.
    pub fn route(&self, request: &KeyedRequest<'_>, members: &Members) -> KeyRoute {
        route(&self.me, request, self.lock().registry(), members)
    }

    /// Decides about a request; with [`Decision::Run`] it is recorded as running.
    pub fn decide(&self, request: &KeyedRequest<'_>, priors: &Priors) -> Decision {
        let mut owner = self.lock();
        let reading = read_clocks(self.clock);
        let decision = owner.decide(request, reading, priors);
        tracing::debug!(key = request.key.as_str(), ?decision, ?priors, "decided about a key");
        decision
    }

    /// Records how a request ended.
    pub fn finish(&self, request: &KeyedRequest<'_>, finish: RunOutcome) {
        let mut owner = self.lock();
        let now = self.clock.now();
        owner.finish(request, finish, now);
    }

    /// Answers a later owner.
    pub fn answer_prior(&self, query: &KeyQueryWire) -> PriorAnswerWire {
        let Ok(key) = Key::parse(&query.key) else {
            return PriorAnswerWire::Unreachable;
        };
        let asked = Incarnate::new(&query.daemon, query.incarnation);
        let request = KeyedRequest {
            service: &query.service,
            key: &key,
            fingerprint: query.fingerprint.into(),
            attempt: Attempt::MayRepeat,
        };
        let mut owner = self.lock();
        let now = self.clock.now();
        let answer = owner.answer_prior(&asked, &request, now);
        tracing::debug!(key = query.key, ?answer, "answered a later owner");
        answer.into()
    }
}

fn fold_entry(owner: &mut KeyOwner, version: Version, entry: &str, now: Duration) {
    let folded = owner.fold(version, entry, now, now).or_else(|e| {
        tracing::warn!(error = %e, "the registry starts again");
        owner.restart_fold();
        owner.fold(version, entry, now, now)
    });
    tracing::debug!(%version, entry, "folded a member entry");
    match folded {
        Ok(FoldEffect::Malformed) => tracing::warn!(%version, "a member entry is malformed"),
        Ok(_) => {}
        Err(e) => tracing::error!(error = %e, "a member entry was not folded"),
    }
}

/// Reads both clocks at nearly the same instant.
fn read_clocks(clock: Clock) -> ClockReading {
    loop {
        let (before, wall, after) = (clock.now(), clock.wall(), clock.now());
        if let Some(reading) = ClockReading::between(before, wall, after) {
            return reading;
        }
    }
}
