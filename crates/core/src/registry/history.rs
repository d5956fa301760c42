//! Owners of a key, now and before.

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

/// How a daemon stopped being the owner of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OwnershipEnd {
    /// It left by its own entry and started nothing after it.
    Left,
    /// It was removed or outranked, and may learn of it late.
    Removed,
}

/// Time during which one incarnation was the owner of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PastOwnership {
    /// The owner.
    pub owner: Incarnate,
    /// When the entry that ended the ownership was seen.
    pub ended_at: Duration,
    /// How the ownership ended.
    pub end: OwnershipEnd,
}

/// Position of an entry in the order of folding, and when it was seen.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Mark {
    pub(super) sequence: u64,
    pub(super) seen_at: Duration,
}

/// One registration of one incarnation.
#[derive(Debug, Clone)]
pub(super) struct Tenure {
    daemon: Incarnate,
    hash: CandidateHash,
    from: Mark,
    pub(super) until: Option<(Mark, OwnershipEnd)>,
}

impl Tenure {
    pub(super) fn new(id: &str, incarnation: Incarnation, from: Mark) -> Self {
        Self {
            daemon: Incarnate::new(id, incarnation),
            hash: CandidateHash::new(id),
            from,
            until: None,
        }
    }

    pub(super) fn is_open_for(&self, id: &str) -> bool {
        self.until.is_none() && self.daemon.id == id
    }

    pub(super) fn ended_before(&self, horizon: Duration) -> bool {
        self.until.is_some_and(|(mark, _)| mark.seen_at < horizon)
    }

    /// Whether the registration holds after the entry at `sequence`.
    fn covers(&self, sequence: u64) -> bool {
        self.from.sequence <= sequence
            && self.until.is_none_or(|(mark, _)| mark.sequence > sequence)
    }

    fn marks(&self) -> impl Iterator<Item = Mark> {
        std::iter::once(self.from).chain(self.until.map(|(mark, _)| mark))
    }
}

fn rank_key(service: &str, key: &str) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(service.len() + key.len() + 1);
    bytes.extend_from_slice(service.as_bytes());
    bytes.push(0);
    bytes.extend_from_slice(key.as_bytes());
    bytes
}

impl Registry {
    fn open(&self, service: &str) -> impl Iterator<Item = &str> {
        let tenures = self.tenures.get(service).into_iter().flatten();
        tenures.filter(|tenure| tenure.until.is_none()).map(|tenure| tenure.daemon.id.as_str())
    }

    /// Registered daemons of `service` in rank order for `key`; the first one is the owner.
    #[must_use]
    pub fn ranked_daemons(&self, service: &str, key: &str) -> Vec<&RegisteredDaemon> {
        rendezvous::rank(&rank_key(service, key), self.open(service))
            .into_iter()
            .filter_map(|id| self.get(id))
            .collect()
    }

    /// Owner of `key` in `service`.
    #[must_use]
    pub fn owner(&self, service: &str, key: &str) -> Option<&RegisteredDaemon> {
        let ranking = Ranking::new(&rank_key(service, key));
        let open = self.tenures.get(service).into_iter().flatten();
        let first = open
            .filter(|tenure| tenure.until.is_none())
            .map(|tenure| (ranking.weight(tenure.hash), &tenure.daemon.id))
            .max_by(|a, b| a.0.cmp(&b.0).then_with(|| b.1.cmp(a.1)));
        self.get(first?.1)
    }

    /// When the entry was seen that gave `key` to its present owner.
    ///
    /// Exact within [`HISTORY_RETENTION`]; of a change before that, an earlier time may be given. `None` when
    /// nobody owns the key.
    #[must_use]
    pub fn owned_since(&self, service: &str, key: &str) -> Option<Duration> {
        let owners = self.timeline(service, key, Duration::ZERO);
        let (_, from) = owners.last().filter(|(owner, _)| owner.is_some())?;
        Some(from.seen_at)
    }

    /// Earlier ownerships of `key` that ended within [`HISTORY_RETENTION`] before `now`, oldest first.
    ///
    /// Only entries that change the first in rank matter: a join takes the keys that it ranks
    /// first for, and a removal moves only the keys of the removed daemon.
    #[must_use]
    pub fn previous_owners(&self, service: &str, key: &str, now: Duration) -> Vec<PastOwnership> {
        let horizon = now.saturating_sub(HISTORY_RETENTION);
        // Spares the hashing of all ids while nothing has changed for a long time.
        if !self.changed_since(service, horizon) {
            return Vec::new();
        }
        let owners = self.timeline(service, key, horizon);
        let ended = owners.iter().zip(owners.iter().skip(1));
        ended
            .filter_map(|((owner, _), (_, until))| {
                let tenure = (*owner)?;
                let end = match tenure.until {
                    Some((mark, how)) if mark == *until => how,
                    _ => OwnershipEnd::Removed,
                };
                Some(PastOwnership { owner: tenure.daemon.clone(), ended_at: until.seen_at, end })
            })
            .collect()
    }

    fn changed_since(&self, service: &str, horizon: Duration) -> bool {
        let tenures = self.tenures.get(service).into_iter().flatten();
        tenures.flat_map(Tenure::marks).any(|mark| mark.seen_at >= horizon)
    }

    /// Owners of `key` in order, each with the entry that made it the owner, from the one that
    /// held it at `horizon`.
    fn timeline(
        &self,
        service: &str,
        key: &str,
        horizon: Duration,
    ) -> Vec<(Option<&Tenure>, Mark)> {
        let Some(tenures) = self.tenures.get(service) else {
            return Vec::new();
        };
        let ranking = Ranking::new(&rank_key(service, key));
        let mut ranked: Vec<(u64, &Tenure)> = tenures
            .iter()
            .filter(|tenure| !tenure.ended_before(horizon))
            .map(|tenure| (ranking.weight(tenure.hash), tenure))
            .collect();
        ranked
            .sort_unstable_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.daemon.id.cmp(&b.1.daemon.id)));
        let mut owners: Vec<(Option<&Tenure>, Mark)> = Vec::new();
        for mark in change_marks(&ranked, horizon) {
            let owner = ranked
                .iter()
                .map(|(_, tenure)| *tenure)
                .find(|tenure| tenure.covers(mark.sequence));
            let same = owners.last().is_some_and(|(last, _)| {
                last.map(|tenure| (&tenure.daemon, tenure.from))
                    == owner.map(|tenure| (&tenure.daemon, tenure.from))
            });
            if !same {
                owners.push((owner, mark));
            }
        }
        owners
    }
}

/// Entries that changed the registrations, in order: the last one before `horizon` and all after.
fn change_marks(ranked: &[(u64, &Tenure)], horizon: Duration) -> Vec<Mark> {
    let mut marks: Vec<Mark> = ranked.iter().flat_map(|(_, tenure)| tenure.marks()).collect();
    marks.sort_unstable_by_key(|mark| mark.sequence);
    marks.dedup();
    let before = marks.partition_point(|mark| mark.seen_at < horizon);
    marks.drain(..before.saturating_sub(1));
    marks
}
