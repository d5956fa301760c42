//! What the connections of callers hold, and the actions of their budget: wait, refuse, close.

use std::collections::BTreeMap;
use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use baobabreel_core::callers::{CallerBudget, CallerLimits, ConnectionId};
use futures_util::FutureExt;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::context::{Clock, Cx};
use crate::proxy::STREAMED_BYTES;
use crate::settings::Limits;
use crate::sync::lock;
use crate::telemetry::{Flow, LogLineKind, Meter};

/// Part of the memory of the instance that callers may hold. The rest is for the daemon itself (about 12 MB), calls of
/// other daemons, buffers of the HTTP library, and what the allocator cannot reuse.
pub const MEMORY_SHARE: u64 = 4;

/// Part of the total that the heads which wait on an HTTP/2 connection may hold: 1 in this number.
const HTTP2_SHARE: u64 = 8;

/// Total where the memory of the instance is not known, in bytes; as for an instance of 512 MB.
pub const DEFAULT_TOTAL_BYTES: u64 = 128 << 20;

/// Header sections are read up to this multiple of their limit, so that the daemon can answer one that
/// is too large with one of its defined errors.
pub const HEADER_READ_FACTOR: usize = 2;

/// Bytes of a body or a response that one request holds in memory.
pub const BUFFER_BYTES: u64 = 64 * 1024;

/// Memory of a request without its head, its body and its task, in bytes.
const REQUEST_BYTES: u64 = 4 * 1024;

/// Most that a request and its task hold without its head and its body, in bytes.
const MAX_TASK_BYTES: u64 = 64 * 1024;

/// Most that a response holds, in bytes: up to 64 KiB that were buffered, and the rest as it arrives.
const MAX_RESPONSE_BYTES: u64 = BUFFER_BYTES + STREAMED_BYTES;

/// Limit on callers that acted, for metrics and log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallerLimit {
    /// The next request of a connection was not read for now.
    Paused,
    /// A request was refused.
    Refused,
    /// A connection was closed because it held most.
    Closed,
    /// An idle connection was closed in favour of others.
    IdleClosed,
    /// A connection whose caller lagged was closed in favour of others.
    LaggingClosed,
    /// A slot, a connection to another daemon or a buffer was taken back, as its client lagged while others waited.
    TakenBack,
}

impl CallerLimit {
    /// Name in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Paused => "paused",
            Self::Refused => "refused",
            Self::Closed => "closed",
            Self::IdleClosed => "idle_closed",
            Self::LaggingClosed => "lagging_closed",
            Self::TakenBack => "taken_back",
        }
    }
}

#[derive(Debug)]
struct State {
    budget: CallerBudget,
    connections: BTreeMap<ConnectionId, (CancellationToken, CancellationToken)>,
}

/// Connections of callers and what they hold.
#[derive(Debug)]
pub struct Callers {
    state: Mutex<State>,
    clock: Clock,
    /// Memory of the requests that wait to be read, in bytes.
    waiting_bytes: AtomicU64,
    /// Limits of an HTTP/2 connection.
    pub http2: Http2Limits,
    /// Most connections.
    pub connections: usize,
}

/// Limits of an HTTP/2 connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Http2Limits {
    /// Most concurrent streams.
    pub streams: u32,
    /// Receive window of the connection, in bytes; limits the bodies that are buffered while their requests wait.
    pub window: u32,
    /// Memory of the requests that wait on all connections from which on no more are received, in bytes.
    pub waiting_bytes: u64,
}

impl Http2Limits {
    /// Limits with which the heads and bodies that wait on a connection fit into a part of the total.
    fn new(total: u64, header_bytes: usize) -> Self {
        let part = total / HTTP2_SHARE;
        let streams = part / (HEADER_READ_FACTOR * header_bytes) as u64;
        let within =
            |value: u64, least, most| u32::try_from(value).unwrap_or(most).clamp(least, most);
        Self {
            streams: within(streams, 16, 100),
            window: within(part / 8, 64 * 1024, 512 * 1024),
            waiting_bytes: part,
        }
    }
}

impl Callers {
    /// State without connections.
    #[must_use]
    pub fn new(limits: &Limits, clock: Clock) -> Self {
        let total = limits.memory_bytes.map_or(DEFAULT_TOTAL_BYTES, |bytes| bytes / MEMORY_SHARE);
        let head = (HEADER_READ_FACTOR * limits.header_bytes) as u64;
        let request = MAX_TASK_BYTES + head + BUFFER_BYTES + MAX_RESPONSE_BYTES;
        let caller_limits = CallerLimits { total, request };
        let connections = limits.caller_connections.min(caller_limits.connections());
        let budget = CallerBudget::new(caller_limits);
        let state = State { budget, connections: BTreeMap::new() };
        let http2 = Http2Limits::new(total, limits.header_bytes);
        let waiting_bytes = AtomicU64::new(0);
        Self { state: Mutex::new(state), clock, waiting_bytes, http2, connections }
    }

