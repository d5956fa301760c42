//! Calls of other daemons that have arrived at this daemon.
//!
//! A connection between two daemons can go silent while new ones work. The daemon that waits for a
//! response then asks about its call over another connection.

use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use baobabreel_core::calls::{Addressee, CallId, CallState, CallTable};

use crate::context::Cx;
use crate::sync::lock;

/// Calls of other daemons that have arrived at this daemon.
#[derive(Debug, Default)]
pub struct ActiveCalls {
    table: Mutex<CallTable>,
}

impl ActiveCalls {
    fn lock(&self) -> MutexGuard<'_, CallTable> {
        lock(&self.table)
    }

    /// Records that a call has arrived; `None` if it may not run.
    pub fn begin(cx: &Cx, id: CallId) -> Option<ActiveCall<'_>> {
        let may_run = cx.calls.lock().begin(id);
        may_run.then_some(ActiveCall { cx, id })
    }

    /// Returns the state of a call. One that is not known is refused if it arrives later.
    pub fn query(&self, id: CallId, addressee: Addressee, now: Duration) -> CallState {
        self.lock().query(id, addressee, now)
    }
}

/// Call that counts as active until it is dropped.
#[derive(Debug)]
pub struct ActiveCall<'a> {
    cx: &'a Cx,
    id: CallId,
}

impl Drop for ActiveCall<'_> {
    fn drop(&mut self) {
        let now = self.cx.clock.now();
        self.cx.calls.lock().end(self.id, now);
    }
}
