//! Requests that a daemon sends on its own while no account answers.

use std::collections::VecDeque;
use std::time::Duration;

/// Uses of a daemon's part of the reserve of one tenant.
#[derive(Debug, Default)]
pub(super) struct Reserve {
    /// Times of the uses within the last window.
    uses: VecDeque<Duration>,
}

impl Reserve {
    /// Takes a request out of the reserve, which allows `part` of them in any window.
    pub(super) fn take(&mut self, part: u32, window: Duration, now: Duration) -> bool {
        while self.uses.front().is_some_and(|at| *at + window <= now) {
            self.uses.pop_front();
        }
        let has_room = self.uses.len() < part as usize;
        if has_room {
            self.uses.push_back(now);
        }
        has_room
    }

    /// Returns the request that was taken at `taken_at`.
    pub(super) fn give_back(&mut self, taken_at: Duration) {
        if let Some(index) = self.uses.iter().rposition(|at| *at == taken_at) {
            self.uses.remove(index);
        }
    }

    /// Time until a request leaves the window.
    pub(super) fn wait(&self, window: Duration, now: Duration) -> Option<Duration> {
        self.uses.front().map(|at| (*at + window).saturating_sub(now))
    }
}
