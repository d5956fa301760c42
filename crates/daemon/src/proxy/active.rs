//! Calls of other daemons that have arrived at this daemon.
//!
//! A connection between two daemons can go silent while new ones work. The daemon that waits for a
//! response then asks about its call over another connection. If the call has not arrived, it is
//! marked as refused, so that the answer "not run" stays true if the call arrives later.

use std::collections::{HashMap, VecDeque};
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use baobabreel_client::wire::CallState;

use crate::context::Cx;
use crate::sync::lock;

/// Time for which the state of ended and refused calls is kept.
pub const RETENTION: Duration = Duration::from_secs(10);

/// Most ended and refused calls whose state is kept.
const MAX_RETAINED: usize = 65_536;

/// States of calls by identifier.
#[derive(Debug, Default)]
struct CallTable {
    states: HashMap<u64, CallState>,
    ended: VecDeque<(Duration, u64)>,
    /// Time until which a missing call may have been removed early because the table was full.
    incomplete_until: Duration,
}

impl CallTable {
    /// Sets the state of an ended or refused call and removes the oldest ones.
    fn retain_state(&mut self, id: u64, state: CallState, now: Duration) {
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

/// Calls of other daemons that have arrived at this daemon.
#[derive(Debug, Default)]
pub struct ActiveCalls {
    table: Mutex<CallTable>,
}

impl ActiveCalls {
    fn lock(&self) -> MutexGuard<'_, CallTable> {
        lock(&self.table)
    }

    /// Records that a call has arrived; `None` if its sender was told that it will not run, or if its identifier is
    /// known already.
    pub fn begin(cx: &Cx, id: u64) -> Option<ActiveCall<'_>> {
        let mut table = cx.calls.lock();
        if table.states.contains_key(&id) {
            return None;
        }
        table.states.insert(id, CallState::Active);
        Some(ActiveCall { cx, id })
    }

    /// Returns the state of a call. One that has not arrived is refused if it arrives later.
    pub fn state(&self, id: u64, now: Duration) -> CallState {
        let mut table = self.lock();
        if let Some(state) = table.states.get(&id) {
            return *state;
        }
        if now < table.incomplete_until {
            return CallState::Answered;
        }
        table.retain_state(id, CallState::NotRun, now);
        CallState::NotRun
    }
}

/// Call that counts as active until it is dropped.
#[derive(Debug)]
pub struct ActiveCall<'a> {
    cx: &'a Cx,
    id: u64,
}

impl Drop for ActiveCall<'_> {
    fn drop(&mut self) {
        let now = self.cx.clock.now();
        self.cx.calls.lock().retain_state(self.id, CallState::Answered, now);
    }
}
