//! Snapshots of the configuration in the log.
//!
//! Entries expire, so a snapshot of the state that they produced is appended before that. Rendezvous
//! hashing selects the daemon of the mesh that appends it. The selection is advisory: a second snapshot of
//! the same version has the same text, and readers compare it with their own state.

use std::time::Duration;

use baobabreel_client::log::ReadAnswer;
use baobabreel_client::wire::LogRecord;
use baobabreel_core::config::{Snapshot, Version};
use baobabreel_core::id::Offset;
use baobabreel_core::rendezvous;
use eyre::Result;
use kameo::actor::ActorRef;
use kameo::message::{Context as MessageContext, Message};
use tokio_util::sync::CancellationToken;

use super::distribution::{Distribution, SnapshotRead};
use crate::context::{Cx, Phase};

/// Stream of the log that holds the snapshots.
const SNAPSHOTS: &str = "snapshots";

/// Number of changes after which a snapshot is appended.
const CHANGES_PER_SNAPSHOT: Offset = 512;

/// Divisor of the log's retention time that gives the age at which a snapshot is appended even without
/// changes.
const RETENTION_DIVISOR: u32 = 3;

/// Time between two checks of whether a snapshot is due.
const CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// Time for the members to agree on the newest version before a replaced log is continued.
const SETTLE_TIME: Duration = Duration::from_secs(10);

/// Key of the rendezvous hash that selects the daemon that appends.
const SELECTION_KEY: &[u8] = b"snapshot";

/// State from which a snapshot would be made.
#[derive(Debug, kameo::Reply)]
pub(super) struct SnapshotPlan {
    version: Version,
    /// Generation of a replaced log that no snapshot continues yet, and the time since it was noticed.
    pending: Option<(u64, Duration)>,
}

/// Asks for a [`SnapshotPlan`].
pub(super) struct PlanSnapshot;

impl Message<PlanSnapshot> for Distribution {
    type Reply = SnapshotPlan;

    async fn handle(
        &mut self,
        _: PlanSnapshot,
        _: &mut MessageContext<Self, Self::Reply>,
    ) -> SnapshotPlan {
        SnapshotPlan { version: self.state.version(), pending: self.pending_generation() }
    }
}

/// Asks for the text of a snapshot, which continues in the given generation of the log if there is one.
pub(super) struct MakeSnapshot(Option<u64>);

impl Message<MakeSnapshot> for Distribution {
    type Reply = String;

    async fn handle(
        &mut self,
        msg: MakeSnapshot,
        _: &mut MessageContext<Self, Self::Reply>,
    ) -> String {
        let snapshot = self.state.snapshot();
        match msg.0 {
            Some(generation) => snapshot.continue_in(generation).encode(),
            None => snapshot.encode(),
        }
    }
}

/// Appends snapshots while this daemon is selected to do so, until `stop`.
pub async fn run(cx: Cx, distribution: ActorRef<Distribution>, stop: CancellationToken) {
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            () = tokio::time::sleep(CHECK_INTERVAL) => {}
        }
        if !is_selected(&cx) {
            continue;
        }
        if let Err(e) = append_if_due(&cx, &distribution).await {
            tracing::warn!(error = format!("{e:#}"), "failed to append a snapshot to the log");
        }
    }
}

/// Whether this daemon serves and is the one selected to append snapshots.
fn is_selected(cx: &Cx) -> bool {
    let members = cx.members.load();
    let ids = members.live().map(|member| member.id.as_str());
    cx.phase() == Phase::Serving
        && rendezvous::first(SELECTION_KEY, ids) == Some(cx.identity.id.as_str())
}

async fn append_if_due(cx: &Cx, distribution: &ActorRef<Distribution>) -> Result<()> {
    let plan = distribution.ask(PlanSnapshot).await?;
    if let Some((generation, waited)) = plan.pending {
        if waited >= SETTLE_TIME && newest(cx).await?.is_none() {
            append(cx, distribution, Some(generation)).await?;
        }
        return Ok(());
    }
    if plan.version.offset == 0 {
        return Ok(());
    }
    let due = match newest(cx).await? {
        None => plan.version.offset >= CHANGES_PER_SNAPSHOT || is_due_by_age(cx, cx.clock.now()),
        Some(record) => {
            let known = Snapshot::decode(&record.data).map(|snapshot| snapshot.version);
            let is_recent = known.is_ok_and(|known| {
                known.generation == plan.version.generation
                    && plan.version.offset < known.offset + CHANGES_PER_SNAPSHOT
            });
            let age = cx.clock.wall().saturating_sub(Duration::from_millis(record.time_ms));
            // Lets the actor compare the snapshot, which another daemon may have appended, with its state.
            distribution.ask(SnapshotRead(record.data)).await?;
            !is_recent || is_due_by_age(cx, age)
        }
    };
    if due {
        append(cx, distribution, None).await?;
    }
    Ok(())
}

/// Whether `age` is the share of the log's retention time after which a snapshot is appended.
fn is_due_by_age(cx: &Cx, age: Duration) -> bool {
    age >= cx.settings.log_retention().unwrap_or(Duration::MAX) / RETENTION_DIVISOR
}

async fn append(
    cx: &Cx,
    distribution: &ActorRef<Distribution>,
    generation: Option<u64>,
) -> Result<()> {
    let text = distribution.ask(MakeSnapshot(generation)).await?;
    let appended = cx.log_client()?.append(SNAPSHOTS, &text).await?;
    tracing::info!(bytes = text.len(), offset = appended.offset, "appended a snapshot to the log");
    Ok(())
}

/// Returns the newest snapshot in the log.
///
/// # Errors
///
/// The log cannot be read.
pub async fn newest(cx: &Cx) -> Result<Option<LogRecord>> {
    let (first, next) = bounds(cx).await?;
    if first >= next {
        return Ok(None);
    }
    read_at(cx, next - 1).await
}

/// Returns the oldest retained snapshot in the log, from which all readers start a new generation.
///
/// # Errors
///
/// The log cannot be read.
pub async fn oldest(cx: &Cx) -> Result<Option<LogRecord>> {
    let (first, next) = bounds(cx).await?;
    if first >= next {
        return Ok(None);
    }
    read_at(cx, first).await
}

/// Returns the first retained offset and the next offset of the stream of snapshots.
async fn bounds(cx: &Cx) -> Result<(Offset, Offset)> {
    Ok(match cx.log_client()?.read(SNAPSHOTS, 1, 1, Duration::ZERO).await? {
        ReadAnswer::Page(page) => (page.first, page.next),
        ReadAnswer::Expired(retained) => (retained.first, retained.next),
    })
}

async fn read_at(cx: &Cx, offset: Offset) -> Result<Option<LogRecord>> {
    match cx.log_client()?.read(SNAPSHOTS, offset, 1, Duration::ZERO).await? {
        ReadAnswer::Page(mut page) => Ok(page.records.pop()),
        ReadAnswer::Expired(_) => Ok(None),
    }
}
