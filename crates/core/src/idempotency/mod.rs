//! At-most-once execution of requests with an idempotency key.
//!
//! One daemon owns each key and remembers its outcome. Ownership follows from the registry, which
//! every daemon folds from the log. Two daemons can see different prefixes of the log, so a second
//! run is prevented by three rules:
//!
//! - An owner starts a request only within [`Fencing::lease`] of a proof that its fold was complete
//!   ([`Lease`]). It therefore starts nothing later than that after the append of the entry that
//!   took the key from it.
//! - The next owner starts nothing before [`Fencing::takeover_wait`] after it saw that entry.
//! - The next owner runs a key that the previous one may have started only when that one answers
//!   that it has no record of it; with this answer, it gives up the key ([`OutcomeTable::look_up_or_cede`]).
//!
//! A start is the insertion into the [`OutcomeTable`]. A daemon that is paused between this and the
//! dispatch can reach the backend server after the takeover; the third rule covers this, because
//! whatever was started within the lease was issued before the takeover. A key without an issue
//! time is protected for [`RETENTION`] only, and so is a caller that repeats it within that time.
//!
//! `not_run` is a promise about the key, not about one attempt: a refusal carries it only when no
//! earlier attempt can have run, or when the caller says that there was none ([`Attempt`]). While
//! ownership is undecided, other attempts get `owner_changing`, which is retryable and promises
//! nothing.
//!
//! Assumptions:
//!
//! - The wall clocks of any two daemons differ by at most [`CLOCK_DIFFERENCE`]; callers' clocks may
//!   be arbitrary. Monotonic clocks advance during pauses and differ in rate by at most 1 %.
//! - The log is one total order, a read of its head that was asked for after an append returned
//!   includes that append, and a log that was replaced confirms no head any more.
//! - The log keeps entries for the time that [`Lease::new`] was told; otherwise, a reader that
//!   starts at the first kept offset may not see an owner that still acts.
//! - No two processes have the same id and incarnation, and a daemon that left or was retired
//!   starts nothing.

mod decide;
mod entry;
mod key;
mod lease;
mod owner;
mod table;

pub use decide::{
    Decision, ISSUE_MARGIN_LEFT, KeyedRequest, Owner, PriorAnswer, answer_prior, decide,
};
pub use entry::{KeyRoute, refusal_before_owner, route, unreachable_owner};
pub use key::{Key, KeyError, KeyForm, MAX_ISSUER_BYTES, MAX_KEY_BYTES, issue};
pub use lease::{Fencing, LEASE, Lease, TAKEOVER_WAIT};
pub use owner::KeyOwner;
pub use table::{KeptAnswer, KeyStatus, Limits, OutcomeTable, RunOutcome};

use std::time::Duration;

use crate::error::{ErrorKind, Outcome};

/// Time for which a key is protected; a key that was issued earlier is not run.
pub const RETENTION: Duration = Duration::from_secs(10 * 60);

/// Time by which the issue time of a key may lie in the future.
pub const FUTURE_ALLOWANCE: Duration = Duration::from_secs(2);

/// Largest difference between the wall clocks of two daemons.
pub const CLOCK_DIFFERENCE: Duration = Duration::from_secs(2);

/// Keys from before this time (2025-01-01) were never accepted by any daemon.
pub const EARLIEST_ISSUE: Duration = Duration::from_secs(1_735_689_600);

/// Longest time that reading both clocks may take.
const MAX_READING_SPAN: Duration = Duration::from_millis(200);

/// What the caller says about earlier attempts with the same key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Attempt {
    /// The caller has never sent this key before.
    First,
    /// The key may have been sent before; holds whenever the caller says nothing.
    MayRepeat,
}

impl Attempt {
    /// Refusal of an attempt that was not started, when earlier ones may have run.
    ///
    /// `not_owner` promises that the request did not run, so only a first attempt gets it.
    #[must_use]
    pub fn not_owner_or(self, otherwise: ErrorKind) -> ErrorKind {
        match self {
            Self::First => ErrorKind::NotOwner,
            Self::MayRepeat => otherwise,
        }
    }

    /// Refusal of an attempt while nobody may act as the owner of its key.
    #[must_use]
    pub fn no_owner_error(self) -> ErrorKind {
        self.not_owner_or(ErrorKind::OwnerChanging)
    }
}

/// Both clocks of a daemon, read at the same instant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClockReading {
    /// Monotonic clock.
    pub now: Duration,
    /// Time since the Unix epoch.
    pub wall: Duration,
}

impl ClockReading {
    /// Combines a reading of the wall clock with readings of the monotonic clock around it.
    ///
    /// `None` when the process was held up in between; the clocks have to be read again, because
    /// issue times are compared with instants of the monotonic clock.
    #[must_use]
    pub fn between(before: Duration, wall: Duration, after: Duration) -> Option<Self> {
        let span = after.checked_sub(before)?;
        (span <= MAX_READING_SPAN).then_some(Self { now: before, wall })
    }

    /// Wall-clock time at the instant `at` of the monotonic clock.
    #[must_use]
    pub fn wall_at(&self, at: Duration) -> Duration {
        if at >= self.now {
            self.wall + (at - self.now)
        } else {
            self.wall.saturating_sub(self.now - at)
        }
    }
}

/// Whether the kind promises that the request did not run.
fn promises_not_run(kind: ErrorKind) -> bool {
    kind.answer().outcome == Outcome::NotRun
}
