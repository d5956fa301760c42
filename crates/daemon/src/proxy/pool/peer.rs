//! Connections to other daemons.
//!
//! Control messages share one HTTP/2 connection per pair of daemons. Pings are sent only while a
//! message waits for its response, and the connection is replaced if no response arrives. Pings on
//! idle connections, from both ends and once a second, took 115 to 135 KB a second at 960 daemons,
//! against a budget of 9 KB.
//!
//! Calls go over pooled HTTP/1.1 connections: with HTTP/2 each call passed through two more tasks on
//! either side and took more system calls. A call whose connection went silent is detected by asking
//! the other daemon about it.

use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, RwLock};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response, StatusCode, Uri};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http2::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use super::control_times::ControlTimes;
use super::held::HeldConnection;
use super::pooled::{ConnectionPool, Protocol, SendError};
use super::{describe, http2_builder};
use crate::context::Clock;
use crate::proxy::body::ProxyBody;
use crate::proxy::headers::TOKEN;
use crate::sync::{lock, read, write};
use crate::telemetry::{Flow, Meter, Metered, Traffic};

/// Time in which a control connection must be established.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for the answer to a notice before it is sent again. A change that it tells of has to be in force within
/// two seconds.
const FIRST_NOTICE_TIMEOUT: Duration = Duration::from_millis(300);

/// Time for the answer to a notice that was sent again.
const LAST_NOTICE_TIMEOUT: Duration = Duration::from_secs(1);

/// Most connections for calls to one peer.
const MAX_CALL_CONNECTIONS: usize = 128;

/// Largest body of a response to a control message, in bytes.
const MAX_CONTROL_BYTES: usize = 16 * 1024 * 1024;

/// Why a request to a peer got no usable response.
#[derive(Debug)]
pub enum PeerError {
    /// No byte of the request was sent.
    NotSent(String),
    /// The request may have been received.
    Lost(String),
    /// The peer answered a control message with an error.
    Refused(StatusCode),
}

impl PeerError {
    /// Whether the peer does not know the message, so that it is an older daemon.
    #[must_use]
    pub fn is_unknown_message(&self) -> bool {
        matches!(self, Self::Refused(StatusCode::NOT_FOUND))
    }
}

impl fmt::Display for PeerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(detail) => write!(f, "failed to send: {detail}"),
            Self::Lost(detail) => write!(f, "failed to get an answer: {detail}"),
            Self::Refused(status) => write!(f, "the peer answered {status}"),
        }
    }
}

impl std::error::Error for PeerError {}

/// Control connection to one peer.
#[derive(Debug, Default)]
struct ControlConnection {
    sender: Mutex<Option<SendRequest<ProxyBody>>>,
    /// Locked while connecting; holds the time of the last failure.
    connecting: tokio::sync::Mutex<Option<Instant>>,
}

impl ControlConnection {
    /// The open connection, if there is one.
    fn current(&self) -> Option<SendRequest<ProxyBody>> {
        let sender = lock(&self.sender);
        sender.as_ref().filter(|sender| !sender.is_closed()).cloned()
    }

    fn replace(&self, sender: SendRequest<ProxyBody>) {
        *lock(&self.sender) = Some(sender);
    }
}

/// Connections to other daemons by address.
#[derive(Debug)]
pub struct PeerPool {
    control_connections: RwLock<HashMap<SocketAddr, Arc<ControlConnection>>>,
    call_pools: RwLock<HashMap<SocketAddr, Arc<ConnectionPool>>>,
    token: Option<HeaderValue>,
    traffic: Arc<Traffic>,
    control_times: Mutex<ControlTimes>,
}

impl PeerPool {
    /// Creates a pool that authenticates with `token`, and counts its bytes in `traffic`.
    #[must_use]
    pub fn new(token: Option<String>, traffic: &Arc<Traffic>) -> Self {
        let token = token.and_then(|token| HeaderValue::from_str(&token).ok());
        Self {
            control_connections: RwLock::default(),
            call_pools: RwLock::default(),
            token,
            traffic: Arc::clone(traffic),
            control_times: Mutex::default(),
        }
    }

