//! Suspect requests that a daemon knows of.

use std::collections::BTreeMap;
use std::time::Duration;

use super::suspicion::{CrashId, MAX_TRIALS, RequestDigest, Suspicion};

/// Largest number of suspects. Beyond it, those with the least evidence are forgotten first.
pub const MAX_SUSPECTS: usize = 512;

/// Time between two trials of a request, so that one cause does not end both.
const TRIAL_INTERVAL: Duration = Duration::from_secs(10);

/// Whether a backend server may run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunDecision {
    /// Yes.
    Run,
    /// Yes, but not while another suspect is on trial at the same backend server.
    RunSuspect,
    /// Only as a trial, which [`Ledger::begin_trial`] records.
    Trial,
    /// No.
    Refuse,
}

#[derive(Debug, Default)]
struct Suspect {
    suspicion: Suspicion,
    changed_at: Duration,
    /// When a trial was last seen to begin.
    tried_at: Option<Duration>,
}

/// Suspect requests and the evidence against each.
#[derive(Debug, Default)]
pub struct Ledger {
    suspects: BTreeMap<RequestDigest, Suspect>,
}

impl Ledger {
    /// Evidence against a request, if there is any.
    #[must_use]
    pub fn get(&self, digest: RequestDigest) -> Option<&Suspicion> {
        self.suspects.get(&digest).map(|suspect| &suspect.suspicion)
    }

    /// All suspects with the evidence.
    pub fn iter(&self) -> impl Iterator<Item = (RequestDigest, &Suspicion)> {
        self.suspects.iter().map(|(digest, suspect)| (*digest, &suspect.suspicion))
    }

    /// Whether a backend server may run a request.
    #[must_use]
    pub fn decide(&self, digest: RequestDigest, now: Duration) -> RunDecision {
        let Some(suspect) = self.suspects.get(&digest) else { return RunDecision::Run };
        if !suspect.suspicion.is_restricted() {
            return RunDecision::RunSuspect;
        }
        let may_try = suspect.tried_at.is_none_or(|at| now >= at + TRIAL_INTERVAL);
        if suspect.suspicion.trials() < MAX_TRIALS && may_try {
            RunDecision::Trial
        } else {
            RunDecision::Refuse
        }
    }

    /// Records that a backend server ended while it ran a request.
    pub fn record_crash(&mut self, digest: RequestDigest, crash: CrashId, now: Duration) {
        let suspect = self.suspects.entry(digest).or_default();
        suspect.suspicion.add_crash(crash);
        suspect.changed_at = now;
    }

    /// Records that a trial of a request begins.
    pub fn begin_trial(&mut self, digest: RequestDigest, now: Duration) {
        let suspect = self.suspects.entry(digest).or_default();
        suspect.suspicion.add_trial();
        suspect.changed_at = now;
        suspect.tried_at = Some(now);
    }

    /// Adds what other daemons know; returns whether anything was new.
    pub fn merge(&mut self, digest: RequestDigest, known: &Suspicion, now: Duration) -> bool {
        let suspect = self.suspects.entry(digest).or_default();
        let trials = suspect.suspicion.trials();
        let is_new = suspect.suspicion.merge(known);
        if is_new {
            suspect.changed_at = now;
        }
        if suspect.suspicion.trials() > trials {
            suspect.tried_at = Some(now);
        }
        is_new
    }

    /// Clears a request that a backend server survived, or that others have cleared; returns whether it was a
    /// suspect.
    pub fn clear(&mut self, digest: RequestDigest) -> bool {
        self.suspects.remove(&digest).is_some()
    }

    /// Forgets the suspects beyond [`MAX_SUSPECTS`], and returns them.
    pub fn evict(&mut self) -> Vec<RequestDigest> {
        let Some(excess) = self.suspects.len().checked_sub(MAX_SUSPECTS) else {
            return Vec::new();
        };
        let mut by_evidence: Vec<_> = self.suspects.iter().collect();
        by_evidence.sort_by_key(|(_, known)| {
            (known.suspicion.crash_count(), known.suspicion.trials(), known.changed_at)
        });
        let evicted: Vec<_> = by_evidence.iter().take(excess).map(|(digest, _)| **digest).collect();
        for digest in &evicted {
            self.suspects.remove(digest);
        }
        evicted
    }
}
