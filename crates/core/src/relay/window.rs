//! The newest entries of a stream, kept for peers.

use std::collections::VecDeque;
use std::sync::Arc;

use crate::id::Offset;

/// Entries kept per stream.
pub const WINDOW_ENTRIES: usize = 1_024;
/// Bytes of entries kept per stream.
pub const WINDOW_BYTES: usize = 4 * 1024 * 1024;
/// Bytes of entries in one answer to a pull; a single larger entry is still sent.
pub const PULL_BYTES: usize = 512 * 1024;

/// Entries that follow each other in one stream. Without entries it is a heartbeat that tells the
/// next offset of the sender.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Batch {
    /// Generation of the log.
    pub generation: u64,
    /// Offset of the first entry or, without entries, of the next one.
    pub first: Offset,
    /// Texts of the entries.
    pub entries: Vec<Arc<str>>,
}

/// Result of receiving a batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReceiveOutcome {
    /// The last `entries` entries of the batch are new and were taken into the window; fold them.
    Applied {
        /// Offset of the first new entry.
        first: Offset,
        /// Number of new entries.
        entries: usize,
    },
    /// Nothing is new; do not pass the batch on.
    Duplicate,
    /// Entries are missing in between; pull from this offset.
    Gap {
        /// First missing offset.
        from: Offset,
    },
    /// The sender follows an older log; ignore the batch, the sender pulls by the digests of
    /// probes.
    OlderGeneration,
    /// The log was replaced; hold the state and fetch a snapshot of this generation.
    NewerGeneration {
        /// The newer generation.
        generation: u64,
    },
}

/// Asks for the entries from an offset on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pull {
    /// Generation of the log that the asker follows.
    pub generation: u64,
    /// First offset that the asker lacks.
    pub from: Offset,
}

/// Answers a [`Pull`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PullAnswer {
    /// Entries from the asked offset on; there may be more.
    Entries(Batch),
    /// The window starts after the asked offset; a snapshot is needed.
    TooOld {
        /// First offset of the window.
        first: Offset,
    },
    /// There is nothing newer here; an asker whose offset is higher is ahead.
    UpToDate {
        /// Next offset of this window.
        next: Offset,
    },
    /// This daemon follows another generation of the log.
    OtherGeneration {
        /// Its generation.
        generation: u64,
    },
}

/// Window of the newest entries of one stream.
#[derive(Debug, Clone)]
pub struct StreamWindow {
    generation: u64,
    next: Offset,
    entries: VecDeque<Arc<str>>,
    bytes: usize,
}

impl StreamWindow {
    /// An empty window; `next` is the first offset that is not known yet.
    #[must_use]
    pub fn new(generation: u64, next: Offset) -> Self {
        Self { generation, next, entries: VecDeque::new(), bytes: 0 }
    }

    /// Generation of the log.
    #[must_use]
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// First offset that is not known yet.
    #[must_use]
    pub fn next(&self) -> Offset {
        self.next
    }

    /// First offset in the window.
    #[must_use]
    pub fn first(&self) -> Offset {
        self.next - self.entries.len() as Offset
    }

    /// Bytes of all entries in the window.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Empties the window and continues after a snapshot, unless that would go back; returns
    /// whether it did.
    pub fn restart(&mut self, generation: u64, next: Offset) -> bool {
        let forward = (generation, next) > (self.generation, self.next);
        if forward {
            *self = Self::new(generation, next);
        }
        forward
    }

    /// Appends the new entries of a pushed or pulled batch.
    pub fn receive(&mut self, batch: &Batch) -> ReceiveOutcome {
        if batch.generation > self.generation {
            let generation = batch.generation;
            return ReceiveOutcome::NewerGeneration { generation };
        }
        if batch.generation < self.generation {
            return ReceiveOutcome::OlderGeneration;
        }
        let Some(known) = self.next.checked_sub(batch.first) else {
            return ReceiveOutcome::Gap { from: self.next };
        };
        let known = usize::try_from(known).unwrap_or(usize::MAX);
        let new = batch.entries.get(known..).unwrap_or_default();
        if new.is_empty() {
            return ReceiveOutcome::Duplicate;
        }
        let first = self.next;
        for entry in new {
            self.append(Arc::clone(entry));
        }
        ReceiveOutcome::Applied { first, entries: new.len() }
    }

    fn append(&mut self, entry: Arc<str>) {
        self.next += 1;
        self.bytes += entry.len();
        self.entries.push_back(entry);
        while self.entries.len() > WINDOW_ENTRIES || self.bytes > WINDOW_BYTES {
            let Some(oldest) = self.entries.pop_front() else {
                break;
            };
            self.bytes -= oldest.len();
        }
    }

    /// Answers a pull.
    #[must_use]
    pub fn answer(&self, pull: Pull) -> PullAnswer {
        if pull.generation != self.generation {
            let generation = self.generation;
            return PullAnswer::OtherGeneration { generation };
        }
        if pull.from >= self.next {
            return PullAnswer::UpToDate { next: self.next };
        }
        let first = self.first();
        if pull.from < first {
            return PullAnswer::TooOld { first };
        }
        let mut bytes = 0;
        let wanted = self.entries.iter().skip((pull.from - first) as usize);
        let entries = wanted.enumerate().take_while(|(index, entry)| {
            bytes += entry.len();
            *index == 0 || bytes <= PULL_BYTES
        });
        PullAnswer::Entries(Batch {
            generation: self.generation,
            first: pull.from,
            entries: entries.map(|(_, entry)| Arc::clone(entry)).collect(),
        })
    }
}
