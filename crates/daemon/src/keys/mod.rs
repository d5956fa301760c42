//! Idempotency keys at one daemon: the registry of owners, the lease, and the recorded outcomes.
//!
//! All three are in one [`KeyOwner`] behind one lock, since a decision needs a consistent view of
//! them. The clocks are read while the lock is held, so that the times passed to the owner never
//! decrease.
//!
//! An incarnation whose registration may have expired, or that missed entries of the log, owns no
//! keys chosen by callers until the daemon is restarted. It appends a `leave` entry, so that the
//! next daemon in rank owns the keys in the meantime; everything else continues to work. Starting a
//! new incarnation within the process is not supported, because it would have to replace the
//! identity that members, relays and issued keys already use.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use baobabreel_client::wire::{KeyQueryWire, PriorAnswerWire};
use baobabreel_core::config::Version;
use baobabreel_core::id::{Incarnation, Offset, ServiceName};
use baobabreel_core::idempotency::{
    Attempt, ClockReading, Decision, Fencing, Key, KeyOwner, KeyRoute, KeyedRequest, Lease, Limits,
    Origin, PriorAnswer, RunOutcome, route,
};
use baobabreel_core::membership::Members;
use baobabreel_core::registry::{FoldEffect, Incarnate, RegisteredDaemon};

use crate::context::{Clock, Identity};
use crate::sync::lock;

/// Answers of previous owners of a key, each with the incarnation that was asked.
pub type PriorAnswers = Vec<(Incarnate, PriorAnswer)>;

/// Entry about itself that this daemon has to append to stream `members`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OwnEntry {
    /// Registers the daemon, or renews its registration.
    Join,
    /// Ends the registration; the daemon no longer acts as an owner of keys.
    Leave,
}

/// Idempotency keys at one daemon, shared by its requests and its control plane.
#[derive(Debug)]
pub struct Keys {
    me: Incarnate,
    clock: Clock,
    owner: Mutex<KeyOwner>,
}

impl Keys {
    /// Creates the state of a daemon without registrations and outcomes.
    ///
    /// `retention` is the time for which the log keeps its entries, `memory_bytes` what the instance has, if known.
    #[must_use]
    pub fn new(
        identity: &Identity,
        clock: Clock,
        retention: Duration,
        memory_bytes: Option<u64>,
    ) -> Self {
        let me = Incarnate { id: identity.id.clone(), incarnation: identity.incarnation };
        let lease = Lease::new(Fencing::default(), retention);
        let limits = memory_bytes.map_or_else(Limits::default, Limits::within);
        let owner = KeyOwner::new(me.clone(), lease, limits);
        Self { me, clock, owner: Mutex::new(owner) }
    }

    fn lock(&self) -> MutexGuard<'_, KeyOwner> {
        lock(&self.owner)
    }

    /// Identifier and incarnation of this daemon.
    pub fn me(&self) -> &Incarnate {
        &self.me
    }

    /// Applies consecutive entries of stream `members`, the first of which is at offset `first`.
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

    /// Records that the log ended at `head` at the time `proven_at`.
    ///
    /// This extends the lease once the entries up to `head` have been applied.
    pub fn confirm(&self, proven_at: Duration, head: Version) {
        self.lock().confirm(proven_at, Duration::ZERO, head);
    }

    /// Returns the entry that this daemon has to append now, if any.
    ///
    /// `may_start` tells whether the daemon may register for the first time or after an eviction;
    /// an existing registration is renewed in any case. `service` is the service of its backend
    /// server. A returned [`OwnEntry::Join`] is recorded as sent.
    pub fn due_entry(&self, may_start: bool, service: &ServiceName) -> Option<OwnEntry> {
        let mut owner = self.lock();
        if owner.lease().is_retired() {
            return owner.is_registered().then_some(OwnEntry::Leave);
        }
        let now = self.clock.now();
        let registered = owner.registry().get(&self.me.id);
        let service_changed = registered.is_some_and(|found| found.service != *service);
        let due = owner.join_is_due(now) || service_changed;
        if !due || !(may_start || owner.is_registered()) {
            return None;
        }
        owner.record_join_sent(now);
        Some(OwnEntry::Join)
    }

    /// Whether daemon `id` is registered with exactly this incarnation.
    pub fn is_registered(&self, id: &str, incarnation: Incarnation) -> bool {
        let daemon = Incarnate::new(id, incarnation);
        self.lock().registry().is_registered(&daemon)
    }

    /// All registered daemons.
    pub fn registered(&self) -> Vec<RegisteredDaemon> {
        self.lock().registry().iter().cloned().collect()
    }

    /// Stops starting requests with keys chosen by callers. Must be called before the `leave` entry
    /// is appended.
    ///
    /// Returns whether the log may hold a `join` entry of this incarnation.
    pub fn retire(&self) -> bool {
        let mut owner = self.lock();
        owner.retire();
        owner.has_sent_join()
    }

    /// Whether the lease allows this daemon to act as an owner of keys now.
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

    /// Issues a new key that names this daemon as its owner.
    pub fn issue(&self) -> Option<Key> {
        baobabreel_core::idempotency::issue(&self.me, self.clock.wall(), rand::random()).ok()
    }

    /// Finds the daemon that decides about a request.
    pub fn route(&self, request: &KeyedRequest<'_>, members: &Members) -> KeyRoute {
        route(&self.me, request, self.lock().registry(), members)
    }

    /// Decides whether a request may run. On [`Decision::Run`], it is recorded as running.
    pub fn decide(&self, request: &KeyedRequest<'_>, priors: &PriorAnswers) -> Decision {
        let mut owner = self.lock();
        let reading = read_clocks(self.clock);
        let decision = owner.decide(request, reading, priors);
        tracing::debug!(
            key = request.key.as_str(),
            ?decision,
            ?priors,
            "decided about a request with an idempotency key"
        );
        decision
    }

    /// Records the outcome of a request for which the decision was [`Decision::Run`].
    pub fn finish(&self, request: &KeyedRequest<'_>, outcome: RunOutcome) {
        let mut owner = self.lock();
        let now = self.clock.now();
        owner.finish(request, outcome, now);
    }

    /// Answers a later owner of a key that asks this daemon, a previous owner, for the outcome.
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
            // A query does not tell it, so all keys that are given up share one part.
            origin: Origin::UNKNOWN,
        };
        let mut owner = self.lock();
        let now = self.clock.now();
        let answer = owner.answer_prior(&asked, &request, now);
        tracing::debug!(key = query.key, ?answer, "answered a later owner of an idempotency key");
        answer.into()
    }
}

/// Applies one entry; after a gap in the log, the registry is rebuilt starting from this entry.
fn fold_entry(owner: &mut KeyOwner, version: Version, entry: &str, now: Duration) {
    let folded = owner.fold(version, entry, now, now).or_else(|e| {
        tracing::warn!(error = %e, "member entries are missing; rebuilding the registry");
        owner.restart_fold();
        owner.fold(version, entry, now, now)
    });
    tracing::debug!(%version, entry, "applied a member entry");
    match folded {
        Ok(FoldEffect::Malformed) => tracing::warn!(%version, "ignored a malformed member entry"),
        Ok(_) => {}
        Err(e) => tracing::error!(error = %e, "failed to apply a member entry"),
    }
}

/// Reads both clocks at nearly the same instant, repeating the reads until they are close enough.
fn read_clocks(clock: Clock) -> ClockReading {
    loop {
        let (before, wall, after) = (clock.now(), clock.wall(), clock.now());
        if let Some(reading) = ClockReading::between(before, wall, after) {
            return reading;
        }
    }
}
