//! Whether any document relay of the data centre still answers.
//!
//! A daemon that is no relay relies on the relays to tell it of newer documents. Relays that die without a
//! sign tell nobody, and the membership takes longer to find that out than a change may take to be in force.
//! So each daemon asks one relay after another, and reads the platform itself once none answers.

use std::time::Duration;

/// Time between two questions while the relays answer.
const ASK_INTERVAL: Duration = Duration::from_millis(500);

/// Time between two questions once this daemon has given the relays up.
const SLOW_ASK_INTERVAL: Duration = Duration::from_secs(1);

/// Time for an answer. The next round of questions follows it.
pub const ASK_TIMEOUT: Duration = Duration::from_millis(250);

/// Relays that are asked at once after an unanswered round. The one that was asked before is among those of the next
/// round, since only the connection to it may have been lost; later rounds ask others.
const MAX_ASKED: usize = 3;

/// Unanswered rounds after which the relays may count as silent. A daemon that was paused itself finds one round
/// unanswered, and need not read.
const MIN_FAILED_ROUNDS: u32 = 2;

/// Unanswered rounds that follow each other without a pause.
const MAX_FAST_ROUNDS: u32 = 6;

/// Time without an answer after which the relays count as silent; half of the time within which a document has to
/// be in force.
const SILENT_AFTER: Duration = Duration::from_secs(1);

/// Time between the reads of two groups of daemons. Those of the first group notify the others.
const GROUP_DELAY: Duration = Duration::from_millis(100);

/// Most groups that wait for others; a document has to be in force in time.
const MAX_GROUPS: u32 = 4;

/// Place of a daemon among those that read if no relay answers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SubstituteGroup(pub usize);

/// What a daemon knows about whether its relays answer.
#[derive(Debug, Clone, Default)]
pub struct RelayWatch {
    answered_at: Duration,
    failed_rounds: u32,
    /// Index of the first relay of the last round.
    first_asked: usize,
    group: SubstituteGroup,
}

impl RelayWatch {
    /// Time to wait before the next round.
    #[must_use]
    pub fn delay(&self) -> Duration {
        match self.failed_rounds {
            0 => ASK_INTERVAL,
            1..=MAX_FAST_ROUNDS => Duration::ZERO,
            _ => SLOW_ASK_INTERVAL,
        }
    }

    /// Begins a round of a daemon of `group`; returns the indices of those of `relays` relays that are asked.
    pub fn begin_round(&mut self, relays: usize, group: SubstituteGroup) -> Vec<usize> {
        self.group = group;
        let (step, count) = match self.failed_rounds {
            0 => (1, 1),
            1 => (0, MAX_ASKED),
            _ => (MAX_ASKED, MAX_ASKED),
        };
        self.first_asked = self.first_asked.wrapping_add(step);
        (0..count.min(relays)).map(|i| self.first_asked.wrapping_add(i) % relays).collect()
    }

    /// Records that a relay answered, or that this daemon relies on none.
    pub fn answered(&mut self, now: Duration) {
        self.answered_at = now;
        self.failed_rounds = 0;
    }

    /// Records a round without an answer; returns whether the relays are silent since then.
    pub fn unanswered(&mut self, now: Duration) -> bool {
        let was_silent = self.failed_rounds >= MIN_FAILED_ROUNDS && self.is_silent(now);
        self.failed_rounds = self.failed_rounds.saturating_add(1);
        !was_silent && self.is_silent(now)
    }

    /// Whether this daemon has to read the platform because no relay answers.
    #[must_use]
    pub fn is_silent(&self, now: Duration) -> bool {
        let groups = u32::try_from(self.group.0).unwrap_or(u32::MAX).min(MAX_GROUPS);
        let limit = SILENT_AFTER + GROUP_DELAY * groups;
        let silence = now.saturating_sub(self.answered_at);
        self.failed_rounds >= MIN_FAILED_ROUNDS && silence >= limit
    }
}
