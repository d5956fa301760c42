//! State of one daemon as an owner of keys: its registry, lease and outcomes.

use std::time::Duration;

use super::decide::{Decision, KeyedRequest, OwnerView, PriorAnswer, answer_prior, decide};
use super::lease::{Lease, TAKEOVER_WAIT};
use super::table::{Limits, OutcomeTable, RunOutcome};
use super::{ClockReading, RETENTION};
use crate::config::Version;
use crate::registry::{
    FoldEffect, HISTORY_RETENTION, Incarnate, MemberEntry, Registry, RegistryError,
};

// A takeover matters while keys from before it are protected, so it must be remembered that long.
const _: () =
    assert!(HISTORY_RETENTION.as_millis() > TAKEOVER_WAIT.as_millis() + RETENTION.as_millis());

/// An incarnation of a daemon as an owner of keys; keeps registry, lease and outcomes consistent.
#[derive(Debug)]
pub struct KeyOwner {
    me: Incarnate,
    registry: Registry,
    lease: Lease,
    table: OutcomeTable,
    join_sent_at: Option<Duration>,
    has_sent_join: bool,
    lapsed: bool,
}

impl KeyOwner {
    /// Creates an owner that has folded no entry and has not joined.
    #[must_use]
    pub fn new(me: Incarnate, lease: Lease, limits: Limits) -> Self {
        Self {
            me,
            registry: Registry::new(),
            lease,
            table: OutcomeTable::new(limits),
            join_sent_at: None,
            has_sent_join: false,
            lapsed: false,
        }
    }

    /// This daemon.
    #[must_use]
    pub fn me(&self) -> &Incarnate {
        &self.me
    }

    /// Registry that this daemon has folded from the `members` stream.
    #[must_use]
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Lease of this daemon.
    #[must_use]
    pub fn lease(&self) -> &Lease {
        &self.lease
    }

    /// Outcomes that this daemon recorded.
    #[must_use]
    pub fn table(&self) -> &OutcomeTable {
        &self.table
    }

    /// Whether the registration may have expired, so that a new incarnation has to join.
    #[must_use]
    pub fn has_lapsed(&self) -> bool {
        self.lapsed
    }

    /// Records that this daemon is about to send its `join`.
    ///
    /// If several are sent before one is folded, the time of the first counts, since any of them
    /// may be the one that took effect.
    pub fn record_join_sent(&mut self, now: Duration) {
        self.join_sent_at.get_or_insert(now);
        self.has_sent_join = true;
    }

    /// Whether the log may hold a `join` of this incarnation, even if the reply to it was lost.
    #[must_use]
    pub fn has_sent_join(&self) -> bool {
        self.has_sent_join
    }

    /// Folds an entry into the registry and updates the lease; for `seen_at`, see
    /// [`crate::registry`].
    ///
    /// # Errors
    ///
    /// [`RegistryError::Gap`] when entries are missing before this one.
    pub fn fold(
        &mut self,
        version: Version,
        data: &str,
        seen_at: Duration,
        now: Duration,
    ) -> Result<FoldEffect, RegistryError> {
        let folded = self.registry.fold(version.generation, version.offset, data, seen_at)?;
        self.lease.record_fold(self.registry.version());
        if matches!(folded, FoldEffect::Changed | FoldEffect::Unchanged)
            && self.is_own_join(data)
            && let Some(sent_at) = self.join_sent_at.take()
        {
            self.lapsed |= !self.lease.record_join(sent_at, now);
        }
        if self.lapsed {
            self.lease.retire();
        }
        Ok(folded)
    }

    fn is_own_join(&self, data: &str) -> bool {
        matches!(
            MemberEntry::parse(data),
            Some(MemberEntry::Join { id, incarnation, .. })
                if id == self.me.id && incarnation == self.me.incarnation
        )
    }

    /// Processes the answer to a request for the head of the log; see [`Lease::confirm`].
    pub fn confirm(&mut self, asked_at: Duration, age: Duration, head: Version) {
        let folded = self.registry.version();
        self.lease.confirm(asked_at, age, head, folded);
    }

    /// Whether this incarnation is registered.
    #[must_use]
    pub fn is_registered(&self) -> bool {
        self.registry.is_registered(&self.me)
    }

    /// Whether a `join` has to be sent: for the first time, again after an eviction, or to renew
    /// the last one before it may expire.
    #[must_use]
    pub fn join_is_due(&self, now: Duration) -> bool {
        let retired = self.lapsed || self.lease.is_retired();
        !retired && (!self.is_registered() || self.lease.renewal_is_due(now))
    }

    /// Replaces the registry by an empty one, after the log dropped entries that were not folded.
    ///
    /// Other daemons may have owned the keys of this incarnation without its knowledge, so it has
    /// lapsed unless it never sent a `join`. A lapsed incarnation starts only requests whose keys
    /// it issued itself, but still answers questions about its outcomes.
    pub fn restart_fold(&mut self) {
        self.registry = Registry::new();
        if self.has_sent_join {
            self.lapsed = true;
            self.lease.retire();
        }
    }

    /// Stops starting requests, except for keys that this daemon issued; must be called before
    /// `leave` is sent.
    pub fn retire(&mut self) {
        self.lease.retire();
    }

    /// Decides about a keyed request; see [`decide`].
    #[must_use]
    pub fn decide(
        &mut self,
        request: &KeyedRequest<'_>,
        reading: ClockReading,
        answers: &[(Incarnate, PriorAnswer)],
    ) -> Decision {
        let owner = OwnerView { me: &self.me, registry: &self.registry, lease: &self.lease };
        decide(&owner, request, reading, &mut self.table, answers)
    }

    /// Records how a request ended for which the decision was [`Decision::Run`].
    pub fn finish(&mut self, request: &KeyedRequest<'_>, finish: RunOutcome, now: Duration) {
        self.table.finish(&request.table_key(), finish, now);
    }

    /// Answers a later owner that asks the incarnation `asked` about a key.
    #[must_use]
    pub fn answer_prior(
        &mut self,
        asked: &Incarnate,
        request: &KeyedRequest<'_>,
        now: Duration,
    ) -> PriorAnswer {
        if *asked != self.me {
            return PriorAnswer::Unreachable;
        }
        match answer_prior(&mut self.table, request, now) {
            // Once the `join` may have expired, a daemon that read the log without it may have
            // owned the key.
            PriorAnswer::NoRecord if self.lapsed || !self.lease.is_joined(now) => {
                PriorAnswer::Unreachable
            }
            answer => answer,
        }
    }
}