    /// Control connection to a peer, added on first use.
    fn control_connection(&self, addr: SocketAddr) -> Arc<ControlConnection> {
        let control_connections = read(&self.control_connections);
        if let Some(control_connection) = control_connections.get(&addr) {
            return Arc::clone(control_connection);
        }
        drop(control_connections);
        let mut control_connections = write(&self.control_connections);
        Arc::clone(control_connections.entry(addr).or_default())
    }

    /// Pool of connections for calls to a peer, added on first use.
    fn call_pool(&self, addr: SocketAddr) -> Arc<ConnectionPool> {
        let pools = read(&self.call_pools);
        if let Some(pool) = pools.get(&addr) {
            return Arc::clone(pool);
        }
        drop(pools);
        let mut pools = write(&self.call_pools);
        let pool = pools.entry(addr).or_insert_with(|| {
            let pool = ConnectionPool::new(addr, Protocol::Http1, MAX_CALL_CONNECTIONS);
            Arc::new(pool.metered(Meter::new(&self.traffic, Flow::Calls)))
        });
        Arc::clone(pool)
    }

    /// Sends a call to a peer and returns the head of the response.
    ///
    /// # Errors
    ///
    /// Any error but [`SendError::Lost`] and [`SendError::TakenBack`] only if the peer cannot have received the request.
    pub async fn call(
        &self,
        connection: &HeldConnection,
        mut req: Request<ProxyBody>,
    ) -> Result<Response<Incoming>, SendError> {
        if let Some(value) = &self.token {
            req.headers_mut().insert(TOKEN, value.clone());
        }
        connection.send(req).await
    }

    /// Place among the connections for calls to a peer.
    #[must_use]
    pub fn hold_connection(&self, addr: SocketAddr, clock: Clock) -> HeldConnection {
        HeldConnection::new(self.call_pool(addr), clock)
    }

    /// Takes the times of the control messages that ended since the last call.
    pub fn take_control_times(&self) -> ControlTimes {
        std::mem::take(&mut lock(&self.control_times))
    }

    /// Removes the connections to a peer. Idle ones are closed now, those in use when their response has ended;
    /// the next request opens new ones.
    pub fn close_connections(&self, addr: SocketAddr) {
        write(&self.call_pools).remove(&addr);
        write(&self.control_connections).remove(&addr);
    }

    /// Number of peers with a control connection or an attempt to open one.
    pub fn len(&self) -> usize {
        read(&self.control_connections).len()
    }

    /// Whether no peer has one.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the control connection to a peer, and opens it first if needed.
    async fn sender(&self, addr: SocketAddr) -> Result<SendRequest<ProxyBody>, PeerError> {
        let control_connection = self.control_connection(addr);
        if let Some(sender) = control_connection.current() {
            return Ok(sender);
        }
        let requested_at = Instant::now();
        let mut failed_at = control_connection.connecting.lock().await;
        if let Some(sender) = control_connection.current() {
            return Ok(sender);
        }
        // Requests that waited while another one tried to connect share its failure; otherwise each
        // would make its own attempt in turn.
        if failed_at.is_some_and(|at| at >= requested_at) {
            return Err(PeerError::NotSent(format!("failed to connect to {addr}")));
        }
        match connect(addr, Meter::new(&self.traffic, Flow::Control)).await {
            Ok(sender) => {
                control_connection.replace(sender.clone());
                Ok(sender)
            }
            Err(detail) => {
                *failed_at = Some(Instant::now());
                Err(PeerError::NotSent(detail))
            }
        }
    }

