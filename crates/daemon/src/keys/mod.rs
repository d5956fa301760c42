//! Idempotency keys at one daemon: the registry of owners, the lease, and the recorded outcomes.
//!
//! The three are under one lock, since a decision must see all of them at the same instant.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use baobabreel_client::wire::{PriorWire, QueryWire};
use baobabreel_core::config::Version;
use baobabreel_core::id::Incarnation;
use baobabreel_core::idempotency::{
    Decision, Fencing, Finish, Key, Lease, Limits, OutcomeTable, Owner, PriorAnswer, Reading,
    Request, Route, answer_prior, decide, route,
};
use baobabreel_core::membership::Members;
use baobabreel_core::registry::{Folded, Incarnate, MemberEntry, Registered, Registry};

use crate::context::{Clock, Identity};

/// Answers of previous owners.
pub type Priors = Vec<(Incarnate, PriorAnswer)>;

#[derive(Debug)]
struct Inner {
    registry: Registry,
    lease: Lease,
    table: OutcomeTable,
    join_sent_at: Option<Duration>,
    registered: bool,
}

/// Idempotency keys at one daemon.
#[derive(Debug)]
pub struct Keys {
    me: Incarnate,
    inner: Mutex<Inner>,
}

impl Keys {
    /// Starts without any registration or outcome; `retention` is that of the log.
    #[must_use]
    pub fn new(identity: &Identity, retention: Duration) -> Self {
        let inner = Inner {
            registry: Registry::new(),
            lease: Lease::new(Fencing::default(), retention),
            table: OutcomeTable::new(Limits::default()),
            join_sent_at: None,
            registered: false,
        };
        let me = Incarnate {
            id: identity.id.clone(),
            incarnation: identity.incarnation,
        };
        Self {
            me,
            inner: Mutex::new(inner),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Folds entries of stream `members`.
    pub fn fold(&self, generation: u64, first: u64, entries: &[Arc<str>], now: Duration) {
        let mut inner = self.lock();
        for (offset, entry) in (first..).zip(entries) {
            match inner.registry.fold(generation, offset, entry, now) {
                Ok(Folded::Malformed) => {
                    tracing::warn!(offset, "a member entry is malformed");
                }
                Ok(_) => self.after_fold(&mut inner, entry, now),
                Err(e) => {
                    // The entries in between are gone; registrations are renewed in the log.
                    tracing::warn!(error = %e, "the registry starts again");
                    inner.registry = Registry::new();
                    inner.lease.retire();
                }
            }
        }
        let version = inner.registry.version();
        inner.lease.folded(version);
    }

    fn after_fold(&self, inner: &mut Inner, entry: &str, now: Duration) {
        inner.registered = inner.registry.is_registered(&self.me);
        let own = matches!(
            MemberEntry::parse(entry),
            Some(MemberEntry::Join { id, incarnation, .. })
                if id == self.me.id && incarnation == self.me.incarnation
        );
        if let (true, Some(sent_at)) = (own, inner.join_sent_at)
            && !inner.lease.joined(sent_at, now)
        {
            tracing::error!("the registration expired before it was renewed");
            inner.lease.retire();
        }
    }

    /// The fold was complete at `age` before `now`.
    pub fn confirm(&self, now: Duration, age: Duration, version: Version) {
        let mut inner = self.lock();
        let folded = inner.registry.version();
        // A stream without entries has no version to fold.
        let folded = if folded.generation == 0 {
            version
        } else {
            folded
        };
        inner.lease.confirm(now, age, version, folded);
    }

    /// Whether a `join` should be appended; the caller appends it now.
    pub fn wants_join(&self, now: Duration) -> bool {
        let mut inner = self.lock();
        let due = !inner.registered || inner.lease.renewal_is_due(now);
        let wanted = due && !inner.lease.is_retired();
        if wanted {
            inner.join_sent_at = Some(now);
        }
        wanted
    }

    /// Whether exactly this incarnation is registered.
    pub fn is_registered(&self, id: &str, incarnation: Incarnation) -> bool {
        let daemon = Incarnate {
            id: id.to_owned(),
            incarnation,
        };
        self.lock().registry.is_registered(&daemon)
    }

    /// All registered daemons.
    pub fn registered(&self) -> Vec<Registered> {
        self.lock().registry.iter().cloned().collect()
    }

    /// This incarnation was evicted.
    pub fn evicted(&self) {
        self.lock().registered = false;
    }

    /// Ends the lease before `leave` is appended; returns whether there is a registration.
    pub fn retire(&self) -> bool {
        let mut inner = self.lock();
        inner.lease.retire();
        inner.registered
    }

    /// Whether this daemon may act as an owner now.
    pub fn may_own(&self, now: Duration) -> bool {
        self.lock().lease.is_valid(now)
    }

    /// Number of recorded keys.
    pub fn len(&self) -> usize {
        self.lock().table.len()
    }

    /// Whether no key is recorded.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// A new key that names this daemon as its owner.
    pub fn issue(&self, wall: Duration) -> Option<Key> {
        baobabreel_core::idempotency::issue(&self.me, wall, rand::random()).ok()
    }

    /// Daemon that decides about a request.
    pub fn route(&self, request: &Request<'_>, members: &Members) -> Route {
        route(&self.me, request, &self.lock().registry, members)
    }

    /// Decides about a request; with [`Decision::Run`] it is recorded as running.
    pub fn decide(&self, request: &Request<'_>, clock: Clock, priors: &Priors) -> Decision {
        let mut inner = self.lock();
        let reading = read_clocks(clock);
        let Inner {
            registry,
            lease,
            table,
            ..
        } = &mut *inner;
        let owner = Owner {
            me: &self.me,
            registry,
            lease,
        };
        decide(&owner, request, reading, table, priors)
    }

    /// Records how a request ended.
    pub fn finish(&self, request: &Request<'_>, finish: Finish, now: Duration) {
        self.lock().table.finish(&request.table_key(), finish, now);
    }

    /// Answers a later owner.
    pub fn answer_prior(&self, query: &QueryWire, now: Duration) -> PriorWire {
        let Ok(key) = Key::parse(&query.key) else {
            return PriorWire::Unreachable;
        };
        if query.daemon != self.me.id || query.incarnation != self.me.incarnation {
            return PriorWire::Unreachable;
        }
        let request = Request {
            service: &query.service,
            key: &key,
            fingerprint: query.fingerprint.into(),
            attempt: baobabreel_core::idempotency::Attempt::MayRepeat,
        };
        answer_prior(&mut self.lock().table, &request, now).into()
    }
}

/// Reads both clocks at nearly the same instant.
fn read_clocks(clock: Clock) -> Reading {
    loop {
        let (before, wall, after) = (clock.now(), clock.wall(), clock.now());
        if let Some(reading) = Reading::between(before, wall, after) {
            return reading;
        }
    }
}
