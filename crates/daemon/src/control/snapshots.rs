//! Snapshots of the configuration in the log.
//!
//! Entries expire, so the state that they led to is appended in time. One daemon of the mesh has the
//! turn by rendezvous hash. Its choice is advisory: a second snapshot of the same version is the
//! same text, and readers compare it with their own state.

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

/// Stream of snapshots.
const SNAPSHOTS: &str = "snapshots";

/// Changes after which a snapshot is appended.
const SNAPSHOT_EVERY: Offset = 512;

/// Share of the log's retention after which a snapshot is appended without changes.
const RETENTION_PARTS: u32 = 3;

/// Time between two looks at whether a snapshot is due.
const CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// Time for the members to agree on the newest version before a replaced log is continued.
const SETTLE_TIME: Duration = Duration::from_secs(10);

/// Key of the rendezvous hash that gives the turn.
const TURN_KEY: &[u8] = b"snapshot";

/// State that a snapshot would be made from.
#[derive(Debug, kameo::Reply)]
pub(super) struct SnapshotPlan {
    version: Version,
    /// Generation of the log that waits to be continued, and for how long it has waited.
    waiting: Option<(u64, Duration)>,
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
        SnapshotPlan { version: self.state.version(), waiting: self.waiting_generation() }
    }
}

/// Asks for the text of a snapshot, continued in a generation if one is given.
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

/// Appends snapshots while this daemon has the turn, until `stop`.
pub async fn run(cx: Cx, distribution: ActorRef<Distribution>, stop: CancellationToken) {
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            () = tokio::time::sleep(CHECK_INTERVAL) => {}
        }
        if !has_turn(&cx) {
            continue;
        }
        if let Err(e) = append_if_due(&cx, &distribution).await {
            tracing::warn!(error = format!("{e:#}"), "failed to append a snapshot");
        }
    }
}

fn has_turn(cx: &Cx) -> bool {
    let members = cx.members.load();
    let ids = members.live().map(|member| member.id.as_str());
    cx.phase() == Phase::Serving
        && rendezvous::first(TURN_KEY, ids) == Some(cx.identity.id.as_str())
}

async fn append_if_due(cx: &Cx, distribution: &ActorRef<Distribution>) -> Result<()> {
    let plan = distribution.ask(PlanSnapshot).await?;
    if let Some((generation, waited)) = plan.waiting {
        if waited >= SETTLE_TIME && newest(cx).await?.is_none() {
            append(cx, distribution, Some(generation)).await?;
        }
        return Ok(());
    }
    if plan.version.offset == 0 {
        return Ok(());
    }
    let due = match newest(cx).await? {
        None => plan.version.offset >= SNAPSHOT_EVERY || is_old(cx, cx.clock.now()),
        Some(record) => {
            let known = Snapshot::decode(&record.data).map(|snapshot| snapshot.version);
            let behind = known.is_ok_and(|known| {
                known.generation == plan.version.generation
                    && plan.version.offset < known.offset + SNAPSHOT_EVERY
            });
            let age = cx.clock.wall().saturating_sub(Duration::from_millis(record.time_ms));
            // Readers compare the snapshots of others with their own state.
            distribution.ask(SnapshotRead(record.data)).await?;
            !behind || is_old(cx, age)
        }
    };
    if due {
        append(cx, distribution, None).await?;
    }
    Ok(())
}

fn is_old(cx: &Cx, age: Duration) -> bool {
    age >= cx.settings.log_retention().unwrap_or(Duration::MAX) / RETENTION_PARTS
}

async fn append(
    cx: &Cx,
    distribution: &ActorRef<Distribution>,
    generation: Option<u64>,
) -> Result<()> {
    let text = distribution.ask(MakeSnapshot(generation)).await?;
    let appended = cx.log_client()?.append(SNAPSHOTS, &text).await?;
    tracing::info!(bytes = text.len(), offset = appended.offset, "appended a snapshot");
    Ok(())
}

/// Newest snapshot of the log.
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

/// First kept snapshot of the log, which starts a new generation for all readers alike.
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
