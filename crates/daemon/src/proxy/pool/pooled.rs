//! Pool of connections to a backend server or to another daemon.
//!
//! A connection carries one request at a time, also with HTTP/2: the limit on connections then means
//! the same for both protocols, and a connection that breaks fails no other request.

use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use baobabreel_core::lag::HolderId;
use baobabreel_core::quarantine::CrashId;
use http::header::HOST;
use http::uri::{Authority, Scheme};
use http::{HeaderMap, HeaderValue, Request, Response, Uri, Version};
use hyper::body::Incoming;
use hyper::client::conn::{TrySendError, http1, http2};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::task::AbortHandle;

use super::idle_limit::IdleLimit;
use super::{describe, http2_builder};
use crate::proxy::body::{MAX_READ_AHEAD_BYTES, ProxyBody};
use crate::proxy::headers::KEEP_ALIVE;
use crate::proxy::place::Place;
use crate::proxy::sends::SendMark;
use crate::sync::lock;
use crate::telemetry::{Meter, Metered};

/// Time in which a connection must be established; covers two round trips between the most distant regions.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Shortest time between two connections that are opened only to find out whether the server has ended.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);

/// Time for the request whose connection is taken back to end.
const TAKE_BACK_TIME: Duration = Duration::from_millis(10);

/// Parameter of the `Keep-Alive` header with the seconds for which the server keeps an idle connection.
const KEEP_ALIVE_TIMEOUT: &str = "timeout=";

/// Why a request got no response.
#[derive(Debug)]
pub enum SendError {
    /// No byte of the request was sent.
    NotSent(String),
    /// No byte of the request was sent, since the server did not answer the attempt to connect.
    Unreachable,
    /// No byte of the request was sent, since all connections of the pool are in use.
    Full,
    /// The request may have been received.
    Lost(String),
    /// The request may have been received; its connection was taken back, since its client did not send its body.
    TakenBack,
}

/// Protocol of the connections of a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Protocol {
    /// HTTP/1.1.
    Http1,
    /// HTTP/2 without TLS and without an upgrade.
    Http2,
}

/// Request sender of a connection.
#[derive(Debug)]
struct Sender {
    handle: SenderHandle,
    /// Task that drives the connection.
    driver: AbortHandle,
}

#[derive(Debug)]
enum SenderHandle {
    Http1(http1::SendRequest<ProxyBody>),
    Http2(http2::SendRequest<ProxyBody>),
}

impl Sender {
    fn is_closed(&self) -> bool {
        match &self.handle {
            SenderHandle::Http1(sender) => sender.is_closed(),
            SenderHandle::Http2(sender) => sender.is_closed(),
        }
    }

    fn is_ready(&self) -> bool {
        match &self.handle {
            SenderHandle::Http1(sender) => sender.is_ready(),
            SenderHandle::Http2(sender) => sender.is_ready(),
        }
    }

    async fn try_send_request(
        &mut self,
        req: Request<ProxyBody>,
    ) -> Result<Response<Incoming>, TrySendError<Request<ProxyBody>>> {
        match &mut self.handle {
            SenderHandle::Http1(sender) => sender.try_send_request(req).await,
            SenderHandle::Http2(sender) => sender.try_send_request(req).await,
        }
    }
}

/// Connection that is not in use.
#[derive(Debug)]
struct IdleConnection {
    sender: Sender,
    permit: OwnedSemaphorePermit,
    since: Instant,
}

/// Pool of connections to one server.
#[derive(Debug)]
pub struct ConnectionPool {
    addr: SocketAddr,
    protocol: Protocol,
    /// Counts the bytes of its connections if they pass the link of the instance.
    meter: Option<Meter>,
    idle: Mutex<Vec<IdleConnection>>,
    idle_limit: Mutex<IdleLimit>,
    permits: Arc<Semaphore>,
    pub(super) limit: usize,
    pub(super) holders: Mutex<Holders>,
    started: Instant,
    /// The last end of the server.
    end: Mutex<Option<ServerEnd>>,
    /// When the last connection was opened only to find out whether the server has ended.
    probed_at: Mutex<Option<Instant>>,
}

/// Requests whose connections can be taken back.
#[derive(Debug, Default)]
pub(super) struct Holders {
    pub places: HashMap<HolderId, Arc<Place>>,
    pub next_id: HolderId,
}

/// End of a server: its address refused connections.
#[derive(Debug, Clone, Copy)]
struct ServerEnd {
    id: CrashId,
    found_at: Instant,
    /// Whether it has accepted connections since.
    is_over: bool,
}

/// Idle connection that was taken from its pool.
struct TakenConnection {
    sender: Sender,
    permit: OwnedSemaphorePermit,
    /// How long it was idle.
    idle_time: Duration,
}

/// Connection that is in use. It is closed on drop, unless it is released to its pool.
#[derive(Debug)]
pub struct PooledConnection {
    pool: Arc<ConnectionPool>,
    sender: Sender,
    permit: OwnedSemaphorePermit,
    is_reused: bool,
}

