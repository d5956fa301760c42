//! Streams of the log.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use serde::Serialize;

/// Record of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct StoredRecord {
    /// Offset in the stream, from 1.
    pub offset: u64,
    /// Time of the append, in milliseconds since 1970.
    pub time_ms: u64,
    /// Text of the record.
    pub data: String,
}

#[derive(Debug)]
struct Stream {
    next: u64,
    records: VecDeque<(Instant, StoredRecord)>,
}

impl Default for Stream {
    fn default() -> Self {
        Stream { next: 1, records: VecDeque::new() }
    }
}

impl Stream {
    fn first(&self) -> u64 {
        self.next - self.records.len() as u64
    }

    fn expire(&mut self, retention: Retention) {
        if let Some(count) = retention.count {
            while self.records.len() > count {
                self.records.pop_front();
            }
        }
        if let Some(age) = retention.age {
            while self.records.front().is_some_and(|(at, _)| at.elapsed() > age) {
                self.records.pop_front();
            }
        }
    }
}

/// Limits of what a stream retains.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Retention {
    pub(super) count: Option<usize>,
    pub(super) age: Option<Duration>,
}

/// What a read found.
#[derive(Debug, Serialize)]
pub(super) struct Page {
    pub(super) generation: u64,
    pub(super) first: u64,
    pub(super) next: u64,
    pub(super) records: Vec<StoredRecord>,
}

/// All streams of one generation.
#[derive(Debug)]
pub(super) struct Store {
    generation: u64,
    streams: BTreeMap<String, Stream>,
}

impl Store {
    pub(super) fn new() -> Self {
        Store { generation: 1, streams: BTreeMap::new() }
    }

    pub(super) fn generation(&self) -> u64 {
        self.generation
    }

    pub(super) fn replace(&mut self) -> u64 {
        self.streams.clear();
        self.generation += 1;
        self.generation
    }

    pub(super) fn append(&mut self, name: &str, data: String, retention: Retention) -> u64 {
        let stream = self.streams.entry(name.to_owned()).or_default();
        let offset = stream.next;
        let record = StoredRecord { offset, time_ms: now_ms(), data };
        stream.next += 1;
        stream.records.push_back((Instant::now(), record));
        stream.expire(retention);
        offset
    }

    pub(super) fn read(
        &mut self,
        name: &str,
        from: Option<u64>,
        limit: usize,
        retention: Retention,
    ) -> Page {
        let generation = self.generation;
        let Some(stream) = self.streams.get_mut(name) else {
            return Page { generation, first: 1, next: 1, records: Vec::new() };
        };
        stream.expire(retention);
        let (first, next) = (stream.first(), stream.next);
        let skip = from.unwrap_or(first).saturating_sub(first);
        let skip = usize::try_from(skip).unwrap_or(usize::MAX);
        let found = stream.records.iter().skip(skip).take(limit);
        let records = found.map(|(_, record)| record.clone()).collect();
        Page { generation, first, next, records }
    }
}

fn now_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |since| u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}
