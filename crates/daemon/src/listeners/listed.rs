//! Connections of the listeners that are not for callers, and what their clients make the daemon hold.
//!
//! When the listener has as many connections as it takes, the longest idle ones and those whose clients lag are closed
//! in favour of others. When they hold too much memory, the one that holds most is closed.

use std::collections::BTreeMap;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use baobabreel_core::callers::{CallerBudget, CallerLimits, ConnectionId};
use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use tokio_util::sync::CancellationToken;

use super::hooked::{Pauses, ReadHook};
use super::wait_until_idle;
use crate::buffers::{Buffers, Turn};
use crate::context::Clock;
use crate::proxy::{BodyError, ProxyBody};
use crate::sync::lock;

/// Limits of a listener whose clients hold little memory.
pub const NO_MEMORY_LIMIT: CallerLimits = CallerLimits { total: u64::MAX, request: u64::MAX };

/// Times that the library holds a part of a head over HTTP/2: as received, as a frame and decoded.
pub const HTTP2_HEAD_COPIES: usize = 3;

/// Most bytes that are read at once over HTTP/1.1.
const MAX_READ_BYTES: usize = 8 * 1024;

#[derive(Debug)]
struct Listed {
    /// Cancelled when the connection is to be closed once it has no request in progress.
    close: CancellationToken,
    /// Cancelled when it is to be closed at once.
    abort: CancellationToken,
}

#[derive(Debug)]
struct State {
    budget: CallerBudget,
    connections: BTreeMap<ConnectionId, Listed>,
}

/// Connections of one listener.
#[derive(Debug)]
pub struct ConnectionList {
    clock: Clock,
    state: Mutex<State>,
}

impl ConnectionList {
    /// List without connections.
    pub fn new(limits: CallerLimits) -> Arc<Self> {
        let state = State { budget: CallerBudget::new(limits), connections: BTreeMap::new() };
        Arc::new(Self { clock: Clock::new(), state: Mutex::new(state) })
    }

    /// Adds a connection.
    pub fn open(self: &Arc<Self>) -> Arc<ListedConnection> {
        let (close, abort) = (CancellationToken::new(), CancellationToken::new());
        let listed = Listed { close: close.clone(), abort: abort.clone() };
        let mut state = lock(&self.state);
        let id = state.budget.open(self.clock.now());
        state.connections.insert(id, listed);
        drop(state);
        let head_bytes = AtomicUsize::new(0);
        let (list, is_known) = (Arc::clone(self), AtomicBool::new(false));
        Arc::new(ListedConnection { list, id, close, abort, head_bytes, is_known })
    }

    /// Closes up to `most` connections in favour of clients that wait to connect: those that have had no request in
    /// progress for some time, then those whose clients lag.
    pub fn close_idle(&self, most: usize) {
        let mut state = lock(&self.state);
        let now = self.clock.now();
        let idle = state.budget.close_idle(most, now);
        let lagging = state.budget.close_lagging(most - idle.len(), now);
        for listed in idle.iter().filter_map(|id| state.connections.get(id)) {
            listed.close.cancel();
        }
        state.abort_all(&lagging);
        drop(state);
        let (idle, lagging) = (idle.len(), lagging.len());
        tracing::debug!(idle, lagging, "connections closed in favour of others");
    }
}

impl ConnectionList {
    /// Closes connections while all hold too much; returns whether they hold no more than they may.
    fn make_room(&self) -> bool {
        let mut state = lock(&self.state);
        if state.budget.is_full() {
            let chosen = state.budget.close_excess(self.clock.now());
            state.abort_all(&chosen);
        }
        !state.budget.is_full()
    }
}

impl State {
    fn abort_all(&self, chosen: &[ConnectionId]) {
        for listed in chosen.iter().filter_map(|id| self.connections.get(id)) {
            listed.abort.cancel();
        }
        if !chosen.is_empty() {
            tracing::debug!(
                count = chosen.len(),
                "connections closed that held too much or lagged"
            );
        }
    }
}

/// Connection on a [`ConnectionList`], until it is dropped.
#[derive(Debug)]
pub struct ListedConnection {
    list: Arc<ConnectionList>,
    id: ConnectionId,
    /// Cancelled when the connection is to be closed once it has no request in progress.
    pub close: CancellationToken,
    abort: CancellationToken,
    /// Bytes that were read of a head that has not ended.
    head_bytes: AtomicUsize,
    /// Whether its client has shown that it is another daemon.
    is_known: AtomicBool,
}

impl ListedConnection {
    /// Records that a request has arrived which holds `bytes`. It is in progress until the returned guard is dropped;
    /// `None` if there is no room for it. Then a connection with other requests is closed, as refusals that are not read
    /// hold memory, too.
    pub fn begin_request(self: &Arc<Self>, bytes: usize) -> Option<ListedRequest> {
        let bytes = bytes as u64;
        let admission = self.change(|budget, now| {
            let head = self.head_bytes.swap(0, Ordering::Relaxed);
            budget.resize(self.id, head as u64, 0, now);
            budget.record_progress(self.id, head as u64, now);
            budget.admit(self.id, bytes, 0, now)
        });
        lock(&self.list.state).abort_all(&admission.close);
        if !admission.admitted && self.requests() > 0 {
            self.abort.cancel();
        }
        admission.admitted.then(|| ListedRequest { connection: Arc::clone(self), bytes })
    }

    /// Waits until the connection is to be dropped, though its client has not confirmed the close.
    pub async fn dropped_in_favour(&self) {
        tokio::select! {
            () = self.abort.cancelled() => return,
            () = self.close.cancelled() => {}
        }
        wait_until_idle(|| self.requests() == 0).await;
    }

