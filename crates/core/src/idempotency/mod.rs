//! At-most-once execution of requests with an idempotency key.
//!
//! Each key is owned by one daemon, which runs the request and records the outcome. The owner is
//! computed from the registry, which every daemon builds by folding the entries of the log. Two
//! daemons can have read the log up to different offsets and then disagree about the owner. Three
//! rules prevent a second run:
//!
//! - An owner starts a request only within [`Fencing::lease`] of a proof that its registry was
//!   complete ([`Lease`]). Once that time has passed since the append of the entry that gave the
//!   key to another daemon, it starts nothing more.
//! - The next owner starts nothing until [`Fencing::takeover_wait`] after it saw that entry. After
//!   a `leave` it need not wait, because the previous owner started nothing after sending it.
//! - If the previous owner may have started a key, the next one runs it only after the previous
//!   one has answered that it has no record of the key. By this answer the previous owner gives up
//!   the key ([`OutcomeTable::look_up_or_cede`]).
//!
//! A request counts as started when its key is inserted into the [`OutcomeTable`]. A daemon that is
//! paused between the insertion and the dispatch can reach the backend server after the takeover.
//! The third rule covers this, because any key that was started within the lease was issued before
//! the takeover. A key without an issue time is protected for [`RETENTION`] only, so it protects
//! only callers that repeat it within that time.
//!
//! The outcome `not_run` is a promise about the key, not about one attempt: a refusal has it only
//! when no earlier attempt can have run, or when the caller states that there was none
//! ([`Attempt`]). While the owner is not certain, other attempts get `owner_changing`, which is
//! retryable and promises nothing.
//!
//! Assumptions:
//!
//! - The wall clocks of any two daemons differ by at most [`CLOCK_DIFFERENCE`]; callers' clocks may
//!   be arbitrary. Monotonic clocks advance during pauses and differ in rate by at most 1 %.
//! - The log is one total order, a read of its head that is requested after an append returned
//!   includes that append, and a log that was replaced no longer confirms a head.
//! - The log keeps entries for at least the retention that is passed to [`Lease::new`]. Otherwise,
//!   a reader that starts at the first kept offset may miss an owner that is still active.
//! - No two processes have the same id and incarnation, and a daemon that left or was retired
//!   starts nothing.

mod decide;
mod key;
mod lease;
mod origin;
mod owner;
mod routing;
mod table;

pub use decide::{
    Decision, ISSUE_MARGIN_LEFT, KeyedRequest, OwnerView, PriorAnswer, answer_prior, decide,
};
pub use key::{Key, KeyError, KeyForm, MAX_ISSUER_BYTES, MAX_KEY_BYTES, issue};
pub use lease::{Fencing, LEASE, Lease, TAKEOVER_WAIT};
pub use origin::Origin;
pub use owner::KeyOwner;
pub use routing::{KeyRoute, refusal_before_owner, route, unreachable_owner};
pub use table::{KeptAnswer, KeyStatus, Limits, OutcomeTable, RunOutcome};

use std::time::Duration;

use crate::error::{ErrorKind, Outcome};

/// Time for which a key is protected against a second run; an older key is not run.
pub const RETENTION: Duration = Duration::from_secs(10 * 60);

/// How far the issue time of a key may lie in the future.
pub const FUTURE_ALLOWANCE: Duration = Duration::from_secs(2);

/// Largest difference between the wall clocks of two daemons.
pub const CLOCK_DIFFERENCE: Duration = Duration::from_secs(2);

/// Earliest valid issue time (2025-01-01), since the Unix epoch; no daemon ever accepted an older
/// key.
pub const EARLIEST_ISSUE: Duration = Duration::from_secs(1_735_689_600);

/// Longest time between the two monotonic readings of a [`ClockReading`].
const MAX_READING_SPAN: Duration = Duration::from_millis(200);

/// What the caller states about earlier attempts with the same key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Attempt {
    /// The caller has never sent this key before.
    First,
    /// The key may have been sent before; assumed unless the caller states otherwise.
    MayRepeat,
}

impl Attempt {
    /// Error for an attempt that was not started: `not_owner` for a first one, else `otherwise`.
    ///
    /// `not_owner` promises that the request did not run, which is unknown when there may have been
    /// earlier attempts.
    #[must_use]
    pub fn not_owner_or(self, otherwise: ErrorKind) -> ErrorKind {
        match self {
            Self::First => ErrorKind::NotOwner,
            Self::MayRepeat => otherwise,
        }
    }

    /// Error for an attempt while no daemon may act as the owner of its key.
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
    /// Combines a reading of the wall clock with readings of the monotonic clock before and after.
    ///
    /// `None` if the process was delayed in between. The clocks then have to be read again, because
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

/// Whether an error of this kind promises that the request did not run.
fn promises_not_run(kind: ErrorKind) -> bool {
    kind.answer().outcome == Outcome::NotRun
}
