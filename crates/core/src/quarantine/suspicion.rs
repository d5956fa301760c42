//! What is known of one suspect request.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

/// Hash of what makes two requests the same: method, host, path, calling service and body.
pub type RequestDigest = u128;

/// Ends of backend servers from which on a request runs only in trials.
pub const CRASHES_BEFORE_TRIAL: usize = 3;

/// Trials of one request in the whole mesh. The second is for one whose first trial ended by chance.
pub const MAX_TRIALS: u32 = 2;

/// Ends that are remembered; more do not change a decision.
const MAX_CRASHES: usize = 8;

/// End of one start of a backend server; a random number that the daemon beside it has drawn.
pub type CrashId = u64;

/// Evidence against a request.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspicion {
    crashes: BTreeSet<CrashId>,
    trials: u32,
}

impl Suspicion {
    /// Number of ends under the request.
    #[must_use]
    pub fn crash_count(&self) -> usize {
        self.crashes.len()
    }

    /// Number of trials that were begun.
    #[must_use]
    pub fn trials(&self) -> u32 {
        self.trials
    }

    /// Whether the request runs only in trials, or no more.
    #[must_use]
    pub fn is_restricted(&self) -> bool {
        self.crash_count() >= CRASHES_BEFORE_TRIAL
    }

    /// Adds an end.
    pub fn add_crash(&mut self, crash: CrashId) {
        if self.crashes.len() < MAX_CRASHES {
            self.crashes.insert(crash);
        }
    }

    /// Counts a trial that begins.
    pub fn add_trial(&mut self) {
        self.trials = self.trials.saturating_add(1);
    }

    /// Adds what another daemon knows; returns whether anything was new.
    pub fn merge(&mut self, other: &Self) -> bool {
        let before = (self.crashes.len(), self.trials);
        for crash in &other.crashes {
            self.add_crash(*crash);
        }
        self.trials = self.trials.max(other.trials);
        before != (self.crashes.len(), self.trials)
    }
}
