//! One stream as a daemon follows it.

use std::time::Duration;

use baobabreel_core::config::Version;
use baobabreel_core::id::Offset;
use baobabreel_core::relay::{Batch, Confirmation, Staleness, StreamWindow};

/// Window, proof of the head, and silence of one stream.
#[derive(Debug)]
pub struct Followed {
    /// Newest entries.
    pub window: StreamWindow,
    /// Newest proof of the head.
    pub confirmation: Confirmation,
    /// Whether there was news.
    pub staleness: Staleness,
}

impl Followed {
    /// Starts without any entry and without a generation.
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

    /// Whether no entry and no generation is known.
    #[must_use]
    pub fn is_blank(&self) -> bool {
        self.window.generation() == 0
    }

    /// A batch without entries, or with those from `first` on.
    #[must_use]
    pub fn batch(&self, first: Offset, entries: &[std::sync::Arc<str>]) -> Batch {
        Batch { generation: self.window.generation(), first, entries: entries.to_vec() }
    }

    /// A batch that only tells where this daemon stands.
    #[must_use]
    pub fn heartbeat(&self) -> Batch {
        self.batch(self.window.next(), &[])
    }
}
