//! Reads of the log.
//!
//! Only relays tail the log. Another daemon reads it once when the distribution actor asks for it,
//! and for snapshots when neither entries nor peers can help.

use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use baobabreel_client::log::ReadAnswer;
use baobabreel_client::transport::{is_timed_out, is_too_large};
use baobabreel_client::wire::Stream;
use baobabreel_core::retry::{Backoff, ReadSize};
use kameo::actor::ActorRef;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use super::distribution::{FromLog, NextOffset, SnapshotRead};
use super::{Distribution, snapshots};
use crate::context::Cx;
use crate::sync::lock;

/// Time that a long poll waits for a record; the age of the proof of the head follows from it.
const POLL_WAIT: Duration = Duration::from_secs(1);

/// Most records per read; 256 records of 64 KB or more exceed the largest answer.
const READ_LIMIT: usize = 256;

/// Time in which a read leaves time for twice as many records.
const QUICK_READ: Duration = Duration::from_secs(1);

/// Pause after a failed read, before jitter.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Longest pause between failed reads, before jitter.
const RETRY_PAUSE_MAX: Duration = Duration::from_secs(5);

/// Time in which a starting daemon with seeds waits for peers before it reads the log.
const PEERS_FIRST: Duration = Duration::from_millis(1_500);

/// Time between two looks at whether this daemon is a relay.
const IDLE_CHECK: Duration = Duration::from_millis(200);

/// Wish of the distribution actor.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FollowerHint {
    /// Read what is new in a stream, without waiting.
    ReadOnce(Stream),
}

/// Wishes of the distribution actor, and the last error of the log.
#[derive(Debug, Default)]
pub struct Follower {
    config: Notify,
    members: Notify,
    snapshot: AtomicBool,
    error: Mutex<Option<String>>,
}

impl Follower {
    /// Passes a wish on.
    pub fn hint(&self, hint: FollowerHint) {
        match hint {
            FollowerHint::ReadOnce(Stream::Config) => self.config.notify_one(),
            FollowerHint::ReadOnce(Stream::Members) => self.members.notify_one(),
        }
    }

    /// Asks for the newest snapshot in the log.
    pub fn need_snapshot(&self) {
        self.snapshot.store(true, Ordering::Release);
        self.config.notify_one();
    }

    /// Last error of the log, if the last read failed.
    pub fn error(&self) -> Option<String> {
        lock(&self.error).clone()
    }

    fn set_error(&self, error: Option<String>) {
        *lock(&self.error) = error;
    }

    fn hints(&self, stream: Stream) -> &Notify {
        match stream {
            Stream::Config => &self.config,
            Stream::Members => &self.members,
        }
    }
}

/// Follows both streams until `stop`.
pub async fn run(cx: Cx, distribution: ActorRef<Distribution>, stop: CancellationToken) {
    if !cx.settings.seeds.is_empty() {
        tokio::select! {
            () = stop.cancelled() => return,
            () = tokio::time::sleep(PEERS_FIRST) => {}
        }
    }
    tokio::select! {
        () = stop.cancelled() => {}
        () = follow(&cx, &distribution, Stream::Config) => {}
        () = follow(&cx, &distribution, Stream::Members) => {}
    }
}

async fn follow(cx: &Cx, distribution: &ActorRef<Distribution>, stream: Stream) {
    let mut backoff = Backoff::new(RETRY_PAUSE, RETRY_PAUSE_MAX);
    let mut size = ReadSize::new(READ_LIMIT);
    loop {
        let wait = if cx.is_relay() {
            POLL_WAIT
        } else {
            let hinted = tokio::time::timeout(IDLE_CHECK, cx.follower.hints(stream).notified());
            if hinted.await.is_err() {
                continue;
            }
            Duration::ZERO
        };
        if stream == Stream::Config && cx.follower.snapshot.swap(false, Ordering::AcqRel) {
            read_snapshot(cx, distribution).await;
        }
        let asked_at = cx.clock.now();
        let error = match read(cx, distribution, stream, size.limit(), wait).await {
            Ok(read) => {
                cx.follower.set_error(None);
                backoff.reset();
                size.on_answer(read.records, cx.clock.now() < asked_at + QUICK_READ);
                if read.more {
                    // A daemon that is no relay was asked for one read only.
                    cx.follower.hints(stream).notify_one();
                }
                continue;
            }
            Err(e) => e,
        };
        let shrunk = if is_too_large(&error) {
            size.on_too_large()
        } else {
            is_timed_out(&error) && size.on_timeout()
        };
        if shrunk {
            tracing::warn!(stream = stream.name(), limit = size.limit(), "reads fewer records");
            // A daemon that is no relay was asked for this read and would not repeat it.
            cx.follower.hints(stream).notify_one();
        }
        if !shrunk || is_timed_out(&error) {
            tracing::warn!(stream = stream.name(), error = format!("{error:#}"), "failed to read");
            cx.follower.set_error(Some(format!("{error:#}")));
            tokio::time::sleep(backoff.next_delay(rand::random())).await;
        }
    }
}

/// What one read brought.
struct Read {
    records: usize,
    /// Whether the log certainly has more.
    more: bool,
}

/// Reads once.
async fn read(
    cx: &Cx,
    distribution: &ActorRef<Distribution>,
    stream: Stream,
    limit: usize,
    wait: Duration,
) -> eyre::Result<Read> {
    let from = distribution.ask(NextOffset(stream)).await?;
    let requested_at = cx.clock.now();
    let answer = cx.log_client()?.read(stream.name(), from, limit, wait).await?;
    let records = match &answer {
        ReadAnswer::Page(page) => page.records.len(),
        ReadAnswer::Expired(_) => 0,
    };
    let more = distribution.ask(FromLog { stream, requested_at, answer }).await?;
    Ok(Read { records, more })
}

/// Reads the snapshot that the configuration goes on from.
async fn read_snapshot(cx: &Cx, distribution: &ActorRef<Distribution>) {
    // A replaced log starts for all readers from its first snapshot; otherwise the newest saves
    // the most entries.
    let replaced = cx.position().config.generation > 0;
    let read = if replaced { snapshots::oldest(cx).await } else { snapshots::newest(cx).await };
    match read {
        Ok(Some(record)) => {
            if distribution.ask(SnapshotRead(record.data)).await.is_err() {
                tracing::debug!("the distribution actor has stopped");
            }
        }
        Ok(None) => tracing::warn!("the log has no snapshot"),
        Err(e) => tracing::warn!(error = format!("{e:#}"), "failed to read a snapshot"),
    }
}
