//! The fold over the stream of members.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use super::entry::MemberEntry;
use super::history::{Incarnate, Mark, OwnershipEnd, Tenure};
use crate::config::Version;
use crate::id::{DaemonId, DataCentre, Incarnation, Offset, ServiceName};

/// Generation of a log that has replaced no other.
pub const FIRST_GENERATION: u64 = 1;

/// Time for which ended registrations are remembered.
///
/// It covers the retention of keys (10 minutes) after the takeover wait (8 s), with room for
/// for differences between clocks and their rates.
pub const HISTORY_RETENTION: Duration = Duration::from_secs(10 * 60 + 40);

/// Effect of one entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FoldEffect {
    /// The registrations changed.
    Changed,
    /// The entry is valid and changes nothing.
    Unchanged,
    /// The entry is malformed and was ignored.
    Malformed,
    /// The entry was folded before.
    Known,
}

/// The entry cannot be folded; the registry is unchanged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RegistryError {
    /// Entries are missing; when the log no longer has them, start again with [`Registry::new`]
    /// under a new incarnation.
    Gap {
        /// Offset that was expected.
        expected: Offset,
        /// Offset of the entry.
        found: Offset,
    },
}

impl fmt::Display for RegistryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self::Gap { expected, found } = self;
        write!(f, "failed to fold member entry {found}: expected offset {expected}")
    }
}

impl std::error::Error for RegistryError {}

/// A registered daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RegisteredDaemon {
    /// Identifier of the daemon.
    pub id: DaemonId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Service of the backend server beside it.
    pub service: ServiceName,
    /// Address of its listener for peers.
    pub peer_addr: SocketAddr,
}

/// Registrations as they stand after the entries that were folded.
#[derive(Debug, Clone, Default)]
pub struct Registry {
    version: Version,
    last: Mark,
    malformed: u64,
    unknown_until: Option<Duration>,
    by_id: BTreeMap<DaemonId, RegisteredDaemon>,
    pub(super) tenures: BTreeMap<ServiceName, Vec<Tenure>>,
}

impl Registry {
    /// Empty registry that accepts any first entry.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Version after the last folded entry.
    #[must_use]
    pub fn version(&self) -> Version {
        self.version
    }

    /// Count of malformed entries.
    #[must_use]
    pub fn malformed(&self) -> u64 {
        self.malformed
    }

    /// Time until which unknown daemons may have been registered.
    ///
    /// Set when the fold began with a log that has replaced another one whose entries this
    /// registry never saw.
    #[must_use]
    pub fn unknown_until(&self) -> Option<Duration> {
        self.unknown_until
    }

    /// The registered daemon with this id.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&RegisteredDaemon> {
        self.by_id.get(id)
    }

    /// Whether exactly this incarnation is registered.
    #[must_use]
    pub fn is_registered(&self, daemon: &Incarnate) -> bool {
        self.get(&daemon.id).is_some_and(|found| found.incarnation == daemon.incarnation)
    }

    /// All registered daemons, ordered by id.
    pub fn iter(&self) -> impl Iterator<Item = &RegisteredDaemon> {
        self.by_id.values()
    }

    /// Applies the entry at `offset` of `generation`.
    ///
    /// # Errors
    ///
    /// [`RegistryError::Gap`] when entries are missing before this one.
    pub fn fold(
        &mut self,
        generation: u64,
        offset: Offset,
        data: &str,
        seen_at: Duration,
    ) -> Result<FoldEffect, RegistryError> {
        let version = Version { generation, offset };
        if version <= self.version {
            return Ok(FoldEffect::Known);
        }
        let expected = self.version.offset + 1;
        if generation == self.version.generation && offset != expected {
            return Err(RegistryError::Gap { expected, found: offset });
        }
        // An entry was appended after the one before it, so the later of the two times holds for it.
        let seen_at = seen_at.max(self.last.seen_at);
        let mark = Mark { sequence: self.last.sequence + 1, seen_at };
        self.last = mark;
        let replaced = self.enter_generation(version, mark);
        self.version = version;
        self.forget_before(seen_at.saturating_sub(HISTORY_RETENTION));
        let Some(entry) = MemberEntry::parse(data) else {
            self.malformed += 1;
            return Ok(FoldEffect::Malformed);
        };
        let changed = self.apply(entry, mark) || replaced;
        Ok(if changed { FoldEffect::Changed } else { FoldEffect::Unchanged })
    }

    /// Ends all registrations when the log was replaced; they have to be made again there.
    fn enter_generation(&mut self, version: Version, mark: Mark) -> bool {
        if version.generation == self.version.generation {
            return false;
        }
        // An offset above 1 proves that the retention has passed since the log was replaced.
        let skipped = version.generation > (self.version.generation + 1).max(FIRST_GENERATION);
        if skipped && version.offset == 1 {
            self.unknown_until = Some(mark.seen_at);
        }
        let ids: Vec<DaemonId> = self.by_id.keys().cloned().collect();
        for id in &ids {
            self.end(id, mark, OwnershipEnd::Removed);
        }
        !ids.is_empty()
    }

    fn apply(&mut self, entry: MemberEntry, mark: Mark) -> bool {
        match entry {
            MemberEntry::Join { id, incarnation, data_centre, service, peer_addr } => self
                .join(RegisteredDaemon { id, incarnation, data_centre, service, peer_addr }, mark),
            MemberEntry::Leave { id, incarnation } => {
                self.remove(&id, incarnation, mark, OwnershipEnd::Left)
            }
            MemberEntry::Evict { id, incarnation } => {
                self.remove(&id, incarnation, mark, OwnershipEnd::Removed)
            }
        }
    }

    fn join(&mut self, joined: RegisteredDaemon, mark: Mark) -> bool {
        if let Some(known) = self.by_id.get_mut(&joined.id) {
            if known.incarnation > joined.incarnation || *known == joined {
                return false;
            }
            if known.incarnation == joined.incarnation && known.service == joined.service {
                *known = joined;
                return true;
            }
            let id = joined.id.clone();
            self.end(&id, mark, OwnershipEnd::Removed);
        }
        let tenure = Tenure::new(&joined.id, joined.incarnation, mark);
        self.tenures.entry(joined.service.clone()).or_default().push(tenure);
        self.by_id.insert(joined.id.clone(), joined);
        true
    }

    fn remove(
        &mut self,
        id: &str,
        incarnation: Incarnation,
        mark: Mark,
        how: OwnershipEnd,
    ) -> bool {
        let Some(known) = self.by_id.get(id) else {
            return false;
        };
        if known.incarnation > incarnation {
            return false;
        }
        // The word of a newer incarnation says nothing about when the older one stopped.
        let own = known.incarnation == incarnation;
        self.end(id, mark, if own { how } else { OwnershipEnd::Removed });
        true
    }

    fn end(&mut self, id: &str, mark: Mark, how: OwnershipEnd) {
        let Some(known) = self.by_id.remove(id) else {
            return;
        };
        let tenures = self.tenures.entry(known.service).or_default();
        for tenure in tenures.iter_mut().filter(|tenure| tenure.is_open_for(id)) {
            tenure.until = Some((mark, how));
        }
    }

    fn forget_before(&mut self, horizon: Duration) {
        for tenures in self.tenures.values_mut() {
            tenures.retain(|tenure| !tenure.ended_before(horizon));
        }
        self.tenures.retain(|_, tenures| !tenures.is_empty());
    }
}
