//! Members that left or died, and the tombstones that replace them.
//!
//! A departed member stays in the member table for a while and is then replaced by a tombstone,
//! which keeps outdated statements from adding the member again as live.

use std::collections::BTreeMap;
use std::time::Duration;

use super::member::Member;
use crate::id::{DaemonId, Incarnation};

/// Largest number of tombstones; at 290 replaced daemons a day they cover about two weeks.
const MAX_TOMBSTONES: usize = 4_096;

/// Timers of a departed member that is still in the member table.
#[derive(Debug)]
struct DepartedEntry {
    departed_at: Duration,
    forget_at: Duration,
    next_proposal_at: Duration,
}

/// What is kept of a member that was removed from the member table.
#[derive(Debug)]
struct Tombstone {
    /// Incarnation and sequence number of the last known statement.
    last_version: (Incarnation, u64),
    expires_at: Duration,
}

/// Bookkeeping of all departed members: timers of those in the member table, and tombstones.
#[derive(Debug, Default)]
pub(super) struct DepartedMembers {
    entries: BTreeMap<DaemonId, DepartedEntry>,
    tombstones: BTreeMap<DaemonId, Tombstone>,
    /// Evicted incarnations, kept until the member returns or is replaced by a tombstone.
    evicted: BTreeMap<DaemonId, Incarnation>,
}

impl DepartedMembers {
    /// Adds a member that departed at `departed_at`.
    pub(super) fn insert(
        &mut self,
        id: &str,
        departed_at: Duration,
        forget_at: Duration,
        next_proposal_at: Duration,
    ) {
        let entry = DepartedEntry { departed_at, forget_at, next_proposal_at };
        self.entries.insert(id.to_owned(), entry);
    }

    /// Removes what is kept of a member that has returned with a newer statement. It registers again
    /// with the same incarnation, so an earlier eviction does not count for its next death.
    pub(super) fn remove_entry(&mut self, id: &str) {
        self.entries.remove(id);
        self.tombstones.remove(id);
        self.evicted.remove(id);
    }

    /// Incarnation and sequence number in the tombstone of a member, if it has one. Statements that
    /// are not newer are outdated.
    pub(super) fn last_version(&self, id: &str) -> Option<(Incarnation, u64)> {
        self.tombstones.get(id).map(|tombstone| tombstone.last_version)
    }

    /// Ids of the members that are due to be removed from the member table.
    pub(super) fn ids_to_forget(&self, now: Duration) -> Vec<DaemonId> {
        self.entries
            .iter()
            .filter(|(_, entry)| entry.forget_at <= now)
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Replaces a member by a tombstone. If there are too many tombstones, drops the one that would
    /// expire first.
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

    /// Drops the tombstones that have expired.
    pub(super) fn drop_expired_tombstones(&mut self, now: Duration) {
        self.tombstones.retain(|_, tombstone| tombstone.expires_at > now);
    }

    /// Time at which the member departed, if it is still in the member table.
    pub(super) fn departed_at(&self, id: &str) -> Option<Duration> {
        self.entries.get(id).map(|entry| entry.departed_at)
    }

    /// Whether any member that is still in the member table departed at `time` or later.
    pub(super) fn any_departed_since(&self, time: Duration) -> bool {
        self.entries.values().any(|entry| entry.departed_at >= time)
    }

    /// Ids of the members whose eviction proposal is due; the next proposal for each is due
    /// `interval` later.
    pub(super) fn take_due_proposals(
        &mut self,
        now: Duration,
        interval: Duration,
    ) -> Vec<DaemonId> {
        let due = self.entries.iter_mut().filter(|(_, e)| e.next_proposal_at <= now);
        due.map(|(id, entry)| {
            entry.next_proposal_at = now + interval;
            id.clone()
        })
        .collect()
    }

    /// Postpones all eviction proposals that are due before `at` until then.
    pub(super) fn postpone_proposals(&mut self, at: Duration) {
        for entry in self.entries.values_mut() {
            entry.next_proposal_at = entry.next_proposal_at.max(at);
        }
    }

    /// Records that the log has evicted this incarnation.
    pub(super) fn record_eviction(&mut self, id: &str, incarnation: Incarnation) {
        self.evicted.insert(id.to_owned(), incarnation);
    }

    /// Whether this incarnation or a newer one was evicted.
    pub(super) fn is_evicted(&self, id: &str, incarnation: Incarnation) -> bool {
        self.evicted.get(id).is_some_and(|seen| *seen >= incarnation)
    }
}
