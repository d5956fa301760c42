//! Outcomes of the keys that a daemon owns.
//!
//! Forgetting an outcome too early would allow a second run. So a full table refuses new keys, and
//! only answers are dropped for room, never outcomes.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use super::RETENTION;

/// Recorded answer, in the form that the daemon chose.
pub type KeptAnswer = Arc<[u8]>;

/// Time for which an outcome is kept after its request has finished.
///
/// Longer than [`RETENTION`], because a key can be issued up to 2 s after its first start by the
/// owner's clock, that clock may be set by a few seconds in between, and the two clocks may run at
/// rates that differ by 1 %.
const KEEP_FOR: Duration = RETENTION.saturating_add(Duration::from_secs(20));

/// Bounds of an [`OutcomeTable`].
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    answer_bytes: usize,
    total_bytes: usize,
    entries: usize,
}

impl Default for Limits {
    /// 64 KB for each answer, 16 MB for all, and 65,536 entries.
    fn default() -> Self {
        Self { answer_bytes: 64 * 1024, total_bytes: 16 * 1024 * 1024, entries: 65_536 }
    }
}

impl Limits {
    /// Sets the size of the largest answer that is kept, in bytes.
    #[must_use]
    pub fn with_answer_bytes(mut self, bytes: usize) -> Self {
        self.answer_bytes = bytes;
        self
    }

    /// Sets the size of all kept answers together, in bytes.
    #[must_use]
    pub fn with_total_bytes(mut self, bytes: usize) -> Self {
        self.total_bytes = bytes;
        self
    }

    /// Sets the largest count of entries.
    #[must_use]
    pub fn with_entries(mut self, entries: usize) -> Self {
        self.entries = entries;
        self
    }
}

/// What a daemon may do with a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyStatus {
    /// The request has to be run now.
    Run,
    /// It is running.
    InProgress,
    /// It ran, with this answer.
    Done(KeptAnswer),
    /// It ran, and its answer is not kept.
    AnswerNotKept,
    /// It may have run.
    OutcomeUnknown,
    /// The key was used for another request.
    KeyReused,
    /// The key was left to a later owner.
    Ceded,
    /// There is no room for another key; it did not run.
    Overloaded,
}

/// How a run ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunOutcome {
    /// It ran; the answer is there unless it was too large to buffer.
    Ran(Option<KeptAnswer>),
    /// It is proved not to have run; the key may run again.
    NotRun,
    /// It may have run.
    Unknown,
}

#[derive(Debug)]
enum State {
    Running,
    Ran(Option<KeptAnswer>),
    Unknown,
    Ceded,
}

#[derive(Debug)]
struct Entry {
    fingerprint: u128,
    state: State,
    expires_at: Duration,
}

impl Entry {
    fn seen_by(&self, fingerprint: u128) -> KeyStatus {
        match &self.state {
            State::Ceded => KeyStatus::Ceded,
            _ if self.fingerprint != fingerprint => KeyStatus::KeyReused,
            State::Running => KeyStatus::InProgress,
            State::Ran(Some(answer)) => KeyStatus::Done(Arc::clone(answer)),
            State::Ran(None) => KeyStatus::AnswerNotKept,
            State::Unknown => KeyStatus::OutcomeUnknown,
        }
    }

    fn answer_bytes(&self) -> usize {
        match &self.state {
            State::Ran(Some(answer)) => answer.len(),
            _ => 0,
        }
    }
}

/// Bounded table of outcomes; `now` must not decrease between calls.
#[derive(Debug, Default)]
pub struct OutcomeTable {
    limits: Limits,
    entries: HashMap<Arc<str>, Entry>,
    expiry: VecDeque<(Duration, Arc<str>)>,
    answers: VecDeque<Arc<str>>,
    kept_bytes: usize,
}

