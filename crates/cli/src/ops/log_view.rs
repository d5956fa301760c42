//! The configuration stream of the log, read and folded into a configuration state.

use baobabreel_client::log::ReadAnswer;
use baobabreel_client::wire::{LogRecord, RetainedRange};
use baobabreel_core::config::{
    ConfigState, Entry, FoldError, MAX_SCHEMA, Snapshot, Verdict, Version,
};
use baobabreel_core::id::Offset;
use baobabreel_core::registry::FIRST_GENERATION;
use eyre::{Result, bail, eyre};

use crate::context::{Context, Log};
use crate::report::{Exit, Failure, WithExit};

/// Log stream of the configuration entries.
pub(super) const CONFIG_STREAM: &str = "config";
/// Log stream of the configuration snapshots.
const SNAPSHOT_STREAM: &str = "snapshots";
/// Maximum records per read. The client rejects answers over 16 MiB. An entry has up to 256 KiB,
/// which JSON escaping at most doubles if it has no control characters.
const MAX_PAGE_RECORDS: usize = 32;

/// A log entry together with its verdict.
#[derive(Debug)]
pub(super) struct FoldedEntry {
    pub(super) record: LogRecord,
    /// `None` if the record is malformed.
    pub(super) entry: Option<Entry>,
    pub(super) verdict: Verdict,
}

/// Configuration state at the end of the log, with the entries that lead to it.
#[derive(Debug)]
pub(super) struct LogView {
    /// State before the first of `entries`.
    pub(super) base: ConfigState,
    pub(super) state: ConfigState,
    pub(super) entries: Vec<FoldedEntry>,
}

/// Returns the log, or a usage failure if no address is given.
pub(super) fn require_log<L, D>(cx: &Context<L, D>) -> Result<&L, Failure> {
    let missing = || eyre!("`--log URL` is required");
    cx.log.as_ref().ok_or_else(missing).with_exit(Exit::Usage)
}

impl LogView {
    /// Reads the whole log, starting from a snapshot if its first entries are no longer retained.
    ///
    /// Fails with [`Exit::Rejected`] if this release does not support an entry, otherwise with
    /// [`Exit::Unreachable`].
    pub(super) async fn load(log: &impl Log) -> Result<Self, Failure> {
        Self::read(log).await.map_err(|report| Failure {
            exit: match report.downcast_ref() {
                Some(FoldError::Unsupported { .. }) => Exit::Rejected,
                _ => Exit::Unreachable,
            },
            report,
        })
    }

    async fn read(log: &impl Log) -> Result<Self> {
        let (generation, first) = match log.read(CONFIG_STREAM, 1, 1).await? {
            ReadAnswer::Page(page) => (page.generation, page.first),
            ReadAnswer::Expired(RetainedRange { generation, first, .. }) => (generation, first),
        };
        let base = if generation > FIRST_GENERATION || first > 1 {
            load_newest_snapshot(log, generation).await?
        } else {
            ConfigState::new(generation)
        };
        let mut view = Self { state: base.clone(), base, entries: Vec::new() };
        view.advance(log).await?;
        Ok(view)
    }

    /// Reads and folds the entries that were appended since the last read.
    pub(super) async fn advance(&mut self, log: &impl Log) -> Result<()> {
        loop {
            let version = self.state.version();
            let answer = log.read(CONFIG_STREAM, version.offset + 1, MAX_PAGE_RECORDS).await?;
            let ReadAnswer::Page(page) = answer else {
                bail!("failed to follow the log: the entry after {version} is no longer retained");
            };
            if page.generation != version.generation {
                bail!(
                    "failed to follow the log: it was replaced by generation {}",
                    page.generation
                );
            }
            for record in page.records {
                let verdict = self.state.fold(record.offset, &record.data)?;
                let entry = Entry::parse(&record.data).ok();
                self.entries.push(FoldedEntry { record, entry, verdict });
            }
            if self.state.version().offset + 1 >= page.next {
                return Ok(());
            }
        }
    }

    /// Returns the first verdict on a change id.
    ///
    /// Its `detail` texts are empty once the log no longer retains the entry.
    pub(super) fn verdict_of(&self, change_id: &str) -> Option<&Verdict> {
        let has_change_id = |folded: &&FoldedEntry| {
            folded.entry.as_ref().is_some_and(|e| e.change_id() == change_id)
        };
        let found = self.entries.iter().find(has_change_id);
        let found = found.map(|folded| folded.verdict.first());
        found.or_else(|| self.state.verdict_of(change_id))
    }

    /// Returns the state at an earlier version.
    ///
    /// Fails if the log does not cover the version.
    pub(super) fn state_at(&self, version: Version) -> Result<ConfigState> {
        let mut state = self.base.clone();
        let (first, last) = (state.version(), self.state.version());
        if version < first || version > last {
            bail!("failed to load version {version}: the log covers {first} to {last}");
        }
        for entry in &self.entries {
            if entry.record.offset <= version.offset {
                state.fold(entry.record.offset, &entry.record.data)?;
            }
        }
        Ok(state)
    }
}

/// Loads the newest usable snapshot of the given log generation.
async fn load_newest_snapshot(log: &impl Log, generation: u64) -> Result<ConfigState> {
    let (first, next) = match log.read(SNAPSHOT_STREAM, 1, 1).await? {
        ReadAnswer::Page(page) => (page.first, page.next),
        ReadAnswer::Expired(retained) => (retained.first, retained.next),
    };
    for offset in (first..next).rev() {
        if let Some(state) = load_snapshot(log, offset, generation).await? {
            return Ok(state);
        }
    }
    bail!("failed to read the log: generation {generation} has no usable snapshot")
}

/// Returns the state of the snapshot at `offset`, or `None` if the snapshot is missing, damaged or
/// of another generation.
async fn load_snapshot(
    log: &impl Log,
    offset: Offset,
    generation: u64,
) -> Result<Option<ConfigState>> {
    let ReadAnswer::Page(mut page) = log.read(SNAPSHOT_STREAM, offset, 1).await? else {
        return Ok(None);
    };
    let decoded = page.records.pop().map(|r| Snapshot::decode(&r.data));
    let Some(Ok(snapshot)) = decoded else {
        return Ok(None);
    };
    if snapshot.version.generation != generation {
        return Ok(None);
    }
    Ok(Some(ConfigState::restore(snapshot, MAX_SCHEMA)?))
}
