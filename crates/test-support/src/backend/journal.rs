//! Journal of what really ran on a backend server.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::time::Instant;

use eyre::WrapErr;
use serde::{Deserialize, Serialize};

/// End of a request on the backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkResult {
    /// Waits for a slot or runs.
    Open,
    /// Ran to its end.
    Finished,
    /// Stopped by its caller, its deadline or the end of the backend server.
    Cancelled,
    /// Refused without running.
    Shed,
}

/// One request in the journal; times are in microseconds since the start of the backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournalEntry {
    /// Number of the entry, from 0.
    pub entry: usize,
    /// Header `x-request-id`.
    pub request_id: Option<String>,
    /// Header `idempotency-key`.
    pub idempotency_key: Option<String>,
    /// Path of the request.
    pub path: String,
    /// Time of arrival.
    pub arrived_us: u64,
    /// Time at which it got a slot; nothing ran without one.
    pub started_us: Option<u64>,
    /// Time of its end.
    pub ended_us: Option<u64>,
    /// How it ended.
    pub result: WorkResult,
}

impl JournalEntry {
    /// Whether the request ran, at least in part.
    pub fn ran(&self) -> bool {
        self.started_us.is_some()
    }
}

#[derive(Debug)]
pub(super) struct Journal {
    since: Instant,
    entries: Vec<JournalEntry>,
    file: Option<File>,
}

impl Journal {
    pub(super) fn new(path: Option<&Path>) -> eyre::Result<Self> {
        let open = |path: &Path| {
            File::create(path)
                .wrap_err_with(|| format!("failed to create the journal {}", path.display()))
        };
        let file = path.map(open).transpose()?;
        Ok(Journal { since: Instant::now(), entries: Vec::new(), file })
    }

    fn now_us(&self) -> u64 {
        u64::try_from(self.since.elapsed().as_micros()).unwrap_or(u64::MAX)
    }

    pub(super) fn arrive(
        &mut self,
        request_id: Option<String>,
        idempotency_key: Option<String>,
        path: String,
    ) -> usize {
        let entry = self.entries.len();
        self.entries.push(JournalEntry {
            entry,
            request_id,
            idempotency_key,
            path,
            arrived_us: self.now_us(),
            started_us: None,
            ended_us: None,
            result: WorkResult::Open,
        });
        entry
    }

    pub(super) fn start(&mut self, entry: usize) {
        self.entries[entry].started_us = Some(self.now_us());
        self.write(entry);
    }

    pub(super) fn end(&mut self, entry: usize, result: WorkResult) {
        self.entries[entry].ended_us = Some(self.now_us());
        self.entries[entry].result = result;
        self.write(entry);
    }

    pub(super) fn entries(&self) -> &[JournalEntry] {
        &self.entries
    }

    /// Journal as JSON lines.
    pub(super) fn lines(&self) -> Vec<u8> {
        self.entries.iter().flat_map(line).collect()
    }

    fn write(&mut self, entry: usize) {
        if let Some(file) = &mut self.file {
            let line = line(&self.entries[entry]);
            file.write_all(&line).expect("failed to write to the journal file");
        }
    }
}

fn line(entry: &JournalEntry) -> Vec<u8> {
    let mut line = serde_json::to_vec(entry).expect("journal entries are plain JSON values");
    line.push(b'\n');
    line
}

/// Reads a journal in the form of JSON lines; the last line of an entry number counts, and a last
/// line that a kill left incomplete is left out.
///
/// # Errors
/// A complete line is not a journal entry.
pub fn parse_journal(text: &str) -> eyre::Result<Vec<JournalEntry>> {
    let complete = text.rfind('\n').map_or("", |end| &text[..end]);
    let mut entries = std::collections::BTreeMap::new();
    for line in complete.lines() {
        let entry: JournalEntry = serde_json::from_str(line)
            .wrap_err_with(|| format!("failed to read journal line {line:?}"))?;
        entries.insert(entry.entry, entry);
    }
    Ok(entries.into_values().collect())
}