    /// Sends a control message to a peer and returns the head of the response.
    async fn send(
        &self,
        addr: SocketAddr,
        mut req: Request<ProxyBody>,
    ) -> Result<Response<Incoming>, PeerError> {
        if let Some(value) = &self.token {
            req.headers_mut().insert(TOKEN, value.clone());
        }
        let mut sender = self.sender(addr).await?;
        match sender.try_send_request(req).await {
            Ok(res) => Ok(res),
            Err(mut e) => match e.take_message() {
                Some(_) => Err(PeerError::NotSent(describe(&e.into_error()))),
                None => Err(PeerError::Lost(describe(&e.into_error()))),
            },
        }
    }

    /// Sends a control message that may arrive twice, and returns the response. A message that gets none is sent
    /// again over a new connection, since the first one may have gone silent.
    ///
    /// # Errors
    ///
    /// See [`PeerError`].
    pub async fn notice(
        &self,
        addr: SocketAddr,
        path: &'static str,
        body: Vec<u8>,
    ) -> Result<Bytes, PeerError> {
        match self.control(addr, path, body.clone(), FIRST_NOTICE_TIMEOUT).await {
            Err(PeerError::Lost(_)) => self.control(addr, path, body, LAST_NOTICE_TIMEOUT).await,
            answer => answer,
        }
    }

    /// Sends a control message and reads the whole response.
    ///
    /// # Errors
    ///
    /// See [`PeerError`]; a response that does not arrive within `timeout` counts as lost.
    pub async fn control(
        &self,
        addr: SocketAddr,
        path: &'static str,
        body: Vec<u8>,
        timeout: Duration,
    ) -> Result<Bytes, PeerError> {
        let mut req = Request::new(ProxyBody::full(body));
        *req.method_mut() = Method::POST;
        *req.uri_mut() = peer_uri(addr, path);
        let exchange = async {
            let res = self.send(addr, req).await?;
            if res.status() != StatusCode::OK {
                return Err(PeerError::Refused(res.status()));
            }
            let body = Limited::new(res.into_body(), MAX_CONTROL_BYTES).collect().await;
            body.map(|body| body.to_bytes()).map_err(|e| PeerError::Lost(e.to_string()))
        };
        let begin = Instant::now();
        let answer = match tokio::time::timeout(timeout, exchange).await {
            Ok(answer) => answer,
            Err(_) => Err(PeerError::Lost("no answer in time".to_owned())),
        };
        lock(&self.control_times).record(&answer, begin.elapsed());
        if matches!(answer, Err(PeerError::Lost(_))) {
            // The connection may have gone silent; the next message opens a new one.
            write(&self.control_connections).remove(&addr);
        }
        answer
    }
}

/// URI of a path at a peer; HTTP/2 requires scheme and authority.
fn peer_uri(addr: SocketAddr, path: &str) -> Uri {
    Uri::builder()
        .scheme("http")
        .authority(addr.to_string())
        .path_and_query(path)
        .build()
        .unwrap_or_default()
}

/// Opens a control connection and spawns the task that drives it.
async fn connect(addr: SocketAddr, meter: Meter) -> Result<SendRequest<ProxyBody>, String> {
    let connecting = async {
        let stream = TcpStream::connect(addr).await.map_err(|e| e.to_string())?;
        stream.set_nodelay(true).map_err(|e| e.to_string())?;
        let stream = TokioIo::new(Metered::new(stream, Some(meter)));
        http2_builder().handshake(stream).await.map_err(|e| e.to_string())
    };
    match tokio::time::timeout(CONNECT_TIMEOUT, connecting).await {
        Ok(Ok((sender, conn))) => {
            tokio::spawn(async move {
                if let Err(e) = conn.await {
                    tracing::debug!(%addr, error = %e, "control connection to a peer failed");
                }
            });
            Ok(sender)
        }
        Ok(Err(e)) => Err(format!("failed to connect to {addr}: {e}")),
        Err(_) => Err(format!("failed to connect to {addr} in time")),
    }
}
