//! States of the calls that have arrived at a daemon.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Identifier of one transmission of a call.
pub type CallId = u64;

/// Time for which the state of ended and refused calls is kept.
pub const RETENTION: Duration = Duration::from_secs(10);

/// Most ended and refused calls whose state is kept.
const MAX_RETAINED: usize = 65_536;

/// What a daemon knows about a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallState {
    /// The call has arrived and is not yet answered.
    Active,
    /// The call was answered a short time ago.
    Answered,
    /// The call has not arrived, and will not run if it arrives later.
    NotRun,
    /// This process does not know the call, and will not run it if it arrives later. It may have run in
    /// an earlier process, or its state may have been removed early.
    Unknown,
}

/// Process that a call was sent to, as far as the calling daemon knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Addressee {
    /// The process that is asked.
    ThisProcess,
    /// The calling daemon knew another incarnation, which tells nothing about where the call arrived: a
    /// daemon can call a restarted one before it hears of the restart.
    OtherProcess,
}

/// States of calls by identifier.
#[derive(Debug, Default)]
pub struct CallTable {
    states: HashMap<CallId, CallState>,
    ended: VecDeque<(Duration, CallId)>,
    /// Time until which a missing call may have been removed early because the table was full.
    incomplete_until: Duration,
}

impl CallTable {
    /// Records that a call has arrived; returns whether it may run. It may not if its sender was told so,
    /// or if its identifier is known already.
    #[must_use]
    pub fn begin(&mut self, id: CallId) -> bool {
        if self.states.contains_key(&id) {
            return false;
        }
        self.states.insert(id, CallState::Active);
        true
    }

    /// Records that a call has ended.
    pub fn end(&mut self, id: CallId, now: Duration) {
        self.retain(id, CallState::Answered, now);
    }

    /// Returns the state of a call. One that is not known is refused if it arrives later.
    pub fn query(&mut self, id: CallId, addressee: Addressee, now: Duration) -> CallState {
        if let Some(state) = self.states.get(&id) {
            return *state;
        }
        let is_complete = now >= self.incomplete_until;
        let state = if addressee == Addressee::ThisProcess && is_complete {
            CallState::NotRun
        } else {
            CallState::Unknown
        };
        self.retain(id, state, now);
        state
    }

    /// Sets the state of an ended or refused call and removes the oldest ones.
    fn retain(&mut self, id: CallId, state: CallState, now: Duration) {
        self.states.insert(id, state);
        self.ended.push_back((now, id));
        while let Some((at, id)) = self.ended.front().copied() {
            let recent = now.saturating_sub(at) <= RETENTION;
            if recent && self.ended.len() <= MAX_RETAINED {
                break;
            }
            if recent {
                self.incomplete_until = now + RETENTION;
            }
            self.ended.pop_front();
            self.states.remove(&id);
        }
    }
}
