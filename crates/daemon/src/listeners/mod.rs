//! Listeners for callers, peers, the backend server and operators.
//!
//! Each has a socket of its own, so that callers cannot reach the interfaces for daemons and operators.

mod callers;
mod delivery;
mod peers;
mod prefixed;
mod small;

pub use callers::serve_callers;
pub use peers::serve_peers;
pub use small::{Reply, serve_simple_http};

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use eyre::{Result, WrapErr};
use hyper_util::server::graceful::GracefulConnection;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Pause after a failed accept, for example when the process is out of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Longest time for accepting the connections that wait in the backlog when a listener closes.
const LAST_ACCEPT_TIME: Duration = Duration::from_millis(20);

/// Time from the close of a listener to that of its connections, for requests that are on their way.
const LAST_READ_TIME: Duration = Duration::from_millis(5);

/// Shortest time from the accept of a connection to its close; a caller that has just connected is about to send.
const MIN_OPEN_TIME: Duration = Duration::from_millis(50);

/// Binds the listener with this name to an address.
///
/// # Errors
///
/// The address cannot be bound.
pub async fn bind(name: &str, addr: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(addr).await.wrap_err_with(|| format!("failed to listen for {name} on {addr}"))
}

/// Accepted connection.
struct Accepted {
    stream: TcpStream,
    at: Instant,
    /// Counts the connection towards the limit of its listener until it is dropped.
    permit: Option<OwnedSemaphorePermit>,
}

impl Accepted {
    fn new(stream: TcpStream, permit: Option<OwnedSemaphorePermit>) -> Self {
        if let Err(e) = stream.set_nodelay(true) {
            tracing::debug!(error = %e, "failed to set TCP_NODELAY");
        }
        Self { stream, at: Instant::now(), permit }
    }
}

/// Listener with a limit on open connections; further ones wait in the backlog of the kernel.
struct BoundedListener {
    listener: TcpListener,
    permits: Arc<Semaphore>,
}

impl BoundedListener {
    fn new(listener: TcpListener, max_connections: usize) -> Self {
        Self { listener, permits: Arc::new(Semaphore::new(max_connections)) }
    }

    /// Accepts the next connection.
    async fn accept(&self) -> Accepted {
        let permit = Arc::clone(&self.permits).acquire_owned().await.ok();
        loop {
            match self.listener.accept().await {
                Ok((stream, _)) => return Accepted::new(stream, permit),
                Err(e) => {
                    tracing::warn!(error = %e, "failed to accept a connection");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    /// Whether no further connection is accepted until one ends.
    fn is_full(&self) -> bool {
        self.permits.available_permits() == 0
    }

    /// Closes the listener and returns the connections that wait in the backlog, as many as the limit allows.
    ///
    /// The kernel resets those that are left, although their requests may have arrived already.
    fn close(self) -> Vec<Accepted> {
        let mut waiting = Vec::new();
        if let Err(e) = accept_waiting(self.listener, &self.permits, &mut waiting) {
            tracing::warn!(error = %e, "failed to accept the connections that wait");
        }
        waiting
    }
}

/// Accepts the connections that wait in the backlog, without waiting for others.
fn accept_waiting(
    listener: TcpListener,
    permits: &Arc<Semaphore>,
    waiting: &mut Vec<Accepted>,
) -> io::Result<()> {
    // An asynchronous accept does not see connections of which the runtime has not been notified yet.
    let listener = listener.into_std()?;
    let deadline = Instant::now() + LAST_ACCEPT_TIME;
    while Instant::now() < deadline {
        let Ok(permit) = Arc::clone(permits).try_acquire_owned() else { break };
        let stream = match listener.accept() {
            Ok((stream, _)) => stream,
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
            Err(e) => return Err(e),
        };
        stream.set_nonblocking(true)?;
        waiting.push(Accepted::new(TcpStream::from_std(stream)?, Some(permit)));
    }
    Ok(())
}

/// Waits until a connection is to be closed that was accepted at `accepted_at`.
async fn wait_for_close(closing: &CancellationToken, accepted_at: Instant) {
    closing.cancelled().await;
    tokio::time::sleep_until(accepted_at + MIN_OPEN_TIME).await;
}

/// Serves a connection until it ends; after `close`, only the requests that have arrived.
async fn serve_until<C: GracefulConnection>(
    close: impl Future<Output = ()>,
    conn: C,
) -> Result<(), C::Error> {
    let mut conn = std::pin::pin!(conn);
    tokio::select! {
        // A graceful shutdown closes an idle connection without reading the request that has just arrived.
        biased;
        ended = &mut conn => return ended,
        () = close => conn.as_mut().graceful_shutdown(),
    }
    conn.await
}

/// Lets open connections read the requests that are on their way, then closes them and waits for their end.
async fn close_connections(connections: &TaskTracker, closing: &CancellationToken) {
    connections.close();
    // The tracker of a listener without connections is done at once.
    if tokio::time::timeout(LAST_READ_TIME, connections.wait()).await.is_err() {
        closing.cancel();
        connections.wait().await;
    }
}