impl PooledConnection {
    /// Whether it carried other requests before.
    #[must_use]
    pub fn is_reused(&self) -> bool {
        self.is_reused
    }

    /// Whether the server has closed it.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Closes the connection at once, also in the middle of a response.
    pub fn close(self) {
        self.sender.driver.abort();
    }

    /// Returns the connection to its pool, after the response has ended.
    pub fn release(self) {
        if self.sender.is_closed() {
            return;
        }
        let idle =
            IdleConnection { sender: self.sender, permit: self.permit, since: Instant::now() };
        lock(&self.pool.idle).push(idle);
    }
}

impl ConnectionPool {
    /// Creates a pool of at most `limit` connections.
    #[must_use]
    pub fn new(addr: SocketAddr, protocol: Protocol, limit: usize) -> Self {
        let permits = Arc::new(Semaphore::new(limit));
        Self {
            addr,
            protocol,
            meter: None,
            idle: Mutex::default(),
            idle_limit: Mutex::default(),
            permits,
            limit,
            holders: Mutex::default(),
            started: Instant::now(),
            end: Mutex::default(),
            probed_at: Mutex::default(),
        }
    }

    /// Counts the bytes of its connections.
    #[must_use]
    pub fn metered(mut self, meter: Meter) -> Self {
        self.meter = Some(meter);
        self
    }

    /// Takes the connection that was used last, so that surplus ones reach the idle limit, and closes those that
    /// have.
    fn take_idle(&self) -> Option<TakenConnection> {
        let max_idle = lock(&self.idle_limit).at(self.started.elapsed());
        let mut idle = lock(&self.idle);
        idle.retain(|conn| !conn.sender.is_closed() && conn.since.elapsed() < max_idle);
        let found = idle.iter().rposition(|conn| conn.sender.is_ready())?;
        let conn = idle.swap_remove(found);
        Some(TakenConnection {
            sender: conn.sender,
            permit: conn.permit,
            idle_time: conn.since.elapsed(),
        })
    }

    /// Records that a request was lost on a connection that had been idle for `rest`.
    fn record_loss(&self, rest: Duration) {
        let now = self.started.elapsed();
        let mut limit = lock(&self.idle_limit);
        limit.record_loss(rest, now);
        tracing::debug!(
            addr = %self.addr,
            ?rest,
            limit = ?limit.at(now),
            "request lost on a connection that had been idle"
        );
    }

    /// Permit for a connection; one that was taken back if all are in use.
    async fn permit(&self) -> Option<OwnedSemaphorePermit> {
        if let Ok(permit) = Arc::clone(&self.permits).try_acquire_owned() {
            return Some(permit);
        }
        if !self.take_back_lagging() {
            return None;
        }
        let permit = Arc::clone(&self.permits).acquire_owned();
        tokio::time::timeout(TAKE_BACK_TIME, permit).await.ok()?.ok()
    }

