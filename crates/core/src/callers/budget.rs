//! Bookkeeping of what the connections of callers hold.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::lag::{ClientLag, choose_lagging};

/// Part of the free memory that one connection may hold before its next request is not read: 1 in this number. Without
/// other load, this is enough on an instance of 110 MB for 32 requests with the largest heads and buffered responses.
const READ_AHEAD_SHARE: u64 = 4;

/// Memory that is counted for an open connection without a request, in bytes; more than such a connection takes.
const CONNECTION_BYTES: u64 = 12 * 1024;

/// Time without a request after which a connection may be closed in favour of others. A caller that has just connected
/// may still be about to send.
const MIN_IDLE: Duration = Duration::from_secs(1);

/// Requests sent ahead on a connection from which on refusals slow it down.
const MAX_AHEAD: u32 = 8;

/// Pause before the next request of such a connection is read, after one refusal.
const FIRST_PAUSE: Duration = Duration::from_millis(50);

/// Longest pause, after several refusals in a row.
const MAX_PAUSE: Duration = Duration::from_secs(1);

/// Limits on what the connections of callers hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Memory of all connections together, in bytes.
    pub total: u64,
    /// Most that one request within the limits on heads and buffered bodies holds, in bytes. A connection that holds
    /// no more is never closed for its memory.
    pub request: u64,
}

impl CallerLimits {
    /// Most connections, which take up to half of the total without a request. With more, idle connections alone could
    /// fill it, and every request would be refused.
    #[must_use]
    pub fn connections(&self) -> usize {
        usize::try_from(self.total / 2 / CONNECTION_BYTES).unwrap_or(usize::MAX)
    }
}

/// Identifier of a connection, not used again.
pub type ConnectionId = u64;

/// Decision about a request that was read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Admission {
    /// Whether the request may run; otherwise it is refused.
    pub admitted: bool,
    /// Connections to be closed at once.
    pub close: Vec<ConnectionId>,
}

/// Whether a connection is being closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Closing {
    /// It stays open.
    No,
    /// After the requests that have arrived. One that crosses the close is served.
    WhenIdle,
    /// At once; what it holds is about to be released.
    Now,
}

#[derive(Debug, Clone, Copy)]
struct Connection {
    /// Memory that its requests, responses and read buffer hold.
    held: u64,
    /// Memory that responses to its requests will hold at most until they are read.
    expected: u64,
    requests: usize,
    /// When its last request ended, or it was opened.
    idle_since: Duration,
    /// Refusals for lack of room since the last request that was not refused.
    refusals: u32,
    /// How far its caller lags, since the last request has ended.
    lag: ClientLag,
    closing: Closing,
}

impl Connection {
    fn is_leaving(&self) -> bool {
        self.closing == Closing::Now
    }
}

/// What the connections of callers hold, and who may hold more.
#[derive(Debug)]
pub struct CallerBudget {
    limits: CallerLimits,
    connections: BTreeMap<ConnectionId, Connection>,
    next_id: ConnectionId,
    held: u64,
    expected: u64,
    /// Part of `held` that is about to be released, since its connections are being closed at once.
    leaving: u64,
}

impl CallerBudget {
    /// Budget without connections.
    #[must_use]
    pub fn new(limits: CallerLimits) -> Self {
        let connections = BTreeMap::new();
        Self { limits, connections, next_id: 0, held: 0, expected: 0, leaving: 0 }
    }

    /// Adds a connection.
    pub fn open(&mut self, now: Duration) -> ConnectionId {
        let id = self.next_id;
        self.next_id += 1;
        let connection = Connection {
            held: 0,
            expected: 0,
            requests: 0,
            idle_since: now,
            refusals: 0,
            lag: ClientLag::default(),
            closing: Closing::No,
        };
        self.connections.insert(id, connection);
        id
    }

    /// Removes a connection, and no longer counts what it holds.
    pub fn close(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.remove(&id) else { return };
        self.held -= connection.held;
        self.expected -= connection.expected;
        if connection.is_leaving() {
            self.leaving -= connection.held;
        }
    }

    /// Memory that is held now, in bytes.
    #[must_use]
    pub fn held(&self) -> u64 {
        self.held + CONNECTION_BYTES * self.connections.len() as u64
    }

    /// Whether the next request of a connection may be read. One that may not has a request in progress, and may
    /// read at the latest when that ends.
    #[must_use]
    pub fn may_read(&self, id: ConnectionId) -> bool {
        let Some(connection) = self.connections.get(&id) else { return true };
        let free = self.limits.total.saturating_sub(self.held() + self.expected);
        connection.requests == 0 || connection.held + connection.expected < free / READ_AHEAD_SHARE
    }

