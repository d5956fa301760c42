//! Current and past owners of a key.

use std::time::Duration;

use super::fold::{HISTORY_RETENTION, RegisteredDaemon, Registry};
use crate::id::{DaemonId, Incarnation};
use crate::rendezvous::{self, CandidateHash, Ranking};

/// One incarnation of a daemon.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnate {
    /// Identifier of the daemon.
    pub id: DaemonId,
    /// Its incarnation.
    pub incarnation: Incarnation,
}

impl Incarnate {
    /// The incarnation `incarnation` of the daemon `id`.
    #[must_use]
    pub fn new(id: &str, incarnation: Incarnation) -> Self {
        let id = id.to_owned();
        Self { id, incarnation }
    }
}

/// How a daemon ceased to own a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OwnershipEnd {
    /// It sent a `leave` and, as an owner, started nothing after sending it.
    Left,
    /// It was removed or outranked, and may learn of that late.
    Removed,
}

/// Past ownership of a key by one incarnation of a daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PastOwnership {
    /// The owner.
    pub owner: Incarnate,
    /// When the entry that ended the ownership was seen.
    pub ended_at: Duration,
    /// How the ownership ended.
    pub end: OwnershipEnd,
}

/// Position of an entry in the order of folding, with the time at which it was seen.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct EntryPosition {
    pub(super) sequence: u64,
    pub(super) seen_at: Duration,
}

/// Registration of one incarnation of a daemon, current or ended.
#[derive(Debug, Clone)]
pub(super) struct Registration {
    daemon: Incarnate,
    hash: CandidateHash,
    from: EntryPosition,
    pub(super) until: Option<(EntryPosition, OwnershipEnd)>,
}

impl Registration {
    pub(super) fn new(id: &str, incarnation: Incarnation, from: EntryPosition) -> Self {
        Self {
            daemon: Incarnate::new(id, incarnation),
            hash: CandidateHash::new(id),
            from,
            until: None,
        }
    }

    /// Whether this is the current registration of daemon `id`.
    pub(super) fn is_current_of(&self, id: &str) -> bool {
        self.until.is_none() && self.daemon.id == id
    }

    pub(super) fn ended_before(&self, horizon: Duration) -> bool {
        self.until.is_some_and(|(position, _)| position.seen_at < horizon)
    }

    /// Whether the daemon was registered after the entry at `sequence`.
    fn is_active_after(&self, sequence: u64) -> bool {
        self.from.sequence <= sequence
            && self.until.is_none_or(|(position, _)| position.sequence > sequence)
    }

    /// Positions of the entries that began and ended the registration.
    fn positions(&self) -> impl Iterator<Item = EntryPosition> {
        std::iter::once(self.from).chain(self.until.map(|(position, _)| position))
    }
}

/// Bytes that the rank of each daemon for a key is computed from.
fn rank_key(service: &str, key: &str) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(service.len() + key.len() + 1);
    bytes.extend_from_slice(service.as_bytes());
    bytes.push(0);
    bytes.extend_from_slice(key.as_bytes());
    bytes
}

impl Registry {
    /// Ids of the daemons that are registered for `service`.
    fn registered_ids(&self, service: &str) -> impl Iterator<Item = &str> {
        let registrations = self.registrations.get(service).into_iter().flatten();
        registrations
            .filter(|registration| registration.until.is_none())
            .map(|registration| registration.daemon.id.as_str())
    }

    /// Registered daemons of `service`, by descending rank for `key`; the first one is its owner.
    #[must_use]
    pub fn ranked_daemons(&self, service: &str, key: &str) -> Vec<&RegisteredDaemon> {
        rendezvous::rank(&rank_key(service, key), self.registered_ids(service))
            .into_iter()
            .filter_map(|id| self.get(id))
            .collect()
    }

    /// Owner of `key` in `service`; `None` if no daemon is registered for the service.
    #[must_use]
    pub fn owner(&self, service: &str, key: &str) -> Option<&RegisteredDaemon> {
        let ranking = Ranking::new(&rank_key(service, key));
        let candidates = self.registrations.get(service).into_iter().flatten();
        let first = candidates
            .filter(|registration| registration.until.is_none())
            .map(|registration| (ranking.weight(registration.hash), &registration.daemon.id))
            .max_by(|a, b| a.0.cmp(&b.0).then_with(|| b.1.cmp(a.1)));
        self.get(first?.1)
    }

