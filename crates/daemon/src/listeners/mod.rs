//! Listeners for callers, peers, the backend server and operators.
//!
//! Each has a socket of its own, so that callers cannot reach the interfaces for daemons and operators.

mod callers;
mod delivery;
mod hooked;
mod listed;
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
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Size of each of the two buffers that the kernel has for a connection of a caller, in bytes, of which it makes twice
/// as much. Without a limit they grow to megabytes for a caller that does not read.
const SOCKET_BUFFER_BYTES: u32 = 64 * 1024;

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Pause after a failed accept, for example when the process is out of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Time between two checks while the limit on connections is reached. Idle connections are closed then, as clients
/// wait to connect.
const FULL_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Share of the connections that is closed at once if they are idle: 1 in this number.
const IDLE_CLOSE_PART: usize = 8;

/// Longest time for accepting the connections that wait in the backlog when a listener closes.
const LAST_ACCEPT_TIME: Duration = Duration::from_millis(20);

/// Time from the close of a listener to that of its connections, for requests that are on their way.
const LAST_READ_TIME: Duration = Duration::from_millis(5);

/// Shortest time from the accept of a connection to its close; a caller that has just connected is about to send.
const MIN_OPEN_TIME: Duration = Duration::from_millis(50);

/// Time for a client to confirm the close of its connection, and between two looks whether it has a request.
const CLOSE_TIME: Duration = Duration::from_millis(500);

/// Binds the listener with this name to an address.
///
/// # Errors
///
/// The address cannot be bound.
pub async fn bind(name: &str, addr: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(addr).await.wrap_err_with(|| format!("failed to listen for {name} on {addr}"))
}

/// Binds the listener for callers to an address; the buffers of its connections are limited.
///
/// # Errors
///
/// The address cannot be bound.
pub fn bind_callers(addr: SocketAddr) -> Result<TcpListener> {
    let bind = || {
        let socket = if addr.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        socket.set_reuseaddr(true)?;
        // Connections inherit them.
        for limited in [
            socket.set_send_buffer_size(SOCKET_BUFFER_BYTES),
            socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES),
        ] {
            if let Err(e) = limited {
                tracing::warn!(error = %e, "failed to limit the buffers of caller connections");
            }
        }
        socket.bind(addr)?;
        socket.listen(BACKLOG)
    };
    bind().wrap_err_with(|| format!("failed to listen for callers on {addr}"))
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
    max_connections: usize,
}

impl BoundedListener {
    fn new(listener: TcpListener, max_connections: usize) -> Self {
        Self { listener, permits: Arc::new(Semaphore::new(max_connections)), max_connections }
    }

    /// Accepts the next connection; calls `make_room` now and then while the limit is reached, with the number of
    /// connections that may be closed.
    async fn accept(&self, make_room: impl Fn(usize)) -> Accepted {
        let permit = loop {
            let permit = Arc::clone(&self.permits).acquire_owned();
            match tokio::time::timeout(FULL_CHECK_INTERVAL, permit).await {
                Ok(permit) => break permit.ok(),
                Err(_) => make_room(self.max_connections.div_ceil(IDLE_CLOSE_PART)),
            }
        };
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

/// Waits until a connection that is to close had no request at two looks in a row. One that crosses the close is served,
/// and its response needs time to be written.
async fn wait_until_idle(is_idle: impl Fn() -> bool) {
    let mut was_idle = is_idle();
    loop {
        tokio::time::sleep(CLOSE_TIME).await;
        let is_idle = is_idle();
        if was_idle && is_idle {
            return;
        }
        was_idle = is_idle;
    }
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