impl OutcomeTable {
    /// Empty table.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self { limits, ..Self::default() }
    }

    /// Count of keys.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the table has no key.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Bytes of all kept answers.
    #[must_use]
    pub fn kept_bytes(&self) -> usize {
        self.kept_bytes
    }

    /// What is recorded for a key; `None` when nothing is.
    pub fn look_up(&mut self, key: &str, fingerprint: u128, now: Duration) -> Option<KeyStatus> {
        self.expire(now);
        self.entries.get(key).map(|entry| entry.seen_by(fingerprint))
    }

    /// Records the key as running unless something is recorded for it.
    pub fn begin(&mut self, key: &str, fingerprint: u128, now: Duration) -> KeyStatus {
        if let Some(known) = self.look_up(key, fingerprint, now) {
            return known;
        }
        if self.entries.len() >= self.limits.entries {
            return KeyStatus::Overloaded;
        }
        let entry = Entry { fingerprint, state: State::Running, expires_at: Duration::MAX };
        self.entries.insert(Arc::from(key), entry);
        KeyStatus::Run
    }

    /// Records how a running request ended; without effect when the key is not running.
    pub fn finish(&mut self, key: &str, finish: RunOutcome, now: Duration) {
        let Some((shared, entry)) = self.entries.get_key_value(key) else {
            return;
        };
        if !matches!(entry.state, State::Running) {
            return;
        }
        let shared = Arc::clone(shared);
        let state = match finish {
            RunOutcome::NotRun => {
                self.entries.remove(key);
                return;
            }
            RunOutcome::Unknown => State::Unknown,
            RunOutcome::Ran(answer) => {
                State::Ran(answer.filter(|answer| self.make_room(answer.len())))
            }
        };
        if let State::Ran(Some(answer)) = &state {
            self.kept_bytes += answer.len();
            self.answers.push_back(Arc::clone(&shared));
        }
        self.keep(&shared, state, now);
    }

    /// Answers a later owner; with `None`, the key is given up and never run here.
    ///
    /// [`KeyStatus::Overloaded`] means that the key could not be given up for lack of room.
    pub fn look_up_or_cede(
        &mut self,
        key: &str,
        fingerprint: u128,
        now: Duration,
    ) -> Option<KeyStatus> {
        match self.look_up(key, fingerprint, now) {
            Some(KeyStatus::Ceded) => {}
            Some(known) => return Some(known),
            None if self.entries.len() >= self.limits.entries => {
                return Some(KeyStatus::Overloaded);
            }
            None => {
                let entry = Entry { fingerprint, state: State::Ceded, expires_at: now };
                self.entries.insert(Arc::from(key), entry);
            }
        }
        let (shared, _) = self.entries.get_key_value(key)?;
        let shared = Arc::clone(shared);
        self.keep(&shared, State::Ceded, now);
        None
    }

    fn keep(&mut self, key: &Arc<str>, state: State, now: Duration) {
        let expires_at = now + KEEP_FOR;
        if let Some(entry) = self.entries.get_mut(key) {
            if entry.expires_at != expires_at {
                self.expiry.push_back((expires_at, Arc::clone(key)));
            }
            entry.state = state;
            entry.expires_at = expires_at;
        }
    }

    /// Drops the oldest answers until `bytes` more can be kept; false when they never can.
    fn make_room(&mut self, bytes: usize) -> bool {
        if bytes > self.limits.answer_bytes.min(self.limits.total_bytes) {
            return false;
        }
        while self.kept_bytes + bytes > self.limits.total_bytes {
            let Some(oldest) = self.answers.pop_front() else {
                return false;
            };
            if let Some(entry) = self.entries.get_mut(&oldest) {
                self.kept_bytes -= entry.answer_bytes();
                if let State::Ran(answer) = &mut entry.state {
                    *answer = None;
                }
            }
        }
        true
    }

    fn expire(&mut self, now: Duration) {
        while let Some((at, _)) = self.expiry.front()
            && *at <= now
        {
            let Some((at, key)) = self.expiry.pop_front() else {
                return;
            };
            // A key that was given up again later has a later item in the queue.
            let current = self.entries.get(&key);
            if current.is_none_or(|entry| entry.expires_at != at) {
                continue;
            }
            if let Some(entry) = self.entries.remove(&key) {
                self.kept_bytes -= entry.answer_bytes();
            }
            // Answers are in order of finishing, as is the expiry.
            if self.answers.front() == Some(&key) {
                self.answers.pop_front();
            }
        }
    }
}