    /// Records that the client is another daemon. What it sends from now on over HTTP/2 does not count as a head.
    pub fn set_known(&self) {
        self.is_known.store(true, Ordering::Relaxed);
    }

    /// Counts bytes of a head that has not ended, at most `most`.
    fn receive_head(&self, bytes: usize, most: usize) {
        let mut state = lock(&self.list.state);
        let now = self.list.clock.now();
        let before = self.head_bytes.load(Ordering::Relaxed);
        let after = (before + bytes).min(most);
        self.head_bytes.store(after, Ordering::Relaxed);
        state.budget.record_progress(self.id, bytes as u64, now);
        let chosen = state.budget.resize(self.id, before as u64, after as u64, now);
        state.abort_all(&chosen);
    }

    /// Records that the rest of a head is waited for.
    fn await_head(&self) {
        if self.head_bytes.load(Ordering::Relaxed) > 0 {
            self.change(|budget, now| budget.wait(self.id, now));
        }
    }

    /// Turn of a long body on the connection.
    pub fn turn(&self, buffers: &Arc<Buffers>) -> Turn {
        buffers.turn(self.abort.clone())
    }

    fn requests(&self) -> usize {
        self.change(|budget, _| budget.requests(self.id))
    }

    fn change<T>(&self, change: impl FnOnce(&mut CallerBudget, Duration) -> T) -> T {
        let now = self.list.clock.now();
        change(&mut lock(&self.list.state).budget, now)
    }
}

impl Drop for ListedConnection {
    fn drop(&mut self) {
        let mut state = lock(&self.list.state);
        state.budget.close(self.id);
        state.connections.remove(&self.id);
    }
}

/// Counts the bytes of heads that have not ended on an HTTP/1.1 connection.
#[derive(Debug)]
pub struct HeadHook {
    connection: Arc<ListedConnection>,
    /// Most bytes of a head.
    most: usize,
}

impl HeadHook {
    /// Hook for a connection whose heads have at most `most` bytes.
    pub fn new(connection: Arc<ListedConnection>, most: usize) -> Self {
        Self { connection, most }
    }
}

impl ReadHook for HeadHook {
    const MAX_READ_BYTES: usize = MAX_READ_BYTES;

    fn pending(&mut self) {
        self.connection.await_head();
    }

    fn received(&mut self, bytes: usize) {
        // The bytes of a body are passed on.
        if self.connection.requests() == 0 {
            self.connection.receive_head(bytes, self.most);
        }
    }
}

/// Receives nothing over HTTP/2 while all connections hold too much. The library takes all streams that arrive at once,
/// before the first of them is served. The library does not show a head before its end, so all
/// that a client sends counts as one until it is known as a daemon.
#[derive(Debug)]
pub struct RoomHook {
    connection: Arc<ListedConnection>,
    pauses: Pauses,
    /// Most that is held of a head, in bytes.
    most: usize,
}

impl RoomHook {
    /// Hook for a connection that holds at most `most` bytes of a head.
    pub fn new(connection: Arc<ListedConnection>, most: usize) -> Self {
        Self { connection, pauses: Pauses::default(), most }
    }
}

impl ReadHook for RoomHook {
    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        self.pauses.poll_while(cx, || !self.connection.list.make_room())
    }

    fn pending(&mut self) {
        self.connection.await_head();
    }

    fn received(&mut self, bytes: usize) {
        if !self.connection.is_known.load(Ordering::Relaxed) {
            self.connection.receive_head(HTTP2_HEAD_COPIES * bytes, self.most);
        }
    }
}

/// Request in progress on a [`ListedConnection`].
#[derive(Debug)]
pub struct ListedRequest {
    connection: Arc<ListedConnection>,
    bytes: u64,
}

impl Drop for ListedRequest {
    fn drop(&mut self) {
        let id = self.connection.id;
        self.connection.change(|budget, now| budget.end(id, self.bytes, 0, now));
    }
}

/// Body of a response whose request is in progress until the library has taken its end.
#[derive(Debug)]
pub struct ListedBody {
    inner: ProxyBody,
    request: Option<ListedRequest>,
    /// Turn of a long body, which is not read before.
    turn: Option<Turn>,
    /// Bytes that were handed over last, and that the client may not have taken yet.
    handed_over: usize,
}

impl ListedBody {
    /// Attaches a request to the body of its response, which waits for its turn if it has one.
    pub fn new(inner: ProxyBody, request: Option<ListedRequest>, turn: Option<Turn>) -> Self {
        let body = Self { inner, request, turn, handed_over: 0 };
        if body.turn.is_some() {
            body.inner.await_turn();
        } else {
            body.change(CallerBudget::wait);
        }
        body
    }

    fn change(&self, change: impl FnOnce(&mut CallerBudget, ConnectionId, Duration)) {
        if let Some(ListedRequest { connection, .. }) = &self.request {
            connection.change(|budget, now| change(budget, connection.id, now));
        }
    }
}

impl Body for ListedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some(turn) = &mut self.turn {
            ready!(turn.poll(cx));
        }
        let taken = std::mem::take(&mut self.handed_over);
        self.change(|budget, id, now| budget.record_progress(id, taken as u64, now));
        if let Some(turn) = &self.turn {
            turn.record_progress(taken);
        }
        let polled = Pin::new(&mut self.inner).poll_frame(cx);
        if let Poll::Ready(Some(Ok(frame))) = &polled {
            self.handed_over = frame.data_ref().map_or(0, Bytes::len);
            self.change(CallerBudget::wait);
            if let Some(turn) = &self.turn {
                turn.wait();
            }
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
