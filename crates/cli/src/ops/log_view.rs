//! The log's configuration stream, read and folded.

use baobabreel_client::log::ReadAnswer;
use baobabreel_client::wire::{LogRecord, RetainedRange};
use baobabreel_core::config::{
    ConfigState, Entry, FoldError, MAX_SCHEMA, Snapshot, Verdict, Version,
};
use baobabreel_core::id::Offset;
use baobabreel_core::registry::FIRST_GENERATION;
use eyre::{Result, bail, eyre};

use crate::context::{Context, Log};
use crate::report::{Exit, Failure, OrExit};

/// Stream of configuration entries.
pub(super) const CONFIG: &str = "config";
const SNAPSHOTS: &str = "snapshots";
/// Records asked for at once. The client refuses answers over 16 MiB, and an entry has up to
/// 256 KiB, at most twice that as text inside JSON when it has no control characters.
const PAGE: usize = 32;

/// An entry that was folded.
#[derive(Debug)]
pub(super) struct Folded {
    pub(super) record: LogRecord,
    /// Absent when the record is malformed.
    pub(super) entry: Option<Entry>,
    pub(super) verdict: Verdict,
}

/// The fold over the log together with its entries.
#[derive(Debug)]
pub(super) struct LogView {
    /// State that the entries start from.
    pub(super) base: ConfigState,
    pub(super) state: ConfigState,
    pub(super) entries: Vec<Folded>,
}

/// The log, which the command needs.
pub(super) fn log_of<L, D>(cx: &Context<L, D>) -> Result<&L, Failure> {
    let missing = || eyre!("`--log URL` is needed");
    cx.log.as_ref().ok_or_else(missing).or_exit(Exit::Usage)
}

impl LogView {
    /// Reads the whole log, from a snapshot when its start is no longer retained.
    ///
    /// A log that cannot be read is unreachable; one with entries that are beyond this release is
    /// invalid for it.
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
        let (generation, first) = match log.read(CONFIG, 1, 1).await? {
            ReadAnswer::Page(page) => (page.generation, page.first),
            ReadAnswer::Expired(RetainedRange { generation, first, .. }) => (generation, first),
        };
        let base = if generation > FIRST_GENERATION || first > 1 {
            from_snapshot(log, generation).await?
        } else {
            ConfigState::new(generation)
        };
        let mut view = Self { state: base.clone(), base, entries: Vec::new() };
        view.advance(log).await?;
        Ok(view)
    }

    /// Folds the entries that were appended since.
    pub(super) async fn advance(&mut self, log: &impl Log) -> Result<()> {
        loop {
            let version = self.state.version();
            let answer = log.read(CONFIG, version.offset + 1, PAGE).await?;
            let ReadAnswer::Page(page) = answer else {
                bail!("failed to follow the log: the entry after {version} is no longer retained");
            };
            if page.generation != version.generation {
                bail!(
                    "failed to follow the log: it was replaced, its generation is {}",
                    page.generation
                );
            }
            for record in page.records {
                let verdict = self.state.fold(record.offset, &record.data)?;
                let entry = Entry::parse(&record.data).ok();
                self.entries.push(Folded { record, entry, verdict });
            }
            if self.state.version().offset + 1 >= page.next {
                return Ok(());
            }
        }
    }

    /// First verdict on a change id, with its texts as long as the log retains the entry.
    pub(super) fn verdict_of(&self, change_id: &str) -> Option<&Verdict> {
        let of_id =
            |folded: &&Folded| folded.entry.as_ref().is_some_and(|e| e.change_id() == change_id);
        let found = self.entries.iter().find(of_id);
        let found = found.map(|folded| folded.verdict.first());
        found.or_else(|| self.state.verdict_of(change_id))
    }

    /// State at an earlier version.
    pub(super) fn state_at(&self, version: Version) -> Result<ConfigState> {
        let mut state = self.base.clone();
        let (first, last) = (state.version(), self.state.version());
        if version < first || version > last {
            bail!("failed to go to version {version}: the log has {first} to {last}");
        }
        for entry in &self.entries {
            if entry.record.offset <= version.offset {
                state.fold(entry.record.offset, &entry.record.data)?;
            }
        }
        Ok(state)
    }
}

/// Starts from the newest snapshot that belongs to the log's generation.
async fn from_snapshot(log: &impl Log, generation: u64) -> Result<ConfigState> {
    let (first, next) = match log.read(SNAPSHOTS, 1, 1).await? {
        ReadAnswer::Page(page) => (page.first, page.next),
        ReadAnswer::Expired(retained) => (retained.first, retained.next),
    };
    for offset in (first..next).rev() {
        if let Some(state) = snapshot_at(log, offset, generation).await? {
            return Ok(state);
        }
    }
    bail!("failed to start: log generation {generation} has no snapshot that can be used")
}

async fn snapshot_at(
    log: &impl Log,
    offset: Offset,
    generation: u64,
) -> Result<Option<ConfigState>> {
    let ReadAnswer::Page(mut page) = log.read(SNAPSHOTS, offset, 1).await? else {
        return Ok(None);
    };
    let opened = page.records.pop().map(|r| Snapshot::decode(&r.data));
    let Some(Ok(snapshot)) = opened else {
        return Ok(None);
    };
    if snapshot.version.generation != generation {
        return Ok(None);
    }
    Ok(Some(ConfigState::restore(snapshot, MAX_SCHEMA)?))
}
