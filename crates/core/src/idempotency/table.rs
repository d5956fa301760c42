//! Outcomes of the keys that a daemon owns.
//!
//! Dropping an outcome too early would allow a second run. Therefore a full table refuses new keys,
//! and only answers are dropped to free memory, never outcomes. So that one client cannot fill it for
//! all others, each origin of requests has a share, which shrinks as the table fills, and answers are dropped
//! where most are kept.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use super::RETENTION;
use super::origin::{Origin, Shares};

/// Recorded answer, in an encoding that the daemon chooses.
pub type KeptAnswer = Arc<[u8]>;

/// Time for which an outcome is kept after its request has finished.
///
/// It is longer than [`RETENTION`] because a key can be issued up to 2 s after its first start by
/// the owner's clock, because that clock may be adjusted by a few seconds in between, and because
/// the rates of the wall clock and the monotonic clock may differ by 1 %.
const OUTCOME_RETENTION: Duration = RETENTION.saturating_add(Duration::from_secs(20));

/// Part of the memory of an instance that kept answers may take: 1 in this number.
const ANSWER_SHARE: u64 = 16;

/// Part of the memory of an instance that outcomes may take without their answers: 1 in this number.
const ENTRY_SHARE: u64 = 5;

/// Memory of an outcome without its answer, in bytes: the longest key, its place in a table that doubles and in two
/// queues, and what the allocator adds to them and to the answer.
const ENTRY_BYTES: u64 = 480;

/// Size limits of an [`OutcomeTable`].
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
    /// Limits of an instance with so many bytes of memory: the default ones, or less where they take too much.
    #[must_use]
    pub fn within(memory_bytes: u64) -> Self {
        let most = Self::default();
        let share = |bytes: u64| usize::try_from(bytes).unwrap_or(usize::MAX);
        Self {
            total_bytes: most.total_bytes.min(share(memory_bytes / ANSWER_SHARE)),
            entries: most.entries.min(share(memory_bytes / ENTRY_SHARE / ENTRY_BYTES)),
            ..most
        }
    }

    /// Sets the largest size of an answer that is kept, in bytes.
    #[must_use]
    pub fn with_answer_bytes(mut self, bytes: usize) -> Self {
        self.answer_bytes = bytes;
        self
    }

    /// Sets the largest total size of the kept answers, in bytes.
    #[must_use]
    pub fn with_total_bytes(mut self, bytes: usize) -> Self {
        self.total_bytes = bytes;
        self
    }

    /// Sets the largest number of entries.
    #[must_use]
    pub fn with_entries(mut self, entries: usize) -> Self {
        self.entries = entries;
        self
    }
}

/// Status of a key at a daemon.
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
    /// The key was given up to a later owner.
    Ceded,
    /// The table has no room for another key of this origin; the request did not run.
    Overloaded,
}

/// How a run ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunOutcome {
    /// It ran; the answer is `None` if it was too large to buffer.
    Ran(Option<KeptAnswer>),
    /// It certainly did not run; the key may be run again.
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
    origin: Origin,
    state: State,
    expires_at: Duration,
}

impl Entry {
    fn status_for(&self, fingerprint: u128) -> KeyStatus {
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
    shares: Shares,
    /// Expiry times and keys, earliest first; a key may have an outdated item before its last one.
    expiry_queue: VecDeque<(Duration, Arc<str>)>,
    kept_bytes: usize,
}

impl OutcomeTable {
    /// Creates an empty table.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self { limits, ..Self::default() }
    }

    /// Number of keys.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the table has no key.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Total size of the kept answers, in bytes.
    #[must_use]
    pub fn kept_bytes(&self) -> usize {
        self.kept_bytes
    }

    /// Status of a key for a request with this fingerprint; `None` if the key is not recorded.
    pub fn look_up(&mut self, key: &str, fingerprint: u128, now: Duration) -> Option<KeyStatus> {
        self.expire(now);
        self.entries.get(key).map(|entry| entry.status_for(fingerprint))
    }

    /// Records a key of a request from `origin` as running, or returns its status if it is already recorded.
    pub fn begin(
        &mut self,
        key: &str,
        origin: Origin,
        fingerprint: u128,
        now: Duration,
    ) -> KeyStatus {
        if let Some(known) = self.look_up(key, fingerprint, now) {
            return known;
        }
        if !self.has_room(origin) {
            return KeyStatus::Overloaded;
        }
        let state = State::Running;
        self.insert(key, Entry { fingerprint, origin, state, expires_at: Duration::MAX });
        KeyStatus::Run
    }

