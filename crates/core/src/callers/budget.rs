//! Bookkeeping of what the connections of callers hold.

use std::collections::BTreeMap;
use std::time::Duration;

/// Part of the free memory that one connection may hold before its next request is not read: 1 in this number. Without
/// other load, this is enough on an instance of 110 MB for 32 requests with the largest heads and buffered responses.
const READ_AHEAD_SHARE: u64 = 4;

/// Memory that is counted for an open connection without a request, in bytes; more than such a connection takes.
const CONNECTION_BYTES: u64 = 12 * 1024;

/// Time without a request after which a connection may be closed in favour of others. A caller that has just connected
/// may still be about to send.
const MIN_IDLE: Duration = Duration::from_secs(1);

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

#[derive(Debug, Clone, Copy)]
struct Connection {
    /// Memory that its requests, responses and read buffer hold.
    held: u64,
    /// Memory that responses to its requests will hold at most until they are read.
    expected: u64,
    requests: usize,
    /// When its last request ended, or it was opened.
    idle_since: Duration,
    /// Whether it is being closed.
    leaving: bool,
}

/// What the connections of callers hold, and who may hold more.
#[derive(Debug)]
pub struct CallerBudget {
    limits: CallerLimits,
    connections: BTreeMap<ConnectionId, Connection>,
    next_id: ConnectionId,
    held: u64,
    expected: u64,
    /// Part of `held` that is about to be released, since its connections are being closed.
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
        let connection =
            Connection { held: 0, expected: 0, requests: 0, idle_since: now, leaving: false };
        self.connections.insert(id, connection);
        id
    }

    /// Removes a connection, and no longer counts what it holds.
    pub fn close(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.remove(&id) else { return };
        self.held -= connection.held;
        self.expected -= connection.expected;
        if connection.leaving {
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

    /// Decides about a request that holds `bytes`, and whose response may hold `response` more. It counts if it is
    /// admitted.
    pub fn admit(&mut self, id: ConnectionId, bytes: u64, response: u64) -> Admission {
        let close = self.make_room(bytes);
        let is_over = self.is_over(bytes);
        let connection = self.connections.get_mut(&id).filter(|found| !found.leaving && !is_over);
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
    pub fn respond(&mut self, id: ConnectionId, expected: u64, bytes: u64) -> Vec<ConnectionId> {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.expected -= expected;
            self.expected -= expected;
        }
        self.resize(id, 0, bytes)
    }

    /// Records that something on a connection grew or shrank; returns the connections to be closed.
    pub fn resize(&mut self, id: ConnectionId, from: u64, to: u64) -> Vec<ConnectionId> {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.held = connection.held - from + to;
            self.held = self.held - from + to;
            if connection.leaving {
                self.leaving = self.leaving - from + to;
            }
        }
        if to > from { self.make_room(0) } else { Vec::new() }
    }

    /// Records the end of a request that held `bytes`, and for whose response `expected` was counted.
    pub fn end(&mut self, id: ConnectionId, bytes: u64, expected: u64, now: Duration) {
        self.resize(id, bytes, 0);
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.requests -= 1;
            connection.idle_since = now;
            connection.expected -= expected;
            self.expected -= expected;
        }
    }

    /// Whether `more` bytes do not fit into the total.
    #[must_use]
    pub fn is_over(&self, more: u64) -> bool {
        self.held() + more > self.limits.total + self.leaving
    }

    /// Connections to be closed for a caller that waits to connect: up to `most` of those that have no request in
    /// progress, the longest idle ones first.
    pub fn close_idle(&mut self, most: usize, now: Duration) -> Vec<ConnectionId> {
        let is_idle = |found: &Connection| {
            found.requests == 0
                && !found.leaving
                && now.saturating_sub(found.idle_since) >= MIN_IDLE
        };
        let idle = self.connections.iter().filter(|(_, found)| is_idle(found));
        let mut idle: Vec<_> = idle.map(|(id, found)| (found.idle_since, *id)).collect();
        idle.sort_unstable();
        let chosen: Vec<_> = idle.into_iter().take(most).map(|(_, id)| id).collect();
        chosen.iter().for_each(|id| self.mark_leaving(*id));
        chosen
    }

    /// Chooses connections to be closed until `more` bytes fit: those that hold most, none of which holds only one
    /// request.
    fn make_room(&mut self, more: u64) -> Vec<ConnectionId> {
        let mut chosen = Vec::new();
        while self.is_over(more) {
            let left = self.connections.iter().filter(|(_, found)| !found.leaving);
            let greediest = left.max_by_key(|(_, found)| found.held);
            let Some((id, _)) = greediest.filter(|(_, found)| found.held > self.limits.request)
            else {
                break;
            };
            let id = *id;
            self.mark_leaving(id);
            chosen.push(id);
        }
        chosen
    }

    fn mark_leaving(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.leaving = true;
            self.leaving += connection.held;
        }
    }
}
