//! Proof that a daemon's registry is recent enough for the daemon to act as an owner of keys.

use std::time::Duration;

use crate::config::Version;
use crate::registry::HISTORY_RETENTION;

/// Default of [`Fencing::lease`].
pub const LEASE: Duration = Duration::from_secs(5);

/// Default of [`Fencing::takeover_wait`].
///
/// The 3 s above the lease allow for clock rates and for the time to read the clocks.
pub const TAKEOVER_WAIT: Duration = Duration::from_secs(8);

/// Times that prevent two owners of a key from both starting requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fencing {
    /// How long after a proof of the log's head an owner may start requests.
    pub lease: Duration,
    /// How long the next owner waits after it saw the entry that gave it the key.
    pub takeover_wait: Duration,
}

impl Default for Fencing {
    fn default() -> Self {
        Self { lease: LEASE, takeover_wait: TAKEOVER_WAIT }
    }
}

/// Permission of a daemon to act as an owner of keys.
///
/// It is valid while the daemon has a recent proof that it folded the log up to its head, and while
/// the log certainly still holds its own `join`. Without the second condition, a reader that starts
/// at the first kept offset may not know of the daemon, and take another one for the owner of its
/// keys.
#[derive(Debug, Clone)]
pub struct Lease {
    fencing: Fencing,
    join_validity: Duration,
    proven_at: Option<Duration>,
    pending_proof: Option<(Version, Duration)>,
    joined_until: Option<Duration>,
    retired: bool,
}

impl Lease {
    /// Creates a lease that has no proof yet.
    ///
    /// `retention` is the time for which the log keeps entries. A `join` is relied on for a time
    /// that is shorter by more than [`HISTORY_RETENTION`], so that a reader that starts at the
    /// first kept offset sees every daemon that acted as an owner within [`HISTORY_RETENTION`]. If
    /// `retention` is not longer than that, the lease is never valid.
    #[must_use]
    pub fn new(fencing: Fencing, retention: Duration) -> Self {
        Self {
            fencing,
            join_validity: retention.saturating_sub(HISTORY_RETENTION) * 9 / 10,
            proven_at: None,
            pending_proof: None,
            joined_until: None,
            retired: false,
        }
    }

    /// Fencing times of this lease.
    #[must_use]
    pub fn fencing(&self) -> Fencing {
        self.fencing
    }

    /// Processes the answer to a request for the head of the log.
    ///
    /// `asked_at` is when this daemon sent the request. `age` is zero if the log itself answered; a
    /// relay gives the time from its own request to its answer. A head that was pushed without a
    /// request proves nothing, because its time in transit is unknown. The proof counts once the
    /// registry has reached `head`.
    pub fn confirm(&mut self, asked_at: Duration, age: Duration, head: Version, folded: Version) {
        let Some(proven_at) = asked_at.checked_sub(age) else {
            return;
        };
        if self.pending_proof.is_none_or(|(_, pending)| pending < proven_at) {
            self.pending_proof = Some((head, proven_at));
        }
        self.record_fold(folded);
    }

    /// Records that the registry has reached the version `folded`.
    pub fn record_fold(&mut self, folded: Version) {
        let Some((head, proven_at)) = self.pending_proof else {
            return;
        };
        // The head of another generation proves nothing about this one.
        if head.generation == folded.generation && head.offset <= folded.offset {
            self.proven_at = self.proven_at.max(Some(proven_at));
            self.pending_proof = None;
        }
    }

    /// Records that the daemon's own `join`, which was sent at `sent_at`, was folded.
    ///
    /// Returns false if the previous `join` may have expired before `now`: other daemons may have
    /// owned this daemon's keys without its knowledge, so it has to join with a new incarnation and
    /// a new lease.
    pub fn record_join(&mut self, sent_at: Duration, now: Duration) -> bool {
        if self.joined_until.is_some_and(|until| now >= until) {
            return false;
        }
        self.joined_until = self.joined_until.max(Some(sent_at + self.join_validity));
        true
    }

    /// Whether the log certainly still holds the daemon's own `join`.
    #[must_use]
    pub fn is_joined(&self, now: Duration) -> bool {
        self.joined_until.is_some_and(|until| now < until)
    }

    /// Whether the daemon has to append its `join` again.
    #[must_use]
    pub fn renewal_is_due(&self, now: Duration) -> bool {
        self.joined_until.is_none_or(|until| now + self.join_validity / 2 >= until)
    }

    /// Ends the lease; must be called before `leave` is sent.
    pub fn retire(&mut self) {
        self.retired = true;
    }

    /// Whether the lease was ended.
    #[must_use]
    pub fn is_retired(&self) -> bool {
        self.retired
    }

    /// Age of the newest proof; `None` if there is none.
    #[must_use]
    pub fn proof_age(&self, now: Duration) -> Option<Duration> {
        self.proven_at.map(|at| now.saturating_sub(at))
    }

    /// Whether the daemon may start requests as the owner of their keys.
    #[must_use]
    pub fn is_valid(&self, now: Duration) -> bool {
        !self.retired
            && self.is_joined(now)
            && self.proof_age(now).is_some_and(|age| age < self.fencing.lease)
    }
}