    fn has_room(&self, origin: Origin) -> bool {
        let free = self.limits.entries.saturating_sub(self.entries.len());
        self.shares.has_room(origin, free)
    }

    fn insert(&mut self, key: &str, entry: Entry) {
        self.shares.take(entry.origin);
        self.entries.insert(Arc::from(key), entry);
    }

    fn remove(&mut self, key: &str) {
        if let Some(entry) = self.entries.remove(key) {
            self.shares.give_back(entry.origin);
            let bytes = entry.answer_bytes();
            self.shares.of(entry.origin).forget(key, bytes);
            self.kept_bytes -= bytes;
        }
    }

    /// Records how a running request ended; has no effect if the key is not running.
    pub fn finish(&mut self, key: &str, finish: RunOutcome, now: Duration) {
        let Some((shared_key, entry)) = self.entries.get_key_value(key) else {
            return;
        };
        if !matches!(entry.state, State::Running) {
            return;
        }
        let (shared_key, origin) = (Arc::clone(shared_key), entry.origin);
        let state = match finish {
            RunOutcome::NotRun => {
                self.remove(key);
                return;
            }
            RunOutcome::Unknown => State::Unknown,
            RunOutcome::Ran(answer) => {
                State::Ran(answer.filter(|answer| self.make_room(answer.len())))
            }
        };
        if let State::Ran(Some(answer)) = &state {
            self.kept_bytes += answer.len();
            self.shares.of(origin).keep(Arc::clone(&shared_key), answer.len());
        }
        self.set_final_state(&shared_key, state, now);
    }

    /// Status of a key for a later owner; `None` if the key has been given up to it.
    ///
    /// A key without a record is given up, after which it is never run here. If the table has no
    /// room to record that for a request from `origin`, the status is [`KeyStatus::Overloaded`].
    pub fn look_up_or_cede(
        &mut self,
        key: &str,
        origin: Origin,
        fingerprint: u128,
        now: Duration,
    ) -> Option<KeyStatus> {
        match self.look_up(key, fingerprint, now) {
            Some(KeyStatus::Ceded) => {}
            Some(known) => return Some(known),
            None if !self.has_room(origin) => return Some(KeyStatus::Overloaded),
            None => {
                let state = State::Ceded;
                self.insert(key, Entry { fingerprint, origin, state, expires_at: now });
            }
        }
        let (shared_key, _) = self.entries.get_key_value(key)?;
        let shared_key = Arc::clone(shared_key);
        self.set_final_state(&shared_key, State::Ceded, now);
        None
    }

    /// Sets the state of a key that is not running any more, and when it expires.
    fn set_final_state(&mut self, key: &Arc<str>, state: State, now: Duration) {
        let expires_at = now + OUTCOME_RETENTION;
        if let Some(entry) = self.entries.get_mut(key) {
            if entry.expires_at != expires_at {
                self.expiry_queue.push_back((expires_at, Arc::clone(key)));
            }
            entry.state = state;
            entry.expires_at = expires_at;
        }
    }

    /// Drops answers until `bytes` more can be kept, the oldest of the origin that keeps most; false if that is above
    /// the limits.
    fn make_room(&mut self, bytes: usize) -> bool {
        if bytes > self.limits.answer_bytes.min(self.limits.total_bytes) {
            return false;
        }
        while self.kept_bytes + bytes > self.limits.total_bytes {
            let Some(share) = self.shares.largest() else {
                return false;
            };
            let Some(oldest) = share.pop_oldest() else {
                return false;
            };
            if let Some(entry) = self.entries.get_mut(&oldest) {
                let dropped = entry.answer_bytes();
                share.forget(&oldest, dropped);
                self.kept_bytes -= dropped;
                if let State::Ran(answer) = &mut entry.state {
                    *answer = None;
                }
            }
        }
        true
    }

    /// Removes the entries that have expired.
    fn expire(&mut self, now: Duration) {
        while let Some((at, _)) = self.expiry_queue.front()
            && *at <= now
        {
            let Some((at, key)) = self.expiry_queue.pop_front() else {
                return;
            };
            // A key that was given up again has a later item in the queue, which counts instead.
            let current = self.entries.get(&key);
            if current.is_none_or(|entry| entry.expires_at != at) {
                continue;
            }
            self.remove(&key);
        }
    }
}
