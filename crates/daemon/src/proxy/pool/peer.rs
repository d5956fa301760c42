//! Connections to other daemons.
//!
//! Control messages share one HTTP/2 connection per pair of daemons. It is pinged while a message
//! waits for its answer, and replaced when one does not come. Pings of idle connections, from both
//! ends and once a second, took 115 to 135 KB a second at 960 daemons against a budget of 9 KB. Calls
//! go over pooled HTTP/1.1 connections: with HTTP/2 each call passed through two more tasks on either
//! side and took more system calls. A call whose connection went silent is found by asking the other
//! daemon about it.

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

use super::pooled::{ConnectionPool, PooledConnection, Protocol, SendError};
use super::{describe, http2_builder};
use crate::proxy::body::ProxyBody;
use crate::proxy::headers::TOKEN;
use crate::sync::{lock, read, write};

/// Time for a connection to be established.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Connections for calls to one peer.
const MAX_CALL_CONNECTIONS: usize = 128;

/// Largest body of a control answer, in bytes.
const MAX_CONTROL_BYTES: usize = 16 * 1024 * 1024;

/// Why a request to a peer got no answer.
#[derive(Debug)]
pub enum PeerError {
    /// No byte of the request was sent.
    NotSent(String),
    /// The request may have been received.
    Lost(String),
    /// The peer answered a control message with an error.
    Refused(StatusCode),
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

#[derive(Debug, Default)]
struct PeerSlot {
    sender: Mutex<Option<SendRequest<ProxyBody>>>,
    /// Holds the time of the last failure to connect.
    connecting: tokio::sync::Mutex<Option<Instant>>,
}

impl PeerSlot {
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
    slots: RwLock<HashMap<SocketAddr, Arc<PeerSlot>>>,
    calls: RwLock<HashMap<SocketAddr, Arc<ConnectionPool>>>,
    token: Option<HeaderValue>,
}

impl PeerPool {
    /// Makes a pool that authenticates with `token`.
    #[must_use]
    pub fn new(token: Option<String>) -> Self {
        let token = token.and_then(|token| HeaderValue::from_str(&token).ok());
        Self { slots: RwLock::default(), calls: RwLock::default(), token }
    }

    fn slot(&self, addr: SocketAddr) -> Arc<PeerSlot> {
        let slots = read(&self.slots);
        if let Some(slot) = slots.get(&addr) {
            return Arc::clone(slot);
        }
        drop(slots);
        let mut slots = write(&self.slots);
        Arc::clone(slots.entry(addr).or_default())
    }

    fn call_pool(&self, addr: SocketAddr) -> Arc<ConnectionPool> {
        let pools = read(&self.calls);
        if let Some(pool) = pools.get(&addr) {
            return Arc::clone(pool);
        }
        drop(pools);
        let mut pools = write(&self.calls);
        let pool = pools.entry(addr).or_insert_with(|| {
            Arc::new(ConnectionPool::new(addr, Protocol::Http1, MAX_CALL_CONNECTIONS))
        });
        Arc::clone(pool)
    }

    /// Sends a call to a peer and returns the head of the answer.
    ///
    /// # Errors
    ///
    /// [`SendError::NotSent`] or [`SendError::Full`] only when the peer cannot have seen the request.
    pub async fn call(
        &self,
        addr: SocketAddr,
        mut req: Request<ProxyBody>,
    ) -> Result<(Response<Incoming>, PooledConnection), SendError> {
        if let Some(value) = &self.token {
            req.headers_mut().insert(TOKEN, value.clone());
        }
        self.call_pool(addr).send(req).await
    }

    /// Closes the connections to a peer that is gone.
    pub fn close_connections(&self, addr: SocketAddr) {
        write(&self.calls).remove(&addr);
        write(&self.slots).remove(&addr);
    }

    /// Number of peers with a connection or an attempt to make one.
    pub fn len(&self) -> usize {
        read(&self.slots).len()
    }

    /// Whether there is no peer.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    async fn sender(&self, addr: SocketAddr) -> Result<SendRequest<ProxyBody>, PeerError> {
        let slot = self.slot(addr);
        if let Some(sender) = slot.current() {
            return Ok(sender);
        }
        let asked = Instant::now();
        let mut failed_at = slot.connecting.lock().await;
        if let Some(sender) = slot.current() {
            return Ok(sender);
        }
        // Requests that waited for the attempt of another one share its failure; otherwise each
        // would wait for its own attempt in turn.
        if failed_at.is_some_and(|at| at >= asked) {
            return Err(PeerError::NotSent(format!("failed to connect to {addr}")));
        }
        match connect(addr).await {
            Ok(sender) => {
                slot.replace(sender.clone());
                Ok(sender)
            }
            Err(detail) => {
                *failed_at = Some(Instant::now());
                Err(PeerError::NotSent(detail))
            }
        }
    }

    /// Sends a control request to a peer and returns the head of the answer.
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

    /// Sends a control message and reads the whole answer.
    ///
    /// # Errors
    ///
    /// See [`PeerError`]; an answer that does not come within `timeout` is lost.
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
        let answer = match tokio::time::timeout(timeout, exchange).await {
            Ok(answer) => answer,
            Err(_) => Err(PeerError::Lost("no answer in time".to_owned())),
        };
        if matches!(answer, Err(PeerError::Lost(_))) {
            // The connection may have gone silent; the next message makes a new one.
            write(&self.slots).remove(&addr);
        }
        answer
    }
}

/// URI of a path at a peer; HTTP/2 needs scheme and authority.
fn peer_uri(addr: SocketAddr, path: &str) -> Uri {
    Uri::builder()
        .scheme("http")
        .authority(addr.to_string())
        .path_and_query(path)
        .build()
        .unwrap_or_default()
}

async fn connect(addr: SocketAddr) -> Result<SendRequest<ProxyBody>, String> {
    let connecting = async {
        let stream = TcpStream::connect(addr).await.map_err(|e| e.to_string())?;
        stream.set_nodelay(true).map_err(|e| e.to_string())?;
        http2_builder().handshake(TokioIo::new(stream)).await.map_err(|e| e.to_string())
    };
    match tokio::time::timeout(CONNECT_TIMEOUT, connecting).await {
        Ok(Ok((sender, conn))) => {
            tokio::spawn(async move {
                if let Err(e) = conn.await {
                    tracing::debug!(%addr, error = %e, "connection to a peer ended");
                }
            });
            Ok(sender)
        }
        Ok(Err(e)) => Err(format!("failed to connect to {addr}: {e}")),
        Err(_) => Err(format!("failed to connect to {addr} in time")),
    }
}
