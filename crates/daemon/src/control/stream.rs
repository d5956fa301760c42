//! State of one stream of the log that a daemon follows.

use std::time::Duration;

use baobabreel_core::config::Version;
use baobabreel_core::id::Offset;
use baobabreel_core::relay::{Batch, Confirmation, Staleness, StreamWindow};

/// Newest entries of one stream, proof of how far the log had got, and time without news.
#[derive(Debug)]
pub struct FollowedStream {
    /// Newest entries.
    pub window: StreamWindow,
    /// Newest proof of the head, the offset that the log had reached.
    pub confirmation: Confirmation,
    /// Detects that nothing has been received for too long.
    pub staleness: Staleness,
}

impl FollowedStream {
    /// Creates a stream without entries or a generation.
    #[must_use]
    pub fn new(now: Duration) -> Self {
        Self {
            window: StreamWindow::new(0, 1),
            confirmation: Confirmation::default(),
            staleness: Staleness::new(now),
        }
    }

    /// Version of the last entry.
    #[must_use]
    pub fn version(&self) -> Version {
        Version { generation: self.window.generation(), offset: self.window.next() - 1 }
    }

    /// Whether neither an entry nor a generation is known.
    #[must_use]
    pub fn is_uninitialized(&self) -> bool {
        self.window.generation() == 0
    }

    /// Returns a batch of `entries` that starts at offset `first`; `entries` may be empty.
    #[must_use]
    pub fn batch(&self, first: Offset, entries: &[std::sync::Arc<str>]) -> Batch {
        Batch { generation: self.window.generation(), first, entries: entries.to_vec() }
    }

    /// Returns a batch without entries, which only tells the next offset of this daemon.
    #[must_use]
    pub fn heartbeat(&self) -> Batch {
        self.batch(self.window.next(), &[])
    }
}