    /// Time at which the entry was seen that gave `key` to its current owner.
    ///
    /// It is exact within [`HISTORY_RETENTION`] and may be too early for an older change. `None` if
    /// the key has no owner.
    #[must_use]
    pub fn owned_since(&self, service: &str, key: &str) -> Option<Duration> {
        let owners = self.ownership_changes(service, key, Duration::ZERO);
        let (_, from) = owners.last().filter(|(owner, _)| owner.is_some())?;
        Some(from.seen_at)
    }

    /// Past ownerships of `key` that ended within [`HISTORY_RETENTION`] before `now`, oldest first.
    ///
    /// Only entries that change the highest-ranked daemon count: a `join` takes over the keys
    /// for which the daemon ranks first, and a removal moves only the keys of the removed daemon.
    #[must_use]
    pub fn previous_owners(&self, service: &str, key: &str, now: Duration) -> Vec<PastOwnership> {
        let horizon = now.saturating_sub(HISTORY_RETENTION);
        // Avoids ranking all daemons if no registration has changed since `horizon`.
        if !self.changed_since(service, horizon) {
            return Vec::new();
        }
        let owners = self.ownership_changes(service, key, horizon);
        let ended = owners.iter().zip(owners.iter().skip(1));
        ended
            .filter_map(|((owner, _), (_, until))| {
                let registration = (*owner)?;
                let end = match registration.until {
                    Some((position, how)) if position == *until => how,
                    _ => OwnershipEnd::Removed,
                };
                Some(PastOwnership {
                    owner: registration.daemon.clone(),
                    ended_at: until.seen_at,
                    end,
                })
            })
            .collect()
    }

    /// Whether a registration for `service` began or ended at `horizon` or later.
    fn changed_since(&self, service: &str, horizon: Duration) -> bool {
        let registrations = self.registrations.get(service).into_iter().flatten();
        registrations.flat_map(Registration::positions).any(|position| position.seen_at >= horizon)
    }

    /// Owners of `key` in order of time, each with the entry that made it the owner, starting with
    /// the owner at `horizon`.
    fn ownership_changes(
        &self,
        service: &str,
        key: &str,
        horizon: Duration,
    ) -> Vec<(Option<&Registration>, EntryPosition)> {
        let Some(registrations) = self.registrations.get(service) else {
            return Vec::new();
        };
        let ranking = Ranking::new(&rank_key(service, key));
        let mut ranked: Vec<(u64, &Registration)> = registrations
            .iter()
            .filter(|registration| !registration.ended_before(horizon))
            .map(|registration| (ranking.weight(registration.hash), registration))
            .collect();
        ranked
            .sort_unstable_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.daemon.id.cmp(&b.1.daemon.id)));
        let mut owners: Vec<(Option<&Registration>, EntryPosition)> = Vec::new();
        for position in change_positions(&ranked, horizon) {
            let owner = ranked
                .iter()
                .map(|(_, registration)| *registration)
                .find(|registration| registration.is_active_after(position.sequence));
            let same = owners.last().is_some_and(|(last, _)| {
                last.map(|registration| (&registration.daemon, registration.from))
                    == owner.map(|registration| (&registration.daemon, registration.from))
            });
            if !same {
                owners.push((owner, position));
            }
        }
        owners
    }
}

/// Positions of the entries that changed registrations: the last one before `horizon` and all later
/// ones, in order.
fn change_positions(ranked: &[(u64, &Registration)], horizon: Duration) -> Vec<EntryPosition> {
    let mut positions: Vec<EntryPosition> =
        ranked.iter().flat_map(|(_, registration)| registration.positions()).collect();
    positions.sort_unstable_by_key(|position| position.sequence);
    positions.dedup();
    let before = positions.partition_point(|position| position.seen_at < horizon);
    positions.drain(..before.saturating_sub(1));
    positions
}
