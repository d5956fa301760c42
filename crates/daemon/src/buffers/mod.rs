//! Buffers for the long bodies of calls: a body waits until it has one, and holds it until its end.
//!
//! `baobabreel_core::buffers` decides how many there are and whose are taken back. A buffer is taken back by closing
//! the connection of its holder.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::Duration;

use baobabreel_core::buffers::BufferTable;
use baobabreel_core::lag::HolderId;
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};
use tokio_util::sync::{CancellationToken, PollSemaphore};

use crate::callers::{CallerLimit, record};
use crate::context::{Clock, Cx};
use crate::settings::Limits;
use crate::sync::lock;

/// Longest body that needs no buffer, in bytes.
pub const SHORT_BODY_BYTES: u64 = 16 * 1024;

/// Time between two looks at the clients while bodies wait.
const LOOK_INTERVAL: Duration = Duration::from_millis(25);

#[derive(Debug)]
struct State {
    table: BufferTable,
    /// Close the connections of the holders.
    aborts: BTreeMap<HolderId, CancellationToken>,
}

/// Buffers of one daemon for the bodies of requests, or for those of responses.
#[derive(Debug)]
pub struct Buffers {
    clock: Clock,
    /// Lets the bodies take their turns in the order in which they came.
    permits: Arc<Semaphore>,
    contended: Notify,
    state: Mutex<State>,
}

impl Buffers {
    /// Buffers for the memory of the instance, none of them in use.
    #[must_use]
    pub fn new(limits: &Limits, clock: Clock) -> Arc<Self> {
        let table = BufferTable::new(limits.memory_bytes);
        let permits = Arc::new(Semaphore::new(table.count()));
        let state = Mutex::new(State { table, aborts: BTreeMap::new() });
        Arc::new(Self { clock, permits, contended: Notify::new(), state })
    }

    /// Turn of a body on a connection that ends when `abort` is cancelled.
    pub fn turn(self: &Arc<Self>, abort: CancellationToken) -> Turn {
        let permits = PollSemaphore::new(Arc::clone(&self.permits));
        Turn { buffers: Arc::clone(self), abort, permits, is_waiting: false, held: None }
    }

    fn change<T>(&self, change: impl FnOnce(&mut BufferTable, Duration) -> T) -> T {
        change(&mut lock(&self.state).table, self.clock.now())
    }

    /// Closes the connections of holders that lag; returns their number and whether bodies still wait.
    fn take_back_lagging(&self) -> (usize, bool) {
        let state = lock(&self.state);
        let chosen = state.table.choose_lagging(self.clock.now());
        for abort in chosen.iter().filter_map(|id| state.aborts.get(id)) {
            abort.cancel();
        }
        (chosen.len(), state.table.waiting() > 0)
    }
}

/// Takes buffers back from clients that lag while others wait, for as long as the daemon runs.
pub async fn take_back_buffers(cx: Cx, buffers: Arc<Buffers>) {
    loop {
        buffers.contended.notified().await;
        loop {
            let (count, has_waiting) = buffers.take_back_lagging();
            record(&cx, CallerLimit::TakenBack, count);
            if !has_waiting {
                break;
            }
            tokio::time::sleep(LOOK_INTERVAL).await;
        }
    }
}

/// Turn of a long body: it waits for a buffer, and holds it until it is dropped.
#[derive(Debug)]
pub struct Turn {
    buffers: Arc<Buffers>,
    abort: CancellationToken,
    permits: PollSemaphore,
    is_waiting: bool,
    held: Option<(HolderId, OwnedSemaphorePermit)>,
}

impl Turn {
    /// Ready once the body has a buffer.
    pub fn poll(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if self.held.is_some() {
            return Poll::Ready(());
        }
        let Poll::Ready(permit) = self.permits.poll_acquire(cx) else {
            self.begin_wait();
            return Poll::Pending;
        };
        self.end_wait();
        let mut state = lock(&self.buffers.state);
        if let Some((id, permit)) = state.table.take().zip(permit) {
            state.aborts.insert(id, self.abort.clone());
            self.held = Some((id, permit));
        }
        Poll::Ready(())
    }

    /// Waits until the body has a buffer; false if too many others wait.
    pub async fn ready(&mut self) -> bool {
        let is_ready = std::future::poll_fn(|cx| Poll::Ready(self.poll(cx).is_ready())).await;
        if !is_ready && self.buffers.change(|table, _| table.is_crowded()) {
            return false;
        }
        std::future::poll_fn(|cx| self.poll(cx)).await;
        true
    }

    /// Records that the client is waited for from now on.
    pub fn wait(&self) {
        if let Some((id, _)) = &self.held {
            self.buffers.change(|table, now| table.wait(*id, now));
        }
    }

    /// Records that the client sent or took so many bytes, and is not waited for any more.
    pub fn record_progress(&self, bytes: usize) {
        if let Some((id, _)) = &self.held {
            self.buffers.change(|table, now| table.record_progress(*id, bytes as u64, now));
        }
    }

    fn begin_wait(&mut self) {
        if !std::mem::replace(&mut self.is_waiting, true) {
            self.buffers.change(|table, _| table.begin_wait());
            self.buffers.contended.notify_one();
        }
    }

    fn end_wait(&mut self) {
        if std::mem::take(&mut self.is_waiting) {
            self.buffers.change(|table, _| table.end_wait());
        }
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        self.end_wait();
        // The permit is released after the buffer, so that whoever gets it finds one.
        if let Some((id, _permit)) = self.held.take() {
            let mut state = lock(&self.buffers.state);
            state.table.release(id);
            state.aborts.remove(&id);
        }
    }
}