    fn change<T>(&self, change: impl FnOnce(&mut CallerBudget, Duration) -> T) -> T {
        change(&mut lock(&self.state).budget, self.clock.now())
    }
}

/// Counts a limit that acted so many times, and writes a log line unless there were too many.
pub fn record(cx: &Cx, limit: CallerLimit, count: usize) {
    if count == 0 {
        return;
    }
    cx.metrics.record_caller_limit(limit.name(), count);
    let now = cx.clock.now();
    let Some(left_out) = cx.log_limiter.take(LogLineKind::CallerLimit, now) else { return };
    let held = cx.callers.change(|budget, _| budget.held());
    tracing::warn!(limit = limit.name(), count, held, left_out, "limit on callers acted");
}

/// Closes connections in favour of callers that wait to connect, at most `most`: those without a request, and those
/// whose callers lag.
pub fn close_idle(cx: &Cx, most: usize) {
    let mut state = lock(&cx.callers.state);
    let now = cx.clock.now();
    let idle = state.budget.close_idle(most, now);
    let lagging = state.budget.close_lagging(most - idle.len(), now);
    for (stop, _) in idle.iter().filter_map(|id| state.connections.get(id)) {
        stop.cancel();
    }
    for (_, abort) in lagging.iter().filter_map(|id| state.connections.get(id)) {
        abort.cancel();
    }
    drop(state);
    record(cx, CallerLimit::IdleClosed, idle.len());
    record(cx, CallerLimit::LaggingClosed, lagging.len());
}

/// Connection of a caller.
#[derive(Debug)]
pub struct CallerConnection {
    cx: Cx,
    id: ConnectionId,
    /// Cancelled when the connection is to end after the requests that have been read.
    pub stop: CancellationToken,
    /// Cancelled when the connection is to be closed at once.
    pub abort: CancellationToken,
    released: Notify,
    /// Counts its bytes if they pass the link of the instance.
    meter: Option<Meter>,
}

impl CallerConnection {
    /// Adds a connection, which ends when `closing` is cancelled.
    pub fn open(cx: &Cx, closing: &CancellationToken, uses_link: bool) -> Arc<Self> {
        let (stop, abort) = (closing.child_token(), cx.aborted.child_token());
        let mut state = lock(&cx.callers.state);
        let id = state.budget.open(cx.clock.now());
        state.connections.insert(id, (stop.clone(), abort.clone()));
        drop(state);
        let meter = uses_link.then(|| Meter::new(&cx.traffic, Flow::Callers));
        Arc::new(Self { cx: Arc::clone(cx), id, stop, abort, released: Notify::new(), meter })
    }

    /// Counts its bytes; `None` if they do not pass the link of the instance.
    pub fn meter(&self) -> Option<&Meter> {
        self.meter.as_ref()
    }

    /// Waits until the next request may be read.
    pub async fn wait_to_read(&self) {
        let may_read = || self.cx.callers.change(|budget, _| budget.may_read(self.id));
        if may_read() {
            return;
        }
        record(&self.cx, CallerLimit::Paused, 1);
        loop {
            // A release between the check and the wait leaves a permit.
            self.released.notified().await;
            if may_read() {
                // Another stream of the connection may wait too.
                self.released.notify_one();
                return;
            }
        }
    }

    /// Counts a request that holds `bytes` and its response that is to come; `None` if the request is to be refused.
    pub fn admit(self: &Arc<Self>, bytes: usize) -> Option<HeldRequest> {
        let (bytes, expected) = (bytes as u64 + REQUEST_BYTES, BUFFER_BYTES);
        let admission =
            self.cx.callers.change(|budget, now| budget.admit(self.id, bytes, expected, now));
        self.close_all(&admission.close);
        if !admission.admitted {
            record(&self.cx, CallerLimit::Refused, 1);
            return None;
        }
        Some(HeldRequest { connection: Arc::clone(self), bytes, expected })
    }

    /// Records the size of the read buffer, which was `from` before; returns whether there is room for more.
    pub fn resize_buffer(&self, from: usize, to: usize) -> bool {
        let (from, to) = (from as u64, to as u64);
        let (close, is_over) = self.cx.callers.change(|budget, now| {
            let close = budget.resize(self.id, from, to, now);
            (close, budget.is_over(0))
        });
        self.close_all(&close);
        !is_over
    }

    /// Gives others their turn before the next request is read of a caller that has sent `ahead` requests without waiting
    /// for their responses.
    pub async fn wait_for_turn(&self, ahead: u32) {
        let pause = self.cx.callers.change(|budget, _| budget.pause(self.id, ahead));
        if pause.is_zero() {
            tokio::task::yield_now().await;
        } else {
            record(&self.cx, CallerLimit::Paused, 1);
            tokio::select! {
                () = tokio::time::sleep(pause) => {}
                () = self.stop.cancelled() => {}
            }
        }
    }

