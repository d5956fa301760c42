//! Whether the document of a daemon is known to be the newest one of the platform.
//!
//! If all daemons that restart together read the platform before they serve, each read becomes
//! slow. Instead, a daemon that reads the platform confirms the documents of others; a confirmation
//! is valid for a short time.

use std::time::Duration;

/// Age up to which a confirmation by another daemon is accepted.
const MAX_CONFIRMATION_AGE: Duration = Duration::from_secs(1);

/// Time in which others can confirm a copy of the document before the platform is asked. When that
/// takes longer, a large document has changed, and relays with slow links cannot hand it to all at
/// once.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(150);

/// When a daemon last knew that its document was the newest one.
#[derive(Debug, Clone, Copy, Default)]
pub struct Freshness {
    known_at: Option<Duration>,
    /// The same as another daemon knew it, however long ago.
    heard_at: Option<Duration>,
    /// When the daemon took a copy that may be behind.
    copied_at: Option<Duration>,
    /// Whether the platform is read and has answered the last time.
    reads: bool,
}

impl Freshness {
    /// Records that the platform was read.
    pub fn read(&mut self, now: Duration) {
        self.known_at = Some(now);
        self.reads = true;
    }

    /// Records that the platform is out of reach or is no longer read.
    pub fn reading_ended(&mut self) {
        self.reads = false;
    }

    /// Whether the platform is read and has answered the last time.
    #[must_use]
    pub fn is_reading(&self) -> bool {
        self.reads
    }

    /// Records that another daemon knew of no newer document `age` ago; returns whether this was
    /// accepted.
    pub fn confirmed_by_peer(&mut self, age: Duration, now: Duration) -> bool {
        let known_at = Some(now.saturating_sub(age));
        self.heard_at = self.heard_at.max(known_at);
        let counts = age <= MAX_CONFIRMATION_AGE;
        if counts {
            self.known_at = self.known_at.max(known_at);
        }
        counts
    }

    /// Records that the daemon took a copy that may be out of date.
    pub fn copy_taken(&mut self, now: Duration) {
        self.copied_at = Some(now);
    }

    /// Whether no document of this daemon was ever known to be the newest one.
    #[must_use]
    pub fn is_unknown(&self) -> bool {
        self.known_at.is_none()
    }

    /// Whether nobody has confirmed the copy in time.
    #[must_use]
    pub fn is_overdue(&self, now: Duration) -> bool {
        let waited = self.copied_at.map(|at| now.saturating_sub(at));
        self.is_unknown() && waited.is_some_and(|time| time >= CONFIRM_TIMEOUT)
    }

    /// Time since the document was known to be the newest one, if it ever was.
    #[must_use]
    pub fn age(&self, now: Duration) -> Option<Duration> {
        if self.reads {
            return Some(Duration::ZERO);
        }
        self.known_at.map(|at| now.saturating_sub(at))
    }

    /// The same, also by what other daemons knew too long ago to confirm it.
    #[must_use]
    pub fn age_by_all(&self, now: Duration) -> Option<Duration> {
        let heard = self.heard_at.map(|at| now.saturating_sub(at));
        self.age(now).into_iter().chain(heard).min()
    }
}