    /// Opens a connection; fails with [`SendError::Full`] at the limit of connections.
    async fn connect(&self) -> Result<(Sender, OwnedSemaphorePermit), SendError> {
        let not_sent = |what: &str| SendError::NotSent(what.to_owned());
        let permit = self.permit().await.ok_or(SendError::Full)?;
        let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(self.addr));
        let stream = match connecting.await {
            Ok(Ok(stream)) => stream,
            Ok(Err(e)) => {
                if e.kind() == ErrorKind::ConnectionRefused {
                    self.record_end();
                }
                return Err(not_sent(&format!("failed to connect: {e}")));
            }
            Err(_) => return Err(SendError::Unreachable),
        };
        if let Some(end) = lock(&self.end).as_mut() {
            end.is_over = true;
        }
        if let Err(e) = stream.set_nodelay(true) {
            tracing::debug!(error = %e, "failed to set TCP_NODELAY");
        }
        let stream = TokioIo::new(Metered::new(stream, self.meter.clone()));
        let failed = |e| not_sent(&format!("failed to start a connection: {e}"));
        let sender = match self.protocol {
            Protocol::Http1 => {
                let handshake =
                    http1::Builder::new().max_buf_size(MAX_READ_AHEAD_BYTES).handshake(stream);
                let (sender, conn) = handshake.await.map_err(failed)?;
                let driver = tokio::spawn(drive_connection(conn)).abort_handle();
                Sender { handle: SenderHandle::Http1(sender), driver }
            }
            Protocol::Http2 => {
                let handshake = http2_builder().handshake(stream);
                let (sender, conn) = handshake.await.map_err(failed)?;
                let driver = tokio::spawn(drive_connection(conn)).abort_handle();
                Sender { handle: SenderHandle::Http2(sender), driver }
            }
        };
        Ok((sender, permit))
    }

    /// Finds out whether the server has ended since a time, so that its address refuses connections. Returns the same
    /// number for all requests that were lost by one end.
    pub async fn find_end(&self, since: Instant) -> Option<CrashId> {
        if let Some(known) = self.known_end(since) {
            return Some(known);
        }
        *lock(&self.probed_at) = Some(Instant::now());
        let connecting = TcpStream::connect(self.addr);
        let is_refused = match tokio::time::timeout(CONNECT_TIMEOUT, connecting).await {
            Ok(Err(e)) => e.kind() == ErrorKind::ConnectionRefused,
            Ok(Ok(_)) | Err(_) => false,
        };
        is_refused.then(|| self.record_end())
    }

    /// Like [`find_end`](Self::find_end), but without a connection of its own if the last one for this is recent.
    pub async fn find_end_at_low_cost(&self, since: Instant) -> Option<CrashId> {
        let probed_at = *lock(&self.probed_at);
        if probed_at.is_some_and(|at| at.elapsed() < PROBE_INTERVAL) {
            self.known_end(since)
        } else {
            self.find_end(since).await
        }
    }

    /// Number of the last end of the server, if it is known and came after a time.
    fn known_end(&self, since: Instant) -> Option<CrashId> {
        let end = *lock(&self.end);
        end.filter(|end| end.found_at >= since).map(|end| end.id)
    }

    /// Records that the address refuses connections; returns the number of the end.
    fn record_end(&self) -> CrashId {
        let mut end = lock(&self.end);
        match *end {
            Some(known) if !known.is_over => known.id,
            _ => {
                let id = rand::random();
                *end = Some(ServerEnd { id, found_at: Instant::now(), is_over: false });
                id
            }
        }
    }

    /// Sets the host to the address of the server if the request has none. HTTP/2 has it in the URI, not in a
    /// header.
    fn prepare(&self, req: &mut Request<ProxyBody>) {
        if self.protocol == Protocol::Http1 {
            if !req.headers().contains_key(HOST)
                && let Ok(host) = HeaderValue::from_str(&self.addr.to_string())
            {
                req.headers_mut().insert(HOST, host);
            }
            return;
        }
        let host = req.headers_mut().remove(HOST);
        let named = host.and_then(|host| Authority::try_from(host.as_bytes()).ok());
        let mut parts = std::mem::take(req.uri_mut()).into_parts();
        parts.scheme = Some(Scheme::HTTP);
        parts.authority = named.or_else(|| self.addr.to_string().parse().ok());
        // With scheme, authority and path a URI is always valid.
        *req.uri_mut() = Uri::from_parts(parts).unwrap_or_default();
        *req.version_mut() = Version::HTTP_2;
    }

    /// Sends a request on an idle or a new connection, and returns the head of the response.
    ///
    /// If an idle connection closes before the first byte is sent, the request is sent on a new one. The
    /// [`SendMark`] of the request is set while it may have been sent.
    ///
    /// # Errors
    ///
    /// Any error but [`SendError::Lost`] only if the server cannot have received the request.
    pub async fn send(
        self: &Arc<Self>,
        mut req: Request<ProxyBody>,
    ) -> Result<(Response<Incoming>, PooledConnection), SendError> {
        self.prepare(&mut req);
        let mark = req.extensions().get::<SendMark>().cloned();
        let set = || mark.iter().for_each(SendMark::set);
        let clear = || mark.iter().for_each(SendMark::clear);
        if let Some(TakenConnection { mut sender, permit, idle_time }) = self.take_idle() {
            set();
            match sender.try_send_request(req).await {
                Ok(res) => return Ok(self.answered(res, sender, permit, true)),
                Err(mut e) => match e.take_message() {
                    Some(unsent) => {
                        clear();
                        req = unsent;
                    }
                    None => {
                        self.record_loss(idle_time);
                        return Err(SendError::Lost(describe(&e.into_error())));
                    }
                },
            }
        }
        let (mut sender, permit) = self.connect().await?;
        set();
        match sender.try_send_request(req).await {
            Ok(res) => Ok(self.answered(res, sender, permit, false)),
            Err(mut e) => match e.take_message() {
                Some(_) => Err(SendError::NotSent(describe(&e.into_error()))),
                None => Err(SendError::Lost(describe(&e.into_error()))),
            },
        }
    }

    /// Reads the keep-alive time that the server announces with its response.
    fn answered(
        self: &Arc<Self>,
        res: Response<Incoming>,
        sender: Sender,
        permit: OwnedSemaphorePermit,
        is_reused: bool,
    ) -> (Response<Incoming>, PooledConnection) {
        if let Some(timeout) = keep_alive_timeout(res.headers()) {
            lock(&self.idle_limit).announce(timeout);
        }
        (res, PooledConnection { pool: Arc::clone(self), sender, permit, is_reused })
    }
}

/// Time for which the server says that it keeps an idle connection.
fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let parameters = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let secs =
        parameters.split(',').find_map(|part| part.trim().strip_prefix(KEEP_ALIVE_TIMEOUT))?;
    secs.parse().ok().map(Duration::from_secs)
}

/// Drives a connection until it closes.
async fn drive_connection(conn: impl Future<Output = hyper::Result<()>>) {
    if let Err(e) = conn.await {
        tracing::debug!(error = %e, "connection to a server failed");
    }
}