    /// Requests in progress.
    pub fn requests(&self) -> usize {
        self.cx.callers.change(|budget, _| budget.requests(self.id))
    }

    /// Waits for the caller to send or take bytes. A caller that lags may be closed in favour of others.
    pub async fn await_caller(
        &self,
        action: impl Future<Output = io::Result<usize>>,
    ) -> io::Result<usize> {
        let mut action = std::pin::pin!(action);
        if let Some(done) = (&mut action).now_or_never() {
            return done;
        }
        self.wait();
        let done = action.await;
        self.record_progress(done.as_ref().copied().unwrap_or_default());
        done
    }

    /// Records that the caller is waited for from now on.
    pub fn wait(&self) {
        self.cx.callers.change(|budget, now| budget.wait(self.id, now));
    }

    /// Records that the caller sent or took so many bytes, and is not waited for any more.
    pub fn record_progress(&self, bytes: usize) {
        self.cx.callers.change(|budget, now| budget.record_progress(self.id, bytes as u64, now));
    }

    /// Counts what a request holds that waits to be read; released with the returned guard. `None` if there is no room
    /// for it, and the connection has other requests.
    pub fn hold_waiting(self: &Arc<Self>, bytes: usize) -> Option<WaitingRequest> {
        let are_many_waiting = self.are_many_waiting();
        let held = self.hold(bytes + usize::try_from(REQUEST_BYTES).unwrap_or_default());
        let has_room = !are_many_waiting && self.cx.callers.change(|budget, _| !budget.is_over(0));
        let waiting = WaitingRequest::new(held);
        (has_room || self.requests() == 0).then_some(waiting)
    }

    /// Whether so many requests wait that no further ones are to be received over HTTP/2.
    pub fn are_many_waiting(&self) -> bool {
        let callers = &self.cx.callers;
        callers.waiting_bytes.load(Ordering::Relaxed) > callers.http2.waiting_bytes
    }

    /// Counts bytes that the connection holds until the returned guard is dropped.
    pub fn hold(self: &Arc<Self>, bytes: usize) -> HeldBytes {
        self.resize_buffer(0, bytes);
        HeldBytes { connection: Arc::clone(self), bytes }
    }

    fn close_all(&self, chosen: &[ConnectionId]) {
        if chosen.is_empty() {
            return;
        }
        let state = lock(&self.cx.callers.state);
        for (_, abort) in chosen.iter().filter_map(|id| state.connections.get(id)) {
            abort.cancel();
        }
        drop(state);
        record(&self.cx, CallerLimit::Closed, chosen.len());
    }
}

impl Drop for CallerConnection {
    fn drop(&mut self) {
        let mut state = lock(&self.cx.callers.state);
        state.budget.close(self.id);
        state.connections.remove(&self.id);
    }
}

/// Bytes that count towards what a connection holds.
#[derive(Debug)]
pub struct HeldBytes {
    connection: Arc<CallerConnection>,
    bytes: usize,
}

/// What a request holds that waits to be read.
#[derive(Debug)]
pub struct WaitingRequest(HeldBytes);

impl WaitingRequest {
    fn new(held: HeldBytes) -> Self {
        let callers = &held.connection.cx.callers;
        callers.waiting_bytes.fetch_add(held.bytes as u64, Ordering::Relaxed);
        Self(held)
    }
}

impl Drop for WaitingRequest {
    fn drop(&mut self) {
        let callers = &self.0.connection.cx.callers;
        callers.waiting_bytes.fetch_sub(self.0.bytes as u64, Ordering::Relaxed);
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.connection.resize_buffer(self.bytes, 0);
    }
}

/// What a request and its response hold until the response is written.
#[derive(Debug)]
pub struct HeldRequest {
    connection: Arc<CallerConnection>,
    bytes: u64,
    expected: u64,
}

impl HeldRequest {
    /// Connection of the request.
    #[must_use]
    pub fn connection(&self) -> &CallerConnection {
        &self.connection
    }

    /// Records that the response is ready and holds so many bytes, and whether it is a refusal for lack of room.
    pub fn respond(&mut self, bytes: u64, is_refusal: bool) {
        let (id, expected) = (self.connection.id, std::mem::take(&mut self.expected));
        let callers = &self.connection.cx.callers;
        let close = callers.change(|budget, now| {
            budget.record_response(id, is_refusal);
            budget.respond(id, expected, bytes, now)
        });
        self.bytes += bytes;
        self.connection.close_all(&close);
        self.connection.released.notify_one();
    }
}

impl Drop for HeldRequest {
    fn drop(&mut self) {
        let (id, bytes, expected) = (self.connection.id, self.bytes, self.expected);
        let callers = &self.connection.cx.callers;
        callers.change(|budget, now| budget.end(id, bytes, expected, now));
        self.connection.released.notify_one();
    }
}
