//! Times that control messages to other daemons took.

use std::time::Duration;

use super::PeerError;

/// Times from sending control messages to their answers.
#[derive(Debug, Default, Clone, Copy)]
pub struct ControlTimes {
    /// Messages that were answered.
    pub answers: u32,
    /// Messages that were sent and got no answer in time.
    pub lost: u32,
    /// Sum of the times of the answers.
    pub total: Duration,
    /// Shortest time of an answer; `None` without answers.
    pub shortest: Option<Duration>,
    /// Longest time of an answer.
    pub longest: Duration,
}

impl ControlTimes {
    /// Records the end of a message; one that could not be sent does not count.
    pub(super) fn record<T>(&mut self, answer: &Result<T, PeerError>, time: Duration) {
        match answer {
            Ok(_) | Err(PeerError::Refused(_)) => {
                self.answers += 1;
                self.total += time;
                self.shortest = Some(self.shortest.map_or(time, |known| known.min(time)));
                self.longest = self.longest.max(time);
            }
            Err(PeerError::Lost(_)) => self.lost += 1,
            Err(PeerError::NotSent(_)) => {}
        }
    }

    /// Adds the times of other messages.
    pub fn add(&mut self, other: &Self) {
        self.answers += other.answers;
        self.lost += other.lost;
        self.total += other.total;
        self.shortest = self.shortest.into_iter().chain(other.shortest).min();
        self.longest = self.longest.max(other.longest);
    }

    /// Mean time of the answers; zero without answers.
    #[must_use]
    pub fn mean(&self) -> Duration {
        self.total.checked_div(self.answers).unwrap_or_default()
    }
}
