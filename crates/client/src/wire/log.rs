//! JSON documents of the log service.

use baobabreel_core::id::Offset;
use serde::{Deserialize, Serialize};

/// Answer to an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Appended {
    /// Generation of the log.
    pub generation: u64,
    /// Offset of the appended record.
    pub offset: Offset,
}

/// A record of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogRecord {
    /// Offset in the stream.
    pub offset: Offset,
    /// Time of the append in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// Text of the record.
    pub data: String,
}

/// Answer to a read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadPage {
    /// Generation of the log.
    pub generation: u64,
    /// First retained offset.
    pub first: Offset,
    /// Offset that the next append gets.
    pub next: Offset,
    /// Records from the requested offset onwards.
    pub records: Vec<LogRecord>,
}

/// Answer to a read below the retained range.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetainedRange {
    /// Generation of the log.
    pub generation: u64,
    /// First retained offset.
    pub first: Offset,
    /// Offset that the next append gets.
    pub next: Offset,
}
