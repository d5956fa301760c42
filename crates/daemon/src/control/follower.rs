//! Reads the log for the distribution actor.
//!
//! Only relays follow the log continuously. Other daemons read it once when the distribution actor requests
//! it, and read snapshots from it when they cannot continue with entries from the log or from peers.

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

use super::distribution::{LogRead, NextOffset, SnapshotRead};
use super::{Distribution, snapshots};
use crate::context::Cx;
use crate::sync::lock;

/// Time that a long poll waits for a record. It determines the age of the proof of the head.
const POLL_WAIT: Duration = Duration::from_secs(1);

/// Maximum number of records per read. 256 records of 64 KB or more exceed the largest answer.
const READ_LIMIT: usize = 256;

/// Time within which a read is quick enough to request twice as many records next time.
const QUICK_READ: Duration = Duration::from_secs(1);

/// Pause after a failed read, before jitter.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Longest pause between failed reads, before jitter.
const RETRY_PAUSE_MAX: Duration = Duration::from_secs(5);

/// Time that a starting daemon with seeds waits for its peers before it reads the log.
const PEERS_FIRST_WAIT: Duration = Duration::from_millis(1_500);

/// Time between two checks of whether this daemon has become a relay.
const RELAY_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Request of the distribution actor.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FollowerRequest {
    /// Read new entries of a stream once, without waiting for more.
    ReadOnce(Stream),
}

/// Pending requests of the distribution actor, and the last error of the log.
#[derive(Debug, Default)]
pub struct Follower {
    config: Notify,
    members: Notify,
    snapshot: AtomicBool,
    error: Mutex<Option<String>>,
}

impl Follower {
    /// Passes a request to the task that reads the stream.
    pub fn request(&self, request: FollowerRequest) {
        match request {
            FollowerRequest::ReadOnce(Stream::Config) => self.config.notify_one(),
            FollowerRequest::ReadOnce(Stream::Members) => self.members.notify_one(),
        }
    }

    /// Requests a read of the snapshot to continue from.
    pub fn request_snapshot(&self) {
        self.snapshot.store(true, Ordering::Release);
        self.config.notify_one();
    }

    /// Error of the last read of the log, if it failed.
    pub fn error(&self) -> Option<String> {
        lock(&self.error).clone()
    }

    fn set_error(&self, error: Option<String>) {
        *lock(&self.error) = error;
    }

    fn requests(&self, stream: Stream) -> &Notify {
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
            () = tokio::time::sleep(PEERS_FIRST_WAIT) => {}
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
            let requested =
                tokio::time::timeout(RELAY_CHECK_INTERVAL, cx.follower.requests(stream).notified());
            if requested.await.is_err() {
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
                    // A daemon that is not a relay was asked for one read only, so it requests the
                    // next one itself.
                    cx.follower.requests(stream).notify_one();
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
            tracing::warn!(
                stream = stream.name(),
                limit = size.limit(),
                "reading fewer records at a time from the log"
            );
            // A daemon that is not a relay was asked for this read and would not repeat it otherwise.
            cx.follower.requests(stream).notify_one();
        }
        if !shrunk || is_timed_out(&error) {
            tracing::warn!(
                stream = stream.name(),
                error = format!("{error:#}"),
                "failed to read a stream of the log"
            );
            cx.follower.set_error(Some(format!("{error:#}")));
            tokio::time::sleep(backoff.next_delay(rand::random())).await;
        }
    }
}

/// Result of one read.
struct ReadResult {
    records: usize,
    /// Whether the log is known to have more records.
    more: bool,
}

/// Reads a stream once and passes the answer to the distribution actor.
async fn read(
    cx: &Cx,
    distribution: &ActorRef<Distribution>,
    stream: Stream,
    limit: usize,
    wait: Duration,
) -> eyre::Result<ReadResult> {
    let from = distribution.ask(NextOffset(stream)).await?;
    let requested_at = cx.clock.now();
    let answer = cx.log_client()?.read(stream.name(), from, limit, wait).await?;
    let records = match &answer {
        ReadAnswer::Page(page) => page.records.len(),
        ReadAnswer::Expired(_) => 0,
    };
    let more = distribution.ask(LogRead { stream, requested_at, answer }).await?;
    Ok(ReadResult { records, more })
}

/// Reads the snapshot from which the configuration continues.
async fn read_snapshot(cx: &Cx, distribution: &ActorRef<Distribution>) {
    // All readers of a replaced log must start from its first snapshot. Otherwise, the newest one leaves
    // the fewest entries to fold.
    let replaced = cx.position().config.generation > 0;
    let read = if replaced { snapshots::oldest(cx).await } else { snapshots::newest(cx).await };
    match read {
        Ok(Some(record)) => {
            if distribution.ask(SnapshotRead(record.data)).await.is_err() {
                tracing::debug!("the distribution actor has stopped");
            }
        }
        Ok(None) => tracing::warn!("the log has no snapshot to continue from"),
        Err(e) => {
            tracing::warn!(error = format!("{e:#}"), "failed to read a snapshot from the log")
        }
    }
}
