//! Callers that come back before the time that a refusal named.

use std::collections::VecDeque;
use std::time::Duration;

use crate::quarantine::RequestDigest;

/// Most refusals that are remembered for a connection; the one whose time comes first is replaced.
const MAX_TOLD: usize = 16;

/// Most answered requests that are remembered for a connection.
const MAX_ANSWERED: usize = 32;

/// A caller may come back this much early, since it rounds times and its clock differs.
const TOLERANCE: Duration = Duration::from_millis(10);

/// Times after which the refused requests of one connection may come back.
///
/// A caller that repeats a request at once, several times, would otherwise take the room that is kept for
/// those that wait as told. A request that equals one answered on the connection is not held back, since the
/// caller may send equal requests on purpose.
///
/// Daemons use this only for requests with a target where the configuration has tenants. Otherwise a refusal
/// names no place in the room that will be there.
#[derive(Debug, Default)]
pub struct ToldTimes {
    told: Vec<(RequestDigest, Duration)>,
    answered: VecDeque<RequestDigest>,
}

impl ToldTimes {
    /// Records that a request was answered by a backend server.
    pub fn record_answered(&mut self, digest: RequestDigest) {
        if self.answered.contains(&digest) {
            return;
        }
        if self.answered.len() >= MAX_ANSWERED {
            self.answered.pop_front();
        }
        self.answered.push_back(digest);
        self.told.retain(|(known, _)| *known != digest);
    }

    /// Records that a request was refused and may come back at `until`.
    pub fn record_refused(&mut self, digest: RequestDigest, until: Duration, now: Duration) {
        if self.answered.contains(&digest) {
            return;
        }
        self.told.retain(|(known, until)| *known != digest && *until > now);
        if self.told.len() >= MAX_TOLD {
            let first = self.told.iter().enumerate().min_by_key(|(_, (_, until))| *until);
            if let Some((index, _)) = first {
                self.told.swap_remove(index);
            }
        }
        self.told.push((digest, until));
    }

    /// Time that is left until a request may come back; none if it may be served now.
    #[must_use]
    pub fn time_left(&self, digest: RequestDigest, now: Duration) -> Option<Duration> {
        let (_, until) = self.told.iter().find(|(known, _)| *known == digest)?;
        Some(until.saturating_sub(now)).filter(|left| *left > TOLERANCE)
    }
}