    /// Records whether the response to a request was a refusal for lack of room.
    pub fn record_response(&mut self, id: ConnectionId, is_refusal: bool) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.refusals =
                if is_refusal { connection.refusals.saturating_add(1) } else { 0 };
        }
    }

    /// Pause before the next request of a connection is read whose caller has sent `ahead` requests without waiting for
    /// their responses. Where there is no room for them, reading them takes the time of others.
    #[must_use]
    pub fn pause(&self, id: ConnectionId, ahead: u32) -> Duration {
        let refusals = self.connections.get(&id).map_or(0, |connection| connection.refusals);
        match refusals.checked_sub(1) {
            Some(earlier) if ahead >= MAX_AHEAD => {
                FIRST_PAUSE.saturating_mul(1 << earlier.min(16)).min(MAX_PAUSE)
            }
            _ => Duration::ZERO,
        }
    }

    /// Requests of a connection that are in progress.
    #[must_use]
    pub fn requests(&self, id: ConnectionId) -> usize {
        self.connections.get(&id).map_or(0, |connection| connection.requests)
    }

    /// Decides about a request that holds `bytes`, and whose response may hold `response` more. It counts if it is
    /// admitted.
    pub fn admit(
        &mut self,
        id: ConnectionId,
        bytes: u64,
        response: u64,
        now: Duration,
    ) -> Admission {
        let close = self.make_room(bytes, now);
        let is_over = self.is_over(bytes);
        let connection =
            self.connections.get_mut(&id).filter(|found| !found.is_leaving() && !is_over);
        let admitted = connection.is_some();
        if let Some(connection) = connection {
            connection.requests += 1;
            connection.held += bytes;
            connection.expected += response;
            self.held += bytes;
            self.expected += response;
        }
        Admission { admitted, close }
    }

    /// Records that the response to a request is ready, for which `expected` was counted, and holds `bytes`; returns
    /// the connections to be closed.
    pub fn respond(
        &mut self,
        id: ConnectionId,
        expected: u64,
        bytes: u64,
        now: Duration,
    ) -> Vec<ConnectionId> {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.expected -= expected;
            self.expected -= expected;
        }
        self.resize(id, 0, bytes, now)
    }

    /// Records that something on a connection grew or shrank; returns the connections to be closed.
    pub fn resize(
        &mut self,
        id: ConnectionId,
        from: u64,
        to: u64,
        now: Duration,
    ) -> Vec<ConnectionId> {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.held = connection.held - from + to;
            self.held = self.held - from + to;
            if connection.is_leaving() {
                self.leaving = self.leaving - from + to;
            }
        }
        if to > from { self.make_room(0, now) } else { Vec::new() }
    }

    /// Records the end of a request that held `bytes`, and for whose response `expected` was counted.
    pub fn end(&mut self, id: ConnectionId, bytes: u64, expected: u64, now: Duration) {
        self.resize(id, bytes, 0, now);
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.requests -= 1;
            connection.idle_since = now;
            connection.lag = ClientLag::default();
            connection.expected -= expected;
            self.expected -= expected;
        }
    }

    /// Whether `more` bytes do not fit into the total.
    #[must_use]
    pub fn is_over(&self, more: u64) -> bool {
        self.held() + more > self.limits.total + self.leaving
    }

    /// Whether the total is exceeded, if what is about to be released still counts.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.held() > self.limits.total
    }

    /// Connections to be closed, if the total is exceeded.
    pub fn close_excess(&mut self, now: Duration) -> Vec<ConnectionId> {
        self.make_room(0, now)
    }

    /// Connections to be closed for a caller that waits to connect: up to `most` of those that have no request in
    /// progress, the longest idle ones first. A request that has been sent meanwhile is still served.
    pub fn close_idle(&mut self, most: usize, now: Duration) -> Vec<ConnectionId> {
        let is_idle = |found: &Connection| {
            found.requests == 0
                && found.closing == Closing::No
                && now.saturating_sub(found.idle_since) >= MIN_IDLE
        };
        let idle = self.connections.iter().filter(|(_, found)| is_idle(found));
        let mut idle: Vec<_> = idle.map(|(id, found)| (found.idle_since, *id)).collect();
        idle.sort_unstable();
        let chosen: Vec<_> = idle.into_iter().take(most).map(|(_, id)| id).collect();
        for id in &chosen {
            if let Some(connection) = self.connections.get_mut(id) {
                connection.closing = Closing::WhenIdle;
            }
        }
        chosen
    }

    /// Connections to be closed at once for a caller that waits to connect: up to `most` of those whose callers lag,
    /// the ones that lag most first.
    pub fn close_lagging(&mut self, most: usize, now: Duration) -> Vec<ConnectionId> {
        let chosen = choose_lagging(self.connections.len(), most, self.lags(now));
        chosen.iter().for_each(|id| self.mark_leaving(*id));
        chosen
    }

    /// Records that the caller of a connection is waited for from now on.
    pub fn wait(&mut self, id: ConnectionId, now: Duration) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.lag.wait(now);
        }
    }

    /// Records that the caller of a connection sent or took so many bytes, and is not waited for any more.
    pub fn record_progress(&mut self, id: ConnectionId, bytes: u64, now: Duration) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.lag.record_progress(bytes, now);
        }
    }

    fn lags(&self, now: Duration) -> impl Iterator<Item = (ConnectionId, Duration)> {
        let left = self.connections.iter().filter(|(_, found)| !found.is_leaving());
        left.map(move |(id, found)| (*id, found.lag.at(now)))
    }

    /// Chooses connections to be closed until `more` bytes fit: those that hold most, none of which holds only one
    /// request, then those whose callers lag.
    fn make_room(&mut self, more: u64, now: Duration) -> Vec<ConnectionId> {
        let mut chosen = Vec::new();
        while self.is_over(more) {
            let Some(id) = self.greediest().or_else(|| self.most_lagging(now)) else { break };
            self.mark_leaving(id);
            chosen.push(id);
        }
        chosen
    }

    /// Connection that holds most, if that is more than one request can.
    fn greediest(&self) -> Option<ConnectionId> {
        let left = self.connections.iter().filter(|(_, found)| !found.is_leaving());
        let greediest = left.max_by_key(|(_, found)| found.held);
        let greediest = greediest.filter(|(_, found)| found.held > self.limits.request);
        greediest.map(|(id, _)| *id)
    }

    /// Connection whose caller lags most, if it holds anything.
    fn most_lagging(&self, now: Duration) -> Option<ConnectionId> {
        let holds =
            |id: &ConnectionId| self.connections.get(id).is_some_and(|found| found.held > 0);
        let lags = self.lags(now).filter(|(id, _)| holds(id));
        choose_lagging(self.connections.len(), 1, lags).pop()
    }

    fn mark_leaving(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.closing = Closing::Now;
            self.leaving += connection.held;
        }
    }
}
