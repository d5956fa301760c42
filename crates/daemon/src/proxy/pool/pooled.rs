//! Pool of HTTP/1.1 connections to a backend server or to another daemon.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use super::describe;
use crate::proxy::body::ProxyBody;

/// Time for a connection to be established.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after which an unused connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Why a request got no answer.
#[derive(Debug)]
pub enum SendError {
    /// No byte of the request was sent.
    NotSent(String),
    /// No byte of the request was sent, since all connections of the pool are in use.
    Full,
    /// The request may have been received.
    Lost(String),
}

#[derive(Debug)]
struct Idle {
    sender: SendRequest<ProxyBody>,
    permit: OwnedSemaphorePermit,
    since: Instant,
}

/// Pool of connections to one server.
#[derive(Debug)]
pub struct Http1Pool {
    addr: SocketAddr,
    idle: Mutex<Vec<Idle>>,
    permits: Arc<Semaphore>,
}

/// Connection that is in use; goes back to its pool when the answer is whole.
#[derive(Debug)]
pub struct Http1Connection {
    pool: Arc<Http1Pool>,
    sender: SendRequest<ProxyBody>,
    permit: OwnedSemaphorePermit,
}

impl Http1Connection {
    /// Gives the connection back.
    pub fn release(self) {
        if self.sender.is_closed() {
            return;
        }
        let idle = Idle { sender: self.sender, permit: self.permit, since: Instant::now() };
        self.pool.idle.lock().unwrap_or_else(PoisonError::into_inner).push(idle);
    }
}

impl Http1Pool {
    /// Makes a pool of at most `limit` connections.
    #[must_use]
    pub fn new(addr: SocketAddr, limit: usize) -> Self {
        Self { addr, idle: Mutex::new(Vec::new()), permits: Arc::new(Semaphore::new(limit)) }
    }

    /// Takes the connection that was used last, so that the others can become idle.
    fn take_idle(&self) -> Option<(SendRequest<ProxyBody>, OwnedSemaphorePermit)> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|conn| !conn.sender.is_closed() && conn.since.elapsed() < IDLE_TIMEOUT);
        let found = idle.iter().rposition(|conn| conn.sender.is_ready())?;
        let conn = idle.swap_remove(found);
        Some((conn.sender, conn.permit))
    }

    async fn connect(&self) -> Result<(SendRequest<ProxyBody>, OwnedSemaphorePermit), SendError> {
        let not_sent = |what: &str| SendError::NotSent(what.to_owned());
        let permit = Arc::clone(&self.permits).try_acquire_owned().ok().ok_or(SendError::Full)?;
        let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(self.addr));
        let stream = match connecting.await {
            Ok(Ok(stream)) => stream,
            Ok(Err(e)) => return Err(not_sent(&format!("failed to connect: {e}"))),
            Err(_) => return Err(not_sent("failed to connect in time")),
        };
        if let Err(e) = stream.set_nodelay(true) {
            tracing::debug!(error = %e, "failed to set TCP_NODELAY");
        }
        let (sender, conn) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|e| not_sent(&format!("failed to start HTTP/1.1: {e}")))?;
        tokio::spawn(async move {
            if let Err(e) = conn.await {
                tracing::debug!(error = %e, "connection to a server ended");
            }
        });
        Ok((sender, permit))
    }

    /// Sends a request on an idle or a new connection.
    ///
    /// An idle connection that closed before the first byte was sent is replaced once.
    ///
    /// # Errors
    ///
    /// [`SendError::NotSent`] or [`SendError::Full`] only when the server cannot have seen the request.
    pub async fn send(
        self: &Arc<Self>,
        mut req: Request<ProxyBody>,
    ) -> Result<(Response<Incoming>, Http1Connection), SendError> {
        if let Some((mut sender, permit)) = self.take_idle() {
            match sender.try_send_request(req).await {
                Ok(res) => return Ok((res, self.connection(sender, permit))),
                Err(mut e) => match e.take_message() {
                    Some(unsent) => req = unsent,
                    None => return Err(SendError::Lost(describe(&e.into_error()))),
                },
            }
        }
        let (mut sender, permit) = self.connect().await?;
        match sender.try_send_request(req).await {
            Ok(res) => Ok((res, self.connection(sender, permit))),
            Err(mut e) => match e.take_message() {
                Some(_) => Err(SendError::NotSent(describe(&e.into_error()))),
                None => Err(SendError::Lost(describe(&e.into_error()))),
            },
        }
    }

    fn connection(
        self: &Arc<Self>,
        sender: SendRequest<ProxyBody>,
        permit: OwnedSemaphorePermit,
    ) -> Http1Connection {
        Http1Connection { pool: Arc::clone(self), sender, permit }
    }
}
