//! Holders of the buffers, and whose are taken back.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::lag::{ClientLag, HolderId, choose_lagging};

/// Part of the memory of the instance that all buffers of a table take: 1 in this number.
const MEMORY_SHARE: u64 = 16;

/// Memory of a buffer, in bytes: what has been read of a body, the part that is handed over, and the part that is being
/// written, each of at most 64 KiB.
const BUFFER_BYTES: u64 = 3 * 64 * 1024;

/// Memory of the instance where it is not known, in bytes.
const DEFAULT_MEMORY_BYTES: u64 = 512 << 20;

/// Buffers in use, and how many bodies wait for one.
#[derive(Debug)]
pub struct BufferTable {
    count: usize,
    holders: BTreeMap<HolderId, ClientLag>,
    next_id: HolderId,
    waiting: usize,
}

impl BufferTable {
    /// Buffers of an instance with so many bytes of memory, if that is known; none is in use.
    #[must_use]
    pub fn new(memory_bytes: Option<u64>) -> Self {
        let memory = memory_bytes.unwrap_or(DEFAULT_MEMORY_BYTES);
        let count = usize::try_from(memory / MEMORY_SHARE / BUFFER_BYTES).unwrap_or(usize::MAX);
        Self { count: count.max(1), holders: BTreeMap::new(), next_id: 0, waiting: 0 }
    }

    /// Number of buffers.
    #[must_use]
    pub fn count(&self) -> usize {
        self.count
    }

    /// Takes a buffer, if one is free.
    pub fn take(&mut self) -> Option<HolderId> {
        if self.holders.len() >= self.count {
            return None;
        }
        let id = self.next_id;
        self.next_id += 1;
        self.holders.insert(id, ClientLag::default());
        Some(id)
    }

    /// Records that a holder needs its buffer no more.
    pub fn release(&mut self, id: HolderId) {
        self.holders.remove(&id);
    }

    /// Bodies that wait for a buffer.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Whether so many bodies wait that a request which can still be refused should be. More than one for each buffer
    /// would only hold connections that others need.
    #[must_use]
    pub fn is_crowded(&self) -> bool {
        self.waiting > self.count
    }

    /// Records that a body begins to wait for a buffer.
    pub fn begin_wait(&mut self) {
        self.waiting += 1;
    }

    /// Records that a body waits no more.
    pub fn end_wait(&mut self) {
        self.waiting -= 1;
    }

    /// Records that the client of a holder is waited for from now on.
    pub fn wait(&mut self, id: HolderId, now: Duration) {
        if let Some(lag) = self.holders.get_mut(&id) {
            lag.wait(now);
        }
    }

    /// Records that the client of a holder sent or took so many bytes, and is not waited for any more.
    pub fn record_progress(&mut self, id: HolderId, bytes: u64, now: Duration) {
        if let Some(lag) = self.holders.get_mut(&id) {
            lag.record_progress(bytes, now);
        }
    }

    /// Holders whose buffers are taken back for the bodies that wait, the ones that lag most first. They hold them until
    /// they are released.
    #[must_use]
    pub fn choose_lagging(&self, now: Duration) -> Vec<HolderId> {
        let lags = self.holders.iter().map(|(id, lag)| (*id, lag.at(now)));
        choose_lagging(self.count, self.waiting, lags)
    }
}
