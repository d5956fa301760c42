//! Members that left or died, and tombstones that keep outdated statements from reviving them.

use std::collections::BTreeMap;
use std::time::Duration;

use super::member::Member;
use crate::id::{DaemonId, Incarnation};

/// Tombstones that are kept; at 290 replaced daemons a day this covers about two weeks.
const MAX_TOMBSTONES: usize = 4_096;

#[derive(Debug)]
struct DepartedMember {
    departed_at: Duration,
    forget_at: Duration,
    propose_at: Duration,
}

#[derive(Debug)]
struct Tombstone {
    last_version: (Incarnation, u64),
    expires_at: Duration,
}

/// Departed members, first as entries of the table, later as tombstones.
#[derive(Debug, Default)]
pub(super) struct Departed {
    entries: BTreeMap<DaemonId, DepartedMember>,
    tombstones: BTreeMap<DaemonId, Tombstone>,
    evicted: BTreeMap<DaemonId, Incarnation>,
}

impl Departed {
    pub(super) fn insert(
        &mut self,
        id: &str,
        departed_at: Duration,
        forget_at: Duration,
        propose_at: Duration,
    ) {
        let entry = DepartedMember { departed_at, forget_at, propose_at };
        self.entries.insert(id.to_owned(), entry);
    }

    /// Removes a member that is back with a newer statement.
    pub(super) fn revive(&mut self, id: &str) {
        self.entries.remove(id);
        self.tombstones.remove(id);
    }

    /// Incarnation and sequence number up to which statements about a forgotten member are old.
    pub(super) fn last_version(&self, id: &str) -> Option<(Incarnation, u64)> {
        self.tombstones.get(id).map(|tombstone| tombstone.last_version)
    }

    /// Ids whose time in the table is over.
    pub(super) fn expired(&self, now: Duration) -> Vec<DaemonId> {
        self.entries
            .iter()
            .filter(|(_, entry)| entry.forget_at <= now)
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Turns an entry into a tombstone.
    pub(super) fn replace_with_tombstone(&mut self, member: &Member, expires_at: Duration) {
        self.entries.remove(&member.id);
        self.evicted.remove(&member.id);
        let last_version = (member.incarnation, member.sequence);
        let tombstone = Tombstone { last_version, expires_at };
        self.tombstones.insert(member.id.clone(), tombstone);
        if self.tombstones.len() > MAX_TOMBSTONES {
            let first = self.tombstones.iter().min_by_key(|(_, t)| t.expires_at);
            if let Some(id) = first.map(|(id, _)| id.clone()) {
                self.tombstones.remove(&id);
            }
        }
    }

    /// Drops tombstones whose time is over.
    pub(super) fn drop_expired_tombstones(&mut self, now: Duration) {
        self.tombstones.retain(|_, tombstone| tombstone.expires_at > now);
    }

    /// When the member departed.
    pub(super) fn departed_at(&self, id: &str) -> Option<Duration> {
        self.entries.get(id).map(|entry| entry.departed_at)
    }

    /// Whether a member departed at `time` or later.
    pub(super) fn any_departed_since(&self, time: Duration) -> bool {
        self.entries.values().any(|entry| entry.departed_at >= time)
    }

    /// Ids whose eviction is due; the next proposal for each is due after `every`.
    pub(super) fn take_due_proposals(&mut self, now: Duration, every: Duration) -> Vec<DaemonId> {
        let due = self.entries.iter_mut().filter(|(_, e)| e.propose_at <= now);
        due.map(|(id, entry)| {
            entry.propose_at = now + every;
            id.clone()
        })
        .collect()
    }

    /// Puts proposals off to `at` at the earliest.
    pub(super) fn postpone_proposals(&mut self, at: Duration) {
        for entry in self.entries.values_mut() {
            entry.propose_at = entry.propose_at.max(at);
        }
    }

    /// Notes that the log evicted the incarnation.
    pub(super) fn record_eviction(&mut self, id: &str, incarnation: Incarnation) {
        self.evicted.insert(id.to_owned(), incarnation);
    }

    pub(super) fn is_evicted(&self, id: &str, incarnation: Incarnation) -> bool {
        self.evicted.get(id).is_some_and(|seen| *seen >= incarnation)
    }
}
