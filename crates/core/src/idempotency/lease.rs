//! Proof that a daemon's fold of the registry is recent enough to act on.

use std::time::Duration;

use crate::config::Version;
use crate::registry::HISTORY_RETENTION;

/// Default of [`Fencing::lease`].
pub const LEASE: Duration = Duration::from_secs(5);

/// Default of [`Fencing::takeover_wait`].
///
/// 3 s above the lease allow for clock rates and for the time to read the clocks.
pub const TAKEOVER_WAIT: Duration = Duration::from_secs(8);

/// Times that keep two owners of one key apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fencing {
    /// Time for which a proof of the log head lets an owner start requests.
    pub lease: Duration,
    /// Time that the next owner waits after it saw the entry that gave it the key.
    pub takeover_wait: Duration,
}

impl Default for Fencing {
    fn default() -> Self {
        Self { lease: LEASE, takeover_wait: TAKEOVER_WAIT }
    }
}

/// What lets a daemon act as an owner of keys.
///
/// A daemon may act while it has a recent proof that it folded the log to its head, and while its
/// own `join` is certainly still kept by the log. The second condition protects against readers
/// that start at the first kept offset and would not see the daemon.
#[derive(Debug, Clone)]
pub struct Lease {
    fencing: Fencing,
    join_validity: Duration,
    proven_at: Option<Duration>,
    pending: Option<(Version, Duration)>,
    joined_until: Option<Duration>,
    retired: bool,
}

impl Lease {
    /// Lease without any proof.
    ///
    /// `retention` is the time for which the log keeps entries. A `join` is relied on for less than
    /// that by more than [`HISTORY_RETENTION`], so that a reader that starts at the first kept offset sees
    /// everybody who acted within that time. With a shorter retention, the lease is never valid.
    #[must_use]
    pub fn new(fencing: Fencing, retention: Duration) -> Self {
        Self {
            fencing,
            join_validity: retention.saturating_sub(HISTORY_RETENTION) * 9 / 10,
            proven_at: None,
            pending: None,
            joined_until: None,
            retired: false,
        }
    }

    /// Times that this lease uses.
    #[must_use]
    pub fn fencing(&self) -> Fencing {
        self.fencing
    }

    /// Takes the answer to a question for the head of the log.
    ///
    /// `asked_at` is when this daemon sent the question. `age` is zero when the log itself
    /// answered; a relay gives the time since it sent its own question, as of its answer. A proof
    /// that was pushed without a question is of no use, because its time in transit is unknown.
    /// The proof counts once the fold has reached `head`.
    pub fn confirm(&mut self, asked_at: Duration, age: Duration, head: Version, folded: Version) {
        let Some(proven_at) = asked_at.checked_sub(age) else {
            return;
        };
        if self.pending.is_none_or(|(_, pending)| pending < proven_at) {
            self.pending = Some((head, proven_at));
        }
        self.record_fold(folded);
    }

    /// Takes the version of the fold after it has advanced.
    pub fn record_fold(&mut self, folded: Version) {
        let Some((head, proven_at)) = self.pending else {
            return;
        };
        // The head of another generation says nothing about this one.
        if head.generation == folded.generation && head.offset <= folded.offset {
            self.proven_at = self.proven_at.max(Some(proven_at));
            self.pending = None;
        }
    }

    /// Takes note that the daemon's own `join` was folded, which was sent at `sent_at`.
    ///
    /// Returns false when an earlier one may have expired in between: others may have owned this
    /// daemon's keys unnoticed, and it has to join with a new incarnation and a new lease.
    pub fn record_join(&mut self, sent_at: Duration, now: Duration) -> bool {
        if self.joined_until.is_some_and(|until| now >= until) {
            return false;
        }
        self.joined_until = self.joined_until.max(Some(sent_at + self.join_validity));
        true
    }

    /// Whether the daemon's own `join` is certainly still kept by the log.
    #[must_use]
    pub fn is_joined(&self, now: Duration) -> bool {
        self.joined_until.is_some_and(|until| now < until)
    }

    /// Whether the daemon has to append its `join` again.
    #[must_use]
    pub fn renewal_is_due(&self, now: Duration) -> bool {
        self.joined_until.is_none_or(|until| now + self.join_validity / 2 >= until)
    }

    /// Ends the lease; to be called before `leave` is sent.
    pub fn retire(&mut self) {
        self.retired = true;
    }

    /// Whether the lease was ended.
    #[must_use]
    pub fn is_retired(&self) -> bool {
        self.retired
    }

    /// Age of the newest proof.
    #[must_use]
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.proven_at.map(|at| now.saturating_sub(at))
    }

    /// Whether the daemon may start requests as the owner of their keys.
    #[must_use]
    pub fn is_valid(&self, now: Duration) -> bool {
        !self.retired
            && self.is_joined(now)
            && self.age(now).is_some_and(|age| age < self.fencing.lease)
    }
}
