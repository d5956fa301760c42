//! Proofs that a configuration was the newest one, and the lease that they give.

use std::time::Duration;

use crate::config::DocumentVersion;

/// Most proofs that are kept. They differ in version, which matters only while a newer version is not in force here or
/// requests are still pinned to an older one.
const MAX_PROOFS: usize = 4;

/// Proof that the platform had no version above `version` at some time after `sent_at`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Proof {
    /// Newest version of the platform at that time, or a higher one.
    pub version: DocumentVersion,
    /// When the query was sent whose answer is the proof.
    pub sent_at: Duration,
}

/// Permission to serve requests with API keys by a configuration.
///
/// If a version that revokes a key is acknowledged at time `t`, any proof that is younger than `t` is about that
/// version or a newer one. A daemon with an older version then has only proofs from before `t`, and they are over the
/// bound for each request that is sent later than `t` plus the bound.
#[derive(Debug, Clone)]
pub struct ConfigLease {
    bound: Duration,
    /// In ascending order of both version and time; any other proof adds nothing.
    proofs: Vec<Proof>,
}

impl ConfigLease {
    /// Creates a lease without a proof, which is valid for no version.
    #[must_use]
    pub fn new(bound: Duration) -> Self {
        Self { bound, proofs: Vec::with_capacity(MAX_PROOFS) }
    }

    /// Age from which a proof no longer counts.
    #[must_use]
    pub fn bound(&self) -> Duration {
        self.bound
    }

    /// Records a proof; returns whether it adds something to those known.
    pub fn prove(&mut self, version: DocumentVersion, sent_at: Duration) -> bool {
        let adds_nothing = |known: &Proof| known.version <= version && known.sent_at >= sent_at;
        if self.proofs.iter().any(adds_nothing) {
            return false;
        }
        self.proofs.retain(|known| known.version < version || known.sent_at > sent_at);
        let at = self.proofs.partition_point(|known| known.version < version);
        self.proofs.insert(at, Proof { version, sent_at });
        if self.proofs.len() > MAX_PROOFS {
            // The oldest one; without it the lease can only be shorter.
            self.proofs.remove(0);
        }
        true
    }

    /// Newest proof that holds for version `own`, which is one about that version or an older one.
    #[must_use]
    pub fn newest(&self, own: DocumentVersion) -> Option<Proof> {
        self.proofs.iter().rev().find(|proof| proof.version <= own).copied()
    }

    /// Age of that proof.
    #[must_use]
    pub fn age(&self, own: DocumentVersion, now: Duration) -> Option<Duration> {
        self.newest(own).map(|proof| now.saturating_sub(proof.sent_at))
    }

    /// Time for which the lease on version `own` stays valid without a further proof; zero if it is not valid.
    #[must_use]
    pub fn left(&self, own: DocumentVersion, now: Duration) -> Duration {
        self.age(own, now).map_or(Duration::ZERO, |age| self.bound.saturating_sub(age))
    }

    /// Whether requests with API keys may be served by version `own`.
    #[must_use]
    pub fn is_valid(&self, own: DocumentVersion, now: Duration) -> bool {
        !self.left(own, now).is_zero()
    }

    /// Whether a version above `own` is known to exist.
    #[must_use]
    pub fn is_outdated(&self, own: DocumentVersion) -> bool {
        self.proofs.iter().any(|proof| proof.version > own)
    }

    /// Time of the query behind a proof that another daemon passed on: its age there is counted back from when this
    /// daemon sent its own query, which is the earliest that the other one can have looked. `None` if that is before
    /// the start of the clock.
    #[must_use]
    pub fn adopted_time(queried_at: Duration, age: Duration) -> Option<Duration> {
        queried_at.checked_sub(age)
    }
}
