//! Calls of other daemons that have arrived here.
//!
//! A connection between two daemons can go silent while new ones work. The daemon that waits then
//! asks about its call over another connection. A call that has not arrived is marked, so that the
//! answer "not run" stays true if the call arrives later.

use std::collections::{HashMap, VecDeque};
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use baobabreel_client::wire::CallState;

use crate::context::Cx;
use crate::sync::lock;

/// Time for which ended and refused calls are remembered.
pub const MEMORY: Duration = Duration::from_secs(10);

/// Ended and refused calls that are remembered at most.
const MAX_REMEMBERED: usize = 65_536;

#[derive(Debug, Default)]
struct Table {
    states: HashMap<u64, CallState>,
    ended: VecDeque<(Duration, u64)>,
    /// Until when a call that is not in the table may have been forgotten for lack of room.
    incomplete_until: Duration,
}

impl Table {
    fn remember(&mut self, id: u64, state: CallState, now: Duration) {
        self.states.insert(id, state);
        self.ended.push_back((now, id));
        while let Some((at, id)) = self.ended.front().copied() {
            let recent = now.saturating_sub(at) <= MEMORY;
            if recent && self.ended.len() <= MAX_REMEMBERED {
                break;
            }
            if recent {
                self.incomplete_until = now + MEMORY;
            }
            self.ended.pop_front();
            self.states.remove(&id);
        }
    }
}

/// Calls of other daemons that have arrived here.
#[derive(Debug, Default)]
pub struct ActiveCalls {
    table: Mutex<Table>,
}

impl ActiveCalls {
    fn lock(&self) -> MutexGuard<'_, Table> {
        lock(&self.table)
    }

    /// Records that a call has arrived; `None` when its sender was told that it does not run.
    pub fn begin(cx: &Cx, id: u64) -> Option<ActiveCall<'_>> {
        let mut table = cx.calls.lock();
        if table.states.contains_key(&id) {
            return None;
        }
        table.states.insert(id, CallState::Active);
        Some(ActiveCall { cx, id })
    }

    /// State of a call; one that has not arrived will not be run from now on.
    pub fn state(&self, id: u64, now: Duration) -> CallState {
        let mut table = self.lock();
        if let Some(state) = table.states.get(&id) {
            return *state;
        }
        if now < table.incomplete_until {
            return CallState::Answered;
        }
        table.remember(id, CallState::NotRun, now);
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
        self.cx.calls.lock().remember(self.id, CallState::Answered, now);
    }
}
