//! Folds the entries of the `members` stream into the registry.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use super::entry::MemberEntry;
use super::history::{EntryPosition, Incarnate, OwnershipEnd, Registration};
use crate::config::Version;
use crate::id::{DaemonId, DataCentre, Incarnation, Offset, ServiceName};

/// Generation of a log that did not replace another one.
pub const FIRST_GENERATION: u64 = 1;

/// Time for which ended registrations are remembered.
///
/// It covers the takeover wait (8 s) and then the retention of keys (10 minutes), with a margin for
/// differences between clocks and their rates.
pub const HISTORY_RETENTION: Duration = Duration::from_secs(10 * 60 + 40);

/// Effect of folding one entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FoldEffect {
    /// The registrations changed.
    Changed,
    /// The entry is valid and changes nothing.
    Unchanged,
    /// The entry is malformed and was ignored.
    Malformed,
    /// The entry was already folded.
    Known,
}

/// The entry cannot be folded; the registry is unchanged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RegistryError {
    /// Entries are missing; if the log no longer has them, start again with [`Registry::new`] and a
    /// new incarnation.
    Gap {
        /// Offset after the last folded entry.
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

/// Current and recent registrations, according to the entries folded so far.
#[derive(Debug, Clone, Default)]
pub struct Registry {
    version: Version,
    last_position: EntryPosition,
    malformed: u64,
    unknown_until: Option<Duration>,
    by_id: BTreeMap<DaemonId, RegisteredDaemon>,
    pub(super) registrations: BTreeMap<ServiceName, Vec<Registration>>,
}

impl Registry {
    /// Creates an empty registry, which accepts an entry at any offset as its first.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Version of the last folded entry.
    #[must_use]
    pub fn version(&self) -> Version {
        self.version
    }

    /// Number of malformed entries that were folded.
    #[must_use]
    pub fn malformed(&self) -> u64 {
        self.malformed
    }

    /// Time until which daemons may have been registered that this registry does not know.
    ///
    /// Set if the log has replaced another one whose entries this registry did not fold.
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

    /// Folds the entry at `offset` of `generation`; for `seen_at`, see [`crate::registry`].
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
        // An entry is appended after the previous one, so the later of both times applies to it.
        let seen_at = seen_at.max(self.last_position.seen_at);
        let position = EntryPosition { sequence: self.last_position.sequence + 1, seen_at };
        self.last_position = position;
        let replaced = self.enter_generation(version, position);
        self.version = version;
        self.drop_ended_before(seen_at.saturating_sub(HISTORY_RETENTION));
        let Some(entry) = MemberEntry::parse(data) else {
            self.malformed += 1;
            return Ok(FoldEffect::Malformed);
        };
        let changed = self.apply(entry, position) || replaced;
        Ok(if changed { FoldEffect::Changed } else { FoldEffect::Unchanged })
    }

    /// Ends all registrations if the log was replaced, since daemons have to register again in the
    /// new one; returns whether there were any.
    fn enter_generation(&mut self, version: Version, position: EntryPosition) -> bool {
        if version.generation == self.version.generation {
            return false;
        }
        // An offset above 1 proves that the log's retention has passed since the replacement.
        let skipped = version.generation > (self.version.generation + 1).max(FIRST_GENERATION);
        if skipped && version.offset == 1 {
            self.unknown_until = Some(position.seen_at);
        }
        let ids: Vec<DaemonId> = self.by_id.keys().cloned().collect();
        for id in &ids {
            self.end_registration(id, position, OwnershipEnd::Removed);
        }
        !ids.is_empty()
    }

    /// Applies an entry; returns whether the registrations changed.
    fn apply(&mut self, entry: MemberEntry, position: EntryPosition) -> bool {
        match entry {
            MemberEntry::Join { id, incarnation, data_centre, service, peer_addr } => self.join(
                RegisteredDaemon { id, incarnation, data_centre, service, peer_addr },
                position,
            ),
            MemberEntry::Leave { id, incarnation } => {
                self.remove(&id, incarnation, position, OwnershipEnd::Left)
            }
            MemberEntry::Evict { id, incarnation } => {
                self.remove(&id, incarnation, position, OwnershipEnd::Removed)
            }
        }
    }

    fn join(&mut self, joined: RegisteredDaemon, position: EntryPosition) -> bool {
        if let Some(known) = self.by_id.get_mut(&joined.id) {
            if known.incarnation > joined.incarnation || *known == joined {
                return false;
            }
            if known.incarnation == joined.incarnation && known.service == joined.service {
                *known = joined;
                return true;
            }
            let id = joined.id.clone();
            self.end_registration(&id, position, OwnershipEnd::Removed);
        }
        let registration = Registration::new(&joined.id, joined.incarnation, position);
        self.registrations.entry(joined.service.clone()).or_default().push(registration);
        self.by_id.insert(joined.id.clone(), joined);
        true
    }

    fn remove(
        &mut self,
        id: &str,
        incarnation: Incarnation,
        position: EntryPosition,
        how: OwnershipEnd,
    ) -> bool {
        let Some(known) = self.by_id.get(id) else {
            return false;
        };
        if known.incarnation > incarnation {
            return false;
        }
        // An entry of a newer incarnation does not tell when the older one stopped.
        let same_incarnation = known.incarnation == incarnation;
        self.end_registration(
            id,
            position,
            if same_incarnation { how } else { OwnershipEnd::Removed },
        );
        true
    }

    fn end_registration(&mut self, id: &str, position: EntryPosition, how: OwnershipEnd) {
        let Some(known) = self.by_id.remove(id) else {
            return;
        };
        let registrations = self.registrations.entry(known.service).or_default();
        for registration in
            registrations.iter_mut().filter(|registration| registration.is_current_of(id))
        {
            registration.until = Some((position, how));
        }
    }

    fn drop_ended_before(&mut self, horizon: Duration) {
        for registrations in self.registrations.values_mut() {
            registrations.retain(|registration| !registration.ended_before(horizon));
        }
        self.registrations.retain(|_, registrations| !registrations.is_empty());
    }
}
